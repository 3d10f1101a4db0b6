"""Structured log lines on standard output: one JSON object a line, at a bounded rate.

A line tells of one decision: which request, job or executor it touches, the inputs that decided
it, their age or version, and the outcome. Writing never blocks: a reader that stops reading costs
lines, which are counted, and nothing else.
"""

import os
from typing import Any

import msgspec

from . import metrics
from .timers import Clock

# A daemon at 20 times the load of its usual site writes some 400 lines a second; twice the usual
# rate of all decisions keeps the whole story of a calm day and bounds a storm to 60 KB/s.
LINES_PER_S = 200.0
BURST = 1000
MAX_TEXT = 300
# A reader that is late for this many bytes loses lines.
MAX_UNWRITTEN_BYTES = 256 * 1024


class EventLog:
    """Writes events of one process.

    :param host: this host's name.
    :param clock: the clocks to read.
    :param descriptor: where lines go; None keeps them in ``captured`` for tests.
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
        """Write one line.

        :param event: what happened, as ``part.verb``.
        :param vital: written beyond the usual rate too, for what explains a refusal or a failure.
        :param fields: ids, inputs and outcome; long texts are cut.
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
        # Vital lines may use up a reserve that the others leave, and are bounded by it too.
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
            # The reader is gone for good; the process goes on without lines, and counts them.
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
