"""Steps of calls between daemons: what is known of a call that ends without an answer."""

import asyncio

import grpc
import msgspec
from behave import then, when

from features.support.cancelled_parts import cancelled, failed
from features.support.peer_servers import serve
from mustardgap.events import EventLog
from mustardgap.peer_calls import PeerClient, PeerServer, PeerUnreachable
from tools.processes import free_ports


async def _end_connections(reader, writer):
    writer.close()


async def _end_after_call(reader, writer):
    # The client sends its preface and settings first, and a call's frames after the reply to them.
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


async def _call_on_closed_channel(address):
    # The first call times out first, so the channel is closed during the other one.
    client = PeerClient()
    # Connects first: a call that finds no connection in time certainly hasn't been sent.
    await client.call(address, "connect", None, timeout_s=20.0)
    calls = (_call(address, client, 0.3), _call(address, client, 20.0))
    results = await asyncio.gather(*map(asyncio.ensure_future, calls), return_exceptions=True)
    return results[1]


async def _call_silent(call=_call):
    gate = asyncio.Event()

    async def hold(raw, context):
        name, _ = msgspec.msgpack.decode(raw)
        if name != "connect":
            await gate.wait()
        return msgspec.msgpack.encode(name)

    server, address = await serve(hold)
    outcome = await call(address)
    await server.stop(0)
    return outcome


async def _call_listener(handle, keeps_listening):
    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    if not keeps_listening:
        server.close()
        await server.wait_closed()
    outcome = await _call(f"127.0.0.1:{port}")
    server.close()
    return outcome


class SlowDaemon:
    """A daemon that answers quick calls at once, slow ones when allowed, and silent ones never."""

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

    async def run(self, silent_s, *, quick):
        """Make a slow call, a silent one and perhaps, once both are in flight, a quick one."""
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
        # By now, the time-out of the silent call has had its effect on the others.
        await asyncio.sleep(0.1)
        self.may_answer.set()
        result = (await asyncio.gather(slow, return_exceptions=True))[0]
        await server.stop(0)
        return result


@when("a daemon makes two calls to another, and one of them times out after {time:g} s {beside}")
def make_calls(context, time, beside):
    context.daemon = SlowDaemon()
    quick = beside == "while a third answered"
    context.result = asyncio.run(context.daemon.run(time, quick=quick))


@then("the other call is answered, on the only connection")
def check_other(context):
    assert context.result == "slow", repr(context.result)
    assert len(set(context.daemon.peers)) == 1, context.daemon.peers


@when("a daemon calls one that {state}")
def call_daemon(context, state):
    calls = {
        "has ended": lambda: _call_listener(_end_connections, keeps_listening=False),
        "ends each connection": lambda: _call_listener(_end_connections, keeps_listening=True),
        "ends while it works on the call": lambda: _call_listener(
            _end_after_call, keeps_listening=True
        ),
        "answers nothing": _call_silent,
        "is silent until another call closes the channel": lambda: _call_silent(
            _call_on_closed_channel
        ),
    }
    context.unreachable = asyncio.run(calls[state]())


@when("a daemon calls one whose handler {ends}")
def call_handler(context, ends):
    async def main():
        events = EventLog(host="e2")
        server = PeerServer(events=events)
        handlers = {"fails by an error": failed, "is cancelled": cancelled}
        server.handle("alive", lambda values: handlers[ends]())
        address = f"127.0.0.1:{free_ports(1)[0]}"
        await server.start(address)
        context.unreachable = await _call(address, timeout_s=3.0)
        await server.stop()
        context.lines = [row for row in events.captured if row["event"] == "call.unanswered"]

    asyncio.run(main())


@then("it doesn't end by a time-out, and the called daemon logs its end as {how}")
def check_end(context, how):
    assert "DEADLINE" not in str(context.unreachable), context.unreachable
    assert [(row["call"], row["how"]) for row in context.lines] == [("alive", how)], context.lines


@then("the call has {sent}")
def check_sent(context, sent):
    expected = {"certainly not been sent": False, "possibly been received": True}[sent]
    assert isinstance(context.unreachable, PeerUnreachable), repr(context.unreachable)
    assert context.unreachable.sent is expected, context.unreachable


class FailingDaemon(SlowDaemon):
    """A slow daemon whose handler of quick calls fails."""

    async def answer(self, raw, context):
        name, _ = msgspec.msgpack.decode(raw)
        if name != "quick":
            return await super().answer(raw, context)
        self.peers.append(context.peer())
        await context.abort(grpc.StatusCode.INTERNAL, "the handler of quick gave no answer")

    async def run(self, silent_s):
        """Make a slow call, a silent one, and a quick one whose handler fails."""
        server, address = await serve(self.answer)
        client = PeerClient()
        slow = asyncio.ensure_future(client.call(address, "slow", None, timeout_s=20.0))
        await self.arrived.wait()
        silent = asyncio.ensure_future(client.call(address, "silent", None, timeout_s=silent_s))
        await asyncio.sleep(0)
        quick = client.call(address, "quick", None, timeout_s=20.0)
        failures = await asyncio.gather(quick, silent, return_exceptions=True)
        assert "INTERNAL" in str(failures[0]) and "DEADLINE" in str(failures[1]), failures
        # By now, the time-out of the silent call has had its effect on the others.
        await asyncio.sleep(0.1)
        self.may_answer.set()
        result = (await asyncio.gather(slow, return_exceptions=True))[0]
        await server.stop(0)
        return result


@when("a daemon makes two calls to another, and one times out while a third is told of a failure")
def make_calls_beside_failure(context):
    context.daemon = FailingDaemon()
    context.result = asyncio.run(context.daemon.run(0.5))


@when(
    "a daemon sends two jobs and a query of {short:g} s to an owner that answers after {time:g} s"
)
def send_jobs_and_query(context, short, time):
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
