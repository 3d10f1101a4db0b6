"""Steps that submit jobs of many tasks while orders are delayed or the store is slow."""

import asyncio

from behave import then, when

from features.support.owner_jobs import START_S, job_id_of
from mustardgap.workloads import JobSpec, Step
from tools.owner_worlds import play

# One step of many short tasks: the job ends when the end of the last one is known.
TASKS_PER_JOB = 12
TASK_S = 0.64
WIDE_JOB = JobSpec("payload", (Step(TASKS_PER_JOB, 100, 50, 0, TASK_S),))
# The time within which callers want a short job to end: 1.6 times its work plus 0.6 s.
WANTED_S = 1.6 * TASK_S + 0.6
JOB_COUNT = 60
SUBMIT_INTERVAL_S = 0.12


@when("a share of {share:g} of all orders to executors is delayed while jobs of many tasks arrive")
def submit_while_orders_delayed(context, share):
    _submit_jobs(context, lambda world: setattr(world.fleet, "late_share", share))


@when("each answer of the store takes {seconds:g} s while jobs of many tasks arrive")
def submit_while_store_slow(context, seconds):
    _submit_jobs(context, lambda world: setattr(world.store, "slow_s", seconds))


def _submit_jobs(context, inject_fault):
    """Submit jobs of many tasks at a fixed rate under a fault and count those that end in time."""
    context.jobs_in_time = 0

    async def run_job(world, number):
        began = world.loop.time()
        assert await world.submit_until_accepted(job_id_of(number), WIDE_JOB)
        while await world.state(job_id_of(number), world.names[0]) != "completed":
            assert world.loop.time() < began + 60, "a job hasn't ended within 60 s"
            await asyncio.sleep(0.02)
        context.jobs_in_time += world.loop.time() - began <= WANTED_S

    async def scene(world):
        await asyncio.sleep(START_S)
        inject_fault(world)
        jobs = []
        for number in range(1, JOB_COUNT + 1):
            jobs.append(asyncio.ensure_future(run_job(world, number)))
            await asyncio.sleep(SUBMIT_INTERVAL_S)
        await asyncio.gather(*jobs)

    context.world = play(scene, work_s=TASK_S, **context.options)


@then("a share of at least {share:g} of the jobs ends within the time wanted")
def share_of_jobs_in_time(context, share):
    assert context.jobs_in_time >= share * JOB_COUNT, f"{context.jobs_in_time} of {JOB_COUNT}"
