"""Steps of calls over kept connections, against a server that answers part by part."""

import asyncio
import contextlib

from behave import then, when

from mustardgap.http_pools import HttpAnswer, HttpPool
from mustardgap.ports import NoAnswer

PART = b"x" * 1000
PARTS = 8
# Of the parts: how many come, and the pause before each, in seconds.
COURSES = {
    "comes at once": (PARTS, 0.0),
    "comes in 8 parts, 0.1 s apart": (PARTS, 0.1),
    "stops after 2 parts": (2, 0.0),
    "never begins": (None, 0.0),
}


@when("a call with {seconds:g} s for its answer gets one that {course}")
def call(context, seconds, course):
    count, pause_s = COURSES[course]

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if count is not None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PARTS * len(PART)))
            for _ in range(count):
                await asyncio.sleep(pause_s)
                writer.write(PART)
                await writer.drain()
        # Cancelled when the loop ends, which asyncio's streams would report as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await reader.read()
        writer.close()

    context.answer = asyncio.run(_call(answer, seconds))


async def _call(answer, seconds, *, listens=True):
    """Call a server on a port of its own, which may have stopped listening."""
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


@then("the call's answer was {taken}")
def was_taken(context, taken):
    got = context.answer
    if taken == "whole":
        assert isinstance(got, HttpAnswer) and got.body == PART * PARTS, got
    else:
        assert not isinstance(got, HttpAnswer) and got.sent, got


@when("a call with {seconds:g} s for its answer meets a connection that was {ended}")
def call_ends(context, seconds, ended):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if ended == "left silent":
            with contextlib.suppress(asyncio.CancelledError):
                await reader.read()
        elif ended == "reset amid the answer":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
            await writer.drain()
            writer.transport.abort()
            return
        writer.close()

    context.answer = asyncio.run(_call(answer, seconds, listens=ended != "refused"))


@then("the call without an answer tells that the connection was {told}")
def tells_closed(context, told):
    got = context.answer
    assert isinstance(got, NoAnswer), got
    assert got.closed is (told == "closed"), got
