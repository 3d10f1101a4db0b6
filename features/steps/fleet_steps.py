"""Steps for the fleet's owner and the owners of pools, on virtual time."""

import asyncio
from types import SimpleNamespace
from unittest import mock

from behave import then, when

from features.support.owner_jobs import START_S, job_id_of, run_jobs
from mustardgap.events import EventLog
from mustardgap.fleet_orders import RECENT_KEY, FleetOrders
from mustardgap.fleet_states import Closing, FleetState, OrderTimes
from mustardgap.fleet_waves import FleetWaves
from mustardgap.job_gateways import JobGateway
from mustardgap.pool_views import ExecutorView, PoolRequest, PoolView
from mustardgap.ports import Done, NoAnswer
from mustardgap.shard_owners import FLEET_SHARD
from mustardgap.tickets import Stored, Ticket
from mustardgap.workloads import Configuration, Machine, Room, Service, Wave
from tools.actor_platforms import HandClock
from tools.owner_daemons import SERVICE
from tools.owner_troubles import TWO_STEPS, publish_wave
from tools.owner_worlds import play

# A new owner of the fleet sends orders after 4 s; the wave and its repetition take 8 s more.
TIMEOUT_S = 30.0


def fleet_owner(world):
    """The host of the fleet's owner, empty if there is none."""
    for daemon in world.daemons_by_address.values():
        if FLEET_SHARD in daemon.owners.owned_by_shard:
            return daemon.name
    return ""


def machines_of_pool(world):
    """The machines of the pool that has work."""
    return [name for name, place in world.machines.places.items() if place.pool == SERVICE]


async def wait_until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


@when("a wave's machine has had its maintenance, and the owners of fleet and pool die in turn")
def maintenance_twice(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        places = world.machines.places
        first, second = machines_of_pool(world)[:2]
        number = publish_wave(world, [first, second])
        await wait_until(lambda: places[first].waves_done)
        world.kill(fleet_owner(world))
        await wait_until(lambda: places[first].executor and fleet_owner(world))
        await wait_until(lambda: world.machines.repeats)
        world.kill(world.owner())
        wide = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(width=24, cpu=900),))
        await run_jobs(world, context.states, 3, spec=wide)
        await asyncio.sleep(3)
        context.ordered = world.machines.repeats + len(places[first].waves_done & {number})
        listed = {place.executor.entry.executor for place in places.values() if place.executor}
        context.unused = listed - world.dispatcher().roster.links_by_executor.keys()

        await asyncio.sleep(TIMEOUT_S)
        context.left = [name for name in (first, second) if not places[name].waves_done]

    context.world = play(scene, daemons=4, **context.options)


@when("the fleet's owner dies just after it has ordered one machine down, and others are due")
def fleet_owner_dies(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        places = world.machines.places
        first, *others = machines_of_pool(world)
        publish_wave(world, [first], at_once=2)
        await wait_until(lambda: places[first].waves_done)
        world.kill(fleet_owner(world))
        publish_wave(world, others, at_once=2)
        await wait_until(lambda: fleet_owner(world))
        taken_at = world.loop.time()
        await wait_until(lambda: any(places[name].waves_done for name in others))
        context.waited_s = world.loop.time() - taken_at
        await asyncio.sleep(8)

    context.world = play(scene, daemons=4, **context.options)


@when("a pool's owner is told that an executor that runs tasks has ended")
def false_end_reported(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, 2))
        await wait_until(lambda: any(e.runs for e in world.fleet.by_address.values()))
        [first, *_] = [e.entry.executor for e in world.fleet.by_address.values() if e.runs]
        await asyncio.sleep(0.1)
        world.dispatcher().pool_view(PoolRequest(SERVICE, [], [], [first]))
        await work

    context.world = play(scene, **context.options)
    assert job_id_of(0) in context.states


@when("a wave's machine has its maintenance, and each request to its pool's owner is noted")
def note_requests(context):
    context.requests = []
    pool = JobGateway.pool

    async def note(gateway, request):
        if request.service == SERVICE:
            context.requests.append(request)
        return await pool(gateway, request)

    async def scene(world):
        await asyncio.sleep(START_S)
        [first, *_] = machines_of_pool(world)
        context.executor = world.machines.places[first].executor.entry.executor
        publish_wave(world, [first])
        await wait_until(lambda: world.machines.places[first].waves_done)
        await asyncio.sleep(4)

    with mock.patch.object(JobGateway, "pool", note):
        context.world = play(scene)


@then(
    "from the first request that closes the executor on, each closes it, "
    "and the last say that it has ended"
)
def stays_closed(context):
    closes = [context.executor in request.closing for request in context.requests]
    assert all(closes[closes.index(True) :]), closes
    assert context.executor in context.requests[-1].gone, context.requests[-1]


@then("the machine was ordered down once more than it went down")
def ordered_once_more(context):
    assert context.ordered == 2, context.ordered


@then("each executor of the pool is used by its owner")
def all_used(context):
    assert not context.unused, context.unused


@then("the whole wave has had its maintenance")
def whole_wave(context):
    assert not context.left, context.left


@then("its successor has ordered another machine within {seconds:g} s of its takeover")
def ordered_soon(context, seconds):
    assert context.waited_s <= seconds, context.waited_s


class FakeShardLog:
    """A log of the fleet's shard that successive owners write to.

    :param takes_s: how long it takes to store a value, in seconds.
    """

    epoch = 1

    def __init__(self, takes_s=0.0):
        self.values = {}
        self.takes_s = takes_s

    def put(self, key, value):
        self.values[key] = value
        ticket = Ticket(outcome=asyncio.get_running_loop().create_future())
        asyncio.get_running_loop().call_later(self.takes_s, ticket.outcome.set_result, Stored.YES)
        return ticket


class FixedOutcomeMachines:
    """Machines whose orders all have the same outcome."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.orders = []

    async def move(self, **order):
        self.orders.append(order)
        return self.outcome


def take_over(clock, record, machines):
    """The orders of a new owner, and the fleet as it knows it."""
    events = EventLog(host="e1", clock=clock)
    state = FleetState(clock=clock, events=events)
    orders = FleetOrders(
        state=state,
        log=record,
        machines=machines,
        host="e1",
        times=OrderTimes(1.5, 2.0, 3.0),
        on_ordered_away=lambda name, closing: None,
        on_maintained=lambda wave, name: None,
        clock=clock,
        events=events,
    )
    if RECENT_KEY in record.values:
        orders.restore(record.values[RECENT_KEY])
    return orders, state


# The age of the pool's last view of a machine, in seconds, and how many tasks it shows there.
REPORT_BY_MACHINE = {
    "a machine that its pool reports as empty": (0.1, 0),
    "a machine that its pool reported as empty 2 s ago": (2.0, 0),
    "a machine that runs a task by then": (0.1, 1),
}


@when("the order of {machine} is recorded after {seconds:g} s")
def recorded_after(context, machine, seconds):
    clock = HandClock()
    machines = FixedOutcomeMachines(Done())

    async def main():
        orders, state = take_over(clock, FakeShardLog(seconds), machines)
        executor = "" if machine == "a standby machine" else "x1"
        if machine in REPORT_BY_MACHINE:
            age_s, runs = REPORT_BY_MACHINE[machine]
            row = ExecutorView(executor, 32_000, 0, runs, 0, True, False)
            state.views_by_service["spare"] = PoolView("spare", 0, 0, 0, [row])
            state.viewed_at_by_service["spare"] = clock.now - age_s
        orders.send("m1", Closing(executor, "spare", clock.now - 5.0, None, "quotes"))
        await asyncio.wait(list(state.orders_by_machine.values()))

    asyncio.run(main())
    context.orders = machines.orders


@then("it is ordered {times}")
def ordered_times(context, times):
    assert len(context.orders) == {"never": 0, "once": 1}[times], context.orders


@when(
    "a machine's order {outcome}, "
    "and the fleet's owner changes {times:d} times, {seconds:g} s apart"
)
def fleet_owner_changes(context, outcome, times, seconds):
    clock, record = HandClock(), FakeShardLog()
    answer = {"was carried out": Done(), "got no answer": NoAnswer(sent=True, detail="cut")}[
        outcome
    ]
    machines = FixedOutcomeMachines(answer)

    async def main():
        orders, state = take_over(clock, record, machines)
        orders.send("m1", Closing("x1", "quotes", clock.now, None, "cuts"))
        await asyncio.sleep(0.01)
        under_way = list(state.orders_by_machine.values())
        for _ in range(times):
            clock.now += seconds
            await orders.hand_over()
            orders, state = take_over(clock, record, machines)
        for task in under_way:
            task.cancel()
        context.wait_s = max(0.0, state.not_before_by_machine.get("m1", 0.0) - clock.now)

    asyncio.run(main())


@then("the last owner holds back orders to that machine for {seconds:g} s")
def orders_held_back(context, seconds):
    assert abs(context.wait_s - seconds) < 1e-6, context.wait_s


@when(
    "a wave is due in {left:g} s for {due:d} of the {size:d} machines "
    "of a pool with lasting tasks and no spare machine"
)
def wave_is_due(context, left, due, size):
    clock = HandClock()
    events = EventLog(host="e1", clock=clock)
    state = FleetState(clock=clock, events=events)
    for number in range(size):
        room = Room(cpu=1, memory_mb=1, gpus=0)
        machine = Machine(f"m{number}", "quotes", "up", "d1", (), room, f"x{number}")
        state.machines_by_id[machine.machine] = machine
    executors = [ExecutorView(f"x{number}", 1, 1, 1, 1, True, False) for number in range(size)]
    state.views_by_service["quotes"] = PoolView("quotes", size, 0, 0, executors)
    wave = Wave(1, tuple(f"m{number}" for number in range(due)), left, max(due, 10))
    waves = FleetWaves(
        state=state,
        log=SimpleNamespace(put=lambda key, value: None),
        boards=None,
        operator=SimpleNamespace(waves_by_number={1: wave}),
        times=OrderTimes(1.5, 2.0, 3.0),
        has_no_spare=lambda pool: True,
        demand=lambda pool: float(size),
        order_idle=lambda machine, number: None,
        clock=clock,
        events=events,
    )
    quotes = Service("quotes", "/", 64, True, False)
    waves.plan(Configuration(1, {}, {"quotes": quotes}))
    context.closed = list(state.closing_by_machine)


@then("{count:d} of its machines are being emptied")
def being_emptied(context, count):
    assert len(context.closed) == count, context.closed
