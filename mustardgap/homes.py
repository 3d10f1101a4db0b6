"""Lending, the home's side: which member holds which slots of one service.

A member is a service's home while a majority of the entry hosts vote for it. Every home has a term
of its own, higher than those before. All that it lends passes through a deputy, which notes it
first, so that the next home finds a copy of the ledger when this one is gone.
"""

import asyncio
from collections.abc import Callable
from enum import IntEnum

from . import metrics
from .copies import Copies
from .executors import ExecutorView
from .ledgers import Follower, Ledger, masks_of
from .members import Member, Members, MemberState
from .messages import (
    AnyMessage,
    Ask,
    Follow,
    Followed,
    Grant,
    Lend,
    Masks,
    Mirror,
    MirrorAsk,
    MirrorLost,
    Recall,
    Return,
    Unfollow,
    Unfollowed,
)
from .slots import SlotId
from .timers import Clock

RECALL_EVERY_S = 0.02
ASK_EVERY_S = 0.2
TERM_BITS = 20
VOTE_SHARE = 2 / 3
"""A vote's share of the lease: more than two renewals long, and shorter than the lease, so that a
new home is found before the members' leases from the old one end."""


class Phase(IntEnum):
    """How far this member is on the way to lending; only a steady home lends."""

    none = 0
    collecting = 1
    confirming = 2
    steady = 3


class Home:
    """One service's home, or what may become it: votes, terms and lending.

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

    # Votes and terms.

    def take_follow(self, sender: Member, message: Follow) -> None:
        """Take in a member's vote, renew its lease and settle what it holds."""
        now = self.clock.monotonic()
        self._check(now)
        f = self.ledger.followers_by_id.get(sender.id)
        if f is None or message.session > f.session:
            if message.session <= self.ledger.let_go.get(sender.id, 0) or self._leaving():
                self.send(sender.id, Unfollowed(self.service, message.session))
                return
            f = self.ledger.register(sender.id, message)
            if self._complete:
                self.ledger.unblock(sender.id)
        elif message.session < f.session or message.sent <= f.sent:
            return
        else:
            self.ledger.settle(f, message)
        f.sent = message.sent
        f.heard = now
        f.promised, f.accepted = message.promised, message.accepted
        if message.echo:
            f.vote_until = max(f.vote_until, message.echo / 1000 + self.vote_s)
        self._advance(now)
        if sender.id in self.ledger.followers_by_id:
            self._answer(sender.id, f)
        self.pump()

    def take_unfollow(self, sender: Member, message: Unfollow) -> None:
        """Let a member go; what it holds stays blocked until it reports to the next home."""
        now = self.clock.monotonic()
        self._check(now)
        f = self.ledger.followers_by_id.get(sender.id)
        if f is None or f.session <= message.session:
            self.ledger.let_go[sender.id] = max(
                message.session, self.ledger.let_go.get(sender.id, 0)
            )
            if f is not None:
                self.ledger.block(sender.id, f, now)
                self._advance(now)
        self.send(sender.id, Unfollowed(self.service, message.session))

    def tick(self) -> None:
        """Forget what lapsed, keep the deputy's copy small, ask again for what was lost."""
        now = self.clock.monotonic()
        self._check(now)
        if self._leaving():
            self._reset(now)
        self.ledger.expire(now)
        self._advance(now)
        self._mirror()
        self.pump()

    def _check(self, now: float) -> None:
        """Start over when the majority was lost at any moment since the last look.

        A home that was paused, or parted from the others, may have been replaced in between. By
        its own clock it sees that its votes ran out before it does anything else.
        """
        if self.phase is Phase.none:
            return
        if now >= self._majority_until:
            self._reset(now)
            return
        self._majority_until = self._majority(now)
        if now >= self._majority_until:
            self._reset(now)

    def _majority(self, now: float) -> float:
        """Until when a majority of the entry hosts has promised to follow no other home."""
        if not self.members.listed_hosts:
            # A host that starts alone would take itself for all there is.
            return 0.0
        hosts = self.members.electorate()
        until_by_host: dict[str, float] = {}
        for member_id, f in self.ledger.followers_by_id.items():
            m = self.members.by_id.get(member_id)
            if m is not None and m.host in hosts and m.state is not MemberState.dead:
                until_by_host[m.host] = max(f.vote_until, until_by_host.get(m.host, 0.0))
        votes = sorted(until_by_host.values(), reverse=True)
        needed = len(hosts) // 2 + 1
        return votes[needed - 1] if len(votes) >= needed else 0.0

    def _advance(self, now: float) -> None:
        until = self._majority(now)
        if until <= now:
            if self.phase is not Phase.none:
                self._reset(now)
            return
        self._majority_until = until
        if self.phase is Phase.none:
            self._majority_since = now
            self._prepare()
        if any(f.promised > self.term for f in self.ledger.followers_by_id.values()):
            self._prepare()
        if self.phase is Phase.steady and self.deputy != self._choose_deputy():
            self._prepare()
        if self.phase is Phase.collecting and self._noted(lambda f: f.promised, now):
            self._try_adopt(now)
        if self.phase is Phase.confirming and self._noted(lambda f: f.accepted, now):
            self.phase = Phase.steady
            self._answer_all()

    def _prepare(self) -> None:
        """Choose a term above all that are known and have it promised.

        Terms are settled as ballots are in Paxos: a majority promises to accept no lower term and
        says which it accepted last, then accepts this one; only then is anything lent in it. So no
        term can come into force later than a higher one, and a copy of the ledger is known by its
        term to be complete. The low bits make the terms of two members differ.
        """
        promised = [f.promised for f in self.ledger.followers_by_id.values()]
        known = max([self.term, *promised])
        low = self.members.me.incarnation % (1 << TERM_BITS)
        self.term = ((known >> TERM_BITS) + 1) << TERM_BITS | low
        self.phase = Phase.collecting
        self._answer_all()

    def _noted(self, term_of: Callable[[Follower], int], now: float) -> bool:
        """Whether a majority that votes for this home has noted its term."""
        hosts = self.members.electorate()
        noted = {
            self.members.by_id[i].host
            for i, f in self.ledger.followers_by_id.items()
            if i in self.members.by_id and f.vote_until > now and term_of(f) == self.term
        }
        return len(noted & hosts) * 2 > len(hosts)

    def _try_adopt(self, now: float) -> None:
        """Take over once it is known what may be in use, by whomever."""
        if not self._complete and not self._know_all(now):
            return
        self._complete = True
        self._adopted_term = self.term
        self.phase = Phase.confirming
        self.deputy = self._choose_deputy()
        self._mirrored = None
        self._mirror()
        self._answer_all()

    def _know_all(self, now: float) -> bool:
        followers = self.ledger.followers_by_id
        voters = {i for i, f in followers.items() if f.vote_until > now}
        last = self._last_accepted()
        copy = self.copies.since(last) if last else None
        if copy is not None:
            copy.sealed = True
            for member_id, held in copy.held_by_member.items():
                self.ledger.block_masks(member_id, held, now)
        elif not self._all_reported(voters) and now < self._majority_since + self.ledger.lapse_s:
            self._ask_copies()
            return False
        for member_id, f in list(followers.items()):
            if member_id in voters:
                self.ledger.unblock(member_id)
            else:
                # It may have gone to another home since it reported; it has to report anew.
                self.ledger.drop(member_id, f)
                self.send(member_id, Unfollowed(self.service, f.session))
        return True

    def _last_accepted(self) -> int:
        return max((f.accepted for f in self.ledger.followers_by_id.values()), default=0)

    def _all_reported(self, voters: set[str]) -> bool:
        """Whether no member is known that could use a slot unbeknown to this ledger."""
        known = {m.id for m in self.members.by_id.values()}
        hosts = {m.host for m in self.members.by_id.values()}
        unmet = self.members.electorate() - hosts
        return not unmet and known <= voters

    def _reset(self, now: float) -> None:
        """Be home no longer; what is known stays as a copy for the next."""
        if self._complete:
            self.copies.save(self._adopted_term, self._me(), self._sequence, self.ledger.rows())
        self._complete = False
        for member_id, f in self.ledger.followers_by_id.items():
            self.send(member_id, Unfollowed(self.service, f.session))
        self.phase = Phase.none
        self.ledger.clear()

    def _answer(self, member_id: str, f: Follower) -> None:
        followed = Followed(
            self.service,
            f.session,
            f.sent,
            int(self.clock.monotonic() * 1000),
            self.term if self.phase is not Phase.none else 0,
            self.phase > Phase.collecting,
            self._complete,
            self.phase is Phase.steady,
            f.number_before,
        )
        f.number_before = f.number
        self.send(member_id, followed)

    def _answer_all(self) -> None:
        for member_id, f in self.ledger.followers_by_id.items():
            self._answer(member_id, f)

    # Lending.

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

    # The deputy's copy.

    def take_mirror(self, sender: Member, message: Mirror) -> None:
        """Keep a copy of a home's ledger."""
        self.copies.take_mirror(message)
        self._advance(self.clock.monotonic())

    def take_lend(self, sender: Member, message: Lend) -> None:
        """Note a grant, then pass it on."""
        self.copies.take_lend(sender.id, message)

    def take_mirror_ask(self, sender: Member, message: MirrorAsk) -> None:
        """Hand the copy to a new home."""
        self._check(self.clock.monotonic())
        if not self._complete:
            self.copies.take_mirror_ask(sender.id, message)

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

    def _ask_copies(self) -> None:
        now = self.clock.monotonic()
        last = self._last_accepted()
        if not last or now < self._asked + ASK_EVERY_S:
            return
        self._asked = now
        for m in self.members.peers():
            self.send(m.id, MirrorAsk(self.service, last, self.term))

    def _choose_deputy(self) -> str:
        ranked = self.members.ranked(f"slots/{self.service}")
        return next((i for i in ranked if i != self._me()), "")

    def _leaving(self) -> bool:
        return self.members.me.state is not MemberState.live

    def _me(self) -> str:
        return self.members.me.id
