#!/usr/bin/env bash
# Builds what the scripts of the second review need beside the deploy file's
# build: their stand-ins are Python of the standard library, so that they are
# only compiled here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile fleet2.py
for case in 6 7 8 9 10; do
    if [ -e "$case/case.py" ]; then python3 -m py_compile "$case/case.py"; fi
done
