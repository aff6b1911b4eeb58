#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/LeavingPrimary.class ] && [ -f target/magnolialead.jar ] && [ -f target/magnolialead.jsa ] || exit 2
timeout 115 java -Xmx256m -cp target/review-3 LeavingPrimary "$PWD" review/13/record.txt
status=$?
[ $status -le 1 ] && exit $status
exit 2
