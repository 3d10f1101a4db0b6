"""Simulations of one shard's two partitions: owners join, leave, freeze and die as the store fails.

An oracle records each write with the outcome reported to its owner, and what each new owner read.
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
OWNER_COUNT = 5
# The range of delays of late appends, in seconds; their callers get no answer.
APPEND_DELAY_RANGE_S = (0.3, 4.0)
# The time for all failed calls to be repeated after the store has recovered.
RECOVERY_S = 8.0


@dataclass
class Write:
    """One value that an owner wrote; an empty one removes the key."""

    epoch: int
    key: str
    value: bytes
    ticket: Ticket

    @property
    def reported(self) -> Stored | None:
        """The outcome reported to the owner, None while there is none."""
        return self.ticket.outcome.result() if self.ticket.outcome.done() else None


@dataclass
class Reading:
    """The values that a new owner read."""

    epoch: int
    values: dict[str, bytes]


@dataclass
class History:
    """All writes in order, and all readings."""

    writes: list[Write] = field(default_factory=list)
    readings: list[Reading] = field(default_factory=list)

    def problems(self) -> list[str]:
        """Describe each guarantee that a reading violates."""
        return [
            problem
            for reading in self.readings
            for key in KEYS
            for problem in self._problems_of(reading, key)
        ]

    def _problems_of(self, reading: Reading, key: str) -> list[str]:
        writes = [w for w in self.writes if w.key == key and w.epoch < reading.epoch]
        # An owner that was presumed dead may write after its successor; those of its writes that
        # were stored precede the successor's.
        writes.sort(key=lambda write: write.epoch)
        read = reading.values.get(key, b"")
        reported = [index for index, write in enumerate(writes) if write.reported is Stored.YES]
        last = reported[-1] if reported else -1
        matches = [index for index, write in enumerate(writes) if write.value == read]
        if not read:
            matches.append(-1)
        if max(matches, default=-2) < last:
            return [
                f"{key}: owner {reading.epoch} read {read!r}, {writes[last].value!r} was stored"
            ]
        refused = [index for index in matches if index >= 0 and writes[index].reported is Stored.NO]
        if read and refused:
            return [f"{key}: owner {reading.epoch} read {read!r}, which was reported as not stored"]
        return []


class DelayingStorePort(StorePort):
    """A connection to the store on which some appends arrive late, after their callers gave up.

    :param rng: decides which appends are delayed, and for how long.
    """

    def __init__(self, *, store: FakeStore, host: str, rng: random.Random) -> None:
        super().__init__(store=store, host=host)
        self.delayed_share = 0.0
        self._random = rng

    async def append(self, **fields):  # type: ignore[no-untyped-def]
        if self._random.random() >= self.delayed_share:
            return await super().append(**fields)
        loop = asyncio.get_running_loop()
        delay_s = self._random.uniform(*APPEND_DELAY_RANGE_S)
        loop.call_later(
            delay_s, lambda: loop.create_task(super(DelayingStorePort, self).append(**fields))
        )
        await asyncio.sleep(0.2)
        return NoAnswer(sent=True, detail="append delayed")


class Simulation:
    """One random simulation.

    :param seed: the seed of all random choices.
    """

    def __init__(self, *, seed: int) -> None:
        self.history = History()
        self._random = random.Random(seed)
        self._store = FakeStore(shards=2, seed=seed)
        self._clock = VirtualClock(loop=asyncio.get_running_loop())
        self._write_count = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._ports: list[DelayingStorePort] = []

    async def run(self) -> list[str]:
        """Simulate the owners, let the store recover, then read everything as two more owners."""
        faults = asyncio.ensure_future(self._inject_faults())
        for epoch in range(1, OWNER_COUNT + 1):
            await self._run_owner(epoch)
        faults.cancel()
        self._clear_faults()
        log = await self._run_owner(OWNER_COUNT + 1)
        await asyncio.sleep(RECOVERY_S)
        problems = self._find_leftovers(log)
        await self._read(OWNER_COUNT + 2)
        await asyncio.sleep(RECOVERY_S)
        for task in self._tasks:
            task.cancel()
        return problems + self.history.problems()

    def _clear_faults(self) -> None:
        self._store.away.clear()
        self._store.down = False
        self._store.lost_share = 0.0
        for port in self._ports:
            port.delayed_share = 0.0

    async def _inject_faults(self) -> None:
        while True:
            self._store.away = {
                (SHARD, failover) for failover in (False, True) if self._random.random() < 0.4
            }
            self._store.down = self._random.random() < 0.1
            self._store.lost_share = self._random.choice((0.0, 0.0, 0.3))
            for port in self._ports:
                port.delayed_share = self._random.choice((0.0, 0.0, 0.4))
            await asyncio.sleep(self._random.uniform(0.1, 2.5))

    async def _run_owner(self, epoch: int) -> ShardLog:
        """Take the shard over, write for a while, and leave, die or go on though presumed dead."""
        log = await self._read(epoch)
        log.put_owner(closed=False)
        parts = [self._spawn(log.run()), self._spawn(log.run_failover())]
        writing = self._spawn(self._write(epoch, log))
        await asyncio.sleep(self._random.uniform(0.2, 6.0))
        ending = self._random.choice(("leaves gracefully", "dies", "is presumed dead"))
        if ending == "is presumed dead" or epoch > OWNER_COUNT:
            return log
        writing.cancel()
        if ending == "leaves gracefully":
            ticket = log.put_owner(closed=True)
            await asyncio.wait([ticket.outcome], timeout=0.3)
        for part in parts:
            part.cancel()
        await asyncio.sleep(0)
        log.close()
        return log

    async def _read(self, epoch: int) -> ShardLog:
        port = DelayingStorePort(store=self._store, host=f"e{epoch}", rng=self._random)
        self._ports.append(port)
        events = EventLog(host=f"e{epoch}", clock=self._clock)
        log = ShardLog(store=port, shard=SHARD, epoch=epoch, clock=self._clock, events=events)
        await log.open()
        values = {key: value for key, value in (await log.read()).items() if value}
        self.history.readings.append(Reading(epoch, values))
        return log

    async def _write(self, epoch: int, log: ShardLog) -> None:
        while not log.fenced:
            self._write_count += 1
            key = self._random.choice(KEYS)
            value = b"" if self._random.random() < 0.2 else f"{epoch}.{self._write_count}".encode()
            self.history.writes.append(Write(epoch, key, value, log.put(key, value)))
            if self._random.random() < 0.1:
                last = self.history.writes[-1]
                log.withdraw(last.key, last.ticket)
            await asyncio.sleep(self._random.expovariate(1 / 0.15))

    def _find_leftovers(self, log: ShardLog) -> list[str]:
        """Describe records that should have been removed some time after the store recovered."""
        # The last owner continues to write, so its latest writes may still be in flight.
        left = [key for key, raw in self._store.failovers[SHARD].values_by_key.items() if raw]
        problems = [f"{key} is still in the failover partition" for key in left]
        stored = self._store.shards[SHARD].values_by_key
        versioned = [key for key, raw in stored.items() if not unwrap(raw).value]
        problems += [f"{key} was removed, but still has a record" for key in versioned]
        return problems

    def _spawn(self, work) -> "asyncio.Task[None]":  # type: ignore[no-untyped-def]
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task


def simulate(seed: int) -> list[str]:
    """Run one simulation on virtual time and describe the violated guarantees."""

    async def scene() -> list[str]:
        return await Simulation(seed=seed).run()

    return run(scene())
