"""Steps for records that can't be read: decoding alone, and owners simulated on virtual time."""

import asyncio
import struct
from base64 import b64encode

import msgspec
from behave import then, when
from hypothesis import HealthCheck
from hypothesis import given as drawn
from hypothesis import settings as profile
from hypothesis import strategies as st

from features.support.owner_jobs import START_S, job_id_of, run_jobs
from mustardgap.boards import ExecutorBoard
from mustardgap.events import EventLog
from mustardgap.fleet_moves import LEARNED_KEY
from mustardgap.fleet_orders import RECENT_KEY
from mustardgap.owner_records import OWNER_KEY
from mustardgap.platform.daemon import decode_entry
from mustardgap.platform.decoding import newest_page
from mustardgap.platform.store_client import _records
from mustardgap.ports import Entries, Invalid
from mustardgap.room_observations import DEMANDS_KEY
from mustardgap.shard_logs import EXECUTOR_KEY, JOB_KEY, PROGRESS_KEY
from mustardgap.shard_owners import FLEET_SHARD, shard_of
from mustardgap.timers import Clock
from mustardgap.workloads import EndKind, Room
from tools.owner_daemons import SERVICE, SHARDS
from tools.owner_troubles import TWO_STEPS, UNREADABLE
from tools.owner_worlds import play

VALID_ENTRY = {
    "service": "quoting",
    "addr": "10.1.0.9:8080",
    "zone": "d1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4,
    "capacity": {"cpu": 16_000, "memMb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "machine": "m-1",
}
REQUIRED = sorted(VALID_ENTRY.keys() - {"machine"})
INVALID_ENTRIES = {
    "not JSON": b"hello",
    "cut off": msgspec.json.encode(VALID_ENTRY)[:-7],
    "not in UTF-8": msgspec.json.encode(VALID_ENTRY).replace(b"quoting", b"quot\xff\xfe"),
    "a list": b"[1,2]",
    "null": b"null",
    "a number": b"17",
    "of an unknown start": msgspec.json.encode({**VALID_ENTRY, "born": "soon"}),
}


def entry_with(**changes):
    """Decode a valid entry with some fields changed."""
    return decode_entry("x1", msgspec.json.encode({**VALID_ENTRY, **changes}))


@then("an executor's entry with nothing changed names the executor")
def check_good(context):
    entry = entry_with()
    assert (entry.executor, entry.address, entry.rack) == ("x1", "10.1.0.9:8080", "r1-3"), entry
    assert not entry.draining and entry_with(state="draining", remainingMs=1500.5).draining


@then("an executor's entry with {field} {change} is invalid")
def check_changed(context, field, change):
    fields = dict(VALID_ENTRY)
    if change == "left out":
        del fields[field]
    else:
        fields[field] = msgspec.json.decode(change)
    entry = decode_entry("x1", msgspec.json.encode(fields))
    assert isinstance(entry, Invalid) and entry.detail, entry


@then("an executor's entry with the capacity {capacity} holds {held}")
def check_capacity(context, capacity, held):
    entry = entry_with(capacity=msgspec.json.decode(capacity))
    assert not isinstance(entry, Invalid), entry
    assert entry.capacity.holds(Room(500, 256)) is (held == "a half core"), entry


@then("an entry that is {kind} is invalid")
def check_raw(context, kind):
    assert isinstance(decode_entry("x1", INVALID_ENTRIES[kind]), Invalid)


ANY_JSON_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)
ENTRY_FIELDS = st.fixed_dictionaries(
    {},
    optional={name: st.just(VALID_ENTRY[name]) | ANY_JSON_VALUE for name in VALID_ENTRY}
    | {"remainingMs": ANY_JSON_VALUE, "another": ANY_JSON_VALUE},
)


@then("drawn entries are decoded correctly, or are invalid")
def check_drawn(context):
    @profile(max_examples=500, deadline=None, suppress_health_check=list(HealthCheck))
    @drawn(ENTRY_FIELDS, st.integers(0, 400), st.binary(max_size=20))
    def check(fields, position, inserted):
        entry = decode_entry("x1", msgspec.json.encode(fields))
        if not isinstance(entry, Invalid):
            assert all(name in fields for name in REQUIRED), fields
            assert entry.service and entry.capacity.cpu >= 0 and entry.capacity.memory_mb >= 0
            capacity = fields["capacity"]
            amounts = (capacity["cpu"], capacity["memMb"], capacity.get("gpu", 0))
            assert tuple(entry.capacity) == amounts, (entry.capacity, capacity)
            assert fields["state"] in ("ready", "draining")
            assert 0 < int(entry.address.rpartition(":")[2]) < 65_536
        raw = msgspec.json.encode({**VALID_ENTRY, **fields})
        decode_entry("x1", raw[:position] + inserted + raw[position:])
        decode_entry("x1", raw[:position])

    check()


@when("a list holds good entries, and bad ones that are written {times:d} times")
def list_with_bad(context, times):
    context.events = EventLog(host="e1")
    board = ExecutorBoard(
        boards=None,
        decode=decode_entry,
        needed=lambda: True,
        clock=Clock(),
        events=context.events,
    )
    good = {f"x{n}": msgspec.json.encode(VALID_ENTRY) for n in range(3)}
    context.bad = {f"bad-{n}": raw for n, raw in enumerate(INVALID_ENTRIES.values())}
    for _ in range(times):
        board._apply_entries(Entries(values_by_key={**context.bad, **good}, end=1))
    context.board = board


@then("the good ones are known, and each bad one is logged once")
def check_list(context):
    assert sorted(context.board.entries_by_id) == ["x0", "x1", "x2"]
    lines = [line for line in context.events.captured if line["event"] == "executor.invalid"]
    assert sorted(line["executor"] for line in lines) == sorted(context.bad), lines
    assert all(line["why"] for line in lines), lines


def _record(content):
    return struct.pack(">I", len(content)) + content


@when("a read of the store has a key not in UTF-8, a key beyond its record, and a truncated answer")
def read_records(context):
    good = [_record(b"\x02x1value"), _record(b"\x02x2")]
    bad = [_record(b"\x02\xff\xfevalue"), _record(b"\x09x3"), _record(b"")]
    cut_short = _record(b"\x02x4value")[:-2]
    raw = struct.pack(">QQ", 100, 0) + b"".join([good[0], *bad, good[1], cut_short])
    context.read = _records(raw, 40)
    context.expected = Entries(
        values_by_key={"x1": b"value", "x2": None}, end=45, invalid=context.read.invalid
    )


@when("a page of newest records has an item without a key, and one whose value isn't in base64")
def read_newest(context):
    items = [
        {"key": "x1", "value": b64encode(b"value").decode(), "offset": 1},
        {"value": "dmFsdWU=", "offset": 2},
        {"key": "x2", "value": "{not base64}", "offset": 3},
        7,
    ]
    page = newest_page(msgspec.json.encode({"items": items, "hasMore": False, "end": 9}))
    context.read = Entries(
        values_by_key=dict(page.values_by_key), end=page.end, invalid=tuple(page.invalid)
    )
    context.expected = Entries(
        values_by_key={"x1": b"value", "x2": b"{not base64}"}, end=9, invalid=context.read.invalid
    )


@then("the other records are read, and the next read begins at the truncated one")
@then("the other records are read, and the one with a key is passed on unchanged")
def check_read(context):
    assert context.read == context.expected, context.read
    assert context.read.invalid


@when("all entries are overwritten for {seconds:d} s while jobs run, and a job is submitted")
def overwritten(context, seconds):
    context.states = {}

    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, 2, pause_s=0))
        await asyncio.sleep(0.3)
        world.beating = False
        for executor in world.fleet.by_address.values():
            world.store.write_entry(executor.entry.executor, UNREADABLE)
        await asyncio.sleep(0.5)
        context.from_s = world.loop.time()
        late_job = job_id_of(77)
        await world.submit_until_accepted(late_job, world.asked_by_job[job_id_of(0)].spec)
        await asyncio.sleep(seconds)
        context.until_s = world.loop.time()
        world.beating = True
        await work
        context.states[late_job] = await world.final_state(late_job, 60)

    context.world = play(scene, work_s=1.5)


@then("running tasks have continued, and nothing was started until the entries were back")
def check_overwritten(context):
    runs = context.world.fleet.record.runs
    started = [run for run in runs if run.started_at < context.from_s]
    assert started and all(run.how is EndKind.DONE for run in started), started
    new = [run for run in runs if context.from_s < run.started_at < context.until_s]
    assert not new, new
    assert set(context.states.values()) == {"completed"}, context.states


STORE_KEYS = {
    "a job": (SERVICE, JOB_KEY + job_id_of(0)),
    "a job's progress": (SERVICE, PROGRESS_KEY + job_id_of(0)),
    "an executor": (SERVICE, EXECUTOR_KEY + "x1"),
    "who owned the shard": (SERVICE, OWNER_KEY),
    "what the fleet has learned": (None, LEARNED_KEY),
    "the pools' last demand": (None, DEMANDS_KEY),
    "orders to machines": (None, RECENT_KEY),
}


@when("an owner dies and the record of {kind} can't be read")
def record_unreadable(context, kind):
    service, context.key = STORE_KEYS[kind]
    shard = FLEET_SHARD if service is None else shard_of(service, SHARDS)

    async def scene(world):
        await asyncio.sleep(START_S)
        context.unreadable_job = job_id_of(0)
        assert await world.submit_until_accepted(context.unreadable_job, TWO_STEPS)
        await asyncio.sleep(0.9)
        for daemon in list(world.daemons_by_address.values()):
            if shard in daemon.owners.owned_by_shard:
                world.kill(daemon.name)
        world.store.shards[shard].values_by_key[context.key] = UNREADABLE
        context.states = {}
        ids = range(1, 5)
        await asyncio.gather(*(_run_job(world, context.states, job_id_of(n)) for n in ids))
        await asyncio.sleep(20)
        context.lines = [x for d in world.daemons_by_address.values() for x in d.events.captured]

    context.world = play(scene)


async def _run_job(world, states, job_id):
    assert await world.submit_until_accepted(job_id, TWO_STEPS)
    states[job_id] = await world.final_state(job_id, 60)


@then("all other jobs have ended as completed, and nothing of the job has run twice")
def check_others(context):
    assert set(context.states.values()) == {"completed"}, context.states
    runs = [r for r in context.world.fleet.record.runs if r.task.job == context.unreadable_job]
    assert len(runs) >= 3, runs
    done = [run.task for run in runs if run.how is EndKind.DONE]
    assert len(done) == len(set(done)), runs


@then("the unreadable record is logged")
def check_line(context):
    lines = [line for line in context.lines if line["event"] == "record.invalid"]
    assert any(context.key in line["why"] for line in lines), lines


@when("a machine's row can't be read for {seconds:d} s while its executor runs jobs")
def row_unreadable(context, seconds):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, 8))
        await asyncio.sleep(0.5)
        world.machines.unreadable.update(["m1", "m2"])
        await asyncio.sleep(seconds)
        world.machines.unreadable.clear()
        await work
        context.lines = [x for d in world.daemons_by_address.values() for x in d.events.captured]

    context.states = {}
    context.world = play(scene)


@then("no executor was declared gone")
def check_none_given_up(context):
    gone = [line for line in context.lines if line["event"] == "executor.gone"]
    assert not gone, gone
    assert any(line["event"] == "machine.invalid" for line in context.lines)
