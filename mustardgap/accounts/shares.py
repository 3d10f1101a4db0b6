"""Shares of client accounts in the capacity of all pools, by their weights.

The owner of each pool counts the work that arrives for each account. The fleet's owner computes
weighted max-min fair shares of the whole capacity, and tells the pools which fraction of an
account's work exceeds its share. A pool's owner marks that fraction of the account's jobs, which
yield to others where capacity is short. Wrong or missing figures cost fairness only: every job is
accepted and served as before.
"""

import hashlib
import math
from collections.abc import Callable, Mapping
from itertools import accumulate
from typing import NamedTuple

from ..resources import Room
from .allowances import NO_GRANT, GrantNumber

# The window over which arriving work is counted. A flood lasts for some 6 s; in a shorter window a
# small account's few jobs would count as a flood by chance.
ARRIVAL_WINDOW_S = 2.0
# Figures hold unchanged for this long, which covers a few lost rounds of the fleet's owner (0.2 s),
# and then decay to none.
FIGURES_HOLD_S = 1.0
FIGURES_VALID_S = 3.0
# Arrivals that are counted at most, which bounds the memory to about 3 MB; the oldest go first.
MAX_ARRIVALS = 10_000
# Accounts that metrics and log lines name at most, the largest first.
MAX_NAMED_ACCOUNTS = 20
# Sums below this are what rounding leaves over.
MIN_CORE_S = 1e-6
_MARK_BYTES = 8


class Work(NamedTuple):
    """The work of a job: core-seconds of processor time and MB-seconds of memory."""

    core_s: float
    memory_mb_s: float

    def scarcest(self, cores_per_mb: float) -> float:
        """Return the core-seconds of its scarcest resource.

        :param cores_per_mb: the cores that the pool has for each MB of memory.
        """
        return max(self.core_s, self.memory_mb_s * cores_per_mb)


def cores_per_mb(capacity: Room) -> float:
    """Return the cores that a pool has for each MB of memory; 0 while nothing is known of it."""
    return capacity.cpu / 1000 / capacity.memory_mb if capacity.memory_mb > 0 else 0.0


def valid_weight(weight: float) -> float:
    """Return an account's weight; one that isn't a positive number counts as 1."""
    return weight if 0 < weight < math.inf else 1.0


class ArrivedWork(NamedTuple):
    """The core-seconds of an account that arrived within the window, and those marked as excess."""

    arrived: float = 0.0
    marked: float = 0.0


class _Arrival(NamedTuple):
    account: str
    core_s: float
    at: float
    marked: bool = False


class ArrivalCounter:
    """Counts the work that arrives at one pool, by account."""

    def __init__(self) -> None:
        self._arrivals_by_key: dict[str, _Arrival] = {}
        self._sums_by_account: dict[str, ArrivedWork] = {}

    def note(self, key: str, account: str, core_s: float, at: float) -> None:
        """Note work that arrives; a repetition with the same key isn't counted again.

        :param core_s: the core-seconds of its scarcest resource.
        :param at: seconds since the epoch.
        """
        if key in self._arrivals_by_key:
            return
        self._expire(at, MAX_ARRIVALS - 1)
        self._arrivals_by_key[key] = _Arrival(account, core_s, at)
        self._add(account, core_s, 0.0)

    def mark(self, key: str) -> None:
        """Count an arrival as excess, if it is within the window."""
        arrival = self._arrivals_by_key.get(key)
        if arrival is not None and not arrival.marked:
            self._arrivals_by_key[key] = arrival._replace(marked=True)
            self._add(arrival.account, 0.0, arrival.core_s)

    def of_account(self, account: str, now: float) -> ArrivedWork:
        """Return what arrived of one account.

        :param now: seconds since the epoch.
        """
        self._expire(now, MAX_ARRIVALS)
        return self._sums_by_account.get(account, ArrivedWork())

    def by_account(self, now: float) -> dict[str, float]:
        """Return the core-seconds that arrived within the window.

        :param now: seconds since the epoch.
        """
        self._expire(now, MAX_ARRIVALS)
        return {a: round(sums.arrived, 3) for a, sums in self._sums_by_account.items()}

    def _expire(self, now: float, limit: int) -> None:
        arrivals = self._arrivals_by_key
        while arrivals:
            oldest = next(iter(arrivals))
            if len(arrivals) <= limit and now - arrivals[oldest].at < ARRIVAL_WINDOW_S:
                break
            arrival = arrivals.pop(oldest)
            self._add(arrival.account, -arrival.core_s, -arrival.core_s * arrival.marked)
        if not arrivals:
            # Sums of floats would drift if they were never begun anew.
            self._sums_by_account.clear()

    def _add(self, account: str, core_s: float, marked_core_s: float) -> None:
        sums = self._sums_by_account.get(account, ArrivedWork())
        added = ArrivedWork(sums.arrived + core_s, sums.marked + marked_core_s)
        if added.arrived < MIN_CORE_S:
            self._sums_by_account.pop(account, None)
        else:
            self._sums_by_account[account] = added


def fair_shares(
    demands_by_account: Mapping[str, float],
    weight_of: Callable[[str], float],
    capacity: float,
) -> dict[str, float]:
    """Return the weighted max-min fair shares of a capacity.

    An account that wants less than its part of what is left gets what it wants; the rest is shared
    among the others by their weights.

    :param demands_by_account: what each account wants, in the capacity's unit.
    :param weight_of: returns an account's weight.
    """
    weights = {account: valid_weight(weight_of(account)) for account in demands_by_account}
    ordered = sorted(demands_by_account, key=lambda a: demands_by_account[a] / weights[a])
    # Summed from the end: subtracting from the whole sum could leave 0 beside a very large weight.
    weights_left = list(accumulate(weights[account] for account in reversed(ordered)))
    left = max(capacity, 0.0)
    shares: dict[str, float] = {}
    for account in ordered:
        part = left * weights[account] / weights_left.pop()
        shares[account] = min(demands_by_account[account], part)
        left -= shares[account]
    return shares


class SharePlan(NamedTuple):
    """What the fleet's owner decided: cores that each account wants and gets.

    ``excess_by_account`` has the fraction of an account's arriving work that exceeds its share, for
    those accounts that exceed it.
    """

    number: GrantNumber
    capacity: float
    demands_by_account: dict[str, float]
    shares_by_account: dict[str, float]
    excess_by_account: dict[str, float]

    def largest(self) -> list[str]:
        """Return the accounts whose demand is largest, at most ``MAX_NAMED_ACCOUNTS``."""
        demands = self.demands_by_account
        return sorted(demands, key=lambda a: (-demands[a], a))[:MAX_NAMED_ACCOUNTS]


class _PoolCounts(NamedTuple):
    arrivals_by_account: dict[str, float]
    capacity: float
    at: float


class ShareBalancer:
    """Decides the shares of accounts over all pools.

    :param epoch: the epoch of this balancer's ownership of the fleet.
    """

    def __init__(self, *, epoch: int) -> None:
        self._epoch = epoch
        self._sequence = 0
        self._counts_by_pool: dict[str, _PoolCounts] = {}

    def note(
        self, pool: str, arrivals_by_account: Mapping[str, float], capacity: float, now: float
    ) -> None:
        """Note what a pool's owner reports.

        :param arrivals_by_account: core-seconds that arrived within the window.
        :param capacity: the pool's cores that arriving work may use.
        :param now: monotonic seconds.
        """
        self._counts_by_pool[pool] = _PoolCounts(dict(arrivals_by_account), capacity, now)

    def forget(self, pool: str) -> None:
        """Forget a pool whose owner doesn't count arrivals, or that isn't configured any more."""
        self._counts_by_pool.pop(pool, None)

    def has_counts(self, pool: str) -> bool:
        """Whether a pool's owner counts arrivals, by its last report."""
        return pool in self._counts_by_pool

    def plan(
        self, weight_of: Callable[[str], float], reserve: float, now: float
    ) -> SharePlan | None:
        """Decide the shares.

        A pool that hasn't reported for a while is left out with its demand and its capacity. With
        its capacity alone, it would hide that the others are short.

        :param weight_of: returns an account's weight.
        :param reserve: the cores of standby machines, which any pool may get.
        :param now: monotonic seconds.
        :return: None while no pool's report is current.
        """
        current = [c for c in self._counts_by_pool.values() if now - c.at < FIGURES_VALID_S]
        if not current:
            return None
        demands: dict[str, float] = {}
        for counts in current:
            for account, core_s in counts.arrivals_by_account.items():
                demands[account] = demands.get(account, 0.0) + core_s / ARRIVAL_WINDOW_S
        capacity = reserve + sum(counts.capacity for counts in current)
        shares = fair_shares(demands, weight_of, capacity)
        self._sequence += 1
        excess = {
            account: round(1.0 - shares[account] / demand, 3)
            for account, demand in demands.items()
            if demand > 0 and shares[account] < demand
        }
        return SharePlan(
            number=GrantNumber(self._epoch, self._sequence),
            capacity=capacity,
            demands_by_account=demands,
            shares_by_account=shares,
            excess_by_account=excess,
        )


class ExcessFigures:
    """The fractions by which the owner of one pool marks jobs as excess."""

    def __init__(self) -> None:
        self._number = NO_GRANT
        self._excess_by_account: dict[str, float] = {}
        self._received_at = -math.inf

    @property
    def are_known(self) -> bool:
        """Whether any figures have been received."""
        return self._number != NO_GRANT

    def apply(
        self, number: GrantNumber, excess_by_account: Mapping[str, float], now: float
    ) -> None:
        """Apply figures, unless they are older than those that were applied.

        A former owner of the fleet that was frozen may still send its own figures.

        :param now: monotonic seconds.
        """
        if number <= self._number:
            return
        self._number = number
        self._excess_by_account = dict(excess_by_account)
        self._received_at = now

    def fraction(self, account: str, now: float) -> float:
        """Return the fraction of an account's new jobs that are excess; it decays with its age.

        :param now: monotonic seconds.
        """
        fresh = (FIGURES_VALID_S - (now - self._received_at)) / (FIGURES_VALID_S - FIGURES_HOLD_S)
        return self._excess_by_account.get(account, 0.0) * min(max(fresh, 0.0), 1.0)

    def is_excess(
        self, account: str, key: str, now: float, core_s: float, window: ArrivedWork
    ) -> bool:
        """Whether a new job is excess, so that the marked part of the window is the fraction.

        A flood shows in the window only as it fills. If only that fraction of the jobs that arrive
        meanwhile were marked, those before would take up the capacity for the next seconds.

        :param key: the job's id.
        :param now: monotonic seconds.
        :param core_s: the job's work.
        :param window: what arrived of the account, this job included.
        """
        fraction = self.fraction(account, now)
        if fraction <= 0:
            return False
        return window.marked + _position(key) * core_s < fraction * max(window.arrived, core_s)

    def was_excess(self, account: str, key: str, now: float) -> bool:
        """Whether a job that arrived earlier is excess, by its key alone.

        :param key: the job's id.
        :param now: monotonic seconds.
        """
        return _position(key) < self.fraction(account, now)


def _position(key: str) -> float:
    """Spread keys evenly over 0 to 1."""
    digest = hashlib.blake2b(key.encode(), digest_size=_MARK_BYTES).digest()
    return int.from_bytes(digest) / 256**_MARK_BYTES
