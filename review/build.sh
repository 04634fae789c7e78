#!/bin/sh
# Compiles the stand-ins and the cases, which need the standard library only.
set -e
cd "$(dirname "$0")"
exec python3 -m compileall -q .
