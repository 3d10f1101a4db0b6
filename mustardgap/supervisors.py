"""A supervisor: restarts each child that fails, and fails itself if a child keeps failing."""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable

from absl import logging

from . import cancellations, status_codes
from .exceptions import ChildFailed, MustardgapError

Child = Callable[[], Awaitable[None]]
FATAL_CODES = frozenset({status_codes.ADDRESS_IN_USE, status_codes.TLS_INVALID})


class Supervisor:
    """Runs children, one task each, and restarts those that fail.

    :param name: the name in logs.
    :param max_restarts: a child that fails more often within ``window_s`` ends this supervisor.
    :param window_s: the seconds over which a child's failures are counted.
    :param backoff_s: the first delay before a restart, in seconds; it doubles up to 16-fold.
    """

    def __init__(
        self, *, name: str, max_restarts: int = 5, window_s: float = 30.0, backoff_s: float = 0.1
    ) -> None:
        self.name = name
        self.max_restarts = max_restarts
        self.window_s = window_s
        self.backoff_s = backoff_s
        self.restarts = 0
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}
        self._failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def start_child(self, name: str, child: Child) -> asyncio.Task[None]:
        """Run a child until it returns, is stopped, or keeps failing.

        A child that ends because something it awaited was cancelled has failed. Treated as
        stopped, it would be missing from a daemon that seems healthy.

        :param name: the child's name, unique under this supervisor.
        :param child: a coroutine function without arguments.
        :return: the task that runs and restarts the child.
        :raises ValueError: there is a child of this name.
        """
        if name in self._tasks_by_name:
            raise ValueError(f"{self.name} already has a child {name}")
        task = asyncio.create_task(self._watch(name, child), name=f"{self.name}/{name}")
        self._tasks_by_name[name] = task
        return task

    def children(self) -> list[str]:
        """Return the names of the running children."""
        return list(self._tasks_by_name)

    async def stop_child(self, name: str) -> None:
        """Cancel a child and wait until it has ended."""
        task = self._tasks_by_name.pop(name, None)
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def run(self) -> None:
        """Wait until a child keeps failing, or fails in a way that a restart can't fix.

        :raises ChildFailed: MG2005 with the child's name.
        :raises MustardgapError: MG2003 or MG2006, as the child raised it.
        """
        await asyncio.shield(self._failed)

    async def stop(self) -> None:
        """Stop all children, the last one started first."""
        self._failed.cancel()
        for name in reversed(list(self._tasks_by_name)):
            await self.stop_child(name)

    async def _watch(self, name: str, child: Child) -> None:
        failures: deque[float] = deque()
        while True:
            try:
                await cancellations.run_part(child)
                self._tasks_by_name.pop(name, None)
                logging.info("%s/%s returned", self.name, name)
                return
            except Exception as exc:
                if isinstance(exc, MustardgapError) and exc.code in FATAL_CODES:
                    self._fail_with(name, exc)
                    return
                now = time.monotonic()
                failures.append(now)
                while failures and now - failures[0] > self.window_s:
                    failures.popleft()
                logging.exception(
                    "%s/%s failed (%d recent failures)", self.name, name, len(failures)
                )
                if len(failures) > self.max_restarts:
                    detail = f"{type(exc).__name__}: {exc}"
                    self._fail_with(name, ChildFailed(detail=detail, place=f"{self.name}/{name}"))
                    return
            self.restarts += 1
            await asyncio.sleep(self.backoff_s * min(16, 2 ** (len(failures) - 1)))

    def _fail_with(self, name: str, exc: MustardgapError) -> None:
        self._tasks_by_name.pop(name, None)
        if not self._failed.done():
            self._failed.set_exception(exc)
