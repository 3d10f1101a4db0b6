"""What bound on a day: when and why jobs were late or refused, and what machines were for."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .job_stories import Line
from .pool_uses import PoolUse

# Jobs are counted by windows of this many seconds, in which they were handed in.
WINDOW_S = 2.0
# So many of the worst windows are shown.
WORST = 10
IN_TIME, NOT_ENDED = "in time", "not ended"
WAITED, RAN_AGAIN, TOOK_LONG = (
    "waited for room",
    "had runs that failed",
    "took long or waited between",
)


class JobFate(NamedTuple):
    """When a job was handed in, to which queue, and what became of it for its caller."""

    at: float
    queue: str
    fate: str


class Window(NamedTuple):
    """Jobs of one queue that were handed in within a window, counted by their fates."""

    since: float
    queue: str
    fates: Counter[str]

    @property
    def lost(self) -> int:
        """How many weren't in time."""
        return self.fates.total() - self.fates[IN_TIME]


class _Job:
    """What the lines tell of one job.

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
    """The windows in which most callers weren't served in time, the worst first.

    :param lines: the lines of all daemons, by time.
    """
    windows: dict[tuple[float, str], Counter[str]] = {}
    start = lines[0].time if lines else 0.0
    for job in fates(lines):
        since = (job.at - start) // WINDOW_S * WINDOW_S
        windows.setdefault((since, job.queue), Counter())[job.fate] += 1
    found = [Window(since, queue, counted) for (since, queue), counted in windows.items()]
    return sorted((w for w in found if w.lost), key=lambda w: (-w.lost, w.since))[:WORST]


def fates(lines: Iterable[Line]) -> list[JobFate]:
    """What became of each job that ends by itself and that nobody cancelled."""
    jobs: dict[str, _Job] = {}
    for line in lines:
        job_id = line.fields.get("job")
        if job_id:
            _take(jobs.setdefault(job_id, _Job(at=line.time)), line)
    return [
        JobFate(job.at, job.queue, _fate(job))
        for job in jobs.values()
        if job.queue and not job.lasting and job.phase != "CANCELLED"
    ]


def _take(job: _Job, line: Line) -> None:
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


def _fate(job: _Job) -> str:
    if not job.accepted:
        return job.refusal or NOT_ENDED
    if not job.phase:
        return NOT_ENDED
    if job.phase != "COMPLETED":
        return job.phase.lower()
    if job.late_s <= 0:
        return IN_TIME
    if job.waited_s is not None and job.waited_s > job.slack_s:
        return WAITED
    return RAN_AGAIN if job.failed_runs else TOOK_LONG


def uses_by_pool(lines: Iterable[Line]) -> dict[str, PoolUse]:
    """The machine-seconds of each pool, by what they were for."""
    found: dict[str, PoolUse] = {}
    for line in lines:
        if line.event == "pool.use":
            use = PoolUse(*(line.fields.get(name, 0.0) for name in PoolUse._fields))
            service = line.fields["service"]
            found[service] = found.get(service, PoolUse()).plus(use)
    return found
