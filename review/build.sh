#!/usr/bin/env bash
# The stand-ins are Python scripts that use the standard library only; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for script in standin/*.py [1-5]/*.py; do
  [ -e "$script" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$script"
done
