#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
export ROOT
export PYTHONPATH=$ROOT/review/lib-2
if [ ! -d "$ROOT/target/deps" ]; then
    echo "target/deps is missing: run the build of the deploy file"
    exit 2
fi
cd "$here" || exit 2
timeout --kill-after=3 115 python3 -B case.py 2>stderr.txt
code=$?
[ "$code" -le 1 ] || tail -n 5 stderr.txt
rm -f stderr.txt
[ "$code" -le 1 ] && exit "$code"
exit 2
