"""Steps of an owner's parts that end by a cancellation nobody asked for, on virtual time."""

import asyncio

from behave import then, when

from features.support.cancelled_parts import EndedOnce, cancelled, failed
from features.support.owner_jobs import START_S, hand_in, job_id_of
from mustardgap.dispatchers import TICK_S
from mustardgap.pacing import HIGH_TAIL_RATIO
from mustardgap.ports import NoAnswer
from mustardgap.runs import RunPhase
from mustardgap.shard_owners import FLEET_SHARD
from mustardgap.workloads import TaskId
from tools.owner_daemons import SERVICE
from tools.owner_oracle import Asked
from tools.owner_troubles import LASTING, publish_wave
from tools.owner_worlds import play

# Long enough for a shard to be given up, dealt anew and read, and for its jobs to end.
SETTLED_S = 10.0
# By then a wave has begun with its machines.
WAVE_S = 25.0


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
    """Have one call of a kind to each executor end in a way."""
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


def _lines(world):
    return [line for d in world.daemons_by_address.values() for line in d.events.kept]


@when("{count:d} jobs are handed in, and what the owner's {part} await is cancelled")
def part_is_cancelled(context, count, part):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(hand_in(world, context.states, count))
        await asyncio.sleep(0.5)
        ended = CANCEL_BY_PART[part](world.dispatcher())
        await work
        await asyncio.sleep(SETTLED_S)
        context.ended = sum(one.count for one in ended)
        context.lines = _lines(world)

    context.world = play(scene, advised=part == "tickets", **context.options)


ENDS_BY_WORDS = {"is cancelled": cancelled, "fails": failed}


@when("{count:d} jobs are handed in, and one start on each executor {ends}")
def starts_end(context, count, ends):
    async def scene(world):
        await asyncio.sleep(START_S)
        ended = end_calls(world.dispatcher(), "start", ENDS_BY_WORDS[ends])
        await hand_in(world, context.states, count)
        context.ended = sum(one.count for one in ended)
        context.lines = _lines(world)

    context.world = play(scene, **context.options)


@when("a lasting job is cancelled, and one stop on each executor {ends}")
def stops_end(context, ends):
    async def scene(world):
        await asyncio.sleep(START_S)
        assert await world.submit_until_accepted(job_id_of(1), LASTING)
        await asyncio.sleep(2)
        ended = end_calls(world.dispatcher(), "stop", ENDS_BY_WORDS[ends])
        assert await world.cancel(job_id_of(1), world.owner()) == 200
        context.cancelled_at = world.loop.time()
        await asyncio.sleep(20)
        context.ended = sum(one.count for one in ended)
        context.lines = _lines(world)

    context.world = play(scene, **context.options)


@when("a former owner's run is found that nobody wants, and the stop of it {ends}")
def stray_stop_ends(context, ends):
    async def scene(world):
        await asyncio.sleep(START_S)
        dispatcher = world.dispatcher()
        ended = end_calls(dispatcher, "stop", ENDS_BY_WORDS[ends])
        executor = next(e for e in world.fleet.by_address.values() if e.entry.service == SERVICE)
        unwanted = TaskId(job_id_of(1), 0, 0, 0)
        world.asked_by_job[unwanted.job] = Asked(LASTING, [], [])
        world.cancelling.add(unwanted.job)
        until_ms = executor.clock_ms() + 60_000
        executor.start(unwanted, 1, "lasting", until_ms, dispatcher.epoch)
        context.cancelled_at = world.loop.time()
        await asyncio.sleep(20)
        context.ended = sum(one.count for one in ended)
        context.lines = _lines(world)

    context.world = play(scene, **context.options)


@when("a running task is slowed to nothing, and the order {ends}")
def pace_ends(context, ends):
    async def scene(world):
        await asyncio.sleep(START_S)
        assert await world.submit_until_accepted(job_id_of(1), LASTING)
        await asyncio.sleep(2)
        dispatcher = world.dispatcher()
        run = next(iter(dispatcher.running()))
        run.link._port = EndedOnce(run.link._port, "pace", ends=ENDS_BY_WORDS[ends])
        run.link.pace(run, 0)
        await asyncio.sleep(1)
        for _ in range(2):
            dispatcher.pacing._adjust(run.link, [run], HIGH_TAIL_RATIO + 0.1)
            await asyncio.sleep(1)
        context.ended = run.link._port.count
        context.calls = run.link._port.calls
        context.lines = _lines(world)

    context.world = play(scene, **context.options)


@then("the pace is ordered {times:d} times")
def pace_is_ordered(context, times):
    assert context.calls == times, context.calls


@then("a line tells of the order that {ends}")
def a_line_tells_of_the_order(context, ends):
    assert context.ended, "no order ended otherwise"
    words = "StrayCancellation" if ends == "was cancelled" else "ValueError"
    told = [line for line in context.lines if line["event"] == "order.failed"]
    assert len(told) == context.ended, (context.ended, told)
    assert all(words in line["why"] for line in told), told


@when("{count:d} jobs are handed in, and an owner's ownership ends while its clean-up fails")
def clean_up_fails(context, count):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(hand_in(world, context.states, count))
        await asyncio.sleep(0.5)
        owned = world.dispatcher()
        owned.roster.close = raise_error
        ended = _cancel_placing(owned)
        await work
        await asyncio.sleep(SETTLED_S)
        context.ended = sum(one.count for one in ended)
        context.lines = _lines(world)

    context.world = play(scene, **context.options)


def raise_error():
    """What a clean-up does that nobody thought could fail."""
    raise ValueError("it broke")


@then("a line tells of the part that ended by a cancellation: {event}")
def a_line_tells(context, event):
    assert context.ended, "nothing was cancelled"
    told = [
        line
        for line in context.lines
        if line["event"] == event and "StrayCancellation" in line.get("why", "")
    ]
    assert told, [line for line in context.lines if "failed" in line["event"]]


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


@when("a wave of {machines} comes, and one of the fleet's {part} {ends}")
def fleet_part_ends(context, machines, part, ends):
    names = machines.split(" and ")

    async def scene(world):
        await asyncio.sleep(START_S)
        daemon = next(
            d for d in world.daemons_by_address.values() if FLEET_SHARD in d.owners.owned_by_shard
        )
        fleet = daemon.owners.owned_by_shard[FLEET_SHARD]
        ended = END_BY_FLEET_PART[part](fleet, ENDS_BY_WORDS[ends])
        wave = publish_wave(world, names, at_once=len(names))
        await asyncio.sleep(20)
        context.ended = ended.count
        context.missing = [n for n in names if wave not in world.machines.places[n].waves_done]
        context.lines = _lines(world)

    context.world = play(scene, **context.options)


@when("a wave of {machines} comes while each answer of the store takes {seconds:g} s")
def wave_beside_slow_store(context, machines, seconds):
    names = machines.split(" and ")

    async def scene(world):
        await asyncio.sleep(START_S)
        wave = publish_wave(world, names, at_once=len(names))
        world.store.slow_s = seconds
        await asyncio.sleep(SETTLED_S)
        context.missing = [n for n in names if wave not in world.machines.places[n].waves_done]

    context.world = play(scene, **context.options)


@then("all machines of the wave have had their maintenance")
def all_maintained(context):
    assert not context.missing, context.missing


@then("a line {event} tells why it ended")
def a_line_tells_why(context, event):
    assert context.ended, "nothing ended otherwise"
    words = ("StrayCancellation", "ValueError")
    told = [line for line in context.lines if line["event"] == event]
    assert any(word in line["why"] for line in told for word in words), told


def _sure_of_others_shards(world):
    """Shards of which a daemon is sure although the store has dealt them to another."""
    return {
        (daemon.name, shard)
        for daemon in world.daemons_by_address.values()
        for shard, owned in daemon.owners.owned_by_shard.items()
        if not owned.ended.is_set()
        and daemon.owners.is_membership_valid()
        and world.store.holders_by_shard.get(shard, daemon.owners.member) != daemon.owners.member
    }


@when("{count:d} jobs are handed in, and an owner's part that renews is run again")
def renewals_again(context, count):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(hand_in(world, context.states, count))
        await asyncio.sleep(0.5)
        daemon = world.daemon(world.owner())
        daemon.tasks.pop().cancel()
        daemon.tasks.append(asyncio.ensure_future(daemon.owners.run()))
        context.sure = set()
        for _ in range(2000):
            await asyncio.sleep(0.005)
            context.sure |= _sure_of_others_shards(world)
        await work

    context.world = play(scene, **context.options)


@then("no daemon was sure of a shard that the store had dealt to another")
def nobody_sure(context):
    assert not context.sure, context.sure


@when("a daemon that {begins} is cut off from the store and told to stop")
def cut_off_and_stopped(context, begins):
    async def scene(world):
        await asyncio.sleep(START_S)
        name = world.owner()
        if begins == "has just been started":
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
def has_left(context):
    assert context.left, "it waited for the store for 60 s"


@when("an executor ends and its entry lapses")
def entry_lapses(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        next(iter(world.fleet.by_address.values())).crash()
        await asyncio.sleep(SETTLED_S)
        context.unlisted = [
            line
            for daemon in world.daemons_by_address.values()
            for line in daemon.events.kept
            if line["event"] == "executor.unlisted"
        ]

    context.world = play(scene, **context.options)


@then("one line tells that it isn't listed any more")
def told_once(context):
    assert len(context.unlisted) == 1, context.unlisted


async def _move_unanswered(context, world, meanwhile):
    """Have a wave take a lasting task's machine.

    Its first stop gets no answer after something else has happened.
    """
    await asyncio.sleep(START_S)
    assert await world.submit_until_accepted(job_id_of(1), LASTING)
    await asyncio.sleep(SETTLED_S)
    runs = list(world.dispatcher().running())
    moved = runs[0]
    other = next(run for run in runs if run.link is not moved.link)

    async def unanswered():
        meanwhile(world, other)
        await asyncio.sleep(0.3)
        return NoAnswer(sent=True, detail="no answer in time")

    moved.link._port = EndedOnce(moved.link._port, "stop", ends=unanswered)
    publish_wave(world, [moved.link.entry.machine])
    async with asyncio.timeout(WAVE_S):
        while not moved.link._port.count:
            await asyncio.sleep(0.01)
    await asyncio.sleep(2)
    return moved


@when("a lasting task is moved, its stop gets no answer, and the executor of another one is lost")
def stop_repeated_beside_loss(context):
    async def scene(world):
        await _move_unanswered(
            context, world, lambda w, other: w.fleet.by_address[other.link.entry.address].crash()
        )

    context.world = play(scene, **context.options)


@when("a lasting task is moved, its stop gets no answer, and all others of its step serve on")
def stop_repeated_alone(context):
    async def scene(world):
        moved = await _move_unanswered(context, world, lambda w, other: None)
        await asyncio.sleep(SETTLED_S)
        context.left = [run for run in moved.link.runs_by_key.values() if run is moved]

    context.world = play(scene, **context.options)


def _call_off(world):
    """Let the fleet's owner want no machine emptied any more."""
    for daemon in world.daemons_by_address.values():
        fleet = daemon.owners.owned_by_shard.get(FLEET_SHARD)
        if fleet is not None:
            fleet.waves.plan = lambda configuration: None
            fleet.state.closing_by_machine.clear()


@when("a lasting task is moved, its stop gets no answer, and its machine is kept after all")
def stop_called_off(context):
    async def scene(world):
        moved = await _move_unanswered(context, world, lambda w, other: _call_off(w))
        await asyncio.sleep(SETTLED_S)
        context.stayed = moved in moved.link.runs_by_key.values()
        context.at_work = world.fleet.is_at_work(moved.task.task_id)
        context.phase = moved.phase

    context.world = play(scene, **context.options)


@then("the task is at work where it was")
def at_work_where_it_was(context):
    assert context.stayed and context.at_work, (context.stayed, context.at_work)
    assert context.phase is RunPhase.RUNNING, context.phase


class UnansweredPort:
    """Carries starts out and loses their answers; loses stops until these are let through."""

    def __init__(self, port):
        self._port = port
        self.lets_stops_through = False

    async def start(self, entry, **fields):
        await self._port.start(entry, **fields)
        return NoAnswer(sent=True, detail="no answer in time")

    async def stop(self, entry, **fields):
        if self.lets_stops_through:
            return await self._port.stop(entry, **fields)
        await asyncio.sleep(0.3)
        return NoAnswer(sent=True, detail="no answer in time")

    def __getattr__(self, name):
        return getattr(self._port, name)


def _runs_apart(world):
    """Two runs on different executors."""
    links = world.dispatcher().roster.links_by_executor.values()
    runs = [run for link in links for run in link.runs_by_key.values()]
    return runs[0], next(run for run in runs if run.link is not runs[0].link)


@when(
    "a lasting task's start and stops get no answer, "
    "and the executor of another one is lost meanwhile"
)
def start_unanswered_beside_loss(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        for link in world.dispatcher().roster.links_by_executor.values():
            link._port = UnansweredPort(link._port)
        assert await world.submit_until_accepted(job_id_of(1), LASTING)
        await asyncio.sleep(SETTLED_S)
        unsure, other = _runs_apart(world)
        assert world.fleet.is_at_work(unsure.task.task_id), "it isn't at work"
        world.fleet.by_address[other.link.entry.address].crash()
        unsure.link._port.lets_stops_through = True
        await asyncio.sleep(2)

    context.world = play(scene, **context.options)


@then("the task has left its executor in the end")
def has_left(context):
    assert not context.left, context.left
