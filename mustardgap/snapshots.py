"""Snapshots, the encoded state for checkpoints and peers."""

import zlib
from typing import Any

import msgspec

from . import status_codes
from .codecs import Undecodable, decode_msgpack
from .exceptions import RecordRejected
from .models import RULES_VERSION, Declaration, EntryState, HostState, JobState, WaveState
from .states import RecordDecision, State

FORMAT = 1
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
COMPRESSION_LEVEL = 6


class Snapshot(msgspec.Struct, kw_only=True):
    """The encoded form of the state; decoding it rebuilds the indexes."""

    format: int
    rules: int
    offset: int
    time: float
    floor: int
    sweep: int
    checkpoint: tuple[int, float]
    declarations: list[tuple[str, int, dict[str, Any]]]
    hosts: list[HostState]
    jobs: list[JobState]
    waves: list[WaveState]
    decided: list[tuple[str, int, int]]
    ended_jobs: list[str]
    entries: list[EntryState] = []


class Header(msgspec.Struct, kw_only=True):
    """The fields that are decoded first, to reject a state that was folded with newer rules.

    A newer daemon's snapshot can be read as long as no record needed the newer rules.
    """

    format: int
    rules: int


def encode(state: State) -> bytes:
    """Encode the state as a snapshot."""
    return compress(pack(state))


def compress(packed: bytes) -> bytes:
    """Compress a packed state; this may run in a thread, as zlib releases the GIL."""
    return zlib.compress(packed, COMPRESSION_LEVEL)


def pack(state: State) -> bytes:
    """Pack the current state."""
    snapshot = Snapshot(
        format=FORMAT,
        rules=state.rules,
        offset=state.offset,
        time=state.time,
        floor=state.floor,
        sweep=state.sweep,
        checkpoint=(state.checkpoint_offset, state.checkpoint_time),
        declarations=[tuple(d) for d in state.declarations_by_key.values()],  # type: ignore[misc]
        hosts=list(state.hosts_by_name.values()),
        jobs=list(state.jobs_by_id.values()),
        waves=list(state.waves_by_name.values()),
        decided=[(key, *decided) for key, decided in state.decisions_by_id.items()],
        ended_jobs=list(state.ended_jobs),
        entries=list(state.entries_by_host.values()),
    )
    return msgspec.msgpack.encode(snapshot)


def decode(data: bytes) -> State:
    """Decode a snapshot.

    :param data: the result of ``encode``.
    :return: the state.
    :raises RecordRejected: MG3004 for newer rules or formats, MG3012 for a damaged snapshot.
    """
    try:
        inflater = zlib.decompressobj()
        raw = inflater.decompress(data, MAX_SNAPSHOT_BYTES)
        if not inflater.eof:
            raise RecordRejected(code=status_codes.RECORD_INVALID, detail="cut short or too large")
        header = decode_msgpack(raw, Header)
        if header.format > FORMAT or header.rules > RULES_VERSION:
            detail = f"a snapshot of rules {header.rules}, this daemon has {RULES_VERSION}"
            raise RecordRejected(code=status_codes.RULES_TOO_NEW, detail=detail)
        snapshot = decode_msgpack(raw, Snapshot)
    except (zlib.error, Undecodable) as exc:
        raise RecordRejected(code=status_codes.RECORD_INVALID, detail=str(exc)) from None
    return _restore_state(snapshot)


def _restore_state(snapshot: Snapshot) -> State:
    state = State()
    state.offset = snapshot.offset
    state.time = snapshot.time
    state.rules = snapshot.rules
    state.floor = snapshot.floor
    state.sweep = snapshot.sweep
    state.checkpoint_offset, state.checkpoint_time = snapshot.checkpoint
    state.put_declarations((Declaration(*fields) for fields in snapshot.declarations), [])
    for host in snapshot.hosts:
        state.put_host(host)
    for job in snapshot.jobs:
        state.put_job(job)
    state.ended_jobs.clear()
    state.ended_jobs.extend(snapshot.ended_jobs)
    for wave in snapshot.waves:
        state.put_wave(wave)
    for entry in snapshot.entries:
        state.entries_by_host[entry["host"]] = entry
    for record_id, offset, code in snapshot.decided:
        state.decisions_by_id[record_id] = RecordDecision(offset, code)
    return state
