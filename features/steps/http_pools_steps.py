"""Steps of HTTP calls over pooled connections, against a server that answers in parts."""

import asyncio
import contextlib

from behave import then, when

from mustardgap.http_pools import HttpAnswer, HttpPool
from mustardgap.ports import NoAnswer

PART = b"x" * 1000
PARTS = 8
# How many parts arrive, and the pause before each in seconds.
COURSES = {
    "arrives at once": (PARTS, 0.0),
    "arrives in 8 parts, 0.1 s apart": (PARTS, 0.1),
    "stops after 2 parts": (2, 0.0),
    "never begins": (None, 0.0),
}


@when("an HTTP call with a timeout of {seconds:g} s gets an answer that {course}")
def call_answered(context, seconds, course):
    count, pause_s = COURSES[course]

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if count is not None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PARTS * len(PART)))
            for _ in range(count):
                await asyncio.sleep(pause_s)
                writer.write(PART)
                await writer.drain()
        # It is cancelled when the loop ends, which asyncio's streams would report as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await reader.read()
        writer.close()

    context.answer = asyncio.run(_call(answer, seconds))


async def _call(answer, seconds, *, listens=True):
    """Call a server on a free port, which may have stopped listening."""
    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    if not listens:
        server.close()
        await server.wait_closed()
    pool = HttpPool()
    answered = await pool.call(
        address=f"127.0.0.1:{port}", method="GET", target="/", timeout_s=seconds
    )
    pool.close()
    server.close()
    return answered


@then("the HTTP call's answer was {taken}")
def check_answer(context, taken):
    got = context.answer
    if taken == "received":
        assert isinstance(got, HttpAnswer) and got.body == PART * PARTS, got
    else:
        assert not isinstance(got, HttpAnswer) and got.sent, got


@when("an HTTP call with a timeout of {seconds:g} s uses a connection that was {ended}")
def call_interrupted(context, seconds, ended):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if ended == "left silent":
            with contextlib.suppress(asyncio.CancelledError):
                await reader.read()
        elif ended == "reset during the answer":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
            await writer.drain()
            writer.transport.abort()
            return
        writer.close()

    context.answer = asyncio.run(_call(answer, seconds, listens=ended != "refused"))


@then("the HTTP call without an answer reports the connection as {reported}")
def check_closed(context, reported):
    got = context.answer
    assert isinstance(got, NoAnswer), got
    assert got.closed is (reported == "closed"), got
