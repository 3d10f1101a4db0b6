"""Accounts for the use of a pool's machines, in machine-seconds, about once a second."""

from typing import NamedTuple

from .pool_demands import Forecast
from .pool_views import PoolView

LOG_INTERVAL_S = 1.0
# After a longer gap between two views the pool may have had any size in between; the rest of the
# gap isn't counted.
MAX_GAP_S = 1.0


class PoolUse(NamedTuple):
    """Machine-seconds of one pool by what the machines did, or were kept for."""

    at_work: float = 0.0
    first_size: float = 0.0
    awaited: float = 0.0
    reserve: float = 0.0
    emptying: float = 0.0
    moving: float = 0.0

    def plus(self, other: "PoolUse") -> "PoolUse":
        """Return the sum of two uses."""
        return PoolUse(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))


def split_use(
    view: PoolView, forecast: Forecast, *, coming: int, leaving: int, seconds: float
) -> PoolUse:
    """Split a pool's machine-seconds over a time by their use.

    :param coming: machines on their way to the pool.
    :param leaving: machines of the pool that are being emptied.
    :param seconds: the length of the time.
    """
    at_work = sum(e.used_cpu / e.capacity_cpu for e in view.executors if e.capacity_cpu)
    idle = max(len(view.executors) - at_work - leaving, 0.0)
    use = PoolUse(at_work=at_work, emptying=leaving, moving=coming)
    if not forecast.has_risen:
        use = use._replace(first_size=idle)
    elif forecast.rise_due:
        use = use._replace(awaited=idle)
    else:
        use = use._replace(reserve=idle)
    return PoolUse(*(machines * seconds for machines in use))


class PoolTally:
    """Adds up one pool's use between two log lines."""

    def __init__(self) -> None:
        self._use = PoolUse()
        self._noted_at: float | None = None
        self._logged_at = float("-inf")

    def note(
        self, view: PoolView, forecast: Forecast, *, coming: int, leaving: int, now: float
    ) -> PoolUse | None:
        """Add the pool's use since the last call.

        :param coming: machines on their way to the pool.
        :param leaving: machines of the pool that are being emptied.
        :param now: monotonic seconds.
        :return: the use to log, about once a second; None in between.
        """
        previous_at = self._noted_at
        self._noted_at = now
        if previous_at is None:
            self._logged_at = now
            return None
        seconds = min(now - previous_at, MAX_GAP_S)
        used = split_use(view, forecast, coming=coming, leaving=leaving, seconds=seconds)
        self._use = self._use.plus(used)
        if now - self._logged_at < LOG_INTERVAL_S:
            return None
        total, self._use, self._logged_at = self._use, PoolUse(), now
        return total
