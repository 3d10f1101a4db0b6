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
from tools.owner_worlds import play

# Longer than an owner that is cut off goes on.
PARTITION_S = 13.0
WORK_S = 8.0


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
