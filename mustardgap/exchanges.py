"""One request of a caller on its connection, from the first header to the end of its answer."""

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
from .sessions import Session, Sessions
from .settings import Settings
from .status_codes import Code
from .timelines import Timeline
from .upstreams import Request

READY_PATH = "/-/ready"
OWN_PATHS = "/-/"
MAX_REQUEST_ID = 128
MAX_LENGTH_DIGITS = 18
LINGER_RESET = struct.pack("ii", 1, 0)


class Host(Protocol):
    """The server that an exchange belongs to."""

    settings: Settings
    sessions: Sessions
    timeline: Timeline
    draining: bool
    held_bytes: int

    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""

    def refusal(self) -> NotRun | None:
        """Why requests are refused now, None when they aren't."""

    def begin(self, exchange: "Exchange") -> None:
        """Note an exchange that has begun."""

    def end(self, exchange: "Exchange") -> None:
        """Forget an exchange that has ended."""


class Exchange(httputil.HTTPMessageDelegate):
    """One request of a caller and its answer.

    :param host: the server.
    :param connection: the connection, for the answer.
    :param over_limit: whether the connection is one too many.
    """

    def __init__(self, *, host: Host, connection: HTTP1Connection, over_limit: bool) -> None:
        self.host = host
        self.request_id = uuid.uuid4().hex
        self.answered = False
        self._is_cut = False
        self._connection = connection
        self._over_limit = over_limit
        self._line = httputil.RequestStartLine("", "", "")
        self._headers = httputil.HTTPHeaders()
        self._body: list[bytes] = []
        self._size = 0
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._session: Session | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check the head; what is refused here is answered before its body is read."""
        self.host.begin(self)
        self._line = cast(httputil.RequestStartLine, start_line)
        self._headers = headers
        ids = headers.get_list("X-Request-Id")
        if len(ids) == 1 and 0 < len(ids[0]) <= MAX_REQUEST_ID and ids[0].isascii():
            self.request_id = ids[0]
        refusal = self._check_head()
        if refusal is not None:
            self._refuse(refusal)

    def _check_head(self) -> NotRun | None:
        try:
            return self._check()
        except Exception as exc:
            # Tornado would close the connection without an answer.
            self._note_end(exc)
            return NotRun(code=status_codes.GIVEN_UP_BEFORE_RUN)

    def _check(self) -> NotRun | None:
        detail = _malformed(self._line, self._headers)
        if detail:
            metrics.malformed_requests.add(1, {"port": "callers"})
            return NotRun(code=status_codes.BAD_REQUEST, detail=detail)
        length = self._headers.get("Content-Length", "0")
        # Python makes no number of thousands of digits, but raises an error.
        if len(length) > MAX_LENGTH_DIGITS or int(length) > self._max_body_bytes():
            return self._too_large()
        if self._over_limit:
            detail = "too many connections"
            return NotRun(code=status_codes.OVER_BUDGET, detail=detail, retry_after=2.0)
        if self._line.path.startswith(OWN_PATHS):
            return None
        return self.host.refusal()

    def _max_body_bytes(self) -> int:
        return self.host.settings.callers.max_body_bytes

    def _too_large(self) -> NotRun:
        detail = f"the body is larger than {self._max_body_bytes()} bytes"
        return NotRun(code=status_codes.TOO_LARGE, detail=detail)

    def _refuse(self, refusal: NotRun) -> None:
        # The answer goes out now, but the connection is finished only when the rest of the
        # request has been read, or at the time-out: closed with bytes unread, it would be reset,
        # and the reset could overtake the answer.
        self._drop_body()
        timeout_s = self.host.settings.callers.header_timeout_s
        self._timer = asyncio.get_running_loop().call_later(timeout_s, self._connection.close)
        self._write(problems.answer(refusal, request_id=self.request_id), close=True)
        if self._headers.get("Expect") == "100-continue":
            self._connection.finish()

    def data_received(self, chunk: bytes) -> None:
        """Hold a piece of the body, up to the limit."""
        if self.answered:
            return
        self._body.append(chunk)
        self._size += len(chunk)
        self.host.held_bytes += len(chunk)
        if self._size > self._max_body_bytes():
            self._refuse(self._too_large())
        elif self.host.held_bytes > self.host.settings.callers.max_held_bytes:
            detail = "the requests being received are too large together"
            self._refuse(NotRun(code=status_codes.OVER_BUDGET, detail=detail, retry_after=2.0))

    def finish(self) -> None:
        """The request is whole: run it."""
        if self.answered:
            self._connection.finish()
            self._connection.close()
            self._end()
            return
        self._task = asyncio.create_task(self._run(), name=f"request:{self.request_id}")
        self._task.add_done_callback(lambda _: self._end())

    def on_connection_close(self) -> None:
        """The caller went before its request was whole."""
        self._end()

    def cut_off(self) -> None:
        """End the handling, because this host closes its connections; what is owed is answered."""
        self._is_cut = True
        if self._task is not None:
            # Later than the task's first step: cancelled before it, the task would run no line of
            # its code, and so give no answer.
            asyncio.get_running_loop().call_soon(self._task.cancel)
        elif not self.answered:
            self._refuse(NotRun(code=status_codes.DRAINING))

    def _end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._drop_body()
        self.host.end(self)

    def _drop_body(self) -> None:
        self._body.clear()
        self.host.held_bytes -= self._size
        self._size = 0

    async def _run(self) -> None:
        self._connection.set_close_callback(self._hang_up)
        try:
            await self._reply()
        except (Exception, asyncio.CancelledError) as exc:
            await self._make_up_for(exc)

    async def _reply(self) -> None:
        if self._line.path.startswith(OWN_PATHS):
            await self._send(self._own_answer())
        else:
            await self._answer(await self._handle())

    async def _make_up_for(self, exc: BaseException) -> None:
        """Give the answer that is still owed when the handling has ended without one.

        The cancellation of something that is only waited for, such as a call on a channel that was
        closed, ends this task as an error does. The caller's connection would close without a byte,
        and the caller couldn't tell whether its request may be sent again.
        """
        if self._connection.stream.closed():
            # The caller has hung up, which cancels the handling, so there is nobody to answer.
            if not isinstance(exc, asyncio.CancelledError):
                logging.error("request %s failed", self.request_id, exc_info=exc)
            self._connection.close()
            return
        self._note_end(exc)
        if self.answered:
            self._reset()
            return
        code = status_codes.DRAINING if self._is_cut else status_codes.GIVEN_UP_BEFORE_RUN
        outcome = self._given_up(code)
        await self._send(problems.answer(outcome, request_id=self.request_id))

    def _note_end(self, exc: BaseException) -> None:
        end = unanswered.end_of(exc, stopping=self._is_cut)
        self.host.timeline.add(
            "request.unanswered", cause=end.cause, request=self.request_id, how=end.how.value
        )
        logging.error("no outcome of request %s (%s)", self.request_id, end.how.value, exc_info=exc)

    def _given_up(self, refusal: Code) -> NotRun | Unknown:
        if self._session is None:
            return NotRun(code=refusal)
        return self._session.give_up(refusal)

    async def _handle(self) -> Outcome:
        request = Request(
            request_id=self.request_id,
            method=self._line.method,
            target=_origin_form(self._line.path),
            headers=self._headers,
            body=b"".join(self._body),
        )
        self._body.clear()
        self._session = self.host.sessions.open(request, self)
        return await self._session.run()

    def _hang_up(self) -> None:
        if self._session is not None:
            self._session.handle_disconnect()

    def _own_answer(self) -> Answer:
        headers = [("Content-Type", "text/plain")]
        if self._line.path != READY_PATH:
            return Answer(404, headers, b"no such page\n")
        if self.host.is_ready():
            return Answer(200, headers, b"ready\n")
        return Answer(503, headers, b"not ready\n")

    async def _answer(self, outcome: Outcome) -> None:
        if isinstance(outcome, Streamed):
            self._finish()
        elif isinstance(outcome, BrokenOff):
            self._reset()
        else:
            await self._send(problems.answer(outcome, request_id=self.request_id))

    async def _send(self, answer: Answer) -> None:
        try:
            # A caller that takes no more of its answer would keep its connection and what it holds.
            async with asyncio.timeout(self.host.settings.callers.idle_timeout_s):
                await self._write(answer, close=self.host.draining)
        except (iostream.StreamClosedError, TimeoutError):
            self._connection.close()
            return
        self._finish()

    def _finish(self) -> None:
        closing = self._closing
        self._connection.finish()
        if closing:
            self._connection.close()

    def _write(self, answer: Answer, *, close: bool) -> "asyncio.Future[None]":
        headers = list(answer.headers)
        names = {name.lower() for name, _ in headers}
        if "content-length" not in names and answer.status not in (204, 304):
            headers.append(("Content-Length", str(len(answer.body))))
        body = None if self._line.method == "HEAD" else answer.body or None
        return self._write_head(answer.status, headers, body, close=close)

    def _write_head(
        self, status: int, pairs: list[tuple[str, str]], body: bytes | None, *, close: bool
    ) -> "asyncio.Future[None]":
        self._closing = close
        headers = httputil.HTTPHeaders()
        for name, value in pairs:
            headers.add(name, value)
        if close:
            headers["Connection"] = "close"
        line = httputil.ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        written = self._connection.write_headers(line, headers, body)
        # Only now: nothing has gone out of an answer that can't be written, so another one may.
        self.answered = True
        return written

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Begin to pass on an answer that is too large to be held."""
        own = [
            ("X-Request-Id", self.request_id),
            ("X-Result-Code", str(status_codes.ANSWERED.number)),
        ]
        await self._write_head(status, headers + own, None, close=self.host.draining)

    async def write(self, chunk: bytes) -> None:
        """Pass on a piece and wait until the caller has taken it."""
        await self._connection.write(chunk)
        if self._connection.stream.closed():
            raise iostream.StreamClosedError()

    def _reset(self) -> None:
        # Part of an answer has gone out. An orderly close could be taken for its end, by a caller
        # that reads until the connection closes; a reset can't.
        sock = self._connection.stream.socket
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._connection.close()


def _malformed(line: httputil.RequestStartLine, headers: httputil.HTTPHeaders) -> str:
    """What is wrong with a request's head, "" for nothing.

    Two readings of where a request ends let one request be taken for two on the way (smuggling),
    so whatever could be read in two ways is refused.
    """
    lengths = headers.get_list("Content-Length")
    codings = headers.get_list("Transfer-Encoding")
    if len(lengths) > 1 or (lengths and not (lengths[0].isascii() and lengths[0].isdigit())):
        return "Content-Length must be one number"
    if lengths and codings:
        return "both Content-Length and Transfer-Encoding"
    if len(codings) > 1 or (codings and codings[0].lower() != "chunked"):
        return "the only Transfer-Encoding taken is chunked"
    if codings and line.version != "HTTP/1.1":
        return "chunked needs HTTP/1.1"
    if len(headers.get_list("Host")) > 1:
        return "more than one Host"
    if line.version == "HTTP/1.1" and "Host" not in headers:
        return "no Host"
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
    """A target as a path with its query, also when it came as a whole URL (RFC 9112, 3.2.2)."""
    if not target.startswith("http"):
        return target
    parts = urlsplit(target)
    path = parts.path or "/"
    return f"{path}?{parts.query}" if parts.query else path
