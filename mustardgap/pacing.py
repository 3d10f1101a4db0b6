"""Throttles filling tasks, which use idle capacity, when they slow serving tasks down."""

from collections.abc import Iterable

from .executor_links import ExecutorLink
from .runs import Run, RunPhase
from .timers import Clock

# Filling tasks are slowed down when the tail latency of a serving task beside them exceeds this
# share of its target.
HIGH_TAIL_RATIO = 0.85
# They are sped up when all tail latencies are below this share. The gap between the two ratios
# keeps the pace from oscillating with each report.
LOW_TAIL_RATIO = 0.6
# Each slowdown multiplies the pace by this, so two of them leave a sixteenth: a serving task has to
# recover well within the seconds for which it may exceed its target.
SLOWDOWN_FACTOR = 0.25
SPEEDUP_STEP_PERCENT = 15
# The wait between two adjustments on one executor. The reported tail latency covers the last 0.5 s
# and shows the effect of an adjustment only after that.
SETTLE_S = 0.7


class Pacing:
    """Sets the pace of filling tasks on each executor.

    :param clock: the clocks to read.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._changed_at_by_executor: dict[str, float] = {}

    def update(self, links: Iterable[ExecutorLink], now: float) -> None:
        """Adjust the pace on each executor to the tail latencies in its last report.

        :param links: the executors of the shard.
        :param now: monotonic seconds.
        """
        for link in links:
            runs = [r for r in link.runs_by_key.values() if r.phase is RunPhase.RUNNING]
            filling_runs = [run for run in runs if run.task.step.filling]
            if not filling_runs or not link.up:
                continue
            executor = link.entry.executor
            if now - self._changed_at_by_executor.get(executor, 0.0) < SETTLE_S:
                continue
            if self._adjust(link, filling_runs, _worst_tail_ratio(runs)):
                self._changed_at_by_executor[executor] = now

    def _adjust(self, link: ExecutorLink, filling_runs: list[Run], tail_ratio: float) -> bool:
        changed = False
        for run in filling_runs:
            pace = _next_pace(run.pace, tail_ratio)
            if pace != run.pace:
                link.pace(run, pace)
                changed = True
        return changed


def _worst_tail_ratio(runs: list[Run]) -> float:
    """The highest tail latency of the serving tasks, as a share of their target."""
    return max(
        (
            run.load / run.task.step.target_ms
            for run in runs
            if run.task.step.target_ms and not run.task.step.filling
        ),
        default=0.0,
    )


def _next_pace(pace: int, tail_ratio: float) -> int:
    if pace < 0:
        # The outcome of the last order is unknown.
        return 0 if tail_ratio > HIGH_TAIL_RATIO else SPEEDUP_STEP_PERCENT
    if tail_ratio > HIGH_TAIL_RATIO:
        return int(pace * SLOWDOWN_FACTOR) if pace > 5 else 0
    if tail_ratio < LOW_TAIL_RATIO:
        return min(100, pace + SPEEDUP_STEP_PERCENT)
    return pace
