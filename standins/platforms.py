"""The stand-in for the platform: one process that speaks docs/PLATFORM.md, all in memory."""

from pathlib import Path

import click
import msgspec
from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.web import Application

from .calls import (
    HostsCall,
    LogCall,
    OperationsCall,
    RenewCall,
    TaskOperationsCall,
    TasksCall,
    TaskStartCall,
    WorkersCall,
)
from .faults import Fault, Faults
from .fleets import Fleet
from .hosts import Hosts
from .links import Links
from .logs import Logs
from .servers import FaultsHandler, JsonHandler, quiet, run
from .settings import PlatformSettings, WorkerSpec, load, load_fleet
from .tasks import RefusedError, Tasks
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
            self.logs.expire_all(keep=fault.count or 0, on=fault.on)
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
        fleet = self.platform.fleet
        self.platform.links.register(body.control, body.workers)
        for name in body.workers or fleet.by_name:
            fleet.start_executor(name)
        self.reply({})


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
        try:
            self.platform.fleet.add(body.worker, rack=body.rack, data_center=body.data_center)
        except RefusedError as exc:
            self.reply({"error": str(exc)}, status=exc.status)
            return
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
