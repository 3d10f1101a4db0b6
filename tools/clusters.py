"""A whole system of separate processes: platform, executors and daemons, with settings files."""

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from mustardgap.settings import read_json
from standins.controls import Control

from .load import Plan, Report, read_report
from .processes import ROOT, Processes, free_ports, get_json, wait_http

FLEETS = ROOT / "standins" / "fleets"
CLI_TIMEOUT_S = 150.0
READY_TIMEOUT_S = 120.0
DATA_CENTERS = ("kochi-a", "kochi-b", "kochi-c")


class Daemon:
    """One ``mustardgapd`` of a cluster: its name, its ports and its settings file."""

    def __init__(self, *, name: str, ports: list[int], settings: Path) -> None:
        self.name = name
        self.callers, self.operators, self.peers = (f"127.0.0.1:{port}" for port in ports)
        self.settings = settings


class Cluster:
    """The processes of one run and the files that they read.

    :param processes: starts and ends the processes.
    :param fleet: the name of a fleet file of the stand-ins, or a fleet itself.
    :param daemons: how many daemons there are at the start.
    :param executors: settings of the executors processes, beside what is set here.
    :param executor_processes: over how many processes the workers are spread.
    :param platform: settings of the platform, beside its fleet.
    :param platform_ports: on how many ports it listens, so that faults can strike one daemon.
    :param daemon: settings of all daemons, merged over what is set here.
    """

    def __init__(
        self,
        *,
        processes: Processes,
        fleet: str | dict[str, Any] = "thekkady",
        daemons: int = 3,
        executors: dict[str, Any] | None = None,
        executor_processes: int = 1,
        platform: dict[str, Any] | None = None,
        platform_ports: int = 1,
        daemon: dict[str, Any] | None = None,
    ) -> None:
        self.processes = processes
        self.folder = processes.folder
        self.fleet = str(FLEETS / f"{fleet}.json") if isinstance(fleet, str) else fleet
        self.executors_settings = executors or {}
        self.platform_settings = platform or {}
        self.daemon_settings = daemon or {}
        self.daemons_by_name: dict[str, Daemon] = {}
        self.controls_by_name: dict[str, Control] = {}
        self.platform_ports = free_ports(platform_ports)
        self.platform = Control(address=f"127.0.0.1:{self.platform_ports[0]}")
        self._count = daemons
        self._workers_by_process = self._spread(executor_processes)
        self._loads = 0

    # Starting

    def start(self) -> None:
        """Start everything and wait until the executors are up and the daemons run."""
        self.start_platform()
        for name in self._workers_by_process:
            self.start_executors(name)
        for i in range(self._count):
            self.start_daemon(f"e{i + 1}")
        self.wait_executors()
        self.wait_live()

    def start_platform(self) -> None:
        """Start the platform and wait for it."""
        path = self._write("platform", {"fleet": self.fleet, **self.platform_settings})
        ports = [word for port in self.platform_ports for word in ("--port", str(port))]
        self.processes.start("platform", "standins.platforms", *ports, "--settings", str(path))
        wait_http(f"http://{self.platform.address}/workers")

    def start_executors(self, name: str) -> None:
        """Start one executors process, also again after it was killed."""
        if name not in self.controls_by_name:
            self.controls_by_name[name] = Control(address=f"127.0.0.1:{free_ports(1)[0]}")
        settings = {
            "platform": self.platform.address,
            "workers": self._workers_by_process[name],
            "runs_file": str(self.folder / f"{name}.runs"),
            **self.executors_settings,
        }
        port = _port(self.controls_by_name[name].address)
        path = self._write(name, settings)
        self.processes.start(name, "standins.executors", "--port", port, "--settings", str(path))

    def start_daemon(self, name: str, **settings: Any) -> Daemon:
        """Start a daemon; one that is started again under its name keeps its ports.

        :param settings: settings merged over those of all daemons.
        """
        daemon = self.daemons_by_name.get(name)
        if daemon is None:
            daemon = Daemon(name=name, ports=free_ports(3), settings=self.folder / f"{name}.json")
            self.daemons_by_name[name] = daemon
        base = self._settings_of(daemon)
        self._write(name, merged(merged(base, self.daemon_settings), settings))
        self.processes.start(name, "mustardgap.daemons", "--settings", str(daemon.settings))
        return daemon

    def _settings_of(self, daemon: Daemon) -> dict[str, Any]:
        number = list(self.daemons_by_name).index(daemon.name)
        ports = {
            part: {"port": int(_port(getattr(daemon, part)))}
            for part in ("callers", "operators", "peers")
        }
        return {
            "host": daemon.name,
            "data_center": DATA_CENTERS[number % len(DATA_CENTERS)],
            "platform": {"address": self.platform.address},
            **ports,
        }

    def _write(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        return path

    def _spread(self, count: int) -> dict[str, list[str]]:
        fleet = read_json(self.fleet) if isinstance(self.fleet, str) else self.fleet
        racks = [rack for center in fleet["data_centers"] for rack in center["racks"]]
        names = [worker["worker"] for rack in racks for worker in rack["workers"]]
        return {f"x{i + 1}": names[i::count] for i in range(count)}

    # Waiting

    def wait(self, what: str, met: Callable[[], bool], *, timeout_s: float = 120.0) -> None:
        """Wait until a condition is met.

        :raises TimeoutError: it wasn't in time.
        """
        deadline = time.monotonic() + timeout_s
        while not met():
            if time.monotonic() > deadline:
                raise TimeoutError(f"no {what} within {timeout_s:g} s")
            time.sleep(0.1)

    def wait_executors(self) -> None:
        """Wait until each worker in a pool with a service has its executor."""
        self.wait("executors", self._has_executors)

    def _has_executors(self) -> bool:
        workers = self.platform.call("GET", "/workers?since=0")["workers"]
        pools = {w["pool"] for w in workers if w["executors"]}
        return bool(pools) and all(w["executors"] for w in workers if w["pool"] in pools)

    def wait_live(self, *names: str) -> None:
        """Wait until daemons answer on their operators' port."""
        self._wait_daemons("operators", "/live", names)

    def wait_ready(self, *names: str) -> None:
        """Wait until the balancer would send requests to daemons."""
        self._wait_daemons("callers", "/-/ready", names)

    def _wait_daemons(self, part: str, path: str, names: tuple[str, ...]) -> None:
        for name in names or tuple(self.daemons_by_name):
            url = f"http://{getattr(self.daemons_by_name[name], part)}{path}"
            is_running = partial(self.processes.is_running, name)
            wait_http(url, timeout_s=READY_TIMEOUT_S, running=is_running)

    # Using

    @property
    def entries(self) -> list[str]:
        """The callers' addresses of all daemons."""
        return [daemon.callers for daemon in self.daemons_by_name.values()]

    def cli(self, *args: str, entry: str = "", check: bool = True) -> subprocess.CompletedProcess:
        """Run the command-line tool against one daemon, or all in turn.

        :raises RuntimeError: it ended with another status than 0, when ``check`` is set.
        """
        done = subprocess.run(
            self.cli_command(*args, entry=entry),
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=CLI_TIMEOUT_S,
            check=False,
        )
        if check and done.returncode:
            text = f"mustardgap {' '.join(args)}: status {done.returncode}"
            raise RuntimeError(f"{text}\n{done.stdout}{done.stderr}")
        return done

    def cli_command(self, *args: str, entry: str = "") -> list[str]:
        """The words that run the command-line tool against one daemon, or all in turn."""
        daemons = [self.daemons_by_name[entry]] if entry else list(self.daemons_by_name.values())
        entries = [word for daemon in daemons for word in ("--entry", daemon.operators)]
        return [sys.executable, "-m", "mustardgap", *entries, *args]

    def show(self, *args: str, entry: str = "") -> Any:
        """Run the command-line tool and decode its JSON."""
        return json.loads(self.cli("--output", "json", *args, entry=entry).stdout)

    def get(self, name: str, path: str) -> Any:
        """Get a view of a daemon's on its operators' port."""
        return get_json(f"http://{self.daemons_by_name[name].operators}{path}")

    def apply(self, folder: str | Path, *, entry: str = "") -> str:
        """Publish declarations and wait until they are in force everywhere."""
        return self.cli("apply", str(folder), "--wait", entry=entry).stdout

    def start_load(self, plan: Plan) -> str:
        """Start a load generator in a process of its own.

        :return: its name, for ``end_load``.
        """
        self._loads += 1
        name = f"load{self._loads}"
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(plan))
        self.processes.start(
            name, "tools.load", "--plan", str(path), "--out", str(self.folder / f"{name}.out")
        )
        return name

    def stop_load(self, name: str) -> Report:
        """Let a load generator send nothing more and read its report."""
        self.processes.signal(name, signal.SIGTERM)
        return self.end_load(name)

    def end_load(self, name: str, *, timeout_s: float = 300.0) -> Report:
        """Wait for a load generator's end and read its report."""
        status = self.processes.by_name[name].wait(timeout=timeout_s)
        if status:
            raise RuntimeError(f"{name} ended with {status}:\n{self.processes.output(name)}")
        return read_report(self.folder / f"{name}.out")

    def settle(self) -> None:
        """Wait until no executor has anything left to run."""
        self.wait("quiet executors", self._is_quiet)

    def _is_quiet(self) -> bool:
        return not any(e["running"] or e["in_hand"] for e in self.executors_state().values())

    def runs(self) -> list[dict[str, Any]]:
        """What all executors really ran; also of executors processes that were killed."""
        found = []
        for name in self.controls_by_name:
            path = self.folder / f"{name}.runs"
            lines = path.read_bytes().splitlines() if path.exists() else []
            found += [msgspec.json.decode(line) for line in lines]
        return found

    def executors_state(self) -> dict[str, dict[str, Any]]:
        """The state of each executor, by its name."""
        return {k: v for c in self.controls_by_name.values() for k, v in c.state().items()}


def _port(address: str) -> str:
    return address.rpartition(":")[2]


def merged(base: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    """Merge maps, section by section."""
    both = dict(base)
    for key, value in over.items():
        old = both.get(key)
        is_section = isinstance(old, dict) and isinstance(value, dict)
        both[key] = merged(base[key], value) if is_section else value
    return both
