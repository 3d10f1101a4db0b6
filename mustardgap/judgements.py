"""What the result of a try means: the outcome of its request, and whether to send it again."""

import random
from enum import Enum
from functools import singledispatch
from typing import Any

from . import status_codes
from .healths import FAILED_STATUSES
from .outcomes import Answered, BrokenOff, NotRun, Outcome, Streamed, Unknown
from .tries import (
    CallerGone,
    Cut,
    Mismatch,
    NotSent,
    PassedOn,
    Refused,
    Reset,
    TimedOut,
    TryResult,
    Whole,
)

COME_BACK_S = 2.0


def spread(seconds: float) -> float:
    """Spread a time to come back, so that those refused together don't come back together."""
    return random.uniform(0.5, 1.5) * seconds


class Again(Enum):
    """Whether and at what price a request may be sent again after a try."""

    NEVER = "never"
    FREE = "free"
    BUDGET = "budget"


def again(result: TryResult, *, idempotent: bool) -> Again:
    """Whether a request may be sent again after a try.

    :param result: the result of the try.
    :param idempotent: whether the request may run more than once.
    """
    if isinstance(result, NotSent):
        # No executor was given any work, so this can't multiply an overload.
        return Again.FREE
    if isinstance(result, Refused):
        return Again.BUDGET
    if not idempotent or getattr(result, "begun", False):
        return Again.NEVER
    if isinstance(result, TimedOut):
        # The budget was asked before the try was given up.
        return Again.FREE if result.early else Again.NEVER
    if isinstance(result, Whole):
        return Again.BUDGET if result.status in FAILED_STATUSES else Again.NEVER
    return Again.BUDGET if isinstance(result, Reset | Cut | Mismatch) else Again.NEVER


@singledispatch
def outcome_of(result: Any, executor: str) -> Outcome:
    """The outcome of a request whose last try had this result.

    :param result: the result of the try.
    :param executor: the executor's id.
    """
    raise TypeError(f"{type(result).__name__} is not the result of a try")


@outcome_of.register
def _(result: NotSent, executor: str) -> Outcome:
    retry_after = spread(COME_BACK_S)
    return NotRun(code=status_codes.NO_EXECUTOR, detail=result.detail, retry_after=retry_after)


@outcome_of.register
def _(result: Refused, executor: str) -> Outcome:
    retry_after = spread(COME_BACK_S)
    return NotRun(code=status_codes.EXECUTOR_REFUSED, detail=result.detail, retry_after=retry_after)


@outcome_of.register
def _(result: Whole, executor: str) -> Outcome:
    return Answered(
        status=result.status, headers=result.headers, body=result.body, executor=executor
    )


@outcome_of.register
def _(result: PassedOn, executor: str) -> Outcome:
    return Streamed(status=result.status, size=result.size, executor=executor)


@outcome_of.register
def _(result: Cut, executor: str) -> Outcome:
    kind = BrokenOff if result.begun else Unknown
    return kind(code=status_codes.UNKNOWN_CUT, detail=result.detail, executor=executor)


@outcome_of.register
def _(result: Reset, executor: str) -> Outcome:
    return Unknown(code=status_codes.UNKNOWN_RESET, detail=result.detail, executor=executor)


@outcome_of.register
def _(result: TimedOut, executor: str) -> Outcome:
    kind = BrokenOff if result.begun else Unknown
    return kind(code=status_codes.UNKNOWN_TIMEOUT, executor=executor)


@outcome_of.register
def _(result: Mismatch, executor: str) -> Outcome:
    return Unknown(code=status_codes.UNKNOWN_MISMATCH, detail=result.detail, executor=executor)


@outcome_of.register
def _(result: CallerGone, executor: str) -> Outcome:
    return BrokenOff(code=status_codes.CALLER_GONE, executor=executor)
