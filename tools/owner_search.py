"""Plays random scenes of owners in virtual time, with partitions, and prints broken promises.

Usage: ``python -m tools.owner_search FIRST LAST``, for the seeds from FIRST to before LAST.
"""

import asyncio
import contextlib
import io
import random
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import click

from mustardgap.workloads import JobSpec

from .fake_executors import FakeExecutor
from .owner_daemons import SERVICE, HeldClock
from .owner_machine import START_S
from .owner_troubles import BY_NAME, LASTING, TWO_STEPS
from .owner_worlds import OwnerWorld, play

Trouble = Callable[[OwnerWorld, random.Random], Coroutine[Any, Any, None]]

WORK_S = (0.3, 0.6, 1, 2, 4, 8, 12, 20)
# Jobs are waited for this long after the last trouble.
END_S = 80.0
FINAL_STATES = ("completed", "failed", "canceled")
# Troubles that fail jobs by themselves.
LEFT_OUT = ("none", "all fails and configuration late", "executor fails all")


def _pool(world: OwnerWorld) -> list[FakeExecutor]:
    return [e for e in world.fleet.by_address.values() if e.entry.service == SERVICE]


def _owner(world: OwnerWorld) -> str:
    return world.owner() or world.names[0]


async def partition(world: OwnerWorld, rnd: random.Random) -> None:
    """Some hosts and executors are cut off from the others, mostly from the store as well."""
    owner = _owner(world)
    hosts = {owner} if rnd.random() < 0.8 else {rnd.choice(world.names)}
    if rnd.random() < 0.2:
        hosts.add(rnd.choice(world.names))
    pool = [e.entry.executor for e in _pool(world)]
    near = set(rnd.sample(pool, rnd.randint(0, len(pool) - 1)))
    both = set(rnd.sample(pool, rnd.randint(0, 2))) if rnd.random() < 0.5 else set()
    cut: set[tuple[str | None, str]] = {
        (host, executor)
        for host in world.names
        for executor in pool
        if executor not in both and (host in hosts) != (executor in near)
    }
    world.fleet.cut |= cut
    await asyncio.sleep(rnd.choice([0, 0, rnd.uniform(0, 5)]))
    from_store = hosts if rnd.random() < 0.8 else set()
    world.store.cut_hosts |= from_store
    await asyncio.sleep(rnd.choice([rnd.uniform(0.5, 5), rnd.uniform(2, 9), rnd.uniform(8, 15)]))
    heals_first = rnd.random()
    if heals_first < 0.3:
        world.store.cut_hosts -= from_store
        await asyncio.sleep(rnd.uniform(0, 5))
    world.fleet.cut -= cut
    if 0.3 <= heals_first < 0.6:
        await asyncio.sleep(rnd.uniform(0, 5))
    world.store.cut_hosts -= from_store


async def freeze(world: OwnerWorld, rnd: random.Random) -> None:
    """A daemon, mostly the owner, stands still."""
    name = world.owner() if rnd.random() < 0.7 else rnd.choice(world.names)
    if name is None or f"{name}:1" not in world.daemons_by_address:
        return
    clock = world.daemon(name).clock
    assert isinstance(clock, HeldClock)
    clock.gate.clear()
    await asyncio.sleep(rnd.choice([rnd.uniform(0.1, 2), rnd.uniform(1.5, 6), rnd.uniform(5, 10)]))
    clock.gate.set()


async def reassign(world: OwnerWorld, rnd: random.Random) -> None:
    """All shards are reassigned."""
    world.store.deal_anew()


async def reassign_twice(world: OwnerWorld, rnd: random.Random) -> None:
    """All shards are reassigned, and soon again."""
    world.store.deal_anew()
    await asyncio.sleep(rnd.uniform(0, 0.5))
    world.store.deal_anew()


async def reassign_often(world: OwnerWorld, rnd: random.Random) -> None:
    """All shards are reassigned several times."""
    for _ in range(rnd.randint(1, 6)):
        await asyncio.sleep(rnd.uniform(0, 3))
        world.store.deal_anew()


async def stop(world: OwnerWorld, rnd: random.Random) -> None:
    """The owner is stopped in good order and started again."""
    name = world.owner()
    if name is None or f"{name}:1" not in world.daemons_by_address:
        return
    await world.stop(name)
    await asyncio.sleep(rnd.uniform(0, 3))
    world.start(name)


async def replace(world: OwnerWorld, rnd: random.Random) -> None:
    """An executor crashes, and another one comes at its address."""
    living = [e for e in _pool(world) if e.alive]
    candidates = [e for e in living if e.runs] or living
    if not candidates:
        return
    executor = rnd.choice(candidates)
    executor.crash(dark=rnd.random() < 0.3)
    await asyncio.sleep(rnd.choice([0, rnd.uniform(0, 4)]))
    if rnd.random() < 0.5:
        world.fleet.cut = {cut for cut in world.fleet.cut if cut[1] != executor.entry.executor}
    world.bear_again(executor.entry.machine)


async def slow_host(world: OwnerWorld, rnd: random.Random) -> None:
    """The store answers the owner slowly."""
    name = _owner(world)
    world.store.slow_hosts[name] = rnd.uniform(0.05, 0.6)
    await asyncio.sleep(rnd.uniform(1, 6))
    world.store.slow_hosts.pop(name, None)


async def lose_answers(world: OwnerWorld, rnd: random.Random) -> None:
    """Answers of the store, and perhaps of executors, are lost."""
    world.store.lost_share = rnd.uniform(0.1, 0.6)
    world.fleet.lost_share = rnd.choice([0, 0.3])
    await asyncio.sleep(rnd.uniform(1, 6))
    world.store.lost_share = world.fleet.lost_share = 0.0


async def cut_from_store(world: OwnerWorld, rnd: random.Random) -> None:
    """The owner alone can't reach the store."""
    name = _owner(world)
    world.store.cut_hosts.add(name)
    await asyncio.sleep(rnd.uniform(1, 12))
    world.store.cut_hosts.discard(name)


async def cancel(world: OwnerWorld, rnd: random.Random) -> None:
    """A job is cancelled, by repeated requests until one is answered."""
    for _ in range(30):
        jobs = sorted(world.asked_by_job)
        if jobs and await world.cancel(rnd.choice(jobs), rnd.choice(world.names)) == 200:
            return
        await asyncio.sleep(0.3)


def _named(name: str) -> Trouble:
    return lambda world, rnd: BY_NAME[name](world)


# Drawn by place; a trouble that stands here more often comes more often.
TROUBLES: tuple[Trouble, ...] = (
    *(partition, partition, partition, freeze, freeze, reassign, reassign_often, reassign_twice),
    *(replace, slow_host, stop, _named("wave comes"), lose_answers, cut_from_store, cancel),
    *(_named("executor drains"), _named("address reused")),
)
OTHERS = tuple(name for name in BY_NAME if name not in LEFT_OUT)


class Scene:
    """One random scene.

    :param seed: draws everything.
    """

    def __init__(self, *, seed: int) -> None:
        self._rnd = rnd = random.Random(seed)
        self.options = {
            "daemons": rnd.randint(3, 5),
            "executors": rnd.randint(4, 6),
            "work_s": rnd.choice(WORK_S),
            "seed": seed,
            "states_starts": rnd.random() < 0.5,
        }
        self._steps = [self._draw_step() for _ in range(rnd.randint(2, 7))]
        self._spec = self._draw_spec()
        self._jobs = rnd.randint(1, 4)
        self._lasting = rnd.random() < 0.7

    def _draw_step(self) -> tuple[Trouble, float]:
        rnd = self._rnd
        drawn = rnd.random() < 0.9
        trouble = rnd.choice(TROUBLES) if drawn else _named(rnd.choice(OTHERS))
        pauses = [0, rnd.uniform(0, 0.5), rnd.uniform(0, 3), rnd.uniform(1, 6)]
        return trouble, rnd.choice(pauses)

    def _draw_spec(self) -> JobSpec:
        if self._rnd.random() >= 0.3:
            return TWO_STEPS
        first, second = TWO_STEPS.steps
        return TWO_STEPS._replace(steps=(first._replace(width=self._rnd.randint(4, 12)), second))

    async def play(self, world: OwnerWorld) -> None:
        """Play the scene, and wait for its jobs."""
        await asyncio.sleep(START_S)
        working = [asyncio.ensure_future(self._submit(world, n)) for n in range(self._jobs)]
        if self._lasting:
            working.append(asyncio.ensure_future(self._submit(world, 98)))
            may_miss, width = self._rnd.choice([1, 2]), self._rnd.randint(3, 5)
            step = LASTING.steps[0]._replace(may_miss=may_miss, width=width)
            await world.submit_until_accepted(_job_id(99), LASTING._replace(steps=(step,)))
        await asyncio.sleep(self._rnd.uniform(0.2, 3))
        for trouble, pause_s in self._steps:
            working.append(asyncio.ensure_future(trouble(world, self._rnd)))
            await asyncio.sleep(pause_s)
        await asyncio.gather(*working)
        for name in world.names:
            world.start(name)
        await asyncio.sleep(3)
        await self._await_ends(world)

    async def _submit(self, world: OwnerWorld, number: int) -> None:
        await asyncio.sleep(self._rnd.uniform(0, 4))
        job_id = _job_id(number)
        accepted = await world.submit_until_accepted(job_id, self._spec)
        if not accepted and job_id not in world.cancelling:
            world.found.append(f"{job_id} wasn't accepted")

    async def _await_ends(self, world: OwnerWorld) -> None:
        for number in range(self._jobs):
            job_id = _job_id(number)
            if 200 not in world.asked_by_job[job_id].statuses:
                continue
            state = await world.final_state(job_id, END_S)
            if state not in FINAL_STATES:
                world.found.append(f"{job_id} hasn't ended: {state}")


def _job_id(number: int) -> str:
    return f"{number:016x}"


def problems_of(seed: int) -> list[str]:
    """Play a scene, without its log.

    :return: the promises that it broke.
    """
    scene = Scene(seed=seed)
    with contextlib.redirect_stdout(io.StringIO()):
        return play(scene.play, **scene.options).problems()


@click.command()
@click.argument("first", type=int)
@click.argument("last", type=int)
def main(first: int, last: int) -> None:
    """Play the seeds from FIRST to before LAST; exit with 1 if one broke a promise."""
    broken = 0
    for seed in range(first, last):
        found = problems_of(seed)
        broken += bool(found)
        for problem in found:
            click.echo(f"seed {seed}: {problem}")
    click.echo(f"{last - first} scenes, {broken} broke a promise")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
