"""Detects rises of the pools' demand, and forecasts the next one where rises recur."""

import math
from itertools import pairwise
from statistics import median
from typing import NamedTuple

# A rise begins when a pool's smoothed demand exceeds this share of its highest demand so far.
BEGIN_SHARE = 0.45
# A rise ends when the pool's smoothed demand falls below this share of its highest so far.
END_SHARE = 0.25
# A rise begins or ends only once the demand has been past its threshold for this long, as single
# jobs raise and lower it for less.
MIN_CHANGE_S = 0.8
# Demand below this many machines is no rise: there is no machine to bring or to release.
MIN_RISE_MACHINES = 2.0
# Demand below this share of the pool's first size is no rise: there is no machine to bring or to
# release.
MIN_RISE_SHARE = 0.25
# Rises of different pools that begin within this time count as one rise of the total demand.
SIMULTANEOUS_S = 0.5
# Intervals between rises are regular if the longest is at most this many times the shortest.
MAX_INTERVAL_RATIO = 1.5


class Rise(NamedTuple):
    """A rise of one pool's demand; ``began_at`` is in seconds since the epoch."""

    service: str
    began_at: float


class DemandRises:
    """Learns the intervals and the order of rises from those seen so far.

    A pool that has risen at least twice is expected to rise again after its last interval. Until
    then pools are assumed to rise one after another, each once before the first rises again, so
    two rises of any pools suffice for a first forecast. Without them there is no forecast.
    """

    def __init__(self) -> None:
        self.seen: list[Rise] = []
        self.peak_by_service: dict[str, float] = {}
        self._risen: set[str] = set()
        self._changing_since: dict[str, float] = {}

    def note(self, service: str, machines: float, now: float, *, given: int) -> bool:
        """Update a pool's state from its smoothed demand.

        :param machines: the demand in machines.
        :param now: seconds since the epoch.
        :param given: the pool's size in machines before any were moved.
        :return: whether a rise has begun or ended.
        """
        peak = max(self.peak_by_service.get(service, 0.0), machines)
        self.peak_by_service[service] = peak
        risen = service in self._risen
        share = END_SHARE if risen else BEGIN_SHARE
        minimum = max(MIN_RISE_MACHINES, MIN_RISE_SHARE * given)
        if (machines >= max(share * peak, minimum)) == risen:
            self._changing_since.pop(service, None)
            return False
        since = self._changing_since.setdefault(service, now)
        if now - since < MIN_CHANGE_S:
            return False
        del self._changing_since[service]
        if risen:
            self._risen.discard(service)
            return True
        self._risen.add(service)
        # Without a rise of another pool in between, the same rise continues.
        if not self.seen or self.seen[-1].service != service:
            self.seen.append(Rise(service, since))
        return True

    def is_risen(self, service: str) -> bool:
        """Return whether a pool's demand is risen now."""
        return service in self._risen

    def has_risen(self, service: str) -> bool:
        """Return whether a pool has ever had a rise."""
        return any(rise.service == service for rise in self.seen)

    def next_at(self, service: str, services: int, now: float) -> float | None:
        """Forecast when a pool's next rise begins.

        :param services: the number of pools.
        :param now: seconds since the epoch.
        :return: seconds since the epoch, None if there is no forecast.
        """
        own = [rise.began_at for rise in self.seen if rise.service == service]
        gap = self._gap_s()
        if not own:
            # With regular intervals, this pool may be the next one to rise.
            if gap is None or not self._is_regular():
                return None
            expected, interval = self.seen[-1].began_at + gap, gap
        elif len(own) > 1:
            interval = own[-1] - own[-2]
            expected = own[-1] + interval
        elif gap is not None:
            interval = gap * services
            expected = own[-1] + interval
        else:
            return None
        if interval <= SIMULTANEOUS_S:
            # The time of day was set back between the two rises.
            return None
        # A missed rise stays expected for half an interval more, then the next one is expected.
        missed = math.ceil((now - expected) / interval - 0.5)
        return expected + max(missed, 0) * interval

    def _gap_s(self) -> float | None:
        """Return the median interval between successive rises of any pools."""
        gaps = self._gaps()
        return median(gaps) if gaps else None

    def _is_regular(self) -> bool:
        gaps = self._gaps()
        return len(gaps) > 1 and max(gaps) <= MAX_INTERVAL_RATIO * min(gaps)

    def _gaps(self) -> list[float]:
        return [
            after.began_at - before.began_at
            for before, after in pairwise(self.seen)
            if after.began_at - before.began_at > SIMULTANEOUS_S
        ]
