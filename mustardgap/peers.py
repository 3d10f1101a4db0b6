"""gRPC streams between entry hosts: one for each pair, reopened when it breaks."""

import asyncio
import inspect
import random
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
from absl import logging

from . import cancellations, channels, status_codes
from .codecs import Undecodable
from .exceptions import MustardgapError
from .links import Link, Stream
from .members import Member, Members, MemberState, row_of
from .messages import (
    AnyMessage,
    Failed,
    Frame,
    Gossip,
    Hello,
    Item,
    decode,
    encode,
)
from .settings import Settings
from .timelines import Timeline
from .timers import Timers

METHOD = "Talk"
MIN_REDIAL_DELAY_S = 0.2
MAX_REDIAL_DELAY_S = 3.0
DEFERRED_DIAL_DELAY_S = 0.5
WATCH_INTERVAL_S = 0.25

Handler = Callable[[Member, Any], Awaitable[AnyMessage | None] | AnyMessage | None]


class PeerError(MustardgapError):
    """A peer can't be reached, reported a failure or didn't answer in time."""

    def __init__(self, **kwargs: str) -> None:
        super().__init__(code=status_codes.PEER_UNAVAILABLE, **kwargs)


class Peers:
    """Carries messages between this daemon and the other entry hosts.

    Streams to ``peers.fanout`` members are kept open; a stream to another member is opened when a
    message is queued for it, and closed when it has been idle for ``peers.idle_s``.

    :param members: the members.
    :param settings: the daemon's settings.
    :param timers: the timer service.
    :param timeline: the timeline that observes the peers' stamps.
    :param listen: the address to listen on, if peers connect to another one.
    """

    def __init__(
        self,
        *,
        members: Members,
        settings: Settings,
        timers: Timers,
        timeline: Timeline,
        listen: str = "",
    ) -> None:
        self.members = members
        self.settings = settings
        self.timers = timers
        self.timeline = timeline
        self.listen = listen or members.me.peers_address
        self.links_by_id: dict[str, Link] = {}
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_frames = 0
        self._handlers: dict[type, Handler] = {}
        self._open_callbacks: list[Callable[[Member], None]] = []
        self._pending_answers: dict[int, tuple[str, asyncio.Future[AnyMessage]]] = {}
        self._last_request = 0
        self._last_stream = 0
        self._tasks_by_id: dict[str, asyncio.Task[None]] = {}
        self._dials_by_address: dict[str, asyncio.Task[None]] = {}
        self._seeds: set[str] = set(settings.peers.seeds)
        self._background: set[asyncio.Future[Any]] = set()
        timers.on_gap(self._on_gap)

    def handle(self, type_: type, handler: Handler) -> None:
        """Register the handler for messages of a type; its result is the answer to a call.

        A plain function runs at once, so messages stay in order; a coroutine function runs in a
        task of its own.
        """
        self._handlers[type_] = handler

    def on_open(self, callback: Callable[[Member], None]) -> None:
        """Register a callback for each opened stream to a member."""
        self._open_callbacks.append(callback)

    def send(self, member_id: str, message: AnyMessage) -> bool:
        """Queue a message to a member.

        :return: False if it was dropped because the queue is full or the member is unknown.
        """
        return self._queue(member_id, Item(0, message))

    def broadcast(self, message: AnyMessage) -> None:
        """Queue a message to every other member."""
        for m in self.members.peers():
            self.send(m.id, message)

    async def call(self, member_id: str, message: AnyMessage, *, timeout_s: float = 2.0) -> Any:
        """Send a message and wait for its answer.

        :param timeout_s: seconds to wait.
        :raises PeerError: MG5005; the peer may have processed the message.
        """
        self._last_request += 1
        request = self._last_request
        future: asyncio.Future[AnyMessage] = asyncio.get_running_loop().create_future()
        self._pending_answers[request] = (member_id, future)
        try:
            if not self._queue(member_id, Item(request, message)):
                raise PeerError(detail="not a member, or its queue is full", place=member_id)
            answer = await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            raise PeerError(detail=f"no answer within {timeout_s} s", place=member_id) from None
        finally:
            self._pending_answers.pop(request, None)
        if isinstance(answer, Failed):
            raise PeerError(detail=answer.detail, place=member_id)
        return answer

    def set_seeds(self, addresses: set[str], *, with_configured: bool = False) -> None:
        """Replace the addresses to probe for entry hosts.

        :param with_configured: whether to probe the seeds of the settings as well.
        """
        self._seeds = {*self.settings.peers.seeds, *addresses} if with_configured else addresses

    def connected(self) -> list[str]:
        """Return the ids of the members with an open stream."""
        return [i for i, link in self.links_by_id.items() if link.stream is not None]

    async def run(self) -> None:
        """Listen and keep the streams open until cancelled."""
        server = await channels.make_server(
            self.listen, self.settings.peers, {METHOD: self._accept}
        )
        await server.start()
        stop_heartbeat = self.timers.subscribe(
            "peers.beat", self._heartbeat_interval_s(), self._heartbeat
        )
        try:
            while True:
                self._watch()
                await asyncio.sleep(WATCH_INTERVAL_S)
        finally:
            stop_heartbeat()
            tasks = [*self._tasks_by_id.values(), *self._dials_by_address.values()]
            for task in tasks:
                task.cancel()
            for link in self.links_by_id.values():
                link.close()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._tasks_by_id.clear()
            self._dials_by_address.clear()
            await server.stop(0.2)

    def _watch(self) -> None:
        """Start a task for each peer that needs a stream, and end the tasks of the others."""
        _drop_ended(self._tasks_by_id)
        _drop_ended(self._dials_by_address)
        needed = self._needed_member_ids()
        for member_id in needed - self._tasks_by_id.keys():
            task = asyncio.create_task(self._keep_connected(member_id), name=f"peer:{member_id}")
            self._tasks_by_id[member_id] = task
        for member_id in self._tasks_by_id.keys() - needed:
            self._tasks_by_id.pop(member_id).cancel()
        for member_id, link in list(self.links_by_id.items()):
            gone = member_id not in self.members.by_id
            if gone or (member_id not in needed and link.idle_for() > self.settings.peers.idle_s):
                link.close()
                del self.links_by_id[member_id]
        known = {m.peers_address for m in self.members.by_id.values() if not _is_dead(m)}
        for address in (
            self._seeds - known - {self.members.me.peers_address} - self._dials_by_address.keys()
        ):
            task = asyncio.create_task(self._probe(address), name=f"probe:{address}")
            self._dials_by_address[address] = task

    def _needed_member_ids(self) -> set[str]:
        me = self.members.me.id
        alive = [m.id for m in self.members.peers()]
        ranked = [i for i in self.members.ranked(f"peers/{me}") if i != me]
        needed = set(ranked[: self.settings.peers.fanout])
        for member_id in alive:
            link = self.links_by_id.get(member_id)
            if link is not None and (link.items or link.idle_for() < self.settings.peers.idle_s):
                needed.add(member_id)
            if self.members.by_id[member_id].state is MemberState.suspect:
                needed.add(member_id)
        return needed & set(alive)

    async def _keep_connected(self, member_id: str) -> None:
        """Keep a stream to a member open; the member with the lower id dials first."""
        backoff = MIN_REDIAL_DELAY_S
        link = self._link(member_id)
        while (m := self.members.by_id.get(member_id)) is not None and not _is_dead(m):
            if link.stream is not None:
                await link.stream.closed.wait()
                backoff = MIN_REDIAL_DELAY_S
            if self.members.me.id > member_id:
                await asyncio.sleep(DEFERRED_DIAL_DELAY_S)
                if link.stream is not None:
                    continue
            if not await self._dial(m.peers_address, member_id) and link.stream is None:
                link.record_failure()
                if link.failing_for() > self.settings.peers.suspect_s:
                    self.members.suspect(member_id)
            await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
            backoff = min(backoff * 2, MAX_REDIAL_DELAY_S)

    async def _probe(self, address: str) -> None:
        backoff = MIN_REDIAL_DELAY_S
        while address in self._seeds and not self._is_member_address(address):
            await self._dial(address, "")
            await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
            backoff = min(backoff * 2, MAX_REDIAL_DELAY_S)
        self._dials_by_address.pop(address, None)

    def _is_member_address(self, address: str) -> bool:
        return any(
            m.peers_address == address and not _is_dead(m) for m in self.members.by_id.values()
        )

    async def _dial(self, address: str, member_id: str) -> bool:
        """Open a stream and exchange frames on it until it ends.

        :return: whether it was opened.
        """
        try:
            return await self._open(address, member_id)
        except (TimeoutError, grpc.RpcError, grpc.aio.UsageError, Undecodable) as exc:
            logging.debug("failed to open a stream to %s: %s", address, exc)
        except (Exception, asyncio.CancelledError):
            # For example, a certificate is just being replaced, or gRPC has cancelled the call. If
            # this ended the dialling task, the peer would never be dialled again.
            if cancellations.is_own():
                raise
            logging.warning("failed to open a stream to %s", address, exc_info=True)
        return False

    async def _open(self, address: str, member_id: str) -> bool:
        channel = channels.open_channel(address, self.settings.peers)
        self._last_stream += 1
        number = self._last_stream
        try:
            call = channel.stream_stream(f"/{channels.SERVICE}/{METHOD}")()
            async with asyncio.timeout(self.settings.peers.connect_timeout_s):
                await call.write(self._hello(number))
                hello = _hello_of(await call.read())
            stream = Stream(call=call, dialer=self.members.me.id, number=number)
            return await self._exchange_frames(hello, stream, member_id)
        finally:
            await channel.close()

    async def _accept(self, _requests: Any, context: Any) -> None:
        try:
            async with asyncio.timeout(self.settings.peers.connect_timeout_s):
                hello = _hello_of(await context.read())
                await context.write(self._hello(hello.stream))
        except (TimeoutError, Undecodable):
            return
        dialer_id = f"{hello.me.host}@{hello.me.incarnation:x}"
        stream = Stream(call=context, dialer=dialer_id, number=hello.stream)
        await self._exchange_frames(hello, stream, "")

    async def _exchange_frames(self, hello: Hello, stream: Stream, expected: str) -> bool:
        member_id = f"{hello.me.host}@{hello.me.incarnation:x}"
        self.members.apply_row(hello.me)
        if member_id not in self.members.by_id or member_id == self.members.me.id:
            return False
        link = self._link(member_id)
        replaced = link.stream
        if link.attach(stream, self._heartbeat_interval_s() * 1.5):
            logging.info("using stream %s to %s in place of %s", stream, member_id, replaced)
            for callback in self._open_callbacks:
                callback(self.members.by_id[member_id])
        else:
            logging.info("not using stream %s to %s beside %s", stream, member_id, link.stream)
        transfers = asyncio.gather(self._read(link, stream), self._write(link, stream))
        closed = asyncio.create_task(stream.closed.wait())
        tasks = (transfers, closed)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            link.detach(stream)
            # A message that is lost with its stream shows as a difference between the two ends.
            logging.info(
                *("stream %s to %s has ended: %d messages written, %d read", stream, member_id),
                *(stream.items_written, stream.items_read),
            )
        return not expected or expected == member_id

    async def _read(self, link: Link, stream: Stream) -> None:
        """Read until the other end has ended the stream."""
        while True:
            data = await stream.call.read()
            if data is grpc.aio.EOF:
                link.retire(stream)
                return
            self.received_bytes += len(data)
            frame = decode(data)
            stream.record_read(len(frame.items))
            self.members.record_contact(link.member_id)
            self.timeline.witness(frame.stamp)
            for item in frame.items:
                self._dispatch(link.member_id, item)
            if frame.last:
                link.retire(stream)

    async def _write(self, link: Link, stream: Stream) -> None:
        """Write what is queued until the stream is retired, and tell the other end of that."""
        while True:
            await stream.wake.wait()
            if stream.retired_at is not None:
                break
            stream.wake.clear()
            await self._write_frame(stream, link.next_items())
            if link.items:
                stream.wake.set()
        await self._write_frame(stream, [], last=True)
        if stream.dialer == self.members.me.id:
            # Only a dialer can end its direction of a gRPC stream and go on reading; an acceptor's
            # direction ends when its handler returns, once it has read all that the dialer wrote.
            await stream.call.done_writing()

    async def _write_frame(self, stream: Stream, items: list[Item], *, last: bool = False) -> None:
        data = encode(Frame(self.timeline.stamp, items, last))
        self.sent_bytes += len(data)
        self.sent_frames += 1
        stream.record_write(len(items))
        await stream.call.write(data)

    def _dispatch(self, member_id: str, item: Item) -> None:
        m = self.members.by_id.get(member_id)
        if m is None or (_is_dead(m) and not isinstance(item.body, Gossip)):
            # A member that was declared dead may have resumed; gossip must tell it so first.
            return
        if item.request < 0:
            called_id, future = self._pending_answers.get(-item.request, ("", None))
            if future is not None and called_id == member_id and not future.done():
                future.set_result(item.body)
            return
        handler = self._handlers.get(type(item.body))
        if handler is None:
            self._answer(member_id, item.request, Failed(f"no {type(item.body).__name__} here"))
            return
        try:
            result = handler(m, item.body)
        except (Exception, asyncio.CancelledError) as exc:
            # Includes cancellations: this function never awaits, so one isn't this task's own but
            # comes from a result that the handler has read, and would end the stream.
            result = _failed(type(item.body).__name__, exc)
        if inspect.isawaitable(result):
            self._spawn(self._answer_when_done(member_id, item.request, result))
        else:
            self._answer(member_id, item.request, result)

    async def _answer_when_done(self, member_id: str, request: int, result: Awaitable[Any]) -> None:
        try:
            answer = await result
        except (Exception, asyncio.CancelledError) as exc:
            # Includes a cancellation of this task or of what it awaits: the peer, and a caller's
            # request with it, would otherwise wait for the full timeout.
            answer = _failed(f"call of {member_id}", exc)
        self._answer(member_id, request, answer)

    def _answer(self, member_id: str, request: int, answer: Any) -> None:
        if request > 0:
            self._queue(member_id, Item(-request, answer if answer is not None else Failed("")))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _queue(self, member_id: str, item: Item) -> bool:
        if member_id not in self.members.by_id or member_id == self.members.me.id:
            return False
        return self._link(member_id).put(item, self.settings.peers.max_queued)

    def _link(self, member_id: str) -> Link:
        link = self.links_by_id.get(member_id)
        if link is None:
            link = self.links_by_id[member_id] = Link(member_id=member_id, clock=self.timers.clock)
        return link

    def _hello(self, stream: int) -> bytes:
        hello = Hello(row_of(self.members.me), stream=stream)
        return encode(Frame(self.timeline.stamp, [Item(0, hello)]))

    def _heartbeat_interval_s(self) -> float:
        return min(self.settings.peers.heartbeat_s, self.settings.peers.suspect_s / 2)

    def _heartbeat(self) -> None:
        """Close silent streams and send an empty frame on those without recent writes.

        A stream whose network path was lost stays open forever and loses what is sent. As the peer
        sends heartbeats, silence shows the loss, and a new stream uses a new connection.
        """
        for link in list(self.links_by_id.values()):
            link.close_overdue(self.settings.peers.suspect_s)
            stream = link.stream
            if stream is None:
                continue
            if stream.silent_for() > self.settings.peers.suspect_s:
                logging.info("closing the silent stream to %s", link.member_id)
                link.close()
                self.members.suspect(link.member_id)
            elif stream.unwritten_for() > self._heartbeat_interval_s() * 0.9:
                link.wake_writer()

    def _on_gap(self, lost_s: float) -> None:
        """Close all streams after a pause: messages received on them may be out of date."""
        for link in self.links_by_id.values():
            link.close()


def _failed(what: str, exc: BaseException) -> Failed:
    """Log the failure of a call's handler and return the answer to the call."""
    logging.error("%s failed", what, exc_info=exc)
    return Failed(f"{type(exc).__name__}: {exc}")


def _drop_ended(tasks_by_key: dict[str, asyncio.Task[None]]) -> None:
    """Remove the ended tasks, so that those still needed are restarted; log their failures."""
    for key, task in list(tasks_by_key.items()):
        if not task.done():
            continue
        del tasks_by_key[key]
        if task.cancelled():
            logging.error("%s was cancelled", task.get_name())
        elif (exc := task.exception()) is not None:
            logging.error("%s failed", task.get_name(), exc_info=exc)


def _is_dead(m: Member) -> bool:
    return m.state is MemberState.dead


def _hello_of(data: Any) -> Hello:
    if data is grpc.aio.EOF:
        raise Undecodable("the stream ended before its Hello message")
    items = decode(data).items
    if not items or not isinstance(items[0].body, Hello):
        raise Undecodable("the stream doesn't start with a Hello message")
    return items[0].body
