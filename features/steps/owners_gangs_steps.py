"""Steps for gangs on executors whose last run has failed."""

import asyncio

from behave import then, when

from features.support.owner_jobs import START_S, job_id_of, until
from features.support.partitions import executors_of_pool
from mustardgap.workloads import EndKind
from tools.owner_troubles import TWO_STEPS
from tools.owner_worlds import play

GANG = job_id_of(2)
# The number of the first job whose runs all fail, and how many such jobs there are at most.
HOPELESS, MAX_HOPELESS_JOBS = 10, 6
# As long as the users wait for the gang.
GANG_ENDED_S = 20
# Longer than an executor is distrusted after a failed run.
FORGOTTEN_S = 3.0


def gang_spec(kind):
    """Return the spec of a gang of two small tasks."""
    step = TWO_STEPS.steps[0]._replace(width=2, gang=True, same_rack=kind == "on one rack")
    return TWO_STEPS._replace(steps=(step,))


async def fail_on_all(world):
    """Have runs of other jobs fail until the last run of each executor has failed."""
    for number in range(MAX_HOPELESS_JOBS):
        executors = executors_of_pool(world)
        for executor in executors:
            executor.fails = True
        job_id = job_id_of(HOPELESS + number)
        step = TWO_STEPS.steps[0]._replace(width=len(executors), anti_affinity=1)
        assert await world.submit_until_accepted(job_id, TWO_STEPS._replace(steps=(step,)))
        assert await world.final_state(job_id, 30) == "failed"
        links = world.dispatcher().roster.links_by_executor.values()
        if all(link.consecutive_failures for link in links):
            return
    raise AssertionError("an executor has failed no run")


def mend_all(world):
    """Have no executor fail any more."""
    for executor in executors_of_pool(world):
        executor.fails = False


def has_failed(world, job_id):
    """Whether a run of a job has failed."""
    runs = world.fleet.record.runs
    return any(run.task.job == job_id and run.how is EndKind.FAILED for run in runs)


@when("each executor has failed a run of another job, and a job comes that is a gang {kind}")
def gang_after_failures(context, kind):
    async def scene(world):
        await asyncio.sleep(START_S)
        await fail_on_all(world)
        fails_itself = kind == "that has failed as well"
        if not fails_itself:
            mend_all(world)
        assert await world.submit_until_accepted(GANG, gang_spec(kind))
        if fails_itself:
            assert await until(lambda: has_failed(world, GANG), GANG_ENDED_S)
            mend_all(world)
        context.states[GANG] = await world.final_state(GANG, GANG_ENDED_S)

    context.world = play(scene, **context.options)


@when("the executor of a failed run is the fullest, and a job comes that is a gang of two tasks")
def gang_beside_one_failure(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        faulty = executors_of_pool(world)[0]
        faulty.fails = True
        long = TWO_STEPS.steps[0]._replace(width=1, cpu=1_000)
        assert await world.submit_until_accepted(
            job_id_of(HOPELESS), TWO_STEPS._replace(steps=(long,))
        )
        await asyncio.sleep(FORGOTTEN_S)
        link = world.dispatcher().roster.links_by_executor[faulty.entry.executor]
        link.consecutive_failures = max(link.consecutive_failures, 1)
        link.used = link.used.plus(long.room)
        assert await world.submit_until_accepted(GANG, gang_spec("of two tasks"))
        context.states[GANG] = await world.final_state(GANG, GANG_ENDED_S)
        context.faulty = faulty.entry.executor

    context.world = play(scene, **context.options)


@then("nothing of the gang was started on that executor")
def not_on_faulty(context):
    runs = [r for r in context.world.fleet.record.runs if r.task.job == GANG]
    assert runs and all(run.executor != context.faulty for run in runs), runs
