"""Decides by the result of a try whether to retry its request, and what the outcome is."""

import random
from enum import Enum
from functools import singledispatch
from typing import Any

from . import status_codes
from .healths import FAILED_STATUSES
from .outcomes import Answered, BrokenOff, NotRun, Outcome, Streamed, Unknown
from .tries import (
    CallerGone,
    Complete,
    Mismatch,
    NotSent,
    Refused,
    Relayed,
    Reset,
    TimedOut,
    Truncated,
    TryResult,
)

# Callers whose requests weren't run are asked to retry after about this long.
RETRY_AFTER_S = 2.0


def jitter(seconds: float) -> float:
    """Randomize a retry delay, so that callers refused together don't retry together.

    :param seconds: the mean delay.
    :return: between half and one and a half times the mean, in seconds.
    """
    return random.uniform(0.5, 1.5) * seconds


class RetryCost(Enum):
    """Whether a request may be retried, and whether that uses the retry budget."""

    NEVER = "never"
    FREE = "free"
    BUDGET = "budget"


def retry_cost(result: TryResult, *, idempotent: bool) -> RetryCost:
    """Decide whether a request may be retried, and whether that uses the retry budget.

    :param result: the result of the try.
    :param idempotent: whether the request may run more than once.
    """
    if isinstance(result, NotSent):
        # No executor got any work, so a retry can't amplify an overload.
        return RetryCost.FREE
    if isinstance(result, Refused):
        return RetryCost.BUDGET
    if not idempotent or getattr(result, "begun", False):
        return RetryCost.NEVER
    if isinstance(result, TimedOut):
        # The retry budget was charged before the try was ended early.
        return RetryCost.FREE if result.early else RetryCost.NEVER
    if isinstance(result, Complete):
        return RetryCost.BUDGET if result.status in FAILED_STATUSES else RetryCost.NEVER
    return RetryCost.BUDGET if isinstance(result, Reset | Truncated | Mismatch) else RetryCost.NEVER


@singledispatch
def outcome_of(result: Any, executor: str) -> Outcome:
    """Return the outcome of a request by the result of its last try.

    :param result: the result of the last try.
    :param executor: the executor's id.
    """
    raise TypeError(f"{type(result).__name__} is not the result of a try")


@outcome_of.register
def _(result: NotSent, executor: str) -> Outcome:
    retry_after = jitter(RETRY_AFTER_S)
    return NotRun(code=status_codes.NO_EXECUTOR, detail=result.detail, retry_after=retry_after)


@outcome_of.register
def _(result: Refused, executor: str) -> Outcome:
    retry_after = jitter(RETRY_AFTER_S)
    return NotRun(code=status_codes.EXECUTOR_REFUSED, detail=result.detail, retry_after=retry_after)


@outcome_of.register
def _(result: Complete, executor: str) -> Outcome:
    return Answered(
        status=result.status, headers=result.headers, body=result.body, executor=executor
    )


@outcome_of.register
def _(result: Relayed, executor: str) -> Outcome:
    return Streamed(status=result.status, size=result.size, executor=executor)


@outcome_of.register
def _(result: Truncated, executor: str) -> Outcome:
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
