"""The callers' side of the load: a balancer over entry hosts with kept connections."""

import asyncio
import hashlib
from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

CHECK_S = 0.5
CHECK_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
READY_PATH = "/-/ready"
MAX_BODY_BYTES = 64 * 1024 * 1024
_PARAMETERS = HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)


class Exchange(NamedTuple):
    """What came back for one request; ``status`` is 0 when no answer began.

    ``whole`` says that the answer was framed and came to its end.
    """

    entry: str
    status: int
    headers: HTTPHeaders
    size: int
    digest: str
    head: bytes
    whole: bool
    error: str


class Unreached(Exception):
    """No entry host took the connection, so nothing was sent."""


class _Answer(HTTPMessageDelegate):
    """Takes one answer in; keeps its digest and only the first bytes."""

    HEAD_BYTES = 4096

    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.size = 0
        self.head = b""
        self.ended = False
        self._hash = hashlib.sha256()

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.size += len(chunk)
        self._hash.update(chunk)
        if len(self.head) < self.HEAD_BYTES:
            self.head += chunk[: self.HEAD_BYTES - len(self.head)]

    def finish(self) -> None:
        self.ended = True

    def exchange(self, entry: str, error: str) -> Exchange:
        """What has come so far."""
        framed = "Content-Length" in self.headers or "Transfer-Encoding" in self.headers
        return Exchange(
            entry=entry,
            status=self.status,
            headers=self.headers,
            size=self.size,
            digest=self._hash.hexdigest(),
            head=self.head,
            whole=self.ended and (framed or self.status in (204, 304)),
            error=error,
        )


class Pool:
    """Kept connections to one address; the one used last is taken first."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self._idle: deque[IOStream] = deque()
        self._client = TCPClient()

    async def take(self) -> IOStream:
        """Take an idle connection or open one.

        :raises OSError: it can't be opened; nothing was sent.
        """
        while self._idle:
            stream = self._idle.pop()
            if not stream.closed():
                return stream
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            stream = await self._client.connect(host, int(port))
        stream.set_nodelay(True)
        return stream

    def give_back(self, stream: IOStream) -> None:
        """Keep a connection for the next request."""
        if not stream.closed():
            # Without a close callback an idle stream isn't watched, and a close by the other
            # end would be seen only by the next request, as a broken answer.
            stream.set_close_callback(_ignore)
            self._idle.append(stream)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()


def _ignore() -> None:
    """Take no note of a close."""


async def exchange(
    pool: Pool,
    *,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float,
) -> Exchange:
    """Send one request over one connection and wait for its answer.

    :raises OSError: no connection could be opened; nothing was sent.
    """
    stream = await pool.take()
    answer = _Answer()
    try:
        async with asyncio.timeout(timeout_s):
            await _talk(stream, answer, pool.address, method, path, headers, body)
    except TimeoutError:
        stream.close()
        return answer.exchange(pool.address, "timeout")
    except (StreamClosedError, OSError) as exc:
        stream.close()
        return answer.exchange(pool.address, f"broken: {exc.__class__.__name__}")
    except asyncio.CancelledError:
        stream.close()
        raise
    if not answer.ended:
        stream.close()
        return answer.exchange(pool.address, "broken: answer cut short")
    if answer.headers.get("Connection", "").lower() == "close":
        stream.close()
    else:
        pool.give_back(stream)
    return answer.exchange(pool.address, "")


async def _talk(
    stream: IOStream,
    answer: _Answer,
    host: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> None:
    connection = HTTP1Connection(stream, True, _PARAMETERS)
    wire_headers = HTTPHeaders({"Host": host, "Content-Length": str(len(body)), **headers})
    if not body and method in ("GET", "DELETE"):
        del wire_headers["Content-Length"]
    sent = connection.write_headers(RequestStartLine(method, path, ""), wire_headers, body)
    connection.finish()
    await sent
    await connection.read_response(answer)


class Balancer:
    """Spreads requests in turn over the entry hosts that say they are ready.

    As the platform's balancer does, it asks each entry host every half second, and tries the next
    one only when a connection was refused, that is when certainly nothing was sent.

    :param entries: ``ip:port`` of each entry host's callers' port.
    """

    def __init__(self, *, entries: list[str]) -> None:
        self.entries = entries
        self.pools_by_entry = {entry: Pool(address=entry) for entry in entries}
        self.ready: list[str] = []
        self.changes: list[tuple[float, str, bool]] = []
        self._turn = 0

    async def run(self) -> None:
        """Ask the entry hosts until cancelled."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_S)

    async def check(self) -> None:
        """Ask every entry host once whether it is ready."""
        answers = await asyncio.gather(*(self._is_ready(entry) for entry in self.entries))
        for entry, is_ready in zip(self.entries, answers, strict=True):
            if is_ready != (entry in self.ready):
                self.changes.append((asyncio.get_running_loop().time(), entry, is_ready))
        self.ready = [e for e, is_ready in zip(self.entries, answers, strict=True) if is_ready]

    async def wait_ready(self, count: int, *, timeout_s: float) -> None:
        """Wait until that many entry hosts are ready.

        :raises TimeoutError: they weren't in time.
        """
        async with asyncio.timeout(timeout_s):
            while len(self.ready) < count:
                await self.check()
                await asyncio.sleep(0.05)

    async def _is_ready(self, entry: str) -> bool:
        # A connection of its own: one that is kept could have gone silent.
        pool = Pool(address=entry)
        try:
            resp = await exchange(
                pool, method="GET", path=READY_PATH, headers={}, timeout_s=CHECK_TIMEOUT_S
            )
        except OSError:
            return False
        finally:
            pool.close()
        return resp.status == 200

    async def send(self, *, entry: str = "", **kwargs: Any) -> Exchange:
        """Send a request through the next entry host, or the one named.

        :param entry: the only entry host to use, "" for the next in turn.
        :raises Unreached: no entry host took the connection.
        """
        for candidate in [entry] if entry else list(self._candidates()):
            try:
                return await exchange(self.pools_by_entry[candidate], **kwargs)
            except OSError:
                continue
        raise Unreached

    def _candidates(self) -> Iterator[str]:
        ready = self.ready or self.entries
        self._turn += 1
        for i in range(len(ready)):
            yield ready[(self._turn + i) % len(ready)]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self.pools_by_entry.values():
            pool.close()
