"""The records of one ordinary day of a fleet, accepted by the real fold, for benchmarks."""

import random
from collections.abc import Iterator
from typing import Any

from mustardgap import records
from mustardgap.folds import State, fold
from mustardgap.models import HostFacts, LogRecord
from mustardgap.outcomes import Accepted

DAY_S = 86_400.0
FULL_HOSTS = 8900
FULL_POOLS = 130
FULL_TEAMS = 42
FULL_CHANGES = 16_000
FULL_FAILURES = 120
FULL_RESTARTS = 820
FULL_JOBS = 5000
RACK_HOSTS = 20
DATA_CENTERS = 7
HOST_STEPS = ("draining", "drained", "rebooting", "in_service")
PROFILES = 12


class Day:
    """A fleet and the records of one day; all shares grow with the number of hosts.

    :param hosts: how many hosts.
    :param seed: the seed of the order.
    """

    def __init__(self, *, hosts: int, seed: int = 1) -> None:
        self.hosts = hosts
        self.share = hosts / FULL_HOSTS
        self.pools = max(5, round(FULL_POOLS * self.share))
        self.teams = max(5, round(FULL_TEAMS * self.share))
        self.state = State()
        self.log: list[LogRecord] = []
        self._random = random.Random(seed)
        self._set_up()
        self.set_up_records = len(self.log)
        for bodies in self._shuffled():
            for kind, body in bodies:
                self._append(kind, body)

    def _append(self, kind: str, body: dict[str, Any]) -> None:
        offset = len(self.log)
        now = 1_000_000.0 + offset * DAY_S / (40_000 * self.share)
        value = records.make(
            kind, _on_current(self.state, kind, body), writer="entry-1", seen=offset, time=now
        )
        self.log.append(LogRecord(offset, now, dict(value)))
        verdict = fold(self.state, self.log[-1])
        if not isinstance(verdict, Accepted):
            raise ValueError(f"{body}: {verdict}")

    def _set_up(self) -> None:
        values: dict[str, Any] = {f"team/t{n}": _team(1000) for n in range(self.teams)}
        values |= {f"profile/p{n}": _profile(n) for n in range(PROFILES)}
        for n in range(self.pools):
            team = f"t{n % self.teams}"
            values[f"service/s{n}"] = {"profile": f"p{n % 12}", "team": team, "path": f"/s{n}"}
            values[f"pool/s{n}"] = {"service": f"s{n}", "min_hosts": 2, "max_hosts": 500}
        self._append("config", {"values": values})
        for n in range(self.hosts):
            rack = n // RACK_HOSTS
            facts = HostFacts(
                rack=f"r{rack}",
                data_center=f"d{rack % DATA_CENTERS}",
                cores=64.0,
                memory_gb=256.0,
                accelerators=n % 2,
            )
            body = {"phase": "in_service", "pool": f"s{n % self.pools}", "facts": facts}
            self._append("host", {"host": f"w{n:05}", "reason": "registered", **body})

    def _shuffled(self) -> list[Iterator[tuple[str, dict[str, Any]]]]:
        lives = [self._change(n) for n in range(round(FULL_CHANGES * self.share))]
        lives += [self._failure(n) for n in range(round(FULL_FAILURES * self.share))]
        lives += [self._restart(n) for n in range(round(FULL_RESTARTS * self.share))]
        lives += [self._job(n) for n in range(round(FULL_JOBS * self.share))]
        self._random.shuffle(lives)
        return lives

    def _change(self, number: int) -> Iterator[tuple[str, dict[str, Any]]]:
        if number % 4:
            yield "config", {"values": {f"team/t{number % self.teams}": _team(1000 + number)}}
        else:
            yield "config", {"values": {f"profile/p{number % 12}": _profile(number)}}

    def _failure(self, number: int) -> Iterator[tuple[str, dict[str, Any]]]:
        host = self.state.hosts_by_name[f"w{(number * 71) % self.hosts:05}"]
        for phase in ("failed", "rebooting", "in_service"):
            yield "host", _host_step(host, phase, "power lost")

    def _restart(self, number: int) -> Iterator[tuple[str, dict[str, Any]]]:
        host = self.state.hosts_by_name[f"w{(number * 10 + 3) % self.hosts:05}"]
        for phase in HOST_STEPS:
            yield "host", _host_step(host, phase, "wave 2026-12-02")

    def _job(self, number: int) -> Iterator[tuple[str, dict[str, Any]]]:
        name = f"job-{number}"
        sizes = {"cores": 2.0, "memory_gb": 8.0, "accelerators": 0, "run_s": 600.0}
        spec = {"team": f"t{number % self.teams}", "urgency": 5, "idempotent": True, **sizes}
        worker = f"w{(number * 13) % self.hosts:05}"
        yield "job", {"job": name, "step": "submit", "spec": spec}
        yield "job", {"job": name, "step": "place", "worker": worker}
        yield "job", {"job": name, "step": "start"}
        yield "job", {"job": name, "step": "end", "code": 4006, "result": "done"}


def _on_current(state: State, kind: str, body: dict[str, Any]) -> dict[str, Any]:
    """The body with the versions in force as its bases."""
    if kind == "config":
        declared = state.declarations_by_key
        changes = [
            {"key": key, "base": declared[key].version if key in declared else -1, "value": value}
            for key, value in body["values"].items()
        ]
        return {"changes": changes}
    known: Any = state.hosts_by_name if kind == "host" else state.jobs_by_id
    current = known.get(body[kind])
    return {**body, "base": current["epoch"] if current else 0}


def _host_step(host: Any, phase: str, reason: str) -> dict[str, Any]:
    return {"host": host["host"], "phase": phase, "pool": host["pool"], "reason": reason}


def _team(cores: int) -> dict[str, Any]:
    return {"max_cores": 1000 + cores, "max_memory_gb": 1e6, "max_jobs": 10_000}


def _profile(number: int) -> dict[str, Any]:
    return {
        "room": {"max_hosts": 500},
        "availability": {"min_hosts": 2, "survive": "rack"},
        "disruption": {
            "steps": ["throttle", "checkpoint", "stop"],
            "warning_s": 30.0 + number % 100,
            "drain_s": 300.0,
            "idempotent": True,
        },
        "urgency": number % 10,
        "limits": {
            "timeout_s": 10.0,
            "max_wait_s": 5.0,
            "max_body_bytes": 1048576,
            "idempotent_methods": ["GET", "HEAD"],
        },
    }
