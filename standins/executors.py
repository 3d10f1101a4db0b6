"""The stand-ins for executors: one process that hosts many, each on a port of its own."""

import asyncio
import os
from typing import Any

import click
import msgspec
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application

from .faults import Fault, Faults
from .runs import Runs
from .servers import FaultsHandler, JsonHandler, quiet, run
from .settings import ExecutorsSettings, load
from .upstreams import Executor

FAULTS = frozenset(
    {
        "slow",
        "failing",
        "refusing",
        "late",
        "short",
        "wrong_id",
        "doubled",
        "reset_before_reading",
        "reset_after_reading",
        "reset_after_running",
        "silent",
        "kill_after_run",
        "leaving",
    }
)
REGISTER_EVERY_S = 0.2


class Executors:
    """The executors of this process.

    :param settings: the checked settings.
    """

    def __init__(self, *, settings: ExecutorsSettings) -> None:
        self.settings = settings
        self.faults = Faults(names=FAULTS, seed=settings.seed)
        self.runs = Runs(kept=settings.runs_kept, path=settings.runs_file)
        self.by_name: dict[str, Executor] = {}
        self._current_by_worker: dict[str, Executor] = {}
        self._order_by_worker: dict[str, int] = {}
        self._drains: set[asyncio.Task[None]] = set()
        self.faults.on_change(self._fault_changed)

    def start(self, worker: str, service: str, *, name: str = "", port: int = 0) -> Executor:
        """Start a service's executor on a worker, or take its drain back."""
        name = name or f"{worker}.{service}"
        executor = self.by_name.get(name)
        if executor is None:
            executor = self.by_name[name] = Executor(
                name=name,
                service=service,
                worker=worker,
                settings=self.settings,
                faults=self.faults,
                runs=self.runs,
                port=port,
            )
        executor.start()
        self._current_by_worker[worker] = executor
        return executor

    async def step(self, worker: str, step: str, service: str, *, order: int = 0) -> dict[str, Any]:
        """Do a step of the platform's for the executor of a worker.

        :param order: steps of a worker that arrive after one of a higher order are passed over;
            0 for a step that is done in any case.
        :raises ValueError: there is no such step.
        """
        cut = 0
        executor = self._current_by_worker.get(worker)
        if self._is_late(worker, order):
            # Each step has a connection of its own, so a start can arrive after the drain that
            # took it back; done then, a drained worker's executor would take requests for good.
            pass
        elif step == "start":
            executor = self._start_again(worker, service)
        elif step not in ("drain", "cut", "pause", "resume"):
            raise ValueError(f"no step {step}")
        elif executor is not None and step == "drain":
            await executor.drain()
        elif executor is not None and step == "cut":
            cut = executor.cut()
        elif executor is not None and step == "pause":
            executor.pause()
        elif executor is not None:
            executor.resume()
        up = executor is not None and executor.state in ("up", "draining")
        return {"executors": [executor.info()] if executor and up else [], "cut": cut}

    def _is_late(self, worker: str, order: int) -> bool:
        latest = self._order_by_worker.get(worker, 0)
        self._order_by_worker[worker] = max(order, latest)
        return 0 < order < latest

    def _start_again(self, worker: str, service: str) -> Executor:
        executor = self._current_by_worker.get(worker)
        if executor is not None and service in ("", executor.service):
            executor.start()
            return executor
        if executor is not None and executor.state in ("up", "draining"):
            executor.cut()
        return self.start(worker, service)

    def _fault_changed(self, fault: Fault, is_on: bool) -> None:
        for executor in self.by_name.values():
            if not self.faults.concerns(fault, *executor.targets):
                continue
            if fault.fault == "silent" and is_on:
                executor.silence()
            elif fault.fault == "leaving" and is_on:
                drain = asyncio.create_task(executor.drain())
                self._drains.add(drain)
                drain.add_done_callback(self._drains.discard)
            elif fault.fault == "leaving":
                executor.start()


class StepBody(msgspec.Struct):
    """A step for a worker's executor."""

    step: str
    service: str = ""
    order: int = 0


class ExecutorsHandler(JsonHandler):
    """A control call."""

    def initialize(self, executors: Executors) -> None:
        """Take what the application hands in."""
        self.executors = executors


class StepHandler(ExecutorsHandler):
    """``/control/workers/{worker}``: start, drain, cut, pause or resume."""

    async def post(self, worker: str) -> None:
        """Do the step; a drain answers when it is over."""
        body = self.decode(StepBody)
        self.reply(await self.executors.step(worker, body.step, body.service, order=body.order))


class StateHandler(ExecutorsHandler):
    """``/control/state``."""

    def get(self) -> None:
        """Show each executor's state and counters."""
        by_name = self.executors.by_name
        self.reply({"pid": os.getpid(), "executors": {n: e.show() for n, e in by_name.items()}})


class RunsHandler(ExecutorsHandler):
    """``/control/runs``."""

    def get(self) -> None:
        """Show the runs from ``since`` on, at most ``limit``, and the counters over all."""
        runs = self.executors.runs
        since = int(self.number("since", 0, 0, 2**62))
        limit = int(self.number("limit", 10_000, 0, 1_000_000))
        self.reply(
            {
                "count": runs.count,
                "keys_run_twice": runs.keys_run_twice,
                "request_ids_run_twice": runs.request_ids_run_twice,
                "runs": runs.since(since, limit),
            }
        )


def application(executors: Executors) -> Application:
    """The routes of the control port."""
    parts = {"executors": executors}
    return Application(
        [
            (r"/control/workers/([^/]+)", StepHandler, parts),
            (r"/control/state", StateHandler, parts),
            (r"/control/runs", RunsHandler, parts),
            (r"/control/faults", FaultsHandler, {"faults": executors.faults}),
        ],
        log_function=quiet,
    )


@click.command()
@click.option("--port", type=int, required=True, help="The control port.")
@click.option("--settings", "path", required=True, help="A file of JSON with comments.")
def main(port: int, path: str) -> None:
    """Run stand-ins for executors."""
    run(lambda: _start(port, path))


async def _start(port: int, path: str) -> None:
    settings = load(path, ExecutorsSettings)
    executors = Executors(settings=settings)
    HTTPServer(application(executors)).listen(port, "127.0.0.1")
    for spec in settings.executors:
        executors.start(spec.executor, spec.service, name=spec.executor, port=spec.port)
    if settings.platform is not None:
        await _register(settings, port)


async def _register(settings: ExecutorsSettings, port: int) -> None:
    """Make this process known to the platform, as soon as that can be reached."""
    client = SimpleAsyncHTTPClient(force_instance=True)
    body = msgspec.json.encode({"control": f"127.0.0.1:{port}", "workers": settings.workers})
    url = f"http://{settings.platform}/control/executors"
    while True:
        try:
            await client.fetch(HTTPRequest(url, method="POST", body=body))
            return
        except Exception:
            await asyncio.sleep(REGISTER_EVERY_S)


if __name__ == "__main__":
    main()
