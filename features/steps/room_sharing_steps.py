"""Steps that check how capacity is shared among pools, by plain values and by plays of a fleet."""

from types import SimpleNamespace

from behave import given, then, when

from features.support.room_plays import LOADS, SIZES, STANDBY, Play, play, rises
from mustardgap import metrics, pool_views
from mustardgap.demand_rises import DemandRises
from mustardgap.duration_corrections import DurationCorrections
from mustardgap.job_states import Job, StoredJob
from mustardgap.load_features import FeatureSettings, LoadFeatures, Switch
from mustardgap.pool_demands import Forecast, PoolDemand, Traffic
from mustardgap.pool_views import ExecutorView, PoolView
from mustardgap.room_loads import RoomLoads
from mustardgap.room_observations import PoolObservation, RoomObservations, StoredDemand
from mustardgap.room_sharing import PoolLoad, first_reserve, rise_reserve, share
from mustardgap.workloads import JobSpec, Queue, Step

MOVE_S = 1.5


# Plain values.


def read_load(service, text):
    """Return a load from words such as ``10 for 40, urgent, short 0.2 s, keeps 8``."""
    first, *marks = [part.strip() for part in text.split(",")]
    size, needed = first.split(" for ")
    values = {"short_s": 1.0, "givable": int(size)}
    for mark in marks:
        word, _, rest = mark.partition(" ")
        if word == "urgent":
            values["urgent"] = float(needed)
        elif word == "short":
            values["short_s"] = float(rest.removesuffix(" s"))
        elif word == "keeps":
            values["reserve"] = int(rest)
        elif word == "recently":
            values["recent"] = (float(rest), float(needed))
        elif word == "silent":
            values["is_current"] = False
        elif word == "unsettled":
            values["givable"] = 0
        else:
            raise ValueError(mark)
    return PoolLoad(service, int(size), float(needed), **values)


@when("quotes has {quotes}; cuts has {cuts}; and {idle:d} machines are idle")
def share_values(context, quotes, cuts, idle):
    loads = [read_load("quotes", quotes), read_load("cuts", cuts)]
    context.sharings = [
        share(ordered, idle=idle, move_s=MOVE_S) for ordered in (loads, loads[::-1])
    ]


@then("quotes is to have {quotes:d} machines, and cuts {cuts:d}")
def check_shares(context, quotes, cuts):
    for sharing in context.sharings:
        assigned = {s: row.assigned for s, row in sharing.shares_by_service.items()}
        assert assigned == {"quotes": quotes, "cuts": cuts}, assigned


@when(
    "a rise to {rise:g} machines is expected of a pool of {first:d} machines, with {elsewhere:d} "
    "elsewhere, and a job takes {span:g} s"
)
def compute_reserve(context, rise, first, elsewhere, span):
    context.reserve = rise_reserve(
        rise=rise, first_size=first, lead_s=2.4, job_span_s=span, elsewhere=elsewhere
    )


@then("the pool keeps {count:d} machines, and {unrisen:d} if it hasn't risen")
def check_reserve(context, count, unrisen):
    found = context.reserve, first_reserve(context.reserve, 40)
    assert found == (count, unrisen), found


# Plays.


@when("the load is {load}")
def play_load(context, load):
    assert load in LOADS
    context.results = {
        rule: [play(load, rule, seed=seed) for seed in (1, 2, 3)]
        for rule in ("fixed", "asked", "shared")
    }


def mean(context, rule, value):
    results = context.results[rule]
    return sum(value(result) for result in results) / len(results)


@then("{share:g} of the jobs are in time, and {worst:g} of the worst pool's")
def check_in_time(context, share, worst):
    found = (
        mean(context, "shared", lambda result: result.in_time),
        mean(context, "shared", lambda result: min(result.in_time_by_pool.values())),
    )
    assert found[0] >= share and found[1] >= worst, found


@then("at most {idle:d} machine-seconds are idle, in {moves:d} moves")
def check_cost(context, idle, moves):
    found = (
        mean(context, "shared", lambda result: result.idle_s),
        mean(context, "shared", lambda result: result.moves),
    )
    assert found[0] <= idle and found[1] <= moves, found


@then("with sizes that stay {fixed:g} are in time, and by the order of asking {asked:g}")
def check_naive(context, fixed, asked):
    found = [
        round(mean(context, rule, lambda result: result.in_time), 2) for rule in ("fixed", "asked")
    ]
    assert found == [fixed, asked], found


# Failures.


@given("a fleet in which {pool} rises to {machines:d} machines at {begin:g} s")
def make_fleet(context, pool, machines, begin):
    context.spans = [(pool, begin, begin + 8, machines)]
    context.sizes = dict(SIZES)


@given("{pool} rises to {machines:d} machines at {begin:g} s as well")
def add_rise(context, pool, machines, begin):
    context.spans.append((pool, begin, begin + 8, machines))


@given("no machine is on standby")
def empty_standby(context):
    context.sizes[STANDBY] = 0


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    if not hasattr(context, "fleet"):
        context.fleet = Play(context.sizes, rises(context.spans), "shared")
    context.fleet.advance(seconds)


@when("the fleet's shard is taken over")
def take_over(context):
    fleet = context.fleet
    context.sizes_before = {pool: fleet.size(pool) for pool in fleet.pools}
    fleet.smallest = dict(context.sizes_before)
    fleet.begin_owner()


@when("the owner of {pool} doesn't answer")
def silence(context, pool):
    context.sizes_before = {pool: context.fleet.size(pool)}
    context.fleet.silent.add(pool)


@when("a wave takes {count:d} machines of {pool}")
def take_for_wave(context, count, pool):
    fleet = context.fleet
    names = [name for name, of in fleet.pool_of.items() if of == pool and not fleet.running[name]]
    assert len(names) >= count, len(names)
    fleet.take_for_wave(names[:count])


@when("{count:d} machines of {pool} lose power")
def lose_power(context, count, pool):
    fleet = context.fleet
    context.size_before = fleet.size(pool)
    names = [name for name, of in fleet.pool_of.items() if of == pool]
    fleet.dark.update(names[:count])
    context.coming_before = len(fleet.back_at)


@given("{count:d} machines of {pool} have the label {label}")
def label_machines(context, count, pool, label):
    context.fleet = Play(context.sizes, rises(context.spans), "shared")
    # Work is placed on a pool's first machines, and idle machines are given first.
    size = context.sizes[pool]
    names = [f"{pool}-{number}" for number in range(size - count, size)]
    for name, machine in list(context.fleet.machines.items()):
        labels = (label, "rack-1") if name in names else ("rack-1",)
        context.fleet.labels[name] = labels
        context.fleet.machines[name] = machine._replace(labels=labels)


@then("{count:d} machine of {pool} has the label {label}")
def check_labelled(context, count, pool, label):
    fleet = context.fleet
    names = [name for name, of in fleet.pool_of.items() if of == pool]
    names = [name for name in names if name not in fleet.state.closing_by_machine]
    assert sum(label in fleet.machines[name].labels for name in names) == count


@when("{pool} loses all its machines")
def lose_machines(context, pool):
    fleet = context.fleet
    for name in [name for name, of in fleet.pool_of.items() if of == pool]:
        del fleet.pool_of[name], fleet.running[name], fleet.machines[name]


@when("they are back")
def restore_power(context):
    context.fleet.dark.clear()


@then("no pool has shrunk")
def check_not_shrunk(context):
    smallest, before = context.fleet.smallest, context.sizes_before
    assert all(smallest[pool] >= size for pool, size in before.items()), (smallest, before)


@then("{pool} is as large as before")
def check_same_size(context, pool):
    found = context.fleet.size(pool), context.sizes_before[pool]
    assert found[0] == found[1], found


@then("{pool} has at least {count:d} machines")
def check_at_least(context, pool, count):
    assert context.fleet.size(pool) >= count, context.fleet.size(pool)


@then("{pool} has at most {count:d} machines")
def check_at_most(context, pool, count):
    assert context.fleet.size(pool) <= count, context.fleet.size(pool)


@then("{count:d} machines are on their way to {pool}")
def check_coming(context, count, pool):
    coming = sum(1 for _, target in context.fleet.back_at.values() if target == pool)
    assert coming >= count, coming


@then("{share:g} of all jobs so far were in time")
def check_result(context, share):
    result = context.fleet.result()
    assert result.in_time >= share, result


# What is stored and sent.


def view_of(service, demand_cpu, *, capacity_cpu=10_000, **fields):
    executors = [ExecutorView(f"x{n}", capacity_cpu, 0, 0, 0, True, False) for n in range(4)]
    return PoolView(service, 0, demand_cpu, 0, executors, **fields)


@given("a former owner stored that {pool} had {size:d} machines and a demand of {demand:d}")
def store_demand(context, pool, size, demand):
    former = RoomObservations()
    former.by_service[pool] = PoolObservation(StoredDemand(pool, size, 10 * demand, 10))
    context.loads = RoomLoads(move_s=MOVE_S)
    context.loads.observations.restore(former.to_store(0.0))


@when("its successor sees {demand:d} machines of demand at {pool} for {seconds:g} s")
def observe(context, demand, pool, seconds):
    tracked = PoolDemand(first_size=10)
    for round_ in range(round(seconds / 0.2) + 1):
        now = 100.0 + 0.2 * round_
        view = view_of(pool, demand * 9_000)
        tracked.note(view, now)
        context.loads.observations.of(pool).note(view, tracked, now)
        forecast = Forecast(has_risen=False, rise_due=False)
        context.loads.note(view, tracked, forecast, Traffic(0, 0, 0), givable=4, now=now)
    context.loads_now = context.loads.loads(
        idle=0, rises=DemandRises(), first_sizes={pool: 10}, now=now
    )


@when("its successor has seen nothing of {pool} for {seconds:g} s")
def observe_nothing(context, pool, seconds):
    rises_, sizes = DemandRises(), {pool: 10}
    context.loads.loads(idle=0, rises=rises_, first_sizes=sizes, now=100.0)
    context.loads_now = context.loads.loads(
        idle=0, rises=rises_, first_sizes=sizes, now=100.0 + seconds
    )


@then("the pool counts with a demand of {demand:d}, and can give {givable:d} machines")
def check_load(context, demand, givable):
    (load,) = context.loads_now
    assert (round(load.needed), load.givable) == (demand, givable), load


@then("the pool doesn't count")
def check_no_load(context):
    assert context.loads_now == [], context.loads_now


@when("the demands of {count:d} pools are stored")
def store_many(context, count):
    observations = RoomObservations()
    for number in range(count):
        stored = StoredDemand(f"service-{number}", 180, 1800, 900)
        observations.by_service[stored.service] = PoolObservation(stored)
    context.stored = observations.to_store(10.0), observations.to_store(10.5)
    observations.by_service["service-0"].needed += 5
    context.stored += (observations.to_store(10.9), observations.to_store(11.1))


@then("that takes at most {count:d} bytes, once a second and only after a change")
def check_bytes(context, count):
    first, unchanged, early, changed = context.stored
    assert first is not None and len(first) <= count, len(first)
    assert (unchanged, early) == (None, None)
    assert changed is not None and len(changed) <= count


@when("a view with {fields} is sent")
def send_view(context, fields):
    values = {"nothing new": {}, "urgent demand": {"urgent_cpu": 5}, "a span": {"job_span_s": 2.0}}
    context.view = view_of("quotes", 1000, **values[fields])
    context.sent = pool_views.encode_view(context.view)


@then("it has {count:d} fields, and is read as it was")
def check_sent(context, count):
    assert len(context.sent) == count, context.sent
    assert pool_views.decode(context.sent) == context.view


@when(
    "a pool with sharing {switch} has a job that needs {cores:d} cores, "
    "of a queue of priority {priority:d}"
)
def make_view(context, switch, cores, priority):
    first = Step(width=cores, cpu=1000, memory_mb=1, gpus=0, estimate_s=2.0)
    second = first._replace(depends_on=(0,))
    stored = StoredJob("q", "quotes", 1000.0, JobSpec("", (first, second)))
    queue = Queue("q", "h", "/", "quotes", 3.0, 5.0, priority, 1, 2.0)
    settings = FeatureSettings(room_sharing=Switch(switch))
    dispatcher = SimpleNamespace(
        jobs_by_id={"j": Job(job_id="j", stored=stored)},
        queue_of=lambda job: queue,
        durations=DurationCorrections(),
        evacuations=SimpleNamespace(unplaced_services=set()),
        roster=SimpleNamespace(links_by_executor={}),
        account_limits=SimpleNamespace(uses=lambda service: {}),
        account_shares=SimpleNamespace(arrivals=lambda service: None),
        features=LoadFeatures(settings=settings),
    )
    context.view = pool_views.build_pool_view(dispatcher, "quotes", 1000.0)


@then("its view has {cores:d} urgent cores, and jobs of {span:g} s")
def check_view(context, cores, span):
    found = context.view.urgent_cpu / 1000, context.view.job_span_s
    assert found == (cores, span), found


# What operators see.


@then("the log and the gauges show what {pool} wants and has")
def check_reports(context, pool):
    rows = [row for row in context.fleet.events.captured if row["event"] == "pool.balance"]
    row = next(row for row in reversed(rows) if row["service"] == pool)
    assert row["wanted"] > row["had"] and 0 < row["utility"] <= 1, row
    text = metrics.render().decode()
    lines = [line for line in text.splitlines() if "mustardgap_pool_machines" in line]
    values = {kind: f'kind="{kind}"' for kind in ("wanted", "had")}
    shown = {
        kind: float(line.rpartition(" ")[2])
        for kind, label in values.items()
        for line in lines
        if label in line and f'pool="{pool}"' in line
    }
    assert shown == {"wanted": row["wanted"], "had": row["had"]}, (shown, row)


@then("after its end as the fleet's owner the gauges show nothing")
def check_cleared(context):
    context.fleet.moves.close()
    assert "mustardgap_pool_machines{" not in metrics.render().decode()
