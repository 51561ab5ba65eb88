#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are written in Python, with
# its standard library only, so there is nothing to compile: this checks that
# they can be read. The node comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for it in common/*.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done
