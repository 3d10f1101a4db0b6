"""The fleet's owner: moves machines between pools as demand turns, and carries out maintenance."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

import msgspec

from . import metrics
from .boards import OperatorBoard
from .events import EventLog
from .pool_demands import Balance, Forecast, PoolDemand
from .pool_views import ExecutorView, PoolRequest, PoolView
from .ports import Boards, Done, Entries, Fenced, Machines, NoAnswer, Refused, Store
from .shard_logs import ShardLog
from .timers import Clock
from .turns import Turn, Turns
from .workloads import Configuration, Machine, Service, Wave

# How often pools are asked and decisions taken. Demand turns within a second or two; a round is a
# call a pool.
ROUND_S = 0.2
# How often machines are listed; orders that were carried out show in it.
LIST_S = 0.5
# A pool's word that an executor is empty holds for so long.
WORD_S = 0.5
# A takeover waits for as long as the platform asks between the orders of two holders, and this.
TAKEOVER_SLACK_S = 0.3
# A machine is back this long after its move or maintenance should have ended, or is looked for in
# the list of machines.
BACK_SLACK_S = 0.3
# A closed machine that can't be emptied in this time is opened again, as another may be easier.
CLOSING_S = 6.0
REOPEN_PAUSE_S = 1.0
# The share of a pool's machines that may be closed for maintenance at once while it has work.
CLOSED_SHARE = 0.34
# Beside the move itself, a machine that is brought for a rise needs this long to be found, listed
# and held.
LEAD_SLACK_S = 0.9
# A rise that is expected may come this much late before its machines are let go again.
RISE_SLACK_S = 1.0
# A machine is let go before an expected rise if it would idle for longer than two moves cost: at
# 0.094 a second and 0.11 a move that is 2.4 s.
WORTH_S = 2.4
# The list of machines is up to a second or so behind; an executor that is missing from it for this
# long is no machine's present life.
ABSENT_S = 2.5
# For how long owners of pools are told of an ended life; it covers two takeovers in a row.
TELL_S = 20.0
# Emptying a machine takes about a lasting task's way to work on another, for each that it has.
EMPTYING_S = 3.0
# A wave takes machines from pools that need them once the time left is less than this many times
# what its rounds take.
HURRY = 1.7
WAVE_KEY = "w/"
LEARNED_KEY = "learned"
UP = "up"


class Closing(NamedTuple):
    """A machine that is being emptied, and for what; ``wave`` or ``pool`` is set."""

    executor: str
    source: str
    since: float
    wave: int | None
    pool: str | None


class Away(NamedTuple):
    """A machine that was ordered away: the executor that it had, and when it should be back."""

    executor: str
    pool: str
    back_at: float
    wave: int | None


class EndedLife(NamedTuple):
    """The pool of an executor whose life has ended, and since when that is known."""

    pool: str
    at: float


class Learned(NamedTuple):
    """What is kept of the pools' demand: their first sizes, rises and highest demands."""

    given: dict[str, int] = {}
    seen: list[Turn] = []
    peaks: dict[str, float] = {}


class Times(NamedTuple):
    """What orders take on this deployment, in seconds."""

    move_s: float
    maintenance_s: float
    lease_s: float


AskPool = Callable[[PoolRequest], Awaitable[PoolView | None]]


class FleetManager:
    """Owns the fleet's shard: the only one that orders machines about.

    :param shard: the fleet's shard.
    :param epoch: its ownership; the fencing token of orders.
    :param host: this daemon's host, the holder that orders name.
    :param store: the durable log.
    :param boards: where the operator reads how far a wave is.
    :param machines: orders to machines.
    :param operator: the configuration and the waves.
    :param ask: asks the owner of a pool.
    :param settled: whether nobody else can own the shard.
    :param times: what orders take.
    :param clock: the clocks to read.
    :param events: the process's log.
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
        times: Times,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.ended = asyncio.Event()
        self.machines_by_id: dict[str, Machine] = {}
        self.views_by_service: dict[str, PoolView] = {}
        self.closing_by_machine: dict[str, Closing] = {}
        self.away_by_machine: dict[str, Away] = {}
        self.done_by_wave: dict[int, set[str]] = {}
        self.log = ShardLog(store=store, shard=shard, epoch=epoch, clock=clock, events=events)
        self._epoch = epoch
        self._host = host
        self._store = store
        self._boards = boards
        self._machines = machines
        self._operator = operator
        self._ask = ask
        self._settled = settled
        self._times = times
        self._clock = clock
        self._events = events
        self._shard = shard
        self._listed_at = float("-inf")
        self._viewed_at_by_service: dict[str, float] = {}
        self._demands_by_service: dict[str, PoolDemand] = {}
        self._not_before_by_machine: dict[str, float] = {}
        # When each wave was first seen, in seconds since the epoch.
        self._known_at_by_wave: dict[int, float] = {}
        self._short: set[str] = set()
        self._told_by_wave: dict[int, bool] = {}
        self._orders: dict[str, asyncio.Task[None]] = {}
        self._may_order_at = float("inf")
        self._absent_since: dict[str, float] = {}
        self._turns = Turns()
        self._learned = Learned()
        # Executors whose lives have ended. Pools are told for some time, as their owners change.
        self._gone: dict[str, EndedLife] = {}
        self._fenced = False

    async def run(self) -> None:
        """Take the shard over, and order machines about until fenced off or cancelled."""
        writing: asyncio.Task[None] | None = None
        try:
            if not await self.log.open() or not await self._load():
                return
            writing = asyncio.create_task(self.log.run())
            # Orders for one machine by two holders within this time would contradict each other.
            self._may_order_at = self._clock.monotonic() + self._times.lease_s + TAKEOVER_SLACK_S
            while not self._fenced and not self.log.fenced:
                await self._round()
                await self._clock.sleep(ROUND_S)
        finally:
            self.ended.set()
            self.log.close()
            for task in (*self._orders.values(), writing):
                if task is not None:
                    task.cancel()

    async def hand_over(self) -> None:
        """Send no more orders."""
        self._may_order_at = float("inf")

    async def _load(self) -> bool:
        while True:
            entries = await self._store.newest(shard=self._shard)
            if isinstance(entries, Entries):
                break
            await self._clock.sleep(ROUND_S)
        learned = entries.values_by_key.get(LEARNED_KEY)
        if learned:
            self._learned = msgspec.msgpack.decode(learned, type=Learned)
            self._turns.seen = list(self._learned.seen)
            self._turns.peak_by_service = dict(self._learned.peaks)
        for key, value in entries.values_by_key.items():
            if key.startswith(WAVE_KEY) and value:
                number = int(key.removeprefix(WAVE_KEY))
                known_at, done = msgspec.msgpack.decode(value)
                self._known_at_by_wave[number] = known_at
                self.done_by_wave[number] = set(done)
        return True

    async def _round(self) -> None:
        configuration = self._operator.configuration
        if configuration is None or not self._settled():
            return
        if self._clock.monotonic() - self._listed_at >= LIST_S:
            await self._list()
        await self._look_at_pools(configuration)
        self._note_returns()
        self._note_ended_lives()
        if self._clock.monotonic() < self._may_order_at:
            return
        self._drop_stale_closings()
        self._carry_out_closed()
        self._plan_moves(configuration)
        self._plan_waves(configuration)
        await self._tell_waves()

    # What is known.

    async def _list(self) -> None:
        outcome = await self._machines.machines()
        if isinstance(outcome, Refused | NoAnswer):
            self._events.note("machines.unlisted", why=outcome.detail)
            return
        self._listed_at = self._clock.monotonic()
        self.machines_by_id = {machine.machine: machine for machine in outcome}
        if not self._learned.given:
            sizes = Counter(machine.pool for machine in outcome)
            self._learned = self._learned._replace(given=dict(sizes))
            self._store_learned()

    async def _look_at_pools(self, configuration: Configuration) -> None:
        services = [s for s in configuration.services_by_name.values() if not s.standby]
        await asyncio.gather(*(self._look_at(service) for service in services))

    async def _look_at(self, service: Service) -> None:
        closing = [c.executor for c in self.closing_by_machine.values()]
        gone = [e for e, end in self._gone.items() if end.pool == service.name]
        request = PoolRequest(service.name, closing, self._planned(), gone)
        view = await self._ask(request)
        if view is None or not self._learned.given:
            return
        now = self._clock.monotonic()
        self.views_by_service[service.name] = view
        self._viewed_at_by_service[service.name] = now
        demand = self._demands_by_service.get(service.name)
        if demand is None:
            demand = PoolDemand(given=self._learned.given.get(service.name, 0))
            self._demands_by_service[service.name] = demand
        demand.note(view, now)
        if self._turns.note(service.name, demand.machines(view), self._clock.wall()):
            self._store_learned()

    def _store_learned(self) -> None:
        """Keep what was learned of demand; a successor would have to see all rises again."""
        learned = Learned(self._learned.given, self._turns.seen, self._turns.peak_by_service)
        self.log.put(LEARNED_KEY, msgspec.msgpack.encode(learned))

    def _planned(self) -> list[str]:
        """Executors of machines that a wave will take away."""
        executors = []
        for wave in self._open_waves():
            for name in self._remaining(wave):
                machine = self.machines_by_id.get(name)
                if machine is not None and machine.executor:
                    executors.append(machine.executor)
        return executors

    def _note_returns(self) -> None:
        now = self._clock.monotonic()
        for name, away in list(self.away_by_machine.items()):
            machine = self.machines_by_id.get(name)
            listed_since = self._listed_at > away.back_at
            if now < away.back_at or not listed_since:
                continue
            if machine is None or _is_back(machine, away):
                del self.away_by_machine[name]

    def _note_ended_lives(self) -> None:
        """Find executors that pools still wait for, and that are no machine's life any more.

        An owner that takes a pool over starts nothing that may run on an executor that it can't
        reach, until all leases have lapsed; the list of machines tells sooner that it is gone.
        """
        now = self._clock.monotonic()
        listed = {machine.executor for machine in self.machines_by_id.values()}
        unsettled = {
            executor.executor: service
            for service, view in self.views_by_service.items()
            for executor in view.executors
            if not executor.settled
        }
        for executor in list(self._absent_since):
            if executor in listed or executor not in unsettled:
                del self._absent_since[executor]
        for executor, service in unsettled.items():
            if executor in listed:
                continue
            since = self._absent_since.setdefault(executor, now)
            if now - since > ABSENT_S and self._listed_at > since + ABSENT_S / 2:
                self._end_life(executor, service)
        for executor, end in list(self._gone.items()):
            if now - end.at > TELL_S:
                del self._gone[executor]

    def _end_life(self, executor: str, pool: str) -> None:
        if executor not in self._gone:
            self._gone[executor] = EndedLife(pool, self._clock.monotonic())

    # Closing and ordering.

    def _close(self, machine: Machine, *, wave: int | None = None, pool: str | None = None) -> None:
        self.closing_by_machine[machine.machine] = Closing(
            machine.executor, machine.pool, self._clock.monotonic(), wave, pool
        )
        self._events.note(
            "machine.close",
            machine=machine.machine,
            executor=machine.executor,
            pool=machine.pool,
            wave=wave,
            to=pool,
        )

    def _drop_stale_closings(self) -> None:
        now = self._clock.monotonic()
        for name, closing in list(self.closing_by_machine.items()):
            machine = self.machines_by_id.get(name)
            gone = machine is None or machine.executor != closing.executor
            late = now - closing.since > CLOSING_S and closing.wave is None
            if name in self._orders or not (gone or late):
                continue
            del self.closing_by_machine[name]
            self._not_before_by_machine[name] = now + REOPEN_PAUSE_S
            self._events.note(
                "machine.reopen", machine=name, why="gone" if gone else "not empty in time"
            )

    def _carry_out_closed(self) -> None:
        now = self._clock.monotonic()
        for name, closing in list(self.closing_by_machine.items()):
            if name in self._orders:
                continue
            viewed_at = self._viewed_at_by_service.get(closing.source, float("-inf"))
            if viewed_at <= closing.since or now - viewed_at > WORD_S:
                continue
            view = _executor(self.views_by_service[closing.source], closing.executor)
            if view is None or not view.settled or view.short_runs or view.lasting_runs:
                continue
            if closing.wave is not None and not self._may_go_down(closing.wave):
                continue
            self._order(name, closing)

    def _order(self, name: str, closing: Closing) -> None:
        # From here on, as it may be carried out although its answer is lost.
        self._note_away(name, closing)
        task = asyncio.create_task(self._carry_out(name, closing))
        self._orders[name] = task
        task.add_done_callback(lambda _: self._orders.pop(name, None))

    async def _carry_out(self, name: str, closing: Closing) -> None:
        """Order a machine away until the outcome is known; orders are idempotent."""
        while not self._fenced:
            self._note_away(name, closing)
            outcome = await self._send(name, closing)
            kind = "move" if closing.wave is None else "maintain"
            metrics.machine_orders.add(1, {"kind": kind, "outcome": type(outcome).__name__})
            self._events.note(
                "machine.ordered",
                vital=not isinstance(outcome, Done),
                machine=name,
                executor=closing.executor,
                pool=closing.source,
                wave=closing.wave,
                to=closing.pool,
                fence=self._epoch,
                outcome=type(outcome).__name__,
                why=getattr(outcome, "detail", None),
            )
            if isinstance(outcome, NoAnswer) or (
                isinstance(outcome, Refused) and outcome.detail.startswith("429")
            ):
                await self._clock.sleep(ROUND_S)
                continue
            self._ordered(name, closing, outcome)
            return

    def _note_away(self, name: str, closing: Closing) -> None:
        takes_s = self._times.move_s if closing.wave is None else self._times.maintenance_s
        self.away_by_machine[name] = Away(
            closing.executor,
            closing.pool or closing.source,
            self._clock.monotonic() + takes_s + BACK_SLACK_S,
            closing.wave,
        )

    async def _send(self, name: str, closing: Closing) -> Done | Fenced | Refused | NoAnswer:
        if closing.wave is not None:
            return await self._machines.maintain(
                machine=name, wave=closing.wave, holder=self._host, fence=self._epoch
            )
        assert closing.pool is not None
        return await self._machines.move(
            machine=name, pool=closing.pool, holder=self._host, fence=self._epoch
        )

    def _ordered(self, name: str, closing: Closing, outcome: Done | Fenced | Refused) -> None:
        self.closing_by_machine.pop(name, None)
        if isinstance(outcome, Fenced):
            # Another owner orders machines about by now; to go on would contradict it.
            self._fenced = True
            return
        if isinstance(outcome, Refused):
            self.away_by_machine.pop(name, None)
            self._not_before_by_machine[name] = self._clock.monotonic() + REOPEN_PAUSE_S
            if outcome.detail.endswith("wave") and closing.wave is not None:
                self._note_done(closing.wave, name)
            return
        if closing.executor:
            self._end_life(closing.executor, closing.source)
        if closing.wave is not None:
            self._note_done(closing.wave, name)

    # Waves.

    def _open_waves(self) -> Iterable[Wave]:
        return [
            wave
            for _, wave in sorted(self._operator.waves_by_number.items())
            if self._remaining(wave)
        ]

    def _remaining(self, wave: Wave) -> list[str]:
        done = self.done_by_wave.get(wave.number, set())
        return [name for name in wave.machines if name not in done]

    def _note_done(self, number: int, name: str) -> None:
        self.done_by_wave.setdefault(number, set()).add(name)
        self._store_wave(number)

    def _store_wave(self, number: int) -> None:
        done = sorted(self.done_by_wave.get(number, ()))
        known_at = self._known_at_by_wave.get(number, self._clock.wall())
        self.log.put(f"{WAVE_KEY}{number}", msgspec.msgpack.encode((known_at, done)))

    def _plan_waves(self, configuration: Configuration) -> None:
        now = self._clock.monotonic()
        for wave in self._open_waves():
            if wave.number not in self._known_at_by_wave:
                self._known_at_by_wave[wave.number] = self._clock.wall()
                self._store_wave(wave.number)
            hurried = self._is_hurried(wave)
            candidates = [
                self.machines_by_id[name]
                for name in self._remaining(wave)
                if self._free_to_close(name, now)
            ]
            candidates.sort(key=lambda machine: self._wave_order(machine, configuration))
            for machine in candidates:
                if self._is_standby(machine.pool, configuration):
                    if self._may_go_down(wave.number):
                        self._order_idle(machine, wave=wave.number)
                elif self._has_turn(machine, wave) and self._may_close(machine, hurried):
                    self._close(machine, wave=wave.number)

    def _has_turn(self, machine: Machine, wave: Wave) -> bool:
        # Lasting tasks move one after another, which takes longer than all the rest: their machines
        # are emptied ahead, and go down once they are empty and the wave has a place.
        if self._hosts_lasting(machine):
            return True
        return self._closing_for(wave.number) < wave.at_once - self._down_for(wave.number)

    def _may_go_down(self, number: int) -> bool:
        return self._down_for(number) < self._operator.waves_by_number[number].at_once

    def _down_for(self, number: int) -> int:
        """How many machines are away for a wave, or were ordered so and may be."""
        return sum(1 for away in self.away_by_machine.values() if away.wave == number)

    def _closing_for(self, number: int) -> int:
        """How many machines without lasting tasks are being emptied for a wave."""
        return sum(
            1
            for name, closing in self.closing_by_machine.items()
            if closing.wave == number
            and name not in self._orders
            and name in self.machines_by_id
            and not self._hosts_lasting(self.machines_by_id[name])
        )

    def _hosts_lasting(self, machine: Machine) -> bool:
        view = self.views_by_service.get(machine.pool)
        executor = _executor(view, machine.executor) if view else None
        return executor is not None and executor.lasting_runs > 0

    def _is_hurried(self, wave: Wave) -> bool:
        """Whether a wave would be late if it waited for pools that have no machine to spare."""
        rounds = -(-len(self._remaining(wave)) // max(wave.at_once, 1))
        needed_s = rounds * (self._times.maintenance_s + EMPTYING_S)
        left_s = self._known_at_by_wave[wave.number] + wave.finish_by_s - self._clock.wall()
        return left_s < needed_s * HURRY

    def _free_to_close(self, name: str, now: float) -> bool:
        machine = self.machines_by_id.get(name)
        return (
            machine is not None
            and machine.state == UP
            and name not in self.closing_by_machine
            and name not in self.away_by_machine
            and name not in self._orders
            and now >= self._not_before_by_machine.get(name, 0.0)
        )

    def _wave_order(self, machine: Machine, configuration: Configuration) -> tuple[int, int, int]:
        if self._is_standby(machine.pool, configuration):
            return 0, 0, 0
        view = self.views_by_service.get(machine.pool)
        executor = _executor(view, machine.executor) if view else None
        if view is None or executor is None:
            return 2, 0, 0
        return 1, executor.lasting_runs, view.waiting_cpu + executor.used_cpu

    def _may_close(self, machine: Machine, hurried: bool) -> bool:
        view = self.views_by_service.get(machine.pool)
        if view is None or _executor(view, machine.executor) is None:
            return False
        if not hurried and (machine.pool in self._short or self._turns.is_risen(machine.pool)):
            return False
        closing = [c for c in self.closing_by_machine.values() if c.source == machine.pool]
        lasting = {e.executor for e in view.executors if e.lasting_runs}
        hosts = sum(1 for c in closing if c.executor in lasting)
        if machine.executor in lasting and hosts and not hurried:
            # Lasting tasks move one at a time, and into what their pool has left.
            return False
        closed = len(closing)
        closed += sum(1 for a in self.away_by_machine.values() if a.pool == machine.pool)
        size = len(view.executors)
        idle = size - closed - 1 > self._demands_by_service[machine.pool].machines(view)
        return idle or closed < max(1, int(size * CLOSED_SHARE))

    async def _tell_waves(self) -> None:
        for wave in list(self._operator.waves_by_number.values()):
            completed = not self._remaining(wave) and not any(
                away.wave == wave.number for away in self.away_by_machine.values()
            )
            if self._told_by_wave.get(wave.number) is completed:
                continue
            if completed and not self.log.durable:
                continue
            outcome = await self._boards.write_status(wave=wave.number, completed=completed)
            if isinstance(outcome, Refused | NoAnswer):
                continue
            self._told_by_wave[wave.number] = completed
            self._events.note(
                "wave.told",
                vital=True,
                wave=wave.number,
                completed=completed,
                left=len(self._remaining(wave)),
            )

    # Moves.

    def _plan_moves(self, configuration: Configuration) -> None:
        now = self._clock.monotonic()
        standby = [s.name for s in configuration.services_by_name.values() if s.standby]
        if not standby:
            return
        short: dict[str, int] = {}
        liked: dict[str, int] = {}
        surplus: list[Machine] = []
        for service, view in self.views_by_service.items():
            if now - self._viewed_at_by_service[service] > WORD_S:
                continue
            balance = self._balance(service, view, now)
            if balance.missing:
                short[service] = balance.missing
            elif balance.liked:
                liked[service] = balance.liked
            elif balance.spare:
                surplus.extend(self._spare_machines(service, view, balance.spare, now))
        idle = [
            machine
            for name, machine in sorted(self.machines_by_id.items())
            if machine.pool in standby and self._free_to_close(name, now)
        ]
        self._short = set(short)
        due = {name for wave in self._open_waves() for name in self._remaining(wave)}
        idle.sort(key=lambda machine: machine.machine not in due)
        # One machine a pool in turn, so that two that rise together share what there is.
        while short and (idle or surplus):
            for service in list(short):
                if idle:
                    self._order_idle(idle.pop(), pool=service)
                elif surplus:
                    self._close(surplus.pop(0), pool=service)
                short[service] -= 1
                if not short[service]:
                    del short[service]
        for service, count in liked.items():
            for _ in range(min(count, len(idle))):
                self._order_idle(idle.pop(), pool=service)
        for machine in surplus:
            self._close(machine, pool=standby[0])

    def _balance(self, service: str, view: PoolView, now: float) -> Balance:
        ordered = [
            away
            for name, away in self.away_by_machine.items()
            if away.pool == service and name not in self.closing_by_machine
        ]
        closings = self.closing_by_machine.values()
        coming = len(ordered) + sum(1 for closing in closings if closing.pool == service)
        leaving = sum(1 for closing in closings if closing.source == service)
        wall = self._clock.wall()
        next_at = self._turns.next_at(service, len(self.views_by_service), wall)
        quiet = soon = False
        if next_at is not None and not self._turns.is_risen(service):
            # Brought so early, a machine is there when the rise begins.
            lead_s = self._times.move_s + LEAD_SLACK_S
            soon = abs(next_at - lead_s / 2 - wall) <= lead_s / 2 + RISE_SLACK_S
            quiet = next_at - lead_s - wall > WORTH_S
        elif next_at is not None:
            quiet = True
        forecast = Forecast(quiet=quiet, soon=soon)
        demand = self._demands_by_service[service]
        balance = demand.balance(view, forecast, coming=coming, leaving=leaving)
        if balance != Balance(0, 0):
            self._events.note(
                "pool.balance",
                service=service,
                demand_machines=demand.machines(view),
                executors=len(view.executors),
                coming=coming,
                leaving=leaving,
                missing=balance.missing,
                spare=balance.spare,
                liked=balance.liked,
                next_rise_s=next_at - wall if next_at is not None else None,
                risen=self._turns.is_risen(service),
            )
        return balance

    def _take_spare(self, surplus: list[tuple[str, list[Machine]]], service: str) -> None:
        for _, machines in surplus:
            if machines:
                self._close(machines.pop(0), pool=service)
                return

    def _spare_machines(
        self, service: str, view: PoolView, count: int, now: float
    ) -> list[Machine]:
        """The machines that are easiest to do without: without lasting tasks, and idle."""
        executors = {e.executor: e for e in view.executors}
        machines = [
            machine
            for name, machine in self.machines_by_id.items()
            if machine.pool == service
            and machine.executor in executors
            and self._free_to_close(name, now)
            and not executors[machine.executor].lasting_runs
        ]
        due = {name for wave in self._open_waves() for name in self._remaining(wave)}
        machines.sort(
            key=lambda machine: (
                executors[machine.executor].used_cpu,
                machine.machine not in due,
            )
        )
        return machines[:count]

    def _order_idle(
        self, machine: Machine, *, wave: int | None = None, pool: str | None = None
    ) -> None:
        """Order a machine of a standby pool, on which nothing runs."""
        closing = Closing(machine.executor, machine.pool, self._clock.monotonic(), wave, pool)
        self.closing_by_machine[machine.machine] = closing
        self._order(machine.machine, closing)

    def _is_standby(self, pool: str, configuration: Configuration) -> bool:
        service = configuration.services_by_name.get(pool)
        return service is not None and service.standby


def _is_back(machine: Machine, away: Away) -> bool:
    # The list lags behind: one that shows the machine's earlier life is no proof. The machines of
    # a standby pool have no executor in any life.
    another_life = machine.executor != away.executor or not away.executor
    return machine.state == UP and machine.pool == away.pool and another_life


def _executor(view: PoolView, executor: str) -> ExecutorView | None:
    return next((e for e in view.executors if e.executor == executor), None)
