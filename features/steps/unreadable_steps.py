"""Steps for bytes of other processes that can't be read."""

import asyncio
import json
import os
import re
import socket
from pathlib import Path

import grpc
import msgspec
from behave import then, when

from features.steps.entries_steps import VALID_ENTRY
from features.support.peer_servers import serve
from mustardgap import job_histories, job_replies, owner_records, pool_views
from mustardgap.boards import ExecutorBoard, OperatorBoard
from mustardgap.codecs import Undecodable
from mustardgap.events import EventLog
from mustardgap.http_pools import HttpAnswer, HttpPool
from mustardgap.peer_calls import METHOD, SERVICE, PeerClient, PeerServer, PeerUnreachable
from mustardgap.platform import decoding
from mustardgap.platform.daemon import decode_entry, decode_operator
from mustardgap.platform.executor_client import ExecutorClient
from mustardgap.platform.machine_client import AdviceClient, MachineClient
from mustardgap.platform.store_client import StoreClient
from mustardgap.ports import Entries, Invalid, NoAnswer, Record
from mustardgap.shard_records import read_records
from mustardgap.supervisors import Supervisor
from mustardgap.timers import Clock
from mustardgap.workloads import TaskId
from tools.processes import free_ports

PACKAGE = Path(__file__).resolve().parent.parent.parent / "mustardgap"
DEPTH = 20_000
DEEP = b"[" * DEPTH + b"]" * DEPTH
ENTRY = msgspec.json.encode(VALID_ENTRY)
CONFIGURATION = b'{"version":%d,"routes":[],"services":[]}'


def _with(raw, field, value):
    return raw[:-1] + b',"' + field + b'":' + value + b"}"


FLAWS = {
    "nested too deeply": _with(ENTRY, b"notes", DEEP),
    "truncated and nested": b'{"service":"quoting","notes":' + b"[" * DEPTH,
    "not in UTF-8": ENTRY.replace(b"quoting", b"quot\xff\xfe"),
    "with a port of 5000 digits": ENTRY.replace(b":8080", b":" + b"9" * 5000),
    "with a number of 70 bits": ENTRY.replace(b"16000", b"1180591620717411303424"),
    "unexpected by the decoder": b"unexpected",
    "unexpected by a subscriber": ENTRY,
}
UNREADABLE = (
    b"",
    b"null",
    b"17",
    b"[]",
    b"{}",
    b'"text"',
    b"[[]]",
    b'[[1,2,3],["a"],null]',
    b"\xff\xfe",
    b"{",
    b"9" * 5000,
    b"1e999",
    DEEP,
    b"[" * DEPTH,
    b'{"z":' + DEEP + b"}",
    b'{"z":' + b"[" * DEPTH,
    b'{"items":[null,1,"a",[]],"end":-1,"machines":5,"parts":[["t"]],"generation":"g"}',
    b'{"granted":[[],["x"],5],"clockMs":"soon","end":[],"parts":null,"validMs":"v"}',
    b'{"clockMs":1180591620717411303424,"reason":{},"granted":{"a":1}}',
    b"\x91" * DEPTH,
    b"\x81\xa1z" + b"\x91" * DEPTH,
    b"\xc1",
    b"\xd9\xff",
    b"\x93\x01\xc3\xc3",
)


class ScriptedBoards:
    """Boards that answer each read with the next of some records, and then with nothing."""

    def __init__(self, reads):
        self.done = asyncio.Event()
        self._reads = list(reads)
        self._end = 0

    async def read(self, *, offset, wait_s):
        if not self._reads:
            self.done.set()
            await asyncio.Event().wait()
        self._end += 1
        return Entries(values_by_key=self._reads.pop(0), end=self._end)

    read_executors = read_operator = read


class InstantClock(Clock):
    """A clock whose pauses pass at once."""

    async def sleep(self, seconds):
        await asyncio.sleep(0)


def _decode_or_fail(decode):
    def decoded(*arguments):
        if b"unexpected" in repr(arguments).encode():
            raise ZeroDivisionError("a kind of failure that nobody thought of")
        return decode(*arguments)

    return decoded


async def _follow(context, make, reads, flaw, **arguments):
    boards = ScriptedBoards(reads)
    context.events = EventLog(host="e1")
    context.board = board = make(
        boards=boards, clock=InstantClock(), events=context.events, **arguments
    )
    context.notified = []
    if flaw == "unexpected by a subscriber":
        board.on_change(lambda: 1 // 0)
    board.on_change(lambda: context.notified.append(1))
    supervisor = Supervisor(name="daemon", backoff_s=0.0001)
    task = supervisor.start_child("board", board.run)
    failing = asyncio.ensure_future(supervisor.run())
    done = asyncio.ensure_future(boards.done.wait())
    await asyncio.wait([failing, done], timeout=20.0, return_when=asyncio.FIRST_COMPLETED)
    context.ended = failing.exception() if failing.done() else None
    context.restarts = supervisor.restarts
    done.cancel()
    await supervisor.stop()
    await asyncio.gather(task, failing, done, return_exceptions=True)


ODD_NAMES = {
    "of 254 characters": "x" * 254,
    "of 201 characters": "x" * 201,
    "with a line break": "x\r\nX: y",
    "with a null": "x\0",
    "with a euro sign": "x€",
    "with a space": "x y",
    "without characters": "",
}


@when("the list of executors has a sound entry under a name {flaw}")
def read_odd_name(context, flaw):
    reads = [{"x1": ENTRY, ODD_NAMES[flaw]: ENTRY, "x2": ENTRY}]
    asyncio.run(
        _follow(context, ExecutorBoard, reads, flaw, decode=decode_entry, needed=lambda: True)
    )


@then("it makes no executor, is logged, and the other entries are in force")
def check_odd_name(context):
    assert context.ended is None and context.restarts == 0, context.ended
    assert context.board.entries_by_id.keys() == {"x1", "x2"}, context.board.entries_by_id
    assert [line["event"] for line in context.events.captured] == ["executor.invalid"]


@when(
    "a supervised board of executors reads {times:d} times records of another writer that are "
    "{flaw}"
)
def follow_executors(context, times, flaw):
    raw = FLAWS[flaw]
    # Each read changes the list, so that subscribers are called.
    reads = [
        {"x1": msgspec.json.encode({**VALID_ENTRY, "remainingMs": n}), "other": raw}
        for n in range(times)
    ]
    context.expected = times
    asyncio.run(
        _follow(
            context,
            ExecutorBoard,
            reads,
            flaw,
            decode=_decode_or_fail(decode_entry),
            needed=lambda: True,
        )
    )
    context.in_force = lambda: context.board.entries_by_id["x1"].remaining_s == (times - 1) / 1000


async def _no_peer_answer():
    return {}


@when(
    "a supervised board of the operator reads {times:d} times records of another writer that are "
    "{flaw}"
)
def follow_operator(context, times, flaw):
    raw = FLAWS[flaw]
    reads = [
        {"wave/7": b"unexpected" if flaw.endswith("decoder") else raw, "config": CONFIGURATION % n}
        for n in range(times)
    ]
    context.expected = times
    asyncio.run(
        _follow(
            context,
            OperatorBoard,
            reads,
            flaw,
            decode=_decode_or_fail(decode_operator),
            ask_peer=_no_peer_answer,
        )
    )
    context.in_force = lambda: context.board.configuration.version == times - 1


@then("the board has never failed, and the other records are in force")
def check_followed(context):
    assert context.ended is None and context.restarts == 0, (context.ended, context.restarts)
    assert context.in_force()
    assert len(context.notified) == context.expected, context.notified


@then("each of those records is logged")
def check_logged(context):
    names = {"executor.invalid", "operator.invalid", "records.unapplied"}
    lines = [line for line in context.events.captured if line["event"] in names]
    assert lines and all(line["why"] for line in lines), context.events.captured


@when("the entry of a known executor is overwritten by one that is {flaw}")
def overwrite(context, flaw):
    reads = [{"x1": ENTRY}, {"x1": FLAWS[flaw]}, {"x2": ENTRY}]
    asyncio.run(
        _follow(context, ExecutorBoard, reads, flaw, decode=decode_entry, needed=lambda: True)
    )


@then("the executor is known, and gets no new work")
def check_kept(context):
    assert context.ended is None and context.restarts == 0, context.ended
    assert context.board.entries_by_id["x1"].readable is False
    assert context.board.entries_by_id["x2"].readable


@then("each decoder of the platform's bytes reports unreadable ones by its one error")
def check_platform_decoders(context):
    decoders = [
        decoding.configuration,
        decoding.job,
        lambda raw: decoding.executor_entry("x1", raw),
        decoding.wave,
        decoding.machine_page,
        decoding.newest_page,
        decoding.report,
        lambda raw: decoding.join_reply(raw, "t"),
        lambda raw: decoding.owner_rows(raw, "t"),
        decoding.granted_tickets,
        lambda raw: decoding.task_id(raw.decode("latin-1")),
    ]
    for decode in decoders:
        for raw in (*UNREADABLE, *FLAWS.values()):
            try:
                decode(raw)
            except decoding.InvalidBody as exc:
                assert str(exc), raw[:50]
    for raw in UNREADABLE:
        decoding.fields_of(raw)
        assert isinstance(decode_entry("x1", raw), Invalid)
        assert not decode_operator({"config": raw, "wave/1": raw}).waves


@then("each decoder of records of former owners leaves out unreadable ones")
def check_owner_records(context):
    for raw in UNREADABLE[1:]:
        records = read_records({"j/a": raw, "p/a": raw, "e/x": raw, "o": raw})
        assert not records.jobs_by_id and not records.executors, raw[:50]
        assert records.unreadable_executors == ["x"] and records.invalid, raw[:50]
        owner_records.may_have_diverted(raw)


@then("each decoder of other daemons' values reports unreadable ones by its one error")
def check_peer_decoders(context):
    values = [None, 17, [], {}, [[]], [1, 2, 3, 4], ["a"] * 4, {"a": 1}, [4020], b"\xff"]
    for value in values:
        for decode in (job_replies.decode, pool_views.decode):
            try:
                decode(value)
            except Undecodable as exc:
                assert str(exc), value
            else:
                raise AssertionError((decode, value))


DECODERS = re.compile(
    r"\b(msgspec\.(json|msgpack)\.(decode|Decoder)|msgspec\.convert|json\.loads|pickle\.loads)\b"
)
# The decoder of frames between daemons is made once, as frames are many; it is wrapped there.
DECODING_MODULES = {"codecs.py", "messages.py", "json_files.py"}


@then("no other module calls a decoder of the library")
def check_modules(context):
    found = [
        f"{path.name}: {match.group()}"
        for path in sorted(PACKAGE.rglob("*.py"))
        for match in DECODERS.finditer(path.read_text(encoding="utf-8"))
        if path.name not in DECODING_MODULES
    ]
    assert not found, found


@then("a page of newest records with a row that is nested too deeply has its other rows")
def check_newest_page(context):
    rows = [b'{"key":"a]","value":"YQ=="}', b'{"key":' + DEEP + b"}", b'{"key":"b","value":"Yg=="}']
    page = decoding.newest_page(b'{"end":3,"items":[' + b",".join(rows) + b'],"hasMore":false}')
    assert page.values_by_key == {"a]": b"a", "b": b"b"} and page.end == 3, page
    assert len(page.invalid) == 1, page.invalid


@then("a page of machines with a row that is nested too deeply has its other rows")
def check_machine_page(context):
    row = (
        b'{"machine":"%b","pool":"p","state":"up","capacity":{"cpu":1,"memMb":1},"labels":["\\""]}'
    )
    rows = [row % b"m1", b"[" * DEPTH + b"]" * DEPTH, _with(row % b"m2", b"z", DEEP), row % b"m3"]
    page = decoding.machine_page(b'{"machines":[' + b",".join(rows) + b'],"nextToken":null}')
    assert [machine.machine for machine in page.machines] == ["m1", "m3"], page
    assert len(page.invalid) == 2, page.invalid


class AnsweringPool:
    """Connections on which each call gets the same answer."""

    def __init__(self, status, body):
        self._answer = HttpAnswer(status=status, body=body)

    async def call(self, **_):
        return self._answer

    def close_idle(self, address):
        pass


async def _call_platform(pool):
    store = StoreClient(pool=pool, address="a", shards=4)
    entry = decode_entry("x1", ENTRY)
    task = TaskId("a", 0, 0, 0)
    executors = ExecutorClient(pool=pool)
    machines = MachineClient(pool=pool, address="a")
    common = {"fence": 1, "patience_s": 1.0}
    return [
        await store.fence(shard=1, epoch=1),
        await store.append(shard=1, epoch=1, sequence=0, records=[Record("k", b"v")]),
        await store.newest(shard=1),
        await store.join(member="m", generation=0, ttl_s=1.8),
        await store.leave(member="m"),
        await store.owners(),
        await store.read_operator(offset=None, wait_s=0),
        await store.read_operator(offset=3, wait_s=0),
        await store.read_executors(offset=3, wait_s=0),
        await store.write_status(wave=1, completed=True),
        await executors.hold(entry, acknowledged=0, until_ms=None, wait_s=0, **common),
        await executors.start(
            entry, task=task, run=1, payload="", until_ms=1, checkpoint="", ticket="", **common
        ),
        await executors.stop(entry, task=task, run=1, fence=1),
        await executors.pace(entry, task=task, run=1, percent=50, fence=1),
        await machines.machines(),
        await machines.move(machine="m", pool="p", holder="h", fence=1),
        await machines.maintain(machine="m", wave=1, holder="h", fence=1),
        await AdviceClient(pool=pool, address="a").advise(step=task, executors=["x1"]),
    ]


@then("each call of the platform has an outcome, whatever bytes it is answered with")
def check_replies(context):
    for status in (200, 204, 409, 410, 412, 421, 500):
        for body in UNREADABLE:
            outcomes = asyncio.run(_call_platform(AnsweringPool(status, body)))
            for outcome in outcomes:
                assert outcome is not None
                for name in ("clock_ms", "end", "expected", "valid_s"):
                    value = getattr(outcome, name, None)
                    assert value is None or isinstance(value, int | float), (outcome, body[:50])


NOT_HTTP = (
    b"\x00\xff\xfe\r\n\r\n",
    b"HTTP/1.1\r\n\r\n",
    b"HTTP/1.1 abc OK\r\n\r\n",
    b"HTTP/1.1 99999999999999 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/9.9 200 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: abc\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabXX",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
    b"HTTP/1.1 204 OK\r\nContent-Length: 5\r\n\r\nabcde",
    b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n: empty\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX: " + b"a" * 100_000 + b"\r\n\r\n",
    b"a" * 200_000,
    b"HTTP/1.1 100 Continue\r\n\r\n" * 2000,
)


async def _answer_with(raw):
    async def answer(reader, writer):
        await reader.read(100)
        writer.write(raw)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    outcome = await HttpPool().call(address=address, method="GET", target="/", timeout_s=2.0)
    server.close()
    return outcome


@then("a call has an outcome, whatever is sent back on its connection")
def check_not_http(context):
    for raw in NOT_HTTP:
        outcome = asyncio.run(_answer_with(raw))
        assert isinstance(outcome, NoAnswer | HttpAnswer), (raw[:60], outcome)


async def _call_unreadably(context):
    events = EventLog(host="e1")
    server = PeerServer(events=events)

    async def echo(values):
        return values

    server.handle("echo", echo)
    address = f"127.0.0.1:{free_ports(1)[0]}"
    await server.start(address)
    channel = grpc.aio.insecure_channel(address)
    method = channel.unary_unary(f"/{SERVICE}/{METHOD}")
    codes = []
    for raw in UNREADABLE:
        try:
            await method(raw, timeout=5.0)
        except grpc.aio.AioRpcError as exc:
            codes.append(exc.code())
    answer = await PeerClient().call(address, "echo", [1], timeout_s=5.0)
    await channel.close()
    await server.stop()
    return codes, answer, events.captured


@then("a call between daemons that can't be read is answered at once, and the next one is served")
def check_peer_server(context):
    codes, answer, lines = asyncio.run(_call_unreadably(context))
    assert len(codes) == len(UNREADABLE), codes
    assert set(codes) == {grpc.StatusCode.INVALID_ARGUMENT}, codes
    assert answer == [1]
    assert {line["event"] for line in lines} == {"call.invalid"}, lines


async def _get_unreadable_answer(raw):
    async def answer(request, context):
        return raw

    server, address = await serve(answer)
    try:
        await PeerClient().call(address, "alive", None, timeout_s=5.0)
    except PeerUnreachable as exc:
        return exc
    finally:
        await server.stop(0.1)
    raise AssertionError(raw[:50])


@then("an answer of another daemon that can't be read counts as unknown")
def check_peer_client(context):
    for raw in (b"", b"\xc1", b"\x91" * DEPTH, b"\xd9\xff"):
        assert asyncio.run(_get_unreadable_answer(raw)).sent, raw[:50]


class Unprintable:
    """A value that can't be shown."""

    def __str__(self):
        raise ValueError("no text")

    def __repr__(self):
        raise ValueError("no text")


@then("a line with fields that JSON can't hold is written, and so is the next one")
def check_log(context):
    ours, theirs = socket.socketpair()
    log = EventLog(host="e1", descriptor=ours.fileno())
    deep = []
    for _ in range(DEPTH):
        deep = [deep]
    values = ["half a character: \ud800", 2**70, {(1, 2): 3}, deep, Unprintable(), float("nan")]
    for value in values:
        log.note("entry.invalid", vital=True, why=value)
    log.note("next", vital=True)
    raw = b""
    while raw.count(b"\n") <= len(values):
        raw += os.read(theirs.fileno(), 1 << 20)
    lines = [json.loads(line) for line in raw.splitlines()]
    assert [line["event"] for line in lines] == ["entry.invalid"] * len(values) + ["next"], lines
    ours.close()
    theirs.close()


@then("a job's history is read from a log with lines that can't be read")
def check_history(context):
    begin = '{"time":'
    line = begin + '1.5,"host":"e1","event":"job.accepted","job":"a"}'
    bad = [begin + "[" * DEPTH, begin + "1,", begin + '"soon"}', begin + "1e999}", begin + "{}}"]
    lines = list(job_histories._parse("\n".join([*bad, line])))
    assert [found.event for found in lines] == ["job.accepted"], lines
