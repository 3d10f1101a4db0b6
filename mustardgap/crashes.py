"""Finds tasks that crash their executors, and decides when to stop starting them."""

import enum
from collections import defaultdict, deque
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import TYPE_CHECKING, NamedTuple

from . import metrics
from .events import EventLog
from .executor_lives import Incarnation, compare_starts
from .policies import Mechanism, Policy
from .runs import Run, RunPhase
from .timers import Clock
from .unseen_crashes import UnseenCrash, UnseenCrashes
from .workloads import ExecutorEntry

if TYPE_CHECKING:
    from .dispatchers import Dispatcher
    from .executor_links import ExecutorLink
    from .job_states import Job, Task

# A run counts as just started until this long after its start was answered, unless its executor
# has listed it as running. This is longer than the time between two polls of an executor, so a
# connection closed by a crash at the start is noticed within it.
JUST_STARTED_S = 0.25
# The crashes of a task are forgotten once a run of it has been running for this long: the task
# isn't their cause.
FORGET_CRASHES_AFTER_S = 30.0
# For a long-running task, a crash after this time isn't counted either. Its runs never end by
# themselves, so where executors crash by themselves, some crash under it sooner or later.
FORGET_LASTING_CRASHES_AFTER_S = 10.0
# This many crashes of a service's executors within this time are too many to be chance.
FREQUENT_CRASHES, FREQUENT_CRASHES_WINDOW_S = 2, 10.0
# A task must run alone after this many crashes that no other task explains, and after this many
# crashes in all.
UNEXPLAINED_CRASH_LIMIT, ISOLATION_CRASH_LIMIT = 2, 3
# A job fails after this many confirmed crashes of one task if nothing else explains the last one,
# and after this many in any case.
CRASH_LIMIT_IF_ALONE, CRASH_LIMIT = 4, 5
# Limits the crashed executors whose machines aren't back yet; beyond it, the oldest are dropped.
MAX_UNCONFIRMED_EXECUTORS = 256
# How long a task that must run alone has an executor to itself, and how long after repeated
# crashes.
TRIAL_S, LONGEST_TRIAL_S = 2.0, 10.0


class Crash(enum.IntEnum):
    """The state of a task's run when its executor crashed."""

    # At work; another run that had just been started, or was on trial, explains the crash. Also a
    # crash that no owner has seen: it counts towards the limit of crashes and isolates no task.
    BESIDE_STARTED = 0
    # At work, as were all others.
    AT_WORK = 1
    # Just started, as were others.
    STARTED = 2
    # At work, with no other run on the executor.
    ONLY_AT_WORK = 3
    # The only run that had just been started.
    ONLY_STARTED = 4


class CrashSite(NamedTuple):
    """The executor that crashed, and its machine and service."""

    executor: str
    machine: str
    service: str


class _CrashedRun(NamedTuple):
    """A run of a task, by its number, under which an executor has crashed."""

    task: "Task"
    number: int


class _UnconfirmedCrash(NamedTuple):
    """A crash that isn't confirmed or retracted yet, and the runs that it counts for.

    ``started_ms`` is when the crashed incarnation had started, None if it isn't known.
    """

    site: CrashSite
    runs: list[_CrashedRun]
    started_ms: int | None = None


def classify_crashes(
    runs: Iterable[Run], now: float, trial: Run | None = None
) -> Iterator[tuple[Run, Crash]]:
    """Classify each run that may have crashed an executor.

    Most tasks that crash their executor do so as they begin to run. But a crash counts for every
    run: a task that crashes late would never be found where others keep being started beside it.

    :param runs: the runs that the executor was known to have, or whose starts were sent to it.
    :param now: monotonic seconds.
    :param trial: a run that had the executor to itself, apart from lasting tasks.
    """
    sent = [run for run in runs if run.sent]
    just_started = {run for run in sent if _is_just_started(run, now)}
    explained = trial in sent and not just_started
    for run in sent:
        if explained:
            yield run, Crash.ONLY_AT_WORK if run is trial else Crash.BESIDE_STARTED
        elif run in just_started:
            yield run, Crash.ONLY_STARTED if len(just_started) == 1 else Crash.STARTED
        elif just_started:
            yield run, Crash.BESIDE_STARTED
        else:
            yield run, Crash.ONLY_AT_WORK if len(sent) == 1 else Crash.AT_WORK


def _is_just_started(run: Run, now: float) -> bool:
    # A run that was adopted began before the takeover, though it was first listed just now.
    if run.at_work or run.adopted:
        return False
    return run.confirmed_at is None or now - run.confirmed_at <= JUST_STARTED_S


def is_suspect(task: "Task") -> bool:
    """Whether a task must not be started beside others that have just been started."""
    if must_run_alone(task):
        return True
    return not task.crash_cleared and any(c >= Crash.STARTED for c in task.crashes.values())


def must_run_alone(task: "Task") -> bool:
    """Whether a task must run with no other task on its executor."""
    # Lasting tasks are there when any task that is started beside them crashes the executor.
    limit = CRASH_LIMIT_IF_ALONE if task.step.lasting else ISOLATION_CRASH_LIMIT
    return (
        len(task.crashes) >= limit
        or _count_unexplained(task.crashes.values()) >= UNEXPLAINED_CRASH_LIMIT
    )


def trial_s(task: "Task") -> float:
    """How long a task that must run alone has its executor to itself, in seconds.

    A task that crashes its executor later than that would keep doing so beside other tasks.
    """
    return TRIAL_S if len(task.crashes) < CRASH_LIMIT_IF_ALONE else LONGEST_TRIAL_S


def is_given_up(task: "Task") -> bool:
    """Whether a task has crashed too many executors to be started again."""
    # Only crashes whose machines are known to be back count here: an executor that is taken out of
    # service closes its connections, too, and the notice of that may come late.
    return _is_given_up(task, task.crashes_confirmed & task.crashes.keys())


def is_given_up_if_confirmed(task: "Task") -> bool:
    """Whether a task is given up once all of its crashes are confirmed."""
    return _is_given_up(task, task.crashes.keys())


def _is_given_up(task: "Task", confirmed: Collection[int]) -> bool:
    crashes = [task.crashes[run] for run in sorted(confirmed)]
    if task.step.lasting:
        return _is_lasting_given_up(crashes, len(task.crashes))
    if len(task.crashes) >= CRASH_LIMIT:
        return True
    if not crashes:
        return False
    alone = sum(crash is Crash.ONLY_AT_WORK for crash in crashes)
    # One crash under a running task may be the executor's own fault; two with no other run there
    # are the task's.
    if alone >= UNEXPLAINED_CRASH_LIMIT:
        return True
    if crashes[-1] is Crash.ONLY_STARTED and _count_unexplained(crashes) >= UNEXPLAINED_CRASH_LIMIT:
        return True
    return crashes[-1] >= Crash.ONLY_AT_WORK and len(crashes) >= CRASH_LIMIT_IF_ALONE


def _is_lasting_given_up(confirmed: Sequence[Crash], count: int) -> bool:
    """Whether a long-running task has crashed too many executors.

    It has to be restarted however it ends, and a few crashes while it is at work may be the
    executors' own, also where nothing else runs there. Two at its start, or CRASH_LIMIT in a row,
    are the task's. The last of these needn't be confirmed: the task would be started once too often
    while its executor isn't back.

    :param confirmed: its confirmed crashes, the oldest first.
    :param count: the number of all its crashes.
    """
    if not confirmed or confirmed[-1] < Crash.ONLY_AT_WORK:
        return False
    at_start = sum(crash in (Crash.STARTED, Crash.ONLY_STARTED) for crash in confirmed)
    if confirmed[-1] is Crash.ONLY_STARTED and at_start >= UNEXPLAINED_CRASH_LIMIT:
        return True
    return count >= CRASH_LIMIT and len(confirmed) >= CRASH_LIMIT - 1


def _forget_after_s(task: "Task") -> float:
    """How long a run of a task has to be at work until its crashes are forgotten, in seconds."""
    return FORGET_LASTING_CRASHES_AFTER_S if task.step.lasting else FORGET_CRASHES_AFTER_S


def _has_cleared_itself(run: Run) -> bool:
    """Whether a run has been at work for so long that it isn't the cause of a crash."""
    return run.task.step.lasting and run.is_at_work(
        run.link.report_clock_s, _forget_after_s(run.task)
    )


def _count_unexplained(crashes: Iterable[Crash]) -> int:
    """Count the crashes of a task that no other task explains."""
    return sum(crash is not Crash.BESIDE_STARTED for crash in crashes)


class CrashTracker:
    """Counts the executors that have crashed under each task of a shard.

    A crash is stored as soon as the executor closes its connections, seconds before the executor is
    known to be gone. If it answers again, it was only unreachable, and the crash is retracted.
    Stored only once the executor is known to be gone, a crash would be lost by a takeover within
    those seconds.

    :param dispatcher: the owner of the tasks.
    :param clock: the clocks to read.
    :param events: the process's event log.
    :param policy: the mechanisms that are enabled.
    """

    def __init__(
        self, *, dispatcher: "Dispatcher", clock: Clock, events: EventLog, policy: Policy
    ) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._events = events
        self._policy = policy
        # Times of crashes, by service, under runs that had just been started or were alone.
        self._recent_crash_times_by_service: defaultdict[str, deque[float]] = defaultdict(deque)
        self._unconfirmed_by_executor: dict[str, _UnconfirmedCrash] = {}
        self._unseen = UnseenCrashes()

    def inherit(self, jobs: Iterable["Job"]) -> None:
        """Go on waiting for the confirmation of the crashes that a former owner stored.

        Forgotten at a takeover, each crashing task took one or two more executors with it.
        """
        for job in jobs:
            if job.phase or not job.has_crashes:
                continue
            for task in job.tasks():
                for number, site in task.crash_sites.items():
                    self._unconfirmed_at(site).append(_CrashedRun(task, number))
                    self._unseen.note_recorded(task.task_id, site.executor)

    def on_closed(self, link: "ExecutorLink") -> None:
        """Record a crash: an executor has closed its connections and doesn't answer."""
        if link.entry.draining:
            # It was going to stop. An executor whose machine is only being emptied isn't draining
            # and keeps its connections until nothing runs there; if it closes them, it has crashed.
            return
        self._note_unseen(link)
        trial = link.trial if link.on_trial else None
        runs = [run for run in link.runs_by_key.values() if run.phase is not RunPhase.ENDED]
        classified = list(classify_crashes(runs, self._clock.monotonic(), trial))
        for run, crash in classified:
            if _has_cleared_itself(run):
                self._note_crash(run, crash, counts=False)
        counted = [(run, crash) for run, crash in classified if not _has_cleared_itself(run)]
        if not counted:
            return
        site = _site_of(link.entry)
        # What a former owner ran there counts as well, so its crashes are kept.
        self._unconfirmed_at(site, link.entry.started_ms).extend(
            _CrashedRun(run.task, run.number) for run, _ in counted
        )
        while len(self._unconfirmed_by_executor) > MAX_UNCONFIRMED_EXECUTORS:
            del self._unconfirmed_by_executor[next(iter(self._unconfirmed_by_executor))]
        if any(crash >= Crash.STARTED for _, crash in counted):
            self._recent_crash_times_by_service[link.entry.service].append(self._clock.monotonic())
        recorded = [run.task for run, crash in counted if self._record_crash(site, run, crash)]
        self._store_crashes(recorded)

    def are_frequent(self, service: str) -> bool:
        """Whether executors of a service have crashed often under tasks just started."""
        if not self._policy.has(Mechanism.SPREADING):
            return False
        recent = self._recent_crash_times_by_service[service]
        while recent and recent[0] < self._clock.monotonic() - FREQUENT_CRASHES_WINDOW_S:
            recent.popleft()
        return len(recent) >= FREQUENT_CRASHES

    def on_answered(self, link: "ExecutorLink") -> None:
        """Retract a crash of an executor that answers, and confirm those before it on its machine.

        An executor that answers was only unreachable. Another one that answers on its machine is
        its successor, as the machine runs one at a time. That it is listed doesn't show that: the
        entry of an executor stays listed for seconds after its end, beside its successor's.
        """
        entry = link.entry
        self._retract(entry.executor, "the executor answers")
        for site in [crash.site for crash in self._unconfirmed_by_executor.values()]:
            if site.machine and (site.machine, site.service) == (entry.machine, entry.service):
                self._confirm(site.executor, f"{entry.executor} answers on its machine")

    def on_gone(self, link: "ExecutorLink", *, answered: bool, ordered_away: bool) -> None:
        """Confirm or retract a crash, as an executor is gone.

        :param answered: whether another incarnation answers at its address.
        :param ordered_away: whether its machine was moved or maintained by an order. Its next
            executor would confirm the crash.
        """
        if self._is_address_reused(link.entry):
            self._retract(link.entry.executor, "its address was given away")
        elif ordered_away:
            self._retract(link.entry.executor, "its machine was ordered away")
        elif answered:
            if not link.entry.draining:
                self._note_unseen(link)
            why = "another incarnation answers"
            self._confirm(link.entry.executor, why, store=link.entry.started_ms is not None)

    def _note_unseen(self, link: "ExecutorLink") -> None:
        """Note a crash of an executor that hasn't reported what it ran for the former owner."""
        entry = link.entry
        if link.has_reported or entry.executor not in self._dispatcher.roster.awaiting_report:
            return
        site = _site_of(entry)
        self._unseen.note_crashed(site)
        # Its confirmation is awaited although it isn't known yet for which runs it counts.
        self._unconfirmed_at(site, entry.started_ms)

    def on_audited(self, jobs: Iterable["Job"]) -> None:
        """Count the crashes that no owner has seen, as all executors have reported or are gone.

        Without this, a task whose owner dies within milliseconds of each crash has no bound.

        :param jobs: the jobs of the shard, whose inherited tasks aren't released yet.
        """
        recorded = []
        for task, crash in self._unseen.attribute(jobs):
            # Nobody knows how long the task had been at work, so two of these in a row don't count.
            if task.crashes and task.crashes[max(task.crashes)] is Crash.BESIDE_STARTED:
                continue
            self._record_unseen(task, crash)
            recorded.append(task)
        self._unseen.clear()
        self._store_crashes(recorded)

    def _record_unseen(self, task: "Task", crash: UnseenCrash) -> None:
        # The number of the run isn't known. This one is higher than those of the crashes before.
        number = self._dispatcher.starter.numbers.next()
        task.crashes[number] = Crash.BESIDE_STARTED
        if crash.confirmed:
            task.crashes_confirmed.add(number)
        else:
            task.crash_sites[number] = crash.site
            self._unconfirmed_at(crash.site).append(_CrashedRun(task, number))
        metrics.task_crashes.add(1, {"stood": "unseen"})
        self._note(
            *("crash.inferred", task, number, crash.site.executor),
            machine=crash.site.machine,
            stood="UNSEEN",
            crashes=len(task.crashes),
            confirmed=crash.confirmed,
        )

    def _has_restarted(self, entry: ExecutorEntry) -> bool:
        """Whether an entry is of a newer incarnation than the one that crashed under its id."""
        crash = self._unconfirmed_by_executor.get(entry.executor)
        if crash is None:
            return False
        return compare_starts(crash.started_ms, entry.started_ms) is Incarnation.NEWER

    def on_listed(self, entry: ExecutorEntry) -> None:
        """Confirm a crash: a newer incarnation is listed under the id of the crashed executor.

        The answers of the newer one don't retract the crash.
        """
        if self._has_restarted(entry):
            self._confirm(entry.executor, "its id is in use again", store=True)

    def _confirm(self, executor: str, why: str, *, store: bool = False) -> None:
        """Confirm the crash of an executor.

        :param why: what shows that the executor has ended, for the log.
        :param store: whether to store that, as the id is in use again. The next owner would take an
            answer of the newer incarnation for one of the crashed.
        """
        self._unseen.confirm(executor)
        confirmed = []
        for task, number in self._pop_unconfirmed(executor):
            task.crashes_confirmed.add(number)
            task.crash_sites.pop(number, None)
            if number in task.crashes:
                confirmed.append(task)
                self._note("crash.confirmed", task, number, executor, why=why)
        if store:
            self._store_crashes(confirmed)
        self._dispatcher.wake()

    def _unconfirmed_at(self, site: CrashSite, started_ms: int | None = None) -> list[_CrashedRun]:
        crash = self._unconfirmed_by_executor.get(site.executor)
        if crash is None:
            crash = _UnconfirmedCrash(site, [], started_ms)
        elif crash.started_ms is None:
            crash = crash._replace(started_ms=started_ms)
        self._unconfirmed_by_executor[site.executor] = crash
        return crash.runs

    def _pop_unconfirmed(self, executor: str) -> list[_CrashedRun]:
        crash = self._unconfirmed_by_executor.pop(executor, None)
        return crash.runs if crash is not None else []

    def _is_address_reused(self, gone: ExecutorEntry) -> bool:
        return any(
            entry.address == gone.address
            and (entry.machine, entry.service) != (gone.machine, gone.service)
            for entry in self._dispatcher.roster.entries_by_id.values()
        )

    def on_run_reported(self, job: "Job", task: "Task", number: int) -> None:
        """Retract a crash: an executor reports the run that was thought to have crashed it."""
        if self._dispatcher.roster.awaiting_report:
            self._unseen.note_reported(task.task_id)
        if _forget(task, number):
            self._store_crashes([task])

    def on_at_work(self, run: Run) -> None:
        """Clear a task: its run is seen running, so it doesn't crash its executor at the start."""
        task = run.task
        if not task.crashes or task.crash_cleared:
            return
        task.crash_cleared = True
        self._note(
            *("crash.cleared", task, run.number, run.link.entry.executor),
            vital=False,
            crashes=len(task.crashes),
        )
        self._dispatcher.wake()

    def update(self, runs: Iterable[Run]) -> None:
        """Forget the crashes of tasks that have been running for long enough."""
        cleared = []
        for run in runs:
            task = run.task
            if not task.crashes:
                continue
            if run.link.up and run.is_at_work(run.link.report_clock_s, _forget_after_s(task)):
                task.crashes.clear()
                task.crashes_confirmed.clear()
                task.crash_sites.clear()
                cleared.append(task)
        self._store_crashes(cleared)

    def _record_crash(self, site: CrashSite, run: Run, crash: Crash) -> bool:
        """Record the crash of a run's executor with its task.

        :return: whether it counts, as the job goes on.
        """
        task = run.task
        job = self._dispatcher.jobs_by_id.get(task.task_id.job)
        if job is None or job.phase:
            return False
        task.crashes[run.number] = crash
        task.crash_sites[run.number] = site
        task.crash_cleared = False
        task.avoided.add(site.machine)
        metrics.task_crashes.add(1, {"stood": crash.name.lower()})
        self._note_crash(run, crash, counts=True)
        return True

    def _note_crash(self, run: Run, crash: Crash, *, counts: bool) -> None:
        entry = run.link.entry
        self._note(
            *("run.crashed", run.task, run.number, entry.executor),
            machine=entry.machine,
            stood=crash.name,
            counts=counts,
            crashes=len(run.task.crashes),
            percent=run.percent,
            at_work_s=run.age_s(run.link.report_clock_s),
        )

    def _retract(self, executor: str, why: str) -> None:
        self._unseen.retract(executor)
        retracted = []
        for task, number in self._pop_unconfirmed(executor):
            if task.task_id.job not in self._dispatcher.jobs_by_id or not _forget(task, number):
                continue
            retracted.append(task)
            self._note("crash.retracted", task, number, executor, why=why)
        self._store_crashes(retracted)

    def _note(
        self,
        event: str,
        task: "Task",
        number: int,
        executor: str,
        *,
        vital: bool = True,
        **fields: object,
    ) -> None:
        self._events.note(
            event,
            vital=vital,
            job=task.task_id.job,
            task=task.task_id,
            run=number,
            executor=executor,
            **fields,
        )

    def _store_crashes(self, tasks: Iterable["Task"]) -> None:
        """Store the crashes of tasks, those of one job at once.

        An executor may crash under thousands of tasks; to store the job for each of them would take
        seconds, in which the owner does nothing else.
        """
        tasks_by_job: defaultdict[str, list[Task]] = defaultdict(list)
        for task in tasks:
            tasks_by_job[task.task_id.job].append(task)
        for job_id, crashed in tasks_by_job.items():
            self._store_job(self._dispatcher.jobs_by_id.get(job_id), crashed)

    def _store_job(self, job: "Job | None", tasks: list["Task"]) -> None:
        if job is None:
            return
        job.has_crashes = True
        if job.phase:
            return
        ticket = self._dispatcher.store_progress(job, tasks)
        for task in tasks:
            task.crash_ticket = ticket
        ticket.outcome.add_done_callback(lambda _: self._dispatcher.wake())


def _site_of(entry: ExecutorEntry) -> CrashSite:
    return CrashSite(entry.executor, entry.machine, entry.service)


def _forget(task: "Task", number: int) -> bool:
    """Forget a crash under a run of a task.

    :return: whether it was known.
    """
    task.crash_sites.pop(number, None)
    return task.crashes.pop(number, None) is not None
