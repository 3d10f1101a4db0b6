"""Follows the records that operators and executors publish in the platform's store."""

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from absl import logging

from .events import EventLog
from .loop_monitors import work_times
from .ports import Boards, Entries, Expired, Invalid, NoAnswer, Refused
from .timers import Clock
from .workloads import Configuration, ExecutorEntry, Wave

# The store answers as soon as there is a record. A dead connection is noticed after this wait and
# the call's slack. A longer wait would save calls, but a change has to be in force within 2 s, and
# a daemon that waits on a dead connection can't learn of it.
OPERATOR_POLL_WAIT_S = 0.8
# The longest pause after a read that found several new records. On the slowest links a large
# configuration takes some 0.5 s: with a read before the pause and one after it, a change is in
# force well within the 2 s that it may take.
MAX_READ_PAUSE_S = 0.8
# Executors write some 30 records a second, and a long poll would return for each of them. With this
# interval a new executor is used 0.1 s after it is listed on average, and a leaving one is known
# well within the 2 s for which it continues to serve.
EXECUTORS_READ_INTERVAL_S = 0.2
EXECUTORS_POLL_WAIT_S = 0.8
RETRY_S = 0.2
# How often a daemon that can't read the store asks a peer for the configuration.
PEER_POLL_INTERVAL_S = 0.3
# Entries that expired during an outage of the store are written again within 2 s of its end.
ENTRY_RETURN_S = 2.3


class OperatorRecords(NamedTuple):
    """Decoded records of the operator; ``invalid`` names the undecodable ones with the reason."""

    configuration: Configuration | None
    waves: list[Wave]
    invalid: list[str]


class OperatorBoard:
    """Follows the operator's configuration and waves.

    :param boards: reads the store.
    :param decode: decodes records by their keys.
    :param ask_peer: asks a peer for its raw configuration records, by key.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(
        self,
        *,
        boards: Boards,
        decode: Callable[[dict[str, bytes | None]], OperatorRecords],
        ask_peer: Callable[[], Awaitable[dict[str, bytes | None]]],
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.configuration: Configuration | None = None
        self.waves_by_number: dict[int, Wave] = {}
        self.raw_by_key: dict[str, bytes | None] = {}
        self._boards = boards
        self._decode = decode
        self._ask_peer = ask_peer
        self._clock = clock
        self._events = events
        # The offset of the next read; None to read the newest record of each key.
        self._offset: int | None = None
        # The offset up to which the records have been read.
        self._read_end: int | None = None
        self._failing = False
        self._subscribers: list[Callable[[], None]] = []

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for each change."""
        self._subscribers.append(callback)

    async def run(self) -> None:
        """Follow the records until cancelled."""
        while True:
            began = self._clock.monotonic()
            wait_s = 0.0 if self._failing else OPERATOR_POLL_WAIT_S
            newest_only = self._offset is None
            outcome = await self._boards.read_operator(offset=self._offset, wait_s=wait_s)
            if isinstance(outcome, Entries):
                written = outcome.end - self._read_end if self._read_end is not None else 0
                with work_times.measure("configuration"):
                    self._apply_entries(outcome)
                if written > 1:
                    took_s = self._clock.monotonic() - began
                    await self._pause_reading(took_s if newest_only else took_s / written)
            elif isinstance(outcome, Expired):
                self._offset = None
            else:
                self._note_failure(outcome)
                await self._clock.sleep(RETRY_S)

    async def _pause_reading(self, record_s: float) -> None:
        """Pause for as long as the transfer of a record took; the next read gets the newest only.

        An operator who publishes large configurations faster than a slow link carries them would
        fill the link: callers' requests arrived seconds late, and peers took this host for dead.
        Versions that are already superseded needn't be read.

        :param record_s: seconds that the transfer of one record took.
        """
        await self._clock.sleep(min(record_s, MAX_READ_PAUSE_S))
        self._offset = None

    async def poll_peers(self) -> None:
        """Get the configuration from peers while the store can't be read, until cancelled."""
        while True:
            await self._clock.sleep(PEER_POLL_INTERVAL_S)
            if self._failing or self.configuration is None:
                self.apply_records(await self._ask_peer(), source="peer")

    def apply_records(self, values: dict[str, bytes | None], *, source: str) -> None:
        """Apply records; a configuration older than the one in force is ignored."""
        changed = False
        for key, value in values.items():
            changed |= self._apply_record(key, value, source)
        if changed:
            self.raw_by_key.update(values)
            notify(self._subscribers, self._events)

    def _apply_record(self, key: str, value: bytes | None, source: str) -> bool:
        """Apply one record; one that can't be decoded has no effect on the others.

        :return: whether anything has changed.
        """
        try:
            records = self._decode({key: value})
        except Exception as exc:
            records = OperatorRecords(None, [], [f"{key}: {exc!r}"])
        for why in records.invalid:
            self._events.note("operator.invalid", vital=True, why=why, source=source)
        new = records.configuration
        old = self.configuration
        changed = False
        if new is not None and (old is None or new.version > old.version):
            self._events.note(
                "config.applied",
                vital=True,
                version=new.version,
                before=old.version if old else None,
                queues=len(new.queues_by_name),
                source=source,
            )
            self.configuration = new
            changed = True
        for wave in records.waves:
            if self.waves_by_number.get(wave.number) != wave:
                self._events.note(
                    "wave.known", vital=True, wave=wave.number, machines=len(wave.machines)
                )
                self.waves_by_number[wave.number] = wave
                changed = True
        return changed

    def _apply_entries(self, entries: Entries) -> None:
        self._offset = self._read_end = entries.end
        if self._failing:
            self._failing = False
            self._events.note("operator.regained", vital=True, offset=entries.end)
        _note_invalid(self._events, entries)
        if entries.values_by_key:
            self.apply_records(entries.values_by_key, source="store")

    def _note_failure(self, outcome: Refused | NoAnswer) -> None:
        if not self._failing:
            self._failing = True
            self._events.note("operator.lost", vital=True, why=outcome.detail)


class ExecutorBoard:
    """Follows the executors' entries while this daemon owns anything.

    :param boards: reads the store.
    :param decode: decodes one entry.
    :param needed: returns whether this daemon needs the entries.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(
        self,
        *,
        boards: Boards,
        decode: Callable[[str, bytes], ExecutorEntry | Invalid],
        needed: Callable[[], bool],
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.entries_by_id: dict[str, ExecutorEntry] = {}
        self._boards = boards
        self._decode = decode
        self._needed = needed
        self._clock = clock
        self._events = events
        self._offset: int | None = None
        self._failing = False
        # Monotonic time at which each executor was last seen to write its entry.
        self._written_at_by_id: dict[str, float] = {}
        self._store_back_at = float("-inf")
        self._missing_by_id: dict[str, float] = {}
        # The decoding errors of the executors whose newest record can't be decoded.
        self._invalid_by_id: dict[str, Invalid] = {}
        self._subscribers: list[Callable[[], None]] = []

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for each change."""
        self._subscribers.append(callback)

    def age_s(self, executor: str) -> float:
        """Return the seconds since an executor was last seen to write its entry.

        An entry known only from a read of all entries may be of any age, as nobody can write during
        an outage of the store; infinity is returned for it.
        """
        return self._clock.monotonic() - self._written_at_by_id.get(executor, float("-inf"))

    async def run(self) -> None:
        """Follow the entries until cancelled."""
        while True:
            if not self._needed():
                await self._clock.sleep(RETRY_S / 2)
                continue
            outcome = await self._boards.read_executors(
                offset=self._offset, wait_s=EXECUTORS_POLL_WAIT_S
            )
            if isinstance(outcome, Entries):
                with work_times.measure("entries"):
                    self._apply_entries(outcome)
                await self._clock.sleep(EXECUTORS_READ_INTERVAL_S)
            elif isinstance(outcome, Expired):
                self._offset = None
            else:
                self._note_failure(outcome)
                await self._clock.sleep(RETRY_S)

    def _apply_entries(self, entries: Entries) -> None:
        is_full_read = self._offset is None
        self._offset = entries.end
        now = self._clock.monotonic()
        if self._failing:
            self._failing = False
            self._store_back_at = now
            self._events.note("executors.regained", vital=True, entries=len(self.entries_by_id))
        before = dict(self.entries_by_id)
        _note_invalid(self._events, entries)
        for executor, raw in entries.values_by_key.items():
            self._apply_entry(executor, raw, now)
            if not is_full_read:
                self._written_at_by_id[executor] = now
        if is_full_read:
            for executor in self.entries_by_id.keys() - entries.values_by_key.keys():
                self._missing_by_id.setdefault(executor, now)
        self._drop_missing(now)
        if self.entries_by_id != before:
            notify(self._subscribers, self._events)

    def _apply_entry(self, executor: str, raw: bytes | None, now: float) -> None:
        if not raw:
            self._invalid_by_id.pop(executor, None)
            if executor in self.entries_by_id:
                self._missing_by_id.setdefault(executor, now)
            return
        try:
            entry = self._decode(executor, raw)
        except Exception as exc:
            entry = Invalid(detail=repr(exc))
        if isinstance(entry, Invalid):
            self._handle_invalid(executor, entry)
            return
        self._invalid_by_id.pop(executor, None)
        self.entries_by_id[executor] = entry
        self._missing_by_id.pop(executor, None)

    def _handle_invalid(self, executor: str, record: Invalid) -> None:
        """Handle a record that can't be decoded.

        When it replaces an executor's valid entry, it isn't known whether the executor drains or
        has moved, so it gets no new tasks. It isn't taken for gone, as its running tasks would be
        started a second time.
        """
        known = self.entries_by_id.get(executor)
        if known is not None:
            self.entries_by_id[executor] = known._replace(readable=False)
        # The record may be written again with each heartbeat; it is logged once.
        if self._invalid_by_id.get(executor) != record:
            self._invalid_by_id[executor] = record
            self._events.note(
                "executor.invalid",
                vital=True,
                executor=executor,
                why=record.detail,
                known=known is not None,
            )

    def _drop_missing(self, now: float) -> None:
        # Executors can't write during an outage of the store, and their entries expire although
        # they continue to run; taking them for gone would leave a healthy pool unused.
        if now < self._store_back_at + ENTRY_RETURN_S:
            return
        for executor in list(self._missing_by_id):
            del self._missing_by_id[executor]
            self.entries_by_id.pop(executor, None)
            self._written_at_by_id.pop(executor, None)

    def _note_failure(self, outcome: Refused | NoAnswer) -> None:
        if not self._failing:
            self._failing = True
            self._events.note("executors.lost", vital=True, why=outcome.detail)


def notify(subscribers: Sequence[Callable[[], None]], events: EventLog) -> None:
    """Call all subscribers of a change; one that fails has no effect on the others.

    A board that ended with it would be restarted, read the same records and end again, until its
    daemon was ended, and all daemons at the same time.
    """
    for callback in subscribers:
        try:
            callback()
        except Exception as exc:
            logging.exception("a change of the records wasn't applied")
            events.note("records.unapplied", vital=True, why=repr(exc))


def _note_invalid(events: EventLog, entries: Entries) -> None:
    """Log records without a readable key, which have no effect on other records."""
    if entries.invalid:
        events.note(
            "record.invalid", vital=True, count=len(entries.invalid), why=entries.invalid[0]
        )
