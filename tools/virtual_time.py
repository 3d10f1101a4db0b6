"""An asyncio event loop whose time jumps to the next timer, for fast and repeatable runs."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from mustardgap.timers import Clock

T = TypeVar("T")

# The longest play of owners, of 60 virtual seconds, takes 23,000 turns.
MAX_TURNS = 5_000_000


class _Jump(selectors.SelectSelector):
    """Waits for nothing; moves the loop's time on by the time it would have waited."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.loop.now += max(timeout, 0.0)
        self.loop.turns += 1
        # Tasks that wait for something that never comes, with timers that go on, would run forever.
        if self.loop.turns > MAX_TURNS:
            raise RuntimeError(f"no end after {MAX_TURNS} turns, at {self.loop.now:.1f} s")
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time; it does no input or output."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.turns = 0
        selector = _Jump()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """The virtual time in seconds."""
        return self.now


class VirtualClock(Clock):
    """The clock of a virtual loop."""

    def __init__(self, *, loop: VirtualLoop) -> None:
        self.loop = loop

    def monotonic(self) -> float:
        """Virtual seconds."""
        return self.loop.time()

    def wall(self) -> float:
        """Virtual seconds since the epoch."""
        return 1_700_000_000.0 + self.loop.time()


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on virtual time."""
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
