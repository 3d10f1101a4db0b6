"""Tasks on workers: leases, steps, progress and usage that is reported with a lag."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import msgspec

from mustardgap.models import TaskInfo, Usage

from .faults import Faults
from .settings import WorkersSettings
from .truths import Truth

LIVE = frozenset({"running", "throttled"})
FAIL_AT_ONCE_S = 0.05
WAKE_S = 0.2


class RefusedError(Exception):
    """A call that is turned down with 409 or 404; it had no effect."""

    def __init__(self, text: str, *, status: int = 409) -> None:
        super().__init__(text)
        self.status = status


class TaskStart(msgspec.Struct, kw_only=True):
    """The body of a call that starts a task."""

    task: str
    job: str
    attempt: int
    epoch: int
    lease_s: float
    cores: float
    memory_gb: float
    accelerators: int = 0
    run_s: float
    payload: dict[str, Any] = {}


class TaskOperation(msgspec.Struct, kw_only=True):
    """The body of a call that steps a task."""

    operation: str
    epoch: int
    step: str
    lease_s: float = 0.0


class Task:
    """One task on one worker.

    :param start: the call that started it.
    :param worker: where it runs.
    :param done_s: seconds of progress that an earlier, checkpointed attempt has made.
    """

    def __init__(self, *, start: TaskStart, worker: str, done_s: float) -> None:
        self.start = start
        self.worker = worker
        self.state = "running"
        self.detail = ""
        self.lease_until = time.time() + start.lease_s
        self.progress_s = done_s
        self.speed = 0.0
        self.moved_at = time.monotonic()
        self.operations: set[str] = set()
        self.run: dict[str, Any] | None = None
        self.ends: list[asyncio.TimerHandle] = []
        self.sample = self.reported = Usage(cores=0.0, memory_gb=0.0, run_s=0.0)
        self.ended_at = 0.0
        self.version = 0

    @property
    def real_run_s(self) -> float:
        """Seconds it really takes, whatever was declared."""
        return float(self.start.payload.get("real_run_s", self.start.run_s))

    def advance(self) -> None:
        """Bring the progress up to now."""
        now = time.monotonic()
        self.progress_s += (now - self.moved_at) * self.speed
        self.moved_at = now

    def measure(self) -> Usage:
        """What it uses now, whatever was declared."""
        self.advance()
        payload = self.start.payload
        cores = float(payload.get("real_cores", self.start.cores)) * self.speed
        memory_gb = float(payload.get("real_memory_gb", self.start.memory_gb))
        return Usage(cores=cores, memory_gb=memory_gb, run_s=round(self.progress_s, 3))

    def info(self) -> TaskInfo:
        """The task as the platform shows it."""
        return {
            "task": self.start.task,
            "job": self.start.job,
            "attempt": self.start.attempt,
            "epoch": self.start.epoch,
            "worker": self.worker,
            "state": self.state,  # type: ignore[typeddict-item]
            "usage": self.reported,
            "lease_until": self.lease_until,
            "detail": self.detail,
        }


class Tasks:
    """All tasks of the platform.

    :param settings: the pace of tasks.
    :param faults: the faults that are on.
    :param truth: where runs are recorded.
    """

    def __init__(self, *, settings: WorkersSettings, faults: Faults, truth: Truth) -> None:
        self.settings = settings
        self.faults = faults
        self.truth = truth
        self.version = 0
        self.by_id: dict[str, Task] = {}
        self._changed_by_id: dict[str, Task] = {}
        self._live_by_worker: dict[str, dict[str, Task]] = {}
        self._epoch_by_job: dict[str, int] = {}
        self._progress_by_job: dict[str, float] = {}
        self._held_by_worker: dict[str, list[Callable[[], None]]] = {}
        self._ended = asyncio.Event()

    def start(self, worker: str, start: TaskStart, *, room: dict[str, float]) -> str:
        """Start a task; it is idempotent by its id and fenced by its job's epoch.

        :param room: the worker's ``cores``, ``memory_gb`` and ``accelerators``.
        :return: ``accepted`` or ``repeated``.
        :raises RefusedError: stale epoch, or no room.
        """
        if start.task in self.by_id:
            return "repeated"
        if start.epoch < self._epoch_by_job.get(start.job, -1):
            raise RefusedError(f"stale epoch {start.epoch} of job {start.job}")
        self._check_room(worker, start, room)
        self._epoch_by_job[start.job] = start.epoch
        done_s = self._progress_by_job.get(start.job, 0.0)
        task = self.by_id[start.task] = Task(start=start, worker=worker, done_s=done_s)
        self._live_by_worker.setdefault(worker, {})[start.task] = task
        self._touch(task)
        self._do(task, lambda: self._begin(task))
        return "accepted"

    def operate(self, task_id: str, operation: TaskOperation) -> str:
        """Renew, throttle, resume, checkpoint or stop a task.

        :raises RefusedError: no such task, stale epoch, or it has ended.
        """
        task = self.by_id.get(task_id)
        if task is None:
            raise RefusedError(f"no task {task_id}", status=404)
        if operation.operation in task.operations:
            return "repeated"
        if operation.step not in ("renew", "throttle", "resume", "checkpoint", "stop"):
            raise RefusedError(f"no step {operation.step}", status=400)
        if operation.epoch < self._epoch_by_job[task.start.job]:
            raise RefusedError(f"stale epoch {operation.epoch} of job {task.start.job}")
        if task.state not in LIVE:
            raise RefusedError(f"task {task_id} has ended: {task.state}")
        if operation.step == "renew" and not self._renew(task, operation.lease_s):
            raise RefusedError(f"the lease of {task_id} can't be renewed")
        task.operations.add(operation.operation)
        if operation.step != "renew":
            self._do(task, lambda: self._step(task, operation.step))
        return "accepted"

    def renew_many(self, epochs_by_id: dict[str, int], lease_s: float) -> list[str]:
        """Renew the leases of many tasks.

        :return: those that could not be renewed.
        """
        lapsed = []
        for task_id, epoch in epochs_by_id.items():
            task = self.by_id.get(task_id)
            fenced = task is None or epoch < self._epoch_by_job[task.start.job]
            if task is None or fenced or not self._renew(task, lease_s):
                lapsed.append(task_id)
        return lapsed

    def page(self, since: int) -> dict[str, Any]:
        """The tasks that changed since a version, the latest change last."""
        changed = []
        for task in reversed(self._changed_by_id.values()):
            if task.version <= since:
                break
            changed.append(task.info())
        return {"version": self.version, "tasks": changed[::-1]}

    async def empty(self, worker: str) -> None:
        """Wait until no task holds a place on a worker."""
        while self._live_by_worker.get(worker):
            await self._ended.wait()

    def lose(self, worker: str) -> int:
        """Stop all tasks of a worker that went down, without showing it.

        They are shown as they were until ``cut``, since only the worker could say how they are.

        :return: how many ran.
        """
        self.pause(worker)
        tasks = self._live_by_worker.get(worker, {}).values()
        for task in tasks:
            self._end_run(task, "lost")
        return len(tasks)

    def cut(self, worker: str, why: str) -> int:
        """End all tasks of a worker that restarts or is gone.

        :return: how many ran.
        """
        self._held_by_worker.pop(worker, None)
        tasks = list(self._live_by_worker.get(worker, {}).values())
        for task in tasks:
            self._end(task, "failed", why)
        return len(tasks)

    def pause(self, worker: str) -> None:
        """Freeze a worker's tasks; neither leases nor steps reach them until ``wake``."""
        self._held_by_worker.setdefault(worker, [])
        for task in self._live_by_worker.get(worker, {}).values():
            self._set_speed(task, 0.0)

    def wake(self, worker: str) -> None:
        """Let a paused worker go on: its tasks run for a moment before it looks at leases."""
        held = self._held_by_worker.pop(worker, [])
        for task in self._live_by_worker.get(worker, {}).values():
            if task.run is not None:
                self._set_speed(task, self._speed_of(task), least_lease_s=WAKE_S)
        loop = asyncio.get_running_loop()
        loop.call_later(WAKE_S, self._run_held, held)

    def report_usage(self) -> None:
        """Show the usage sampled one period ago, sample anew, and forget what ended long ago."""
        now = time.time()
        for task in list(self.by_id.values()):
            if task.state in LIVE:
                self._report(task)
                task.sample = task.measure()
            elif task.reported != task.sample:
                self._report(task)
            elif now - task.ended_at > self.settings.ended_kept_s:
                self._forget(task)

    def _check_room(self, worker: str, start: TaskStart, room: dict[str, float]) -> None:
        for size, whole in room.items():
            live = self._live_by_worker.get(worker, {}).values()
            taken = sum(getattr(task.start, size) for task in live)
            if taken + getattr(start, size) > whole + 1e-9:
                raise RefusedError(f"no room on {worker}: {size} {taken:g} of {whole:g} taken")

    def _do(self, task: Task, effect: Callable[[], None]) -> None:
        held = self._held_by_worker.get(task.worker)
        if held is None:
            effect()
        else:
            held.append(effect)

    def _run_held(self, held: list[Callable[[], None]]) -> None:
        for effect in held:
            effect()

    def _begin(self, task: Task) -> None:
        if task.state not in LIVE:
            return
        if time.time() > task.lease_until:
            self._end(task, "lapsed", "lease ran out before it began")
            return
        task.run = self.truth.begin_run(
            task.start.job, task=task.start.task, worker=task.worker, epoch=task.start.epoch
        )
        self._set_speed(task, self._speed_of(task))

    def _step(self, task: Task, step: str) -> None:
        if task.state not in LIVE:
            return
        if step == "checkpoint":
            task.advance()
            self._progress_by_job[task.start.job] = task.progress_s
            self._end(task, "checkpointed", "")
        elif step == "stop":
            self._end(task, "stopped", "")
        else:
            task.state = "throttled" if step == "throttle" else "running"
            self._set_speed(task, self._speed_of(task))
            self._touch(task)

    def _renew(self, task: Task, lease_s: float) -> bool:
        if task.worker in self._held_by_worker:
            return False
        if task.state not in LIVE or time.time() > task.lease_until:
            return False
        task.lease_until = time.time() + lease_s
        self._touch(task)
        self._arm(task)
        return True

    def _speed_of(self, task: Task) -> float:
        return self.settings.throttled_speed if task.state == "throttled" else 1.0

    def _set_speed(self, task: Task, speed: float, *, least_lease_s: float = 0.0) -> None:
        task.advance()
        task.speed = speed
        self._arm(task, least_lease_s=least_lease_s)

    def _arm(self, task: Task, *, least_lease_s: float = 0.0) -> None:
        for handle in task.ends:
            handle.cancel()
        task.ends = []
        if task.worker in self._held_by_worker or task.run is None:
            return
        loop = asyncio.get_running_loop()
        lease_left_s = max(least_lease_s, task.lease_until - time.time())
        task.ends.append(loop.call_later(lease_left_s, self._lapse, task))
        if self.faults.has("fails_tasks", task.worker):
            task.ends.append(loop.call_later(FAIL_AT_ONCE_S, self._fail, task))
            return
        task.advance()
        left_s = max(0.0, task.real_run_s - task.progress_s) / task.speed
        task.ends.append(loop.call_later(left_s, self._finish, task))

    def _lapse(self, task: Task) -> None:
        self._end(task, "lapsed", "lease ran out")

    def _fail(self, task: Task) -> None:
        self._end(task, "failed", "worker fault")

    def _finish(self, task: Task) -> None:
        if task.start.payload.get("fails"):
            self._end(task, "failed", "exit status 1")
        else:
            self._end(task, "done", "")

    def _end(self, task: Task, state: str, detail: str) -> None:
        for handle in task.ends:
            handle.cancel()
        task.sample = task.measure()
        task.speed = 0.0
        task.state, task.detail, task.ended_at = state, detail, time.time()
        self._live_by_worker.get(task.worker, {}).pop(task.start.task, None)
        self._end_run(task, state)
        self._touch(task)
        self._ended.set()
        self._ended = asyncio.Event()

    def _end_run(self, task: Task, outcome: str) -> None:
        if task.run is not None and task.run["end"] is None:
            self.truth.end_run(task.run, outcome)

    def _report(self, task: Task) -> None:
        if task.reported != task.sample:
            task.reported = task.sample
            self._touch(task)

    def _touch(self, task: Task) -> None:
        self.version += 1
        task.version = self.version
        self._changed_by_id.pop(task.start.task, None)
        self._changed_by_id[task.start.task] = task

    def _forget(self, task: Task) -> None:
        del self.by_id[task.start.task]
        del self._changed_by_id[task.start.task]
