"""Steps for the occurrences of scheduled jobs across changes of owner, on virtual time."""

import asyncio

from behave import then, when

from features.support.owner_jobs import START_S, job_id_of, starts_by_task, until
from features.support.partitions import cut_off_together, executors_of_pool, next_owner
from mustardgap.workloads import JobSpec, Step
from tools.owner_troubles import BY_NAME
from tools.owner_worlds import play

JOB = job_id_of(1)
WORK_S = 6.0
# The first two occurrences are at work when the fault begins, and the third comes due after that.
FIRST_AFTER_S, INTERVAL_S, FAULT_AFTER_S = 1.0, 1.0, 2.5
# Shorter than a takeover.
SHORT_WORK_S = 0.8
# How long an owner without a path to the store goes on starting tasks, and what it starts goes on.
AUTHORITY_AND_LEASE_S = 12.0
# The job has ended by then, whatever fault its owner meets.
ENDED_S = 90


async def submit_repeated(world, *, repeats, first_after_s=FIRST_AFTER_S, interval_s=INTERVAL_S):
    """Submit a scheduled job of three tasks for each occurrence."""
    await asyncio.sleep(START_S)
    first_at_s = world.daemon("e1").clock.wall() + first_after_s
    steps = (Step(3, 1_000, 500, 0, world.work_s),)
    spec = JobSpec("payload", steps, repeats, first_at_s, interval_s)
    assert await world.submit_until_accepted(JOB, spec), "no host accepted the job"


@when(
    "2 occurrences of a job are at work and a third comes due, "
    'with the fault "{name}" {times:d} times in a row'
)
def meet_fault(context, name, times):
    async def scene(world):
        await submit_repeated(world, repeats=3)
        await asyncio.sleep(FAULT_AFTER_S)
        for _ in range(times):
            await BY_NAME[name](world)
        context.states[JOB] = await world.final_state(JOB, ENDED_S)

    context.world = play(scene, work_s=WORK_S, **context.options)


@when("2 occurrences of a job are at work, and its owner stops twice while no executor answers")
def stop_twice(context):
    async def scene(world):
        await submit_repeated(world, repeats=3)
        await asyncio.sleep(FAULT_AFTER_S)
        cut = {(None, executor.entry.executor) for executor in executors_of_pool(world)}
        world.fleet.cut |= cut
        first = world.owner()
        await world.stop(first)
        second = await next_owner(world, first)
        assert world.daemon(second).owners.owned_by_shard, "the second owner has no shard"
        await asyncio.sleep(0.3)
        await world.stop(second)
        await next_owner(world, second)
        world.fleet.cut -= cut
        context.states[JOB] = await world.final_state(JOB, ENDED_S)

    context.world = play(scene, work_s=WORK_S, **context.options)


@when("an occurrence of a job has {ending} when its owner's successor begins")
def end_without_owner(context, ending):
    async def scene(world):
        await submit_repeated(world, repeats=1)
        await asyncio.sleep(FIRST_AFTER_S)
        assert await until(lambda: world.fleet.record.runs)
        executor = world.fleet.record.runs[0].executor
        if ending == "ended at an executor cut off":
            world.fleet.cut.add((None, executor))
        former = world.owner()
        world.kill(former)
        await next_owner(world, former)
        assert all(run.ended_at is not None for run in world.fleet.record.runs)
        await asyncio.sleep(1)
        world.fleet.cut.discard((None, executor))
        context.states[JOB] = await world.final_state(JOB, ENDED_S)

    context.world = play(scene, work_s=SHORT_WORK_S, **context.options)


@when(
    "an occurrence of a job comes due while its owner and an executor are cut off from all others"
)
def come_due_in_partition(context):
    async def scene(world):
        await submit_repeated(world, repeats=1, first_after_s=5.0)
        former = world.owner()
        near = executors_of_pool(world)[0].entry.executor
        with cut_off_together(world, former, near):
            await asyncio.sleep(AUTHORITY_AND_LEASE_S)
            runs = world.fleet.record.runs
            context.former_starts = [run for run in runs if run.executor == near]
        context.states[JOB] = await world.final_state(JOB, ENDED_S)

    context.world = play(scene, work_s=WORK_S, **context.options)


@then("the former owner has started tasks of the occurrence")
def former_has_started(context):
    assert context.former_starts, context.world.fleet.record.runs


@then("each of its {count:d} tasks was started once")
def each_started_once(context, count):
    starts = starts_by_task(context.world)
    assert len(starts) == count, starts
    assert set(starts.values()) == {1}, starts
