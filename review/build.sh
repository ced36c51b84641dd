#!/bin/sh
# Builds the stand-ins of the cases: they are Python without dependencies, so this only
# compiles them. Run it after the build of the deploy file, deploy/build.sh.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins.py [1-5]/case.py
