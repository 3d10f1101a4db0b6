"""Steps about the leases of running jobs."""

import asyncio

from behave import then, when

from mustardgap.exceptions import PlatformError
from tools.actor_worlds import WORKERS

JOBS = [f"j{n}" for n in range(4 * sum(pool == "batch" for _, _, pool in WORKERS))]


def record_lease_checks(daemon, checks):
    """Record the jobs whose leases a daemon checks, one set per call of ``leases_due``."""
    actor = daemon.actors.jobs
    leases_due, view = actor.leases_due, actor._view

    def recording():
        seen = []
        actor._view = lambda job: seen.append(job["job"]) or view(job)
        batches = leases_due()
        actor._view = view
        if seen:
            checks.append(set(seen))
        return batches

    actor.leases_due = recording


async def _fail_renewal(*args, **kwargs):
    raise PlatformError(detail="cut off")


@when("jobs run on all workers while {fault}")
def step_leases(context, fault):
    world = context.world
    daemons = list(world.daemons_by_name.values())
    context.checks = [[] for _ in daemons]

    async def run():
        for name in JOBS:
            world.submit(name, run_s=40.0, profile="hard", idempotent=False)
        await world.pass_time(12)
        for daemon, checks in zip(daemons, context.checks, strict=True):
            record_lease_checks(daemon, checks)
        if fault.startswith("one"):
            daemons[0].link.__dict__["renew_tasks"] = _fail_renewal
        await world.pass_time(20)
        for daemon in daemons:
            del daemon.actors.jobs.leases_due
        await world.pass_time(30)

    asyncio.run(run())


@then("jobs have run once each, and daemons checked the leases of {checks}")
def step_leases_checked(context, checks):
    jobs = context.world.journal.state.jobs_by_id
    assert {job["code"] for job in jobs.values()} == {4006}, jobs
    assert all(len(runs) == 1 for runs in context.world.platform.runs_by_job.values())
    seen = [set.union(*batches) for batches in context.checks]
    assert set.union(*seen) == set(JOBS), seen
    if checks == "their own jobs alone":
        assert not set.intersection(*seen), [len(names) for names in seen]
