"""One request to one executor over a connection of its own, and what became of it."""

import socket
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from tornado import httputil, iostream
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.ioloop import IOLoop
from tornado.tcpclient import TCPClient

from . import headers as header_rules
from .settings import Settings
from .timers import Clock

CHUNK_BYTES = 64 * 1024
STREAM_BUFFER_BYTES = 256 * 1024
MAX_ANSWER_BYTES = 1 << 40


class Request(NamedTuple):
    """A caller's request, its body whole; ``target`` is the path with its query."""

    request_id: str
    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes = b""


class ExecutorAddress(Protocol):
    """What is needed to reach an executor."""

    @property
    def executor(self) -> str:
        """The executor's id."""

    @property
    def address(self) -> str:
        """Its ``ip:port``."""


class Sink(Protocol):
    """Where an answer goes that is too large to be held."""

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send status and headers on."""

    async def write(self, chunk: bytes) -> None:
        """Send a piece on and wait until the caller has taken it."""


@dataclass(frozen=True, kw_only=True)
class NotSent:
    """No byte of the request has left this host."""

    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The executor says that it hasn't run the request."""

    detail: str = ""
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class Whole:
    """The whole answer to this request."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class PassedOn:
    """The whole answer to this request, passed on while it arrived."""

    status: int
    size: int = 0
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class Cut:
    """The answer broke off or can't be shown to be whole; ``begun`` when part was passed on."""

    detail: str = ""
    begun: bool = False


@dataclass(frozen=True, kw_only=True)
class Reset:
    """The connection broke after bytes of the request went out and before an answer came."""

    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class TimedOut:
    """The deadline, or with ``early`` the patience, ran out after bytes of the request went out."""

    begun: bool = False
    early: bool = False


@dataclass(frozen=True, kw_only=True)
class Mismatch:
    """The answer carries another request's id."""

    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class CallerGone:
    """The caller hung up while the answer was being passed on."""

    leaving: bool = False


TryResult = NotSent | Refused | Whole | PassedOn | Cut | Reset | TimedOut | Mismatch | CallerGone


class Patience(NamedTuple):
    """Seconds to wait for the first sign of an answer, and whether to give up then."""

    seconds: float
    may_give_up: Callable[[], bool]


class Upstreams:
    """Sends requests to executors, each over a new connection.

    A pooled connection may have gone silent while it was idle: the request would be lost without
    a sign. A new connection proves itself by its handshake, and a request that found none is
    known not to have been sent.

    :param settings: the daemon's settings.
    :param clock: the clocks to read.
    """

    def __init__(self, *, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or Clock()
        self._client = TCPClient()
        self._parameters = HTTP1ConnectionParameters(
            no_keep_alive=True,
            chunk_size=CHUNK_BYTES,
            max_header_size=settings.callers.max_header_bytes,
            max_body_size=MAX_ANSWER_BYTES,
        )

    async def send(
        self,
        request: Request,
        executor: ExecutorAddress,
        *,
        deadline: float,
        sink: Sink | None = None,
        on_sent: Callable[[], None] | None = None,
        patience: Patience | None = None,
    ) -> TryResult:
        """Send a request and read its answer.

        :param request: the caller's request.
        :param executor: where to send it.
        :param deadline: the clock's monotonic seconds by which the answer must be there.
        :param sink: takes answers that are too large to be held; without it they are held.
        :param on_sent: called just before the first byte goes out.
        :param patience: bounds the wait for the first sign of an answer.
        :return: a tagged result; nothing is raised for failures of the executor.
        """
        stream = await self._connect(executor, deadline)
        if isinstance(stream, NotSent):
            return stream
        try:
            return await self._exchange(stream, request, deadline, sink, on_sent, patience)
        finally:
            # Also after a time-out: a late answer finds no connection, so it can't be taken for
            # the answer to another request.
            stream.close()

    async def _connect(
        self, executor: ExecutorAddress, deadline: float
    ) -> iostream.IOStream | NotSent:
        left = deadline - self.clock.monotonic()
        if left <= 0:
            return NotSent(detail="the deadline passed")
        host, _, port = executor.address.rpartition(":")
        try:
            return await self._client.connect(
                host.strip("[]"),
                int(port),
                max_buffer_size=STREAM_BUFFER_BYTES,
                timeout=min(left, self.settings.requests.connect_timeout_s),
            )
        except (OSError, TimeoutError, iostream.StreamClosedError) as exc:
            return NotSent(detail=f"no connection to {executor.executor}: {exc}")

    async def _exchange(
        self,
        stream: iostream.IOStream,
        request: Request,
        deadline: float,
        sink: Sink | None,
        on_sent: Callable[[], None] | None,
        patience: Patience | None,
    ) -> TryResult:
        # A process that was frozen while it connected finds its deadline passed here, and no
        # step between this check and the first byte gives up control.
        left = deadline - self.clock.monotonic()
        if left <= 0:
            return NotSent(detail="the deadline passed")
        if not _is_open(stream):
            return NotSent(detail="the connection was closed before the request was sent")
        if on_sent is not None:
            on_sent()
        try_id = uuid.uuid4().hex
        connection = HTTP1Connection(stream, True, self._parameters)
        answer = _Answer(
            stream=stream,
            try_id=try_id,
            head=request.method == "HEAD",
            held_bytes=self.settings.callers.buffered_answer_bytes,
            sink=sink,
        )
        timers = [IOLoop.current().call_later(left, answer.time_out)]
        if patience is not None:
            timers.append(
                IOLoop.current().call_later(patience.seconds, answer.lose_patience, patience)
            )
        try:
            self._write(connection, request, try_id, left)
            await connection.read_response(answer)
        except iostream.StreamClosedError as exc:
            answer.broken(str(exc.real_error or exc))
        except iostream.UnsatisfiableReadError:
            answer.broken("the answer's headers are too large")
        finally:
            for timer in timers:
                IOLoop.current().remove_timeout(timer)
        return answer.result or Reset(detail="no answer")

    def _write(
        self, connection: HTTP1Connection, request: Request, try_id: str, left: float
    ) -> None:
        headers = header_rules.forwarded(request.headers)
        headers["X-Request-Id"] = try_id
        headers["X-Request-Timeout"] = f"{left:.3f}"
        headers["Connection"] = "close"
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        line = httputil.RequestStartLine(request.method, request.target, "HTTP/1.1")
        connection.write_headers(line, headers, request.body or None)
        connection.finish()


def _is_open(stream: iostream.IOStream) -> bool:
    # An executor that accepts and closes at once, for example while it is being replaced, would
    # cost a non-idempotent request its outcome. Nothing has been written yet, so seeing the end
    # of the connection here shows that the request wasn't sent.
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class _Answer(httputil.HTTPMessageDelegate):
    """Takes one answer in, holding it until it is whole or too large to be held."""

    def __init__(
        self,
        *,
        stream: iostream.IOStream,
        try_id: str,
        head: bool,
        held_bytes: int,
        sink: Sink | None,
    ) -> None:
        self.result: TryResult | None = None
        self._stream = stream
        self._try_id = try_id
        self._head = head
        self._held_bytes = held_bytes
        self._sink = sink
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._leaving = False
        self._pieces: list[bytes] = []
        self._size = 0
        self._begun = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check that the answer is to this request and that its end can be seen."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        if start_line.code < 200 or self.result is not None:
            return
        self._status = start_line.code
        self._headers = header_rules.returned(headers)
        self._leaving = headers.get("X-Leaving") == "1"
        if headers.get_list("X-Request-Id") != [self._try_id]:
            self._end(Mismatch(detail=f"status {start_line.code}"))
        elif start_line.code == 503 and headers.get("X-Not-Run") == "1":
            self._end(Refused(detail="refused by the executor", leaving=self._leaving))
        elif not self._is_framed(headers):
            self._end(Cut(detail="it can't be seen where the answer ends"))

    def _is_framed(self, headers: httputil.HTTPHeaders) -> bool:
        if self._head or self._status in (204, 304):
            return True
        framing = headers.get_list("Content-Length") + headers.get_list("Transfer-Encoding")
        return len(framing) == 1

    async def data_received(self, chunk: bytes) -> None:
        """Hold a piece, or pass it on once the answer is too large."""
        if self.result is not None:
            return
        self._size += len(chunk)
        if not self._begun and (self._sink is None or self._size <= self._held_bytes):
            self._pieces.append(chunk)
            return
        await self._pass_on(chunk)

    async def _pass_on(self, chunk: bytes) -> None:
        assert self._sink is not None
        try:
            if not self._begun:
                self._begun = True
                await self._sink.start(self._status, self._headers)
                held, self._pieces = self._pieces, []
                for piece in held:
                    await self._sink.write(piece)
            await self._sink.write(chunk)
        except iostream.StreamClosedError:
            self._end(CallerGone(leaving=self._leaving))

    def finish(self) -> None:
        """The answer is whole."""
        if self.result is not None:
            return
        if self._begun:
            self.result = PassedOn(status=self._status, size=self._size, leaving=self._leaving)
        else:
            self.result = Whole(
                status=self._status,
                headers=self._headers,
                body=b"".join(self._pieces),
                leaving=self._leaving,
            )

    def on_connection_close(self) -> None:
        """The answer broke off or is malformed."""
        self.broken("the answer broke off")

    def broken(self, detail: str) -> None:
        """Note that the connection ended early."""
        if self.result is not None:
            return
        if self._status:
            self.result = Cut(detail=detail, begun=self._begun)
        else:
            self.result = Reset(detail=detail)

    def time_out(self) -> None:
        """Give up at the deadline."""
        if self.result is None:
            self._end(TimedOut(begun=self._begun))

    def lose_patience(self, patience: Patience) -> None:
        """Give up early when nothing has come back and another executor may be asked."""
        if self.result is None and not self._status and patience.may_give_up():
            self._end(TimedOut(early=True))

    def _end(self, result: TryResult) -> None:
        self.result = result
        self._stream.close()
