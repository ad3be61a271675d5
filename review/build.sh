#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/review. The build of the deploy file has
# to run before.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j4
