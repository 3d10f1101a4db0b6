"""The accepted work of a pool that isn't done yet, by priority and client account."""

from collections.abc import Mapping
from typing import NamedTuple


class AccountWork(NamedTuple):
    """Core-seconds of one account: of jobs that have begun, and of all its jobs."""

    begun: float = 0.0
    total: float = 0.0


class Demand(NamedTuple):
    """A new job: its account, its queue's priority, and durations as they are expected to be.

    ``chain_s`` is its longest chain of dependent steps, ``work`` its core-seconds, and ``error``
    the relative error of its queue's durations.
    """

    account: str
    priority: int
    chain_s: float
    work: float
    error: float


class PoolBacklog:
    """Sums of the unfinished work of one pool at a moment, and what was accepted since.

    Only sums are kept: 10,000 waiting jobs of 42 accounts take as much memory as 42 jobs.

    :param measured_at: when the work was summed up, in monotonic seconds.
    """

    def __init__(self, *, measured_at: float) -> None:
        self.measured_at = measured_at
        self.jobs = 0
        self.work_by_account_by_priority: dict[int, dict[str, AccountWork]] = {}

    def add(self, *, priority: int, account: str, work: float, begun: bool = False) -> None:
        """Add the unfinished work of a job.

        :param priority: the priority of the job's queue; 0 is the most urgent.
        :param work: core-seconds, by durations as they are expected to be.
        :param begun: whether a task of the job has been started.
        """
        self.jobs += 1
        work_by_account = self.work_by_account_by_priority.setdefault(priority, {})
        known = work_by_account.get(account, AccountWork())
        work_by_account[account] = AccountWork(
            known.begun + (work if begun else 0.0), known.total + work
        )

    def add_demand(self, demand: Demand) -> None:
        """Add a job that was refused and may return."""
        self.add(priority=demand.priority, account=demand.account, work=demand.work)

    def is_below_share(self, account: str, weights: Mapping[str, float]) -> bool:
        """Whether an account has at most the mean work of all accounts by weight.

        :param weights: the accounts' shares of a full pool, 1 for those that aren't listed.
        """
        total_by_account: dict[str, float] = {account: 0.0}
        for work_by_account in self.work_by_account_by_priority.values():
            for name, work in work_by_account.items():
                total_by_account[name] = total_by_account.get(name, 0.0) + work.total
        mean = sum(total_by_account.values()) / sum(weights.get(n, 1.0) for n in total_by_account)
        own = total_by_account[account] / weights.get(account, 1.0)
        return len(total_by_account) > 1 and own <= mean
