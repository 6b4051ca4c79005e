#!/bin/bash
# The stand-ins are Python programs; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in common/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
