"""Slows tasks that fill idle capacity while they disturb tasks that serve users beside them."""

from collections.abc import Iterable

from .executor_links import ExecutorLink
from .runs import Run, RunPhase
from .timers import Clock

# Filling tasks are slowed when a serving task's tail is above this share of its target, and given
# more when all are below the lower one. Between the two nothing changes, so that the pace doesn't
# swing with each figure.
HIGH_TAIL_RATIO = 0.85
LOW_TAIL_RATIO = 0.6
# A disturbed server has to be relieved well within the seconds for which it may be over its
# target; two looks at this factor leave a sixteenth.
SLOWDOWN_FACTOR = 0.25
SPEEDUP_STEP_PERCENT = 15
# The tail is a figure for the last half second: an earlier order shows in it after that.
SETTLE_S = 0.7


class Pacing:
    """Sets the pace of filling tasks, executor by executor.

    :param clock: the clocks to read.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._changed_at_by_executor: dict[str, float] = {}

    def look(self, links: Iterable[ExecutorLink], now: float) -> None:
        """Adjust the pace on each executor by the tails that it last reported."""
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
    """The highest tail beside a target, as a share of the target."""
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
        # The last order's outcome isn't known.
        return 0 if tail_ratio > HIGH_TAIL_RATIO else SPEEDUP_STEP_PERCENT
    if tail_ratio > HIGH_TAIL_RATIO:
        return int(pace * SLOWDOWN_FACTOR) if pace > 5 else 0
    if tail_ratio < LOW_TAIL_RATIO:
        return min(100, pace + SPEEDUP_STEP_PERCENT)
    return pace
