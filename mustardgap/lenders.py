"""Lending, the owner's side: who has which of this entry host's own slots of one service."""

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

RECALL_EVERY_S = 0.02
FAIR_WAIT_S = 0.025


class Claim(NamedTuple):
    """Whose turn is next: urgency, and the monotonic time since when it has waited."""

    urgency: int
    since: float


class Lender:
    """One service's own slots: what is idle, in use here, and lent.

    :param service: the service.
    :param ownership: which slots are this entry host's.
    :param clock: the clocks to read.
    :param lease_s: how long a borrower may start requests after its last renewal.
    :param stale_s: how long a host may act on what it last knew of the log.
    :param hold_s: the longest a request holds a slot.
    :param candidates: lists the executors that may be chosen.
    :param demand: tells what waits here.
    :param may_use: whether this entry host knows that the slots are still its own.
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
        self.lends = True
        self._last = SlotId("", 0)
        self._recalled_at = 0.0
        self._recalling = False

    def restart(self) -> None:
        """Forget what was lent; as a new run this host owns nothing until it is surely over."""
        self.ledger = Ledger(expiry_s=self.lease_s + self.hold_s())

    def idle(self) -> list[tuple[SlotId, ExecutorView]]:
        """The own slots that nobody has, and their executors."""
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
        """The own slots that somebody else may still use, as far as is known here."""
        wait_s = self.lease_s + self.stale_s + self.hold_s()
        own = self.ownership
        ids = (SlotId(v.executor, i) for v in self.candidates() for i in range(v.slots))
        return [i for i in ids if own.owner(i) == own.host and not own.may_use(i, wait_s)]

    def busy(self) -> set[SlotId]:
        """The slots that this entry host uses as its own or has lent."""
        return self.used | self.ledger.lent

    def take_ask(self, sender: Member, message: Ask) -> None:
        """Note how many slots a member lacks, and lend what is free."""
        now = self.clock.monotonic()
        b = self.ledger.borrower_in_session(sender.id, message.session, now)
        if b is None:
            self._end_session(sender.id, message.session, message.sent)
            return
        if b.ask is not None and b.ask.sequence >= message.sequence:
            return
        b.last_sent = max(b.last_sent, message.sent)
        b.note_ask(message, now - message.waited_ms / 1000)
        self.pump()

    def take_hold(self, sender: Member, message: Hold) -> None:
        """Renew a member's lease and settle what it holds."""
        b = self.ledger.borrower_in_session(sender.id, message.session, self.clock.monotonic())
        if b is None:
            self._end_session(sender.id, message.session, message.sent)
            return
        if message.sent <= b.last_hold_sent:
            return
        b.last_hold_sent = message.sent
        b.last_sent = max(b.last_sent, message.sent)
        self.ledger.free_unheld(b, message)
        if self.may_use():
            lost = [i for i in b.grant_numbers_by_id if not self._may_lend(i)]
            held = Held(
                self.service, b.session, message.sent, True, b.grant_number_at_hold, masks_of(lost)
            )
            b.grant_number_at_hold = b.grant_number
            self.send(sender.id, held)
        self.pump()

    def take_return(self, sender: Member, message: Return) -> None:
        """Free slots that a member gives back."""
        b = self.ledger.borrowers_by_id.get(sender.id)
        if b is not None and b.session == message.session:
            self.ledger.take_return(b, message)
            self.pump()

    def pump(self) -> None:
        """Lend idle slots to those who lack them, if none here is before them; recall if short."""
        askers = self.ledger.askers()
        if not self.may_use():
            return
        if not askers:
            self._recall_if_short()
            return
        idle = self.idle() if self.lends else []
        granted: dict[str, list[SlotId]] = {}
        own = self.demand()
        reserved = own.waiting
        for entry in sorted(askers):
            b = self.ledger.borrowers_by_id[entry[2]]
            if reserved and self._is_first_here(own, Claim(entry[0], entry[1])):
                idle = idle[reserved:]
                reserved = 0
            while b.missing > 0 and self._lend_one(b, idle):
                granted.setdefault(entry[2], []).append(self._last)
        for member_id, slot_ids in granted.items():
            self._grant(member_id, slot_ids)
        self._recall_if_short()

    def claim(self) -> Claim | None:
        """Who is most urgent or has waited longest, here or elsewhere, None when nobody waits."""
        claims = [Claim(urgency, since) for urgency, since, _ in self.ledger.askers()]
        own = self.demand()
        if own.waiting:
            claims.append(Claim(own.urgency, self.clock.monotonic() - own.waited_s))
        return min(claims, default=None)

    def tick(self) -> None:
        """Take back what silent members held, lend and recall."""
        self.ledger.expiry_s = max(self.ledger.expiry_s, self.lease_s + self.hold_s())
        self.ledger.expire_borrowers(self.clock.monotonic())
        self.pump()

    def _may_lend(self, slot_id: SlotId) -> bool:
        own = self.ownership
        return self.lends and own.is_joined() and slot_id in own.usable

    def _is_first_here(self, own: Demand, claim: Claim) -> bool:
        """Whether one who waits here comes before another; a small lead isn't worth a trip."""
        if own.urgency != claim.urgency:
            return own.urgency < claim.urgency
        return self.clock.monotonic() - own.waited_s <= claim.since + FAIR_WAIT_S

    def _lend_one(self, b: Borrower, idle: list[tuple[SlotId, ExecutorView]]) -> bool:
        excluded = b.ask.excluded if b.ask is not None else []
        for at, (slot_id, view) in enumerate(idle):
            if view.executor not in excluded:
                del idle[at]
                self.ledger.lend(b, slot_id)
                self._last = slot_id
                return True
        return False

    def _grant(self, member_id: str, slot_ids: list[SlotId]) -> None:
        b = self.ledger.borrowers_by_id[member_id]
        b.grant_number += 1
        grant = Grant(self.service, b.session, b.last_sent, b.grant_number, masks_of(slot_ids))
        b.grants.append(grant)
        metrics.slots_lent.add(len(slot_ids))
        self.send(member_id, grant)

    def _recall_if_short(self) -> None:
        """Tell those who hold slots that others wait, again until none does."""
        claim = self.claim()
        if not self.ledger.lent or (claim is None and self.lends):
            return
        if not self._recalling:
            self._recalling = True
            asyncio.get_running_loop().call_later(RECALL_EVERY_S, self._recall_again)
        now = self.clock.monotonic()
        if now - self._recalled_at < RECALL_EVERY_S:
            return
        self._recalled_at = now
        urgency, since = claim if claim is not None and self.lends else Claim(-1, 0.0)
        for member_id, b in self.ledger.borrowers_by_id.items():
            if b.grant_numbers_by_id:
                waited_ms = int((now - since) * 1000)
                self.send(member_id, Recall(self.service, b.session, urgency, waited_ms))

    def _recall_again(self) -> None:
        self._recalling = False
        self._recall_if_short()

    def _end_session(self, member_id: str, session: int, sent: int) -> None:
        self.send(member_id, Held(self.service, session, sent, False, 0, {}))
