"""Measures the planner: buffer, moves, waves, time and memory, each beside an obvious way.

``python -m tools.bench_planner`` prints a table, ``--json`` the rows. The fleets are folded by the
real fold; hosts are emptied and rebooted by a small fake.
"""

import json
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

import click

from mustardgap.planners import Planner
from mustardgap.waves import max_hosts_out
from tools import exact, fleets, naive_plans
from tools.plan_runs import PlanRun, naive_margin
from tools.rows import Row, at_most

HOUR_S = 3600.0
USERS = {"thekkady": fleets.thekkady, "federation": fleets.federation}
SIZES = [(900, 13), (3000, 44), (8900, 130)]
# The budget of control: 1.2 % of a core at a plan every 2 s.
PLAN_BUDGET_MS = 24.0
SMALL_HOSTS = 1000
MOST_EXACT_CELLS = 500
MOST_TICKS = 2500


def rows(quick: bool = False) -> list[Row]:
    """Measure everything.

    :param quick: leave out the largest fleets.
    """
    found: list[Row] = []
    for user, make_spec in USERS.items():
        for survive in ("rack", "data_center"):
            found += _user_rows(f"{user}, {survive} lost", make_spec(survive=survive))
    for hosts, pools in SIZES[:1] if quick else SIZES:
        found += _large_rows(f"{hosts} hosts, {pools} pools", fleets.large(hosts, pools))
    return found


def _row(
    what: str, fleet: str, value: float, unit: str, baseline: float | None, of: str, **more: Any
) -> Row:
    return Row(f"{what} ({fleet})", value, unit, baseline, of, **more)


def _user_rows(name: str, spec: fleets.FleetSpec) -> Iterator[Row]:
    run = _settled(spec)
    best = exact.solve(exact.racks_of(spec.racks), spec.services)
    assert best is not None
    yield from _buffer_rows(name, spec, run, best.hosts)
    yield from _event_rows(name, spec)
    yield from _wave_rows(name, spec)
    yield from _spare_rows(name, spec, len(_serving(run)))


def _large_rows(name: str, spec: fleets.FleetSpec) -> Iterator[Row]:
    run = _settled(spec)
    yield from _buffer_rows(name, spec, run, _bound(spec))
    yield from _event_rows(name, spec)
    yield from _time_rows(name, spec)


def _settled(spec: fleets.FleetSpec) -> PlanRun:
    run = PlanRun(spec=spec)
    run.settle()
    run.moves = 0
    return run


def _serving(run: PlanRun) -> dict[str, str]:
    return {h["host"]: h["pool"] for h in run.hosts() if h["phase"] == "in_service" and h["pool"]}


def _bound(spec: fleets.FleetSpec) -> int:
    """The hosts that services need if each had the fleet to itself: no plan can use fewer."""
    racks = [size for sizes in spec.racks.values() for size in sizes]
    domains = {"rack": racks, "data_center": [sum(sizes) for sizes in spec.racks.values()]}
    total = 0
    for service in spec.services:
        need = service.min_hosts + (service.survive == "host")
        sizes = domains.get(service.survive, [])
        for most in range(1, max(sizes, default=0) + 1):
            if sum(min(most, size) for size in sizes) >= service.min_hosts + most:
                need = service.min_hosts + most
                break
        total += need
    return total


def _buffer_rows(name: str, spec: fleets.FleetSpec, run: PlanRun, best: int) -> Iterator[Row]:
    least = sum(service.min_hosts for service in spec.services)
    assert run.short() == []
    buffer = len(_serving(run)) - least
    target = at_most(buffer, 1.05 * (best - least), "within 5 % of the exact bound")
    bound = best - least
    yield _row("buffer beyond min_hosts", name, buffer, "hosts", bound, "exact bound", **target)
    spare = naive_plans.spare_domain_hosts(spec, 4)
    yield _row("buffer beyond min_hosts", name, buffer, "hosts", spare, "a spare domain a pool")


def _event_rows(name: str, spec: fleets.FleetSpec) -> Iterator[Row]:
    is_small = sum(map(sum, spec.racks.values())) <= SMALL_HOSTS
    for what, event in EVENTS.items():
        run = _settled(spec)
        before = _serving(run)
        gone, changed = event(run, spec)
        # The simplest way: a spare for each host lost, which gives its place back on return.
        lost = sum(host in before for host in gone) or 1
        simple = lost * (2 if what.endswith("returns") else 1)
        fewest = _fewest_moves(changed, before, gone) if is_small else None
        note = "" if fewest is None or fewest <= lost else "the simple way breaks the budget here"
        target = {} if note else at_most(run.moves, simple, "no more than naive")
        baseline = (simple, "a spare for each, and back")
        yield _row(f"moves: {what}", name, run.moves, "moves", *baseline, note=note, **target)
        if not is_small or what.endswith("returns"):
            continue
        anew = naive_plans.rebuild(changed, exact.racks_of(spec.racks), gone)
        naive = naive_plans.moves_between(before, anew)
        target = at_most(run.moves, naive, "no more than naive")
        yield _row(f"moves: {what}", name, run.moves, "moves", naive, "a plan made anew", **target)
        if fewest is not None:
            yield _row(f"moves: {what}", name, run.moves, "moves", fewest, "fewest, exact")


def _fewest_moves(spec: fleets.FleetSpec, before: dict[str, str], gone: set[str]) -> float | None:
    """The joins that the exact solver needs when moves weigh far more than hosts."""
    racks = exact.racks_of(spec.racks)
    if len(racks) * len(spec.services) > MOST_EXACT_CELLS:
        return None
    present: dict[tuple[str, str], int] = {}
    for host, pool in before.items():
        if host not in gone:
            rack = "/".join(host.rsplit("-", 2)[:2])
            present[pool, rack] = present.get((pool, rack), 0) + 1
    lost = ["/".join(host.rsplit("-", 2)[:2]) for host in gone]
    left = [rack._replace(size=rack.size - lost.count(rack.name)) for rack in racks]
    best = exact.solve(left, spec.services, present=present, buffer_weight=0.01, move_weight=1.0)
    return None if best is None else best.moves


def _fail(run: PlanRun, spec: fleets.FleetSpec, count: int) -> tuple[set[str], fleets.FleetSpec]:
    serving = _serving(run)
    facts = run.state.hosts_by_name[min(serving)]["facts"]
    gone = sorted(h["host"] for h in run.hosts() if h["facts"] == facts)[:count]
    for host in gone:
        run.fail(host)
    run.settle()
    return set(gone), spec


def _fail_and_return(
    run: PlanRun, spec: fleets.FleetSpec, count: int
) -> tuple[set[str], fleets.FleetSpec]:
    gone, _ = _fail(run, spec, count)
    for host in sorted(gone):
        run.bring_back(host)
    run.settle()
    return gone, spec


def _ask_more(run: PlanRun, spec: fleets.FleetSpec) -> tuple[set[str], fleets.FleetSpec]:
    first = spec.services[0]
    first = first._replace(min_hosts=first.min_hosts + 1)
    run.declare(fleets.declarations_of_service(first))
    run.settle()
    return set(), spec._replace(services=[first, *spec.services[1:]])


Event = Callable[[PlanRun, fleets.FleetSpec], tuple[set[str], fleets.FleetSpec]]
EVENTS: dict[str, Event] = {
    "host fails": partial(_fail, count=1),
    "host fails and returns": partial(_fail_and_return, count=1),
    "rack fails": partial(_fail, count=4),
    "rack fails and returns": partial(_fail_and_return, count=4),
    "profile asks for 1 more": _ask_more,
}


def _wave_rows(name: str, spec: fleets.FleetSpec) -> Iterator[Row]:
    run = _settled(spec)
    hosts = [h["host"] for h in run.hosts()]
    run.ledger.append("wave", {"wave": "w", "base": 0, "step": "start", "hosts": hosts})
    start = run.ledger.now
    least = 10**6
    while not run.tick(15.0).finished:
        margins = [naive_margin(run.state, service.name) for service in spec.services]
        least = min(least, *margins)
    run.ledger.append("wave", {"wave": "w", "base": 1, "step": "finish"})
    length = run.ledger.now - start
    run.settle()
    ideal = len(hosts) * (spec.reboot_s + run.drain_s)
    yield _row("wave: moves", name, run.moves, "moves", 2 * len(hosts), "a stand-in for each host")
    yield _row("wave: length", name, length / HOUR_S, "hours", ideal / HOUR_S, "no pause at all")
    yield _row("wave: hosts out at once", name, run.most_out, "hosts", 4, "a rack at a time")
    yield _row("wave: least margin of any service", name, least, "hosts", None, "")
    breaches = len(run.breaches) + len(run.turned)
    none = at_most(breaches, 0, "0 budget breaches")
    yield _row("wave: breaches and steps turned down", name, breaches, "steps", None, "", **none)


def _spare_rows(name: str, spec: fleets.FleetSpec, served: int) -> Iterator[Row]:
    """The fewest spare hosts with which a wave gets through the whole fleet."""
    for spare in range(len(spec.services) + 1):
        run = _settled(fleets.with_spare(spec, served, spare))
        hosts = [h["host"] for h in run.hosts()]
        run.ledger.append("wave", {"wave": "w", "base": 0, "step": "start", "hosts": hosts})
        if any(run.tick(15.0).finished for _ in range(MOST_TICKS)):
            break
    pools = len(spec.services)
    yield _row("wave: spare hosts needed", name, spare, "hosts", pools, "a host a pool")


def _time_rows(name: str, spec: fleets.FleetSpec) -> Iterator[Row]:
    run = _settled(spec)
    whole = _milliseconds(lambda: Planner(state=run.state).plan(now=run.ledger.now), 5)
    idle = _milliseconds(run.plan, 50)
    yield _row("plan with nothing to do", name, idle, "ms", whole, "index made anew")
    yield _row("plan after a host failed", name, _after_failures(run, 20), "ms", whole, "")
    run.ledger.now += spec.maintain_every_s * 0.95
    waves = _milliseconds(lambda: run.tick(2.0), 100)
    budget = at_most(waves, PLAN_BUDGET_MS, "24 ms, 1.2 % of a core at a plan in 2 s")
    yield _row("plan, act and fold amid a wave", name, waves, "ms", whole, "index anew", **budget)
    yield _row(
        "hosts out at once allowed", name, max_hosts_out(run.planner.fleet), "hosts", None, ""
    )
    yield _row("memory of the index", name, _index_megabytes(run), "MB", None, "")


def _after_failures(run: PlanRun, count: int) -> float:
    times = []
    for host in sorted(_serving(run))[:: len(_serving(run)) // count][:count]:
        start = time.perf_counter()
        run.fail(host)
        plan = run.plan()
        times.append((time.perf_counter() - start) * 1000)
        run.carry_out(plan.steps)
    return statistics.median(times)


def _milliseconds(function: Callable[[], Any], count: int) -> float:
    times = []
    for _ in range(count):
        start = time.perf_counter()
        function()
        times.append((time.perf_counter() - start) * 1000)
    return statistics.median(times)


def _index_megabytes(run: PlanRun) -> float:
    tracemalloc.start()
    planner = Planner(state=run.state)
    planner.plan(now=run.ledger.now)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1e6


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print the rows as JSON.")
def main(as_json: bool) -> None:
    """Measure the planner."""
    found = rows()
    if as_json:
        click.echo(json.dumps([row._asdict() for row in found], indent=1))
        return
    for row in found:
        than = "" if row.baseline is None else f"{row.baseline:10.2f}  {row.baseline_name}"
        click.echo(f"{row.name:74} {row.value:10.2f} {row.unit:6} {than} {row.note}")


if __name__ == "__main__":
    main()
