"""Runs a daemon on the platform."""

from .daemon import main

main()
