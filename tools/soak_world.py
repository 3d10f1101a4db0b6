"""The real processes of a soak: daemons on the platform's stand-in, with links between."""

import asyncio
import json
import signal
import time
from pathlib import Path
from urllib.request import Request, urlopen

import msgspec

from .links import Link
from .processes import Processes, free_ports, get_json, wait_http
from .wire_platform import History, process_settings

HOST = "stairs.example"
EXECUTORS = 4
# By then an interpreter runs the daemon's own code, if it is to run at all.
BEGUN_S = 10.0
# A daemon that is asked to stop lingers for the balancer's sake, and leaves within the grace.
GRACE_S = 10.0
PLATFORM = "platform"
CALL_S = 5.0


class SoakWorld:
    """Daemons, the platform's stand-in, and the links between them.

    :param folder: where settings and logs are written.
    :param daemons: how many daemons.
    :param small: how many of them say that their hosts are small.
    """

    def __init__(self, *, folder: Path, daemons: int, small: int) -> None:
        self.processes = Processes(folder=folder)
        self.names = [f"e{number}" for number in range(1, daemons + 1)]
        self.links: dict[str, Link] = {}
        # By daemon and executor's number; each leads to the executor's link for all daemons.
        self.executor_links: dict[tuple[str, int], Link] = {}
        self.frozen: set[str] = set()
        self.beginning: set[str] = set()
        self.busy: set[str] = set()
        # What the processes did that they mustn't.
        self.found: list[str] = []
        self._folder = folder
        self._small = set(self.names[daemons - small :])
        self._ports: dict[str, int] = {}
        self._store_port, self._announced = self._choose_ports()

    def _choose_ports(self) -> tuple[int, int]:
        """Ports for all; the stand-in and its links need rows of neighbours."""
        ports = sorted(free_ports(240))
        rows = [
            ports[n]
            for n in range(0, len(ports) - EXECUTORS)
            if ports[n + EXECUTORS] == ports[n] + EXECUTORS
        ]
        store = rows[0]
        announced = next(port for port in rows if port > store + EXECUTORS)
        rest = iter(port for port in ports if port > announced + EXECUTORS)
        for name in self.names:
            for kind in ("front", "ready", "metrics", "peer", "front link", "store link"):
                self._ports[f"{kind} {name}"] = next(rest)
        return store, announced

    async def start(self) -> None:
        """Start everything, and wait until all daemons are ready."""
        self.processes.start(
            PLATFORM,
            "tools.wire_platform",
            f"--port={self._store_port}",
            f"--executors={EXECUTORS}",
            f"--announce={self._announced}",
        )
        await asyncio.to_thread(wait_http, self._store_url("record"))
        for name in self.names:
            self._add(f"front {name}", f"front link {name}", self._ports[f"front {name}"])
            self._add(f"store {name}", f"store link {name}", self._store_port, self._ip(name))
        for number in range(1, EXECUTORS + 1):
            link = Link(port=self._announced + number, target=self._store_port + number)
            self.links[f"executor x{number}"] = link
            for name in self.names:
                own = Link(port=link.port, target=link.port, ip=self._ip(name))
                self.executor_links[name, number] = own
        for link in self._all_links():
            await link.open()
        for name in self.names:
            self.start_daemon(name)
        for name in self.names:
            await asyncio.to_thread(wait_http, self._ready_url(name))

    def _add(self, name: str, port: str, target: int, source: str | None = None) -> None:
        self.links[name] = Link(port=self._ports[port], target=target, source=source)

    def _all_links(self) -> list[Link]:
        return [*self.links.values(), *self.executor_links.values()]

    def _ip(self, name: str) -> str:
        """The address by which the platform tells a daemon, and at which it sees executors."""
        return f"127.0.1.{self.names.index(name) + 1}"

    def start_daemon(self, name: str) -> None:
        """Start a daemon's process."""
        file = self._folder / f"{name}.json"
        file.write_text(json.dumps(self._settings(name)))
        variables = {
            "MUSTARDGAP_CONFIG": str(file),
            "MUSTARDGAP_METRICS_PORT": str(self._ports[f"metrics {name}"]),
        }
        self.processes.start(name, "mustardgap.platform", variables=variables)

    async def wait_begun(self, name: str) -> None:
        """Wait until a daemon's own code runs; earlier signals are the interpreter's to take."""
        self.beginning.add(name)
        await asyncio.to_thread(self._wait_begun, name)
        self.beginning.discard(name)

    def _wait_begun(self, name: str) -> None:
        process = self.processes.by_name[name]
        maps = Path(f"/proc/{process.pid}/maps")
        until = time.monotonic() + BEGUN_S
        while process.poll() is None and "cygrpc" not in maps.read_text():
            if time.monotonic() > until:
                raise TimeoutError(f"{name} hasn't begun")
            time.sleep(0.01)

    def _settings(self, name: str) -> dict[str, object]:
        fields = process_settings(
            host=name,
            front=self._ports[f"front {name}"],
            ready=self._ports[f"ready {name}"],
            peer=self._ports[f"peer {name}"],
            store=self._ports[f"store link {name}"],
            status_s=600,
        )
        cores = 0.5 if name in self._small else 1.0
        return {**fields, "limits": {"cpuShare": cores, "cores": 1}}

    def entry_port(self, name: str) -> int:
        """Where callers reach a daemon."""
        return self._ports[f"front link {name}"]

    def is_up(self, name: str) -> bool:
        """Whether a daemon's own code runs and isn't frozen."""
        if name in self.frozen or name in self.beginning:
            return False
        return self.processes.is_running(name)

    def kill(self, name: str) -> None:
        """Kill a daemon."""
        self.processes.kill(name)

    async def stop(self, name: str) -> int:
        """Ask a daemon to stop.

        :return: its exit status.
        """
        return await asyncio.to_thread(self.processes.stop, name, GRACE_S)

    async def stop_gracefully(self, name: str) -> None:
        """Ask a daemon to stop that nothing else is done to; it must end with status 0."""
        status = await self.stop(name)
        if status:
            self.found.append(f"{name} ended with status {status}")

    async def freeze(self, name: str, seconds: float) -> None:
        """Let a daemon stand still for some time."""
        self.frozen.add(name)
        self.processes.freeze(name)
        await asyncio.sleep(seconds)
        self.processes.wake(name)
        self.frozen.discard(name)

    def reload(self, name: str) -> None:
        """Tell a daemon that its settings file has changed."""
        self.processes.signal(name, signal.SIGHUP)

    async def control(self, **fields: object) -> None:
        """Switch faults of the store on or off."""
        await asyncio.to_thread(self._post_control, fields)

    def _post_control(self, fields: dict[str, object]) -> None:
        request = Request(self._store_url("control"), json.dumps(fields).encode(), method="POST")
        urlopen(request, timeout=CALL_S).close()

    async def owner(self) -> str:
        """The daemon that owns the jobs by the store; empty if none does."""
        return str(await asyncio.to_thread(get_json, self._store_url("owner")))

    async def history(self) -> History:
        """What the executors truly did so far."""
        rows = await asyncio.to_thread(get_json, self._store_url("history"))
        return msgspec.convert(rows, History)

    def close(self) -> None:
        """End all that was started, by process id."""
        for link in self._all_links():
            link.close()
        self.processes.stop_all()

    def _store_url(self, path: str) -> str:
        return f"http://127.0.0.1:{self._store_port}/{path}"

    def _ready_url(self, name: str) -> str:
        return f"http://127.0.0.1:{self._ports[f'ready {name}']}/mustardgap/ready"
