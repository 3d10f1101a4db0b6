"""Steps for tasks that crash their executors, on virtual time."""

import asyncio
from types import SimpleNamespace

from behave import then, when

from features.support.owner_jobs import START_S, job_id_of, starts_by_task, until
from features.support.work_counts import counted_calls
from mustardgap.crashes import Crash, classify_crashes, is_given_up, is_suspect, must_run_alone
from mustardgap.job_states import Task
from mustardgap.policies import Mechanism, Policy
from mustardgap.pool_views import PoolRequest
from mustardgap.runs import Run
from mustardgap.workloads import TaskId
from tools.crash_plays import CrashLoad, run_load
from tools.owner_daemons import SERVICE
from tools.owner_troubles import BY_NAME, LASTING, TWO_STEPS, partition_of_pool
from tools.owner_worlds import QUEUE, play

# How long after its start a task crashes its executor, in seconds; a sound task takes 0.6 s.
CRASH_S = {"at the start": 0.01, "late in the run": 0.4}
# A job has ended by then, whatever fault its owner meets.
ENDED_S = 60


async def submit_crashing_job(world, width, *, number=0, moment="at the start"):
    """Submit a job, one task of which crashes its executors; return the id of that task."""
    await asyncio.sleep(START_S)
    task_id = TaskId(job_id_of(1), 0, 0, number)
    world.crashing[task_id] = CRASH_S[moment]
    spec = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(width=width),))
    assert await world.submit_until_accepted(task_id.job, spec)
    return task_id


@when(
    "a job of {width:d} tasks, one of which crashes its executors {moment}, "
    'runs with the fault "{name}"'
)
def job_with_crashing_task(context, width, moment, name):
    async def scene(world):
        task_id = await submit_crashing_job(world, width, number=width // 2, moment=moment)
        fault = asyncio.ensure_future(BY_NAME[name](world))
        context.states[task_id.job] = await world.final_state(task_id.job, ENDED_S)
        await fault

    context.world = play(scene, executors=6, **context.options)


NUMBERS = {"twelve": 12, "six": 6, "three": 3}


@when(
    "{jobs:d} jobs are submitted, one every {gap:g} s, one in {each} of them crashing executors "
    '{moment}, with the fault "{name}"'
)
def submit_jobs(context, jobs, gap, each, moment, name):
    load = CrashLoad(
        jobs=jobs,
        gap_s=gap,
        crashing_every=NUMBERS[each],
        crash_s=CRASH_S[moment],
        fault=name,
    )
    context.outcome = run_load(load)


@then("all sound jobs have completed, all others have failed, and no promise was broken")
def sound_completed(context):
    outcome = context.outcome
    assert set(outcome.sound) == {"completed"}, outcome.sound
    assert set(outcome.crashing) == {"failed"}, outcome.crashing
    assert not outcome.problems, outcome.problems


@when(
    "{jobs:d} jobs are submitted, one every {gap:g} s, one in {each} crashing executors {moment}, "
    "beside {count:d} long-running jobs"
)
def submit_beside_long_running(context, jobs, gap, each, moment, count):
    load = CrashLoad(
        jobs=jobs, gap_s=gap, crashing_every=NUMBERS[each], crash_s=CRASH_S[moment], lasting=count
    )
    context.outcome = run_load(load)


@then("the long-running jobs are running, all sound jobs have completed, and no promise was broken")
def long_running_are_running(context):
    outcome = context.outcome
    assert set(outcome.lasting) == {"running"}, outcome.lasting
    assert set(outcome.sound) == {"completed"}, outcome.sound
    assert set(outcome.crashing) == {"failed"}, outcome.crashing
    assert not outcome.problems, outcome.problems


NOW_S = 100.0
TASK = TaskId(job_id_of(1), 0, 0, 0)


def _make_run(was):
    """Make a run in the state that a step names."""
    link = SimpleNamespace()
    task = Task(task_id=TASK, step=TWO_STEPS.steps[0])
    run = Run(task=task, number=1, link=link, now=NOW_S - 1)
    run.sent = was != "was never sent"
    run.at_work = was in ("was at work", "is the run on trial")
    if was == "had just been started":
        run.confirmed_at = NOW_S - 0.05
    elif was == "had just been adopted":
        run.confirmed_at, run.adopted = NOW_S - 0.05, True
    elif was == "was answered 1 s ago":
        run.confirmed_at = NOW_S - 1
    return run


OTHERS = {
    "nothing": [],
    "a run on trial": ["is the run on trial"],
    "runs at work": ["was at work"] * 2,
    "others just started": ["had just been started"] * 2,
}


@when("an executor closes its connections under a run that {was}, beside {others}")
def close_connections(context, was, others):
    context.run = _make_run(was)
    runs = [context.run, *(_make_run(other) for other in OTHERS[others])]
    states = [was, *OTHERS[others]]
    trial = runs[states.index("is the run on trial")] if "is the run on trial" in states else None
    context.crash_by_run = {id(run): crash for run, crash in classify_crashes(runs, NOW_S, trial)}


@then("the crash counts as {name} for that run")
def crash_counts_as(context, name):
    crash = context.crash_by_run.get(id(context.run))
    assert (crash.name if crash is not None else "no crash") == name, crash


@when("executors have crashed under a task, counted as {crashes}")
def crash_executors(context, crashes):
    count_crashes(context, TWO_STEPS.steps[0], crashes)


@when("executors have crashed under a long-running task, counted as {crashes}")
def crash_executors_of_lasting(context, crashes):
    count_crashes(context, LASTING.steps[0], crashes)


def count_crashes(context, step, crashes):
    """Make a task of a step with crashes as a step of the feature names them."""
    context.task = Task(task_id=TASK, step=step)
    for number, name in enumerate(crashes.split(",")):
        if name == "seen at work":
            context.task.crash_cleared = True
        else:
            context.task.crashes[number] = Crash[name.removeprefix("unconfirmed ")]
            if not name.startswith("unconfirmed "):
                context.task.crashes_confirmed.add(number)


# Whether a task is a suspect, must run alone, and is given up, by decision.
DECISIONS = {
    "may start on any executor": (False, False, False),
    "must start apart": (True, False, False),
    "must run alone": (True, True, False),
    "is given up": (True, True, True),
}


@then("that task {decision}")
def decision_is(context, decision):
    task = context.task
    found = (is_suspect(task), must_run_alone(task), is_given_up(task))
    assert found == DECISIONS[decision], found


@when(
    "a job of {width:d} tasks, one of which crashes its executors at the start, "
    "runs while no crash can be stored"
)
def run_without_storing(context, width):
    async def scene(world):
        task_id = await submit_crashing_job(world, width)
        owner = world.owner()
        world.store.away = {partition_of_pool(failover=failover) for failover in (False, True)}
        await asyncio.sleep(7)
        assert world.owner() == owner, "the owner has changed"
        context.starts = starts_by_task(world)[task_id]

    context.world = play(scene, executors=6, **context.options)


@then("the task was started {count}")
def started(context, count):
    assert context.starts == {"once": 1, "twice": 2}[count], context.starts


@when(
    "a job of {width:d} tasks, one of which crashes its executors at the start, "
    "runs while new executors answer {delay:g} s late"
)
def run_with_late_executors(context, width, delay):
    async def scene(world):
        task_id = await submit_crashing_job(world, width)
        world.start_delay_s = delay
        context.states[task_id.job] = await world.final_state(task_id.job, ENDED_S)
        context.starts = starts_by_task(world)[task_id]

    context.world = play(scene, executors=6, **context.options)


@when(
    "a job of {width:d} tasks, one of which crashes its executors at the start, "
    "runs while its owner is killed {after_s:d} s after crash {number:d}"
)
def run_with_owner_killed(context, width, after_s, number):
    async def scene(world):
        task_id = await submit_crashing_job(world, width)
        while world.crashes < number:
            await asyncio.sleep(0.05)
        await asyncio.sleep(after_s)
        await BY_NAME["owner killed"](world)
        context.states[task_id.job] = await world.final_state(task_id.job, ENDED_S)
        context.starts = starts_by_task(world)[task_id]

    context.world = play(scene, executors=6, **context.options)


@when(
    "{count:d} executors in a row {end} while the only task of a job runs there, "
    "and their machines have new ones"
)
def end_executors(context, count, end):
    async def scene(world):
        await asyncio.sleep(START_S)
        job_id = job_id_of(1)
        spec = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(width=1),))
        assert await world.submit_until_accepted(job_id, spec)
        for _ in range(count):
            assert await until(lambda: busy_executor(world), 20)
            executor = busy_executor(world)
            # By then the run counts as at work, and no other runs there.
            await asyncio.sleep(0.6)
            executor.crash()
            # The owner finds the connections closed before it is told.
            await asyncio.sleep(0.4)
            name = executor.entry.executor
            closing = [name] if end == "are ordered away" else []
            world.dispatcher().pool_view(PoolRequest(SERVICE, closing, [], [name]))
            await asyncio.sleep(1.5)
            world.bear_again(executor.entry.machine)
        context.states[job_id] = await world.final_state(job_id, ENDED_S)

    context.world = play(scene, executors=6, work_s=6.0, **context.options)


def busy_executor(world):
    """An executor that runs anything, None if there is none."""
    return next((e for e in world.fleet.by_address.values() if e.alive and e.runs), None)


# How long an executor breaks off all calls, and how long after the start its owner is killed.
BREAK_OFF_S, KILL_AFTER_S = 4.0, 2.2


def break_off_at_starts(world, count):
    """Have the first executors that a start is sent to break off all calls for a time.

    :return: their addresses, as they are found.
    """
    addresses = []

    def on_start_sent(entry):
        if entry.address in addresses or len(addresses) == count:
            return
        addresses.append(entry.address)
        world.fleet.breaking_off.add(entry.address)
        world.loop.call_later(BREAK_OFF_S, world.fleet.breaking_off.discard, entry.address)

    world.fleet.on_start_sent = on_start_sent
    return addresses


@when(
    "a job is started on {count:d} executors in a row that break off, "
    "while their machines' former executors are still listed"
)
def run_beside_former_entries(context, count):
    async def scene(world):
        await asyncio.sleep(START_S)
        # The entry of an executor whose address has another one stays listed here.
        for executor in list(world.fleet.by_address.values()):
            executor.crash()
            world.bear_again(executor.entry.machine)
        await asyncio.sleep(3)
        addresses = break_off_at_starts(world, count)
        job_id = job_id_of(1)
        spec = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(width=1),))
        assert await world.submit_until_accepted(job_id, spec)
        killings = []
        for number in range(count):
            # A job whose first crash isn't confirmed may complete before there is a second one.
            if await until(lambda n=number: len(addresses) > n, 10):
                await asyncio.sleep(KILL_AFTER_S)
                killings.append(asyncio.ensure_future(BY_NAME["owner killed"](world)))
        context.states[job_id] = await world.final_state(job_id, ENDED_S)
        await asyncio.gather(*killings)

    context.world = play(scene, executors=6, **context.options)


@when(
    "a job of {width:d} tasks, one of which crashes its executors at the start, "
    "has its state read at each host"
)
def read_state_at_each_host(context, width):
    async def read_states(world, job_id):
        for name in world.names:
            reply = await world.daemon(name).gateway.state(queue=QUEUE, job_id=job_id)
            context.replies.append((reply.state, reply.detail))

    async def scene(world):
        task_id = await submit_crashing_job(world, width)
        await world.final_state(task_id.job, ENDED_S)
        await read_states(world, task_id.job)
        await BY_NAME["owner killed"](world)
        await asyncio.sleep(5)
        await read_states(world, task_id.job)

    context.replies = []
    context.world = play(scene, executors=6, **context.options)


@then('each host reports "{why}", before and after a takeover')
def each_host_reports(context, why):
    assert len(context.replies) == 2 * len(context.world.names), context.replies
    assert set(context.replies) == {("failed", why)}, context.replies


@when(
    "{jobs:d} jobs are submitted, one every {gap:g} s, one in {each} crashing executors, "
    "with and without spreading"
)
def submit_with_and_without_spreading(context, jobs, gap, each):
    load = CrashLoad(jobs=jobs, gap_s=gap, crashing_every=NUMBERS[each], executors=16)
    context.spread = run_load(load)
    context.packed = run_load(load._replace(policy=Policy(without=(Mechanism.SPREADING,))))


@then("fewer runs of sound jobs were lost with spreading, and all sound jobs have completed")
def fewer_lost(context):
    assert context.spread.lost < context.packed.lost, (context.spread, context.packed)
    assert set(context.spread.sound) == {"completed"}, context.spread.sound


def _cost_of_crash(width):
    """The calls an owner makes for each task that an executor crashes under, and their tickets."""
    found = []

    async def scene(world):
        await asyncio.sleep(START_S)
        step = TWO_STEPS.steps[0]._replace(width=width, cpu=2, memory_mb=2)
        assert await world.submit_until_accepted(job_id_of(1), TWO_STEPS._replace(steps=(step,)))
        assert await until(lambda: len(world.fleet.record.runs) >= width, 10)
        await asyncio.sleep(1.0)
        dispatcher = world.dispatcher()
        link = next(link for link in dispatcher.roster.links_by_executor.values() if link.used.cpu)
        with counted_calls() as counts:
            dispatcher.crashes.on_closed(link)
        job = dispatcher.jobs_by_id[job_id_of(1)]
        tickets = [task.crash_ticket for task in job.tasks() if task.crashes]
        await asyncio.sleep(1.0)
        found.append((sum(counts.values()) / width, [ticket.durable for ticket in tickets]))

    play(scene, work_s=60.0, executors=1)
    return found[0]


@when("an executor crashes under {few:d} and under {many:d} tasks of a job")
def crash_under_many(context, few, many):
    context.counts = few, many
    context.costs = [_cost_of_crash(width) for width in (few, many)]


@then("each crash is durable, and the calls made for each task are no more by over a tenth")
def crash_costs(context):
    for count, (_, durable) in zip(context.counts, context.costs, strict=True):
        assert durable == [True] * count, (count, len(durable))
    (few, _), (many, _) = context.costs
    assert many <= 1.1 * few, (few, many)
