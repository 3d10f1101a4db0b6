"""A supervisor tree: a child that dies restarts alone, one that keeps dying ends its parent."""

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
    :param max_restarts: more restarts than this within ``window_s`` end this supervisor.
    :param window_s: the seconds over which restarts are counted.
    :param backoff_s: the first wait before a restart; it doubles up to 16 times that.
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

        One that ends by the cancellation of something that it awaited has failed. Taken for one
        that was stopped, it would be missing from a daemon that seems well.

        :param name: the child's name, unique under this supervisor.
        :param child: a coroutine function without arguments.
        :return: the task that watches the child.
        """
        if name in self._tasks_by_name:
            raise ValueError(f"{self.name} has a child {name} already")
        task = asyncio.create_task(self._watch(name, child), name=f"{self.name}/{name}")
        self._tasks_by_name[name] = task
        return task

    def children(self) -> list[str]:
        """The names of the children that run."""
        return list(self._tasks_by_name)

    async def stop_child(self, name: str) -> None:
        """Cancel a child and wait until it has ended."""
        task = self._tasks_by_name.pop(name, None)
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def run(self) -> None:
        """Wait until a child keeps failing, or fails in a way that a restart can't mend.

        :raises ChildFailed: MG2005 with the child's name.
        :raises MustardgapError: MG2003 or MG2006, as the child raised it.
        """
        await asyncio.shield(self._failed)

    async def stop(self) -> None:
        """Stop all children, the youngest first."""
        self._failed.cancel()
        for name in reversed(list(self._tasks_by_name)):
            await self.stop_child(name)

    async def _watch(self, name: str, child: Child) -> None:
        failures: deque[float] = deque()
        while True:
            try:
                await cancellations.run_part(child)
                self._tasks_by_name.pop(name, None)
                logging.info("%s/%s has returned", self.name, name)
                return
            except Exception as exc:
                if isinstance(exc, MustardgapError) and exc.code in FATAL_CODES:
                    self._fail_with(name, exc)
                    return
                now = time.monotonic()
                failures.append(now)
                while failures and now - failures[0] > self.window_s:
                    failures.popleft()
                logging.exception("%s/%s failed (%d)", self.name, name, len(failures))
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
