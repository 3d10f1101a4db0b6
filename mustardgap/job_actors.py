"""Starts, steps and ends the tasks of jobs by the log, and renews their leases."""

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

RENEW_INTERVAL_FRACTION = 1 / 3
RENEW_BATCH_SIZE = 500
REFUSAL_CODES = frozenset({status_codes.PLATFORM_REFUSED, status_codes.NOT_FOUND})


class JobActor:
    """Takes the steps of jobs that are this daemon's duty.

    :param operations: writes records and provides the views.
    :param duties: decides which member acts.
    :param placer: tracks the jobs on each worker and those that this daemon has placed.
    """

    def __init__(self, *, operations: Operations, duties: Duties, placer: Placer) -> None:
        self.operations = operations
        self.duties = duties
        self.placer = placer
        self.platform: Any = operations.platform
        self.leases = Leases()
        self._jobs_to_check: set[str] = set()
        self._first_seen_by_job: dict[str, tuple[int, float]] = {}
        self._renewed_at = float("-inf")

    @property
    def state(self) -> Any:
        """The folded state."""
        return self.operations.log.state

    def restart(self) -> None:
        """Rebuild the leases from a new state."""
        self.leases = Leases()
        self.follow(self.placer.rooms.jobs())

    def follow(self, jobs: set[str]) -> None:
        """Update the leases of jobs that have changed on the log."""
        for name in jobs:
            job = self.state.jobs_by_id.get(name)
            if job is None or attempt_of(job) is None:
                self.leases.remove(name)
            else:
                task = self.operations.workers.tasks_by_id.get(task_id(job))
                self.leases.update(name, None if task is None else _lease_until(task))

    def follow_tasks(self, tasks: Iterable[TaskInfo]) -> None:
        """Update the leases of tasks that have changed on the platform."""
        for task in tasks:
            job = self.state.jobs_by_id.get(task["job"])
            attempt = None if job is None else attempt_of(job)
            if attempt is not None and attempt["number"] == task["attempt"]:
                self.leases.update(task["job"], _lease_until(task))

    def recheck(self, jobs: set[str]) -> None:
        """Queue jobs for a new decision after a change."""
        self._jobs_to_check |= jobs

    def recheck_jobs_on(self, hosts: set[str]) -> None:
        """Queue all jobs on these hosts for a new decision."""
        for host in hosts:
            self._jobs_to_check |= self.placer.rooms.jobs_on(host)

    def recheck_all(self) -> None:
        """Queue all jobs that hold resources for a new decision."""
        self._jobs_to_check |= self.placer.rooms.jobs()

    def due(self) -> list[tuple[str, JobStep]]:
        """Return the steps that this daemon should take now, with their jobs' ids."""
        due_steps = []
        for name in sorted(self._jobs_to_check):
            job = self.state.jobs_by_id.get(name)
            step = None if job is None else self._wanted(job)
            if job is None or (attempt_of(job) is None and step is None):
                self._forget_job(name)
                continue
            if step is not None and self.duties.is_due(f"job/{name}", (job["epoch"], step)):
                due_steps.append((name, step))
            if step is None and job["phase"] == "running" and not job["cancelled"]:
                self._jobs_to_check.discard(name)
                self.duties.drop(f"job/{name}")
        return due_steps

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
        """Return the leases to renew now in batches, each with the jobs' epochs by task."""
        now = self.operations.timers.clock.monotonic()
        lease_s = self.operations.settings.capacity.lease_s
        if now - self._renewed_at < lease_s * RENEW_INTERVAL_FRACTION:
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
                # The end of a lease doesn't change the polled views, so it is checked for here.
                self._jobs_to_check.add(name)
            elif self._should_renew(job, view.task):
                epochs_by_task[view.task["task"]] = job["epoch"]
        items = list(epochs_by_task.items())
        return [
            dict(items[i : i + RENEW_BATCH_SIZE]) for i in range(0, len(items), RENEW_BATCH_SIZE)
        ]

    def _lease_candidates(self) -> set[str]:
        """Return the jobs of this daemon's keys, and those whose owner may be late."""
        settings = self.operations.settings.capacity
        limit_s = max(
            settings.lease_s * (1 - RENEW_INTERVAL_FRACTION) - settings.takeover_s,
            self._renew_by_all_s(),
        )
        names = self.leases.jobs_ending_by(self.operations.timers.clock.wall() + limit_s)
        for key in range(LEASE_KEY_COUNT):
            if self.duties.rank(f"lease/{key}") == 0:
                names |= self.leases.jobs_of_key(key)
        return names

    def _renew_by_all_s(self) -> float:
        """Return the remaining time of a lease below which every daemon renews it."""
        return self.operations.settings.capacity.lease_s / 4

    async def renew(self, epochs_by_task: dict[str, int]) -> None:
        """Renew the leases of many tasks in one call.

        Renewal continues while the log is down, because it makes no new decision. The platform
        rejects leases that have lapsed, so a daemon that was frozen can't restore one.
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
                spec=_allocated_spec(job),
            )
        except AnswerLost as exc:
            # The task may be running. Starting it again under the same id is safe and settles that.
            self.placer.placed_here.pop(job["job"], None)
            count("start", exc.code.name)
            return
        except PlatformError as exc:
            count("start", exc.code.name)
            if exc.code in REFUSAL_CODES and self._placed_here(job):
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
        seen = self._first_seen_by_job.get(job["job"])
        if seen is None or seen[0] != job["epoch"]:
            seen = self._first_seen_by_job[job["job"]] = (job["epoch"], now)
        return now - seen[1]

    def _should_renew(self, job: JobState, task: TaskInfo) -> bool:
        """Return True for the owner of the lease, and for other members closer to its end."""
        rank = self.duties.rank(f"lease/{lease_key_of(job['job'])}")
        if rank is None:
            return False
        settings = self.operations.settings.capacity
        left_s = task["lease_until"] - self.operations.timers.clock.wall()
        delay_s = rank * settings.takeover_s
        limit_s = max(
            settings.lease_s * (1 - RENEW_INTERVAL_FRACTION) - delay_s, self._renew_by_all_s()
        )
        return rank == 0 or left_s < limit_s

    def _forget_job(self, name: str) -> None:
        self._jobs_to_check.discard(name)
        self.duties.drop(f"job/{name}")
        self._first_seen_by_job.pop(name, None)
        self.placer.placed_here.pop(name, None)


def _lease_until(task: TaskInfo) -> float | None:
    return task["lease_until"] if task["state"] in LIVE_STATES else None


def _allocated_spec(job: JobState) -> JobSpec:
    """Return the spec with the resources that were allocated when the job was placed."""
    spec, usage = job["spec"], job.get("usage")
    if usage is None:
        return spec
    return {**spec, "cores": usage["cores"], "memory_gb": usage["memory_gb"]}
