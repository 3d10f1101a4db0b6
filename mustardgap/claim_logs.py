"""Reads and appends to the stream of claims of Idempotency-Keys."""

import asyncio
import random
from typing import Any, Protocol

import msgspec
from absl import logging

from . import cancellations, metrics
from .appends import AppendBudget
from .claims import ClaimRecord, KeyRecord, Ledger
from .exceptions import AnswerLost, LogExpired, PlatformError
from .models import Page
from .settings import Settings
from .timers import Clock

MAX_BATCH_RECORDS = 200
MAX_CONCURRENT_APPENDS = 4
END_LINGER_S = 0.05
READ_LIMIT = 1000
RETRY_S = 0.25
# How long a long poll may lag behind an append before its connection is considered unresponsive;
# for how long polls are shortened after that, and their longest wait in that period.
MAX_POLL_LAG_S = 0.1
SHORT_POLL_PERIOD_S = 30.0
SHORT_POLL_WAIT_S = 1.0


class HasLog(Protocol):
    """The part of the platform that stores claims."""

    async def append(self, stream: str, values: list[Any]) -> int:
        """Append records in one call, and return the offset of the first."""

    async def read(self, stream: str, start: int, *, limit: int = 500, wait_s: float = 0.0) -> Page:
        """Read records from an offset onwards."""


class Claimant(Protocol):
    """Receives the results of claims."""

    def on_claim_read(self, record: ClaimRecord) -> None:
        """Handle a claim that was read from the log and folded into the ledger."""

    def on_claim_failed(self, record: ClaimRecord) -> None:
        """Handle a claim that certainly isn't on the log."""

    def is_claim_pending(self, record: ClaimRecord) -> bool:
        """Return whether a request still waits for a claim."""


class ClaimLog:
    """The stream of claims: appends records at a limited rate, and reads all records.

    :param settings: the daemon's settings.
    :param platform: the platform that has the log.
    :param claimant: receives the results of claims.
    :param clock: the clocks to read.
    """

    def __init__(
        self, *, settings: Settings, platform: HasLog, claimant: Claimant, clock: Clock
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.claimant = claimant
        self.clock = clock
        self.ledger = Ledger(ttl_s=settings.requests.key_ttl_s)
        self.stream = settings.platform.claims_stream
        self._next_offset = 0
        self._end_offset = 0
        self._readable = False
        self._readable_since = float("inf")
        self._short_polls_until = 0.0
        self._appendable = True
        self._probe_at = 0.0
        self._unconfirmed_ids: set[str] = set()
        self._queue: list[KeyRecord] = []
        self._queued = asyncio.Event()
        self._claim_queued = asyncio.Event()
        self._appended = asyncio.Event()
        self._appends: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Read and append until cancelled; appends in progress complete on their own."""
        # A TaskGroup ignores a task that ends by a cancellation, and the others would run on alone.
        async with asyncio.TaskGroup() as group:
            for part in (self._read_loop, self._append_loop):
                group.create_task(cancellations.run_part(part))

    def put(self, record: KeyRecord) -> None:
        """Queue a record to append; ends of claims are retried until they are on the log."""
        self._queue.append(record)
        self._queued.set()
        if isinstance(record, ClaimRecord):
            self._claim_queued.set()

    def withdraw(self, record: ClaimRecord) -> None:
        """Stop trying to append a claim; it may be on the log already."""
        self._unconfirmed_ids.discard(record.id)
        if record in self._queue:
            self._queue.remove(record)

    def is_flushed(self) -> bool:
        """Return whether no record is queued or being appended."""
        return not self._queue and not self._appends

    def readable_for_s(self) -> float:
        """Return for how long the log has been readable, in seconds; 0 if it isn't."""
        return max(0.0, self.clock.monotonic() - self._readable_since)

    def why_unusable(self) -> str:
        """Return why a new claim would fail now, "" if it may be tried."""
        if not self._readable:
            return "the log can't be read now"
        if self._appendable:
            return ""
        now = self.clock.monotonic()
        if now < self._probe_at:
            return "the log takes no records now"
        # One claim per RETRY_S tests whether the log accepts records again.
        self._probe_at = now + RETRY_S
        return ""

    async def _append_loop(self) -> None:
        budget = AppendBudget(per_s=self.settings.requests.claim_appends_per_s, clock=self.clock)
        while True:
            await self._queued.wait()
            await self._linger()
            while len(self._appends) >= MAX_CONCURRENT_APPENDS:
                await asyncio.wait(self._appends, return_when=asyncio.FIRST_COMPLETED)
            while (wait_s := budget.try_take("actions")) > 0.0:
                await self.clock.sleep(wait_s)
            batch, self._queue = self._queue[:MAX_BATCH_RECORDS], self._queue[MAX_BATCH_RECORDS:]
            if not self._queue:
                self._queued.clear()
            if batch:
                task = asyncio.create_task(self._append(batch))
                self._appends.add(task)
                task.add_done_callback(self._appends.discard)
            if not self._appendable:
                await self.clock.sleep(RETRY_S)

    async def _linger(self) -> None:
        """Delay ends of claims to append them with a claim, as no caller waits for them."""
        if any(isinstance(record, ClaimRecord) for record in self._queue):
            return
        self._claim_queued.clear()
        try:
            async with asyncio.timeout(END_LINGER_S):
                await self._claim_queued.wait()
        except TimeoutError:
            pass

    async def _append(self, batch: list[KeyRecord]) -> None:
        values = [msgspec.to_builtins(record) for record in batch]
        try:
            first = await self.platform.append(self.stream, values)
        except (PlatformError, AnswerLost) as exc:
            metrics.log_errors.add(1, {"call": "append"})
            self._note_appendable(False, str(exc))
            self._handle_failed_append(batch, answer_lost=isinstance(exc, AnswerLost))
        except BaseException:
            self._handle_failed_append(batch, answer_lost=True)
            raise
        else:
            metrics.log_appends.add(len(batch), {"purpose": "claims"})
            self._note_appendable(True)
            self._end_offset = max(self._end_offset, first + len(batch))
            if self._end_offset > self._next_offset:
                self._appended.set()

    def _handle_failed_append(self, batch: list[KeyRecord], *, answer_lost: bool) -> None:
        """Queue again the records that must get on the log; a second copy is harmless."""
        retried: list[KeyRecord] = []
        for record in batch:
            if not isinstance(record, ClaimRecord):
                retried.append(record)
                continue
            if answer_lost:
                self._unconfirmed_ids.add(record.id)
            # The failure of a retry doesn't refuse a claim whose first copy may be on the log.
            if record.id not in self._unconfirmed_ids:
                self.claimant.on_claim_failed(record)
            elif self.claimant.is_claim_pending(record):
                retried.append(record)
        self._queue[:0] = retried
        if retried:
            self._queued.set()

    def _note_appendable(self, appendable: bool, why: str = "") -> None:
        if not appendable:
            self._probe_at = self.clock.monotonic() + RETRY_S
        if appendable == self._appendable:
            return
        self._appendable = appendable
        if appendable:
            logging.info("claim records can be appended again")
        else:
            logging.warning("claim records can't be appended: %s", why)

    async def _read_loop(self) -> None:
        while True:
            try:
                page = await self._read()
            except LogExpired as exc:
                self._next_offset = exc.oldest
            except PlatformError as exc:
                metrics.log_errors.add(1, {"call": "read"})
                self._note_readable(False, str(exc))
                await self.clock.sleep(random.uniform(0.5, 1.5) * RETRY_S)
            else:
                self._apply_page(page)

    async def _read(self) -> Page:
        """Read on; a long poll that lags behind an append is repeated on a new connection."""
        if not self._readable:
            return await self.platform.read(self.stream, self._next_offset, limit=READ_LIMIT)
        wait_s = self.settings.platform.long_poll_s
        if self.clock.monotonic() < self._short_polls_until:
            wait_s = min(wait_s, SHORT_POLL_WAIT_S)
        if self._end_offset <= self._next_offset:
            self._appended.clear()
        poll = asyncio.create_task(
            self.platform.read(self.stream, self._next_offset, limit=READ_LIMIT, wait_s=wait_s)
        )
        appended = asyncio.create_task(self._appended.wait())
        try:
            await asyncio.wait({poll, appended}, return_when=asyncio.FIRST_COMPLETED)
            if not poll.done():
                await asyncio.wait({poll}, timeout=MAX_POLL_LAG_S)
            if poll.done():
                return poll.result()
            self._short_polls_until = self.clock.monotonic() + SHORT_POLL_PERIOD_S
            return await self.platform.read(self.stream, self._next_offset, limit=READ_LIMIT)
        finally:
            poll.cancel()
            appended.cancel()

    def _apply_page(self, page: Page) -> None:
        if page.end < self._next_offset:
            logging.warning("the claims stream was reset; keys claimed earlier stay known here")
            self._next_offset, self._end_offset = page.oldest, 0
            return
        for record in page.records:
            value = self.ledger.fold(record)
            if isinstance(value, ClaimRecord):
                self._unconfirmed_ids.discard(value.id)
                self.claimant.on_claim_read(value)
        metrics.log_reads.add(len(page.records))
        self._next_offset = page.next_offset
        if page.next_offset >= page.end:
            self._note_readable(True)

    def _note_readable(self, readable: bool, why: str = "") -> None:
        if readable == self._readable:
            return
        self._readable = readable
        self._readable_since = self.clock.monotonic() if readable else float("inf")
        if readable:
            logging.info("claim records have been read up to the log's end")
        else:
            logging.warning("claim records can't be read: %s", why)
