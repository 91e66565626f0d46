#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec timeout --signal=TERM --kill-after=5 118 python3 case.py
