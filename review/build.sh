#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are Python 3.11 with its standard library only, so
# there is nothing to compile; this checks that the interpreter takes them.
set -eu
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]/*.py <<'PY'
import ast, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
PY
