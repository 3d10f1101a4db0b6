"""A job runs twice once its path belongs to a route of another service."""

import asyncio
from pathlib import Path

from stand_in_2 import Shape
from world_2 import SERVICE, CannotRun, World, configuration, play

LABELS = [["a", "r1"], ["a", "r1"], ["a", "r2"], ["a", "r2"]]
OTHER_SERVICE = "joinery"
JOB = "00000000c0000001"
WORK_S = 25.0
# Beyond `configMs`, 2 s, so that all daemons have the new version.
SETTLED_S = 3.5


async def case() -> bool:
    """Play the case; return whether the rule was broken."""
    services = [SERVICE, OTHER_SERVICE]
    async with World(folder=Path(__file__).parent, labels=LABELS, services=services) as world:
        for pool in world.pools:
            pool.shapes[f"{JOB}.0"] = Shape(work_s=WORK_S)
        steps = [{"count": 1, "cpu": 100, "memMb": 64, "estimateMs": int(WORK_S * 1000)}]
        body = {"spec": "a long quote", "steps": steps}
        reply = await world.submit(JOB, body)
        if not 200 <= reply.status < 300:
            raise CannotRun("the job wasn't accepted")
        await asyncio.sleep(1.0)
        routes = {"quotes-2": OTHER_SERVICE} if world.trouble else {"quotes": SERVICE}
        world.configure(configuration(5, routes, services))
        await asyncio.sleep(SETTLED_S)
        for daemon in world.daemons:
            await world.call("GET", JOB, daemon=daemon)
        # It arrives again, seconds after its 2xx response; it remains one job.
        await world.call("POST", JOB, body=body)
        most_runs = 0
        for _ in range(8):
            await asyncio.sleep(0.5)
            running = [run for pool in world.pools for run in pool.runs_of(JOB)]
            most_runs = max(most_runs, len(running))
        names = [f"{task} run {run} on {executor.name}" for executor, task, run in running]
        world.record(f"at the same time there run: {names}")
        broken = most_runs > 1
        world.check_pauses()
        world.record("the rule was broken" if broken else "the rule held")
        return broken


play(case)
