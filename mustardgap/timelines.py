"""A bounded ring of events and the merge of many rings into one causal order."""

from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

from .timers import Clock

MAX_AHEAD_S = 3600.0


class Event(NamedTuple):
    """One event of one daemon.

    ``stamp`` is a hybrid logical time (milliseconds, counter): it is never smaller than the stamp
    of anything the daemon had heard of before. ``offset`` is the log offset it follows from, or -1.
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
    """Keeps the latest events of one daemon.

    :param member: the daemon's host name.
    :param size: how many events are kept.
    :param clock: the clocks to read.
    """

    def __init__(self, *, member: str, size: int = 10_000, clock: Clock | None = None) -> None:
        self.member = member
        self.clock = clock or Clock()
        self._events: deque[Event] = deque(maxlen=size)
        self._sequence = 0
        self._stamp = (0, 0)

    def add(self, kind: str, *, offset: int = -1, cause: str = "", **ids: Any) -> Event:
        """Note an event.

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
        """The hybrid logical time to send along with messages to peers."""
        return self._stamp

    def witness(self, stamp: tuple[int, int]) -> None:
        """Take in a peer's stamp, so that what follows is ordered after it.

        A stamp that is far ahead comes from a broken clock; taken in, it would put all later events
        of all daemons there, in the order they happened but useless to read.
        """
        if stamp[0] <= (self.clock.wall() + MAX_AHEAD_S) * 1000:
            self._stamp = max(self._stamp, (int(stamp[0]), int(stamp[1])))

    def send_time(self) -> float:
        """The time to write on a record: later than all that this daemon knows of.

        :return: seconds since the epoch, whole milliseconds.
        """
        self._stamp = max((int(self.clock.wall() * 1000), 0), (self._stamp[0] + 1, 0))
        return self._stamp[0] / 1000

    def witness_time(self, time: float) -> None:
        """Take in the time of a record, so that what follows here is ordered after it."""
        self.witness((round(time * 1000), 0))

    def events(self, *, since: float = 0.0, **ids: str) -> list[Event]:
        """List events, the oldest first.

        :param since: seconds since the epoch; older events are left out.
        :param ids: ids that must match, such as ``host="w1"``.
        """
        return [
            event
            for event in self._events
            if event.wall >= since
            and all(event.ids.get(key) == value for key, value in ids.items() if value)
        ]


def merge(rings: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the rings of many daemons into one order that respects cause and effect.

    :param rings: the events of each daemon.
    :return: all events by hybrid logical time; daemons' own orders are kept.
    """
    events = [event for ring in rings for event in ring]
    return sorted(events, key=lambda e: (e.stamp, e.member, e.sequence))
