"""Steps for the monitor of the event loop."""

import asyncio
import selectors
from typing import Any

from behave import given, then, when

from mustardgap.events import EventLog
from mustardgap.loop_monitors import LoopMonitor, TimedSelector, WorkTimes
from mustardgap.timers import Clock

EVENTS_BY_TOLD = {
    "nothing": set(),
    "a busy loop": {"loop.busy"},
    "a busy, delayed one": {"loop.busy", "loop.delayed"},
}


class HostClock(Clock):
    """A clock that goes on while something works or waits, and not otherwise."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return self.now_s


class PassingSelector(selectors.DefaultSelector):
    """Passes the time of a clock in place of waiting."""

    clock: HostClock

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for the timeout."""
        self.clock.now_s += max(timeout or 0.0, 0.0)
        return super().select(0)


class HostSelector(TimedSelector, PassingSelector):
    """Measures the time that it passes.

    :param clock: the clock.
    """

    def __init__(self, *, clock: HostClock) -> None:
        super().__init__(now=clock.monotonic)
        self.clock = clock


@given("an event loop whose waiting is measured")
def step_loop(context: Any) -> None:
    clock = HostClock()
    selector = HostSelector(clock=clock)
    context.loop = asyncio.SelectorEventLoop(selector)
    context.loop.time = clock.monotonic
    context.clock = clock
    context.events = EventLog(host="e1", clock=clock)
    context.times = WorkTimes(now=clock.monotonic)
    context.monitor = LoopMonitor(
        selector=selector, clock=clock, events=context.events, times=context.times
    )


@when('its part "{part}" works in pieces of {piece_ms:d} ms for {share:f} of {span:f} s')
def step_work(context: Any, part: str, piece_ms: int, share: float, span: float) -> None:
    async def work() -> None:
        monitor = asyncio.ensure_future(context.monitor.run())
        while context.clock.monotonic() < span:
            if share:
                with context.times.measure(part):
                    context.clock.now_s += piece_ms / 1000
            await asyncio.sleep(piece_ms / 1000 * (1 / share - 1) if share else 0.1)
        monitor.cancel()

    context.loop.run_until_complete(work())
    context.loop.close()


@then("the lines tell of {told}")
def step_told(context: Any, told: str) -> None:
    lines = context.events.captured
    assert {line["event"] for line in lines} == EVENTS_BY_TOLD[told], lines
    for line in lines:
        if line["event"] == "loop.busy":
            assert line["busy_share"] > 0.95, line
            assert line["worked_s"]["reports"] > 0.9, line
            assert line["counts"]["reports"] >= 5, line
