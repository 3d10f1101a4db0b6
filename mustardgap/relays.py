"""Relays log records between peers, for a daemon that can't reach the log."""

import asyncio
import random
from typing import Any, NamedTuple

import msgspec
import xxhash
from absl import logging

from . import snapshots, status_codes
from .exceptions import MustardgapError, RecordRejected
from .members import Member, Members
from .messages import Records, RecordsAsk, Snapshot, SnapshotAsk
from .models import LogRecord
from .peers import Peers
from .streams import Log
from .timers import Clock

CHECK_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 2.0
MAX_RECORDS = 500
MAX_BYTES = 1024 * 1024
PART_BYTES = 256 * 1024
SNAPSHOT_CACHE_S = 30.0


class CachedSnapshot(NamedTuple):
    """A snapshot that is sent to peers in parts."""

    digest: str
    data: bytes
    made_at: float


class Relays:
    """Requests records from peers if the log doesn't provide them, and answers such requests.

    Nothing is sent while all daemons read the log themselves, so it costs no traffic in normal
    operation.

    :param log: the log that received records are added to, and sent records come from.
    :param peers: sends the messages.
    :param members: the members, with the offsets that they have reported.
    :param stale_after_s: the limit of staleness; peers are asked from half of it on.
    :param clock: the clocks to read.
    """

    def __init__(
        self, *, log: Log, peers: Peers, members: Members, stale_after_s: float, clock: Clock
    ) -> None:
        self.log = log
        self.peers = peers
        self.members = members
        self.stale_after_s = stale_after_s
        self.clock = clock
        self._behind_at_offset = -1
        self._cached_snapshot: CachedSnapshot | None = None
        peers.handle(RecordsAsk, self._answer_records)
        peers.handle(SnapshotAsk, self._answer_snapshot)

    async def run(self) -> None:
        """Ask a peer whenever this daemon may lack records, until cancelled."""
        while True:
            await self.clock.sleep(CHECK_INTERVAL_S)
            if not self._may_lack_records():
                continue
            try:
                while await self.ask_peer():
                    pass
            except MustardgapError as exc:
                logging.debug("no records from a peer: %s", exc)

    async def ask_peer(self) -> bool:
        """Ask one peer for the records that this daemon lacks.

        :return: whether missing records were received and folded.
        :raises MustardgapError: the peer didn't answer, or its answer can't be read.
        """
        peer = self._choose_peer()
        if peer is None:
            return False
        offset_before = self.log.offset
        started = self.clock.monotonic()
        reply = await self.peers.call(
            peer.id, RecordsAsk(first=offset_before), timeout_s=CALL_TIMEOUT_S
        )
        if not isinstance(reply, Records):
            return False
        self.log.receive(LogRecord(*record) for record in reply.records)
        if self.log.offset < reply.end and not reply.records:
            # The peer no longer has the next record, only the state.
            await self._ask_snapshot(peer)
        age_s = reply.age_s + self.clock.monotonic() - started
        self.log.confirm_current(reply.end, age_s)
        return self.log.offset > offset_before

    def _may_lack_records(self) -> bool:
        if self.log.why_not_current is status_codes.RULES_TOO_NEW:
            return False
        if not self.log.current or self.log.seconds_since_confirmed() > self.stale_after_s / 2:
            return True
        is_behind = any(m.offset > self.log.offset for m in self.members.live())
        # Only if it is still behind at the next check, so that the log has had time to answer.
        is_still_behind = is_behind and self._behind_at_offset == self.log.offset
        self._behind_at_offset = self.log.offset if is_behind else -1
        return is_still_behind

    def _choose_peer(self) -> Member | None:
        others = [m for m in self.members.live() if m.id != self.members.me.id]
        if not others:
            return None
        # A random one that is ahead, else one of the furthest, so that no unresponsive one is asked
        # forever.
        furthest = max(m.offset for m in others)
        return random.choice([m for m in others if m.offset >= min(furthest, self.log.offset + 1)])

    async def _ask_snapshot(self, peer: Member) -> None:
        parts: list[bytes] = []
        digest, count = "", 1
        while len(parts) < count:
            reply = await self.peers.call(
                peer.id,
                SnapshotAsk(part=len(parts), digest=digest),
                timeout_s=CALL_TIMEOUT_S,
            )
            is_valid = isinstance(reply, Snapshot) and reply.parts and digest in ("", reply.digest)
            if not is_valid:
                return
            digest, count = reply.digest, reply.parts
            parts.append(reply.chunk)
        data = b"".join(parts)
        if xxhash.xxh3_128_hexdigest(data) != digest:
            detail = "a snapshot's parts don't fit together"
            raise RecordRejected(code=status_codes.RECORD_INVALID, detail=detail)
        self.log.restore(data)

    def _answer_records(self, member: Member, message: RecordsAsk) -> Records:
        records: list[tuple[int, float, dict[str, Any]]] = []
        size = 0
        for record in self.log.recent(message.first, limit=MAX_RECORDS):
            size += len(msgspec.msgpack.encode(record.value))
            if records and size > MAX_BYTES:
                break
            records.append((record.offset, record.time, record.value))
        return Records(
            first=message.first,
            records=records,
            end=self.log.offset,
            age_s=self.log.seconds_since_confirmed(),
        )

    async def _answer_snapshot(self, member: Member, message: SnapshotAsk) -> Snapshot:
        cached = self._cached_snapshot
        if message.part == 0 or cached is None:
            cached = self._cached_snapshot = await self._get_snapshot()
        if message.part and message.digest != cached.digest:
            return Snapshot(part=message.part, parts=0, digest=cached.digest, chunk=b"")
        start = message.part * PART_BYTES
        return Snapshot(
            part=message.part,
            parts=-(-len(cached.data) // PART_BYTES),
            digest=cached.digest,
            chunk=cached.data[start : start + PART_BYTES],
        )

    async def _get_snapshot(self) -> CachedSnapshot:
        now = self.clock.monotonic()
        if (
            self._cached_snapshot is not None
            and now - self._cached_snapshot.made_at < SNAPSHOT_CACHE_S
        ):
            # Many daemons may start at once; records since the snapshot are sent individually.
            return self._cached_snapshot
        packed = snapshots.pack(self.log.state)
        data = await asyncio.to_thread(snapshots.compress, packed)
        return CachedSnapshot(xxhash.xxh3_128_hexdigest(data), data, now)
