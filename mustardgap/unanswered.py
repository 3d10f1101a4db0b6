"""Classifies and counts requests whose handling ended without an answer for the caller."""

import asyncio
import enum
from typing import NamedTuple

from . import metrics


class FailureKind(enum.Enum):
    """How the handling of a request ended without an answer."""

    FAILED = "failed"
    CANCELLED = "cancelled"
    # Ended because this daemon is stopping.
    CUT = "cut"


class Failure(NamedTuple):
    """How the handling of a request ended without an answer; ``cause`` is the error."""

    how: FailureKind
    cause: str


def failure_kind(exc: BaseException, *, stopping: bool = False) -> FailureKind:
    """Classify how the handling of a request ended.

    :param exc: the exception that the handling ended with.
    :param stopping: whether this daemon ended it because it is stopping.
    """
    if stopping:
        return FailureKind.CUT
    return FailureKind.CANCELLED if isinstance(exc, asyncio.CancelledError) else FailureKind.FAILED


def record_failure(exc: BaseException, *, stopping: bool = False) -> Failure:
    """Classify what ended the handling of a request, and count it; see ``failure_kind``."""
    how = failure_kind(exc, stopping=stopping)
    metrics.unanswered_requests.add(1, {"how": how.value})
    return Failure(how, "this entry host has stopped" if stopping else repr(exc))
