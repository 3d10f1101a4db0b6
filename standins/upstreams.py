"""One executor: the upstream process of a service, with its slots, connections and faults."""

import asyncio
import hashlib
import math
import os
import random
import signal
import time
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from mustardgap.models import ExecutorInfo

from . import answers
from .faults import Fault, Faults
from .runs import Run, Runs
from .settings import ExecutorsSettings, RunTime

POLL_S = 0.02
MAX_BODY_BYTES = 64 * 1024 * 1024
BACKLOG = 256
MAX_AFTER_LEAVING = 10_000


class Executor:
    """One executor on one worker.

    :param name: the executor's id.
    :param service: the service it runs.
    :param worker: the worker it is on.
    :param settings: slots, connections and run times.
    :param faults: the faults that are on in this process.
    :param runs: where runs are recorded.
    :param port: the port to listen on, 0 for any; it is kept from the first start on.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        worker: str,
        settings: ExecutorsSettings,
        faults: Faults,
        runs: Runs,
        port: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.worker = worker
        self.settings = settings
        self.faults = faults
        self.runs = runs
        self.port = port
        self.state = "down"
        self.targets = (name, service, worker)
        self.counters = dict.fromkeys(
            ("received", "run", "refused", "connections_refused", "cut", "max_running"), 0
        )
        self.counters |= {"max_in_hand": 0, "max_connections": 0}
        self.after_leaving: list[float] = []
        self._random = random.Random(f"{settings.seed}/{name}")
        self._slots = asyncio.Semaphore(settings.slots)
        self._awake = asyncio.Event()
        self._awake.set()
        self._server: _Server | None = None
        self._streams: set[IOStream] = set()
        self._silent: set[IOStream] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._running = 0
        self._has_listened = False
        self._left_at = math.inf
        self._received_at = 0.0

    def info(self) -> ExecutorInfo:
        """The executor as the platform shows it."""
        return {
            "executor": self.name,
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "slots": self.settings.slots,
            "connections": self.settings.connections,
        }

    def show(self) -> dict[str, Any]:
        """State and counters, for ``GET /control/state``."""
        return {
            **self.info(),
            "worker": self.worker,
            "state": self.state,
            "running": self._running,
            "in_hand": len(self._serving),
            "open_connections": len(self._streams),
            "after_leaving": self.after_leaving,
            **self.counters,
        }

    def start(self) -> None:
        """Listen, or take a drain back."""
        self.state = "up"
        self._left_at = math.inf
        self.resume()
        if self._server is not None:
            return
        self._server = _Server(self)
        self.port = self._listen(self._server)

    def _listen(self, server: "_Server") -> int:
        try:
            (sock,) = bind_sockets(self.port, "127.0.0.1", backlog=BACKLOG)
        except OSError:
            if not self._has_listened:
                raise
            # While the executor was down, its port may have become the near end of somebody's
            # connection: it would never start again. The platform learns the new port.
            (sock,) = bind_sockets(0, "127.0.0.1", backlog=BACKLOG)
        server.add_socket(sock)
        self._has_listened = True
        return int(sock.getsockname()[1])

    async def drain(self) -> None:
        """Finish what was received, then stop listening; returns when drained or taken back."""
        if self.state == "up":
            self.state = "draining"
            self._left_at = self._received_at = time.monotonic()
        while self.state == "draining":
            await asyncio.sleep(POLL_S)
            if self.state == "draining" and self._is_quiet():
                self.state = "drained"
                self._close(abort=False)

    def cut(self) -> int:
        """Go down at once, as when the worker restarts.

        :return: how many requests in flight were cut off.
        """
        count = len(self._serving)
        self.counters["cut"] += count
        self.state = "down"
        for task in self._serving:
            task.cancel()
        self._close(abort=True)
        return count

    def pause(self) -> None:
        """Freeze: nothing is begun or answered until ``resume``."""
        self._awake.clear()

    def resume(self) -> None:
        """Go on after ``pause``."""
        self._awake.set()

    def silence(self) -> None:
        """Let the connections there are now go silent for good; new ones work."""
        self._silent |= self._streams

    def accept(self, stream: IOStream) -> bool:
        """Take a new connection, unless there are too many."""
        if self.faults.take("reset_before_reading", *self.targets):
            answers.reset(stream)
            return False
        if len(self._streams) >= self.settings.connections:
            self.counters["connections_refused"] += 1
            answers.reset(stream)
            return False
        self._streams.add(stream)
        self._note_most("max_connections", len(self._streams))
        return True

    def forget(self, stream: IOStream) -> None:
        """Note that a connection has closed."""
        self._streams.discard(stream)
        self._silent.discard(stream)

    def receive(self, request: HTTPServerRequest) -> None:
        """Take a whole request; one on a silent connection never arrives."""
        stream = answers.stream_of(request)
        if stream in self._silent:
            return
        self._received_at = time.monotonic()
        self.counters["received"] += 1
        if self.leaving_s >= 0 and len(self.after_leaving) < MAX_AFTER_LEAVING:
            self.after_leaving.append(round(self.leaving_s, 3))
        task = asyncio.create_task(self._serve(request, stream))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)
        self._note_most("max_in_hand", len(self._serving))

    @property
    def leaving_s(self) -> float:
        """Seconds since this executor began to leave, -1 when it isn't leaving."""
        return max(-1.0, time.monotonic() - self._left_at)

    async def _serve(self, request: HTTPServerRequest, stream: IOStream) -> None:
        try:
            if self._take("reset_after_reading"):
                answers.reset(stream)
            elif self._take("refusing") or self.leaving_s > self.settings.drain_grace_s:
                self.counters["refused"] += 1
                await self._answer(request, stream, 503, {"error": "not run"}, not_run=True)
            else:
                await self._run_and_answer(request, stream)
        except StreamClosedError:
            return

    async def _run_and_answer(self, request: HTTPServerRequest, stream: IOStream) -> None:
        value = await self._run(request)
        if self._take("kill_after_run"):
            os.kill(os.getpid(), signal.SIGKILL)
        if self._take("reset_after_running"):
            answers.reset(stream)
            return
        late = self._take("late")
        if late is not None:
            await asyncio.sleep(late.seconds)
        await self._awake.wait()
        if stream not in self._silent:
            status = 500 if self._take("failing") else 200
            await self._answer(request, stream, status, value)

    async def _run(self, request: HTTPServerRequest) -> dict[str, Any]:
        async with self._slots:
            await self._awake.wait()
            self._running += 1
            self._note_most("max_running", self._running)
            try:
                start = time.time()
                await self._work(request)
                await self._awake.wait()
                run = self._record(request, start)
            finally:
                self._running -= 1
        return {
            "executor": self.name,
            "service": self.service,
            "request_id": run.request_id,
            "method": run.method,
            "path": run.path,
            "digest": hashlib.sha256(request.body).hexdigest(),
            "run": run.sequence,
        }

    async def _work(self, request: HTTPServerRequest) -> None:
        asked_s = answers.number(request, "run_s", header="X-Run-Time")
        run_s = draw(self.settings.run_time, self._random) if asked_s is None else asked_s
        slow = self._take("slow")
        if slow is not None:
            run_s = run_s * slow.factor + slow.seconds
        if run_s > 0:
            await asyncio.sleep(run_s)

    def _record(self, request: HTTPServerRequest, start: float) -> Run:
        run = Run(
            sequence=0,
            executor=self.name,
            service=self.service,
            request_id=request.headers.get("X-Request-Id", ""),
            key=request.headers.get("Idempotency-Key", ""),
            method=request.method or "",
            path=request.uri or "",
            start=start,
            end=time.time(),
            leaving_s=round(self.leaving_s, 3),
        )
        self.runs.add(run)
        self.counters["run"] += 1
        return run

    async def _answer(
        self,
        request: HTTPServerRequest,
        stream: IOStream,
        status: int,
        value: dict[str, Any],
        *,
        not_run: bool = False,
    ) -> None:
        headers = HTTPHeaders({"Content-Type": "application/json"})
        request_id = request.headers.get("X-Request-Id", "")
        headers["X-Request-Id"] = request_id + ("-wrong" if self._take("wrong_id") else "")
        if not_run:
            headers["X-Not-Run"] = "1"
        if self.state != "up":
            headers["X-Leaving"] = "1"
        short = self._take("short")
        if short is not None:
            answers.cut_after(stream, short.at_byte)
        answer = answers.Answer(status, headers, msgspec.json.encode(value))
        if self._take("doubled"):
            await answers.write_twice(request, stream, answer)
        else:
            await answers.write(request, answer)

    def _take(self, fault: str) -> Fault | None:
        return self.faults.take(fault, *self.targets) if self.faults.active else None

    def _note_most(self, counter: str, value: int) -> None:
        self.counters[counter] = max(self.counters[counter], value)

    def _is_quiet(self) -> bool:
        if self._serving:
            return False
        quiet_s = time.monotonic() - self._received_at
        grace_s = self.settings.drain_grace_s
        return quiet_s >= self.settings.drain_quiet_s or self.leaving_s > grace_s

    def _close(self, *, abort: bool) -> None:
        if self._server is not None:
            self._server.stop()
        self._server = None
        for stream in self._streams - self._silent:
            if abort:
                answers.reset(stream)
            else:
                stream.close()


class _Server(HTTPServer):
    """Tells an executor of each connection and request."""

    def initialize(self, executor: Executor) -> None:  # type: ignore[override]
        self.executor = executor
        super().initialize(executor.receive, max_body_size=MAX_BODY_BYTES)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:  # type: ignore[override]
        if self.executor.accept(stream):
            super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self.executor.forget(server_conn.stream)  # type: ignore[attr-defined]


def draw(run_time: RunTime, rng: random.Random) -> float:
    """Draw how long a request runs, in seconds."""
    if run_time.distribution == "exponential" and run_time.mean_s > 0:
        return rng.expovariate(1.0 / run_time.mean_s)
    if run_time.distribution == "lognormal" and run_time.mean_s > 0:
        mu = math.log(run_time.mean_s) - run_time.sigma**2 / 2
        return rng.lognormvariate(mu, run_time.sigma)
    return run_time.mean_s
