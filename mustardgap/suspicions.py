"""Detects executors that fail, refuse, stall or are slow, by how their runs progress and end."""

from collections.abc import Callable, Iterable, Sequence

from . import metrics
from .events import EventLog
from .executor_links import ExecutorLink
from .job_states import Task
from .policies import WHOLE, Mechanism, Policy
from .run_speeds import MIN_RUN_S, PeerSpeeds, RunSpeed, is_slow, measure, measure_done
from .runs import Run
from .timers import Clock
from .workloads import EndKind

# A run without progress for this long has stalled. That spans several polls, which take at most 1 s
# each; a task of typical length progresses by 1 % every 10 ms.
STALL_S = 2.2
# The limit for a stall is longer by this share of the run's estimated time. At its estimated speed
# a run progresses by 1 % in a hundredth of that time; the rest allows for estimates that are too
# short.
STALL_ESTIMATE_RATIO = 0.08
# An executor gets no new runs for PAUSE_S after this many stalled runs.
STALLS_BEFORE_PAUSE = 2
PAUSE_S = 8.0
# An executor is tried again this long after it refused a start. If it refused for lack of capacity,
# it has runs that this owner doesn't know of; if it reported itself unhealthy, it has run nothing.
REFUSED_PAUSE_S = 0.3
# Failures of this many different jobs with no success in between are the executor's fault.
FAILED_JOBS_BEFORE_PAUSE = 3
# An executor gets no new runs for SLOW_PAUSE_S once it has slow runs of this many jobs.
SLOW_PAUSE_S = 4.0
SLOW_JOBS_BEFORE_PAUSE = 2
# A run of a wider step than this that has ended is compared with what the last update saw.
MAX_FRESH_WIDTH = 64


class Suspicions:
    """Marks and pauses executors that fail their runs, stall or are slow.

    :param siblings_of: returns the tasks of a task's step and occurrence.
    :param clock: the clocks to read.
    :param events: the process's event log.
    :param policy: the mechanisms that are enabled.
    """

    def __init__(
        self,
        *,
        siblings_of: Callable[[Task], Sequence[Task]],
        clock: Clock,
        events: EventLog,
        policy: Policy = WHOLE,
    ) -> None:
        self._siblings_of = siblings_of
        self._policy = policy
        self._clock = clock
        self._events = events
        # What the last update saw, by job, occurrence and step.
        self._peers_by_step: dict[tuple[str, int, int], PeerSpeeds] = {}

    def on_end(self, link: ExecutorLink, task: Task, how: EndKind, run: Run | None) -> None:
        """Update an executor's record by the end of a run on it."""
        if how is EndKind.DONE:
            link.consecutive_failures = 0
            link.failed_jobs.clear()
            if run is not None:
                self._judge_done(link, run)
            return
        if how is not EndKind.FAILED:
            return
        task.avoided.add(link.entry.executor)
        if task.step.lasting:
            # Lasting tasks may fail at any time, which says little about the executor.
            return
        if not self._policy.has(Mechanism.DISTRUST):
            return
        link.consecutive_failures += 1
        link.failed_at = self._clock.monotonic()
        link.failed_jobs.add(task.task_id.job)
        if len(link.failed_jobs) >= FAILED_JOBS_BEFORE_PAUSE:
            self._pause(link, PAUSE_S, "fails what it starts")

    def on_refused(self, link: ExecutorLink, why: str) -> None:
        """Pause an executor for a moment, as it has refused a start."""
        link.pause_until = max(link.pause_until, self._clock.monotonic() + REFUSED_PAUSE_S)

    def update(self, runs: Iterable[Run]) -> None:
        """Stop stalled runs, and mark executors that are slow.

        Times are read from the executors' clocks. By its own clock, an owner whose processor is
        busy sends orders and reads reports late and takes every run for slow: one paused executors
        550 times in 35 s without any fault, so half of their pools was idle while jobs waited.
        """
        self._peers_by_step.clear()
        for run in runs:
            step = run.task.step
            if step.lasting or step.filling or run.pace < 100 or not run.link.up:
                continue
            if run.first_seen_s is None:
                continue
            if (
                run.link.report_clock_s - run.progress_changed_s
                > STALL_S + STALL_ESTIMATE_RATIO * step.estimate_s
            ):
                self._handle_stall(run)
                continue
            speed = measure(run)
            if speed is None or speed.ran_s < MIN_RUN_S:
                continue
            if self._peers_of(run.task).is_slow(speed):
                self._handle_slow_run(run)

    def _handle_stall(self, run: Run) -> None:
        link = run.link
        link.slow_marks += 1
        run.task.avoided.add(link.entry.executor)
        link.stop_run(run, "stands still")
        if link.slow_marks >= STALLS_BEFORE_PAUSE:
            self._pause(link, PAUSE_S, "runs stand still")

    def _handle_slow_run(self, run: Run) -> None:
        # One task may have more work than its siblings; runs of several jobs are slow because of
        # their executor.
        link = run.link
        link.slow_jobs.add(run.task.task_id.job)
        if len(link.slow_jobs) < SLOW_JOBS_BEFORE_PAUSE:
            return
        link.slow_jobs.clear()
        link.slow_marks = max(link.slow_marks, 1)
        self._pause(link, SLOW_PAUSE_S, "slow")

    def _judge_done(self, link: ExecutorLink, run: Run) -> None:
        speed = run.task.speed = measure_done(run)
        if speed is not None and self._is_ended_slow(speed, run.task) is False:
            link.slow_marks = 0
            link.slow_jobs.clear()

    def _is_ended_slow(self, speed: RunSpeed, task: Task) -> bool | None:
        siblings = self._siblings_of(task)
        if len(siblings) <= MAX_FRESH_WIDTH:
            return is_slow(speed, siblings)
        return self._peers_of(task).is_slow(speed)

    def _peers_of(self, task: Task) -> PeerSpeeds:
        """The speeds of a task's step, at most as old as the last update."""
        key = task.task_id[:-1]
        if key not in self._peers_by_step:
            self._peers_by_step[key] = PeerSpeeds(siblings=self._siblings_of(task))
        return self._peers_by_step[key]

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
            failures=link.consecutive_failures,
        )
