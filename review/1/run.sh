#!/bin/sh
# Plays the case; with TROUBLE=0 it does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$(dirname "$0")/case.py"
