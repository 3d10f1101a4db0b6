"""Orders to machines: each is recorded, then sent until its outcome is known."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from . import cancellations, metrics
from .events import EventLog
from .fleet_states import Away, Closing, FleetState, OrderTimes
from .ports import Done, Fenced, Machines, NoAnswer, NotInWave, Order, Refused, Throttled
from .shard_logs import ShardLog
from .tickets import Ticket
from .timers import Clock
from .workloads import Machine

RECENT_KEY = "recent"
# The pause before an order that got no answer, or was one too many, is sent again.
RETRY_S = 0.2
# A pool's word that an executor is empty holds for so long.
VIEW_VALID_S = 0.5
# How long the record of an order may take. A store that is slow, and not away, answers by then; the
# record itself proves that this daemon still owns the fleet. A machine with an executor needs its
# pool's word anew then: in a rise while each append took 0.6 s, no machine moved at all.
RECORD_TIMEOUT_S = 3.0
# A machine is back this long after its move or maintenance should have ended, or is looked for in
# the list of machines.
RETURN_SLACK_S = 0.3
REOPEN_PAUSE_S = 1.0
# How long a leaving owner waits for its last record; without it the successor counts from an
# earlier one, and leaves machines alone for longer.
HAND_OVER_S = 0.3
# A successor orders a machine that its predecessor may have ordered after the platform's bound
# between two holders, and this.
TAKEOVER_SLACK_S = 0.3


class RecentOrder(NamedTuple):
    """An order that was sent lately, or is about to be.

    ``age_s`` tells how long ago it was sent at the least: daemons' clocks may differ, and the time
    between the record and its reader isn't counted.
    """

    machine: str
    executor: str
    pool: str
    wave: int | None
    age_s: float = 0.0


class FleetOrders:
    """Sends one owner's orders, and knows those of its predecessor.

    Two holders must not order one machine within a few seconds. Each order is on record before it
    is sent, so a successor leaves just those machines alone, and goes on with all others at once.
    With a wait for all machines instead, each takeover cost 3.4 s of moves and maintenance.

    :param state: the fleet as it is known.
    :param log: the fleet's shard, for the record.
    :param machines: sends the orders.
    :param host: this daemon's host, the holder that orders name.
    :param times: what orders take.
    :param on_done: told of a machine that was ordered away, with what for.
    :param on_maintained: told of a wave's number and its machine that has been ordered down.
    :param clock: the clocks to read.
    :param events: the process's log.
    """

    def __init__(
        self,
        *,
        state: FleetState,
        log: ShardLog,
        machines: Machines,
        host: str,
        times: OrderTimes,
        on_ordered_away: Callable[[str, Closing], None],
        on_maintained: Callable[[int, str], None],
        clock: Clock,
        events: EventLog,
    ) -> None:
        # Whether a later owner orders machines about, or this one has to stop doing so.
        self.stopped = False
        self._state = state
        self._log = log
        self._machines = machines
        self._host = host
        self._times = times
        self._on_ordered_away = on_ordered_away
        self._on_maintained = on_maintained
        self._clock = clock
        self._events = events
        self._recent_by_machine: dict[str, RecentOrder] = {}
        self._sent_at_by_machine: dict[str, float] = {}

    async def hand_over(self) -> None:
        """Send no more orders, and tell the successor how old the sent ones are.

        When all daemons are rolled, the fleet changes hands every second or two. Counted from each
        takeover, the time for which a machine is left alone was never over, and no machine moved
        for 8 s while a pool rose to ten times its size.
        """
        self.stopped = True
        if self._recent_by_machine:
            ticket = self._store_recent()
            await asyncio.wait([ticket.outcome], timeout=HAND_OVER_S)

    def restore(self, raw: bytes) -> None:
        """Take in what a former owner may have ordered just before this one took over."""
        now = self._clock.monotonic()
        for row in msgspec.msgpack.decode(raw, type=list[RecentOrder]):
            self._recent_by_machine[row.machine] = row
            sent_at = self._sent_at_by_machine[row.machine] = now - row.age_s
            self._state.not_before_by_machine[row.machine] = sent_at + self.holder_gap_s
            # Counted as away: it may be, for a wave that allows only so many.
            self._state.away_by_machine[row.machine] = self._make_away(row, sent_at)

    def send(self, name: str, closing: Closing) -> None:
        """Order a machine away on which nothing runs."""
        row = RecentOrder(name, closing.executor, closing.pool or closing.source, closing.wave)
        # From here on, as it may be carried out although its answer is lost.
        self._state.away_by_machine[name] = self._make_away(row, self._clock.monotonic())
        task = asyncio.create_task(self._carry_out(row, closing))
        self._state.orders_by_machine[name] = task
        task.add_done_callback(lambda _: self._on_order_task_done(name, closing, task))

    def _on_order_task_done(self, name: str, closing: Closing, task: asyncio.Task[None]) -> None:
        self._state.orders_by_machine.pop(name, None)
        failure = cancellations.failure_of(task)
        if failure is None:
            return
        if not closing.executor:
            # One that is being emptied is ordered again with the pool's next word; no pool has a
            # word for this one, and closing for good it would be planned for nothing any more. The
            # order may have been carried out, so it counts as away until it should be back.
            self._state.closing_by_machine.pop(name, None)
            self._state.not_before_by_machine[name] = self._clock.monotonic() + REOPEN_PAUSE_S
        self._events.note(
            "machine.order_failed",
            vital=True,
            machine=name,
            executor=closing.executor,
            wave=closing.wave,
            why=repr(failure),
        )

    def send_idle(
        self, machine: Machine, *, wave: int | None = None, pool: str | None = None
    ) -> None:
        """Order a machine of a standby pool, on which nothing can run."""
        closing = Closing(machine.executor, machine.pool, self._clock.monotonic(), wave, pool)
        self._state.closing_by_machine[machine.machine] = closing
        self.send(machine.machine, closing)

    @property
    def holder_gap_s(self) -> float:
        """How long a machine is left alone after an order of another owner, in seconds."""
        return self._times.lease_s + TAKEOVER_SLACK_S

    def _make_away(self, row: RecentOrder, now: float) -> Away:
        duration_s = self._times.move_s if row.wave is None else self._times.maintenance_s
        return Away(row.executor, row.pool, now + duration_s + RETURN_SLACK_S, row.wave)

    async def _carry_out(self, row: RecentOrder, closing: Closing) -> None:
        """Order a machine away until the outcome is known; orders are idempotent."""
        name = row.machine
        if why := await self._record_order(row, closing):
            self._reopen(name, why)
            return
        while not self.stopped:
            now = self._clock.monotonic()
            self._sent_at_by_machine[name] = now
            self._state.away_by_machine[name] = self._make_away(row, now)
            outcome = await self._send(name, closing)
            self._log_outcome(name, closing, outcome)
            if not isinstance(outcome, NoAnswer | Throttled):
                self._apply_outcome(name, closing, outcome)
                return
            await self._clock.sleep(RETRY_S)

    async def _record_order(self, row: RecentOrder, closing: Closing) -> str:
        """Keep an order for a successor; why it mustn't be sent, empty if it may be."""
        self._recent_by_machine[row.machine] = row
        self._sent_at_by_machine[row.machine] = self._clock.monotonic()
        ticket = self._store_recent()
        await asyncio.wait([ticket.outcome], timeout=VIEW_VALID_S)
        if ticket.durable:
            return ""
        await asyncio.wait([ticket.outcome], timeout=RECORD_TIMEOUT_S - VIEW_VALID_S)
        if not ticket.durable:
            return "the order couldn't be recorded"
        viewed_since = self._clock.monotonic() - VIEW_VALID_S
        if row.executor and not self._state.is_empty(closing, viewed_since):
            return "not known to be empty any more"
        return ""

    def _store_recent(self) -> Ticket:
        now = self._clock.monotonic()
        rows = []
        for name, row in list(self._recent_by_machine.items()):
            # One under way may be sent again after this record.
            age_s = (
                0.0
                if name in self._state.orders_by_machine
                else now - self._sent_at_by_machine[name]
            )
            # Twice the bound: a successor may not find the machine back in the list before.
            if age_s > 2 * self.holder_gap_s:
                del self._sent_at_by_machine[name], self._recent_by_machine[name]
                continue
            rows.append(row._replace(age_s=age_s))
        return self._log.put(RECENT_KEY, msgspec.msgpack.encode(rows))

    async def _send(self, name: str, closing: Closing) -> Order:
        fence = self._log.epoch
        if closing.wave is not None:
            return await self._machines.maintain(
                machine=name, wave=closing.wave, holder=self._host, fence=fence
            )
        assert closing.pool is not None
        return await self._machines.move(
            machine=name, pool=closing.pool, holder=self._host, fence=fence
        )

    def _log_outcome(self, name: str, closing: Closing, outcome: Order) -> None:
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
            fence=self._log.epoch,
            outcome=type(outcome).__name__,
            why=getattr(outcome, "detail", None),
        )

    def _apply_outcome(
        self, name: str, closing: Closing, outcome: Done | Fenced | Refused | NotInWave
    ) -> None:
        if isinstance(outcome, Fenced):
            # Another owner orders machines about by now; to go on would contradict it.
            self._state.closing_by_machine.pop(name, None)
            self.stopped = True
            return
        if isinstance(outcome, Refused | NotInWave):
            self._reopen(name, getattr(outcome, "detail", "not of the wave"))
            if isinstance(outcome, NotInWave) and closing.wave is not None:
                self._on_maintained(closing.wave, name)
            return
        self._state.closing_by_machine.pop(name, None)
        self._on_ordered_away(name, closing)
        if closing.wave is not None:
            self._on_maintained(closing.wave, name)

    def _reopen(self, name: str, why: str) -> None:
        """Let a machine serve on that wasn't ordered away."""
        self._state.closing_by_machine.pop(name, None)
        self._state.away_by_machine.pop(name, None)
        self._state.not_before_by_machine[name] = self._clock.monotonic() + REOPEN_PAUSE_S
        self._events.note("machine.reopen", machine=name, why=why)
