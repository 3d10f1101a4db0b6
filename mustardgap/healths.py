"""Estimates the health of an executor from the tries that were sent to it."""

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
# Width of the confidence interval in standard deviations: 1.96 leaves 2.5 % on each side.
CONFIDENCE_Z = 1.96


class HealthSign(NamedTuple):
    """What one try indicates about an executor's health.

    ``hard`` failures are caused by the executor itself; others may be caused by the request or a
    dependency of all executors. ``unreachable`` means that no connection was made. ``by_time``
    means that nothing but a timeout was observed.
    """

    failed: bool
    hard: bool = False
    unreachable: bool = False
    by_time: bool = False


@singledispatch
def health_sign(result: Any) -> HealthSign | None:
    """Return what the result of a try indicates about its executor, None for nothing.

    :param result: the result of a try.
    """
    raise TypeError(f"{type(result).__name__} is not the result of a try")


@health_sign.register
def _(result: NotSent) -> HealthSign | None:
    if not result.unreachable:
        return None
    return HealthSign(True, hard=True, unreachable=True, by_time=result.by_time)


@health_sign.register
def _(result: Refused) -> HealthSign | None:
    # A leaving executor refuses requests as planned; it isn't sick.
    return None if result.leaving else HealthSign(True)


@health_sign.register
def _(result: Complete) -> HealthSign | None:
    return HealthSign(result.status in FAILED_STATUSES)


@health_sign.register
def _(result: Relayed) -> HealthSign | None:
    return HealthSign(result.status in FAILED_STATUSES)


@health_sign.register
def _(result: TimedOut) -> HealthSign | None:
    return HealthSign(True, by_time=True)


@health_sign.register(Truncated)
@health_sign.register(Reset)
@health_sign.register(Mismatch)
def _(result: Any) -> HealthSign | None:
    return HealthSign(True, hard=True)


@health_sign.register
def _(result: CallerGone) -> HealthSign | None:
    return None


class Health:
    """The recent tries at one executor; older ones decay with a half-life of ``HALF_LIFE_S``.

    ``tries`` is their number, ``timed_tries`` the number of those with a known duration.
    """

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.tries = 0.0
        self.timed_tries = 0.0
        self._failures = 0.0
        self._total_s = 0.0
        self._decayed_at = 0.0

    def note_try(self, sign: HealthSign, took_s: float | None, now: float) -> None:
        """Add one try.

        :param sign: what the try indicates.
        :param took_s: duration of the try in seconds, None if unknown.
        :param now: the time in monotonic seconds.
        """
        self._decay(now)
        self.tries += 1.0
        if took_s is not None:
            self.timed_tries += 1.0
            self._total_s += took_s
        if sign.failed:
            self._failures += 1.0
            self.consecutive_failures += 1
        else:
            self.consecutive_failures = 0

    @property
    def failure_ratio(self) -> float:
        """The share of tries that failed."""
        return self._failures / self.tries if self.tries else 0.0

    @property
    def failure_ratio_lower_bound(self) -> float:
        """The lower bound of the true failure ratio, given these tries.

        :return: the lower bound of the Wilson score interval, 0 to 1; it is low for few tries.
        """
        if not self.tries:
            return 0.0
        share, spread = self.failure_ratio, CONFIDENCE_Z**2 / self.tries
        center = share + spread / 2
        margin = sqrt(spread * (share * (1 - share) + spread / 4))
        return max(0.0, (center - margin) / (1 + spread))

    @property
    def mean_s(self) -> float:
        """The mean duration of a try in seconds."""
        return self._total_s / self.timed_tries if self.timed_tries else 0.0

    def clear(self) -> None:
        """Forget all tries."""
        self.consecutive_failures = 0
        self.tries = self._failures = self.timed_tries = self._total_s = 0.0

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_S) if self._decayed_at else 1.0
        self._decayed_at = now
        self.tries *= factor
        self._failures *= factor
        self.timed_tries *= factor
        self._total_s *= factor
