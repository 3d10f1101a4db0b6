"""The owner of the fleet: moves machines between pools as demand changes, and maintains them."""

import asyncio
from collections.abc import Awaitable, Callable

from . import cancellations
from .accounts import AllowanceGranter, Grant
from .boards import OperatorBoard
from .events import EventLog
from .fleet_moves import LEARNED_KEY, FleetMoves
from .fleet_orders import HAND_OVER_S, RECENT_KEY, REOPEN_PAUSE_S, VIEW_VALID_S, FleetOrders
from .fleet_shares import FleetShares
from .fleet_states import UP, Closing, EndedExecutor, FleetState, OrderTimes, has_returned
from .fleet_waves import WAVE_KEY, FleetWaves
from .load_features import Feature, LoadFeatures
from .loop_monitors import work_times
from .policies import WHOLE, Mechanism, Policy
from .pool_views import PoolRequest, PoolView
from .ports import Boards, Machines, NoAnswer, Refused, Store
from .record_limits import RecordLimits
from .room_observations import DEMANDS_KEY
from .shard_logs import ShardLog
from .shard_records import describe_error
from .timers import Clock
from .workloads import Configuration, Service

# Seconds between rounds of queries to pools and decisions. Demand changes within a second or two; a
# round costs one call to each pool.
ROUND_INTERVAL_S = 0.2
# Seconds between lists of machines, which show the orders that were carried out.
LIST_INTERVAL_S = 0.5
# A machine that isn't emptied for a move in this time is reopened, as another may be easier to
# empty.
EMPTYING_TIMEOUT_S = 6.0
# An executor that is missing from the list of machines for this long has ended. The list lags by
# about a second at most.
ABSENCE_TIMEOUT_S = 2.5
# How long owners of pools are told of an ended executor. This covers two takeovers in a row.
ENDED_NOTICE_S = 20.0


AskPool = Callable[[PoolRequest], Awaitable[PoolView | None]]


class FleetManager:
    """Owns the fleet's shard, and is the only one that sends orders to machines.

    :param shard: the number of the fleet's shard.
    :param epoch: the epoch of this ownership, the fencing token of orders.
    :param host: this daemon's host, named as the holder in orders.
    :param store: the durable log.
    :param boards: where the progress of waves is written for the operator.
    :param machines: lists machines, and sends orders to them.
    :param operator: the configuration and the waves.
    :param ask: queries the owner of a pool.
    :param settled: whether no other daemon can own the shard.
    :param times: how long orders take.
    :param clock: the clocks to read.
    :param events: the process's event log.
    :param policy: the mechanisms that are enabled.
    :param features: the decisions for hard load that take part; by default none.
    :param limits: the sizes that the store takes.
    """

    def __init__(
        self,
        *,
        shard: int,
        epoch: int,
        host: str,
        store: Store,
        boards: Boards,
        machines: Machines,
        operator: OperatorBoard,
        ask: AskPool,
        settled: Callable[[], bool],
        times: OrderTimes,
        clock: Clock,
        events: EventLog,
        policy: Policy = WHOLE,
        features: LoadFeatures | None = None,
        limits: RecordLimits | None = None,
    ) -> None:
        self.ended = asyncio.Event()
        self.state = FleetState(clock=clock, events=events)
        self.log = ShardLog(
            store=store, shard=shard, epoch=epoch, clock=clock, events=events, limits=limits
        )
        self._machines = machines
        self._operator = operator
        self._ask = ask
        self._settled = settled
        self._clock = clock
        self._events = events
        self._policy = policy
        self._features = features or LoadFeatures()
        self._loaded = False
        self._listed_at = float("-inf")
        # Monotonic time of the last list without unreadable rows; only such a list shows that a
        # machine is gone.
        self._full_list_at = float("-inf")
        # No orders are sent before this monotonic time. It is set when the former owner's record of
        # its recent orders can't be read, as any machine may have been ordered just before.
        self._orders_blocked_until = float("-inf")
        self._absent_since: dict[str, float] = {}
        # Executors of machines that were ordered away, until the list of machines shows their end.
        self._unconfirmed_ends: dict[str, EndedExecutor] = {}
        # Executors that have ended. Pools are told for some time, as their owners may change.
        self._ended_executors: dict[str, EndedExecutor] = {}
        # Shares the limits of client accounts among the pools.
        self._granter = AllowanceGranter(epoch=epoch)
        self._shares = FleetShares(
            epoch=epoch, state=self.state, features=self._features, clock=clock, events=events
        )
        self.orders = FleetOrders(
            state=self.state,
            log=self.log,
            machines=machines,
            host=host,
            times=times,
            on_ordered_away=self._on_ordered_away,
            on_maintained=self._on_maintained,
            clock=clock,
            events=events,
        )
        self.moves = FleetMoves(
            state=self.state,
            log=self.log,
            times=times,
            order_idle=lambda machine, pool: self.orders.send_idle(machine, pool=pool),
            clock=clock,
            events=events,
            policy=policy,
            features=self._features,
        )
        self.waves = FleetWaves(
            state=self.state,
            log=self.log,
            boards=boards,
            operator=operator,
            times=times,
            has_no_spare=self._has_no_spare,
            demand=self.moves.demand,
            order_idle=lambda machine, wave: self.orders.send_idle(machine, wave=wave),
            clock=clock,
            events=events,
        )

    def _has_no_spare(self, service: str) -> bool:
        return self._policy.has(Mechanism.WAVE_PATIENCE) and self.moves.needs_all_machines(service)

    async def run(self) -> None:
        """Take over the shard, and send orders to machines until fenced off or cancelled."""
        writers: list[asyncio.Task[None]] = []
        try:
            if not await self.log.open():
                return
            await self._load()
            writers = [
                asyncio.create_task(part) for part in (self.log.run(), self.log.run_failover())
            ]
            for task in writers:
                task.add_done_callback(self._on_writer_done)
            while not self.orders.stopped and not self.log.fenced:
                await self._round()
                await self._clock.sleep(ROUND_INTERVAL_S)
        finally:
            self.ended.set()
            self.log.close()
            self._shares.close()
            self.moves.close()
            for task in (*self.state.orders_by_machine.values(), *writers):
                task.cancel()

    def _on_writer_done(self, task: asyncio.Task[None]) -> None:
        failure = cancellations.failure_of(task)
        if failure is not None:
            self._events.note("fleet.failed", vital=True, epoch=self.log.epoch, why=repr(failure))
            # No order is sent without its record, so none would be sent any more. This ends the
            # ownership; the next one begins with new tasks.
            self.log.close()

    async def hand_over(self) -> None:
        """Stop sending orders, and record the recent ones for the successor."""
        if not self._loaded:
            return
        ticket = self.log.put_owner(closed=True)
        recorded = asyncio.wait([ticket.outcome], timeout=HAND_OVER_S)
        await asyncio.gather(self.orders.hand_over(), recorded)

    async def _load(self) -> None:
        values = await self.log.read()
        self.log.put_owner(closed=False)
        self._loaded = True
        for key, value in values.items():
            if not value:
                continue
            try:
                self._restore(key, value)
            except Exception as exc:
                # Pools' demand is learned again, and a repeated order for maintenance is answered
                # as done.
                self._events.note("record.invalid", vital=True, why=describe_error(key, exc))
                if key == RECENT_KEY:
                    self._orders_blocked_until = self._clock.monotonic() + self.orders.holder_gap_s

    def _restore(self, key: str, value: bytes) -> None:
        if key == LEARNED_KEY:
            self.moves.restore(value)
        elif key == DEMANDS_KEY:
            self.moves.restore_demands(value)
        elif key == RECENT_KEY:
            self.orders.restore(value)
        elif key.startswith(WAVE_KEY):
            self.waves.restore(int(key.removeprefix(WAVE_KEY)), value)

    async def _round(self) -> None:
        configuration = self._operator.configuration
        if configuration is None or not self._settled():
            return
        if self._clock.monotonic() < self._orders_blocked_until:
            return
        if self._clock.monotonic() - self._listed_at >= LIST_INTERVAL_S:
            await self._list_machines()
        await self._query_pools(configuration)
        with work_times.measure("fleet"):
            self._remove_returned()
            self._find_ended_executors()
            if self.orders.stopped:
                return
            self._drop_stale_closings()
            self._order_empty_machines()
            self.moves.plan(configuration, self._machines_due())
            self.waves.plan(configuration)
        await self.waves.report_progress()

    # State of machines and pools.

    async def _list_machines(self) -> None:
        outcome = await self._machines.machines()
        if isinstance(outcome, Refused | NoAnswer):
            self._events.note("machines.unlisted", why=outcome.detail)
            return
        self._listed_at = self._clock.monotonic()
        by_id = {machine.machine: machine for machine in outcome.machines}
        if outcome.invalid:
            # A machine whose row can't be read still exists. If it were taken for gone, its
            # executor would be given up, and its tasks started a second time.
            by_id = {**self.state.machines_by_id, **by_id}
            self._events.note(
                "machine.invalid", vital=True, count=len(outcome.invalid), why=outcome.invalid[0]
            )
        else:
            self._full_list_at = self._listed_at
        self.state.machines_by_id = by_id
        self.moves.note_sizes(by_id.values())

    async def _query_pools(self, configuration: Configuration) -> None:
        services = [s for s in configuration.services_by_name.values() if not s.standby]
        grants = self._plan_grants(configuration, services)
        self._shares.plan(configuration)
        await asyncio.gather(*(self._query_pool(s, grants.get(s.name)) for s in services))

    def _plan_grants(
        self, configuration: Configuration, services: list[Service]
    ) -> dict[str, Grant]:
        if configuration.accounts is None:
            return {}
        limited = [a for a in configuration.accounts.by_name.values() if a.is_limited]
        return self._granter.plan([service.name for service in services], limited)

    async def _query_pool(self, service: Service, grant: Grant | None) -> None:
        closing = self._executors_closing()
        gone = [e for e, end in self._ended_executors.items() if end.pool == service.name]
        incoming = 0
        if self._features.has(Feature.ADMISSION) and service.name in self.state.views_by_service:
            incoming = len(self.state.incoming_machines(service.name))
        request = PoolRequest(
            service.name, closing, self._executors_due(), gone, grant, incoming=incoming
        )
        request = self._shares.add_to(request)
        if grant is not None:
            self._granter.note_sent(service.name, grant)
        view = await self._ask(request)
        if view is None:
            return
        if grant is not None:
            self._granter.note(service.name, view.uses_by_account)
        now = self._clock.monotonic()
        self._shares.note(view, now)
        self.state.views_by_service[service.name] = view
        self.state.viewed_at_by_service[service.name] = now
        self.moves.note(service.name, view, now)

    def _executors_closing(self) -> list[str]:
        """The executors that are to be emptied, and those of machines that were ordered away.

        Opened again once the order is answered, until the list of machines shows their end, they
        got starts that ended with broken connections and counted as crashes.
        """
        ends = (self._unconfirmed_ends | self._ended_executors).items()
        closing = [c.executor for c in self.state.closing_by_machine.values()]
        return list(dict.fromkeys(closing + [executor for executor, end in ends if end.machine]))

    def _machines_due(self) -> set[str]:
        """The machines that have yet to be maintained by a wave."""
        return {name for wave in self.waves.open_waves() for name in self.waves.remaining(wave)}

    def _executors_due(self) -> list[str]:
        """The executors of the machines that have yet to be maintained by a wave."""
        machines = [self.state.machines_by_id.get(name) for name in self._machines_due()]
        return [machine.executor for machine in machines if machine and machine.executor]

    def _remove_returned(self) -> None:
        now = self._clock.monotonic()
        for name, away in list(self.state.away_by_machine.items()):
            machine = self.state.machines_by_id.get(name)
            listed_since = self._listed_at > away.back_at
            if now < away.back_at or not listed_since:
                continue
            # A machine that is still up long after the order never went away: the order had been
            # carried out before, or a former owner died after recording the order and before
            # sending it. If it counted as away for good, its wave could maintain one machine less
            # at a time.
            stayed = (
                machine is not None
                and machine.state == UP
                and now > away.back_at + ABSENCE_TIMEOUT_S
            )
            if machine is None or stayed or has_returned(machine, away):
                del self.state.away_by_machine[name]

    def _find_ended_executors(self) -> None:
        """Find executors that pools still wait for, and that no machine runs any more.

        After a takeover, a pool's new owner doesn't start tasks that may run on an executor that it
        can't reach until all leases have lapsed. The list of machines shows earlier that such an
        executor has ended.
        """
        now = self._clock.monotonic()
        listed = {machine.executor for machine in self.state.machines_by_id.values()}
        self._confirm_ends(listed, now)
        unsettled = {
            executor.executor: service
            for service, view in self.state.views_by_service.items()
            for executor in view.executors
            if not executor.up_to_date
        }
        for executor in list(self._absent_since):
            if executor in listed or executor not in unsettled:
                del self._absent_since[executor]
        for executor, service in unsettled.items():
            if executor in listed:
                continue
            since = self._absent_since.setdefault(executor, now)
            if (
                now - since > ABSENCE_TIMEOUT_S
                and self._full_list_at > since + ABSENCE_TIMEOUT_S / 2
            ):
                self._mark_ended(executor, service)
        for executor, end in list(self._ended_executors.items()):
            # Where executors state when they started, one may start again under the same id.
            has_restarted = (
                self._features.starts_stated and executor in listed and self._full_list_at > end.at
            )
            if has_restarted or now - end.at > ENDED_NOTICE_S:
                del self._ended_executors[executor]

    def _confirm_ends(self, listed: set[str], now: float) -> None:
        """Mark executors of ordered machines as ended once they aren't listed any more.

        An order that was already carried out for a former owner is answered as done, and ends
        nothing. If it counted as an end, the tasks of an executor that still works would be started
        again elsewhere, and the executor would never be used again.

        :param listed: the executors in the list of machines.
        :param now: monotonic time.
        """
        for executor, order in list(self._unconfirmed_ends.items()):
            if self._full_list_at <= order.at:
                continue
            if executor not in listed:
                del self._unconfirmed_ends[executor]
                self._mark_ended(executor, order.pool, order.machine)
            elif now - order.at > ABSENCE_TIMEOUT_S:
                del self._unconfirmed_ends[executor]
                self.state.away_by_machine.pop(order.machine, None)
                self._events.note(
                    "machine.untouched", vital=True, machine=order.machine, executor=executor
                )

    def _mark_ended(self, executor: str, pool: str, machine: str = "") -> None:
        """Tell the pools that an executor has ended.

        :param machine: its machine if that was ordered away.
        """
        if executor not in self._ended_executors:
            self._ended_executors[executor] = EndedExecutor(pool, self._clock.monotonic(), machine)

    # Emptying machines and sending orders.

    def _drop_stale_closings(self) -> None:
        now = self._clock.monotonic()
        for name, closing in list(self.state.closing_by_machine.items()):
            machine = self.state.machines_by_id.get(name)
            gone = machine is None or machine.executor != closing.executor
            late = now - closing.since > EMPTYING_TIMEOUT_S and closing.wave is None
            if name in self.state.orders_by_machine or not (gone or late):
                continue
            del self.state.closing_by_machine[name]
            self.state.not_before_by_machine[name] = now + REOPEN_PAUSE_S
            self._events.note(
                "machine.reopen", machine=name, why="gone" if gone else "not empty in time"
            )

    def _order_empty_machines(self) -> None:
        now = self._clock.monotonic()
        for name, closing in list(self.state.closing_by_machine.items()):
            if name in self.state.orders_by_machine:
                continue
            if not self.state.is_empty(closing, now - VIEW_VALID_S):
                continue
            if closing.wave is not None and not self.waves.may_go_down(closing.wave):
                continue
            self.orders.send(name, closing)

    def _on_maintained(self, wave: int, name: str) -> None:
        self.waves.mark_maintained(wave, name)

    def _on_ordered_away(self, name: str, closing: Closing) -> None:
        if closing.executor:
            self._unconfirmed_ends[closing.executor] = EndedExecutor(
                closing.source, self._clock.monotonic(), name
            )
