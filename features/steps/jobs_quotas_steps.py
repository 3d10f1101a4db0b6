"""Steps about jobs of a team whose quota is full."""

import asyncio

from behave import then, when

from tools.actor_worlds import WORKERS, profile

CORES = 4 * sum(pool == "batch" for _, _, pool in WORKERS)
QUOTA = 4


@when("jobs of a team fill its quota with {steps}, with {rest}, and an urgent one arrives")
def step_full(context, steps, rest):
    world = context.world
    steps_allowed = [] if steps == "nothing" else steps.split(",")
    world.declare(
        team__small={"max_cores": QUOTA, "max_memory_gb": 500, "max_jobs": 500},
        profile__mine=profile(steps_allowed),
    )

    async def run():
        for n in range(QUOTA):
            world.submit(f"own{n}", team="small", urgency=8, run_s=40.0, profile="mine")
        await world.pass_time(4)
        for n in range(CORES - QUOTA if rest == "all other workers full" else 4):
            world.submit(f"other{n}", urgency=8, run_s=40.0, profile="hard" if n else "gentle")
        await world.pass_time(4)
        world.submit("urgent", team="small", urgency=0, cores=3.0, run_s=5.0, profile="hard")
        await world.pass_time(8)
        context.started = world.platform.runs_by_job.get("urgent")
        await world.pass_time(90)

    asyncio.run(run())


@then("jobs that are urgent start {when_}, and only {paused:d} jobs of that team were paused")
def step_paused(context, when_, paused):
    world = context.world
    assert bool(context.started) == (when_ == "within 8 s"), world.job("urgent")
    jobs = world.journal.state.jobs_by_id.values()
    assert {job["code"] for job in jobs} == {4006}, [j["job"] for j in jobs if j["code"] != 4006]
    rerun = [job for job, tasks in world.platform.runs_by_job.items() if len(tasks) > 1]
    assert len(rerun) == paused and all(job.startswith("own") for job in rerun), rerun
    assert not world.platform.broken, world.platform.broken
