"""A small deployment for the cases of the second review: daemons, their platform, and a client."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from stand_in_2 import HttpServer, Pool, Store, read_head

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = ROOT / "deploy" / "system.toml"
FRONT, READY, CONTROL, PEER, METRICS, PLATFORM, EXECUTOR = range(8621, 8628)
HOST, PREFIX, SERVICE = "quotes.example", "/quotes/", "quoting"
DEADLINE_S = 3.0
# Far less than any time that daemons wait for an answer before they give a lease up.
MAX_PAUSE_S = 0.5
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2
MAX_BODY_BYTES = 262_144
# What clients may send, as in the configurations of the small deployments.
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
# The bounds of the small deployments' pages.
BOUNDS: dict[str, Any] = {
    "seedLagS": 3,
    "reuseDelayS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "syncS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": 10000,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "farX": 2,
    "checkpointS": 1,
    "restoreMs": 100,
    "noticeMs": 4500,
    "moveS": 1.5,
    "maintenanceS": 2,
    "enforceFencing": True,
    "leaseMs": 3000,
    "thawMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}


class CannotRun(Exception):
    """The case couldn't be played; this shows neither that the rule holds nor that it breaks."""


class Reply(NamedTuple):
    """A daemon's answer; ``status`` is 0 if there was none."""

    status: int
    fields: dict[str, Any]


class Daemon:
    """One process of the system.

    :param number: from 1.
    :param ip: its loopback address.
    """

    def __init__(self, *, number: int, ip: str) -> None:
        self.number, self.ip = number, ip
        self.process: subprocess.Popen[bytes] | None = None
        self.exits: list[int] = []
        self.starts = 0


class World:
    """Daemons on a stand-in of the platform; use it as an asynchronous context manager.

    :param folder: the case's folder, where ``record.txt`` is written.
    :param daemons: how many daemons there are.
    :param labels: the kind and the rack of each executor.
    :param cpu: the capacity of each executor, in thousandths of a core.
    :param services: the names of the services; each has as many executors.
    :param restart_s: seconds until a daemon that has ended is started again.
    """

    def __init__(
        self,
        *,
        folder: Path,
        daemons: int = 3,
        labels: list[list[str]],
        cpu: int = 32_000,
        services: Sequence[str] = (SERVICE,),
        restart_s: float = 1.0,
    ) -> None:
        self.began = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._lines = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        net = free_net([FRONT, READY, PEER, METRICS, PLATFORM])
        self.daemons = [Daemon(number=n + 1, ip=f"{net}.{n + 1}") for n in range(daemons)]
        self._platform_ip = f"{net}.200"
        self.store = Store(parts=12, record=self.record)
        self.pools = [
            Pool(
                service=service,
                store=self.store,
                addresses=[f"{net}.{100 + 10 * k + n}:{EXECUTOR}" for n in range(len(labels))],
                labels=labels,
                record=self.record,
                cpu=cpu,
                letter="xyz"[k],
            )
            for k, service in enumerate(services)
        ]
        self.pool = self.pools[0]
        self._servers: list[HttpServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._restart_s = restart_s
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self._ending = False
        # The longest time for which the stand-ins, which share a process, answered nothing.
        self.longest_pause_s = 0.0

    def record(self, line: str) -> None:
        """Write a line to the record, with the seconds since the case began."""
        self._lines.write(f"{time.monotonic() - self.began:8.3f}  {line}\n")
        self._lines.flush()

    async def _measure_pauses(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            pause_s = time.monotonic() - before - 0.05
            self.longest_pause_s = max(self.longest_pause_s, pause_s)

    def check_pauses(self) -> None:
        """Make sure that the stand-ins always answered in time.

        :raises CannotRun: they paused for longer than ``MAX_PAUSE_S``.
        """
        self.record(f"the stand-ins' longest pause: {self.longest_pause_s:.3f} s")
        if self.longest_pause_s > MAX_PAUSE_S:
            raise CannotRun("the stand-ins were held up")

    async def __aenter__(self) -> "World":
        self._tasks.append(asyncio.create_task(self._measure_pauses()))
        server = HttpServer(ip=self._platform_ip, port=PLATFORM, handler=self.store.handle)
        await server.start()
        self._servers.append(server)
        for pool in self.pools:
            await pool.start()
            self._tasks.append(asyncio.create_task(pool.run()))
        services = [pool.service for pool in self.pools]
        self.configure(configuration(3, {"quotes": services[0]}, services))
        for daemon in self.daemons:
            self._start(daemon)
            self._tasks.append(asyncio.create_task(self._keep_up(daemon)))
        await self._wait_ready()
        return self

    async def __aexit__(self, *_: object) -> None:
        self._ending = True
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        for server in self._servers:
            server.close()
        for pool in self.pools:
            for executor in pool.lives:
                if executor.server is not None:
                    executor.server.close()
        shutil.rmtree(self._temporary, ignore_errors=True)
        self._lines.close()

    def configure(self, fields: dict[str, Any]) -> None:
        """Write a configuration, as the operator does; the store has acknowledged it then."""
        self.record(f"operator: version {fields['version']}, routes {fields['routes']}")
        self.store.write("keyed.op", "config", json.dumps(fields).encode())

    def _start(self, daemon: Daemon) -> None:
        role = tomllib.loads(DEPLOY.read_text(encoding="utf-8"))["roles"]["entry"]
        settings = self._temporary / f"boot-{daemon.number}.json"
        settings.write_text(json.dumps(self._settings(daemon)), encoding="utf-8")
        command = role["run"].split(" ")
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {"LANG": "C.UTF-8", "MUSTARDGAP_CONFIG": str(settings)}
        environment |= role.get("env", {})
        environment["MUSTARDGAP_METRICS_PORT"] = str(METRICS)
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self._temporary / f"daemon-{daemon.number}.log", "ab") as output:
            daemon.process = subprocess.Popen(
                [shutil.which(command[0]) or command[0], *command[1:]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        daemon.starts += 1
        self.record(f"daemon {daemon.number} is started")

    async def _keep_up(self, daemon: Daemon) -> None:
        """Start a daemon again that has ended, as the platform does."""
        while not self._ending:
            assert daemon.process is not None
            status = daemon.process.poll()
            if status is not None:
                daemon.exits.append(status)
                self.record(f"daemon {daemon.number} has ended by itself with status {status}")
                for line in self.last_lines(daemon, 3):
                    self.record(f"  its log: {line}")
                await asyncio.sleep(self._restart_s)
                self._start(daemon)
            await asyncio.sleep(0.05)

    def last_lines(self, daemon: Daemon, count: int) -> list[str]:
        """The last lines of a daemon's log, each cut to 300 characters."""
        path = self._temporary / f"daemon-{daemon.number}.log"
        lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
        return [line[:300] for line in lines[-count:]]

    def log_lines(self, word: str) -> list[str]:
        """The lines of all daemons' logs that hold a word, each cut to 400 characters."""
        found = []
        for daemon in self.daemons:
            path = self._temporary / f"daemon-{daemon.number}.log"
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                if word in line:
                    found.append(f"daemon {daemon.number}: {line[:400]}")
        return found

    def _settings(self, daemon: Daemon) -> dict[str, Any]:
        ip = daemon.ip
        platform = {"addr": f"{self._platform_ip}:{PLATFORM}"}
        return {
            "node": f"edge-d1-{daemon.number}",
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": "d1",
            "region": "r1",
            "zones": {"d1": "r1"},
            "listen": {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}"},
            "portRange": [PEER, PEER],
            "seeds": [f"{d.ip}:{CONTROL}" for d in self.daemons[:3]],
            "bootstrap": daemon.starts == 0,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "orders": "call",
            "advice": None,
            "platform": {
                **platform,
                "form": "log",
                "writesPerS": 800,
                "readsPerS": 2000,
                "parts": 12,
                "appendMs": 2.0,
                "partMbS": 20.0,
                "readMbS": 80.0,
                "recordBytes": 262144,
                "requestBytes": 2097152,
                "keep_s": 300,
                "partitionMb": 200,
                "minTtlMs": 1000,
            },
            "cloudApi": {**platform, "ratePerS": 64.0, "duties": [], "dutyPerS": 64.0},
        }

    async def _wait_ready(self) -> None:
        """Wait until each daemon has a configuration and serves the queue.

        :raises CannotRun: one doesn't within 30 s.
        """
        deadline = time.monotonic() + 30
        for daemon in self.daemons:
            while (await self.call("GET", "", daemon=daemon, quiet=True)).status != 200:
                if time.monotonic() > deadline:
                    raise CannotRun(f"daemon {daemon.number} doesn't serve the queue")
                await asyncio.sleep(0.2)
        self.record("all daemons serve the queue")

    async def call(
        self,
        method: str,
        name: str,
        *,
        daemon: Daemon | None = None,
        body: dict[str, Any] | None = None,
        quiet: bool = False,
    ) -> Reply:
        """Send one request as a client does.

        :param name: the job's id, empty for the queue's count.
        :param daemon: which daemon gets it, by default any.
        :param quiet: whether it is left out of the record.
        """
        daemon = daemon or random.choice(self.daemons)
        raw = encode_body(body) if body is not None else b""
        head = f"{method} {PREFIX}{name} HTTP/1.1\r\nHost: {HOST}\r\n"
        head += f"X-Mustardgap-Request-Deadline: {int(DEADLINE_S * 1000)}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(raw)}\r\n\r\n"
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE_S):
                reply = await _exchange(daemon.ip, head.encode() + raw)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as exc:
            reply = Reply(0, {"why": type(exc).__name__})
        if not quiet:
            took_s = time.monotonic() - sent_at
            self.record(
                f"client: {method} {PREFIX}{name} to daemon {daemon.number}"
                f" -> {reply.status} {reply.fields} after {took_s:.3f} s"
            )
        return reply

    async def submit(self, job: str, body: dict[str, Any], *, tries: int = 5) -> Reply:
        """Hand a job in, and again after no answer, 429, 502, 503 or 504, at any daemon."""
        reply = Reply(0, {})
        for _ in range(tries):
            reply = await self.call("POST", job, body=body)
            if 200 <= reply.status < 300:
                return reply
            await asyncio.sleep(0.5)
        return reply

    async def until(
        self, holds: Callable[[], bool | Awaitable[bool]], *, timeout_s: float, what: str
    ) -> None:
        """Wait until something holds.

        :raises CannotRun: it doesn't in time.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            value = holds()
            if await value if isinstance(value, Awaitable) else value:
                return
            if time.monotonic() > deadline:
                raise CannotRun(f"not within {timeout_s} s: {what}")
            await asyncio.sleep(0.05)


async def _exchange(ip: str, raw: bytes) -> Reply:
    reader, writer = await asyncio.open_connection(ip, FRONT)
    try:
        writer.write(raw)
        first, headers = await read_head(reader)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    finally:
        writer.close()
    fields = json.loads(body) if body else {}
    return Reply(int(first.split(" ")[1]), fields)


def configuration(
    version: int, service_by_route: dict[str, str], services: list[str]
) -> dict[str, Any]:
    """The operator's configuration.

    :param service_by_route: the routes; all have the same host and prefix.
    """
    routes = [
        {
            "name": name,
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": service,
            "timeoutMs": 3000,
            "sloMs": 600,
            "priority": 0,
            "maxAttempts": 2,
            "stretch": 1.6,
        }
        for name, service in service_by_route.items()
    ]
    rows = [
        {"name": name, "healthPath": "/healthz", "maxConns": 64, "rejectsOverload": True}
        for name in services
    ]
    return {"version": version, "routes": routes, "services": rows, "limits": LIMITS}


def encode_body(body: dict[str, Any]) -> bytes:
    """Encode the body of a request."""
    return json.dumps(body, separators=(",", ":")).encode()


def free_net(ports: list[int]) -> str:
    """A loopback net of which the first address has these ports free.

    :raises CannotRun: none was found.
    """
    for _ in range(50):
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for last in (1, 100, 200):
                for port in ports:
                    with socket.socket() as sock:
                        sock.bind((f"{net}.{last}", port))
        except OSError:
            continue
        return net
    raise CannotRun("no free loopback net")


def play(case: Callable[[], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    :param case: returns whether the rule was broken.
    """
    try:
        broken = asyncio.run(_limited(case))
    except (CannotRun, OSError, TimeoutError, asyncio.CancelledError) as exc:
        print(f"couldn't run: {exc!r}")
        sys.exit(NOT_RUN)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(RULE_BROKEN if broken else RULE_HELD)


async def _limited(case: Callable[[], Awaitable[bool]]) -> bool:
    task = asyncio.current_task()
    assert task is not None
    # Whoever ends the script early ends all of its processes too.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(115):
        return await case()
