"""The durable side of one owned shard: batched, fenced, idempotent appends."""

import asyncio
import enum
from typing import NamedTuple

from . import metrics
from .events import EventLog
from .ports import Appended, Entries, Fenced, NoAnswer, Record, Refused, Store, WrongSequence
from .timers import Clock

# Records that come within this time share an append. An append takes the store 2 ms and a round
# trip 4 ms; waiting 8 ms more is a hundredth of the shortest objective and saves half the calls
# when ends come at 100 a second.
BATCH_S = 0.008
# The pause before an append that failed is repeated.
RETRY_S = 0.1
# The pause before a whole shard, which may be large, is read again.
READ_RETRY_S = 0.2
# The bytes of one append; the store takes 2 MB.
MAX_BATCH_BYTES = 1_000_000

# Prefixes of a shard's keys: accepted jobs, their progress, the executors that may run its tasks,
# and the key of its owner's record.
JOB_KEY, PROGRESS_KEY, EXECUTOR_KEY, OWNER_KEY = "j/", "p/", "e/", "o"


class Stored(enum.Enum):
    """What became of a record."""

    YES = "stored"
    NO = "not stored"
    UNKNOWN = "unknown"


class Ticket:
    """Tells when a record stands in the store.

    :param outcome: ends with what became of the record.
    """

    def __init__(self, *, outcome: "asyncio.Future[Stored]") -> None:
        self.outcome = outcome
        self.sent = False

    @property
    def durable(self) -> bool:
        """Whether the record is known to be stored."""
        return self.outcome.done() and self.outcome.result() is Stored.YES


class _Waiting(NamedTuple):
    value: bytes
    tickets: list[Ticket]


class ShardLog:
    """Writes the records of one shard under the epoch of one ownership.

    One append is under way at a time, numbered, and repeated until it is answered. So a lost answer
    can't store a record twice, and an append that arrives late can't overwrite a newer record: its
    sequence number has been used, or its epoch is fenced off.

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
        self.failing_since: float | None = None
        self._store = store
        self._clock = clock
        self._events = events
        self._waiting_by_key: dict[str, _Waiting] = {}
        self._wake = asyncio.Event()
        self._sequence = 0
        self._sending = False

    @property
    def durable(self) -> bool:
        """Whether all that was put is stored."""
        return not self._waiting_by_key and not self._sending and not self.fenced

    def failing_s(self) -> float:
        """For how many seconds appends have failed, 0 when the last one was answered."""
        if self.failing_since is None:
            return 0.0
        return self._clock.monotonic() - self.failing_since

    def put(self, key: str, value: bytes) -> Ticket:
        """Have a record stored; a later one of the same key may take its place before it is sent.

        :param key: the record's key.
        :param value: its value; empty drops the key.
        :return: a ticket that ends when the record, or a newer one of its key, is stored.
        """
        ticket = Ticket(outcome=asyncio.get_running_loop().create_future())
        if self.fenced:
            ticket.outcome.set_result(Stored.NO)
            return ticket
        earlier = self._waiting_by_key.get(key)
        tickets = [*earlier.tickets, ticket] if earlier else [ticket]
        self._waiting_by_key[key] = _Waiting(value, tickets)
        self._wake.set()
        return ticket

    def withdraw(self, key: str, ticket: Ticket) -> bool:
        """Take back a record that no append has carried yet.

        :return: True when it is certain that the record is not and will not be stored.
        """
        waiting = self._waiting_by_key.get(key)
        if ticket.sent or waiting is None or ticket not in waiting.tickets:
            return False
        del self._waiting_by_key[key]
        for one in waiting.tickets:
            _resolve(one, Stored.NO)
        return True

    async def open(self) -> bool:
        """Fence off earlier owners.

        :return: False when a later owner has done so to this one.
        """
        while True:
            outcome = await self._store.fence(shard=self.shard, epoch=self.epoch)
            if isinstance(outcome, Appended):
                return True
            if isinstance(outcome, Fenced):
                self.close()
                return False
            await self._clock.sleep(RETRY_S)

    async def run(self) -> None:
        """Append what waits until another owner fences this one off, or cancelled."""
        while not self.fenced:
            await self._wake.wait()
            await self._clock.sleep(BATCH_S)
            self._wake.clear()
            while self._waiting_by_key and not self.fenced:
                await self._send(self._take())

    async def read(self) -> dict[str, bytes | None]:
        """Read the newest value of each key, again and again until the store answers."""
        while True:
            outcome = await self._store.newest(shard=self.shard)
            if isinstance(outcome, Entries):
                for why in outcome.invalid:
                    self._events.note("record.invalid", vital=True, shard=self.shard, why=why)
                return outcome.values_by_key
            self._events.note("shard.unread", vital=True, shard=self.shard, why=outcome.detail)
            await self._clock.sleep(READ_RETRY_S)

    def close(self) -> None:
        """End all tickets that are still open; nothing is written any more."""
        self.fenced = True
        for waiting in self._waiting_by_key.values():
            for ticket in waiting.tickets:
                _resolve(ticket, Stored.UNKNOWN if ticket.sent else Stored.NO)
        self._waiting_by_key.clear()

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
        records = [Record(key, waiting.value) for key, waiting in batch.items()]
        tickets = [ticket for waiting in batch.values() for ticket in waiting.tickets]
        for ticket in tickets:
            ticket.sent = True
        self._sending = True
        stored = Stored.UNKNOWN
        try:
            stored = await self._append(records)
        finally:
            # Whatever ended the append, its records may have been stored. They wait no more, so
            # nothing else would end their tickets: callers would be told only when their time is
            # over.
            self._sending = False
            _resolve_all(tickets, stored)
        if stored is not Stored.YES:
            self.close()

    async def _append(self, records: list[Record]) -> Stored:
        unanswered = False
        while True:
            sent_at = self._clock.monotonic()
            outcome = await self._store.append(
                shard=self.shard, epoch=self.epoch, sequence=self._sequence, records=records
            )
            metrics.append_duration.record(self._clock.monotonic() - sent_at)
            metrics.store_appends.add(1, {"outcome": type(outcome).__name__})
            if isinstance(outcome, Appended):
                self._sequence += 1
                self._recovered()
                return Stored.YES
            if isinstance(outcome, Fenced):
                self._events.note("shard.fenced", vital=True, shard=self.shard, epoch=self.epoch)
                # An earlier try that got no answer may have been stored before the fence.
                return Stored.UNKNOWN if unanswered else Stored.NO
            if isinstance(outcome, WrongSequence):
                self._events.note(
                    "shard.sequence",
                    vital=True,
                    shard=self.shard,
                    epoch=self.epoch,
                    sent=self._sequence,
                    expected=outcome.expected,
                )
                if not unanswered and outcome.expected >= 0:
                    self._sequence = outcome.expected
                    continue
                return Stored.UNKNOWN
            unanswered = unanswered or isinstance(outcome, NoAnswer)
            self._failed(outcome)
            await self._clock.sleep(RETRY_S)

    def _failed(self, outcome: Refused | NoAnswer) -> None:
        if self.failing_since is None:
            self.failing_since = self._clock.monotonic()
            self._events.note(
                "store.lost", vital=True, shard=self.shard, epoch=self.epoch, why=outcome.detail
            )

    def _recovered(self) -> None:
        if self.failing_since is not None:
            lasted = self._clock.monotonic() - self.failing_since
            self._events.note("store.regained", vital=True, shard=self.shard, lasted_s=lasted)
            self.failing_since = None


def _resolve(ticket: Ticket, stored: Stored) -> None:
    if not ticket.outcome.done():
        ticket.outcome.set_result(stored)


def _resolve_all(tickets: list[Ticket], stored: Stored) -> None:
    for ticket in tickets:
        _resolve(ticket, stored)
