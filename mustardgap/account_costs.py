"""Which client accounts bore the cost when capacity didn't suffice for all demand."""

import re
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from .day_outcomes import WINDOW_S
from .job_facts import JobFacts, Refusal, Verdict
from .wait_causes import Cause, WaitIndex

# A page has at most this many rows of each table, those with the most jobs not in time first.
MAX_ROWS = 50
NO_ACCOUNT = "(none)"
_NUMBER = re.compile(r"\d+(\.\d+)?")


class Cost(NamedTuple):
    """The jobs of one group by how they ended for their callers; ``group`` names the group."""

    group: tuple[str, ...]
    verdicts: Counter[Verdict]

    @property
    def missed(self) -> int:
        """The number of jobs that weren't served in time."""
        return self.verdicts.total() - self.verdicts[Verdict.IN_TIME]


class RefusalCount(NamedTuple):
    """How often an account's jobs were refused in one queue for one reason.

    ``returns`` counts the callers that came back after a refusal with a return time;
    ``promised_s`` and ``actual_s`` are the means of what they were told and did, 0 without any.
    """

    account: str
    queue: str
    code: str
    why: str
    refused: int
    returns: int
    promised_s: float
    actual_s: float


def counted(jobs: Iterable[JobFacts]) -> list[JobFacts]:
    """Return the jobs whose end matters to their callers: not cancelled, and without lasting tasks.

    A job of which no line names the queue is only known by the id in a line of something else.
    """
    return [job for job in jobs if job.queue and not job.is_lasting and job.verdict is not None]


def by_account(jobs: Iterable[JobFacts]) -> list[Cost]:
    """Return the cost that each client account bore, the one with the most jobs missed first."""
    return _costs((job, (account_name(job),)) for job in counted(jobs))


def by_queue(jobs: Iterable[JobFacts]) -> list[Cost]:
    """Return the cost by account and queue, the most jobs missed first."""
    return _costs((job, (account_name(job), job.queue)) for job in counted(jobs))


def by_window(jobs: Iterable[JobFacts], start: float) -> list[Cost]:
    """Return the cost by account and by window in which jobs were submitted, the worst first.

    :param start: the time of the first line, from which windows are counted.
    """
    return _costs(
        (job, (account_name(job), f"{(job.at - start) // WINDOW_S * WINDOW_S:.0f}"))
        for job in counted(jobs)
    )


def waits(jobs: Iterable[JobFacts], index: WaitIndex) -> Counter[tuple[str, str, Cause]]:
    """Count the jobs that waited, by account, queue and first cause."""
    found: Counter[tuple[str, str, Cause]] = Counter()
    for job in counted(jobs):
        wait = index.wait_of(job)
        if wait is not None:
            found[account_name(job), job.queue, index.causes(job, wait)[0].cause] += 1
    return found


def refusals(jobs: Iterable[JobFacts]) -> list[RefusalCount]:
    """Return the refusals by account, queue, code and reason, the most frequent first.

    All refusals are counted, also of jobs that were accepted later.
    """
    counts: Counter[tuple[str, str, str, str]] = Counter()
    returns: dict[tuple[str, str, str, str], list[tuple[float, float]]] = {}
    for job in jobs:
        for refusal in job.refusals:
            counts[_refusal_key(job, refusal)] += 1
        for number, back in job.returns_by_refusal().items():
            key = _refusal_key(job, job.refusals[number])
            returns.setdefault(key, []).append(back)
    return [
        RefusalCount(*key, refused, len(returns.get(key, ())), *_means(returns.get(key, [])))
        for key, refused in counts.most_common()
    ]


def account_name(job: JobFacts) -> str:
    """The account of a job, or a text for a job without one."""
    return job.account or NO_ACCOUNT


def _refusal_key(job: JobFacts, refusal: Refusal) -> tuple[str, str, str, str]:
    # Reasons that only differ in their figures are one reason.
    why = _NUMBER.sub("N", refusal.why)
    return account_name(job), job.queue, refusal.code, why


def _costs(grouped: Iterable[tuple[JobFacts, tuple[str, ...]]]) -> list[Cost]:
    verdicts_by_group: dict[tuple[str, ...], Counter[Verdict]] = {}
    for job, group in grouped:
        if job.verdict is not None:
            verdicts_by_group.setdefault(group, Counter())[job.verdict] += 1
    costs = [Cost(group, verdicts) for group, verdicts in verdicts_by_group.items()]
    return sorted(costs, key=lambda cost: (-cost.missed, cost.group))


def _means(returns: list[tuple[float, float]]) -> tuple[float, float]:
    if not returns:
        return 0.0, 0.0
    promised, actual = zip(*returns, strict=True)
    return sum(promised) / len(returns), sum(actual) / len(returns)
