"""Steps of the way from a caller's daemon to the owner of its queue."""

import asyncio
from itertools import chain, repeat
from types import SimpleNamespace

import grpc
import msgspec
from behave import then, when

from features.support.peer_servers import serve
from mustardgap import job_replies
from mustardgap.dispatchers import Dispatcher
from mustardgap.events import EventLog
from mustardgap.job_desks import JobDesk
from mustardgap.job_gateways import JobGateway
from mustardgap.peer_calls import PeerClient, PeerServer, PeerUnreachable
from mustardgap.shard_logs import Stored, Ticket
from mustardgap.timers import Clock
from tools.actor_platforms import HandClock
from tools.owner_troubles import TWO_STEPS
from tools.owner_worlds import QUEUE
from tools.processes import free_ports
from tools.virtual_time import VirtualClock, run

# What a desk takes until it says that it doesn't know.
UNKNOWN_S = 1.2


class MovingClock(HandClock):
    """A clock by which a sleep takes no time, and is over."""

    async def sleep(self, seconds):
        self.now += seconds


class ScriptedPeers:
    """Owners that answer as they are told to, one call after another."""

    def __init__(self, answers, clock):
        steps = answers.removesuffix(" for ever").split(", ")
        last = repeat(steps[-1]) if answers.endswith(" for ever") else ()
        self.tries = 0
        self._answers = chain(steps, last)
        self._clock = clock

    async def call(self, address, name, values, *, timeout_s):
        self.tries += 1
        answer = next(self._answers)
        if answer == "silent" or (answer == "unknown" and timeout_s < UNKNOWN_S):
            await self._clock.sleep(timeout_s)
            raise PeerUnreachable(sent=True, detail="no answer")
        if answer == "refused":
            raise PeerUnreachable(sent=False, detail="connection refused")
        if answer == "unknown":
            await self._clock.sleep(UNKNOWN_S)
            return job_replies.UNSETTLED.encode()
        if answer == "nobody":
            return job_replies.not_owner("not any more").encode()
        if answer == "away":
            return job_replies.store_away("away").encode()
        return job_replies.ACCEPTED.encode()


async def _refresh():
    """Nothing has changed."""


@when("a caller who waits {wait:g} s hands a job in, and owners answer {answers}")
def hand_in_once(context, wait, answers):
    clock = MovingClock()
    context.peers = ScriptedPeers(answers, clock)
    owners = SimpleNamespace(
        owned_by_shard={},
        members_by_shard={},
        generation=1,
        address_of=lambda shard: "10.0.0.1:1",
        refresh=_refresh,
    )
    gateway = _gateway(owners, context.peers, clock)
    began = clock.monotonic()
    context.reply = asyncio.run(
        gateway.submit(queue=QUEUE, job_id="0" * 16, spec=TWO_STEPS, wait_s=wait)
    )
    context.took_s = clock.monotonic() - began


@then("the caller is told {code} after {tries:d} tries")
def check_told(context, code, tries):
    assert (str(context.reply.code), context.peers.tries) == (code, tries), (
        context.reply,
        context.peers.tries,
    )


class StuckDesk:
    """An owner's desk that answers nothing until it may."""

    def __init__(self):
        self.may_answer = asyncio.Event()

    async def submit(self, **request):
        await self.may_answer.wait()
        return job_replies.ACCEPTED


class StuckOwner(Dispatcher):
    """A shard's owner with such a desk."""

    def __init__(self):
        self.ended = asyncio.Event()
        self.desk = StuckDesk()


@when("a caller who waits {wait:g} s hands a job in at the owner, which answers nothing")
def hand_in_at_owner(context, wait):
    async def main():
        owner = StuckOwner()
        owners = SimpleNamespace(
            owned_by_shard=dict.fromkeys(range(4), owner),
            members_by_shard={},
            generation=1,
            refresh=_refresh,
        )
        gateway = _gateway(owners, None, Clock())
        asking = asyncio.ensure_future(
            gateway.submit(queue=QUEUE, job_id="0" * 16, spec=TWO_STEPS, wait_s=wait)
        )
        done, _ = await asyncio.wait([asking], timeout=5.0)
        owner.desk.may_answer.set()
        context.told, context.reply = bool(done), await asking

    asyncio.run(main())


@then("the caller is told {code} without an answer of the owner")
def check_told_by_gateway(context, code):
    assert context.told and str(context.reply.code) == code, context.reply


def _gateway(owners, peers, clock):
    return JobGateway(
        owners=owners,
        operator=None,
        peers=peers,
        shards=4,
        clock=clock,
        events=EventLog(host="e1", clock=clock),
    )


class HeldLog:
    """A shard's log whose appends end when they are told to."""

    def __init__(self):
        self.ticket = None

    def put(self, key, value):
        self.ticket = Ticket(outcome=asyncio.get_running_loop().create_future())
        self.ticket.sent = True
        return self.ticket

    def failing_s(self):
        return 0.0


def _shard(log):
    return SimpleNamespace(
        loaded=True,
        handing_over=False,
        jobs_by_id={},
        log=log,
        spawn=asyncio.ensure_future,
        shard=1,
        epoch=1,
        wake=lambda: None,
    )


STORED_BY_STATE = {
    "being stored, and is stored": Stored.YES,
    "being stored, and isn't": Stored.NO,
    "being stored, nobody knows": Stored.UNKNOWN,
}


@when("a job comes again that is {state}, and its owner is handing over")
def hand_in_again(context, state):
    async def main():
        log = HeldLog()
        shard = _shard(log)
        clock = Clock()
        desk = JobDesk(
            dispatcher=shard, store=None, clock=clock, events=EventLog(host="e1", clock=clock)
        )
        request = {"job_id": "0" * 16, "queue": QUEUE, "spec": TWO_STEPS}
        calls = []
        if state != "new to it":
            calls.append(asyncio.ensure_future(desk.submit(**request)))
            await asyncio.sleep(0)
        if state == "on record":
            log.ticket.outcome.set_result(Stored.YES)
            await calls[0]
        shard.handing_over = True
        calls.append(asyncio.ensure_future(desk.submit(**request)))
        await asyncio.sleep(0)
        if state in STORED_BY_STATE:
            log.ticket.outcome.set_result(STORED_BY_STATE[state])
        context.reply = (await asyncio.gather(*calls))[-1]

    asyncio.run(main())


@then("the caller is told {code} by the desk")
def check_told_by_desk(context, code):
    assert str(context.reply.code) == code, context.reply


@then("the caller is told {code} within its {wait:g} s")
def check_told_in_time(context, code, wait):
    assert str(context.reply.code) == code, context.reply
    assert context.took_s <= wait, context.took_s


async def _end_connections(reader, writer):
    writer.close()


async def _end_after_call(reader, writer):
    # The connection's preface and settings come first; a call's frames follow the answer to them.
    writer.write(b"\x00\x00\x00\x04\x00\x00\x00\x00\x00")
    seen = 0
    while seen < 150:
        seen += len(await reader.read(1000)) or 1000
    writer.close()


async def _call(address, client=None, timeout_s=0.5):
    try:
        await (client or PeerClient()).call(address, "alive", None, timeout_s=timeout_s)
    except PeerUnreachable as exc:
        return exc
    raise AssertionError("answered")


async def _call_beside(address):
    # The first one's time is over first, so the connection is given up under the other.
    client = PeerClient()
    calls = (_call(address, client, 0.3), _call(address, client, 20.0))
    results = await asyncio.gather(*map(asyncio.ensure_future, calls), return_exceptions=True)
    return results[1]


async def _call_silent(call=_call):
    gate = asyncio.Event()

    async def hold(request, context):
        await gate.wait()

    server, address = await serve(hold)
    outcome = await call(address)
    await server.stop(0)
    return outcome


async def _call_ending(handle, stays):
    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    if not stays:
        server.close()
        await server.wait_closed()
    outcome = await _call(f"127.0.0.1:{port}")
    server.close()
    return outcome


class SlowDaemon:
    """A daemon that answers quick calls at once, others when they may be, and silent ones never."""

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.arrived = asyncio.Event()
        self.peers = []

    async def answer(self, raw, context):
        name, _ = msgspec.msgpack.decode(raw)
        self.peers.append(context.peer())
        if name == "silent":
            await asyncio.Event().wait()
        if name == "slow":
            self.arrived.set()
            await self.may_answer.wait()
        return msgspec.msgpack.encode(name)

    async def play(self, silent_s, *, quick):
        """Put a slow call, a silent one and perhaps, once it is under way, a quick one."""
        server, address = await serve(self.answer)
        client = PeerClient()
        slow = asyncio.ensure_future(client.call(address, "slow", None, timeout_s=20.0))
        await self.arrived.wait()
        silent = asyncio.ensure_future(client.call(address, "silent", None, timeout_s=silent_s))
        await asyncio.sleep(0)
        if quick:
            await client.call(address, "quick", None, timeout_s=20.0)
        await asyncio.wait([silent])
        assert isinstance(silent.exception(), PeerUnreachable)
        # The end of the silent call has done by now whatever it does to others.
        await asyncio.sleep(0.1)
        self.may_answer.set()
        result = (await asyncio.gather(slow, return_exceptions=True))[0]
        await server.stop(0)
        return result


@when("a daemon puts two calls to another one, and one of them times out after {time:g} s {beside}")
def put_calls(context, time, beside):
    context.daemon = SlowDaemon()
    quick = beside == "while a third answered"
    context.result = asyncio.run(context.daemon.play(time, quick=quick))


@then("the other one is answered, on the only connection")
def check_other(context):
    assert context.result == "slow", repr(context.result)
    assert len(set(context.daemon.peers)) == 1, context.daemon.peers


@when("a daemon calls one that {state}")
def call_daemon(context, state):
    calls = {
        "has ended": lambda: _call_ending(_end_connections, stays=False),
        "ends each connection": lambda: _call_ending(_end_connections, stays=True),
        "ends while it works on the call": lambda: _call_ending(_end_after_call, stays=True),
        "answers nothing": _call_silent,
        "is given up by another call": lambda: _call_silent(_call_beside),
    }
    context.unreachable = asyncio.run(calls[state]())


async def _fail(values):
    raise ValueError("a fault of ours")


async def _be_cancelled(values):
    raise asyncio.CancelledError


@when("a daemon calls one whose handler {ends}")
def call_handler(context, ends):
    async def main():
        events = EventLog(host="e2")
        server = PeerServer(events=events)
        handlers = {"fails by an error": _fail, "is cancelled": _be_cancelled}
        server.handle("alive", handlers[ends])
        address = f"127.0.0.1:{free_ports(1)[0]}"
        await server.start(address)
        context.unreachable = await _call(address, timeout_s=3.0)
        await server.stop()
        context.lines = [row for row in events.kept if row["event"] == "call.unanswered"]

    asyncio.run(main())


@then("its end wasn't its time's, and the called daemon's log tells of it as {how}")
def check_end(context, how):
    assert "DEADLINE" not in str(context.unreachable), context.unreachable
    assert [(row["call"], row["how"]) for row in context.lines] == [("alive", how)], context.lines


@then("the call has {sent}")
def check_sent(context, sent):
    expected = {"certainly not left": False, "perhaps been heard": True}[sent]
    assert isinstance(context.unreachable, PeerUnreachable), repr(context.unreachable)
    assert context.unreachable.sent is expected, context.unreachable


@when(
    "a caller {asks}, waiting {wait:g} s, as reading the owners takes {read:g} s "
    "and they answer {answers}"
)
def ask_beside_slow_reading(context, asks, wait, read, answers):
    async def main():
        clock = VirtualClock(loop=asyncio.get_running_loop())
        context.peers = ScriptedPeers(answers, clock)
        owners = SimpleNamespace(
            owned_by_shard={},
            members_by_shard={},
            generation=1,
            address_of=lambda shard: "10.0.0.1:1",
            refresh=lambda: clock.sleep(read),
        )
        gateway = _gateway(owners, context.peers, clock)
        began = clock.monotonic()
        if asks == "asks for a job":
            queue = QUEUE._replace(timeout_s=wait)
            context.reply = await gateway.state(queue=queue, job_id="0" * 16)
        else:
            request = {"queue": QUEUE, "job_id": "0" * 16, "spec": TWO_STEPS}
            context.reply = await gateway.submit(**request, wait_s=wait)
        context.took_s = clock.monotonic() - began

    run(main())


class FailingDaemon(SlowDaemon):
    """A slow daemon whose handler of quick calls fails."""

    async def answer(self, raw, context):
        name, _ = msgspec.msgpack.decode(raw)
        if name != "quick":
            return await super().answer(raw, context)
        self.peers.append(context.peer())
        await context.abort(grpc.StatusCode.INTERNAL, "the handler of quick gave no answer")

    async def play(self, silent_s):
        """Put a slow call and a silent one, and a quick one that is told of a failure."""
        server, address = await serve(self.answer)
        client = PeerClient()
        slow = asyncio.ensure_future(client.call(address, "slow", None, timeout_s=20.0))
        await self.arrived.wait()
        silent = asyncio.ensure_future(client.call(address, "silent", None, timeout_s=silent_s))
        await asyncio.sleep(0)
        quick = client.call(address, "quick", None, timeout_s=20.0)
        failures = await asyncio.gather(quick, silent, return_exceptions=True)
        assert "INTERNAL" in str(failures[0]) and "DEADLINE" in str(failures[1]), failures
        # The end of the silent call has done by now whatever it does to others.
        await asyncio.sleep(0.1)
        self.may_answer.set()
        result = (await asyncio.gather(slow, return_exceptions=True))[0]
        await server.stop(0)
        return result


@when(
    "a daemon puts two calls to another one, and one times out while a third is told of a failure"
)
def put_calls_beside_failure(context):
    context.daemon = FailingDaemon()
    context.result = asyncio.run(context.daemon.play(0.5))


@when(
    "a daemon puts two jobs and a question of {short:g} s to an owner that answers after {time:g} s"
)
def put_jobs_and_question(context, short, time):
    async def main():
        async def answer(raw, call):
            name, _ = msgspec.msgpack.decode(raw)
            await asyncio.sleep(0.0 if name == "alive" else time)
            return msgspec.msgpack.encode(name)

        server, address = await serve(answer)
        client = PeerClient()
        await client.call(address, "alive", None, timeout_s=3.0)
        waits = {"submit": 1.5, "state": short, "cancel": 1.5}
        calls = [client.call(address, name, None, timeout_s=wait) for name, wait in waits.items()]
        context.results = await asyncio.gather(*calls, return_exceptions=True)
        await server.stop(0)

    asyncio.run(main())


@then("both jobs are answered")
def check_both(context):
    assert context.results[::2] == ["submit", "cancel"], context.results
