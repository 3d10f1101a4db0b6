"""Lending, the home's side: handing free slots to the members that lack them, past the deputy."""

import asyncio
from collections.abc import Callable
from enum import IntEnum

from . import metrics
from .copies import Copies
from .executors import ExecutorView
from .ledgers import Follower, Ledger, masks_of
from .members import Member, Members
from .messages import AnyMessage, Ask, Grant, Lend, Masks, Mirror, MirrorLost, Recall, Return
from .slots import SlotId
from .timers import Clock

RECALL_EVERY_S = 0.02
VOTE_SHARE = 2 / 3
"""A vote's share of the lease: more than two renewals long, and shorter than the lease, so that a
new home is found before the members' leases from the old one end."""


class Phase(IntEnum):
    """How far this member is on the way to lending; only a steady home lends."""

    none = 0
    collecting = 1
    confirming = 2
    steady = 3


class Lender:
    """What a steady home lends of one service; ``homes.Home`` says when it is steady.

    :param service: the service.
    :param members: the members that share.
    :param clock: the clocks to read.
    :param lease_s: how long a member may start requests after its last renewal.
    :param hold_s: the longest a request holds a slot.
    :param candidates: lists the executors that may be chosen.
    :param send: queues a message to a member, this one included.
    """

    def __init__(
        self,
        *,
        service: str,
        members: Members,
        clock: Clock,
        lease_s: float,
        hold_s: float,
        candidates: Callable[[], list[ExecutorView]],
        send: Callable[[str, AnyMessage], None],
    ) -> None:
        self.service = service
        self.members = members
        self.clock = clock
        self.lease_s = lease_s
        self.vote_s = lease_s * VOTE_SHARE
        self.ledger = Ledger(lapse_s=lease_s + hold_s)
        self.candidates = candidates
        self.send = send
        self.phase = Phase.none
        self.term = 0
        self._adopted_term = 0
        self._complete = False
        self.copies = Copies(service=service, send=send)
        self.deputy = ""
        self._sequence = 0
        self._synced = -1
        self._mirrored: dict[str, Masks] | None = None
        self._majority_since = 0.0
        self._majority_until = 0.0
        self._last_recall = 0.0
        self._recalling = False
        self._asked = 0.0

    def take_ask(self, sender: Member, message: Ask) -> None:
        """Note how many slots a member lacks, and lend what is free."""
        f = self.ledger.followers_by_id.get(sender.id)
        if f is None or f.session != message.session:
            return
        if f.ask is not None and f.ask.sequence >= message.sequence:
            return
        f.note_ask(message, self.clock.monotonic() - message.waited_ms / 1000)
        self.pump()

    def take_return(self, sender: Member, message: Return) -> None:
        """Free slots that a member gives back."""
        f = self.ledger.followers_by_id.get(sender.id)
        if f is not None and f.session == message.session:
            self.ledger.take_return(f, message)
            self.pump()

    def pump(self) -> None:
        """Lend free slots to those who lack them, the most urgent and longest waiting first."""
        now = self.clock.monotonic()
        self._check(now)
        if self.phase is not Phase.steady:
            return
        wanting = self.ledger.askers()
        if not wanting:
            return
        room = {view: self.ledger.room(view) for view in self.candidates()}
        granted: dict[str, list[SlotId]] = {}
        unmet = False
        while wanting:
            for entry in sorted(wanting):
                f = self.ledger.followers_by_id[entry[2]]
                slot_id = self._pick(f, room) if f.lacks > 0 else None
                if slot_id is None:
                    unmet = unmet or f.lacks > 0
                    wanting.remove(entry)
                    continue
                self.ledger.lend(f, slot_id)
                granted.setdefault(entry[2], []).append(slot_id)
        for member_id, slot_ids in granted.items():
            self._lend(member_id, slot_ids)
        if unmet:
            self._recall(now)

    def _pick(self, f: Follower, room: dict[ExecutorView, int]) -> SlotId | None:
        """The free slot of the executor with the most room, and take it off the room."""
        excluded = f.ask.excluded if f.ask is not None else []
        views = [view for view, free in room.items() if free > 0 and view.executor not in excluded]
        if not views:
            return None
        view = max(views, key=lambda v: room[v] / v.slots)
        slot_id = self.ledger.free_slot(view)
        room[view] = room[view] - 1 if slot_id is not None else 0
        return slot_id

    def _lend(self, member_id: str, slot_ids: list[SlotId]) -> None:
        f = self.ledger.followers_by_id[member_id]
        f.number += 1
        grant = Grant(self.service, f.session, f.number, masks_of(slot_ids))
        f.grants.append(grant)
        metrics.slots_lent.add(len(slot_ids))
        self._pass_on(member_id, grant)

    def _pass_on(self, member_id: str, grant: Grant) -> None:
        if not self.deputy:
            self.send(member_id, grant)
            return
        self._sequence += 1
        self.send(self.deputy, Lend(self.service, self.term, self._sequence, member_id, grant))

    def _recall(self, now: float) -> None:
        """Tell the members that hold slots that others wait, again until none does."""
        if not self._recalling:
            self._recalling = True
            asyncio.get_running_loop().call_later(RECALL_EVERY_S, self._recall_again)
        if now - self._last_recall < RECALL_EVERY_S:
            return
        self._last_recall = now
        first = min(self.ledger.askers())
        waited_ms = int((now - first[1]) * 1000)
        for member_id, f in self.ledger.followers_by_id.items():
            if f.numbers_by_id and member_id != first[2]:
                self.send(member_id, Recall(self.service, f.session, first[0], waited_ms))

    def _recall_again(self) -> None:
        self._recalling = False
        self.pump()

    def take_lend(self, sender: Member, message: Lend) -> None:
        """Note a grant, then pass it on."""
        self.copies.take_lend(sender.id, message)

    def take_mirror_lost(self, sender: Member, message: MirrorLost) -> None:
        """Send the deputy the whole ledger again, and then what it may not have passed on.

        A grant that comes twice does no harm: members ignore numbers they have dealt with.
        """
        known = sender.id == self.deputy and message.term == self.term
        if not known or message.sequence <= self._synced or self.phase < Phase.confirming:
            return
        self._synced = self._sequence
        self._mirrored = None
        self._mirror()
        for member_id, f in self.ledger.followers_by_id.items():
            for grant in f.grants:
                self._pass_on(member_id, grant)

    def _mirror(self) -> None:
        if self.phase < Phase.confirming or not self.deputy:
            return
        rows = self.ledger.rows()
        if rows == self._mirrored:
            return
        self._mirrored = rows
        self.send(self.deputy, Mirror(self.service, self.term, self._me(), self._sequence, rows))

    def _choose_deputy(self) -> str:
        ranked = self.members.ranked(f"slots/{self.service}")
        return next((i for i in ranked if i != self._me()), "")

    def _me(self) -> str:
        return self.members.me.id

    def _check(self, now: float) -> None:
        """Stop lending if this member is home no longer."""
        raise NotImplementedError
