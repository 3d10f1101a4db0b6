"""Tells how the handling of a request ended that had no answer for the caller."""

import asyncio
import enum
from typing import NamedTuple

from . import metrics


class FailureKind(enum.Enum):
    """How a handling ended that gave no answer."""

    FAILED = "failed"
    CANCELLED = "cancelled"
    # By a stop of this daemon.
    CUT = "cut"


class Failure(NamedTuple):
    """What ended the handling of a request; ``cause`` is the error."""

    how: FailureKind
    cause: str


def failure_kind(exc: BaseException, *, stopping: bool = False) -> FailureKind:
    """How the handling of a request ended.

    :param exc: the exception that the handling ended with.
    :param stopping: whether this daemon ended it, because it stops.
    """
    if stopping:
        return FailureKind.CUT
    return FailureKind.CANCELLED if isinstance(exc, asyncio.CancelledError) else FailureKind.FAILED


def record_failure(exc: BaseException, *, stopping: bool = False) -> Failure:
    """What ended the handling of a request, counted; see ``ending_of``."""
    how = failure_kind(exc, stopping=stopping)
    metrics.unanswered_requests.add(1, {"how": how.value})
    return Failure(how, "this entry host has stopped" if stopping else repr(exc))
