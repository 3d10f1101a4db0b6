"""Compares the speed of a run with that of the same step's other tasks on other executors.

Declared estimates may be off by any factor, and are so for a whole step alike. The tasks of one
step do equal work, so a run that is much slower than its siblings is slow because of its executor.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from operator import attrgetter
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

_PER_S = attrgetter("per_s")


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


class PeerSpeeds:
    """The speeds of the tasks of one step and occurrence, to compare runs with.

    They are sorted once. Comparing each of 6,000 running tasks with all others took an owner
    minutes, in which it renewed no lease.

    :param siblings: the tasks of the step and occurrence.
    """

    def __init__(self, *, siblings: Iterable["Task"]) -> None:
        speeds = [
            speed
            for speed in map(_speed_of, siblings)
            if speed is not None and speed.ran_s >= MIN_PEER_RUN_S
        ]
        # Speeds in rising order, and where those of each executor stand, by nearness to the data.
        self._sorted_by_nearness: defaultdict[bool, list[float]] = defaultdict(list)
        self._medians: dict[tuple[bool, str], float | None] = {}
        self._places: defaultdict[tuple[bool, str], list[int]] = defaultdict(list)
        for speed in sorted(speeds, key=_PER_S):
            ordered = self._sorted_by_nearness[speed.near_data]
            self._places[speed.near_data, speed.executor].append(len(ordered))
            ordered.append(speed.per_s)

    def is_slow(self, speed: RunSpeed) -> bool | None:
        """Whether a run is slow, None if there is nothing to compare it with.

        :param speed: the run's speed.
        """
        if speed.ran_s < MIN_RUN_S:
            return False
        key = (speed.near_data, speed.executor)
        if key not in self._medians:
            self._medians[key] = self._median_elsewhere(*key)
        median = self._medians[key]
        return None if median is None else speed.per_s < SLOW_SPEED_RATIO * median

    def _median_elsewhere(self, near_data: bool, executor: str) -> float | None:
        """The median of the speeds on other executors, None if there are too few."""
        ordered = self._sorted_by_nearness[near_data]
        own = self._places.get((near_data, executor), [])
        count = len(ordered) - len(own)
        if count < MIN_PEERS:
            return None
        lower = _without(ordered, own, (count - 1) // 2)
        return (lower + _without(ordered, own, count // 2)) / 2


def _without(ordered: Sequence[float], left_out: Iterable[int], number: int) -> float:
    """The value of a number in a list, of which some places are left out.

    :param left_out: the places, in rising order.
    """
    for place in left_out:
        if place > number:
            break
        number += 1
    return ordered[number]


def is_slow(speed: RunSpeed, siblings: Iterable["Task"]) -> bool | None:
    """Whether a run is slow, None if there is nothing to compare it with.

    :param speed: the run's speed.
    :param siblings: the tasks of the same step and occurrence.
    """
    return False if speed.ran_s < MIN_RUN_S else PeerSpeeds(siblings=siblings).is_slow(speed)


def _speed_of(task: "Task") -> RunSpeed | None:
    if task.speed is not None:
        return task.speed
    return measure(task.run) if task.run is not None else None
