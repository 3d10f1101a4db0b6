"""Calls between daemons: one gRPC method that carries a call's name and its msgpack values."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
import msgspec

from . import cancellations, grpc_threads, unanswered
from .codecs import Undecodable, decode_msgpack
from .events import EventLog

SERVICE = "mustardgap.Owners"
METHOD = "Call"
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

# A connection counts as silent if no answer arrived on it while a call waited for so long. It is
# about 60 times an owner's usual reply time, and shorter than any call's timeout unless the
# caller's own time is nearly over.
SILENT_AFTER_S = 0.3

# How long calls in flight keep a retired channel open: longer than the longest call timeout.
RETIRED_GRACE_S = 2.0
# Status codes that gRPC itself sets on a call; any other code came from the peer.
LOCAL_STATUS_CODES = (
    grpc.StatusCode.DEADLINE_EXCEEDED,
    grpc.StatusCode.UNAVAILABLE,
    grpc.StatusCode.CANCELLED,
)

# How gRPC's error text begins if a call was assigned no connection.
NO_CONNECTION_PREFIX = "failed to connect to all addresses"

Handler = Callable[[Any], Awaitable[Any]]


class PeerUnreachable(Exception):
    """A call got no answer; ``sent`` tells whether it may have reached the peer.

    :param sent: False if the call certainly didn't reach the peer.
    """

    def __init__(self, *, sent: bool, detail: str) -> None:
        super().__init__(detail)
        self.sent = sent


class PeerServer:
    """Answers calls from other daemons.

    :param events: the process's event log.
    """

    def __init__(self, *, events: EventLog) -> None:
        self._events = events
        self._handlers_by_name: dict[str, Handler] = {}
        self._server: grpc.aio.Server | None = None

    def handle(self, name: str, handler: Handler) -> None:
        """Register the handler for calls of a name."""
        self._handlers_by_name[name] = handler

    async def start(self, address: str) -> None:
        """Listen on an address."""
        grpc_threads.keep_running()
        server = grpc.aio.server(options=OPTIONS)
        method = grpc.unary_unary_rpc_method_handler(self._answer)
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {METHOD: method}),)
        )
        server.add_insecure_port(address)
        await server.start()
        self._server = server

    async def stop(self) -> None:
        """Stop the server; calls in flight are cancelled after 0.1 s."""
        server, self._server = self._server, None
        if server is not None:
            # Only once: concurrent stops of a gRPC server have crashed the process.
            await server.stop(0.1)

    async def _answer(self, raw: bytes, context: grpc.aio.ServicerContext) -> bytes:
        try:
            name, values = decode_msgpack(raw, tuple[str, Any])
        except Undecodable as exc:
            self._events.note("call.invalid", vital=True, why=str(exc))
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "no call that can be read")
            raise AssertionError from None
        handler = self._handlers_by_name.get(name)
        if handler is None:
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, f"no call {name}")
            raise AssertionError
        try:
            return msgspec.msgpack.encode(await handler(values))
        except (Exception, asyncio.CancelledError) as exc:
            if isinstance(exc, asyncio.CancelledError) and cancellations.is_own():
                # The caller has cancelled the call, or this daemon is stopping.
                raise
            how = unanswered.failure_kind(exc).value
            self._events.note("call.unanswered", vital=True, call=name, how=how, why=repr(exc))
        # Without this, the call of a cancelled handler would get no answer until it times out, and
        # its caller would consider this daemon unreachable.
        await context.abort(grpc.StatusCode.INTERNAL, f"the handler of {name} gave no answer")
        raise AssertionError


class _Link:
    """The channel to one peer, and the time of the last answer on it."""

    def __init__(self, *, channel: grpc.aio.Channel) -> None:
        self.channel = channel
        self.last_answer_at = float("-inf")


class PeerClient:
    """Calls other daemons, over one channel for each."""

    def __init__(self) -> None:
        self._links_by_address: dict[str, _Link] = {}
        self._closing: set[asyncio.Task[None]] = set()

    async def call(self, address: str, name: str, values: Any, *, timeout_s: float) -> Any:
        """Call a peer.

        :param address: its ``ip:port``.
        :param name: the call's name.
        :param values: values that msgpack can encode.
        :raises PeerUnreachable: if the call got no answer.
        """
        link = self._link(address)
        method = link.channel.unary_unary(f"/{SERVICE}/{METHOD}")
        raw = msgspec.msgpack.encode((name, values))
        sent_at = asyncio.get_running_loop().time()
        try:
            answer = await method(raw, timeout=timeout_s)
        except grpc.aio.AioRpcError as exc:
            if exc.code() not in LOCAL_STATUS_CODES:
                link.last_answer_at = asyncio.get_running_loop().time()
            silent = timeout_s >= SILENT_AFTER_S and link.last_answer_at < sent_at
            if silent and exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._retire(address, link)
            # A call that finds no connection never leaves this host. When it counted as possibly
            # received, callers were told that their jobs' outcome is unknown, and couldn't retry:
            # 43 of 46 in the 2 s after the owner of a busy pool had lost power.
            unconnected = (exc.details() or "").startswith(NO_CONNECTION_PREFIX)
            raise PeerUnreachable(
                sent=not unconnected, detail=f"{exc.code().name}: {exc.details()}"
            ) from None
        except asyncio.CancelledError:
            # The channel was closed during the call. This task itself wasn't cancelled, and its
            # caller may retry the call.
            if cancellations.is_own():
                raise
            raise PeerUnreachable(sent=True, detail="the connection was given up") from None
        link.last_answer_at = asyncio.get_running_loop().time()
        try:
            return decode_msgpack(answer)
        except Undecodable as exc:
            raise PeerUnreachable(sent=True, detail=f"unreadable answer: {exc}") from None

    def _link(self, address: str) -> _Link:
        link = self._links_by_address.get(address)
        if link is None:
            link = _Link(channel=grpc.aio.insecure_channel(address, options=OPTIONS))
            self._links_by_address[address] = link
        return link

    def _retire(self, address: str, link: _Link) -> None:
        """Have later calls use a new channel, as no answer arrived on this one while a call waited.

        Either the connection is silent and a new one would work, or the peer is slow. Closing the
        channel at once would cancel the calls in flight on it, such as jobs that are about to be
        answered, so it stays open for longer than any call may wait.
        """
        if self._links_by_address.get(address) is not link:
            return
        del self._links_by_address[address]
        task = asyncio.ensure_future(link.channel.close(RETIRED_GRACE_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
