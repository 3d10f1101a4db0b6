"""Plays of one shard's two partitions: owners that come, go, freeze and die while the store fails.

An oracle keeps every write with what its owner was told of it, and every reading of a new owner.
"""

import asyncio
import random
from dataclasses import dataclass, field

from mustardgap.events import EventLog
from mustardgap.ports import NoAnswer
from mustardgap.shard_logs import ShardLog
from mustardgap.tickets import Stored, Ticket
from mustardgap.versioned_values import unwrap
from tools.fake_store import FakeStore, StorePort
from tools.virtual_time import VirtualClock, run

SHARD = 1
KEYS = [f"j/{number}" for number in range(5)]
OWNERS = 5
# Seconds that an append which is held up takes to arrive; its caller hears nothing.
HELD_S = (0.3, 4.0)
# Long enough for all that fails to be repeated once the store is well.
HEALED_S = 8.0


@dataclass
class Write:
    """One value that an owner put; an empty one removes the key."""

    epoch: int
    key: str
    value: bytes
    ticket: Ticket

    @property
    def told(self) -> Stored | None:
        """What its owner was told."""
        return self.ticket.outcome.result() if self.ticket.outcome.done() else None


@dataclass
class Reading:
    """What a new owner read."""

    epoch: int
    values: dict[str, bytes]


@dataclass
class History:
    """All writes in their order, and all readings."""

    writes: list[Write] = field(default_factory=list)
    readings: list[Reading] = field(default_factory=list)

    def problems(self) -> list[str]:
        """Each promise that a reading breaks."""
        return [
            problem
            for reading in self.readings
            for key in KEYS
            for problem in self._problems_of(reading, key)
        ]

    def _problems_of(self, reading: Reading, key: str) -> list[str]:
        writes = [w for w in self.writes if w.key == key and w.epoch < reading.epoch]
        # One that was taken for dead may still put; what counts was stored before its successor's.
        writes.sort(key=lambda write: write.epoch)
        read = reading.values.get(key, b"")
        told = [index for index, write in enumerate(writes) if write.told is Stored.YES]
        last = told[-1] if told else -1
        places = [index for index, write in enumerate(writes) if write.value == read]
        if not read:
            places.append(-1)
        if max(places, default=-2) < last:
            return [f"{key}: owner {reading.epoch} read {read!r}, {writes[last].value!r} was kept"]
        refused = [index for index in places if index >= 0 and writes[index].told is Stored.NO]
        if read and refused:
            return [f"{key}: owner {reading.epoch} read {read!r}, which was said not to be stored"]
        return []


class HarshPort(StorePort):
    """A way to the store on which some appends arrive late, after their caller gave them up.

    :param random: draws which.
    """

    def __init__(self, *, store: FakeStore, host: str, draw: random.Random) -> None:
        super().__init__(store=store, host=host)
        self.held_share = 0.0
        self._draw = draw

    async def append(self, **fields):  # type: ignore[no-untyped-def]
        if self._draw.random() >= self.held_share:
            return await super().append(**fields)
        loop = asyncio.get_running_loop()
        delay_s = self._draw.uniform(*HELD_S)
        loop.call_later(delay_s, lambda: loop.create_task(super(HarshPort, self).append(**fields)))
        await asyncio.sleep(0.2)
        return NoAnswer(sent=True, detail="held up")


class Play:
    """One drawn play.

    :param seed: draws all that happens.
    """

    def __init__(self, *, seed: int) -> None:
        self.history = History()
        self._random = random.Random(seed)
        self._store = FakeStore(shards=2, seed=seed)
        self._clock = VirtualClock(loop=asyncio.get_running_loop())
        self._count = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._ports: list[HarshPort] = []

    async def run(self) -> list[str]:
        """Play, let the store heal, and have one more owner read everything."""
        troubles = asyncio.ensure_future(self._trouble())
        for epoch in range(1, OWNERS + 1):
            await self._own(epoch)
        troubles.cancel()
        self._heal()
        log = await self._own(OWNERS + 1)
        await asyncio.sleep(HEALED_S)
        problems = self._left_over(log)
        await self._read(OWNERS + 2)
        await asyncio.sleep(HEALED_S)
        for task in self._tasks:
            task.cancel()
        return problems + self.history.problems()

    def _heal(self) -> None:
        self._store.away.clear()
        self._store.down = False
        self._store.lost_share = 0.0
        for port in self._ports:
            port.held_share = 0.0

    async def _trouble(self) -> None:
        while True:
            self._store.away = {
                (SHARD, failover) for failover in (False, True) if self._random.random() < 0.4
            }
            self._store.down = self._random.random() < 0.1
            self._store.lost_share = self._random.choice((0.0, 0.0, 0.3))
            for port in self._ports:
                port.held_share = self._random.choice((0.0, 0.0, 0.4))
            await asyncio.sleep(self._random.uniform(0.1, 2.5))

    async def _own(self, epoch: int) -> ShardLog:
        """Take the shard over, write for a while, and leave in one way or another."""
        log = await self._read(epoch)
        log.put_owner(closed=False)
        parts = [self._spawn(log.run()), self._spawn(log.run_failover())]
        writing = self._spawn(self._write(epoch, log))
        await asyncio.sleep(self._random.uniform(0.2, 6.0))
        leaves = self._random.choice(("in good order", "dies", "is taken for dead"))
        if leaves == "is taken for dead" or epoch > OWNERS:
            return log
        writing.cancel()
        if leaves == "in good order":
            ticket = log.put_owner(closed=True)
            await asyncio.wait([ticket.outcome], timeout=0.3)
        for part in parts:
            part.cancel()
        await asyncio.sleep(0)
        log.close()
        return log

    async def _read(self, epoch: int) -> ShardLog:
        port = HarshPort(store=self._store, host=f"e{epoch}", draw=self._random)
        self._ports.append(port)
        events = EventLog(host=f"e{epoch}", clock=self._clock)
        log = ShardLog(store=port, shard=SHARD, epoch=epoch, clock=self._clock, events=events)
        await log.open()
        values = {key: value for key, value in (await log.read()).items() if value}
        self.history.readings.append(Reading(epoch, values))
        return log

    async def _write(self, epoch: int, log: ShardLog) -> None:
        while not log.fenced:
            self._count += 1
            key = self._random.choice(KEYS)
            value = b"" if self._random.random() < 0.2 else f"{epoch}.{self._count}".encode()
            self.history.writes.append(Write(epoch, key, value, log.put(key, value)))
            if self._random.random() < 0.1:
                last = self.history.writes[-1]
                log.withdraw(last.key, last.ticket)
            await asyncio.sleep(self._random.expovariate(1 / 0.15))

    def _left_over(self, log: ShardLog) -> list[str]:
        """What isn't as it should be once the store has been well for some time."""
        # The last owner goes on writing; what it wrote just now may be on its way.
        left = [key for key, raw in self._store.failovers[SHARD].values_by_key.items() if raw]
        problems = [f"{key} is still in the failover partition" for key in left]
        stored = self._store.shards[SHARD].values_by_key
        versioned = [key for key, raw in stored.items() if not unwrap(raw).value]
        problems += [f"{key} was removed and takes room" for key in versioned]
        return problems

    def _spawn(self, work) -> "asyncio.Task[None]":  # type: ignore[no-untyped-def]
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task


def play(seed: int) -> list[str]:
    """Play once on virtual time; the promises that were broken."""

    async def scene() -> list[str]:
        return await Play(seed=seed).run()

    return run(scene())
