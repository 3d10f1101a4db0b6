"""Calls between daemons: one gRPC method that carries a named call with msgpack values."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
import msgspec

from .events import EventLog

SERVICE = "mustardgap.Owners"
METHOD = "Call"
# A call that got no answer closes its channel: the connection may have gone silent while a new one
# would work.
OPTIONS = [
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.max_send_message_length", 16 * 1024 * 1024),
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
]

# How gRPC's text begins when a call was given to no connection.
UNCONNECTED = "failed to connect to all addresses"

Handler = Callable[[Any], Awaitable[Any]]


class PeerUnreachable(Exception):
    """No answer came; ``sent`` tells whether the call may have reached the peer.

    :param sent: False when it certainly did not.
    """

    def __init__(self, *, sent: bool, detail: str) -> None:
        super().__init__(detail)
        self.sent = sent


class PeerServer:
    """Answers calls of other daemons.

    :param events: the process's log.
    """

    def __init__(self, *, events: EventLog) -> None:
        self._events = events
        self._handlers_by_name: dict[str, Handler] = {}
        self._server: grpc.aio.Server | None = None

    def handle(self, name: str, handler: Handler) -> None:
        """Answer calls of a name with a handler."""
        self._handlers_by_name[name] = handler

    async def start(self, address: str) -> None:
        """Listen on an address."""
        server = grpc.aio.server(options=OPTIONS)
        method = grpc.unary_unary_rpc_method_handler(self._answer)
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {METHOD: method}),)
        )
        server.add_insecure_port(address)
        await server.start()
        self._server = server

    async def stop(self) -> None:
        """End at once."""
        if self._server is not None:
            await self._server.stop(0.1)

    async def _answer(self, raw: bytes, context: grpc.aio.ServicerContext) -> bytes:
        name, values = msgspec.msgpack.decode(raw)
        handler = self._handlers_by_name.get(name)
        if handler is None:
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, f"no call {name}")
            raise AssertionError
        return msgspec.msgpack.encode(await handler(values))


class PeerClient:
    """Calls other daemons over one channel each."""

    def __init__(self) -> None:
        self._channels_by_address: dict[str, grpc.aio.Channel] = {}
        self._closing: set[asyncio.Task[None]] = set()

    async def call(self, address: str, name: str, values: Any, *, timeout_s: float) -> Any:
        """Call a peer.

        :param address: its ``ip:port``.
        :param name: the call's name.
        :param values: plain values.
        :raises PeerUnreachable: no answer came.
        """
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=OPTIONS)
            self._channels_by_address[address] = channel
        method = channel.unary_unary(f"/{SERVICE}/{METHOD}")
        raw = msgspec.msgpack.encode((name, values))
        try:
            return msgspec.msgpack.decode(await method(raw, timeout=timeout_s))
        except grpc.aio.AioRpcError as exc:
            if exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._drop(address, channel)
            # A call that finds no connection never leaves this host. Taken for one that may have
            # arrived, callers were told that nobody knows what became of their jobs, and couldn't
            # try again: 43 of 46 in the 2 s after a busy pool's owner had lost power.
            unconnected = (exc.details() or "").startswith(UNCONNECTED)
            raise PeerUnreachable(
                sent=not unconnected, detail=f"{exc.code().name}: {exc.details()}"
            ) from None
        except asyncio.CancelledError:
            # Another call's time was over, and closing its channel cancelled this one, too. Taken
            # for the end of this task, the caller that waits on it would get no answer at all.
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            raise PeerUnreachable(sent=True, detail="the connection was given up") from None

    def _drop(self, address: str, channel: grpc.aio.Channel) -> None:
        if self._channels_by_address.get(address) is channel:
            del self._channels_by_address[address]
        task = asyncio.ensure_future(channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
