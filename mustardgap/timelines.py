"""A bounded ring buffer of events, and the merge of many buffers in causal order."""

from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

from .timers import Clock

MAX_AHEAD_S = 3600.0


class Event(NamedTuple):
    """One event of one daemon.

    ``stamp`` is a hybrid logical time (milliseconds, counter), never less than the latest stamp
    that the daemon had witnessed. ``offset`` is the log offset it follows from, or -1.
    """

    member: str
    sequence: int
    wall: float
    stamp: tuple[int, int]
    kind: str
    offset: int
    cause: str
    ids: dict[str, str]


class Timeline:
    """Stores the latest events of one daemon.

    :param member: the daemon's host name.
    :param size: the maximum number of events.
    :param clock: the clocks to read.
    """

    def __init__(self, *, member: str, size: int = 10_000, clock: Clock | None = None) -> None:
        self.member = member
        self.clock = clock or Clock()
        self._events: deque[Event] = deque(maxlen=size)
        self._sequence = 0
        self._stamp = (0, 0)

    def add(self, kind: str, *, offset: int = -1, cause: str = "", **ids: Any) -> Event:
        """Add an event.

        :param kind: a short dotted kind, such as ``host.draining``.
        :param offset: the log offset it follows from, -1 for none.
        :param cause: why it happened, in a few words.
        :param ids: what it concerns, such as ``host=...``, ``service=...``, ``request=...``.
        :return: the event.
        """
        wall = self.clock.wall()
        self._sequence += 1
        self._stamp = max((int(wall * 1000), 0), (self._stamp[0], self._stamp[1] + 1))
        text_ids = {key: str(value) for key, value in ids.items()}
        event = Event(self.member, self._sequence, wall, self._stamp, kind, offset, cause, text_ids)
        self._events.append(event)
        return event

    @property
    def stamp(self) -> tuple[int, int]:
        """The hybrid logical time to send with messages to peers."""
        return self._stamp

    def witness(self, stamp: tuple[int, int]) -> None:
        """Advance the logical time to a peer's stamp, so that later events are ordered after it.

        A stamp more than ``MAX_AHEAD_S`` ahead comes from a wrong clock and is ignored. Otherwise,
        all later events of all daemons would be stamped as far ahead: in order, but unreadable.
        """
        if stamp[0] <= (self.clock.wall() + MAX_AHEAD_S) * 1000:
            self._stamp = max(self._stamp, (int(stamp[0]), int(stamp[1])))

    def send_time(self) -> float:
        """Return the time for a new record, later than any stamp that this daemon witnessed.

        :return: seconds since the epoch, rounded to milliseconds.
        """
        self._stamp = max((int(self.clock.wall() * 1000), 0), (self._stamp[0] + 1, 0))
        return self._stamp[0] / 1000

    def witness_time(self, time: float) -> None:
        """Advance the logical time to a record's, so that later events are ordered after it."""
        self.witness((round(time * 1000), 0))

    def events(self, *, since: float = 0.0, **ids: str) -> list[Event]:
        """List events, the oldest first.

        :param since: seconds since the epoch; older events are left out.
        :param ids: ids that must match, such as ``host="w1"``; empty ones are ignored.
        """
        return [
            event
            for event in self._events
            if event.wall >= since
            and all(event.ids.get(key) == value for key, value in ids.items() if value)
        ]


def merge(rings: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of many daemons in causal order.

    :param rings: the events of each daemon.
    :return: all events by hybrid logical time; the order within each daemon is preserved.
    """
    events = [event for ring in rings for event in ring]
    return sorted(events, key=lambda e: (e.stamp, e.member, e.sequence))
