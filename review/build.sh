#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review; needs a JDK 17 and no library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/src/review/*.java
