#!/usr/bin/env bash
# Builds the stand-ins of review/standin-3 into build-review-3/, with the project's own stand-ins as libraries. Run it
# after the build of the deploy file.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=$root/build-review-3
cmake -S "$root" -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release -DSKYLARKHUB_TESTS=ON >/dev/null
# Of the project, the parts that the soak is built of.
objects=CMakeFiles/soak.dir/tests/soak_main.cpp.o
ninja -C "$build" "$objects" libskylarkhub_test_support.a libskylarkhub_standin.a libskylarkhub_platform.a \
  libskylarkhub_edge.a libskylarkhub_decide.a libskylarkhub_schema.a
compile=$(ninja -C "$build" -t commands soak | grep -- '-c .*/tests/soak_main\.cpp$')
link=$(ninja -C "$build" -t commands soak | grep -- ' -o soak ')
cd "$build"
for source in "$root"/review/standin-3/*.cpp; do
  name=$(basename "$source" .cpp)
  eval "$(sed -e "s| -MF [^ ]*| -MF $name.d|" -e "s| -MT [^ ]*||" -e "s| -o [^ ]*| -o $name.o|" \
    -e "s| -c [^ ]*| -I$root/tests -c $source|" <<<"$compile")"
  eval "$(sed -e "s|$objects|$name.o|" -e "s| -o soak | -o $name |" <<<"$link")"
done
