"""The platform's workers and tasks, as last read by polling for changes."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from absl import logging

from .adapters import TasksPage, WorkersPage
from .exceptions import PlatformError
from .models import TaskInfo, WorkerInfo
from .settings import Settings
from .timers import Timers

KEEP_ENDED_S = 600.0
ENDED_STATES = frozenset({"done", "failed", "stopped", "lapsed"})

OnChange = Callable[[set[str]], None]
OnTasks = Callable[[list[TaskInfo]], None]


class PolledPlatform(Protocol):
    """The part of the platform that is polled for workers and tasks."""

    async def workers(self, since: int = 0) -> WorkersPage:
        """Read the workers that changed since a version."""

    async def tasks(self, since: int = 0) -> TasksPage:
        """Read the tasks that changed since a version."""


class Workers:
    """The last view of workers and tasks; kept during an outage, and its age is known.

    :param platform: the platform to poll.
    :param settings: the daemon's settings.
    :param timers: the timer service.
    """

    def __init__(self, *, platform: PolledPlatform, settings: Settings, timers: Timers) -> None:
        self.platform = platform
        self.settings = settings
        self.timers = timers
        self.by_id: dict[str, WorkerInfo] = {}
        self.tasks_by_id: dict[str, TaskInfo] = {}
        self.task_ids_by_worker: dict[str, set[str]] = {}
        self._ended_at: dict[str, float] = {}
        self._workers_version = 0
        self._tasks_version = 0
        self._workers_read: float | None = None
        self._tasks_read: float | None = None
        self._reachable = True
        self._callbacks: list[OnChange] = []
        self._task_callbacks: list[OnTasks] = []

    def on_change(self, callback: OnChange) -> None:
        """Call back with the ids of workers that changed, came or went, or whose tasks did."""
        self._callbacks.append(callback)

    def on_tasks(self, callback: OnTasks) -> None:
        """Call back with the tasks that changed or ended."""
        self._task_callbacks.append(callback)

    def age_s(self) -> float:
        """Seconds since both views were last read; infinite before the first time."""
        if self._workers_read is None or self._tasks_read is None:
            return float("inf")
        return self.timers.clock.monotonic() - min(self._workers_read, self._tasks_read)

    def tasks_on(self, worker: str) -> list[TaskInfo]:
        """The tasks on a worker that haven't ended."""
        ids = self.task_ids_by_worker.get(worker, ())
        return [self.tasks_by_id[task] for task in ids]

    async def run(self) -> None:
        """Poll until cancelled."""
        await self._poll_and_log()
        unsubscribe = self.timers.subscribe(
            "workers", self.settings.platform.poll_s, self._poll_and_log
        )
        try:
            await asyncio.Event().wait()
        finally:
            unsubscribe()

    async def poll(self) -> set[str]:
        """Read what changed.

        :return: the ids of the workers that changed, or whose tasks did.
        :raises PlatformError: a view couldn't be read; the last one is kept.
        """
        changed = await self._poll_workers()
        changed |= await self._poll_tasks()
        if changed:
            for callback in self._callbacks:
                callback(changed)
        return changed

    async def _poll_and_log(self) -> None:
        try:
            await self.poll()
        except PlatformError as exc:
            if self._reachable:
                logging.warning("workers or tasks can't be read, keeping the last view: %s", exc)
            self._reachable = False
            return
        if not self._reachable:
            logging.info("workers and tasks can be read again")
        self._reachable = True

    async def _poll_workers(self) -> set[str]:
        started = self.timers.clock.monotonic()
        page = await self.platform.workers(self._workers_version)
        if page.version < self._workers_version:
            # The platform restarted and its versions begin anew: a read since our version would
            # show no changes, and the view would never be updated.
            self._workers_version = 0
            page = await self.platform.workers(0)
        changed = self._apply_workers(page, complete=self._workers_version == 0)
        self._workers_version = page.version
        self._workers_read = started
        return changed

    def _apply_workers(self, page: WorkersPage, *, complete: bool) -> set[str]:
        gone = set(page.gone) & set(self.by_id)
        if complete:
            gone |= set(self.by_id) - {worker["worker"] for worker in page.workers}
        changed = set(gone)
        for worker in gone:
            del self.by_id[worker]
        for info in page.workers:
            if self.by_id.get(info["worker"]) != info:
                self.by_id[info["worker"]] = info
                changed.add(info["worker"])
        return changed

    async def _poll_tasks(self) -> set[str]:
        started = self.timers.clock.monotonic()
        page = await self.platform.tasks(self._tasks_version)
        if page.version < self._tasks_version:
            self._tasks_version = 0
            page = await self.platform.tasks(0)
        changed: set[str] = set()
        if self._tasks_version == 0:
            changed = self._forget(set(self.tasks_by_id) - {task["task"] for task in page.tasks})
        changed |= self._apply_tasks(page.tasks, started)
        self._tasks_version = page.version
        self._tasks_read = started
        self._forget({t for t, at in self._ended_at.items() if started - at > KEEP_ENDED_S})
        return changed

    def _apply_tasks(self, tasks: Iterable[TaskInfo], now: float) -> set[str]:
        changed, updated = set(), []
        for info in tasks:
            task, worker = info["task"], info["worker"]
            if self.tasks_by_id.get(task) == info:
                continue
            self.tasks_by_id[task] = info
            updated.append(info)
            changed.add(worker)
            on_worker = self.task_ids_by_worker.setdefault(worker, set())
            if info["state"] in ENDED_STATES:
                on_worker.discard(task)
                self._ended_at.setdefault(task, now)
            else:
                on_worker.add(task)
        for callback in self._task_callbacks:
            callback(updated)
        return changed

    def _forget(self, tasks: set[str]) -> set[str]:
        changed = set()
        for task in tasks:
            worker = self.tasks_by_id.pop(task)["worker"]
            self._ended_at.pop(task, None)
            self.task_ids_by_worker.get(worker, set()).discard(task)
            changed.add(worker)
        return changed
