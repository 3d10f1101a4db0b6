"""Compares the speed of a run with that of the same step's other tasks on other executors.

Declared estimates may be off by any factor, and are so for a whole step alike. The tasks of one
step do equal work, so a run that is much slower than its siblings is slow because of its executor.
"""

from collections.abc import Iterable
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from .job_states import Task
    from .runs import Run

# A run is judged only after it has run for this long, and compared with what has run for half.
MIN_RUN_S = 1.0
MIN_PEER_RUN_S = 0.5
# So many siblings on other executors are needed, as one alone may be the odd one.
MIN_PEERS = 3
# A run is slow if its speed is less than this share of its siblings' median.
SLOW_SPEED_RATIO = 0.4


class RunSpeed(NamedTuple):
    """The speed of a run, as the share of its task that it does in a second.

    ``near_data`` tells whether it ran on the rack where its data is, as others take longer.
    """

    executor: str
    near_data: bool
    per_s: float
    ran_s: float


def measure(run: "Run") -> RunSpeed | None:
    """Measure a run that is at work, None if nothing can be said yet."""
    return _speed(run, run.percent / 100, run.progress_changed_s)


def measure_done(run: "Run") -> RunSpeed | None:
    """Measure a run that has just ended with its task done."""
    return _speed(run, 1.0, run.link.report_clock_s)


def _speed(run: "Run", share: float, at_s: float) -> RunSpeed | None:
    """Return a run's speed.

    :param share: the share of its task that it had done at a time.
    :param at_s: that time, by the executor's monotonic clock.
    """
    if run.first_seen_s is None or run.task.checkpoint or run.pace < 100:
        return None
    ran_s = at_s - run.first_seen_s
    if ran_s <= 0:
        return None
    entry = run.link.entry
    return RunSpeed(entry.executor, entry.rack == run.task.step.data_rack, share / ran_s, ran_s)


def is_slow(speed: RunSpeed, siblings: Iterable["Task"]) -> bool | None:
    """Whether a run is slow, None if there is nothing to compare it with.

    :param speed: the run's speed.
    :param siblings: the tasks of the same step and occurrence.
    """
    if speed.ran_s < MIN_RUN_S:
        return False
    peers = [
        peer.per_s
        for peer in map(_speed_of, siblings)
        if peer is not None
        and peer.executor != speed.executor
        and peer.near_data == speed.near_data
        and peer.ran_s >= MIN_PEER_RUN_S
    ]
    if len(peers) < MIN_PEERS:
        return None
    return speed.per_s < SLOW_SPEED_RATIO * median(peers)


def _speed_of(task: "Task") -> RunSpeed | None:
    if task.speed is not None:
        return task.speed
    return measure(task.run) if task.run is not None else None
