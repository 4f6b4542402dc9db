#!/bin/sh
# Builds the stand-ins of the scripts of review 3 (11 to 15) into target/review-3, beside the build of the deploy file.
# Needs the compiler of the deploy file's packages only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.cpp; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    g++ -std=c++17 -O2 -pthread -Wall -Wextra "$case" -o "target/review-3/case-$number"
done
