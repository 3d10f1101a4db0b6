"""The stand-in for the platform: one process that speaks docs/PLATFORM.md, all in memory."""

import asyncio
from pathlib import Path
from typing import Any

import click
import msgspec
from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.web import Application

from mustardgap.models import HostEntry

from .faults import Fault, Faults
from .fleets import Fleet, WorkerOperation
from .hosts import Hosts
from .links import Links
from .logs import MAX_BATCH, AppendsLimitedError, LogExpiredError, Logs
from .servers import FaultsHandler, JsonHandler, quiet, run
from .settings import PlatformSettings, WorkerSpec, load, load_fleet
from .tasks import RefusedError, TaskOperation, Tasks, TaskStart
from .truths import Truth

CALL_FAULTS = frozenset({"down", "silent", "slow", "lost", "doubled"})
INSTANT_FAULTS = frozenset({"expired", "host_removed", "worker_removed"})
STATE_FAULTS = frozenset(
    {
        "retention",
        "lag",
        "host_leaving",
        "paused",
        "fails_tasks",
        "power_off",
        "never_returns",
        "never_drains",
    }
)
MAX_LIMIT = 5000
MAX_WAIT_S = 30.0


class Platform:
    """The parts of the platform.

    :param settings: the checked settings.
    :param place: the settings file, beside which the fleet file is found.
    """

    def __init__(self, *, settings: PlatformSettings, place: str | Path) -> None:
        self.settings = settings
        self.faults = Faults(
            names=CALL_FAULTS | STATE_FAULTS, instant=INSTANT_FAULTS, seed=settings.seed
        )
        self.truth = Truth()
        self.logs = Logs(
            appends_per_s=settings.log.appends_per_s,
            retention_s=settings.log.retention_s,
            retention_records=settings.log.retention_records,
        )
        self.hosts = Hosts(lag_s=settings.hosts.lag_s, expire_s=settings.hosts.expire_s)
        self.tasks = Tasks(settings=settings.workers, faults=self.faults, truth=self.truth)
        self.links = Links()
        self.fleet = Fleet(
            spec=load_fleet(settings.fleet, beside=place),
            settings=settings.workers,
            faults=self.faults,
            truth=self.truth,
            tasks=self.tasks,
            links=self.links,
        )
        self.faults.on_change(self._fault_changed)

    def _fault_changed(self, fault: Fault, is_on: bool) -> None:
        self.logs.wake()
        limits, hosts = self.settings.log, self.settings.hosts
        if fault.fault == "expired":
            self.logs.expire_all(keep=fault.count or 0)
        elif fault.fault == "retention":
            self.logs.retention_s = fault.seconds if is_on else limits.retention_s
        elif fault.fault == "lag":
            self.hosts.lag_s = fault.seconds if is_on else hosts.lag_s
        elif fault.fault == "host_removed":
            self.hosts.withdraw(fault.on)
        elif fault.fault == "host_leaving":
            self._host_leaving(fault.on, is_on)

    def _host_leaving(self, name: str, is_on: bool) -> None:
        worker = self.fleet.by_name.get(name)
        if worker is not None and is_on:
            self.hosts.announce_worker(name, worker.data_center)
        elif worker is not None:
            self.hosts.withdraw(name)
        else:
            self.hosts.force_leaving(name, is_on)


class Call(JsonHandler):
    """One call of docs/PLATFORM.md, with the faults that concern it."""

    SUPPORTED_METHODS = ("GET", "POST", "PUT", "DELETE")

    def initialize(self, platform: Platform, port: int) -> None:
        """Take what the application hands in."""
        self.platform = platform
        self.port = port

    async def get(self, *names: str) -> None:
        """Serve a call that reads."""
        await self._serve(names)

    async def post(self, *names: str) -> None:
        """Serve a call that changes something."""
        await self._serve(names)

    async def put(self, *names: str) -> None:
        """Serve a call that changes something."""
        await self._serve(names)

    async def delete(self, *names: str) -> None:
        """Serve a call that changes something."""
        await self._serve(names)

    async def effect(self, *names: str) -> Any:
        """Do what the call asks for.

        :return: the answer's value.
        """
        raise NotImplementedError

    async def _serve(self, names: tuple[str, ...]) -> None:
        self.platform.truth.counters[f"{self.request.method} {type(self).__name__}"] += 1
        if self._strikes("silent"):
            await self._hang_up_later()
            return
        slow = self._strikes("slow")
        if slow is not None:
            await asyncio.sleep(slow.seconds)
        if self._strikes("down"):
            self.reply({"error": "down"}, status=503)
            return
        try:
            value = await self.effect(*names)
            if self._strikes("doubled"):
                value = await self.effect(*names)
        except RefusedError as exc:
            self.reply({"error": str(exc)}, status=exc.status)
            return
        except AppendsLimitedError as exc:
            self.reply({"error": str(exc)}, status=503)
            return
        except LogExpiredError as exc:
            self.reply({"error": str(exc), "oldest": exc.oldest, "end": exc.end}, status=410)
            return
        await self._answer(value)

    async def _answer(self, value: Any) -> None:
        if self._strikes("lost"):
            self.detach().close()
        elif self._is_on("silent"):
            await self._hang_up_later()
        elif self.request.method == "GET" and self._is_on("down"):
            self.reply({"error": "down"}, status=503)
        else:
            self.reply(value)

    async def _hang_up_later(self) -> None:
        stream = self.detach()
        while self._is_on("silent"):
            await self.platform.faults.changed()
        stream.close()

    def _strikes(self, fault: str) -> Fault | None:
        return self.platform.faults.take(fault, self.request.path, **self._call())

    def _is_on(self, fault: str) -> bool:
        found = self.platform.faults.has(fault, self.request.path, **self._call())
        return found is not None and found.count is None

    def _call(self) -> dict[str, Any]:
        return {"method": self.request.method, "port": self.port}


class AppendBody(msgspec.Struct):
    """The body of an append."""

    records: list[msgspec.Raw]


class LogCall(Call):
    """``/log/{stream}``."""

    async def effect(self, *names: str) -> Any:
        """Append or read."""
        logs = self.platform.logs
        if self.request.method == "POST":
            records = self.decode(AppendBody).records
            if not 0 < len(records) <= MAX_BATCH:
                raise ValueError(f"an append takes 1 to {MAX_BATCH} records")
            if not all(bytes(record).lstrip().startswith(b"{") for record in records):
                raise ValueError("records must be JSON objects")
            return logs.append(names[0], records)
        start = int(self.number("from", 0, 0, 2**62))
        limit = int(self.number("limit", 500, 1, MAX_LIMIT))
        return await logs.read(names[0], start, limit, self.number("wait", 0, 0, MAX_WAIT_S))


class HostsCall(Call):
    """``/hosts`` and ``/hosts/{host}``."""

    async def effect(self, *names: str) -> Any:
        """Show the list, or take in an announcement."""
        hosts = self.platform.hosts
        if self.request.method == "GET":
            return hosts.view()
        if self.request.method == "DELETE":
            hosts.withdraw(names[0])
        else:
            hosts.announce(self.decode(HostEntry))
        return {}


class WorkersCall(Call):
    """``/workers``."""

    async def effect(self, *names: str) -> Any:
        """Show the workers that changed."""
        return self.platform.fleet.page(int(self.number("since", 0, 0, 2**62)))


class OperationsCall(Call):
    """``/workers/{worker}/operations`` and ``/operations/{operation}``."""

    async def effect(self, *names: str) -> Any:
        """Start an operation, or show one."""
        fleet = self.platform.fleet
        if self.request.method == "GET":
            return fleet.operation(names[0])
        asked = self.decode(WorkerOperation)
        return {"operation": asked.operation, "result": fleet.operate(names[0], asked)}


class TaskStartCall(Call):
    """``/workers/{worker}/tasks``."""

    async def effect(self, *names: str) -> Any:
        """Start a task."""
        worker = self.platform.fleet.find(names[0])
        start = self.decode(TaskStart)
        tasks = self.platform.tasks
        if worker.state != "up" and start.task not in tasks.by_id:
            raise RefusedError(f"{worker.name} takes no work: it is {worker.state}")
        return {"task": start.task, "result": tasks.start(worker.name, start, room=worker.room)}


class TaskOperationsCall(Call):
    """``/tasks/{task}/operations``."""

    async def effect(self, *names: str) -> Any:
        """Step a task."""
        result = self.platform.tasks.operate(names[0], self.decode(TaskOperation))
        return {"task": names[0], "result": result}


class TaskLease(msgspec.Struct):
    """One lease to renew."""

    task: str
    epoch: int


class RenewBody(msgspec.Struct):
    """The body of a renewal of many leases."""

    tasks: list[TaskLease]
    lease_s: float


class RenewCall(Call):
    """``/tasks/renew``."""

    async def effect(self, *names: str) -> Any:
        """Renew many leases."""
        body = self.decode(RenewBody)
        epochs_by_id = {lease.task: lease.epoch for lease in body.tasks}
        return {"lapsed": self.platform.tasks.renew_many(epochs_by_id, body.lease_s)}


class TasksCall(Call):
    """``/tasks``."""

    async def effect(self, *names: str) -> Any:
        """Show the tasks that changed."""
        return self.platform.tasks.page(int(self.number("since", 0, 0, 2**62)))


class Registration(msgspec.Struct):
    """An executors process: its control address and the workers it serves, [] for all."""

    control: str
    workers: list[str]


class ControlHandler(JsonHandler):
    """A call of the stand-in's own; no fault concerns it."""

    def initialize(self, platform: Platform, port: int) -> None:
        """Take what the application hands in."""
        self.platform = platform


class ExecutorsHandler(ControlHandler):
    """``/control/executors``: an executors process makes itself known."""

    def post(self) -> None:
        """Take the process in and start what belongs on its workers."""
        body = self.decode(Registration)
        fleet, links = self.platform.fleet, self.platform.links
        names = [n for n in body.workers or fleet.by_name if n in fleet.by_name]
        self.reply({"workers": names})
        for name in names:
            links.control_by_worker[name] = body.control
            fleet.start_executor(name)


class TruthHandler(ControlHandler):
    """``/control/truth``: what really happened."""

    def get(self) -> None:
        """Show the record; ``workers=0`` or ``jobs=0`` leaves that part out."""
        parts = {key: self.get_query_argument(key, "1") != "0" for key in ("workers", "jobs")}
        logs, truth = self.platform.logs, self.platform.truth.export(**parts)
        truth["log"] = {"appends": logs.appends} | {
            "streams": {
                s.name: {"oldest": s.oldest, "end": s.end, "bytes": s.bytes}
                for s in logs.by_name.values()
            }
        }
        self.reply(truth)


class NewWorker(msgspec.Struct, kw_only=True):
    """A worker that joins the fleet while the platform runs."""

    worker: WorkerSpec
    rack: str
    data_center: str


class NewWorkerHandler(ControlHandler):
    """``/control/workers``: a worker joins the fleet."""

    def post(self) -> None:
        """Add the worker."""
        body = self.decode(NewWorker)
        self.platform.fleet.add(body.worker, rack=body.rack, data_center=body.data_center)
        self.reply({})


def application(platform: Platform, port: int) -> Application:
    """The routes of one listening port."""
    parts = {"platform": platform, "port": port}
    return Application(
        [
            (r"/log/([^/]+)", LogCall, parts),
            (r"/hosts", HostsCall, parts),
            (r"/hosts/([^/]+)", HostsCall, parts),
            (r"/workers", WorkersCall, parts),
            (r"/workers/([^/]+)/operations", OperationsCall, parts),
            (r"/workers/([^/]+)/tasks", TaskStartCall, parts),
            (r"/operations/([^/]+)", OperationsCall, parts),
            (r"/tasks", TasksCall, parts),
            (r"/tasks/renew", RenewCall, parts),
            (r"/tasks/([^/]+)/operations", TaskOperationsCall, parts),
            (r"/control/executors", ExecutorsHandler, parts),
            (r"/control/truth", TruthHandler, parts),
            (r"/control/workers", NewWorkerHandler, parts),
            (r"/control/faults", FaultsHandler, {"faults": platform.faults}),
        ],
        log_function=quiet,
    )


@click.command()
@click.option("--port", "ports", type=int, multiple=True, required=True, help="May be repeated.")
@click.option("--settings", "path", required=True, help="A file of JSON with comments.")
def main(ports: tuple[int, ...], path: str) -> None:
    """Run the stand-in for the platform."""
    run(lambda: _start(ports, path))


async def _start(ports: tuple[int, ...], path: str) -> None:
    platform = Platform(settings=load(path, PlatformSettings), place=path)
    for port in ports:
        HTTPServer(application(platform, port)).listen(port, "127.0.0.1")
    every_ms = max(0.05, platform.settings.workers.usage_every_s) * 1000
    PeriodicCallback(platform.tasks.report_usage, every_ms).start()


if __name__ == "__main__":
    main()
