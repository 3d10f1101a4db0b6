"""Jobs that are handed in to owners on a fake platform."""

import asyncio

from tools.owner_troubles import TWO_STEPS

# By then shards are owned, and executors known.
START_S = 6.0


def job_id_of(number):
    """The id of a test's job."""
    return f"{number:016x}"


async def hand_in(world, states, count, pause_s=0.4, spec=TWO_STEPS):
    """Hand jobs in one after another, and wait for their ends."""

    async def one(number):
        job_id = job_id_of(number)
        await asyncio.sleep(number * pause_s)
        assert await world.submit_until_accepted(job_id, spec), "no host accepted the job"
        states[job_id] = await world.final_state(job_id, 60)

    await asyncio.gather(*(one(number) for number in range(count)))
