"""Moves of machines between pools and standby, as the pools' demand turns."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from itertools import zip_longest
from typing import NamedTuple

import msgspec

from .events import EventLog
from .fleet_orders import VIEW_VALID_S
from .fleet_states import FleetState, OrderTimes
from .policies import WHOLE, Mechanism, Policy
from .pool_demands import Balance, Forecast, PoolDemand
from .pool_uses import PoolTally
from .pool_views import PoolView
from .shard_logs import ShardLog
from .timers import Clock
from .turns import Turn, Turns
from .workloads import Configuration, Machine

# Beside the move itself, a machine that is brought for a rise needs this long to be found, listed
# and held.
LEAD_SLACK_S = 0.9
# A rise that is expected may come this much late before its machines are let go again.
RISE_SLACK_S = 1.0
# Pools lend to one that has been short for this long. Single large jobs make a pool short for less.
SHORT_S = 0.4
LEARNED_KEY = "learned"


class Learned(NamedTuple):
    """What is kept of the pools' demand: their first sizes, rises and highest demands."""

    given: dict[str, int] = {}
    seen: list[Turn] = []
    peaks: dict[str, float] = {}


class Assignment(NamedTuple):
    """A pool, and a machine that it gets."""

    service: str
    machine: Machine


class FleetMoves:
    """Moves machines to the pools that need them.

    :param state: the fleet as it is known.
    :param log: the fleet's shard, for what is learned.
    :param times: what orders take.
    :param order_idle: orders a machine of a standby pool to another.
    :param clock: the clocks to read.
    :param events: the process's log.
    :param policy: what takes part.
    """

    def __init__(
        self,
        *,
        state: FleetState,
        log: ShardLog,
        times: OrderTimes,
        order_idle: Callable[[Machine, str], None],
        clock: Clock,
        events: EventLog,
        policy: Policy = WHOLE,
    ) -> None:
        self.log = log
        self._state = state
        self._times = times
        self._order_idle = order_idle
        self._clock = clock
        self._events = events
        self._policy = policy
        self._demands_by_service: dict[str, PoolDemand] = {}
        self._tallies_by_service: dict[str, PoolTally] = {}
        # Pools that lack machines, and since when.
        self._short_since: dict[str, float] = {}
        self._turns = Turns()
        self._learned = Learned()

    def restore(self, raw: bytes) -> None:
        """Take in what a former owner had learned."""
        self._learned = msgspec.msgpack.decode(raw, type=Learned)
        self._turns.seen = list(self._learned.seen)
        self._turns.peak_by_service = dict(self._learned.peaks)

    def note_sizes(self, machines: Iterable[Machine]) -> None:
        """Note the pools' sizes before any machine was moved."""
        if not self._learned.given:
            sizes = Counter(machine.pool for machine in machines)
            self._learned = self._learned._replace(given=dict(sizes))
            self._store_learned()

    def note(self, service: str, view: PoolView, now: float) -> None:
        """Take in a pool's demand.

        :param now: steady seconds.
        """
        if not self._learned.given:
            return
        demand = self._demands_by_service.get(service)
        if demand is None:
            given = self._learned.given.get(service, 0)
            demand = PoolDemand(given=given, policy=self._policy)
            self._demands_by_service[service] = demand
        demand.note(view, now)
        # Lasting tasks come once and stay. Counted as a rise, they had pools foresee the next one
        # from their arrival, and let go of 31 of 40 machines 7 s before the rise that came.
        machines = demand.passing_machines(view)
        if self._turns.note(service, machines, self._clock.wall(), given=demand.given):
            self._store_learned()

    def needs_all(self, service: str) -> bool:
        """Whether a pool has no machine to spare now."""
        return service in self._short_since or self._turns.is_risen(service)

    def demand(self, service: str) -> float:
        """A pool's demand in machines, 0 if it isn't known."""
        demand = self._demands_by_service.get(service)
        view = self._state.views_by_service.get(service)
        return demand.machines(view) if demand is not None and view is not None else 0.0

    def plan(self, configuration: Configuration, due: set[str]) -> None:
        """Bring machines to pools that lack some, and let go what isn't needed.

        :param due: machines that a wave will take.
        """
        now = self._clock.monotonic()
        standby = [s.name for s in configuration.services_by_name.values() if s.standby]
        if not standby:
            return
        short: dict[str, int] = {}
        liked: dict[str, int] = {}
        surplus: list[Machine] = []
        lendable_by_service: dict[str, list[Machine]] = {}
        for service, view in self._state.views_by_service.items():
            fresh = now - self._state.viewed_at_by_service[service] <= VIEW_VALID_S
            if not fresh or service not in self._demands_by_service:
                continue
            balance = self._balance(service, view, now)
            if balance.missing:
                short[service] = balance.missing
            elif balance.liked:
                liked[service] = balance.liked
            elif balance.spare or balance.lendable:
                count = balance.spare + balance.lendable
                machines = self._spare_machines(service, view, count, due, now)
                surplus.extend(machines[: balance.spare])
                lendable_by_service[service] = machines[balance.spare :]
        idle = [
            machine
            for name, machine in sorted(self._state.machines_by_id.items())
            if machine.pool in standby and self._state.can_close(name, now)
        ]
        self._short_since = {s: self._short_since.get(s, now) for s in short}
        idle.sort(key=lambda machine: machine.machine in due)
        for service, machine in _in_turn(short, idle):
            self._order_idle(machine, service)
        for service, machine in _in_turn(short, surplus):
            self._state.close(machine, pool=service)
        # Those that are short for long get what others only keep for their next rise.
        needy = {s: count for s, count in short.items() if now - self._short_since[s] >= SHORT_S}
        if not self._policy.has(Mechanism.LENDING):
            needy = {}
        for service, machine in _in_turn(needy, _alternating(lendable_by_service.values())):
            self._state.close(machine, pool=service)
        for service, machine in _in_turn(liked, idle):
            self._order_idle(machine, service)
        for service, machine in _in_turn(liked, surplus):
            self._state.close(machine, pool=service)
        for machine in surplus:
            self._state.close(machine, pool=standby[0])

    def _balance(self, service: str, view: PoolView, now: float) -> Balance:
        ordered = [
            away
            for name, away in self._state.incoming_machines(service).items()
            if name not in self._state.closing_by_machine
        ]
        returning = sum(1 for away in ordered if away.wave is not None)
        closings = self._state.closing_by_machine.values()
        coming = len(ordered) + sum(1 for closing in closings if closing.pool == service)
        leaving = sum(1 for closing in closings if closing.source == service)
        wall = self._clock.wall()
        next_at = self._turns.next_at(service, len(self._state.views_by_service), wall)
        forecast = Forecast(risen=self._turns.has_risen(service), soon=self._is_near(next_at, wall))
        demand = self._demands_by_service[service]
        balance = demand.balance(
            view, forecast, coming=coming, returning=returning, leaving=leaving
        )
        tally = self._tallies_by_service.setdefault(service, PoolTally())
        use = tally.note(view, forecast, coming=coming, leaving=leaving, now=now)
        if use is not None:
            self._events.note("pool.use", service=service, **use._asdict())
        if balance != Balance(0, 0):
            self._events.note(
                "pool.balance",
                service=service,
                demand_machines=demand.machines(view),
                executors=len(view.executors),
                coming=coming,
                returning=returning,
                leaving=leaving,
                missing=balance.missing,
                spare=balance.spare,
                liked=balance.liked,
                lendable=balance.lendable,
                next_rise_s=next_at - wall if next_at is not None else None,
                risen=self._turns.is_risen(service),
                arriving_cpu=view.arriving_cpu,
            )
        return balance

    def _is_near(self, next_at: float | None, wall: float) -> bool:
        """Whether a machine that is brought now would be there as the next rise begins."""
        if next_at is None or not self._policy.has(Mechanism.FORESIGHT):
            return False
        lead_s = self._times.move_s + LEAD_SLACK_S
        return abs(next_at - lead_s / 2 - wall) <= lead_s / 2 + RISE_SLACK_S

    def _spare_machines(
        self, service: str, view: PoolView, count: int, due: set[str], now: float
    ) -> list[Machine]:
        """The machines that are easiest to do without: without lasting tasks, and idle."""
        executors = {e.executor: e for e in view.executors}
        machines = [
            machine
            for name, machine in self._state.machines_by_id.items()
            if machine.pool == service
            and machine.executor in executors
            and self._state.can_close(name, now)
            and not executors[machine.executor].lasting_runs
        ]
        machines.sort(
            key=lambda machine: (
                executors[machine.executor].used_cpu,
                machine.machine not in due,
            )
        )
        return machines[:count]

    def _store_learned(self) -> None:
        """Keep what was learned of demand; a successor would have to see all rises again."""
        learned = Learned(self._learned.given, self._turns.seen, self._turns.peak_by_service)
        self.log.put(LEARNED_KEY, msgspec.msgpack.encode(learned))


def _alternating(groups: Iterable[list[Machine]]) -> list[Machine]:
    """The machines of pools, one a pool in turn, so that none lends all and another nothing."""
    rounds = zip_longest(*groups)
    return [machine for round_ in rounds for machine in round_ if machine is not None]


def _in_turn(count_by_service: dict[str, int], machines: list[Machine]) -> Iterator[Assignment]:
    """Deal machines out, one a pool in turn, so that pools that rise together share what there is.

    :param count_by_service: how many machines each pool is to get; what was dealt is taken off.
    :param machines: what there is, the first ones first; what was dealt is taken out.
    """
    while count_by_service and machines:
        for service in list(count_by_service):
            if not machines:
                return
            yield Assignment(service, machines.pop(0))
            count_by_service[service] -= 1
            if not count_by_service[service]:
                del count_by_service[service]
