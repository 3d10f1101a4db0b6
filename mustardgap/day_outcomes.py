"""Analyses a day's log: when and why jobs were late or refused, and how machines were used."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .job_facts import JobFacts, Verdict, collect
from .job_histories import Line
from .pool_uses import PoolUse

# Jobs are counted by windows of this length, according to when they were submitted.
WINDOW_S = 2.0
# At most this many windows are returned, those with the most jobs not served in time.
MAX_WINDOWS = 10
IN_TIME, NOT_ENDED = Verdict.IN_TIME.value, Verdict.NOT_ENDED.value
WAITED_FOR_CAPACITY, HAD_FAILED_RUNS, RAN_LONG = (
    "waited for capacity",
    "had failed runs",
    "ran long or waited between steps",
)
START_NOT_LOGGED = "late, the line on its first start is missing"


class JobOutcome(NamedTuple):
    """When a job was submitted, to which queue, and how it ended for its caller."""

    at: float
    queue: str
    outcome: str


class Window(NamedTuple):
    """Jobs of one queue that were submitted within a window, counted by their outcomes."""

    since: float
    queue: str
    outcomes: Counter[str]

    @property
    def missed(self) -> int:
        """The number of jobs that weren't served in time."""
        return self.outcomes.total() - self.outcomes[IN_TIME]


def worst_windows(lines: Sequence[Line]) -> list[Window]:
    """Return the windows with the most jobs not served in time, the worst first.

    :param lines: the log lines of all daemons, sorted by time.
    """
    windows: dict[tuple[float, str], Counter[str]] = {}
    start = lines[0].time if lines else 0.0
    for job in job_outcomes(lines):
        since = (job.at - start) // WINDOW_S * WINDOW_S
        windows.setdefault((since, job.queue), Counter())[job.outcome] += 1
    found = [Window(since, queue, counted) for (since, queue), counted in windows.items()]
    return sorted((w for w in found if w.missed), key=lambda w: (-w.missed, w.since))[:MAX_WINDOWS]


def job_outcomes(lines: Iterable[Line]) -> list[JobOutcome]:
    """Return the outcome of each job, except cancelled jobs and those of lasting tasks."""
    return [
        JobOutcome(job.at, job.queue, _outcome(job))
        for job in collect(lines).values()
        if job.queue and not job.is_lasting and job.verdict is not None
    ]


def _outcome(job: JobFacts) -> str:
    """Return how a job ended, with the reason of a refusal or of a late end."""
    if job.verdict is Verdict.REFUSED:
        last = job.refusals[-1]
        return f"{last.code} {last.why}".strip()[:60]
    if job.verdict is Verdict.FAILED:
        return job.phase.lower()
    if job.verdict not in (Verdict.LATE, Verdict.USELESS):
        return str(job.verdict)
    if job.waited_s is not None and job.waited_s > job.slack_s:
        return WAITED_FOR_CAPACITY
    if job.failed_runs:
        return HAD_FAILED_RUNS
    return RAN_LONG if job.first_start is not None else START_NOT_LOGGED


def uses_by_pool(lines: Iterable[Line]) -> dict[str, PoolUse]:
    """Return the machine-seconds of each pool by their use."""
    found: dict[str, PoolUse] = {}
    for line in lines:
        if line.event == "pool.use":
            use = PoolUse(*(line.fields.get(name, 0.0) for name in PoolUse._fields))
            service = line.fields["service"]
            found[service] = found.get(service, PoolUse()).plus(use)
    return found
