"""Steps of a rise of jobs of many tasks while a few of all orders are carried out late."""

import asyncio

from behave import then, when

from features.support.owner_jobs import START_S, job_id_of
from mustardgap.workloads import JobSpec, Step
from tools.owner_worlds import play

# One step of many short tasks: it ends when the last of them is known to have ended.
WIDTH = 12
TASK_S = 0.64
WIDE = JobSpec("payload", (Step(WIDTH, 100, 50, 0, TASK_S),))
# As a caller of short jobs wants it: 1.6 times the work, and 0.6 s.
WANTED_S = 1.6 * TASK_S + 0.6
JOBS = 60
PAUSE_S = 0.12


@when("{share:g} of all orders to executors are held up while jobs of many tasks come")
def rise_beside_held_orders(context, share):
    _rise(context, lambda world: setattr(world.fleet, "late_share", share))


@when("each answer of the store takes {seconds:g} s while jobs of many tasks come")
def rise_beside_slow_store(context, seconds):
    _rise(context, lambda world: setattr(world.store, "slow_s", seconds))


def _rise(context, begin):
    """Have wide jobs come while something is amiss, and count those that are done in time."""
    context.in_time = 0

    async def one(world, number):
        began = world.loop.time()
        assert await world.submit_until_accepted(job_id_of(number), WIDE)
        while await world.state(job_id_of(number), world.names[0]) != "completed":
            assert world.loop.time() < began + 60, "a job hasn't ended"
            await asyncio.sleep(0.02)
        context.in_time += world.loop.time() - began <= WANTED_S

    async def scene(world):
        await asyncio.sleep(START_S)
        begin(world)
        jobs = []
        for number in range(1, JOBS + 1):
            jobs.append(asyncio.ensure_future(one(world, number)))
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*jobs)

    context.world = play(scene, work_s=TASK_S, **context.options)


@then("at least {share:g} of the jobs are done as their callers want")
def done_as_wanted(context, share):
    assert context.in_time >= share * JOBS, f"{context.in_time} of {JOBS}"
