"""Mustardgap, a fleet capacity and maintenance manager."""

from .__version__ import __version__
from .api import apply, cancel, diff, items, status, submit, timeline
from .clients import Client
from .exceptions import MustardgapError

__all__ = [
    "Client",
    "MustardgapError",
    "__version__",
    "apply",
    "cancel",
    "diff",
    "items",
    "status",
    "submit",
    "timeline",
]
