"""Steps for jobs that are cancelled before they are known to be accepted, on virtual time."""

import asyncio

from behave import then, when

from features.support.owner_jobs import START_S, job_id_of, until
from mustardgap.shard_logs import CANCELLED_KEY
from mustardgap.shard_owners import shard_of
from mustardgap.workloads import JobSpec, Step
from tools.owner_daemons import SERVICE, SHARDS
from tools.owner_troubles import BY_NAME
from tools.owner_worlds import QUEUE, JobHistory, play

JOB = job_id_of(1)
# Its steps begin one after another, so a job that goes on starts something for long.
SPEC = JobSpec("p", tuple(Step(1, 100, 64, 0, 0.6, (n - 1,) if n else ()) for n in range(20)))
CANCEL_S = 3.0
LOST_S = 4.37
PATIENCE_S = 3.0
REPEATS = 3


class Caller:
    """A caller who cancels until it is told 2xx or 410, and what it is told."""

    def __init__(self, world):
        self.world = world
        self.statuses = []
        self.took_s = []
        self.acknowledged_at = None

    async def cancel(self):
        for attempt in range(60):
            daemon = self.world.daemons_by_address.get(f"{self.world.names[attempt % 3]}:1")
            if daemon is None:
                await asyncio.sleep(0.2)
                continue
            began = self.world.loop.time()
            reply = await daemon.gateway.cancel(queue=QUEUE, job_id=JOB, wait_s=PATIENCE_S)
            self.took_s.append(self.world.loop.time() - began)
            self.statuses.append(reply.code.http_status)
            if reply.code.http_status in (200, 410):
                self.acknowledged_at = self.world.loop.time()
                return
            await asyncio.sleep(0.3)


def lose_records(world):
    """Lose the answers of appends with records for a time; all are carried out."""
    world.store.loses_records = True
    world.loop.call_later(LOST_S, setattr, world.store, "loses_records", False)


async def submit_again(world):
    """Submit the job a few times, as its first submission had no answer."""
    for number in range(REPEATS):
        await world.submit(JOB, SPEC, world.names[number % 3])
        await asyncio.sleep(0.5)


async def watch(world, shown):
    """Ask for the job at all daemons from time to time."""
    while True:
        for name in world.names:
            daemon = world.daemons_by_address.get(f"{name}:1")
            if daemon is not None and daemon.clock.gate.is_set():
                reply = await daemon.gateway.state(queue=QUEUE, job_id=JOB)
                status = reply.code.http_status
                shown.append((world.loop.time(), reply.state or str(status)))
        await asyncio.sleep(0.25)


async def _submit_and_cancel(world, moment, caller):
    submission = asyncio.ensure_future(submit_again(world))
    if moment == "0.005 s later":
        await asyncio.sleep(0.005)
    if "lost" in moment:
        await asyncio.sleep(0.3)
    if moment.startswith("after"):
        await submission
        submission = asyncio.ensure_future(submit_again(world))
    callers = [caller]
    if moment.startswith("three times"):
        callers += [Caller(world), Caller(world)]
    await asyncio.gather(*(one.cancel() for one in callers))
    caller.acknowledged_at = min(one.acknowledged_at for one in callers)
    await submission


@when('a job is submitted and cancelled {moment}, with the fault "{name}"')
def submit_and_cancel(context, moment, name):
    async def scene(world):
        await asyncio.sleep(START_S)
        world.cancelling.add(JOB)
        world.asked_by_job[JOB] = JobHistory(SPEC, [], [])
        context.caller = caller = Caller(world)
        context.shown = []
        if "lost" in moment:
            lose_records(world)
        if moment.endswith("before"):
            await caller.cancel()
            await asyncio.sleep(float(moment.split()[0]))
        fault = asyncio.ensure_future(_after(0.02, BY_NAME[name], world))
        if moment.endswith("before"):
            await submit_again(world)
        else:
            await _submit_and_cancel(world, moment, caller)
        watching = asyncio.ensure_future(watch(world, context.shown))
        await fault
        # Submissions whose answers were lost arrive once more.
        await submit_again(world)
        await asyncio.sleep(25)
        watching.cancel()

    context.world = play(scene, work_s=2.0)


async def _after(delay_s, trouble, world):
    await asyncio.sleep(delay_s)
    await trouble(world)


@then("the cancelling was answered in time, and each time that nobody knows is told so")
def check_answered(context):
    assert context.caller.acknowledged_at is not None, context.caller.statuses
    assert set(context.caller.statuses) <= {200, 410, 503, 504}, context.caller.statuses
    assert max(context.caller.took_s) <= PATIENCE_S, context.caller.took_s


@then("nothing of the job is started later than {late:g} s after its cancelling was answered")
def check_starts(context, late):
    limit = context.caller.acknowledged_at + late
    runs = [run for run in context.world.fleet.record.runs if run.started_at > limit]
    assert not runs, (context.caller.acknowledged_at, context.caller.statuses, runs[:3])


@then("no daemon shows the job as going on, or says 410 and then shows it")
def check_shown(context):
    settled = context.caller.acknowledged_at + CANCEL_S
    states = [shown for at, shown in context.shown if at > settled and shown != "503"]
    assert states and set(states) <= {"canceled", "410"}, states
    first = states.index("410") if "410" in states else len(states)
    assert set(states[first:]) <= {"410"}, states


@when("a job is cancelled {moment}, the cancelling is answered, and its owner is killed")
def cancel_and_kill(context, moment):
    async def scene(world):
        await asyncio.sleep(START_S)
        world.cancelling.add(JOB)
        world.asked_by_job[JOB] = JobHistory(SPEC, [], [])
        submission = None
        if moment.startswith("while"):
            submission = asyncio.ensure_future(world.submit(JOB, SPEC, "e1"))
            await until(lambda: JOB in accepting_of(world), seconds=2, step_s=0.001)
            assert JOB not in world.dispatcher().jobs_by_id
        caller = Caller(world)
        await caller.cancel()
        owner = world.owner()
        world.kill(owner)
        if submission is not None:
            await asyncio.wait([submission])
        await asyncio.sleep(8)
        host = next(name for name in world.names if name != owner)
        gateway = world.daemon(host).gateway
        reply = await gateway.state(queue=QUEUE, job_id=JOB)
        context.shown = reply.state or str(reply.code.http_status)
        context.code = str((await world.submit(JOB, SPEC, host)).code)
        await asyncio.sleep(8)

    context.world = play(scene, work_s=2.0)


def accepting_of(world):
    """The jobs that the owner is accepting."""
    return world.dispatcher().job_request_handler._accepting_by_id


@then("the next owner shows the job as {shown}, and starts nothing of it")
def check_next_owner(context, shown):
    assert context.shown == shown, context.shown
    assert not context.world.fleet.record.runs, context.world.fleet.record.runs[:3]


@then("its submission is answered with {code}")
def check_submission(context, code):
    assert context.code == code, context.code


@when("a job is accepted while a question for it waits for the store")
def accept_while_asked(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        context.replies = []
        # The question's own call of the store takes 4 ms; the job is stored a little later.
        for delay_s in (0.0, 0.002, 0.004, 0.008, 0.012):
            job_id = job_id_of(int(delay_s * 1000) + 10)
            world.store.slow_s = 0.05
            asked = asyncio.ensure_future(
                world.daemon("e1").gateway.state(queue=QUEUE, job_id=job_id)
            )
            await asyncio.sleep(delay_s)
            await world.submit(job_id, SPEC, "e2")
            context.replies.append(await asked)
            world.store.slow_s = 0.0

    context.world = play(scene)


@then("the question is answered with the job's state")
def check_question(context):
    assert all(reply.state for reply in context.replies), context.replies


@when("a job that isn't known is cancelled while the store is down")
def cancel_without_store(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        world.store.down = True
        context.statuses = []
        for host in world.names:
            reply = await world.daemon(host).gateway.cancel(queue=QUEUE, job_id=JOB)
            context.statuses.append(reply.code.http_status)

    context.world = play(scene)


@then("its cancelling isn't answered by 2xx or 410")
def check_no_success(context):
    assert set(context.statuses) <= {503, 504}, context.statuses


@when("a job that isn't known is cancelled, and {seconds:d} s pass")
def cancel_and_wait(context, seconds):
    async def scene(world):
        await asyncio.sleep(START_S)
        reply = await world.daemon("e1").gateway.cancel(queue=QUEUE, job_id=JOB)
        records = world.store.shards[shard_of(SERVICE, SHARDS)].values_by_key
        context.before = (reply.code.http_status, CANCELLED_KEY + JOB in records)
        await asyncio.sleep(seconds)
        context.after = CANCELLED_KEY + JOB in records

    context.world = play(scene)


@then("the store has no record of its cancelling")
def check_reaped(context):
    assert context.before == (410, True), context.before
    assert not context.after
