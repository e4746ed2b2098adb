#!/usr/bin/env bash
# The stand-ins are plain Python, so only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
