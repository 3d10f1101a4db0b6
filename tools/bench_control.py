"""Benchmarks of control: what idle daemons cost, and how fast configuration is in force."""

import asyncio
import json
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager, suppress
from typing import Any
from urllib.request import Request, urlopen

import psutil

from mustardgap.adapters import Platform
from mustardgap.exceptions import MustardgapError

from .benches import SERVICE, declared, fleet, write_declarations
from .clusters import Cluster
from .processes import Processes, get_json
from .rows import Row, at_most
from .told import histogram, percentile_ms

DAEMONS = 8
IMPORTS = (
    "import asyncio, time, tornado.web, tornado.httpserver, grpc.aio, opentelemetry.sdk.metrics,"
    " opentelemetry.exporter.prometheus, absl.logging, msgspec, json5, click, xxhash;"
    " time.sleep(60)"
)
CPU_TARGET = 1.2
MEMORY_TARGET_MB = 32.0
ROLL_OUT_TARGET_MS = 7000.0
NAIVE_POLL_S = 5.0
CUT_OFF = "e8"


@contextmanager
def cluster_of(daemons: int, **kwargs: Any) -> Iterator[Cluster]:
    """Run a cluster with the bench's declarations in force."""
    with tempfile.TemporaryDirectory(prefix="mustardgap-bench-") as folder:
        processes = Processes(folder=folder)
        try:
            cluster = Cluster(processes=processes, fleet=fleet(), daemons=daemons, **kwargs)
            cluster.start()
            cluster.apply(write_declarations(cluster, declared()))
            cluster.wait_ready()
            yield cluster
        finally:
            processes.stop_all()


def idle(quick: bool) -> Iterable[Row]:
    """Processor time and memory of idle daemons, apart from what imports hold."""
    seconds = 8.0 if quick else 20.0
    bare = subprocess.Popen([sys.executable, "-c", IMPORTS])
    try:
        with cluster_of(DAEMONS) as cluster:
            time.sleep(3.0)
            found = [
                psutil.Process(cluster.processes.by_name[n].pid) for n in cluster.daemons_by_name
            ]
            before = [_cpu_s(process) for process in found]
            time.sleep(seconds)
            cpu = [(_cpu_s(p) - b) / seconds * 100 for p, b in zip(found, before, strict=True)]
            private = [process.memory_full_info().uss / 1e6 for process in found]
            bare_mb = psutil.Process(bare.pid).memory_full_info().uss / 1e6
    finally:
        bare.kill()
        bare.wait()
    text = f"at most {CPU_TARGET} % of a core"
    worst = max(cpu)
    yield Row(
        "control's processor time, worst of 8",
        worst,
        "% of a core",
        **at_most(worst, CPU_TARGET, text),
    )
    yield Row("private memory, worst of 8", max(private), "MB", bare_mb, "bare imports")
    added = max(private) - bare_mb
    text = f"at most {MEMORY_TARGET_MB:g} MB"
    yield Row("memory added by control", added, "MB", **at_most(added, MEMORY_TARGET_MB, text))


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def roll_out(quick: bool) -> Iterable[Row]:
    """From accepted to in force on all 8 daemons."""
    changes = 10 if quick else 30
    with cluster_of(DAEMONS, platform_ports=2) as cluster:
        yield from _roll_out_rows("healthy", *_measure(cluster, changes))
        cluster.platform.fault("slow", on="/log/*", seconds=0.5)
        yield from _roll_out_rows("log slow by 0.5 s", *_measure(cluster, changes))
        cluster.platform.clear()
        _cut_off(cluster)
        yield from _roll_out_rows("one cut off from the log", *_measure(cluster, changes))


def _cut_off(cluster: Cluster) -> None:
    """Let one daemon use a port of the platform's of its own, and take that port away."""
    port = cluster.platform_ports[1]
    cluster.processes.stop(CUT_OFF)
    cluster.start_daemon(CUT_OFF, platform={"address": f"127.0.0.1:{port}"})
    cluster.wait_ready(CUT_OFF)
    cluster.platform.fault("down", port=port)


def _roll_out_rows(title: str, mine: list[float], theirs: list[float]) -> Iterable[Row]:
    counts, base = histogram(mine), histogram(theirs)
    way = f"each polls the log every {NAIVE_POLL_S:g} s"
    for name, percent in (("p50", 50), ("p99", 99), ("max", 100)):
        value = percentile_ms(counts, percent)
        target = at_most(value, ROLL_OUT_TARGET_MS, "under 7 s") if name == "p99" else {}
        yield Row(
            f"roll-out {name}, {title}", value, "ms", percentile_ms(base, percent), way, **target
        )


def _measure(cluster: Cluster, changes: int) -> tuple[list[float], list[float]]:
    """Seconds until each change was in force everywhere, and until naive pollers had seen it."""
    first, second = (f"127.0.0.1:{port}" for port in cluster.platform_ports)
    naive = NaivePollers(addresses=[*([first] * (DAEMONS - 1)), second])
    naive.start()
    mine = []
    accepted: list[tuple[int, float]] = []
    for number in range(changes):
        offset = publish_change(cluster, number)
        at = time.monotonic()
        accepted.append((offset, at))
        mine.append(_wait_in_force(cluster, offset, at))
        time.sleep(0.1)
    theirs = naive.finish(accepted)
    return mine, theirs


def publish_change(cluster: Cluster, number: int) -> int:
    """Publish one change and return the offset it was accepted at."""
    operators = cluster.daemons_by_name["e1"].operators
    items = cluster.get("e1", "/v1/declarations")["items"]
    key = f"team/{SERVICE}"
    value = {**items[key]["value"], "max_jobs": 1000 + time.monotonic_ns() % 100_000}
    change = {"key": key, "base": items[key]["version"], "value": value}
    body = {"id": f"bench-{time.monotonic_ns()}-{number}", "changes": [change], "dry_run": False}
    request = Request(
        f"http://{operators}/v1/changes",
        data=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
        method="POST",
    )
    with urlopen(request, timeout=30) as resp:
        return int(json.load(resp)["offset"])


def _wait_in_force(cluster: Cluster, offset: int, since: float) -> float:
    waiting = [daemon.operators for daemon in cluster.daemons_by_name.values()]
    while waiting and time.monotonic() - since < 60:
        waiting = [a for a in waiting if get_json(f"http://{a}/v1/status")["offset"] <= offset]
    return time.monotonic() - since


class NaivePollers:
    """The baseline: as many readers as daemons, each polling the log for itself.

    :param addresses: the platform's address as each reader sees it.
    """

    def __init__(self, *, addresses: list[str]) -> None:
        self.addresses = addresses
        self.seen: list[list[tuple[int, float]]] = [[] for _ in addresses]
        self._ended = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True)

    def start(self) -> None:
        """Begin to poll in a thread."""
        self._thread.start()

    def finish(self, accepted: list[tuple[int, float]]) -> list[float]:
        """Poll to the end and say how long each change took to reach all readers.

        One that a reader hasn't seen a minute after it was accepted counts as a minute.
        """
        time.sleep(2 * NAIVE_POLL_S)
        self._ended.set()
        self._thread.join()
        return [self._took(offset, at) for offset, at in accepted]

    def _took(self, offset: int, at: float) -> float:
        times = [next((t for end, t in seen if end > offset), at + 60) for seen in self.seen]
        return max(0.0, max(times) - at)

    async def _run(self) -> None:
        await asyncio.gather(*(self._poll(i) for i in range(len(self.addresses))))

    async def _poll(self, number: int) -> None:
        platform = Platform(address=self.addresses[number])
        await asyncio.sleep(NAIVE_POLL_S * number / len(self.addresses))
        start = 0
        while not self._ended.is_set():
            with suppress(MustardgapError):
                page = await platform.read("mustardgap", start, limit=5000)
                start = page.next_offset
                self.seen[number].append((page.next_offset, time.monotonic()))
            await asyncio.to_thread(self._ended.wait, NAIVE_POLL_S)


BENCHES = {"idle": idle, "roll_out": roll_out}
