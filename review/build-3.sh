#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 15 into target/review-3. The daemon is
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
for case in review/1[1-5]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ "${flags[@]}" review/site-3/http.cpp review/site-3/site.cpp "$case" \
        -o "target/review-3/case-$number"
done
