"""How many machines a pool needs, from how its demand went in the last seconds."""

import math
from collections import deque
from typing import NamedTuple

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
# A pool grows to this many times its first size at the most.
MOST_GROWTH = 2.5
# A pool that keeps machines for a rise lends them to one that has work for them, down to this share
# of its first size. With 35 to 44 idle machines in each of three other pools a risen one had 61 for
# work that asked for 100 to 180; with none at all, the next rise would begin with nothing.
LENDING_FLOOR = 0.5
# A rise is taken to go on for this long; a third of what a move takes, as rises flatten.
GROWTH_S = 0.5


class Forecast(NamedTuple):
    """What is expected of a pool.

    ``quiet`` tells that no rise is expected while a machine could be brought back, ``soon`` that
    one is expected within that time, and ``machines`` what it would need then.
    """

    quiet: bool
    soon: bool
    machines: int = 0


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
    """

    def __init__(self, *, given: int) -> None:
        self.smooth = 0.0
        self._smooth_passing = 0.0
        self._noted_at: float | None = None
        self._recent: deque[tuple[float, int]] = deque()
        # A pool is left at this size until its demand can be foreseen.
        self.given = given

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
        self._recent.append((now, need))
        while self._recent and self._recent[0][0] < now - FALL_S:
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
        present = [e for e in view.executors if e.settled and not e.draining]
        machine_cpu = _machine_cpu(view)
        size = len(present) + coming - leaving
        arriving = view.arriving_cpu / (machine_cpu * FILL_SHARE)
        needed = math.ceil(max(self.machines(view) + self._growth(machine_cpu, forecast), arriving))
        # A backlog adds up to more machines than the work that goes on coming could use.
        needed = min(needed, int(self.given * MOST_GROWTH) + 1)
        if view.cramped and not coming:
            needed = max(needed, size + 1)
        if needed > size:
            return Balance(needed - size, 0)
        awaited = max(self.given, forecast.machines) if forecast.soon else 0
        if size < awaited:
            return Balance(0, 0, awaited - size)
        peak = max((need for _, need in self._recent), default=0)
        kept = math.ceil((peak + RESERVE_SHARE * machine_cpu) / (machine_cpu * FILL_SHARE))
        kept = max(kept, needed, awaited, 1)
        if coming > returning:
            # One that grows lets nothing go: what comes would only take the place of what leaves.
            # One that gets its own back after maintenance doesn't grow. Taken for growing, pools
            # lent nothing while a wave went on; a risen one had 50 machines for work for 110.
            return Balance(0, 0)
        lent_down_to = max(kept, math.ceil(self.given * LENDING_FLOOR))
        if not forecast.quiet:
            kept = max(kept, self.given)
        spare = max(size - kept, 0)
        return Balance(0, spare, lendable=max(size - spare - lent_down_to, 0))

    def _growth(self, machine_cpu: float, forecast: Forecast) -> float:
        """How many machines more the demand will need when one that is ordered now is there.

        Waiting until a pool is full costs the first seconds of each rise; a rise that goes on as
        it began is met half-way. Where no rise is expected, single large jobs look like one.
        """
        if forecast.quiet or len(self._recent) < 2:
            return 0.0
        since, before = self._recent[0]
        at, need = self._recent[-1]
        slope = max((need - before) / max(at - since, 0.1), 0.0)
        return slope * GROWTH_S / (machine_cpu * FILL_SHARE)


def _machine_cpu(view: PoolView) -> float:
    sizes = [e.capacity_cpu for e in view.executors if e.capacity_cpu]
    return sum(sizes) / len(sizes) if sizes else 1.0
