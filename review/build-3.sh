#!/usr/bin/env bash
# Builds what the script of review/11 starts, into target/review-3/, with the deploy file's packages alone.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cmake -S "$root/review/standin-3" -B "$root/target/review-3" -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build "$root/target/review-3" --target refused_at_stop
