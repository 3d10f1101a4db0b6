"""Lending, the home's side: which member holds which slots of one service.

A member is a service's home while a majority of the entry hosts vote for it. Every home has a term
of its own, higher than those before. All that it lends passes through a deputy, which notes it
first, so that the next home finds a copy of the ledger when this one is gone.
"""

from collections.abc import Callable

from .ledgers import Follower
from .lenders import Lender, Phase
from .members import Member, MemberState
from .messages import (
    Follow,
    Followed,
    Mirror,
    MirrorAsk,
    Unfollow,
    Unfollowed,
)

ASK_EVERY_S = 0.2
TERM_BITS = 20


class Home(Lender):
    """One service's home, or what may become it: votes and terms."""

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

    def take_mirror(self, sender: Member, message: Mirror) -> None:
        """Keep a copy of a home's ledger."""
        self.copies.take_mirror(message)
        self._advance(self.clock.monotonic())

    def take_mirror_ask(self, sender: Member, message: MirrorAsk) -> None:
        """Hand the copy to a new home."""
        self._check(self.clock.monotonic())
        if not self._complete:
            self.copies.take_mirror_ask(sender.id, message)

    def _ask_copies(self) -> None:
        now = self.clock.monotonic()
        last = self._last_accepted()
        if not last or now < self._asked + ASK_EVERY_S:
            return
        self._asked = now
        for m in self.members.peers():
            self.send(m.id, MirrorAsk(self.service, last, self.term))

    def _leaving(self) -> bool:
        return self.members.me.state is not MemberState.live
