"""Structured log lines on standard output: one JSON object per line, at a bounded rate.

Each line describes one decision: the request, job or executor concerned, the inputs of the
decision, their age or version, and the outcome. Writing never blocks: if the reader stops reading,
lines are dropped and counted.
"""

import os
from typing import Any

import msgspec

from . import metrics
from .timers import Clock

# A daemon at 20 times its site's usual load writes about 400 lines per second. Twice the usual rate
# of all decisions keeps every line under normal load, and limits a flood to 60 KB/s.
LINES_PER_S = 200.0
BURST = 1000
MAX_TEXT = 300
# A line that would leave more bytes than this unwritten is dropped.
MAX_UNWRITTEN_BYTES = 256 * 1024


class EventLog:
    """Writes the events of one process.

    :param host: this host's name.
    :param clock: the clocks to read.
    :param descriptor: the file descriptor to write to; None adds lines to ``captured``, for tests.
    """

    def __init__(
        self, *, host: str, clock: Clock | None = None, descriptor: int | None = None
    ) -> None:
        self.host = host
        self.clock = clock or Clock()
        self.captured: list[dict[str, Any]] = []
        self.left_out = 0
        self._descriptor = descriptor
        self._tokens = float(BURST)
        self._refilled_at = self.clock.monotonic()
        self._unwritten = b""
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        if descriptor is not None:
            os.set_blocking(descriptor, False)

    def note(self, event: str, *, vital: bool = False, **fields: Any) -> None:
        """Write one line, or count it as left out.

        :param event: what happened, as ``part.verb``.
        :param vital: may use the reserved tokens; for lines that explain a refusal or a failure.
        :param fields: ids, inputs and outcome; long texts are truncated.
        """
        if not self._take_token(vital):
            self.left_out += 1
            metrics.log_lines.add(1, {"result": "suppressed"})
            return
        row = {"time": round(self.clock.wall(), 4), "host": self.host, "event": event}
        row.update((key, _shorten(value)) for key, value in fields.items() if value is not None)
        if self.left_out:
            row["left_out"] = self.left_out
            self.left_out = 0
        metrics.log_lines.add(1, {"result": "written"})
        if self._descriptor is None:
            self.captured.append(row)
            return
        self._write(self._encoder.encode(row) + b"\n")

    def _take_token(self, vital: bool) -> bool:
        now = self.clock.monotonic()
        self._tokens = min(BURST, self._tokens + (now - self._refilled_at) * LINES_PER_S)
        self._refilled_at = now
        # A quarter of the burst is reserved for vital lines, whose rate is bounded as well.
        if self._tokens < (1 if vital else BURST / 4):
            return False
        self._tokens -= 1
        return True

    def _write(self, line: bytes) -> None:
        assert self._descriptor is not None
        if len(self._unwritten) + len(line) > MAX_UNWRITTEN_BYTES:
            self.left_out += 1
            metrics.log_lines.add(1, {"result": "suppressed"})
            return
        self._unwritten += line
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; the process continues, and counts each failed write as lost.
            self._unwritten = b""
            metrics.log_lines.add(1, {"result": "lost"})
            return
        self._unwritten = self._unwritten[written:]


def _shorten(value: Any) -> Any:
    if isinstance(value, str):
        return value[:MAX_TEXT]
    if isinstance(value, float):
        return round(value, 4)
    return value
