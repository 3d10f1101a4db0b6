"""What a pool's machines were for, in machine-seconds, told once a second."""

from typing import NamedTuple

from .pool_demands import Forecast
from .pool_views import PoolView

TELL_S = 1.0
# A pool that wasn't heard of for longer may have had any size meanwhile.
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
        """The sum of two uses."""
        return PoolUse(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))


def use_of(
    view: PoolView, forecast: Forecast, *, coming: int, leaving: int, seconds: float
) -> PoolUse:
    """Split what a pool had for some time.

    :param coming: machines on their way to it.
    :param leaving: machines of it that are being emptied.
    :param seconds: for how long.
    """
    at_work = sum(e.used_cpu / e.capacity_cpu for e in view.executors if e.capacity_cpu)
    idle = max(len(view.executors) - at_work - leaving, 0.0)
    use = PoolUse(at_work=at_work, emptying=leaving, moving=coming)
    if not forecast.risen:
        use = use._replace(first_size=idle)
    elif forecast.soon:
        use = use._replace(awaited=idle)
    else:
        use = use._replace(reserve=idle)
    return PoolUse(*(machines * seconds for machines in use))


class PoolTally:
    """Adds up one pool's uses between two lines of the log."""

    def __init__(self) -> None:
        self._use = PoolUse()
        self._noted_at: float | None = None
        self._told_at = float("-inf")

    def note(
        self, view: PoolView, forecast: Forecast, *, coming: int, leaving: int, now: float
    ) -> PoolUse | None:
        """Take in the pool as it is now.

        :param now: steady seconds.
        :return: what to tell, about once a second.
        """
        before = self._noted_at
        self._noted_at = now
        if before is None:
            self._told_at = now
            return None
        seconds = min(now - before, MAX_GAP_S)
        used = use_of(view, forecast, coming=coming, leaving=leaving, seconds=seconds)
        self._use = self._use.plus(used)
        if now - self._told_at < TELL_S:
            return None
        told, self._use, self._told_at = self._use, PoolUse(), now
        return told
