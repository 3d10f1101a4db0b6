"""Plays a load of short jobs, some of which crash the executors that start them."""

import asyncio
from collections import Counter
from typing import NamedTuple

from mustardgap.policies import WHOLE, Policy
from mustardgap.workloads import JobSpec, Step, TaskId

from .owner_troubles import BY_NAME, LASTING
from .owner_worlds import OwnerWorld, play

START_S = 6.0
STATE_WAIT_S = 60.0
# Jobs that last have no final state.
LASTING_WAIT_S = 3.0
SPEC = JobSpec("payload", (Step(4, 1_000, 500, 0, 0.6),))


class CrashPlay(NamedTuple):
    """What is handed in: ``jobs`` at one each ``gap_s``, of which each ``crashing_each``-th crashes
    its executors ``crash_s`` after their start, amid a trouble; ``lasting`` jobs run all the while.
    """

    jobs: int = 60
    gap_s: float = 0.1
    crashing_each: int = 6
    crash_s: float = 0.01
    trouble: str = "none"
    executors: int = 12
    seed: int = 0
    policy: Policy = WHOLE
    lasting: int = 0


class CrashOutcome(NamedTuple):
    """What became of it: final states of sound and of crashing jobs, executors that were crashed,
    runs of sound tasks that were lost with them, and within how many seconds sound jobs were shown
    as completed."""

    sound: Counter[str]
    crashing: Counter[str]
    crashes: int
    lost: int
    waits_s: list[float]
    problems: list[str]
    lasting: Counter[str]


def run(planned: CrashPlay) -> CrashOutcome:
    """Play one load on virtual time."""
    sound: Counter[str] = Counter()
    crashing: Counter[str] = Counter()
    lasting: Counter[str] = Counter()
    waits_s: list[float] = []

    async def hand_in(world: OwnerWorld, number: int) -> None:
        await asyncio.sleep(number * planned.gap_s)
        job_id = f"{number + 1:016x}"
        crashes = planned.crashing_each > 0 and number % planned.crashing_each == 0
        if crashes:
            world.crashing[TaskId(job_id, 0, 0, number % SPEC.steps[0].width)] = planned.crash_s
        began = world.loop.time()
        assert await world.submit_until_accepted(job_id, SPEC), "no host accepted the job"
        state = await world.final_state(job_id, STATE_WAIT_S)
        (crashing if crashes else sound)[state] += 1
        if not crashes:
            waits_s.append(world.loop.time() - began)

    async def scene(world: OwnerWorld) -> None:
        await asyncio.sleep(START_S)
        lasting_ids = [f"{number + 1:x}".rjust(16, "f") for number in range(planned.lasting)]
        for job_id in lasting_ids:
            assert await world.submit_until_accepted(job_id, LASTING), "no host accepted the job"
        work = asyncio.gather(*(hand_in(world, number) for number in range(planned.jobs)))
        await asyncio.sleep(planned.jobs * planned.gap_s / 2)
        await BY_NAME[planned.trouble](world)
        await work
        for job_id in lasting_ids:
            lasting[await world.final_state(job_id, LASTING_WAIT_S)] += 1

    world = play(scene, executors=planned.executors, seed=planned.seed, policy=planned.policy)
    lost = sum(
        run.ended_at is not None and run.how is None and run.task not in world.crashing
        for run in world.fleet.record.runs
    )
    return CrashOutcome(
        sound, crashing, world.crashes, lost, sorted(waits_s), world.problems(), lasting
    )
