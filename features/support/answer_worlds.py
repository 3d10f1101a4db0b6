"""Two daemons in one process that handle callers' requests: HTTP, gRPC and the shard's owner."""

import asyncio
import contextvars
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any
from unittest.mock import patch

import grpc

from mustardgap.peer_calls import PeerUnreachable
from tools.fake_store import FakeStore

from .answer_daemons import SHARD, SHARDS, Daemon, Gate, WatchedServer
from .suspensions import Suspensions

HELD_CALL_TIMEOUT_S = 0.05
# Time that a daemon has for pending answers when it shuts down gracefully.
STOP_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.01
# Nothing here takes longer than a few calls of 1.5 s each, even on a busy machine.
WAIT_TIMEOUT_S = 20.0

# The world that the running task belongs to.
_world: contextvars.ContextVar["AnswerWorld | None"] = contextvars.ContextVar("world", default=None)


def track_tasks(loop: asyncio.AbstractEventLoop, coroutine: Any, **options: Any) -> Any:
    """Create a task and add it to the world that it belongs to; a loop's task factory."""
    task = asyncio.Task(coroutine, loop=loop, **options)
    context = options.get("context")
    world = context.get(_world) if context else _world.get()
    if world is not None:
        world.tasks.add(task)
    return task


def track_channels() -> Any:
    """Return a context in which each world records the channels that its daemons open."""
    insecure_channel = grpc.aio.insecure_channel

    def track(*args: Any, **kwargs: Any) -> grpc.aio.Channel:
        channel = insecure_channel(*args, **kwargs)
        world = _world.get()
        assert world is not None
        world.channels.append(channel)
        return channel

    return patch.object(grpc.aio, "insecure_channel", track)


async def until(condition: Callable[[], Any], description: str) -> None:
    """Wait until a condition is met."""
    end = asyncio.get_running_loop().time() + WAIT_TIMEOUT_S
    while not condition():
        assert (
            asyncio.get_running_loop().time() < end
        ), f"not within {WAIT_TIMEOUT_S} s: {description}"
        await asyncio.sleep(POLL_INTERVAL_S)


class AnswerWorld:
    """The owner of a queue and another daemon, with the faults that can hit them."""

    def __init__(self) -> None:
        _world.set(self)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.store = FakeStore(shards=SHARDS)
        self.gate = Gate()
        self.channels: list[grpc.aio.Channel] = []
        self.failures: list[str] = []
        self.owner = Daemon(name="e1", store=self.store, gate=self.gate)
        self.other = Daemon(name="e2", store=self.store, gate=self.gate)
        self.handling = 0
        self.handled = 0
        self.receiving = self.other
        self._background: list[asyncio.Task[Any]] = []

    @property
    def is_handled(self) -> bool:
        """Whether the handling of all requests is over."""
        return self.handled == self.handling

    async def start(self, *, at_owner: bool, front: Suspensions, handler: Suspensions) -> None:
        """Start all parts, and wait until the owner has its shard.

        :param at_owner: whether callers send their requests to the owner itself.
        :param front: counts the points of the receiving daemon's handling of HTTP requests.
        :param handler: counts the points of the owner's handling of other daemons' calls.
        """
        if at_owner:
            self.receiving = self.owner
        watched_server: Any = WatchedServer(server=self.owner.server, suspensions=handler)
        self.owner.gateway.serve(watched_server)
        self.other.gateway.serve(self.other.server)
        for daemon in (self.owner, self.other):
            await daemon.server.start(daemon.address)
        self.owner.join_owners()
        await until(lambda: self.owner.dispatcher, "the owner has its shard")
        watched = front.watch(self.receiving.front.jobs)

        async def answer(request: Any) -> Any:
            self.handling += 1
            try:
                return await watched(request)
            finally:
                self.handled += 1

        self.receiving.front.listen(f"127.0.0.1:{self.receiving.front_port}", answer)

    def record(self, key: str) -> bytes | None:
        """Return the newest record of a key in the store."""
        return self.store.shards[SHARD].values_by_key.get(key)

    async def settle(self) -> None:
        """Release all that was held, and wait until owners have written their pending records."""
        self.gate.open()
        for daemon in (self.owner, self.other):
            daemon.released.set()
        await until(self._is_settled, "all pending records are written")

    def _is_settled(self) -> bool:
        dispatchers = [*self.owner.dispatchers, *self.other.dispatchers]
        return all(dispatcher.log.durable or dispatcher.log.fenced for dispatcher in dispatchers)

    async def close(self) -> list[str]:
        """Stop all parts.

        :return: the tasks that are left open after that.
        """
        await self.receiving.front.stop(timeout_s=STOP_TIMEOUT_S)
        for channel in self.channels:
            await channel.close()
        for daemon in (self.other, self.owner):
            await daemon.close()
        await until(lambda: self.gate.under_way == 0, "no call of the store is under way")
        await asyncio.wait([*self._background, asyncio.ensure_future(asyncio.sleep(0))])
        return await self._open_tasks()

    async def _open_tasks(self) -> list[str]:
        end = asyncio.get_running_loop().time() + WAIT_TIMEOUT_S / 4
        while True:
            current = asyncio.current_task()
            left = [task for task in self.tasks if task is not current and not task.done()]
            if not left or asyncio.get_running_loop().time() > end:
                return [repr(task.get_coro()) for task in left]
            await asyncio.sleep(POLL_INTERVAL_S)

    # Faults of the resources that a request waits for.

    async def inject(self, fault: Callable[["AnswerWorld"], Awaitable[None]]) -> None:
        """Inject a fault; if that fails, the test is at fault, not the handling."""
        try:
            await fault(self)
        except Exception as exc:
            self.failures.append(f"the fault could not be injected: {exc!r}")

    async def end_another_call(self) -> None:
        """Let another call to the owner over the same client time out."""
        call = self.other.peers.call(
            self.owner.address, "held", None, timeout_s=HELD_CALL_TIMEOUT_S
        )
        # Another fault may have closed the channel for good.
        with suppress(PeerUnreachable, grpc.aio.UsageError):
            await call

    async def close_channels(self) -> None:
        """Close the channels between the daemons during their calls."""
        for channel in self.channels:
            await channel.close()

    async def give_up_shard(self) -> None:
        """Let the owner give up its shards, with no other daemon to take them."""
        await self.owner.owners.leave()

    async def move_shard(self) -> None:
        """Let the other daemon take the shards that the owner gives up."""
        self.other.join_owners()
        await self.owner.owners.leave()

    async def end_ownership(self) -> None:
        """Let a part of the ownership fail, which ends the ownership."""
        dispatcher = self.owner.dispatcher
        if dispatcher is not None:
            dispatcher.step_down()

    async def hold_store(self) -> None:
        """Hold calls before they reach the store."""
        self.gate.holds_calls = True

    async def hold_store_answers(self) -> None:
        """Let the store carry out calls, but hold its answers."""
        self.gate.holds_answers = True

    async def stop_server(self) -> None:
        """Stop answering calls at the owner, as when it shuts down."""
        await self.owner.stop_server()

    async def stop_front(self) -> None:
        """Stop the receiving daemon's front, as when it shuts down."""
        self._stop_front(STOP_TIMEOUT_S)

    async def stop_front_at_once(self) -> None:
        """Stop the receiving daemon's front without time to answer requests."""
        self._stop_front(0.0)

    def _stop_front(self, timeout_s: float) -> None:
        stopping = asyncio.ensure_future(self.receiving.front.stop(timeout_s=timeout_s))
        self._background.append(stopping)
