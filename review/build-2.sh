#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/9 start. They are
# plain Python files without libraries, in lib-2/ and beside the scripts, so that
# all there is to do is to show that the interpreter takes them.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")"
for file in lib-2/*.py {6,7,8,9}/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
