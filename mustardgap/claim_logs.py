"""Reading and writing the stream of claims of Idempotency-Keys."""

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

MAX_BATCH = 200
MAX_APPENDS = 4
END_LINGER_S = 0.05
READ_LIMIT = 1000
RETRY_S = 0.25
# How long a long poll may lag behind an append before it is taken for a silent connection, and
# how long and by how much polls are shortened after that.
READ_LAG_S = 0.1
CAREFUL_S = 30.0
CAREFUL_POLL_S = 1.0


class HasLog(Protocol):
    """The part of the platform that claims stand on."""

    async def append(self, stream: str, values: list[Any]) -> int:
        """Append records together."""

    async def read(self, stream: str, start: int, *, limit: int = 500, wait_s: float = 0.0) -> Page:
        """Read records from an offset on."""


class Claimant(Protocol):
    """Who waits for claims to be read back."""

    def decide(self, record: ClaimRecord) -> None:
        """A claim was read from the log and the ledger has taken it in."""

    def refuse(self, record: ClaimRecord) -> None:
        """A claim certainly doesn't stand on the log."""

    def waits_for(self, record: ClaimRecord) -> bool:
        """Whether a claim is still waited for."""


class ClaimLog:
    """The stream of claims: records go out in bounded numbers of appends and all are read.

    :param settings: the daemon's settings.
    :param platform: the log.
    :param claimant: who waits for claims.
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
        self._next = 0
        self._end = 0
        self._readable = False
        self._readable_since = float("inf")
        self._careful_until = 0.0
        self._appendable = True
        self._probe_at = 0.0
        self._lost_ids: set[str] = set()
        self._queue: list[KeyRecord] = []
        self._queued = asyncio.Event()
        self._claimed = asyncio.Event()
        self._appended = asyncio.Event()
        self._appends: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Read and append until cancelled; appends on their way end by themselves."""
        # A group passes over a task that ends by a cancellation; the others would go on alone.
        async with asyncio.TaskGroup() as group:
            for part in (self._read_on, self._append_on):
                group.create_task(cancellations.run_part(part))

    def put(self, record: KeyRecord) -> None:
        """Append a record soon; ends of claims are tried again until they stand on the log."""
        self._queue.append(record)
        self._queued.set()
        if isinstance(record, ClaimRecord):
            self._claimed.set()

    def withdraw(self, record: ClaimRecord) -> None:
        """Append a claim no more; it may stand on the log already."""
        self._lost_ids.discard(record.id)
        if record in self._queue:
            self._queue.remove(record)

    def is_settled(self) -> bool:
        """Whether all records that were put stand on the log."""
        return not self._queue and not self._appends

    def read_for_s(self) -> float:
        """Tell for how long the log has been read without a failure, in seconds; 0 if it isn't."""
        return max(0.0, self.clock.monotonic() - self._readable_since)

    def why_unusable(self) -> str:
        """Why a new claim would be in vain now, "" when it may be tried."""
        if not self._readable:
            return "the log can't be read now"
        if self._appendable:
            return ""
        now = self.clock.monotonic()
        if now < self._probe_at:
            return "the log takes no records now"
        # One claim in a while finds out whether it does again.
        self._probe_at = now + RETRY_S
        return ""

    async def _append_on(self) -> None:
        budget = AppendBudget(per_s=self.settings.requests.claim_appends_per_s, clock=self.clock)
        while True:
            await self._queued.wait()
            await self._linger()
            while len(self._appends) >= MAX_APPENDS:
                await asyncio.wait(self._appends, return_when=asyncio.FIRST_COMPLETED)
            while (wait_s := budget.try_take("actions")) > 0.0:
                await self.clock.sleep(wait_s)
            batch, self._queue = self._queue[:MAX_BATCH], self._queue[MAX_BATCH:]
            if not self._queue:
                self._queued.clear()
            if batch:
                task = asyncio.create_task(self._append(batch))
                self._appends.add(task)
                task.add_done_callback(self._appends.discard)
            if not self._appendable:
                await self.clock.sleep(RETRY_S)

    async def _linger(self) -> None:
        """Let ends of claims wait for a claim to go with; nobody waits for them."""
        if any(isinstance(record, ClaimRecord) for record in self._queue):
            return
        self._claimed.clear()
        try:
            async with asyncio.timeout(END_LINGER_S):
                await self._claimed.wait()
        except TimeoutError:
            pass

    async def _append(self, batch: list[KeyRecord]) -> None:
        values = [msgspec.to_builtins(record) for record in batch]
        try:
            first = await self.platform.append(self.stream, values)
        except (PlatformError, AnswerLost) as exc:
            metrics.log_errors.add(1, {"call": "append"})
            self._note_appendable(False, str(exc))
            self._take_back(batch, lost=isinstance(exc, AnswerLost))
        except BaseException:
            self._take_back(batch, lost=True)
            raise
        else:
            metrics.log_appends.add(len(batch), {"purpose": "claims"})
            self._note_appendable(True)
            self._end = max(self._end, first + len(batch))
            if self._end > self._next:
                self._appended.set()

    def _take_back(self, batch: list[KeyRecord], *, lost: bool) -> None:
        """Queue again what must stand on the log; a second copy does no harm there."""
        again: list[KeyRecord] = []
        for record in batch:
            if not isinstance(record, ClaimRecord):
                again.append(record)
                continue
            if lost:
                self._lost_ids.add(record.id)
            # A claim whose first copy may stand on the log isn't refused with its second one.
            if record.id not in self._lost_ids:
                self.claimant.refuse(record)
            elif self.claimant.waits_for(record):
                again.append(record)
        self._queue[:0] = again
        if again:
            self._queued.set()

    def _note_appendable(self, appendable: bool, why: str = "") -> None:
        if not appendable:
            self._probe_at = self.clock.monotonic() + RETRY_S
        if appendable == self._appendable:
            return
        self._appendable = appendable
        if appendable:
            logging.info("claims of keys can be written again")
        else:
            logging.warning("claims of keys can't be written: %s", why)

    async def _read_on(self) -> None:
        while True:
            try:
                page = await self._read()
            except LogExpired as exc:
                self._next = exc.oldest
            except PlatformError as exc:
                metrics.log_errors.add(1, {"call": "read"})
                self._note_readable(False, str(exc))
                await self.clock.sleep(random.uniform(0.5, 1.5) * RETRY_S)
            else:
                self._take(page)

    async def _read(self) -> Page:
        """Read on; a long poll that lags behind an append is given up for a new connection."""
        if not self._readable:
            return await self.platform.read(self.stream, self._next, limit=READ_LIMIT)
        wait_s = self.settings.platform.long_poll_s
        if self.clock.monotonic() < self._careful_until:
            wait_s = min(wait_s, CAREFUL_POLL_S)
        if self._end <= self._next:
            self._appended.clear()
        poll = asyncio.create_task(
            self.platform.read(self.stream, self._next, limit=READ_LIMIT, wait_s=wait_s)
        )
        appended = asyncio.create_task(self._appended.wait())
        try:
            await asyncio.wait({poll, appended}, return_when=asyncio.FIRST_COMPLETED)
            if not poll.done():
                await asyncio.wait({poll}, timeout=READ_LAG_S)
            if poll.done():
                return poll.result()
            self._careful_until = self.clock.monotonic() + CAREFUL_S
            return await self.platform.read(self.stream, self._next, limit=READ_LIMIT)
        finally:
            poll.cancel()
            appended.cancel()

    def _take(self, page: Page) -> None:
        if page.end < self._next:
            logging.warning("the claims' stream begins anew; keys claimed before stay known here")
            self._next, self._end = page.oldest, 0
            return
        for record in page.records:
            value = self.ledger.fold(record)
            if isinstance(value, ClaimRecord):
                self._lost_ids.discard(value.id)
                self.claimant.decide(value)
        metrics.log_reads.add(len(page.records))
        self._next = page.next_offset
        if page.next_offset >= page.end:
            self._note_readable(True)

    def _note_readable(self, readable: bool, why: str = "") -> None:
        if readable == self._readable:
            return
        self._readable = readable
        self._readable_since = self.clock.monotonic() if readable else float("inf")
        if readable:
            logging.info("claims of keys are read up to the log's end")
        else:
            logging.warning("claims of keys can't be read: %s", why)
