"""Steps for long-running tasks whose executors crash, or whose job fails otherwise."""

import asyncio

from behave import then, when

from features.steps.crashes_lasting_steps import crash_under
from features.steps.owners_removal_steps import remove_queues
from features.support.owner_jobs import START_S, job_id_of, log_lines, starts_by_task, until
from mustardgap.workloads import EndKind, JobSpec, Step, TaskId
from tools.owner_troubles import BY_NAME, LASTING, TWO_STEPS
from tools.owner_worlds import ATTEMPTS, QUEUE, REBORN_S, play

JOB = job_id_of(1)
TASK = TaskId(JOB, 0, 0, 0)
# Each task has an executor to itself.
ALONE = JobSpec(
    "lasting", (Step(5, 6_000, 500, 0, 0.0, lasting=True, may_miss=1, anti_affinity=1),)
)
EXECUTORS = 8
# A step that ends by itself, beside one that lasts.
MIXED = JobSpec("mixed", (TWO_STEPS.steps[0], LASTING.steps[0]))
BATCH, SERVING = 0, 1
CRASH_S = {"at the start": 0.01, "late in the run": 0.4, "after 3 s": 3.0, "after 8 s": 8.0}
# By then a task that crashes its executors as late as any of these has been started five times.
CONTAINED_S = 75
# By then a step that fails has used its attempts up.
FAILED_S = 15
SETTLED_S = 12


async def submit(world, spec):
    """Submit a job once shards have owners, and wait until it is accepted."""
    await asyncio.sleep(START_S)
    assert await world.submit_until_accepted(JOB, spec), "no host accepted the job"


def tasks_at_work(world):
    """Return the tasks that serve their users now."""
    tasks = {run.task for run in world.fleet.record.runs}
    return {task for task in tasks if world.fleet.is_at_work(task)}


async def note_outcome(context, world):
    """Keep what runs now, and what each host says of the job."""
    context.noted_at = world.loop.time()
    context.at_work = tasks_at_work(world)
    context.running = [run for run in world.fleet.record.runs if run.ended_at is None]
    replies = [
        await world.daemon(name).gateway.state(queue=QUEUE, job_id=JOB) for name in world.names
    ]
    context.states_told = {reply.state for reply in replies}
    context.details = {reply.detail for reply in replies}


@when(
    "executors crash {count:d} times under a long-running task, each {after:g} s after its start, "
    'with the fault "{name}"'
)
def crash_repeatedly(context, count, after, name):
    async def scene(world):
        await submit(world, ALONE)
        for number in range(count):
            if not await until(lambda: world.fleet.is_at_work(TASK)):
                break
            started = max(r.started_at for r in world.fleet.record.runs if r.task == TASK)
            await asyncio.sleep(max(started + after - world.loop.time(), 0))
            crash_under(world, TASK)
            if number == 0:
                await BY_NAME[name](world)
        await asyncio.sleep(SETTLED_S)
        await note_outcome(context, world)

    context.width = ALONE.steps[0].width
    context.world = play(scene, executors=EXECUTORS, **context.options)


@then("all tasks of the job are at work, and its state is {state}")
def all_at_work(context, state):
    assert len(context.at_work) == context.width, context.at_work
    assert context.states_told == {state}, context.states_told


@when('one of 5 long-running tasks crashes its executors {when}, with the fault "{name}"')
def one_task_crashes(context, when, name):
    async def scene(world):
        world.crashing[TASK] = CRASH_S[when]
        await submit(world, ALONE)
        assert await until(lambda: world.crashes > 0)
        await BY_NAME[name](world)
        await asyncio.sleep(CONTAINED_S)
        await note_outcome(context, world)

    context.world = play(scene, executors=EXECUTORS, **context.options)


@when(
    "one of 5 long-running tasks crashes its executors {when}, and these are back after {back:g} s"
)
def one_task_crashes_slowly(context, when, back):
    async def scene(world):
        world.crashing[TASK] = CRASH_S[when]
        await submit(world, ALONE)
        world.start_delay_s = back - REBORN_S
        await asyncio.sleep(CONTAINED_S + 5 * back)
        await note_outcome(context, world)

    context.world = play(scene, executors=EXECUTORS, **context.options)


@when(
    "one of 5 long-running tasks crashes its executors {when}, "
    "and its owner is killed within {ms:d} ms of the first crash"
)
def owner_dies_after_crash(context, when, ms):
    async def scene(world):
        world.crashing[TASK] = CRASH_S[when]
        await submit(world, ALONE)
        assert await until(lambda: world.crashes > 0, step_s=ms / 1000)
        await BY_NAME["owner killed"](world)
        await asyncio.sleep(CONTAINED_S)
        await note_outcome(context, world)

    context.world = play(scene, executors=EXECUTORS, **context.options)


@when(
    "one of 5 long-running tasks crashes its executors {when}, "
    "and its owner is killed {ahead:g} s before the first crash"
)
def owner_dies_before_crash(context, when, ahead):
    async def scene(world):
        world.crashing[TASK] = CRASH_S[when]
        await submit(world, ALONE)
        assert await until(lambda: starts_by_task(world)[TASK] > 0, step_s=0.005)
        started = min(r.started_at for r in world.fleet.record.runs if r.task == TASK)
        await asyncio.sleep(started + CRASH_S[when] - ahead - world.loop.time())
        assert world.crashes == 0
        await BY_NAME["owner killed"](world)
        await asyncio.sleep(CONTAINED_S)
        await note_outcome(context, world)

    context.world = play(scene, executors=EXECUTORS, **context.options)


@when(
    "executors crash {count:d} times under a long-running task, each {after:g} s after its start, "
    "and its owner is killed with each"
)
def crash_with_owners(context, count, after):
    async def scene(world):
        await submit(world, ALONE)
        for _ in range(count):
            assert await until(lambda: world.fleet.is_at_work(TASK))
            started = max(r.started_at for r in world.fleet.record.runs if r.task == TASK)
            await asyncio.sleep(max(started + after - world.loop.time(), 0))
            crash_under(world, TASK)
            await BY_NAME["owner killed"](world)
        await asyncio.sleep(SETTLED_S)
        await note_outcome(context, world)

    context.width = ALONE.steps[0].width
    context.world = play(scene, executors=EXECUTORS, **context.options)


@when("an executor without tasks crashes beside 5 long-running tasks, and their owner is killed")
def idle_executor_crashes(context):
    async def scene(world):
        await submit(world, ALONE)
        await asyncio.sleep(3)
        idle = next(e for e in world.fleet.by_address.values() if not e.runs)
        idle.crash()
        world.loop.call_later(REBORN_S, world.bear_again, idle.entry.machine)
        await BY_NAME["owner killed"](world)
        await asyncio.sleep(SETTLED_S)
        await note_outcome(context, world)

    context.width = ALONE.steps[0].width
    context.world = play(scene, executors=EXECUTORS, **context.options)


@then("no crash was inferred")
def none_inferred(context):
    inferred = [line for line in log_lines(context.world) if line["event"] == "crash.inferred"]
    assert not inferred, inferred


@then("the task is given up after {most:d} starts at most")
def given_up(context, most):
    starts = starts_by_task(context.world)[TASK]
    assert 1 < starts <= most, starts
    assert TASK not in context.at_work


@then("the {count:d} others are at work and weren't stopped")
def others_at_work(context, count):
    assert len(context.at_work - {TASK}) == count, context.at_work
    stopped = [r for r in context.world.fleet.record.runs if r.how is EndKind.STOPPED]
    assert not [run for run in stopped if run.task != TASK], stopped


@then("the job's state is running, and says that the task was given up")
def running_with_detail(context):
    assert context.states_told == {"running"}, context.states_told
    (detail,) = context.details
    assert "executors crashed under task 0.0.0" in detail, detail


@when("all of 3 long-running tasks crash their executors {when}")
def all_tasks_crash(context, when):
    spec = ALONE._replace(steps=(ALONE.steps[0]._replace(width=3),))

    async def scene(world):
        for number in range(3):
            world.crashing[TASK._replace(number=number)] = CRASH_S[when]
        await submit(world, spec)
        context.states[JOB] = await world.final_state(JOB, CONTAINED_S)

    context.world = play(scene, executors=EXECUTORS, **context.options)


@then("each task was started {most:d} times at most")
def each_started_at_most(context, most):
    assert max(starts_by_task(context.world).values()) <= most, starts_by_task(context.world)


def _fail_step(world, fails):
    """Have the batch step of the job fail as a step names it."""
    if fails == "uses its attempts up":
        for executor in world.fleet.by_address.values():
            executor.fails = True
    else:
        for number in range(MIXED.steps[BATCH].width):
            world.crashing[TaskId(JOB, 0, BATCH, number)] = CRASH_S["at the start"]


@when('a job has a step that {fails} beside 3 long-running tasks, with the fault "{name}"')
def batch_step_fails(context, fails, name):
    async def scene(world):
        _fail_step(world, fails)
        await submit(world, MIXED)
        await asyncio.sleep(FAILED_S)
        context.failed_at = world.loop.time()
        await BY_NAME[name](world)
        await asyncio.sleep(SETTLED_S)
        await note_outcome(context, world)
        assert await world.cancel(JOB, world.names[0]) == 200
        await asyncio.sleep(5)
        context.left = [run for run in world.fleet.record.runs if run.ended_at is None]
        context.last_state = await world.state(JOB, world.names[0])

    context.world = play(scene, executors=EXECUTORS, **context.options)


@when("a job's batch step has used its attempts up beside 3 long-running tasks as its owner {ends}")
def owner_ends_with_failed_step(context, ends):
    async def scene(world):
        for executor in world.fleet.by_address.values():
            executor.fails = True
            # Acknowledgements to the executor are lost, so that the next owner is told again.
            executor.deaf = True
        await submit(world, MIXED)
        batch = [TaskId(JOB, 0, BATCH, number) for number in range(MIXED.steps[BATCH].width)]
        assert await until(lambda: any(_failures(world, task) >= ATTEMPTS for task in batch))
        owner = world.owner()
        if ends == "is killed":
            world.kill(owner)
        else:
            await world.stop(owner)
        for executor in world.fleet.by_address.values():
            executor.deaf = False
        world.start(owner)
        await asyncio.sleep(SETTLED_S)
        await note_outcome(context, world)

    context.world = play(scene, executors=EXECUTORS, **context.options)


def _failures(world, task):
    return sum(r.task == task and r.how is EndKind.FAILED for r in world.fleet.record.runs)


@then("the job's state is failed, and its long-running tasks are at work and weren't stopped")
def failed_and_serving(context):
    assert context.states_told == {"failed"}, context.states_told
    serving = {task for task in context.at_work if task.step == SERVING}
    assert len(serving) == MIXED.steps[SERVING].width, context.at_work
    runs = context.world.fleet.record.runs
    ends = [r for r in runs if r.task.step == SERVING and r.how is EndKind.STOPPED]
    assert not [run for run in ends if run.ended_at < context.noted_at], ends


@then("nothing else of the job runs or was started again")
def nothing_else(context):
    assert {run.task.step for run in context.running} == {SERVING}, context.running
    batch = [run for run in context.world.fleet.record.runs if run.task.step == BATCH]
    assert not [run for run in batch if run.started_at > context.failed_at], batch


@then("a cancelled job has no task left, and its state is canceled")
def none_left(context):
    assert not context.left, context.left
    assert context.last_state == "canceled", context.last_state


@when('the queue of 3 long-running tasks is removed, with the fault "{name}"')
def queue_removed(context, name):
    async def scene(world):
        await submit(world, LASTING)
        await asyncio.sleep(3)
        remove_queues(world)
        await asyncio.sleep(3)
        await BY_NAME[name](world)
        await asyncio.sleep(25)
        context.at_work = len(tasks_at_work(world))

    context.world = play(scene, **context.options)
