"""Mustardgap, a fleet capacity and maintenance manager."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from .__version__ import __version__

if TYPE_CHECKING:
    from .api import apply, cancel, diff, items, status, submit, timeline
    from .clients import Client
    from .exceptions import MustardgapError

# A daemon needs none of the client's libraries, and each MB counts on its small hosts: they are
# imported when they are first asked for.
_MODULES_BY_NAME = {
    "Client": "clients",
    "MustardgapError": "exceptions",
    "apply": "api",
    "cancel": "api",
    "diff": "api",
    "items": "api",
    "status": "api",
    "submit": "api",
    "timeline": "api",
}

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


def __getattr__(name: str) -> Any:
    """Import a public name on first use."""
    if name not in _MODULES_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f".{_MODULES_BY_NAME[name]}", __name__), name)
