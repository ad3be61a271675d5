#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the second review start. Needs only g++; the
# sidecar is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/site-2/case_*.cpp; do
    number=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case-${number#case_}"
done
