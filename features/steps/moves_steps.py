"""Steps that check decisions about moves, on simulated pools that only count machines."""

from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from mustardgap import load_metrics, metrics
from mustardgap.demand_rises import DemandRises, Rise
from mustardgap.duration_corrections import DurationCorrections
from mustardgap.events import EventLog
from mustardgap.fleet_moves import FleetMoves
from mustardgap.fleet_states import Away, FleetState, OrderTimes
from mustardgap.job_states import Job, StoredJob
from mustardgap.load_features import FeatureSettings, LoadFeatures, Switch
from mustardgap.policies import WHOLE
from mustardgap.pool_demands import FILL_SHARE, Forecast, PoolDemand
from mustardgap.pool_views import ExecutorView, PoolView, arriving_cpu
from mustardgap.workloads import Configuration, JobSpec, Machine, Room, Service, Step
from tools.actor_platforms import HandClock

MACHINE_CPU = 10_000
ROUND_S = 0.2
STANDBY = "spare"


class Pools:
    """Simulated pools, whose machines move as soon as they are ordered, and the planner of moves.

    :param sizes: the pools' sizes in machines, by name.
    :param policy: the mechanisms in use.
    :param features: the decisions for hard load that take part; by default none.
    """

    def __init__(self, sizes, policy=WHOLE, features=None):
        self.clock = HandClock()
        events = EventLog(host="e1", clock=self.clock)
        self.state = FleetState(clock=self.clock, events=events)
        log = SimpleNamespace(put=lambda key, value: None)
        self.moves = FleetMoves(
            state=self.state,
            log=log,
            times=OrderTimes(1.5, 2.0, 3.0),
            order_idle=self.move,
            clock=self.clock,
            events=events,
            policy=policy,
            features=features,
        )
        services = {name: Service(name, "/", 64, True, name == STANDBY) for name in sizes}
        self.configuration = Configuration(1, {}, services)
        self.demand = dict.fromkeys(sizes, 0)
        self.lasting = dict.fromkeys(sizes, 0)
        self.arriving = dict.fromkeys(sizes, 0)
        # Machines whose executors don't answer, and those that were chosen for a move nevertheless.
        self.silent = set()
        self.silent_moves = set()
        # Machines whose new executors serve before the list of machines shows it.
        self.unlisted = set()
        for name, size in sizes.items():
            for number in range(size):
                machine = f"{name}-{number}"
                self.state.machines_by_id[machine] = self.machine(machine, name)

    def machine(self, name, pool):
        executor = "" if pool == STANDBY else f"x-{name}"
        return Machine(
            name, pool, "up", "d1", (), Room(cpu=MACHINE_CPU, memory_mb=1, gpus=0), executor
        )

    def move(self, machine, pool):
        self.state.machines_by_id[machine.machine] = self.machine(machine.machine, pool)

    def size(self, pool):
        return sum(machine.pool == pool for machine in self.state.machines_by_id.values())

    def view(self, pool):
        """Return the view of the pool's owner, its work packed on as few machines as can be."""
        unplaced = (self.demand[pool] + self.lasting[pool]) * MACHINE_CPU
        executors = []
        for machine in self.state.machines_by_id.values():
            away = machine.machine in self.state.away_by_machine
            unlisted = machine.machine in self.unlisted
            if machine.pool == pool and (unlisted or not away):
                up_to_date = machine.machine not in self.silent
                used = min(unplaced, MACHINE_CPU) if up_to_date else 0
                unplaced -= used
                name = f"{machine.executor}-again" if unlisted else machine.executor
                executors.append(
                    ExecutorView(
                        executor=name,
                        capacity_cpu=MACHINE_CPU,
                        used_cpu=used,
                        short_runs=int(used > 0),
                        lasting_runs=0,
                        up_to_date=up_to_date,
                        draining=False,
                        machine=machine.machine,
                    )
                )
        lasting = self.lasting[pool] * MACHINE_CPU
        running = sum(executor.used_cpu for executor in executors) - lasting
        arriving = int(self.arriving[pool] * MACHINE_CPU * FILL_SHARE)
        return PoolView(pool, lasting, running, unplaced, executors, arriving_cpu=arriving)

    def advance(self, seconds):
        """Run the rounds of the fleet's owner for some seconds of the simulated clock."""
        for _ in range(max(1, round(seconds / ROUND_S))):
            self.clock.now += ROUND_S
            self.moves.note_sizes(self.state.machines_by_id.values())
            for pool in self.demand:
                if pool != STANDBY:
                    view = self.view(pool)
                    self.state.views_by_service[pool] = view
                    self.state.viewed_at_by_service[pool] = self.clock.now
                    self.moves.note(pool, view, self.clock.now)
            self.moves.plan(self.configuration, set())
            for name, closing in list(self.state.closing_by_machine.items()):
                if name in self.silent:
                    # It isn't known to be empty, so no order is sent.
                    self.silent_moves.add(name)
                    continue
                del self.state.closing_by_machine[name]
                self.move(self.state.machines_by_id[name], closing.pool)


@given("pools quotes, cuts and stairs of {size:d} machines each, and {idle:d} on standby")
def make_pools(context, size, idle):
    sizes = {"quotes": size, "cuts": size, "stairs": size, STANDBY: idle}
    context.pools = Pools(sizes, getattr(context, "policy", WHOLE))
    context.pools.advance(1.0)


@given("a wave has taken a machine of cuts and one of stairs")
def take_for_wave(context):
    state = context.pools.state
    for name in ("cuts-0", "stairs-0"):
        machine = state.machines_by_id[name]
        state.machines_by_id[name] = machine._replace(state="maintenance")
        state.away_by_machine[name] = Away(machine.executor, machine.pool, float("inf"), 1)


@given("{count:d} machines of {pool} are back from maintenance, which the list doesn't show yet")
def return_unlisted(context, count, pool):
    state = context.pools.state
    for number in range(count):
        name = f"{pool}-{number}"
        machine = state.machines_by_id[name]
        state.machines_by_id[name] = machine._replace(state="maintenance")
        state.away_by_machine[name] = Away(machine.executor, machine.pool, float("inf"), 1)
        context.pools.unlisted.add(name)


@when(
    "the demand of quotes is {demand:d} machines for {seconds:g} s, "
    "while cuts and stairs have work for {others:d}"
)
def set_demand(context, demand, seconds, others):
    pools = context.pools
    pools.demand.update(quotes=demand, cuts=others, stairs=others)
    pools.advance(seconds)


WITH_RACKS = LoadFeatures(settings=FeatureSettings(racks=Switch.ON))


@given("silent machines {are} moved")
def set_racks(context, are):
    context.pools.moves._features = LoadFeatures() if are == "are" else WITH_RACKS


@when("{lost:d} machines of quotes fall silent, with work for {demand:d} machines, for {s:g} s")
def lose_machines(context, lost, demand, s):
    pools = context.pools
    pools.demand["quotes"] = demand
    pools.advance(2.0)
    machines = pools.state.machines_by_id.values()
    names = [machine.machine for machine in machines if machine.pool == "quotes"]
    pools.silent.update(names[:lost])
    pools.advance(s)


@then("{count:d} machines of quotes answer")
def check_answering(context, count):
    machines = context.pools.state.machines_by_id.values()
    names = {machine.machine for machine in machines if machine.pool == "quotes"}
    assert len(names - context.pools.silent) == count, names


@when(
    "{lost:d} machines of cuts fall silent, while quotes has work for {demand:d} machines for 4 s"
)
def rise_beside_silent(context, lost, demand):
    pools = context.pools
    pools.silent.update(f"cuts-{number}" for number in range(lost))
    pools.demand["quotes"] = demand
    pools.advance(4.0)


@then("{count:d} silent machines have been chosen for a move")
def check_silent_moves(context, count):
    assert len(context.pools.silent_moves) == count, context.pools.silent_moves


@when("quotes needs {needed:d} machines, and {count:d} machines {state}")
def order_for_quotes(context, needed, count, state):
    pools = context.pools
    now = pools.clock.now
    names = [f"cuts-{number}" for number in range(count)]
    for name in names:
        machine = pools.state.machines_by_id[name]
        if "emptied" in state:
            pools.state.close(machine, pool="quotes")
        else:
            back_at = (
                now
                + {"second": 1, "second ago": -1, "seconds ago": -2}[
                    (
                        "seconds ago"
                        if "two" in state
                        else "second ago" if "ago" in state else "second"
                    )
                ]
            )
            pools.state.away_by_machine[name] = Away("", "quotes", back_at, None)
    if "silent" in state:
        pools.silent.update(names)
    pools.demand["quotes"] = needed
    demand = pools.moves._demands_by_service["quotes"]
    for pool in ("quotes", "cuts", "stairs"):
        pools.state.views_by_service[pool] = pools.view(pool)
    view = pools.state.views_by_service["quotes"]
    demand.smoothed_cpu = needed * MACHINE_CPU * FILL_SHARE
    context.missing = pools.moves._balance("quotes", view, now).missing


@then("the pool quotes asks for {count:d} more")
def check_missing(context, count):
    assert context.missing == count, context.missing


@when(
    "metrics count the machines while the demand of quotes is {demand:d} machines for {seconds:g} s"
)
def count_machines(context, demand, seconds):
    # Other scenarios count as well, and may have used up all labels.
    context.machines = metrics.LevelTally("machines")
    with (
        mock.patch.object(metrics, "pool_machines", context.machines),
        mock.patch.object(load_metrics, "_pools", metrics.BoundedLabels()),
    ):
        set_demand(context, demand, seconds, 1)


@then("metrics show that {pool} wants machines for the work of {wanted:d} and has at most {most:d}")
def check_counted_machines(context, pool, wanted, most):
    found = {
        observed.attributes["kind"]: observed.value
        for observed in context.machines.read(None)
        if observed.attributes["pool"] == pool
    }
    assert round(found["wanted"] * FILL_SHARE) == wanted and 0 < found["had"] <= most, found


@when(
    "work for {arriving:d} machines arrives at quotes, "
    "with demand for {demand:d} so far, for {seconds:g} s"
)
def set_arrivals(context, arriving, demand, seconds):
    context.pools.arriving["quotes"] = arriving
    context.pools.demand["quotes"] = demand
    context.pools.advance(seconds)


@when("{count:d} jobs of 2 steps, with 4 s of processor time each, arrived at a pool {ago:g} s ago")
def submit_jobs(context, count, ago):
    step = Step(width=4, cpu=500, memory_mb=1, gpus=0, estimate_s=2.0)
    lasting = step._replace(lasting=True)
    stored = StoredJob("q", "quotes", 1000.0, JobSpec("", (step, step, lasting)))
    jobs = [Job(job_id=f"j{number}", stored=stored) for number in range(count)]
    context.cores = arriving_cpu(jobs, 1000.0 + ago, DurationCorrections()) / 1000


@when(
    "work that arrives at a pool of {size:d} machines "
    "changes from {before:d} machines to {now:d} in 0.4 s"
)
def change_arrivals(context, size, before, now):
    demand = PoolDemand(first_size=size)
    executors = [ExecutorView(f"x{n}", MACHINE_CPU, 0, 0, 0, True, False) for n in range(1)]
    for at, machines in ((0.0, before), (0.2, (before + now) / 2), (0.4, now)):
        arriving = int(machines * MACHINE_CPU * FILL_SHARE)
        view = PoolView("quotes", 0, MACHINE_CPU, 0, executors, arriving_cpu=arriving)
        demand.note(view, at)
    forecast = Forecast(has_risen=True, rise_due=False)
    balance = demand.balance(view, forecast, coming=0, returning=0, leaving=0)
    context.required = len(executors) + balance.missing


@then("the pool requires {count:d} machines")
def check_required(context, count):
    assert context.required == count, context.required


@then("the pool expects to keep {cores:d} cores busy")
def check_cores(context, cores):
    assert round(context.cores) == cores, context.cores


@when(
    "quotes, cuts and stairs rise to {demand:d} machines one after another, {gap:d} s apart, "
    "and {seconds:g} s pass"
)
def rise_one_by_one(context, demand, gap, seconds):
    pools = context.pools
    for pool in ("quotes", "cuts", "stairs"):
        pools.demand[pool] = demand
        pools.advance(gap / 2)
        pools.demand[pool] = 1
        pools.advance(gap / 2)
    if seconds:
        pools.advance(seconds)


@when(
    "lasting tasks for {count:d} machines arrive at one pool after another, {gap:d} s apart, twice"
)
def add_lasting_tasks(context, count, gap):
    pools = context.pools
    for arrived in (count, 0, count):
        for pool in ("quotes", "cuts", "stairs"):
            pools.lasting[pool] = arrived
            pools.advance(gap)


@then("the pool {pool} has {count:d} machines")
def check_size(context, pool, count):
    assert context.pools.size(pool) == count, context.pools.size(pool)


@then("the pools cuts and stairs have {cuts:d} and {stairs:d} machines")
def check_sizes(context, cuts, stairs):
    sizes = [context.pools.size(pool) for pool in ("cuts", "stairs")]
    assert sizes == [cuts, stairs], sizes


@when(
    "a pool has risen twice, {how}, and its next rise is asked for {after:d} s after the last one"
)
def ask_for_rise(context, how, after):
    set_back_s = float(how.split()[-2]) if how.startswith("the clock") else 0.0
    rises = DemandRises()
    began_at = 1_700_000_000.0
    rises.seen = [
        Rise("quotes", began_at),
        Rise("cuts", began_at + 3.0),
        Rise("quotes", began_at + 6.0 - set_back_s),
    ]
    context.last_at = rises.seen[-1].began_at
    context.forecast = rises.next_at("quotes", 2, context.last_at + after)


@then("the forecast is {forecast} after the last one")
def forecast_is(context, forecast):
    found = context.forecast
    expected = None if forecast == "missing" else float(forecast.split()[0])
    assert (found - context.last_at if found is not None else None) == expected, found
