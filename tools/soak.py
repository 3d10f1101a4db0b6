"""A randomized soak: real processes, faults from outside, and promises checked from outside.

Everything drawn follows from the seed; what processes make of it doesn't, so a seed that failed may
have to be played again. Ends only processes that it started, by their ids.
"""

import asyncio
import random
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import click

from .fake_executors import FleetRecord
from .owner_oracle import JobHistory, crash_problems, problems
from .soak_callers import FINAL_STATES, Caller
from .soak_troubles import TROUBLES, partition_daemons, resize_executors, turn_partitions_away
from .soak_world import PLATFORM, SoakWorld
from .wire_platform import History

ATTEMPTS = 2
# What a seed stands for; other sizes draw other courses from it.
DAEMONS, CALLERS, SECONDS = 4, 6, 15.0
CHECK_S = 1.0
# How long jobs may take to end once all faults are over: an owner that died without a word is
# waited for 11.5 s on executors that don't answer, and then a backlog has to be worked off.
SETTLE_S = 60.0
PAUSE_S = (0.2, 1.5)
CRASH_MARK = "Traceback (most recent call last)"


class Outcome(NamedTuple):
    """How one seed went."""

    seed: int
    problems: list[str]
    jobs: int
    accepted: int
    answers: int
    troubles: list[str]


async def play(
    seed: int,
    *,
    folder: Path,
    seconds: float = SECONDS,
    daemons: int = DAEMONS,
    callers: int = CALLERS,
) -> Outcome:
    """Play one seed.

    :param folder: where settings and logs are written.
    :param seconds: for how long faults are brought.
    :param daemons: how many daemons.
    :param callers: how many callers.
    """
    rng = random.Random(seed)
    world = SoakWorld(folder=folder, daemons=daemons, small=rng.randint(0, daemons - 1))
    calling = [Caller(number=n, world=world, seed=seed) for n in range(1, callers + 1)]
    found: list[str] = []
    brought: list[str] = []
    try:
        await world.start()
        # Another writer is at work all the while, so that all other troubles meet it.
        await world.control(foreign_writer=True)
        for caller in calling:
            caller.start()
        checking = asyncio.create_task(_check(world, calling, found))
        # Numbers of their own, so that the other troubles of a seed stay as they were.
        outages = random.Random(f"partitions {seed}")
        turning_away = asyncio.create_task(turn_partitions_away(world, outages, seconds, brought))
        sizes = random.Random(f"capacities {seed}")
        resizing = asyncio.create_task(resize_executors(world, sizes, seconds, brought))
        cuts = random.Random(f"daemons {seed}")
        partitioning = asyncio.create_task(partition_daemons(world, cuts, seconds, brought))
        await _bring_troubles(world, rng, seconds, brought)
        await turning_away
        await resizing
        await partitioning
        for caller in calling:
            caller.stopping.set()
        for caller in calling:
            await asyncio.to_thread(caller.join)
        checking.cancel()
        # A check that couldn't go on ends the run with its error; silent, it would check no more.
        with suppress(asyncio.CancelledError):
            await checking
        await asyncio.to_thread(_settle, calling, found)
        found += _broken(await world.history(), calling)
        await asyncio.gather(*(world.stop_gracefully(name) for name in world.names))
        found += world.found + _tracebacks(world, folder)
    finally:
        for caller in calling:
            caller.stopping.set()
        world.close()
    for caller in calling:
        found += caller.found
    asked = _asked(calling)
    accepted = sum(200 in one.statuses for one in asked.values())
    answers = sum(caller.answers for caller in calling)
    return Outcome(seed, sorted(set(found)), len(asked), accepted, answers, brought)


async def _bring_troubles(
    world: SoakWorld, rng: random.Random, seconds: float, brought: list[str]
) -> None:
    """Begin one trouble after another without waiting for their ends, then wait for these."""
    until = time.monotonic() + seconds
    going: set[asyncio.Task[None]] = set()
    while time.monotonic() < until:
        trouble = rng.choice(TROUBLES)
        brought.append(trouble.__name__)
        # Its own numbers, so that what one trouble draws doesn't depend on when others draw.
        task = asyncio.create_task(trouble(world, random.Random(rng.random())))
        going.add(task)
        await asyncio.sleep(rng.uniform(*PAUSE_S))
    await asyncio.gather(*going)


async def _check(world: SoakWorld, callers: list[Caller], found: list[str]) -> None:
    """Hold what callers were told against what executors did, while it goes on."""
    while not found:
        await asyncio.sleep(CHECK_S)
        found += _broken(await world.history(), callers)


def _asked(callers: list[Caller]) -> dict[str, JobHistory]:
    return {job: asked for caller in callers for job, asked in list(caller.asked_by_job.items())}


def _broken(history: History, callers: list[Caller]) -> list[str]:
    record = FleetRecord()
    record.runs = history.runs
    record.acknowledged = history.acknowledged
    record.lapses = history.lapses
    found = problems(record, _asked(callers), ATTEMPTS)
    found += crash_problems(record, history.crashing)
    return found + [f"{task} brought {name} over its room" for task, name in history.overloads]


def _settle(callers: list[Caller], found: list[str]) -> None:
    """Wait until each accepted job has ended, faults being over."""
    deadline = time.monotonic() + SETTLE_S
    open_jobs = [
        (caller, job)
        for caller in callers
        for job, asked in caller.asked_by_job.items()
        if 200 in asked.statuses
    ]
    last: dict[str, str] = {}
    while open_jobs and time.monotonic() < deadline:
        for caller, job in open_jobs:
            last[job] = caller.state(job)
        open_jobs = [(caller, job) for caller, job in open_jobs if last[job] not in FINAL_STATES]
        time.sleep(0.2)
    found += [f"{job} was accepted and hasn't ended: {last[job] or '?'}" for _, job in open_jobs]


def _tracebacks(world: SoakWorld, folder: Path) -> list[str]:
    return [
        f"{name} wrote a traceback: {folder / name}.log"
        for name in (*world.names, PLATFORM)
        if CRASH_MARK in world.processes.output(name)
    ]


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, help="A seed; fresh ones without.")
@click.option("--count", default=1, help="How many fresh seeds.")
@click.option("--seconds", default=SECONDS, help="For how long faults are brought.")
@click.option("--daemons", default=DAEMONS, help="How many daemons.")
@click.option("--callers", default=CALLERS, help="How many callers.")
@click.option("--keep", type=click.Path(), help="Where settings and logs are kept.")
def main(
    seeds: tuple[int, ...], count: int, seconds: float, daemons: int, callers: int, keep: str | None
) -> None:
    """Play seeds one after another; ends with 1 if any broke a promise."""
    failed = 0
    for seed in seeds or [random.SystemRandom().randrange(1_000_000) for _ in range(count)]:
        folder = Path(keep or tempfile.mkdtemp(prefix="soak-")) / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        outcome = asyncio.run(
            play(seed, seconds=seconds, daemons=daemons, callers=callers, folder=folder)
        )
        click.echo(
            f"seed {seed}: {outcome.jobs} jobs, {outcome.accepted} accepted, "
            f"{outcome.answers} answers, {len(outcome.troubles)} troubles, "
            f"{len(outcome.problems)} promises broken"
        )
        for problem in outcome.problems[:20]:
            click.echo(f"  {problem}")
        failed += bool(outcome.problems)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
