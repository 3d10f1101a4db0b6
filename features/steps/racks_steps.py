"""Steps for racks that fail: on plain values, on links without a network, and on virtual time."""

import asyncio
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when

from features.support.owner_jobs import START_S, job_id_of, run_jobs
from mustardgap.adaptive_timeouts import OrdersInFlight
from mustardgap.events import EventLog
from mustardgap.executor_links import BUSY_POLL_WAIT_S, IDLE_POLL_WAIT_S, ExecutorLink
from mustardgap.job_states import Task
from mustardgap.load_features import FeatureSettings, LoadFeatures, Switch
from mustardgap.placement_caches import PlacementCache
from mustardgap.placing import choose_executors, is_eligible
from mustardgap.pool_views import build_pool_view
from mustardgap.rack_failures import ExecutorContact, RackFailures, RackState
from mustardgap.runs import Run
from mustardgap.task_starters import TaskStarter
from mustardgap.workloads import ExecutorEntry, JobSpec, Room, Step, TaskId
from tools.actor_platforms import HandClock
from tools.owner_daemons import SERVICE
from tools.owner_worlds import play

WITH_RACKS = LoadFeatures(settings=FeatureSettings(racks=Switch.ON))
TICK_S = 0.1
# Three polls without an answer, with timeouts of 0.15, 0.3 and 0.6 s.
FIRST_TIMEOUT_S, UNANSWERED_S = 0.15, 1.05
# How long after a pause of the owner the executors of each rack answer its new polls.
ANSWERS_AFTER_PAUSE_S = {"r1": 1.2, "r2": 0.3, "r3": 0.0}
DARK_AT = 10.0
END_AT = 40.0
FAILING = "r1"
NEVER = float("inf")


class SimulatedExecutor:
    """An executor that answers its owner's polls at an interval, except while it is dark.

    :param number: its number, which shifts the moments at which it answers.
    :param rack: its rack.
    :param busy: whether tasks run there, so that it is polled more often.
    """

    def __init__(self, number, rack, busy):
        self.name = f"x-{rack}-{number}"
        self.rack = rack
        self.wait_s = BUSY_POLL_WAIT_S if busy else IDLE_POLL_WAIT_S
        self.phase_s = number * 0.07 % self.wait_s
        self.dark_from = self.dark_until = NEVER
        self.emptied_from = self.emptied_until = NEVER

    def contact(self, now):
        """What the owner knows of it."""
        is_dark = self.dark_from <= now < self.dark_until
        until = self.dark_from if is_dark else now
        heard_at = until - (until - self.phase_s) % self.wait_s
        unanswered_at = heard_at + self.wait_s + FIRST_TIMEOUT_S
        silent_at = heard_at + self.wait_s + UNANSWERED_S
        if now >= self.dark_until:
            # It is heard again with the first poll after that.
            heard_at = max(heard_at, self.dark_until)
        return ExecutorContact(
            executor=self.name,
            rack=self.rack,
            heard_at=heard_at,
            unanswered_since=unanswered_at if is_dark and now >= unanswered_at else None,
            silent=is_dark and now >= silent_at,
            leaving=self.emptied_from <= now < self.emptied_until,
        )


def _observe(context, *, pause=None, dropped_at=NEVER):
    """Update the failures with what the owner knows, ten times a second.

    :param pause: from when to when the owner is paused, if it is.
    :param dropped_at: when the executors that went dark are dropped.
    """
    context.racks = RackFailures()
    context.changes = []
    context.held_at = []
    for number in range(int(END_AT / TICK_S)):
        now = number * TICK_S
        if pause is not None and pause[0] <= now < pause[1]:
            continue
        contacts = [
            executor.contact(now)
            for executor in context.executors
            if not (executor.dark_from < NEVER and now >= dropped_at)
        ]
        if pause is not None:
            contacts = [_after_pause(contact, pause, now) for contact in contacts]
        context.changes += context.racks.update(contacts, now)
        context.held_at += [now for rack in ("r1", "r2", "r3") if context.racks.is_doubtful(rack)]


def _after_pause(contact, pause, now):
    """What the owner knows of an executor whose polls have timed out in a pause of the owner.

    The racks answer again one after another, so some of them answer while others seem dark.
    """
    if now < pause[1] or now >= pause[1] + ANSWERS_AFTER_PAUSE_S[contact.rack]:
        return contact
    return contact._replace(heard_at=pause[0], unanswered_since=pause[1], silent=True)


def _count(context, state, rack=FAILING):
    return sum(change.state is state and change.rack == rack for change in context.changes)


def _in_failing_rack(context, count):
    return [executor for executor in context.executors if executor.rack == FAILING][:count]


@given("three racks of {size:d} executors, every second one busy")
def make_racks(context, size):
    context.executors = [
        SimulatedExecutor(number, rack, number % 2 == 0)
        for rack in ("r1", "r2", "r3")
        for number in range(size)
    ]


@when("{count:d} executors of a rack go dark")
def go_dark(context, count):
    for executor in _in_failing_rack(context, count):
        executor.dark_from = DARK_AT
    _observe(context)


@when("{count:d} executors of a rack go dark {gap:d} s after one another")
def go_dark_one_by_one(context, count, gap):
    for number, executor in enumerate(_in_failing_rack(context, count)):
        executor.dark_from = DARK_AT + number * gap
    _observe(context)


@when("the owner is paused for {seconds:d} s")
def pause_owner(context, seconds):
    _observe(context, pause=(DARK_AT, DARK_AT + seconds))


@when("the owner is paused for {seconds:d} s while {count:d} executors of a rack go dark")
def pause_owner_beside_failure(context, seconds, count):
    for executor in _in_failing_rack(context, count):
        executor.dark_from = DARK_AT + seconds / 2
    _observe(context, pause=(DARK_AT, DARK_AT + seconds))


@when("the owner is cut off from all executors")
def cut_owner_off(context):
    for executor in context.executors:
        executor.dark_from = DARK_AT
    _observe(context)


@when(
    "{count:d} executors of a rack go dark, "
    "and all but {silent:d} answer again after {seconds:d} s"
)
def go_dark_and_answer(context, count, silent, seconds):
    for number, executor in enumerate(_in_failing_rack(context, count)):
        executor.dark_from = DARK_AT
        if number >= silent:
            executor.dark_until = DARK_AT + seconds
    _observe(context)


@when("{count:d} executors of a rack are emptied and then ordered away")
def order_away(context, count):
    for executor in _in_failing_rack(context, count):
        executor.emptied_from, executor.emptied_until = DARK_AT - 1.0, DARK_AT + 0.2
        executor.dark_from = DARK_AT
    _observe(context)


@when("{count:d} executors of a rack go dark, and are dropped after {seconds:d} s")
def go_dark_and_drop(context, count, seconds):
    for executor in _in_failing_rack(context, count):
        executor.dark_from = DARK_AT
    _observe(context, dropped_at=DARK_AT + seconds)


@then("that rack has failed {count:d} times, and no other rack has")
def check_failures(context, count):
    assert _count(context, RackState.FAILED) == count, context.changes
    assert {change.rack for change in context.changes} <= {FAILING}, context.changes


@then("no start is held back")
def check_none_held(context):
    assert not context.held_at, context.held_at


@then("starts in the rack are held back after {seconds:g} s at most, for {duration}")
def check_held(context, seconds, duration):
    first = context.held_at[0] - DARK_AT
    held_s = len(context.held_at) * TICK_S
    assert first <= seconds, first
    if duration == "ever":
        assert abs(DARK_AT + first + held_s - END_AT) < TICK_S, context.held_at
    else:
        assert held_s <= float(duration.removesuffix(" s")) + TICK_S / 2, context.held_at


@then("it has recovered {count:d} times")
def check_recoveries(context, count):
    assert _count(context, RackState.RECOVERED) == count, context.changes
    assert not context.racks.failed_at_by_rack


@then("at least {count:d} of its executors aren't silent when it fails")
def check_not_silent(context, count):
    change = context.changes[0]
    assert change.executors - change.silent >= count, change


@then("the rack is gone, and nothing is remembered of it")
def check_gone(context):
    assert [c.state for c in context.changes] == [RackState.FAILED, RackState.GONE], context.changes
    assert not context.racks.failed_at_by_rack
    assert not context.racks._recovered_at_by_rack
    assert not context.racks._left_at_by_executor


# Placing.

EXECUTOR_ROOM = Room(cpu=8_000, memory_mb=16_000, gpus=0)
TASK_CPU = 2_000


def _make_links(failed=0):
    clock = HandClock()
    events = EventLog(host="e1", clock=clock)
    links = []
    for rack in range(3):
        for number in range(12):
            entry = ExecutorEntry(
                executor=f"x{rack}-{number}",
                service="quoting",
                address="",
                data_centre="d1",
                draining=False,
                capacity=EXECUTOR_ROOM,
                rack=f"r{rack}",
                machine=f"m{rack}-{number}",
            )
            link = ExecutorLink(
                entry=entry,
                fence=1,
                port=None,
                owner=None,
                clock=clock,
                events=events,
                shard_starts=asyncio.Semaphore(),
                orders_in_flight=OrdersInFlight(),
                inherited_lapse_at=0.0,
            )
            link.up = True
            link.entry_record = SimpleNamespace(durable=True)
            link.rack_failed = link.rack_doubtful = rack < failed
            links.append(link)
    return links


def _place(step, links, **options):
    tasks = [Task(task_id=TaskId("j1", 0, 0, n), step=step) for n in range(step.width)]
    usable = PlacementCache(links=links, now=0.0).usable(step, "quoting")
    for task, link in choose_executors(tasks, tasks, usable, frozenset(), 0.0, **options):
        task.run = Run(task=task, number=1, link=link, now=0.0)
        link.add(task.run)
    return tasks


@when("{count:d} tasks are placed while {failed:d} of three racks of 12 have failed")
def place_tasks(context, count, failed):
    step = Step(count, cpu=TASK_CPU, memory_mb=100, gpus=0, estimate_s=1.0)
    context.tasks = _place(step, _make_links(failed))


@then("{there:d} tasks start on executors of failed racks, and {waiting:d} wait")
def check_starts(context, there, waiting):
    runs = [task.run for task in context.tasks if task.run is not None]
    assert sum(run.link.rack_failed for run in runs) == there
    assert len(context.tasks) - len(runs) == waiting, len(runs)


@when(
    "a task that needs {label} chooses among three racks of 12, "
    "of which the first has failed and alone has gpu1"
)
def choose_for_suspect(context, label):
    links = _make_links(failed=1)
    for link in links:
        if link.rack_failed:
            link.entry = link.entry._replace(labels=("gpu1",))
    step = HALF_EXECUTOR._replace(requires="" if label == "nothing" else label)
    offered = []
    dispatcher = SimpleNamespace(
        epoch=1,
        roster=SimpleNamespace(links_by_executor={link.entry.executor: link for link in links}),
        account_limits=SimpleNamespace(startable=lambda job, tasks: tasks),
        isolation=SimpleNamespace(choose=lambda task, job, tasks, links: offered.extend(links)),
    )
    clock = HandClock()
    starter = TaskStarter(
        dispatcher=dispatcher, clock=clock, events=EventLog(host="e1", clock=clock)
    )
    task = Task(task_id=TaskId("j1", 0, 0, 0), step=step)
    job = SimpleNamespace(service="quoting", advice=None)
    starter._place_suspect(job, task, [task])
    context.allowed = [link for link in offered if is_eligible(link, step, "quoting")]


@then("it may use {count:d} executors")
def check_allowed(context, count):
    assert len(context.allowed) == count, len(context.allowed)


@when("{width:d} replicas, at most {each:d} on an executor, are placed {how} regard to three racks")
def place_replicas(context, width, each, how):
    step = Step(
        width,
        cpu=TASK_CPU,
        memory_mb=100,
        gpus=0,
        estimate_s=0.0,
        lasting=True,
        anti_affinity=each,
    )
    context.tasks = _place(step, _make_links(), over_racks=how == "with")


@then("they take {machines:d} machines, with {most:d} replicas at most in a rack")
def check_spread(context, machines, most):
    entries = [task.run.link.entry for task in context.tasks]
    assert len({entry.machine for entry in entries}) == machines, entries
    by_rack = Counter(entry.rack for entry in entries)
    assert max(by_rack.values()) == most, by_rack


# Owners on virtual time.


@given("owners of executors in three racks, which {how} racks into account")
def make_owners(context, how):
    context.options = {
        "executors": 12,
        "racks": 3,
        "features": WITH_RACKS if how == "take" else LoadFeatures(),
    }
    context.states = {}


def _go_dark(world, executors):
    for executor in executors:
        executor.crash(dark=True)


def _cut_off(world, executors):
    pairs = {(None, executor.entry.executor) for executor in executors}
    world.fleet.cut |= pairs
    world.loop.call_later(6.0, world.fleet.cut.difference_update, pairs)


FAULT_BY_NAME = {"goes dark for good": _go_dark, "is cut off for 6 seconds": _cut_off}


@when("{count:d} jobs of two steps are submitted while a rack {fails}")
def run_beside_failure(context, count, fails):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, count))
        await asyncio.sleep(1.5)
        rack = [e for e in world.fleet.by_address.values() if e.entry.rack == FAILING]
        context.rack_executors = {executor.entry.executor for executor in rack}
        FAULT_BY_NAME[fails](world, rack)
        await work
        await asyncio.sleep(8.0)
        daemons = world.daemons_by_address.values()
        context.lines = sorted(
            (line for daemon in daemons for line in daemon.events.captured),
            key=lambda line: line["time"],
        )

    context.world = play(scene, **context.options)


# Two tasks fill an executor of the owners' worlds.
HALF_EXECUTOR = Step(1, cpu=4_000, memory_mb=500, gpus=0, estimate_s=2.0)


@when("a rack of four with two busy executors goes dark, and work for the whole pool arrives")
def rise_beside_dark_rack(context):
    async def scene(world):
        await asyncio.sleep(START_S)
        specs = [JobSpec("p", (HALF_EXECUTOR._replace(width=width),)) for width in (4, 40)]
        assert await world.submit_until_accepted(job_id_of(1), specs[0])
        await asyncio.sleep(1.7)
        executors = world.fleet.by_address.values()
        context.rack = next(e.entry.rack for e in executors if e.runs)
        rack = [e for e in executors if e.entry.rack == context.rack]
        context.busy = sum(bool(executor.runs) for executor in rack)
        context.rack_executors = {executor.entry.executor for executor in rack}
        # Polls in flight end by their timeouts, as those of executors without power do.
        world.fleet.cut |= {(None, executor.entry.executor) for executor in rack}
        dispatcher = world.dispatcher()
        context.up_when_failed, context.up_to_date = set(), set()
        context.starts = {}
        for _ in range(300):
            await asyncio.sleep(0.01)
            _watch_rack(context, dispatcher, world)
            if len(context.up_when_failed) and job_id_of(2) not in world.asked_by_job:
                assert await world.submit_until_accepted(job_id_of(2), specs[1])
        for number in (1, 2):
            job_id = job_id_of(number)
            if job_id in world.asked_by_job:
                context.states[job_id] = await world.final_state(job_id, 60)

    context.world = play(scene, work_s=2.0, **context.options)


def _watch_rack(context, dispatcher, world):
    view = build_pool_view(dispatcher, SERVICE, world.loop.time())
    current = {executor.executor for executor in view.executors if executor.up_to_date}
    for link in dispatcher.roster.links_by_executor.values():
        executor = link.entry.executor
        if context.rack not in dispatcher.racks.failed_at_by_rack or not link.up:
            continue
        if executor in context.rack_executors:
            context.up_when_failed.add(executor)
            context.up_to_date |= {executor} & current
            context.starts[executor] = len(link.runs_by_key)


@then(
    "the rack's {count:d} idle executors get no work and don't count as capacity from its failure"
)
def check_idle_spared(context, count):
    assert context.busy == 4 - count, context.busy
    assert len(context.up_when_failed) == count, context.up_when_failed
    assert set(context.starts.values()) == {0}, context.starts
    assert not context.up_to_date


@when("a service of {width:d} replicas is submitted that may not share an executor")
def submit_replicas(context, width):
    async def scene(world):
        await asyncio.sleep(START_S)
        step = HALF_EXECUTOR._replace(width=width, lasting=True, anti_affinity=1)
        assert await world.submit_until_accepted(job_id_of(1), JobSpec("p", (step,)))
        await asyncio.sleep(3.0)
        links = world.dispatcher().roster.links_by_executor.values()
        context.replica_racks = {link.entry.rack for link in links if link.lasting_runs}

    context.world = play(scene, **context.options)


@then("they run in {count:d} racks")
def check_replica_racks(context, count):
    assert len(context.replica_racks) == count, context.replica_racks


@then("all jobs are completed, and no promise is broken")
def check_jobs(context):
    assert set(context.states.values()) == {"completed"}, context.states
    assert not context.world.problems(), context.world.problems()


def _lines(context, event):
    return [line for line in context.lines if line["event"] == event]


@then("one line tells the rack's failure, and {recoveries:d} its recovery")
def check_lines(context, recoveries):
    assert [line["rack"] for line in _lines(context, "rack.failed")] == [FAILING]
    assert [line["rack"] for line in _lines(context, "rack.recovered")] == [FAILING] * recoveries


@then("no line tells a rack's failure")
def check_no_lines(context):
    assert not _lines(context, "rack.failed")


@then("no task starts in the rack between the failure and the recovery")
def check_no_starts(context):
    failed_at = _lines(context, "rack.failed")[0]["time"]
    recovered = _lines(context, "rack.recovered")
    until = recovered[0]["time"] if recovered else NEVER
    starts = [
        line
        for line in _lines(context, "run.start")
        if failed_at <= line["time"] < until and line["executor"] in context.rack_executors
    ]
    assert not starts, starts
