"""Benchmarks of the fold: records a second, checkpoints against carrying records, start-up."""

import asyncio
import json
import tempfile
import time
import tracemalloc
import zlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import click
import msgspec

from mustardgap import snapshots
from mustardgap.adapters import Platform
from mustardgap.checkpoints import chunk_records
from mustardgap.folds import State, fold
from mustardgap.models import LogRecord
from mustardgap.settings import PlatformSettings
from mustardgap.streams import Log
from mustardgap.timelines import Timeline
from mustardgap.timers import Timers

from .days import DAY_S, Day
from .processes import Processes, free_ports, wait_http
from .rows import Row

SIZES = (900, 3000, 8900)
CHECKPOINT_RECORDS = PlatformSettings(address="127.0.0.1:1").checkpoint_records
NAIVE_RECORDS = 2000
PRELOAD_BATCH = 500
RETENTION_DAYS = (1, 7)


def rows(quick: bool) -> Iterator[Row]:
    """All rows, for each size of fleet."""
    for hosts in SIZES[:1] if quick else SIZES:
        day = Day(hosts=hosts)
        yield from fold_rows(day)
        yield from checkpoint_rows(day)
        yield from start_rows(day)


def fold_rows(day: Day) -> Iterable[Row]:
    """How fast a day is folded; the naive way counts budgets over the whole fleet."""
    tail = day.log[day.set_up_records :]
    seconds = _fold_s(day, tail)
    with mock.patch.object(State, "hosts_of", _scan):
        naive = tail[:NAIVE_RECORDS]
        naive_s = _fold_s(day, naive)
    size = f"{day.hosts} hosts"
    note = f"{len(tail)} records of one day, {day.pools} pools, {day.teams} teams"
    yield Row(
        f"fold, {size}",
        len(tail) / seconds,
        "records/s",
        len(naive) / naive_s,
        "each budget counted over all hosts",
        note=note,
    )
    share = 100 * seconds / DAY_S
    yield Row(f"fold of a day's records, {size}", share, "% of a core", note=note)
    yield Row(f"memory of the state, {size}", _state_bytes(day) / 1e6, "MB")


def checkpoint_rows(day: Day) -> Iterable[Row]:
    """Bytes and appends a day of whole checkpoints and of carrying live records forward."""
    size = f"{day.hosts} hosts"
    started = time.perf_counter()
    packed = snapshots.pack(day.state)
    pack_s = time.perf_counter() - started
    data = snapshots.compress(packed)
    compress_s = time.perf_counter() - started - pack_s
    chunks = chunk_records(data, offset=day.state.offset, writer="entry-1")
    written = len(msgspec.json.encode(chunks))
    tail = len(day.log) - day.set_up_records
    count = max(24, round(tail / CHECKPOINT_RECORDS))
    index = _light_index(day)
    yield Row(f"checkpoint, {size}", written / 1000, "KB", index / 1000, "light index only")
    yield Row(f"checkpoint, packing on the event loop, {size}", pack_s * 1000, "ms")
    yield Row(f"checkpoint, compressing in a thread, {size}", compress_s * 1000, "ms")
    for days in RETENTION_DAYS:
        carried, carried_bytes = _carried(day, days)
        note = f"retention of {days} d, {count} checkpoints or indexes a day"
        yield Row(
            f"checkpoint bytes a day, {days} d kept, {size}",
            written * count / 1e6,
            "MB",
            (carried_bytes + index * count) / 1e6,
            "live records carried, light index",
            note=note,
        )
        yield Row(
            f"checkpoint appends a day, {days} d kept, {size}",
            float((len(chunks) + 1) * count),
            "appends",
            carried / 200 + 2 * count,
            "live records carried in batches of 200",
            note=note,
        )
    own = sum(len(msgspec.json.encode(r.value)) for r in day.log[day.set_up_records :])
    yield Row(f"records of a day themselves, {size}", own / 1e6, "MB", note=f"{tail} records")


def start_rows(day: Day) -> Iterable[Row]:
    """How long a new daemon takes until it is current, over HTTP on loopback."""
    with tempfile.TemporaryDirectory(prefix="mustardgap-bench-") as folder:
        processes = Processes(folder=folder)
        try:
            whole, tailed, index = asyncio.run(_start_times(day, processes, Path(folder)))
        finally:
            processes.stop_all()
    size = f"{day.hosts} hosts"
    note = f"{CHECKPOINT_RECORDS} records after the checkpoint"
    name = "all records from offset 0"
    yield Row(f"start from a checkpoint, {size}", tailed, "s", whole, name, note=note)
    name = "live records picked from a day's log by a light index"
    yield Row(f"start from a checkpoint or an index, {size}", tailed, "s", index, name, note=note)


def _fold_s(day: Day, tail: list[LogRecord]) -> float:
    state = State()
    for record in day.log[: day.set_up_records]:
        fold(state, record)
    started = time.perf_counter()
    for record in tail:
        fold(state, record)
    return time.perf_counter() - started


def _scan(state: State, service: str) -> list[Any]:
    pools = set(state.pools_by_service.get(service, []))
    return [host for host in state.hosts_by_name.values() if host["pool"] in pools]


def _state_bytes(day: Day) -> int:
    data = snapshots.encode(day.state)
    tracemalloc.start()
    state = snapshots.decode(data)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used if state.offset else 0


def _live(day: Day) -> dict[str, tuple[int, Any]]:
    """Each live thing with the offset that last changed it and its value."""
    live: dict[str, tuple[int, Any]] = {
        d.key: (d.version, d.value) for d in day.state.declarations_by_key.values()
    }
    for record in day.log:
        body, kind = record.value["body"], record.value["kind"]
        if kind == "host":
            name = body["host"]
            live[f"host/{name}"] = (record.offset, day.state.hosts_by_name[name])
        if kind == "job" and body["job"] in day.state.jobs_by_id:
            live[f"job/{body['job']}"] = (record.offset, day.state.jobs_by_id[body["job"]])
    return live


def _light_index(day: Day) -> int:
    """The size of the offsets of all live records and the remembered ids, as on the log."""
    offsets = sorted(offset for offset, _ in _live(day).values())
    steps = [after - before for before, after in zip([0, *offsets], offsets, strict=False)]
    ids = [(key, *decided) for key, decided in day.state.decisions_by_id.items()]
    raw = zlib.compress(msgspec.msgpack.encode((steps, ids)), 6)
    return len(msgspec.json.encode(chunk_records(raw, offset=0, writer="entry-1")))


def _carried(day: Day, days: int) -> tuple[float, float]:
    """Records and bytes a day that are written anew because they near expiry."""
    changed_a_day = {key for key, (offset, _) in _live(day).items() if offset >= day.set_up_records}
    count, size = 0, 0
    for key, (_, value) in _live(day).items():
        # What changes within the retention needs no carrying; over more days, more has changed.
        if key in changed_a_day or hash_share(key) < (days - 1) * len(changed_a_day) / day.hosts:
            continue
        count += 1
        size += len(msgspec.json.encode(value)) + 100
    return count / days, size / days


def hash_share(key: str) -> float:
    """A number from 0 to 1 that is spread evenly over keys."""
    return zlib.crc32(key.encode()) / 2**32


async def _start_times(day: Day, processes: Processes, folder: Path) -> tuple[float, float, float]:
    (folder / "platform.json").write_text(json.dumps({"fleet": {"data_centers": []}}))
    (port,) = free_ports(1)
    settings = f"--settings={folder / 'platform.json'}"
    processes.start("platform", "standins.platforms", f"--port={port}", settings)
    wait_http(f"http://127.0.0.1:{port}/control/truth")
    address = f"127.0.0.1:{port}"
    platform = Platform(address=address, timeout_s=10.0)
    early = State()
    stop_at = len(day.log) - CHECKPOINT_RECORDS
    for at in range(0, len(day.log), PRELOAD_BATCH):
        await platform.append("mustardgap", [r.value for r in day.log[at : at + PRELOAD_BATCH]])
    whole = await _until_current(address, "mustardgap", len(day.log))
    for record in day.log[: max(day.set_up_records, stop_at)]:
        fold(early, record)
    data = snapshots.encode(early)
    chunks = chunk_records(data, offset=early.offset, writer="entry-1")
    for chunk in chunks:
        await platform.append("mustardgap-checkpoints", [chunk])
    tailed = await _until_current(address, "mustardgap", len(day.log))
    index = await _read_live(day, platform, data)
    platform.close()
    return whole, tailed, index


async def _until_current(address: str, stream: str, end: int) -> float:
    log = Log(
        platform=Platform(address=address),
        state=State(),
        settings=PlatformSettings(address=address, stream=stream),
        timers=Timers(),
        timeline=Timeline(member="bench", size=10),
        member="bench",
    )
    current = asyncio.Event()
    log.on_fold(lambda record, verdict: current.set() if log.offset == end else None)
    started = time.perf_counter()
    task = asyncio.create_task(log.run())
    await current.wait()
    taken = time.perf_counter() - started
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    log.platform.close()
    return taken


async def _read_live(day: Day, platform: Platform, early: bytes) -> float:
    """Read all that is kept and take in the live records, as a light index would ask for."""
    live = dict(_live(day).values())
    started = time.perf_counter()
    offset = 0
    while offset < len(day.log):
        page = await platform.read("mustardgap", offset, limit=1000)
        for record in page.records:
            if record.offset in live:
                msgspec.json.decode(msgspec.json.encode(live[record.offset]))
        offset = page.next_offset
    state = snapshots.decode(early)
    for record in day.log[state.offset :]:
        fold(state, record)
    return time.perf_counter() - started


@click.command()
@click.option("--quick", is_flag=True, help="The smallest fleet only.")
def main(quick: bool) -> None:
    """Print a table and the rows as JSON."""
    found = list(rows(quick))
    for row in found:
        base = "" if row.baseline is None else f"  ({row.baseline_name}: {row.baseline:,.4g})"
        click.echo(f"{row.name:58} {row.value:>12,.4g} {row.unit}{base}  {row.note}")
    click.echo(json.dumps([row._asdict() for row in found]))


if __name__ == "__main__":
    main()
