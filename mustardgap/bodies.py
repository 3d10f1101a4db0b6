"""Checking the bodies of records against their types."""

from typing import Any, TypeVar

import msgspec

from . import status_codes
from .outcomes import Rejected

T = TypeVar("T")


def convert(body: dict[str, Any], kind: type[T]) -> T | Rejected:
    """Check a body against its type.

    :param body: the body as read.
    :param kind: the ``TypedDict`` it must match; keys it doesn't name are left out.
    :return: the checked body, or MG3012 with the place.
    """
    try:
        return msgspec.convert(body, kind)
    except msgspec.ValidationError as exc:
        return Rejected(code=status_codes.RECORD_INVALID, detail=str(exc))


def stale(what: str, base: int, current: int) -> Rejected:
    """The rejection of a step that was made on another version than the current one."""
    detail = f"{what} is at {current}, the change was made on {base}"
    return Rejected(code=status_codes.STALE_BASE, detail=detail, changed=[what])


def wrong_phase(detail: str) -> Rejected:
    """The rejection of a step that the phase doesn't allow."""
    return Rejected(code=status_codes.WRONG_PHASE, detail=detail)
