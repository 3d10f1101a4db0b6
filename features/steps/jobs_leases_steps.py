"""Steps about the leases of running jobs."""

import asyncio

from behave import then, when

from mustardgap.exceptions import PlatformError
from tools.actor_worlds import WORKERS

JOBS = [f"j{n}" for n in range(4 * sum(pool == "batch" for _, _, pool in WORKERS))]


def count_looks(daemon, looks):
    """Note which jobs a daemon looks at for leases, by its turns."""
    actor = daemon.actors.jobs
    leases_due, view = actor.leases_due, actor._view

    def counted():
        seen = []
        actor._view = lambda job: seen.append(job["job"]) or view(job)
        batches = leases_due()
        actor._view = view
        if seen:
            looks.append(set(seen))
        return batches

    actor.leases_due = counted


async def _never(*args, **kwargs):
    raise PlatformError(detail="cut off")


@when("jobs run on all workers while {trouble}")
def step_leases(context, trouble):
    world = context.world
    daemons = list(world.daemons_by_name.values())
    context.looks = [[] for _ in daemons]

    async def run():
        for name in JOBS:
            world.submit(name, run_s=40.0, profile="hard", idempotent=False)
        await world.pass_time(12)
        for daemon, looks in zip(daemons, context.looks, strict=True):
            count_looks(daemon, looks)
        if trouble.startswith("one"):
            daemons[0].link.__dict__["renew_tasks"] = _never
        await world.pass_time(20)
        for daemon in daemons:
            del daemon.actors.jobs.leases_due
        await world.pass_time(30)

    asyncio.run(run())


@then("jobs have run once each, and daemons looked at {looks} for leases")
def step_looked(context, looks):
    jobs = context.world.journal.state.jobs_by_id
    assert {job["code"] for job in jobs.values()} == {4006}, jobs
    assert all(len(runs) == 1 for runs in context.world.platform.runs_by_job.values())
    seen = [set.union(*turns) for turns in context.looks]
    assert set.union(*seen) == set(JOBS), seen
    if looks == "their own jobs alone":
        assert not set.intersection(*seen), [len(names) for names in seen]
