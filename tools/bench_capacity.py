"""Slopes of a daemon's memory, processor time and messages, for docs/CAPACITY.md.

Each quantity is measured at three or more sizes; a line through the points gives what one host
more, one change more or one peer more costs, and what that makes at the size of the target.
"""

import asyncio
import json
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import click
from rich.console import Console
from rich.table import Table

from mustardgap import snapshots
from mustardgap.folds import State, fold
from mustardgap.models import LogRecord
from mustardgap.planners import Planner

from . import bench_gossip, fleets, virtual_time
from .bench import describe_run
from .bench_control import publish_change
from .benches import declared, write_declarations
from .benches import fleet as bench_fleet
from .capacity_runs import (
    POOLS_PER_HOST,
    WATCH_S,
    cpu_s,
    large_fleet,
    one_daemon,
    wait_settled,
    watch,
)
from .clusters import Cluster
from .days import DAY_S, Day
from .load import Kind, Plan, Stage
from .plan_runs import PlanRun
from .processes import ROOT, Processes

RESULTS = ROOT / "results" / "capacity.json"
HOSTS = (900, 3000, 8900)
PEERS = (8, 30, 120)
# All that join at once ask each other at each change: 120 take minutes in one process.
LEASE_PEERS = (8, 30, 60)
CHANGES_PER_S = (0.2, 1.0, 4.0)
REQUESTS_PER_S = (10.0, 40.0, 80.0)
TARGET_HOSTS = 8900.0
TARGET_PEERS = 120.0
TARGET_CHANGES_PER_S = 16_000 / DAY_S


class Slope(NamedTuple):
    """One quantity against one size, with the line through its points."""

    quantity: str
    unit: str
    per: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    target: float
    at_target: float
    note: str = ""


def slope_of(
    quantity: str,
    unit: str,
    per: str,
    points: list[tuple[float, float]],
    *,
    target: float,
    note: str = "",
) -> Slope:
    """Lay a line through points."""
    sizes, values = zip(*points, strict=True)
    line = statistics.linear_regression(sizes, values)
    at_target = line.intercept + line.slope * target
    return Slope(quantity, unit, per, points, line.slope, line.intercept, target, at_target, note)


# The state, by importing the parts


def state_slopes(quick: bool) -> Iterator[Slope]:
    """Memory, checkpoint and fold of one day, against the number of hosts."""
    measured = {hosts: _measure_day(hosts) for hosts in (HOSTS[:2] if quick else HOSTS)}
    for index, (quantity, unit) in enumerate(
        (
            ("memory of the state", "MB"),
            ("a checkpoint", "KB"),
            ("processor time of folding a day", "s"),
            ("records of a day", "records"),
        )
    ):
        points = [(float(hosts), values[index]) for hosts, values in measured.items()]
        yield slope_of(quantity, unit, "host", points, target=TARGET_HOSTS)


def _measure_day(hosts: int) -> tuple[float, float, float, float]:
    day = Day(hosts=hosts)
    data = snapshots.encode(day.state)
    tracemalloc.start()
    kept = snapshots.decode(data)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept is not None
    tail = day.log[day.set_up_records :]
    seconds = _fold_s(day, tail)
    return size / 1e6, len(data) / 1e3, seconds, float(len(tail))


def _fold_s(day: Day, tail: list[LogRecord]) -> float:
    state = State()
    for record in day.log[: day.set_up_records]:
        fold(state, record)
    started = time.process_time()
    for record in tail:
        fold(state, record)
    return time.process_time() - started


def planner_slopes(quick: bool) -> Iterator[Slope]:
    """Time and memory of a plan when nothing is to be done, against the number of hosts."""
    times, sizes = [], []
    for hosts in HOSTS[:2] if quick else HOSTS:
        run = PlanRun(spec=fleets.large(hosts, round(hosts * POOLS_PER_HOST)))
        run.settle()
        tracemalloc.start()
        planner = Planner(state=run.ledger.state)
        planner.plan(now=run.ledger.now)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        times.append((float(hosts), 1000 * _least_s(partial(planner.plan, now=run.ledger.now))))
        sizes.append((float(hosts), size / 1e6))
    yield slope_of("a plan with nothing to do", "ms", "host", times, target=TARGET_HOSTS)
    yield slope_of("memory of the planner", "MB", "host", sizes, target=TARGET_HOSTS)


def _least_s(function: Callable[[], Any], times: int = 5) -> float:
    found = []
    for _ in range(times):
        started = time.process_time()
        function()
        found.append(time.process_time() - started)
    return min(found)


# Messages between peers


def peer_slopes(quick: bool) -> Iterator[Slope]:
    """Bytes a second that a daemon sends to its peers, against their number."""
    gossip, leases = [], []
    for count in PEERS[:2] if quick else PEERS:
        traffic, _ = asyncio.run(bench_gossip.gossip(count, 3 * bench_gossip.CHANGE_EVERY_S))
        gossip.append((float(count), traffic.wire))
    for count in LEASE_PEERS[:2] if quick else LEASE_PEERS:
        lease = virtual_time.run(bench_gossip.leases(count, 5.0))
        leases.append((float(count), lease.wire))
    note = "headers of HTTP/2, TCP and IP reckoned in"
    fields: dict[str, Any] = {"target": TARGET_PEERS, "note": note}
    yield slope_of("gossip and heartbeats", "B/s", "peer", gossip, **fields)
    yield slope_of("leases of slots, 5 services", "B/s", "peer", leases, **fields)


# A whole daemon


def fleet_slopes(quick: bool) -> Iterator[Slope]:
    """A whole daemon at rest, against the number of hosts."""
    usages, settled = [], []
    for hosts in HOSTS[:2] if quick else HOSTS:
        fleet, values = large_fleet(hosts)
        with one_daemon(fleet, values) as cluster:
            settled.append((float(hosts), wait_settled(cluster, hosts)))
            usages.append((float(hosts), watch(cluster)))
    for index, (quantity, unit) in enumerate(
        (
            ("a daemon's processor time at rest", "% of a core"),
            ("a daemon's private memory", "MB"),
            ("a daemon's calls to the platform at rest", "calls/s"),
        )
    ):
        points = [(hosts, usage[index]) for hosts, usage in usages]
        yield slope_of(quantity, unit, "host", points, target=TARGET_HOSTS)
    quantity = "taking in a whole fleet that is new to the log"
    yield slope_of(quantity, "s", "host", settled, target=TARGET_HOSTS)


def change_slopes(quick: bool) -> Iterator[Slope]:
    """A daemon's processor time against changes of configuration a second."""
    points = []
    with one_daemon(bench_fleet(), declared()) as cluster:
        wait_settled(cluster, 1)
        points.append((0.0, watch(cluster).cpu_percent))
        for rate in CHANGES_PER_S[1:] if quick else CHANGES_PER_S:
            points.append((rate, _with_changes(cluster, rate)))
    quantity = "a daemon's processor time with changes"
    yield slope_of(quantity, "% of a core", "change/s", points, target=TARGET_CHANGES_PER_S)


def _with_changes(cluster: Cluster, rate: float) -> float:
    started, before = time.monotonic(), cpu_s(cluster)
    for number in range(max(3, round(rate * WATCH_S))):
        publish_change(cluster, number)
        time.sleep(max(0.0, started + (number + 1) / rate - time.monotonic()))
    return (cpu_s(cluster) - before) / (time.monotonic() - started) * 100


def request_slopes(quick: bool) -> Iterator[Slope]:
    """A daemon's processor time against requests a second; this isn't control."""
    points = []
    with tempfile.TemporaryDirectory(prefix="mustardgap-capacity-") as folder:
        processes = Processes(folder=folder)
        try:
            cluster = Cluster(processes=processes, fleet=bench_fleet(), daemons=1)
            cluster.start()
            cluster.apply(write_declarations(cluster, declared()))
            cluster.wait_ready()
            for rate in REQUESTS_PER_S:
                points.append((rate, _with_requests(cluster, rate)))
        finally:
            processes.stop_all()
    quantity = "a daemon's processor time with requests"
    yield slope_of(quantity, "% of a core", "request/s", points, target=100.0)


def _with_requests(cluster: Cluster, rate: float) -> float:
    mix = [Kind(service="bench", path="/bench/x")]
    stages = [Stage(rate=rate, seconds=WATCH_S)]
    load = cluster.start_load(
        Plan(run=f"c{rate:g}", entries=cluster.entries, stages=stages, mix=mix)
    )
    time.sleep(2.0)
    before, started = cpu_s(cluster), time.monotonic()
    time.sleep(WATCH_S - 4.0)
    cpu = (cpu_s(cluster) - before) / (time.monotonic() - started) * 100
    cluster.end_load(load)
    return cpu


SLOPES = {
    "state": state_slopes,
    "planner": planner_slopes,
    "peers": peer_slopes,
    "fleet": fleet_slopes,
    "changes": change_slopes,
    "requests": request_slopes,
}


def show(slopes: list[Slope]) -> None:
    """Print the table."""
    table = Table("quantity", "unit", "measured at", "one more", "base", "at the target")
    for s in slopes:
        points = ", ".join(f"{size:g}: {value:.4g}" for size, value in s.points)
        one = f"{s.slope:.3g} a {s.per}"
        at_target = f"{s.at_target:.4g} at {s.target:.3g}"
        table.add_row(s.quantity, s.unit, points, one, f"{s.intercept:.3g}", at_target)
    Console(width=200).print(table)


@click.command()
@click.option("--only", multiple=True, type=click.Choice(list(SLOPES)))
@click.option("--quick", is_flag=True, help="Fewer sizes; the figures are rougher.")
@click.option("--out", default=str(RESULTS), show_default=False, help="Where the JSON is written.")
def main(only: tuple[str, ...], quick: bool, out: str) -> None:
    """Measure the slopes and print what they make at the size of the target."""
    run = describe_run(quick)
    slopes: list[Slope] = []
    for name, measure in SLOPES.items():
        if not only or name in only:
            started = time.monotonic()
            slopes += measure(quick)
            click.echo(f"{name}: {time.monotonic() - started:.0f} s", err=True)
    show(slopes)
    path = Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    result = {"run": run, "slopes": [s._asdict() for s in slopes]}
    path.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
