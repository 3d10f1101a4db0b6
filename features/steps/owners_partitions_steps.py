"""Steps for an owner that is cut off from the store, with some of the executors."""

import asyncio

from behave import when

from features.support.owner_jobs import START_S, run_jobs
from features.support.partitions import (
    cut_off_together,
    executors_of_pool,
    idle_executor,
    next_owner,
)
from mustardgap.shard_owners import RENEW_INTERVAL_S
from tools.owner_worlds import play

# Longer than an owner that is cut off goes on.
PARTITION_S = 13.0
WORK_S = 8.0
# By then an executor that is cut off has answered no poll any more.
POLL_S = 1.5
# Before leases count as lapsed: they still run, and a membership that is renewed now will, too.
TAKEOVER_S = 0.5
# After this time a new owner has renewed the leases of the executors that it reaches.
RENEWED_S = 0.05
# With this delay of the store, an owner takes a quarter of a second to hand a shard over.
SLOW_S = 0.25
# An owner looks at leases that have lapsed every 0.65 s, so some of these moments are while it
# hands another shard over.
REASSIGNMENTS, PAUSE_S = 7, 0.1


@when("tasks of {work:g} s run while their owner and an idle executor are cut off together")
def cut_off_from_runs(context, work):
    async def scene(world):
        await asyncio.sleep(START_S)
        jobs = asyncio.ensure_future(run_jobs(world, context.states, 1))
        await asyncio.sleep(1)
        with cut_off_together(world, world.owner(), idle_executor(world)):
            await asyncio.sleep(PARTITION_S)
        await jobs

    context.world = play(scene, work_s=work, **context.options)


@when("tasks run while their owner is cut off, and their executor is replaced")
def replace_executor(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        jobs = asyncio.ensure_future(run_jobs(world, context.states, 1))
        await asyncio.sleep(1)
        first, busy = world.owner(), world.fleet.record.runs[0].executor
        with cut_off_together(world, first, idle_executor(world)):
            await next_owner(world, first)
            await asyncio.sleep(0.5)
            executor = next(e for e in executors_of_pool(world) if e.entry.executor == busy)
            executor.crash()
            world.fleet.cut.discard((first, busy))
            world.bear_again(executor.entry.machine)
            await asyncio.sleep(PARTITION_S)
        await jobs

    context.world = play(scene, work_s=WORK_S, **context.options)


@when("shards are {reassigned} while their owner can't reach an executor, and it learns that late")
def reassign_shards(context, reassigned):
    def scene_after(pause_s):
        async def scene(world):
            await asyncio.sleep(START_S)
            jobs = asyncio.ensure_future(run_jobs(world, {}, 1))
            await asyncio.sleep(1)
            first = world.owner()
            (second,) = (name for name in world.names if name != first)
            busy = next(e for e in executors_of_pool(world) if e.runs)
            link = world.dispatcher().roster.links_by_executor[busy.entry.executor]
            with cut_off_together(world, first, idle_executor(world)):
                world.store.cut_hosts.discard(first)
                await asyncio.sleep(POLL_S)
                lapsed_at = link._executor_clock.lapsed_at()
                await asyncio.sleep(lapsed_at - TAKEOVER_S - world.loop.time())
                owners = await _stop_renewing(world.daemon(first))
                world.store.deal_anew()
                await world.daemon(second).owners._renew()
                if reassigned == "reassigned and given back":
                    await asyncio.sleep(RENEWED_S)
                    world.store.deal_anew()
                await asyncio.sleep(lapsed_at + pause_s - world.loop.time())
                world.store.slow_hosts[first] = SLOW_S
                await owners._renew()
                world.store.slow_hosts.clear()
                world.daemon(first).tasks.append(asyncio.ensure_future(_renew_again(owners)))
                await asyncio.sleep(2)
            await jobs

        return scene

    context.failures = []
    for number in range(REASSIGNMENTS):
        scene = scene_after(number * PAUSE_S)
        world = play(scene, work_s=WORK_S, daemons=2, executors=2, **context.options)
        context.failures += world.problems()


async def _stop_renewing(daemon):
    """Renew a daemon's membership a last time.

    :return: its owners, which renew it no more by themselves.
    """
    *_, renewing = daemon.tasks
    renewing.cancel()
    await asyncio.wait([renewing])
    await daemon.owners._renew()
    return daemon.owners


async def _renew_again(owners):
    """Renew a membership at the usual interval, without giving it up first."""
    while True:
        await asyncio.sleep(RENEW_INTERVAL_S)
        await owners._renew()
