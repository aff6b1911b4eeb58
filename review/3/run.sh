#!/usr/bin/env bash
# A replica receives nothing for a while, and the primary crashes meanwhile.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec env TROUBLE="${TROUBLE:-1}" java -Xmx512m -cp review/target/classes SyncReplicas review/3
