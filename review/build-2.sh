#!/usr/bin/env bash
# The stand-ins of cases 4 to 8 are Python programs that use its standard library alone, so nothing is compiled.
# This checks that they can be read and that the programs under test were built.
cd "$(dirname "$0")" || exit 1
python3 -B - shared-2/*.py [4-8]/*.py <<'PYTHON' || exit 1
import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
PYTHON
for program in hickorycross-entry hickorycross-agent; do
    [ -x "../target/release/$program" ] || { echo "$program is not built" >&2; exit 1; }
done
