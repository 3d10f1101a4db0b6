"""One daemon with a fleet of any size, watched from outside."""

import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import psutil

from .benches import declared, write_declarations
from .clusters import Cluster
from .processes import Processes

POOLS_PER_HOST = 130 / 8900
RACK_HOSTS = 20
CENTERS = 7
WATCH_S = 15.0
QUIET_S = 120.0


class Usage(NamedTuple):
    """What a daemon used while it was watched."""

    cpu_percent: float
    private_mb: float
    calls_per_s: float


@contextmanager
def one_daemon(fleet: dict[str, Any], values: dict[str, Any]) -> Iterator[Cluster]:
    """Run a platform with a fleet and one daemon, without executors."""
    with tempfile.TemporaryDirectory(prefix="mustardgap-capacity-") as folder:
        processes = Processes(folder=folder)
        try:
            cluster = Cluster(processes=processes, fleet=fleet, daemons=1)
            cluster.start_platform()
            cluster.start_daemon("e1")
            cluster.wait_live()
            cluster.apply(write_declarations(cluster, values))
            yield cluster
        finally:
            processes.stop_all()


def large_fleet(hosts: int) -> tuple[dict[str, Any], dict[str, Any]]:
    """A fleet of the stand-in's, and declarations under which each host has its place already."""
    pools = max(2, round(hosts * POOLS_PER_HOST))
    racks: list[dict[str, Any]] = []
    for start in range(0, hosts, RACK_HOSTS):
        numbers = range(start, min(hosts, start + RACK_HOSTS))
        workers = [{"worker": f"w{n}", "pool": f"s{n % pools}"} for n in numbers]
        racks.append({"rack": f"r{start // RACK_HOSTS}", "workers": workers})
    centers = [{"data_center": f"d{i}", "racks": racks[i::CENTERS]} for i in range(CENTERS)]
    values = declared()
    [profile], [policy] = values["profiles"].values(), values["policies"].values()
    profile["availability"] = {"min_hosts": hosts // pools // 2, "survive": "rack"}
    profile["room"]["max_hosts"] = hosts
    policy["spare_hosts"] = 0
    names = [f"s{n}" for n in range(pools)]
    values["services"] = {s: {"profile": "bench", "team": "bench", "path": f"/{s}"} for s in names}
    values["pools"] = {s: {"service": s, "min_hosts": 1, "max_hosts": hosts} for s in names}
    return {"data_centers": centers, "services_by_pool": {}}, values


def watch(cluster: Cluster, seconds: float = WATCH_S) -> Usage:
    """Watch the daemon for some seconds."""
    calls, before = _calls(cluster), cpu_s(cluster)
    time.sleep(seconds)
    cpu = (cpu_s(cluster) - before) / seconds * 100
    private = _process(cluster).memory_full_info().uss / 1e6
    return Usage(cpu, private, (_calls(cluster) - calls) / seconds)


def cpu_s(cluster: Cluster) -> float:
    """The processor time that the daemon has used, in seconds."""
    times = _process(cluster).cpu_times()
    return float(times.user + times.system)


def _process(cluster: Cluster) -> psutil.Process:
    return psutil.Process(cluster.processes.by_name["e1"].pid)


def _calls(cluster: Cluster) -> int:
    truth = cluster.platform.call("GET", "/control/truth?workers=0&jobs=0")
    return sum(n for name, n in truth["counters"].items() if " " in name)


def wait_settled(cluster: Cluster, hosts: int) -> float:
    """Wait until the daemon knows all hosts and writes nothing more for three seconds.

    :return: the seconds it took.
    """
    started = time.monotonic()
    seen, since = -1, time.monotonic()
    while time.monotonic() - since < 3.0 or seen < hosts / 100:
        offset = cluster.get("e1", "/v1/status")["offset"]
        if offset != seen:
            seen, since = offset, time.monotonic()
        if time.monotonic() - started > QUIET_S:
            break
        time.sleep(0.2)
    return time.monotonic() - started
