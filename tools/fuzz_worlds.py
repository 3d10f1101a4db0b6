"""The processes of one fuzzed run, and the steps of a schedule carried out on them."""

import json
import signal
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Any, NamedTuple
from urllib.error import URLError

from standins.controls import Control

from .clusters import Cluster
from .fuzz_fleet import DAEMONS, declared, fleet
from .fuzz_operators import ACTIONS, Operators
from .fuzz_schedules import Step
from .processes import Processes

MAX_STEPS_AT_ONCE = 24
OWN_WAY = "e4"
CONTROL_ERRORS = (URLError, OSError, ValueError, KeyError)
# The slots of a daemon that was killed are kept back for the lease and the longest time that a
# request may ask for; a shorter one lets a run see them come back.
_SETTINGS = {
    "callers": {"max_timeout_s": 12.0},
    "capacity": {"host_failed_s": 4.0, "lease_s": 6.0, "return_timeout_s": 20.0},
    "platform": {"checkpoint_records": 120},
    "stop_timeout_s": 15.0,
    "verbosity": 0,
}


class Window(NamedTuple):
    """A time in which something was broken on purpose; ``on`` is a daemon's name or a pattern."""

    action: str
    on: str
    start: float
    end: float


class World:
    """One run's processes, and what was done to them.

    :param processes: starts and ends the processes.
    :param seed: the seed of the stand-ins' own draws.
    """

    def __init__(self, *, processes: Processes, seed: int) -> None:
        self.processes = processes
        self.cluster = Cluster(
            processes=processes,
            fleet=fleet(),
            daemons=0,
            executor_processes=2,
            executors={"run_time": {"distribution": "exponential", "mean_s": 0.03}, "seed": seed},
            platform={
                "workers": {"reboot_s": 0.5},
                "hosts": {"lag_s": 1.0, "expire_s": 8.0},
                "seed": seed,
            },
            platform_ports=2,
            daemon=_SETTINGS,
        )
        self.windows: list[Window] = []
        self.operators = Operators(cluster=self.cluster)
        self.ended: list[str] = []
        self.in_force = 0.0
        self.notes: list[str] = []
        self._lock_by_target = {name: threading.Lock() for name in (*DAEMONS, "x1", "x2")}

    # Starting

    def start(self, *, apply_after_s: float = 0.0) -> None:
        """Start everything and put the declarations in force.

        :param apply_after_s: seconds from the daemons' start to the first declarations.
        """
        self.cluster.start()
        for name in DAEMONS:
            self.start_daemon(name)
        self.cluster.wait_live()
        time.sleep(apply_after_s)
        folder = self.cluster.folder / "declarations"
        folder.mkdir(exist_ok=True)
        (folder / "all.json").write_text(json.dumps(declared()), encoding="utf-8")
        self.cluster.apply(folder)
        self.cluster.wait_ready()
        self.in_force = time.time()

    def start_daemon(self, name: str) -> None:
        """Start a daemon; the last one has a way of its own to the platform."""
        own = {"platform": {"address": f"127.0.0.1:{self.cluster.platform_ports[1]}"}}
        self.cluster.start_daemon(name, **(own if name == OWN_WAY else {}))

    # Carrying out

    def carry_out(self, schedule: list[Step], seconds: float) -> None:
        """Carry out all steps at their times, together and overlapping."""
        started = time.monotonic()
        with ThreadPoolExecutor(MAX_STEPS_AT_ONCE) as pool:
            for step in schedule:
                time.sleep(max(0.0, started + step.at_s - time.monotonic()))
                pool.submit(self._carry_out, step)
            time.sleep(max(0.0, started + seconds - time.monotonic()))

    def _carry_out(self, step: Step) -> None:
        begun = time.time()
        lock = self._lock_by_target.get(step.on)
        if lock is not None and not lock.acquire(blocking=False):
            self._note(step, begun, "left out: busy")
            return
        said = "done"
        try:
            said = self._act(step) or said
        except Exception as exc:  # Steps strike a system that is broken: what fails is noted.
            said = f"{type(exc).__name__}: {exc}"
        finally:
            if lock is not None:
                lock.release()
            self.windows.append(Window(step.action, step.on, begun, time.time()))
            self._note(step, begun, said)

    def _act(self, step: Step) -> str | None:
        action: Callable[[Step], str | None] | None = getattr(self, f"_{step.action}", None)
        if action is not None:
            return action(step)
        if step.action in ACTIONS:
            return self.operators.act(step)
        if step.action.startswith("calls_"):
            self._strike(step, step.action.removeprefix("calls_"))
        else:
            self._strike_executors(step)
        return None

    def _note(self, step: Step, begun: float, said: str) -> None:
        self.notes.append(f"{begun:.2f}-{time.time():.2f} {step.action} {step.on}: {said[:160]}")

    # Daemons

    def _check_runs(self, name: str) -> None:
        if not self.processes.is_running(name):
            self.ended.append(f"{name} with {self.processes.by_name[name].poll()}")

    def _daemon_kill(self, step: Step) -> None:
        self._check_runs(step.on)
        self.processes.kill(step.on)
        time.sleep(step.for_s)
        self.start_daemon(step.on)

    def _daemon_freeze(self, step: Step) -> None:
        self._check_runs(step.on)
        self._freeze(step)

    def _freeze(self, step: Step) -> None:
        self.processes.freeze(step.on)
        time.sleep(step.for_s)
        self.processes.wake(step.on)

    def _daemon_stop(self, step: Step) -> str:
        self._check_runs(step.on)
        status = self.processes.stop(step.on)
        # One that has just been started may not have come to the point of taking the signal.
        if status not in (0, -signal.SIGTERM):
            self.ended.append(f"{step.on} with {status} when it was asked to stop")
        time.sleep(step.for_s)
        self.start_daemon(step.on)
        return f"status {status}"

    # Executors

    def _executors_kill(self, step: Step) -> None:
        self.processes.kill(step.on)
        time.sleep(step.for_s)
        self.cluster.start_executors(step.on)

    def _executors_kill_after_run(self, step: Step) -> None:
        control = self.cluster.controls_by_name[step.on]
        control.fault("kill_after_run", count=1)
        end = time.monotonic() + step.for_s
        while time.monotonic() < end and self.processes.is_running(step.on):
            time.sleep(0.05)
        if self.processes.is_running(step.on):
            control.clear("kill_after_run")
        time.sleep(0.3)
        if not self.processes.is_running(step.on):
            self.cluster.start_executors(step.on)

    def _executors_freeze(self, step: Step) -> None:
        self._freeze(step)

    def _strike_executors(self, step: Step) -> None:
        fields: dict[str, Any] = {"ratio": step.number}
        if step.action in ("slow", "late"):
            fields = {"seconds": step.number}
        elif step.action == "short":
            fields = {"at_byte": int(step.number)}
        elif step.action in ("silent", "leaving"):
            fields = {}
        for control in self.cluster.controls_by_name.values():
            with suppress(*CONTROL_ERRORS):
                control.fault(step.action, on=step.on, **fields)
        time.sleep(step.for_s)
        for control in self.cluster.controls_by_name.values():
            with suppress(*CONTROL_ERRORS):
                control.clear(step.action, step.on)

    # The platform

    def _strike(self, step: Step, fault: str, **fields: Any) -> None:
        if fault in ("down", "lost", "doubled") and step.number:
            fields["ratio"] = step.number
        if fault == "slow":
            fields["seconds"] = step.number
        if fault in ("lost", "doubled"):
            fields["method"] = "POST"
        self.cluster.platform.fault(fault, on=step.on or "*", **fields)
        time.sleep(step.for_s)
        self.cluster.platform.clear(fault, step.on or "*")

    def _way_silent(self, step: Step) -> None:
        self._strike(step, "silent", port=self.cluster.platform_ports[1])

    def _way_down(self, step: Step) -> None:
        self._strike(step._replace(number=0), "down", port=self.cluster.platform_ports[1])

    def _log_expired(self, step: Step) -> None:
        self.cluster.platform.fault("expired", on=step.on, count=int(step.number))

    def _hosts_lag(self, step: Step) -> None:
        self._strike(step, "lag", seconds=step.number)

    def _host_removed(self, step: Step) -> None:
        self.cluster.platform.fault("host_removed", on=step.on)

    def _paused(self, step: Step) -> None:
        self._strike(step, "paused")

    def _power_off(self, step: Step) -> None:
        self._strike(step, "power_off")

    def _never_drains(self, step: Step) -> None:
        self._strike(step, "never_drains")

    def _never_returns(self, step: Step) -> None:
        self._strike(step, "never_returns")

    def _host_leaving(self, step: Step) -> None:
        self._strike(step, "host_leaving")

    # Healing

    def heal(self) -> None:
        """End every fault and let every process run again.

        No step is under way, so a daemon that doesn't run has ended by itself.
        """
        self.cluster.platform.clear()
        for name in DAEMONS:
            self._check_runs(name)
        for name in (*DAEMONS, "x1", "x2"):
            if self.processes.is_running(name):
                self.processes.wake(name)
            elif name in DAEMONS:
                self.start_daemon(name)
            else:
                self.cluster.start_executors(name)
        for control in self.cluster.controls_by_name.values():
            _clear(control)

    @property
    def executors(self) -> dict[str, dict[str, Any]]:
        """The state of all executors that can be asked."""
        found: dict[str, dict[str, Any]] = {}
        for control in self.cluster.controls_by_name.values():
            with suppress(*CONTROL_ERRORS):
                found |= control.state()
        return found


def _clear(control: Control) -> None:
    for _ in range(50):
        with suppress(*CONTROL_ERRORS):
            control.clear()
            return
        time.sleep(0.2)
