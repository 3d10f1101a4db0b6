"""A check whose result many callers share."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

ResultT = TypeVar("ResultT")

# A run that takes longer, as its answer was lost, doesn't hold up the next one.
PATIENCE_S = 0.1


class SharedCheck(Generic[ResultT]):
    """Runs a check once at a time, or each ``PATIENCE_S`` while it is slow, for all who ask.

    Each caller gets the result of a run that began after it asked, so that what the run shows holds
    at some moment of the caller's wait.

    :param run: makes the check.
    """

    def __init__(self, *, run: Callable[[], Awaitable[ResultT]]) -> None:
        self._run = run
        self._current: asyncio.Task[ResultT] | None = None
        # The run that hasn't begun yet, for those who ask meanwhile.
        self._next: asyncio.Task[ResultT] | None = None

    async def result(self) -> ResultT:
        """Return the result of a run that begins from now on.

        :raises Exception: what the run raises.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._run_next(self._current), name="shared check")
        # A caller that is cancelled doesn't take the run from the others.
        return await asyncio.shield(self._next)

    async def _run_next(self, previous: "asyncio.Task[ResultT] | None") -> ResultT:
        if previous is not None and not previous.done():
            await asyncio.wait([previous], timeout=PATIENCE_S)
        self._current, self._next = self._next, None
        return await self._run()
