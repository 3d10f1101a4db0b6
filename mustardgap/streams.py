"""The state stream: read and folded on every daemon, and written to."""

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
    :param state: the state to fold into; ``state`` is replaced when a snapshot is taken over.
    :param settings: the section ``platform``.
    :param timers: the timer service, for its clocks.
    :param timeline: where changes are noted.
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
        """The offset folded up to; the next record has this offset."""
        return self.state.offset

    @property
    def current(self) -> bool:
        """Whether all that was decided ``fresh_s`` ago is folded here."""
        return self.why_not_current is None

    def seconds_since_confirmed(self) -> float:
        """Seconds since this daemon last knew that it had folded all there was; may be infinite."""
        return self.clock.monotonic() - self._confirmed_at

    def on_fold(self, callback: FoldCallback) -> None:
        """Call back with each folded record and its verdict, in offset order."""
        self._callbacks.append(callback)

    def on_restore(self, callback: Callable[[], None]) -> None:
        """Call back when a snapshot has replaced ``state``."""
        self._restore_callbacks.append(callback)

    async def run(self) -> None:
        """Read, fold and append until cancelled."""
        # A group passes over a task that ends by a cancellation; the others would go on alone.
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
        :param purpose: who it is for; operators go first and background work last.
        :param record_id: an id of the writer's own; one folded before gives its first verdict.
        :return: the fold's verdict.
        :raises PlatformError: MG5000, it was certainly not appended.
        :raises AnswerLost: MG5001, it may be appended and take effect.
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
        """What the fold would decide on a record now; nothing is written."""
        return folds.check(self.state, kind, body)

    def receive(self, log_records: Iterable[LogRecord]) -> int:
        """Fold records that a peer has read, so that a daemon cut off from the log stays current.

        Only the next record in offset order is taken; after a gap the rest waits for the log or
        for a peer to send what is missing.

        :return: how many were folded.
        """
        before = self.offset
        for record in log_records:
            if record.offset > self.offset or not self._fold(record):
                break
        return self.offset - before

    def confirm_current(self, offset: int, age_s: float) -> None:
        """Take in that a peer had folded all there was, up to an offset, some seconds ago."""
        at = self.clock.monotonic() - age_s
        # Neither is mended by a peer: it may know less of rules, or have read the same log.
        is_stuck = self.why_not_current in (status_codes.RULES_TOO_NEW, status_codes.LOG_WENT_BACK)
        if self.offset >= offset and at > self._confirmed_at and not is_stuck:
            self._confirm(at)

    def recent(self, start: int, *, limit: int = PAGE_RECORDS) -> list[LogRecord]:
        """The latest folded records from an offset on, for a peer that misses them.

        :return: nothing when ``start`` is older than what is kept; send a snapshot then.
        """
        if not self._recent or start < self._recent[0].offset:
            return []
        skipped = start - self._recent[0].offset
        return list(islice(self._recent, skipped, skipped + limit))

    def snapshot(self) -> bytes:
        """The folded state, coded for a peer."""
        return snapshots.encode(self.state)

    def restore(self, data: bytes) -> bool:
        """Take over a snapshot; one that isn't newer than the own state changes nothing.

        :return: whether it was taken over.
        :raises RecordRejected: MG3004 or MG3012, it can't be read.
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
            # The newest checkpoint spares most of the reading; without one the log has it all.
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
        # Half of the bound: an answer without a record is what shows that nothing is missed.
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
                # Thousands of records at start-up mustn't hold up requests and heartbeats.
                await asyncio.sleep(0)
                slice_end = self.clock.monotonic() + FOLD_SLICE_S
        if self.offset >= page.end:
            self._confirm(started)
        self.checkpoints.oldest = page.oldest

    async def _handle_lost_records(self) -> None:
        """Refuse a log that has lost records: its new ones would be decided on other grounds."""
        self._set_not_current(status_codes.LOG_WENT_BACK)
        await self._back_off()

    async def _restore_checkpoint(self) -> bool:
        """Go on from the newest checkpoint on the log, if it is newer than the own state."""
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

        :return: False when it needs newer rules and nothing after it can be folded either.
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
            # By the clocks alone an effect could seem to come before the record that caused it.
            self.timeline.witness_time(value["time"])
        kind = value.get("kind")
        kind = kind if kind in folds.RULES_BY_KIND else "other"
        metrics.fold_verdicts.add(1, {"kind": kind, "mustardgap.code": code.number})
        record_id = str(value.get("id", ""))
        is_copy = code is status_codes.DUPLICATE_RECORD
        # The writer of a second copy hears of the first; nobody else may act on it twice.
        first_verdict = folds.earlier_verdict(self.state, record_id) if is_copy else None
        self.appender.resolve(record_id, first_verdict or verdict)
        for callback in self._callbacks:
            try:
                callback(record, verdict)
            except Exception:
                # The record is folded all the same, and the other parts must hear of it.
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
        # Full jitter: after an outage the daemons don't all come back in the same instant.
        limit = min(MAX_BACKOFF_S, BACKOFF_S * 2.0 ** min(self._failures, 10))
        self._failures += 1
        await self.clock.sleep(random.uniform(0, limit))
