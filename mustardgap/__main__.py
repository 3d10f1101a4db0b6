"""Runs the command line as ``python -m mustardgap``."""

from .commands import main

main()
