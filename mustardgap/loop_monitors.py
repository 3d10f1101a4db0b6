"""Tells how busy the event loop of the process is, with what, and how late it gets to its timers.

A loop that never waits delays everything that is due: callers' requests, leases, the ends of runs.
Each of its callbacks may be short all the while, so neither sums of processor time over a day nor
the longest callback show it.
"""

import asyncio
import selectors
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any

from . import metrics
from .events import EventLog
from .timers import Clock, Timers

# A lateness from which the log tells of a delay: orders and looks wait for their answers for this
# long at least, so a shorter one makes none of them late.
MIN_DELAY_S = 0.15
# How often the log tells how busy the loop was, if it was busy for MIN_BUSY_SHARE of that time.
REPORT_INTERVAL_S = 1.0
MIN_BUSY_SHARE = 0.5


class TimedSelector(selectors.DefaultSelector):
    """Waits for the sockets of an event loop, and measures for how long it has waited.

    :param now: returns monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.waited_s = 0.0
        self._now = now

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait until a file object is ready, or the timeout is over."""
        if timeout is not None and timeout <= 0:
            return super().select(timeout)
        began = self._now()
        ready = super().select(timeout)
        self.waited_s += self._now() - began
        return ready


class _Stretch:
    """Measures one stretch of work, as a context manager.

    :param times: where the time is added.
    :param part: the part that works.
    """

    __slots__ = ("_began", "_part", "_times")

    def __init__(self, *, times: "WorkTimes", part: str) -> None:
        self._times = times
        self._part = part
        self._began = 0.0

    def __enter__(self) -> None:
        self._began = self._times.now()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._times.add(self._part, self._times.now() - self._began)


class WorkTimes:
    """How long and how often the parts of a process have worked without a pause.

    :param now: returns monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float] = time.monotonic) -> None:
        self.now = now
        self.total_s_by_part: dict[str, float] = {}
        self.longest_s_by_part: dict[str, float] = {}
        self.count_by_part: Counter[str] = Counter()

    def measure(self, part: str) -> _Stretch:
        """Measure a stretch of work of a part, as a context manager."""
        return _Stretch(times=self, part=part)

    def add(self, part: str, took_s: float) -> None:
        """Add a stretch of work of a part."""
        self.count_by_part[part] += 1
        self.total_s_by_part[part] = self.total_s_by_part.get(part, 0.0) + took_s
        self.longest_s_by_part[part] = max(self.longest_s_by_part.get(part, 0.0), took_s)

    def clear(self) -> None:
        """Begin anew."""
        self.total_s_by_part.clear()
        self.longest_s_by_part.clear()
        self.count_by_part.clear()


# Of this process, as its metrics are.
work_times = WorkTimes()


class LoopMonitor:
    """Watches how busy and how late the event loop is.

    :param selector: the selector of the loop.
    :param clock: the clocks to read.
    :param events: the process's event log.
    :param times: the working times of the process's parts.
    :param cpu_s: returns the processor time of the process, in seconds.
    """

    def __init__(
        self,
        *,
        selector: TimedSelector,
        clock: Clock,
        events: EventLog,
        times: WorkTimes = work_times,
        cpu_s: Callable[[], float] = time.process_time,
    ) -> None:
        self._selector = selector
        self._clock = clock
        # Each tick calls back, however late it is.
        self._timers = Timers(clock=clock, gap_s=0.0)
        self._timers.on_gap(self._note_lateness)
        self._events = events
        self._times = times
        self._cpu_s = cpu_s
        self._latest_s = 0.0
        self._reported_at = clock.monotonic()
        self._reported_waited_s = selector.waited_s
        self._reported_cpu_s = cpu_s()

    async def run(self) -> None:
        """Watch until cancelled."""
        self._timers.subscribe("loop report", REPORT_INTERVAL_S, self._report)
        try:
            await self._timers.run()
        finally:
            self._timers.close()

    def _note_lateness(self, late_s: float) -> None:
        self._latest_s = max(self._latest_s, late_s)
        metrics.loop_lateness.record(late_s)
        if late_s >= MIN_DELAY_S:
            self._events.note(
                "loop.delayed",
                vital=True,
                late_s=late_s,
                longest_s=_rounded(self._times.longest_s_by_part),
            )

    def _report(self) -> None:
        """Log how busy the loop was; far less processor time says that the host was short of it."""
        now = self._clock.monotonic()
        span_s = now - self._reported_at
        waited_s = self._selector.waited_s - self._reported_waited_s
        cpu_s = self._cpu_s()
        busy_share = max(0.0, 1.0 - waited_s / span_s)
        metrics.loop_busy_time.add(max(0.0, span_s - waited_s))
        if busy_share >= MIN_BUSY_SHARE:
            self._events.note(
                "loop.busy",
                busy_share=busy_share,
                cpu_s=cpu_s - self._reported_cpu_s,
                late_s=self._latest_s,
                worked_s=_rounded(self._times.total_s_by_part),
                counts=dict(self._times.count_by_part),
            )
        self._times.clear()
        self._latest_s = 0.0
        self._reported_at = now
        self._reported_waited_s = self._selector.waited_s
        self._reported_cpu_s = cpu_s


def run_timed(make: Callable[[TimedSelector], Coroutine[Any, Any, None]]) -> None:
    """Run a coroutine on an event loop of its own whose waiting is measured.

    :param make: makes the coroutine, given the loop's selector.
    """
    selector = TimedSelector()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        runner.run(make(selector))


def _rounded(seconds_by_part: dict[str, float]) -> dict[str, float]:
    return {part: round(seconds, 4) for part, seconds in seconds_by_part.items()}
