"""Decides which machines move between the pools and standby as the pools' demand changes."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from itertools import zip_longest
from typing import NamedTuple

import msgspec

from . import load_metrics, metrics
from .codecs import decode_msgpack
from .demand_rises import DemandRises, Rise
from .events import EventLog
from .fleet_orders import VIEW_VALID_S
from .fleet_states import Away, Closing, FleetState, OrderTimes, executor_in
from .load_features import Feature, LoadFeatures
from .policies import WHOLE, Mechanism, Policy
from .pool_demands import Balance, Forecast, PoolDemand, Traffic
from .pool_uses import PoolTally
from .pool_views import ExecutorView, PoolView
from .room_loads import RoomLoads
from .room_observations import DEMANDS_KEY
from .room_sharing import Sharing, share
from .shard_logs import ShardLog
from .timers import Clock
from .workloads import Configuration, Machine

# Time that a machine brought for a rise needs in addition to the move itself: to be found, listed
# and leased.
LEAD_MARGIN_S = 0.9
# An expected rise may begin this much late before the machines brought for it are released.
RISE_TOLERANCE_S = 1.0
# Other pools lend to a pool once it has been short for this long. Single large jobs make a pool
# short for less.
LENDING_DELAY_S = 0.4
# A machine that isn't back this long after it should be isn't coming, as when its rack has failed.
# The list of machines lags by about a second and is read twice a second.
OVERDUE_S = 1.5
LEARNED_KEY = "learned"


class Learned(NamedTuple):
    """What is stored of the pools' demand: first sizes, rises and peaks in machines."""

    first_sizes: dict[str, int] = {}
    rises: list[Rise] = []
    peaks: dict[str, float] = {}


class Assignment(NamedTuple):
    """A pool, and a machine that it gets."""

    service: str
    machine: Machine


class FleetMoves:
    """Moves machines to the pools that need them.

    :param state: the known state of the fleet.
    :param log: the log of the fleet's shard, which stores what was learned of the demand.
    :param times: the expected durations of orders.
    :param order_idle: orders the move of a machine of a standby pool to another pool.
    :param clock: the clocks to read.
    :param events: the process's event log.
    :param policy: the mechanisms that are enabled.
    :param features: the decisions for hard load that take part; by default none.
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
        features: LoadFeatures | None = None,
    ) -> None:
        self.log = log
        self._state = state
        self._times = times
        self._order_idle = order_idle
        self._clock = clock
        self._events = events
        self._policy = policy
        self._features = features or LoadFeatures()
        self._loads = RoomLoads(move_s=times.move_s)
        self._demands_by_service: dict[str, PoolDemand] = {}
        self._tallies_by_service: dict[str, PoolTally] = {}
        # Pools that lack machines, and since when, in monotonic seconds.
        self._short_since: dict[str, float] = {}
        self._rises = DemandRises()
        self._learned = Learned()

    def restore(self, raw: bytes) -> None:
        """Restore what a former owner of the shard had learned."""
        self._learned = decode_msgpack(raw, Learned)
        self._rises.seen = list(self._learned.rises)
        self._rises.peak_by_service = dict(self._learned.peaks)

    def restore_demands(self, raw: bytes) -> None:
        """Restore the pools' demand of the last second of a former owner of the shard."""
        self._loads.observations.restore(raw)

    def close(self) -> None:
        """Withdraw the published sizes, as another owner shows them from now on."""
        metrics.pool_machines.clear()

    def note_sizes(self, machines: Iterable[Machine]) -> None:
        """Record the pools' sizes before any machine was moved."""
        if not self._learned.first_sizes:
            sizes = Counter(machine.pool for machine in machines)
            self._learned = self._learned._replace(first_sizes=dict(sizes))
            self._store_learned()

    def note(self, service: str, view: PoolView, now: float) -> None:
        """Update a pool's demand from a view of the pool.

        :param now: monotonic seconds.
        """
        if not self._learned.first_sizes:
            return
        demand = self._demands_by_service.get(service)
        if demand is None:
            first_size = self._learned.first_sizes.get(service, 0)
            demand = PoolDemand(first_size=first_size, policy=self._policy)
            self._demands_by_service[service] = demand
        demand.note(view, now)
        view = self._sized(view)
        if self._has_sharing:
            self._loads.observations.of(service).note(view, demand, now)
        # Lasting tasks arrive once and stay. When their arrival was counted as a rise, pools
        # forecast the next rise from it, and released 31 of 40 machines 7 s before the real one.
        machines = demand.batch_machines(view)
        if self._rises.note(service, machines, self._clock.wall(), given=demand.first_size):
            self._store_learned()

    def needs_all_machines(self, service: str) -> bool:
        """Return whether a pool has no machine to spare now."""
        return service in self._short_since or self._rises.is_risen(service)

    def demand(self, service: str) -> float:
        """Return a pool's demand in machines, 0 if it isn't known."""
        demand = self._demands_by_service.get(service)
        view = self._state.views_by_service.get(service)
        if demand is None or view is None:
            return 0.0
        return demand.machines(self._sized(view))

    def plan(self, configuration: Configuration, due: set[str]) -> None:
        """Move machines to pools that lack some, and release those that aren't needed.

        :param due: machines that a wave will take.
        """
        now = self._clock.monotonic()
        standby = [s.name for s in configuration.services_by_name.values() if s.standby]
        if not standby:
            return
        if self._has_sharing:
            self._share(standby, due, now)
            return
        missing: dict[str, int] = {}
        desired: dict[str, int] = {}
        surplus: list[Machine] = []
        lendable_by_service: dict[str, list[Machine]] = {}
        for service, view in self._state.views_by_service.items():
            fresh = now - self._state.viewed_at_by_service[service] <= VIEW_VALID_S
            if not fresh or service not in self._demands_by_service:
                continue
            balance = self._balance(service, view, now)
            if balance.missing:
                missing[service] = balance.missing
            elif balance.desired:
                desired[service] = balance.desired
            elif balance.spare or balance.lendable:
                count = balance.spare + balance.lendable
                machines = self._spare_machines(service, view, count, due, now)
                surplus.extend(machines[: balance.spare])
                lendable_by_service[service] = machines[balance.spare :]
        idle = self._idle_machines(standby, due, now)
        self._short_since = {s: self._short_since.get(s, now) for s in missing}
        for service, machine in _round_robin(missing, idle):
            self._order_idle(machine, service)
        for service, machine in _round_robin(missing, surplus):
            self._state.close(machine, pool=service)
        # Pools that stay short also get machines that others only keep for their next rise.
        borrowers = {
            s: count
            for s, count in missing.items()
            if now - self._short_since[s] >= LENDING_DELAY_S
        }
        if not self._policy.has(Mechanism.LENDING):
            borrowers = {}
        for service, machine in _round_robin(borrowers, _interleave(lendable_by_service.values())):
            self._state.close(machine, pool=service)
        for service, machine in _round_robin(desired, idle):
            self._order_idle(machine, service)
        for service, machine in _round_robin(desired, surplus):
            self._state.close(machine, pool=service)
        for machine in surplus:
            self._state.close(machine, pool=standby[0])

    @property
    def _has_sharing(self) -> bool:
        return self._features.has(Feature.ROOM_SHARING)

    def _share(self, standby: list[str], due: set[str], now: float) -> None:
        """Move machines to the pools where one more is of the greatest utility.

        :param standby: the names of the standby pools.
        :param due: machines that a wave will take.
        :param now: monotonic seconds.
        """
        idle = self._idle_machines(standby, due, now)
        givable_by_service: dict[str, list[Machine]] = {}
        for service, view in self._state.views_by_service.items():
            demand = self._demands_by_service.get(service)
            fresh = now - self._state.viewed_at_by_service[service] <= VIEW_VALID_S
            if demand is None or not fresh:
                continue
            traffic = self._traffic(service, now)
            forecast = self._forecast(service)
            self._note_use(service, view, forecast, traffic, now)
            machines = self._spare_machines(service, view, len(view.executors), due, now)
            machines = self._without_last_labelled(service, machines)
            givable_by_service[service] = machines
            self._loads.note(
                self._sized(view),
                demand,
                forecast,
                traffic,
                givable=len(machines),
                now=now,
            )
        loads = self._loads.loads(
            idle=len(idle), rises=self._rises, first_sizes=self._learned.first_sizes, now=now
        )
        self._short_since = self._loads.short_since
        sharing = share(loads, idle=len(idle), move_s=self._times.move_s)
        for source, target, count in sharing.transfers:
            machines = idle if source is None else givable_by_service[source]
            chosen, machines[:count] = machines[:count], []
            for machine in chosen:
                if source is None and target is not None:
                    self._order_idle(machine, target)
                else:
                    self._state.close(machine, pool=target or standby[0])
        self._note_sharing(sharing)
        stored = self._loads.observations.to_store(now)
        if stored is not None:
            self.log.put(DEMANDS_KEY, stored)

    def _without_last_labelled(self, service: str, machines: list[Machine]) -> list[Machine]:
        """Leave a pool one machine of each label that steps may require.

        A view doesn't tell what steps require. Without such a machine they would wait although
        their pool has enough machines. The last label of a machine is its rack.
        """
        counts = Counter(
            label
            for machine in self._state.machines_by_id.values()
            if machine.pool == service and machine.machine not in self._state.closing_by_machine
            for label in machine.labels[:-1]
        )
        chosen = []
        for machine in machines:
            if all(counts[label] > 1 for label in machine.labels[:-1]):
                counts.subtract(machine.labels[:-1])
                chosen.append(machine)
        return chosen

    def _sized(self, view: PoolView) -> PoolView:
        """Return a view from which the size of a machine can be computed.

        While a pool has no executor, a demand of one machine would count as tens of thousands, and
        the pool would claim the whole fleet.
        """
        if not self._has_sharing or any(e.capacity_cpu for e in view.executors):
            return view
        sizes = [machine.capacity.cpu for machine in self._state.machines_by_id.values()]
        if not sum(sizes):
            return view
        absent = ExecutorView("", sum(sizes) // len(sizes), 0, 0, 0, False, False)
        return view._replace(executors=[*view.executors, absent])

    def _note_sharing(self, sharing: Sharing) -> None:
        """Log the pools whose size isn't the wanted one or changes, and report all sizes."""
        for service, pool in sharing.shares_by_service.items():
            load_metrics.set_machines(pool=service, wanted=pool.wanted, had=pool.had)
            if pool.wanted == pool.had == pool.assigned:
                continue
            view = self._state.views_by_service.get(service)
            self._events.note(
                "pool.balance",
                service=service,
                demand_machines=self.demand(service),
                executors=len(view.executors) if view is not None else 0,
                wanted=pool.wanted,
                had=pool.had,
                assigned=pool.assigned,
                missing=max(pool.wanted - pool.assigned, 0),
                utility=round(pool.utility, 3),
                risen=self._rises.is_risen(service),
                arriving_cpu=view.arriving_cpu if view is not None else 0,
            )

    def _idle_machines(self, standby: list[str], due: set[str], now: float) -> list[Machine]:
        """Return the machines of standby pools that can be ordered, those of a wave last."""
        idle = [
            machine
            for name, machine in sorted(self._state.machines_by_id.items())
            if machine.pool in standby and self._state.can_close(name, now)
        ]
        idle.sort(key=lambda machine: machine.machine in due)
        return idle

    def _traffic(self, service: str, now: float) -> Traffic:
        ordered = [
            away
            for name, away in self._state.incoming_machines(service).items()
            if name not in self._state.closing_by_machine and not self._is_overdue(away, now)
        ]
        returning = sum(1 for away in ordered if away.wave is not None)
        closings = [
            closing
            for closing in self._state.closing_by_machine.values()
            if not self._is_silent(closing)
        ]
        coming = len(ordered) + sum(1 for closing in closings if closing.pool == service)
        leaving = sum(1 for closing in closings if closing.source == service)
        return Traffic(coming, returning, leaving)

    def _forecast(self, service: str) -> Forecast:
        wall = self._clock.wall()
        next_at = self._rises.next_at(service, len(self._state.views_by_service), wall)
        return Forecast(
            has_risen=self._rises.has_risen(service), rise_due=self._is_rise_due(next_at, wall)
        )

    def _note_use(
        self, service: str, view: PoolView, forecast: Forecast, traffic: Traffic, now: float
    ) -> None:
        tally = self._tallies_by_service.setdefault(service, PoolTally())
        use = tally.note(view, forecast, coming=traffic.coming, leaving=traffic.leaving, now=now)
        if use is not None:
            self._events.note("pool.use", service=service, **use._asdict())

    def _balance(self, service: str, view: PoolView, now: float) -> Balance:
        traffic = self._traffic(service, now)
        coming, returning, leaving = traffic
        wall = self._clock.wall()
        next_at = self._rises.next_at(service, len(self._state.views_by_service), wall)
        forecast = self._forecast(service)
        demand = self._demands_by_service[service]
        balance = demand.balance(
            view, forecast, coming=coming, returning=returning, leaving=leaving
        )
        load_metrics.set_machines(
            pool=service, wanted=demand.machines(view), had=len(view.executors)
        )
        self._note_use(service, view, forecast, traffic, now)
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
                liked=balance.desired,
                lendable=balance.lendable,
                next_rise_s=next_at - wall if next_at is not None else None,
                risen=self._rises.is_risen(service),
                arriving_cpu=view.arriving_cpu,
            )
        return balance

    def _is_overdue(self, away: Away, now: float) -> bool:
        """Whether a machine that was ordered to a pool has got lost on its way."""
        return self._features.has(Feature.RACKS) and now > away.back_at + OVERDUE_S

    def _is_silent(self, closing: Closing) -> bool:
        """Whether the executor of a machine that is being emptied is silent.

        Such a machine can't be ordered to the pool that waits for it, and its own pool doesn't
        count it any more.
        """
        view = self._state.views_by_service.get(closing.source)
        if view is None or not self._features.has(Feature.RACKS):
            return False
        executor = executor_in(view, closing.executor)
        return executor is not None and not executor.up_to_date

    def _is_rise_due(self, next_at: float | None, wall: float) -> bool:
        """Return whether a machine brought now would arrive about when the next rise begins."""
        if next_at is None or not self._policy.has(Mechanism.FORESIGHT):
            return False
        lead_s = self._times.move_s + LEAD_MARGIN_S
        return abs(next_at - lead_s / 2 - wall) <= lead_s / 2 + RISE_TOLERANCE_S

    def _spare_machines(
        self, service: str, view: PoolView, count: int, due: set[str], now: float
    ) -> list[Machine]:
        """Return machines without lasting tasks, the least busy first.

        :param count: return at most this many.
        :param due: machines that a wave will take; among equally busy ones they come first.
        :param now: monotonic seconds.
        """
        executors = {e.executor: e for e in view.executors}
        machines = [
            machine
            for name, machine in self._state.machines_by_id.items()
            if machine.pool == service
            and machine.executor in executors
            and self._state.can_close(name, now)
            and not executors[machine.executor].lasting_runs
            and (executors[machine.executor].up_to_date or not self._features.has(Feature.RACKS))
        ]
        machines.sort(
            key=lambda machine: (
                executors[machine.executor].used_cpu,
                machine.machine not in due,
            )
        )
        return machines[:count]

    def _store_learned(self) -> None:
        """Store what was learned, as a successor would have to see all rises again without it."""
        learned = Learned(self._learned.first_sizes, self._rises.seen, self._rises.peak_by_service)
        self.log.put(LEARNED_KEY, msgspec.msgpack.encode(learned))


def _interleave(groups: Iterable[list[Machine]]) -> list[Machine]:
    """Return the machines of all pools, one a pool in turn, so that lending is spread evenly."""
    rounds = zip_longest(*groups)
    return [machine for round_ in rounds for machine in round_ if machine is not None]


def _round_robin(count_by_service: dict[str, int], machines: list[Machine]) -> Iterator[Assignment]:
    """Assign machines to pools in turn, so that pools that rise together share what is free.

    Both arguments are changed: what was assigned is removed from them.

    :param count_by_service: how many machines each pool is to get.
    :param machines: the free machines, those to assign first at the front.
    """
    while count_by_service and machines:
        for service in list(count_by_service):
            if not machines:
                return
            yield Assignment(service, machines.pop(0))
            count_by_service[service] -= 1
            if not count_by_service[service]:
                del count_by_service[service]
