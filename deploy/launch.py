"""Starts the program from the folder that `build.sh` makes."""

from ragworthoist.__main__ import main

main()
