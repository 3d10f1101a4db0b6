"""One job's state at the owner of its shard: tasks, their runs and ends, and how the job ends."""

import enum
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from .crashes import Crash
from .tickets import Ticket
from .workloads import EndKind, EndRow, JobId, JobSpec, Queue, Step, TaskId

if TYPE_CHECKING:
    from .runs import Run


class JobPhase(enum.IntEnum):
    """Where a job stands; all but LIVE are final."""

    LIVE = 0
    COMPLETED = 1
    FAILED = 2
    CANCELLED = 3


class Task:
    """One task; at most one of its runs is active, unless its step allows copies.

    :param task_id: the task's id.
    :param step: what it needs.
    """

    __slots__ = (
        "avoided",
        "checkpoint",
        "crash_cleared",
        "crash_ticket",
        "crashes",
        "crashes_confirmed",
        "done",
        "failed_runs",
        "inherited",
        "run",
        "step",
        "task_id",
    )

    def __init__(self, *, task_id: TaskId, step: Step) -> None:
        self.task_id = task_id
        self.step = step
        self.done = False
        self.failed_runs: set[int] = set()
        self.checkpoint = ""
        self.run: Run | None = None
        # A former owner may have started it on an executor that hasn't been heard since.
        self.inherited = False
        # Executors on which it failed or stood still, and machines whose executors crashed under
        # it; others are tried first.
        self.avoided: set[str] = set()
        # How it stood, by run, when an executor crashed under it.
        self.crashes: dict[int, Crash] = {}
        # Those whose machines were seen to be back; the other executors may have left.
        self.crashes_confirmed: set[int] = set()
        # Whether it has been seen at work since the last of them.
        self.crash_cleared = False
        # The record of its crashes: started before that is durable, it could be started once too
        # often by the next owner, which would know of one crash less.
        self.crash_ticket: Ticket | None = None

    @property
    def failures(self) -> int:
        """How many of its runs have failed."""
        return len(self.failed_runs)

    @property
    def is_waiting(self) -> bool:
        """Whether it has to be started, once its step's turn has come."""
        return not self.done and self.run is None and not self.inherited

    @property
    def crashes_durable(self) -> bool:
        """Whether all its crashes are durable."""
        return self.crash_ticket is None or self.crash_ticket.durable


class Progress(msgspec.Struct, omit_defaults=True):
    """The durable part of a job's progress; tasks are named by ``occurrence.step``."""

    phase: int = 0
    ended_at: float = 0.0
    why: str = ""
    done: dict[str, str] = {}
    failed_runs: dict[str, dict[int, list[int]]] = {}
    checkpoints: dict[str, dict[int, str]] = {}
    crashes: dict[str, dict[int, dict[int, int]]] = {}


class StoredJob(msgspec.Struct):
    """The durable form of an accepted job."""

    queue: str
    service: str
    accepted_at: float
    spec: JobSpec


class _RemainingWork(NamedTuple):
    """The unfinished work of a job.

    ``ready`` and ``upcoming`` hold steps as lists of their tasks. ``critical_path_s`` is the
    estimated duration of the longest chain of dependent steps, ``core_s`` the work in core-seconds.
    """

    ready: list[list[Task]]
    upcoming: list[list[Task]]
    critical_path_s: float
    core_s: float


class Job:
    """An accepted job.

    :param job_id: the id that its caller chose.
    :param stored: what was accepted.
    """

    def __init__(self, *, job_id: JobId, stored: StoredJob) -> None:
        self.job_id = job_id
        self.queue_name = stored.queue
        self.service = stored.service
        self.accepted_at = stored.accepted_at
        self.spec = stored.spec
        self.phase = JobPhase.LIVE
        self.ended_at = 0.0
        # The final phase is shown only once it is durable: a new owner could otherwise run again
        # what the caller was told had ended.
        self.durable_phase = JobPhase.LIVE
        self.has_started = False
        # Whether nothing of it may be started, as its progress can't be read.
        self.progress_unreadable = False
        # The whole chain of work that is left when nothing has been done, in seconds.
        self.critical_path_s = _critical_path(stored.spec.steps)
        # Whether it has tasks that run until it is cancelled.
        self.lasting = any(step.lasting for step in stored.spec.steps)
        # Whether any run of it has failed.
        self.has_failures = False
        # Whether an executor has crashed under a task of it.
        self.has_crashes = False
        # Why it ended, for its caller.
        self.end_reason = ""
        self._remaining_work: _RemainingWork | None = None
        self.total_cpu_s = sum(s.width * s.cpu / 1000 * s.estimate_s for s in stored.spec.steps)
        # Of it, what ends by itself and has a claim to processor time.
        self.batch_cpu_s = sum(
            step.width * step.cpu / 1000 * step.estimate_s
            for step in stored.spec.steps
            if not step.lasting and not step.filling
        )
        self._occurrences: dict[int, list[list[Task]]] = {}
        if not stored.spec.repeats:
            self.open_occurrence(0)

    def due_at(self, occurrence: int) -> float:
        """When an occurrence may begin, in seconds since the epoch."""
        if not self.spec.repeats:
            return self.accepted_at
        return self.spec.first_at_s + occurrence * self.spec.interval_s

    def open_due_occurrences(self, wall: float) -> float | None:
        """Open the occurrences that are due.

        :param wall: seconds since the epoch.
        :return: when the next one is due, None if there is none.
        """
        for occurrence in range(self.spec.repeats):
            if occurrence in self._occurrences:
                continue
            if self.due_at(occurrence) > wall:
                return self.due_at(occurrence)
            self.open_occurrence(occurrence)
        return None

    def open_occurrence(self, occurrence: int) -> None:
        """Make the tasks of one occurrence."""
        if occurrence in self._occurrences:
            return
        self._remaining_work = None
        self._occurrences[occurrence] = [
            [
                Task(task_id=TaskId(self.job_id, occurrence, number, index), step=step)
                for index in range(step.width)
            ]
            for number, step in enumerate(self.spec.steps)
        ]

    def task(self, task_id: TaskId) -> Task | None:
        """The task with an id, None if the job has none such."""
        steps = self._occurrences.get(task_id.occurrence)
        if steps is None and 0 <= task_id.occurrence < self.spec.repeats:
            self.open_occurrence(task_id.occurrence)
            steps = self._occurrences[task_id.occurrence]
        if steps is None or not 0 <= task_id.step < len(steps):
            return None
        tasks = steps[task_id.step]
        return tasks[task_id.number] if 0 <= task_id.number < len(tasks) else None

    def tasks(self) -> Iterator[Task]:
        """All tasks of the occurrences that are open."""
        for steps in self._occurrences.values():
            for tasks in steps:
                yield from tasks

    def siblings(self, task: Task) -> list[Task]:
        """The tasks of the same step and occurrence, the task itself included."""
        return self._occurrences[task.task_id.occurrence][task.task_id.step]

    def mark_done(self, tasks: Iterable[Task]) -> None:
        """Note that tasks are done."""
        for task in tasks:
            task.done = True
        self._remaining_work = None

    def mark_failed(self, tasks: Iterable[Task], run: int) -> None:
        """Note that a run of tasks has failed; one that is noted already changes nothing."""
        for task in tasks:
            task.failed_runs.add(run)
        self.has_failures = True

    def ready_steps(self) -> list[list[Task]]:
        """The steps whose earlier steps are done, as lists of their tasks."""
        return self._get_remaining_work().ready

    def upcoming_steps(self) -> list[list[Task]]:
        """The steps that wait only for steps in turn, as lists of their tasks."""
        return self._get_remaining_work().upcoming

    def remaining(self) -> tuple[float, float]:
        """What is left of the work.

        :return: seconds of the longest chain, and core-seconds.
        """
        remaining = self._get_remaining_work()
        return remaining.critical_path_s, remaining.core_s

    def _get_remaining_work(self) -> "_RemainingWork":
        # A pass of placing asks each waiting job for it, many times between two ends of its tasks.
        # Kept, with one ranking for equal tasks, a pass over 150 waiting jobs takes 0.8 ms, not 17.
        if self._remaining_work is None:
            self._remaining_work = self._compute_remaining_work()
        return self._remaining_work

    def _compute_remaining_work(self) -> "_RemainingWork":
        ready: list[list[Task]] = []
        upcoming: list[list[Task]] = []
        critical_path_s = 0.0
        core_s = 0.0
        for steps in self._occurrences.values():
            unfinished = [sum(1 for task in tasks if not task.done) for tasks in steps]
            is_ready = [
                not any(unfinished[earlier] for earlier in s.depends_on) for s in self.spec.steps
            ]
            end_times_s: list[float] = []
            for number, step in enumerate(self.spec.steps):
                if is_ready[number]:
                    ready.append(steps[number])
                elif all(is_ready[earlier] for earlier in step.depends_on if unfinished[earlier]):
                    upcoming.append(steps[number])
                start_s = max((end_times_s[earlier] for earlier in step.depends_on), default=0.0)
                end_times_s.append(start_s + (step.estimate_s if unfinished[number] else 0.0))
                core_s += unfinished[number] * step.cpu / 1000 * step.estimate_s
            critical_path_s = max(critical_path_s, *end_times_s)
        return _RemainingWork(ready, upcoming, critical_path_s, core_s)

    def all_done(self) -> bool:
        """Whether every task of every occurrence has ended as done."""
        if self.lasting:
            return False
        expected = max(self.spec.repeats, 1)
        return len(self._occurrences) == expected and all(t.done for t in self.tasks())

    def progress(self) -> bytes:
        """The durable form of what has been reached."""
        progress = Progress(phase=int(self.phase), ended_at=self.ended_at, why=self.end_reason)
        if self.phase is not JobPhase.LIVE:
            return msgspec.msgpack.encode(progress)
        for occurrence, steps in self._occurrences.items():
            for number, tasks in enumerate(steps):
                name = f"{occurrence}.{number}"
                bits = sum(1 << t.task_id.number for t in tasks if t.done)
                if bits:
                    progress.done[name] = f"{bits:x}"
                failed = {t.task_id.number: sorted(t.failed_runs) for t in tasks if t.failed_runs}
                if failed:
                    progress.failed_runs[name] = failed
                saved = {
                    t.task_id.number: t.checkpoint for t in tasks if t.checkpoint and not t.done
                }
                if saved:
                    progress.checkpoints[name] = saved
                crashes = {t.task_id.number: dict(t.crashes) for t in tasks if t.crashes}
                if crashes:
                    progress.crashes[name] = crashes  # type: ignore[assignment]
        return msgspec.msgpack.encode(progress)

    def restore(self, raw: bytes) -> None:
        """Take in the durable form of what a former owner had reached."""
        progress = msgspec.msgpack.decode(raw, type=Progress)
        self.phase = self.durable_phase = JobPhase(progress.phase)
        self.ended_at = progress.ended_at
        self.end_reason = progress.why
        for name, bits in progress.done.items():
            number = int(bits, 16)
            for task in self._tasks_of_step(name):
                task.done = bool(number >> task.task_id.number & 1)
                self.has_started = self.has_started or task.done
        self._remaining_work = None
        for name, failed in progress.failed_runs.items():
            for task in self._tasks_of_step(name):
                task.failed_runs = set(failed.get(task.task_id.number, ()))
                self.has_started = self.has_started or task.failures > 0
                self.has_failures = self.has_failures or task.failures > 0
        for name, saved in progress.checkpoints.items():
            for task in self._tasks_of_step(name):
                task.checkpoint = saved.get(task.task_id.number, "")
        for name, crashes in progress.crashes.items():
            for task in self._tasks_of_step(name):
                by_run = crashes.get(task.task_id.number, {})
                task.crashes = {run: Crash(how) for run, how in by_run.items()}
            self.has_started = self.has_crashes = True

    def end(self, phase: JobPhase, wall: float, why: str = "") -> None:
        """End the job."""
        self.end_reason = why
        self.phase = phase
        self.ended_at = wall

    def _tasks_of_step(self, name: str) -> list[Task]:
        occurrence, step = (int(part) for part in name.split("."))
        self.open_occurrence(occurrence)
        return self._occurrences[occurrence][step]


def apply_end(job: Job, task: Task, end: EndRow) -> bool:
    """Take in how a run of a task ended.

    A gang ends as one: a member's end counts for all. An end may be heard again, by an owner that
    took over before it was acknowledged; failures are told apart by their run, so that each counts
    once.

    :return: whether the durable progress has to tell of it.
    """
    members = job.siblings(task) if task.step.gang else [task]
    if end.checkpoint:
        for member in members:
            member.checkpoint = end.checkpoint
    if end.how is EndKind.DONE and not task.step.lasting:
        job.mark_done(members)
        return True
    if end.how is EndKind.FAILED and not task.step.lasting:
        job.mark_failed(members, end.run)
        return True
    return False


def attempts_exhausted(task: Task, queue: Queue | None) -> bool:
    """Whether a task has failed as often as its queue allows."""
    return queue is not None and not task.step.lasting and task.failures >= queue.max_attempts


def encode_job(stored: StoredJob) -> bytes:
    """The durable form of an accepted job."""
    return msgspec.msgpack.encode(stored)


def decode_job(job_id: JobId, raw: bytes) -> Job:
    """A job from its durable form."""
    return Job(job_id=job_id, stored=msgspec.msgpack.decode(raw, type=StoredJob))


def _critical_path(steps: tuple[Step, ...]) -> float:
    end_times_s: list[float] = []
    for step in steps:
        start_s = max((end_times_s[earlier] for earlier in step.depends_on), default=0.0)
        end_times_s.append(start_s + step.estimate_s)
    return max(end_times_s, default=0.0)
