"""Plays of a fleet whose pools share machines: jobs of steps, and moves that take time."""

from random import Random
from types import SimpleNamespace
from typing import NamedTuple

from mustardgap.events import EventLog
from mustardgap.fleet_moves import FleetMoves
from mustardgap.fleet_states import Away, FleetState, OrderTimes
from mustardgap.load_features import FeatureSettings, LoadFeatures, Switch
from mustardgap.pool_views import ARRIVAL_WINDOW_S, ExecutorView, PoolView
from mustardgap.room_observations import DEMANDS_KEY
from mustardgap.workloads import Configuration, Machine, Room, Service
from tools.actor_platforms import HandClock

MACHINE_CPU = 64_000
# A step of a job has 8 tasks of a core for this long, on average; 8 of them fill a machine.
STEP_CPU = 8_000
STEPS_ON_MACHINE = 8
STEP_S = 1.35
MEAN_STEPS = 3
# A job may take this many times its critical path, and this much more.
STRETCH = 1.6
OBJECTIVE_S = 0.6
TICK_S = 0.1
ROUND_TICKS = 2
MOVE_S = 1.5
# From the end of a move until the machine's executor is listed and leased.
LISTED_S = 0.9
MAINTENANCE_S = 2.0
STANDBY = "spare"
# Figures count from here on: the fleet's owner has to see the pools first.
WARM_UP_S = 1.0


class Result(NamedTuple):
    """A play's share of jobs in time, overall and by pool, idle machine-seconds, and moves."""

    in_time: float
    in_time_by_pool: dict
    idle_s: float
    moves: int


class FakeJob:
    """A job whose steps run one after another."""

    def __init__(self, arrived, steps, urgent):
        self.arrived = arrived
        self.steps_s = steps
        self.left = list(steps)
        self.deadline = arrived + STRETCH * sum(steps) + OBJECTIVE_S
        self.urgent = urgent

    def is_hopeless(self, now):
        return now + sum(self.left) > self.deadline


class Play:
    """Pools that serve jobs with the machines that the fleet's owner gives them.

    :param sizes: the pools' sizes in machines, that of standby included.
    :param rates: returns the work that arrives at a pool at a time, in machines.
    :param sharing: ``shared``, or the rule before (``asked``), or ``fixed`` for no moves at all.
    :param urgent: the pools whose jobs are of a queue of priority 0.
    """

    def __init__(self, sizes, rates, sharing, *, urgent=(), seed=1):
        self.rates, self.sharing, self.urgent = rates, sharing, urgent
        self.random = Random(seed)
        self.clock = HandClock()
        self.began_at = self.clock.now
        self.pools = [name for name in sizes if name != STANDBY]
        self.due = dict.fromkeys(self.pools, 0.0)
        self.waiting = {pool: [] for pool in self.pools}
        self.running = {}
        self.arrivals = {pool: [] for pool in self.pools}
        self.done = dict.fromkeys(self.pools, 0)
        self.late = dict.fromkeys(self.pools, 0)
        self.idle_s, self.moves_made = 0.0, 0
        self.smallest = dict(sizes)
        # Machines that work for a pool, and when those under way will.
        self.pool_of, self.back_at, self.number = {}, {}, 0
        # Pools whose owner doesn't answer, and machines without power.
        self.silent, self.dark = set(), set()
        self.records = {}
        self.labels = {}
        self.machines = {}
        for pool, size in sizes.items():
            for number in range(size):
                self.install(f"{pool}-{number}", pool)
        services = {name: Service(name, "/", 64, True, name == STANDBY) for name in sizes}
        self.configuration = Configuration(1, {}, services)
        self.begin_owner()

    def begin_owner(self):
        """Begin an ownership of the fleet's shard with what the former one has stored."""
        switch = Switch.ON if self.sharing == "shared" else Switch.OFF
        self.events = EventLog(host="e1", clock=self.clock, descriptor=None)
        former = getattr(self, "state", None)
        self.state = FleetState(clock=self.clock, events=self.events)
        self.state.machines_by_id = former.machines_by_id if former else self.machines
        self.state.away_by_machine = former.away_by_machine if former else {}
        self.moves = FleetMoves(
            state=self.state,
            log=SimpleNamespace(put=self.records.__setitem__),
            times=OrderTimes(MOVE_S, MAINTENANCE_S, 3.0),
            order_idle=self.send,
            clock=self.clock,
            events=self.events,
            features=LoadFeatures(settings=FeatureSettings(room_sharing=switch)),
        )
        if former:
            self.moves.restore(self.records["learned"])
            if DEMANDS_KEY in self.records:
                self.moves.restore_demands(self.records[DEMANDS_KEY])

    @property
    def elapsed(self):
        return self.clock.now - self.began_at

    def install(self, name, pool):
        self.number += 1
        executor = "" if pool == STANDBY else f"x{self.number}"
        room = Room(cpu=MACHINE_CPU, memory_mb=1, gpus=0)
        labels = self.labels.get(name, ())
        self.machines[name] = Machine(name, pool, "up", "d1", labels, room, executor)
        self.pool_of[name] = pool
        if pool != STANDBY:
            self.running[name] = []

    def send(self, machine, pool):
        """Order an empty machine away: to a pool, or for maintenance if that is its own."""
        maintained = machine.pool == pool
        duration_s = MAINTENANCE_S if maintained else MOVE_S
        self.moves_made += not maintained
        name = machine.machine
        self.pool_of.pop(name, None)
        self.running.pop(name, None)
        self.back_at[name] = (self.clock.now + duration_s + LISTED_S, pool)
        wave = 1 if maintained else None
        self.state.away_by_machine[name] = Away(machine.executor, pool, float("inf"), wave)
        self.machines[name] = machine._replace(state="moving", pool=pool)

    def take_for_wave(self, names):
        for name in names:
            self.send(self.machines[name], self.machines[name].pool)

    def advance(self, seconds):
        """Run the fleet for some seconds."""
        for tick in range(round(seconds / TICK_S)):
            self.clock.now += TICK_S
            self.return_machines()
            self.arrive()
            self.work()
            if tick % ROUND_TICKS == 0 and self.sharing != "fixed":
                self.round()

    def return_machines(self):
        for name, (at, pool) in list(self.back_at.items()):
            if self.clock.now >= at:
                del self.back_at[name], self.state.away_by_machine[name]
                self.install(name, pool)

    def arrive(self):
        for pool in self.pools:
            self.due[pool] += self.rates(pool, self.elapsed) * TICK_S
            job_s = MEAN_STEPS * STEP_S / STEPS_ON_MACHINE
            while self.due[pool] >= job_s:
                self.due[pool] -= job_s
                count = self.random.randint(1, 2 * MEAN_STEPS - 1)
                steps = [self.random.uniform(1.0, 1.7) for _ in range(count)]
                job = FakeJob(self.clock.now, steps, pool in self.urgent)
                self.waiting[pool].append(job)
                self.arrivals[pool].append(job)

    def work(self):
        now = self.clock.now
        closing = self.state.closing_by_machine
        for name, steps in self.running.items():
            pool = self.pool_of[name]
            for end, job in [step for step in steps if step[0] <= now]:
                steps.remove((end, job))
                if job.left:
                    self.waiting[pool].append(job)
                else:
                    self.count(pool, job, now <= job.deadline)
        for pool in self.pools:
            hopeless = [job for job in self.waiting[pool] if job.is_hopeless(now)]
            for job in hopeless:
                self.waiting[pool].remove(job)
                self.count(pool, job, False)
            self.waiting[pool].sort(key=lambda job: job.deadline)
        for name, steps in self.running.items():
            pool = self.pool_of[name]
            can_start = name not in closing and name not in self.dark
            while can_start and len(steps) < STEPS_ON_MACHINE and self.waiting[pool]:
                job = self.waiting[pool].pop(0)
                steps.append((now + job.left.pop(0), job))
            if self.elapsed > WARM_UP_S:
                self.idle_s += TICK_S * (1 - len(steps) / STEPS_ON_MACHINE)

    def count(self, pool, job, in_time):
        (self.done if in_time else self.late)[pool] += 1

    def round(self):
        now = self.clock.now
        for name, closing in list(self.state.closing_by_machine.items()):
            if not self.running[name]:
                del self.state.closing_by_machine[name]
                self.send(self.machines[name], closing.pool)
        self.moves.note_sizes(self.machines.values())
        for pool in self.pools:
            if pool in self.silent:
                continue
            view = self.view(pool)
            self.state.views_by_service[pool] = view
            self.state.viewed_at_by_service[pool] = now
            self.moves.note(pool, view, now)
        self.moves.plan(self.configuration, set())
        for pool in self.pools:
            self.smallest[pool] = min(self.smallest[pool], self.size(pool))

    def size(self, pool):
        """Return the size of a pool with machines on their way, without those that leave."""
        here = sum(1 for p in self.pool_of.values() if p == pool)
        coming = sum(1 for _, p in self.back_at.values() if p == pool)
        closings = self.state.closing_by_machine.values()
        return here + coming + sum((c.pool == pool) - (c.source == pool) for c in closings)

    def view(self, pool):
        now = self.clock.now
        executors = []
        running = waiting = urgent = 0
        for name, steps in self.running.items():
            if self.pool_of[name] != pool:
                continue
            used = len(steps) * STEP_CPU
            running += used
            up = name not in self.dark
            executor = self.machines[name].executor
            executors.append(
                ExecutorView(executor, MACHINE_CPU, used, len(steps), 0, up, False, name)
            )
        waiting = len(self.waiting[pool]) * STEP_CPU
        urgent = running + waiting if pool in self.urgent else 0
        recent = [job for job in self.arrivals[pool] if now - job.arrived < ARRIVAL_WINDOW_S]
        self.arrivals[pool] = recent
        arriving = 0
        if recent:
            mean = sum(sum(job.steps_s) for job in recent) / len(recent) * STEP_CPU
            arriving = int(mean * (len(recent) - len(recent) ** 0.5) / ARRIVAL_WINDOW_S)
        return PoolView(
            pool,
            0,
            running,
            waiting,
            executors,
            arriving_cpu=arriving,
            urgent_cpu=urgent,
            job_span_s=MEAN_STEPS * STEP_S,
        )

    def result(self):
        done, late = sum(self.done.values()), sum(self.late.values())
        by_pool = {
            pool: self.done[pool] / max(self.done[pool] + self.late[pool], 1) for pool in self.pools
        }
        return Result(done / max(done + late, 1), by_pool, self.idle_s, self.moves_made)


SIZES = {"quotes": 44, "cuts": 40, "stairs": 36, "rates": 30, STANDBY: 36}
LULL = 1.5


def rises(spans, lull=LULL, growth_s=0.0):
    """Return rates with rises as (pool, begin, end, machines), and a lull otherwise.

    :param growth_s: how long a rise takes to its full rate.
    """

    def rate(pool, at):
        for risen, begin, end, machines in spans:
            if risen == pool and begin <= at < end:
                share = min((at - begin) / growth_s, 1.0) if growth_s else 1.0
                return max(lull, machines * share)
        return lull

    return rate


def alternating(gap_s, machines, seconds):
    """Return rates of pools that rise in turn, with hardly any work between."""
    pools = ("quotes", "rates", "cuts", "stairs")
    begins = [5 + gap_s * number for number in range(len(machines))]
    return rises(
        [
            (pools[number % len(pools)], begin, begin + seconds, count)
            for number, (begin, count) in enumerate(zip(begins, machines, strict=True))
        ],
        lull=1.0,
    )


LOADS = {
    "two rises together of 150 machines": (
        rises([("quotes", 6, 14, 90), ("cuts", 6.5, 14, 60)]),
        18,
    ),
    "a second rise while one has taken most": (
        rises([("quotes", 6, 16, 150), ("cuts", 10, 16, 80)]),
        20,
    ),
    "two rises that grow for 2 s": (
        rises([("quotes", 6, 14, 90), ("cuts", 6.5, 14, 60)], growth_s=2.0),
        18,
    ),
    "two rises beyond the fleet": (rises([("quotes", 6, 14, 160), ("cuts", 7, 14, 90)]), 18),
    "a lull of 20 s": (rises([], 2.5), 20),
    "a first rise to five times the mean": (rises([("quotes", 10, 16, 15)], 3.0), 20),
    "a first rise to fifty machines": (rises([("quotes", 10, 16, 50)]), 20),
    "rises one after another": (
        rises(
            [
                (p, 6 + 6 * n, 9 + 6 * n, 60)
                for n, p in enumerate(["quotes", "cuts", "stairs", "rates"])
            ]
        ),
        32,
    ),
    "small pools beyond the fleet": (
        rises([("rates", 6, 14, 110), ("stairs", 6.5, 14, 80)]),
        18,
    ),
    "pools in turn without a pause": (alternating(4, (90, 85, 90, 80, 90, 85), 4.0), 32),
    "two pools at a time, in turn": (alternating(3, (90, 70, 85, 70, 90, 70), 5.0), 32),
    "rises of one pool every 4 s": (rises([("quotes", b, b + 2, 50) for b in (6, 10, 14, 18)]), 24),
}


def play(load, sharing, **kwargs):
    """Play a load under a rule."""
    rates, seconds = LOADS[load]
    fleet = Play(SIZES, rates, sharing, **kwargs)
    fleet.advance(seconds)
    return fleet.result()
