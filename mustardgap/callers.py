"""The HTTP server for callers."""

import asyncio
import select
import socket
from collections.abc import Callable
from http.client import responses
from typing import Any, cast

from tornado import httputil, iostream, netutil
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
    HTTP1ServerConnection,
)

from . import metrics, problems, status_codes
from .exceptions import MustardgapError
from .exchanges import Exchange
from .http_servers import limit_receive_window
from .outcomes import NotRun
from .readiness import Readiness
from .sessions import Sessions
from .settings import Settings
from .timelines import Timeline
from .timers import Clock, Timers

METRIC_LABELS = {"port": "callers"}
# Connections over the limit still get a refusal with a code, up to this fraction of the limit.
SPARE_CONNECTIONS_FRACTION = 0.1
# What tornado sends when it can't parse a message.
BARE_400 = b"HTTP/1.1 400 Bad Request\r\n\r\n"
NO_LIMIT = 1 << 62
# Time to send the last answers before the connections are closed.
CUT_OFF_TIMEOUT_S = 1.0
UNREAD_POLL_INTERVAL_S = 0.01
# A stopping host serves on while requests come that are less than this fraction of ``linger_s``
# apart, as the balancer doesn't know yet, but at most this many times ``linger_s`` in all.
QUIET_FRACTION, MAX_LINGER_FACTOR = 0.25, 2.0


class _CallerStream(iostream.IOStream):
    """A caller's connection; ``latest_exchange`` is the newest exchange on it."""

    latest_exchange: Exchange | None = None

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Write data, replacing tornado's answer to a message that it can't parse.

        Tornado sends a bare status line before a delegate sees the request. The caller would get
        an answer without a result code, or a second answer after a refusal.
        """
        if data == BARE_400 and self.latest_exchange is not None:
            metrics.malformed_requests.add(1, METRIC_LABELS)
            data = (
                b""
                if self.latest_exchange.answered
                else _malformed_answer(self.latest_exchange.request_id)
            )
        return super().write(data)


class Callers(httputil.HTTPServerConnectionDelegate):
    """Serves callers on the configured port; each connection has one task.

    :param settings: the daemon's settings.
    :param sessions: runs the requests.
    :param timeline: records starting and stopping.
    :param readiness: tells whether this entry host may serve; if None, it always may.
    :param clock: the clocks to read.
    :param timers: tells for how long this process didn't run; if None, it always ran.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        sessions: Sessions,
        timeline: Timeline,
        readiness: Readiness | None = None,
        clock: Clock | None = None,
        timers: Timers | None = None,
    ) -> None:
        self.settings = settings
        self.sessions = sessions
        self.timeline = timeline
        self.readiness = readiness
        self.clock = clock or Clock()
        self.timers = timers
        self.port = settings.callers.port
        self.draining = False
        self.refusing = False
        self.held_bytes = 0
        self._exchanges: set[Exchange] = set()
        self._exchange_ended = asyncio.Event()
        self._latest_request_at = float("-inf")
        self._connections: set[HTTP1ServerConnection] = set()
        self._sockets: list[socket.socket] = []
        self._stop_accepting: list[Callable[[], None]] = []

    async def run(self) -> None:
        """Listen until cancelled; open connections are not closed then.

        :raises MustardgapError: MG2003, the address is in use.
        """
        self.open()
        try:
            await asyncio.Event().wait()
        finally:
            self._stop_listening()

    def open(self) -> None:
        """Start to listen.

        :raises MustardgapError: MG2003, the address is in use.
        """
        address = self.settings.address
        try:
            self._sockets = netutil.bind_sockets(self.settings.callers.port, address=address)
        except OSError as exc:
            place = f"{address}:{self.settings.callers.port} (callers.port)"
            raise MustardgapError(
                code=status_codes.ADDRESS_IN_USE, detail=exc.strerror or "", place=place
            ) from None
        for sock in self._sockets:
            limit_receive_window(sock)
            self._stop_accepting.append(netutil.add_accept_handler(sock, self._accept))
        self.port = self._sockets[0].getsockname()[1]
        self.timeline.add("callers.open", port=self.port)

    async def drain(self) -> None:
        """Stop without cutting off a request or a connection that is in use.

        First this host tells the balancer that it isn't ready and goes on serving, closing each
        connection after its answer, so that requests can go elsewhere. Time in which the process
        didn't run doesn't count: what came meanwhile is still unread, and would be refused. Within
        bounds, it also serves on while requests keep coming. Then it refuses new
        requests with the code for draining until all requests in flight have ended.
        """
        self.draining = True
        self.timeline.add("callers.draining", exchanges=len(self._exchanges))
        stop_s = self.settings.stop_timeout_s
        deadline = self.clock.monotonic() + stop_s
        began = self.clock.monotonic()
        while (left_s := self._linger_left_s(began)) > 0:
            await self.clock.sleep(left_s)
        self.refusing = True
        await self._wait_until_idle(deadline)
        await self.cut_off()
        self.timeline.add("callers.closed")

    def _linger_left_s(self, began: float) -> float:
        """For how much longer a host serves that has been stopping since a given time."""
        now = self.clock.monotonic()
        stop_s = self.settings.stop_timeout_s
        linger_s = min(self.settings.callers.linger_s, stop_s / 2)
        pause_s = self.timers.process_pause_s(began) if self.timers is not None else 0.0
        served_s = now - began - pause_s
        left_s = linger_s - served_s
        if served_s < linger_s * MAX_LINGER_FACTOR:
            left_s = max(left_s, self._latest_request_at + linger_s * QUIET_FRACTION - now)
        return min(left_s, began + stop_s / 2 - now)

    async def cut_off(self) -> None:
        """Answer requests in flight without waiting for outcomes, and close all connections."""
        self.draining = self.refusing = True
        for exchange in list(self._exchanges):
            exchange.cut_off()
        await self._wait_until_idle(self.clock.monotonic() + CUT_OFF_TIMEOUT_S)
        self.close()

    def close(self) -> None:
        """Close the port and all connections at once."""
        self._stop_listening()
        for connection in list(self._connections):
            connection.stream.close()

    def is_ready(self) -> bool:
        """Tell whether the balancer should send requests to this server."""
        return not self.draining and (self.readiness is None or self.readiness.ready)

    def note_request(self) -> None:
        """Note that a request has come that isn't one for this server's own pages."""
        self._latest_request_at = self.clock.monotonic()

    def refusal(self) -> NotRun | None:
        """Return why requests are refused now, None when they aren't."""
        if self.refusing:
            return NotRun(code=status_codes.DRAINING)
        if self.readiness is None or self.readiness.ready or self.readiness.stopping:
            return None
        return NotRun(code=status_codes.NOT_CURRENT, detail=self.readiness.reason)

    def register(self, exchange: Exchange) -> None:
        """Add an exchange that has begun."""
        self._exchanges.add(exchange)

    def unregister(self, exchange: Exchange) -> None:
        """Remove an exchange that has ended."""
        self._exchanges.discard(exchange)
        self._exchange_ended.set()

    def start_request(self, server_conn: object, request_conn: httputil.HTTPConnection) -> Exchange:
        """Create the delegate for the next request of a connection."""
        connection = cast(HTTP1ServerConnection, server_conn)
        exchange = Exchange(
            server=self,
            connection=cast(HTTP1Connection, request_conn),
            over_limit=len(self._connections) > self.settings.callers.max_connections,
        )
        stream = cast(_CallerStream, connection.stream)
        if stream.latest_exchange is not None:
            connection.params.header_timeout = self.settings.callers.idle_timeout_s
        stream.latest_exchange = exchange
        return exchange

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self._connections.discard(cast(HTTP1ServerConnection, server_conn))
        metrics.caller_connections.add(-1)

    def _accept(self, sock: socket.socket, address: Any) -> None:
        callers = self.settings.callers
        if len(self._connections) >= callers.max_connections * (1 + SPARE_CONNECTIONS_FRACTION):
            metrics.refused_connections.add(1, METRIC_LABELS)
            sock.close()
            return
        stream = _CallerStream(sock)
        stream.set_nodelay(True)
        parameters = HTTP1ConnectionParameters(
            max_header_size=callers.max_header_bytes,
            header_timeout=callers.header_timeout_s,
            # Checked by the exchange, which can send a refusal with a code.
            max_body_size=NO_LIMIT,
            body_timeout=callers.max_timeout_s,
        )
        connection = HTTP1ServerConnection(stream, parameters)
        self._connections.add(connection)
        metrics.caller_connections.add(1)
        connection.start_serving(self)

    async def _wait_until_idle(self, deadline: float) -> None:
        """Wait until no request is in flight and none waits unread.

        A connection that is closed with unread bytes is reset: a caller that has just sent a
        request would get no answer, although it could be told that the request wasn't run.
        """
        while self.clock.monotonic() < deadline:
            if self._exchanges:
                self._exchange_ended.clear()
                await self._wait_for_exchange_end(deadline - self.clock.monotonic())
            elif self._has_unread_input():
                await self.clock.sleep(UNREAD_POLL_INTERVAL_S)
            else:
                return

    def _has_unread_input(self) -> bool:
        if any(map(_has_pending_connection, self._sockets)):
            return True
        return any(_has_unread_bytes(connection.stream) for connection in self._connections)

    async def _wait_for_exchange_end(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange_ended.wait()
        except TimeoutError:
            pass

    def _stop_listening(self) -> None:
        for stop in self._stop_accepting:
            stop()
        self._stop_accepting.clear()
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()


def _has_pending_connection(sock: socket.socket) -> bool:
    """Tell whether a listening socket has a connection that isn't accepted yet."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def _has_unread_bytes(stream: iostream.IOStream) -> bool:
    """Tell whether a connection has received bytes that aren't read yet."""
    if stream.closed():
        return False
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        # Nothing has been received, or the connection is broken.
        return False


def _malformed_answer(request_id: str) -> bytes:
    outcome = NotRun(code=status_codes.BAD_REQUEST, detail="the request is not valid HTTP/1.1")
    answer = problems.answer(outcome, request_id=request_id)
    lines = [f"HTTP/1.1 {answer.status} {responses[answer.status]}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    lines += [f"Content-Length: {len(answer.body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + answer.body
