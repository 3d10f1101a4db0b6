"""Steps for an owner that leaves before the leases of an earlier one have lapsed."""

import asyncio

from behave import when

from features.support.owner_jobs import START_S, run_jobs
from features.support.partitions import cut_off_together, next_owner
from tools.owner_worlds import play

# Longer than an owner that is cut off renews leases, and these last.
WORK_S = 20.0
PARTITION_S = 13.0


@when("an owner and an executor with its runs are cut off together, and the next owner {leaves}")
def cut_off_and_leave(context, leaves):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, 1))
        await asyncio.sleep(1)
        first = world.owner()
        near = world.fleet.record.runs[0].executor
        with cut_off_together(world, first, near):
            began = world.loop.time()
            second = await next_owner(world, first)
            await asyncio.sleep(0.3)
            if leaves == "is stopped":
                await world.stop(second)
            else:
                world.kill(second)
            await asyncio.sleep(began + PARTITION_S - world.loop.time())
        await work

    context.world = play(scene, work_s=WORK_S, **context.options)
