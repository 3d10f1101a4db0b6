"""The executors that one pass of placing can use, and what doesn't fit on any of them."""

from collections.abc import Iterable

from .executor_links import ExecutorLink
from .placing import usable
from .workloads import Room, Step


class PlacementCache:
    """Answers for all steps of one pass, in which executors only get fuller.

    Nothing but the pass itself changes an executor while it runs, so which executors a kind of step
    may use is looked up once, and a room that fits nowhere needn't be tried again.

    :param links: the executors of the shard.
    :param now: steady seconds.
    """

    def __init__(self, *, links: Iterable[ExecutorLink], now: float) -> None:
        self._links = list(links)
        self._now = now
        self._usable_by_kind: dict[tuple[str, str], list[ExecutorLink]] = {}
        self._too_large_by_kind: dict[tuple[str, str], list[Room]] = {}

    def usable(self, step: Step, service: str) -> list[ExecutorLink]:
        """The executors for new runs of a step, those that are paused only if all are."""
        kind = (service, step.requires)
        found = self._usable_by_kind.get(kind)
        if found is None:
            every = [link for link in self._links if usable(link, step, service)]
            # Where every executor is under suspicion, trying is better than waiting.
            found = [link for link in every if self._now >= link.pause_until] or every
            self._usable_by_kind[kind] = found
        return found

    def is_too_large(self, step: Step, service: str) -> bool:
        """Whether the step's tasks, or smaller ones, were found to fit nowhere."""
        rooms = self._too_large_by_kind.get((service, step.requires), ())
        return any(step.room.holds(room) for room in rooms)

    def note_unplaced(self, step: Step, service: str) -> None:
        """Remember that tasks found no executor, if that was for want of room."""
        room = step.room
        if not any(link.holds(room) for link in self.usable(step, service)):
            self._too_large_by_kind.setdefault((service, step.requires), []).append(room)
