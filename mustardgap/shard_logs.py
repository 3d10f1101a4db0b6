"""The log of one owned shard: batched, fenced, idempotent appends to two partitions."""

import asyncio
from typing import NamedTuple

from . import metrics
from .events import EventLog
from .owner_records import OWNER_KEY, encode_owner, may_have_diverted
from .partition_logs import PartitionLog
from .ports import Record, Rejected, Store
from .record_limits import RecordLimits, record_size
from .tickets import Stored, Ticket
from .timers import Clock
from .versioned_values import Versioned, unwrap, version_of, wrap

# Records written within this time share an append. An append takes the store 2 ms and a round trip
# 4 ms; a delay of 8 ms is a hundredth of the shortest objective, and halves the calls when runs end
# at 100 a second.
BATCH_DELAY_S = 0.008
# The largest append, in bytes, where the store accepts that much; larger ones delay the next ones.
MAX_BATCH_BYTES = 1_000_000
# Records go to the failover partition once appends to the primary one have failed for this long. A
# single lost answer, after which the append is repeated within about 0.3 s, isn't enough; callers
# wait for 1.2 s.
DIVERT_AFTER_S = 0.3

# Prefixes of the keys of accepted jobs, of their progress, of the executors that may run a
# shard's tasks, of the paths that a shard holds, and of jobs that were cancelled before they were
# known to be accepted.
JOB_KEY, PROGRESS_KEY, EXECUTOR_KEY, PATH_KEY, CANCELLED_KEY = "j/", "p/", "e/", "h/", "c/"


class _PendingWrite(NamedTuple):
    """A value not yet stored in the primary partition; ``number`` counts the shard's writes."""

    value: bytes
    number: int
    tickets: list[Ticket]


_Batch = dict[str, _PendingWrite]


class ShardLog:
    """Writes the records of one shard under the epoch of one ownership.

    A store may reject requests for some partitions while it serves the others. A shard that relied
    on one partition would refuse its callers all that time, although its owner, the executors and
    most of the store work. So records that the primary partition doesn't take are stored in the
    failover one, and also in the primary one once it is available again. Values of a key that is in
    both partitions carry versions, and the next owner uses the higher one. It fences both
    partitions and then reads both before it answers for any job, so that nothing is added to what
    it has read.

    :param store: the platform's store.
    :param shard: the shard's number.
    :param epoch: the generation at which the shard was assigned to this daemon.
    :param clock: the clocks to read.
    :param events: the process's event log.
    :param limits: the sizes that the store takes.
    """

    def __init__(
        self,
        *,
        store: Store,
        shard: int,
        epoch: int,
        clock: Clock,
        events: EventLog,
        limits: RecordLimits | None = None,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.limits = limits or RecordLimits()
        self.fenced = False
        self._clock = clock
        self._events = events
        self._wake = asyncio.Event()
        # Set when there may be records to divert or to clear.
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
        self._write_count = 0
        self._unsent_by_key: _Batch = {}
        self._sending_by_key: _Batch = {}
        self._batch_limits = self.limits._replace(
            request_bytes=min(self.limits.request_bytes, MAX_BATCH_BYTES)
        )
        # Keys whose newest value the store doesn't take, or not in the failover partition.
        self._rejected_keys: set[str] = set()
        self._undivertable_keys: set[str] = set()
        # The write numbers of the values in the failover partition; -1 while the first append of
        # a key is unanswered.
        self._diverted_by_key: dict[str, int] = {}
        # Keys whose removal is stored as an empty versioned value, because the failover partition
        # has an older value.
        self._removed_keys: set[str] = set()
        # Whether the owner record is stored in the primary partition: without it, the next owner
        # wouldn't read the failover one.
        self._owner_recorded = False
        self._diverting_stopped = False

    @property
    def durable(self) -> bool:
        """Whether all writes are stored."""
        return not self.fenced and not any(
            self._is_unstored(k, w) for k, w in self._pending.items()
        )

    @property
    def _pending(self) -> _Batch:
        """The newest value of each key that isn't yet stored in the primary partition.

        They are in the order in which they are sent, which an append to the failover partition
        keeps, too.
        """
        sending = {k: w for k, w in self._sending_by_key.items() if k not in self._unsent_by_key}
        return sending | self._unsent_by_key

    def failing_s(self) -> float:
        """Seconds for which no partition has taken records, 0 while one does."""
        if self._can_divert() and self._failover.failing_since is None:
            return 0.0
        return self._primary.failing_s()

    def is_pending(self, key: str) -> bool:
        """Whether the newest value of a key isn't known to be stored."""
        if self.fenced or key in self._rejected_keys:
            return True
        write = self._pending.get(key)
        return write is not None and self._is_unstored(key, write)

    def put(self, key: str, value: bytes) -> Ticket:
        """Queue a record; a later one of the same key may replace it before it is sent.

        :param key: the record's key.
        :param value: its value; an empty one removes the key.
        :return: a ticket that is resolved when the record, or a newer one of its key, is stored;
            with NO at once if the record is larger than the store takes.
        """
        ticket = Ticket(outcome=asyncio.get_running_loop().create_future())
        if self.fenced:
            ticket.resolve(Stored.NO)
            return ticket
        if not self.limits.hold(key, value):
            self._reject(key, len(value), "larger than a record may be")
            ticket.resolve(Stored.NO)
            return ticket
        self._rejected_keys.discard(key)
        self._undivertable_keys.discard(key)
        earlier = self._unsent_by_key.get(key)
        tickets = [*earlier.tickets, ticket] if earlier else [ticket]
        self._write_count += 1
        self._unsent_by_key[key] = _PendingWrite(value, self._write_count, tickets)
        self._wake.set()
        if self._primary.failing_since is not None:
            self._changed.set()
        return ticket

    def put_last(self, key: str, value: bytes) -> Ticket:
        """Queue a record that mustn't be stored before those that were queued until now."""
        earlier = self._unsent_by_key.pop(key, None)
        if earlier is not None:
            self._unsent_by_key[key] = earlier
        return self.put(key, value)

    def put_owner(self, *, closed: bool) -> Ticket:
        """Write the owner record.

        :param closed: whether the owner leaves gracefully and starts no new use of the failover
            partition.
        """
        diverted = self.stop_diverting() if closed else True
        return self.put(OWNER_KEY, encode_owner(self.epoch, closed=closed, diverted=diverted))

    def withdraw(self, key: str, ticket: Ticket) -> bool:
        """Withdraw a record that hasn't been sent in an append.

        :return: True when it is certain that the record is not and will not be stored.
        """
        write = self._unsent_by_key.get(key)
        if write is None or write.tickets != [ticket] or ticket.sent:
            return False
        if key in self._diverted_by_key:
            # The key's previous value has yet to be stored in the primary partition.
            return False
        del self._unsent_by_key[key]
        ticket.resolve(Stored.NO)
        return True

    def stop_diverting(self) -> bool:
        """Start no new use of the failover partition, because the owner leaves.

        :return: whether the failover partition may hold records.
        """
        self._diverting_stopped = not self._diverted_by_key
        return not self._diverting_stopped

    async def open(self) -> bool:
        """Fence off former owners.

        :return: False when a later owner has fenced this one off.
        """
        if await self._primary.fence():
            return True
        self.close()
        return False

    async def read(self) -> dict[str, bytes | None]:
        """Read the newest value of each key, retrying until the store answers."""
        newest = _unwrapped(await self._primary.newest())
        owner = newest.get(OWNER_KEY)
        if may_have_diverted(owner.value if owner else None):
            await self._read_failover(newest)
        return {key: versioned.value for key, versioned in newest.items() if versioned.value}

    async def _read_failover(self, newest: dict[str, Versioned]) -> None:
        """Merge in the failover partition's values, and write them to the primary one again."""
        if not await self._failover.fence():
            self.close()
            return
        for key, diverted in _unwrapped(await self._failover.newest()).items():
            newest[key] = max(diverted, newest.get(key, diverted))
            self._diverted_by_key[key] = 0
            # Each owner writes its own owner record.
            if key != OWNER_KEY:
                self.put(key, newest[key].value)
        if self._diverted_by_key:
            self._note_failover("failover.found", len(self._diverted_by_key))

    async def run(self) -> None:
        """Append unsent records until another owner fences this one off, or until cancelled."""
        while not self.fenced:
            await self._wake.wait()
            await self._clock.sleep(BATCH_DELAY_S)
            self._wake.clear()
            while self._unsent_by_key and not self.fenced:
                await self._send(self._take_batch())

    async def run_failover(self) -> None:
        """Divert records that the primary partition doesn't take, until fenced or cancelled."""
        while not self.fenced:
            if to_divert := self._writes_to_divert():
                await self._divert(to_divert)
            elif clearable := self._clearable_keys():
                await self._clear_failover(clearable)
            else:
                await self._await_change()

    async def _await_change(self) -> None:
        """Wait until there may be records to divert or to clear."""
        self._changed.clear()
        failing_s = self._primary.failing_s()
        if self._primary.failing_since is not None and failing_s < DIVERT_AFTER_S:
            await self._clock.sleep(DIVERT_AFTER_S - failing_s + BATCH_DELAY_S)
            return
        await self._changed.wait()

    def close(self) -> None:
        """Stop writing and resolve the tickets of all unsent records."""
        self.fenced = True
        for write in self._unsent_by_key.values():
            for ticket in write.tickets:
                ticket.resolve(Stored.UNKNOWN if ticket.sent else Stored.NO)
        self._unsent_by_key.clear()

    # The primary partition.

    def _take_batch(self) -> _Batch:
        batch = self._first_batch(self._unsent_by_key)
        for key in batch:
            del self._unsent_by_key[key]
        return batch

    def _first_batch(self, writes: _Batch) -> _Batch:
        """The first writes, as many as one append may carry."""
        records = (Record(key, write.value) for key, write in writes.items())
        first = next(self._batch_limits.batches(records), [])
        return {record.key: writes[record.key] for record in first}

    async def _send(self, batch: _Batch) -> None:
        for ticket in _tickets_of(batch):
            ticket.sent = True
        self._sending_by_key = batch
        parts = [batch]
        try:
            while parts and not self.fenced:
                await self._send_part(parts)
        finally:
            # However the append ended, its records may have been stored. They are no longer among
            # the unsent ones, so nothing else would resolve their tickets, and callers would wait
            # until they time out.
            self._sending_by_key = {}
            for part in parts:
                _resolve_all(_tickets_of(part), Stored.UNKNOWN)
        if self._diverted_by_key:
            self._changed.set()

    async def _send_part(self, parts: list[_Batch]) -> None:
        """Append the first of some parts of a batch; one that the store rejects is divided."""
        part = parts[0]
        records = [self._to_record(key, write) for key, write in part.items()]
        stored = await self._primary.append(records)
        if isinstance(stored, Rejected) and len(part) > 1:
            # One record is the cause, and the others must be stored.
            parts[:1] = _halves(part)
            return
        del parts[0]
        self._sending_by_key = _joined(parts)
        if isinstance(stored, Rejected):
            for key, write in part.items():
                self._reject(key, len(write.value), stored.detail)
            _resolve_all(_tickets_of(part), Stored.NO)
            return
        _resolve_all(_tickets_of(part), stored)
        if stored is not Stored.YES:
            self.close()
            return
        self._owner_recorded = self._owner_recorded or OWNER_KEY in part

    def _reject(self, key: str, size: int, why: str) -> None:
        """Note that the newest value of a key can't be stored; said once for each key."""
        metrics.records_rejected.add(1, {"kind": key.partition("/")[0]})
        if key in self._rejected_keys:
            return
        self._rejected_keys.add(key)
        self._events.note(
            "record.rejected",
            vital=True,
            shard=self.shard,
            epoch=self.epoch,
            key=key,
            bytes=record_size(key, b"") + size,
            limit=self.limits.record_bytes,
            why=why,
        )

    def _to_record(self, key: str, write: _PendingWrite) -> Record:
        """Return the record for the primary partition.

        A value carries a version only while the failover partition has a value of the same key, so
        that an owner that runs an earlier release of this program can read all others.
        """
        if key not in self._diverted_by_key:
            return Record(key, write.value)
        self._removed_keys.discard(key)
        if not write.value:
            self._removed_keys.add(key)
        return self._to_versioned_record(key, write)

    def _to_versioned_record(self, key: str, write: _PendingWrite) -> Record:
        return Record(key, wrap(Versioned(version_of(self.epoch, write.number), write.value)))

    # The failover partition.

    def _can_divert(self) -> bool:
        return self._owner_recorded and not self._diverting_stopped

    def _is_unstored(self, key: str, write: _PendingWrite) -> bool:
        """Whether a write isn't known to be stored in the failover partition either."""
        return self._diverted_by_key.get(key, -1) < write.number

    def _writes_to_divert(self) -> _Batch:
        """Return the writes to divert next, as many as one append may carry.

        A removal is diverted only if an older value of the key was: a removed key that is still in
        the primary partition costs its next owner some work, but breaks no guarantee.
        """
        if not self._can_divert() or self._primary.failing_s() < DIVERT_AFTER_S:
            return {}
        return self._first_batch(
            {
                key: write
                for key, write in self._pending.items()
                if key not in self._undivertable_keys
                and self._is_unstored(key, write)
                and (write.value or key in self._diverted_by_key)
            }
        )

    async def _divert(self, batch: _Batch) -> None:
        tickets = _tickets_of(batch)
        for ticket in tickets:
            ticket.sent = ticket.diverted = True
        if not self._diverted_by_key:
            self._note_failover("failover.used", len(batch))
        # From now on the partition may hold them, whatever the outcome of the append.
        for key in batch:
            self._diverted_by_key.setdefault(key, -1)
        records = [self._to_versioned_record(key, write) for key, write in batch.items()]
        stored = await self._failover.append(records)
        if isinstance(stored, Rejected):
            await self._divert_apart(batch, stored)
            return
        if stored is not Stored.YES:
            self.close()
            return
        for key, write in batch.items():
            self._diverted_by_key[key] = write.number
        _resolve_all(tickets, Stored.YES)

    async def _divert_apart(self, batch: _Batch, rejected: Rejected) -> None:
        """Divert the records of a rejected append in smaller ones; a single one is left out."""
        if len(batch) > 1:
            for half in _halves(batch):
                if not self.fenced:
                    await self._divert(half)
            return
        for key in batch:
            self._undivertable_keys.add(key)
            self._note_failover("failover.rejected", 1, key=key, why=rejected.detail)

    def _clearable_keys(self) -> list[str]:
        """Return the keys to clear next: the primary partition has their newest values."""
        if self._primary.failing_since is not None:
            return []
        pending = self._pending
        records = (Record(key, b"") for key in self._diverted_by_key if key not in pending)
        return [record.key for record in next(self._batch_limits.batches(records), [])]

    async def _clear_failover(self, keys: list[str]) -> None:
        """Remove keys from the failover partition that the primary one has."""
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
            self._note_failover("failover.cleared", len(keys))

    def _note_failover(self, event: str, records: int, **fields: str) -> None:
        self._events.note(
            event,
            vital=True,
            shard=self.shard,
            epoch=self.epoch,
            records=records,
            failing_s=self._primary.failing_s(),
            **fields,
        )


def _unwrapped(values_by_key: dict[str, bytes | None]) -> dict[str, Versioned]:
    return {key: unwrap(raw) for key, raw in values_by_key.items() if raw}


def _tickets_of(batch: _Batch) -> list[Ticket]:
    return [ticket for write in batch.values() for ticket in write.tickets]


def _joined(parts: list[_Batch]) -> _Batch:
    return {key: write for part in parts for key, write in part.items()}


def _halves(batch: _Batch) -> list[_Batch]:
    writes = list(batch.items())
    middle = len(writes) // 2
    return [dict(writes[:middle]), dict(writes[middle:])]


def _resolve_all(tickets: list[Ticket], stored: Stored) -> None:
    for ticket in tickets:
        # A record that the primary partition refused may still be stored in the failover one.
        is_certain = not (stored is Stored.NO and ticket.diverted)
        ticket.resolve(stored if is_certain else Stored.UNKNOWN)
