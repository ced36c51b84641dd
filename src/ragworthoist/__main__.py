"""Entry point of the one program."""

import sys

from ragworthoist._commands import run_command


def main():
    """Run the command line and exit with its code."""
    sys.exit(run_command())


if __name__ == "__main__":
    main()
