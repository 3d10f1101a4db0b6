"""Steps for executors whose capacity shrinks and grows, on virtual time."""

import asyncio

from behave import then, when

from features.support.owner_jobs import START_S, job_id_of, run_jobs
from mustardgap.executor_links import MAX_STARTS_PER_EXECUTOR
from mustardgap.pool_demands import FILL_SHARE, Forecast, PoolDemand
from mustardgap.pool_views import ExecutorView, PoolView
from mustardgap.workloads import Room
from tools.owner_troubles import BY_NAME, TWO_STEPS
from tools.owner_worlds import CAPACITY, play

STEP = TWO_STEPS.steps[0]
FULL_JOB = TWO_STEPS._replace(steps=(STEP._replace(width=3, cpu=CAPACITY.cpu),))


@when(
    "{count:d} jobs are submitted while executors {guards}, with the fault "
    '"{name}" {times:d} times in a row'
)
def submit_jobs(context, count, guards, name, times):
    async def scene(world):
        await asyncio.sleep(START_S)
        spec = TWO_STEPS._replace(steps=(STEP._replace(width=6), *TWO_STEPS.steps[1:]))
        work = asyncio.ensure_future(run_jobs(world, context.states, count, 0.3, spec))
        for _ in range(times):
            await asyncio.sleep(0.9)
            await BY_NAME[name](world)
        await work

    context.states = {}
    context.world = play(scene, executors=3, guards=guards == "refuse what is large")


@when(
    "a job that fills its executors is cancelled, its owner is killed, and another job is submitted"
)
def cancel_and_kill_owner(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        spec = FULL_JOB._replace(steps=(FULL_JOB.steps[0]._replace(lasting=True),))
        assert await world.submit_until_accepted(job_id_of(1), spec)
        await asyncio.sleep(1)
        owner = world.owner()
        # The owner's stop orders don't arrive. Its successor's do; executors take 1.5 s for each.
        names = [executor.entry.executor for executor in world.fleet.by_address.values()]
        world.fleet.cut |= {(owner, name) for name in names}
        assert await world.cancel(job_id_of(1), owner) == 200
        world.kill(owner)
        assert await world.submit_until_accepted(job_id_of(2), FULL_JOB)
        context.states[job_id_of(2)] = await world.final_state(job_id_of(2), 30)

    context.states = {}
    context.world = play(scene, executors=3, guards=False)


@when("starts are queued for an executor whose capacity then shrinks to nothing")
def queue_starts(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        (executor,) = world.fleet.by_address.values()
        (link,) = world.dispatcher().roster.links_by_executor.values()
        for _ in range(MAX_STARTS_PER_EXECUTOR):
            await link._executor_starts.acquire()
        assert await world.submit_until_accepted(job_id_of(1), TWO_STEPS)
        await asyncio.sleep(0.1)
        assert len(link.runs_by_key) == TWO_STEPS.steps[0].width, "the starts aren't queued"
        executor.resize(Room())
        world.publish(executor)
        await asyncio.sleep(1.5)
        for _ in range(MAX_STARTS_PER_EXECUTOR):
            link._executor_starts.release()
        await asyncio.sleep(1)
        runs = world.fleet.record.runs
        context.sent = sum(run.executor == executor.entry.executor for run in runs)
        executor.resize(CAPACITY)
        context.states[job_id_of(1)] = await world.final_state(job_id_of(1), 20)

    context.states = {}
    context.world = play(scene, executors=1, daemons=1, guards=False)


@then("no start was sent to it before its capacity had grown again")
def no_start_sent(context):
    assert context.sent == 0, context.sent


@when(
    "a pool has work for {work:d} executors, "
    "and its 4 have the shares {capacities} of their capacity"
)
def size_pool(context, work, capacities):
    executors = [
        ExecutorView(f"x{n}", int(CAPACITY.cpu * float(share)), 0, 0, 0, True, False)
        for n, share in enumerate(capacities.split(","))
    ]
    running = int(work * CAPACITY.cpu * FILL_SHARE)
    demand = PoolDemand(first_size=4)
    view = PoolView("quoting", 0, running, 0, executors)
    demand.note(view, 0.0)
    context.balance = demand.balance(view, Forecast(True, False), coming=0, returning=0, leaving=0)


@then("the pool lacks {missing:d} machines")
def pool_lacks(context, missing):
    assert context.balance.missing == missing, context.balance
