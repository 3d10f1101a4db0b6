"""One fuzzed run from start to verdict: load, schedule, healing, and what must hold after it."""

import hashlib
import json
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from itertools import accumulate
from typing import Any
from urllib.request import urlopen

from mustardgap.executors import LEAVING_TTL_S

from .fuzz_checks import (
    Windows,
    check_configuration,
    check_jobs,
    check_told,
    check_truth,
    check_versions,
)
from .fuzz_fleet import DAEMONS, SERVICES, mix
from .fuzz_schedules import Step
from .fuzz_worlds import World
from .load import Kind, Plan, Stage
from .oracle import Fault
from .processes import Processes, get_json
from .told import Told

COLLECTIONS = ("declarations", "hosts", "jobs", "waves")
LOOK_EVERY_S = 1.0
READY_S = 45.0
SETTLE_S = 90.0
SAME_S = 40.0
SERVING_S = 45.0
AFTER_S = 1.0
HOLD_S = 1.0


class Run:
    """Carries out one schedule and collects the breaches of promises.

    :param processes: starts and ends the processes.
    :param seed: the seed of the load and of the stand-ins' draws.
    """

    def __init__(self, *, processes: Processes, seed: int) -> None:
        self.seed = seed
        self.world = World(processes=processes, seed=seed)
        self.cluster = self.world.cluster
        self.told: list[Told] = []
        self.runs = 0
        self.faults: list[Fault] = []
        self._versions_by_daemon: dict[str, dict[str, int]] = {}
        self._ended = threading.Event()
        self._loads = 0

    def carry_out(self, schedule: list[Step], *, seconds: float, rate: float) -> None:
        """Run it all and judge.

        :raises TimeoutError: something didn't come up, or didn't heal.
        """
        self.world.start()
        load = self._start_load(rate, seconds + 600.0)
        with ThreadPoolExecutor(1) as pool:
            watch = pool.submit(self._watch)
            try:
                self.world.carry_out(schedule, seconds)
                self._heal()
            finally:
                self._ended.set()
            watch.result()
        report = self.cluster.stop_load(load)
        self.told += report.told
        self._check_after()
        self._judge()

    def _start_load(self, rate: float, seconds: float, mixed: list[Kind] | None = None) -> str:
        self._loads += 1
        plan = Plan(
            run=f"f{self.seed}-{self._loads}",
            entries=self.cluster.entries,
            stages=[Stage(rate=rate, seconds=seconds)],
            mix=mixed or mix(),
            seed=self.seed,
        )
        return self.cluster.start_load(plan)

    # While it runs

    def _watch(self) -> None:
        """Look at what daemons and executors show, again and again."""
        while not self._ended.wait(LOOK_EVERY_S):
            for name in DAEMONS:
                with suppress(OSError, ValueError):
                    self._look(name)

    def _look(self, name: str) -> None:
        daemon = self.cluster.daemons_by_name[name]
        with urlopen(f"http://{daemon.operators}/ready", timeout=1.0):
            pass
        with urlopen(f"http://{daemon.operators}/v1/declarations", timeout=1.0) as resp:
            items = json.load(resp)["items"]
        shown = {key: item["version"] for key, item in items.items()}
        self.faults += check_versions(self._versions_by_daemon.get(name, {}), shown, name)
        self._versions_by_daemon[name] = shown

    # Healing

    def _heal(self) -> None:
        self.world.heal()
        self._wait("ready daemons", self._are_ready, READY_S, "not serving")
        self._wait("executors", self._have_executors, READY_S, "not serving")
        self.world.operators.take_drains_back()
        self._wait("end of all waves and jobs", self._is_settled, SETTLE_S, "not ended")

    def _wait(self, what: str, met: Callable[[], str], timeout_s: float, promise: str) -> None:
        """Wait until nothing is missing; what is missing at the end is a breach."""
        deadline = time.monotonic() + timeout_s
        missing = "not looked"
        while time.monotonic() < deadline:
            try:
                missing = met()
            except (OSError, ValueError, KeyError) as exc:
                missing = f"{type(exc).__name__}: {exc}"
            if not missing:
                return
            time.sleep(0.2)
        self.faults.append(Fault(promise, what, f"after {timeout_s:g} s: {missing}"))

    def _are_ready(self) -> str:
        for name, daemon in self.cluster.daemons_by_name.items():
            if not self.cluster.processes.is_running(name):
                return f"{name} has ended"
            with urlopen(f"http://{daemon.operators}/ready", timeout=2.0):
                pass
        return ""

    def _have_executors(self) -> str:
        workers = self.cluster.platform.call("GET", "/workers?since=0")["workers"]
        missing = [
            w["worker"]
            for w in workers
            if w["state"] == "up" and w["pool"] in SERVICES and not w["executors"]
        ]
        return f"no executors on {missing}" if missing else ""

    def _is_settled(self) -> str:
        waves = self._items("waves")
        jobs = self._items("jobs")
        hosts = self._items("hosts")
        open_waves = [f"{n} {w['phase']}" for n, w in waves.items() if w["phase"] != "finished"]
        open_jobs = [f"{n} {j['phase']}" for n, j in jobs.items() if j["phase"] != "ended"]
        open_hosts = [f"{n} {h['phase']}" for n, h in hosts.items() if h["phase"] not in _AT_REST]
        return ", ".join(open_waves + open_jobs + open_hosts)

    def _items(self, collection: str, name: str = "") -> dict[str, Any]:
        daemon = self.cluster.daemons_by_name[name or DAEMONS[0]]
        items: dict[str, Any] = get_json(f"http://{daemon.operators}/v1/{collection}")["items"]
        return items

    # After it

    def _check_after(self) -> None:
        self._wait("same states", self._differ, SAME_S, "states differ")
        self._check_answers()
        self._wait("all slots in use", self._slots_unused, SERVING_S, "not serving")

    def _differ(self) -> str:
        """What differs between the daemons, when they have folded equally far."""
        found = {name: self._digests(name) for name in DAEMONS}
        offsets = {name: digests["offset"] for name, digests in found.items()}
        if "" in offsets.values() or len(set(offsets.values())) > 1:
            return f"offsets {offsets}"
        for collection in COLLECTIONS:
            by_digest: dict[str, list[str]] = {}
            for name, digests in found.items():
                by_digest.setdefault(digests[collection], []).append(name)
            if len(by_digest) > 1:
                return f"{collection} at {offsets}: {list(by_digest.values())}"
        return ""

    def _digests(self, name: str) -> dict[str, str]:
        daemon = self.cluster.daemons_by_name[name]
        bodies = {c: get_json(f"http://{daemon.operators}/v1/{c}") for c in COLLECTIONS}
        offsets = {body["offset"] for body in bodies.values()}
        digests = {c: _digest(body["items"]) for c, body in bodies.items()}
        return {**digests, "offset": str(offsets.pop()) if len(offsets) == 1 else ""}

    def _check_answers(self) -> None:
        """Every request of every kind is answered again."""
        deadline = time.monotonic() + SERVING_S
        while True:
            plain = [Kind(**{**_as_dict(kind), "twice": 0.0, "ask_again": 0}) for kind in mix()]
            report = self.cluster.end_load(self._start_load(40.0, AFTER_S, plain))
            self.told += report.told
            wrong = [one for one in report.told if one.outcome != "answered"]
            if not wrong:
                return
            if time.monotonic() > deadline:
                text = ", ".join(f"{o.outcome} MG{o.code} {o.service}" for o in wrong[:5])
                self.faults.append(Fault("not serving", f"{len(wrong)} requests", text))
                return

    def _slots_unused(self) -> str:
        """Offer more long requests than there are slots, and look whether all are used at once.

        An executor that said it leaves is believed for the time that its word counts, so one that
        takes it back gets nothing before that.
        """
        left = {
            w.on
            for w in self.world.windows
            if w.action == "leaving" and time.time() < w.end + LEAVING_TTL_S
        }
        wanted = {
            name: e["slots"]
            for name, e in self.world.executors.items()
            if e["state"] == "up" and e["worker"] not in left
        }
        rate = sum(wanted.values()) / HOLD_S * 1.3
        kinds = [
            Kind(service=s, path=f"/{s}/hold", weight=self._share(s), timeout_s=8.0)
            for s in SERVICES
        ]
        for control in self.cluster.controls_by_name.values():
            control.fault("slow", seconds=HOLD_S)
        load = self._start_load(rate, 3 * HOLD_S, kinds)
        self.told += self.cluster.end_load(load).told
        for control in self.cluster.controls_by_name.values():
            control.clear()
        most = most_at_once(self.cluster.runs(), f"load=f{self.seed}-{self._loads}-")
        unused = {n: f"{most.get(n, 0)} of {s}" for n, s in wanted.items() if most.get(n, 0) < s}
        return f"used at most {unused}" if unused else ""

    def _share(self, service: str) -> float:
        return sum(e["service"] == service for e in self.world.executors.values()) or 1.0

    def _judge(self) -> None:
        self.cluster.settle()
        names = {d.callers: n for n, d in self.cluster.daemons_by_name.items()}
        windows = Windows(self.world.windows, names)
        truth = self.cluster.platform.truth()
        runs = self.cluster.runs()
        self.runs = len(runs)
        executors = self.world.executors
        shown = {name: self._items("declarations", name) for name in DAEMONS}
        self.faults += [Fault("process ended", text, "by itself") for text in self.world.ended]
        self.faults += check_told(self.told, runs, windows)
        self.faults += check_truth(truth, executors, windows, since=self.world.in_force)
        self.faults += check_jobs(truth, self.world.operators.jobs)
        self.faults += check_configuration(self.world.operators.attempts, shown)


def most_at_once(runs: Iterable[Mapping[str, Any]], mark: str) -> dict[str, int]:
    """The most requests that ran at once, by executor.

    :param mark: what the path of the requests that are counted holds.
    """
    changes_by_executor: defaultdict[str, list[tuple[float, int]]] = defaultdict(list)
    for run in runs:
        if mark in run["path"]:
            changes_by_executor[run["executor"]] += [(run["start"], 1), (run["end"], -1)]
    return {
        executor: max(accumulate(step for _, step in sorted(changes)))
        for executor, changes in changes_by_executor.items()
    }


_AT_REST = ("in_service", "drained", "set_aside")


def _digest(value: Any) -> str:
    return hashlib.sha256(json.dumps(value, sort_keys=True).encode()).hexdigest()


def _as_dict(kind: Kind) -> dict[str, Any]:
    return {field: getattr(kind, field) for field in kind.__struct_fields__}
