#!/bin/sh
# Build the stand-ins of case 11. They need only the standard library of python3.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/lib3 review/11
