"""Foresees when a pool's demand rises again, where demand rises by turns."""

from itertools import pairwise
from statistics import median
from typing import NamedTuple

# A turn begins when a pool's smoothed demand passes this share of the most that it ever was, and
# ends when it falls below the lower one; either has to last, as single jobs rise and fall too.
BEGIN_SHARE = 0.45
END_SHARE = 0.25
LASTS_S = 0.8
# Demand below this many machines, or this share of the pool's first size, is no turn: there is
# nothing to bring or to let go.
LEAST_MACHINES = 2.0
LEAST_SHARE = 0.25
# Turns of different pools that begin within this time are one rise of all demand.
TOGETHER_S = 0.5
# Rises that are this much further apart than others, as a factor, don't follow a rhythm.
RHYTHM = 1.5


class Turn(NamedTuple):
    """A rise of one pool's demand."""

    service: str
    began_at: float


class Turns:
    """Learns from the rises seen so far how far apart they are, and in which order.

    A pool whose rises recur is expected after its last interval. Before it has risen twice, pools
    are taken to rise one after another, each once before the first does again; so the first
    forecast is there after two rises of any pools. Until then nothing is foretold.
    """

    def __init__(self) -> None:
        self.seen: list[Turn] = []
        self.peak_by_service: dict[str, float] = {}
        self._risen: set[str] = set()
        self._turning_since: dict[str, float] = {}

    def note(self, service: str, machines: float, now: float, *, given: int) -> bool:
        """Take in a pool's smoothed demand.

        :param machines: the demand in machines.
        :param now: seconds since the epoch.
        :param given: the pool's first size.
        :return: whether a rise has begun or ended.
        """
        peak = max(self.peak_by_service.get(service, 0.0), machines)
        self.peak_by_service[service] = peak
        risen = service in self._risen
        share = END_SHARE if risen else BEGIN_SHARE
        least = max(LEAST_MACHINES, LEAST_SHARE * given)
        if (machines >= max(share * peak, least)) == risen:
            self._turning_since.pop(service, None)
            return False
        since = self._turning_since.setdefault(service, now)
        if now - since < LASTS_S:
            return False
        del self._turning_since[service]
        if risen:
            self._risen.discard(service)
            return True
        self._risen.add(service)
        # Without another pool's rise in between it is the same turn that goes on.
        if not self.seen or self.seen[-1].service != service:
            self.seen.append(Turn(service, since))
        return True

    def is_risen(self, service: str) -> bool:
        """Whether a pool is in its turn."""
        return service in self._risen

    def has_risen(self, service: str) -> bool:
        """Whether a pool has had a turn."""
        return any(turn.service == service for turn in self.seen)

    def next_at(self, service: str, services: int, now: float) -> float | None:
        """When a pool's next turn is expected, None if that can't be told.

        :param services: how many pools there are.
        :param now: seconds since the epoch.
        """
        own = [turn.began_at for turn in self.seen if turn.service == service]
        gap = self._gap_s()
        if not own:
            # It may be the next one, if there is a rhythm.
            if gap is None or not self._is_rhythm():
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
        # A turn that didn't come is given half a round more, then the next one is expected.
        while expected + interval / 2 < now:
            expected += interval
        return expected

    def _gap_s(self) -> float | None:
        """How far apart the rises of different pools are."""
        gaps = self._gaps()
        return median(gaps) if gaps else None

    def _is_rhythm(self) -> bool:
        gaps = self._gaps()
        return len(gaps) > 1 and max(gaps) <= RHYTHM * min(gaps)

    def _gaps(self) -> list[float]:
        return [
            after.began_at - before.began_at
            for before, after in pairwise(self.seen)
            if after.began_at - before.began_at > TOGETHER_S
        ]
