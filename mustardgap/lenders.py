"""The owner's side of lending: which members have which own slots of one service."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from . import metrics
from .executors import ExecutorView
from .ledgers import Borrower, Ledger, masks_of
from .members import Member
from .messages import AnyMessage, Ask, Grant, Held, Hold, Recall, Return
from .ownership import Ownership
from .slots import Demand, SlotId
from .timers import Clock

RECALL_INTERVAL_S = 0.02
MIN_WAIT_LEAD_S = 0.025


class Claim(NamedTuple):
    """A waiting request: its urgency, and the monotonic time since which it has waited."""

    urgency: int
    since: float


class Lender:
    """Manages the own slots of one service: idle, in use here, and lent.

    :param service: the service.
    :param ownership: determines which slots this entry host owns.
    :param clock: the clocks to read.
    :param lease_s: seconds for which a borrower may start requests after its last renewal.
    :param stale_s: seconds for which a host may act on its last knowledge of the log.
    :param hold_s: returns the most seconds that a request holds a slot.
    :param candidates: returns the executors that may be chosen.
    :param demand: returns what waits here.
    :param may_use: returns whether this entry host knows that the slots are still its own.
    :param send: queues a message to a member.
    """

    def __init__(
        self,
        *,
        service: str,
        ownership: Ownership,
        clock: Clock,
        lease_s: float,
        stale_s: float,
        hold_s: Callable[[], float],
        candidates: Callable[[], list[ExecutorView]],
        demand: Callable[[], Demand],
        may_use: Callable[[], bool],
        send: Callable[[str, AnyMessage], None],
    ) -> None:
        self.service = service
        self.ownership = ownership
        self.clock = clock
        self.lease_s = lease_s
        self.stale_s = stale_s
        self.hold_s = hold_s
        self.candidates = candidates
        self.demand = demand
        self.may_use = may_use
        self.send = send
        self.used: set[SlotId] = set()
        self.restart()
        self.is_lending = True
        self._last_lent = SlotId("", 0)
        self._last_recall_at = 0.0
        self._recall_scheduled = False

    def restart(self) -> None:
        """Forget all loans; a new run may use no slot until they must have ended."""
        self.ledger = Ledger(expiry_s=self.lease_s + self.hold_s())

    def idle(self) -> list[tuple[SlotId, ExecutorView]]:
        """Return the usable own slots that are neither in use nor lent, and their executors."""
        wait_s = self.lease_s + self.stale_s + self.hold_s()
        found = []
        for view in self.candidates():
            for i in range(max(1, round(view.slots * view.weight))):
                slot_id = SlotId(view.executor, i)
                if slot_id in self.used or slot_id in self.ledger.lent:
                    continue
                if self.ownership.may_use(slot_id, wait_s):
                    found.append((slot_id, view))
        return found

    def pending(self) -> list[SlotId]:
        """Return the own slots that another host may still be using."""
        wait_s = self.lease_s + self.stale_s + self.hold_s()
        own = self.ownership
        ids = (SlotId(v.executor, i) for v in self.candidates() for i in range(v.slots))
        return [i for i in ids if own.owner(i) == own.host and not own.may_use(i, wait_s)]

    def busy(self) -> set[SlotId]:
        """Return the slots that this entry host uses as its own or has lent."""
        return self.used | self.ledger.lent

    def apply_ask(self, sender: Member, message: Ask) -> None:
        """Record how many slots a member lacks, and lend idle ones."""
        now = self.clock.monotonic()
        borrower = self.ledger.borrower_in_session(sender.id, message.session, now)
        if borrower is None:
            self._end_session(sender.id, message.session, message.sent)
            return
        if borrower.ask is not None and borrower.ask.sequence >= message.sequence:
            return
        borrower.last_sent = max(borrower.last_sent, message.sent)
        borrower.note_ask(message, now - message.waited_ms / 1000)
        self.lend_and_recall()

    def apply_hold(self, sender: Member, message: Hold) -> None:
        """Renew a member's lease and free the slots that it no longer holds."""
        borrower = self.ledger.borrower_in_session(
            sender.id, message.session, self.clock.monotonic()
        )
        if borrower is None:
            self._end_session(sender.id, message.session, message.sent)
            return
        if message.sent <= borrower.last_hold_sent:
            return
        borrower.last_hold_sent = message.sent
        borrower.last_sent = max(borrower.last_sent, message.sent)
        self.ledger.free_unheld(borrower, message)
        if self.may_use():
            lost = [i for i in borrower.grant_numbers_by_id if not self._may_lend(i)]
            held = Held(
                self.service,
                borrower.session,
                message.sent,
                True,
                borrower.grant_number_at_hold,
                masks_of(lost),
            )
            borrower.grant_number_at_hold = borrower.grant_number
            self.send(sender.id, held)
        self.lend_and_recall()

    def apply_return(self, sender: Member, message: Return) -> None:
        """Free slots that a member gives back."""
        borrower = self.ledger.borrowers_by_id.get(sender.id)
        if borrower is not None and borrower.session == message.session:
            self.ledger.free_returned(borrower, message)
            self.lend_and_recall()

    def lend_and_recall(self) -> None:
        """Lend idle slots except those due to own requests; recall lent ones if requests wait."""
        askers = self.ledger.askers()
        if not self.may_use():
            return
        if not askers:
            self._recall_if_short()
            return
        idle = self.idle() if self.is_lending else []
        granted: dict[str, list[SlotId]] = {}
        own = self.demand()
        reserved = own.waiting
        for entry in sorted(askers):
            borrower = self.ledger.borrowers_by_id[entry[2]]
            if reserved and self._local_comes_first(own, Claim(entry[0], entry[1])):
                idle = idle[reserved:]
                reserved = 0
            while borrower.missing > 0 and self._lend_one(borrower, idle):
                granted.setdefault(entry[2], []).append(self._last_lent)
        for member_id, slot_ids in granted.items():
            self._grant(member_id, slot_ids)
        self._recall_if_short()

    def first_claim(self) -> Claim | None:
        """Return the most urgent, longest waiting request here or elsewhere, None if none waits."""
        claims = [Claim(urgency, since) for urgency, since, _ in self.ledger.askers()]
        own = self.demand()
        if own.waiting:
            claims.append(Claim(own.urgency, self.clock.monotonic() - own.waited_s))
        return min(claims, default=None)

    def tick(self) -> None:
        """Free the slots of silent members, then lend and recall."""
        self.ledger.expiry_s = max(self.ledger.expiry_s, self.lease_s + self.hold_s())
        self.ledger.expire_borrowers(self.clock.monotonic())
        self.lend_and_recall()

    def _may_lend(self, slot_id: SlotId) -> bool:
        own = self.ownership
        return self.is_lending and own.is_joined() and slot_id in own.usable

    def _local_comes_first(self, own: Demand, claim: Claim) -> bool:
        """Return whether own demand comes first; a small lead doesn't justify moving a slot."""
        if own.urgency != claim.urgency:
            return own.urgency < claim.urgency
        return self.clock.monotonic() - own.waited_s <= claim.since + MIN_WAIT_LEAD_S

    def _lend_one(self, borrower: Borrower, idle: list[tuple[SlotId, ExecutorView]]) -> bool:
        excluded = borrower.ask.excluded if borrower.ask is not None else []
        for index, (slot_id, view) in enumerate(idle):
            if view.executor not in excluded:
                del idle[index]
                self.ledger.lend(borrower, slot_id)
                self._last_lent = slot_id
                return True
        return False

    def _grant(self, member_id: str, slot_ids: list[SlotId]) -> None:
        borrower = self.ledger.borrowers_by_id[member_id]
        borrower.grant_number += 1
        grant = Grant(
            self.service,
            borrower.session,
            borrower.last_sent,
            borrower.grant_number,
            masks_of(slot_ids),
        )
        borrower.grants.append(grant)
        metrics.slots_lent.add(len(slot_ids))
        self.send(member_id, grant)

    def _recall_if_short(self) -> None:
        """Tell borrowers that others wait, repeatedly until none waits."""
        claim = self.first_claim()
        if not self.ledger.lent or (claim is None and self.is_lending):
            return
        if not self._recall_scheduled:
            self._recall_scheduled = True
            asyncio.get_running_loop().call_later(RECALL_INTERVAL_S, self._repeat_recall)
        now = self.clock.monotonic()
        if now - self._last_recall_at < RECALL_INTERVAL_S:
            return
        self._last_recall_at = now
        urgency, since = claim if claim is not None and self.is_lending else Claim(-1, 0.0)
        for member_id, borrower in self.ledger.borrowers_by_id.items():
            if borrower.grant_numbers_by_id:
                waited_ms = int((now - since) * 1000)
                self.send(member_id, Recall(self.service, borrower.session, urgency, waited_ms))

    def _repeat_recall(self) -> None:
        self._recall_scheduled = False
        self._recall_if_short()

    def _end_session(self, member_id: str, session: int, sent: int) -> None:
        self.send(member_id, Held(self.service, session, sent, False, 0, {}))
