"""Faults that a soak brings from outside the processes; they come in series and overlap."""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

from .links import Link, Way
from .soak_world import EXECUTORS, SoakWorld
from .wire_platform import SHARDS

Trouble = Callable[[SoakWorld, random.Random], Coroutine[Any, Any, None]]
SHORT_S, LONG_S = 0.3, 5.0
# A process that ended is started again after this.
RESTART_S = (0.1, 3.0)
DELAYS_S = (0.02, 0.4)
# An owner that is cut off from the store goes on for 8 s, and takes leases for lapsed after 3.8 s.
PARTITION_S = (5.0, 12.0)
# To what share of its whole capacity an executor shrinks; a task takes a fortieth of it.
SHARES = (0.0, 0.03, 0.1)


async def daemon_killed(world: SoakWorld, rng: random.Random) -> None:
    """A daemon dies, and is started again."""
    name = _take_daemon(world, rng)
    if name is not None:
        world.kill(name)
        await _restart(world, rng, name)


async def daemon_stopped(world: SoakWorld, rng: random.Random) -> None:
    """A daemon is stopped in good order, and started again."""
    name = _take_daemon(world, rng)
    if name is not None:
        await world.stop_gracefully(name)
        await _restart(world, rng, name)


async def daemon_killed_while_stopping(world: SoakWorld, rng: random.Random) -> None:
    """A daemon that is stopping dies on the way."""
    name = _take_daemon(world, rng)
    if name is not None:
        stopping = asyncio.ensure_future(world.stop(name))
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        world.kill(name)
        await stopping
        await _restart(world, rng, name)


async def all_killed(world: SoakWorld, rng: random.Random) -> None:
    """All daemons die at once, and come back one after another."""
    names = [name for name in world.names if name not in world.busy]
    world.busy |= set(names)
    for name in names:
        world.kill(name)
    for name in names:
        await _restart(world, rng, name)


async def daemon_frozen(world: SoakWorld, rng: random.Random) -> None:
    """A daemon stands still, for less or more than its membership lasts."""
    name = _take_daemon(world, rng)
    if name is not None:
        await world.freeze(name, rng.uniform(SHORT_S, LONG_S))
        world.busy.discard(name)


async def settings_reloaded(world: SoakWorld, rng: random.Random) -> None:
    """Daemons are told that their settings have changed, in quick succession."""
    for _ in range(rng.randint(1, 5)):
        up = [name for name in world.names if world.is_up(name)]
        if up:
            world.reload(rng.choice(up))
        await asyncio.sleep(rng.uniform(0.0, 0.3))


async def store_down(world: SoakWorld, rng: random.Random) -> None:
    """The store answers nobody."""
    await world.control(down=True)
    await asyncio.sleep(rng.uniform(SHORT_S, LONG_S))
    await world.control(down=False)


async def store_slow(world: SoakWorld, rng: random.Random) -> None:
    """Each answer of the store takes long."""
    await world.control(slow_s=rng.choice((0.05, 0.24, 0.6)))
    await asyncio.sleep(rng.uniform(SHORT_S, LONG_S))
    await world.control(slow_s=0.0)


async def link_slow(world: SoakWorld, rng: random.Random) -> None:
    """A link delays all that passes."""
    link = _any_link(world, rng)
    link.delay_s = rng.uniform(*DELAYS_S)
    await asyncio.sleep(rng.uniform(SHORT_S, LONG_S))
    link.delay_s = 0.0


async def link_cut(world: SoakWorld, rng: random.Random) -> None:
    """A link carries nothing one way, or either."""
    link = _any_link(world, rng)
    link.cut(*rng.choice(([Way.OUT], [Way.BACK], [Way.OUT, Way.BACK])))
    await asyncio.sleep(rng.uniform(SHORT_S, LONG_S))
    link.cut()


async def link_reset(world: SoakWorld, rng: random.Random) -> None:
    """All connections of a link are reset, again and again."""
    link = _any_link(world, rng)
    for _ in range(rng.randint(1, 4)):
        link.reset()
        await asyncio.sleep(rng.uniform(0.0, 0.5))


async def links_silenced(world: SoakWorld, rng: random.Random) -> None:
    """Open connections go silent for good, on one link or on all; new ones work."""
    links = [_any_link(world, rng)] if rng.random() < 0.7 else list(world.links.values())
    for link in links:
        link.silence()


async def turn_partitions_away(
    world: SoakWorld, rng: random.Random, seconds: float, brought: list[str]
) -> None:
    """The store turns some partitions away and serves the others, time and again."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        await asyncio.sleep(rng.uniform(SHORT_S, LONG_S))
        places = [(part, failover) for part in range(SHARDS) for failover in (False, True)]
        brought.append(turn_partitions_away.__name__)
        await world.control(away=rng.sample(places, rng.randint(1, len(places) // 2)))
        await asyncio.sleep(rng.uniform(SHORT_S, LONG_S))
        await world.control(away=[])


async def resize_executors(
    world: SoakWorld, rng: random.Random, seconds: float, brought: list[str]
) -> None:
    """Executors' capacities shrink, some to nothing, and grow again, time and again."""
    machines = [f"m{number}" for number in range(1, EXECUTORS + 1)]
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        await asyncio.sleep(rng.uniform(SHORT_S, LONG_S))
        chosen = rng.sample(machines, rng.randint(1, len(machines)))
        brought.append(resize_executors.__name__)
        await world.control(resize={machine: rng.choice(SHARES) for machine in chosen})
        await asyncio.sleep(rng.uniform(SHORT_S, 2 * LONG_S))
        await world.control(resize=dict.fromkeys(machines, 1.0))


async def partition_daemons(
    world: SoakWorld, rng: random.Random, seconds: float, brought: list[str]
) -> None:
    """An owner is cut off from the store and some executors, other daemons from the rest."""
    numbers = range(1, EXECUTORS + 1)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        await asyncio.sleep(rng.uniform(SHORT_S, LONG_S))
        name = await world.owner() or rng.choice(world.names)
        out_of_reach = rng.sample(numbers, rng.randint(1, EXECUTORS - 1))
        rest = [number for number in numbers if number not in out_of_reach]
        alone_with = rng.sample(rest, rng.randint(1, len(rest)))
        links = [world.links[f"store {name}"]]
        links += [world.executor_links[name, number] for number in out_of_reach]
        others = [other for other in world.names if other != name]
        links += [world.executor_links[other, n] for other in others for n in alone_with]
        brought.append(partition_daemons.__name__)
        for link in links:
            link.cut(*Way)
        await asyncio.sleep(rng.uniform(*PARTITION_S))
        for link in links:
            link.cut()


TROUBLES: tuple[Trouble, ...] = (
    daemon_killed,
    daemon_stopped,
    daemon_killed_while_stopping,
    all_killed,
    daemon_frozen,
    settings_reloaded,
    store_down,
    store_slow,
    link_slow,
    link_cut,
    link_reset,
    links_silenced,
)


def _take_daemon(world: SoakWorld, rng: random.Random) -> str | None:
    """A daemon that no other trouble holds; it is held until it runs again."""
    free = [name for name in world.names if name not in world.busy and world.is_up(name)]
    if not free:
        return None
    name = rng.choice(free)
    world.busy.add(name)
    return name


async def _restart(world: SoakWorld, rng: random.Random, name: str) -> None:
    await asyncio.sleep(rng.uniform(*RESTART_S))
    world.start_daemon(name)
    await world.wait_begun(name)
    world.busy.discard(name)


def _any_link(world: SoakWorld, rng: random.Random) -> Link:
    return world.links[rng.choice(sorted(world.links))]
