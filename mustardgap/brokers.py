"""Lending between owners: own slots are used at once, others' are borrowed while requests wait.

Who owns a slot is a pure function of the folded state (``ownership.py``). docs/DESIGN-peers.md
tells why the sum over all entry hosts stays within an executor's slots.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from .executors import ExecutorView
from .holdings import Holding, Loan
from .ledgers import masks_of, slot_ids_of
from .lenders import FAIR_WAIT_S, Lender
from .members import Member, Members, MemberState
from .messages import (
    AnyMessage,
    Ask,
    Grant,
    Held,
    Hold,
    Recall,
    Return,
    Settle,
    Settled,
)
from .ownership import Ownership
from .settings import Settings
from .slots import Slot, SlotId, Slots
from .states import State
from .timers import Timers

TICKS_A_LEASE = 6
RECALL_S = 0.1
SETTLE_S = 0.3
ASK_AGAIN_S = 0.2
STALLED_S = 5.0


class HasPeers(Protocol):
    """The streams to the peers."""

    def send(self, member_id: str, message: AnyMessage) -> bool:
        """Queue a message to a member."""

    def handle(self, type_: type, handler: Callable[[Member, Any], Any]) -> None:
        """Have messages of a type handled."""


class Broker:
    """The lending way of sharing slots.

    :param slots: whose requests are served.
    :param members: the members that share.
    :param peers: the streams to them.
    :param settings: the daemon's settings.
    :param timers: the timer service.
    :param state: the folded state, which names the owners.
    :param services: lists the services that there are.
    :param max_hold_s: the longest a request of a service may hold a slot.
    :param may_use: whether this daemon has known since a monotonic time which state is in force.
    """

    def __init__(
        self,
        *,
        slots: Slots,
        members: Members,
        peers: HasPeers,
        settings: Settings,
        timers: Timers,
        state: State,
        services: Callable[[], Iterable[str]],
        max_hold_s: Callable[[str], float],
        may_use: Callable[[float], bool],
    ) -> None:
        self.slots = slots
        self.members = members
        self.peers = peers
        self.settings = settings
        self.clock = timers.clock
        self.state = state
        self.services = services
        self.max_hold_s = max_hold_s
        self.may_use = may_use
        self.lease_s = settings.requests.lease_s
        self.stale_s = settings.platform.stale_after_s
        self.ownership = Ownership(
            state=state,
            host=members.me.host,
            incarnation=lambda: members.me.incarnation,
            clock=self.clock,
        )
        self.lenders_by_service: dict[str, Lender] = {}
        self.holdings: dict[tuple[str, str], Holding] = {}
        self._sources_by_use: dict[int, Holding | None] = {}
        self._uses = 0
        self._asking: set[str] = set()
        self._settled_at = 0.0
        self._waiting: list[tuple[str, Settle]] = []
        self._started = self._usable_at = self._beat = self._awake = self.clock.monotonic()
        members.on_change(self._changed)
        timers.on_gap(self._gap)
        self._handle()

    # What ``Slots`` calls.

    def take(self, service: str, exclude: frozenset[str], deadline: float) -> Slot | None:
        """Take an own slot that is idle, or one that was lent here, while its lease lasts."""
        now = self.clock.monotonic()
        if not self._may_start(now):
            return None
        self._usable_at = now
        until = min(deadline, now + self.max_hold_s(service))
        lender = self.lender(service)
        idle = [(i, view) for i, view in lender.idle() if view.executor not in exclude]
        if idle:
            slot_id, view = random.choice(idle)
            lender.used.add(slot_id)
            return self._use(service, slot_id, view, until, None)
        views = {view.executor: view for view in self.slots.executors.candidates(service)}
        for holding in self._holdings(service):
            if now >= holding.leased_until:
                continue
            for slot_id in holding.idle():
                found = views.get(slot_id.executor)
                if found is None:
                    self._return(holding, [slot_id])
                elif found.executor not in exclude:
                    return self._use(service, slot_id, found, until, holding)
        return None

    def give_back(self, slot: Slot) -> None:
        """Give a slot back; it goes to whoever is more urgent or has waited longer."""
        if slot.lent not in self._sources_by_use:
            return
        holding = self._sources_by_use.pop(slot.lent)
        if holding is None:
            lender = self.lender(slot.service)
            lender.used.discard(slot.id)
            lender.pump()
            return
        loan = holding.loans_by_id.get(slot.id)
        if loan is None or loan.used != slot.lent:
            return
        now = self.clock.monotonic()
        holding.loans_by_id[slot.id] = loan._replace(used=0, since=now)
        if now >= holding.leased_until:
            # The owner may have taken it back by now; the next renewal tells it so.
            del holding.loans_by_id[slot.id]
        elif slot.id in holding.unwanted or self._recalled(holding, now):
            self._return(holding, [slot.id])

    def want(self, service: str) -> None:
        """Ask the owners for as many slots as requests wait, once a turn of the loop."""
        if service not in self._asking:
            self._asking.add(service)
            asyncio.get_running_loop().call_soon(self._ask, service)

    def stalled(self, service: str) -> bool:
        """Whether nothing could be used for so long that waiting is no use."""
        now = self.clock.monotonic()
        if not self._may_start(now):
            return now > max(self._usable_at, self._started) + STALLED_S
        if self.lender(service).ownership.usable:
            return False
        heard = [holding.heard for holding in self._holdings(service)]
        return now > max([self._started, *heard]) + STALLED_S

    def is_settled(self) -> bool:
        """Whether this member has its share, or others who may lend it theirs."""
        if not self._may_start(self.clock.monotonic()):
            return False
        if not self.ownership.is_joined():
            return bool(self.ownership.other_member_ids())
        return not self.ownership.unreported_hosts()

    # The clockwork.

    async def run(self) -> None:
        """Renew leases, settle what came into this host's hands, until cancelled."""
        self._started = self._usable_at = self.clock.monotonic()
        self._look()
        while True:
            self.tick()
            await asyncio.sleep(self.lease_s / TICKS_A_LEASE * random.uniform(0.9, 1.0))

    def tick(self) -> None:
        """Renew every lease, return what has been idle too long, ask for what is pending."""
        now = self.clock.monotonic()
        self._may_start(now)
        self._beat = now
        for service in dict.fromkeys([*self.services(), *self.lenders_by_service]):
            self.lender(service).tick()
            if self.slots.waiting(service):
                self.want(service)
                self.slots.serve(service)
        for key, holding in list(self.holdings.items()):
            m = self.members.by_id.get(holding.owner)
            self._tidy(holding, now)
            if holding.loans_by_id or holding.ask_until > now:
                self._renew(holding)
            elif m is None or m.state is MemberState.dead:
                del self.holdings[key]
        if now - self._settled_at >= SETTLE_S * 0.9:
            self._settle(now)

    def folded(self) -> None:
        """Take in what the log decided on the entry hosts."""
        if self.ownership.refresh():
            self._look()
        self._answer_waiting()

    def restored(self) -> None:
        """Take in a state that was taken over whole."""
        self.ownership.refresh(from_snapshot=True)
        self._look()
        self._answer_waiting()

    def stop_lending(self) -> None:
        """Lend no more and collect what is lent, before this entry host leaves."""
        for lender in self.lenders_by_service.values():
            lender.lends = False
            lender.pump()

    def stop_owning(self) -> None:
        """Start nothing on own slots any more; the record that gives them up is on its way."""
        self.ownership.is_leaving = True

    def is_clear(self) -> bool:
        """Whether this entry host uses, holds and lends nothing."""
        lent = any(lender.busy() for lender in self.lenders_by_service.values())
        return not lent and not any(h.loans_by_id for h in self.holdings.values())

    # Owning.

    def _look(self) -> None:
        self._settle(self.clock.monotonic())
        for service in self.services():
            self.slots.serve(service)

    def _settle(self, now: float) -> None:
        """Ask the other owners what they still use, while something is pending here."""
        own = self.ownership
        if not own.is_joined():
            return
        if not own.unreported_hosts() and not any(
            self.lender(s).pending() for s in self.services()
        ):
            return
        self._settled_at = now
        for member_id in own.other_member_ids():
            self.peers.send(member_id, Settle(own.offset))

    def take_settle(self, sender: Member, message: Settle) -> None:
        """Tell an owner what is in use here, once this daemon has folded as far as it has."""
        if self.state.offset <= message.offset:
            self._waiting.append((sender.id, message))
            return
        busy: set[SlotId] = set()
        for lender in self.lenders_by_service.values():
            busy |= lender.busy()
        age_ms = int(self.ownership.last_unclean_end_age_s() * 1000)
        self.peers.send(sender.id, Settled(self.state.offset, masks_of(busy), age_ms))

    def take_settled(self, sender: Member, message: Settled) -> None:
        """Take in what another owner still uses or lends."""
        if sender.id not in self.ownership.other_member_ids():
            return
        self.ownership.apply_settled(sender.host, message)
        for service in self.services():
            if self.slots.waiting(service):
                self.slots.serve(service)
            self.lender(service).pump()

    def _answer_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for member_id, message in waiting:
            m = self.members.by_id.get(member_id)
            if m is not None:
                self.take_settle(m, message)

    def _may_start(self, now: float) -> bool:
        """Whether this daemon knows that nobody has taken over its share.

        A process that was stopped finds its clocks far on when it wakes. What it knew before says
        nothing; only word that came since does.
        """
        if now - self._beat > self.lease_s:
            self._awake = self._beat = now
        return self.may_use(self._awake)

    # Borrowing.

    def take_grant(self, sender: Member, message: Grant) -> None:
        """Take in slots that were lent, unless they come too late."""
        holding = self._current(sender, message)
        if holding is None or message.number <= holding.number:
            return
        holding.number = message.number
        now = self.clock.monotonic()
        self._lease(holding, message.sent)
        for slot_id in slot_ids_of(message.slots):
            loan = holding.loans_by_id.get(slot_id, Loan(0, 0, now, 0.0))
            holding.loans_by_id[slot_id] = loan._replace(number=message.number)
            holding.unwanted.discard(slot_id)
            holding.asked = max(holding.asked - 1, 0)
        self.slots.serve(holding.service)
        if not self.slots.waiting(holding.service):
            # Several owners may have lent at once what was asked of each.
            self._return(holding, [i for i in slot_ids_of(message.slots) if i in holding.idle()])

    def take_held(self, sender: Member, message: Held) -> None:
        """Take in an owner's answer to a renewal."""
        holding = self._current(sender, message)
        if holding is None:
            return
        if not message.leased:
            holding.start_session()
            self.want(holding.service)
            return
        self._lease(holding, message.sent)
        holding.number = max(holding.number, message.number)
        lost = set(slot_ids_of(message.drop)) & holding.loans_by_id.keys()
        holding.unwanted |= lost
        self._return(holding, [i for i in lost if not holding.loans_by_id[i].used])

    def take_recall(self, sender: Member, message: Recall) -> None:
        """Return what is idle, because others wait."""
        holding = self._current(sender, message)
        if holding is None:
            return
        now = self.clock.monotonic()
        holding.recall = (message.urgency, now - message.waited_ms / 1000)
        holding.recalled_until = now + RECALL_S
        if not self.slots.waiting(holding.service):
            self._return(holding, holding.idle())

    def _lease(self, holding: Holding, sent: int) -> None:
        holding.heard = self.clock.monotonic()
        holding.leased_until = max(holding.leased_until, sent / 1000 + self.lease_s)

    def _renew(self, holding: Holding) -> None:
        hold = Hold(
            holding.service, holding.session, self._now_ms(), holding.number, holding.masks()
        )
        self.peers.send(holding.owner, hold)

    def _tidy(self, holding: Holding, now: float) -> None:
        for slot_id, loan in list(holding.loans_by_id.items()):
            if now >= loan.until if loan.used else now >= holding.leased_until:
                del holding.loans_by_id[slot_id]
        if not self.slots.waiting(holding.service):
            old = now - self.settings.requests.cache_s
            loans = holding.loans_by_id.items()
            self._return(holding, [i for i, loan in loans if not loan.used and loan.since < old])

    def _ask(self, service: str) -> None:
        self._asking.discard(service)
        demand = self.slots.demand(service)
        now = self.clock.monotonic()
        if demand.waiting:
            for owner in self._owners(service):
                self._holding(service, owner)
        self.lender(service).pump()
        for holding in self._holdings(service):
            again = demand.waiting and now > holding.ask_until - self.lease_s + ASK_AGAIN_S
            if demand.waiting == holding.asked and not again:
                continue
            holding.asked = demand.waiting
            holding.ask_sequence += 1
            holding.ask_until = now + self.lease_s
            ask = Ask(
                service,
                holding.session,
                self._now_ms(),
                holding.ask_sequence,
                holding.number,
                demand.waiting,
                demand.urgency,
                int(demand.waited_s * 1000),
                [*demand.exclude],
            )
            self.peers.send(holding.owner, ask)

    def _owners(self, service: str) -> list[str]:
        """The ids of the other owners of a service's slots that are in reach."""
        own, by_id = self.ownership, self.members.by_id
        views = self.slots.executors.candidates(service)
        hosts = {own.owner(SlotId(v.executor, i)) for v in views for i in range(v.slots)}
        ids = [f"{host}@{own.joined[host]:x}" for host in sorted(hosts - {own.host, ""})]
        return [i for i in ids if i in by_id and by_id[i].state is MemberState.live]

    def _recalled(self, holding: Holding, now: float) -> bool:
        """Whether a slot that was just freed is due to another member."""
        if now >= holding.recalled_until:
            return False
        demand = self.slots.demand(holding.service)
        if not demand.waiting:
            return True
        urgency, since = holding.recall
        if urgency != demand.urgency:
            return urgency < demand.urgency
        # A slot on its way to another entry host stands idle, so a small lead isn't worth a trip.
        return demand.waited_s + FAIR_WAIT_S < now - since

    def _return(self, holding: Holding, slot_ids: list[SlotId]) -> None:
        numbered: dict[int, list[SlotId]] = {}
        for slot_id in slot_ids:
            loan = holding.loans_by_id.pop(slot_id)
            holding.unwanted.discard(slot_id)
            numbered.setdefault(loan.number, []).append(slot_id)
        if numbered:
            masks = {number: masks_of(ids) for number, ids in numbered.items()}
            self.peers.send(holding.owner, Return(holding.service, holding.session, masks))

    # Helpers.

    def lender(self, service: str) -> Lender:
        """The owner's side of a service."""
        lender = self.lenders_by_service.get(service)
        if lender is None:
            lender = self.lenders_by_service[service] = Lender(
                service=service,
                ownership=self.ownership,
                clock=self.clock,
                lease_s=self.lease_s,
                stale_s=self.stale_s,
                hold_s=lambda: self.max_hold_s(service),
                candidates=lambda: self.slots.executors.candidates(service),
                demand=lambda: self.slots.demand(service),
                may_use=lambda: self._may_start(self.clock.monotonic()),
                send=self._send,
            )
        return lender

    def _use(
        self,
        service: str,
        slot_id: SlotId,
        view: ExecutorView,
        until: float,
        holding: Holding | None,
    ) -> Slot:
        self._uses += 1
        now = self.clock.monotonic()
        self._sources_by_use[self._uses] = holding
        if holding is not None:
            loan = holding.loans_by_id[slot_id]
            holding.loans_by_id[slot_id] = loan._replace(used=self._uses, since=now, until=until)
        return Slot(service, slot_id, view, now, until, self._uses)

    def _holding(self, service: str, owner: str) -> Holding:
        key = (service, owner)
        if key not in self.holdings:
            self.holdings[key] = Holding(service=service, owner=owner)
        return self.holdings[key]

    def _holdings(self, service: str) -> list[Holding]:
        return [holding for (of, _), holding in self.holdings.items() if of == service]

    def _current(self, sender: Member, message: Any) -> Holding | None:
        holding = self.holdings.get((message.service, sender.id))
        same = holding is not None and holding.session == message.session
        return holding if same else None

    def _now_ms(self) -> int:
        return int(self.clock.monotonic() * 1000)

    def _send(self, member_id: str, message: AnyMessage) -> None:
        self.peers.send(member_id, message)

    def _handle(self) -> None:
        def to(method: Callable[[Lender, Member, Any], None]) -> Callable[[Member, Any], None]:
            return lambda sender, message: method(self.lender(message.service), sender, message)

        handlers: dict[type, Callable[[Member, Any], Any]] = {
            Settle: self.take_settle,
            Settled: self.take_settled,
            Grant: self.take_grant,
            Held: self.take_held,
            Recall: self.take_recall,
            Hold: to(Lender.take_hold),
            Ask: to(Lender.take_ask),
            Return: to(Lender.take_return),
        }
        for type_, handler in handlers.items():
            self.peers.handle(type_, handler)

    def _changed(self, member: Member, old: Member | None) -> None:
        if member.host == self.members.me.host and member.state is MemberState.dead:
            self._void()

    def _gap(self, lost_s: float) -> None:
        """Drop what lapsed while this process was paused, before anything else is done."""
        now = self.clock.monotonic()
        self._may_start(now)
        for holding in self.holdings.values():
            self._tidy(holding, now)

    def _void(self) -> None:
        """Start anew under a new incarnation, which owns nothing yet and has borrowed nothing."""
        self._started = self._usable_at = self.clock.monotonic()
        self.ownership.restart()
        self.holdings.clear()
        for lender in self.lenders_by_service.values():
            lender.restart()
