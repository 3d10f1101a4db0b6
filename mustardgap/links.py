"""The queue of messages to one peer, and the stream that carries them."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from .members import Member
from .messages import AnyMessage, Item
from .timers import Clock

MAX_ITEMS_PER_FRAME = 500


class HasPeers(Protocol):
    """The streams to the peers."""

    def send(self, member_id: str, message: AnyMessage) -> bool:
        """Queue a message to a member."""

    def handle(self, type_: type, handler: Callable[[Member, Any], Any]) -> None:
        """Register the handler for messages of a type."""


class Stream:
    """One open gRPC stream, opened by either end.

    A stream that isn't to be used any more is retired: this end finishes the write under way, tells
    the other end, and reads on until the other end has finished as well. ``closed`` is set if it
    has to end at once.

    :param call: the gRPC call or context to read from and write to.
    :param dialer: the id of the member that opened it.
    :param number: the dialer's number of the stream.
    """

    def __init__(self, *, call: Any, dialer: str, number: int) -> None:
        self.call = call
        self.dialer = dialer
        self.number = number
        self.wake = asyncio.Event()
        self.wake.set()
        self.closed = asyncio.Event()
        self.retired_at: float | None = None
        self.clock = Clock()
        self.last_read = self.last_write = self.clock.monotonic()
        self.items_read = self.items_written = 0

    def __str__(self) -> str:
        return f"{self.dialer}/{self.number}"

    def record_read(self, items: int) -> None:
        """Record the time of a read, and the messages that it brought."""
        self.last_read = self.clock.monotonic()
        self.items_read += items

    def record_write(self, items: int) -> None:
        """Record the time of a write, and the messages that it carries."""
        self.last_write = self.clock.monotonic()
        self.items_written += items

    def retire(self) -> None:
        """Write no more messages, but read those that the other end has written."""
        if self.retired_at is None:
            self.retired_at = self.clock.monotonic()
            self.wake.set()

    def retired_for(self) -> float:
        """Return the seconds since the stream was retired, 0 if it is in use."""
        return 0.0 if self.retired_at is None else self.clock.monotonic() - self.retired_at

    def silent_for(self) -> float:
        """Return the seconds since the last read."""
        return self.clock.monotonic() - self.last_read

    def unwritten_for(self) -> float:
        """Return the seconds since the last write."""
        return self.clock.monotonic() - self.last_write


class Link:
    """The queue of messages to one member, which outlives streams.

    :param member_id: the member at the other end.
    :param clock: the clocks to read.
    """

    def __init__(self, *, member_id: str, clock: Clock) -> None:
        self.member_id = member_id
        self.clock = clock
        self.items: deque[Item] = deque()
        self.stream: Stream | None = None
        self.retired_streams: set[Stream] = set()
        self.known_by_peer: dict[Any, Any] = {}
        self.dropped = 0
        self._queued_at = clock.monotonic()
        self._failing_since: float | None = None

    def put(self, item: Item, max_queued: int) -> bool:
        """Queue a message.

        :return: False if the queue is full.
        """
        self._queued_at = self.clock.monotonic()
        if len(self.items) >= max_queued:
            self.dropped += 1
            return False
        self.items.append(item)
        self.wake_writer()
        return True

    def wake_writer(self) -> None:
        """Have the current stream write what is queued, or an empty frame."""
        if self.stream is not None:
            self.stream.wake.set()

    def next_items(self) -> list[Item]:
        """Remove and return the messages for the next frame."""
        count = min(len(self.items), MAX_ITEMS_PER_FRAME)
        return [self.items.popleft() for _ in range(count)]

    def attach(self, stream: Stream, silent_s: float) -> bool:
        """Use a stream, in place of the current one.

        When both ends dial at once, both keep the stream of the lower id, unless it is silent. The
        other stream is retired.

        :return: False if the current stream is kept.
        """
        # The end that isn't ready yet may have written to the stream that isn't kept; when that
        # stream was closed at once, those messages were lost without an error at either end.
        old = self.stream
        if old is not None:
            if stream.dialer > old.dialer and old.silent_for() < silent_s:
                self._retire(stream)
                return False
            self._retire(old)
        self.stream = stream
        self.known_by_peer.clear()
        self._failing_since = None
        return True

    def retire(self, stream: Stream) -> None:
        """Stop using a stream, as the other end writes no more on it."""
        if self.stream is stream:
            self.stream = None
            self._retire(stream)

    def _retire(self, stream: Stream) -> None:
        self.retired_streams.add(stream)
        stream.retire()

    def detach(self, stream: Stream) -> None:
        """Mark a stream as closed and stop using it."""
        stream.closed.set()
        self.retired_streams.discard(stream)
        if self.stream is stream:
            self.stream = None

    def close(self) -> None:
        """Close the current stream and the retired ones."""
        for stream in [self.stream, *self.retired_streams]:
            if stream is not None:
                self.detach(stream)

    def close_overdue(self, limit_s: float) -> None:
        """Close the retired streams that the other end hasn't finished in time."""
        for stream in list(self.retired_streams):
            if stream.retired_for() > limit_s:
                self.detach(stream)

    def record_failure(self) -> None:
        """Record that no stream could be opened."""
        if self._failing_since is None:
            self._failing_since = self.clock.monotonic()

    def failing_for(self) -> float:
        """Return the seconds since the first failure after the last open stream."""
        if self._failing_since is None:
            return 0.0
        return self.clock.monotonic() - self._failing_since

    def idle_for(self) -> float:
        """Return the seconds since a message was last queued."""
        return self.clock.monotonic() - self._queued_at
