"""The state of a job at the owner of its shard: its tasks, their runs and ends, its progress."""

import enum
from collections.abc import Iterable, Iterator, Sequence
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from .codecs import decode_msgpack
from .crashes import Crash, CrashSite
from .job_memory import ended_job_bytes, job_bytes
from .tickets import Ticket
from .workloads import AdvicePolicy, EndKind, EndRow, JobId, JobSpec, Queue, Step, TaskId

if TYPE_CHECKING:
    from .progress_blocks import ProgressBlocks
    from .run_speeds import RunSpeed
    from .runs import Run


# For a job whose queue's policy isn't known, but whose executors ask for tickets. A ticket that is
# valid for less is turned down, and another one asked for.
UNKNOWN_ADVICE = AdvicePolicy(decide_s=0.0, per_executor_s=0.0, valid_s=1.0)


class JobPhase(enum.IntEnum):
    """The phase of a job; all but LIVE are final."""

    LIVE = 0
    COMPLETED = 1
    FAILED = 2
    CANCELLED = 3


class Task:
    """A task of a job; at most one of its runs is active, unless its step allows copies.

    :param task_id: the task's id.
    :param step: the step that it belongs to.
    :param inherited: whether a former owner may have started it on an executor that hasn't reported
        since.
    """

    __slots__ = (
        "avoided",
        "checkpoint",
        "crash_cleared",
        "crash_sites",
        "crash_ticket",
        "crashes",
        "crashes_confirmed",
        "done",
        "failed_runs",
        "given_up",
        "held_back",
        "inherited",
        "restarted",
        "run",
        "speed",
        "step",
        "task_id",
    )

    def __init__(self, *, task_id: TaskId, step: Step, inherited: bool = False) -> None:
        self.task_id = task_id
        self.step = step
        self.done = False
        self.failed_runs: set[int] = set()
        self.checkpoint = ""
        self.run: Run | None = None
        # How fast the run was that has done it, if this owner saw it.
        self.speed: RunSpeed | None = None
        self.inherited = inherited
        # Whether its run is lost, and a later owner may have started it again.
        self.held_back = False
        # Whether it is never started again, as it, or another task of its job, has failed for good.
        self.given_up = False
        # Whether a run of it was stopped as a straggler; this happens once at most.
        self.restarted = False
        # Executors on which it failed or stalled, and machines whose executors crashed while
        # running it. Others are tried first.
        self.avoided: set[str] = set()
        # The state of the run when its executor crashed, by run number.
        self.crashes: dict[int, Crash] = {}
        # The crashes, by run number, after which another executor answered on the machine. In
        # the other cases the executor may have left instead of crashing.
        self.crashes_confirmed: set[int] = set()
        # Where the crashes happened that aren't confirmed, by run number.
        self.crash_sites: dict[int, CrashSite] = {}
        # Whether the task has been seen at work since its last crash.
        self.crash_cleared = False
        # The ticket of the record of its crashes. Until it is durable the task isn't started again:
        # the next owner would know of one crash less, and could start it once too often.
        self.crash_ticket: Ticket | None = None

    @property
    def failures(self) -> int:
        """The number of its failed runs."""
        return len(self.failed_runs)

    @property
    def is_waiting(self) -> bool:
        """Whether it has to be started as soon as its step is ready."""
        unavailable = self.done or self.given_up or self.inherited or self.held_back
        return not unavailable and self.run is None

    @property
    def crashes_durable(self) -> bool:
        """Whether all its crashes are durable."""
        return self.crash_ticket is None or self.crash_ticket.durable


class StoredJob(msgspec.Struct):
    """The durable form of an accepted job.

    ``account`` is empty for a job without one. ``max_attempts`` is what its queue allowed then; 0
    in records of older versions, which don't hold it. ``path`` is the short name of the path that
    it was submitted to; empty in records of older versions. ``advice`` is the queue's policy then,
    left out where it had none.
    """

    queue: str
    service: str
    accepted_at: float
    spec: JobSpec
    account: str = ""
    max_attempts: int = 0
    path: str = ""
    advice: AdvicePolicy | msgspec.UnsetType = msgspec.UNSET

    def is_of(self, path: str, queue_name: str | None = None) -> bool:
        """Whether the job was, or may have been, submitted to a path.

        :param queue_name: the path's queue, which a job without a path may be of; None for any.
        """
        if self.path and path:
            return self.path == path
        return queue_name is None or self.queue == queue_name


class _RemainingWork(NamedTuple):
    """The unfinished work of a job.

    ``ready`` and ``upcoming`` hold steps as lists of their tasks. ``critical_path_s`` is the
    estimated duration of the longest chain of dependent steps, ``core_s`` the work in core-seconds,
    and ``memory_mb_s`` the memory that it takes up for how long, in MB-seconds.
    """

    ready: list[list[Task]]
    upcoming: list[list[Task]]
    critical_path_s: float
    core_s: float
    memory_mb_s: float


class Job:
    """An accepted job.

    :param job_id: the id that its caller chose.
    :param stored: the accepted job in its durable form.
    """

    def __init__(self, *, job_id: JobId, stored: StoredJob) -> None:
        self.job_id = job_id
        self.stored = stored
        self.queue_name = stored.queue
        self.service = stored.service
        self.account = stored.account
        # How often a task may fail once its queue isn't configured any more; 0 if that isn't known.
        self.max_attempts = stored.max_attempts
        # The policy of its queue while that was last configured; None if it has none, or if that
        # isn't known.
        self.advice = stored.advice or None
        self._wants_tickets = False
        self.accepted_at = stored.accepted_at
        self.spec = stored.spec
        self.memory_bytes = job_bytes(stored.spec)
        self._released = False
        self.phase = JobPhase.LIVE
        self.ended_at = 0.0
        # The phase that callers are told. A final phase is set here only once it is durable: a new
        # owner could otherwise run a job again whose caller was told that it had ended.
        self.durable_phase = JobPhase.LIVE
        self.has_started = False
        self._begun = False
        # Set when the job's stored progress can't be read; none of its tasks may be started then.
        self.progress_unreadable = False
        # The estimated duration of the longest chain of dependent steps of the whole job, in
        # seconds.
        self.critical_path_s = critical_path_s(stored.spec.steps)
        # Whether it has tasks that run until the job is cancelled.
        self.lasting = stored.spec.lasting
        # Whether a former owner may have started tasks of it on executors that haven't reported
        # since, also of occurrences that are opened later: starts aren't stored, and a former owner
        # that is cut off may still start what comes due.
        self.inherited = False
        # Whether it exceeds its account's share; None while that isn't decided. Excess jobs yield
        # to others where capacity is short.
        self.excess: bool | None = None
        self.has_failures = False
        # Whether an executor has crashed while running one of its tasks.
        self.has_crashes = False
        # Shown to the job's caller.
        self.end_reason = ""
        # Why its steps that end by themselves have failed while long-running ones go on.
        self.batch_failure = ""
        # Why a long-running task of it isn't started any more, of the latest such task.
        self.degraded = ""
        self._remaining_work: _RemainingWork | None = None
        self.total_cpu_s = sum(s.width * s.cpu / 1000 * s.estimate_s for s in stored.spec.steps)
        # The core-seconds of steps that end by themselves and have a claim to processor time.
        # Lasting steps don't end by themselves, and filling ones only use what others leave over.
        self.batch_cpu_s = batch_cpu_s(stored.spec.steps)
        self._occurrences: dict[int, list[list[Task]]] = {}
        self._tasks_each = sum(step.width for step in stored.spec.steps)
        # Where its progress is stored; None while one record holds all of it.
        self.blocks: ProgressBlocks | None = None
        if not stored.spec.repeats:
            self.open_occurrence(0)

    def note_queue(self, queue: Queue | None) -> None:
        """Note what its queue is like now; one that isn't configured any more changes nothing."""
        if queue is not None and not (queue.advice is None and self._wants_tickets):
            self.advice = queue.advice

    def note_ticket_missing(self) -> None:
        """Note that executors want tickets, although its queue isn't known to have a policy."""
        if self.advice is None:
            self.advice = UNKNOWN_ADVICE
            self._wants_tickets = True

    def due_at(self, occurrence: int) -> float:
        """The time at which an occurrence may start, in seconds since the epoch."""
        if not self.spec.repeats:
            return self.accepted_at
        return self.spec.first_at_s + occurrence * self.spec.interval_s

    def open_due_occurrences(self, wall: float) -> float | None:
        """Create the tasks of all occurrences that are due.

        :param wall: seconds since the epoch.
        :return: when the next occurrence is due, None if there is none.
        """
        for occurrence in range(self.spec.repeats):
            if occurrence in self._occurrences:
                continue
            if self.due_at(occurrence) > wall:
                return self.due_at(occurrence)
            self.open_occurrence(occurrence)
        return None

    def open_occurrence(self, occurrence: int) -> None:
        """Create the tasks of one occurrence, unless they exist."""
        if occurrence in self._occurrences or self._released:
            return
        self._remaining_work = None
        self._occurrences[occurrence] = [
            [
                Task(
                    task_id=TaskId(self.job_id, occurrence, number, index),
                    step=step,
                    inherited=self.inherited,
                )
                for index in range(step.width)
            ]
            for number, step in enumerate(self.spec.steps)
        ]
        if self.batch_failure:
            self._give_up_batch()

    def give_up_lasting(self, task: Task, why: str) -> None:
        """Start a long-running task no more; a gang works only as a whole.

        :param why: the reason, shown to the job's caller.
        """
        self.degraded = why
        for member in self.members_of(task):
            member.given_up = True

    def fail_batch(self, why: str) -> None:
        """Start no task any more but the long-running ones.

        :param why: the reason, shown to the job's caller.
        """
        self.batch_failure = self.end_reason = why
        self._give_up_batch()

    def _give_up_batch(self) -> None:
        for task in self.tasks():
            task.given_up = task.given_up or not task.step.lasting

    @property
    def serves(self) -> bool:
        """Whether it has long-running tasks that are at work or have to be."""
        return self.lasting and any(
            task.step.lasting and not task.given_up
            for tasks in self.ready_steps()
            for task in tasks
        )

    def inherit(self, wall: float) -> None:
        """Start none of its tasks until it is known which of them a former owner has started.

        :param wall: seconds since the epoch.
        """
        self.inherited = True
        self.open_due_occurrences(wall)
        for task in self.tasks():
            task.inherited = not task.done

    def end_inheritance(self) -> int:
        """Release the tasks of which no executor has reported a run.

        :return: how many there are.
        """
        self.inherited = False
        freed = [task for task in self.tasks() if task.inherited]
        for task in freed:
            task.inherited = False
        return len(freed)

    def task(self, task_id: TaskId) -> Task | None:
        """The task with an id, None if the job has no such task."""
        steps = self._occurrences.get(task_id.occurrence)
        if steps is None and 0 <= task_id.occurrence < self.spec.repeats:
            self.open_occurrence(task_id.occurrence)
            steps = self._occurrences.get(task_id.occurrence)
        if steps is None or not 0 <= task_id.step < len(steps):
            return None
        tasks = steps[task_id.step]
        return tasks[task_id.number] if 0 <= task_id.number < len(tasks) else None

    def step_of(self, task_id: TaskId) -> Step | None:
        """The step of a task, also once tasks are released; None if the job has no such step."""
        steps = self.spec.steps
        return steps[task_id.step] if 0 <= task_id.step < len(steps) else None

    def release_tasks(self) -> None:
        """Forget the tasks of an ended job, of which nobody asks for more than how it ended.

        Ended jobs are known for minutes. With their tasks they would fill the room for new jobs.
        """
        self._released = True
        self._occurrences.clear()
        self._remaining_work = None
        self.memory_bytes = ended_job_bytes(self.spec)

    @property
    def may_release_tasks(self) -> bool:
        """Whether the job's end is durable, and none of its tasks has a run any more."""
        if self._released or self.phase is JobPhase.LIVE or self.durable_phase is not self.phase:
            return False
        return all(task.run is None for task in self.tasks())

    @property
    def has_begun(self) -> bool:
        """Whether an executor is known to have had a run of it; a start may never have arrived."""
        if not self._begun and self.has_started:
            runs = (task.run for task in self.tasks())
            self._begun = any(run is not None and run.first_seen_s is not None for run in runs)
        return self._begun

    def note_begun(self) -> None:
        """Note that an executor has, or had, a run of one of its tasks."""
        self._begun = True

    def occurrences(self) -> Iterator[tuple[int, list[list[Task]]]]:
        """The occurrences that have been opened, with the tasks of each of their steps."""
        yield from self._occurrences.items()

    def steps_of(self, occurrence: int) -> list[list[Task]]:
        """The tasks of each step of an occurrence, which is opened if need be."""
        self.open_occurrence(occurrence)
        return self._occurrences[occurrence]

    @property
    def opened_tasks(self) -> int:
        """How many tasks the occurrences have that have been opened."""
        return len(self._occurrences) * self._tasks_each

    def tasks(self) -> Iterator[Task]:
        """All tasks of the occurrences that have been opened."""
        for steps in self._occurrences.values():
            for tasks in steps:
                yield from tasks

    def siblings(self, task: Task) -> list[Task]:
        """The tasks of the same step and occurrence, including the task itself."""
        if self._released:
            return [task]
        return self._occurrences[task.task_id.occurrence][task.task_id.step]

    def members_of(self, task: Task) -> Sequence[Task]:
        """The tasks that end as one with a task: its gang, or itself."""
        return self.siblings(task) if task.step.gang else [task]

    def mark_done(self, tasks: Iterable[Task]) -> None:
        """Mark tasks as done."""
        for task in tasks:
            task.done = True
        self._remaining_work = None

    def mark_failed(self, tasks: Iterable[Task], run: int) -> None:
        """Record a failed run of tasks; a run that is already recorded changes nothing."""
        for task in tasks:
            task.failed_runs.add(run)
        self.has_failures = True

    def ready_steps(self) -> list[list[Task]]:
        """The steps that depend on no unfinished step, as lists of their tasks."""
        return self._get_remaining_work().ready

    def upcoming_steps(self) -> list[list[Task]]:
        """The steps that wait only for ready ones, as lists of their tasks."""
        return self._get_remaining_work().upcoming

    def remaining(self) -> tuple[float, float]:
        """The unfinished part of the job.

        :return: the estimated duration of its longest chain of dependent steps, in seconds, and its
            work in core-seconds.
        """
        work = self._get_remaining_work()
        return work.critical_path_s, work.core_s

    def remaining_memory_mb_s(self) -> float:
        """The memory that its unfinished tasks take up for how long, in MB-seconds."""
        return self._get_remaining_work().memory_mb_s

    def _get_remaining_work(self) -> "_RemainingWork":
        # Each placing pass needs this for every waiting job, many times between two ends of a job's
        # tasks. With this cache, and one ranking for equal tasks, a pass over 150 waiting jobs
        # takes 0.8 ms instead of 17 ms.
        if self._remaining_work is None:
            self._remaining_work = self._compute_remaining_work()
        return self._remaining_work

    def _compute_remaining_work(self) -> "_RemainingWork":
        ready: list[list[Task]] = []
        upcoming: list[list[Task]] = []
        critical_path_s = 0.0
        core_s = memory_mb_s = 0.0
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
                memory_mb_s += unfinished[number] * step.memory_mb * step.estimate_s
            critical_path_s = max(critical_path_s, *end_times_s)
        return _RemainingWork(ready, upcoming, critical_path_s, core_s, memory_mb_s)

    def all_done(self) -> bool:
        """Whether all tasks of all occurrences are done."""
        if self.lasting:
            return False
        expected = max(self.spec.repeats, 1)
        return len(self._occurrences) == expected and all(t.done for t in self.tasks())

    def end(self, phase: JobPhase, wall: float, why: str = "") -> None:
        """End the job.

        :param phase: the final phase.
        :param wall: seconds since the epoch.
        :param why: the reason, shown to the job's caller.
        """
        self.end_reason = why
        self.phase = phase
        self.ended_at = wall


def apply_end(job: Job, task: Task, end: EndRow) -> bool:
    """Apply the end of a run to its job.

    A gang ends as a whole: the end of one member counts for all. A new owner receives the ends
    again that its predecessor didn't acknowledge; failures are recorded by run number, so that each
    counts once.

    :return: whether the job's stored progress has to be updated.
    """
    members = job.members_of(task)
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


def attempts_exhausted(job: Job, task: Task, queue: Queue | None) -> bool:
    """Whether a task has failed as often as its queue allows.

    :param queue: the job's queue; None if it isn't configured any more, so that what it allowed
        when the job was accepted counts.
    """
    limit = queue.max_attempts if queue is not None else job.max_attempts
    return limit > 0 and not task.step.lasting and task.failures >= limit


def encode_job(stored: StoredJob) -> bytes:
    """Encode an accepted job into its durable form."""
    return msgspec.msgpack.encode(stored)


def decode_job(job_id: JobId, raw: bytes) -> Job:
    """Decode a job from its durable form."""
    return Job(job_id=job_id, stored=decode_msgpack(raw, StoredJob))


def batch_cpu_s(steps: tuple[Step, ...]) -> float:
    """The core-seconds of steps that end by themselves and have a claim to processor time."""
    return sum(
        step.width * step.cpu / 1000 * step.estimate_s
        for step in steps
        if not step.lasting and not step.filling
    )


def critical_path_s(steps: tuple[Step, ...]) -> float:
    """The estimated duration of the longest chain of dependent steps, in seconds."""
    end_times_s: list[float] = []
    for step in steps:
        start_s = max((end_times_s[earlier] for earlier in step.depends_on), default=0.0)
        end_times_s.append(start_s + step.estimate_s)
    return max(end_times_s, default=0.0)
