"""Writing an executor's answer to its connection, whole or not."""

import hashlib
import math
import socket
import struct
from typing import Any, NamedTuple

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import IOStream

PIECE_BYTES = 65_536
MAX_ANSWER_BYTES = 2**30


class Answer(NamedTuple):
    """An answer; the request may ask for its ``head`` to be filled up to a size."""

    status: int
    headers: HTTPHeaders
    head: bytes


async def write(request: HTTPServerRequest, answer: Answer) -> None:
    """Write an answer, as large as ``size`` in the request's query asks for.

    :raises StreamClosedError: the connection has closed.
    """
    connection: Any = request.connection
    asked = min(number(request, "size") or 0, MAX_ANSWER_BYTES)
    size = max(len(answer.head), int(asked))
    if not number(request, "chunked"):
        answer.headers["Content-Length"] = str(size)
    start_line = ResponseStartLine("HTTP/1.1", answer.status, "")
    await connection.write_headers(start_line, answer.headers)
    if request.method != "HEAD":
        for piece in pieces(answer.head, size):
            await connection.write(piece)
    connection.finish()


async def write_twice(request: HTTPServerRequest, stream: IOStream, answer: Answer) -> None:
    """Write an answer and its copy, which meets the connection's next request."""
    through = stream.write
    written: list[bytes] = []

    def keep_write(data: bytes | memoryview) -> Any:
        written.append(bytes(data))
        return through(data)

    stream.write = keep_write  # type: ignore[method-assign]
    await write(request, answer)
    stream.write = through  # type: ignore[method-assign]
    if not stream.closed():
        stream.write(b"".join(written))


def pieces(head: bytes, size: int) -> list[bytes]:
    """An answer's body: a line of JSON, filled up to a size with a pattern that depends on it.

    :param head: the JSON.
    :param size: the size of the whole in bytes; shorter than the head is no filling.
    """
    room = size - len(head) - 1
    if room < 0:
        return [head]
    pattern = hashlib.sha256(head).hexdigest().encode() * (PIECE_BYTES // 64)
    filling = [pattern] * (room // PIECE_BYTES) + [pattern[: room % PIECE_BYTES]]
    return [head + b"\n", *filling]


def cut_after(stream: IOStream, size: int) -> None:
    """Let a connection close once it has written some bytes."""
    through = stream.write
    left = size

    def cut_write(data: bytes | memoryview) -> Any:
        nonlocal left
        part = bytes(data)[:left]
        left -= len(part)
        future = through(part)
        if left == 0:
            stream.close()
        return future

    stream.write = cut_write  # type: ignore[method-assign]


def reset(stream: IOStream) -> None:
    """Close a connection with RST, as a crashed or restarted host would."""
    if stream.closed():
        return
    linger = struct.pack("ii", 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.close()


def number(request: HTTPServerRequest, name: str, *, header: str = "") -> float | None:
    """A number that a request asks for in a header or its query, None when it doesn't.

    What isn't a number is passed over, since a query belongs to the service first.
    """
    values = request.query_arguments.get(name, [b""])
    try:
        value = float(request.headers.get(header) or values[0])
    except ValueError:
        return None
    return value if math.isfinite(value) else None


def stream_of(request: HTTPServerRequest) -> IOStream:
    """The connection that a request came in by."""
    connection: Any = request.connection
    return connection.stream
