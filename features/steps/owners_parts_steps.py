"""Steps in which a part of an owner is cancelled or fails unexpectedly, in virtual time."""

import asyncio

from behave import then, when

from features.support.cancelled_parts import EndedOnce, cancelled, failed
from features.support.owner_jobs import START_S, job_id_of, log_lines, run_jobs
from mustardgap.dispatchers import TICK_S
from mustardgap.pacing import HIGH_TAIL_RATIO
from mustardgap.ports import NoAnswer
from mustardgap.runs import RunPhase
from mustardgap.shard_owners import FLEET_SHARD
from mustardgap.workloads import TaskId
from tools.owner_daemons import SERVICE
from tools.owner_oracle import JobHistory
from tools.owner_troubles import LASTING, publish_wave
from tools.owner_worlds import play

# Long enough for a shard to be given up, reassigned and read, and for its jobs to end.
RECOVERY_S = 10.0
# By then a wave has sent its first stop.
WAVE_START_S = 25.0


def _cancel_appends(owned):
    owned.log._primary._store = EndedOnce(owned.log._primary._store, "append")
    return [owned.log._primary._store]


def _cancel_ticks(owned):
    owned._clock = EndedOnce(owned._clock, "sleep", only=lambda seconds: seconds == TICK_S)
    return [owned._clock]


def _cancel_placing(owned):
    owned._clock = EndedOnce(owned._clock, "sleep", only=lambda seconds: seconds != TICK_S)
    return [owned._clock]


def _cancel_tickets(owned):
    owned.advices._advice = EndedOnce(owned.advices._advice, "advise")
    return [owned.advices._advice]


def _cancel_leases(owned):
    return end_calls(owned, "hold", cancelled)


def end_calls(owned, name, ends):
    """Make one call to each executor end differently.

    :param name: the method of the executor's port.
    :param ends: what that call does.
    :return: the wrapped ports.
    """
    links = list(owned.roster.links_by_executor.values())
    for link in links:
        link._port = EndedOnce(link._port, name, ends=ends)
    return [link._port for link in links]


CANCEL_BY_PART = {
    "appends": _cancel_appends,
    "ticks": _cancel_ticks,
    "placing": _cancel_placing,
    "tickets": _cancel_tickets,
    "leases": _cancel_leases,
}


@when("{count:d} jobs are submitted, and what the owner's {part} await is cancelled")
def cancel_part(context, count, part):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, count))
        await asyncio.sleep(0.5)
        wrappers = CANCEL_BY_PART[part](world.dispatcher())
        await work
        await asyncio.sleep(RECOVERY_S)
        context.interrupted_calls = sum(wrapper.count for wrapper in wrappers)
        context.lines = log_lines(world)

    context.world = play(scene, advised=part == "tickets", **context.options)


OUTCOME_BY_NAME = {"is cancelled": cancelled, "fails": failed}


@when("{count:d} jobs are submitted, and one start on each executor {ends}")
def end_starts(context, count, ends):
    async def scene(world):
        await asyncio.sleep(START_S)
        wrappers = end_calls(world.dispatcher(), "start", OUTCOME_BY_NAME[ends])
        await run_jobs(world, context.states, count)
        context.interrupted_calls = sum(wrapper.count for wrapper in wrappers)
        context.lines = log_lines(world)

    context.world = play(scene, **context.options)


@when("a lasting job is cancelled, and one stop on each executor {ends}")
def end_stops(context, ends):
    async def scene(world):
        await asyncio.sleep(START_S)
        assert await world.submit_until_accepted(job_id_of(1), LASTING)
        await asyncio.sleep(2)
        wrappers = end_calls(world.dispatcher(), "stop", OUTCOME_BY_NAME[ends])
        assert await world.cancel(job_id_of(1), world.owner()) == 200
        context.cancelled_at = world.loop.time()
        await asyncio.sleep(20)
        context.interrupted_calls = sum(wrapper.count for wrapper in wrappers)
        context.lines = log_lines(world)

    context.world = play(scene, **context.options)


@when("a stray run of a previous owner is found, and its stop {ends}")
def end_stray_stop(context, ends):
    async def scene(world):
        await asyncio.sleep(START_S)
        dispatcher = world.dispatcher()
        wrappers = end_calls(dispatcher, "stop", OUTCOME_BY_NAME[ends])
        executor = next(e for e in world.fleet.by_address.values() if e.entry.service == SERVICE)
        stray = TaskId(job_id_of(1), 0, 0, 0)
        world.asked_by_job[stray.job] = JobHistory(LASTING, [], [])
        world.cancelling.add(stray.job)
        until_ms = executor.clock_ms() + 60_000
        executor.start(stray, 1, "lasting", until_ms, dispatcher.epoch)
        context.cancelled_at = world.loop.time()
        await asyncio.sleep(20)
        context.interrupted_calls = sum(wrapper.count for wrapper in wrappers)
        context.lines = log_lines(world)

    context.world = play(scene, **context.options)


@when("a running task is suspended, and the order {ends}")
def end_pace(context, ends):
    async def scene(world):
        await asyncio.sleep(START_S)
        assert await world.submit_until_accepted(job_id_of(1), LASTING)
        await asyncio.sleep(2)
        dispatcher = world.dispatcher()
        run = next(iter(dispatcher.running()))
        run.link._port = EndedOnce(run.link._port, "pace", ends=OUTCOME_BY_NAME[ends])
        run.link.pace(run, 0)
        await asyncio.sleep(1)
        for _ in range(2):
            dispatcher.pacing._adjust(run.link, [run], HIGH_TAIL_RATIO + 0.1)
            await asyncio.sleep(1)
        context.interrupted_calls = run.link._port.count
        context.calls = run.link._port.calls
        context.lines = log_lines(world)

    context.world = play(scene, **context.options)


@then("the pace is ordered {times:d} times")
def assert_pace_orders(context, times):
    assert context.calls == times, context.calls


@then("a log line reports the order that {ends}")
def assert_order_logged(context, ends):
    assert context.interrupted_calls, "no order was cancelled or failed"
    reason = "StrayCancellation" if ends == "was cancelled" else "ValueError"
    logged = [line for line in context.lines if line["event"] == "order.failed"]
    assert len(logged) == context.interrupted_calls, (context.interrupted_calls, logged)
    assert all(reason in line["why"] for line in logged), logged


@when("{count:d} jobs are submitted, and an ownership ends while its cleanup fails")
def end_ownership_with_failing_cleanup(context, count):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, count))
        await asyncio.sleep(0.5)
        owned = world.dispatcher()
        owned.roster.close = raise_error
        wrappers = _cancel_placing(owned)
        await work
        await asyncio.sleep(RECOVERY_S)
        context.interrupted_calls = sum(wrapper.count for wrapper in wrappers)
        context.lines = log_lines(world)

    context.world = play(scene, **context.options)


def raise_error():
    """Fail a cleanup unexpectedly."""
    raise ValueError("unexpected error during cleanup")


@then("a log line {event} reports the cancellation")
def assert_cancellation_logged(context, event):
    assert context.interrupted_calls, "nothing was cancelled"
    logged = [
        line
        for line in context.lines
        if line["event"] == event and "StrayCancellation" in line.get("why", "")
    ]
    assert logged, [line for line in context.lines if "failed" in line["event"]]


def _end_fleet_appends(fleet, ends):
    fleet.log._primary._store = EndedOnce(fleet.log._primary._store, "append", ends=ends)
    return fleet.log._primary._store


def _end_fleet_orders(fleet, ends):
    fleet.orders._machines = EndedOnce(fleet.orders._machines, "maintain", ends=ends)
    return fleet.orders._machines


def _end_fleet_rounds(fleet, ends):
    fleet._machines = EndedOnce(fleet._machines, "machines", ends=ends)
    return fleet._machines


END_BY_FLEET_PART = {
    "appends": _end_fleet_appends,
    "orders": _end_fleet_orders,
    "rounds": _end_fleet_rounds,
}


@when("a wave of {machines} is declared, and one of the fleet's {part} {ends}")
def end_fleet_part(context, machines, part, ends):
    names = machines.split(" and ")

    async def scene(world):
        await asyncio.sleep(START_S)
        daemon = next(
            d for d in world.daemons_by_address.values() if FLEET_SHARD in d.owners.owned_by_shard
        )
        fleet = daemon.owners.owned_by_shard[FLEET_SHARD]
        wrapper = END_BY_FLEET_PART[part](fleet, OUTCOME_BY_NAME[ends])
        wave = publish_wave(world, names, at_once=len(names))
        await asyncio.sleep(20)
        context.interrupted_calls = wrapper.count
        context.not_maintained = [
            n for n in names if wave not in world.machines.places[n].waves_done
        ]
        context.lines = log_lines(world)

    context.world = play(scene, **context.options)


@when("a wave of {machines} is declared while each answer of the store takes {seconds:g} s")
def run_wave_while_store_slow(context, machines, seconds):
    names = machines.split(" and ")

    async def scene(world):
        await asyncio.sleep(START_S)
        wave = publish_wave(world, names, at_once=len(names))
        world.store.slow_s = seconds
        await asyncio.sleep(RECOVERY_S)
        context.not_maintained = [
            n for n in names if wave not in world.machines.places[n].waves_done
        ]

    context.world = play(scene, **context.options)


@then("all machines of the wave have been maintained")
def assert_all_maintained(context):
    assert not context.not_maintained, context.not_maintained


@then("a log line {event} states the reason")
def assert_reason_logged(context, event):
    assert context.interrupted_calls, "nothing was cancelled or failed"
    reasons = ("StrayCancellation", "ValueError")
    logged = [line for line in context.lines if line["event"] == event]
    assert any(reason in line["why"] for line in logged for reason in reasons), logged


def _falsely_owned_shards(world):
    """Return the shards that a daemon is certain to own and the store has assigned to another."""
    return {
        (daemon.name, shard)
        for daemon in world.daemons_by_address.values()
        for shard, owned in daemon.owners.owned_by_shard.items()
        if not owned.ended.is_set()
        and daemon.owners.is_membership_valid()
        and world.store.holders_by_shard.get(shard, daemon.owners.member) != daemon.owners.member
    }


@when("{count:d} jobs are submitted, and the task that renews an owner's membership is restarted")
def restart_renewals(context, count):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, count))
        await asyncio.sleep(0.5)
        daemon = world.daemon(world.owner())
        daemon.tasks.pop().cancel()
        daemon.tasks.append(asyncio.ensure_future(daemon.owners.run()))
        context.falsely_owned = set()
        for _ in range(2000):
            await asyncio.sleep(0.005)
            context.falsely_owned |= _falsely_owned_shards(world)
        await work

    context.world = play(scene, **context.options)


@then("no daemon was certain of a shard that the store had assigned to another")
def assert_no_false_owner(context):
    assert not context.falsely_owned, context.falsely_owned


@when("a daemon that {state} is cut off from the store and stopped")
def stop_while_cut_off(context, state):
    async def scene(world):
        await asyncio.sleep(START_S)
        name = world.owner()
        if state == "has just been started":
            world.kill(name)
            world.store.cut_hosts.add(name)
            world.start(name)
        else:
            owned = world.daemon(name).owners.owned_by_shard
            count = len(owned)
            world.dispatcher().step_down()
            while len(owned) == count:
                await asyncio.sleep(0.0005)
            world.store.cut_hosts.add(name)
        await asyncio.sleep(2)
        try:
            await asyncio.wait_for(world.stop(name), 60)
        except TimeoutError:
            context.left = False
        else:
            context.left = True

    context.world = play(scene, **context.options)


@then("it has left")
def assert_left(context):
    assert context.left, "the daemon hadn't left after 60 s"


@when("an executor ends and its entry lapses")
def let_entry_lapse(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        next(iter(world.fleet.by_address.values())).crash()
        await asyncio.sleep(RECOVERY_S)
        context.unlisted = [
            line
            for daemon in world.daemons_by_address.values()
            for line in daemon.events.captured
            if line["event"] == "executor.unlisted"
        ]

    context.world = play(scene, **context.options)


@then("one log line reports that it isn't listed any more")
def assert_logged_once(context):
    assert len(context.unlisted) == 1, context.unlisted


async def _move_unanswered(context, world, meanwhile):
    """Move a lasting task off its machine by a wave; its first stop gets no answer.

    :param meanwhile: called before that stop times out, with a run on another executor.
    :return: the run to be moved.
    """
    await asyncio.sleep(START_S)
    assert await world.submit_until_accepted(job_id_of(1), LASTING)
    await asyncio.sleep(RECOVERY_S)
    runs = list(world.dispatcher().running())
    moved = runs[0]
    other = next(run for run in runs if run.link is not moved.link)

    async def unanswered():
        meanwhile(world, other)
        await asyncio.sleep(0.3)
        return NoAnswer(sent=True, detail="no answer in time")

    moved.link._port = EndedOnce(moved.link._port, "stop", ends=unanswered)
    publish_wave(world, [moved.link.entry.machine])
    async with asyncio.timeout(WAVE_START_S):
        while not moved.link._port.count:
            await asyncio.sleep(0.01)
    await asyncio.sleep(2)
    return moved


@when("a lasting task is moved, its stop gets no answer, and the executor of another one is lost")
def lose_other_executor_during_stop(context):
    async def scene(world):
        await _move_unanswered(
            context, world, lambda w, other: w.fleet.by_address[other.link.entry.address].crash()
        )

    context.world = play(scene, **context.options)


@when("a lasting task is moved, its stop gets no answer, and all others of its step keep running")
def keep_others_during_stop(context):
    async def scene(world):
        moved = await _move_unanswered(context, world, lambda w, other: None)
        await asyncio.sleep(RECOVERY_S)
        context.remaining_runs = [run for run in moved.link.runs_by_key.values() if run is moved]

    context.world = play(scene, **context.options)


def _cancel_moves(world):
    """Cancel all emptying of machines by the owner of the fleet."""
    for daemon in world.daemons_by_address.values():
        fleet = daemon.owners.owned_by_shard.get(FLEET_SHARD)
        if fleet is not None:
            fleet.waves.plan = lambda configuration: None
            fleet.state.closing_by_machine.clear()


@when("a lasting task is moved, its stop gets no answer, and its machine is kept after all")
def cancel_move_during_stop(context):
    async def scene(world):
        moved = await _move_unanswered(context, world, lambda w, other: _cancel_moves(w))
        await asyncio.sleep(RECOVERY_S)
        context.stayed = moved in moved.link.runs_by_key.values()
        context.at_work = world.fleet.is_at_work(moved.task.task_id)
        context.phase = moved.phase

    context.world = play(scene, **context.options)


@then("the task is still at work on its executor")
def assert_still_at_work(context):
    assert context.stayed and context.at_work, (context.stayed, context.at_work)
    assert context.phase is RunPhase.RUNNING, context.phase


class UnansweredPort:
    """Passes starts on and loses their answers; loses stops until they are let through."""

    def __init__(self, port):
        self._port = port
        self.passes_stops = False

    async def start(self, entry, **fields):
        await self._port.start(entry, **fields)
        return NoAnswer(sent=True, detail="no answer in time")

    async def stop(self, entry, **fields):
        if self.passes_stops:
            return await self._port.stop(entry, **fields)
        await asyncio.sleep(0.3)
        return NoAnswer(sent=True, detail="no answer in time")

    def __getattr__(self, name):
        return getattr(self._port, name)


def _two_separate_runs(world):
    """Return two runs on different executors."""
    links = world.dispatcher().roster.links_by_executor.values()
    runs = [run for link in links for run in link.runs_by_key.values()]
    return runs[0], next(run for run in runs if run.link is not runs[0].link)


@when(
    "a lasting task's start and stops get no answer, "
    "and the executor of another one is lost meanwhile"
)
def lose_other_executor_after_start(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        for link in world.dispatcher().roster.links_by_executor.values():
            link._port = UnansweredPort(link._port)
        assert await world.submit_until_accepted(job_id_of(1), LASTING)
        await asyncio.sleep(RECOVERY_S)
        unanswered, other = _two_separate_runs(world)
        assert world.fleet.is_at_work(unanswered.task.task_id), "the task isn't at work"
        world.fleet.by_address[other.link.entry.address].crash()
        unanswered.link._port.passes_stops = True
        await asyncio.sleep(2)

    context.world = play(scene, **context.options)


@then("the task has left its executor")
def assert_task_left(context):
    assert not context.remaining_runs, context.remaining_runs
