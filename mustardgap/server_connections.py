"""A client's HTTP/1.1 connection, which carries one request at a time, within bounds."""

import asyncio
from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

from tornado import httputil

from . import metrics, status_codes
from .chunked_bodies import ChunkedBody
from .client_bounds import (
    TOO_MANY_BYTES,
    TOO_MANY_CONNECTIONS,
    TOO_MANY_REQUESTS,
    Refusal,
    RequestLimits,
)
from .request_heads import HEAD_END, MalformedRequest, RequestHead, parse

if TYPE_CHECKING:
    from .http_servers import HttpServer

# Most requests arrive in one piece of this size.
HEAD_READ_BYTES = 16 * 1024
BODY_READ_BYTES = 64 * 1024
# Of chunks, as many as one connection may have decoded before the others have their turn.
CHUNKS_READ_BYTES = 1024
# A client that is refused goes on sending for some time, until it sees the answer. Its connection
# would be reset if it were closed before, and the reset may overtake the answer.
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

# Only one connection reads at a time, and takes what it reads before the next one does.
_receive_buffer = memoryview(bytearray(BODY_READ_BYTES))


class Answer(NamedTuple):
    """One HTTP answer."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}


class Request(NamedTuple):
    """One request that has arrived whole, and the connection that waits for its answer."""

    head: RequestHead
    body: bytes
    connection: "ServerConnection"

    @property
    def method(self) -> str:
        """The method, in capitals."""
        return self.head.method

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.head.target.partition("?")[0]

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """All headers."""
        return self.head.headers

    @property
    def host_name(self) -> str:
        """The host that the client asks, without a port, in small letters; "" if unknown."""
        return httputil.split_host_and_port(self.headers.get("Host", "").lower())[0]


class _Phase(Enum):
    """What a connection does."""

    HEAD = auto()
    BODY = auto()
    HANDLING = auto()
    # The answer is on its way to a client that reads slowly.
    WRITING = auto()
    # The client has been refused, and what it still sends is read and dropped.
    DISCARDING = auto()
    CLOSED = auto()


class ServerConnection(asyncio.BufferedProtocol):
    """One client's connection.

    :param server: the server that accepted it.
    """

    def __init__(self, *, server: "HttpServer") -> None:
        self._server = server
        self._bounds = server.bounds
        self._transport: asyncio.Transport | None = None
        self._phase = _Phase.HEAD
        # What has been read beyond the present request, or of a head that isn't complete.
        self._pending = bytearray()
        self._head: RequestHead | None = None
        self._body = bytearray()
        self._chunks: ChunkedBody | None = None
        self._held_bytes = 0
        self._is_counted = False
        self._is_read_paused = False
        self._is_write_paused = False
        self._discarded_bytes = 0
        self._progressed_at = 0.0
        self._deadline = 0.0
        self._is_overdue = False
        # Whether the client sends nothing more.
        self._has_ended = False

    @property
    def is_closed(self) -> bool:
        """Whether the client has left, or the connection has been closed."""
        return self._phase is _Phase.CLOSED

    @property
    def is_idle(self) -> bool:
        """Whether no request that has arrived whole waits for its answer."""
        return self._phase in (_Phase.HEAD, _Phase.BODY)

    def answer(self, answer: Answer, *, close: bool) -> bool:
        """Answer the request that has been handled.

        :param close: whether to end the connection, too.
        :return: False if the client has left, so that there is nobody to answer.
        :raises ValueError: a header can't be sent.
        """
        assert self._head is not None and self._transport is not None
        # Not sooner, even if its client has left: its handling went on.
        self._end_request()
        if self.is_closed or self._transport.is_closing():
            return False
        close = close or not self._head.keep_alive
        self._transport.write(_encode(answer, self._head, close=close))
        if close:
            self.close()
        elif self._is_write_paused:
            self._enter(_Phase.WRITING, self._limits.idle_timeout_s)
        else:
            self._next_request()
        return True

    def close(self) -> None:
        """End the connection once what has been written to it is sent."""
        if self._transport is not None:
            self._enter(_Phase.CLOSED, self._limits.idle_timeout_s)
            self._bounds.forget(self)
            self._transport.close()

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def sweep(self, now: float) -> None:
        """End what takes too long.

        What has come while the process stood still is read before the second look.
        """
        if now < self._deadline or self._phase is _Phase.HANDLING:
            return
        if not self._is_overdue:
            self._is_overdue = True
        elif self._phase is _Phase.BODY or (self._phase is _Phase.HEAD and self._pending):
            self._refuse(Refusal(status_codes.REQUEST_TIMED_OUT, "it didn't arrive whole in time"))
        else:
            self.abort()

    # Called by the bounds.

    def progressed_at(self) -> float:
        return self._progressed_at

    def give_way(self, refusal: Refusal) -> None:
        if self._phase is _Phase.BODY or self._pending:
            self._refuse(refusal)
        # It has sent nothing for some time, so there is nothing unread that would reset it.
        self.close()

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # A client that reads nothing is given one answer more than the kernel holds, not many.
        transport.set_write_buffer_limits(high=0)
        self._server.connections[self] = None
        self._progressed_at = self._server.now()
        self._enter(_Phase.HEAD, self._limits.idle_timeout_s)
        if self._bounds.take_connection():
            self._bounds.note_idle(self)
        else:
            metrics.refused_connections.add(1, self._server.labels)
            self.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        return _receive_buffer[: self._read_size()]

    def buffer_updated(self, nbytes: int) -> None:
        data = _receive_buffer[:nbytes]
        self._progressed_at = self._server.now()
        if self._phase is _Phase.BODY:
            self._take_body(data)
        elif self._phase is _Phase.HEAD:
            self._take_head(data)
        elif self._phase is _Phase.DISCARDING:
            self._discard(nbytes)
        elif self._phase is not _Phase.CLOSED:
            self._keep_for_later(data)

    def eof_received(self) -> bool:
        # A client may end its side once it has sent its request, and still wait for the answer.
        self._has_ended = True
        return self._phase in (_Phase.HANDLING, _Phase.WRITING)

    def pause_writing(self) -> None:
        self._is_write_paused = True

    def resume_writing(self) -> None:
        self._is_write_paused = False
        if self._phase is _Phase.WRITING:
            self._next_request()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._phase is not _Phase.HANDLING:
            self._end_request()
        self._phase = _Phase.CLOSED
        self._pending.clear()
        self._bounds.forget(self)
        self._bounds.release_connection()
        self._server.forget(self)

    @property
    def _limits(self) -> RequestLimits:
        return self._server.limits()

    def _read_size(self) -> int:
        if self._phase is _Phase.DISCARDING:
            return BODY_READ_BYTES
        if self._phase is not _Phase.BODY:
            return HEAD_READ_BYTES
        if self._chunks is not None:
            return min(BODY_READ_BYTES, self._chunks.expected_bytes + CHUNKS_READ_BYTES)
        # No byte of the next request, which would have to be kept.
        return min(BODY_READ_BYTES, self._missing_bytes())

    def _missing_bytes(self) -> int:
        assert self._head is not None and self._head.content_length is not None
        return self._head.content_length - len(self._body)

    def _enter(self, phase: _Phase, timeout_s: float) -> None:
        self._phase = phase
        self._deadline = self._server.now() + timeout_s
        self._is_overdue = False

    # The head.

    def _take_head(self, data: memoryview) -> None:
        if not self._pending:
            self._enter(_Phase.HEAD, self._limits.header_timeout_s)
        self._pending += data
        self._read_head()

    def _read_head(self) -> None:
        """Begin the request whose head has arrived."""
        self._skip_empty_lines()
        end = self._pending.find(HEAD_END)
        size = end if end >= 0 else len(self._pending)
        if size > self._limits.header_bytes:
            self._refuse(Refusal(status_codes.HEAD_TOO_LARGE, "the head is too large"))
        elif end < 0:
            self._wait_for_more()
        else:
            raw = bytes(self._pending[: end + len(HEAD_END)])
            del self._pending[: end + len(HEAD_END)]
            self._begin(raw)

    def _skip_empty_lines(self) -> None:
        while self._pending.startswith(b"\r\n"):
            del self._pending[:2]

    def _wait_for_more(self) -> None:
        size = len(self._pending)
        if self._hold(size, of=size):
            self._bounds.note_idle(self)
        else:
            self._refuse(TOO_MANY_BYTES)

    def _begin(self, raw: bytes) -> None:
        try:
            head = self._head = parse(raw)
        except MalformedRequest as exc:
            self._refuse_malformed(exc)
            return
        refusal = self._refusal(head)
        if refusal is not None:
            self._refuse(refusal)
            return
        self._bounds.forget(self)
        self._enter(_Phase.BODY, self._limits.body_timeout_s)
        if head.content_length is None:
            self._chunks = ChunkedBody(max_line_bytes=self._limits.header_bytes)
        if head.expects_continue and not self._pending and head.content_length != 0:
            assert self._transport is not None
            self._transport.write(CONTINUE)
        pending, self._pending = self._pending, bytearray()
        self._take_body(memoryview(pending))

    def _refusal(self, head: RequestHead) -> Refusal | None:
        """Why a request can't be taken, as far as its head tells."""
        length = head.content_length or 0
        if length > self._limits.body_bytes:
            return self._too_large()
        if self._bounds.is_crowded:
            return TOO_MANY_CONNECTIONS
        if not self._bounds.take_request(self):
            return TOO_MANY_REQUESTS
        self._is_counted = True
        if not self._hold(length, of=length):
            return TOO_MANY_BYTES
        return None

    def _too_large(self) -> Refusal:
        detail = f"the body is larger than {self._limits.body_bytes} bytes"
        return Refusal(status_codes.TOO_LARGE, detail)

    # The body.

    def _take_body(self, data: memoryview) -> None:
        if self._chunks is not None:
            self._take_chunks(self._chunks, data)
            return
        missing = self._missing_bytes()
        self._body += data[:missing]
        self._pending += data[missing:]
        if self._missing_bytes():
            self._bounds.note_receiving(self)
        else:
            self._handle(bytes(self._body))

    def _take_chunks(self, chunks: ChunkedBody, data: memoryview) -> None:
        raw = bytes(data)
        try:
            taken = chunks.feed(raw)
        except MalformedRequest as exc:
            self._refuse_malformed(exc)
            return
        size = len(chunks.content)
        if size > self._limits.body_bytes:
            self._refuse(self._too_large())
        elif not self._hold(size, of=size):
            self._refuse(TOO_MANY_BYTES)
        elif chunks.is_complete:
            self._pending += raw[taken:]
            self._handle(bytes(chunks.content))
        else:
            self._bounds.note_receiving(self)

    def _hold(self, size: int, *, of: int) -> bool:
        """Count the bytes that the present request holds; return whether there is room."""
        more = size - self._held_bytes
        if more > 0 and not self._bounds.take_bytes(
            more, held=self._held_bytes, of=of, holder=self
        ):
            return False
        if more < 0:
            self._bounds.release_bytes(-more)
        self._held_bytes = size
        return True

    # The answer.

    def _handle(self, body: bytes) -> None:
        assert self._head is not None
        self._bounds.forget(self)
        self._body = bytearray()
        self._chunks = None
        self._phase = _Phase.HANDLING
        if self._pending:
            self._pause_reading()
        self._server.handle(Request(self._head, body, self))

    def _keep_for_later(self, data: memoryview) -> None:
        """Keep the beginning of the next request, and read no more of it for now."""
        self._pending += data
        self._pause_reading()

    def _pause_reading(self) -> None:
        if not self._is_read_paused and self._transport is not None:
            self._is_read_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_read_paused and self._transport is not None:
            self._is_read_paused = False
            self._transport.resume_reading()

    def _end_request(self) -> None:
        """Release what the present request holds."""
        self._bounds.forget(self)
        self._bounds.release_bytes(self._held_bytes)
        self._held_bytes = 0
        if self._is_counted:
            self._is_counted = False
            self._bounds.release_request()
        self._body = bytearray()
        self._chunks = None

    def _next_request(self) -> None:
        # Its method says nothing of a next request that is refused before its head is known.
        self._head = None
        if not self._pending:
            self._await_request()
            return
        self._enter(_Phase.HEAD, self._limits.header_timeout_s)
        self._read_head()
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            self._resume_reading()

    def _await_request(self) -> None:
        if self._has_ended:
            self.close()
            return
        self._enter(_Phase.HEAD, self._limits.idle_timeout_s)
        self._progressed_at = self._server.now()
        self._bounds.note_idle(self)
        self._resume_reading()

    def _refuse_malformed(self, error: MalformedRequest) -> None:
        metrics.malformed_requests.add(1, self._server.labels)
        self._refuse(Refusal(status_codes.BAD_REQUEST, str(error)))

    def _refuse(self, refusal: Refusal) -> None:
        """Answer a request that isn't handled, and end the connection."""
        assert self._transport is not None
        metrics.refused_requests.add(1, self._server.refusal_labels(refusal))
        self._end_request()
        self._pending.clear()
        self._transport.write(_encode(self._server.refuse(refusal), self._head, close=True))
        self._enter(_Phase.DISCARDING, self._limits.header_timeout_s)
        if self._transport.can_write_eof():
            # The client sees the end of the answer, and of the connection, while it still sends.
            self._transport.write_eof()
        self._resume_reading()

    def _discard(self, nbytes: int) -> None:
        self._discarded_bytes += nbytes
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.abort()


def _encode(answer: Answer, head: RequestHead | None, *, close: bool) -> bytes:
    """Return an answer's bytes.

    :param head: of the request; None if it couldn't be read.
    :raises ValueError: a header isn't valid.
    """
    reason = httputil.responses.get(answer.status, "Unknown")
    lines = [f"HTTP/1.1 {answer.status} {reason}"]
    lines += [_header_line(name, value) for name, value in answer.headers.items()]
    lines.append(f"Content-Length: {len(answer.body)}")
    if close:
        lines.append("Connection: close")
    elif head is not None and head.version == "HTTP/1.0":
        lines.append("Connection: Keep-Alive")
    raw = "\r\n".join([*lines, "", ""]).encode("latin-1")
    # With the body, an answer to HEAD would be longer than HTTP allows.
    return raw if head is not None and head.method == "HEAD" else raw + answer.body


def _header_line(name: str, value: str) -> str:
    if "\r" in value or "\n" in value:
        raise ValueError(f"the header {name} has a line break")
    return f"{name}: {value}"
