"""One pooled HTTP/1.1 connection to a server, which carries one request at a time."""

import asyncio
from collections.abc import Callable

import httptools

MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 64 * 1024 * 1024
# The status codes before the one that ends an answer.
INFORMATIONAL_STATUSES = range(100, 200)
# The headers that tell where the body of an answer ends.
LENGTH_HEADERS = (b"content-length", b"transfer-encoding")
RECEIVE_BUFFER_BYTES = 65_536
# Only one connection reads at a time, and what it reads is parsed before the next one does.
_receive_buffer = bytearray(RECEIVE_BUFFER_BYTES)


class ConnectionEnded(Exception):
    """The connection ended before the answer did.

    :param detail: why.
    :param closed: whether the peer closed it, so that its host is still up.
    """

    def __init__(self, *, detail: str, closed: bool) -> None:
        super().__init__(detail)
        self.closed = closed


class RawAnswer:
    """An answer, as far as it has arrived."""

    __slots__ = ("body_bytes", "chunks", "has_length", "header_bytes", "status")

    def __init__(self) -> None:
        self.status = 0
        self.chunks: list[bytes] = []
        self.header_bytes = self.body_bytes = 0
        # Whether it tells where its body ends; else that is where the connection does.
        self.has_length = False


class HttpConnection(asyncio.BufferedProtocol):
    """A connection on which requests are sent one after another.

    Nearly all that an owner does is to send orders to executors. With one write for a request, one
    reading and one parse for an answer, and a reader that stays registered in between, an order
    costs the event loop a few turns.
    """

    def __init__(self) -> None:
        self.idle_since = 0.0
        self.is_open = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._raw = RawAnswer()
        self._outcome: asyncio.Future[RawAnswer] | None = None
        self._on_progress: Callable[[], None] | None = None

    def request(self, raw: bytes, on_progress: Callable[[], None]) -> "asyncio.Future[RawAnswer]":
        """Send a request.

        :param raw: its head and body.
        :param on_progress: called when a part of the answer has arrived.
        :return: the complete answer, or ``ConnectionEnded``.
        """
        assert self._transport is not None
        self._raw = RawAnswer()
        self._on_progress = on_progress
        self._outcome = asyncio.get_running_loop().create_future()
        self._transport.write(raw)
        return self._outcome

    def abort(self) -> None:
        """Close the connection at once; what isn't sent yet is dropped."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.is_open = True

    def get_buffer(self, sizehint: int) -> bytearray:
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._outcome is None:
            # Nothing was asked.
            self.abort()
            return
        if not self._raw.status:
            self._raw.header_bytes += nbytes
        try:
            self._parser.feed_data(memoryview(_receive_buffer)[:nbytes])
        except httptools.HttpParserError as exc:
            self._fail(ConnectionEnded(detail=f"{type(exc).__name__}: {exc}", closed=False))
            return
        if self._is_too_large():
            self._fail(ConnectionEnded(detail="the answer is too large", closed=False))
        elif self._outcome is not None and self._on_progress is not None:
            self._on_progress()

    def eof_received(self) -> bool:
        if self._outcome is not None and self._raw.status and not self._raw.has_length:
            self.is_open = False
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        closed = exc is None or isinstance(exc, ConnectionError)
        detail = f"{type(exc).__name__}: {exc}" if exc else "the connection ended before the answer"
        self._fail(ConnectionEnded(detail=detail, closed=closed))

    # Called by the parser.

    def on_message_begin(self) -> None:
        if self._outcome is None:
            # A further answer came with the one that was asked for.
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() in LENGTH_HEADERS:
            self._raw.has_length = True

    def on_headers_complete(self) -> None:
        self._raw.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self._raw.chunks.append(body)
        self._raw.body_bytes += len(body)

    def on_message_complete(self) -> None:
        if self._raw.status in INFORMATIONAL_STATUSES:
            self._raw = RawAnswer()
            return
        if not self._parser.should_keep_alive():
            self.abort()
        self._complete()

    def _is_too_large(self) -> bool:
        return self._raw.header_bytes > MAX_HEADER_BYTES or self._raw.body_bytes > MAX_BODY_BYTES

    def _complete(self) -> None:
        outcome, self._outcome = self._outcome, None
        answer, self._raw = self._raw, RawAnswer()
        if outcome is not None and not outcome.done():
            outcome.set_result(answer)

    def _fail(self, error: ConnectionEnded) -> None:
        outcome, self._outcome = self._outcome, None
        self.abort()
        if outcome is not None and not outcome.done():
            outcome.set_exception(error)
