"""An HTTP/1.1 server for clients that nobody vouches for.

What clients send is bounded, each request by itself and all of them together; a request beyond the
bounds is refused, and its connection ends.
"""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from tornado import netutil

from .client_bounds import ClientBounds, Refusal, RequestLimits, SharedLimits
from .server_connections import Answer, Request, ServerConnection
from .timers import Timers

# What the kernel holds for a connection that isn't read while its request is handled.
RECEIVE_WINDOW_BYTES = 32 * 1024
BACKLOG = 128
SWEEP_INTERVAL_S = 0.5
CLOSE_TIMEOUT_S = 0.2


def limit_receive_window(sock: socket.socket) -> None:
    """Bound what the kernel takes for each connection that a listening socket accepts."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_WINDOW_BYTES)


class HttpServer:
    """Listens on one address and bounds what its clients may send.

    :param name: of the port, for metrics.
    :param handle: begins to handle a request; it must not raise.
    :param refuse: makes the answer to a request that is refused.
    :param limits: reads the bounds on one request that are in force.
    :param shared: the bounds on all clients together.
    """

    def __init__(
        self,
        *,
        name: str,
        handle: Callable[[Request], None],
        refuse: Callable[[Refusal], Answer],
        limits: Callable[[], RequestLimits],
        shared: SharedLimits,
    ) -> None:
        self.labels = {"port": name}
        self.handle = handle
        self.refuse = refuse
        self.limits = limits
        self.connections: dict[ServerConnection, None] = {}
        self.bounds = ClientBounds(limits=shared, now=self.now)
        self._sockets: list[socket.socket] = []
        self._servers: list[asyncio.Server] = []
        self._listening: list[asyncio.Task[None]] = []
        self._timers = Timers()
        self._end_sweeps: Callable[[], None] | None = None
        self._all_closed = asyncio.Event()

    def now(self) -> float:
        """Return monotonic seconds."""
        return asyncio.get_running_loop().time()

    def listen(self, ip: str, port: int) -> None:
        """Begin to accept connections.

        :raises OSError: the address is in use.
        """
        self._sockets = netutil.bind_sockets(port, address=ip, backlog=BACKLOG)
        for sock in self._sockets:
            limit_receive_window(sock)
            self._listening.append(asyncio.create_task(self._accept(sock)))
        self._end_sweeps = self._timers.subscribe("sweep", SWEEP_INTERVAL_S, self._sweep)

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: ServerConnection(server=self), sock=sock, backlog=BACKLOG
        )
        self._servers.append(server)

    def refusal_labels(self, refusal: Refusal) -> dict[str, str | int]:
        """Return the metric's labels for a refused request."""
        return {**self.labels, "mustardgap.code": refusal.code.number}

    def forget(self, connection: ServerConnection) -> None:
        """Note that a connection has ended."""
        self.connections.pop(connection, None)
        if not self.connections:
            self._all_closed.set()

    def stop(self) -> None:
        """Accept no more connections."""
        for task in self._listening:
            task.cancel()
        for server in self._servers:
            server.close()
        for sock in self._sockets:
            sock.close()

    def close_idle(self) -> None:
        """End the connections on which no request waits for its answer."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    async def close_all(self) -> None:
        """End all connections; answers that have been written are sent first, for a short time."""
        if self._end_sweeps is not None:
            self._end_sweeps()
            self._end_sweeps = None
        for connection in list(self.connections):
            connection.close()
        await self._wait_until_closed()
        for connection in list(self.connections):
            connection.abort()

    async def _wait_until_closed(self) -> None:
        if not self.connections:
            return
        self._all_closed.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._all_closed.wait()

    def _sweep(self) -> None:
        now = self.now()
        for connection in list(self.connections):
            connection.sweep(now)
