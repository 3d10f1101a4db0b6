"""The durable side of one owned shard: batched, fenced, idempotent appends to two partitions."""

import asyncio
from typing import NamedTuple

from .events import EventLog
from .owner_records import OWNER_KEY, encode_owner, may_have_diverted
from .partition_logs import PartitionLog
from .ports import Record, Store
from .tickets import Stored, Ticket
from .timers import Clock
from .versioned_values import Versioned, unwrap, version_of, wrap

# Records that come within this time share an append. An append takes the store 2 ms and a round
# trip 4 ms; waiting 8 ms more is a hundredth of the shortest objective and saves half the calls
# when ends come at 100 a second.
BATCH_S = 0.008
# The bytes of one append; the store takes 2 MB.
MAX_BATCH_BYTES = 1_000_000
# Records go to the failover partition once the primary one has taken none for so long. One lost
# answer, which is repeated after some 0.3 s, is no reason; callers wait for 1.2 s.
DIVERT_AFTER_S = 0.3

# Prefixes of a shard's keys: accepted jobs, their progress, and the executors that may run its
# tasks.
JOB_KEY, PROGRESS_KEY, EXECUTOR_KEY = "j/", "p/", "e/"


class _Waiting(NamedTuple):
    """A value that the primary partition has yet to take; ``number`` counts the shard's writes."""

    value: bytes
    number: int
    tickets: list[Ticket]


class ShardLog:
    """Writes the records of one shard under the epoch of one ownership.

    A store may turn some partitions away while it serves the others. A shard that hung on one would
    refuse its callers for as long, although its owner, the executors and most of the store are
    well. So what the primary partition doesn't take is stored in the failover one, and goes to the
    primary one, too, once that is back. The values of a key in both carry versions, of which the
    next owner takes the higher one; it reads both partitions before it says anything of a job, and
    fences both first, so that nothing is added to what it has read.

    :param store: the platform's store.
    :param shard: the shard's number.
    :param epoch: the generation at which this daemon got the shard.
    :param clock: the clocks to read.
    :param events: the process's log.
    """

    def __init__(
        self, *, store: Store, shard: int, epoch: int, clock: Clock, events: EventLog
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.fenced = False
        self._clock = clock
        self._events = events
        self._wake = asyncio.Event()
        # Set when there may be something to divert or to clear.
        self._changed = asyncio.Event()
        self._primary, self._failover = (
            PartitionLog(
                store=store,
                shard=shard,
                failover=failover,
                epoch=epoch,
                on_failing=self._changed.set,
                clock=clock,
                events=events,
            )
            for failover in (False, True)
        )
        self._writes = 0
        self._waiting_by_key: dict[str, _Waiting] = {}
        self._sending_by_key: dict[str, _Waiting] = {}
        # The numbers of values that lie in the failover partition.
        self._diverted_by_key: dict[str, int] = {}
        # Keys whose removal is stored as a value, as the failover partition has an older one.
        self._removed_keys: set[str] = set()
        # Whether the owner's own record stands in the primary partition: without it, the next owner
        # wouldn't look into the failover one.
        self._recorded = False
        self._sealed = False

    @property
    def durable(self) -> bool:
        """Whether all that was put is stored."""
        return not self.fenced and not any(self._is_behind(k, w) for k, w in self._pending.items())

    @property
    def _pending(self) -> dict[str, _Waiting]:
        """The newest value of each key of which the primary partition has an older one, or none."""
        return {**self._sending_by_key, **self._waiting_by_key}

    def failing_s(self) -> float:
        """For how many seconds no partition has taken records, 0 when the last append went well."""
        if self._can_divert() and self._failover.failing_since is None:
            return 0.0
        return self._primary.failing_s()

    def put(self, key: str, value: bytes) -> Ticket:
        """Have a record stored; a later one of the same key may take its place before it is sent.

        :param key: the record's key.
        :param value: its value; empty drops the key.
        :return: a ticket that ends when the record, or a newer one of its key, is stored.
        """
        ticket = Ticket(outcome=asyncio.get_running_loop().create_future())
        if self.fenced:
            ticket.resolve(Stored.NO)
            return ticket
        earlier = self._waiting_by_key.get(key)
        tickets = [*earlier.tickets, ticket] if earlier else [ticket]
        self._writes += 1
        self._waiting_by_key[key] = _Waiting(value, self._writes, tickets)
        self._wake.set()
        if self._primary.failing_since is not None:
            self._changed.set()
        return ticket

    def put_owner(self, *, closed: bool) -> Ticket:
        """Leave the owner's own record.

        :param closed: whether the owner leaves in good order, and begins no use of the failover
            partition any more.
        """
        diverted = self.seal() if closed else True
        return self.put(OWNER_KEY, encode_owner(self.epoch, closed=closed, diverted=diverted))

    def withdraw(self, key: str, ticket: Ticket) -> bool:
        """Take back a record that no append has carried yet.

        :return: True when it is certain that the record is not and will not be stored.
        """
        waiting = self._waiting_by_key.get(key)
        if waiting is None or waiting.tickets != [ticket] or ticket.sent:
            return False
        if key in self._diverted_by_key:
            # The value before it has yet to go to the primary partition, too.
            return False
        del self._waiting_by_key[key]
        ticket.resolve(Stored.NO)
        return True

    def seal(self) -> bool:
        """Begin no use of the failover partition any more, as the owner leaves.

        :return: whether records may lie there.
        """
        self._sealed = not self._diverted_by_key
        return not self._sealed

    async def open(self) -> bool:
        """Fence off earlier owners.

        :return: False when a later owner has done so to this one.
        """
        if await self._primary.fence():
            return True
        self.close()
        return False

    async def read(self) -> dict[str, bytes | None]:
        """Read the newest value of each key, again and again until the store answers."""
        newest = _unwrapped(await self._primary.newest())
        owner = newest.get(OWNER_KEY)
        if may_have_diverted(owner.value if owner else None):
            await self._read_failover(newest)
        return {key: versioned.value for key, versioned in newest.items() if versioned.value}

    async def _read_failover(self, newest: dict[str, Versioned]) -> None:
        """Add what the failover partition has; all of that goes to the primary one again."""
        if not await self._failover.fence():
            self.close()
            return
        for key, diverted in _unwrapped(await self._failover.newest()).items():
            newest[key] = max(diverted, newest.get(key, diverted))
            self._diverted_by_key[key] = 0
            # The owner's own record is written anew by each owner.
            if key != OWNER_KEY:
                self.put(key, newest[key].value)
        if self._diverted_by_key:
            self._note_diverted("failover.found", len(self._diverted_by_key))

    async def run(self) -> None:
        """Append what waits until another owner fences this one off, or cancelled."""
        while not self.fenced:
            await self._wake.wait()
            await self._clock.sleep(BATCH_S)
            self._wake.clear()
            while self._waiting_by_key and not self.fenced:
                await self._send(self._take())

    async def run_failover(self) -> None:
        """Store elsewhere what the primary partition doesn't take, until cancelled."""
        while not self.fenced:
            if behind := self._behind():
                await self._divert(behind)
            elif settled := self._settled_keys():
                await self._clear(settled)
            else:
                await self._await_change()

    async def _await_change(self) -> None:
        """Wait for something to divert or to clear."""
        self._changed.clear()
        failing_s = self._primary.failing_s()
        if self._primary.failing_since is not None and failing_s < DIVERT_AFTER_S:
            await self._clock.sleep(DIVERT_AFTER_S - failing_s + BATCH_S)
            return
        await self._changed.wait()

    def close(self) -> None:
        """End all tickets that are still open; nothing is written any more."""
        self.fenced = True
        for waiting in self._waiting_by_key.values():
            for ticket in waiting.tickets:
                ticket.resolve(Stored.UNKNOWN if ticket.sent else Stored.NO)
        self._waiting_by_key.clear()

    # The primary partition.

    def _take(self) -> dict[str, _Waiting]:
        batch: dict[str, _Waiting] = {}
        size = 0
        for key in list(self._waiting_by_key):
            waiting = self._waiting_by_key[key]
            size += len(key) + len(waiting.value) + 8
            if batch and size > MAX_BATCH_BYTES:
                break
            batch[key] = self._waiting_by_key.pop(key)
        return batch

    async def _send(self, batch: dict[str, _Waiting]) -> None:
        records = [self._record(key, waiting) for key, waiting in batch.items()]
        tickets = [ticket for waiting in batch.values() for ticket in waiting.tickets]
        for ticket in tickets:
            ticket.sent = True
        self._sending_by_key = batch
        stored = Stored.UNKNOWN
        try:
            stored = await self._primary.append(records)
        finally:
            # Whatever ended the append, its records may have been stored. They wait no more, so
            # nothing else would end their tickets: callers would be told only when their time is
            # over.
            self._sending_by_key = {}
            _resolve_all(tickets, stored)
        if stored is not Stored.YES:
            self.close()
            return
        self._recorded = self._recorded or OWNER_KEY in batch
        if self._diverted_by_key:
            self._changed.set()

    def _record(self, key: str, waiting: _Waiting) -> Record:
        """The form for the primary partition.

        A value carries its version only while the failover partition has one of the same key, so
        that an owner of an earlier version of this program can read all others.
        """
        if key not in self._diverted_by_key:
            return Record(key, waiting.value)
        self._removed_keys.discard(key)
        if not waiting.value:
            self._removed_keys.add(key)
        return self._versioned(key, waiting)

    def _versioned(self, key: str, waiting: _Waiting) -> Record:
        return Record(key, wrap(Versioned(version_of(self.epoch, waiting.number), waiting.value)))

    # The failover partition.

    def _can_divert(self) -> bool:
        return self._recorded and not self._sealed

    def _is_behind(self, key: str, waiting: _Waiting) -> bool:
        """Whether no partition is known to have a key's newest value."""
        return self._diverted_by_key.get(key, -1) < waiting.number

    def _behind(self) -> dict[str, _Waiting]:
        """What has to be diverted now.

        A removal is diverted only where an older value was: what the primary partition still has of
        a key that was removed costs its next owner some care, and no promise.
        """
        if not self._can_divert() or self._primary.failing_s() < DIVERT_AFTER_S:
            return {}
        return {
            key: waiting
            for key, waiting in self._pending.items()
            if self._is_behind(key, waiting) and (waiting.value or key in self._diverted_by_key)
        }

    async def _divert(self, batch: dict[str, _Waiting]) -> None:
        tickets = [ticket for waiting in batch.values() for ticket in waiting.tickets]
        for ticket in tickets:
            ticket.sent = ticket.diverted = True
        if not self._diverted_by_key:
            self._note_diverted("failover.used", len(batch))
        # From now on the partition may have them, whatever becomes of the append.
        for key in batch:
            self._diverted_by_key.setdefault(key, -1)
        records = [self._versioned(key, waiting) for key, waiting in batch.items()]
        if await self._failover.append(records) is not Stored.YES:
            self.close()
            return
        for key, waiting in batch.items():
            self._diverted_by_key[key] = waiting.number
        _resolve_all(tickets, Stored.YES)

    def _settled_keys(self) -> list[str]:
        """Keys of which the primary partition has the newest value, and the other one an older."""
        if self._primary.failing_since is not None:
            return []
        pending = self._pending
        return [key for key in self._diverted_by_key if key not in pending]

    async def _clear(self, keys: list[str]) -> None:
        """Drop from the failover partition what the primary one has."""
        if await self._failover.append([Record(key, b"") for key in keys]) is not Stored.YES:
            self.close()
            return
        pending = self._pending
        for key in keys:
            del self._diverted_by_key[key]
            if key in self._removed_keys:
                self._removed_keys.discard(key)
                if key not in pending:
                    self.put(key, b"")
        if not self._diverted_by_key:
            self._note_diverted("failover.cleared", len(keys))

    def _note_diverted(self, event: str, records: int) -> None:
        self._events.note(
            event,
            vital=True,
            shard=self.shard,
            epoch=self.epoch,
            records=records,
            failing_s=self._primary.failing_s(),
        )


def _unwrapped(values_by_key: dict[str, bytes | None]) -> dict[str, Versioned]:
    return {key: unwrap(raw) for key, raw in values_by_key.items() if raw}


def _resolve_all(tickets: list[Ticket], stored: Stored) -> None:
    for ticket in tickets:
        # What the primary partition refused may still stand in the failover one.
        certain = not (stored is Stored.NO and ticket.diverted)
        ticket.resolve(stored if certain else Stored.UNKNOWN)
