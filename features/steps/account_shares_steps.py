"""Steps for the shares of client accounts in the capacity of all pools."""

import asyncio
import math
import random
from functools import cache
from typing import NamedTuple

import msgspec
from behave import then, when

from features.support.account_cases import FITTERS_KEY, JOINERS_KEY, directory
from mustardgap import metrics, pool_views
from mustardgap.account_shares import work_of
from mustardgap.accounts import (
    Account,
    AccountDirectory,
    ArrivalCounter,
    ExcessFigures,
    Grant,
    GrantNumber,
    PoolUse,
    ShareBalancer,
    cores_per_mb,
)
from mustardgap.accounts.shares import fair_shares
from mustardgap.events import EventLog
from mustardgap.fleet_shares import FleetShares
from mustardgap.fleet_states import FleetState
from mustardgap.job_states import Job, StoredJob
from mustardgap.load_features import FeatureSettings, LoadFeatures, Switch
from mustardgap.placing import sort_for_placement
from mustardgap.pool_views import ExecutorView, PoolRequest, PoolView
from mustardgap.resources import NO_ROOM, Room
from mustardgap.shard_owners import FLEET_SHARD
from mustardgap.workloads import Configuration, JobSpec, Service, Step
from tools.actor_platforms import HandClock
from tools.owner_daemons import SERVICE
from tools.owner_worlds import QUEUE, play
from tools.share_plays import NO_TROUBLE, Trouble, play_all

PLAYS = 10
LOSSES = {"a tenth": 0.1, "what weights in each pool had cost": None}
TROUBLES = {
    "a former fleet's owner goes on": Trouble(former_at=7.0),
    "the large accounts' weights are halved": Trouble(halved_at=8.0),
    "all pools get other owners": Trouble(takeover_at=8.0),
    "the fleet's owner is cut off from 2 pools": Trouble(cut=("b", "d")),
    "the fleet's owner is cut off from 3 pools": Trouble(cut=("a", "c", "d")),
    "the fleet's owner ends": Trouble(fleet_gone_at=8.0),
}
NOW = 1000.0
EXCESS, WITHIN = "an excess job", "a job within its share"
SHARES_ON = FeatureSettings(account_shares=Switch.ON)
SPEC = JobSpec("p", (Step(4, 1_000, 500, 0, 0.6),))
# A tolerance for counts of 1000 hashed ids: four standard deviations of a fair coin.
MARKS_OFF = 64


# Plays.


@cache
def _in_time(flooding, factor, sharing, trouble):
    result = play_all(PLAYS, flooding=flooding, factor=factor, sharing=sharing, trouble=trouble)
    return result.small_in_time / result.small, result


def _loss(flooding, factor, sharing, trouble):
    """The part of their jobs in time that a flood costs the small accounts."""
    before, _ = _in_time(0, 1.0, sharing, trouble)
    return 1 - _in_time(flooding, factor, sharing, trouble)[0] / before


@when("{flooding:d} accounts flood all pools with {factor:g} times their usual load")
def flood(context, flooding, factor):
    context.flood = (flooding, factor)
    context.trouble = NO_TROUBLE


@when("{flooding:d} accounts flood all pools with {factor:g} times their usual load, and {trouble}")
def flood_with_trouble(context, flooding, factor, trouble):
    context.flood = (flooding, factor)
    context.trouble = TROUBLES[trouble]


@then("the flood costs the small accounts at most {loss} of their jobs in time")
def little_loss(context, loss):
    most = LOSSES[loss] or _loss(*context.flood, False, NO_TROUBLE)
    lost = _loss(*context.flood, True, context.trouble)
    assert lost <= most, (lost, most)


@then("no owner has changed the mark of a job")
def no_mark_changed(context):
    _, result = _in_time(*context.flood, True, context.trouble)
    assert result.marked and not result.remarked, result


# Shares.


def _numbers(text):
    return [float(part) for part in text.split(",")]


@then("of {capacity:g} cores accounts that want {wanted} by weights {weights} get {shares}")
def check_shares(context, capacity, wanted, weights, shares):
    demands = dict(zip("abc", _numbers(wanted), strict=False))
    by_account = dict(zip("abc", _numbers(weights), strict=False))
    found = fair_shares(demands, by_account.__getitem__, capacity)
    expected = _numbers(shares)
    assert [round(found[a], 6) for a in demands] == expected, found


def _fill(demands, weights, capacity):
    """Fill up all accounts at the same level, which rises until the capacity is used."""
    low, high = 0.0, max(demands[a] / weights[a] for a in demands)
    for _ in range(100):
        level = (low + high) / 2
        used = sum(min(demands[a], level * weights[a]) for a in demands)
        low, high = (level, high) if used <= capacity else (low, level)
    return {a: min(demands[a], low * weights[a]) for a in demands}


@then("shares of any demands equal those that a naive filling gives")
def compare_shares(context):
    draws = random.Random(1)
    for _ in range(300):
        accounts = [str(number) for number in range(draws.randint(1, 42))]
        demands = {a: draws.choice((0.0, draws.uniform(0, 100))) for a in accounts}
        weights = {a: draws.uniform(0.1, 8) for a in accounts}
        capacity = draws.uniform(0, 2000)
        found = fair_shares(demands, weights.__getitem__, capacity)
        expected = _fill(demands, weights, capacity)
        if sum(demands.values()) <= capacity:
            expected = demands
        for account in accounts:
            assert math.isclose(found[account], expected[account], abs_tol=1e-6), account
        assert sum(found.values()) <= capacity + 1e-6


# Counts.

ARRIVALS = {
    "3 core-seconds of a now": [("1", "a", 3.0, 0.0)],
    "3 core-seconds of a now, twice with one id": [("1", "a", 3.0, 0.0)] * 2,
    "3 core-seconds of a 1.9 s ago and of b now": [("1", "a", 3.0, 1.9), ("2", "b", 3.0, 0.0)],
    "3 core-seconds of a 2.0 s ago and of b now": [("1", "a", 3.0, 2.0), ("2", "b", 3.0, 0.0)],
    "12000 jobs of 1 core-second of a now": [(str(n), "a", 1.0, 0.0) for n in range(12_000)],
}


@when("work arrives as {arrivals}")
def arrive(context, arrivals):
    context.counter = ArrivalCounter()
    for key, account, core_s, age_s in ARRIVALS[arrivals]:
        context.counter.note(key, account, core_s, NOW - age_s)


@then("the pool's owner counts {counts}")
def check_counts(context, counts):
    found = context.counter.by_account(NOW)
    assert ", ".join(f"{a} {core_s:g}" for a, core_s in found.items()) == counts, found


@then("a task of {cpu:d} mCPU and {memory:d} MB for 2 s counts as {core_s:g} core-seconds")
def check_work(context, cpu, memory, core_s):
    work = work_of(JobSpec("p", (Step(1, cpu, memory, 0, 2.0),)), 1.0)
    found = work.scarcest(cores_per_mb(Room(64_000, 256_000)))
    assert math.isclose(found, core_s), found


# Order.


def _job(name, *, account="a", age_s=0.1, step=SPEC.steps[0], queue=QUEUE.name):
    stored = StoredJob(queue, QUEUE.service, NOW - age_s, JobSpec("p", (step,)), account)
    return Job(job_id=name, stored=stored)


def _named_job(name):
    """A job as its name describes it."""
    age_s = 0.1
    if "too late" in name:
        age_s = 60.0
    elif "late" in name:
        age_s = 1.5
    step = SPEC.steps[0]
    if "long-running" in name:
        step = step._replace(lasting=True)
    queue = "background" if "less urgent" in name else QUEUE.name
    job = _job(name, age_s=age_s, step=step, queue=queue)
    job.excess = "excess" in name
    job.has_started = "begun" in name
    return job


def _sort(jobs, cores_per_mb_by_service):
    queues = {QUEUE.name: QUEUE, "background": QUEUE._replace(name="background", priority=1)}
    return sort_for_placement(
        jobs,
        lambda job: queues[job.queue_name],
        {QUEUE.service: 0.5},
        NOW,
        cores_per_mb_by_service=cores_per_mb_by_service,
    )


@when("an account of much memory and one of little have jobs at work in a full pool, and send one")
def much_memory(context):
    step = Step(4, 1_000, 1_000, 0, 0.6)
    large = step._replace(cpu=900, memory_mb=60_000)
    jobs = [
        _job("much-1", account="much", step=large),
        _job("little-1", account="little", step=step),
    ]
    for job in jobs:
        job.has_started = True
    jobs += [
        _job("much-2", account="much", step=large),
        _job("little-2", account="little", step=step),
    ]
    ratio = {QUEUE.service: cores_per_mb(Room(64_000, 256_000))}
    context.order = [job.job_id for job in _sort(jobs, ratio) if not job.has_started]


@then("the job of the account with little memory goes first")
def little_memory_first(context):
    assert context.order == ["little-2", "much-2"], context.order


@when(
    "an account has a job within its share and {number:d} newer {kind} ones, "
    "and another account has 2 jobs"
)
def mixed_jobs(context, number, kind):
    jobs = [_job("within", age_s=0.3)]
    jobs += [_job("other-1", account="b", age_s=0.3), _job("other-2", account="b", age_s=0.2)]
    for index in range(number):
        job = _job(f"{kind}-{index}", age_s=60.0 if "too late" in kind else 0.1)
        job.excess = kind == "excess"
        job.has_started = "begun" in kind
        jobs.append(job)
    context.order = [job.job_id for job in _sort(jobs, {QUEUE.service: 0.0})]


@then("the job within its share goes before the second one of the other account")
def within_share_first(context):
    order = context.order
    assert order.index("within") < order.index("other-1"), order


@when("{first} and {second} wait in a full pool")
def wait_in_full_pool(context, first, second):
    context.first = first
    context.orders = [
        [job.job_id for job in _sort(jobs, {QUEUE.service: 0.0})]
        for names in ((first, second), (second, first))
        if (jobs := [_named_job(name) for name in names])
    ]


@then("the first of them is started first")
def first_goes_first(context):
    assert all(order[0] == context.first for order in context.orders), context.orders


# Marks.


FIRST_NUMBER = GrantNumber(1, 1)


def _figures(fraction, number=FIRST_NUMBER):
    figures = ExcessFigures()
    figures.apply(number, {"a": fraction}, NOW)
    return figures


def _mark(figures, account, age_s):
    """Mark 1000 jobs that arrive within a second; return the marks in their order."""
    counter, marks = ArrivalCounter(), []
    for number in range(1000):
        key, at = f"{account}-{number}", NOW + number / 1000
        counter.note(key, account, 1.0, at)
        window = counter.of_account(account, at)
        marks.append(figures.is_excess(account, key, NOW + age_s, 1.0, window))
        if marks[-1]:
            counter.mark(key)
    return marks


@when("a pool's owner has had figures of {fraction:g} for {age_s:g} s")
def have_figures(context, fraction, age_s):
    figures = _figures(fraction)
    context.marks = _mark(figures, "a", age_s)
    context.other_marks = _mark(figures, "b", age_s)


@then("it marks about {marked:d} of 1000 new jobs of the account, and none of another one")
def check_marks(context, marked):
    assert abs(sum(context.marks) - marked) <= 2, sum(context.marks)
    # The marks are spread over the jobs: each hundred has its part.
    parts = [sum(context.marks[start : start + 100]) for start in range(0, 1000, 100)]
    assert all(abs(part - marked / 10) <= 10 for part in parts), parts
    assert not any(context.other_marks)


@when("two owners read the same 1000 stored jobs and get figures of {fraction:g}")
def read_twice(context, fraction):
    keys = [f"{number:016x}" for number in range(1000)]
    context.marks_by_owner = [
        [_figures(fraction, number).was_excess("a", key, NOW) for key in keys]
        for number in (GrantNumber(1, 1), GrantNumber(2, 7))
    ]


@then("both mark the same jobs, about {marked:d}")
def same_marks(context, marked):
    first, second = context.marks_by_owner
    assert first == second
    assert abs(sum(first) - marked) <= MARKS_OFF, sum(first)


@when("a pool's owner gets figures numbered {epoch:d}.{number:d} and then others numbered {later}")
def get_figures(context, epoch, number, later):
    figures = _figures(0.5, GrantNumber(epoch, number))
    figures.apply(GrantNumber(*(int(part) for part in later.split("."))), {"a": 0.25}, NOW)
    context.fraction = figures.fraction("a", NOW)


@then("the later figures are {result}")
def check_applied(context, result):
    assert context.fraction == (0.25 if result == "applied" else 0.5), context.fraction


# The fleet's owner.


@when("the fleet's owner has heard {reported:d} of 2 pools, full of two accounts' work, {heard}")
def hear_pools(context, reported, heard):
    balancer = ShareBalancer(epoch=1)
    for pool in ("p", "q")[:reported]:
        balancer.note(pool, {"a": 100.0, "b": 100.0}, 50.0, NOW)
    now = NOW + (3.0 if heard == "3 s ago" else 0.0)
    context.plan = balancer.plan(lambda _: 1.0, 0.0, now)


@then("the excess of either account is {excess}")
def check_excess(context, excess):
    if excess == "not stated":
        assert context.plan is None, context.plan
        return
    assert context.plan.excess_by_account == dict.fromkeys("ab", float(excess)), context.plan


@when("an account's weight is raised from 1 to 3 while two accounts want twice the capacity")
def raise_weight(context):
    balancer = ShareBalancer(epoch=1)
    balancer.note("p", {"a": 100.0, "b": 100.0}, 50.0, NOW)
    weights = {"a": 1.0, "b": 1.0}
    context.plans = [balancer.plan(weights.__getitem__, 0.0, NOW)]
    weights["a"] = 3.0
    context.plans.append(balancer.plan(weights.__getitem__, 0.0, NOW))


@then("its excess falls from {first:g} to {second:g}, and that of the other rises to {other:g}")
def check_raised(context, first, second, other):
    found = [plan.excess_by_account for plan in context.plans]
    assert found == [{"a": first, "b": first}, {"a": second, "b": other}], found


class _OldRequest(NamedTuple):
    """A request as daemons without shares know it."""

    service: str
    closing: list[str]
    planned: list[str]
    gone: list[str] = []
    grant: Grant | None = None


class _OldView(NamedTuple):
    """A view as daemons without shares know it."""

    service: str
    lasting_cpu: int
    running_cpu: int
    waiting_cpu: int
    executors: list[ExecutorView]
    lasting_unplaced: bool = False
    arriving_cpu: int = 0
    uses_by_account: dict[str, PoolUse] = {}


USES = {"a": PoolUse(used=Room(1))}
GRANT = Grant(GrantNumber(1, 2), None)
VIEW = PoolView(SERVICE, 1, 2, 3, [], True, 4, USES)
REQUEST = PoolRequest(SERVICE, ["x"], ["y"], ["z"], GRANT)
MESSAGES = {
    ("view", "without counts"): VIEW,
    ("view", "with counts"): VIEW._replace(arrivals_by_account={"a": 1.5}),
    ("request", "without figures"): REQUEST,
    ("request", "with figures"): REQUEST._replace(
        excess_by_account={"a": 0.5}, excess_number=GrantNumber(3, 4)
    ),
    ("request", "with empty figures"): REQUEST._replace(
        grant=None, excess_by_account={}, excess_number=GrantNumber(3, 4)
    ),
}


@when("a {message} {with_what} is encoded")
def encode(context, message, with_what):
    context.message = MESSAGES[message, with_what]
    encoded = (
        pool_views.encode_view(context.message)
        if message == "view"
        else pool_views.encode_request(context.message)
    )
    context.raw = msgspec.msgpack.encode(encoded)


@then("a daemon with{out} shares can read it")
def read_message(context, out):
    is_view = isinstance(context.message, PoolView)
    if out == "out":
        decoded = msgspec.msgpack.decode(context.raw, type=_OldView if is_view else _OldRequest)
        assert decoded == context.message[: len(decoded)], decoded
        return
    decoded = msgspec.msgpack.decode(context.raw, type=PoolView if is_view else PoolRequest)
    assert decoded == context.message, decoded


@then("a daemon with shares can read it")
def read_new_message(context):
    read_message(context, "")


# Owners in a world.


def _features(state):
    settings = FeatureSettings(account_shares=Switch(state))
    return LoadFeatures(settings=settings)


async def _submit_all(world, count, key, first, spread_s):
    for number in range(first, first + count):
        for attempt in range(60):
            name = world.names[attempt % len(world.names)]
            reply = await world.submit(f"{number:016x}", SPEC, name, [key])
            if reply is not None and reply.code.http_status == 200:
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(spread_s / count)


def _fleet_owner(world):
    return next(
        daemon.name
        for daemon in world.daemons_by_address.values()
        if FLEET_SHARD in daemon.owners.owned_by_shard
    )


@when(
    "with shares {state}, joiners submit {many:d} jobs in a second, fitters {few:d}, and {trouble}"
)
def flood_world(context, state, many, few, trouble):
    context.lines, context.states = [], []

    async def scene(world):
        world.publish_accounts(directory(), 2)
        await asyncio.sleep(6.0)
        daemons = list(world.daemons_by_address.values())
        work = asyncio.gather(
            _submit_all(world, many, JOINERS_KEY, 0, 1.0),
            _submit_all(world, few, FITTERS_KEY, many, 1.0),
        )
        await asyncio.sleep(0.7)
        if trouble != "nothing happens":
            world.kill(world.owner() if "pool" in trouble else _fleet_owner(world))
        await work
        # Only the account of a job may ask for its state.
        for number in range(many + few):
            for _ in range(200):
                job = None
                if world.owner() is not None:
                    job = world.dispatcher().jobs_by_id.get(f"{number:016x}")
                if job is not None and job.durable_phase:
                    break
                await asyncio.sleep(0.2)
            context.states.append(job.durable_phase.name if job is not None else "unknown")
        context.lines = [row for daemon in daemons for row in daemon.events.captured]

    context.world = play(scene, daemons=4, executors=2, features=_features(state))


@then("all jobs are completed and no promise is broken")
def all_completed(context):
    assert set(context.states) == {"COMPLETED"}, context.states
    assert not context.world.problems(), context.world.problems()


@then("the owners' lines tell of {told}")
def check_lines(context, told):
    excess = [row for row in context.lines if row["event"] == "job.accepted" and row.get("excess")]
    shares = [row for row in context.lines if row["event"] == "account.shares"]
    if told == "no shares":
        assert not excess and not shares
        return
    assert shares, "no shares were logged"
    assert {row["account"] for row in excess} == {"joiners"}, excess


@when("joiners submit {count:d} jobs, and the pool's owner is killed at once")
def kill_after_jobs(context, count):
    async def scene(world):
        world.publish_accounts(directory(), 2)
        await asyncio.sleep(6.0)
        former = world.owner()
        await _submit_all(world, count, JOINERS_KEY, 0, 0.1)
        # A repetition counts for nothing.
        await _submit_all(world, count, JOINERS_KEY, 0, 0.1)
        context.counts = [world.dispatcher().account_shares.arrivals(SERVICE)]
        dispatcher = world.dispatcher()
        await world.stop(former)
        while world.owner() in (None, former) or not world.dispatcher().loaded:
            await asyncio.sleep(0.01)
        assert world.dispatcher() is not dispatcher
        context.counts.append(world.dispatcher().account_shares.arrivals(SERVICE))

    play(scene, daemons=4, executors=2, features=_features("on"))


@then("its successor counts the work of these {count:d} jobs once")
def check_rebuilt(context, count):
    step = SPEC.steps[0]
    expected = round(count * step.width * step.cpu / 1000 * step.estimate_s, 3)
    for counts in context.counts:
        assert set(counts) == {"joiners"}, counts
        assert math.isclose(counts["joiners"], expected, rel_tol=0.01), (counts, expected)


@when("with shares on, joiners submit {count:d} jobs in a second, and the pool's owner leaves")
def leave_in_flood(context, count):
    context.marks_by_time = []

    async def scene(world):
        world.publish_accounts(directory(), 2)
        await asyncio.sleep(6.0)
        former = world.owner()
        await _submit_all(world, count, JOINERS_KEY, 0, 1.0)
        await _submit_all(world, 3, FITTERS_KEY, count, 0.1)
        await world.stop(former)
        while world.owner() in (None, former) or not world.dispatcher().loaded:
            await asyncio.sleep(0.01)
        dispatcher = world.dispatcher()
        for _ in range(40):
            await asyncio.sleep(0.05)
            jobs = dispatcher.jobs_by_id.values()
            context.marks_by_time.append({j.job_id: (j.account, j.excess) for j in jobs})

    play(scene, daemons=4, executors=2, features=_features("on"))


@then("its successor has marked some of the jobs that it read, all of joiners, and changed no mark")
def marked_once(context):
    decided = {}
    for marks in context.marks_by_time:
        for job_id, mark in marks.items():
            if mark[1] is not None:
                assert decided.setdefault(job_id, mark) == mark, job_id
    accounts = [account for account, excess in decided.values() if excess]
    assert accounts and set(accounts) == {"joiners"}, accounts


def _decide(context, accounts):
    clock = HandClock()
    events = EventLog(host="e1", clock=clock)
    context.events = events
    context.shares = FleetShares(
        epoch=1,
        state=FleetState(clock=clock, events=events),
        features=LoadFeatures(settings=SHARES_ON),
        clock=clock,
        events=events,
    )
    services = {SERVICE: Service(SERVICE, "/", 64, True, False)}
    by_name = {account.name: account for account in accounts}
    configuration = Configuration(1, {}, services, accounts=AccountDirectory(by_name, {}))
    executor = ExecutorView("x1", len(by_name) * 1000, 0, 0, 0, True, False)
    # Later accounts want more; all together they want twice the capacity.
    unit = 4.0 * len(by_name) / sum(range(1, len(by_name) + 1))
    arrivals = {name: unit * place for place, name in enumerate(by_name, start=1)}
    view = PoolView(SERVICE, 0, 0, 0, [executor], arrivals_by_account=arrivals)
    return clock, configuration, view


def _run_rounds(context, accounts, rounds, seconds):
    clock, configuration, view = _decide(context, accounts)
    for _ in range(rounds):
        context.shares.note(view, clock.monotonic())
        context.shares.plan(configuration)
        clock.now += seconds / rounds


@when("the fleet's owner decides {rounds:d} times in {seconds:d} s about {count:d} greedy accounts")
def decide_for_many(context, rounds, seconds, count):
    context.names = [f"account-{number}" for number in range(count)]
    accounts = [Account(name, 1.0, NO_ROOM) for name in context.names]
    _run_rounds(context, accounts, rounds, seconds)


@then("it has logged at most {count:d} lines of shares, each with the {largest:d} largest accounts")
def check_share_lines(context, count, largest):
    lines = [row for row in context.events.captured if row["event"] == "account.shares"]
    assert 1 <= len(lines) <= count, len(lines)
    for line in lines:
        names = [row["account"] for row in line["largest"]]
        assert names == context.names[: -largest - 1 : -1], names


@then("the metrics name the {count:d} largest accounts")
def check_share_metrics(context, count):
    text = metrics.render().decode()
    context.shares.close()
    for name in ("arrivals", "shares"):
        lines = [row for row in text.splitlines() if row.startswith(f"mustardgap_account_{name}")]
        assert len(lines) == count, lines
        assert any('account="account-41"' in row for row in lines), lines
    assert "mustardgap_account_shares{" not in metrics.render().decode()


@when("the fleet's owner decides {rounds:d} times in {seconds:d} s about weights {weights}")
def decide_by_weights(context, rounds, seconds, weights):
    accounts = [
        Account(f"account-{number}", weight, NO_ROOM)
        for number, weight in enumerate(_numbers(weights))
    ]
    _run_rounds(context, accounts, rounds, seconds)
    context.shares.close()


@then("it has logged one line that names the {count:d} accounts of invalid weights")
def check_weight_line(context, count):
    lines = [row for row in context.events.captured if row["event"] == "account.weight_invalid"]
    assert [row["accounts"] for row in lines] == [["account-0", "account-1"]], lines
    assert lines[0]["count"] == count, lines
