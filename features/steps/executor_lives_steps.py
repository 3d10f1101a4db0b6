"""Steps for executors that restart under the same id, simulated on virtual time."""

import asyncio
from typing import NamedTuple
from unittest import mock

import msgspec
from behave import given, then, when

from features.support.owner_jobs import START_S, job_id_of, run_jobs
from mustardgap import executor_links
from mustardgap.executor_clocks import ExecutorClock
from mustardgap.executor_links import LEASE_S
from mustardgap.executor_lives import RESTARTED, compare_starts, encode_entry
from mustardgap.load_features import LoadFeatures
from mustardgap.platform.decoding import InvalidBody, report
from mustardgap.pool_views import PoolRequest
from mustardgap.shard_owners import FLEET_SHARD
from mustardgap.workloads import EndKind, EndRow, ExecutorEntry, Report, Room, RunRow, TaskId
from tools import owner_worlds
from tools.fake_executors import ANSWER_S
from tools.owner_daemons import SERVICE
from tools.owner_troubles import TWO_STEPS
from tools.owner_worlds import EPOCH_S, play

JOB_COUNT = 10
# Tasks that run for longer than a lease, and a job of two of them.
LONG_TASK_S = 9.0
ONE_STEP = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(width=2, estimate_s=LONG_TASK_S),))
# The number of a run that only late reports list.
LATE_RUN = 7
# How long after its start a task crashes its executor.
CRASH_S = 0.4
# More executors than a task may crash.
MAX_CRASHES = 8


@given("owners on a fake platform whose executors state when they started")
def fake_platform(context):
    context.options = {"states_starts": True}
    context.states = {}
    context.restarts = 0


async def wait_for(condition):
    """Wait until a condition holds."""
    for _ in range(20_000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition didn't hold in 100 s")


def busy_executor(world, *, with_ends=False):
    """Return an executor that runs tasks, None if there is none."""
    return next(
        (
            executor
            for executor in world.fleet.by_address.values()
            if executor.alive and executor.runs and (executor.acknowledged or not with_ends)
        ),
        None,
    )


async def restart(context, world, executor, seen):
    """Restart an executor so that its entry, or a report, shows the new incarnation first."""
    context.restarts += 1
    if seen == "a report":
        successor = world.restart(executor, listed=False)
        await asyncio.sleep(0.2)
        # The list changes while its entry is still that of the former incarnation.
        other = next(e for e in world.fleet.by_address.values() if e is not successor)
        other.entry = other.entry._replace(labels=(f"restart-{context.restarts}",))
        world.publish(other)
        return successor
    path = (None, executor.entry.executor)
    world.fleet.cut.add(path)
    successor = world.restart(executor)
    await asyncio.sleep(1)
    world.fleet.cut.discard(path)
    return successor


def _play(context, scene, **options):
    async def scene_with_lines(world):
        daemons = list(world.daemons_by_address.values())
        await scene(world)
        known = {id(daemon): daemon for daemon in [*daemons, *world.daemons_by_address.values()]}
        context.lines = [line for d in known.values() for line in d.events.captured]

    context.world = play(scene_with_lines, **context.options, **options)


def _events(context, event):
    return [line for line in context.lines if line["event"] == event]


@when("an executor that runs tasks restarts, {times:d} times, and {seen} shows it first")
def restart_executors(context, times, seen):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, JOB_COUNT))
        for _ in range(times):
            await wait_for(lambda: busy_executor(world, with_ends=True))
            await restart(context, world, busy_executor(world, with_ends=True), seen)
            await asyncio.sleep(0.3)
        await work

    _play(context, scene)


@then("each restart was recognised once, and no lease was waited for")
def restarts_recognised(context):
    assert len(_events(context, "executor.restarted")) == context.restarts
    assert not _events(context, "executor.lapsed")
    lost = [line["why"] for line in _events(context, "run.lost")]
    assert set(lost) <= {RESTARTED, "not sent", "not listed"}, lost


@then("no end was hidden")
def no_end_hidden(context):
    # A run whose end isn't listed counts as lost, as it isn't running any more either.
    done = {
        (run.executor, run.run)
        for run in context.world.fleet.record.runs
        if run.how is EndKind.DONE
    }
    lost = [
        line for line in _events(context, "run.lost") if (line["executor"], line["run"]) in done
    ]
    assert not lost, lost


@when(
    "an executor restarts, and {count:d} polls of it are answered by reports of the former "
    "incarnation"
)
def answer_late(context, count):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, JOB_COUNT))
        await wait_for(lambda: busy_executor(world))
        executor = busy_executor(world)
        task = next(iter(executor.runs))[0]
        late = Report(
            executor.clock_ms(),
            (RunRow(task, LATE_RUN, "", 50),),
            (EndRow(1000, TaskId(job_id_of(99), 0, 0, 0), 1, EndKind.DONE, ""),),
            executor.entry.started_ms,
        )
        await restart(context, world, executor, "an entry")
        world.fleet.late_reports[executor.entry.address] = [late] * count
        await work
        assert not world.fleet.late_reports[executor.entry.address]

    _play(context, scene)


@then("no run of the late reports was adopted or stopped")
def late_not_adopted(context):
    found = [
        line
        for event in ("run.stray", "run.stop", "run.kept")
        for line in _events(context, event)
        if line["run"] == LATE_RUN
    ]
    assert not found, found


@when("the owner dies while an executor restarts that runs tasks, and {seen} shows it first")
def restart_in_takeover(context, seen):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, JOB_COUNT))
        await wait_for(lambda: busy_executor(world))
        executor = busy_executor(world)
        world.kill(world.owner())
        await restart(context, world, executor, seen)
        await work

    _play(context, scene)


async def freeze_owner(world, executor, seconds):
    """Stop the owner after a poll was answered, restart an executor, and let the owner go on."""
    gate = world.daemon(world.owner()).clock.gate
    gate.clear()
    # The poll under way has been answered by then.
    await asyncio.sleep(seconds - 0.1)
    successor = world.restart(executor, listed=False)
    await asyncio.sleep(0.1)
    gate.set()
    return successor


@when("the owner stands still for {seconds:g} s while an executor with acknowledged ends restarts")
def freeze_over_restart(context, seconds):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, JOB_COUNT))
        await wait_for(lambda: busy_executor(world, with_ends=True))
        executor = busy_executor(world, with_ends=True)
        context.successor = await freeze_owner(world, executor, seconds)
        await work

    _play(context, scene)


@then("no poll acknowledged an end to the new incarnation that it hadn't reported")
def no_foreign_acknowledgement(context):
    got = [number for target, number in context.world.fleet.polls if target is context.successor]
    assert got and got[0] == 0, got
    assert max(got) <= context.successor.count, got


@when(
    "the owner stands still for {seconds:g} s while an executor restarts, and acknowledges as if "
    "it hadn't"
)
def freeze_owner_unguarded(context, seconds):
    with mock.patch.object(executor_links, "CONFIRMED_FOR_ENDS_S", float("inf")):
        freeze_over_restart(context, seconds)


@when(
    "the owner stands still for {seconds:g} s while an executor restarts, which is cut off once it "
    "runs long tasks"
)
def cut_after_restart(context, seconds):
    async def scene(world):
        await asyncio.sleep(START_S)
        executor, other = world.fleet.by_address.values()
        other.entry = other.entry._replace(draining=True)
        world.publish(other)
        successor = await freeze_owner(world, executor, seconds)
        await wait_for(lambda: successor.lease_until_ms)
        assert successor.lease_until_ms > successor.clock_ms() + 1000 * LEASE_S
        world.publish(successor)
        # The restart has been recognised, so that the tasks are meant for the new incarnation.
        await asyncio.sleep(1)
        work = asyncio.ensure_future(run_jobs(world, context.states, 1, spec=ONE_STEP))
        await wait_for(lambda: successor.runs)
        path = (None, successor.entry.executor)
        world.fleet.cut.add(path)
        other.entry = other.entry._replace(draining=False)
        world.publish(other)
        await asyncio.sleep(LONG_TASK_S + 3)
        world.fleet.cut.discard(path)
        await work

    _play(context, scene, executors=2, work_s=LONG_TASK_S)


@then("nothing was started on the new incarnation once it was recognised")
def nothing_started(context):
    got = [number for target, number in context.world.fleet.polls if target is context.successor]
    assert got[0] > 0, got[:5]
    (line,) = _events(context, "executor.restarted")
    assert line["ends_hidden"], line
    started = [
        run
        for run in context.world.fleet.record.runs
        if run.executor == line["executor"] and run.started_at > line["time"] - EPOCH_S
    ]
    assert not started, started


@when("an executor restarts while a start is on its way to it")
def restart_before_start(context):
    async def scene(world):
        await asyncio.sleep(START_S)

        def restart_once(entry):
            world.fleet.on_start_sent = lambda entry: None
            world.restart(world.fleet.by_address[entry.address], listed=False)

        await run_jobs(world, context.states, 2)
        world.fleet.on_start_sent = restart_once
        await run_jobs(world, context.states, JOB_COUNT)

    _play(context, scene)


@when("the only executor is ordered away and starts again, while its id is still named as ended")
def reuse_removed_id(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        await run_jobs(world, context.states, 1)
        executor = next(iter(world.fleet.by_address.values()))
        request = PoolRequest(SERVICE, [], [], [executor.entry.executor])
        executor.crash()
        await asyncio.sleep(1)
        world.dispatcher().pool_view(request)
        context.successor = world.restart(executor)
        for _ in range(3):
            await asyncio.sleep(0.2)
            world.dispatcher().pool_view(request)
        context.link = world.dispatcher().roster.links_by_executor.get(executor.entry.executor)
        context.was_up = context.link is not None and context.link.up
        await run_jobs(world, context.states, 3)

    _play(context, scene, executors=1)


@when("the owner dies, and its successor is told that each listed executor has ended")
def tell_successor(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, JOB_COUNT))
        await wait_for(lambda: busy_executor(world))
        former = world.dispatcher()
        world.kill(world.owner())
        await wait_for(lambda: world.owner() and world.dispatcher() is not former)
        successor = world.dispatcher()
        await wait_for(lambda: successor.loaded)
        names = list(successor.roster.links_by_executor)
        successor.pool_view(PoolRequest(SERVICE, [], [], names))
        context.kept = names == list(successor.roster.links_by_executor)
        await work

    _play(context, scene)


@then("the successor drops none of them")
def kept_all(context):
    assert context.kept


@when("the fleet's owner has marked an executor as ended that is listed, where starts are {stated}")
def mark_listed_as_ended(context, stated):
    async def scene(world):
        await asyncio.sleep(START_S)
        (manager,) = (
            daemon.owners.owned_by_shard[FLEET_SHARD]
            for daemon in world.daemons_by_address.values()
            if FLEET_SHARD in daemon.owners.owned_by_shard
        )
        manager._features = LoadFeatures()
        if stated == "stated":
            manager._features.note_starts_stated()
        executor = next(iter(world.fleet.by_address.values())).entry.executor
        manager._mark_ended(executor, SERVICE)
        await asyncio.sleep(3)
        context.told = "told" if executor in manager._ended_executors else "no longer told"

    _play(context, scene)


@then("pools are {told} that it has ended")
def check_told(context, told):
    assert context.told == told, context.told


@when("an executor restarts, with a start that is {seconds:d} s before the former one")
def restart_with_older_start(context, seconds):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, JOB_COUNT))
        await wait_for(lambda: busy_executor(world))
        executor = busy_executor(world)
        started_ms = executor.entry.started_ms - 1000 * seconds
        successor = context.successor = world.restart(executor, listed=False)
        successor.entry = successor.entry._replace(started_ms=started_ms)
        world.publish(successor)
        await asyncio.sleep(LEASE_S + 2)
        context.link = world.dispatcher().roster.links_by_executor.get(executor.entry.executor)
        context.was_up = context.link is not None and context.link.up
        await work

    _play(context, scene)


@then("the executor that started again is used")
def successor_used(context):
    assert context.was_up, context.link
    assert context.link.entry == context.successor.entry, context.link.entry


@when("an executor restarts while a start is on its way to it, and the owner dies")
def restart_before_start_and_kill(context):
    async def scene(world):
        await asyncio.sleep(START_S)

        def restart_once(entry):
            world.fleet.on_start_sent = lambda entry: None
            world.restart(world.fleet.by_address[entry.address], listed=False)
            # The order arrives after half of this time.
            world.loop.call_later(ANSWER_S, world.kill, world.owner())

        await run_jobs(world, context.states, 2)
        world.fleet.on_start_sent = restart_once
        await run_jobs(world, context.states, JOB_COUNT)

    _play(context, scene)


@when(
    "a job's only task crashes its executors, which start again {seconds:d} s later, and the owner "
    "{fate} each time"
)
def crash_and_take_over(context, seconds, fate):
    async def scene(world):
        await asyncio.sleep(START_S)
        task_id = TaskId(job_id_of(1), 0, 0, 0)
        world.crashing[task_id] = CRASH_S
        spec = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(width=1),))
        assert await world.submit_until_accepted(task_id.job, spec)
        result = asyncio.ensure_future(world.final_state(task_id.job, 200))
        for number in range(1, MAX_CRASHES + 1):
            await wait_for(lambda: world.crashes >= number or result.done())  # noqa: B023
            # The task has been started on another executor by then, and hasn't crashed it yet.
            await asyncio.sleep(seconds + CRASH_S / 2)
            if fate == "dies" and not result.done():
                name = world.owner()
                world.kill(name)
                await asyncio.sleep(1)
                world.start(name)
        context.states[task_id.job] = await result

    with mock.patch.object(owner_worlds, "REBORN_S", seconds):
        _play(context, scene)


def _start(text):
    return None if text == "none" else int(text)


@then("a stated start of {stated} beside a known one of {known} is {result}")
def check_compared(context, stated, known, result):
    assert compare_starts(_start(known), _start(stated)).value == result


class FormerEntry(NamedTuple):
    """An executor's record as daemons wrote it before executors stated when they started."""

    executor: str
    service: str
    address: str
    data_centre: str
    draining: bool
    capacity: Room
    labels: tuple[str, ...]
    rack: str
    machine: str
    remaining_s: float | None
    readable: bool


@then(
    "the record of an executor that {states} its start has {count:d} fields, and is read as it was"
)
def check_record(context, states, count):
    entry = ExecutorEntry("x1", "quoting", "10.1.0.9:80", "d1", False, Room(1, 2, 3))
    if states == "states":
        entry = entry._replace(started_ms=1_700_000_000_123)
    raw = encode_entry(entry)
    assert len(msgspec.msgpack.decode(raw)) == count
    assert msgspec.msgpack.decode(raw, type=ExecutorEntry) == entry
    if states != "states":
        assert msgspec.msgpack.decode(raw, type=FormerEntry) == tuple(entry)[:-1]


@then("an answer of an executor with a start of {born} is {result}")
def check_report(context, born, result):
    fields = {"clockMs": 5, "running": [], "ended": []}
    if born != "none":
        fields["born"] = msgspec.json.decode(born)
    try:
        found = f"read with {report(msgspec.json.encode(fields)).started_ms}"
    except InvalidBody:
        found = "invalid"
    assert found == result, found


@then("an unknown lease of {seconds:d} s lapses over {same:d} s after the first answer")
def check_unknown_lease(context, seconds, same):
    clock = ExecutorClock(unknown_lease_s=seconds)
    clock.observe(400, now=50.0)
    assert clock.lapsed_at() > 50.0 + same, clock.lapsed_at()
    clock.observe(1400, now=51.0)
    assert clock.lapsed_at() > 50.0 + same, clock.lapsed_at()
