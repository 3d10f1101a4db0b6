"""The platform's workers and the operations on them."""

import asyncio
from typing import Any

import msgspec

from .faults import Fault, Faults
from .links import Links
from .settings import FleetSpec, WorkerSpec, WorkersSettings
from .tasks import RefusedError, Tasks
from .truths import Truth
from .workers import Worker

DRAINABLE = frozenset({"up", "draining", "drained"})


class WorkerOperation(msgspec.Struct, kw_only=True):
    """The body of a call that starts an operation on a worker."""

    operation: str
    kind: str
    epoch: int
    pool: str = ""


class Fleet:
    """All workers and what is being done to them.

    :param spec: the fleet file.
    :param settings: the pace of reboots.
    :param faults: the faults that are on.
    :param truth: where states and operations are recorded.
    :param tasks: the tasks on the workers.
    :param links: the executors processes.
    """

    def __init__(
        self,
        *,
        spec: FleetSpec,
        settings: WorkersSettings,
        faults: Faults,
        truth: Truth,
        tasks: Tasks,
        links: Links,
    ) -> None:
        self.spec = spec
        self.settings = settings
        self.faults = faults
        self.truth = truth
        self.tasks = tasks
        self.links = links
        self.version = 0
        self.by_name: dict[str, Worker] = {}
        self.operations_by_id: dict[str, dict[str, Any]] = {}
        self._changed_by_name: dict[str, Worker] = {}
        self._gone_by_name: dict[str, int] = {}
        self._effects: set[asyncio.Task[Any]] = set()
        for center in spec.data_centers:
            for rack in center.racks:
                for line in rack.workers:
                    self._add(
                        Worker(
                            spec=line, rack=rack.rack, data_center=center.data_center, fleet=spec
                        )
                    )
        faults.on_change(self._fault_changed)

    def page(self, since: int) -> bytes:
        """The workers that changed since a version, as JSON."""
        changed = []
        for worker in reversed(self._changed_by_name.values()):
            if worker.version <= since:
                break
            changed.append(worker.encoded)
        gone = [name for name, version in self._gone_by_name.items() if version > since]
        names = msgspec.json.encode(gone)
        joined = b",".join(reversed(changed))
        return b'{"version":%d,"workers":[%s],"gone":%s}' % (self.version, joined, names)

    def service_of(self, worker: str) -> str:
        """The service whose executor a worker should run now, "" for none."""
        found = self.by_name.get(worker)
        if found is None or found.state != "up":
            return ""
        return self.spec.services_by_pool.get(found.pool, "")

    def find(self, name: str) -> Worker:
        """A worker by its name.

        :raises RefusedError: there is none.
        """
        worker = self.by_name.get(name)
        if worker is None:
            raise RefusedError(f"no worker {name}", status=404)
        return worker

    def operate(self, name: str, asked: WorkerOperation) -> str:
        """Start an operation; it is idempotent by its id and fenced by the worker's epoch.

        :return: ``accepted`` or ``repeated``.
        :raises RefusedError: stale epoch, or not allowed in the worker's state.
        """
        worker = self.find(name)
        self.truth.note_asked(asked.operation, worker=name, kind=asked.kind, epoch=asked.epoch)
        if asked.operation in self.operations_by_id:
            return "repeated"
        if asked.epoch < worker.epoch:
            raise RefusedError(f"stale epoch {asked.epoch}, {name} has seen {worker.epoch}")
        _check_allowed(worker, asked)
        operation = {
            "operation": asked.operation,
            "worker": name,
            "kind": asked.kind,
            "epoch": asked.epoch,
            "state": "running",
        }
        self.operations_by_id[asked.operation] = operation
        worker.epoch = asked.epoch
        self._run(worker, operation, asked.pool)
        return "accepted"

    def operation(self, operation_id: str) -> dict[str, Any]:
        """What is known of an operation.

        :raises RefusedError: it was never accepted.
        """
        operation = self.operations_by_id.get(operation_id)
        if operation is None:
            raise RefusedError(f"no operation {operation_id}", status=404)
        return operation

    def start_executor(self, name: str) -> None:
        """Start the executor that belongs on a worker, if any does."""
        service = self.service_of(name)
        if service:
            self._spawn(self._start(self.by_name[name], service))

    def remove(self, name: str) -> None:
        """Take a worker out of the fleet for good."""
        worker = self.find(name)
        self._stop_runner(worker)
        self._cut(worker, "worker removed")
        del self.by_name[name]
        del self._changed_by_name[name]
        self.version += 1
        self._gone_by_name[name] = self.version
        self.truth.note_worker(name, pool="", epoch=worker.epoch, state="gone", boot=worker.boot)

    def add(self, spec: WorkerSpec, *, rack: str, data_center: str) -> None:
        """Add a worker to the fleet, also under the name of one that is gone.

        :raises RefusedError: there is one of that name.
        """
        if spec.worker in self.by_name:
            raise RefusedError(f"there is a worker {spec.worker}")
        self._gone_by_name.pop(spec.worker, None)
        self._add(Worker(spec=spec, rack=rack, data_center=data_center, fleet=self.spec))
        self.start_executor(spec.worker)

    def _add(self, worker: Worker) -> None:
        self.by_name[worker.name] = worker
        self._set(worker)

    def _run(self, worker: Worker, operation: dict[str, Any], pool: str) -> None:
        self._stop_runner(worker)
        self.truth.note_executed(operation["operation"])
        worker.operation = operation
        worker.runner = self._spawn(self._execute(worker, operation, pool))

    async def _execute(self, worker: Worker, operation: dict[str, Any], pool: str) -> None:
        if operation["kind"] == "assign":
            worker.pool = pool
        effects = {
            "drain": self._drain,
            "undrain": self._start_up,
            "assign": self._start_up,
            "reboot": self._reboot,
        }
        await effects[operation["kind"]](worker)
        operation["state"] = "done"

    async def _drain(self, worker: Worker) -> None:
        if worker.state == "drained":
            self._set(worker)
            return
        self._set(worker, state="draining")
        await self.links.step(worker.name, "drain")
        await self.tasks.empty(worker.name)
        await self.faults.gone("never_drains", *worker.targets)
        worker.executors = []
        self._set(worker, state="drained")

    async def _reboot(self, worker: Worker) -> None:
        self._cut(worker, "worker rebooted")
        self._set(worker, state="rebooting")
        await asyncio.sleep(self.settings.reboot_s)
        await self.faults.gone("never_returns", *worker.targets)
        await self._boot(worker)

    async def _boot(self, worker: Worker) -> None:
        worker.boot += 1
        await self._start_up(worker)

    async def _start_up(self, worker: Worker) -> None:
        self._set(worker, state="up")
        await self._start(worker, self.service_of(worker.name))

    async def _start(self, worker: Worker, service: str) -> None:
        if not service:
            return
        resp = await self.links.step(worker.name, "start", service)
        if worker.state == "up":
            worker.executors = resp["executors"]
            self._set(worker)

    def _cut(self, worker: Worker, why: str) -> None:
        worker.executors = []
        self.truth.note_cut(worker.name, "tasks", self.tasks.cut(worker.name, why), why=why)
        self._spawn(self._cut_executors(worker.name, why))

    async def _cut_executors(self, worker: str, why: str) -> None:
        resp = await self.links.step(worker, "cut")
        self.truth.note_cut(worker, "requests", resp["cut"], why=why)

    def _set(self, worker: Worker, *, state: str = "") -> None:
        worker.state = state or worker.state
        self._note(worker)
        self._show(worker)

    def _note(self, worker: Worker) -> None:
        self.truth.note_worker(
            worker.name,
            pool=worker.pool,
            epoch=worker.epoch,
            state=worker.state,
            boot=worker.boot,
        )

    def _show(self, worker: Worker) -> None:
        self.version += 1
        worker.version = self.version
        worker.encoded = msgspec.json.encode(worker.info())
        self._changed_by_name.pop(worker.name, None)
        self._changed_by_name[worker.name] = worker

    def _fault_changed(self, fault: Fault, is_on: bool) -> None:
        effects = {"power_off": self._power, "paused": self._pause, "worker_removed": self._remove}
        effect = effects.get(fault.fault)
        if effect is None:
            return
        for worker in list(self.by_name.values()):
            stays_on = not is_on and self.faults.has(fault.fault, *worker.targets)
            if self.faults.concerns(fault, *worker.targets) and not stays_on:
                effect(worker, is_on)

    def _power(self, worker: Worker, is_off: bool) -> None:
        if is_off and worker.state == "down":
            return
        self._stop_runner(worker)
        if is_off:
            self._go_down(worker)
            worker.runner = self._spawn(self._show_later(worker))
        else:
            self.tasks.cut(worker.name, "worker restarted")
            worker.runner = self._spawn(self._boot(worker))

    def _go_down(self, worker: Worker) -> None:
        worker.executors = []
        self.truth.note_cut(worker.name, "tasks", self.tasks.lose(worker.name), why="worker down")
        self._spawn(self._cut_executors(worker.name, "worker down"))
        worker.state = "down"
        self._note(worker)

    async def _show_later(self, worker: Worker) -> None:
        await asyncio.sleep(self.settings.detect_s)
        self._show(worker)

    def _pause(self, worker: Worker, is_on: bool) -> None:
        if is_on:
            self.tasks.pause(worker.name)
        elif worker.state != "down":
            self.tasks.wake(worker.name)
        self._spawn(self.links.step(worker.name, "pause" if is_on else "resume"))

    def _remove(self, worker: Worker, is_on: bool) -> None:
        self.remove(worker.name)

    def _stop_runner(self, worker: Worker) -> None:
        if worker.runner is not None:
            worker.runner.cancel()
        if worker.operation is not None and worker.operation["state"] == "running":
            worker.operation["state"] = "failed"
        worker.runner = worker.operation = None

    def _spawn(self, effect: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.create_task(effect)
        self._effects.add(task)
        task.add_done_callback(self._effects.discard)
        return task


def _check_allowed(worker: Worker, asked: WorkerOperation) -> None:
    spare = worker.state == "up" and worker.pool in ("", asked.pool)
    allowed = {
        "drain": worker.state in DRAINABLE,
        "undrain": worker.state in DRAINABLE,
        "reboot": worker.state in DRAINABLE,
        "assign": worker.state == "drained" or spare,
    }
    if asked.kind not in allowed:
        raise RefusedError(f"no kind of operation {asked.kind}", status=400)
    if not allowed[asked.kind]:
        raise RefusedError(f"{asked.kind} isn't allowed: {worker.name} is {worker.state}")
