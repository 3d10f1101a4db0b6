"""Handles one request of a caller, from its first header to the end of its answer."""

import asyncio
import socket
import struct
import uuid
from http.client import responses
from typing import Protocol, cast
from urllib.parse import urlsplit

from absl import logging
from tornado import httputil, iostream
from tornado.http1connection import HTTP1Connection

from . import metrics, problems, status_codes, unanswered
from .outcomes import BrokenOff, NotRun, Outcome, Streamed, Unknown
from .problems import Answer
from .request_heads import framing_problem
from .sessions import Session, Sessions
from .settings import Settings
from .status_codes import Code
from .timelines import Timeline
from .upstreams import Request

READY_PATH = "/-/ready"
BUILTIN_PATH_PREFIX = "/-/"
MAX_REQUEST_ID_LENGTH = 128
MAX_LENGTH_DIGITS = 18
LINGER_RESET = struct.pack("ii", 1, 0)


class Server(Protocol):
    """The server that accepted the connection of an exchange."""

    settings: Settings
    sessions: Sessions
    timeline: Timeline
    draining: bool
    held_bytes: int

    def is_ready(self) -> bool:
        """Tell whether the balancer should send requests to this server."""

    def note_request(self) -> None:
        """Note that a request has come that isn't one for the server's own pages."""

    def refusal(self) -> NotRun | None:
        """Return why requests are refused now, None when they aren't."""

    def register(self, exchange: "Exchange") -> None:
        """Add an exchange that has begun."""

    def unregister(self, exchange: "Exchange") -> None:
        """Remove an exchange that has ended."""


class Exchange(httputil.HTTPMessageDelegate):
    """One request of a caller and its answer.

    :param server: the server that accepted the connection.
    :param connection: the connection, for the answer.
    :param over_limit: whether the connection exceeds the limit of open connections.
    """

    def __init__(self, *, server: Server, connection: HTTP1Connection, over_limit: bool) -> None:
        self.server = server
        self.request_id = uuid.uuid4().hex
        self.answered = False
        self._is_cut_off = False
        self._connection = connection
        self._over_limit = over_limit
        self._start_line = httputil.RequestStartLine("", "", "")
        self._headers = httputil.HTTPHeaders()
        # Not a list of chunks: each would take many times the bytes of a small one.
        self._body = bytearray()
        self._size = 0
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._session: Session | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check the head; a request that is refused here is answered before its body is read."""
        self.server.register(self)
        self._start_line = cast(httputil.RequestStartLine, start_line)
        self._headers = headers
        ids = headers.get_list("X-Request-Id")
        if len(ids) == 1 and 0 < len(ids[0]) <= MAX_REQUEST_ID_LENGTH and ids[0].isascii():
            self.request_id = ids[0]
        refusal = self._check_head()
        if refusal is not None:
            self._refuse(refusal)

    def _check_head(self) -> NotRun | None:
        try:
            return self._head_refusal()
        except Exception as exc:
            # Tornado would close the connection without an answer.
            self._record_failure(exc)
            return NotRun(code=status_codes.GIVEN_UP_BEFORE_RUN)

    def _head_refusal(self) -> NotRun | None:
        detail = _malformation(self._start_line, self._headers)
        if detail:
            metrics.malformed_requests.add(1, {"port": "callers"})
            return NotRun(code=status_codes.BAD_REQUEST, detail=detail)
        length = self._headers.get("Content-Length", "0")
        # int() raises ValueError for a text of thousands of digits.
        if len(length) > MAX_LENGTH_DIGITS or int(length) > self._max_body_bytes():
            return self._too_large()
        if self._over_limit:
            detail = "too many connections"
            return NotRun(code=status_codes.OVER_BUDGET, detail=detail, retry_after=2.0)
        if self._start_line.path.startswith(BUILTIN_PATH_PREFIX):
            return None
        self.server.note_request()
        return self.server.refusal()

    def _max_body_bytes(self) -> int:
        return self.server.settings.callers.max_body_bytes

    def _too_large(self) -> NotRun:
        detail = f"the body is larger than {self._max_body_bytes()} bytes"
        return NotRun(code=status_codes.TOO_LARGE, detail=detail)

    def _refuse(self, refusal: NotRun) -> None:
        # The answer is sent now, but the connection is closed only when the rest of the request
        # has been read, or at the timeout: closing it with unread bytes would reset it, and the
        # reset could reach the caller before the answer.
        self._drop_body()
        timeout_s = self.server.settings.callers.header_timeout_s
        self._timer = asyncio.get_running_loop().call_later(timeout_s, self._connection.close)
        self._write(problems.answer(refusal, request_id=self.request_id), close=True)
        if self._headers.get("Expect") == "100-continue":
            self._connection.finish()

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body, up to the limit."""
        if self.answered:
            return
        self._body += chunk
        self._size += len(chunk)
        self.server.held_bytes += len(chunk)
        if self._size > self._max_body_bytes():
            self._refuse(self._too_large())
        elif self.server.held_bytes > self.server.settings.callers.max_held_bytes:
            detail = "the requests being received are too large together"
            self._refuse(NotRun(code=status_codes.OVER_BUDGET, detail=detail, retry_after=2.0))

    def finish(self) -> None:
        """Run the request, which has been read completely."""
        if self.answered:
            self._connection.finish()
            self._connection.close()
            self._release()
            return
        self._task = asyncio.create_task(self._run(), name=f"request:{self.request_id}")
        self._task.add_done_callback(lambda _: self._release())

    def on_connection_close(self) -> None:
        """Clean up after a caller that disconnected before its request was complete."""
        self._release()

    def cut_off(self) -> None:
        """End the handling as this server closes its connections; a missing answer is sent."""
        self._is_cut_off = True
        if self._task is not None:
            # Cancelled after the task's first step: a task that is cancelled before it runs none
            # of its code, and so would send no answer.
            asyncio.get_running_loop().call_soon(self._task.cancel)
        elif not self.answered:
            self._refuse(NotRun(code=status_codes.DRAINING))

    def _release(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._drop_body()
        self.server.unregister(self)

    def _drop_body(self) -> None:
        self._body.clear()
        self.server.held_bytes -= self._size
        self._size = 0

    async def _run(self) -> None:
        self._connection.set_close_callback(self._on_caller_gone)
        try:
            await self._reply()
        except (Exception, asyncio.CancelledError) as exc:
            await self._answer_failure(exc)

    async def _reply(self) -> None:
        if self._start_line.path.startswith(BUILTIN_PATH_PREFIX):
            await self._send_answer(self._builtin_answer())
        else:
            await self._send_outcome(await self._handle())

    async def _answer_failure(self, exc: BaseException) -> None:
        """Send the missing answer when the handling has ended without one.

        If something that this task awaits is cancelled, such as a call on a closed channel, this
        task ends as with an error. The caller's connection would close without a byte, and the
        caller couldn't tell whether its request may be sent again.
        """
        if self._connection.stream.closed():
            # The caller has hung up, which cancels the handling; no answer can be sent.
            if not isinstance(exc, asyncio.CancelledError):
                logging.error("request %s failed", self.request_id, exc_info=exc)
            self._connection.close()
            return
        self._record_failure(exc)
        if self.answered:
            self._reset()
            return
        code = status_codes.DRAINING if self._is_cut_off else status_codes.GIVEN_UP_BEFORE_RUN
        outcome = self._failure_outcome(code)
        await self._send_answer(problems.answer(outcome, request_id=self.request_id))

    def _record_failure(self, exc: BaseException) -> None:
        failure = unanswered.record_failure(exc, stopping=self._is_cut_off)
        self.server.timeline.add(
            "request.unanswered",
            cause=failure.cause,
            request=self.request_id,
            how=failure.how.value,
        )
        logging.error(
            "request %s ended without an outcome (%s)",
            self.request_id,
            failure.how.value,
            exc_info=exc,
        )

    def _failure_outcome(self, refusal: Code) -> NotRun | Unknown:
        if self._session is None:
            return NotRun(code=refusal)
        return self._session.give_up(refusal)

    async def _handle(self) -> Outcome:
        request = Request(
            request_id=self.request_id,
            method=self._start_line.method,
            target=_origin_form(self._start_line.path),
            headers=self._headers,
            body=bytes(self._body),
        )
        self._body.clear()
        self._session = self.server.sessions.open(request, self)
        return await self._session.run()

    def _on_caller_gone(self) -> None:
        if self._session is not None:
            self._session.handle_disconnect()

    def _builtin_answer(self) -> Answer:
        headers = [("Content-Type", "text/plain")]
        if self._start_line.path != READY_PATH:
            return Answer(404, headers, b"no such page\n")
        if self.server.is_ready():
            return Answer(200, headers, b"ready\n")
        return Answer(503, headers, b"not ready\n")

    async def _send_outcome(self, outcome: Outcome) -> None:
        if isinstance(outcome, Streamed):
            self._finish_answer()
        elif isinstance(outcome, BrokenOff):
            self._reset()
        else:
            await self._send_answer(problems.answer(outcome, request_id=self.request_id))

    async def _send_answer(self, answer: Answer) -> None:
        try:
            # A caller that stops reading its answer would keep its connection and its buffers.
            async with asyncio.timeout(self.server.settings.callers.idle_timeout_s):
                await self._write(answer, close=self.server.draining)
        except (iostream.StreamClosedError, TimeoutError):
            self._connection.close()
            return
        self._finish_answer()

    def _finish_answer(self) -> None:
        closing = self._closes_after_answer
        self._connection.finish()
        if closing:
            self._connection.close()

    def _write(self, answer: Answer, *, close: bool) -> "asyncio.Future[None]":
        headers = list(answer.headers)
        names = {name.lower() for name, _ in headers}
        if "content-length" not in names and answer.status not in (204, 304):
            headers.append(("Content-Length", str(len(answer.body))))
        body = None if self._start_line.method == "HEAD" else answer.body or None
        return self._write_head(answer.status, headers, body, close=close)

    def _write_head(
        self, status: int, pairs: list[tuple[str, str]], body: bytes | None, *, close: bool
    ) -> "asyncio.Future[None]":
        self._closes_after_answer = close
        headers = httputil.HTTPHeaders()
        for name, value in pairs:
            headers.add(name, value)
        if close:
            headers["Connection"] = "close"
        line = httputil.ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        written = self._connection.write_headers(line, headers, body)
        # Set after the write: if it raises, nothing has been sent and another answer may follow.
        self.answered = True
        return written

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Begin to relay an answer that is too large to be buffered."""
        own = [
            ("X-Request-Id", self.request_id),
            ("X-Result-Code", str(status_codes.ANSWERED.number)),
        ]
        await self._write_head(status, headers + own, None, close=self.server.draining)

    async def write(self, chunk: bytes) -> None:
        """Relay a chunk and wait until it has been written to the caller."""
        await self._connection.write(chunk)
        if self._connection.stream.closed():
            raise iostream.StreamClosedError()

    def _reset(self) -> None:
        # Part of an answer has been sent. A caller that reads until the connection closes could
        # mistake an orderly close for the answer's end, but not a reset.
        sock = self._connection.stream.socket
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._connection.close()


def _malformation(line: httputil.RequestStartLine, headers: httputil.HTTPHeaders) -> str:
    """Return what is wrong with a request's head, "" for nothing."""
    problem = framing_problem(headers, line.version)
    if problem:
        return problem
    if len(headers.get_list("Idempotency-Key")) > 1:
        return "more than one Idempotency-Key"
    if line.method == "CONNECT" or not line.path.startswith(("/", "http://", "https://", "*")):
        return "the target is not a path"
    try:
        _origin_form(line.path)
    except ValueError as exc:
        return f"the target is not a URL: {exc}"
    return ""


def _origin_form(target: str) -> str:
    """Return a target as a path with its query, also if it is an absolute URL (RFC 9112, 3.2.2)."""
    if not target.startswith("http"):
        return target
    parts = urlsplit(target)
    path = parts.path or "/"
    return f"{path}?{parts.query}" if parts.query else path
