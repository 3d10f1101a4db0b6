"""Jobs that are submitted to owners on a fake platform."""

import asyncio
from collections import Counter

from tools.owner_troubles import TWO_STEPS

# After this time shards have owners, and executors are known.
START_S = 6.0
STEP_S = 0.02


def job_id_of(number):
    """Return the id of a test's job by its number."""
    return f"{number:016x}"


async def until(holds, seconds=60, step_s=STEP_S):
    """Wait until a condition holds, for a limited time.

    :param step_s: the interval between two checks in seconds.
    :return: whether it holds.
    """
    for _ in range(int(seconds / step_s)):
        if holds():
            return True
        await asyncio.sleep(step_s)
    return False


def starts_by_task(world):
    """Count the starts of each task."""
    return Counter(run.task for run in world.fleet.record.runs)


def log_lines(world):
    """Return the log lines of all daemons."""
    return [line for d in world.daemons_by_address.values() for line in d.events.captured]


async def run_jobs(world, states, count, pause_s=0.4, spec=TWO_STEPS):
    """Submit jobs at an interval, and wait until all have ended.

    :param states: receives the final state of each job by its id.
    :param pause_s: the interval between two jobs in seconds.
    """

    async def run_job(number):
        job_id = job_id_of(number)
        await asyncio.sleep(number * pause_s)
        assert await world.submit_until_accepted(job_id, spec), "no host accepted the job"
        states[job_id] = await world.final_state(job_id, 60)

    await asyncio.gather(*(run_job(number) for number in range(count)))
