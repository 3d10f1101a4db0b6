"""Snapshots of the state, and the checkpoints that outlive the log's retention."""

import base64
import zlib
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import msgspec

from . import records, status_codes
from .adapters import Platform
from .exceptions import RecordRejected
from .models import (
    RULES_VERSION,
    Declaration,
    HostState,
    JobState,
    LogRecord,
    Page,
    Record,
    WaveState,
)
from .settings import PlatformSettings
from .states import Decided, State
from .timers import Clock

FORMAT = 1
CHUNK_BYTES = 128 * 1024
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
MAX_CHUNKS = 256


class Snapshot(msgspec.Struct, kw_only=True):
    """The state as it is coded; indexes are built anew when it is read."""

    format: int
    rules: int
    offset: int
    time: float
    floor: int
    sweep: int
    declarations: list[tuple[str, int, dict[str, Any]]]
    hosts: list[HostState]
    jobs: list[JobState]
    waves: list[WaveState]
    decided: list[tuple[str, int, int]]
    ended_jobs: list[str]


class Header(msgspec.Struct, kw_only=True):
    """What is read first, so that a newer daemon's snapshot is refused and not guessed at."""

    format: int
    rules: int


class ChunkBody(msgspec.Struct, kw_only=True):
    """One chunk of a checkpoint, the body of a ``checkpoint`` record."""

    snapshot: str
    offset: int
    chunk: int
    chunks: int
    data: str


class Loaded(NamedTuple):
    """A whole checkpoint found on the log."""

    offset: int
    data: bytes


def encode(state: State) -> bytes:
    """Code the state as a snapshot."""
    snapshot = Snapshot(
        format=FORMAT,
        rules=RULES_VERSION,
        offset=state.offset,
        time=state.time,
        floor=state.floor,
        sweep=state.sweep,
        declarations=[tuple(d) for d in state.declarations_by_key.values()],  # type: ignore[misc]
        hosts=list(state.hosts_by_name.values()),
        jobs=list(state.jobs_by_id.values()),
        waves=list(state.waves_by_name.values()),
        decided=[(key, *decided) for key, decided in state.decided_by_id.items()],
        ended_jobs=list(state.ended_jobs),
    )
    return zlib.compress(msgspec.msgpack.encode(snapshot), 6)


def decode(data: bytes) -> State:
    """Read a snapshot.

    :param data: what ``encode`` gave.
    :rtype: State
    :raises RecordRejected: MG3004 for a newer daemon's, MG3012 for a damaged one.
    """
    try:
        inflater = zlib.decompressobj()
        raw = inflater.decompress(data, MAX_SNAPSHOT_BYTES)
        if not inflater.eof:
            raise RecordRejected(code=status_codes.RECORD_INVALID, detail="cut short or too large")
        header = msgspec.msgpack.decode(raw, type=Header)
        if header.format > FORMAT or header.rules > RULES_VERSION:
            detail = f"a snapshot of rules {header.rules}, this daemon has {RULES_VERSION}"
            raise RecordRejected(code=status_codes.RULES_TOO_NEW, detail=detail)
        snapshot = msgspec.msgpack.decode(raw, type=Snapshot)
    except (zlib.error, msgspec.DecodeError) as exc:
        raise RecordRejected(code=status_codes.RECORD_INVALID, detail=str(exc)) from None
    return _state(snapshot)


def chunk_records(data: bytes, *, offset: int, writer: str) -> list[Record]:
    """Cut a snapshot into the records of a checkpoint.

    :param data: the snapshot.
    :param offset: the offset up to which it is folded.
    :param writer: the daemon that writes it.
    """
    pieces = [data[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES)]
    snapshot = records.new_id()
    return [
        records.make(
            "checkpoint",
            {
                "snapshot": snapshot,
                "offset": offset,
                "chunk": number,
                "chunks": len(pieces),
                "data": base64.b85encode(piece).decode("ascii"),
            },
            writer=writer,
            seen=offset,
        )
        for number, piece in enumerate(pieces)
    ]


def latest(chunks: Iterable[LogRecord]) -> Loaded | None:
    """The newest whole checkpoint among the records of the checkpoint stream.

    Two daemons may have written one at the same time; their chunks mix and are told apart by
    the snapshot's id. One whose writer died halfway is passed over.
    """
    pieces_by_snapshot: dict[str, dict[int, str]] = {}
    found: tuple[int, str] | None = None
    for record in chunks:
        body = _chunk(record)
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
    return Loaded(found[0], data)


def _chunk(record: LogRecord) -> ChunkBody | None:
    try:
        value = records.check(record.value)
        body = msgspec.convert(value["body"], ChunkBody)
    except (RecordRejected, msgspec.ValidationError):
        return None
    return body if 0 <= body.chunk < body.chunks <= MAX_CHUNKS else None


def _state(snapshot: Snapshot) -> State:
    state = State()
    state.offset = snapshot.offset
    state.time = snapshot.time
    state.floor = snapshot.floor
    state.sweep = snapshot.sweep
    state.put_declarations((Declaration(*parts) for parts in snapshot.declarations), [])
    for host in snapshot.hosts:
        state.put_host(host)
    for job in snapshot.jobs:
        state.put_job(job)
    state.ended_jobs.clear()
    state.ended_jobs.extend(snapshot.ended_jobs)
    for wave in snapshot.waves:
        state.put_wave(wave)
    for record_id, offset, code in snapshot.decided:
        state.decided_by_id[record_id] = Decided(offset, code)
    return state


class Checkpoints:
    """Writes and finds the checkpoints of one daemon.

    They stand on a stream of their own, so that a starting daemon finds the newest without
    reading through the records of the state.
    """

    def __init__(
        self, *, platform: Platform, settings: PlatformSettings, clock: Clock, member: str
    ) -> None:
        self.platform = platform
        self.settings = settings
        self.clock = clock
        self.member = member
        self.stream = f"{settings.stream}-checkpoints"
        self.is_mine: Callable[[str], bool] = lambda key: True

    async def maybe_write(self, state: State, page: Page) -> bool:
        """Write a checkpoint when one is due and it is this daemon's turn."""
        return False

    async def load(self) -> Loaded | None:
        """Find the newest whole checkpoint."""
        return None
