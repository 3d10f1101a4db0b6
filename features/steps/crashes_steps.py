"""Steps of tasks that crash their executors, on virtual time."""

import asyncio
from types import SimpleNamespace

from behave import then, when

from features.support.owner_jobs import START_S, job_id_of
from mustardgap.crashes import Crash, classify_crashes, is_given_up, is_suspect, must_run_alone
from mustardgap.job_states import Task
from mustardgap.policies import Mechanism, Policy
from mustardgap.runs import Run
from mustardgap.workloads import TaskId
from tools.crash_plays import CrashPlay, run
from tools.owner_troubles import BY_NAME, TWO_STEPS, partition_of_pool
from tools.owner_worlds import QUEUE, play

# By when after its start a task crashes its executor, in seconds; a sound one takes 0.6.
CRASH_S = {"as they start it": 0.01, "late in its work": 0.4}
# By then a job is over, whatever befalls its owner meanwhile.
ENDED_S = 60


@when(
    "a job of {width:d} tasks, one of which crashes its executors {moment}, "
    'meets the trouble "{name}"'
)
def job_with_crashing_task(context, width, moment, name):
    spec = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(width=width),))

    async def scene(world):
        await asyncio.sleep(START_S)
        job_id = job_id_of(1)
        world.crashing[TaskId(job_id, 0, 0, width // 2)] = CRASH_S[moment]
        assert await world.submit_until_accepted(job_id, spec)
        trouble = asyncio.ensure_future(BY_NAME[name](world))
        context.states[job_id] = await world.final_state(job_id, ENDED_S)
        await trouble

    context.world = play(scene, executors=6, **context.options)


EACH = {"twelve": 12, "six": 6, "three": 3}


@when(
    "{jobs:d} jobs come at one each {gap:g} s, one in {each} of them crashing executors {moment}, "
    "and {name}"
)
def jobs_come(context, jobs, gap, each, moment, name):
    planned = CrashPlay(
        jobs=jobs,
        gap_s=gap,
        crashing_each=EACH[each],
        crash_s=CRASH_S[moment],
        trouble=name,
    )
    context.outcome = run(planned)


@then("all sound jobs have completed, all others have failed, and no promise was broken")
def sound_completed(context):
    outcome = context.outcome
    assert set(outcome.sound) == {"completed"}, outcome.sound
    assert set(outcome.crashing) == {"failed"}, outcome.crashing
    assert not outcome.problems, outcome.problems


@when(
    "{jobs:d} jobs come at one each {gap:g} s, one in {each} crashing executors {moment}, "
    "beside {count:d} that last"
)
def jobs_beside_lasting(context, jobs, gap, each, moment, count):
    planned = CrashPlay(
        jobs=jobs, gap_s=gap, crashing_each=EACH[each], crash_s=CRASH_S[moment], lasting=count
    )
    context.outcome = run(planned)


@then("the jobs that last are running, all sound jobs have completed, and no promise was broken")
def lasting_running(context):
    outcome = context.outcome
    assert set(outcome.lasting) == {"running"}, outcome.lasting
    assert set(outcome.sound) == {"completed"}, outcome.sound
    assert set(outcome.crashing) == {"failed"}, outcome.crashing
    assert not outcome.problems, outcome.problems


NOW_S = 100.0
TASK = TaskId(job_id_of(1), 0, 0, 0)


def _run(was):
    """A run as its owner knows it, by what it was."""
    link = SimpleNamespace()
    task = Task(task_id=TASK, step=TWO_STEPS.steps[0])
    made = Run(task=task, number=1, link=link, now=NOW_S - 1)
    made.sent = was != "was never sent"
    made.at_work = was in ("was at work", "is the prime suspect")
    if was == "had just been started":
        made.confirmed_at = NOW_S - 0.05
    elif was == "was answered 1 s ago":
        made.confirmed_at = NOW_S - 1
    return made


OTHERS = {
    "nothing": [],
    "a prime suspect": ["is the prime suspect"],
    "runs at work": ["was at work"] * 2,
    "others just started": ["had just been started"] * 2,
}


@when("an executor closes its connections under a run that {was}, beside {others}")
def closes(context, was, others):
    context.run = _run(was)
    runs = [context.run, *(_run(other) for other in OTHERS[others])]
    words = [was, *OTHERS[others]]
    trial = runs[words.index("is the prime suspect")] if "is the prime suspect" in words else None
    context.crash_by_run = {id(run): crash for run, crash in classify_crashes(runs, NOW_S, trial)}


@then("the crash counts as {stood} for that run")
def counts_as(context, stood):
    crash = context.crash_by_run.get(id(context.run))
    assert (crash.name if crash is not None else "no crash") == stood, crash


@when("executors have crashed under a task that stood {crashes}")
def have_crashed(context, crashes):
    context.task = Task(task_id=TASK, step=TWO_STEPS.steps[0])
    for number, word in enumerate(crashes.split(",")):
        if word == "seen at work":
            context.task.crash_cleared = True
        else:
            context.task.crashes[number] = Crash[word.removeprefix("perhaps ")]
            if not word.startswith("perhaps "):
                context.task.crashes_confirmed.add(number)


FATES = {
    "is started anywhere": (False, False, False),
    "is started apart": (True, False, False),
    "runs alone": (True, True, False),
    "is given up": (True, True, True),
}


@then("that task {fate}")
def has_fate(context, fate):
    task = context.task
    found = (is_suspect(task), must_run_alone(task), is_given_up(task))
    assert found == FATES[fate], found


@when(
    "a job of {width:d} tasks, one of which crashes its executors as they start it, "
    "meets no durable record"
)
def no_durable_record(context, width):
    spec = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(width=width),))

    async def scene(world):
        await asyncio.sleep(START_S)
        context.task_id = TaskId(job_id_of(1), 0, 0, 0)
        world.crashing[context.task_id] = CRASH_S["as they start it"]
        assert await world.submit_until_accepted(job_id_of(1), spec)
        owner = world.owner()
        world.store.away = {partition_of_pool(failover=failover) for failover in (False, True)}
        await asyncio.sleep(7)
        assert world.owner() == owner, "the owner has changed"
        context.starts = sum(run.task == context.task_id for run in world.fleet.record.runs)

    context.world = play(scene, executors=6, **context.options)


@then("the task was started once")
def started_once(context):
    assert context.starts == 1, context.starts


@when(
    "a job of {width:d} tasks, one of which crashes its executors as they start it, "
    "is asked for at each host"
)
def asked_at_each_host(context, width):
    spec = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(width=width),))
    job_id = job_id_of(1)

    async def ask_all(world):
        for name in world.names:
            reply = await world.daemon(name).gateway.state(queue=QUEUE, job_id=job_id)
            context.told.append((reply.state, reply.detail))

    async def scene(world):
        await asyncio.sleep(START_S)
        world.crashing[TaskId(job_id, 0, 0, 0)] = CRASH_S["as they start it"]
        assert await world.submit_until_accepted(job_id, spec)
        await world.final_state(job_id, ENDED_S)
        await ask_all(world)
        await BY_NAME["owner killed"](world)
        await asyncio.sleep(5)
        await ask_all(world)

    context.told = []
    context.world = play(scene, executors=6, **context.options)


@then('each host says "{why}", before and after a takeover')
def each_host_says(context, why):
    assert len(context.told) == 2 * len(context.world.names), context.told
    assert set(context.told) == {("failed", why)}, context.told


@when(
    "{jobs:d} jobs come at one each {gap:g} s, one in {each} crashing executors, "
    "with and without spreading"
)
def with_and_without_spreading(context, jobs, gap, each):
    planned = CrashPlay(jobs=jobs, gap_s=gap, crashing_each=EACH[each], executors=16)
    context.spread = run(planned)
    context.packed = run(planned._replace(policy=Policy(without=(Mechanism.SPREADING,))))


@then("fewer runs of sound jobs were lost with spreading, and all sound jobs have completed")
def fewer_lost(context):
    assert context.spread.lost < context.packed.lost, (context.spread, context.packed)
    assert set(context.spread.sound) == {"completed"}, context.spread.sound
