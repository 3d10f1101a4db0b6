"""Learns by how much the declared durations of a queue's tasks are off, on average."""

from collections import defaultdict
from dataclasses import dataclass

# The declared seconds that a correction starts with, as if they had been right. Some tens of tasks
# outweigh them.
PRIOR_S = 20.0
# Older tasks are forgotten as newer ones come: what is kept adds up to so many declared seconds.
MEMORY_S = 300.0
# Corrections beyond these bounds say that the declarations carry no information at all.
MIN_FACTOR, MAX_FACTOR = 0.25, 4.0


@dataclass(kw_only=True)
class _Tally:
    """Declared and true seconds of the tasks of one queue."""

    declared_s: float = PRIOR_S
    true_s: float = PRIOR_S


class DurationCorrections:
    """The factors by which declared durations have to be multiplied, by queue."""

    def __init__(self) -> None:
        self._tallies_by_queue: dict[str, _Tally] = defaultdict(_Tally)

    def note(self, queue: str, *, declared_s: float, true_s: float) -> None:
        """Note a task that ran to its end on an executor that isn't known to be slow.

        :param declared_s: the duration that its submitter declared.
        :param true_s: the duration that it had.
        """
        tally = self._tallies_by_queue[queue]
        tally.declared_s += declared_s
        tally.true_s += true_s
        if tally.declared_s > MEMORY_S:
            share = MEMORY_S / tally.declared_s
            tally.declared_s *= share
            tally.true_s *= share

    def factor(self, queue: str) -> float:
        """Return the factor for a queue; 1 while nothing is known of it."""
        tally = self._tallies_by_queue.get(queue)
        if tally is None:
            return 1.0
        return min(max(tally.true_s / tally.declared_s, MIN_FACTOR), MAX_FACTOR)
