"""Analyses a day's log: when and why jobs were late or refused, and how machines were used."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .job_histories import Line
from .pool_uses import PoolUse

# Jobs are counted by windows of this length, according to when they were submitted.
WINDOW_S = 2.0
# At most this many windows are returned, those with the most jobs not served in time.
MAX_WINDOWS = 10
IN_TIME, NOT_ENDED = "in time", "not ended"
WAITED_FOR_CAPACITY, HAD_FAILED_RUNS, RAN_LONG = (
    "waited for capacity",
    "had failed runs",
    "ran long or waited between steps",
)


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


class _Job:
    """What the log lines say of one job.

    :param at: the time of its first line, in seconds since the epoch.
    """

    def __init__(self, *, at: float) -> None:
        self.at = at
        self.queue = ""
        self.refusal = ""
        self.accepted = False
        self.lasting = False
        self.waited_s: float | None = None
        self.failed_runs = 0
        self.phase = ""
        self.late_s = 0.0
        self.slack_s = 0.0


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
    jobs: dict[str, _Job] = {}
    for line in lines:
        job_id = line.fields.get("job")
        if job_id:
            _apply_line(jobs.setdefault(job_id, _Job(at=line.time)), line)
    return [
        JobOutcome(job.at, job.queue, _outcome(job))
        for job in jobs.values()
        if job.queue and not job.lasting and job.phase != "CANCELLED"
    ]


def _apply_line(job: _Job, line: Line) -> None:
    fields = line.fields
    job.queue = fields.get("queue", job.queue)
    if line.event == "submit.answered" and fields.get("status", 200) >= 400:
        job.refusal = f"{fields['code']} {fields.get('why') or ''}".strip()[:60]
    elif line.event == "job.accepted" and fields.get("stored") == "stored":
        job.accepted = True
        job.lasting = bool(fields.get("steps"))
    elif line.event == "run.start" and job.waited_s is None:
        job.waited_s = fields.get("waited_s", 0.0)
    elif (line.event == "run.end" and fields.get("how") == "FAILED") or line.event == "run.lost":
        job.failed_runs += 1
    elif line.event == "job.ended":
        job.phase = fields.get("phase", "")
        job.late_s = fields.get("age_s", 0.0) - fields.get("objective_s", float("inf"))
        job.slack_s = fields.get("slack_s", 0.0)


def _outcome(job: _Job) -> str:
    if not job.accepted:
        return job.refusal or NOT_ENDED
    if not job.phase:
        return NOT_ENDED
    if job.phase != "COMPLETED":
        return job.phase.lower()
    if job.late_s <= 0:
        return IN_TIME
    if job.waited_s is not None and job.waited_s > job.slack_s:
        return WAITED_FOR_CAPACITY
    return HAD_FAILED_RUNS if job.failed_runs else RAN_LONG


def uses_by_pool(lines: Iterable[Line]) -> dict[str, PoolUse]:
    """Return the machine-seconds of each pool by their use."""
    found: dict[str, PoolUse] = {}
    for line in lines:
        if line.event == "pool.use":
            use = PoolUse(*(line.fields.get(name, 0.0) for name in PoolUse._fields))
            service = line.fields["service"]
            found[service] = found.get(service, PoolUse()).plus(use)
    return found
