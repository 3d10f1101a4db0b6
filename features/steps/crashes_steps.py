"""Steps of tasks that crash their executors, on virtual time."""

import asyncio

from behave import when

from features.support.owner_jobs import START_S, job_id_of
from mustardgap.workloads import TaskId
from tools.owner_troubles import BY_NAME, TWO_STEPS
from tools.owner_worlds import play

# By when after its start a task crashes its executor, in seconds; a sound one takes 0.6.
CRASH_S = {"as they start it": 0.01, "late in its work": 0.4}
# By then a job is over, whatever befalls its owner meanwhile.
ENDED_S = 60


@when(
    "a job of {width:d} tasks, one of which crashes its executors {moment}, "
    'meets the trouble "{name}"'
)
def job_with_crashing_task(context, width, moment, name):
    spec = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(width=width),))

    async def scene(world):
        await asyncio.sleep(START_S)
        job_id = job_id_of(1)
        world.crashing[TaskId(job_id, 0, 0, width // 2)] = CRASH_S[moment]
        assert await world.submit_until_accepted(job_id, spec)
        trouble = asyncio.ensure_future(BY_NAME[name](world))
        context.states[job_id] = await world.final_state(job_id, ENDED_S)
        await trouble

    context.world = play(scene, executors=6, **context.options)
