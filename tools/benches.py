"""What the request benchmarks share: one service on six executors, and the naive way beside it."""

import json
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from .clusters import Cluster
from .load import Kind, Plan, Report, Stage
from .processes import Processes, free_ports, wait_http

SERVICE = "bench"
SLOTS = 8
EXECUTORS = 6
TIMEOUT_S = 3.0


def fleet(workers: int = EXECUTORS, *, spare: int = 2) -> dict[str, Any]:
    """A fleet with one pool, two workers of it to a rack, spread over three data centers."""
    centers = []
    for i in range(3):
        names = [f"w{j}" for j in range(i, workers, 3)]
        racks = [
            {
                "rack": f"dc{i}-r{j}",
                "workers": [{"worker": name, "pool": SERVICE} for name in names[j * 2 : j * 2 + 2]],
            }
            for j in range((len(names) + 1) // 2)
        ]
        spares = [{"worker": f"s{j}"} for j in range(i, spare, 3)]
        racks.append({"rack": f"dc{i}-spare", "workers": spares})
        centers.append({"data_center": f"dc{i}", "racks": racks})
    return {
        "worker": {"cores": 32, "memory_gb": 64, "accelerators": 0},
        "services_by_pool": {SERVICE: SERVICE},
        "data_centers": centers,
    }


def declared(*, max_wait_s: float = 2.0, min_hosts: int = 3) -> dict[str, Any]:
    """Declarations of the one service."""
    return {
        "profiles": {
            SERVICE: {
                "room": {"max_hosts": 20},
                "availability": {"min_hosts": min_hosts, "survive": "host"},
                "disruption": {"steps": [], "warning_s": 0, "drain_s": 60, "idempotent": False},
                "urgency": 1,
                "limits": {
                    "timeout_s": 10,
                    "max_wait_s": max_wait_s,
                    "max_body_bytes": 8_388_608,
                    "idempotent_methods": ["GET", "HEAD", "PUT", "DELETE"],
                },
            }
        },
        "services": {SERVICE: {"profile": SERVICE, "team": SERVICE, "path": f"/{SERVICE}"}},
        "pools": {SERVICE: {"service": SERVICE, "min_hosts": min_hosts, "max_hosts": 20}},
        "teams": {SERVICE: {"max_cores": 64, "max_memory_gb": 128, "max_jobs": 100}},
        "policies": {
            "default": {
                "maintain_every_s": 2_419_200,
                "reboot_s": 5,
                "buffer_weight": 1,
                "move_weight": 1,
                "spare_hosts": 0,
            }
        },
    }


def write_declarations(cluster: Cluster, values: dict[str, Any]) -> Path:
    """Write declarations into a folder of the cluster's."""
    folder = cluster.folder / "declarations"
    folder.mkdir(exist_ok=True)
    (folder / "all.json").write_text(json.dumps(values), encoding="utf-8")
    return folder


class Bench:
    """A cluster with its service in force, and naive proxies over the same executors."""

    def __init__(self, *, processes: Processes, **kwargs: Any) -> None:
        self.cluster = Cluster(processes=processes, fleet=fleet(), **kwargs)
        self.naive: list[str] = []
        self._runs = 0

    def start(self) -> None:
        """Start everything, naive proxies too, and wait until it takes requests."""
        cluster = self.cluster
        cluster.start()
        cluster.apply(write_declarations(cluster, declared()))
        cluster.wait_ready()
        self.start_naive(len(cluster.daemons_by_name))

    def start_naive(self, count: int) -> None:
        """Start naive proxies; each has its share of every executor's slots, rounded up."""
        addresses = ",".join(self.addresses())
        slots = str(-(-SLOTS // count))
        for i, port in enumerate(free_ports(count)):
            service = ("--service", f"/{SERVICE}={addresses}")
            self.cluster.processes.start(
                f"naive{i}", "tools.naive", "--port", str(port), "--slots", slots, *service
            )
            self.naive.append(f"127.0.0.1:{port}")
        for entry in self.naive:
            wait_http(f"http://{entry}/-/ready")

    def addresses(self) -> list[str]:
        """The executors' own addresses."""
        return [e["address"] for e in self.cluster.executors_state().values()]

    def load(self, entries: list[str], stages: list[Stage], **kind: Any) -> Report:
        """Send one kind of request through some entries and wait for the end."""
        return self.cluster.end_load(self.start_load(entries, stages, **kind))

    def start_load(self, entries: list[str], stages: list[Stage], **kind: Any) -> str:
        """Start to send one kind of request through some entries."""
        self._runs += 1
        fields = {"service": SERVICE, "path": f"/{SERVICE}/x", "timeout_s": TIMEOUT_S, **kind}
        return self.cluster.start_load(
            Plan(
                run=f"b{self._runs}",
                entries=entries,
                stages=stages,
                mix=[Kind(**fields)],
                seed=self._runs,
                max_in_flight=20_000,
            )
        )

    def received(self) -> int:
        """How many requests the executors have received."""
        return sum(e["received"] for e in self.cluster.executors_state().values())


@contextmanager
def running(**kwargs: Any) -> Iterator[Bench]:
    """Run a bench's processes while the block lasts."""
    with tempfile.TemporaryDirectory(prefix="mustardgap-bench-") as folder:
        processes = Processes(folder=folder)
        try:
            bench = Bench(processes=processes, **kwargs)
            bench.start()
            yield bench
        finally:
            processes.stop_all()
