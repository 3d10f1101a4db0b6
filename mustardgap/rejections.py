"""Rejections that several rules give."""

from . import status_codes
from .outcomes import Rejected


def stale(what: str, base: int, current: int) -> Rejected:
    """The rejection of a step that was made on another version than the current one."""
    detail = f"{what} is at {current}, the change was made on {base}"
    return Rejected(code=status_codes.STALE_BASE, detail=detail, changed=[what])


def wrong_phase(detail: str) -> Rejected:
    """The rejection of a step that the phase doesn't allow."""
    return Rejected(code=status_codes.WRONG_PHASE, detail=detail)
