#!/usr/bin/env bash
# Compiles the stand-ins and the programs of the cases. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac --release 17 -d target/classes harness/*.java
