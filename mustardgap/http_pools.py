"""HTTP/1.1 calls over pooled connections, with time limits."""

import asyncio
import re
import time
from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass

from .http_connections import ConnectionEnded, HttpConnection, RawAnswer
from .ports import NoAnswer

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

_UNSENDABLE = re.compile("[^\t\x20-\x7e\x80-\xff]")


@dataclass(frozen=True, kw_only=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    body: bytes


class HttpPool:
    """Sends requests over pooled connections; a connection carries one request at a time.

    A call that times out closes its connection: a late answer must not be mistaken for the answer
    to the next request, and on a broken connection each later call would fail.
    """

    def __init__(self) -> None:
        self._idle_by_address: dict[str, deque[HttpConnection]] = defaultdict(deque)
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
        try:
            raw = _encode(address, method, target, body, headers or {})
        except ValueError as exc:
            return NoAnswer(sent=False, detail=f"a request that can't be sent: {exc}")
        loop = asyncio.get_running_loop()
        began = loop.time()
        connection = self._take_idle(address)
        if connection is None:
            opened = await self._open(address, min(CONNECT_TIMEOUT_S, timeout_s))
            if isinstance(opened, NoAnswer):
                return opened
            connection = opened
        exchange = _Exchange(connection=connection, loop=loop, began=began, timeout_s=timeout_s)
        try:
            answer = await exchange.run(raw)
        except TimeoutError:
            return NoAnswer(sent=True, detail="no answer in time")
        except ConnectionEnded as exc:
            return NoAnswer(sent=True, detail=str(exc), closed=exc.closed)
        self._put_back(address, connection)
        return answer

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.abort()
        self._idle_by_address.clear()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, for example after a timeout on one."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.abort()

    def _take_idle(self, address: str) -> HttpConnection | None:
        idle = self._idle_by_address[address]
        min_idle_since = time.monotonic() - MAX_IDLE_S
        while idle:
            connection = idle.pop()
            if connection.idle_since >= min_idle_since and connection.is_open:
                return connection
            connection.abort()
        return None

    def _put_back(self, address: str, connection: HttpConnection) -> None:
        idle = self._idle_by_address[address]
        if not connection.is_open or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        connection.idle_since = time.monotonic()
        idle.append(connection)

    async def _open(self, address: str, timeout_s: float) -> HttpConnection | NoAnswer:
        host, _, port = address.rpartition(":")
        self.opened += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(HttpConnection, host, int(port))
        except TimeoutError:
            return NoAnswer(sent=False, detail="no answer in time")
        except OSError as exc:
            closed = isinstance(exc, ConnectionError)
            return NoAnswer(sent=False, detail=f"{type(exc).__name__}: {exc}", closed=closed)
        return connection


class _Exchange:
    """One request and its answer on a connection.

    :param connection: the connection, which is closed unless the answer arrives.
    :param loop: the event loop.
    :param began: when the call began, by the loop's clock.
    :param timeout_s: timeout for the first part of the answer.
    """

    def __init__(
        self,
        *,
        connection: HttpConnection,
        loop: asyncio.AbstractEventLoop,
        began: float,
        timeout_s: float,
    ) -> None:
        self._connection = connection
        self._loop = loop
        self._latest_end = began + max(timeout_s, MAX_ANSWER_S)
        self._ends_at = began + timeout_s
        self._outcome: asyncio.Future[RawAnswer] | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def run(self, raw: bytes) -> HttpAnswer:
        """Send the request and wait for the answer.

        :raises TimeoutError: if it doesn't arrive in time.
        :raises ConnectionEnded: if the connection ends before it has arrived.
        """
        self._outcome = self._connection.request(raw, self._extend)
        self._timer = self._loop.call_at(self._ends_at, self._expire)
        try:
            answer = await self._outcome
        except BaseException:
            self._connection.abort()
            raise
        finally:
            self._timer.cancel()
        return HttpAnswer(status=answer.status, body=b"".join(answer.chunks))

    def _extend(self) -> None:
        """Extend the time, as a part of the answer has arrived."""
        # Most answers are complete well before the timeout, and need no later one.
        self._ends_at = max(
            self._ends_at, min(self._loop.time() + PROGRESS_TIMEOUT_S, self._latest_end)
        )

    def _expire(self) -> None:
        assert self._outcome is not None
        if self._loop.time() < self._ends_at:
            self._timer = self._loop.call_at(self._ends_at, self._expire)
        elif not self._outcome.done():
            self._outcome.set_exception(TimeoutError())


def _encode(
    address: str, method: str, target: str, body: bytes | None, headers: Mapping[str, str]
) -> bytes:
    """Encode a request.

    :raises ValueError: something in it can't stand in a head.
    """
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    if any(_UNSENDABLE.search(line) for line in lines):
        raise ValueError("control characters, or others than Latin-1")
    return "\r\n".join((*lines, "\r\n")).encode("latin-1") + (body or b"")
