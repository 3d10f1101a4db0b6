"""Calls between daemons: one gRPC method that carries a named call with msgpack values."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
import msgspec

from . import cancellations, unanswered
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

# A connection on which nothing came for so long while a call waited counts as silent: some 60 times
# an owner's usual answer, and less than any call waits but one whose caller's time is nearly over.
SILENT_AFTER_S = 0.3

# How long the calls under way keep a retired channel: the longest time of a call, and some.
RETIRED_GRACE_S = 2.0
# Codes that gRPC itself gives a call; any other came from the peer.
LOCAL_STATUS_CODES = (
    grpc.StatusCode.DEADLINE_EXCEEDED,
    grpc.StatusCode.UNAVAILABLE,
    grpc.StatusCode.CANCELLED,
)

# How gRPC's text begins when a call was given to no connection.
NO_CONNECTION_PREFIX = "failed to connect to all addresses"

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

    :param events: the process's event log.
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
        server, self._server = self._server, None
        if server is not None:
            # Once only: two stops of gRPC's server at a time have ended the process.
            await server.stop(0.1)

    async def _answer(self, raw: bytes, context: grpc.aio.ServicerContext) -> bytes:
        name, values = msgspec.msgpack.decode(raw)
        handler = self._handlers_by_name.get(name)
        if handler is None:
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, f"no call {name}")
            raise AssertionError
        try:
            return msgspec.msgpack.encode(await handler(values))
        except (Exception, asyncio.CancelledError) as exc:
            if isinstance(exc, asyncio.CancelledError) and cancellations.is_own():
                # The caller has given the call up, or this daemon ends.
                raise
            how = unanswered.ending_of(exc).value
            self._events.note("call.unanswered", vital=True, call=name, how=how, why=repr(exc))
        # A cancelled handler would leave the call silent until its time is over, and its caller
        # would take this daemon for one that is gone.
        await context.abort(grpc.StatusCode.INTERNAL, f"the handler of {name} gave no answer")
        raise AssertionError


class _Link:
    """The channel to one peer, and when an answer last came on it."""

    def __init__(self, *, channel: grpc.aio.Channel) -> None:
        self.channel = channel
        self.last_answer_at = float("-inf")


class PeerClient:
    """Calls other daemons over one channel each."""

    def __init__(self) -> None:
        self._links_by_address: dict[str, _Link] = {}
        self._closing: set[asyncio.Task[None]] = set()

    async def call(self, address: str, name: str, values: Any, *, timeout_s: float) -> Any:
        """Call a peer.

        :param address: its ``ip:port``.
        :param name: the call's name.
        :param values: plain values.
        :raises PeerUnreachable: no answer came.
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
            # A call that finds no connection never leaves this host. Taken for one that may have
            # arrived, callers were told that nobody knows what became of their jobs, and couldn't
            # try again: 43 of 46 in the 2 s after a busy pool's owner had lost power.
            unconnected = (exc.details() or "").startswith(NO_CONNECTION_PREFIX)
            raise PeerUnreachable(
                sent=not unconnected, detail=f"{exc.code().name}: {exc.details()}"
            ) from None
        except asyncio.CancelledError:
            # The channel was closed under the call. That isn't the end of this task: whoever waits
            # for it may put the call again.
            if cancellations.is_own():
                raise
            raise PeerUnreachable(sent=True, detail="the connection was given up") from None
        link.last_answer_at = asyncio.get_running_loop().time()
        return msgspec.msgpack.decode(answer)

    def _link(self, address: str) -> _Link:
        link = self._links_by_address.get(address)
        if link is None:
            link = _Link(channel=grpc.aio.insecure_channel(address, options=OPTIONS))
            self._links_by_address[address] = link
        return link

    def _retire(self, address: str, link: _Link) -> None:
        """Have later calls use a new channel, as nothing came on this one while a call waited.

        The connection may have gone silent while a new one would work, or the peer may be slow.
        Closed at once, the channel would cancel the calls that are under way on it, such as jobs
        whose answers are due. So these keep it for as long as any call may wait.
        """
        if self._links_by_address.get(address) is not link:
            return
        del self._links_by_address[address]
        task = asyncio.ensure_future(link.channel.close(RETIRED_GRACE_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
