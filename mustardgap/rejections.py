"""Rejections that several fold rules share."""

from . import status_codes
from .outcomes import Rejected


def stale(what: str, base: int, current: int) -> Rejected:
    """Reject a step that was based on another version than the current one."""
    detail = f"{what} is at {current}, the change was made on {base}"
    return Rejected(code=status_codes.STALE_BASE, detail=detail, changed=[what])


def wrong_phase(detail: str) -> Rejected:
    """Reject a step that the current phase doesn't allow."""
    return Rejected(code=status_codes.WRONG_PHASE, detail=detail)
