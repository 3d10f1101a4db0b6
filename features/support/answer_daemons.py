"""One daemon's parts on a request's way, as they are, with a store that can be held."""

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
    """Ports of the worlds that are being played.

    A port that is handed out in turn comes around again while a long case still asks there for an
    owner that has ended: the owner of another world would answer.
    """

    def __init__(self) -> None:
        self._taken: set[int] = set()

    def acquire(self) -> int:
        """Take a port that no other world has."""
        while (port := free_ports(1)[0]) in self._taken:
            pass
        self._taken.add(port)
        return port

    def release(self, port: int) -> None:
        """Let other worlds have a port."""
        self._taken.discard(port)


_ports = _Ports()


class Gate:
    """Holds calls of the store, on their way to it or on their way back."""

    def __init__(self) -> None:
        self.holds_calls = False
        self.holds_answers = False
        self.under_way = 0
        self._opened = asyncio.Event()

    def open(self) -> None:
        """Let all go on; what was held arrives late."""
        self.holds_calls = self.holds_answers = False
        self._opened.set()

    async def wait_if(self, is_held: bool) -> None:
        """Wait if held."""
        if is_held:
            await self._opened.wait()


class GatedPort(StorePort):
    """A host's way to the store, on which a call that was sent arrives whoever stops waiting."""

    def __init__(self, *, store: FakeStore, host: str, gate: Gate) -> None:
        super().__init__(store=store, host=host)
        self._gate = gate

    async def _do(self, work: Callable[[], Any], partition: Any = None) -> Any:
        work_task = asyncio.ensure_future(self._do_gated(work, partition))
        await asyncio.wait([work_task], timeout=TIMEOUT_S)
        if work_task.done():
            return work_task.result()
        return NoAnswer(sent=True, detail="the store is silent")

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
    """What owns the fleet's shard, which no caller asks for."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()

    async def run(self) -> None:
        """Do nothing."""
        await self.ended.wait()

    async def hand_over(self) -> None:
        """Nothing is left to do."""


class WatchedServer:
    """Hands a gateway's handlers on to a server, with their points counted."""

    def __init__(self, *, server: PeerServer, suspensions: Suspensions) -> None:
        self._server = server
        self._suspensions = suspensions

    def handle(self, name: str, handler: Callable[[Any], Awaitable[Any]]) -> None:
        """Answer calls of a name with a handler."""
        self._server.handle(name, self._suspensions.watch(handler))


class Daemon:
    """One daemon's parts as they are.

    :param name: its host.
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
        """Take part in the group of owners."""
        if self.membership is None:
            self.membership = asyncio.ensure_future(self.owners.run())

    @property
    def dispatcher(self) -> Dispatcher | None:
        """What owns the queue's shard here, None unless it is loaded."""
        owned = self.owners.owned_by_shard.get(SHARD)
        return owned if isinstance(owned, Dispatcher) and owned.loaded else None

    async def close(self) -> None:
        """End all parts."""
        self.released.set()
        if self.membership is not None:
            await self.owners.leave()
            await asyncio.wait([self.membership])
        await self.stop_server()
        for port in (self.port, self.front_port):
            _ports.release(port)

    async def stop_server(self) -> None:
        """Stop answering calls, once as a daemon does that leaves."""
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
            membership_age_s=self.owners.seconds_since_confirmed,
            entry_age_s=lambda _: 0.0,
            settled=self.owners.is_membership_valid,
        )
        dispatcher.update(
            configuration=CONFIGURATION, entries_by_id={}, services=frozenset({QUEUE.service})
        )
        self.dispatchers.append(dispatcher)
        return dispatcher
