"""A sound job is shown as failed after two crashes of the executors that it ran on."""

import asyncio
from pathlib import Path

from stand_in_2 import Executor, Shape
from world_2 import CannotRun, World, play

LABELS = [["a", f"r{n // 4 + 1}"] for n in range(7)]
JOB = "00000000b0000001"
WORK_S = 20.0
# One of seven executors, a share of 0.14, is down for 4 s.
DOWN_S = 4.0
RAN_S = 4.0
CRASHES = 2


def executor_of(world: World) -> Executor | None:
    """The executor that runs the job's task now."""
    return next((executor for executor, _, _ in world.pool.runs_of(JOB)), None)


async def crash_twice(world: World) -> None:
    """Twice, crash the executor that has been running the task for some seconds.

    :raises CannotRun: the task isn't started within 20 s.
    """
    for _ in range(CRASHES):
        await world.until(
            lambda: executor_of(world) is not None, timeout_s=20, what="the task runs"
        )
        await asyncio.sleep(RAN_S)
        executor = executor_of(world)
        if executor is None:
            raise CannotRun("the task doesn't run any more")
        await world.pool.crash(executor, for_s=DOWN_S)


async def case() -> bool:
    """Play the case; return whether the rule was broken."""
    async with World(folder=Path(__file__).parent, labels=LABELS) as world:
        world.pool.shapes[f"{JOB}.0"] = Shape(work_s=WORK_S, cpu=2000)
        steps = [{"count": 1, "cpu": 2000, "memMb": 64, "estimateMs": int(WORK_S * 1000)}]
        reply = await world.submit(JOB, {"spec": "a long quote", "steps": steps})
        if not 200 <= reply.status < 300:
            raise CannotRun("the job wasn't accepted")
        if world.trouble:
            await crash_twice(world)
        state = ""

        async def has_ended() -> bool:
            nonlocal state
            answer = await world.call("GET", JOB)
            state = answer.fields.get("state", "")
            await asyncio.sleep(0.5)
            return state in ("completed", "failed", "canceled")

        await world.until(has_ended, timeout_s=60, what="the job has ended")
        failed_ends = sum(how == "failed" for *_, how in world.pool.ends)
        world.record(f"shown as {state}; ends of its runs that were 'failed': {failed_ends}")
        broken = state == "failed" and failed_ends == 0
        world.check_pauses()
        world.record("the rule was broken" if broken else "the rule held")
        return broken


play(case)
