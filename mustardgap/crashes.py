"""Executors that go down under tasks: which tasks are to blame, and when one is given up."""

import enum
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from . import metrics
from .events import EventLog
from .policies import Mechanism, Policy
from .runs import Run
from .timers import Clock
from .workloads import ExecutorEntry

if TYPE_CHECKING:
    from .dispatchers import Dispatcher
    from .executor_links import ExecutorLink
    from .job_states import Job, Task

# A run whose start was answered longer ago than this had begun to work, listed or not: it outlasts
# the pauses between two looks, so a closed connection is noticed within it.
JUST_STARTED_S = 0.25
# A task whose run is at work for this long isn't what its executors crash of.
FORGET_CRASHES_AFTER_S = 30.0
# So many crashes of a pool's executors within this time aren't chance.
FREQUENT_CRASHES = 2
FREQUENT_CRASHES_WINDOW_S = 10.0
# Crashes after which a task has to run with nothing beside it, and the same where another task that
# had just been started explains them.
UNEXPLAINED_CRASH_LIMIT = 2
ISOLATION_CRASH_LIMIT = 3
# So many end its job if nothing else was there at the last, and so many whatever else was.
CRASH_LIMIT_IF_ALONE = 4
CRASH_LIMIT = 5
# Executors that are gone and whose machines aren't back, beyond which the oldest are forgotten.
MAX_UNCONFIRMED_EXECUTORS = 256
# For so long a prime suspect has an executor to itself, and so long after many crashes.
TRIAL_S = 2.0
LONGEST_TRIAL_S = 10.0


class Crash(enum.IntEnum):
    """How a task's run stood when its executor crashed."""

    # It had been at work; what explains the crash had just been started, or was on trial.
    BESIDE_STARTED = 0
    # It had been at work, like all others.
    AT_WORK = 1
    # It had just been started, like others.
    STARTED = 2
    # It had been at work, and nothing else was there.
    ONLY_AT_WORK = 3
    # It alone had just been started.
    ONLY_STARTED = 4


def classify_crashes(
    runs: Iterable[Run], now: float, trial: Run | None = None
) -> Iterator[tuple[Run, Crash]]:
    """How each run stood that may have crashed an executor.

    Most tasks that crash their executor do so as they begin to work. But each run counts: a task
    that does so late would never be found out where others are started beside it all the time.

    :param runs: what the executor was known to run, or had been sent.
    :param now: steady seconds.
    :param trial: a prime suspect that had the executor to itself, but for what lasts there.
    """
    sent = [run for run in runs if run.sent]
    just_started = [run for run in sent if _is_just_started(run, now)]
    for run in sent:
        if trial in sent and not just_started:
            yield run, Crash.ONLY_AT_WORK if run is trial else Crash.BESIDE_STARTED
        elif run in just_started:
            yield run, Crash.ONLY_STARTED if len(just_started) == 1 else Crash.STARTED
        elif just_started:
            yield run, Crash.BESIDE_STARTED
        else:
            yield run, Crash.ONLY_AT_WORK if len(sent) == 1 else Crash.AT_WORK


def _is_just_started(run: Run, now: float) -> bool:
    if run.at_work:
        return False
    return run.confirmed_at is None or now - run.confirmed_at <= JUST_STARTED_S


def is_suspect(task: "Task") -> bool:
    """Whether a task has to be started apart from others that have just been started."""
    if must_run_alone(task):
        return True
    return not task.crash_cleared and any(c >= Crash.STARTED for c in task.crashes.values())


def must_run_alone(task: "Task") -> bool:
    """Whether a task has to run with nothing beside it."""
    # Tasks that last meet the crashes of all that is started beside them in their time.
    limit = CRASH_LIMIT_IF_ALONE if task.step.lasting else ISOLATION_CRASH_LIMIT
    return (
        len(task.crashes) >= limit
        or _count_unexplained(task.crashes.values()) >= UNEXPLAINED_CRASH_LIMIT
    )


def trial_s(task: "Task") -> float:
    """For how long a prime suspect has its executor to itself, in seconds.

    One that crashed later than that would be found beside others again and again.
    """
    return TRIAL_S if len(task.crashes) < CRASH_LIMIT_IF_ALONE else LONGEST_TRIAL_S


def is_given_up(task: "Task") -> bool:
    """Whether so many executors have crashed under a task that it isn't started again."""
    if len(task.crashes) >= CRASH_LIMIT and not task.step.lasting:
        return True
    # An executor that is taken away closes its connections, too, and its notice may come late.
    confirmed = sorted(task.crashes_confirmed & task.crashes.keys())
    crashes = [task.crashes[run] for run in confirmed]
    if not crashes:
        return False
    alone = sum(crash is Crash.ONLY_AT_WORK for crash in crashes)
    # One crash of a task at work may be the executor's own; two with nothing else there aren't.
    if alone >= UNEXPLAINED_CRASH_LIMIT:
        return True
    if crashes[-1] is Crash.ONLY_STARTED and _count_unexplained(crashes) >= UNEXPLAINED_CRASH_LIMIT:
        return True
    return crashes[-1] >= Crash.ONLY_AT_WORK and len(crashes) >= CRASH_LIMIT_IF_ALONE


def _count_unexplained(crashes: Iterable[Crash]) -> int:
    """How many crashes of a task nothing else explains."""
    return sum(crash is not Crash.BESIDE_STARTED for crash in crashes)


class CrashTracker:
    """Counts the executors that have crashed under each task of a shard.

    A crash is put on record as soon as the executor closes its connections, long before its end is
    certain. An executor that was only cut off answers again, and its crash is taken back; counted
    when it is certain, crashes would be forgotten by each takeover within those seconds.

    :param dispatcher: the owner of the tasks.
    :param clock: the clocks to read.
    :param events: the process's log.
    :param policy: what takes part.
    """

    def __init__(
        self, *, dispatcher: "Dispatcher", clock: Clock, events: EventLog, policy: Policy
    ) -> None:
        self._shard = dispatcher
        self._clock = clock
        self._events = events
        self._policy = policy
        # When executors of each service have gone down under what they had just been started.
        self._recent_crash_times_by_service: defaultdict[str, deque[float]] = defaultdict(deque)
        self._unconfirmed_by_executor: dict[str, list[Run]] = {}

    def on_closed(self, link: "ExecutorLink") -> None:
        """Count a crash: an executor has closed its connections, and says nothing any more."""
        if link.entry.draining:
            # It was to leave. One that is only being emptied goes on until nothing runs there.
            return
        trial = link.trial if link.on_trial else None
        classified = list(
            classify_crashes(link.runs_by_key.values(), self._clock.monotonic(), trial)
        )
        self._unconfirmed_by_executor[link.entry.executor] = [run for run, _ in classified]
        while len(self._unconfirmed_by_executor) > MAX_UNCONFIRMED_EXECUTORS:
            del self._unconfirmed_by_executor[next(iter(self._unconfirmed_by_executor))]
        if any(crash >= Crash.STARTED for _, crash in classified):
            self._recent_crash_times_by_service[link.entry.service].append(self._clock.monotonic())
        for run, crash in classified:
            self._record_crash(link, run, crash)

    def are_frequent(self, service: str) -> bool:
        """Whether executors of a service have been going down under what they start."""
        if not self._policy.has(Mechanism.SPREADING):
            return False
        recent = self._recent_crash_times_by_service[service]
        while recent and recent[0] < self._clock.monotonic() - FREQUENT_CRASHES_WINDOW_S:
            recent.popleft()
        return len(recent) >= FREQUENT_CRASHES

    def on_answered(self, link: "ExecutorLink") -> None:
        """Take a crash back: the executor answers, so it was only out of reach."""
        self._retract(link, "the executor answers")

    def on_gone(self, link: "ExecutorLink", *, answered: bool) -> None:
        """Settle a crash, as an executor is gone.

        :param answered: whether another incarnation answers at its address.
        """
        if self._is_address_reused(link.entry):
            self._retract(link, "its address was given away")
        elif answered:
            self._confirm(link.entry.executor)

    def on_listed(self, entry: ExecutorEntry) -> None:
        """Confirm a crash: the machine of an executor that went down has its next one."""
        for executor, runs in list(self._unconfirmed_by_executor.items()):
            gone = runs[0].link.entry if runs else None
            if gone is None or not gone.machine or executor == entry.executor:
                continue
            if (gone.machine, gone.service) == (entry.machine, entry.service):
                self._confirm(executor)

    def _confirm(self, executor: str) -> None:
        for run in self._unconfirmed_by_executor.pop(executor, ()):
            run.task.crashes_confirmed.add(run.number)
        self._shard.wake()

    def _is_address_reused(self, gone: ExecutorEntry) -> bool:
        return any(
            entry.address == gone.address
            and (entry.machine, entry.service) != (gone.machine, gone.service)
            for entry in self._shard.roster.entries_by_id.values()
        )

    def on_run_reported(self, job: "Job", task: "Task", number: int) -> None:
        """Take a crash back: an executor tells of the run under which it was to have crashed."""
        if task.crashes.pop(number, None) is not None:
            self._store_crashes(job, task)

    def on_at_work(self, run: Run) -> None:
        """A run has been seen at work: it doesn't crash its executor as it is started."""
        task = run.task
        if not task.crashes or task.crash_cleared:
            return
        task.crash_cleared = True
        self._note("crash.cleared", run, vital=False, crashes=len(task.crashes))
        self._shard.wake()

    def look(self, runs: Iterable[Run]) -> None:
        """Forget the crashes of tasks that have been at work for long."""
        for run in runs:
            task = run.task
            if not task.crashes or run.began_s is None:
                continue
            if run.link.up and run.link.seen_s - run.began_s >= FORGET_CRASHES_AFTER_S:
                task.crashes.clear()
                self._store_crashes(self._shard.job_of(task.task_id), task)

    def _record_crash(self, link: "ExecutorLink", run: Run, crash: Crash) -> None:
        task = run.task
        job = self._shard.jobs_by_id.get(task.task_id.job)
        if job is None or job.phase:
            return
        task.crashes[run.number] = crash
        task.crash_cleared = False
        task.avoided.add(link.entry.machine)
        self._store_crashes(job, task)
        metrics.task_crashes.add(1, {"stood": crash.name.lower()})
        self._note(
            "run.crashed",
            run,
            machine=link.entry.machine,
            stood=crash.name,
            crashes=len(task.crashes),
            percent=run.percent,
        )

    def _retract(self, link: "ExecutorLink", why: str) -> None:
        for run in self._unconfirmed_by_executor.pop(link.entry.executor, ()):
            task = run.task
            job = self._shard.jobs_by_id.get(task.task_id.job)
            if job is None or task.crashes.pop(run.number, None) is None:
                continue
            self._store_crashes(job, task)
            self._note("crash.retracted", run, why=why)

    def _note(self, event: str, run: Run, *, vital: bool = True, **fields: object) -> None:
        task_id = run.task.task_id
        self._events.note(
            event,
            vital=vital,
            job=task_id.job,
            task=task_id,
            run=run.number,
            executor=run.link.entry.executor,
            **fields,
        )

    def _store_crashes(self, job: "Job", task: "Task") -> None:
        job.has_crashes = True
        if job.phase:
            return
        task.crash_record = self._shard.put_progress(job)
        task.crash_record.outcome.add_done_callback(lambda _: self._shard.wake())
