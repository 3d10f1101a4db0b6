"""Taking in an executor's answer: whole, or passed on while it arrives, or known to be neither."""

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
    """Where an answer goes that is too large to be held."""

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send status and headers on."""

    async def write(self, chunk: bytes) -> None:
        """Send a piece on and wait until the caller has taken it."""


class EarlyTimeout(NamedTuple):
    """Seconds to wait for the first sign of an answer, and whether to give up then."""

    seconds: float
    may_give_up: Callable[[], bool]


class AnswerReader(httputil.HTTPMessageDelegate):
    """Takes one answer in, holding it until it is whole or too large to be held."""

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
        """Check that the answer is to this request and that its end can be seen."""
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
        """Hold a piece, or pass it on once the answer is too large."""
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
        """The answer is whole."""
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
        """The answer broke off or is malformed."""
        self.connection_lost("the answer broke off")

    def connection_lost(self, detail: str) -> None:
        """Note that the connection ended early."""
        if self.result is not None:
            return
        if self._status:
            self.result = Truncated(detail=detail, begun=self._is_relaying)
        else:
            self.result = Reset(detail=detail)

    def time_out(self) -> None:
        """Give up at the deadline."""
        if self.result is None:
            self._end_with(TimedOut(begun=self._is_relaying))

    def time_out_early(self, early_timeout: EarlyTimeout) -> None:
        """Give up early when nothing has come back and another executor may be asked."""
        if self.result is None and not self._status and early_timeout.may_give_up():
            self._end_with(TimedOut(early=True))

    def _end_with(self, result: TryResult) -> None:
        self.result = result
        self._stream.close()
