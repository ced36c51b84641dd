#!/bin/sh
# The stand-ins of the cases 6 to 10 need the standard library of Python 3.11 only. This
# checks the version and that they compile; nothing is installed or written.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for pattern in ("standins_2.py", "[6-9]/*.py", "10/*.py"):
    for path in sorted(Path(".").glob(pattern)):
        compile(path.read_text(), str(path), "exec")
CHECK
