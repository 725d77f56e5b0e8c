#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They need the standard library only, so this checks
# that they can be compiled; `python3` runs them as they are.
set -eu
cd "$(dirname "$0")"
for source in small_fleet.py plain_worker.py stream_worker.py 4/case.py 5/case.py 6/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
