"""A fake keyed store in one process: shards with epochs, a group of owners, entries, and faults."""

import asyncio
import random
from collections.abc import Sequence
from typing import NamedTuple

from mustardgap.ports import (
    Appended,
    Done,
    Entries,
    Expired,
    Fenced,
    Joined,
    NoAnswer,
    Record,
    Refused,
    Rejected,
    WrongSequence,
)

ANSWER_S = 0.004
TIMEOUT_S = 0.8
REPEATS = 5
POLL_SLACK_S = 0.4


class _Shard:
    """The newest records of one shard, and who may write it."""

    def __init__(self) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.epoch = -1
        self.next_sequence: int | None = None
        self.recent: dict[int, int] = {}
        self.end = 0


class _Member(NamedTuple):
    """A member of the group: until when it holds, and the generation that it knows."""

    until: float
    generation: int


class FakeStore:
    """The store as all daemons share it.

    :param shards: how many shards there are.
    :param seed: draws which answers are lost.
    """

    def __init__(self, *, shards: int, seed: int = 0) -> None:
        self.down = False
        self.slow_s = 0.0
        # Seconds that a host's calls take besides, as its own link is full.
        self.slow_hosts: dict[str, float] = {}
        # The operator's records are there, but reading them takes long.
        self.operator_held = False
        # The largest record and the largest call that it takes, in bytes; None for any.
        self.record_bytes: int | None = None
        self.request_bytes: int | None = None
        # How many calls it rejected for that.
        self.rejected = 0
        # Hosts whose open reads get no answer any more, while new ones do.
        self.silenced_hosts: set[str] = set()
        self.lost_share = 0.0
        # Whether appends that carry records are carried out and not answered.
        self.loses_records = False
        # Whether somebody else writes among the executors' entries.
        self.foreign_writer = False
        self.cut_hosts: set[str] = set()
        self.random = random.Random(seed)
        self.shards = {number: _Shard() for number in range(shards)}
        self.failovers = {number: _Shard() for number in range(shards)}
        # Partitions that are turned away, as shard and whether its failover partition is meant.
        self.away: set[tuple[int, bool]] = set()
        self.operator: list[tuple[str, bytes]] = []
        self.entries: list[tuple[str, bytes | None]] = []
        # The list of paths, and whether its partition is turned away.
        self.list_away = False
        self.paths_by_key: dict[str, bytes | None] = {}
        self.statuses: list[tuple[int, bool]] = []
        self.generation = 0
        self.members_by_name: dict[str, _Member] = {}
        self.holders_by_shard: dict[int, str] = {}
        self.wanted_by_shard: dict[int, str] = {}
        self.calls = 0

    def write_operator(self, key: str, value: bytes) -> None:
        """Write a record as the operator does."""
        self.operator.append((key, value))

    def write_entry(self, executor: str, value: bytes | None) -> None:
        """Write an executor's entry; None removes it."""
        self.entries.append((executor, value))

    def join(self, member: str, generation: int, ttl_s: float) -> Joined:
        """Keep a member in the group, and deal the shards evenly."""
        now = _now()
        self._expire(now)
        if member not in self.members_by_name:
            self.members_by_name[member] = _Member(now + ttl_s, 0)
            self._deal()
        known = generation if generation <= self.generation else 0
        self.members_by_name[member] = _Member(now + ttl_s, known)
        self._hand_over()
        held = frozenset(
            shard
            for shard, holder in self.holders_by_shard.items()
            if holder == member and self.wanted_by_shard[shard] == member
        )
        return Joined(generation=self.generation, shards=held)

    def leave(self, member: str) -> None:
        """Take a member out."""
        self.members_by_name.pop(member, None)
        self._release(member)
        self._deal()

    def deal_anew(self) -> None:
        """Deal all shards to other members at once, without asking their holders."""
        names = sorted(self.members_by_name)
        for shard, holder in list(self.holders_by_shard.items()):
            if holder in names and len(names) > 1:
                following = names[(names.index(holder) + 1) % len(names)]
                self.wanted_by_shard[shard] = self.holders_by_shard[shard] = following
        self.generation += 1

    def _expire(self, now: float) -> None:
        for name, member in list(self.members_by_name.items()):
            if member.until < now:
                self.leave(name)

    def _release(self, member: str) -> None:
        for shard, holder in list(self.holders_by_shard.items()):
            if holder == member:
                del self.holders_by_shard[shard]

    def _deal(self) -> None:
        names = sorted(self.members_by_name)
        self.generation += 1
        if not names:
            self.wanted_by_shard.clear()
            return
        most = -(-len(self.shards) // len(names))
        counts = dict.fromkeys(names, 0)
        unplaced = []
        for shard in self.shards:
            wanted = self.wanted_by_shard.get(shard)
            if wanted in counts and counts[wanted] < most:
                counts[wanted] += 1
            else:
                unplaced.append(shard)
        for shard in unplaced:
            name = min(names, key=lambda n: (counts[n], n))
            self.wanted_by_shard[shard] = name
            counts[name] += 1
        self._hand_over()

    def _hand_over(self) -> None:
        for shard, wanted in self.wanted_by_shard.items():
            holder = self.holders_by_shard.get(shard)
            member = self.members_by_name.get(holder) if holder else None
            if holder == wanted:
                continue
            if member is None or member.generation >= self.generation:
                self.holders_by_shard[shard] = wanted
                self.generation += 1

    def place(self, shard: int, failover: bool) -> _Shard:
        """One of a shard's two partitions."""
        return (self.failovers if failover else self.shards)[shard]

    def append(
        self,
        shard: int,
        epoch: int,
        sequence: int | None,
        records: Sequence[Record],
        failover: bool = False,
    ) -> Appended | Fenced | WrongSequence | Rejected:
        """Append under an epoch."""
        if (rejected := self._check_sizes(records)) is not None:
            return rejected
        place = self.place(shard, failover)
        if epoch < place.epoch:
            return Fenced()
        if epoch > place.epoch:
            place.epoch = epoch
            place.next_sequence = None
            place.recent.clear()
        if sequence is None:
            return Appended(end=place.end)
        if sequence in place.recent:
            return Appended(end=place.recent[sequence])
        if place.next_sequence is not None and sequence != place.next_sequence:
            return WrongSequence(expected=place.next_sequence)
        for record in records:
            place.end += 1
            place.values_by_key.pop(record.key, None)
            if record.value:
                place.values_by_key[record.key] = record.value
        place.next_sequence = sequence + 1
        place.recent[sequence] = place.end
        for old in [number for number in place.recent if number <= sequence - REPEATS]:
            del place.recent[old]
        return Appended(end=place.end)

    def append_paths(self, records: Sequence[Record]) -> Appended | Rejected:
        """Append to the list of paths."""
        if (rejected := self._check_sizes(records)) is not None:
            return rejected
        self.paths_by_key.update((record.key, record.value) for record in records)
        return Appended(end=len(self.paths_by_key))

    def _check_sizes(self, records: Sequence[Record]) -> Rejected | None:
        sizes = [1 + len(record.key.encode()) + len(record.value) for record in records]
        call = sum(4 + size for size in sizes)
        if self.record_bytes is not None and any(size > self.record_bytes for size in sizes):
            self.rejected += 1
            return Rejected(detail="400 a record is too large")
        if self.request_bytes is not None and call > self.request_bytes:
            self.rejected += 1
            return Rejected(detail="400 the call is too large")
        return None


class StorePort:
    """One host's way to the store, as the product's ``Store`` and ``Boards``.

    :param store: the shared store.
    :param host: the host's name.
    """

    def __init__(self, *, store: FakeStore, host: str) -> None:
        self.store = store
        self.host = host

    async def fence(
        self, *, shard: int, epoch: int, failover: bool = False
    ) -> Appended | Fenced | Refused | NoAnswer:
        return await self._do(  # type: ignore[no-any-return]
            lambda: self.store.append(shard, epoch, None, (), failover), (shard, failover)
        )

    async def append(
        self,
        *,
        shard: int,
        epoch: int,
        sequence: int,
        records: Sequence[Record],
        failover: bool = False,
    ) -> Appended | Fenced | WrongSequence | Refused | Rejected | NoAnswer:
        return await self._do(  # type: ignore[no-any-return]
            lambda: self.store.append(shard, epoch, sequence, records, failover),
            (shard, failover),
            is_lost=self.store.loses_records and bool(records),
        )

    async def newest(self, *, shard: int, failover: bool = False) -> Entries | Refused | NoAnswer:
        place = self.store.place(shard, failover)
        return await self._do(  # type: ignore[no-any-return]
            lambda: Entries(values_by_key=dict(place.values_by_key), end=place.end),
            (shard, failover),
        )

    async def join(
        self, *, member: str, generation: int, ttl_s: float
    ) -> Joined | Refused | NoAnswer:
        return await self._do(lambda: self.store.join(member, generation, ttl_s))

    async def leave(self, *, member: str) -> Done | Refused | NoAnswer:
        def work() -> Done:
            self.store.leave(member)
            return Done()

        return await self._do(work)

    async def owners(self) -> dict[int, str] | Refused | NoAnswer:
        return await self._do(lambda: dict(self.store.holders_by_shard))

    async def read_operator(
        self, *, offset: int | None, wait_s: float
    ) -> Entries | Expired | Refused | NoAnswer:
        while self.store.operator_held:
            await asyncio.sleep(0.1)
        return await self._read(self.store.operator, offset, wait_s)

    async def read_executors(
        self, *, offset: int | None, wait_s: float
    ) -> Entries | Expired | Refused | NoAnswer:
        return await self._read(self.store.entries, offset, wait_s)

    async def write_status(self, *, wave: int, completed: bool) -> Appended | Refused | NoAnswer:
        def work() -> Appended:
            self.store.statuses.append((wave, completed))
            return Appended(end=len(self.store.statuses))

        return await self._do(work)

    async def append_paths(
        self, records: Sequence[Record]
    ) -> Appended | Refused | Rejected | NoAnswer:
        def work() -> Appended | Refused | Rejected:
            if self.store.list_away:
                return Refused(detail="503 this partition is away")
            return self.store.append_paths(records)

        return await self._do(work)  # type: ignore[no-any-return]

    async def newest_paths(self) -> Entries | Refused | NoAnswer:
        paths = self.store.paths_by_key
        return await self._do(  # type: ignore[no-any-return]
            lambda: Entries(values_by_key=dict(paths), end=len(paths))
        )

    async def _read(self, rows, offset, wait_s):  # type: ignore[no-untyped-def]
        until = _now() + wait_s
        while offset is not None and len(rows) <= offset and _now() < until and self._reached():
            await asyncio.sleep(0.05)
            if self.host in self.store.silenced_hosts:
                self.store.silenced_hosts.discard(self.host)
                await asyncio.sleep(until - _now() + POLL_SLACK_S)
                return NoAnswer(sent=True, detail="the connection went silent")

        def work() -> Entries:
            values: dict[str, bytes | None] = {}
            for key, value in rows[offset or 0 :]:
                values.pop(key, None)
                values[key] = value
            return Entries(values_by_key=values, end=len(rows))

        return await self._do(work)

    def _reached(self) -> bool:
        return not self.store.down and self.host not in self.store.cut_hosts

    async def _do(self, work, partition=None, is_lost=False):  # type: ignore[no-untyped-def]
        self.store.calls += 1
        slow_s = self.store.slow_s + self.store.slow_hosts.get(self.host, 0.0)
        await asyncio.sleep(ANSWER_S / 2 + slow_s)
        if not self._reached():
            await asyncio.sleep(TIMEOUT_S)
            return NoAnswer(sent=True, detail="the store is away")
        if partition in self.store.away:
            return Refused(detail="503 this partition is away")
        outcome = work()
        if is_lost or self.store.random.random() < self.store.lost_share:
            await asyncio.sleep(TIMEOUT_S)
            return NoAnswer(sent=True, detail="the answer was lost")
        await asyncio.sleep(ANSWER_S / 2)
        return outcome


def _now() -> float:
    return asyncio.get_running_loop().time()
