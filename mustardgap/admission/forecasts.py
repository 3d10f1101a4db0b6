"""Forecasts when a new job would end, in the order in which jobs get capacity.

Client accounts share a full pool by their weights. The forecast treats the pool as a fluid that is
shared so (generalised processor sharing; Parekh and Gallager, 1993): by the time that an account's
work up to a job is done, each other account has had at most the same work by weight. It takes one
pass over the accounts, however many jobs wait.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from .backlogs import AccountWork, Demand, PoolBacklog


class Capacity(NamedTuple):
    """The cores of a pool that short tasks can use, now and with the machines on their way.

    ``incoming_s`` is the time until these can run tasks.
    """

    cores: float
    incoming_cores: float = 0.0
    incoming_s: float = 0.0

    def seconds_for(self, work: float) -> float:
        """The time in which the pool does some core-seconds of work."""
        if work <= self.cores * self.incoming_s or not self.incoming_cores:
            return work / self.cores if self.cores else math.inf
        later = work - self.cores * self.incoming_s
        return self.incoming_s + later / (self.cores + self.incoming_cores)


class Forecast(NamedTuple):
    """When a job would end.

    ``end_s`` is the time until it has ended if all earlier work of its account goes first, and
    ``margin_s`` its standard error. ``ahead`` is the work that is done until then, in core-seconds.
    """

    end_s: float
    margin_s: float
    ahead: float

    @property
    def earliest_end_s(self) -> float:
        """The earliest end that is likely; in doubt, this one counts."""
        return self.end_s - self.margin_s


def work_ahead(demand: Demand, backlog: PoolBacklog, weights: Mapping[str, float]) -> float:
    """Return the core-seconds that a pool does until a new job is done, with those of the job.

    :param demand: the new job.
    :param backlog: the unfinished work of its pool.
    :param weights: the accounts' shares of a full pool, 1 for those that aren't listed.
    """
    ahead = demand.work
    for priority, work_by_account in backlog.work_by_account_by_priority.items():
        if priority < demand.priority:
            ahead += sum(work.total for work in work_by_account.values())
    peers = backlog.work_by_account_by_priority.get(demand.priority, {})
    own = peers.get(demand.account, AccountWork())
    turn = (own.total + demand.work) / weights.get(demand.account, 1.0)
    for account, (begun, total) in peers.items():
        share = turn * weights.get(account, 1.0)
        if account == demand.account or total <= share:
            ahead += total
        else:
            # Jobs that have begun go first; the others take turns with those of the new job's
            # account.
            ahead += begun if begun > share else share
    return ahead


def forecast_end(
    demand: Demand, backlog: PoolBacklog, ahead: float, capacity: Capacity, now: float
) -> Forecast:
    """Forecast when a new job would end.

    :param demand: the new job.
    :param backlog: the unfinished work of its pool.
    :param ahead: the core-seconds until the job is done, by ``work_ahead``.
    :param capacity: the pool's cores.
    :param now: monotonic seconds.
    """
    # What was measured some time ago has been worked on since.
    age_s = max(now - backlog.measured_at, 0.0)
    shared_s = max(capacity.seconds_for(ahead) - age_s, capacity.seconds_for(demand.work))
    end_s = max(shared_s, demand.chain_s)
    if end_s == math.inf:
        return Forecast(end_s, 0.0, ahead)
    # Errors of many jobs ahead cancel out to some degree; that of the job itself doesn't.
    margin_s = demand.error * math.hypot(demand.chain_s, shared_s / math.sqrt(backlog.jobs or 1))
    return Forecast(end_s, margin_s, ahead)
