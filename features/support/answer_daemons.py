"""The real parts of a daemon that handle requests, with a store whose calls can be held."""

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

from mustardgap.dispatchers import Bounds, Dispatcher
from mustardgap.events import EventLog
from mustardgap.job_gateways import JobGateway
from mustardgap.peer_calls import PeerClient, PeerServer
from mustardgap.platform.front import Front
from mustardgap.ports import NoAnswer
from mustardgap.shard_owners import FLEET_SHARD, ShardOwners, shard_of
from mustardgap.standbys import member_name
from mustardgap.timers import Clock
from mustardgap.workloads import Configuration, Service
from tools.fake_store import TIMEOUT_S, FakeStore, StorePort
from tools.owner_worlds import QUEUE
from tools.processes import free_ports

from .suspensions import Suspensions

SHARDS = 2
SHARD = shard_of(QUEUE.service, SHARDS)
CONFIGURATION = Configuration(
    1,
    {QUEUE.name: QUEUE},
    {QUEUE.service: Service(QUEUE.service, "/", 64, True, False)},
)
CORES = 2.0


class _Ports:
    """Ports of the worlds that are running.

    If ports were reused in turn, a long case could still call an ended owner at a port that
    another world has by then, and that world's owner would answer.
    """

    def __init__(self) -> None:
        self._taken: set[int] = set()

    def acquire(self) -> int:
        """Acquire a port that no other world has."""
        while (port := free_ports(1)[0]) in self._taken:
            pass
        self._taken.add(port)
        return port

    def release(self, port: int) -> None:
        """Make a port available to other worlds."""
        self._taken.discard(port)


_ports = _Ports()


class Gate:
    """Holds calls to the store, before they reach it or before their answers return."""

    def __init__(self) -> None:
        self.holds_calls = False
        self.holds_answers = False
        self.under_way = 0
        self._opened = asyncio.Event()

    def open(self) -> None:
        """Let all held calls and answers continue, late."""
        self.holds_calls = self.holds_answers = False
        self._opened.set()

    async def wait_if(self, is_held: bool) -> None:
        """Wait until the gate opens if a call is held."""
        if is_held:
            await self._opened.wait()


class GatedPort(StorePort):
    """A host's port to the store; a sent call arrives even if its caller stops waiting."""

    def __init__(self, *, store: FakeStore, host: str, gate: Gate) -> None:
        super().__init__(store=store, host=host)
        self._gate = gate

    async def _do(
        self, work: Callable[[], Any], partition: Any = None, is_lost: bool = False
    ) -> Any:
        work_task = asyncio.ensure_future(self._do_gated(work, partition))
        await asyncio.wait([work_task], timeout=TIMEOUT_S)
        if work_task.done():
            return work_task.result()
        return NoAnswer(sent=True, detail="the store doesn't respond")

    async def _do_gated(self, work: Callable[[], Any], partition: Any) -> Any:
        self._gate.under_way += 1
        try:
            await self._gate.wait_if(self._gate.holds_calls)
            outcome = await super()._do(work, partition)
            await self._gate.wait_if(self._gate.holds_answers)
        finally:
            self._gate.under_way -= 1
        return outcome


class IdleShard:
    """An idle owner for the fleet's shard, which no request concerns."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()

    async def run(self) -> None:
        """Do nothing."""
        await self.ended.wait()

    async def hand_over(self) -> None:
        """Do nothing, as there is nothing to hand over."""


class WatchedServer:
    """Registers a gateway's handlers with a server, and counts their points."""

    def __init__(self, *, server: PeerServer, suspensions: Suspensions) -> None:
        self._server = server
        self._suspensions = suspensions

    def handle(self, name: str, handler: Callable[[Any], Awaitable[Any]]) -> None:
        """Answer calls of a name with a handler."""
        self._server.handle(name, self._suspensions.watch(handler))


class Daemon:
    """The real parts of one daemon.

    :param name: the name of its host.
    :param store: the shared store.
    :param gate: holds the store's calls.
    """

    def __init__(self, *, name: str, store: FakeStore, gate: Gate) -> None:
        self.port, self.front_port = _ports.acquire(), _ports.acquire()
        self.address = f"127.0.0.1:{self.port}"
        self.clock = Clock()
        self.events = EventLog(host=name, clock=self.clock)
        self.peers = PeerClient()
        self.server = PeerServer(events=self.events)
        self.dispatchers: list[Dispatcher] = []
        self._store: Any = GatedPort(store=store, host=name, gate=gate)
        self.owners = ShardOwners(
            store=self._store,
            member=member_name(self.address, name, CORES),
            shards=SHARDS,
            make=self._make,
            reach=self._reach,
            clock=self.clock,
            events=self.events,
        )
        operator: Any = SimpleNamespace(configuration=CONFIGURATION)
        self.gateway = JobGateway(
            owners=self.owners,
            operator=operator,
            peers=self.peers,
            shards=SHARDS,
            clock=self.clock,
            events=self.events,
        )
        self.released = asyncio.Event()
        self.server.handle("held", self._hold)
        self.front = Front(gateway=self.gateway, ready=lambda: True, events=self.events)
        self.membership: asyncio.Task[None] | None = None
        self._stopping: asyncio.Task[None] | None = None

    def join_owners(self) -> None:
        """Join the group of owners."""
        if self.membership is None:
            self.membership = asyncio.ensure_future(self.owners.run())

    @property
    def dispatcher(self) -> Dispatcher | None:
        """The dispatcher of the queue's shard on this daemon, None unless it is loaded."""
        owned = self.owners.owned_by_shard.get(SHARD)
        return owned if isinstance(owned, Dispatcher) and owned.loaded else None

    async def close(self) -> None:
        """Stop all parts."""
        self.released.set()
        if self.membership is not None:
            await self.owners.leave()
            await asyncio.wait([self.membership])
        await self.stop_server()
        for port in (self.port, self.front_port):
            _ports.release(port)

    async def stop_server(self) -> None:
        """Stop answering calls, as a daemon does when it shuts down; only the first call stops."""
        if self._stopping is None:
            self._stopping = asyncio.ensure_future(self.server.stop())
        await asyncio.wait([self._stopping])

    async def _hold(self, values: object) -> None:
        await self.released.wait()

    async def _reach(self, address: str) -> bool:
        return await self.gateway.reach(address)

    def _make(self, shard: int, epoch: int) -> Any:
        if shard == FLEET_SHARD:
            return IdleShard()
        unused: Any = SimpleNamespace()
        dispatcher = Dispatcher(
            shard=shard,
            epoch=epoch,
            store=self._store,
            executors=unused,
            advice=unused,
            clock=self.clock,
            events=self.events,
            bounds=Bounds(),
            seconds_since_confirmed=self.owners.seconds_since_confirmed,
            entry_age_s=lambda _: 0.0,
            is_membership_valid=self.owners.is_membership_valid,
            owners=self.gateway,
        )
        dispatcher.update(
            configuration=CONFIGURATION, entries_by_id={}, services=frozenset({QUEUE.service})
        )
        self.dispatchers.append(dispatcher)
        return dispatcher
