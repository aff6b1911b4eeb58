#!/usr/bin/env bash
# Hundreds of changes of a large configuration.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec env TROUBLE="${TROUBLE:-1}" java -Xmx512m -cp review/target/classes ManyChanges review/1
