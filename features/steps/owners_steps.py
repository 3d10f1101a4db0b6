"""Steps of the owners feature, in virtual time."""

import asyncio
import os
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import HealthCheck, Phase, settings, strategies
from hypothesis import given as given_drawn
from hypothesis.stateful import run_state_machine_as_test

from features.support.owner_jobs import START_S, job_id_of, log_lines, run_jobs, until
from mustardgap.crashes import Crash
from mustardgap.evacuations import Evacuations
from mustardgap.job_progress import encode_whole, restore_head
from mustardgap.job_states import Job, StoredJob, Task
from mustardgap.run_numbers import RUN_NUMBERS_PER_EPOCH, RunNumbers
from mustardgap.runs import Run, RunPhase
from mustardgap.workloads import EndKind, TaskId
from tools.owner_daemons import SHARDS
from tools.owner_machine import OwnerMachine
from tools.owner_troubles import BY_NAME, LASTING, TWO_STEPS
from tools.owner_worlds import ATTEMPTS, QUEUE, play

LONG = "MUSTARDGAP_LONG" in os.environ


@given("owners on a fake platform")
def fake_platform(context):
    context.options = {}
    context.states = {}


@when('{count:d} jobs of two steps are submitted, with the fault "{name}" {times:d} times in a row')
def run_jobs_with_fault(context, count, name, times):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, count))
        for _ in range(times):
            await asyncio.sleep(0.9)
            await BY_NAME[name](world)
        await work

    context.world = play(scene, **context.options)


@when("{count:d} short jobs are submitted while executors lose answers")
def run_while_answers_lost(context, count):
    async def scene(world):
        await asyncio.sleep(START_S)
        fault = asyncio.ensure_future(BY_NAME["executors lose answers"](world))
        await run_jobs(world, context.states, count)
        await fault

    context.world = play(scene, work_s=0.2, **context.options)


@when("{count:d} jobs of 12 tasks are submitted at once while sending an order takes {ms:d} ms")
def run_while_orders_slow(context, count, ms):
    spec = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(width=12),))

    async def scene(world):
        await asyncio.sleep(START_S)
        world.fleet.order_s = ms / 1000
        await run_jobs(world, context.states, count, pause_s=0, spec=spec)
        context.lines = log_lines(world)

    context.world = play(scene, executors=24, **context.options)


@when(
    "a job of {width:d} small tasks has started, "
    "one of {count:d} executors is cut off for {seconds:d} s"
)
def cut_executor_off(context, width, count, seconds):
    step = TWO_STEPS.steps[0]._replace(width=width, cpu=100)

    async def scene(world):
        await asyncio.sleep(START_S)
        spec = TWO_STEPS._replace(steps=(step,))
        work = asyncio.ensure_future(run_jobs(world, context.states, 1, spec=spec))
        while not world.fleet.record.runs:
            await asyncio.sleep(0.001)
        first = world.fleet.record.runs[0].executor
        world.fleet.cut.add((None, first))
        await asyncio.sleep(seconds)
        context.states_before_return = dict(context.states)
        world.fleet.cut.discard((None, first))
        await work
        await asyncio.sleep(10)

    context.world = play(scene, executors=count, **context.options)


@when("a job fails once and its owner is stopped before the failure is acknowledged")
def stop_owner_before_acknowledgement(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        executors = list(world.fleet.by_address.values())
        for executor in executors:
            executor.fails = True
            # Acknowledgements to the executor are lost.
            executor.deaf = True
        work = asyncio.ensure_future(run_jobs(world, context.states, 1))
        while not any(run.how is EndKind.FAILED for run in world.fleet.record.runs):
            await asyncio.sleep(0.01)
        for executor in executors:
            executor.fails = False
        await asyncio.sleep(0.05)
        await world.stop(world.owner())
        for executor in executors:
            executor.deaf = False
        await asyncio.wait_for(work, 70)

    context.world = play(scene, **context.options)


@when("a job of two independent steps has failed at its first one before capacity is free")
def fail_first_step(context):
    first, second = TWO_STEPS.steps
    spec = TWO_STEPS._replace(steps=(first, second._replace(depends_on=())))

    async def scene(world):
        _drain_executors(world)
        await asyncio.sleep(START_S)
        assert await world.submit_until_accepted(job_id_of(1), spec)
        await asyncio.sleep(0.1)
        dispatcher = world.dispatcher()
        job = dispatcher.jobs_by_id[job_id_of(1)]
        for run in range(ATTEMPTS):
            job.mark_failed([task for task in job.tasks() if task.task_id.step == 0], run)
        for link in dispatcher.roster.links_by_executor.values():
            link.entry = link.entry._replace(draining=False)
        context.states[job_id_of(1)] = await world.final_state(job_id_of(1), 20)
        await asyncio.sleep(5)

    context.world = play(scene, **context.options)


@when("a job is cancelled {ms:d} ms before a task ends, and its owner is cut off from the store")
def cancel_before_end(context, ms):
    async def scene(world):
        await asyncio.sleep(START_S)
        job_id = job_id_of(1)
        assert await world.submit_until_accepted(job_id, TWO_STEPS)
        while not world.fleet.record.runs:
            await asyncio.sleep(0.001)
        first = world.fleet.record.runs[0]
        await asyncio.sleep(first.started_at + world.work_s - ms / 1000 - world.loop.time())
        owner = world.owner()
        world.store.cut_hosts.add(owner)
        await world.cancel(job_id, owner)
        await asyncio.sleep(10)
        world.store.cut_hosts.discard(owner)
        await asyncio.sleep(10)

    context.world = play(scene, **context.options)


@when('a lasting job is cancelled, with the fault "{name}"')
def cancel_with_fault(context, name):
    async def scene(world):
        await asyncio.sleep(START_S)
        assert await world.submit_until_accepted(job_id_of(1), LASTING)
        await asyncio.sleep(2)
        fault = asyncio.ensure_future(BY_NAME[name](world))
        await asyncio.sleep(0.05)
        for attempt in range(60):
            if await world.cancel(job_id_of(1), world.names[attempt % 3]) == 200:
                break
            await asyncio.sleep(0.3)
        context.cancelled_at = world.loop.time()
        await fault
        await asyncio.sleep(20)

    context.world = play(scene, **context.options)


@when('a lasting job runs for {seconds:d} s, with the fault "{name}"')
def run_lasting_with_fault(context, name, seconds):
    async def scene(world):
        await asyncio.sleep(START_S)
        assert await world.submit_until_accepted(job_id_of(1), LASTING)
        await asyncio.sleep(3)
        await BY_NAME[name](world)
        await asyncio.sleep(seconds)
        context.at_work = sum(1 for run in world.fleet.record.runs if run.ended_at is None)

    context.world = play(scene, **context.options)


@when('{count:d} jobs require a label that no executor has, and the fault "{name}" occurs')
def submit_unplaceable(context, count, name):
    steps = tuple(step._replace(requires="gold") for step in TWO_STEPS.steps)

    async def scene(world):
        await asyncio.sleep(START_S)
        for number in range(count):
            spec = TWO_STEPS._replace(steps=steps)
            assert await world.submit_until_accepted(job_id_of(number), spec)
        await BY_NAME[name](world)
        await asyncio.sleep(8)
        replies = [await world.daemon(host).gateway.pending(queue=QUEUE) for host in world.names]
        context.pending = [reply.pending for reply in replies]

    context.world = play(scene, **context.options)


@when("{count:d} jobs are submitted while all executors have lost power")
def submit_without_power(context, count):
    async def scene(world):
        await asyncio.sleep(START_S)
        for executor in list(world.fleet.by_address.values()):
            executor.crash(dark=True)
        for number in range(count):
            assert await world.submit_until_accepted(job_id_of(number), TWO_STEPS)
        # Starts have been sent, and no other machine has come to the pool yet.
        await asyncio.sleep(1.5)
        assert any(job.has_started for job in world.dispatcher().jobs_by_id.values())
        replies = [await world.daemon(host).gateway.pending(queue=QUEUE) for host in world.names]
        context.pending = [reply.pending for reply in replies]

    context.world = play(scene, **context.options)


def _drain_executors(world):
    """Publish a draining entry for every executor."""
    for executor in world.fleet.by_address.values():
        executor.entry = executor.entry._replace(draining=True)
        world.publish(executor)


@when("daemons are stopped at {count:d} moments after another one has joined")
def stop_during_reassignment(context, count):
    async def scene(world):
        await asyncio.sleep(START_S)
        for name in ("e2", "e3"):
            await world.stop(name)
        for number in range(count):
            await asyncio.sleep(3)
            owned = world.daemon("e1").owners.owned_by_shard
            assert len(owned) == SHARDS, owned
            world.start("e2")
            while len(owned) == SHARDS:
                await asyncio.sleep(0.0001)
            await asyncio.sleep(number * 0.0005)
            await world.stop("e1")
            context.stops += 1
            context.shards_kept += len(world.gone.owners.owned_by_shard)
            world.start("e1")
            await asyncio.sleep(2)
            await world.stop("e2")

    context.stops = context.shards_kept = 0
    context.world = play(scene, **context.options)


@when("one job is submitted through all hosts at once, and again after it has ended")
def submit_repeatedly(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        job_id = job_id_of(1)
        await asyncio.gather(*(world.submit(job_id, TWO_STEPS, name) for name in world.names))
        await world.submit_until_accepted(job_id, TWO_STEPS)
        context.states[job_id] = await world.final_state(job_id, 20)
        for name in world.names:
            await world.submit(job_id, TWO_STEPS, name)
        await asyncio.sleep(5)

    context.world = play(scene, **context.options)


@when("{count:d} jobs are submitted while the store is down")
def submit_while_store_down(context, count):
    async def scene(world):
        await asyncio.sleep(START_S)
        world.store.down = True
        for number in range(count):
            await world.submit(job_id_of(number), TWO_STEPS, world.names[number % 3])
        world.store.down = False
        await asyncio.sleep(10)

    context.world = play(scene, **context.options)


@when("a configuration is published and {fault}")
def publish_configuration(context, fault):
    async def scene(world):
        await asyncio.sleep(START_S)
        if fault == "a daemon's waiting read is silent":
            world.store.silenced_hosts.add("e1")
            await asyncio.sleep(0.1)
        elif fault == "a daemon is cut off from the store":
            world.store.cut_hosts.add("e1")
        world.publish_configuration(5)
        await asyncio.sleep(2)
        context.versions = {
            daemon.name: daemon.operator.configuration.version
            for daemon in world.daemons_by_address.values()
        }

    context.world = play(scene, **context.options)


@when("a job is submitted while the only executor fails briefly")
def run_while_only_executor_fails(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        for executor in world.fleet.by_address.values():
            executor.fails = True
        work = asyncio.ensure_future(run_jobs(world, context.states, 1))
        while not any(run.how is EndKind.FAILED for run in world.fleet.record.runs):
            await asyncio.sleep(0.01)
        for executor in world.fleet.by_address.values():
            executor.fails = False
        await asyncio.wait_for(work, 70)

    context.world = play(scene, executors=1, **context.options)


def _make_spec(name, now):
    """Return the spec of a job of a kind.

    :param now: the wall clock time in seconds.
    """
    step = TWO_STEPS.steps[0]
    plain = TWO_STEPS
    kinds = {
        "gangs": plain._replace(steps=(step._replace(gang=True),)),
        "gangs on one rack": plain._replace(steps=(step._replace(gang=True, same_rack=True),)),
        "repeated three times": plain._replace(repeats=3, first_at_s=now + 1, interval_s=0.5),
        "near their data": plain._replace(steps=(step._replace(data_rack="r1"),)),
        "for executors with a label": plain._replace(steps=(step._replace(requires="gold"),)),
        "wider than the pool": plain._replace(steps=(step._replace(width=60),)),
    }
    return kinds.get(name, plain)


@when("4 jobs are submitted that are {kind}")
def run_jobs_of_kind(context, kind):
    async def scene(world):
        if "label" in kind:
            for executor in list(world.fleet.by_address.values())[:2]:
                executor.entry = executor.entry._replace(labels=("gold",))
                world.publish(executor)
        await asyncio.sleep(START_S)
        wall = world.daemon("e1").clock.wall()
        spec = _make_spec(kind, wall)
        await run_jobs(world, context.states, 4, spec=spec)
        runs = world.fleet.record.runs
        tasks = {run.task for run in runs if run.how is EndKind.DONE}
        expected = sum(step.width for step in spec.steps) * max(spec.repeats, 1) * 4
        assert len(tasks) == expected, (len(tasks), expected)
        if "label" in kind:
            gold = {e.entry.executor for e in world.fleet.by_address.values() if e.entry.labels}
            assert {run.executor for run in runs} <= gold

    context.world = play(scene, advised="policy" in kind, **context.options)


@when("random faults occur while jobs run")
def run_with_random_faults(context):
    context.failures = []
    names = sorted(BY_NAME)
    step = strategies.tuples(strategies.sampled_from(names), strategies.floats(0.1, 3.0))

    @settings(
        max_examples=300 if LONG else 25,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given_drawn(strategies.lists(step, min_size=2, max_size=8), strategies.integers(0, 1000))
    def run(steps, seed):
        context.failures += _run_with_faults(steps, seed)

    run()


def _run_with_faults(steps, seed):
    states = {}

    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, states, 6, pause_s=1.0))
        assert await world.submit_until_accepted(job_id_of(99), LASTING)
        first_at_s = world.daemon("e1").clock.wall() + 1
        scheduled = TWO_STEPS._replace(repeats=3, first_at_s=first_at_s, interval_s=2.0)
        assert await world.submit_until_accepted(job_id_of(98), scheduled)
        faults = []
        for name, pause_s in steps:
            faults.append(asyncio.ensure_future(BY_NAME[name](world)))
            await asyncio.sleep(pause_s)
        await asyncio.gather(work, *faults)
        await asyncio.sleep(20)

    try:
        world = play(scene, seed=seed)
    except AssertionError as exc:
        return [f"{steps} seed {seed}: {exc}"]
    not_ended = {
        job: state for job, state in states.items() if state not in ("completed", "failed")
    }
    problems = world.problems() + ([f"not ended: {not_ended}"] if not_ended else [])
    return [f"{steps} seed {seed}: {problem}" for problem in problems]


@then("all jobs have ended as {state}")
def assert_all_ended(context, state):
    assert context.states and set(context.states.values()) == {state}, context.states


@then("no promise was broken")
def assert_nothing_broken(context):
    assert not context.world.problems(), "\n".join(context.world.problems())


@then("no run broke a promise")
def assert_no_failures(context):
    assert not context.failures, "\n".join(context.failures[:10])


@then("the job has ended before the executor is back")
def assert_ended_in_time(context):
    assert set(context.states_before_return.values()) == {"completed"}, context.states_before_return


@then("nothing of the job runs after {seconds:d} s")
def assert_nothing_runs(context, seconds):
    late = [
        run
        for run in context.world.fleet.record.runs
        if run.ended_at is None or run.ended_at > context.cancelled_at + seconds
    ]
    assert not late, late


@then("all tasks of the job are at work")
def assert_all_at_work(context):
    assert context.at_work == LASTING.steps[0].width, context.at_work


@then("each host reports {count:d} pending jobs")
def assert_pending(context, count):
    assert context.pending == [count] * 3, context.pending


@then("all have left cleanly")
def assert_all_left(context):
    assert context.stops == 40 and not context.shards_kept, (context.stops, context.shards_kept)


@then("all daemons have applied it after 2 s")
def assert_applied(context):
    assert set(context.versions.values()) == {5}, context.versions


@then("a lasting run found {age:g} s ago {counts} as at work, where a stop takes {stop:g} s")
def assert_counts_as_at_work(context, age, counts, stop):
    task = Task(task_id=TaskId(job_id_of(1), 0, 0, 0), step=LASTING.steps[0])
    link = SimpleNamespace(up=True, last_report_at=100.0)
    run = Run(task=task, number=1, link=link, now=100.0 - age)
    run.phase = RunPhase.RUNNING
    run.percent = 100
    task.run = run
    evacuations = Evacuations(dispatcher=None, stop_timeout_s=stop)
    assert evacuations.is_at_work(task, 100.0) is (counts == "counts")


@then("each start was answered")
def assert_starts_answered(context):
    lost = [line for line in context.lines if line["event"] == "run.unanswered"]
    assert not lost, (len(lost), lost[:3])


@then("no executor was paused")
def assert_none_paused(context):
    paused = [line for line in context.lines if line["event"] == "executor.paused"]
    assert not paused, (len(paused), paused[:3])


@then("nothing was started on an executor that had been draining for {seconds:d} s")
def assert_none_started_after_draining(context, seconds):
    world = context.world
    assert len(world.drained_at_by_executor) == 3, world.drained_at_by_executor
    late = [
        run
        for run in world.fleet.record.runs
        if run.started_at > world.drained_at_by_executor.get(run.executor, 1e9) + seconds
    ]
    assert not late, late


@then("no completed task was started again")
def assert_none_started_again(context):
    runs = context.world.fleet.record.runs
    assert any(run.how is EndKind.DONE for run in runs), runs
    ended = {run.task: run.ended_at for run in runs if run.how is EndKind.DONE}
    restarted = [run for run in runs if run.started_at > ended.get(run.task, 1e9)]
    assert not restarted, restarted


@then("nothing of the job was started")
def assert_nothing_started(context):
    assert not context.world.fleet.record.runs, context.world.fleet.record.runs


@then("each task has run once")
def assert_ran_once(context):
    tasks = [run.task for run in context.world.fleet.record.runs]
    expected = len(context.states) * sum(step.width for step in TWO_STEPS.steps)
    assert len(tasks) == len(set(tasks)) == expected, tasks


@then("each answer was 200, 503 or 504")
def assert_statuses(context):
    statuses = {s for asked in context.world.asked_by_job.values() for s in asked.statuses}
    assert statuses <= {200, 503, 504}, statuses


@then("no sequence of jobs, cancellations and faults breaks a promise")
def run_state_machine(context):
    run_state_machine_as_test(
        OwnerMachine,
        settings=settings(
            max_examples=150 if LONG else 10,
            stateful_step_count=12,
            derandomize=True,
            deadline=None,
            database=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


@when("the owner of lasting tasks has used run numbers {higher}, {seen}, and is killed")
def use_run_numbers(context, higher, seen):
    epochs = {"within its epoch": 0, "beyond the next epoch": 5, "beyond the next 9 epochs": 10}
    spec = LASTING._replace(steps=(LASTING.steps[0]._replace(anti_affinity=0),))

    async def scene(world):
        await asyncio.sleep(START_S)
        dispatcher = world.dispatcher()
        numbers = dispatcher.starter.numbers
        numbers._last += epochs[higher] * RUN_NUMBERS_PER_EPOCH
        assert await world.submit_until_accepted(job_id_of(1), spec)
        await asyncio.sleep(2)
        (executor,) = (e for e in world.fleet.by_address.values() if e.runs)
        for link in dispatcher.roster.links_by_executor.values():
            # Nothing is started again before the owner is gone.
            link.pause_until = float("inf")
        if seen == "which ended and were acknowledged":
            _fail_all(executor)
            assert await until(lambda: executor.acknowledged == executor.count)
        world.kill(world.owner())
        if seen == "which ended as it was killed":
            _fail_all(executor)
        assert await until(lambda: world.owner() is not None and world.dispatcher().loaded, 10)
        context.refused = refused = []
        new_numbers = world.dispatcher().starter.numbers
        note = new_numbers.note_too_low
        new_numbers.note_too_low = lambda number: refused.append(number) or note(number)
        await asyncio.sleep(2)
        _fail_all(executor)
        await asyncio.sleep(6)
        context.at_work = len(executor.runs)

    context.world = play(scene, executors=1)


def _fail_all(executor):
    for key in list(executor.runs):
        executor._end(key, EndKind.FAILED)


@then("its successor has all of them at work again within 6 s, with a few starts turned down")
def at_work_again(context):
    assert context.at_work == LASTING.steps[0].width, context.at_work
    assert len(context.refused) <= 2 * LASTING.steps[0].width, len(context.refused)


@when("a job has stored failures and crashes with run numbers beyond the next epoch")
def store_numbers(context):
    stored = StoredJob("quotes", "service", 0.0, TWO_STEPS)
    job = Job(job_id=job_id_of(1), stored=stored)
    first, second, *_ = job.tasks()
    job.mark_failed([first], 3 * RUN_NUMBERS_PER_EPOCH + 7)
    second.crashes[3 * RUN_NUMBERS_PER_EPOCH + 9] = Crash.AT_WORK
    job.has_crashes = True
    context.job = Job(job_id=job_id_of(1), stored=stored)
    restore_head(context.job, encode_whole(job))


@then("the next owner's first number is above all of them")
def number_above(context):
    numbers = RunNumbers(epoch=2)
    numbers.note_stored(context.job)
    assert numbers.next() == 3 * RUN_NUMBERS_PER_EPOCH + 10
