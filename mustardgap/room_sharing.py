"""Decides how many machines each pool has, by the marginal utility of one more in each pool."""

import math
from collections.abc import Iterable, Sequence
from statistics import median
from typing import NamedTuple

# A machine that is moved works for its new pool this much later than the move itself takes: it has
# to be found, listed and leased.
LEAD_MARGIN_S = 0.9
# A busy machine is emptied before it moves, which takes a second, and is half idle meanwhile.
EMPTYING_S = 0.5
# The time over which the gain of a move counts. Rises and floods last for about 6 s.
HORIZON_S = 6.0
# Machines that are of use to their pool move to another only once that one has been short for this
# long. Single large jobs make a pool short for less.
GIVING_DELAY_S = 0.4
# The utility falls over a pool's demand from 1 to 1 less this, so that pools that are short
# together are covered to about the same share. With 0.75 a pool that rose first kept nearly all
# that it got: of one that rose 1 s later, 0.49 of the jobs were in time, against 0.75 with 0.9.
UTILITY_SPREAD = 0.9
# Added for demand of the most urgent queues, so that it comes before all other demand.
URGENT_BONUS = 1.0
# The utility of machines for lasting tasks and one job, above that of any other demand.
FLOOR_UTILITY = 3.0
# The utility of a machine that was needed throughout the last seconds and isn't now. It is less
# than that of any demand.
RECENT_UTILITY = 0.09
# The utility of a machine kept for a rise. That of any demand is at least 1 - UTILITY_SPREAD; times
# the gain of moving an idle machine, 0.6, it is still higher. So no reserve makes another pool
# short while the fleet suffices.
RESERVE_UTILITY = 0.05
# The utility of a machine that is kept for a rise while all pools together need more than the
# fleet has. A pool with four fifths of its demand loses little by one machine less, and one whose
# rise begins with no machines loses the jobs of its first 5 s.
SCARCE_RESERVE_UTILITY = 0.25
# Below this utility a machine isn't kept.
MIN_KEPT_UTILITY = 0.01
# Below this utility a standby machine isn't started, for demand that was there only for a moment.
MIN_STARTED_UTILITY = 0.03
# A pool that has never risen is expected to rise to this many times its mean demand.
RISE_FACTOR = 5.0
# Until its first rise a pool keeps at least this share of its first size, as its mean demand isn't
# known from a lull: between rises demand is a twentieth of the mean. With five times the demand of
# the lull alone, a pool that rose 1 s after another, both beyond the fleet, had 0.54 of its jobs in
# time, against 0.75 with this. All of the first size gave 0.69, for 1.6 times the idle machines.
FIRST_SIZE_SHARE = 0.5


class PoolLoad(NamedTuple):
    """A pool's load, in machines.

    ``size`` counts machines on the way to the pool and not those that leave it. ``urgent`` is the
    part of ``needed`` that belongs to the most urgent queues, ``floor`` what lasting tasks and one
    job need, ``recent`` the demand at moments of the last seconds. ``reserve`` is the size to keep
    for a rise. ``givable`` machines can leave the pool. ``short_s`` is for how long it has lacked
    machines. The load of a pool that isn't ``is_current`` is an earlier one: it keeps its claim on
    idle machines, and takes part in no move.
    """

    service: str
    size: int
    needed: float
    urgent: float = 0.0
    floor: int = 1
    recent: tuple[float, ...] = ()
    reserve: int = 0
    givable: int = 0
    short_s: float = 0.0
    is_current: bool = True


class Transfer(NamedTuple):
    """Machines to move from one pool to another; None stands for the standby pool."""

    source: str | None
    target: str | None
    machines: int


class Share(NamedTuple):
    """A pool's machines wanted, had and assigned, and the utility of one more than it has."""

    wanted: int
    had: int
    assigned: int
    utility: float


class Sharing(NamedTuple):
    """The decision: each pool's share, and the moves that lead there."""

    shares_by_service: dict[str, Share]
    transfers: list[Transfer]


def utilities(load: PoolLoad, *, is_scarce: bool = False) -> list[float]:
    """Return the utility of a pool's first machine, its second and so on, never increasing.

    :param is_scarce: whether all pools together need more than the fleet has.
    :return: as many as are of any use.
    """
    needed = math.ceil(load.needed)
    count = max(needed, load.floor, load.reserve, math.ceil(max(load.recent, default=0.0)))
    reserve_utility = SCARCE_RESERVE_UTILITY if is_scarce else RESERVE_UTILITY
    recent = sorted(load.recent)
    values = []
    below = 0
    for number in range(count):
        while below < len(recent) and recent[below] <= number:
            below += 1
        value = RECENT_UTILITY * (len(recent) - below) / len(recent) if recent else 0.0
        if number < load.reserve:
            value = max(value, reserve_utility)
        if number < needed:
            value = max(value, 1 - UTILITY_SPREAD * number / load.needed)
        if number < load.urgent:
            value = URGENT_BONUS + 1 - UTILITY_SPREAD * number / load.urgent
        values.append(FLOOR_UTILITY if number < load.floor else value)
    return values


def share(loads: Iterable[PoolLoad], *, idle: int, move_s: float) -> Sharing:
    """Decide how many machines each pool is to have.

    :param loads: the pools' loads.
    :param idle: how many standby machines can be started.
    :param move_s: how long a move takes, in seconds.
    """
    plan = _Plan(list(loads), idle, move_s)
    plan.fill()
    plan.release()
    return plan.sharing()


def rise_reserve(
    *, rise: float, first_size: int, lead_s: float, job_span_s: float, elsewhere: int
) -> int:
    """Return the size that a pool keeps for a rise.

    A rise builds up over the duration of a job, as the later steps of its jobs wait for the first
    ones. The pool keeps what the rise needs before machines of others work for it, or what others
    can't give, and never more than its first size.

    :param rise: the expected demand in the rise, in machines.
    :param first_size: the pool's size before any machine was moved.
    :param lead_s: the time from an order of a machine to its first task.
    :param job_span_s: the duration of a job, 0 if it isn't known.
    :param elsewhere: machines that other pools and standby have no use for.
    """
    built_up = rise * min(1.0, lead_s / job_span_s) if job_span_s else rise
    return min(math.ceil(max(built_up, rise - elsewhere)), first_size)


def first_reserve(reserve: int, first_size: int) -> int:
    """Return the size that a pool keeps until its first rise.

    :param reserve: what an expected rise needs.
    :param first_size: the pool's size before any machine was moved.
    """
    return max(reserve, math.ceil(FIRST_SIZE_SHARE * first_size))


def expected_rise(*, mean: float, first_size: int, others: Sequence[float]) -> float:
    """Return the demand, in machines, that a pool is expected to rise to for the first time.

    :param mean: the pool's mean demand in machines.
    :param first_size: the pool's size before any machine was moved.
    :param others: how many times their first size other pools have needed in their rises.
    """
    return median(others) * first_size if others else RISE_FACTOR * mean


class _Plan:
    """A decision in the making."""

    def __init__(self, loads: list[PoolLoad], idle: int, move_s: float) -> None:
        self._loads = {load.service: load for load in loads}
        needed = sum(max(math.ceil(load.needed), load.floor) for load in loads)
        is_scarce = needed > idle + sum(load.size for load in loads)
        self._utilities = {load.service: utilities(load, is_scarce=is_scarce) for load in loads}
        self._sizes = {load.service: load.size for load in loads}
        self._givable = {load.service: load.givable for load in loads if load.is_current}
        self._idle = idle
        lead_s = move_s + LEAD_MARGIN_S
        self._idle_gain = max(HORIZON_S - lead_s, 0.0) / HORIZON_S
        self._busy_gain = max(HORIZON_S - lead_s - EMPTYING_S, 0.0) / HORIZON_S
        self._counts: dict[tuple[str | None, str | None], int] = {}

    def fill(self) -> None:
        """Assign machines one by one to the pool where one more is of the greatest utility."""
        open_services = set(self._loads)
        while open_services:
            target = max(sorted(open_services), key=self._next_utility)
            utility = self._next_utility(target)
            if utility < MIN_KEPT_UTILITY:
                return
            load = self._loads[target]
            if self._idle and utility >= MIN_STARTED_UTILITY:
                self._idle -= 1
                self._move(None, target)
            elif load.is_current and (source := self._source(target, utility)):
                self._move(source, target)
            else:
                open_services.discard(target)

    def release(self) -> None:
        """Send machines to standby that are of no use to any pool."""
        for service in self._loads:
            while self._givable.get(service) and self._last_utility(service) < MIN_KEPT_UTILITY:
                self._move(service, None)

    def sharing(self) -> Sharing:
        """Return the decision."""
        shares_by_service = {}
        for service, load in self._loads.items():
            values = self._utilities[service]
            wanted = sum(value >= MIN_KEPT_UTILITY for value in values)
            utility = values[load.size] if 0 <= load.size < len(values) else 0.0
            shares_by_service[service] = Share(wanted, load.size, self._sizes[service], utility)
        transfers = [
            Transfer(source, target, count)
            for (source, target), count in self._counts.items()
            if target is None or self._loads[target].is_current
        ]
        return Sharing(shares_by_service, transfers)

    def _source(self, target: str, utility: float) -> str | None:
        """Return the pool whose last machine is worth moving to another, None if there is none."""
        donors = [service for service, count in self._givable.items() if count]
        donors = [service for service in donors if service != target]
        if not donors:
            return None
        source = min(donors, key=self._last_utility)
        return source if self._is_worth(source, target, utility) else None

    def _is_worth(self, source: str, target: str, utility: float) -> bool:
        kept = self._last_utility(source)
        if kept < MIN_KEPT_UTILITY:
            return True
        if self._loads[target].short_s < GIVING_DELAY_S:
            return False
        is_busy = self._sizes[source] <= self._loads[source].needed
        return utility * (self._busy_gain if is_busy else self._idle_gain) > kept

    def _move(self, source: str | None, target: str | None) -> None:
        if source is not None:
            self._sizes[source] -= 1
            self._givable[source] -= 1
        if target is not None:
            self._sizes[target] += 1
        self._counts[source, target] = self._counts.get((source, target), 0) + 1

    def _next_utility(self, service: str) -> float:
        return self._utility(service, self._sizes[service])

    def _last_utility(self, service: str) -> float:
        return self._utility(service, self._sizes[service] - 1)

    def _utility(self, service: str, number: int) -> float:
        values = self._utilities[service]
        if number < 0:
            return FLOOR_UTILITY
        return values[number] if number < len(values) else 0.0
