"""Decides whether a new job is accepted, may be retried, or is given up."""

import enum
import math
from typing import NamedTuple

from .forecasts import Forecast

# The shortest time that Retry-After can express.
MIN_RETURN_S = 1
# A caller has to be back this long before it stops waiting, so that its answer arrives in time: two
# transfers between hosts, and a record that is stored.
RETURN_MARGIN_S = 0.3


class Cause(enum.StrEnum):
    """Why a job was refused; the values are those of the metric."""

    WAIT = "wait"
    NO_RETRY = "no_retry"


class Decision(NamedTuple):
    """The outcome for one job.

    ``cause`` is None if it is admitted. ``return_s`` are the earliest and the latest time at which
    a refused caller may return, in whole seconds; None if it can't return in time.
    """

    cause: Cause | None
    return_s: tuple[int, int] | None = None


ADMITTED = Decision(None)


def decide(forecast: Forecast, *, limit_s: float, wait_s: float) -> Decision:
    """Decide on a new job.

    :param forecast: when it would end.
    :param limit_s: the seconds within which its end is of use.
    :param wait_s: for how many more seconds its caller waits for an answer.
    """
    excess_s = forecast.earliest_end_s - limit_s
    if excess_s <= 0:
        return ADMITTED
    latest = math.floor(wait_s - RETURN_MARGIN_S)
    if excess_s > latest or latest < MIN_RETURN_S:
        return Decision(Cause.NO_RETRY)
    return Decision(Cause.WAIT, (max(math.ceil(excess_s), MIN_RETURN_S), latest))
