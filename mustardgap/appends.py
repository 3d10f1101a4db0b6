"""Appends to the state stream: batches, a rate limit, and lost answers."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Any, Literal

from . import metrics, states, status_codes
from .adapters import Platform
from .exceptions import AnswerLost, MustardgapError, PlatformError
from .models import Record
from .outcomes import Verdict
from .timers import Clock

Purpose = Literal["operators", "actions", "background"]

MAX_BATCH_RECORDS = 200
MAX_BATCH_BYTES = 512 * 1024
BACKOFF_S = 0.1
MAX_BACKOFF_S = 3.0
AHEAD_POLL_S = 0.02
# The fraction of the budget that background work leaves to operators and actions.
RESERVED_FRACTION = 0.2


class PendingRecord:
    """A record that is queued or appended; it is folded when ``verdict`` is set."""

    def __init__(self, *, record: Record, size: int, purpose: Purpose) -> None:
        self.record = record
        self.size = size
        self.purpose = purpose
        self.verdict: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        self.may_be_appended = False
        self.waiters = 0
        self.error = ""

    def failure(self) -> MustardgapError:
        """Return the error for a record without a verdict in time."""
        if self.may_be_appended:
            return AnswerLost(detail=self.error or "appended, but not read back in time")
        detail = self.error or "no append was tried in time"
        return PlatformError(code=status_codes.LOG_UNAVAILABLE, detail=detail)


class AppendBudget:
    """A token bucket that limits appends per second.

    :param per_s: tokens per second; the bucket holds the tokens of one second.
    :param clock: the clock to read.
    """

    def __init__(self, *, per_s: float, clock: Clock) -> None:
        self.per_s = per_s
        self.clock = clock
        self._tokens = per_s
        self._filled_at = clock.monotonic()

    def try_take(self, purpose: Purpose) -> float:
        """Take a token and return 0, or return seconds until one is free for this purpose."""
        now = self.clock.monotonic()
        self._tokens = min(self.per_s, self._tokens + (now - self._filled_at) * self.per_s)
        self._filled_at = now
        reserved = self.per_s * RESERVED_FRACTION if purpose == "background" else 0.0
        missing = 1.0 + reserved - self._tokens
        if missing > 0:
            return missing / self.per_s
        self._tokens -= 1.0
        return 0.0


class Appender:
    """Appends records in batches, with one append in flight.

    :param platform: the log.
    :param stream: the stream's name.
    :param appends_per_s: the budget of appends.
    :param timeout_s: seconds to wait until own records are read before they are appended again.
    :param clock: the clocks to read.
    :param get_offset: returns the offset that this daemon has folded up to.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        stream: str,
        appends_per_s: float,
        timeout_s: float,
        clock: Clock,
        get_offset: Callable[[], int],
    ) -> None:
        self.platform = platform
        self.stream = stream
        self.timeout_s = timeout_s
        self.clock = clock
        self.get_offset = get_offset
        self.budget = AppendBudget(per_s=appends_per_s, clock=clock)
        self.pending_by_id: dict[str, PendingRecord] = {}
        self._queues: dict[Purpose, deque[PendingRecord]] = {
            "operators": deque(),
            "actions": deque(),
            "background": deque(),
        }
        self._queued = asyncio.Event()
        self._failures = 0
        self._appended_end = 0

    def find_or_enqueue(self, record: Record, purpose: Purpose, size: int) -> PendingRecord:
        """Return the pending record with this id, queued now if there is none."""
        pending = self.pending_by_id.get(record["id"])
        if pending is None:
            pending = PendingRecord(record=record, size=size, purpose=purpose)
            self.pending_by_id[record["id"]] = pending
            self._queues[purpose].append(pending)
            self._queued.set()
        return pending

    def drop(self, pending: PendingRecord) -> None:
        """Drop a record; one that is in flight may still be appended."""
        self.pending_by_id.pop(pending.record["id"], None)
        pending.verdict.cancel()

    def resolve(self, record_id: str, verdict: Verdict) -> None:
        """Pass the fold's verdict to the waiting writers."""
        pending = self.pending_by_id.pop(record_id, None)
        if pending is not None and not pending.verdict.done():
            pending.verdict.set_result(verdict)

    def resolve_all(self, verdict_for: Callable[[str], Verdict | None]) -> None:
        """Pass the verdicts of a restored state to the waiting writers."""
        for record_id in list(self.pending_by_id):
            verdict = verdict_for(record_id)
            if verdict is not None:
                self.resolve(record_id, verdict)

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            purpose = self._next_purpose()
            if purpose is None:
                self._queued.clear()
                await self._queued.wait()
                continue
            wait_s = AHEAD_POLL_S if self._is_too_far_ahead() else self.budget.try_take(purpose)
            if wait_s > 0:
                await self.clock.sleep(wait_s)
                continue
            await self._append(self._next_batch())

    def _is_too_far_ahead(self) -> bool:
        """Return whether too many records appended here aren't folded yet.

        Otherwise, a burst of thousands of records would run ahead of the reader by more than the
        remembered ids, and its last records would be rejected as too old. A sixteenth of these ids
        and a batch for each of eight daemons is less than all remembered ids.
        """
        return self._appended_end - self.get_offset() > states.REMEMBERED_IDS // 16

    def _next_purpose(self) -> Purpose | None:
        for purpose, queue in self._queues.items():
            while queue and queue[0].verdict.done():
                queue.popleft()
            if queue:
                return purpose
        return None

    def _next_batch(self) -> list[PendingRecord]:
        batch: list[PendingRecord] = []
        size = 0
        for queue in self._queues.values():
            while queue and len(batch) < MAX_BATCH_RECORDS:
                if batch and size + queue[0].size > MAX_BATCH_BYTES:
                    return batch
                pending = queue.popleft()
                if not pending.verdict.done():
                    batch.append(pending)
                    size += pending.size
        return batch

    async def _append(self, batch: list[PendingRecord]) -> None:
        """Append a batch, and queue records again that may not have reached the log.

        After a lost answer it is unknown whether the batch is on the log. The appender waits a
        bounded time for the reader to fold its records, then appends them again with the same ids.
        The fold drops a second copy, so at worst it costs its space on the log.
        """
        values: list[Any] = [pending.record for pending in batch]
        started = self.clock.monotonic()
        # This is set before the call, as a cancelled append may still take effect.
        earlier = [pending.may_be_appended for pending in batch]
        for pending in batch:
            if not pending.may_be_appended:
                # Set as late as possible, or a record queued behind thousands would be too old.
                pending.record["seen"] = self.get_offset()
            pending.may_be_appended = True
        try:
            first = await self.platform.append(self.stream, values)
        except AnswerLost as exc:
            await self._handle_failure(batch, exc, read_back_s=self.timeout_s)
        except PlatformError as exc:
            for pending, earlier_value in zip(batch, earlier, strict=True):
                pending.may_be_appended = earlier_value
            if exc.code is status_codes.PLATFORM_REFUSED:
                await self._handle_refusal(batch, exc)
            else:
                await self._handle_failure(batch, exc, read_back_s=0.0)
        except asyncio.CancelledError:
            self._requeue(batch)
            raise
        else:
            self._failures = 0
            self._appended_end = first + len(batch)
            for pending in batch:
                metrics.log_appends.add(1, {"purpose": pending.purpose})
        metrics.log_append_duration.record(self.clock.monotonic() - started)

    async def _handle_refusal(self, batch: list[PendingRecord], exc: PlatformError) -> None:
        """Append each record alone, so that one that the log refuses doesn't block the others."""
        if len(batch) == 1:
            self.pending_by_id.pop(batch[0].record["id"], None)
            if not batch[0].verdict.done():
                batch[0].verdict.set_exception(exc)
            return
        for pending in batch:
            await self._append([pending])

    async def _handle_failure(
        self, batch: list[PendingRecord], exc: MustardgapError, *, read_back_s: float
    ) -> None:
        metrics.log_errors.add(1, {"call": "append"})
        for pending in batch:
            pending.error = exc.detail
        self._failures += 1
        limit = min(MAX_BACKOFF_S, BACKOFF_S * 2.0 ** min(self._failures, 10))
        unresolved = [p.verdict for p in batch if not p.verdict.done()]
        try:
            if read_back_s and unresolved:
                await asyncio.wait(unresolved, timeout=read_back_s)
            await self.clock.sleep(random.uniform(0, limit))
        finally:
            self._requeue(batch)

    def _requeue(self, batch: list[PendingRecord]) -> None:
        for pending in reversed(batch):
            if not pending.verdict.done():
                self._queues[pending.purpose].appendleft(pending)
