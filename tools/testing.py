"""Runs every feature with behave and closes with the count of scenarios."""

import sys

from behave.__main__ import main as behave_main
from behave.formatter.base import Formatter


class Tally(Formatter):
    """Counts scenarios by their outcome."""

    name = "tally"
    description = "Counts scenarios"
    passed = 0
    failed = 0


def main() -> int:
    """Run the features named on the command line, or all."""
    return int(behave_main(["--no-capture", "--format", "progress", *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
