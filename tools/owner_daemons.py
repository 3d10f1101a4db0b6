"""The daemons of a world of owners: their parts as they are, on held clocks, over fakes."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import TYPE_CHECKING, Any

import msgspec

from mustardgap.boards import ExecutorBoard, OperatorBoard, OperatorRecords
from mustardgap.dispatchers import Bounds, Dispatcher
from mustardgap.events import EventLog
from mustardgap.fleet_managers import FleetManager
from mustardgap.fleet_states import OrderTimes
from mustardgap.job_gateways import JobGateway
from mustardgap.peer_calls import PeerUnreachable
from mustardgap.ports import Granted, Invalid
from mustardgap.shard_owners import FLEET_SHARD, OwnedShard, ShardOwners, shard_of
from mustardgap.standbys import member_name
from mustardgap.workloads import (
    Configuration,
    ExecutorEntry,
    TaskId,
    Wave,
)

from .fake_executors import ExecutorPort, FakeExecutors
from .fake_machines import MachinePort
from .fake_store import StorePort
from .virtual_time import VirtualClock, VirtualLoop

if TYPE_CHECKING:
    from .owner_worlds import OwnerWorld

SHARDS = 4
SERVICE = "quoting"
CALL_S = 0.001
ADVISE_S, ADVICE_VALID_S = 0.15, 1.5


class HeldClock(VirtualClock):
    """A clock whose sleepers are held while their process is frozen."""

    def __init__(self, *, loop: VirtualLoop) -> None:
        super().__init__(loop=loop)
        self.gate = asyncio.Event()
        self.gate.set()

    async def sleep(self, seconds: float) -> None:
        """Sleep, and go on once the process isn't frozen."""
        await super().sleep(seconds)
        await self.gate.wait()


class Held:
    """Calls something else, with its answers held while the process is frozen.

    :param target: what is called.
    :param gate: open while the process runs.
    """

    def __init__(self, *, target: Any, gate: asyncio.Event) -> None:
        self._target = target
        self._gate = gate

    def __getattr__(self, name: str) -> Callable[..., Coroutine[Any, Any, Any]]:
        async def call(*args: Any, **kwargs: Any) -> Any:
            await self._gate.wait()
            outcome = await getattr(self._target, name)(*args, **kwargs)
            await self._gate.wait()
            return outcome

        return call


class FakeAdvice:
    """Grants every other executor, and takes its time.

    :param fleet: the executors, which check the tickets.
    """

    def __init__(self, *, fleet: FakeExecutors) -> None:
        self._fleet = fleet

    async def advise(self, *, step: TaskId, executors: Sequence[str]) -> Granted:
        """Answer one call."""
        await asyncio.sleep(ADVISE_S)
        key = (step.job, step.occurrence, step.step)
        granted = {e: f"{key}/{e}" for e in executors if int(e[1:]) % 2}
        for executor, text in granted.items():
            self._fleet.tickets[*key, executor] = (text, _now() + ADVICE_VALID_S)
        return Granted(tickets_by_executor=granted, valid_s=ADVICE_VALID_S)


class FakePeers:
    """Calls the handlers of other daemons in this process.

    :param world: all daemons.
    :param host: the host that calls.
    """

    def __init__(self, *, world: "OwnerWorld", host: str) -> None:
        self._world = world
        self._host = host

    async def call(self, address: str, name: str, values: Any, *, timeout_s: float) -> Any:
        """Call a daemon's handler, as the gRPC client does."""
        await asyncio.sleep(CALL_S)
        daemon = self._world.daemons_by_address.get(address)
        if daemon is None:
            raise PeerUnreachable(sent=False, detail="connection refused")
        raw = msgspec.msgpack.encode(values)
        if self._host in self._world.hosts_unheard:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachable(sent=True, detail="no answer")
        try:
            async with asyncio.timeout(timeout_s):
                await daemon.clock.gate.wait()
                handler = daemon.handlers_by_name[name]
                answer = await handler(msgspec.msgpack.decode(raw))
        except TimeoutError:
            raise PeerUnreachable(sent=True, detail="no answer") from None
        return msgspec.msgpack.decode(msgspec.msgpack.encode(answer))


class FakeDaemon:
    """One process.

    :param world: what it runs in.
    :param name: its host.
    """

    def __init__(self, *, world: "OwnerWorld", name: str) -> None:
        self.name = name
        self.clock = HeldClock(loop=world.loop)
        self.events = EventLog(host=name, clock=self.clock)
        self.handlers_by_name: dict[str, Callable[..., Any]] = {}
        gate = self.clock.gate
        store: Any = Held(target=StorePort(store=world.store, host=name), gate=gate)
        executors: Any = Held(target=ExecutorPort(fleet=world.fleet, host=name), gate=gate)
        machines: Any = Held(target=MachinePort(machines=world.machines), gate=gate)
        peers: Any = FakePeers(world=world, host=name)

        async def ask_peer() -> dict[str, bytes | None]:
            others = [d for d in world.daemons_by_address.values() if d is not self]
            return dict(others[0].operator.raw_by_key) if others else {}

        self.operator = OperatorBoard(
            boards=store,
            decode=_decode_operator,
            ask_peer=ask_peer,
            clock=self.clock,
            events=self.events,
        )
        self.board = ExecutorBoard(
            boards=store,
            decode=_decode_entry,
            needed=lambda: True,
            clock=self.clock,
            events=self.events,
        )

        async def reach(address: str) -> bool:
            return await self.gateway.reach(address)

        def make(shard: int, epoch: int) -> OwnedShard:
            if shard == FLEET_SHARD:
                return FleetManager(
                    shard=shard,
                    epoch=epoch,
                    host=name,
                    store=store,
                    boards=store,
                    machines=machines,
                    operator=self.operator,
                    ask=self.gateway.pool,
                    settled=self.owners.is_membership_valid,
                    times=OrderTimes(1.5, 2.0, 3.0),
                    clock=self.clock,
                    events=self.events,
                    features=world.features,
                )
            dispatcher = Dispatcher(
                shard=shard,
                epoch=epoch,
                store=store,
                executors=executors,
                advice=FakeAdvice(fleet=world.fleet),
                clock=self.clock,
                events=self.events,
                bounds=Bounds(stop_timeout_s=1.6, record_limits=world.record_limits),
                seconds_since_confirmed=self.owners.seconds_since_confirmed,
                entry_age_s=self.board.age_s,
                is_membership_valid=self.owners.is_membership_valid,
                policy=world.policy,
                features=world.features,
                owners=self.gateway,
            )
            self._update_one(dispatcher)
            return dispatcher

        self.owners = ShardOwners(
            store=store,
            member=member_name(f"{name}:1", name, 0.5 if name in world.small else 2.0),
            shards=SHARDS,
            make=make,
            reach=reach,
            clock=self.clock,
            events=self.events,
        )
        self.gateway = JobGateway(
            owners=self.owners,
            operator=self.operator,
            peers=peers,
            shards=SHARDS,
            clock=self.clock,
            events=self.events,
            features=world.features,
        )
        self.gateway.serve(self)  # type: ignore[arg-type]
        self.operator.on_change(self._update)
        self.board.on_change(self._update)
        self.tasks = [
            asyncio.ensure_future(run())
            for run in (
                self.operator.run,
                self.operator.poll_peers,
                self.board.run,
                self.owners.run,
            )
        ]

    def handle(self, name: str, handler: Callable[..., Any]) -> None:
        """Take a handler of calls, as the gRPC server does."""
        self.handlers_by_name[name] = handler

    def kill(self) -> None:
        """End without a word."""
        for owned in self.owners.owned_by_shard.values():
            if isinstance(owned, Dispatcher):
                owned.log.close()
        for task in [*self.tasks, *self.owners._tasks_by_shard.values()]:
            task.cancel()

    def _update(self) -> None:
        for owned in self.owners.owned_by_shard.values():
            if isinstance(owned, Dispatcher):
                self._update_one(owned)

    def _update_one(self, dispatcher: Dispatcher) -> None:
        dispatcher.update(
            configuration=self.operator.configuration,
            entries_by_id=self.board.entries_by_id,
            services=frozenset(
                name for name in (SERVICE,) if shard_of(name, SHARDS) == dispatcher.shard
            ),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _decode_entry(executor: str, raw: bytes) -> ExecutorEntry | Invalid:
    try:
        return msgspec.msgpack.decode(raw, type=ExecutorEntry)
    except msgspec.DecodeError as exc:
        return Invalid(detail=str(exc))


def _decode_operator(values: dict[str, bytes | None]) -> OperatorRecords:
    configuration = None
    waves = []
    for key, raw in values.items():
        if raw and key == "config":
            configuration = msgspec.msgpack.decode(raw, type=Configuration)
        elif raw and key.startswith("wave/"):
            waves.append(msgspec.msgpack.decode(raw, type=Wave))
    return OperatorRecords(configuration, waves, [])
