"""Entry point of the program."""

import sys

from ragworthoist._commands import run_command


def main():
    """Run the command line and exit with its exit code."""
    sys.exit(run_command())


if __name__ == "__main__":
    main()
