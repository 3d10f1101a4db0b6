"""Orders to machines: each is recorded, then sent until its outcome is known."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from . import cancellations, metrics
from .codecs import decode_msgpack
from .events import EventLog
from .fleet_states import Away, Closing, FleetState, OrderTimes
from .ports import Done, Fenced, Machines, NoAnswer, NotInWave, Order, Refused, Throttled
from .shard_logs import ShardLog
from .tickets import Ticket
from .timers import Clock
from .workloads import Machine

RECENT_KEY = "recent"
# Pause before resending an order that got no answer or was throttled.
RETRY_S = 0.2
# How long a pool's view is valid, with its report that an executor is empty.
VIEW_VALID_S = 0.5
# How long recording an order may take. A store that is slow but available answers within this time,
# and the record proves that this daemon still owns the fleet. If it takes longer than a view is
# valid, a machine with an executor needs a newer view of its pool. While orders had to be recorded
# within VIEW_VALID_S, no machine moved during a rise in demand in which each append took 0.6 s.
RECORD_TIMEOUT_S = 3.0
# Added to the duration of a move or maintenance. After that the machine should be back, and is
# looked up in the list of machines.
RETURN_SLACK_S = 0.3
# A machine that was reopened is not closed again for this long.
REOPEN_PAUSE_S = 1.0
# How long a leaving owner waits for its last record. Without it, the successor computes the age of
# orders from an earlier record, and holds back orders to their machines for longer.
HAND_OVER_S = 0.3
# Added to the platform's minimum time between orders of two holders to one machine, before a
# successor orders a machine that its predecessor may have ordered.
TAKEOVER_SLACK_S = 0.3


class RecentOrder(NamedTuple):
    """An order that was sent recently, or is about to be sent.

    ``age_s`` is the least time since it was sent, in seconds: daemons' clocks may differ, so the
    time between writing and reading the record isn't counted.
    """

    machine: str
    executor: str
    pool: str
    wave: int | None
    age_s: float = 0.0


class FleetOrders:
    """Sends the orders of one owner, and restores the recent ones of its predecessor.

    Two holders must not order the same machine within a few seconds. Each order is recorded before
    it is sent, so that a successor holds back orders to these machines only, and can order all
    others at once. When successors waited before they ordered any machine, each takeover delayed
    moves and maintenance by 3.4 s.

    :param state: the fleet as its owner knows it.
    :param log: the log of the fleet's shard, where orders are recorded.
    :param machines: sends the orders.
    :param host: this daemon's host, named as the holder in orders.
    :param times: how long orders take.
    :param on_ordered_away: called with a machine that was ordered away, and its closing.
    :param on_maintained: called with a wave's number and a machine that the wave is done with.
    :param clock: the clocks to read.
    :param events: the process's event log.
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
        # Set when a later owner sends orders, or this one hands over.
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
        """Stop sending orders, and record the age of the recent ones for the successor.

        When all daemons are restarted in turn, the owner of the fleet changes every second or two.
        When each successor held back orders for a fixed time from its takeover, that time never
        ended: no machine moved for 8 s while a pool's demand rose to ten times its level.
        """
        self.stopped = True
        if self._recent_by_machine:
            ticket = self._store_recent()
            await asyncio.wait([ticket.outcome], timeout=HAND_OVER_S)

    def restore(self, raw: bytes) -> None:
        """Restore the orders that a former owner may have sent just before the takeover."""
        now = self._clock.monotonic()
        for row in decode_msgpack(raw, list[RecentOrder]):
            self._recent_by_machine[row.machine] = row
            sent_at = self._sent_at_by_machine[row.machine] = now - row.age_s
            self._state.not_before_by_machine[row.machine] = sent_at + self.holder_gap_s
            # The machine may be away, so it counts against the limit of its wave.
            self._state.away_by_machine[row.machine] = self._make_away(row, sent_at)

    def send(self, name: str, closing: Closing) -> None:
        """Record and send an order for a machine on which nothing runs."""
        row = RecentOrder(name, closing.executor, closing.pool or closing.source, closing.wave)
        # Away from now on, as the order may be carried out although its answer is lost.
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
            # A machine with an executor is ordered again once its pool's next view shows it empty.
            # No pool reports on this one; if it stayed closing, it would never be used again. The
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
        """Order a machine of a standby pool, on which nothing can run.

        :param wave: the number of the wave that maintains it, if any.
        :param pool: the pool that gets it, if any.
        """
        closing = Closing(machine.executor, machine.pool, self._clock.monotonic(), wave, pool)
        self._state.closing_by_machine[machine.machine] = closing
        self.send(machine.machine, closing)

    @property
    def holder_gap_s(self) -> float:
        """Seconds after another owner's order before this one may order the machine."""
        return self._times.lease_s + TAKEOVER_SLACK_S

    def _make_away(self, row: RecentOrder, now: float) -> Away:
        duration_s = self._times.move_s if row.wave is None else self._times.maintenance_s
        return Away(row.executor, row.pool, now + duration_s + RETURN_SLACK_S, row.wave)

    async def _carry_out(self, row: RecentOrder, closing: Closing) -> None:
        """Record an order, and send it until its outcome is known; orders are idempotent."""
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
        """Record an order for a successor.

        :return: why the order must not be sent, empty if it may be sent.
        """
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
            # An order under way may be sent again after this record.
            age_s = (
                0.0
                if name in self._state.orders_by_machine
                else now - self._sent_at_by_machine[name]
            )
            # Kept for twice the gap, as a successor may not find the machine back in the list
            # earlier.
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
            # Another owner sends orders by now, and further ones of this owner would contradict it.
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
        """Reopen a machine that wasn't ordered away."""
        self._state.closing_by_machine.pop(name, None)
        self._state.away_by_machine.pop(name, None)
        self._state.not_before_by_machine[name] = self._clock.monotonic() + REOPEN_PAUSE_S
        self._events.note("machine.reopen", machine=name, why=why)
