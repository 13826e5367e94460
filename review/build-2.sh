#!/bin/sh
# Builds what the scripts of the second review start beside the program of the deploy file. The
# stand-ins are written in Python and only checked here.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.py [456]/*.py; do
    if [ -f "$file" ]; then
        python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
    fi
done
