"""What the log lines of all daemons say of each job."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from .job_histories import Line
from .load_metrics import REFUSAL_STATUSES
from .placing import LATE_FACTOR
from .return_tracking import Return


class Verdict(StrEnum):
    """How a job ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    USELESS = "of no use any more"
    REFUSED = "refused"
    FAILED = "failed"
    NOT_ENDED = "not ended"


class Refusal(NamedTuple):
    """One refusal of a job.

    ``at`` is seconds since the epoch by the clock of ``host``. ``forecast_s``, ``limit_s`` and
    ``retry_after_s`` are None where the line doesn't state them.
    """

    at: float
    host: str
    code: str
    why: str
    forecast_s: float | None = None
    limit_s: float | None = None
    retry_after_s: float | None = None


class JobFacts:
    """What the log lines say of one job.

    Any line may be missing, since lines are left out under load and end with their daemon. A job
    with a run or an end therefore counts as accepted without the line on its acceptance.

    :param job_id: the job's id.
    :param at: the time of its first line, in seconds since the epoch.
    """

    def __init__(self, *, job_id: str, at: float) -> None:
        self.job_id = job_id
        self.at = at
        self.queue = ""
        self.service = ""
        self.account = ""
        self.shards: set[int] = set()
        self.accepted: Line | None = None
        self.first_start: Line | None = None
        self.has_started = False
        self.limited: Line | None = None
        self.ended: Line | None = None
        self.failed_runs = 0
        self._refused_by_owner: list[Refusal] = []
        self._refused_by_gateway: list[Refusal] = []

    def add(self, line: Line) -> None:
        """Add a line of the job; lines come by time."""
        fields = line.fields
        self.queue = fields.get("queue", self.queue)
        self.service = fields.get("service", self.service)
        self.account = fields.get("account", self.account)
        if "shard" in fields:
            self.shards.add(fields["shard"])
        if line.event == "submit.answered" and fields.get("status") in REFUSAL_STATUSES:
            self._refused_by_gateway.append(_refusal(line))
        elif line.event == "job.refused":
            self._refused_by_owner.append(_refusal(line))
        elif line.event == "job.accepted" and fields.get("stored") == "stored":
            self.accepted = self.accepted or line
        elif line.event == "job.limited":
            self.limited = self.limited or line
        elif line.event == "run.start":
            if self.first_start is None and _may_be_first(line):
                self.first_start = line
            self.has_started = True
        elif (
            line.event == "run.end" and fields.get("how") == "FAILED"
        ) or line.event == "run.lost":
            self.failed_runs += 1
        elif line.event == "job.ended":
            self.ended = line

    @property
    def is_accepted(self) -> bool:
        """Whether the job was accepted, as far as the lines show."""
        return any((self.accepted, self.has_started, self.ended))

    @property
    def is_lasting(self) -> bool:
        """Whether the job has lasting tasks."""
        return self.accepted is not None and bool(self.accepted.fields.get("steps"))

    @property
    def phase(self) -> str:
        """The phase in which the job ended, empty if no line tells."""
        return str(self.ended.fields.get("phase", "")) if self.ended else ""

    @property
    def age_s(self) -> float:
        """Seconds from the job's acceptance to its end, 0 if no line tells."""
        return float(self.ended.fields.get("age_s", 0.0)) if self.ended else 0.0

    @property
    def objective_s(self) -> float:
        """Seconds within which the job ends in time; infinite without an objective."""
        return _number(self.ended, "objective_s", float("inf"))

    @property
    def has_objective(self) -> bool:
        """Whether a line tells within what time the job should have ended."""
        return self.ended is not None and "objective_s" in self.ended.fields

    @property
    def slack_s(self) -> float:
        """Seconds that the job could wait and still end in time."""
        return _number(self.ended, "slack_s", 0.0)

    @property
    def waited_s(self) -> float | None:
        """Seconds from the acceptance to the first start of a task, None if no line tells."""
        return _number(self.first_start, "waited_s", 0.0) if self.first_start else None

    @property
    def refusals(self) -> list[Refusal]:
        """The job's refusals by time, as the owner states them, or else as callers were told."""
        return self._refused_by_owner or self._refused_by_gateway

    @property
    def verdict(self) -> Verdict | None:
        """How the job ended for its caller, None for a cancelled job."""
        if not self.is_accepted:
            return Verdict.REFUSED if self.refusals else Verdict.NOT_ENDED
        if self.phase == "CANCELLED":
            return None
        if not self.phase:
            return Verdict.NOT_ENDED
        if self.phase != "COMPLETED":
            return Verdict.FAILED
        if self.age_s <= self.objective_s:
            return Verdict.IN_TIME
        return Verdict.LATE if self.age_s <= LATE_FACTOR * self.objective_s else Verdict.USELESS

    def returns_by_refusal(self) -> dict[int, Return]:
        """When the caller was told to come back, and did.

        :return: by the number of the refusal; those without a return time or a return are left out.
        """
        attempts = [refusal.at for refusal in self.refusals]
        if self.accepted is not None:
            attempts.append(self.accepted.time)
        found = {}
        for number, refusal in enumerate(self.refusals):
            later = [at for at in attempts if at > refusal.at]
            if refusal.retry_after_s is not None and later:
                found[number] = Return(refusal.retry_after_s, min(later) - refusal.at)
        return found


def collect(lines: Iterable[Line]) -> dict[str, JobFacts]:
    """Return the facts on each job that the lines mention, by its id.

    :param lines: the lines of all daemons, by time.
    """
    jobs: dict[str, JobFacts] = {}
    for line in lines:
        job_id = line.fields.get("job")
        if job_id:
            job = jobs.get(job_id)
            if job is None:
                job = jobs[job_id] = JobFacts(job_id=job_id, at=line.time)
            job.add(line)
    services_by_queue = {job.queue: job.service for job in jobs.values() if job.service}
    for job in jobs.values():
        # Only the line on the acceptance has the service, and it may be missing.
        job.service = job.service or services_by_queue.get(job.queue, "")
    return jobs


def _refusal(line: Line) -> Refusal:
    fields = line.fields
    code = fields.get("code", "")
    return Refusal(
        at=line.time,
        host=line.host,
        code=f"MG{code}" if isinstance(code, int) else str(code),
        why=str(fields.get("why") or ""),
        forecast_s=fields.get("forecast_s"),
        limit_s=fields.get("limit_s"),
        retry_after_s=fields.get("retry_after_s"),
    )


def _may_be_first(line: Line) -> bool:
    """Whether the start of a run may be the first of its job, unlike one of a later step or try.

    Where the line on the first start is missing, ``waited_s`` of a later one isn't a wait.
    """
    task = line.fields.get("task")
    is_later_step = isinstance(task, list) and len(task) == 4 and task[2] > 0
    return not is_later_step and not line.fields.get("failures")


def _number(line: Line | None, name: str, default: float) -> float:
    return float(line.fields.get(name, default)) if line is not None else default
