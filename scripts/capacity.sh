#!/bin/sh
# Runs a main class of org.magnolialead.daemon.capacity after `mvn -o -B -q -pl
# magnolialead-daemon -am verify`: scripts/capacity.sh ControlCapacity FOLDER [daemons:groups...]
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
target=$root/magnolialead-daemon/target
main=$1
shift
exec java -Xmx5g -Djava.util.logging.config.file=/dev/null \
	-cp "$target/test-classes:$target/classes:$target/lib/*" \
	"org.magnolialead.daemon.capacity.$main" "$@"
