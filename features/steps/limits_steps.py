"""Steps for the limits of client accounts."""

import asyncio

from behave import then, when

from features.support.account_cases import FITTERS_KEY, JOINERS_KEY, directory
from features.support.owner_jobs import until
from mustardgap.job_states import JobPhase
from mustardgap.pool_views import PoolRequest
from mustardgap.resources import Room
from mustardgap.shard_owners import FLEET_SHARD
from mustardgap.workloads import JobSpec, Step
from tools.limit_plays import play as play_limits
from tools.owner_daemons import SERVICE
from tools.owner_troubles import TWO_STEPS
from tools.owner_worlds import play

CONFIGURED_S = 4.0
CHANGES = {
    # The key goes to fitters, so that the job's state can be asked for by nobody else.
    "the account is removed": directory({FITTERS_KEY: "fitters"}),
    "the account is limited to 4000 mCPU": directory(limit=Room(cpu=4000)),
    "the account is limited to 1000 mCPU": directory(limit=Room(cpu=1000)),
}
END_S = 60.0
SPECS = {
    "a task of 2000 mCPU": JobSpec("p", (Step(1, 2000, 0, 0, 0.6),)),
    "a task of 2001 mCPU": JobSpec("p", (Step(1, 2001, 0, 0, 0.6),)),
    "a gang of 2 tasks of 1000": JobSpec("p", (Step(2, 1000, 0, 0, 0.6, gang=True),)),
    "a gang of 3 tasks of 1000": JobSpec("p", (Step(3, 1000, 0, 0, 0.6, gang=True),)),
    "3 tasks of 1000 mCPU": JobSpec("p", (Step(3, 1000, 0, 0, 0.6),)),
}
# The narrowest limit that the two steps' tasks fit in alone is 2 cores.
NARROW = JobSpec("p", (Step(3, 1_000, 500, 0, 0.6),))


def _job_id(number):
    return f"{number:016x}"


@then("no start of the plays {first:d} to {last:d} exceeds the limit by more than the task itself")
def plays_hold(context, first, last):
    broken = {seed: play_limits("granting", seed).broken for seed in range(first, last + 1)}
    assert not any(broken.values()), {seed: count for seed, count in broken.items() if count}


async def _configure(world, limit):
    world.publish_accounts(directory(limit=Room(cpu=limit)), 2)
    await asyncio.sleep(CONFIGURED_S)


async def _submit(world, job_id, spec):
    for attempt in range(60):
        name = world.names[attempt % len(world.names)]
        reply = await world.submit(job_id, spec, name, [JOINERS_KEY])
        if reply is not None and reply.code.http_status not in (503, 504):
            return reply
        await asyncio.sleep(0.2)
    raise AssertionError(reply)


async def _befall(world, trouble):
    if trouble == "nothing happens":
        return
    await asyncio.sleep(0.4)
    if trouble in CHANGES:
        world.publish_accounts(CHANGES[trouble], 3)
        return
    if trouble == "all hosts are killed":
        names = list(world.names)
    elif trouble == "the pool's owner is killed":
        names = [world.owner()]
    else:
        names = [
            daemon.name
            for daemon in world.daemons_by_address.values()
            if FLEET_SHARD in daemon.owners.owned_by_shard
        ]
    for name in names:
        world.kill(name)
    await asyncio.sleep(1.0)
    for name in names:
        world.start(name)


async def _wait_for_ends(world, count):
    """Wait until the queue's owner has stored the end of all jobs.

    :return: the numbers of the jobs that have ended.
    """
    ended = set()
    for _ in range(int(END_S / 0.2)):
        if world.owner() is not None:
            jobs_by_id = world.dispatcher().jobs_by_id
            ended = {
                number
                for number in range(count)
                if (job := jobs_by_id.get(_job_id(number))) is not None
                and job.durable_phase is JobPhase.COMPLETED
            }
        if len(ended) == count:
            break
        await asyncio.sleep(0.2)
    return ended


def _most_running(world):
    """The most processor time that all tasks had at any moment, by the executors' record."""
    changes = []
    for run in world.fleet.record.runs:
        cpu = world.asked_by_job[run.task.job].spec.steps[run.task.step].cpu
        changes.append((run.started_at, cpu))
        if run.ended_at is not None:
            changes.append((run.ended_at, -cpu))
    running = most = 0
    for _, cpu in sorted(changes):
        running += cpu
        most = max(most, running)
    return most


@when("joiners, limited to {limit:d} mCPU, submit {count:d} jobs, and {trouble}")
def submit_limited(context, limit, count, trouble):
    spec = TWO_STEPS if limit != 1000 else NARROW
    context.lines = []

    async def scene(world):
        await _configure(world, limit)
        for number in range(count):
            reply = await _submit(world, _job_id(number), spec)
            assert str(reply.code) == "MG4020", reply
        daemons = list(world.daemons_by_address.values())
        await _befall(world, trouble)
        context.ended = await _wait_for_ends(world, count)
        context.lines = [row for daemon in daemons for row in daemon.events.captured]

    context.count = count
    context.world = play(scene, executors=6)


@then(
    "joiners never had more than {limit:d} mCPU running, and at some time at least {least:d} mCPU"
)
def never_over(context, limit, least):
    most = _most_running(context.world)
    assert not limit or most <= limit, most
    assert most >= least, most


@then("all their jobs have ended, and no promise is broken")
def all_ended(context):
    assert len(context.ended) == context.count, context.ended
    assert not context.world.problems(), context.world.problems()


@when("joiners, limited to {limit:d} mCPU, submit a job with {part}")
def submit_part(context, limit, part):
    async def scene(world):
        await _configure(world, limit)
        context.reply = await _submit(world, _job_id(1), SPECS[part])

    play(scene)


@when("a pool at work gets a new owner that hasn't read the configuration")
def take_over_unconfigured(context):
    async def scene(world):
        await _configure(world, 4000)
        assert str((await _submit(world, _job_id(1), NARROW)).code) == "MG4020"
        assert await until(lambda: any(e.runs for e in world.fleet.by_address.values()))
        for name in world.names:
            world.kill(name)
        world.store.operator_held = True
        for name in world.names:
            world.start(name)
        assert await until(lambda: world.owner() is not None and world.dispatcher().loaded)
        await asyncio.sleep(1)
        request = PoolRequest(SERVICE, [], [])
        context.views = [world.dispatcher().pool_view(request)]
        world.store.operator_held = False
        await asyncio.sleep(1)
        context.views.append(world.dispatcher().pool_view(request))

    context.world = play(scene, work_s=END_S)


@then("it tells the fleet's owner nothing before it has read it, and then what is in use")
def tells_when_configured(context):
    before, after = context.views
    assert before is None, before.uses_by_account
    assert after.uses_by_account["joiners"].used.cpu == 3000, after.uses_by_account


@then("they are told {code}")
def they_are_told(context, code):
    assert str(context.reply.code) == code, context.reply


@then("the log tells of each of the {count:d} jobs once that it waits for the limit")
def log_tells(context, count):
    told = [row["job"] for row in context.lines if row["event"] == "job.limited"]
    assert sorted(told) == [_job_id(number) for number in range(count)], told
