#!/bin/sh
# The stand-ins are Python 3 scripts (standard library); nothing has to be compiled for them. The
# scripts start target/release/buckthornnotch, which the deploy file's build makes.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)' common.py */run.py
