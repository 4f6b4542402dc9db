#!/usr/bin/env bash
# Builds the programs of the scripts, with their stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    folder=$(basename "$(dirname "$source")")
    c++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review/case-$folder" "$source"
done
