"""Runs a simulated load of short jobs, some of which crash the executors that start them."""

import asyncio
from collections import Counter
from typing import NamedTuple

from mustardgap.policies import WHOLE, Policy
from mustardgap.workloads import JobSpec, Step, TaskId

from .owner_troubles import BY_NAME, LASTING
from .owner_worlds import OwnerWorld, play

START_S = 6.0
STATE_WAIT_S = 60.0
# Long-running jobs have no final state to wait for.
LASTING_WAIT_S = 3.0
SPEC = JobSpec("payload", (Step(4, 1_000, 500, 0, 0.6),))


class CrashLoad(NamedTuple):
    """A load of short jobs, some of which crash their executors, with a fault midway.

    ``jobs`` jobs are submitted, one every ``gap_s`` seconds. Of these, one in ``crashing_every``
    crashes its executors ``crash_s`` seconds after its start. Beside them, ``lasting`` long-running
    jobs run.
    """

    jobs: int = 60
    gap_s: float = 0.1
    crashing_every: int = 6
    crash_s: float = 0.01
    fault: str = "none"
    executors: int = 12
    seed: int = 0
    policy: Policy = WHOLE
    lasting: int = 0


class CrashOutcome(NamedTuple):
    """The result of a load.

    ``sound`` and ``crashing`` count the final states of sound and of crashing jobs, ``lasting`` the
    states of long-running ones. ``crashes`` is the number of executors that tasks crashed, ``lost``
    the number of lost runs of sound tasks. ``waits_s`` holds the seconds from submitting each sound
    job until its final state was reported, in ascending order.
    """

    sound: Counter[str]
    crashing: Counter[str]
    crashes: int
    lost: int
    waits_s: list[float]
    problems: list[str]
    lasting: Counter[str]


def run_load(load: CrashLoad) -> CrashOutcome:
    """Run one load on virtual time."""
    sound: Counter[str] = Counter()
    crashing: Counter[str] = Counter()
    lasting: Counter[str] = Counter()
    waits_s: list[float] = []

    async def submit_job(world: OwnerWorld, number: int) -> None:
        await asyncio.sleep(number * load.gap_s)
        job_id = f"{number + 1:016x}"
        crashes = load.crashing_every > 0 and number % load.crashing_every == 0
        if crashes:
            world.crashing[TaskId(job_id, 0, 0, number % SPEC.steps[0].width)] = load.crash_s
        began = world.loop.time()
        assert await world.submit_until_accepted(job_id, SPEC), "no host accepted the job"
        state = await world.final_state(job_id, STATE_WAIT_S)
        (crashing if crashes else sound)[state] += 1
        if not crashes:
            waits_s.append(world.loop.time() - began)

    async def scene(world: OwnerWorld) -> None:
        await asyncio.sleep(START_S)
        lasting_ids = [f"{number + 1:x}".rjust(16, "f") for number in range(load.lasting)]
        for job_id in lasting_ids:
            assert await world.submit_until_accepted(job_id, LASTING), "no host accepted the job"
        work = asyncio.gather(*(submit_job(world, number) for number in range(load.jobs)))
        await asyncio.sleep(load.jobs * load.gap_s / 2)
        await BY_NAME[load.fault](world)
        await work
        for job_id in lasting_ids:
            lasting[await world.final_state(job_id, LASTING_WAIT_S)] += 1

    world = play(scene, executors=load.executors, seed=load.seed, policy=load.policy)
    lost = sum(
        run.ended_at is not None and run.how is None and run.task not in world.crashing
        for run in world.fleet.record.runs
    )
    return CrashOutcome(
        sound, crashing, world.crashes, lost, sorted(waits_s), world.problems(), lasting
    )
