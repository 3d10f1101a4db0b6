"""What operators and executors publish, followed on the platform's store."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from .events import EventLog
from .ports import Boards, Entries, Expired, Invalid, NoAnswer, Refused
from .timers import Clock
from .workloads import Configuration, ExecutorEntry, Wave

# The store answers as soon as there is a record. A connection that went silent is noticed after
# this and the call's slack. A longer wait would save calls, but a change has to be in force within
# 2 s, and a daemon that waits in vain can't know of it.
OPERATOR_WAIT_S = 0.8
# The longest rest after a reading that found the operator ahead. The slowest links take some 0.5 s
# for a large configuration: with a reading before the rest and one after it, a change is in force
# well within the 2 s that it may take.
MOST_REST_S = 0.8
# Executors write some 30 records a second; a waiting read would come back for each. At this period
# a new executor is used 0.1 s after it is listed on average, and a leaving one is known well within
# the 2 s for which it goes on serving.
EXECUTORS_PERIOD_S = 0.2
EXECUTORS_WAIT_S = 0.8
RETRY_S = 0.2
# A daemon that can't read the store asks a peer for the configuration at this period.
ASK_PERIOD_S = 0.3
# Entries that expired while the store was away come back within 2 s of its return.
RETURN_S = 2.3


class OperatorRecords(NamedTuple):
    """Decoded records of the operator; those that didn't decode are named with the reason."""

    configuration: Configuration | None
    waves: list[Wave]
    invalid: list[str]


class OperatorBoard:
    """Follows the operator's configuration and waves.

    :param boards: reads the store.
    :param decode: decodes records by their keys.
    :param ask_peer: asks some peer for the configuration that it has, with its raw form.
    :param clock: the clocks to read.
    :param events: the process's log.
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
        # Where to read on, None to read the newest records of all keys.
        self._offset: int | None = None
        # Up to where the records have been read.
        self._end: int | None = None
        self._failing = False
        self._subscribers: list[Callable[[], None]] = []

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
        self._subscribers.append(callback)

    async def run(self) -> None:
        """Follow the records until cancelled."""
        while True:
            began = self._clock.monotonic()
            wait_s = 0.0 if self._failing else OPERATOR_WAIT_S
            newest_only = self._offset is None
            outcome = await self._boards.read_operator(offset=self._offset, wait_s=wait_s)
            if isinstance(outcome, Entries):
                written = outcome.end - self._end if self._end is not None else 0
                self._read(outcome)
                if written > 1:
                    took_s = self._clock.monotonic() - began
                    await self._rest(took_s if newest_only else took_s / written)
            elif isinstance(outcome, Expired):
                self._offset = None
            else:
                self._failed(outcome)
                await self._clock.sleep(RETRY_S)

    async def _rest(self, record_s: float) -> None:
        """Leave the link to others for as long as a record took, then read the newest only.

        An operator who publishes large configurations faster than a slow link carries them would
        have all of the link: callers' requests came seconds late, and peers took this host for
        dead. Versions that are already replaced are of no use.

        :param record_s: seconds that one record took.
        """
        await self._clock.sleep(min(record_s, MOST_REST_S))
        self._offset = None

    async def ask(self) -> None:
        """While the store can't be read, take the configuration from peers; until cancelled."""
        while True:
            await self._clock.sleep(ASK_PERIOD_S)
            if self._failing or self.configuration is None:
                self.take(await self._ask_peer(), source="peer")

    def take(self, values: dict[str, bytes | None], *, source: str) -> None:
        """Take in records; an older configuration than the one in force changes nothing."""
        records = self._decode(values)
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
        if changed:
            self.raw_by_key.update(values)
            for callback in self._subscribers:
                callback()

    def _read(self, entries: Entries) -> None:
        self._offset = self._end = entries.end
        if self._failing:
            self._failing = False
            self._events.note("operator.regained", vital=True, offset=entries.end)
        _note_invalid(self._events, entries)
        if entries.values_by_key:
            self.take(entries.values_by_key, source="store")

    def _failed(self, outcome: Refused | NoAnswer) -> None:
        if not self._failing:
            self._failing = True
            self._events.note("operator.lost", vital=True, why=outcome.detail)


class ExecutorBoard:
    """Follows the executors' entries while this daemon owns anything.

    :param boards: reads the store.
    :param decode: decodes one entry.
    :param needed: whether the entries are needed here.
    :param clock: the clocks to read.
    :param events: the process's log.
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
        # When each executor was last seen to write its entry.
        self._written_at_by_id: dict[str, float] = {}
        self._returned_at = float("-inf")
        self._missing_by_id: dict[str, float] = {}
        # What was wrong with the newest records of those that can't be read.
        self._invalid_by_id: dict[str, Invalid] = {}
        self._subscribers: list[Callable[[], None]] = []

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
        self._subscribers.append(callback)

    def age_s(self, executor: str) -> float:
        """How many seconds ago an executor was seen to write its entry, at the latest.

        One that was there already when the entries were first read may be of any age: while the
        store is away, nobody writes.
        """
        return self._clock.monotonic() - self._written_at_by_id.get(executor, float("-inf"))

    async def run(self) -> None:
        """Follow the entries until cancelled."""
        while True:
            if not self._needed():
                await self._clock.sleep(RETRY_S / 2)
                continue
            outcome = await self._boards.read_executors(
                offset=self._offset, wait_s=EXECUTORS_WAIT_S
            )
            if isinstance(outcome, Entries):
                self._read(outcome)
                await self._clock.sleep(EXECUTORS_PERIOD_S)
            elif isinstance(outcome, Expired):
                self._offset = None
            else:
                self._failed(outcome)
                await self._clock.sleep(RETRY_S)

    def _read(self, entries: Entries) -> None:
        whole = self._offset is None
        self._offset = entries.end
        now = self._clock.monotonic()
        if self._failing:
            self._failing = False
            self._returned_at = now
            self._events.note("executors.regained", vital=True, entries=len(self.entries_by_id))
        before = dict(self.entries_by_id)
        _note_invalid(self._events, entries)
        for executor, raw in entries.values_by_key.items():
            self._take(executor, raw, now)
            if not whole:
                self._written_at_by_id[executor] = now
        if whole:
            for executor in self.entries_by_id.keys() - entries.values_by_key.keys():
                self._missing_by_id.setdefault(executor, now)
        self._drop_missing(now)
        if self.entries_by_id != before:
            for callback in self._subscribers:
                callback()

    def _take(self, executor: str, raw: bytes | None, now: float) -> None:
        if not raw:
            self._invalid_by_id.pop(executor, None)
            if executor in self.entries_by_id:
                self._missing_by_id.setdefault(executor, now)
            return
        entry = self._decode(executor, raw)
        if isinstance(entry, Invalid):
            self._take_invalid(executor, entry)
            return
        self._invalid_by_id.pop(executor, None)
        self.entries_by_id[executor] = entry
        self._missing_by_id.pop(executor, None)

    def _take_invalid(self, executor: str, record: Invalid) -> None:
        """Note a record that can't be read.

        Written over an executor's own, it leaves open whether that one drains or has moved, so it
        gets nothing new. It isn't taken for gone: what runs there would be started a second time.
        """
        known = self.entries_by_id.get(executor)
        if known is not None:
            self.entries_by_id[executor] = known._replace(readable=False)
        # Its writer may repeat it with each heartbeat; one line tells all of it.
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
        # Executors write nothing while the store is away, and their entries expire although they
        # work on; taking them for gone would leave a healthy pool unused.
        if now < self._returned_at + RETURN_S:
            return
        for executor in list(self._missing_by_id):
            del self._missing_by_id[executor]
            self.entries_by_id.pop(executor, None)
            self._written_at_by_id.pop(executor, None)

    def _failed(self, outcome: Refused | NoAnswer) -> None:
        if not self._failing:
            self._failing = True
            self._events.note("executors.lost", vital=True, why=outcome.detail)


def _note_invalid(events: EventLog, entries: Entries) -> None:
    """Tell of records that name nothing, and so cost nothing but themselves."""
    if entries.invalid:
        events.note(
            "record.invalid", vital=True, count=len(entries.invalid), why=entries.invalid[0]
        )
