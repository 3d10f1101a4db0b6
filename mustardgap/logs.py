"""Logging by absl.logging, as ``key=value`` lines on stderr at a bounded rate.

Frequent events are counted in ``metrics``. Lines report state changes and faults; they contain no
request bodies and no keys.
"""

import json
import logging as python_logging
import os
import traceback
from datetime import UTC, datetime

from absl import flags, logging

from . import metrics
from .timers import Clock

LINES_PER_S = 5.0
BURST_LINES = 200
MAX_TEXT_LENGTH = 1000
MAX_FRAMES = 5

# The lines of grpc's core aren't pairs, and their faults are raised as errors too. The core reads
# this once, when it is first imported.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

# Tornado logs each malformed request and grpc each broken stream; metrics count both.
QUIET_LOGGERS = ("tornado.access", "tornado.general", "grpc", "asyncio")


class LineFormatter(python_logging.Formatter):
    """Formats a record as one line of ``key=value`` pairs, tracebacks included.

    :param host: the host's name, which identifies its lines among those of many hosts.
    """

    def __init__(self, *, host: str) -> None:
        super().__init__()
        self.host = host

    def format(self, record: python_logging.LogRecord) -> str:
        """Return the line for a record."""
        time = datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
        pairs = {
            "time": time.replace("+00:00", "Z"),
            "level": record.levelname.lower(),
            "host": self.host,
            "part": record.module,
            "text": _quote(record.getMessage()),
        }
        if record.exc_info and record.exc_info[1] is not None:
            pairs["error"] = _quote(f"{type(record.exc_info[1]).__name__}: {record.exc_info[1]}")
            pairs["at"] = _quote(_format_frames(record.exc_info[1]))
        suppressed = getattr(record, "suppressed", 0)
        if suppressed:
            pairs["suppressed"] = str(suppressed)
        return " ".join(f"{key}={value}" for key, value in pairs.items())


class RateFilter(python_logging.Filter):
    """Passes lines at a bounded rate and counts the suppressed ones.

    A fault that repeats with each request would fill the log collector's disk, and writing the
    lines would slow the daemon during the fault. The next line that passes has the number of
    suppressed lines, so that the absence of lines isn't mistaken for health.

    :param clock: the clocks to read.
    :param per_s: lines per second in the long run.
    :param burst: lines at once after an idle period.
    """

    def __init__(
        self, *, clock: Clock | None = None, per_s: float = LINES_PER_S, burst: int = BURST_LINES
    ) -> None:
        super().__init__()
        self.clock = clock or Clock()
        self.per_s = per_s
        self.burst = burst
        self._tokens = float(burst)
        self._filled_at = self.clock.monotonic()
        self._suppressed = 0

    def filter(self, record: python_logging.LogRecord) -> bool:
        """Return whether the record is written."""
        now = self.clock.monotonic()
        self._tokens = min(self.burst, self._tokens + (now - self._filled_at) * self.per_s)
        self._filled_at = now
        if self._tokens < 1:
            self._suppressed += 1
            metrics.log_lines.add(1, {"result": "suppressed"})
            return False
        self._tokens -= 1
        record.suppressed = self._suppressed
        self._suppressed = 0
        metrics.log_lines.add(1, {"result": "written"})
        return True


def set_up(*, host: str, verbosity: int = 0, clock: Clock | None = None) -> None:
    """Send the process's log lines to stderr.

    :param host: this host's name.
    :param verbosity: -3 fatal only, -2 errors, -1 warnings, 0 information, 1 debug.
    """
    # The settings replace absl's own flags, which absl would otherwise expect to be parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    logging.set_stderrthreshold(logging.FATAL)
    handler = logging.get_absl_handler()
    handler.setFormatter(LineFormatter(host=host))
    for earlier in [f for f in handler.filters if isinstance(f, RateFilter)]:
        handler.removeFilter(earlier)
    handler.addFilter(RateFilter(clock=clock))
    for name in QUIET_LOGGERS:
        python_logging.getLogger(name).setLevel(python_logging.ERROR)


def _format_frames(exc: BaseException) -> str:
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_FRAMES:]
    return " < ".join(
        f"{os.path.basename(frame.filename)}:{frame.lineno} {frame.name}"
        for frame in reversed(frames)
    )


def _quote(text: str) -> str:
    # Everything but ASCII is escaped, as line separators and control characters break lines.
    return json.dumps(text[:MAX_TEXT_LENGTH])
