"""Measures jobs and actors: the time for urgent work to start, learned sizes, processor time.

Real actors decide on a fake platform with a clock set by hand, so the times are those of the
deciding: ticks, polls, records and steps, but no network and no queueing at the log.
"""

import asyncio
import random
import statistics
import time
from collections.abc import Iterable
from typing import Any

from mustardgap import placers
from mustardgap.adapters import TasksPage, WorkersPage
from mustardgap.job_queues import Place, Queue, Waiting
from mustardgap.usages import Usages
from tools.actor_platforms import FakePlatform
from tools.actor_worlds import Daemon, World, declare, profile
from tools.rows import Row, at_most

CORES = 32
WORKERS = 4
LOAD = 0.9
URGENT_SHARE = 0.3
URGENT_S = 10.0
GENTLE_S = 60.0
URGENT_TARGET_S = 5.8
CPU_TARGET = 0.012
SIZES = (1000, 3000, 8900)


class FifoQueue(Queue):
    """The naive way: first come, first served, nobody makes way, nobody overtakes."""

    def decide(self, waiting: Iterable[Waiting]) -> list:
        """Place in the order of submission until one finds no room."""
        placed = []
        for job in sorted(waiting, key=lambda w: (w.since, w.job)):
            worker = self.rooms.best_fit(job.size, avoid=job.avoid)
            if worker is None or not self.may_place(job.job, worker):
                break
            placed.append(Place(job.job, worker, job.size))
            self.rooms.allocate(job.job, worker, job.size)
        for place in placed:
            self.rooms.release(place.job)
        return placed


class Load:
    """Jobs that arrive at random at a share of the capacity."""

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.random = random.Random(seed)
        self.submitted: dict[str, float] = {}
        self.started: dict[str, float] = {}
        capacity = CORES * WORKERS
        self.urgent_per_s = capacity * LOAD * URGENT_SHARE / (2.0 * URGENT_S)
        self.gentle_per_s = capacity * LOAD * (1 - URGENT_SHARE) / (2.0 * GENTLE_S)

    async def run(self, seconds: int) -> None:
        """Submit jobs and note when they start."""
        for tick in range(seconds * 2):
            self._arrive("u", tick, self.urgent_per_s / 2, urgency=0, mean_s=URGENT_S, kind="hard")
            self._arrive(
                "g", tick, self.gentle_per_s / 2, urgency=8, mean_s=GENTLE_S, kind="gentle"
            )
            await self.world.pass_time(0.5)
            now = self.world.clock.now
            for job in self.world.platform.runs_by_job.keys() - self.started.keys():
                self.started[job] = now

    def _arrive(
        self, name: str, tick: int, mean: float, *, urgency: int, mean_s: float, kind: str
    ) -> None:
        count = sum(self.random.random() < mean / 8 for _ in range(8))
        for n in range(count):
            job = f"{name}{tick}-{n}"
            run_s = self.random.expovariate(1 / mean_s)
            cores = float(self.random.choice([1, 2, 3]))
            self.world.submit(job, urgency=urgency, run_s=run_s, cores=cores, profile=kind)
            self.submitted[job] = self.world.clock.now

    def waits(self, name: str) -> list[float]:
        """Seconds from submission to start; one that never started has waited until now."""
        now = self.world.clock.now
        return [
            self.started.get(job, now) - at
            for job, at in self.submitted.items()
            if job.startswith(name)
        ]


def _run_load(queue: type[Queue], seconds: int) -> tuple[Load, World]:
    before = placers.Queue
    placers.Queue = queue  # type: ignore[misc]
    try:
        world = World([(f"w{n}", f"r{n}", "wide") for n in range(WORKERS)], cores=CORES)
        declare(world, quota=10_000)
        world.declare(pool__wide={"service": "", "min_hosts": WORKERS, "max_hosts": WORKERS})
        load = Load(world, seed=1)
        asyncio.run(_drive(world, load, seconds))
        return load, world
    finally:
        placers.Queue = before  # type: ignore[misc]


async def _drive(world: World, load: Load, seconds: int) -> None:
    await world.pass_time(4)
    await load.run(seconds)


def _at(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def urgent_rows(quick: bool) -> Iterable[Row]:
    """The time for urgent work to start at 0.9 load."""
    seconds = 200 if quick else 600
    ours, world = _run_load(Queue, seconds)
    naive, _ = _run_load(FifoQueue, seconds)
    for share, name in ((0.5, "p50"), (0.99, "p99"), (1.0, "max")):
        value = _at(ours.waits("u"), share)
        yield Row(
            f"urgent work starts after, {name}, at {LOAD} load",
            value,
            "s",
            _at(naive.waits("u"), share),
            "first come, first served, no pausing",
            **(at_most(value, URGENT_TARGET_S, "at most 5.8 s") if name == "p99" else {}),
        )
    for share, name in ((0.5, "p50"), (0.99, "p99")):
        yield Row(
            f"gentle work starts after, {name}, at {LOAD} load",
            _at(ours.waits("g"), share),
            "s",
            _at(naive.waits("g"), share),
            "first come, first served, no pausing",
        )
    jobs = [j for j in world.journal.state.jobs_by_id.values() if j["job"].startswith("g")]
    pauses = sum(a["outcome"] == "moved" for j in jobs for a in j["attempts"])
    yield Row("pauses a gentle job", pauses / max(1, len(jobs)), "pauses", 0.0, "no pausing")


def size_rows(quick: bool) -> Iterable[Row]:
    """Room kept for a job against what it uses, and how many outgrow it."""
    draw = random.Random(1)
    spec = {"team": "t", "urgency": 5, "cores": 4.0, "memory_gb": 8.0, "accelerators": 0}
    spec |= {"run_s": 60.0, "idempotent": True}
    usages = Usages()
    used_before: list[float] = []
    kept: dict[str, list[float]] = {"learned": [], "mean": [], "declared": []}
    outgrown = dict.fromkeys(kept, 0)
    count = 500 if quick else 5000
    for n in range(count):
        # Teams declare three times too much at first, and twice too little later on.
        bias = 1 / 3 if n < count / 2 else 2.0
        ratio = bias * draw.lognormvariate(0, 0.3)
        mean = statistics.fmean(used_before[-100:]) if len(used_before) >= 8 else 1.0
        room = {
            "learned": usages.size(spec).memory_gb / 8.0,  # type: ignore[arg-type]
            "mean": mean,
            "declared": 1.0,
        }
        for way, size in room.items():
            kept[way].append(size / ratio)
            outgrown[way] += size < ratio
        used_before.append(ratio)
        used = {"cores": 4.0 * ratio, "memory_gb": 8.0 * ratio, "run_s": 60.0 * ratio}
        usages.learn(f"j{n}", spec, used)  # type: ignore[arg-type]
    for way in ("declared", "mean"):
        share = outgrown["learned"] / count, outgrown[way] / count
        yield Row("jobs that outgrow their memory", share[0], "share", share[1], way)
        ratios = statistics.fmean(kept["learned"]), statistics.fmean(kept[way])
        yield Row("memory kept over memory used", ratios[0], "ratio", ratios[1], way)


class QuietPlatform(FakePlatform):
    """Shows only what has changed, as the platform does."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.changed: set[str] = set()

    def workers(self, since: int = 0) -> WorkersPage:
        """Show all at first, then what was touched."""
        names = self.workers_by_id if since == 0 else sorted(self.changed)
        self.changed = set()
        shown: Any = [dict(self.workers_by_id[n]) for n in names]
        return WorkersPage(1, shown, [])

    def tasks(self, since: int = 0) -> TasksPage:
        """Show no tasks."""
        return TasksPage(1, [])

    def advance(self, dt: float) -> None:
        """Nothing changes by itself."""


def _cpu_s(hosts: int, quick: bool, naive: bool) -> float:
    """Processor seconds of the actors a second; the fleet is quiet, one worker a second changes."""
    names = [(f"w{n:05}", f"r{n // 40}", "batch") for n in range(hosts)]
    world = World(names, names=("d1",))
    platform = world.platform = QuietPlatform(world.clock, names, lambda name: "")
    world.daemons_by_name["d1"] = Daemon(world, "d1")
    world.declare(profile__gentle=profile(["checkpoint"]))
    world.declare(pool__batch={"service": "", "min_hosts": hosts, "max_hosts": hosts})
    return asyncio.run(_quiet(world, platform, hosts, 20 if quick else 60, naive))


async def _quiet(
    world: World, platform: QuietPlatform, hosts: int, seconds: int, naive: bool
) -> float:
    daemon = world.daemons_by_name["d1"]
    for _ in range(1000):
        await world.pass_time(0.5)
        if len(world.journal.state.hosts_by_name) == hosts:
            break
    await world.pass_time(5)
    spent = 0.0
    for second in range(seconds):
        name = f"w{second % hosts:05}"
        platform.workers_by_id[name]["boot"] += 1
        platform.changed.add(name)
        for _ in range(2):
            world.clock.now += 0.5
            began = time.process_time()
            if naive:
                daemon.actors.recheck_all()
                daemon.actors.placer.follow_hosts(set(world.journal.state.hosts_by_name))
            await daemon.turn()
            spent += time.process_time() - began
    return spent / seconds


def cpu_rows(quick: bool) -> Iterable[Row]:
    """Processor time of the actors by fleet size."""
    for hosts in SIZES[:1] if quick else SIZES:
        value = _cpu_s(hosts, quick, naive=False)
        baseline = _cpu_s(hosts, True, naive=True)
        yield Row(
            f"actors' share of a core, {hosts} hosts, quiet",
            value,
            "core",
            baseline,
            "looking at every host each time",
            **(at_most(value, CPU_TARGET, "at most 0.012") if hosts == SIZES[-1] else {}),
        )


def rows(quick: bool = False) -> list[Row]:
    """Measure everything."""
    return [*urgent_rows(quick), *size_rows(quick), *cpu_rows(quick)]
