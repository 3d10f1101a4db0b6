"""Steps of a daemon that leaves while callers wait, in this process and on loopback."""

import asyncio
import json
import os
import tempfile
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import msgspec
from behave import then, when

from features.support.cancelled_parts import cancelled, failed
from features.support.front_rigs import (
    ANSWER_TIMEOUT_S,
    ScriptedGateway,
    ask,
    send,
    send_and_begin,
    told,
    with_front,
)
from features.support.peer_servers import serve
from mustardgap import job_replies
from mustardgap.events import EventLog
from mustardgap.job_gateways import JobGateway
from mustardgap.peer_calls import PeerClient, PeerUnreachable
from mustardgap.platform.daemon import METRICS_VARIABLE, SETTINGS_VARIABLE, PlatformDaemon
from mustardgap.platform.process_settings import load
from mustardgap.ports import Done, Joined
from mustardgap.shard_owners import ShardOwners
from mustardgap.timers import Clock
from mustardgap.workloads import Configuration
from tools.owner_worlds import QUEUE
from tools.processes import free_ports

GRACE_S = 6
STARTED_S = 0.5


async def _go_on():
    await asyncio.Event().wait()


LEAVE_BY_END = {
    "fails by an error": failed,
    "is cancelled": cancelled,
    "goes on for ever": _go_on,
}


class DaemonRig:
    """A daemon whose store is away, with a scripted gateway."""

    def __init__(self, folder):
        front, ready, peers, scraped, store = free_ports(5)
        self.port = front
        fields = {
            "node": "e1",
            "ip": "127.0.0.1",
            "zone": "z",
            "zones": {"z": "r"},
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "platform": {"addr": f"127.0.0.1:{store}"},
            "portRange": [peers, peers],
            "bounds": {"graceS": GRACE_S},
        }
        file = Path(folder) / "boot.json"
        file.write_text(json.dumps(fields))
        os.environ[METRICS_VARIABLE] = str(scraped)
        os.environ[SETTINGS_VARIABLE] = str(file)
        self.daemon = PlatformDaemon(settings=load(file))
        # Keeps its lines.
        self.daemon.events._descriptor = None
        self.gateway = ScriptedGateway("goes on until it may end")
        self.daemon.front._gateway = self.gateway


def _play_daemon(scene):
    """Play something with a daemon that runs, and end it."""

    async def main(folder):
        rig = DaemonRig(folder)
        running = asyncio.ensure_future(rig.daemon.run())
        await asyncio.sleep(STARTED_S)
        await scene(rig, running)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    with mock.patch.dict(os.environ), tempfile.TemporaryDirectory() as folder:
        asyncio.run(main(folder))


@when("a daemon is told to stop while a caller waits, and giving its shards up {ends}")
def stop_daemon(context, ends):
    async def scene(rig, running):
        connection = await send_and_begin(rig)
        rig.daemon.owners.leave = LEAVE_BY_END.get(ends, rig.daemon.owners.leave)
        rig.daemon._stopping.set()
        told_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1.0)
        rig.gateway.may_end.set()
        context.answer = await connection.answer()
        try:
            context.later = await ask(rig, "new job")
        except OSError as exc:
            context.later, context.refused = None, exc
        # A daemon whose process is about to end can't be let off by its loop's going on here.
        context.goes_on = not running.done()
        left_s = told_at + GRACE_S - asyncio.get_running_loop().time()
        done, _ = await asyncio.wait([running], timeout=left_s)
        context.ended = bool(done)

    _play_daemon(scene)


@then("the caller is told {status} with {code}, and its connection stays for the next request")
def check_kept(context, status, code):
    assert told(context.answer) == f"{status} {code}", told(context.answer)
    assert "Connection" not in context.answer.fields, context.answer.fields


@then("one who asks 1 s after the signal is told {status} with {code}")
def check_later(context, status, code):
    assert told(context.later) == f"{status} {code}", told(context.later)
    assert context.goes_on, "the daemon has ended"


@then("the daemon has ended within its grace")
def check_ended(context):
    assert context.ended


class SlowOwner:
    """An owner that answers jobs when it may, and other calls never."""

    def __init__(self):
        self.asked = asyncio.Event()
        self.may_answer = asyncio.Event()

    async def answer(self, raw, call):
        name, _ = msgspec.msgpack.decode(raw)
        if name != "submit":
            await asyncio.Event().wait()
        self.asked.set()
        await self.may_answer.wait()
        return msgspec.msgpack.encode(job_replies.ACCEPTED.encode())


def _gateway_to(address, peers, events):
    """A gateway that knows one owner of all queues."""
    owners = SimpleNamespace(
        owned_by_shard={},
        members_by_shard={},
        generation=1,
        address_of=lambda shard: address,
        refresh=lambda: asyncio.sleep(0),
    )
    operator = SimpleNamespace(configuration=Configuration(1, {QUEUE.name: QUEUE}, {}))
    return JobGateway(
        owners=owners, operator=operator, peers=peers, shards=4, clock=Clock(), events=events
    )


@when(
    "a caller's job waits for its owner, another call to that owner times out, "
    "and the front is stopped"
)
def stop_beside_time_out(context):
    async def scene(rig):
        owner = SlowOwner()
        server, address = await serve(owner.answer)
        peers = PeerClient()
        rig.front._gateway = _gateway_to(address, peers, rig.events)
        connection = await send(rig, "new job")
        await owner.asked.wait()
        try:
            await peers.call(address, "pool", None, timeout_s=0.4)
        except PeerUnreachable:
            # Whatever its end does to the job, it has done by then.
            await asyncio.sleep(0.1)
        stopping = asyncio.create_task(rig.front.stop(timeout_s=ANSWER_TIMEOUT_S))
        await asyncio.sleep(0)
        owner.may_answer.set()
        context.answer = await connection.answer()
        context.ended = await connection.has_ended()
        await stopping
        context.lines = rig.unanswered
        await server.stop(0)

    with_front("goes on", scene)


@then("no line tells of handling without an answer")
def check_no_line(context):
    assert not context.lines, context.lines


class WithoutText(Exception):
    """An error that fails to tell what it is."""

    def __repr__(self):
        raise ValueError("no text")


@when("a caller sends a front a new job, whose handling fails by an error without a text")
def send_to_failing(context):
    async def scene(rig):
        async def handle():
            raise WithoutText

        rig.gateway._handle = handle
        context.answer = await ask(rig, "new job")

    with_front("goes on", scene)


@then("the caller is told {status} with {code} on its open connection")
def check_open(context, status, code):
    assert told(context.answer) == f"{status} {code}", told(context.answer)


class SharedOut:
    """An ownership that does nothing, and may not come to hand over."""

    def __init__(self, hand_over, handed_over):
        self.ended = asyncio.Event()
        self._hand_over = hand_over
        self._handed_over = handed_over

    async def run(self):
        await asyncio.Event().wait()

    async def hand_over(self):
        if self._hand_over is not None:
            await self._hand_over()
        await asyncio.sleep(0.05)
        self._handed_over.append(self)


class LeftStore:
    """A store that counts who leaves."""

    def __init__(self):
        self.left = []

    async def leave(self, *, member):
        self.left.append(member)
        return Done()


class HeldStore(LeftStore):
    """A store that takes renewals in when it may."""

    def __init__(self):
        super().__init__()
        self.joining = asyncio.Event()
        self.may_join = asyncio.Event()
        self.heard = []

    async def leave(self, *, member):
        self.heard.append("leaves")
        return await super().leave(member=member)

    async def join(self, **request):
        self.joining.set()
        await self.may_join.wait()
        self.heard.append("joins")
        return Joined(generation=1, shards=frozenset())


@when("a daemon leaves while its renewal is on the way, and the store takes that in afterwards")
def leave_beside_renewal(context):
    async def main():
        store = context.store = HeldStore()
        owners = _owners(store, shards=2, make=None)
        renewing = asyncio.ensure_future(owners.run())
        await store.joining.wait()
        await owners.leave()
        store.may_join.set()
        await renewing

    asyncio.run(main())


@then("the store has last heard from it that it leaves")
def check_last_heard(context):
    assert context.store.heard[-2:] == ["joins", "leaves"], context.store.heard


def _owners(store, *, shards, make):
    clock = Clock()
    return ShardOwners(
        store=store,
        member="m",
        shards=shards,
        make=make,
        reach=None,
        clock=clock,
        events=EventLog(host="e1", clock=clock),
    )


@when("an owner of {count:d} shards leaves, and handing one over {ends}")
def leave_group(context, count, ends):
    context.store, context.handed_over = LeftStore(), []

    def make(shard, epoch):
        return SharedOut(LEAVE_BY_END[ends] if shard == 1 else None, context.handed_over)

    async def main():
        owners = _owners(context.store, shards=count + 1, make=make)
        for shard in range(1, count + 1):
            owners._start_shard(shard, 1)
        await asyncio.sleep(0)
        await asyncio.gather(owners.leave(), return_exceptions=True)

    asyncio.run(main())


@then("it has left the group, and has handed the other {count:d} over")
def check_left(context, count):
    assert context.store.left == ["m"], context.store.left
    assert len(context.handed_over) == count, len(context.handed_over)


@when("a caller asks {asks:g} s after its daemon was told to stop, of what takes {takes:g} s")
def ask_leaving_daemon(context, asks, takes):
    async def scene(rig, running):
        rig.daemon._stopping.set()
        loop = asyncio.get_running_loop()
        told_at = loop.time()
        await asyncio.sleep(asks)
        connection = await send_and_begin(rig)
        loop.call_later(takes, rig.gateway.may_end.set)
        context.answer = await connection.answer()
        context.ended = await connection.has_ended()
        context.told_to_end = context.answer and context.answer.fields.get("Connection")
        left_s = told_at + GRACE_S - loop.time()
        done, _ = await asyncio.wait([running], timeout=left_s)
        context.ended = context.ended and bool(done)

    _play_daemon(scene)
    assert context.told_to_end == "close", context.told_to_end
