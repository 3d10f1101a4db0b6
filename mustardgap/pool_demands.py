"""How many machines a pool needs, from how its demand went in the last seconds."""

import math
from collections import deque
from typing import NamedTuple

from .policies import WHOLE, Mechanism, Policy
from .pool_views import PoolView

# A machine is worth bringing for work that lasts longer than a passing peak; the demand is
# smoothed over this time before machines are asked for.
RISE_S = 0.3
# Machines are let go when the demand of all this time could do without them. Each goes back and
# forth for little more than it costs to keep it a second or two.
FALL_S = 0.6
# The share of a machine that placing fills on average.
FILL_SHARE = 0.9
# Room that is kept free beside the demand, as a share of one machine, for what comes next.
RESERVE_SHARE = 0.5
# A pool grows to this many times its first size at the most. At 4 times a risen pool leaves those
# that rise next with nothing: on a day of high load 0.90 of all was served, 0.97 at 2 times and
# 0.96 at 2.5.
MOST_GROWTH = 2.0
# A pool that keeps machines for a rise lends them to one that has work for them, down to this share
# of its first size. With 35 to 44 idle machines in each of three other pools a risen one had 61 for
# work that asked for 100 to 180; with none at all, the next rise would begin with nothing.
LENDING_FLOOR = 0.5
# A rise is taken to go on for this long; a third of what a move takes, as rises flatten.
GROWTH_S = 0.5
# How arrivals grow is seen over this time, of two or three views, and taken to go on for AHEAD_S.
# What is counted over the last moments lags by half of that time behind a rise, and a machine takes
# three times as long; a burst of some jobs is made up for by the reserve.
RAMP_S = 0.45
AHEAD_S = 0.75


class Forecast(NamedTuple):
    """What is expected of a pool.

    ``risen`` tells that it has had a rise, so that its size can follow its demand, and ``soon``
    that the next one is expected before a machine could be brought.
    """

    risen: bool
    soon: bool


class Sample(NamedTuple):
    """What a pool needed at a moment, and what its arrivals would keep busy, in thousandths."""

    at: float
    need: int
    arriving: int


class Balance(NamedTuple):
    """How many machines a pool lacks, and how many it can do without.

    ``liked`` are machines that it would like to have for an expected rise, ``lendable`` ones that
    it has no work for but keeps for a rise that can't be foreseen.
    """

    missing: int
    spare: int
    liked: int = 0
    lendable: int = 0


class PoolDemand:
    """Follows one pool's demand, in thousandths of a core.

    :param given: the size that the pool had before machines were moved.
    :param policy: what takes part.
    """

    def __init__(self, *, given: int, policy: Policy = WHOLE) -> None:
        self.smooth = 0.0
        self._smooth_passing = 0.0
        self._noted_at: float | None = None
        self._recent: deque[Sample] = deque()
        # A pool is left at this size until it has risen once: nothing is known of its rises before.
        self.given = given
        self._policy = policy

    def note(self, view: PoolView, now: float) -> None:
        """Take in a view of the pool.

        :param now: steady seconds.
        """
        passing = view.running_cpu + view.waiting_cpu
        need = view.lasting_cpu + passing
        if self._noted_at is None:
            self.smooth, self._smooth_passing = need, passing
        else:
            share = 1 - math.exp(-(now - self._noted_at) / RISE_S)
            self.smooth += (need - self.smooth) * share
            self._smooth_passing += (passing - self._smooth_passing) * share
        self._noted_at = now
        self._recent.append(Sample(now, need, view.arriving_cpu))
        while self._recent[0].at < now - FALL_S:
            self._recent.popleft()

    def machines(self, view: PoolView) -> float:
        """The smoothed demand in machines."""
        return self.smooth / (_machine_cpu(view) * FILL_SHARE)

    def passing_machines(self, view: PoolView) -> float:
        """The smoothed demand of work that ends by itself, in machines."""
        return self._smooth_passing / (_machine_cpu(view) * FILL_SHARE)

    def balance(
        self, view: PoolView, forecast: Forecast, *, coming: int, returning: int, leaving: int
    ) -> Balance:
        """Compare what the pool has with what it needs.

        :param coming: machines that are on their way to the pool.
        :param returning: those among them that a wave has, and gives back.
        :param leaving: machines of the pool that are being emptied.
        """
        # One that has shrunk to nothing does no work, and is no machine that its pool has.
        present = [e for e in view.executors if e.up_to_date and not e.draining and e.capacity_cpu]
        machine_cpu = _machine_cpu(view)
        size = len(present) + coming - leaving
        needed = self._needed(view, forecast)
        if view.lasting_unplaced and not coming:
            needed = max(needed, size + 1)
        if needed > size:
            return Balance(needed - size, 0)
        # With its first size a pool meets the beginning of a rise. To bring all that its last rise
        # needed costs more than it earns: of five rises foretold on a calm day three never came,
        # which took 152 moves in place of 122, and 900 machine-seconds in place of 850.
        awaited = self.given if forecast.soon else 0
        if size < awaited:
            return Balance(0, 0, awaited - size)
        peak = max((sample.need for sample in self._recent), default=0)
        kept = math.ceil((peak + RESERVE_SHARE * machine_cpu) / (machine_cpu * FILL_SHARE))
        kept = max(kept, needed, awaited, 1)
        if coming > returning:
            # One that grows lets nothing go: what comes would only take the place of what leaves.
            # One that gets its own back after maintenance doesn't grow. Taken for growing, pools
            # lent nothing while a wave went on; a risen one had 50 machines for work for 110.
            return Balance(0, 0)
        lent_down_to = max(kept, math.ceil(self.given * LENDING_FLOOR))
        if not forecast.risen and self._policy.has(Mechanism.FIRST_SIZE):
            kept = max(kept, self.given)
        spare = max(size - kept, 0)
        return Balance(0, spare, lendable=max(size - spare - lent_down_to, 0))

    def _needed(self, view: PoolView, forecast: Forecast) -> int:
        """How many machines the pool's work keeps busy, or will before others could be brought."""
        machine_cpu = _machine_cpu(view)
        there = self.machines(view) + self._growth(machine_cpu, forecast)
        arriving = self._arriving(view) / (machine_cpu * FILL_SHARE)
        needed = math.ceil(max(there, arriving))
        if not self._policy.has(Mechanism.GROWTH_BOUND):
            return needed
        # A backlog adds up to more machines than the work that goes on coming could use.
        return min(needed, int(self.given * MOST_GROWTH) + 1)

    def _arriving(self, view: PoolView) -> float:
        """What jobs that go on coming, and coming faster, will keep busy, in thousandths of a core.

        Of a rise to 30 jobs a second within 2 s the jobs of the last moments show the half, and 50
        jobs are late before the first machine for it is there. With what they grow by, 0.97 to 0.99
        of a calm day is served, 0.94 to 0.96 without (played four times and five).
        """
        if not self._policy.has(Mechanism.ARRIVALS):
            return 0.0
        if not self._policy.has(Mechanism.RAMP) or not self._recent:
            return view.arriving_cpu
        last = self._recent[-1]
        first = next(sample for sample in self._recent if sample.at >= last.at - RAMP_S)
        if first is last:
            return view.arriving_cpu
        ramp = max(last.arriving - first.arriving, 0) / (last.at - first.at)
        return view.arriving_cpu + ramp * AHEAD_S

    def _growth(self, machine_cpu: float, forecast: Forecast) -> float:
        """How many machines more the demand will need when one that is ordered now is there.

        Waiting until a pool is full costs the first seconds of each rise; a rise that goes on as
        it began is met half-way. Between rises that are known, single large jobs look like one.
        """
        if forecast.risen or len(self._recent) < 2 or not self._policy.has(Mechanism.GROWTH):
            return 0.0
        first, last = self._recent[0], self._recent[-1]
        slope = max((last.need - first.need) / max(last.at - first.at, 0.1), 0.0)
        return slope * GROWTH_S / (machine_cpu * FILL_SHARE)


def _machine_cpu(view: PoolView) -> float:
    sizes = [e.capacity_cpu for e in view.executors if e.capacity_cpu]
    return sum(sizes) / len(sizes) if sizes else 1.0
