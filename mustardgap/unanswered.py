"""Tells how the handling of a request ended that had no answer for the caller."""

import asyncio
import enum
from typing import NamedTuple

from . import metrics


class Ending(enum.Enum):
    """How a handling ended that gave no answer."""

    FAILED = "failed"
    CANCELLED = "cancelled"
    # By a stop of this daemon.
    CUT = "cut"


class End(NamedTuple):
    """What ended the handling of a request; ``cause`` is the error."""

    how: Ending
    cause: str


def ending_of(exc: BaseException, *, stopping: bool = False) -> Ending:
    """How the handling of a request ended.

    :param exc: the exception that the handling ended with.
    :param stopping: whether this daemon ended it, because it stops.
    """
    if stopping:
        return Ending.CUT
    return Ending.CANCELLED if isinstance(exc, asyncio.CancelledError) else Ending.FAILED


def end_of(exc: BaseException, *, stopping: bool = False) -> End:
    """What ended the handling of a request, counted; see ``ending_of``."""
    how = ending_of(exc, stopping=stopping)
    metrics.unanswered_requests.add(1, {"how": how.value})
    return End(how, "this entry host has stopped" if stopping else repr(exc))
