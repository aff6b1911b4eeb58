#!/bin/bash
# Builds the stand-ins and the cases of the second review, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/loopback/src/review/*.java
