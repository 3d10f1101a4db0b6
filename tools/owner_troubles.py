"""Troubles that befall daemons, executors and the store of an owner world."""

import asyncio
from collections.abc import Callable, Collection, Coroutine, Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import msgspec

from mustardgap.dispatchers import Dispatcher
from mustardgap.shard_owners import shard_of
from mustardgap.workloads import JobSpec, Room, Step, Wave

from .owner_daemons import SERVICE, SHARDS, HeldClock
from .owner_worlds import CAPACITY, OwnerWorld

# No record of any kind, in any format.
UNREADABLE = b"\xc1{"

Trouble = Callable[[OwnerWorld], Coroutine[Any, Any, None]]

TWO_STEPS = JobSpec(
    "payload",
    (Step(3, 1_000, 500, 0, 0.6), Step(2, 2_000, 500, 0, 0.6, (0,), anti_affinity=1)),
)
LASTING = JobSpec(
    "lasting", (Step(3, 1_000, 500, 0, 0.0, lasting=True, may_miss=1, anti_affinity=2),)
)


async def none(world: OwnerWorld) -> None:
    """Nothing happens."""


async def owner_killed(world: OwnerWorld) -> None:
    """The owner dies and comes back later, as another incarnation."""
    name = world.owner() or world.names[0]
    world.kill(name)
    await asyncio.sleep(4)
    world.start(name)


async def owner_part_fails(world: OwnerWorld) -> None:
    """A part of the owner fails, so that it ends, while the store still holds it for the owner."""
    shard = shard_of(SERVICE, SHARDS)
    for daemon in world.daemons_by_address.values():
        owned = daemon.owners.owned_by_shard.get(shard)
        if isinstance(owned, Dispatcher):
            owned.log.close()
            owned._wake.set()


async def owner_frozen(world: OwnerWorld) -> None:
    """The owner stands still for longer than its membership lasts, then goes on."""
    name = world.owner() or world.names[0]
    if f"{name}:1" not in world.daemons_by_address:
        return
    clock = world.daemon(name).clock
    assert isinstance(clock, HeldClock)
    clock.gate.clear()
    await asyncio.sleep(4)
    clock.gate.set()


async def owner_stopped(world: OwnerWorld) -> None:
    """The owner is stopped in good order and started again."""
    name = world.owner() or world.names[0]
    if f"{name}:1" not in world.daemons_by_address:
        return
    await world.stop(name)
    await asyncio.sleep(1)
    world.start(name)


async def all_killed(world: OwnerWorld) -> None:
    """All daemons die at once, and come back together."""
    for name in world.names:
        world.kill(name)
    await asyncio.sleep(3)
    for name in world.names:
        if f"{name}:1" not in world.daemons_by_address:
            world.start(name)


async def store_down(world: OwnerWorld) -> None:
    """The store answers nobody for a while."""
    world.store.down = True
    await asyncio.sleep(6)
    world.store.down = False


def partition_of_pool(*, failover: bool) -> tuple[int, bool]:
    """One of the two partitions of the pool's queues, as the fake store names it."""
    return shard_of(SERVICE, SHARDS), failover


async def partition_away(world: OwnerWorld) -> None:
    """The store turns the partition of the pool's queues away, and serves all others."""
    world.store.away = {partition_of_pool(failover=False)}
    await asyncio.sleep(6)
    world.store.away = set()


async def partition_away_and_owner_killed(world: OwnerWorld) -> None:
    """The owner dies while the partition of its queues is away."""
    world.store.away = {partition_of_pool(failover=False)}
    await asyncio.sleep(2)
    await owner_killed(world)
    world.store.away = set()


async def partitions_in_turn(world: OwnerWorld) -> None:
    """First one partition of the pool's queues is away, then the other, and the owner dies."""
    for failover in (False, True):
        world.store.away = {partition_of_pool(failover=failover)}
        await asyncio.sleep(2)
    await owner_killed(world)
    world.store.away = set()


async def store_slow(world: OwnerWorld) -> None:
    """Each answer of the store takes a quarter of a second."""
    world.store.slow_s = 0.25
    await asyncio.sleep(5)
    world.store.slow_s = 0.0


async def store_loses_answers(world: OwnerWorld) -> None:
    """A third of the calls take effect and aren't answered."""
    world.store.lost_share = 0.33
    await asyncio.sleep(5)
    world.store.lost_share = 0.0


async def owner_cut_from_store(world: OwnerWorld) -> None:
    """The owner alone can't reach the store, but all executors."""
    name = world.owner() or world.names[0]
    world.store.cut_hosts.add(name)
    await asyncio.sleep(6)
    world.store.cut_hosts.discard(name)


@contextmanager
def cut_off(world: OwnerWorld, host: str, near: Collection[str]) -> Iterator[None]:
    """Cut a daemon and some executors off from the store, the other daemons and executors.

    :param near: the executors that only this daemon reaches, by their ids.
    """
    executors = [executor.entry.executor for executor in _living(world)]
    cut: set[tuple[str | None, str]] = {
        (name, executor)
        for name in world.names
        for executor in executors
        if (name == host) != (executor in near)
    }
    world.fleet.cut |= cut
    world.store.cut_hosts.add(host)
    try:
        yield
    finally:
        world.fleet.cut -= cut
        world.store.cut_hosts.discard(host)


def _idle_half(world: OwnerWorld) -> list[str]:
    """The executors with the fewest runs, half of those that live."""
    living = sorted(_living(world), key=lambda executor: len(executor.runs))
    return [executor.entry.executor for executor in living[: len(living) // 2]]


async def owner_cut_off_with_executors(world: OwnerWorld) -> None:
    """The owner and half of the executors are cut off, for longer than it goes on alone."""
    with cut_off(world, world.owner() or world.names[0], _idle_half(world)):
        await asyncio.sleep(13)


async def owner_cut_off_and_executor_replaced(world: OwnerWorld) -> None:
    """Once a cut-off owner has a successor, both find another life at an executor's address."""
    name = world.owner() or world.names[0]
    near = _idle_half(world)
    with cut_off(world, name, near):
        await asyncio.sleep(2.5)
        executor = next((e for e in _living(world) if e.entry.executor not in near), None)
        if executor is not None:
            executor.crash()
            world.fleet.cut.discard((name, executor.entry.executor))
            world.bear_again(executor.entry.machine)
        await asyncio.sleep(5)


async def owner_cut_off_and_dealt_anew(world: OwnerWorld) -> None:
    """All shards are dealt anew, twice, while the owner reaches half of the executors only."""
    name = world.owner() or world.names[0]
    with cut_off(world, name, _idle_half(world)):
        world.store.cut_hosts.discard(name)
        await asyncio.sleep(3)
        for _ in range(2):
            world.store.deal_anew()
            await asyncio.sleep(0.2)
        await asyncio.sleep(5)


async def dealt_anew(world: OwnerWorld) -> None:
    """The store deals all shards to other members without asking."""
    world.store.deal_anew()


async def executor_crashes(world: OwnerWorld) -> None:
    """An executor dies with what it runs; its machine is back later with another life."""
    executor = _some_executor(world)
    if executor is None:
        return
    executor.crash()
    await asyncio.sleep(5)
    world.bear_again(executor.entry.machine)


async def executor_loses_power(world: OwnerWorld) -> None:
    """An executor's machine goes dark with what it runs, and is back later with another life."""
    executor = _some_executor(world)
    if executor is None:
        return
    executor.crash(dark=True)
    await asyncio.sleep(5)
    world.bear_again(executor.entry.machine)


async def rack_crashes(world: OwnerWorld) -> None:
    """Half of the executors crash at once, and are back later."""
    living = _living(world)
    rack = living[: len(living) // 2]
    for executor in rack:
        executor.crash()
    await asyncio.sleep(4)
    for executor in rack:
        world.bear_again(executor.entry.machine)


async def rack_is_cut_reset(world: OwnerWorld) -> None:
    """The connections to half of the executors are reset, and refused for a while."""
    living = _living(world)
    addresses = {executor.entry.address for executor in living[: len(living) // 2]}
    world.fleet.refused |= addresses
    await asyncio.sleep(2)
    world.fleet.refused -= addresses


async def address_reused(world: OwnerWorld) -> None:
    """Another life answers at an executor's address at once."""
    executor = _some_executor(world)
    if executor is None:
        return
    executor.crash()
    world.bear_again(executor.entry.machine)


async def executor_cut(world: OwnerWorld) -> None:
    """An executor runs on while no host reaches it."""
    executor = _some_executor(world)
    if executor is None:
        return
    pair = (None, executor.entry.executor)
    world.fleet.cut.add(pair)
    await asyncio.sleep(6)
    world.fleet.cut.discard(pair)


async def executor_cut_and_owner_killed(world: OwnerWorld) -> None:
    """An executor runs on out of reach while its owner is replaced."""
    await asyncio.gather(executor_cut(world), owner_killed(world))


async def entry_lapses_and_owner_killed(world: OwnerWorld) -> None:
    """The list of executors lacks one that is out of reach and works, and the owner dies."""
    executor = _some_executor(world)
    if executor is not None:
        world.store.write_entry(executor.entry.executor, None)
    await asyncio.gather(executor_cut(world), owner_killed(world))


async def orders_held_up(world: OwnerWorld) -> None:
    """Half of the orders get no answer and are carried out 2 to 12 s later."""
    world.fleet.late_share = 0.5
    await asyncio.sleep(5)
    world.fleet.late_share = 0.0


async def executors_lose_answers(world: OwnerWorld) -> None:
    """Half of all calls to executors take effect and aren't answered; tasks are short."""
    world.fleet.lost_share = 0.5
    await asyncio.sleep(6)
    world.fleet.lost_share = 0.0


async def executor_fails_all(world: OwnerWorld) -> None:
    """An executor fails all that it starts."""
    executor = _some_executor(world)
    if executor is None:
        return
    executor.fails = True
    await asyncio.sleep(6)
    executor.fails = False


async def executor_hangs(world: OwnerWorld) -> None:
    """What runs on an executor stands still."""
    executor = _some_executor(world)
    if executor is None:
        return
    executor.hangs = True
    await asyncio.sleep(8)
    executor.hangs = False


async def capacities_shrink(world: OwnerWorld) -> None:
    """Every executor's capacity shrinks by half, one's to nothing, and grows again."""
    living = _living(world)
    for number, executor in enumerate(living):
        share = 0.0 if number == 0 else 0.5
        executor.resize(Room(*(int(amount * share) for amount in executor.entry.capacity)))
    await asyncio.sleep(6)
    for executor in living:
        executor.resize(CAPACITY)


async def capacities_shrink_unseen(world: OwnerWorld) -> None:
    """Every executor's capacity shrinks to nothing while the store, which shows it, is away."""
    world.store.down = True
    living = _living(world)
    for executor in living:
        executor.resize(Room())
    await asyncio.sleep(7.5)
    world.store.down = False
    await asyncio.sleep(3)
    for executor in living:
        executor.resize(CAPACITY)


async def capacities_shrink_and_owner_killed(world: OwnerWorld) -> None:
    """Capacities shrink, and the owner dies meanwhile."""
    await asyncio.gather(capacities_shrink(world), owner_killed(world))


async def executor_drains(world: OwnerWorld) -> None:
    """An executor announces that it leaves, and is gone some seconds later."""
    executor = _some_executor(world)
    if executor is None:
        return
    executor.entry = executor.entry._replace(draining=True)
    world.publish(executor)
    world.drained_at_by_executor[executor.entry.executor] = world.loop.time()
    await asyncio.sleep(3.5)
    executor.crash()
    world.store.write_entry(executor.entry.executor, None)
    await asyncio.sleep(2)
    world.bear_again(executor.entry.machine)


async def all_fails_and_configuration_late(world: OwnerWorld) -> None:
    """All runs fail while the store is away, all daemons die, and read the configuration late."""
    world.store.down = True
    for executor in world.fleet.by_address.values():
        executor.fails = True
    await asyncio.sleep(4)
    for name in world.names:
        world.kill(name)
    world.store.operator_held = True
    world.store.down = False
    for name in world.names:
        world.start(name)
    await asyncio.sleep(2)
    world.store.operator_held = False


async def entries_overwritten(world: OwnerWorld) -> None:
    """Another writer puts what nobody can read over all executors' entries, and adds one."""
    for executor in list(world.fleet.by_address.values()):
        world.store.write_entry(executor.entry.executor, UNREADABLE)
    world.store.write_entry("x-of-nobody", UNREADABLE)
    await asyncio.sleep(3)


async def wave_comes(world: OwnerWorld) -> None:
    """Half of the pool's machines are due for maintenance, one at a time."""
    publish_wave(world, ["m1", "m2"])


def publish_wave(world: OwnerWorld, machines: Sequence[str], at_once: int = 1) -> int:
    """Ask for the maintenance of machines.

    :param at_once: how many may be down at once.
    :return: the wave's number.
    """
    number = world.store.random.randrange(1, 10_000)
    wave = Wave(number, tuple(machines), 20.0, at_once)
    world.machines.at_once_by_wave[number] = wave.at_once
    world.store.write_operator(f"wave/{number}", msgspec.msgpack.encode(wave))
    return number


async def wave_comes_and_owner_stops(world: OwnerWorld) -> None:
    """The owner is stopped just as a lasting task is on its way off a machine of a wave."""
    await wave_comes(world)
    for _ in range(400):
        await asyncio.sleep(0.05)
        executors = world.fleet.by_address.values()
        stops = [[run.stop_at is not None for run in e.runs.values()] for e in executors]
        if any(any(stopping) and not all(stopping) for stopping in stops):
            await owner_stopped(world)
            return


def _some_executor(world: OwnerWorld):  # type: ignore[no-untyped-def]
    """An executor that runs something, or any that lives."""
    living = _living(world)
    busy = [e for e in living if e.runs]
    return next(iter(busy or living), None)


def _living(world: OwnerWorld):  # type: ignore[no-untyped-def]
    return [e for e in world.fleet.by_address.values() if e.alive]


BY_NAME: dict[str, Trouble] = {
    trouble.__name__.replace("_", " "): trouble
    for trouble in (
        none,
        owner_killed,
        owner_part_fails,
        owner_frozen,
        owner_stopped,
        all_killed,
        store_down,
        partition_away,
        partition_away_and_owner_killed,
        partitions_in_turn,
        store_slow,
        store_loses_answers,
        owner_cut_from_store,
        owner_cut_off_with_executors,
        owner_cut_off_and_executor_replaced,
        owner_cut_off_and_dealt_anew,
        dealt_anew,
        executor_crashes,
        executor_loses_power,
        rack_crashes,
        rack_is_cut_reset,
        address_reused,
        executor_cut,
        executor_cut_and_owner_killed,
        entry_lapses_and_owner_killed,
        orders_held_up,
        executors_lose_answers,
        executor_fails_all,
        all_fails_and_configuration_late,
        executor_hangs,
        capacities_shrink,
        capacities_shrink_unseen,
        capacities_shrink_and_owner_killed,
        executor_drains,
        entries_overwritten,
        wave_comes,
        wave_comes_and_owner_stops,
    )
}
