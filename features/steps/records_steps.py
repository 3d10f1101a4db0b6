"""Steps for records and calls that are larger than the store takes, on virtual time."""

import asyncio
import json
import tempfile
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when

from mustardgap import metrics, ports
from mustardgap.events import EventLog
from mustardgap.http_pools import HttpAnswer
from mustardgap.path_holders import PathHolders
from mustardgap.platform.process_settings import load
from mustardgap.platform.store_client import StoreClient
from mustardgap.record_limits import RecordLimits
from mustardgap.shard_logs import ShardLog
from mustardgap.tickets import Stored
from tools.fake_store import FakeStore, StorePort
from tools.virtual_time import VirtualClock, run
from tools.wire_platform import process_settings

SHARD, SHARDS = 1, 4
# Enough for appends to the failover partition to begin, and for all repeats.
SETTLE_S = 3.0
OTHER_KEY = "j/other"
STATED_BYTES = 4000


class LogRig:
    """A shard's log on a fake store of which one partition may be away."""

    def __init__(self, *, store, limits):
        self.store = store
        self.clock = VirtualClock(loop=asyncio.get_running_loop())
        self.events = EventLog(host="e1", clock=self.clock)
        self.log = self.make_log(1, limits)
        self._parts = []

    def make_log(self, epoch, limits):
        port = StorePort(store=self.store, host=f"e{epoch}")
        return ShardLog(
            store=port,
            shard=SHARD,
            epoch=epoch,
            clock=self.clock,
            events=self.events,
            limits=limits,
        )

    async def open(self, partition):
        """Begin to write; then leave only one partition."""
        await self.log.open()
        await self.log.read()
        self.log.put_owner(closed=False)
        self._parts = [asyncio.ensure_future(part) for part in self._work()]
        await asyncio.sleep(SETTLE_S)
        if partition == "failover":
            self.store.away.add((SHARD, False))

    def _work(self):
        return self.log.run(), self.log.run_failover()

    async def close(self):
        for part in self._parts:
            part.cancel()
        await asyncio.gather(*self._parts, return_exceptions=True)


def _count_rejected():
    """The value of the metric, over all kinds."""
    lines = metrics.render().decode().splitlines()
    name = "mustardgap_store_records_rejected"
    return sum(float(line.split()[-1]) for line in lines if line.startswith(name))


def _outcome(ticket):
    return ticket.outcome.result() if ticket.outcome.done() else None


@given("a shard's log with a {partition} partition alone, and a store that takes {what} bytes")
def shard_log(context, partition, what):
    context.partition = partition
    kind, count = what.split(" of ")
    context.store = FakeStore(shards=SHARDS)
    if kind == "records":
        context.store.record_bytes = int(count)
        context.limits = RecordLimits(record_bytes=STATED_BYTES)
    else:
        context.store.request_bytes = int(count)
        context.limits = RecordLimits(request_bytes=int(count))


def _play(context, scene):
    async def main():
        rig = LogRig(store=context.store, limits=context.limits)
        await rig.open(context.partition)
        await scene(rig)
        context.lines = list(rig.events.captured)
        await rig.close()

    run(main())


@when("ten small records are written, one with {content} in the middle, and ten more later")
def write_with_other(context, content):
    key, value = OTHER_KEY, b"v"
    if content.startswith("a key"):
        key = OTHER_KEY + "k" * (int(content.split()[-1]) - len(OTHER_KEY))
    else:
        value = b"v" * int(content.split()[0])
    context.key, context.counted = key, _count_rejected()

    async def scene(rig):
        small = [rig.log.put(f"j/{n}", b"small") for n in range(5)]
        context.other = rig.log.put(key, value)
        small += [rig.log.put(f"j/{n}", b"small") for n in range(5, 10)]
        await asyncio.sleep(SETTLE_S)
        small += [rig.log.put(f"j/{n}", b"small") for n in range(10, 20)]
        await asyncio.sleep(SETTLE_S)
        context.small = [_outcome(ticket) for ticket in small]
        context.other = _outcome(context.other)
        reader = rig.make_log(2, context.limits)
        rig.store.away.clear()
        await reader.open()
        context.read = await reader.read()

    _play(context, scene)


@then("the twenty small records are stored, and their writers are told so")
def small_stored(context):
    assert context.small == [Stored.YES] * 20, context.small
    assert all(context.read.get(f"j/{n}") == b"small" for n in range(20)), context.read


@then("the writer of the other is told that it isn't stored, and a new reader doesn't find it")
def other_not_stored(context):
    assert context.other is Stored.NO, context.other
    assert context.key not in context.read


@then("the writer of the other isn't told anything yet")
def other_untold(context):
    assert context.other is None, context.other
    assert OTHER_KEY not in context.read


@then("one log line tells its key, size and limit, and it is counted")
def rejected_line(context):
    lines = [line for line in context.lines if line["event"] == "record.rejected"]
    assert len(lines) == 1, lines
    assert lines[0]["key"] == context.key, lines
    assert lines[0]["bytes"] > 0 and lines[0]["limit"] == STATED_BYTES, lines
    assert _count_rejected() == context.counted + 1, "it isn't counted"


@when("a key is written with 100, with 5000 and with 200 bytes")
def write_key_anew(context):
    async def scene(rig):
        context.outcomes, context.pending = [], []
        for size in (100, 5000, 200):
            ticket = rig.log.put(OTHER_KEY, b"v" * size)
            await asyncio.sleep(SETTLE_S)
            context.outcomes.append(_outcome(ticket))
            context.pending.append(rig.log.is_pending(OTHER_KEY))

    _play(context, scene)


@then("the three writes are stored, not stored and stored")
def written_anew(context):
    assert context.outcomes == [Stored.YES, Stored.NO, Stored.YES], context.outcomes


@then("the key counts as pending only between the last two")
def pending_between(context):
    assert context.pending == [False, True, False], context.pending


@when("100 records of 1000 bytes are written at once")
def write_many(context):
    async def scene(rig):
        tickets = [rig.log.put(f"j/{n}", b"v" * 1000) for n in range(100)]
        await asyncio.sleep(SETTLE_S)
        context.outcomes = [_outcome(ticket) for ticket in tickets]
        context.rejected = rig.store.rejected
        rig.store.away.clear()
        await asyncio.sleep(SETTLE_S)
        context.left = dict(rig.store.place(SHARD, True).values_by_key)
        context.stored = set(rig.store.place(SHARD, False).values_by_key)

    _play(context, scene)


@then("all of them are stored, and no call was refused")
def many_stored(context):
    assert context.outcomes == [Stored.YES] * 100, context.outcomes
    assert context.rejected == 0, context.rejected


@then("once the primary partition is there too, the failover partition is empty, {rest}")
def cleared(context, rest):
    assert not context.left, sorted(context.left)
    assert {f"j/{n}" for n in range(100)} <= context.stored
    assert context.store.rejected == 0, context.store.rejected


@when("a shard takes {count:d} paths at once from a store that takes calls of {limit:d} bytes")
def take_paths(context, count, limit):
    context.store = FakeStore(shards=SHARDS)
    context.store.request_bytes = limit
    context.paths = [f"path-{number:08d}" for number in range(count)]

    async def main():
        rig = LogRig(store=context.store, limits=RecordLimits(request_bytes=limit))
        dispatcher = SimpleNamespace(shard=SHARD, log=rig.log)
        holders = PathHolders(
            dispatcher=dispatcher,
            store=StorePort(store=context.store, host="e1"),
            owners=None,
            clock=rig.clock,
            events=rig.events,
        )
        context.taken = await holders._take(dict.fromkeys(context.paths, 1))

    run(main())


@then("the list has all of them, and no call was refused")
def paths_listed(context):
    assert context.taken
    listed = {key.partition("/")[0] for key in context.store.paths_by_key}
    assert len(listed) == len(context.paths), len(listed)
    assert context.store.rejected == 0, context.store.rejected


@when("a process is told by its settings that the store takes {stated}")
def read_settings(context, stated):
    fields = process_settings(host="e1", front=1, ready=2, peer=3, store=4, status_s=120)
    names = {"records": "recordBytes", "calls": "requestBytes"}
    for part in stated.split(", ") if stated != "neither" else ():
        kind, count = part.split(" of ")
        fields["platform"][names[kind]] = int(count)
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "boot.json"
        file.write_text(json.dumps(fields))
        context.settings = load(file)


@then("its owners write records of {record:d} and calls of {request:d} bytes at most")
def limits_read(context, record, request):
    assert context.settings.record_limits == RecordLimits(record, request)


@then("an append that the store answers with {status:d} counts as {outcome}")
def append_outcome(context, status, outcome):
    class Pool:
        async def call(self, **fields):
            return HttpAnswer(status=status, body=b"")

    store = StoreClient(pool=Pool(), address="127.0.0.1:1", shards=SHARDS)
    records = [ports.Record("j/1", b"v")]
    found = run(store.append(shard=1, epoch=1, sequence=0, records=records))
    assert type(found).__name__ == outcome, found
