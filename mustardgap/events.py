"""Structured log lines on standard output: one JSON object per line, at a bounded rate.

Each line describes one decision: the request, job or executor concerned, the inputs of the
decision, their age or version, and the outcome. Writing never blocks: if the reader stops reading,
lines are dropped and counted.

Lines are grouped into classes. Each class has a budget of its own, and a line whose class has used
its budget up takes from a shared one, so that a flood of one class can't displace another.
"""

import os
from collections import Counter
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from . import metrics
from .timers import Clock

# A daemon at 20 times its site's usual load writes about 400 lines per second. Twice the usual rate
# of all decisions keeps every line under normal load, and limits a flood to 60 KB/s.
LINES_PER_S = 200.0
BURST = 1000


class LineClass(StrEnum):
    """The group of lines that share a budget."""

    FAILURES = "failures"
    REFUSALS = "refusals"
    JOBS = "jobs"
    POOLS = "pools"
    OTHER = "other"


class Budget(NamedTuple):
    """How many lines a second, and how many at once, are kept for a class."""

    lines_per_s: float
    burst: int


# With one bucket for all, a busy owner of the fleet wrote 1 to 4 of its 20 pool.balance lines per
# second, and half of its job.accepted and job.ended lines: run.start and run.end used the bucket
# up. POOLS holds the 24 lines per second that four pools cause; JOBS and REFUSALS hold twice a
# job's share of LINES_PER_S or more (2 of the about 34 lines of a job of 16 tasks).
BUDGETS_BY_CLASS = {
    LineClass.FAILURES: Budget(lines_per_s=40.0, burst=250),
    LineClass.REFUSALS: Budget(lines_per_s=30.0, burst=60),
    LineClass.JOBS: Budget(lines_per_s=45.0, burst=80),
    LineClass.POOLS: Budget(lines_per_s=40.0, burst=60),
    LineClass.OTHER: Budget(lines_per_s=25.0, burst=60),
}
SHARED_BUDGET = Budget(
    lines_per_s=LINES_PER_S - sum(budget.lines_per_s for budget in BUDGETS_BY_CLASS.values()),
    burst=BURST - sum(budget.burst for budget in BUDGETS_BY_CLASS.values()),
)
# OTHER, with the lines of runs, leaves this much of the shared budget's burst to the other classes.
# During a flood of runs, these thus get the shared budget first: a refusal or a job says more.
SHARED_RESERVE = SHARED_BUDGET.burst / 4
MAX_TEXT = 300
# A line that would leave more bytes than this unwritten is dropped.
MAX_UNWRITTEN_BYTES = 256 * 1024


def class_of(event: str, *, vital: bool) -> LineClass:
    """Return the class of a line.

    Refusals aren't counted as failures: a client account that sends far too much is refused many
    times a second, and must not displace the lines on lost runs and executors.
    """
    if event == "job.refused" or (vital and event.endswith(".answered")):
        return LineClass.REFUSALS
    if vital:
        return LineClass.FAILURES
    if event.startswith("job."):
        return LineClass.JOBS
    # pool.unreachable is written for each failed query, and tells nothing of why a pool waits.
    if event.startswith(("pool.", "fleet.", "account.", "loop.")) and event != "pool.unreachable":
        return LineClass.POOLS
    return LineClass.OTHER


class LineBudgets:
    """Decides which lines are written, by a token bucket for each class and a shared one.

    What a full bucket can't take in flows into the shared one. Over a long time all classes
    together thus get LINES_PER_S, and never more than BURST at once.

    :param now: monotonic seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._tokens_by_class = {
            kind: float(budget.burst) for kind, budget in BUDGETS_BY_CLASS.items()
        }
        self._shared_tokens = float(SHARED_BUDGET.burst)
        self._refilled_at = now

    def take(self, kind: LineClass, now: float) -> bool:
        """Take a token for a line, from the budget of its class or else from the shared one.

        :return: whether the line may be written.
        """
        self._refill(now)
        if self._tokens_by_class[kind] >= 1:
            self._tokens_by_class[kind] -= 1
            return True
        if self._shared_tokens >= (SHARED_RESERVE if kind is LineClass.OTHER else 1):
            self._shared_tokens -= 1
            return True
        return False

    def _refill(self, now: float) -> None:
        passed_s = now - self._refilled_at
        self._refilled_at = now
        shared = self._shared_tokens + passed_s * SHARED_BUDGET.lines_per_s
        for kind, budget in BUDGETS_BY_CLASS.items():
            tokens = self._tokens_by_class[kind] + passed_s * budget.lines_per_s
            self._tokens_by_class[kind] = min(budget.burst, tokens)
            shared += max(0.0, tokens - budget.burst)
        self._shared_tokens = min(SHARED_BUDGET.burst, shared)


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
        self.left_out_by_class: Counter[str] = Counter()
        self._descriptor = descriptor
        self._budgets = LineBudgets(now=self.clock.monotonic())
        self._unwritten = b""
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        if descriptor is not None:
            os.set_blocking(descriptor, False)

    @property
    def left_out(self) -> int:
        """The number of lines left out since the last one that was written."""
        return self.left_out_by_class.total()

    def note(self, event: str, *, vital: bool = False, **fields: Any) -> None:
        """Write one line, or count it as left out.

        :param event: what happened, as ``part.verb``.
        :param vital: explains a failure; such lines have a budget of their own.
        :param fields: ids, inputs and outcome; long texts are truncated.
        """
        kind = class_of(event, vital=vital)
        if not self._budgets.take(kind, self.clock.monotonic()):
            self._leave_out(kind)
            return
        row = {"time": round(self.clock.wall(), 4), "host": self.host, "event": event}
        row.update((key, _shorten(value)) for key, value in fields.items() if value is not None)
        if self.left_out_by_class:
            row["left_out"] = self.left_out
            row["left_out_by_class"] = dict(self.left_out_by_class)
        if not self._write(row):
            self._leave_out(kind)
            return
        self.left_out_by_class.clear()
        metrics.log_lines.add(1, {"result": "written"})

    def _leave_out(self, kind: LineClass) -> None:
        self.left_out_by_class[kind.value] += 1
        metrics.log_lines.add(1, {"result": "suppressed"})
        metrics.omitted_lines.add(1, {"class": kind.value})

    def _encode(self, row: dict[str, Any]) -> bytes:
        """Encode a line; fields that JSON can't hold, such as half a character, are escaped.

        What explains an unreadable input may be as unreadable, and mustn't end what it explains.
        """
        try:
            return self._encoder.encode(row)
        except Exception:
            return self._encoder.encode({key: _to_ascii(value) for key, value in row.items()})

    def _write(self, row: dict[str, Any]) -> bool:
        """Write a line as far as the reader takes it.

        :return: False if too much is unwritten, and the line is dropped.
        """
        if self._descriptor is None:
            self.captured.append(row)
            return True
        line = self._encode(row) + b"\n"
        if len(self._unwritten) + len(line) > MAX_UNWRITTEN_BYTES:
            return False
        self._unwritten += line
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return True
        except OSError:
            # The reader is gone; the process continues, and counts each failed write as lost.
            self._unwritten = b""
            metrics.log_lines.add(1, {"result": "lost"})
            return True
        self._unwritten = self._unwritten[written:]
        return True


def _to_ascii(value: Any) -> Any:
    if value is None or isinstance(value, bool | int | float):
        return value
    try:
        return _shorten(value if isinstance(value, str) and value.isascii() else ascii(value))
    except Exception as exc:
        return f"a {type(value).__name__} that can't be shown: {type(exc).__name__}"


def _shorten(value: Any) -> Any:
    if isinstance(value, str):
        return value[:MAX_TEXT]
    if isinstance(value, float):
        return round(value, 4)
    return value
