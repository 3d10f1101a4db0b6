"""Claims Idempotency-Keys on the log, so that a key runs once through whichever entry host."""

import asyncio
import random
import uuid
from collections import OrderedDict
from typing import NamedTuple

from . import claims, metrics, status_codes
from .claim_logs import ClaimLog, HasLog
from .claims import ClaimRecord, DoneRecord, KeyEntry, ReleaseRecord
from .exceptions import LogExpired, PlatformError
from .outcomes import AlreadyRan, Answered, NotRun, Outcome, Unknown
from .settings import Settings
from .status_codes import Code
from .timers import Clock
from .upstreams import Request

MAX_KEY_LENGTH = 255
MAX_RECENT_ANSWERS = 1000
# The greatest difference between clocks of entry hosts at which a running request isn't yet
# reported as lost.
MAX_CLOCK_SKEW_S = 2.0
RETRY_AFTER_S = 2.0
# After an outage of the log, claimants have this long to append the ends of claims from that time:
# eight of the pauses between their retries.
END_APPEND_GRACE_S = 2.0
FLUSH_POLL_S = 0.02


class Claim(NamedTuple):
    """The right to run the request of one key."""

    id: str
    key: str


class _Pending(NamedTuple):
    """An undecided claim; ``decided`` is set to whether it was won, None if it wasn't appended."""

    record: ClaimRecord
    decided: "asyncio.Future[bool | None]"


class Keys:
    """The claims of all entry hosts, as read from the log.

    A claim takes effect when it has been read back from the log, since all records before it are
    known by then. The decision who runs a request thus depends on no clock, lease or membership.

    :param settings: the daemon's settings.
    :param platform: the platform that has the log.
    :param member: the name and incarnation of this entry host.
    :param clock: the clocks to read.
    """

    def __init__(
        self, *, settings: Settings, platform: HasLog, member: str, clock: Clock | None = None
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.member = member
        self.clock = clock or Clock()
        self._log = ClaimLog(settings=settings, platform=platform, claimant=self, clock=self.clock)
        self._pending_by_id: dict[str, _Pending] = {}
        self._pending_by_key: dict[str, _Pending] = {}
        self._recent_answers: OrderedDict[str, DoneRecord] = OrderedDict()

    async def run(self) -> None:
        """Read and append claim records until cancelled."""
        await self._log.run()

    def is_usable(self) -> bool:
        """Return whether a new key can be claimed now, as far as is known."""
        return not self._why_undecided()

    async def flush(self, *, timeout_s: float) -> bool:
        """Wait until all ends of claims are on the log, before a planned stop.

        :param timeout_s: how long to wait, in seconds.
        :return: whether they are on the log.
        """
        deadline = self.clock.monotonic() + timeout_s
        while not self._log.is_flushed() and self.clock.monotonic() < deadline:
            await self.clock.sleep(FLUSH_POLL_S)
        return self._log.is_flushed()

    async def claim(self, service: str, request: Request, *, deadline: float) -> Claim | Outcome:
        """Claim the key of a request.

        :param service: the service that the request is for.
        :param request: a request with an Idempotency-Key.
        :param deadline: the monotonic time in seconds by which the request must have ended.
        :return: the claim if the request may be run now, else the outcome to report.
        """
        text = request.headers["Idempotency-Key"]
        if not 0 < len(text) <= MAX_KEY_LENGTH:
            detail = f"an Idempotency-Key has 1 to {MAX_KEY_LENGTH} characters"
            return NotRun(code=status_codes.BAD_REQUEST, detail=detail)
        key = claims.hash_key(service, text)
        fingerprint = claims.make_fingerprint(request.method, request.target, request.body)
        result = await self._claim(key, fingerprint, deadline)
        result_name = "claimed" if isinstance(result, Claim) else result.code.name
        metrics.keys_claimed.add(1, {"result": result_name})
        return result

    def finish(self, claim: Claim, outcome: Outcome) -> None:
        """End a claim by appending the outcome of its request to the log.

        :param claim: the claim to end.
        :param outcome: the outcome of the request.
        """
        end = claims.make_end_record(claim.id, claim.key, outcome)
        if isinstance(end, DoneRecord):
            self._cache_answer(end)
        self._log.put(end)

    async def _claim(self, key: str, fingerprint: str, deadline: float) -> Claim | Outcome:
        entry = self._log.ledger.by_key.get(key)
        if entry is not None:
            return await self._resolve_held_key(key, entry, fingerprint)
        pending = self._pending_by_key.get(key)
        if pending is not None:
            same = pending.record.fingerprint == fingerprint
            return _not_run(status_codes.KEY_IN_USE if same else status_codes.KEY_REUSED)
        why = self._why_undecided()
        if why:
            return _not_run(status_codes.KEY_UNDECIDED, why)
        return await self._claim_new(key, fingerprint, deadline)

    def _why_undecided(self) -> str:
        if len(self._log.ledger.by_key) >= self.settings.requests.max_keys:
            return "there are too many keys to remember"
        return self._log.why_unusable()

    async def _claim_new(self, key: str, fingerprint: str, deadline: float) -> Claim | Outcome:
        remaining_s = deadline - self.clock.monotonic()
        record = ClaimRecord(
            id=uuid.uuid4().hex,
            key=key,
            fingerprint=fingerprint,
            member=self.member,
            until=self.clock.wall() + remaining_s,
        )
        pending = _Pending(record, asyncio.get_running_loop().create_future())
        self._pending_by_id[record.id] = self._pending_by_key[key] = pending
        self._log.put(record)
        try:
            async with asyncio.timeout(min(remaining_s, self.settings.requests.claim_timeout_s)):
                won = await pending.decided
        except TimeoutError:
            self._abandon(record)
            return _not_run(status_codes.KEY_UNDECIDED, "the claim wasn't read back in time")
        except asyncio.CancelledError:
            self._abandon(record)
            raise
        finally:
            del self._pending_by_id[record.id]
            del self._pending_by_key[key]
        if won is None:
            return _not_run(status_codes.KEY_UNDECIDED, "the log took no claim")
        if won:
            return Claim(record.id, key)
        entry = self._log.ledger.by_key.get(key)
        if entry is None:
            return _not_run(status_codes.KEY_IN_USE)
        return await self._resolve_held_key(key, entry, fingerprint)

    def _abandon(self, record: ClaimRecord) -> None:
        # The claim may be on the log already, or may still get there because its append is in
        # progress. The caller is told that nothing was run, so the claim mustn't be taken for that
        # of a running request: a release makes it void in either order.
        self._log.withdraw(record)
        self._log.put(ReleaseRecord(id=record.id, key=record.key))

    async def _resolve_held_key(self, key: str, entry: KeyEntry, fingerprint: str) -> Outcome:
        """Return the outcome to report for a request whose key is already held."""
        if entry.fingerprint != fingerprint:
            return _not_run(status_codes.KEY_REUSED)
        if entry.id in self._recent_answers:
            return _replay(self._recent_answers[entry.id])
        if entry.state == "done":
            return await self._read_answer(entry)
        remaining_s = entry.until + MAX_CLOCK_SKEW_S - self.clock.wall()
        if (
            entry.state != "lost"
            and remaining_s <= 0
            and self._log.readable_for_s() < END_APPEND_GRACE_S
        ):
            # During an outage of the log a claimant can't append the end of its request. The caller
            # would be told to check by hand what a retry some seconds later gets as an answer.
            detail = "an earlier request with this key may have ended; the log wasn't readable"
            return _not_run(status_codes.KEY_UNDECIDED, detail)
        if entry.state == "lost" or remaining_s <= 0:
            return Unknown(code=status_codes.UNKNOWN_KEY)
        return _not_run(status_codes.KEY_IN_USE, retry_after=min(2.0, remaining_s))

    async def _read_answer(self, entry: KeyEntry) -> Outcome:
        # Most answers are only on the log: those of an hour wouldn't fit into memory.
        try:
            async with asyncio.timeout(self.settings.requests.claim_timeout_s):
                page = await self._log.platform.read(self._log.stream, entry.offset, limit=1)
        except (PlatformError, TimeoutError):
            detail = "it ran; its answer can't be read now"
            return _not_run(status_codes.KEY_UNDECIDED, detail)
        except LogExpired:
            return AlreadyRan(status=0, detail="it ran; its answer is no longer kept")
        done = claims.decode(page.records[0].value) if page.records else None
        if not isinstance(done, DoneRecord) or done.id != entry.id:
            return AlreadyRan(status=0, detail="it ran; its answer is no longer kept")
        self._cache_answer(done)
        return _replay(done)

    def _cache_answer(self, done: DoneRecord) -> None:
        self._recent_answers[done.id] = done
        while len(self._recent_answers) > MAX_RECENT_ANSWERS:
            self._recent_answers.popitem(last=False)

    def on_claim_read(self, record: ClaimRecord) -> None:
        """Decide a claim that was read back: the ledger has the holder of its key."""
        pending = self._pending_by_id.get(record.id)
        if pending is not None and not pending.decided.done():
            entry = self._log.ledger.by_key.get(record.key)
            pending.decided.set_result(entry is not None and entry.id == record.id)

    def on_claim_failed(self, record: ClaimRecord) -> None:
        """Refuse a claim that certainly isn't on the log."""
        pending = self._pending_by_id.get(record.id)
        if pending is not None and not pending.decided.done():
            pending.decided.set_result(None)

    def is_claim_pending(self, record: ClaimRecord) -> bool:
        """Return whether a request still waits for a claim."""
        pending = self._pending_by_id.get(record.id)
        return pending is not None and not pending.decided.done()


def _not_run(code: Code, detail: str = "", retry_after: float = RETRY_AFTER_S) -> NotRun:
    """Refuse with a randomized retry time, so that callers don't all retry at once."""
    return NotRun(code=code, detail=detail, retry_after=random.uniform(0.5, 1.5) * retry_after)


def _replay(done: DoneRecord) -> Outcome:
    if not done.kept:
        return AlreadyRan(status=done.status)
    return Answered(
        status=done.status,
        headers=done.headers,
        body=done.decode_body(),
        code=status_codes.REPLAYED,
    )
