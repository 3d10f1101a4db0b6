"""A timer service, detection of process pauses, and the clocks of the process."""

import asyncio
import inspect
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from absl import logging

from . import cancellations

Callback = Callable[[], Awaitable[None] | None]

# A tick that is later than this, a tenth of the period, shows a pause of the process rather than
# other work of the event loop.
MIN_PROCESS_PAUSE_S = 0.01
# Covers the longest wait whose pauses are queried, 15 s at ten ticks a second.
MAX_PROCESS_PAUSES = 150


class ProcessPause(NamedTuple):
    """An interval of ``lost_s`` seconds, up to ``ended_at``, in which this process didn't run."""

    ended_at: float
    lost_s: float


class Clock:
    """Reads the clocks of the process; tests replace it with a fake."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        # CLOCK_MONOTONIC stops while a virtual machine is suspended. Leases would seem to be valid
        # for longer, and the host would act on what others hold by then. CLOCK_BOOTTIME goes on.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the epoch; they may jump."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        await asyncio.sleep(seconds)


class Timers:
    """Calls subscribers periodically, and reports gaps in which the process didn't run.

    :param clock: the clocks to read.
    :param gap_s: a tick later than this many seconds counts as a gap.
    """

    # A pause that begins between two ticks is measured too short, by at most one tick; the waits
    # that it is compared with take at least 0.3 s. A tick takes 0.14 ms of processor time (mean of
    # 2,300 on a busy machine): ten a second take 0.14 % of a core, where 1.2 % are allowed.
    TICK_S = 0.1

    def __init__(self, *, clock: Clock | None = None, gap_s: float = 2.0) -> None:
        self.clock = clock or Clock()
        self.gap_s = gap_s
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}
        self._gap_callbacks: list[Callable[[float], None]] = []
        self._last_tick = self.clock.monotonic()
        self._next_tick_at = float("inf")
        self._process_pauses: deque[ProcessPause] = deque(maxlen=MAX_PROCESS_PAUSES)

    def subscribe(self, name: str, period_s: float, callback: Callback) -> Callable[[], None]:
        """Call a function every ``period_s`` seconds until the returned function is called.

        :param name: a unique name, for logs.
        :param period_s: seconds between the end of one call and the start of the next.
        :param callback: a function or coroutine function without arguments.
        :return: a function that ends the subscription.
        :raises ValueError: there is a timer of this name.
        """
        if name in self._tasks_by_name:
            raise ValueError(f"timer {name} already exists")
        self._tasks_by_name[name] = asyncio.create_task(
            self._run(name, period_s, callback), name=f"timer:{name}"
        )
        return lambda: self._unsubscribe(name)

    def on_gap(self, callback: Callable[[float], None]) -> None:
        """Call back with the seconds lost when the process finds that it was paused.

        A process paused for longer than its leases last would otherwise act on what it no longer
        holds. Parts that hold leases also compare deadlines before each step, so that a late call
        can't make them act wrongly.
        """
        self._gap_callbacks.append(callback)

    async def run(self) -> None:
        """Watch for gaps until cancelled."""
        self._last_tick = self.clock.monotonic()
        while True:
            self._next_tick_at = self.clock.monotonic() + self.TICK_S
            await self.clock.sleep(self.TICK_S)
            self._record_process_pause()
            self.check_gap()

    def check_gap(self) -> float:
        """Notify subscribers of a gap since the last tick.

        :return: the seconds lost, 0 for none.
        """
        now = self.clock.monotonic()
        lost = now - self._last_tick - self.TICK_S
        self._last_tick = now
        if lost < self.gap_s:
            return 0.0
        for callback in self._gap_callbacks:
            callback(lost)
        return lost

    def process_pause_s(self, since: float) -> float:
        """Return for how long this process hasn't run since a given time.

        When a process that was stopped or waited for a processor runs again, its timeouts have
        expired, and it would mistake its own pause for others that don't respond.

        :param since: monotonic time in seconds.
        :return: seconds, including a pause that no tick has recorded yet.
        """
        now = self.clock.monotonic()
        pending = ProcessPause(now, max(0.0, now - self._next_tick_at))
        return sum(
            min(pause.lost_s, pause.ended_at - since)
            for pause in (*self._process_pauses, pending)
            if pause.ended_at > since
        )

    def _record_process_pause(self) -> None:
        now = self.clock.monotonic()
        if now - self._next_tick_at >= MIN_PROCESS_PAUSE_S:
            self._process_pauses.append(ProcessPause(now, now - self._next_tick_at))

    def close(self) -> None:
        """End all subscriptions."""
        for name in list(self._tasks_by_name):
            self._unsubscribe(name)

    def _unsubscribe(self, name: str) -> None:
        task = self._tasks_by_name.pop(name, None)
        if task is not None:
            task.cancel()

    async def _run(self, name: str, period_s: float, callback: Callback) -> None:
        while True:
            await self.clock.sleep(period_s)
            try:
                result = callback()
                if inspect.isawaitable(result):
                    await result
            except asyncio.CancelledError:
                # Another task may have closed something that the callback awaits. Treated as the
                # end of the subscription, it would stop heartbeats or polls without a log line.
                if cancellations.is_own():
                    raise
                logging.exception(
                    "timer %s: something that its callback awaited was cancelled", name
                )
            except Exception:
                logging.exception("timer %s failed", name)
