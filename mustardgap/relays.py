"""Passing on what the log holds between peers, for a daemon that is cut off from the log."""

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

CHECK_S = 0.5
CALL_TIMEOUT_S = 2.0
MAX_RECORDS = 500
MAX_BYTES = 1024 * 1024
PART_BYTES = 256 * 1024
KEEP_SNAPSHOT_S = 30.0


class Kept(NamedTuple):
    """A snapshot that is being handed out in parts."""

    digest: str
    data: bytes
    made: float


class Relays:
    """Asks peers for records when the log doesn't give them, and answers peers that ask.

    Nothing is sent while all daemons read the log themselves, so in ordinary times it costs no
    bytes.

    :param log: the log to feed and to answer from.
    :param peers: carries the messages.
    :param members: the members, with the offsets they have told.
    :param stale_after_s: the bound of staleness; asking starts at half of it.
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
        self._behind_since = -1
        self._kept: Kept | None = None
        peers.handle(RecordsAsk, self._give_records)
        peers.handle(SnapshotAsk, self._give_snapshot)

    async def run(self) -> None:
        """Ask a peer whenever this daemon may be missing something, until cancelled."""
        while True:
            await self.clock.sleep(CHECK_S)
            if not self._may_miss():
                continue
            try:
                while await self.ask():
                    pass
            except MustardgapError as exc:
                logging.debug("a peer gave nothing: %s", exc)

    async def ask(self) -> bool:
        """Ask one peer for what is missing here.

        :return: whether anything was missing and has been folded.
        :raises MustardgapError: the peer didn't answer, or what it sent can't be read.
        """
        peer = self._pick()
        if peer is None:
            return False
        before = self.log.offset
        started = self.clock.monotonic()
        reply = await self.peers.call(peer.id, RecordsAsk(first=before), timeout_s=CALL_TIMEOUT_S)
        if not isinstance(reply, Records):
            return False
        self.log.receive(LogRecord(*record) for record in reply.records)
        if self.log.offset < reply.end and not reply.records:
            # It no longer keeps the next record one by one.
            await self._ask_snapshot(peer)
        age_s = reply.age_s + self.clock.monotonic() - started
        self.log.confirm_current(reply.end, age_s)
        return self.log.offset > before

    def _may_miss(self) -> bool:
        if self.log.why_not_current is status_codes.RULES_TOO_NEW:
            return False
        if not self.log.current or self.log.seconds_since_confirmed() > self.stale_after_s / 2:
            return True
        ahead = any(m.offset > self.log.offset for m in self.members.live())
        # One check later, so that the log's own answer has had its time.
        still = ahead and self._behind_since == self.log.offset
        self._behind_since = self.log.offset if ahead else -1
        return still

    def _pick(self) -> Member | None:
        others = [m for m in self.members.live() if m.id != self.members.me.id]
        if not others:
            return None
        # At random among those that are furthest: one that hangs isn't asked for ever.
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
            whole = isinstance(reply, Snapshot) and reply.parts and digest in ("", reply.digest)
            if not whole:
                return
            digest, count = reply.digest, reply.parts
            parts.append(reply.chunk)
        data = b"".join(parts)
        if xxhash.xxh3_128_hexdigest(data) != digest:
            detail = "a snapshot's parts don't fit together"
            raise RecordRejected(code=status_codes.RECORD_INVALID, detail=detail)
        self.log.restore(data)

    def _give_records(self, member: Member, message: RecordsAsk) -> Records:
        found: list[tuple[int, float, dict[str, Any]]] = []
        size = 0
        for record in self.log.recent(message.first, limit=MAX_RECORDS):
            size += len(msgspec.msgpack.encode(record.value))
            if found and size > MAX_BYTES:
                break
            found.append((record.offset, record.time, record.value))
        return Records(
            first=message.first,
            records=found,
            end=self.log.offset,
            age_s=self.log.seconds_since_confirmed(),
        )

    async def _give_snapshot(self, member: Member, message: SnapshotAsk) -> Snapshot:
        kept = self._kept
        if message.part == 0 or kept is None:
            kept = self._kept = await self._take_snapshot()
        if message.part and message.digest != kept.digest:
            return Snapshot(part=message.part, parts=0, digest=kept.digest, chunk=b"")
        start = message.part * PART_BYTES
        return Snapshot(
            part=message.part,
            parts=-(-len(kept.data) // PART_BYTES),
            digest=kept.digest,
            chunk=kept.data[start : start + PART_BYTES],
        )

    async def _take_snapshot(self) -> Kept:
        now = self.clock.monotonic()
        if self._kept is not None and now - self._kept.made < KEEP_SNAPSHOT_S:
            # Many daemons may start at once; the records since then are sent one by one.
            return self._kept
        packed = snapshots.pack(self.log.state)
        data = await asyncio.to_thread(snapshots.compress, packed)
        return Kept(xxhash.xxh3_128_hexdigest(data), data, now)
