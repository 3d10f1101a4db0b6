"""How healthy an executor looks from the tries that were sent to it."""

from functools import singledispatch
from math import sqrt
from typing import Any, NamedTuple

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
)

HALF_LIFE_S = 5.0
FAILED_STATUSES = frozenset({500, 502, 503, 504})
# Standard deviations that an estimate may be off: 1.96 leaves a chance of 2.5 % on that side.
CONFIDENCE = 1.96


class Sign(NamedTuple):
    """What one try says of an executor's health.

    ``hard`` failures are the executor's own; the others may come from the requests or from what
    stands behind all executors. ``unreachable`` is when no connection was made. ``by_time`` is when
    nothing was seen but that the time was over.
    """

    failed: bool
    hard: bool = False
    unreachable: bool = False
    by_time: bool = False


@singledispatch
def sign_of(result: Any) -> Sign | None:
    """What the result of a try says of its executor, None for nothing.

    :param result: the result of a try.
    """
    raise TypeError(f"{type(result).__name__} is not the result of a try")


@sign_of.register
def _(result: NotSent) -> Sign | None:
    if not result.unreachable:
        return None
    return Sign(True, hard=True, unreachable=True, by_time=result.by_time)


@sign_of.register
def _(result: Refused) -> Sign | None:
    # An executor that leaves refuses by plan; it isn't sick.
    return None if result.leaving else Sign(True)


@sign_of.register
def _(result: Complete) -> Sign | None:
    return Sign(result.status in FAILED_STATUSES)


@sign_of.register
def _(result: Relayed) -> Sign | None:
    return Sign(result.status in FAILED_STATUSES)


@sign_of.register
def _(result: TimedOut) -> Sign | None:
    return Sign(True, by_time=True)


@sign_of.register(Truncated)
@sign_of.register(Reset)
@sign_of.register(Mismatch)
def _(result: Any) -> Sign | None:
    return Sign(True, hard=True)


@sign_of.register
def _(result: CallerGone) -> Sign | None:
    return None


class Health:
    """The recent tries at one executor; old ones fade with a half-life of some seconds.

    ``tries`` is how many there are, ``timed`` of how many it is known how long they took.
    """

    def __init__(self) -> None:
        self.failures_in_row = 0
        self.tries = 0.0
        self.timed = 0.0
        self._failures = 0.0
        self._took_s = 0.0
        self._faded = 0.0

    def note(self, sign: Sign, took_s: float | None, now: float) -> None:
        """Take in one try.

        :param sign: what it says.
        :param took_s: seconds it took, None when that can't be told.
        :param now: monotonic seconds.
        """
        self._fade(now)
        self.tries += 1.0
        if took_s is not None:
            self.timed += 1.0
            self._took_s += took_s
        if sign.failed:
            self._failures += 1.0
            self.failures_in_row += 1
        else:
            self.failures_in_row = 0

    @property
    def failure_ratio(self) -> float:
        """The share of tries that failed."""
        return self._failures / self.tries if self.tries else 0.0

    @property
    def surest_failure_ratio(self) -> float:
        """The share of failing tries that these tries show at the least.

        :return: the lower end of Wilson's interval, 0 to 1; few tries show little.
        """
        if not self.tries:
            return 0.0
        share, spread = self.failure_ratio, CONFIDENCE**2 / self.tries
        middle = share + spread / 2
        margin = sqrt(spread * (share * (1 - share) + spread / 4))
        return max(0.0, (middle - margin) / (1 + spread))

    @property
    def mean_s(self) -> float:
        """Seconds that a try took on average."""
        return self._took_s / self.timed if self.timed else 0.0

    def clear(self) -> None:
        """Forget all tries."""
        self.failures_in_row = 0
        self.tries = self._failures = self.timed = self._took_s = 0.0

    def _fade(self, now: float) -> None:
        factor = 0.5 ** ((now - self._faded) / HALF_LIFE_S) if self._faded else 1.0
        self._faded = now
        self.tries *= factor
        self._failures *= factor
        self.timed *= factor
        self._took_s *= factor
