"""Executors that fail, refuse, stall or are slow: seen from how their runs end and move."""

from collections.abc import Iterable

from . import metrics
from .events import EventLog
from .executor_links import ExecutorLink
from .job_states import Task
from .policies import WHOLE, Mechanism, Policy
from .runs import Run
from .timers import Clock
from .workloads import EndKind

# A run whose share done hasn't grown for this long, over several looks of at most 1 s, stands
# still. A task of usual length grows by a hundredth every 10 ms.
STALL_S = 2.2
# A stalled run's estimate may be off; a hundredth of the estimated time passes in this many of it.
STALL_ESTIMATE_RATIO = 0.08
# An executor on which so many runs stood still gets nothing for a while.
STALLS_BEFORE_PAUSE = 2
PAUSE_S = 8.0
# An executor that refused a start for want of room knows of runs that we don't; one that says it
# is unhealthy has done nothing. Both are tried again after this.
REFUSED_PAUSE_S = 0.3
# Failures of so many different jobs without a success between them are the executor's fault.
FAILED_JOBS_BEFORE_PAUSE = 3
# A run that moves at less than this share of its estimated speed is on a slow executor, once it
# has run for SLOW_MIN_RUN_S. Estimates are off by a fifth or so.
SLOW_SPEED_RATIO = 0.4
SLOW_MIN_RUN_S = 1.0
SLOW_PAUSE_S = 4.0
SLOW_JOBS_BEFORE_PAUSE = 2


class Suspicions:
    """Marks executors that don't do their work.

    :param clock: the clocks to read.
    :param events: the process's log.
    :param policy: what takes part.
    """

    def __init__(self, *, clock: Clock, events: EventLog, policy: Policy = WHOLE) -> None:
        self._policy = policy
        self._clock = clock
        self._events = events

    def on_end(self, link: ExecutorLink, task: Task, how: EndKind, run: Run | None) -> None:
        """Take in how a run ended on an executor."""
        if how is EndKind.DONE:
            link.failures_in_a_row = 0
            link.failed_jobs.clear()
            if run is not None and not self._was_slow(run):
                link.slow_marks = 0
                link.slow_jobs.clear()
            return
        if how is not EndKind.FAILED:
            return
        task.avoided.add(link.entry.executor)
        if task.step.lasting:
            # Lasting tasks may fail at any time; that says little of the executor.
            return
        if not self._policy.has(Mechanism.DISTRUST):
            return
        link.failures_in_a_row += 1
        link.failed_at = self._clock.monotonic()
        link.failed_jobs.add(task.task_id.job)
        if len(link.failed_jobs) >= FAILED_JOBS_BEFORE_PAUSE:
            self._pause(link, PAUSE_S, "fails what it starts")

    def on_refused(self, link: ExecutorLink, why: str) -> None:
        """Take in a start that was turned down."""
        link.pause_until = max(link.pause_until, self._clock.monotonic() + REFUSED_PAUSE_S)

    def look(self, runs: Iterable[Run]) -> None:
        """Stop runs that stand still, and mark executors that are slow.

        Times are those of the executors' clocks. An owner that orders and reads late, as its
        processor is busy, would find each run slow; it paused executors 550 times in a calm 35 s,
        and their pools stood half idle while jobs waited.
        """
        for run in runs:
            step = run.task.step
            if step.lasting or step.filling or run.pace < 100 or not run.link.up:
                continue
            if run.began_s is None:
                continue
            if run.link.seen_s - run.moved_s > STALL_S + STALL_ESTIMATE_RATIO * step.estimate_s:
                self._handle_stall(run)
            elif self._is_slow(run, run.moved_s - run.began_s):
                self._handle_slow_run(run)

    def _handle_stall(self, run: Run) -> None:
        link = run.link
        link.slow_marks += 1
        run.task.avoided.add(link.entry.executor)
        link.end(run, "stands still")
        if link.slow_marks >= STALLS_BEFORE_PAUSE:
            self._pause(link, PAUSE_S, "runs stand still")

    def _handle_slow_run(self, run: Run) -> None:
        # One job may be slow by its own estimate; several are slow by their executor.
        link = run.link
        link.slow_jobs.add(run.task.task_id.job)
        if len(link.slow_jobs) < SLOW_JOBS_BEFORE_PAUSE:
            return
        link.slow_jobs.clear()
        link.slow_marks = max(link.slow_marks, 1)
        self._pause(link, SLOW_PAUSE_S, "slow")

    def _is_slow(self, run: Run, ran_s: float) -> bool:
        if ran_s < SLOW_MIN_RUN_S or run.task.checkpoint or not run.task.step.estimate_s:
            return False
        return run.percent / 100 * run.task.step.estimate_s < SLOW_SPEED_RATIO * ran_s

    def _was_slow(self, run: Run) -> bool:
        if run.began_s is None or run.task.checkpoint:
            return False
        ran_s = run.link.seen_s - run.began_s
        return ran_s >= SLOW_MIN_RUN_S and run.task.step.estimate_s < SLOW_SPEED_RATIO * ran_s

    def _pause(self, link: ExecutorLink, pause_s: float, why: str) -> None:
        if not self._policy.has(Mechanism.PAUSES):
            return
        metrics.executor_pauses.add(1, {"why": why})
        link.pause_until = max(link.pause_until, self._clock.monotonic() + pause_s)
        self._events.note(
            "executor.paused",
            vital=True,
            executor=link.entry.executor,
            why=why,
            pause_s=pause_s,
            failures=link.failures_in_a_row,
        )
