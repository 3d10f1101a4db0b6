"""Caches the usable executors of one placement pass and the sizes that fit on none of them."""

from collections.abc import Iterable

from .executor_links import ExecutorLink
from .placing import outside_failed_racks, usable
from .workloads import Room, Step


class PlacementCache:
    """Caches lookups for the steps of one placement pass.

    During a pass only the pass itself changes executors, and their free capacity only shrinks. So
    the usable executors for a service and required label are looked up once, and a size that fitted
    on none of them isn't tried again.

    :param links: the executors of the shard.
    :param now: monotonic seconds.
    """

    def __init__(self, *, links: Iterable[ExecutorLink], now: float) -> None:
        self._links = list(links)
        self._now = now
        self._usable_by_kind: dict[tuple[str, str], list[ExecutorLink]] = {}
        self._too_large_by_kind: dict[tuple[str, str], list[Room]] = {}

    def usable(self, step: Step, service: str) -> list[ExecutorLink]:
        """The executors that accept new runs of a step; paused ones only if all are paused.

        Executors of failed racks are left out unless there are no others.
        """
        kind = (service, step.requires)
        found = self._usable_by_kind.get(kind)
        if found is None:
            every = outside_failed_racks(
                [link for link in self._links if usable(link, step, service)]
            )
            # If all executors are paused, using them is better than starting nothing.
            found = [link for link in every if self._now >= link.pause_until] or every
            self._usable_by_kind[kind] = found
        return found

    def is_too_large(self, step: Step, service: str) -> bool:
        """Whether tasks of this size, or smaller ones, have already been found to fit nowhere."""
        rooms = self._too_large_by_kind.get((service, step.requires), ())
        return any(step.room.holds(room) for room in rooms)

    def note_unplaced(self, step: Step, service: str) -> None:
        """Record that tasks of a step weren't placed, if none of its executors has the capacity."""
        room = step.room
        if not any(link.holds(room) for link in self.usable(step, service)):
            self._too_large_by_kind.setdefault((service, step.requires), []).append(room)
