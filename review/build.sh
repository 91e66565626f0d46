#!/bin/bash
# The stand-ins are Python sources that use the standard library only; this checks and compiles them.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins
for script in */case.py; do python3 -m py_compile "$script"; done
