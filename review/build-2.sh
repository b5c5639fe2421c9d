#!/bin/sh
# Build the stand-ins of the scripts in review/4 to review/8, after the deploy file's
# build: compile them, and check that all they import is there.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="target/deps:$PWD:$PWD/review"
python3 -m compileall -q standins review/stand_ins_2.py review/drill_2.py \
    review/fleet2.py || exit 1
python3 -c "import drill_2, fleet2, stand_ins_2"
