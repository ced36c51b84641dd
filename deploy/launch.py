"""Starts a node from the directory that `build.sh` creates.

It does not load the parser of the command line, which takes a fifth of the time to
start.
"""

import sys
from pathlib import Path

from ragworthoist._commands import run_node
from ragworthoist.exceptions import InputError

try:
    run_node(Path(sys.argv[1]))
except InputError as error:
    sys.exit(f"{type(error).__name__}: {error}")
