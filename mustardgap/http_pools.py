"""HTTP/1.1 calls over pooled connections, with time limits."""

import asyncio
import time
from collections import defaultdict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from tornado import httputil, iostream
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.tcpclient import TCPClient

from .ports import NoAnswer
from .resolvers import NumericResolver

# Servers close connections that have been idle for about 15 s. With a shorter limit, a request is
# seldom sent on a connection that is just being closed.
MAX_IDLE_S = 8.0
# Connecting may take this much of a call's timeout at most.
CONNECT_TIMEOUT_S = 1.0
# While an answer keeps arriving, its call's timeout is extended: by this long for each part, up to
# this long in total. If a large answer were abandoned and requested again, it would never arrive
# completely: on links of 10 Mbit/s, repeats of a configuration of 1,600 queues left hardly any
# bandwidth for other calls for 20 s, according to the logs of 28 hosts.
PROGRESS_TIMEOUT_S = 0.5
MAX_ANSWER_S = 10.0
MAX_IDLE_PER_ADDRESS = 8
MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class _IdleConnection:
    """An idle connection and when it became idle."""

    def __init__(self, stream: iostream.IOStream, idle_since: float) -> None:
        self.stream = stream
        self.idle_since = idle_since


class _Collector(httputil.HTTPMessageDelegate):
    """Collects one answer.

    :param on_progress: called when a part of it has arrived.
    """

    def __init__(self, *, on_progress: Callable[[], None]) -> None:
        self._on_progress = on_progress
        self.status = 0
        self.headers: httputil.HTTPHeaders = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.is_complete = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)
        self._on_progress()

    def finish(self) -> None:
        self.is_complete = True


class HttpPool:
    """Sends requests over pooled connections; a connection carries one request at a time.

    A call that times out closes its connection: a late answer must not be mistaken for the answer
    to the next request, and on a broken connection each later call would fail.
    """

    def __init__(self) -> None:
        self._client = TCPClient(resolver=NumericResolver())
        self._idle_by_address: dict[str, deque[_IdleConnection]] = defaultdict(deque)
        self._parameters = HTTP1ConnectionParameters(
            no_keep_alive=False, max_body_size=MAX_BODY_BYTES, max_header_size=65_536
        )
        self.calls = 0
        self.opened = 0

    async def call(
        self,
        *,
        address: str,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer | NoAnswer:
        """Send one request and wait for its complete answer.

        :param address: ``ip:port``.
        :param target: the path with the query.
        :param timeout_s: timeout for connecting, sending and the first part of the answer.
        :return: the answer, or ``NoAnswer`` with whether a byte may have been sent.
        """
        self.calls += 1
        loop = asyncio.get_running_loop()
        timeout = asyncio.timeout(timeout_s)
        latest_end = loop.time() + max(timeout_s, MAX_ANSWER_S)

        def extend_timeout() -> None:
            # Most answers are complete well before the timeout, and need no new timer.
            when = min(loop.time() + PROGRESS_TIMEOUT_S, latest_end)
            if when > (timeout.when() or 0.0):
                timeout.reschedule(when)

        collector = _Collector(on_progress=extend_timeout)
        stream: iostream.IOStream | None = None
        sent = False
        try:
            async with timeout:
                stream = self._take_idle(address) or await self._open(address, timeout_s)
                stream.set_close_callback(None)
                connection = HTTP1Connection(stream, True, self._parameters)
                sent = True
                self._write(connection, address, method, target, body, headers)
                await connection.read_response(collector)
        except TimeoutError:
            return _no_answer(stream, sent, "no answer in time")
        except (OSError, iostream.StreamClosedError, httputil.HTTPInputError) as exc:
            return _no_answer(stream, sent, f"{type(exc).__name__}: {exc}", closed=_is_closed(exc))
        except asyncio.CancelledError:
            if stream is not None:
                stream.close()
            raise
        if not collector.is_complete:
            return _no_answer(
                stream, sent, "the connection ended before the answer did", closed=True
            )
        self._put_back(address, stream)
        return HttpAnswer(
            status=collector.status, headers=collector.headers, body=b"".join(collector.chunks)
        )

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.stream.close()
        self._idle_by_address.clear()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, for example after a timeout on one."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.stream.close()

    def _take_idle(self, address: str) -> iostream.IOStream | None:
        idle = self._idle_by_address[address]
        min_idle_since = time.monotonic() - MAX_IDLE_S
        while idle:
            connection = idle.pop()
            if connection.idle_since >= min_idle_since and not connection.stream.closed():
                return connection.stream
            connection.stream.close()
        return None

    def _put_back(self, address: str, stream: iostream.IOStream) -> None:
        idle = self._idle_by_address[address]
        if stream.closed() or len(idle) >= MAX_IDLE_PER_ADDRESS:
            stream.close()
            return
        idle.append(_IdleConnection(stream, time.monotonic()))

    async def _open(self, address: str, timeout_s: float) -> iostream.IOStream:
        host, _, port = address.rpartition(":")
        self.opened += 1
        stream = await self._client.connect(
            host, int(port), timeout=min(CONNECT_TIMEOUT_S, timeout_s)
        )
        stream.set_nodelay(True)
        return stream

    def _write(
        self,
        connection: HTTP1Connection,
        address: str,
        method: str,
        target: str,
        body: bytes | None,
        headers: Mapping[str, str] | None,
    ) -> None:
        fields = httputil.HTTPHeaders(dict(headers or {}))
        fields["Host"] = address
        if body is not None:
            fields["Content-Length"] = str(len(body))
            fields.setdefault("Content-Type", "application/json")
        line = httputil.RequestStartLine(method, target, "HTTP/1.1")
        connection.write_headers(line, fields, body or None)
        connection.finish()


def _is_closed(exc: Exception) -> bool:
    """Whether the peer closed or refused the connection, so that its host is still up."""
    if isinstance(exc, iostream.StreamClosedError) and exc.real_error is not None:
        return isinstance(exc.real_error, ConnectionError)
    return isinstance(exc, ConnectionError | iostream.StreamClosedError)


def _no_answer(
    stream: iostream.IOStream | None, sent: bool, detail: str, *, closed: bool = False
) -> NoAnswer:
    if stream is not None:
        stream.close()
    return NoAnswer(sent=sent, detail=detail, closed=closed)
