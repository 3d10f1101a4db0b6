"""Steps of the feature on what clients may send to a front."""

import asyncio
import socket
import struct

from behave import then, when

from features.support.front_rigs import BODY, JOB, PATH, Connection, told, with_front
from mustardgap.client_bounds import RequestLimits, SharedLimits
from tools.owner_worlds import QUEUE

LIMITS = RequestLimits()
# Short, so that what takes too long ends soon.
HASTY = RequestLimits(header_timeout_s=0.2, body_timeout_s=0.3, idle_timeout_s=0.5)
MEGABYTE = 1024 * 1024
PIECE_BYTES = 65_536
LARGE_BYTES = 100_000
WAIT_S = 10.0
# More than one answer of a front takes, and less than two do.
ANSWER_BYTES = 200
START = f"POST {PATH}{JOB} HTTP/1.1"
HOST = f"Host: {QUEUE.host}"
CHUNKED = "Transfer-Encoding: chunked"


def _head(*lines, start=START, host=HOST):
    return "\r\n".join([start, *([host] if host else []), *lines, "", ""]).encode()


def _job(*lines, body=BODY):
    return _head(*lines, f"Content-Length: {len(body)}") + body


def _padded_head(size, *lines):
    """A head of a size, without the empty line that ends it."""
    rest = len(_head(*lines, "X-Padding: ")) - len("\r\n\r\n")
    return _head(*lines, "X-Padding: " + "p" * (size - rest))


def _chunks(body, size, extension=b""):
    pieces = (body[place : place + size] for place in range(0, len(body), size))
    return b"".join(b"%x%b\r\n%b\r\n" % (len(piece), extension, piece) for piece in pieces)


def _chunked_job(*, extension=b"", trailers=b""):
    return _head(CHUNKED) + _chunks(BODY, 7, extension) + b"0\r\n" + trailers + b"\r\n"


def _large(size):
    return b'{"spec":"' + b"p" * (size - 11) + b'"}'


REFUSED = {
    "a head of 16,385 bytes": _padded_head(16_385, "Content-Length: 0"),
    "a head of 100,000 bytes without an end": _head()[:-2] + b"X-Padding: " + b"p" * 100_000,
    "a head that isn't HTTP": b"hello, is this the front?\r\n\r\n",
    "a head without a host": _head("Content-Length: 0", host=""),
    "a head with two hosts": _head("Host: other.example", "Content-Length: 0"),
    "a head with two lengths": _head("Content-Length: 3", "Content-Length: 4") + b"abcd",
    "a head with a length and chunks": _head("Content-Length: 3", CHUNKED) + b"0\r\n\r\n",
    "a length that is no number": _head("Content-Length: -3") + b"abc",
    "a length of 5,000 digits": _head("Content-Length: " + "9" * 5_000),
    "a body of 262,145 bytes, announced": _head("Content-Length: 262145"),
    "a body of 3 MB, announced and sent": _head(f"Content-Length: {3 * MEGABYTE}")
    + _large(3 * MEGABYTE),
    "a body of 3 MB in chunks": _head(CHUNKED) + _chunks(_large(3 * MEGABYTE), PIECE_BYTES),
    "a chunk whose size is no number": _head(CHUNKED) + b"zz\r\nabc\r\n",
    "a chunk that is longer than it says": _head(CHUNKED) + b"2\r\nabc\r\n0\r\n\r\n",
    "chunks with 20,000 bytes of extensions": _head(CHUNKED)
    + _chunks(b"p" * 20, 1, b";" + b"e" * 999),
    "chunks with 20,000 bytes of trailers": _head(CHUNKED)
    + b"0\r\n"
    + b"X-Trailer: " * 20
    + (b"p" * 1_000 + b"\r\n") * 20
    + b"\r\n",
    "a part of a head and nothing more": START.encode(),
    "a part of a body and nothing more": _job()[:-1],
    "a part of a body in chunks and nothing more": _chunked_job()[:-3],
}
SLOW = "a body a byte at a time for too long"
SERVED = {
    "a head of 16,384 bytes": _padded_head(16_384, f"Content-Length: {len(BODY)}") + BODY,
    "a body of 262,144 bytes": _job(body=_large(262_144)),
    "a body of 262,144 bytes in chunks of a byte": _head(CHUNKED)
    + _chunks(_large(262_144), 1)
    + b"0\r\n\r\n",
    "a job in chunks with extensions and trailers": _chunked_job(
        extension=b";name=value", trailers=b"X-Trailer: t\r\n"
    ),
    "a job after empty lines": b"\r\n\r\n" + _job(),
    "a job as form data": _job("Content-Type: application/x-www-form-urlencoded"),
    "a job with the wish for another protocol": _job("Connection: Upgrade", "Upgrade: h2c"),
    "three jobs at once": _job() * 3,
    "a job in chunks and two more at once": _chunked_job() + _job() * 2,
}
BY_BYTE = {"a job byte by byte": _job(), "a job in chunks byte by byte": _chunked_job()}


async def _send(connection, raw):
    try:
        for place in range(0, len(raw), PIECE_BYTES):
            connection.writer.write(raw[place : place + PIECE_BYTES])
            await connection.writer.drain()
    except ConnectionError:
        # The answer has been sent before.
        pass


async def _send_slowly(connection):
    connection.writer.write(_head(f"Content-Length: {len(BODY)}"))
    for byte in BODY * 10:
        connection.writer.write(bytes([byte]))
        await asyncio.sleep(0.05)


@when("a caller sends illegal input to a front: {what}")
def send_beyond(context, what):
    async def scene(rig):
        connection = await Connection.open(rig.port)
        if what == SLOW:
            sending = asyncio.create_task(_send_slowly(connection))
        else:
            sending = asyncio.create_task(_send(connection, REFUSED[what]))
        context.answer = await connection.answer()
        context.ended = await connection.has_ended()
        sending.cancel()
        context.handled = rig.gateway.count

    in_time = what.endswith("nothing more") or what == SLOW
    with_front("goes on", scene, limits=HASTY if in_time else LIMITS)


@then("the refusal is {status:d} with {code}")
def check_refused(context, status, code):
    assert told(context.answer) == f"{status} {code}", told(context.answer)


@then("nothing of it was handled, and its connection ends")
def check_unhandled(context):
    assert (context.handled, context.ended) == (0, True), (context.handled, context.ended)


@when("a caller sends legal input to a front: {what}")
def send_within(context, what):
    async def scene(rig):
        rig.gateway.may_end.set()
        connection = await Connection.open(rig.port)
        if what in BY_BYTE:
            for byte in BY_BYTE[what]:
                connection.writer.write(bytes([byte]))
                await asyncio.sleep(0)
        elif what == "a job that waits for the word to go on":
            connection.writer.write(_job("Expect: 100-continue")[: -len(BODY)])
            word = await connection.reader.readuntil(b"\r\n\r\n")
            assert word.startswith(b"HTTP/1.1 100 "), word
            connection.writer.write(BODY)
        elif what == "a job and the end of its side":
            connection.writer.write(_job())
            connection.writer.write_eof()
        else:
            await _send(connection, SERVED[what])
        count = 3 if "at once" in what else 1
        context.told = [told(await connection.answer()) for _ in range(count)]

    with_front("goes on", scene)


@then("its answers are {told_all}")
def check_all_told(context, told_all):
    assert " ".join(context.told) == told_all, context.told


async def _until(holds):
    async with asyncio.timeout(WAIT_S):
        while not holds():
            await asyncio.sleep(0.01)


def _reset(connection):
    """Leave at once, so that the front is told so while it handles the request."""
    sock = connection.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.writer.transport.abort()


async def _hold(rig, what):
    """Let others hold all that a front has of something; they have sent a part and stay."""
    holders = [await Connection.open(rig.port) for _ in range(2)]
    for connection in holders:
        if what == "connections":
            connection.writer.write(b"P")
        else:
            connection.writer.write(_head(f"Content-Length: {len(BODY)}") + BODY[:1])
    await _until(lambda: len(rig.front._servers[0].connections) == len(holders))
    await asyncio.sleep(0.1)
    return holders


async def _ask(rig):
    connection = await Connection.open(rig.port)
    connection.send("POST", PATH + JOB, BODY)
    answer = await connection.answer()
    connection.writer.close()
    return answer


async def _ask_until_served(rig):
    async with asyncio.timeout(WAIT_S):
        while told(await _ask(rig)) != "200 MG4020":
            await asyncio.sleep(0.1)


@when("others hold all {what} of a front, and a caller sends a job")
def send_beside(context, what):
    async def scene(rig):
        rig.gateway.may_end.set()
        holders = await _hold(rig, what)
        context.answer = await _ask(rig)
        await _ask_until_served(rig)
        context.served = True
        del holders

    shared = SharedLimits(
        bytes=2 * len(BODY) + 10 if what == "bytes" else MEGABYTE,
        requests=2 if what == "requests" else 100,
        connections=2 if what == "connections" else 100,
    )
    with_front("goes on", scene, shared=shared)


@then("it is refused by 503 with MG1115, and told when to come back")
def check_told_when(context):
    assert told(context.answer) == "503 MG1115", told(context.answer)
    assert int(context.answer.fields["Retry-After"]) > 0, context.answer


@then("it is served once the others have sent nothing for some time")
def check_served(context):
    assert context.served


@when("callers send as many jobs as a front handles at once, and leave")
def send_and_leave(context):
    async def scene(rig):
        for count in (1, 2):
            connection = await Connection.open(rig.port)
            connection.send("POST", PATH + JOB, BODY)
            await _until(lambda count=count: rig.gateway.count == count)
            _reset(connection)
        await _until(lambda: not rig.front._servers[0].connections)
        context.answer = await _ask(rig)
        rig.gateway.may_end.set()
        await _ask_until_served(rig)
        context.handled = rig.gateway.count

    with_front("goes on", scene, shared=SharedLimits(bytes=MEGABYTE, requests=2, connections=10))


@then("another caller is told 503 with MG1115 until these have been handled")
def check_counted(context):
    assert told(context.answer) == "503 MG1115", told(context.answer)
    assert context.handled == 3, context.handled


@when("a caller asks a front again and again and reads no answer")
def read_nothing(context):
    async def scene(rig):
        rig.gateway.may_end.set()
        connection = await Connection.open(rig.port)
        connection.writer.transport.pause_reading()
        question = _head(start=f"GET {PATH}{JOB} HTTP/1.1")

        async def ask():
            while True:
                connection.writer.write(question * 1_000)
                await connection.writer.drain()

        asking = asyncio.create_task(ask())
        await _until(lambda: rig.front._servers[0].connections)
        context.most_unsent = 0
        async with asyncio.timeout(2 * WAIT_S):
            while rig.front._servers[0].connections:
                unsent = rig.connection()._transport.get_write_buffer_size()
                context.most_unsent = max(context.most_unsent, unsent)
                await asyncio.sleep(0.01)
        context.ended = True
        asking.cancel()

    with_front("goes on", scene, limits=HASTY)


@then("the front ends its connection")
def check_connection_ended(context):
    assert context.ended


@then("it has never kept more than an answer for it")
def check_unsent(context):
    assert 0 < context.most_unsent <= ANSWER_BYTES, context.most_unsent


@when("large bodies hold the room of a front, and a caller sends a job")
def send_beside_large(context):
    async def scene(rig):
        rig.gateway.may_end.set()
        holders = [await Connection.open(rig.port) for _ in range(3)]
        for connection in holders:
            connection.writer.write(_head(f"Content-Length: {LARGE_BYTES}") + b"p")
        await _until(lambda: len(rig.front._servers[0].connections) == len(holders))
        context.told = [told(await _ask(rig))]

    shared = SharedLimits(bytes=2 * LARGE_BYTES, requests=100, connections=100)
    with_front("goes on", scene, shared=shared)
