"""Appends to, and reads from, one partition of the store under one epoch."""

from collections.abc import Callable, Sequence

from . import metrics
from .events import EventLog
from .ports import (
    Appended,
    Entries,
    Fenced,
    NoAnswer,
    Record,
    Refused,
    Rejected,
    Store,
    WrongSequence,
)
from .tickets import Stored
from .timers import Clock

# The delay before a failed append or fence is repeated.
RETRY_DELAY_S = 0.1
# The delay before a failed read of a partition is repeated; a partition may be large.
READ_RETRY_DELAY_S = 0.2


class PartitionLog:
    """Writes to one of a shard's two partitions.

    One append at a time is in flight. It carries a sequence number and is repeated until it is
    answered. So a lost answer can't store a record twice, and an append that arrives late can't
    overwrite a newer record: its sequence number has been used, or its epoch is fenced off.

    :param store: the platform's store.
    :param shard: the shard's number.
    :param failover: whether this is the shard's failover partition.
    :param epoch: the generation at which the shard was assigned to this daemon.
    :param on_failing: called when appends start to fail.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(
        self,
        *,
        store: Store,
        shard: int,
        failover: bool,
        epoch: int,
        on_failing: Callable[[], None],
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.failing_since: float | None = None
        self._store = store
        self._shard = shard
        self._failover = failover
        self._epoch = epoch
        self._on_failing = on_failing
        self._clock = clock
        self._events = events
        self._sequence = 0

    def failing_s(self) -> float:
        """Seconds for which appends have failed, 0 if the last one succeeded."""
        if self.failing_since is None:
            return 0.0
        return self._clock.monotonic() - self.failing_since

    async def fence(self) -> bool:
        """Fence off former owners.

        :return: False when a later owner has fenced this one off.
        """
        while True:
            outcome = await self._store.fence(
                shard=self._shard, epoch=self._epoch, failover=self._failover
            )
            if isinstance(outcome, Appended):
                return True
            if isinstance(outcome, Fenced):
                return False
            await self._clock.sleep(RETRY_DELAY_S)

    async def newest(self) -> dict[str, bytes | None]:
        """Read the newest value of each key, retrying until the store answers."""
        while True:
            outcome = await self._store.newest(shard=self._shard, failover=self._failover)
            if isinstance(outcome, Entries):
                for why in outcome.invalid:
                    self._events.note("record.invalid", vital=True, shard=self._shard, why=why)
                return outcome.values_by_key
            self._events.note(
                "shard.unread",
                vital=True,
                shard=self._shard,
                failover=self._failover,
                why=outcome.detail,
            )
            await self._clock.sleep(READ_RETRY_DELAY_S)

    async def append(self, records: Sequence[Record]) -> Stored | Rejected:
        """Append records, retrying until the store answers.

        :return: YES, Rejected if the store doesn't take one of the records, or another value when
            this owner can no longer write the shard.
        """
        unanswered = False
        while True:
            sent_at = self._clock.monotonic()
            outcome = await self._store.append(
                shard=self._shard,
                epoch=self._epoch,
                sequence=self._sequence,
                records=records,
                failover=self._failover,
            )
            metrics.append_duration.record(self._clock.monotonic() - sent_at)
            metrics.store_appends.add(1, {"outcome": type(outcome).__name__})
            if isinstance(outcome, Appended):
                self._sequence += 1
                self._note_recovery()
                return Stored.YES
            if isinstance(outcome, Fenced):
                self._events.note("shard.fenced", vital=True, shard=self._shard, epoch=self._epoch)
                # An earlier attempt without an answer may have been stored before the fence.
                return Stored.UNKNOWN if unanswered else Stored.NO
            if isinstance(outcome, WrongSequence):
                self._note_sequence(outcome)
                if not unanswered and outcome.expected >= 0:
                    self._sequence = outcome.expected
                    continue
                return Stored.UNKNOWN
            if isinstance(outcome, Rejected):
                # Repeated, it would hold up all other records of the partition for good. The
                # sequence number wasn't used: an earlier attempt was refused like this one.
                self._note_recovery()
                return outcome
            unanswered = unanswered or isinstance(outcome, NoAnswer)
            self._note_failure(outcome)
            await self._clock.sleep(RETRY_DELAY_S)

    def _note_sequence(self, outcome: WrongSequence) -> None:
        self._events.note(
            "shard.sequence",
            vital=True,
            shard=self._shard,
            epoch=self._epoch,
            sent=self._sequence,
            expected=outcome.expected,
        )

    def _note_failure(self, outcome: Refused | NoAnswer) -> None:
        if self.failing_since is None:
            self.failing_since = self._clock.monotonic()
            self._events.note(
                "store.lost",
                vital=True,
                shard=self._shard,
                failover=self._failover,
                epoch=self._epoch,
                why=outcome.detail,
            )
            self._on_failing()

    def _note_recovery(self) -> None:
        if self.failing_since is not None:
            self._events.note(
                "store.regained",
                vital=True,
                shard=self._shard,
                failover=self._failover,
                lasted_s=self.failing_s(),
            )
            self.failing_since = None
