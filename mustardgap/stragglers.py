"""Restarts runs elsewhere that take far longer than their siblings because of their executor."""

from collections import defaultdict, deque
from collections.abc import Iterable, Sequence
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

from . import metrics
from .advices import StepKey
from .events import EventLog
from .executor_links import ExecutorLink
from .job_states import Job, JobPhase
from .load_features import Feature
from .placing import choose_executor
from .resources import total
from .run_speeds import MIN_PEERS, MIN_RUN_S, SLOW_SPEED_RATIO
from .runs import Run
from .tickets import Ticket
from .timers import Clock
from .workloads import EndKind, TaskId

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

# Busy executors report this often, so more frequent checks would see nothing new.
CHECK_INTERVAL_S = 0.3
# Added to the platform's stop timeout: the age of the last report, and a placing pass.
STOP_SLACK_S = 0.4
# A restart has to save this many times what it costs.
MIN_GAIN_FACTOR = 2.0
# Slow runs needed to find an executor slow. With 1 or 2, 3 in 100 tasks with more work than their
# siblings are enough to find sound executors slow.
MIN_SLOW_RUNS = 3
# So many times more slow runs than sound ones make an executor slow. Siblings on slow executors
# make some of its runs pass for sound.
SLOW_MAJORITY = 2
# Ended runs are evidence for this long; executors are slow for seconds to minutes.
EVIDENCE_S = 5.0
MAX_ENDS_PER_EXECUTOR = 16
MAX_DURATIONS_PER_STEP = 64
# The share of a pool's core-seconds that restarts may give up, and for how long it is saved.
BUDGET_SHARE, BUDGET_SAVED_S = 0.05, 10.0
# Bounds the capacity that has to be free at once for the tasks of a pool that are being stopped.
MAX_IN_FLIGHT = 16

# The reason for a stop, as the log of stops tells it.
STRAGGLES = "straggles"


class RunProgress(NamedTuple):
    """What is known of a run, by its executor's clock.

    ``first_percent`` was its progress when it was first seen, ``ran_s`` ago; ``saved_percent`` is
    the part of its task that a checkpoint holds.
    """

    ran_s: float
    percent: int
    first_percent: int = 0
    saved_percent: int = 0

    @property
    def total_s(self) -> float:
        """The duration of the whole task at the run's rate so far, a lower bound."""
        return self.ran_s * 100 / self._progress

    @property
    def remaining_s(self) -> float:
        """How much longer the run takes at its rate so far, a lower bound."""
        return self.ran_s * (100 - self.percent) / self._progress

    @property
    def _progress(self) -> int:
        # Progress is reported in whole percents; the run may be just short of the next.
        return max(self.percent + 1 - self.first_percent, 1)


class ExecutorEvidence(NamedTuple):
    """How many of the judged runs on an executor are slow and sound."""

    slow: int = 0
    sound: int = 0

    @property
    def is_slow(self) -> bool:
        """Whether the executor, and not the work of its runs, makes them slow."""
        return self.slow >= MIN_SLOW_RUNS and self.slow > SLOW_MAJORITY * self.sound


class Restart(NamedTuple):
    """A decision to restart a run elsewhere, with its inputs, all in seconds."""

    remaining_s: float
    anew_s: float
    usual_s: float


def is_slow_run(progress: RunProgress, durations_s: Sequence[float]) -> bool | None:
    """Whether a run is slow beside its siblings, None if it can't be judged yet.

    :param progress: the run's progress.
    :param durations_s: the durations of its siblings that have ended.
    """
    if len(durations_s) < MIN_PEERS:
        return None
    usual_s = median(durations_s)
    if progress.percent < 100 and progress.ran_s < min(MIN_RUN_S, usual_s):
        return None
    return progress.total_s * SLOW_SPEED_RATIO > usual_s


def decide(
    progress: RunProgress,
    durations_s: Sequence[float],
    evidence: ExecutorEvidence,
    *,
    stop_s: float,
) -> Restart | None:
    """Decide whether to restart a run elsewhere.

    :param progress: the run's progress.
    :param durations_s: the durations of its siblings that have ended.
    :param evidence: the judged runs on its executor, including this one.
    :param stop_s: how long it takes to stop the run and start its task elsewhere.
    :return: the restart; None if the run is left alone.
    """
    if not is_slow_run(progress, durations_s) or not evidence.is_slow:
        return None
    usual_s = median(durations_s)
    anew_s = usual_s * (100 - progress.saved_percent) / 100 + stop_s
    if anew_s * MIN_GAIN_FACTOR >= progress.remaining_s:
        return None
    return Restart(progress.remaining_s, anew_s, usual_s)


class RestartBudget:
    """The core-seconds of work that restarts in one pool may give up."""

    def __init__(self) -> None:
        self.core_s = 0.0
        self._filled_at: float | None = None

    def refill(self, cores: float, now: float) -> None:
        """Add the share of the time since the last call.

        :param cores: the cores of the pool.
        :param now: monotonic seconds.
        """
        full = cores * BUDGET_SHARE * BUDGET_SAVED_S
        if self._filled_at is None:
            self.core_s = full
        else:
            added = cores * BUDGET_SHARE * (now - self._filled_at)
            self.core_s = min(self.core_s + added, full)
        self._filled_at = now

    def take(self, core_s: float) -> bool:
        """Take an amount, if there is as much."""
        if core_s > self.core_s:
            return False
        self.core_s -= core_s
        return True


class _Watch:
    """How far a run was when this owner first saw it, and how far its last checkpoint is."""

    __slots__ = ("checkpoint", "first_percent", "first_s", "resumed", "saved_percent")

    def __init__(self, run: Run) -> None:
        self.resumed = bool(run.task.checkpoint)
        self.checkpoint = run.task.checkpoint
        # A run that was seen from its start began when its start was answered.
        is_new = run.percent == 0 and run.first_seen_s is not None
        self.first_s = run.first_seen_s if is_new else run.link.report_clock_s
        self.first_percent = run.percent
        self.saved_percent = run.percent if self.resumed else 0

    def update(self, run: Run) -> RunProgress:
        """Take in the run's last report."""
        if run.task.checkpoint != self.checkpoint:
            self.checkpoint = run.task.checkpoint
            self.saved_percent = run.percent
        assert self.first_s is not None
        ran_s = run.link.report_clock_s - self.first_s
        return RunProgress(ran_s, run.percent, self.first_percent, self.saved_percent)


class _RestartedRun(NamedTuple):
    """A restart whose outcome isn't known; ``due_at`` is when the first run would have ended."""

    number: int
    due_at: float


class _EndedRun(NamedTuple):
    """The executor of a run that has done its task, and how long it took."""

    executor: str
    ran_s: float


class _JobRecord:
    """What is known of one job's steps and restarts."""

    def __init__(self) -> None:
        self.ended_runs_by_step: defaultdict[StepKey, deque[_EndedRun]] = defaultdict(
            lambda: deque(maxlen=MAX_DURATIONS_PER_STEP)
        )
        self.restarts_by_task: dict[TaskId, _RestartedRun] = {}
        self.noted_gangs: set[StepKey] = set()


class _JudgedEnd(NamedTuple):
    at: float
    slow: bool


class _Candidate(NamedTuple):
    run: Run
    restart: Restart
    progress: RunProgress
    evidence: ExecutorEvidence


class Stragglers:
    """Stops straggling runs of one shard, so that their tasks are started elsewhere.

    :param dispatcher: the owner of the shard.
    :param stop_timeout_s: the longest time that a stop takes, in seconds.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(
        self, *, dispatcher: "Dispatcher", stop_timeout_s: float, clock: Clock, events: EventLog
    ) -> None:
        self._dispatcher = dispatcher
        self._stop_s = stop_timeout_s + STOP_SLACK_S
        self._clock = clock
        self._events = events
        self._checked_at = float("-inf")
        self._records_by_job: dict[str, _JobRecord] = {}
        self._watches: dict[Run, _Watch] = {}
        self._ends_by_executor: dict[str, deque[_JudgedEnd]] = {}
        self._budgets_by_service: defaultdict[str, RestartBudget] = defaultdict(RestartBudget)
        # Runs chosen for a restart, with the ticket of the record that their task is restarted.
        self._marked: dict[Run, Ticket] = {}
        # Runs that are being stopped.
        self._in_flight: set[Run] = set()

    # Callbacks of the dispatcher.

    def on_end(self, link: ExecutorLink, job: Job, run: Run, how: EndKind) -> None:
        """Learn from the end of a task's current run."""
        if not self._is_on or job.phase is not JobPhase.LIVE:
            return
        record = self._records_by_job.get(job.job_id)
        if record is not None:
            self._note_result(record, run, how)
        step = run.task.step
        if how is not EndKind.DONE or step.lasting or step.filling or run.first_seen_s is None:
            return
        watch = self._watches.get(run)
        resumed = watch.resumed if watch is not None else bool(run.task.checkpoint)
        if resumed or run.adopted:
            return
        ran_s = link.report_clock_s - run.first_seen_s
        record = self._records_by_job.setdefault(job.job_id, _JobRecord())
        executor = link.entry.executor
        slow = is_slow_run(RunProgress(ran_s, 100), self._durations(run))
        if slow is not None:
            ends = self._ends_by_executor.setdefault(executor, deque(maxlen=MAX_ENDS_PER_EXECUTOR))
            ends.append(_JudgedEnd(self._clock.monotonic(), slow))
        ended_run = _EndedRun(executor, ran_s)
        record.ended_runs_by_step[StepKey.of(run.task.task_id)].append(ended_run)

    def forget(self, job_id: str) -> None:
        """Forget a job that has ended."""
        self._records_by_job.pop(job_id, None)

    def update(self, runs: Sequence[Run], now: float) -> None:
        """Stop the runs whose tasks are better started elsewhere.

        :param runs: all runs in the phase RUNNING.
        :param now: monotonic seconds.
        """
        if not self._is_on or now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        self._prune(runs)
        progress_by_run = self._watch(runs)
        durations_by_run = self._durations_of(progress_by_run)
        verdict_by_run = {
            run: is_slow_run(progress, durations_by_run[run])
            for run, progress in progress_by_run.items()
        }
        candidates: dict[str, list[_Candidate]] = defaultdict(list)
        evidence_by_executor: dict[str, ExecutorEvidence] = {}
        for run, progress in progress_by_run.items():
            if not verdict_by_run[run] or not self._may_restart(run):
                continue
            link = run.link
            evidence = evidence_by_executor.get(link.entry.executor)
            if evidence is None:
                evidence = self._evidence(link, verdict_by_run, now)
                evidence_by_executor[link.entry.executor] = evidence
            restart = decide(progress, durations_by_run[run], evidence, stop_s=self._stop_s)
            if restart is not None:
                candidate = _Candidate(run, restart, progress, evidence)
                candidates[link.entry.service].append(candidate)
        for service, found in candidates.items():
            self._restart(service, found, evidence_by_executor, now)

    # Inputs.

    @property
    def _is_on(self) -> bool:
        return self._dispatcher.features.has(Feature.STRAGGLERS)

    def _durations(self, run: Run) -> Sequence[float]:
        """The durations of a run's siblings that have ended on other executors."""
        record = self._records_by_job.get(run.task.task_id.job)
        if record is None:
            return ()
        ended_runs = record.ended_runs_by_step.get(StepKey.of(run.task.task_id), ())
        executor = run.link.entry.executor
        return [ended.ran_s for ended in ended_runs if ended.executor != executor]

    def _prune(self, runs: Iterable[Run]) -> None:
        running = set(runs)
        self._watches = {run: watch for run, watch in self._watches.items() if run in running}
        self._marked = {run: ticket for run, ticket in self._marked.items() if run in running}
        self._in_flight = {
            run for run in self._in_flight if (run.task.task_id, run.number) in run.link.runs_by_key
        }
        known = self._dispatcher.roster.links_by_executor
        self._ends_by_executor = {
            executor: ends for executor, ends in self._ends_by_executor.items() if executor in known
        }

    def _watch(self, runs: Iterable[Run]) -> dict[Run, RunProgress]:
        """Take in the reports of all runs that end by themselves."""
        progress_by_run: dict[Run, RunProgress] = {}
        for run in runs:
            step = run.task.step
            if step.gang and step.speculative:
                self._note_speculative_gang(run)
            if step.lasting or step.filling or run.first_seen_s is None or not run.link.up:
                continue
            watch = self._watches.get(run)
            if watch is None:
                watch = self._watches[run] = _Watch(run)
            progress_by_run[run] = watch.update(run)
        return progress_by_run

    def _durations_of(self, runs: Iterable[Run]) -> dict[Run, Sequence[float]]:
        """The durations of the ended siblings of many runs, looked up once a step and executor."""
        found: dict[tuple[StepKey, str], Sequence[float]] = {}
        durations_by_run: dict[Run, Sequence[float]] = {}
        for run in runs:
            if run.task.task_id.job not in self._records_by_job:
                durations_by_run[run] = ()
                continue
            key = (StepKey.of(run.task.task_id), run.link.entry.executor)
            if key not in found:
                found[key] = self._durations(run)
            durations_by_run[run] = found[key]
        return durations_by_run

    def _evidence(
        self, link: ExecutorLink, verdict_by_run: dict[Run, bool | None], now: float
    ) -> ExecutorEvidence:
        verdicts = [verdict_by_run.get(run) for run in link.runs_by_key.values()]
        ends = self._ends_by_executor.get(link.entry.executor, ())
        verdicts += [end.slow for end in ends if now - end.at <= EVIDENCE_S]
        return ExecutorEvidence(verdicts.count(True), verdicts.count(False))

    def _may_restart(self, run: Run) -> bool:
        """Whether a run may be restarted at all."""
        task, entry = run.task, run.link.entry
        if task.step.gang or task.crashes or run.link.closing or entry.draining:
            return False
        if task.step.data_rack and entry.rack != task.step.data_rack:
            return False
        if task.restarted and run not in self._marked:
            return False
        job = self._dispatcher.jobs_by_id.get(task.task_id.job)
        return job is not None and job.phase is JobPhase.LIVE and not run.adopted

    # Application.

    def _restart(
        self,
        service: str,
        found: list[_Candidate],
        evidence_by_executor: dict[str, ExecutorEvidence],
        now: float,
    ) -> None:
        """Restart those runs of one pool that gain the most, within the pool's bounds."""
        links = self._dispatcher.roster.links_by_executor.values()
        cores = sum(
            link.entry.capacity.cpu / 1000
            for link in links
            if link.up and link.entry.service == service
        )
        budget = self._budgets_by_service[service]
        budget.refill(cores, now)
        found.sort(key=lambda candidate: candidate.restart.anew_s - candidate.restart.remaining_s)
        slow = {name for name, evidence in evidence_by_executor.items() if evidence.is_slow}
        in_flight = [run for run in self._in_flight if run.link.entry.service == service]
        for candidate in found[: max(MAX_IN_FLIGHT - len(in_flight), 0)]:
            run = candidate.run
            if not self._has_capacity_elsewhere(run, slow, in_flight, now):
                continue
            in_flight.append(run)
            ticket = self._marked.get(run)
            if ticket is None:
                # Stored first, or the next owner could restart the task again.
                run.task.restarted = True
                job = self._dispatcher.job_of(run.task.task_id)
                self._marked[run] = self._dispatcher.store_progress(job, [run.task])
            elif ticket.durable:
                given_up = candidate.progress.ran_s * run.task.step.cpu / 1000
                if budget.take(given_up):
                    self._stop(candidate, budget, now)

    def _has_capacity_elsewhere(
        self, run: Run, slow: set[str], in_flight: Iterable[Run], now: float
    ) -> bool:
        """Whether another executor has capacity for a run and all that are being stopped."""
        task = run.task
        job = self._dispatcher.job_of(task.task_id)
        room = total([task.step.room, *(other.task.step.room for other in in_flight)])
        key = StepKey.of(task.task_id)
        links = [
            link
            for link in self._dispatcher.starter.usable_links(task.step, job)
            if link.entry.machine != run.link.entry.machine or not link.entry.machine
            if link is not run.link
            if now >= link.pause_until and not link.slow_marks
            if link.entry.executor not in slow and link.holds(room)
            if job.advice is None or self._dispatcher.advices.ticket(key, link.entry.executor)
        ]
        planned = self._dispatcher.evacuations.planned
        return choose_executor(task, job.siblings(task), links, planned, now) is not None

    def _stop(self, candidate: _Candidate, budget: RestartBudget, now: float) -> None:
        run, restart = candidate.run, candidate.restart
        del self._marked[run]
        self._in_flight.add(run)
        task_id, executor = run.task.task_id, run.link.entry.executor
        record = self._records_by_job.setdefault(task_id.job, _JobRecord())
        due_at = now + restart.remaining_s
        record.restarts_by_task[task_id] = _RestartedRun(run.number, due_at)
        run.task.avoided.add(executor)
        # New runs would be as slow there; a sound end clears the mark.
        run.link.slow_marks = max(run.link.slow_marks, 1)
        metrics.straggler_restarts.add(1)
        self._events.note(
            "run.restart",
            job=task_id.job,
            task=task_id,
            run=run.number,
            executor=executor,
            ran_s=candidate.progress.ran_s,
            percent=run.percent,
            saved_percent=candidate.progress.saved_percent,
            remaining_s=restart.remaining_s,
            anew_s=restart.anew_s,
            usual_s=restart.usual_s,
            siblings=len(self._durations(run)),
            slow=candidate.evidence.slow,
            sound=candidate.evidence.sound,
            budget_core_s=budget.core_s,
        )
        run.link.stop_run(run, STRAGGLES)

    def _note_result(self, record: _JobRecord, run: Run, how: EndKind) -> None:
        """Note how a restart has turned out, once that is known."""
        restarted = record.restarts_by_task.get(run.task.task_id)
        if restarted is None or (run.number == restarted.number and how is not EndKind.DONE):
            return
        now = self._clock.monotonic()
        if run.number == restarted.number:
            outcome = "ended_first"
        elif how is not EndKind.DONE:
            outcome = "failed"
        else:
            outcome = "useful" if now < restarted.due_at else "late"
        del record.restarts_by_task[run.task.task_id]
        metrics.straggler_results.add(1, {"outcome": outcome})
        self._events.note(
            "run.restarted",
            job=run.task.task_id.job,
            task=run.task.task_id,
            run=run.number,
            first_run=restarted.number,
            executor=run.link.entry.executor,
            outcome=outcome,
            saved_s=restarted.due_at - now,
        )

    def _note_speculative_gang(self, run: Run) -> None:
        record = self._records_by_job.setdefault(run.task.task_id.job, _JobRecord())
        key = StepKey.of(run.task.task_id)
        if key in record.noted_gangs:
            return
        record.noted_gangs.add(key)
        self._events.note(
            "step.speculative_gang",
            vital=True,
            job=key.job,
            occurrence=key.occurrence,
            step=key.step,
            why="a gang runs as a whole, so its tasks aren't copied",
        )
