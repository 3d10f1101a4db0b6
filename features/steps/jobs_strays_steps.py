"""Steps about tasks that run although their job has ended."""

import asyncio

from behave import then, when

from features.support.actor_steps import until
from mustardgap.exceptions import AnswerLost


@when("jobs are cancelled while their start is delayed, and it arrives after their end")
def step_held_up(context):
    world = context.world
    starts = []

    async def hold(*args, **kwargs):
        starts.append(lambda: world.platform.start_task(*args, **kwargs))
        raise AnswerLost(detail="the start is delayed")

    async def run():
        for daemon in world.daemons_by_name.values():
            daemon.link.__dict__["start_task"] = hold
        world.submit("j", run_s=100.0, profile="hard")
        await until(world, lambda: starts)
        body = {"job": "j", "base": world.job("j")["epoch"], "step": "cancel"}
        world.journal.write("job", body)
        await until(world, lambda: world.job("j")["phase"] == "ended")
        starts[0]()
        await world.pass_time(3)

    asyncio.run(run())


@then("jobs have ended with 4003 and the platform was told to stop the task")
def step_stopped(context):
    world = context.world
    states = [task["state"] for task in world.platform.tasks_by_id.values()]
    assert (world.job("j")["code"], states) == (4003, ["stopped"]), states
    assert not world.platform.broken, world.platform.broken
