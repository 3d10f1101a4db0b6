"""Amounts of an executor's resources."""

from collections.abc import Iterable
from typing import NamedTuple


class Room(NamedTuple):
    """An amount of an executor's resources; processor time in thousandths of a core."""

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def plus(self, other: "Room") -> "Room":
        """The sum of both amounts."""
        return Room(self.cpu + other.cpu, self.memory_mb + other.memory_mb, self.gpus + other.gpus)

    def minus(self, other: "Room") -> "Room":
        """What is left after subtracting the other amount."""
        return Room(self.cpu - other.cpu, self.memory_mb - other.memory_mb, self.gpus - other.gpus)

    def times(self, count: int) -> "Room":
        """The sum of a number of equal amounts."""
        return Room(self.cpu * count, self.memory_mb * count, self.gpus * count)

    def larger(self, other: "Room") -> "Room":
        """The larger of both amounts, of each resource."""
        return Room(*map(max, self, other))

    def smaller(self, other: "Room") -> "Room":
        """The smaller of both amounts, of each resource."""
        return Room(*map(min, self, other))

    def holds(self, other: "Room") -> bool:
        """Whether the other amount fits into this one."""
        return (
            self.cpu >= other.cpu and self.memory_mb >= other.memory_mb and self.gpus >= other.gpus
        )


NO_ROOM = Room()


def total(rooms: Iterable[Room]) -> Room:
    """The sum of amounts."""
    result = NO_ROOM
    for room in rooms:
        result = result.plus(room)
    return result


def largest(rooms: Iterable[Room]) -> Room:
    """The largest of amounts, of each resource."""
    result = NO_ROOM
    for room in rooms:
        result = result.larger(room)
    return result
