"""Lends slots between owners: own slots are used at once, others' are borrowed while requests wait.

The owner of a slot is a pure function of the folded state (``ownership.py``). docs/DESIGN-peers.md
explains why all entry hosts together stay within an executor's slots.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from .executors import ExecutorView
from .holdings import Holding, Loan
from .ledgers import masks_of, slot_ids_of
from .lenders import MIN_WAIT_LEAD_S, Lender
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

TICKS_PER_LEASE = 6
RECALL_VALID_S = 0.1
SETTLE_INTERVAL_S = 0.3
ASK_INTERVAL_S = 0.2
STALLED_AFTER_S = 5.0


class HasPeers(Protocol):
    """Exchanges messages with peers."""

    def send(self, member_id: str, message: AnyMessage) -> bool:
        """Queue a message to a member."""

    def handle(self, type_: type, handler: Callable[[Member, Any], Any]) -> None:
        """Register the handler for messages of a type."""


class Broker:
    """Shares slots by lending them to other entry hosts and borrowing from them.

    :param slots: the ``Slots`` whose requests are served.
    :param members: the members that share the slots.
    :param peers: sends messages to them and handles theirs.
    :param settings: the daemon's settings.
    :param timers: the timer service.
    :param state: the folded state, which determines the owners.
    :param services: returns the existing services.
    :param max_hold_s: returns the most seconds that a request of a service may hold a slot.
    :param may_use: returns whether the state is current by what was learned since a monotonic time.
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
        self._holdings_by_use: dict[int, Holding | None] = {}
        self._last_use_number = 0
        self._services_to_ask: set[str] = set()
        self._last_settle_at = 0.0
        self._deferred_settles: list[tuple[str, Settle]] = []
        self._started_at = self._last_usable_at = self._last_tick_at = self._awake_since = (
            self.clock.monotonic()
        )
        members.on_change(self._on_member_change)
        timers.on_gap(self._on_gap)
        self._register_handlers()

    # The sharing policy, called by ``Slots``.

    def take(self, service: str, exclude: frozenset[str], deadline: float) -> Slot | None:
        """Take an idle slot that is owned here, or a borrowed one while its lease lasts."""
        now = self.clock.monotonic()
        if not self._may_start(now):
            return None
        self._last_usable_at = now
        until = min(deadline, now + self.max_hold_s(service))
        lender = self.lender(service)
        idle = [(i, view) for i, view in lender.idle() if view.executor not in exclude]
        if idle:
            slot_id, view = random.choice(idle)
            lender.used.add(slot_id)
            return self._start_use(service, slot_id, view, until, None)
        views = {view.executor: view for view in self.slots.executors.candidates(service)}
        for holding in self._holdings(service):
            if now >= holding.leased_until:
                continue
            for slot_id in holding.idle():
                found = views.get(slot_id.executor)
                if found is None:
                    self._return_slots(holding, [slot_id])
                elif found.executor not in exclude:
                    return self._start_use(service, slot_id, found, until, holding)
        return None

    def give_back(self, slot: Slot) -> None:
        """Give a slot back; the most urgent and longest waiting request may then get it."""
        if slot.use_number not in self._holdings_by_use:
            return
        holding = self._holdings_by_use.pop(slot.use_number)
        if holding is None:
            lender = self.lender(slot.service)
            lender.used.discard(slot.id)
            lender.lend_and_recall()
            return
        loan = holding.loans_by_id.get(slot.id)
        if loan is None or loan.use_number != slot.use_number:
            return
        now = self.clock.monotonic()
        holding.loans_by_id[slot.id] = loan._replace(use_number=0, since=now)
        if now >= holding.leased_until:
            # The owner may have taken it back already; the next renewal reports it as not held.
            del holding.loans_by_id[slot.id]
        elif slot.id in holding.return_when_free or self._is_recalled(holding, now):
            self._return_slots(holding, [slot.id])

    def demand_changed(self, service: str) -> None:
        """Ask the owners for as many slots as requests wait, once in each loop iteration."""
        if service not in self._services_to_ask:
            self._services_to_ask.add(service)
            asyncio.get_running_loop().call_soon(self._send_asks, service)

    def stalled(self, service: str) -> bool:
        """Return whether no slot has been usable for so long that waiting is useless."""
        now = self.clock.monotonic()
        if not self._may_start(now):
            return now > max(self._last_usable_at, self._started_at) + STALLED_AFTER_S
        if self.lender(service).ownership.usable:
            return False
        heard = [holding.heard_at for holding in self._holdings(service)]
        return now > max([self._started_at, *heard]) + STALLED_AFTER_S

    def is_settled(self) -> bool:
        """Return whether this member has its own share, or other owners that may lend to it."""
        if not self._may_start(self.clock.monotonic()):
            return False
        if not self.ownership.is_joined():
            return bool(self.ownership.other_member_ids())
        return not self.ownership.unreported_hosts()

    # Periodic work.

    async def run(self) -> None:
        """Renew leases and settle newly owned slots, until cancelled."""
        self._started_at = self._last_usable_at = self.clock.monotonic()
        self._settle_and_serve()
        while True:
            self.tick()
            await asyncio.sleep(self.lease_s / TICKS_PER_LEASE * random.uniform(0.9, 1.0))

    def tick(self) -> None:
        """Renew leases, return slots that were idle too long, and ask for missing ones."""
        now = self.clock.monotonic()
        self._may_start(now)
        self._last_tick_at = now
        for service in dict.fromkeys([*self.services(), *self.lenders_by_service]):
            self.lender(service).tick()
            if self.slots.waiting(service):
                self.demand_changed(service)
                self.slots.serve(service)
        for key, holding in list(self.holdings.items()):
            m = self.members.by_id.get(holding.owner)
            self._prune_loans(holding, now)
            if holding.loans_by_id or holding.ask_valid_until > now:
                self._renew(holding)
            elif m is None or m.state is MemberState.dead:
                del self.holdings[key]
        if now - self._last_settle_at >= SETTLE_INTERVAL_S * 0.9:
            self._settle(now)

    def folded(self) -> None:
        """Update the owners after a record was folded."""
        if self.ownership.refresh():
            self._settle_and_serve()
        self._answer_deferred_settles()

    def restored(self) -> None:
        """Update the owners after the state was restored from a snapshot."""
        self.ownership.refresh(from_snapshot=True)
        self._settle_and_serve()
        self._answer_deferred_settles()

    def stop_lending(self) -> None:
        """Stop lending and recall lent slots, before this entry host leaves."""
        for lender in self.lenders_by_service.values():
            lender.is_lending = False
            lender.lend_and_recall()

    def stop_owning(self) -> None:
        """Stop using own slots, before the record that gives them up is written."""
        self.ownership.is_leaving = True

    def is_clear(self) -> bool:
        """Return whether this entry host uses, borrows and lends no slots."""
        lent = any(lender.busy() for lender in self.lenders_by_service.values())
        return not lent and not any(h.loans_by_id for h in self.holdings.values())

    # Ownership.

    def _settle_and_serve(self) -> None:
        self._settle(self.clock.monotonic())
        for service in self.services():
            self.slots.serve(service)

    def _settle(self, now: float) -> None:
        """Ask the other owners which slots they still use, while own slots are pending."""
        own = self.ownership
        if not own.is_joined():
            return
        if not own.unreported_hosts() and not any(
            self.lender(s).pending() for s in self.services()
        ):
            return
        self._last_settle_at = now
        for member_id in own.other_member_ids():
            self.peers.send(member_id, Settle(own.offset))

    def answer_settle(self, sender: Member, message: Settle) -> None:
        """Report the slots in use here, once this daemon has folded past the asker's offset."""
        if self.state.offset <= message.offset:
            self._deferred_settles.append((sender.id, message))
            return
        busy: set[SlotId] = set()
        for lender in self.lenders_by_service.values():
            busy |= lender.busy()
        age_ms = int(self.ownership.last_unclean_end_age_s() * 1000)
        self.peers.send(sender.id, Settled(self.state.offset, masks_of(busy), age_ms))

    def apply_settled(self, sender: Member, message: Settled) -> None:
        """Apply another owner's report of the slots that it still uses or lends."""
        if sender.id not in self.ownership.other_member_ids():
            return
        self.ownership.apply_settled(sender.host, message)
        for service in self.services():
            if self.slots.waiting(service):
                self.slots.serve(service)
            self.lender(service).lend_and_recall()

    def _answer_deferred_settles(self) -> None:
        waiting, self._deferred_settles = self._deferred_settles, []
        for member_id, message in waiting:
            m = self.members.by_id.get(member_id)
            if m is not None:
                self.answer_settle(m, message)

    def _may_start(self, now: float) -> bool:
        """Return whether this daemon knows that no other host has taken over its share.

        A clock more than a lease past the last tick shows that the process was paused. What it knew
        before then is out of date; only what it has learned since counts.
        """
        if now - self._last_tick_at > self.lease_s:
            self._awake_since = self._last_tick_at = now
        return self.may_use(self._awake_since)

    # The borrower's side.

    def apply_grant(self, sender: Member, message: Grant) -> None:
        """Add lent slots, unless the grant comes too late."""
        holding = self._current_holding(sender, message)
        if holding is None or message.number <= holding.last_grant_number:
            return
        holding.last_grant_number = message.number
        now = self.clock.monotonic()
        self._extend_lease(holding, message.sent)
        for slot_id in slot_ids_of(message.slots):
            loan = holding.loans_by_id.get(slot_id, Loan(0, 0, now, 0.0))
            holding.loans_by_id[slot_id] = loan._replace(grant_number=message.number)
            holding.return_when_free.discard(slot_id)
            holding.asked_count = max(holding.asked_count - 1, 0)
        self.slots.serve(holding.service)
        if not self.slots.waiting(holding.service):
            # Each owner is asked for all missing slots, so several may lend them at once.
            self._return_slots(
                holding, [i for i in slot_ids_of(message.slots) if i in holding.idle()]
            )

    def apply_held(self, sender: Member, message: Held) -> None:
        """Apply an owner's answer to a renewal."""
        holding = self._current_holding(sender, message)
        if holding is None:
            return
        if not message.leased:
            holding.start_session()
            self.demand_changed(holding.service)
            return
        self._extend_lease(holding, message.sent)
        holding.last_grant_number = max(holding.last_grant_number, message.number)
        lost = set(slot_ids_of(message.drop)) & holding.loans_by_id.keys()
        holding.return_when_free |= lost
        self._return_slots(holding, [i for i in lost if not holding.loans_by_id[i].use_number])

    def apply_recall(self, sender: Member, message: Recall) -> None:
        """Return idle slots, because requests wait elsewhere."""
        holding = self._current_holding(sender, message)
        if holding is None:
            return
        now = self.clock.monotonic()
        holding.recall_claim = (message.urgency, now - message.waited_ms / 1000)
        holding.recall_valid_until = now + RECALL_VALID_S
        if not self.slots.waiting(holding.service):
            self._return_slots(holding, holding.idle())

    def _extend_lease(self, holding: Holding, sent: int) -> None:
        holding.heard_at = self.clock.monotonic()
        holding.leased_until = max(holding.leased_until, sent / 1000 + self.lease_s)

    def _renew(self, holding: Holding) -> None:
        hold = Hold(
            holding.service,
            holding.session,
            self._now_ms(),
            holding.last_grant_number,
            holding.masks(),
        )
        self.peers.send(holding.owner, hold)

    def _prune_loans(self, holding: Holding, now: float) -> None:
        for slot_id, loan in list(holding.loans_by_id.items()):
            if now >= loan.until if loan.use_number else now >= holding.leased_until:
                del holding.loans_by_id[slot_id]
        if not self.slots.waiting(holding.service):
            old = now - self.settings.requests.cache_s
            loans = holding.loans_by_id.items()
            self._return_slots(
                holding, [i for i, loan in loans if not loan.use_number and loan.since < old]
            )

    def _send_asks(self, service: str) -> None:
        self._services_to_ask.discard(service)
        demand = self.slots.demand(service)
        now = self.clock.monotonic()
        if demand.waiting:
            for owner in self._owners(service):
                self._holding(service, owner)
        self.lender(service).lend_and_recall()
        for holding in self._holdings(service):
            again = demand.waiting and now > holding.ask_valid_until - self.lease_s + ASK_INTERVAL_S
            if demand.waiting == holding.asked_count and not again:
                continue
            holding.asked_count = demand.waiting
            holding.ask_sequence += 1
            holding.ask_valid_until = now + self.lease_s
            ask = Ask(
                service,
                holding.session,
                self._now_ms(),
                holding.ask_sequence,
                holding.last_grant_number,
                demand.waiting,
                demand.urgency,
                int(demand.waited_s * 1000),
                [*demand.exclude],
            )
            self.peers.send(holding.owner, ask)

    def _owners(self, service: str) -> list[str]:
        """Return the member ids of other reachable owners of a service's slots."""
        own, by_id = self.ownership, self.members.by_id
        views = self.slots.executors.candidates(service)
        hosts = {own.owner(SlotId(v.executor, i)) for v in views for i in range(v.slots)}
        ids = [f"{host}@{own.joined[host]:x}" for host in sorted(hosts - {own.host, ""})]
        return [i for i in ids if i in by_id and by_id[i].state is MemberState.live]

    def _is_recalled(self, holding: Holding, now: float) -> bool:
        """Return whether a slot that was just freed should go back to its owner."""
        if now >= holding.recall_valid_until:
            return False
        demand = self.slots.demand(holding.service)
        if not demand.waiting:
            return True
        urgency, since = holding.recall_claim
        if urgency != demand.urgency:
            return urgency < demand.urgency
        # A slot is idle while it moves to another host, so a small lead doesn't justify a move.
        return demand.waited_s + MIN_WAIT_LEAD_S < now - since

    def _return_slots(self, holding: Holding, slot_ids: list[SlotId]) -> None:
        numbered: dict[int, list[SlotId]] = {}
        for slot_id in slot_ids:
            loan = holding.loans_by_id.pop(slot_id)
            holding.return_when_free.discard(slot_id)
            numbered.setdefault(loan.grant_number, []).append(slot_id)
        if numbered:
            masks = {number: masks_of(ids) for number, ids in numbered.items()}
            self.peers.send(holding.owner, Return(holding.service, holding.session, masks))

    # Helpers.

    def lender(self, service: str) -> Lender:
        """Return the owner's side of a service."""
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

    def _start_use(
        self,
        service: str,
        slot_id: SlotId,
        view: ExecutorView,
        until: float,
        holding: Holding | None,
    ) -> Slot:
        self._last_use_number += 1
        now = self.clock.monotonic()
        self._holdings_by_use[self._last_use_number] = holding
        if holding is not None:
            loan = holding.loans_by_id[slot_id]
            holding.loans_by_id[slot_id] = loan._replace(
                use_number=self._last_use_number, since=now, until=until
            )
        return Slot(service, slot_id, view, now, until, self._last_use_number)

    def _holding(self, service: str, owner: str) -> Holding:
        key = (service, owner)
        if key not in self.holdings:
            self.holdings[key] = Holding(service=service, owner=owner)
        return self.holdings[key]

    def _holdings(self, service: str) -> list[Holding]:
        return [holding for (of, _), holding in self.holdings.items() if of == service]

    def _current_holding(self, sender: Member, message: Any) -> Holding | None:
        holding = self.holdings.get((message.service, sender.id))
        same = holding is not None and holding.session == message.session
        return holding if same else None

    def _now_ms(self) -> int:
        return int(self.clock.monotonic() * 1000)

    def _send(self, member_id: str, message: AnyMessage) -> None:
        self.peers.send(member_id, message)

    def _register_handlers(self) -> None:
        def to(method: Callable[[Lender, Member, Any], None]) -> Callable[[Member, Any], None]:
            return lambda sender, message: method(self.lender(message.service), sender, message)

        handlers: dict[type, Callable[[Member, Any], Any]] = {
            Settle: self.answer_settle,
            Settled: self.apply_settled,
            Grant: self.apply_grant,
            Held: self.apply_held,
            Recall: self.apply_recall,
            Hold: to(Lender.apply_hold),
            Ask: to(Lender.apply_ask),
            Return: to(Lender.apply_return),
        }
        for type_, handler in handlers.items():
            self.peers.handle(type_, handler)

    def _on_member_change(self, member: Member, old: Member | None) -> None:
        if member.host == self.members.me.host and member.state is MemberState.dead:
            self._restart()

    def _on_gap(self, lost_s: float) -> None:
        """Drop loans that expired while this process was paused, before any other work."""
        now = self.clock.monotonic()
        self._may_start(now)
        for holding in self.holdings.values():
            self._prune_loans(holding, now)

    def _restart(self) -> None:
        """Reset for a new incarnation, which has no usable or borrowed slots yet."""
        self._started_at = self._last_usable_at = self.clock.monotonic()
        self.ownership.restart()
        self.holdings.clear()
        for lender in self.lenders_by_service.values():
            lender.restart()
