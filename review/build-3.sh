#!/bin/sh
# Build the stand-ins of cases 11 and 12. They need only the standard library of python3.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/lib3 review/11 review/12
