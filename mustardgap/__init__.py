"""Mustardgap, a fleet capacity and maintenance manager."""

from .__version__ import __version__

__all__ = ["__version__"]
