"""Starts a node from the folder that `build.sh` makes.

The command line's parser is left out: it takes a fifth of the start.
"""

import sys
from pathlib import Path

from ragworthoist._commands import run_node
from ragworthoist.exceptions import InputError

try:
    run_node(Path(sys.argv[1]))
except InputError as error:
    sys.exit(f"{type(error).__name__}: {error}")
