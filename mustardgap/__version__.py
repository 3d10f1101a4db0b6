"""The version of mustardgap."""

__version__ = "0.1.0"
