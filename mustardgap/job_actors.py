"""Starts, steps and ends the tasks of jobs as the log says, and renews their leases."""

from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Any

from . import metrics, status_codes
from .duties import Duties
from .exceptions import AnswerLost, MustardgapError, PlatformError
from .jobs import (
    LIVE_STATES,
    JobStep,
    JobView,
    Start,
    StepTask,
    Write,
    attempt_of,
    disruption_of,
    is_job_pool,
    next_step,
    should_renew_lease,
    stray_step,
    task_id,
)
from .leases import LEASE_KEY_COUNT, Leases, lease_key_of
from .models import JobBody, JobSpec, JobState, TaskInfo
from .operations import Operations, Ticket, count
from .outcomes import Accepted
from .placers import Placer

RENEW_SHARE = 1 / 3
RENEW_BATCH = 500
REFUSED = frozenset({status_codes.PLATFORM_REFUSED, status_codes.NOT_FOUND})


class JobActor:
    """Takes the steps of jobs that are this daemon's to take.

    :param operations: writes records, and knows the views.
    :param duties: says whose turn it is.
    :param placer: knows the room and what this daemon has placed.
    """

    def __init__(self, *, operations: Operations, duties: Duties, placer: Placer) -> None:
        self.operations = operations
        self.duties = duties
        self.placer = placer
        self.platform: Any = operations.platform
        self.leases = Leases()
        self._look_at: set[str] = set()
        self._epoch_seen: dict[str, tuple[int, float]] = {}
        self._renewed_at = float("-inf")

    @property
    def state(self) -> Any:
        """The folded state."""
        return self.operations.log.state

    def restart(self) -> None:
        """Follow a new state from its beginning."""
        self.leases = Leases()
        self.follow(self.placer.rooms.jobs())

    def follow(self, jobs: set[str]) -> None:
        """Take in that these jobs have changed on the log."""
        for name in jobs:
            job = self.state.jobs_by_id.get(name)
            if job is None or attempt_of(job) is None:
                self.leases.remove(name)
            else:
                task = self.operations.workers.tasks_by_id.get(task_id(job))
                self.leases.update(name, None if task is None else _lease_until(task))

    def follow_tasks(self, tasks: Iterable[TaskInfo]) -> None:
        """Take in that these tasks have changed on the platform."""
        for task in tasks:
            job = self.state.jobs_by_id.get(task["job"])
            attempt = None if job is None else attempt_of(job)
            if attempt is not None and attempt["number"] == task["attempt"]:
                self.leases.update(task["job"], _lease_until(task))

    def look_at(self, jobs: set[str]) -> None:
        """Look at these jobs again, as something has changed there."""
        self._look_at |= jobs

    def look_at_hosts(self, hosts: set[str]) -> None:
        """Look at all jobs on these hosts again."""
        for host in hosts:
            self._look_at |= self.placer.rooms.jobs_on(host)

    def look_at_all(self) -> None:
        """Look at all jobs that hold room."""
        self._look_at |= self.placer.rooms.jobs()

    def due(self) -> list[tuple[str, JobStep]]:
        """The steps that this daemon should take now, by job."""
        found = []
        for name in sorted(self._look_at):
            job = self.state.jobs_by_id.get(name)
            step = None if job is None else self._wanted(job)
            if job is None or (attempt_of(job) is None and step is None):
                self._settle(name)
                continue
            if step is not None and self.duties.is_due(f"job/{name}", (job["epoch"], step)):
                found.append((name, step))
            if step is None and job["phase"] == "running" and not job["cancelled"]:
                self._look_at.discard(name)
                self.duties.drop(f"job/{name}")
        return found

    async def act(self, name: str, step: JobStep) -> None:
        """Take one step of a job."""
        job = self.state.jobs_by_id.get(name)
        if job is None or not job["attempts"]:
            return
        if attempt_of(job) is not None or step == StepTask("stop"):
            self.duties.note_attempt(f"job/{name}")
            await self._take(step, job, self.operations.issue_ticket())

    def _wanted(self, job: JobState) -> JobStep | None:
        if attempt_of(job) is not None:
            return next_step(self._view(job))
        if job["phase"] != "ended" or not job["attempts"]:
            return None
        workers = self.operations.workers
        task, worker = workers.tasks_by_id.get(task_id(job)), job["attempts"][-1]["worker"]
        now = self.operations.timers.clock.wall()
        return stray_step(job, task, workers.by_id.get(worker), now)

    def leases_due(self) -> list[dict[str, int]]:
        """The leases that this daemon should renew now, in batches: the job's epoch by task."""
        now = self.operations.timers.clock.monotonic()
        lease_s = self.operations.settings.capacity.lease_s
        if now - self._renewed_at < lease_s * RENEW_SHARE:
            return []
        self._renewed_at = now
        epochs_by_task = {}
        for name in sorted(self._lease_candidates()):
            job = self.state.jobs_by_id[name]
            view = self._view(job)
            if (
                view.task is None
                or not should_renew_lease(view)
                or view.now > view.task["lease_until"]
            ):
                # Looked at from time to time, as a lease that runs out changes nothing polled.
                self._look_at.add(name)
            elif self._renews(job, view.task):
                epochs_by_task[view.task["task"]] = job["epoch"]
        items = list(epochs_by_task.items())
        return [dict(items[i : i + RENEW_BATCH]) for i in range(0, len(items), RENEW_BATCH)]

    def _lease_candidates(self) -> set[str]:
        """The jobs of this daemon's keys, and those whose owner may be late."""
        settings = self.operations.settings.capacity
        late_s = max(settings.lease_s * (1 - RENEW_SHARE) - settings.takeover_s, self._least_s())
        names = self.leases.jobs_ending_by(self.operations.timers.clock.wall() + late_s)
        for key in range(LEASE_KEY_COUNT):
            if self.duties.rank(f"lease/{key}") == 0:
                names |= self.leases.jobs_of_key(key)
        return names

    def _least_s(self) -> float:
        """With no more than this left of a lease every daemon renews it, whoever owns it."""
        return self.operations.settings.capacity.lease_s / 4

    async def renew(self, epochs_by_task: dict[str, int]) -> None:
        """Renew the leases of many tasks in one call.

        This goes on while the log is down: what runs is no new decision. The platform turns down
        what has lapsed already, so a daemon that was frozen can't bring a lapsed lease back.
        """
        lease_s = self.operations.settings.capacity.lease_s
        try:
            lapsed = await self.platform.renew_tasks(epochs_by_task, lease_s=lease_s)
        except MustardgapError as exc:
            count("renew", exc.code.name)
            return
        count("renew", "lapsed" if lapsed else "accepted")

    @singledispatchmethod
    async def _take(self, step: Any, job: JobState, ticket: Ticket) -> None:
        raise TypeError(f"no such step: {step!r}")

    @_take.register
    async def _(self, step: Write, job: JobState, ticket: Ticket) -> None:
        body = JobBody(job=job["job"], base=job["epoch"], step=step.step)  # type: ignore[typeddict-item]
        if step.result:
            body["result"] = step.result
        if step.code:
            body["code"] = step.code
        if step.usage is not None:
            body["usage"] = step.usage
        verdict = await self.operations.write(ticket, "job", body)
        if not isinstance(verdict, Accepted):
            return
        if step.step == "attempt_over":
            metrics.job_attempts.add(1, {"outcome": step.result})
        if step.step == "end":
            metrics.jobs_ended.add(1, {"mustardgap.code": step.code})

    @_take.register
    async def _(self, step: Start, job: JobState, ticket: Ticket) -> None:
        attempt = job["attempts"][-1]
        try:
            self.operations.check_ticket(ticket)
            result = await self.platform.start_task(
                attempt["worker"],
                task=task_id(job),
                job=job["job"],
                attempt=attempt["number"],
                epoch=attempt["epoch"],
                lease_s=self.operations.settings.capacity.lease_s,
                spec=_given_spec(job),
            )
        except AnswerLost as exc:
            # It may run. It is started again under the same id, which is the way to find out.
            self.placer.placed_here.pop(job["job"], None)
            count("start", exc.code.name)
            return
        except PlatformError as exc:
            count("start", exc.code.name)
            if exc.code in REFUSED and self._placed_here(job):
                await self._take(Write("attempt_over", "moved"), job, ticket)
            return
        except MustardgapError as exc:
            count("start", exc.code.name)
            return
        self.placer.placed_here.pop(job["job"], None)
        count("start", result)

    @_take.register
    async def _(self, step: StepTask, job: JobState, ticket: Ticket) -> None:
        operation = f"{job['job']}:{job['epoch']}:{step.step}"
        try:
            self.operations.check_ticket(ticket)
            result = await self.platform.step_task(
                task_id(job), operation=operation, epoch=job["epoch"], step=step.step
            )
        except MustardgapError as exc:
            count(step.step, exc.code.name)
            return
        count(step.step, result)

    def _view(self, job: JobState) -> JobView:
        attempt = job["attempts"][-1]
        workers = self.operations.workers
        host = self.state.hosts_by_name.get(attempt["worker"])
        now = self.operations.timers.clock.wall()
        return JobView(
            job=job,
            task=workers.tasks_by_id.get(task_id(job)),
            host=host,
            worker=workers.by_id.get(attempt["worker"]),
            is_job_pool=host is not None and is_job_pool(self.state, host["pool"]),
            disruption=disruption_of(self.state, job),
            now=now,
            read_at=now - workers.age_s(),
            placed_here=self._placed_here(job),
            in_epoch_s=self._in_epoch_s(job),
        )

    def _placed_here(self, job: JobState) -> bool:
        epoch = self.placer.placed_here.get(job["job"])
        return epoch is not None and epoch == job["attempts"][-1]["epoch"]

    def _in_epoch_s(self, job: JobState) -> float:
        now = self.operations.timers.clock.monotonic()
        seen = self._epoch_seen.get(job["job"])
        if seen is None or seen[0] != job["epoch"]:
            seen = self._epoch_seen[job["job"]] = (job["epoch"], now)
        return now - seen[1]

    def _renews(self, job: JobState, task: TaskInfo) -> bool:
        """The owner always renews; the next ones do when the lease has come closer to its end."""
        rank = self.duties.rank(f"lease/{lease_key_of(job['job'])}")
        if rank is None:
            return False
        settings = self.operations.settings.capacity
        left_s = task["lease_until"] - self.operations.timers.clock.wall()
        late_s = rank * settings.takeover_s
        limit_s = max(settings.lease_s * (1 - RENEW_SHARE) - late_s, self._least_s())
        return rank == 0 or left_s < limit_s

    def _settle(self, name: str) -> None:
        self._look_at.discard(name)
        self.duties.drop(f"job/{name}")
        self._epoch_seen.pop(name, None)
        self.placer.placed_here.pop(name, None)


def _lease_until(task: TaskInfo) -> float | None:
    return task["lease_until"] if task["state"] in LIVE_STATES else None


def _given_spec(job: JobState) -> JobSpec:
    """The job as the platform is told of it: with the room that its placing gave it."""
    spec, usage = job["spec"], job.get("usage")
    if usage is None:
        return spec
    return {**spec, "cores": usage["cores"], "memory_gb": usage["memory_gb"]}
