"""Steps for runs that an executor reports and its owner didn't start."""

import asyncio

from behave import then, when

from features.support.owner_jobs import START_S, job_id_of, log_lines
from features.support.partitions import executors_of_pool
from mustardgap.workloads import TaskId
from tools.owner_troubles import TWO_STEPS
from tools.owner_worlds import play

# A run number that no owner has given.
REPORTED_RUN = 1
# Longer than an idle executor waits before it reports.
REPORTED_S = 3.0


def _unplaceable():
    """Return the spec of a job whose tasks are never started."""
    return TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(requires="gold"),))


def _bring_about(world, reason, task_id):
    """Change what the owner knows of a task, as a step names it."""
    dispatcher = world.dispatcher()
    job = dispatcher.jobs_by_id[task_id.job]
    if reason == "its job isn't known":
        del dispatcher.jobs_by_id[task_id.job]
    elif reason == "its task is done":
        job.mark_done([job.task(task_id)])
    elif reason == "its task is given up":
        job.fail_batch("another task failed too often")


@when("an executor reports a run that this owner didn't start, though {reason}")
def report_run(context, reason):
    async def scene(world):
        await asyncio.sleep(START_S)
        runs_elsewhere = reason == "its task runs elsewhere"
        spec = TWO_STEPS if runs_elsewhere else _unplaceable()
        task_id = TaskId(job_id_of(1), 0, 0, 0)
        assert await world.submit_until_accepted(task_id.job, spec)
        await asyncio.sleep(0.2)
        if reason == "its job has ended":
            assert await world.cancel(task_id.job, world.owner()) == 200
        _bring_about(world, reason, task_id)
        busy = {run.executor for run in world.fleet.record.runs}
        executor = next(e for e in executors_of_pool(world) if e.entry.executor not in busy)
        fence = world.dispatcher().epoch
        executor.start(task_id, REPORTED_RUN, "payload", executor.clock_ms() + 60_000, fence)
        await asyncio.sleep(REPORTED_S)
        context.lines = [
            line
            for line in log_lines(world)
            if line["event"] == "run.stray" and line["run"] == REPORTED_RUN
        ]

    context.world = play(scene, work_s=REPORTED_S, **context.options)


@then("the log says that it is stopped as {why}")
def logged_as(context, why):
    assert {line["why"] for line in context.lines} == {why}, context.lines
