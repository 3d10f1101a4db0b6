"""Steps of HTTP calls over pooled connections, against a server that answers in parts."""

import asyncio
import contextlib
import socket
import threading

from behave import then, when

from features.support.work_counts import counted_calls
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


@contextlib.contextmanager
def _raw_server(answers):
    """A server in a thread, which sends the next of some raw answers for each request.

    :param answers: rows of the pieces of an answer, and whether its connection ends after it.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    connections = []

    def serve(connection):
        with contextlib.suppress(OSError), connection:
            while request := _read_request(connection):
                assert request.startswith(b"GET / HTTP/1.1\r\n"), request
                pieces, ends = answers.pop(0)
                for piece in pieces:
                    connection.sendall(piece)
                if ends:
                    return

    def accept():
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connections.append(connection)
                threading.Thread(target=serve, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    yield f"127.0.0.1:{listener.getsockname()[1]}", connections
    listener.close()


def _read_request(connection):
    raw = b""
    while not raw.endswith(b"\r\n\r\n"):
        part = connection.recv(4096)
        if not part:
            return b""
        raw += part
    return raw


WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell"


@when("{count:d} HTTP calls are made one after another to one address")
def call_often(context, count):
    async def calls(pool, number):
        for _ in range(number):
            got = await pool.call(address=address, method="GET", target="/", timeout_s=5.0)
            assert isinstance(got, HttpAnswer) and got.body == b"well", got

    async def count_calls():
        pool = HttpPool()
        await calls(pool, 1)
        with counted_calls() as counts:
            await calls(pool, count)
        context.function_calls = sum(counts.values()) / count
        pool.close()

    with _raw_server([([WHOLE], False)] * (count + 1)) as (address, connections):
        asyncio.run(count_calls())
        context.connections = len(connections)


@then("one connection was opened for the HTTP calls")
def check_one_connection(context):
    assert context.connections == 1, context.connections


@then("each HTTP call made at most {most:d} function calls")
def check_function_calls(context, most):
    assert context.function_calls <= most, context.function_calls


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nw\r\n3\r\nell\r\n0\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
LAST = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nwell"
# The pieces that are sent, and whether the server ends the connection after them.
ANSWERS = {
    "with a length": ([WHOLE], False),
    "in chunks": ([CHUNKED], False),
    "after two informational ones": ([INFORMATIONAL + WHOLE], False),
    "that is the last of its connection": ([LAST], False),
    "that ends with its connection": ([b"HTTP/1.1 200 OK\r\n\r\nwell"], True),
    "and a second one that nobody awaits": ([WHOLE + WHOLE.replace(b"well", b"evil")], False),
    "in single bytes": ([bytes([byte]) for byte in WHOLE], False),
}


@when("an HTTP call gets an answer {how}, and another call follows")
def call_twice(context, how):
    async def call_both(address):
        pool = HttpPool()
        got = [
            await pool.call(address=address, method="GET", target="/", timeout_s=5.0)
            for _ in range(2)
        ]
        pool.close()
        return got

    with _raw_server([ANSWERS[how], ([WHOLE], False)]) as (address, connections):
        context.answers = asyncio.run(call_both(address))
        context.connections = len(connections)


@then("both HTTP calls were answered over {count:d} connections")
def check_both(context, count):
    bodies = [getattr(got, "body", got) for got in context.answers]
    assert bodies == [b"well", b"well"], bodies
    assert context.connections == count, context.connections


CHARACTERS = {"a line break": "a\r\nX: b", "a null": "a\0b", "a euro sign": "a€b"}


@when("an HTTP call is made whose {part} has {characters}")
def call_unsendably(context, part, characters):
    text = CHARACTERS[characters]

    async def call(address):
        return await HttpPool().call(
            address=address,
            method="GET",
            target=text if part == "target" else "/",
            headers={"X-Name": text} if part == "header" else {},
            timeout_s=2.0,
        )

    with _raw_server([]) as (address, connections):
        context.answer = asyncio.run(call(address))
        context.connections = len(connections)


@then("the HTTP call was certainly not sent")
def check_not_sent(context):
    assert isinstance(context.answer, NoAnswer) and not context.answer.sent, context.answer
    assert context.connections == 0, context.connections
