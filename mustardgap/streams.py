"""The state stream, which every daemon reads, folds and appends to."""

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

import msgspec
from absl import logging

from . import cancellations, folds, metrics, records, snapshots, status_codes
from .adapters import Platform
from .appends import Appender, Purpose
from .checkpoints import Checkpoints
from .exceptions import LogExpired, PlatformError, RecordRejected
from .models import LogRecord, Page
from .outcomes import Accepted, Verdict
from .settings import PlatformSettings
from .states import State
from .status_codes import Code
from .timelines import Timeline
from .timers import Timers

PAGE_RECORDS = 1000
MAX_RECENT_RECORDS = 2000
BACKOFF_S = 0.1
MAX_BACKOFF_S = 3.0
FOLD_SLICE_S = 0.005

FoldCallback = Callable[[LogRecord, Verdict], None]


class Log:
    """Reads the state stream in offset order, folds it, and appends to it.

    :param platform: the platform's log.
    :param state: the state to fold into; its content is replaced when a snapshot is restored.
    :param settings: the section ``platform``.
    :param timers: the timer service, for its clocks.
    :param timeline: records changes.
    :param member: this daemon's name, the writer of its records.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        state: State,
        settings: PlatformSettings,
        timers: Timers,
        timeline: Timeline,
        member: str,
    ) -> None:
        self.platform = platform
        self.state = state
        self.settings = settings
        self.clock = timers.clock
        self.timeline = timeline
        self.member = member
        self.appender = Appender(
            platform=platform,
            stream=settings.stream,
            appends_per_s=settings.appends_per_s,
            timeout_s=settings.timeout_s,
            clock=self.clock,
            get_offset=lambda: self.offset,
        )
        self.checkpoints = Checkpoints(
            platform=platform, settings=settings, clock=self.clock, log=self
        )
        self.why_not_current: Code | None = status_codes.LOG_UNAVAILABLE
        self._confirmed_at = -math.inf
        self._callbacks: list[FoldCallback] = []
        self._restore_callbacks: list[Callable[[], None]] = []
        self._recent: deque[LogRecord] = deque(maxlen=MAX_RECENT_RECORDS)
        self._failures = 0

    @property
    def offset(self) -> int:
        """Return the offset of the next record to fold."""
        return self.state.offset

    @property
    def current(self) -> bool:
        """Return whether all records up to ``seconds_since_confirmed()`` ago are folded."""
        return self.why_not_current is None

    def seconds_since_confirmed(self) -> float:
        """Return seconds since all records were last known to be folded; may be infinite."""
        return self.clock.monotonic() - self._confirmed_at

    def on_fold(self, callback: FoldCallback) -> None:
        """Register a callback for each folded record and its verdict, in offset order."""
        self._callbacks.append(callback)

    def on_restore(self, callback: Callable[[], None]) -> None:
        """Register a callback for when a snapshot has replaced the state."""
        self._restore_callbacks.append(callback)

    async def run(self) -> None:
        """Read, fold and append records until cancelled."""
        # A task group ignores a task that ends by a cancellation; the others would run on alone.
        async with asyncio.TaskGroup() as group:
            for part in (self._read_and_fold, self.appender.run, self.checkpoints.run):
                group.create_task(cancellations.run_part(part))

    async def write(
        self,
        kind: str,
        body: Any,
        *,
        timeout_s: float,
        purpose: Purpose = "actions",
        record_id: str = "",
    ) -> Verdict:
        """Append a record and wait until this daemon has folded it.

        :param kind: the kind of record.
        :param body: its body.
        :param timeout_s: seconds to wait.
        :param purpose: sets the priority: operators are first and background work is last.
        :param record_id: the writer's own id; an id folded before returns its first verdict.
        :return: the fold's verdict.
        :raises PlatformError: MG5000, the record was certainly not appended.
        :raises AnswerLost: MG5001, the record may be appended and take effect.
        """
        record = records.make(
            kind,
            body,
            writer=self.member,
            seen=self.offset,
            time=self.timeline.send_time(),
            record_id=record_id,
        )
        before = folds.earlier_verdict(self.state, record["id"])
        if before is not None:
            return before
        size = len(msgspec.json.encode(record))
        pending = self.appender.find_or_enqueue(record, purpose, size)
        pending.waiters += 1
        try:
            done, _ = await asyncio.wait([pending.verdict], timeout=timeout_s)
        finally:
            pending.waiters -= 1
            if pending.waiters == 0 and not pending.verdict.done():
                self.appender.drop(pending)
        if not done:
            raise pending.failure()
        return pending.verdict.result()

    def check(self, kind: str, body: Any) -> Verdict:
        """Return the verdict that the fold would give now, without writing a record."""
        return folds.check(self.state, kind, body)

    def receive(self, log_records: Iterable[LogRecord]) -> int:
        """Fold records that a peer has read, so that a daemon isolated from the log stays current.

        Records are folded in offset order only. Those after a gap are dropped, and must be read
        from the log or sent by a peer again.

        :return: the number of folded records.
        """
        before = self.offset
        for record in log_records:
            if record.offset > self.offset or not self._fold(record):
                break
        return self.offset - before

    def confirm_current(self, offset: int, age_s: float) -> None:
        """Note that a peer had folded all records, up to an offset, ``age_s`` seconds ago."""
        at = self.clock.monotonic() - age_s
        # A peer can't clear these: it may know fewer rules or have read the same log.
        is_stuck = self.why_not_current in (status_codes.RULES_TOO_NEW, status_codes.LOG_WENT_BACK)
        if self.offset >= offset and at > self._confirmed_at and not is_stuck:
            self._confirm(at)

    def recent(self, start: int, *, limit: int = PAGE_RECORDS) -> list[LogRecord]:
        """Return recently folded records from an offset on, for a peer that lacks them.

        :return: an empty list if ``start`` precedes the kept records; send a snapshot then.
        """
        if not self._recent or start < self._recent[0].offset:
            return []
        skipped = start - self._recent[0].offset
        return list(islice(self._recent, skipped, skipped + limit))

    def snapshot(self) -> bytes:
        """Return the folded state, encoded for a peer."""
        return snapshots.encode(self.state)

    def restore(self, data: bytes) -> bool:
        """Replace the state by a snapshot, if the snapshot is newer.

        :return: whether the state was replaced.
        :raises RecordRejected: MG3004 or MG3012, the snapshot can't be read.
        """
        state = snapshots.decode(data)
        if state.offset <= self.offset:
            return False
        self.state.replace_with(state)
        self._recent.clear()
        self.timeline.add("log.restored", offset=state.offset)
        self.appender.resolve_all(lambda record_id: folds.earlier_verdict(state, record_id))
        for callback in self._restore_callbacks:
            callback()
        return True

    async def _read_and_fold(self) -> None:
        if self.offset == 0:
            # The newest checkpoint saves reading most records; without one the log has them all.
            await self._restore_checkpoint()
        while True:
            started, start = self.clock.monotonic(), self.offset
            try:
                page = await self._read_page()
            except LogExpired:
                self._set_not_current(status_codes.LOG_EXPIRED)
                if not await self._restore_checkpoint():
                    await self._back_off()
                continue
            except PlatformError as exc:
                metrics.log_errors.add(1, {"call": "read"})
                if self._failures == 0:
                    logging.warning("the log can't be read: %s", exc)
                await self._back_off()
                continue
            if page.end < start:
                await self._handle_lost_records()
                continue
            self._failures = 0
            await self._fold_page(page, started)

    async def _read_page(self) -> Page:
        # An empty answer confirms the state, so it must arrive well before the state goes stale.
        wait_s = min(self.settings.long_poll_s, self.settings.stale_after_s / 3)
        return await self.platform.read(
            self.settings.stream, self.offset, limit=PAGE_RECORDS, wait_s=wait_s
        )

    async def _fold_page(self, page: Page, started: float) -> None:
        metrics.log_reads.add(len(page.records))
        slice_end = self.clock.monotonic() + FOLD_SLICE_S
        for record in page.records:
            if record.offset >= self.offset and not self._fold(record):
                await self._back_off()
                return
            if self.clock.monotonic() > slice_end:
                # Thousands of records at start-up mustn't delay requests and heartbeats.
                await asyncio.sleep(0)
                slice_end = self.clock.monotonic() + FOLD_SLICE_S
        if self.offset >= page.end:
            self._confirm(started)
        self.checkpoints.oldest = page.oldest

    async def _handle_lost_records(self) -> None:
        """Refuse a log that lost records, because its new ones don't build on this state."""
        self._set_not_current(status_codes.LOG_WENT_BACK)
        await self._back_off()

    async def _restore_checkpoint(self) -> bool:
        """Restore the newest checkpoint on the log, if it is newer than the state."""
        try:
            loaded = await self.checkpoints.load()
            return loaded is not None and self.restore(loaded.data)
        except PlatformError:
            return False
        except RecordRejected as exc:
            self._set_not_current(exc.code)
            return False

    def _fold(self, record: LogRecord) -> bool:
        """Fold the next record.

        :return: False if it needs newer rules, so that no later record can be folded either.
        """
        if record.offset < self.offset:
            return True
        verdict = folds.fold(self.state, record)
        if record.offset == self.offset:
            self._set_not_current(status_codes.RULES_TOO_NEW)
            return False
        self._recent.append(record)
        code = status_codes.OK if isinstance(verdict, Accepted) else verdict.code
        value = record.value if isinstance(record.value, dict) else {}
        if isinstance(value.get("time"), float):
            # Otherwise, clock skew could order an effect before the record that caused it.
            self.timeline.witness_time(value["time"])
        kind = value.get("kind")
        kind = kind if kind in folds.RULES_BY_KIND else "other"
        metrics.fold_verdicts.add(1, {"kind": kind, "mustardgap.code": code.number})
        record_id = str(value.get("id", ""))
        is_copy = code is status_codes.DUPLICATE_RECORD
        # The writer of a second copy gets the first verdict; nothing else may act on it twice.
        first_verdict = folds.earlier_verdict(self.state, record_id) if is_copy else None
        self.appender.resolve(record_id, first_verdict or verdict)
        for callback in self._callbacks:
            try:
                callback(record, verdict)
            except Exception:
                # The record is folded nevertheless, and the other callbacks must run.
                logging.exception("a callback failed at offset %d", record.offset)
        return True

    def _confirm(self, at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, at)
        if self.why_not_current is not None:
            self.why_not_current = None
            self.timeline.add("log.current", offset=self.offset)

    def _set_not_current(self, code: Code) -> None:
        if self.why_not_current is not code:
            self.why_not_current = code
            self.timeline.add("log.behind", offset=self.offset, cause=code.title)
            logging.warning("not current at offset %d: %s %s", self.offset, code, code.title)

    async def _back_off(self) -> None:
        # Full jitter spreads the daemons' retries after an outage.
        limit = min(MAX_BACKOFF_S, BACKOFF_S * 2.0 ** min(self._failures, 10))
        self._failures += 1
        await self.clock.sleep(random.uniform(0, limit))
