"""Checkpoints: snapshots on the log, because records of the state stream expire."""

import asyncio
import base64
import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Protocol

import msgspec
from absl import logging

from . import metrics, records, snapshots
from .adapters import Platform
from .codecs import Undecodable, convert
from .exceptions import AnswerLost, LogExpired, PlatformError, RecordRejected
from .models import CheckpointBody, LogRecord, Record
from .outcomes import Verdict
from .settings import PlatformSettings
from .states import State
from .timers import Clock

CHUNK_BYTES = 128 * 1024
MAX_CHUNKS = 256
PAGE_CHUNKS = 8
CHECK_PERIOD_S = 1.0
MIN_WRITE_INTERVAL_S = 5.0
# Others write a due checkpoint after 1 to 2 times this delay if its owner doesn't.
TAKEOVER_DELAY_S = 10.0
ANNOUNCE_TIMEOUT_S = 10.0
# A checkpoint is due when less than this share of the kept records precedes the newest one.
EXPIRY_MARGIN_SHARE = 0.25


class ChunkBody(msgspec.Struct, kw_only=True):
    """One chunk of a checkpoint, the body of a ``chunk`` record."""

    snapshot: str
    offset: int
    chunk: int
    chunks: int
    data: str


class LoadedCheckpoint(NamedTuple):
    """A complete checkpoint found on the log."""

    offset: int
    data: bytes


class StateLog(Protocol):
    """The part of the log that checkpoints use."""

    member: str
    state: State

    @property
    def current(self) -> bool:
        """Whether the state is current."""

    async def write(self, kind: str, body: Any, *, timeout_s: float, purpose: Any) -> Verdict:
        """Append a record to the state stream."""


def chunk_records(data: bytes, *, offset: int, writer: str) -> list[Record]:
    """Split a snapshot into the records of a checkpoint.

    :param data: the snapshot.
    :param offset: the offset up to which it is folded.
    :param writer: the daemon that writes it.
    """
    pieces = [data[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES)]
    snapshot = records.new_id()
    made = []
    for number, piece in enumerate(pieces):
        body = ChunkBody(
            snapshot=snapshot,
            offset=offset,
            chunk=number,
            chunks=len(pieces),
            data=base64.b85encode(piece).decode("ascii"),
        )
        made.append(records.make("chunk", msgspec.to_builtins(body), writer=writer, seen=offset))
    return made


def latest_checkpoint(chunks: Iterable[LogRecord]) -> LoadedCheckpoint | None:
    """Return the newest complete checkpoint among the records of the checkpoint stream.

    If two daemons write at the same time, their chunks interleave and are told apart by the
    snapshot's id. A checkpoint whose writer died midway is skipped.
    """
    pieces_by_snapshot: dict[str, dict[int, str]] = {}
    found: tuple[int, str] | None = None
    for record in chunks:
        body = _decode_chunk(record)
        if body is None:
            continue
        pieces = pieces_by_snapshot.setdefault(body.snapshot, {})
        pieces[body.chunk] = body.data
        if len(pieces) == body.chunks and (found is None or body.offset >= found[0]):
            found = (body.offset, body.snapshot)
    if found is None:
        return None
    pieces = pieces_by_snapshot[found[1]]
    data = b"".join(base64.b85decode(pieces[number]) for number in sorted(pieces))
    return LoadedCheckpoint(found[0], data)


class Checkpoints:
    """Writes and finds the checkpoints of one daemon.

    They have a stream of their own, so that a starting daemon finds the newest without reading
    the state stream. A small record on the state stream announces each to all daemons.

    ``is_owner`` tells whether this daemon should write; ``oldest`` is the oldest offset that the
    state stream kept when it was last read.

    :param platform: the platform's log.
    :param settings: the section ``platform``.
    :param clock: the clocks to read.
    :param log: the log whose state is saved.
    """

    def __init__(
        self, *, platform: Platform, settings: PlatformSettings, clock: Clock, log: StateLog
    ) -> None:
        self.platform = platform
        self.settings = settings
        self.clock = clock
        self.log = log
        self.stream = f"{settings.stream}-checkpoints"
        self.is_owner: Callable[[str], bool] = lambda key: True
        self.oldest = 0
        self._due_since: float | None = None
        self._written_at = -MIN_WRITE_INTERVAL_S

    async def run(self) -> None:
        """Write a checkpoint whenever one is due and this daemon should write it."""
        while True:
            await self.clock.sleep(CHECK_PERIOD_S)
            if not self._should_write():
                continue
            try:
                await self.write()
            except (PlatformError, AnswerLost) as exc:
                logging.warning("no checkpoint was written: %s", exc)

    def due(self) -> bool:
        """Whether the newest checkpoint is too old for what the log keeps.

        The oldest records of the log expire. If the newest checkpoint expired too, or ended before
        the oldest kept record, a new daemon could not tell what is in force. So one is due well
        before, and at once after an outage in which all records expired; every daemon still has
        the state in memory then.
        """
        state = self.log.state
        if state.offset == 0:
            return False
        if state.offset == state.checkpoint_offset + 1:
            # Only the announcement itself was folded since.
            return self.oldest >= state.offset or self._age_s() > self.settings.checkpoint_s
        if self.oldest > 0:
            kept = state.offset - self.oldest
            if state.checkpoint_offset < self.oldest + kept * EXPIRY_MARGIN_SHARE:
                return True
        if state.offset - state.checkpoint_offset > self.settings.checkpoint_records:
            return True
        return self._age_s() > self.settings.checkpoint_s

    async def write(self) -> int:
        """Write a checkpoint of the current state, and announce it.

        :return: the offset up to which it is folded.
        :raises PlatformError: it was not written.
        :raises AnswerLost: it may have been written.
        """
        self._written_at = self.clock.monotonic()
        state = self.log.state
        offset = state.offset
        packed = snapshots.pack(state)
        data = await asyncio.to_thread(snapshots.compress, packed)
        chunks = chunk_records(data, offset=offset, writer=self.log.member)
        for chunk in chunks:
            # One chunk per append, so that no append is very large.
            await self.platform.append(self.stream, [chunk])
        body = CheckpointBody(offset=offset, chunks=len(chunks))
        await self.log.write("checkpoint", body, timeout_s=ANNOUNCE_TIMEOUT_S, purpose="background")
        metrics.checkpoints.add(1)
        return offset

    async def load(self) -> LoadedCheckpoint | None:
        """Find the newest complete checkpoint.

        :raises PlatformError: the log can't be read.
        """
        try:
            oldest, end = await self._bounds()
            window = PAGE_CHUNKS
            while True:
                start = max(oldest, end - window)
                found = latest_checkpoint(await self._read(start, end))
                if found is not None or start == oldest:
                    return found
                window *= 4
        except LogExpired:
            # Chunks expired between two reads; the caller tries again.
            return None

    async def _bounds(self) -> tuple[int, int]:
        try:
            page = await self.platform.read(self.stream, 0, limit=1)
        except LogExpired as exc:
            page = await self.platform.read(self.stream, exc.oldest, limit=1)
        return page.oldest, page.end

    async def _read(self, start: int, end: int) -> list[LogRecord]:
        found: list[LogRecord] = []
        while start < end:
            page = await self.platform.read(self.stream, start, limit=PAGE_CHUNKS)
            if not page.records:
                break
            found += page.records
            start = page.next_offset
        return found

    def _should_write(self) -> bool:
        now = self.clock.monotonic()
        if not self.log.current or not self.due():
            self._due_since = None
            return False
        if self._due_since is None:
            self._due_since = now
        if now - self._written_at < MIN_WRITE_INTERVAL_S:
            return False
        if self.is_owner("checkpoint"):
            return True
        # The owner may be stuck or cut off. Two daemons that take over at once do no harm: both
        # write the same decided state, and the newest complete checkpoint counts.
        return now - self._due_since > TAKEOVER_DELAY_S * random.uniform(1, 2)

    def _age_s(self) -> float:
        if self.log.state.checkpoint_offset < 0:
            return 0.0
        # The local clock affects only when a checkpoint is written, never its content.
        return max(0.0, self.clock.wall() - self.log.state.checkpoint_time)


def _decode_chunk(record: LogRecord) -> ChunkBody | None:
    try:
        value = records.check(record.value)
        body = convert(value["body"], ChunkBody)
    except (RecordRejected, Undecodable):
        return None
    return body if 0 <= body.chunk < body.chunks <= MAX_CHUNKS else None
