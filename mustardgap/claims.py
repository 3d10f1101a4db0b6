"""The records of Idempotency-Keys on the log, and the rule by which every entry host folds them.

The first claim of a key in the order of the log holds it. A claim that was released or that found
the key held is void, even if it appears later or twice, so that an append whose answer was lost
can be revoked or repeated.
"""

from base64 import b64decode, b64encode
from collections import OrderedDict
from typing import Any, Literal, NamedTuple

import msgspec
from xxhash import xxh3_128_hexdigest

from .codecs import Undecodable, convert
from .models import LogRecord
from .outcomes import Answered, NotRun, Outcome, Streamed

MAX_KEPT_BYTES = 4096


class ClaimRecord(msgspec.Struct, kw_only=True, frozen=True, tag="claim", tag_field="kind"):
    """A member claims a key for a request that ends by ``until``, seconds since the epoch."""

    id: str
    key: str
    fingerprint: str
    member: str
    until: float


class ReleaseRecord(msgspec.Struct, kw_only=True, frozen=True, tag="release", tag_field="kind"):
    """The request of a claim certainly wasn't run and won't be."""

    id: str
    key: str


class DoneRecord(msgspec.Struct, kw_only=True, frozen=True, tag="done", tag_field="kind"):
    """The request of a claim ran; ``kept`` is whether this record contains the answer."""

    id: str
    key: str
    status: int
    headers: list[tuple[str, str]] = []
    body: str = ""
    kept: bool = False

    def decode_body(self) -> bytes:
        """Return the body of the answer."""
        return b64decode(self.body)


class LostRecord(msgspec.Struct, kw_only=True, frozen=True, tag="lost", tag_field="kind"):
    """The request of a claim may have run, and its answer was lost."""

    id: str
    key: str


EndRecord = ReleaseRecord | DoneRecord | LostRecord
KeyRecord = ClaimRecord | ReleaseRecord | DoneRecord | LostRecord

KeyState = Literal["running", "done", "lost"]


class KeyEntry(NamedTuple):
    """The claim that holds a key; ``offset`` is that of its end record, -1 while it runs."""

    id: str
    fingerprint: str
    until: float
    time: float
    state: KeyState = "running"
    offset: int = -1


def hash_key(service: str, key: str) -> str:
    """Return the hash by which the log identifies a key of a service."""
    return xxh3_128_hexdigest(f"{service}\0{key}".encode())


def make_fingerprint(method: str, target: str, body: bytes) -> str:
    """Return the hash that distinguishes requests with the same key."""
    return xxh3_128_hexdigest(f"{method}\0{target}\0".encode() + body)


def make_end_record(claim_id: str, key: str, outcome: Outcome) -> EndRecord:
    """Return the record that ends a claim with the outcome of its request."""
    if isinstance(outcome, NotRun):
        return ReleaseRecord(id=claim_id, key=key)
    if isinstance(outcome, Streamed):
        return DoneRecord(id=claim_id, key=key, status=outcome.status)
    if not isinstance(outcome, Answered):
        return LostRecord(id=claim_id, key=key)
    size = len(outcome.body) + sum(len(n) + len(v) for n, v in outcome.headers)
    if size > MAX_KEPT_BYTES:
        return DoneRecord(id=claim_id, key=key, status=outcome.status)
    return DoneRecord(
        id=claim_id,
        key=key,
        status=outcome.status,
        headers=outcome.headers,
        body=b64encode(outcome.body).decode("ascii"),
        kept=True,
    )


def decode(value: Any) -> KeyRecord | None:
    """Decode a record of the log; return None if it isn't one of a key."""
    try:
        return convert(value, KeyRecord)
    except Undecodable:
        return None


class Ledger:
    """The claims in force, folded in the order of the log.

    Expiry follows the times of the log's records, so that all entry hosts expire the same keys.

    :param ttl_s: seconds after which a key is forgotten.
    """

    def __init__(self, *, ttl_s: float) -> None:
        self.ttl_s = ttl_s
        self.by_key: OrderedDict[str, KeyEntry] = OrderedDict()
        self._voided_at_by_id: OrderedDict[str, float] = OrderedDict()

    def fold(self, record: LogRecord) -> KeyRecord | None:
        """Fold a record.

        :param record: the next record of the log.
        :return: the decoded record, None if it isn't one of a key.
        """
        value = decode(record.value)
        self._expire(record.time - self.ttl_s)
        if isinstance(value, ClaimRecord):
            self._apply_claim(value, record.time)
        elif value is not None:
            self._apply_end(value, record)
        return value

    def _apply_claim(self, claim: ClaimRecord, time: float) -> None:
        holder = self.by_key.get(claim.key)
        if holder is not None:
            if holder.id != claim.id:
                # The caller of this claim is refused. A second copy that arrives when the key is
                # free again would hold it for no request, and callers told that one may have run.
                self._voided_at_by_id[claim.id] = time
            return
        if claim.id not in self._voided_at_by_id:
            self.by_key[claim.key] = KeyEntry(claim.id, claim.fingerprint, claim.until, time)

    def _apply_end(self, end: EndRecord, record: LogRecord) -> None:
        entry = self.by_key.get(end.key)
        is_holder = entry is not None and entry.id == end.id
        if isinstance(end, ReleaseRecord):
            self._voided_at_by_id[end.id] = record.time
            if is_holder:
                del self.by_key[end.key]
        elif is_holder and entry is not None and entry.state != "done":
            state: KeyState = "done" if isinstance(end, DoneRecord) else "lost"
            self.by_key[end.key] = entry._replace(state=state, offset=record.offset)

    def _expire(self, before: float) -> None:
        while self.by_key and next(iter(self.by_key.values())).time < before:
            self.by_key.popitem(last=False)
        while self._voided_at_by_id and next(iter(self._voided_at_by_id.values())) < before:
            self._voided_at_by_id.popitem(last=False)
