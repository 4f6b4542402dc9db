#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Run it after the build of the deploy file, whose
# libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="$(pkg-config --cflags --libs libevent log4cplus libxxhash) -lpthread"
jobs=()
for source in review/{6,7,8,9,10}/case.cpp review/10/idle/case.cpp; do
    [ -f "$source" ] || continue
    folder="$(dirname "$source")"
    name="${folder#review/}"
    # shellcheck disable=SC2086 # The flags are words.
    g++ -std=c++17 -O1 -Wall -Wextra -Isrc -Iplatform "$source" -o "target/review-2/case-${name//\//-}" \
        target/platform/libknapweed-platform.a target/libknapweedcroft.a $flags &
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
