"""Steps for requests whose handling ends early: by an error, a cancellation or a stop."""

import asyncio
import selectors
import socket
import time
from contextlib import suppress
from types import SimpleNamespace
from unittest import mock

import msgspec
from absl import logging
from behave import then, when

from features.steps.requests_steps import until
from features.support.cancelled_parts import cancelled, failed
from features.support.rigs import Rig, read_answer
from mustardgap import metrics
from mustardgap.daemons import Daemon
from mustardgap.exceptions import ChildFailed
from mustardgap.timers import Clock

FAILURES = {
    "fails": ValueError("internal error"),
    "fails by a timeout": TimeoutError("unexpected timeout"),
    "is cancelled": asyncio.CancelledError(),
}


def unanswered_counts():
    """Count the requests whose handling ended without an answer, by how it ended."""
    return {o.attributes["how"]: o.value for o in metrics.unanswered_requests.read(None)}


def _make_handling_fail(entry, ends, state):
    """Make the handling of requests in a state raise an exception."""

    def fail(*args, **kwargs):
        raise FAILURES[ends]

    async def fail_async(*args, **kwargs):
        fail()

    if state == "is admitted":
        entry.callers.refusal = fail
    elif state == "waits for a slot":
        entry.slots.acquire = fail_async
    elif state == "claims its key":
        entry.keys.claim = fail_async
    else:
        entry.executors.report = fail


@when("requests of kind {kind} are sent and their handling {ends} while the request {state}")
def send_and_fail_handling(context, kind, ends, state):
    async def main():
        async with Rig() as r:
            _make_handling_fail(r.entry, ends, state)
            await _ask_and_check(context, r, kind)

    asyncio.run(main())


async def _ask_and_check(context, r, kind, query=""):
    """Send a request, and check its answer against what ran; its slot must be free again."""
    before = unanswered_counts()
    headers = {"Idempotency-Key": "k"} if kind == "keyed" else {}
    context.told = await r.ask(kind, headers=headers, query=query)
    assert context.told.code, (context.told.resp.code, context.told.resp.error)
    # A run that has begun continues at the executor, and is recorded when it ends.
    await until(lambda: not any(x.show()["running"] for x in r.upstreams.by_name.values()))
    context.runs = r.runs()
    context.told.check(context.runs, kind == "idempotent")
    context.counts = {
        how: count - before.get(how, 0)
        for how, count in unanswered_counts().items()
        if count != before.get(how, 0)
    }
    context.events = r.entry.callers.timeline.events(request=context.told.request_id)
    assert r.entry.slots.held == 0


@then("requests without an outcome are counted as {how} once, with an event for each")
def check_counted(context, how):
    assert context.counts == {how: 1}, context.counts
    events = [event for event in context.events if event.kind == "request.unanswered"]
    assert len(events) == 1, context.events
    assert events[0].ids["how"] == how, events
    assert events[0].cause, events


@when("requests' handling {ends} after a part of a large answer")
def fail_after_part(context, ends):
    async def main():
        async with Rig() as r:
            _make_handling_fail(r.entry, ends, "has run")
            reader, writer = await asyncio.open_connection("127.0.0.1", r.entry.callers.port)
            writer.write(b"GET /quotes/large?size=3000000&chunked=1 HTTP/1.0\r\nHost: a\r\n\r\n")
            context.received, context.ended = b"", "open"
            with suppress(TimeoutError):
                context.ended = await asyncio.wait_for(_read_to_end(context, reader), 10)
            writer.close()

    asyncio.run(main())


async def _read_to_end(context, reader):
    try:
        while chunk := await reader.read(1 << 20):
            context.received += chunk
    except ConnectionResetError:
        return "reset"
    return "closed"


def _shorten_stop_timeout(entry, stop_s=0.4):
    """Shorten the stop timeout of an entry host."""
    callers = entry.callers
    callers.settings = msgspec.structs.replace(callers.settings, stop_timeout_s=stop_s)


def _block_requests(entry, state):
    """Block requests in a state; return an event that is set once one is blocked."""
    reached = asyncio.Event()

    async def wait(*args, **kwargs):
        reached.set()
        await asyncio.Event().wait()

    if state == "waits for a slot":
        entry.slots.acquire = wait
    elif state == "claims its key":
        entry.keys.claim = wait
    return reached


async def _stop_during_request(context, r, kind, state, stop):
    """Stop an entry host while a request is in a state."""
    reached = _block_requests(r.entry, state)
    query = "run_s=2" if state == "runs" else ""
    asking = asyncio.create_task(_ask_and_check(context, r, kind, query))
    if state == "runs":
        await until(lambda: r.upstreams.by_name["x1"].show()["running"])
    else:
        await asyncio.wait_for(reached.wait(), 10)
    await stop()
    await asking


@when("requests of kind {kind} are in progress while the stop timeout expires: one {state}")
def stop_until_timeout(context, kind, state):
    async def main():
        async with Rig() as r:
            _shorten_stop_timeout(r.entry)
            await _stop_during_request(context, r, kind, state, r.entry.callers.drain)

    asyncio.run(main())


@when("requests of kind {kind} are in progress while a daemon part keeps failing: one {state}")
def fail_daemon(context, kind, state):
    async def main():
        async with Rig() as r:
            daemon = FailingDaemon(callers=r.entry.callers)
            running = asyncio.create_task(daemon.run())

            async def fail():
                daemon.may_fail.set()
                await asyncio.wait([running], timeout=10)

            await _stop_during_request(context, r, kind, state, fail)
            assert isinstance(running.exception(), ChildFailed), running

    asyncio.run(main())


class FailingDaemon(Daemon):
    """A daemon that serves callers through a test's entry host, and whose only part fails."""

    def __init__(self, *, callers):
        super().__init__(settings=callers.settings)
        self.parts = SimpleNamespace(callers=callers, open=lambda: None, close=callers.close)
        self.may_fail = asyncio.Event()
        self._root.max_restarts = 0

    def _children(self):
        return {"part": self._fail}

    async def _start(self):
        await asyncio.Event().wait()

    async def _fail(self):
        await self.may_fail.wait()
        raise ValueError("internal error")


STOP_STEPS = [
    "readiness.stop",
    "presence.leave",
    "enrolment.leave",
    "keys.flush",
    "actors.settle",
    "presence.withdraw",
]


class StoppingDaemon(FailingDaemon):
    """A daemon that stops at once; steps of the stop may fail or be cancelled.

    :param callers: the callers of a test's entry host.
    :param ends_by_step: how a step ends that fails or is cancelled.
    """

    def __init__(self, *, callers, ends_by_step):
        super().__init__(callers=callers)
        self.executed_steps = []
        self._ends_by_step = ends_by_step
        self.readiness = SimpleNamespace(stop=self._record_readiness_stop)
        self.parts.timeline = callers.timeline
        self.parts.slots = SimpleNamespace(sharing=None)
        for step in STOP_STEPS[1:]:
            part, method = step.split(".")
            if not hasattr(self.parts, part):
                setattr(self.parts, part, SimpleNamespace())
            setattr(getattr(self.parts, part), method, self._make_step(step))

    async def _start(self):
        self._stop.set()

    def _record_readiness_stop(self):
        self.executed_steps.append("readiness.stop")
        if "readiness.stop" in self._ends_by_step:
            raise ValueError("step failed")

    def _make_step(self, name):
        async def step(*args, **kwargs):
            self.executed_steps.append(name)
            if name in self._ends_by_step:
                await self._ends_by_step[name]()

        return step


@when("requests of kind {kind} are in progress while a stop's {step} {ends}: one {state}")
def stop_step_ends(context, kind, step, ends, state):
    ends_by_step = {step: {"is cancelled": cancelled, "fails": failed}[ends]}

    async def main():
        async with Rig() as r:
            daemon = StoppingDaemon(callers=r.entry.callers, ends_by_step=ends_by_step)

            async def stop():
                running = asyncio.create_task(daemon.run())
                await asyncio.wait([running], timeout=30)
                ended_by = asyncio.CancelledError() if running.cancelled() else running.exception()
                context.ended_by = ended_by

            await _stop_during_request(context, r, kind, state, stop)
            context.executed_steps = daemon.executed_steps

    with mock.patch.object(logging, "exception") as log_exception:
        asyncio.run(main())
    context.logged_args = [call.args for call in log_exception.call_args_list]


@then("every step of the stop was executed, and a log line names {step}")
def check_all_steps_executed(context, step):
    assert context.ended_by is None, repr(context.ended_by)
    assert context.executed_steps == STOP_STEPS, context.executed_steps
    assert [step in args for args in context.logged_args] == [True], context.logged_args


@when("requests of kind {kind} are in progress while a failed part ends the stop: one {state}")
def part_fails_in_stop(context, kind, state):
    async def main():
        async with Rig() as r:
            daemon = StoppingDaemon(callers=r.entry.callers, ends_by_step={})

            async def stop():
                running = asyncio.create_task(daemon.run())
                await until(lambda: r.entry.callers.draining)
                context.steps_before = list(daemon.executed_steps)
                daemon.may_fail.set()
                await asyncio.wait([running], timeout=10)
                assert isinstance(running.exception(), ChildFailed), running

            await _stop_during_request(context, r, kind, state, stop)
            context.executed_steps = daemon.executed_steps

    asyncio.run(main())


@then("no step of the stop was executed after that")
def check_no_further_steps(context):
    assert context.steps_before, "the stop hasn't begun"
    assert context.executed_steps == context.steps_before, context.executed_steps


@when("requests' caller still sends a body while the entry host's stop timeout expires")
def stop_during_body(context):
    async def main():
        async with Rig() as r:
            _shorten_stop_timeout(r.entry)
            reader, writer = await asyncio.open_connection("127.0.0.1", r.entry.callers.port)
            writer.write(b"POST /quotes/slow HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc")
            await until(lambda: r.entry.callers.held_bytes)
            await r.entry.callers.drain()
            context.received = await asyncio.wait_for(reader.read(), 10)
            writer.close()
            context.runs = r.runs()

    asyncio.run(main())


class PausingSelector(selectors.DefaultSelector):
    """A selector in which the process stands still once, for ``pause_s`` seconds.

    As CPython does when a signal continues a process after the timeout, it then returns no event,
    so that timers run before anything is read.
    """

    pause_s = 0.0

    def select(self, timeout=None):
        if self.pause_s:
            time.sleep(self.pause_s)
            self.pause_s = 0.0
            return []
        return super().select(timeout)


@when("requests are sent to an entry host that stands still as it stops")
def stand_still_while_stopping(context):
    selector = PausingSelector()

    async def main():
        async with Rig() as r:
            callers = r.entry.callers
            callers.timers = r.entry.timers
            stopping = asyncio.create_task(callers.drain())
            await asyncio.sleep(0.05)
            sockets = [socket.create_connection(("127.0.0.1", callers.port)) for _ in range(5)]
            for sock in sockets:
                sock.sendall(b"GET /quotes/waiting HTTP/1.1\r\nHost: a\r\n\r\n")
            # Longer than the entry host lingers.
            selector.pause_s = 2 * callers.settings.callers.linger_s
            await asyncio.sleep(0)
            context.sent = len(sockets)
            context.received = []
            for sock in sockets:
                sock.setblocking(False)
                reader, writer = await asyncio.open_connection(sock=sock)
                context.received.append(await asyncio.wait_for(read_answer(reader), 10))
                writer.close()
            await stopping

    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        runner.run(main())


@when("requests go on coming to an entry host that stops")
def keep_sending_while_stopping(context):
    async def main():
        async with Rig(callers={"linger_s": 1.0}) as r:
            callers = r.entry.callers
            callers.timers = r.entry.timers
            stopping = asyncio.create_task(callers.drain())
            context.sent, context.received = 15, []
            for _ in range(context.sent):
                reader, writer = await asyncio.open_connection("127.0.0.1", callers.port)
                writer.write(b"GET /quotes/late HTTP/1.1\r\nHost: a\r\n\r\n")
                context.received.append(await asyncio.wait_for(read_answer(reader), 10))
                writer.close()
                await asyncio.sleep(0.1)
            await asyncio.wait_for(stopping, 30)

    asyncio.run(main())


@then("requests that were sent as it stopped are all answered")
def all_answered_while_stopping(context):
    assert len(context.received) == context.sent, context.received
    for answer in context.received:
        assert b"X-Result-Code: 1000" in answer, answer


class SendingClock(Clock):
    """A clock that sends a request just after its first sleep.

    :param address: the address for a new connection.
    :param sock: an open connection to use instead of a new one.
    """

    def __init__(self, address, sock=None):
        self.sock = sock
        self._address = address
        self._has_sent = False

    async def sleep(self, seconds):
        await super().sleep(seconds)
        if not self._has_sent:
            self._has_sent = True
            self.sock = self.sock or socket.create_connection(self._address)
            self.sock.sendall(b"GET /quotes/late HTTP/1.1\r\nHost: a\r\n\r\n")


@when("requests' caller sends one on a {which} connection just as the entry host closes")
def send_while_closing(context, which):
    async def main():
        async with Rig() as r:
            loop = asyncio.get_running_loop()
            clock = SendingClock(("127.0.0.1", r.entry.callers.port))
            if which == "kept":
                clock.sock = socket.create_connection(("127.0.0.1", r.entry.callers.port))
                clock.sock.setblocking(False)
                await loop.sock_sendall(clock.sock, b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                await asyncio.wait_for(loop.sock_recv(clock.sock, 1 << 16), 10)
            r.entry.callers.clock = clock
            await r.entry.callers.drain()
            clock.sock.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=clock.sock)
            context.received = await asyncio.wait_for(reader.read(), 10)
            writer.close()
            context.runs = r.runs()

    asyncio.run(main())
