"""Benchmarks of the way from callers to executors, each beside the naive proxy or a direct call."""

import time
from collections.abc import Iterable
from typing import Any

from .benches import EXECUTORS, SLOTS, TIMEOUT_S, Bench, running
from .load import Report, Stage
from .oracle import check_requests
from .rows import Row, at_least, at_most, ratio
from .told import Told, by_stage, summarize

RUN_S = 0.2
CAPACITY = EXECUTORS * SLOTS / RUN_S
DAEMONS = 4
LOADS = (0.5, 1.0, 1.5, 3.0)
RECOVERY_LOAD = 0.7
RECOVERY_S = 12
SICK_RUN_S = 0.1
SICK_RATE = 0.5 * EXECUTORS * SLOTS / SICK_RUN_S
EXPONENTIAL = {"run_time": {"distribution": "exponential", "mean_s": RUN_S}}
NAIVE = "naive proxy"


def latency(quick: bool) -> Iterable[Row]:
    """Added latency and requests a second through one daemon, against direct calls."""
    seconds = 5.0 if quick else 10.0
    executors = {"run_time": {"distribution": "fixed", "mean_s": 0.005}}
    with running(daemons=1, executors=executors) as bench:
        ways = {"direct": bench.addresses(), "daemon": bench.cluster.entries, NAIVE: bench.naive}
        found = {}
        for way, entries in ways.items():
            report = bench.load(entries, [Stage(rate=100, seconds=seconds)])
            found[way] = summarize(report.told, seconds=seconds)
        rates = {way: _most_per_s(bench, entries, quick) for way, entries in ways.items()}
    direct = found["direct"]
    for name, percent in (("p50", 0), ("p99", 1)):
        base = (direct.p50_ms, direct.p99_ms)[percent]
        added = {way: (f.p50_ms, f.p99_ms)[percent] - base for way, f in found.items()}
        note = f"direct {base:.2f} ms"
        yield Row(f"added latency {name}", added["daemon"], "ms", added[NAIVE], NAIVE, note=note)
    name, unit = "requests a second at p99 under 100 ms, one process", "req/s"
    yield Row(name, rates["daemon"], unit, rates["direct"], "direct to executors")
    yield Row(f"{name} (naive)", rates[NAIVE], unit, rates["direct"], "direct to executors")


def _most_per_s(bench: Bench, entries: list[str], quick: bool) -> float:
    """The highest rate of a ladder that is answered in full and in time."""
    best = 0.0
    for rate in (200, 300, 400, 500, 600, 800, 1000, 1500, 2000, 2500):
        seconds = 2.0
        report = bench.load(entries, [Stage(rate=rate, seconds=seconds)])
        figures = summarize(report.told, seconds=seconds)
        if figures.goodput < 0.95 * rate or figures.p99_ms > 100:
            return best
        best = figures.goodput
    return best


def overload(quick: bool) -> Iterable[Row]:
    """Goodput at and over capacity, and how long it takes to be well again."""
    seconds = 4.0 if quick else 8.0
    stages = [Stage(rate=share * CAPACITY, seconds=seconds) for share in LOADS]
    stages.append(Stage(rate=RECOVERY_LOAD * CAPACITY, seconds=RECOVERY_S))
    with running(daemons=DAEMONS, executors=EXPONENTIAL) as bench:
        cold = bench.load(bench.cluster.entries, [Stage(rate=0.5 * CAPACITY, seconds=3.0)])
        report = bench.load(bench.cluster.entries, stages)
        bench.cluster.settle()
        counts = check_requests(report.told, bench.cluster.runs())
        naive = bench.load(bench.naive, stages)
    mine, theirs = _goodput(report, stages), _goodput(naive, stages)
    for i, share in enumerate(LOADS):
        ideal = min(share, 1.0) * CAPACITY
        target: dict[str, Any] = {}
        if share == 3.0:
            target = at_least(ratio(mine[i], mine[1]), 0.95, "at least 0.95 of that at 1x")
        told = summarize(by_stage(report.told)[i], seconds=seconds).by_outcome
        note = f"ideal {ideal:.0f}; of that at 1x {ratio(mine[i], mine[1]):.3f}; {told}"
        yield Row(f"goodput at {share:g}x", mine[i], "req/s", theirs[i], NAIVE, note=note, **target)
    refused = sum(one.outcome == "refused" for one in cold.told)
    share = ratio(refused, len(cold.told))
    yield Row("refused at 0.5x in the first 3 s after a start", share, "ratio")
    recovery = [_recovery_s(r, len(LOADS)) for r in (report, naive)]
    yield Row(
        "recovery after 3x",
        recovery[0],
        "s",
        recovery[1],
        NAIVE,
        note=f"{RECOVERY_S} is not within",
    )
    for promise in ("doubled", "cut", "mixed", "untrue refusal"):
        count = counts.of(promise)
        yield Row(f"{promise} in overload", count, "", target="0", met=count == 0)


def _goodput(report: Report, stages: list[Stage]) -> list[float]:
    told_by_stage = by_stage(report.told)
    return [
        sum(map(_in_time, told_by_stage.get(i, []))) / stage.seconds
        for i, stage in enumerate(stages)
    ]


def _in_time(one: Told) -> bool:
    return one.outcome == "answered" and one.status < 500 and one.latency_s <= TIMEOUT_S


def _recovery_s(report: Report, stage: int) -> float:
    """Seconds from the end of the overload until 95 % of what is sent is answered in time."""
    told = by_stage(report.told)[stage]
    start = min(one.sent for one in told)
    bad_until = 0.0
    for second in range(RECOVERY_S):
        window = [one for one in told if second <= one.sent - start < second + 1]
        if sum(map(_in_time, window)) < 0.95 * len(window):
            bad_until = second + 1.0
    return bad_until


def sick(quick: bool) -> Iterable[Row]:
    """Success of idempotent requests while one of six executors is dead, slow or grey."""
    seconds = 4.0 if quick else 8.0
    executors = {"run_time": {"distribution": "exponential", "mean_s": SICK_RUN_S}}
    faults = {
        "dead": None,
        "slow": {"name": "slow", "seconds": 5.0},
        "grey (fails 30 %)": {"name": "failing", "ratio": 0.3},
        "grey (resets 30 %)": {"name": "reset_after_reading", "ratio": 0.3},
    }
    with running(daemons=DAEMONS, executors=executors) as bench:
        bench.load(bench.cluster.entries, [Stage(rate=0.5 * SICK_RATE, seconds=3.0)])
        for title, fault in faults.items():
            figures = {}
            for way, entries in (("mine", bench.cluster.entries), (NAIVE, bench.naive)):
                figures[way] = _with_sick(bench, entries, fault, seconds)
            (mine, tries), (theirs, naive_tries) = figures["mine"], figures[NAIVE]
            name = f"success with 1 of 6 {title}"
            target = at_least(mine, 0.999, "at least 0.999")
            yield Row(name, mine, "ratio", theirs, NAIVE, **target)
            yield Row(f"tries a request with 1 of 6 {title}", tries, "", naive_tries, NAIVE)


def _with_sick(
    bench: Bench, entries: list[str], fault: dict[str, Any] | None, seconds: float
) -> tuple[float, float]:
    """The share of requests that succeed, and the tries that a request took."""
    control = bench.cluster.controls_by_name["x1"]
    if fault is None:
        control.step("w0", "cut")
    else:
        control.fault(on="w0", **fault)
    received = bench.received()
    report = bench.load(entries, [Stage(rate=SICK_RATE, seconds=seconds)])
    tries = ratio(bench.received() - received, len(report.told))
    control.clear()
    control.step("w0", "start")
    time.sleep(2.0)
    return ratio(sum(map(_in_time, report.told)), len(report.told)), tries


def leaving(quick: bool) -> Iterable[Row]:
    """Work that is sent to an executor 1, 3 and 5 s after it began to leave."""
    settings = {**EXPONENTIAL, "drain_grace_s": 20.0, "drain_quiet_s": 20.0}
    found = {}
    for way in ("mine", NAIVE):
        with running(daemons=DAEMONS, executors=settings) as bench:
            entries = bench.cluster.entries if way == "mine" else bench.naive
            load = bench.start_load(entries, [Stage(rate=0.5 * CAPACITY, seconds=11.0)])
            time.sleep(3.0)
            body = {"operation": "bench-drain", "kind": "drain", "epoch": 10**6}
            bench.cluster.platform.call("POST", "/workers/w0/operations", body)
            bench.cluster.end_load(load)
            state = bench.cluster.executors_state().values()
            found[way] = [s for e in state for s in e["after_leaving"]]
    for after_s in (1, 3, 5):
        mine, theirs = (sum(s > after_s for s in found[way]) for way in ("mine", NAIVE))
        target = at_most(mine, 0, "0") if after_s >= 3 else {}
        yield Row(f"requests sent {after_s} s after leaving", mine, "", theirs, NAIVE, **target)


BENCHES = {"latency": latency, "overload": overload, "sick": sick, "leaving": leaving}
