"""Tells of requests whose handling ended before it had an answer for the caller."""

import asyncio
from typing import NamedTuple

from . import metrics


class End(NamedTuple):
    """What ended the handling of a request.

    :param how: "failed", "cancelled", or "cut" by a stop of this daemon.
    :param cause: the error.
    """

    how: str
    cause: str


def end_of(exc: BaseException, *, stopping: bool = False) -> End:
    """What ended the handling of a request, counted.

    :param exc: the exception that the handling ended with.
    :param stopping: whether this daemon ended it, because it stops.
    """
    if stopping:
        end = End("cut", "this entry host has stopped")
    else:
        how = "cancelled" if isinstance(exc, asyncio.CancelledError) else "failed"
        end = End(how, repr(exc))
    metrics.unanswered_requests.add(1, {"how": end.how})
    return end
