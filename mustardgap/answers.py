"""Receives an executor's answer: buffered, relayed while it arrives, or detected as broken."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from tornado import httputil, iostream

from . import headers as header_rules
from .tries import (
    CallerGone,
    Complete,
    Mismatch,
    Refused,
    Relayed,
    Reset,
    TimedOut,
    Truncated,
    TryResult,
)


class Sink(Protocol):
    """Takes an answer that is too large to be buffered."""

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Relay status and headers."""

    async def write(self, chunk: bytes) -> None:
        """Relay a chunk and wait until it has been written to the caller."""


class EarlyTimeout(NamedTuple):
    """Seconds to wait for the answer's headers, and whether to time out then."""

    seconds: float
    may_give_up: Callable[[], bool]


class AnswerReader(httputil.HTTPMessageDelegate):
    """Receives one answer, buffering it until it is complete or too large to be buffered."""

    def __init__(
        self,
        *,
        stream: iostream.IOStream,
        try_id: str,
        is_head_request: bool,
        max_buffered_bytes: int,
        sink: Sink | None,
    ) -> None:
        self.result: TryResult | None = None
        self._stream = stream
        self._try_id = try_id
        self._is_head_request = is_head_request
        self._max_buffered_bytes = max_buffered_bytes
        self._sink = sink
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._leaving = False
        self._pieces: list[bytes] = []
        self._size = 0
        self._is_relaying = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check that the answer belongs to this request and that its end can be detected."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        if start_line.code < 200 or self.result is not None:
            return
        self._status = start_line.code
        self._headers = header_rules.returned(headers)
        self._leaving = headers.get("X-Leaving") == "1"
        if headers.get_list("X-Request-Id") != [self._try_id]:
            self._end_with(Mismatch(detail=f"status {start_line.code}"))
        elif start_line.code == 503 and headers.get("X-Not-Run") == "1":
            self._end_with(Refused(detail="refused by the executor", leaving=self._leaving))
        elif not self._is_framed(headers):
            self._end_with(Truncated(detail="it can't be seen where the answer ends"))

    def _is_framed(self, headers: httputil.HTTPHeaders) -> bool:
        if self._is_head_request or self._status in (204, 304):
            return True
        framing = headers.get_list("Content-Length") + headers.get_list("Transfer-Encoding")
        return len(framing) == 1

    async def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk, or relay it once the answer is too large."""
        if self.result is not None:
            return
        self._size += len(chunk)
        if not self._is_relaying and (self._sink is None or self._size <= self._max_buffered_bytes):
            self._pieces.append(chunk)
            return
        await self._relay(chunk)

    async def _relay(self, chunk: bytes) -> None:
        assert self._sink is not None
        try:
            if not self._is_relaying:
                self._is_relaying = True
                await self._sink.start(self._status, self._headers)
                buffered, self._pieces = self._pieces, []
                for piece in buffered:
                    await self._sink.write(piece)
            await self._sink.write(chunk)
        except iostream.StreamClosedError:
            self._end_with(CallerGone(leaving=self._leaving))

    def finish(self) -> None:
        """Store the result of a complete answer."""
        if self.result is not None:
            return
        if self._is_relaying:
            self.result = Relayed(status=self._status, size=self._size, leaving=self._leaving)
        else:
            self.result = Complete(
                status=self._status,
                headers=self._headers,
                body=b"".join(self._pieces),
                leaving=self._leaving,
            )

    def on_connection_close(self) -> None:
        """Handle an answer that broke off or is malformed."""
        self.connection_lost("the answer broke off")

    def connection_lost(self, detail: str) -> None:
        """Store the result of a connection that ended early."""
        if self.result is not None:
            return
        if self._status:
            self.result = Truncated(detail=detail, begun=self._is_relaying)
        else:
            self.result = Reset(detail=detail)

    def time_out(self) -> None:
        """Stop receiving at the deadline."""
        if self.result is None:
            self._end_with(TimedOut(begun=self._is_relaying))

    def time_out_early(self, early_timeout: EarlyTimeout) -> None:
        """Stop early if no headers have arrived and another executor may be tried."""
        if self.result is None and not self._status and early_timeout.may_give_up():
            self._end_with(TimedOut(early=True))

    def _end_with(self, result: TryResult) -> None:
        self.result = result
        self._stream.close()
