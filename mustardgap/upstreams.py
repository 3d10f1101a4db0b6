"""Sends one request to one executor over a new connection, and returns the result."""

import asyncio
import socket
import uuid
from collections.abc import Callable
from typing import NamedTuple, Protocol

from tornado import httputil, iostream
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.tcpclient import TCPClient

from . import headers as header_rules
from .answers import AnswerReader, EarlyTimeout, Sink
from .resolvers import NumericResolver
from .settings import Settings
from .timers import Clock
from .tries import NotSent, Reset, TryResult

CHUNK_BYTES = 64 * 1024
STREAM_BUFFER_BYTES = 256 * 1024
MAX_ANSWER_BYTES = 1 << 40
TIMEOUT_SLACK_S = 0.01


class Request(NamedTuple):
    """A caller's request with its complete body; ``target`` is the path with the query."""

    request_id: str
    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes = b""


class ExecutorAddress(Protocol):
    """The id and address of an executor."""

    @property
    def executor(self) -> str:
        """The executor's id."""

    @property
    def address(self) -> str:
        """Its ``ip:port``."""


class Upstreams:
    """Sends requests to executors, each over a new connection.

    A pooled connection may have broken silently while it was idle, and a request on it would be
    lost unnoticed. With a new connection, the handshake shows that the executor is reachable, and
    if connecting fails, the request certainly wasn't sent.

    :param settings: the daemon's settings.
    :param clock: the clocks to read.
    """

    def __init__(self, *, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or Clock()
        self._client = TCPClient(resolver=NumericResolver())
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
        patience: EarlyTimeout | None = None,
    ) -> TryResult:
        """Send a request and read its answer.

        :param request: the caller's request.
        :param executor: where to send it.
        :param deadline: time by which the answer must be complete, in monotonic seconds.
        :param sink: receives answers that are too large to buffer; without it they are buffered.
        :param on_sent: called just before the first byte is sent.
        :param patience: limits the wait for the first sign of an answer.
        :return: the result; failures of the executor are returned too, not raised.
        """
        stream = await self._connect(executor, deadline)
        if isinstance(stream, NotSent):
            return stream
        try:
            return await self._exchange(stream, request, deadline, sink, on_sent, patience)
        finally:
            # Also after a timeout, so that a late answer can't be mistaken for the answer to
            # another request.
            stream.close()

    async def _connect(
        self, executor: ExecutorAddress, deadline: float
    ) -> iostream.IOStream | NotSent:
        remaining_s = deadline - self.clock.monotonic()
        if remaining_s <= 0:
            return NotSent(detail="the deadline passed", unreachable=False)
        host, _, port = executor.address.rpartition(":")
        try:
            return await self._client.connect(
                host.strip("[]"),
                int(port),
                max_buffer_size=STREAM_BUFFER_BYTES,
                timeout=min(remaining_s, self.settings.requests.connect_timeout_s),
            )
        except (OSError, TimeoutError, iostream.StreamClosedError) as exc:
            # If the deadline ended the connecting, the executor may not be the cause.
            unreachable = self.clock.monotonic() < deadline
            detail = f"no connection to {executor.executor}: {exc}"
            by_time = isinstance(exc, TimeoutError)
            return NotSent(detail=detail, unreachable=unreachable, by_time=by_time)

    async def _exchange(
        self,
        stream: iostream.IOStream,
        request: Request,
        deadline: float,
        sink: Sink | None,
        on_sent: Callable[[], None] | None,
        early_timeout: EarlyTimeout | None,
    ) -> TryResult:
        # The process may have been frozen while it connected, so the deadline is checked again.
        # Nothing between this check and the first byte yields to the event loop.
        remaining_s = deadline - self.clock.monotonic()
        if remaining_s <= 0:
            return NotSent(detail="the deadline passed", unreachable=False)
        if not _is_open(stream):
            return NotSent(detail="the connection was closed before the request was sent")
        if on_sent is not None:
            on_sent()
        try_id = uuid.uuid4().hex
        connection = HTTP1Connection(stream, True, self._parameters)
        answer = AnswerReader(
            stream=stream,
            try_id=try_id,
            is_head_request=request.method == "HEAD",
            max_buffered_bytes=self.settings.callers.buffered_answer_bytes,
            sink=sink,
        )
        loop = asyncio.get_running_loop()
        timers = [loop.call_later(remaining_s, answer.time_out)]
        if early_timeout is not None:
            timers.append(
                loop.call_later(early_timeout.seconds, answer.time_out_early, early_timeout)
            )
        try:
            # Closing the stream ends a wait for the executor, but not a wait for a caller that
            # stopped reading its answer; this timeout ends the latter.
            async with asyncio.timeout(remaining_s + TIMEOUT_SLACK_S):
                self._write(connection, request, try_id, remaining_s)
                await connection.read_response(answer)
        except iostream.StreamClosedError as exc:
            answer.connection_lost(str(exc.real_error or exc))
        except iostream.UnsatisfiableReadError:
            answer.connection_lost("the answer's headers are too large")
        except TimeoutError:
            answer.time_out()
        finally:
            for timer in timers:
                timer.cancel()
        return answer.result or Reset(detail="no answer")

    def _write(
        self, connection: HTTP1Connection, request: Request, try_id: str, remaining_s: float
    ) -> None:
        headers = header_rules.forwarded(request.headers)
        headers["X-Request-Id"] = try_id
        headers["X-Request-Timeout"] = f"{remaining_s:.3f}"
        headers["Connection"] = "close"
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        line = httputil.RequestStartLine(request.method, request.target, "HTTP/1.1")
        connection.write_headers(line, headers, request.body or None)
        connection.finish()


def _is_open(stream: iostream.IOStream) -> bool:
    # An executor may accept a connection and close it at once, for example while it is being
    # replaced. The outcome of a non-idempotent request would then be unknown. Nothing has been
    # written yet, so if the connection is closed here, the request wasn't sent. If the event loop
    # noticed it first, the stream is already closed and has no socket to check.
    if stream.closed():
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
