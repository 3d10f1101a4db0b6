"""Foresees when a pool's demand rises again, where demand rises by turns."""

from statistics import median
from typing import NamedTuple

# A turn begins when a pool's smoothed demand passes this share of the most that it ever was, and
# ends when it falls below the lower one.
BEGIN_SHARE = 0.45
END_SHARE = 0.25
# Demand below this many machines is no turn: there is nothing to bring or to let go.
LEAST_MACHINES = 1.5
# Turns of different pools that begin within this time are one rise of all demand.
TOGETHER_S = 0.5


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

    def note(self, service: str, machines: float, now: float) -> bool:
        """Take in a pool's smoothed demand.

        :param machines: the demand in machines.
        :param now: seconds since the epoch.
        :return: whether a rise has begun or ended.
        """
        peak = max(self.peak_by_service.get(service, 0.0), machines)
        self.peak_by_service[service] = peak
        if service in self._risen:
            if machines < END_SHARE * peak:
                self._risen.discard(service)
                return True
        elif machines >= max(BEGIN_SHARE * peak, LEAST_MACHINES):
            self._risen.add(service)
            self.seen.append(Turn(service, now))
            return True
        return False

    def is_risen(self, service: str) -> bool:
        """Whether a pool is in its turn."""
        return service in self._risen

    def peak(self, service: str) -> float:
        """The most machines that a pool's rises took, 0 if there was none."""
        if not any(turn.service == service for turn in self.seen):
            return 0.0
        return self.peak_by_service.get(service, 0.0)

    def next_at(self, service: str, services: int, now: float) -> float | None:
        """When a pool's next turn is expected, None if that can't be told.

        :param services: how many pools there are.
        :param now: seconds since the epoch.
        """
        own = [turn.began_at for turn in self.seen if turn.service == service]
        gap = self._gap_s()
        if not own:
            # It may be the next one; the one after it is soon enough to look again.
            if gap is None:
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
        gaps = [
            after.began_at - before.began_at
            for before, after in zip(self.seen, self.seen[1:], strict=False)
            if after.service != before.service and after.began_at - before.began_at > TOGETHER_S
        ]
        return median(gaps) if gaps else None
