"""Bounds on what clients may send: each request's, and those of all clients together."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from . import status_codes
from .status_codes import Code

MEGABYTE = 1_000_000
# What a process takes before it serves anybody.
PROCESS_BYTES = 60 * MEGABYTE
MIN_FREE_SHARE = 1 / 4
# Descriptors of a process that its files need; sockets and pipes share the others.
FILE_DESCRIPTORS = 200
# Parsed, forwarded and kept until it is answered, a body takes up to eleven times its bytes.
BODIES_SHARE_OF_FREE = 1 / 24
REQUESTS_PER_MEGABYTE = 5
# The others are for peers, the store and executors.
CLIENTS_SHARE_OF_SOCKETS = 1 / 2
# Connections beyond the limit that are told why they are refused, as a share of the limit.
SPARE_CONNECTIONS_SHARE = 1 / 16
# Bodies up to this have the last part of the room to themselves, so that ordinary callers are
# served while large ones fill the rest.
SMALL_BODY_BYTES = 16 * 1024
SMALL_BODIES_SHARE = 1 / 4
# A client that has sent nothing for so long gives way to others.
STALLED_AFTER_S = 1.0


def free_bytes(memory_mb: int) -> int:
    """Return the memory that is left for what clients send and ask for.

    :param memory_mb: the memory that the process may use, in megabytes.
    """
    total = memory_mb * MEGABYTE
    return max(total - PROCESS_BYTES, int(total * MIN_FREE_SHARE))


class RequestLimits(NamedTuple):
    """Bounds on one request.

    ``header_bytes`` and ``body_bytes`` are sizes. A head and a body have to be complete after
    ``header_timeout_s`` and ``body_timeout_s`` from their first byte. A connection may carry
    nothing for ``idle_timeout_s``.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    body_timeout_s: float = 15.0
    idle_timeout_s: float = 15.0


class SharedLimits(NamedTuple):
    """Bounds on all clients together: bytes and requests held, and open connections."""

    bytes: int
    requests: int
    connections: int

    @classmethod
    def of_machine(cls, *, memory_mb: int, descriptors: int) -> "SharedLimits":
        """The bounds that keep a process within its machine.

        :param memory_mb: the memory that the process may use, in megabytes.
        :param descriptors: how many files and sockets it may have open.
        """
        free = free_bytes(memory_mb)
        sockets = max(0, descriptors - FILE_DESCRIPTORS)
        return cls(
            bytes=int(free * BODIES_SHARE_OF_FREE),
            requests=max(1, free * REQUESTS_PER_MEGABYTE // MEGABYTE),
            connections=max(1, int(sockets * CLIENTS_SHARE_OF_SOCKETS)),
        )


class Refusal(NamedTuple):
    """Why a request is refused; it has certainly had no effect."""

    code: Code
    detail: str


class Holder(Protocol):
    """A connection that waits for its client."""

    def progressed_at(self) -> float:
        """Return the monotonic time at which its newest byte came."""

    def give_way(self, refusal: Refusal) -> None:
        """Refuse its request if one has begun, and end the connection."""


TOO_MANY_BYTES = Refusal(
    status_codes.CLIENTS_OVER_LIMIT, "the requests of all clients are too large together"
)
TOO_MANY_REQUESTS = Refusal(status_codes.CLIENTS_OVER_LIMIT, "too many requests are under way")
TOO_MANY_CONNECTIONS = Refusal(status_codes.CLIENTS_OVER_LIMIT, "too many connections are open")
STALLED = Refusal(
    status_codes.CLIENTS_OVER_LIMIT, "the request stopped arriving, and others need its room"
)


class ClientBounds:
    """Counts what all clients of a port hold, and decides what is taken beyond it.

    When there is no room, a client that has sent nothing for some time gives way, so that a crowd
    that sends a part and stays doesn't shut out everybody else.

    :param limits: how much all clients together may hold.
    :param now: reads the monotonic clock, in seconds.
    """

    def __init__(self, *, limits: SharedLimits, now: Callable[[], float]) -> None:
        self.limits = limits
        self.bytes = 0
        self.requests = 0
        self.connections = 0
        self._now = now
        # Connections that wait for their clients' next byte, those that wait longest first:
        # between two requests or in a head, and in a body.
        self._idle: dict[Holder, None] = {}
        self._receiving: dict[Holder, None] = {}

    def take_bytes(self, count: int, *, held: int, of: int, holder: Holder) -> bool:
        """Take room for bytes.

        :param count: how many bytes more.
        :param held: how many bytes the holder has already.
        :param of: how large the whole request will be, as far as is known.
        :param holder: who takes them.
        :return: whether there is room.
        """
        limit = self.limits.bytes
        if of > SMALL_BODY_BYTES:
            limit -= int(limit * SMALL_BODIES_SHARE)
        # A request alone is served, however small the machine.
        while self.bytes + count > limit and self.bytes > held:
            if not self._evict(self._receiving, beside=holder):
                return False
        self.bytes += count
        return True

    def release_bytes(self, count: int) -> None:
        """Give room for bytes back."""
        self.bytes -= count

    def take_request(self, holder: Holder) -> bool:
        """Count a request that has begun; return whether there is room for it."""
        if self.requests >= self.limits.requests and not self._evict(
            self._receiving, beside=holder
        ):
            return False
        self.requests += 1
        return True

    def release_request(self) -> None:
        """Note that a request has been answered."""
        self.requests -= 1

    def take_connection(self) -> bool:
        """Count a connection; return whether it may stay at all, and be it to be refused."""
        if self.connections >= self.limits.connections and not self._evict(self._idle):
            self._evict(self._receiving)
        self.connections += 1
        return self.connections <= self.limits.connections + self._spare_connections

    def release_connection(self) -> None:
        """Note that a connection has ended."""
        self.connections -= 1

    @property
    def is_crowded(self) -> bool:
        """Whether there are more connections than the limit, so that requests are refused."""
        return self.connections > self.limits.connections

    @property
    def _spare_connections(self) -> int:
        return 1 + int(self.limits.connections * SPARE_CONNECTIONS_SHARE)

    def note_idle(self, holder: Holder) -> None:
        """Note that a connection waits for a request, or for more of its head."""
        self._idle.pop(holder, None)
        self._idle[holder] = None

    def note_receiving(self, holder: Holder) -> None:
        """Note that a part of a body has arrived, and that more is to come."""
        self._receiving.pop(holder, None)
        self._receiving[holder] = None

    def forget(self, holder: Holder) -> None:
        """Note that a connection doesn't wait for its client any more."""
        self._idle.pop(holder, None)
        self._receiving.pop(holder, None)

    def _evict(self, waiting: dict[Holder, None], *, beside: Holder | None = None) -> bool:
        """Let the connection that has waited longest give way, if that is long enough.

        :return: whether one has.
        """
        for holder in waiting:
            if self._now() - holder.progressed_at() < STALLED_AFTER_S:
                return False
            if holder is not beside:
                holder.give_way(STALLED)
                return True
        return False
