"""The platform's keyed log, as the product's ``Store`` and ``Boards``."""

import struct
import time
from collections.abc import Mapping, Sequence
from urllib.parse import urlencode

import msgspec

from ..http_pools import HttpAnswer, HttpPool
from ..ports import (
    Appended,
    Done,
    Entries,
    Expired,
    Fenced,
    Joined,
    NoAnswer,
    Record,
    Refused,
    Rejected,
    WrongSequence,
)
from ..shard_owners import failover_partition
from .decoding import InvalidBody, count_of, fields_of, join_reply, newest_page, owner_rows

JOBS = "keyed.mustardgap-jobs"
JOBS_FAILOVER = "keyed.mustardgap-failover"
OPERATOR = "keyed.op"
EXECUTORS = "keyed.servers"
STATUS = "keyed.status"
PATHS = "keyed.mustardgap-paths"
GROUP = "mustardgap-owners"
PRODUCER = "mustardgap-owner"

# An answer takes 4 ms on a calm day and some 250 ms when the store is slow by the factor of 60
# that was seen. A lost answer holds up the calls behind it: the wait is a few times what answers
# take now, and each that was in vain doubles it, so that a slow store is waited for and a lost
# answer costs little.
FIRST_CALL_S = 0.2
CALL_S = 0.8
TIMES_LATENCY = 3.0
# What a long poll may take beyond the time it was asked to wait.
POLL_SLACK_S = 0.4
READ_KB = 1024
# The store does nothing, now or because of its limits.
BUSY = (429, 500, 502, 503, 504)
# The store doesn't take such a call, however often it is sent.
REJECTED = (400, 413)

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class StoreClient:
    """The platform's store.

    :param pool: the process's connections.
    :param address: the store's ``ip:port``.
    :param shards: how many shards there are.
    """

    def __init__(self, *, pool: HttpPool, address: str, shards: int) -> None:
        self._pool = pool
        self._address = address
        self._shards = shards
        self._patience_s = FIRST_CALL_S

    async def fence(
        self, *, shard: int, epoch: int, failover: bool = False
    ) -> Appended | Fenced | Refused | NoAnswer:
        """Raise a partition's epoch; the call is an append without records."""
        topic, part = self._place(shard, failover)
        outcome = await self._append(topic, part, b"", {"producer": PRODUCER, "epoch": epoch})
        if isinstance(outcome, WrongSequence):
            return Refused(detail="a sequence number is asked for where none is used")
        if isinstance(outcome, Rejected):
            return Refused(detail=outcome.detail)
        return outcome

    async def append(
        self,
        *,
        shard: int,
        epoch: int,
        sequence: int,
        records: Sequence[Record],
        failover: bool = False,
    ) -> Appended | Fenced | WrongSequence | Refused | Rejected | NoAnswer:
        """Append records under an epoch."""
        query = {"producer": PRODUCER, "epoch": epoch, "seq": sequence}
        body = b"".join(_keyed(record) for record in records)
        return await self._append(*self._place(shard, failover), body, query)

    async def newest(self, *, shard: int, failover: bool = False) -> Entries | Refused | NoAnswer:
        """Read the newest record of each key of a partition."""
        return await self._newest(*self._place(shard, failover))

    def _place(self, shard: int, failover: bool) -> tuple[str, int]:
        """The topic and the partition that hold a shard's records."""
        if not failover:
            return JOBS, shard
        return JOBS_FAILOVER, failover_partition(shard, self._shards)

    async def join(
        self, *, member: str, generation: int, ttl_s: float
    ) -> Joined | Refused | NoAnswer:
        """Join the owners' group, or stay in it."""
        body = {
            "group": GROUP,
            "member": member,
            "topics": [JOBS],
            "ttlMs": int(ttl_s * 1000),
            "generation": generation,
        }
        raw = msgspec.json.encode(body)
        answer = await self._call("POST", "/mustardgap/log-join", raw, self._patience_s)
        if not isinstance(answer, HttpAnswer):
            return answer
        if answer.status != 200:
            return _refused(answer)
        try:
            reply = join_reply(answer.body, JOBS)
        except InvalidBody as exc:
            return Refused(detail=f"a reply that can't be read: {exc}")
        return Joined(generation=reply.generation, shards=reply.parts)

    async def leave(self, *, member: str) -> Done | Refused | NoAnswer:
        """Leave the owners' group."""
        body = {"group": GROUP, "member": member}
        raw = msgspec.json.encode(body)
        answer = await self._call("POST", "/mustardgap/log-leave", raw, self._patience_s)
        if not isinstance(answer, HttpAnswer):
            return answer
        # Who isn't a member is told so, and has left.
        return _refused(answer) if answer.status in BUSY else Done()

    async def owners(self) -> dict[int, str] | Refused | NoAnswer:
        """The member that holds each shard."""
        query = urlencode({"group": GROUP})
        answer = await self._call("GET", f"/mustardgap/log-owners?{query}", None, CALL_S)
        if not isinstance(answer, HttpAnswer):
            return answer
        if answer.status != 200:
            return _refused(answer)
        try:
            return owner_rows(answer.body, JOBS)
        except InvalidBody as exc:
            return Refused(detail=f"a reply that can't be read: {exc}")

    async def read_operator(
        self, *, offset: int | None, wait_s: float
    ) -> Entries | Expired | Refused | NoAnswer:
        """Read what the operator wrote."""
        return await self._read(OPERATOR, offset, wait_s)

    async def read_executors(
        self, *, offset: int | None, wait_s: float
    ) -> Entries | Expired | Refused | NoAnswer:
        """Read what executors wrote."""
        return await self._read(EXECUTORS, offset, wait_s)

    async def write_status(
        self, *, wave: int, completed: bool
    ) -> Appended | Refused | Rejected | NoAnswer:
        """Write how far a wave is."""
        value = msgspec.json.encode(
            {"wave": wave, "state": "completed" if completed else "running"}
        )
        return await self._append_unfenced(STATUS, [Record(f"wave/{wave}", value)])

    async def append_paths(
        self, records: Sequence[Record]
    ) -> Appended | Refused | Rejected | NoAnswer:
        """Write to the list of paths."""
        return await self._append_unfenced(PATHS, records)

    async def newest_paths(self) -> Entries | Refused | NoAnswer:
        """Read the list of paths."""
        return await self._newest(PATHS, 0)

    async def _append_unfenced(
        self, topic: str, records: Sequence[Record]
    ) -> Appended | Refused | Rejected | NoAnswer:
        body = b"".join(_keyed(record) for record in records)
        outcome = await self._append(topic, 0, body, {})
        if isinstance(outcome, Fenced | WrongSequence):
            return Refused(detail="this topic knows no epochs")
        return outcome

    async def _read(
        self, topic: str, offset: int | None, wait_s: float
    ) -> Entries | Expired | Refused | NoAnswer:
        if offset is None:
            return await self._newest(topic, 0)
        query = urlencode(
            {
                "topic": topic,
                "part": 0,
                "from": offset,
                "waitMs": int(wait_s * 1000),
                "maxKb": READ_KB,
            }
        )
        timeout = wait_s + POLL_SLACK_S
        answer = await self._call("GET", f"/mustardgap/log-read?{query}", None, timeout)
        if not isinstance(answer, HttpAnswer):
            return answer
        if answer.status == 410:
            return Expired()
        if answer.status != 200:
            return _refused(answer)
        return _records(answer.body, offset)

    async def _newest(self, topic: str, shard: int) -> Entries | Refused | NoAnswer:
        values: dict[str, bytes | None] = {}
        invalid: list[str] = []
        end: int | None = None
        after = ""
        while True:
            query = {"topic": topic, "part": shard}
            if after:
                # The page calls the key that the next page starts after by this field's name.
                query["dependsOn"] = after
            target = f"/mustardgap/log-newest?{urlencode(query)}"
            answer = await self._call("GET", target, None, CALL_S)
            if not isinstance(answer, HttpAnswer):
                return answer
            if answer.status == 404:
                return Entries(values_by_key={}, end=0)
            if answer.status != 200:
                return _refused(answer)
            try:
                page = newest_page(answer.body)
            except InvalidBody as exc:
                return Refused(detail=f"a page that can't be read: {exc}")
            values.update(page.values_by_key)
            invalid.extend(page.invalid)
            # Pages are read one after another: what was written meanwhile is read again from the
            # end that the first one gave.
            end = page.end if end is None else end
            # Without a key that can be read there is nothing to go on from.
            if not page.has_more or not page.values_by_key:
                return Entries(values_by_key=values, end=end, invalid=tuple(invalid))
            after = list(page.values_by_key)[-1]

    async def _append(
        self, topic: str, shard: int, body: bytes, query: Mapping[str, object]
    ) -> Appended | Fenced | WrongSequence | Refused | Rejected | NoAnswer:
        target = "/mustardgap/log-append?" + urlencode({"topic": topic, "part": shard, **query})
        answer = await self._call("POST", target, body, self._patience_s)
        if not isinstance(answer, HttpAnswer):
            return answer
        fields = fields_of(answer.body)
        if answer.status == 200:
            return Appended(end=count_of(fields, "end") or 0)
        if answer.status == 409 and fields.get("reason") == "fenced":
            return Fenced(detail="a higher epoch writes this shard")
        if answer.status == 409:
            expected = [count for key in fields if (count := count_of(fields, key)) is not None]
            return WrongSequence(expected=expected[0] if expected else -1)
        if answer.status in REJECTED:
            return Rejected(detail=_describe(answer))
        return _refused(answer)

    async def _call(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> HttpAnswer | NoAnswer:
        began = time.monotonic()
        answer = await self._pool.call(
            address=self._address, method=method, target=target, body=body, timeout_s=timeout_s
        )
        if isinstance(answer, NoAnswer):
            self._patience_s = min(self._patience_s * 2, CALL_S)
            # After a lost answer the idle connections may be as silent as the one that was used.
            self._pool.close_idle(self._address)
        elif timeout_s <= CALL_S:
            wait_s = TIMES_LATENCY * (time.monotonic() - began)
            self._patience_s = min(max(wait_s, FIRST_CALL_S), CALL_S)
        return answer


def _keyed(record: Record) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return _LENGTH.pack(len(content)) + content


def _records(raw: bytes, offset: int) -> Entries:
    """Split the answer of a read: the end, the first kept offset, then records with lengths."""
    values: dict[str, bytes | None] = {}
    invalid: list[str] = []
    place = _OFFSETS.size
    count = 0
    while place + _LENGTH.size <= len(raw):
        (length,) = _LENGTH.unpack_from(raw, place)
        content = raw[place + _LENGTH.size : place + _LENGTH.size + length]
        place += _LENGTH.size + length
        if place > len(raw):
            # The answer ends within this record, which is read again from its offset.
            break
        try:
            key, value = _unkeyed(content)
        except ValueError as exc:
            invalid.append(f"offset {offset + count}: {exc}")
        else:
            values.pop(key, None)
            values[key] = value
        count += 1
    return Entries(values_by_key=values, end=offset + count, invalid=tuple(invalid))


def _unkeyed(content: bytes) -> tuple[str, bytes | None]:
    """A record's key, and its value if it has one.

    :raises ValueError: there is no key that can be read.
    """
    if not content or len(content) < 1 + content[0]:
        raise ValueError("the record is shorter than its key")
    key_end = 1 + content[0]
    return content[1:key_end].decode(), content[key_end:] or None


def _refused(answer: HttpAnswer) -> Refused:
    return Refused(detail=_describe(answer))


def _describe(answer: HttpAnswer) -> str:
    return f"{answer.status} {answer.body[:200].decode(errors='replace')}"
