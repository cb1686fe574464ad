#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, into target/review-2/, with the deploy file's packages alone.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cmake -S "$root/review/standin-2" -B "$root/target/review-2" -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build "$root/target/review-2" --target review_2_site
