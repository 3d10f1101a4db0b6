"""Steps for crashes of executors under long-running tasks, on virtual time."""

import asyncio

from behave import then, when

from features.support.owner_jobs import START_S, job_id_of, log_lines
from mustardgap.workloads import TaskId
from tools.owner_troubles import LASTING
from tools.owner_worlds import REBORN_S, play

# By then a crash has been noticed, and what ran there has been started elsewhere.
RESTARTED_S = 6.0


def executor_of(world, task_id):
    """Return the executor that runs a task, None if none does."""
    for executor in world.fleet.by_address.values():
        if any(running == task_id for running, _ in executor.runs):
            return executor
    return None


def crash_under(world, task_id):
    """Crash the executor that runs a task; its machine has a new one some seconds later."""
    executor = executor_of(world, task_id)
    assert executor is not None, "the task runs nowhere"
    executor.crash()
    world.loop.call_later(REBORN_S, world.bear_again, executor.entry.machine)


@when("an executor crashes {seconds:g} s after a long-running task has started there")
def crash_after(context, seconds):
    async def scene(world):
        await asyncio.sleep(START_S)
        task_id = TaskId(job_id_of(1), 0, 0, 0)
        assert await world.submit_until_accepted(task_id.job, LASTING)
        await asyncio.sleep(seconds)
        crash_under(world, task_id)
        await asyncio.sleep(RESTARTED_S)
        crashes = [line for line in log_lines(world) if line["event"] == "run.crashed"]
        context.lines = [line for line in crashes if line["task"] == task_id]

    context.world = play(scene, **context.options)


@then(
    "the log of the crash shows a run that was at work for {seconds:g} s, give or take {slack:g} s"
)
def log_shows_age(context, seconds, slack):
    assert len(context.lines) == 1, context.lines
    assert abs(context.lines[0]["at_work_s"] - seconds) <= slack, context.lines
