"""Decodes a request's body that is sent in chunks, piece by piece."""

import re
from enum import Enum, auto

from .request_heads import MalformedRequest

CRLF = b"\r\n"
_SIZE = re.compile(rb"([0-9a-fA-F]{1,16})[ \t]*(?:;[^\r\n]*)?")


class _Place(Enum):
    """What comes next on the connection."""

    SIZE = auto()
    CONTENT = auto()
    CONTENT_END = auto()
    TRAILER = auto()
    DONE = auto()


class ChunkedBody:
    """A body in chunks, as far as it has arrived.

    :param max_line_bytes: how long the lines beside the content, all extensions and trailers
        together, may be.
    """

    def __init__(self, *, max_line_bytes: int) -> None:
        self.content = bytearray()
        self._max_line_bytes = max_line_bytes
        # Bytes of extensions and trailers so far, which carry nothing and cost no content.
        self._line_bytes = 0
        self._left = 0
        self._place = _Place.SIZE
        self._line = bytearray()

    @property
    def is_complete(self) -> bool:
        """Whether the last chunk and what follows it have arrived."""
        return self._place is _Place.DONE

    @property
    def expected_bytes(self) -> int:
        """How much of the present chunk is still to come."""
        return self._left

    def feed(self, data: bytes) -> int:
        """Take a piece of the wire.

        :return: how many of its bytes belong to this body.
        :raises MalformedRequest: it is no body in chunks, or has too much beside its content.
        """
        start = 0
        while start < len(data) and self._place is not _Place.DONE:
            if self._place is _Place.CONTENT:
                start = self._take_content(data, start)
            else:
                start = self._take_line(data, start)
        return start

    def _take_content(self, data: bytes, start: int) -> int:
        end = start + self._left
        self.content += data[start:end]
        end = min(end, len(data))
        self._left -= end - start
        if not self._left:
            self._place = _Place.CONTENT_END
        return end

    def _take_line(self, data: bytes, start: int) -> int:
        end = data.find(CRLF, start)
        if self._line or end < 0:
            return self._join_line(data, start)
        self._end_line(data[start:end])
        return end + len(CRLF)

    def _join_line(self, data: bytes, start: int) -> int:
        """Take a part of a line that doesn't arrive in one piece."""
        known = len(self._line)
        self._line += data[start : start + self._max_line_bytes + len(CRLF)]
        end = self._line.find(CRLF)
        if end < 0:
            if len(self._line) > self._max_line_bytes + 1:
                raise MalformedRequest("a line of a chunked body is too long")
            return len(data)
        line, self._line = bytes(self._line[:end]), bytearray()
        self._end_line(line)
        return start + end + len(CRLF) - known

    def _end_line(self, line: bytes) -> None:
        if self._place is _Place.SIZE:
            self._begin_chunk(line)
        elif self._place is _Place.CONTENT_END:
            if line:
                raise MalformedRequest("a chunk is longer than it says")
            self._place = _Place.SIZE
        elif line:
            self._count_line_bytes(len(line))
        else:
            self._place = _Place.DONE

    def _begin_chunk(self, line: bytes) -> None:
        match = _SIZE.fullmatch(line)
        if match is None:
            raise MalformedRequest("a chunk's size is no number")
        if len(line) > len(match[1]):
            self._count_line_bytes(len(line) - len(match[1]))
        self._left = int(match[1], 16)
        self._place = _Place.CONTENT if self._left else _Place.TRAILER

    def _count_line_bytes(self, count: int) -> None:
        self._line_bytes += count
        if self._line_bytes > self._max_line_bytes:
            raise MalformedRequest("a chunked body has too much beside its content")
