"""Lending, the entry host's side: the slots it holds, its lease and what it asks the homes for.

Each service has one home among the members, by rendezvous hashing, which lends the slots of the
service's executors (``homes.py``). docs/DESIGN-peers.md tells the whole protocol and why the sum
over all entry hosts stays within an executor's slots.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from .executors import ExecutorView
from .holdings import Hold, Holding
from .homes import Home
from .ledgers import ids_of, masks_of
from .lenders import VOTE_SHARE
from .links import HasPeers
from .members import Member, Members, MemberState
from .messages import (
    AnyMessage,
    Ask,
    Follow,
    Followed,
    Grant,
    Lend,
    Mirror,
    MirrorAsk,
    MirrorLost,
    Recall,
    Return,
    Unfollow,
    Unfollowed,
)
from .settings import Settings
from .slots import Slot, SlotId, Slots
from .timers import Timers

TICKS_A_LEASE = 4
RECALL_S = 0.1
FAIR_WAIT_S = 0.1
EXCLUDED_S = 1.0


class Broker:
    """The lending way of sharing slots.

    :param slots: whose requests are served.
    :param members: the members that share.
    :param peers: the streams to them.
    :param settings: the daemon's settings.
    :param timers: the timer service.
    :param services: lists the services whose homes this member votes for.
    :param max_hold_s: the longest a request of a service may hold a slot.
    """

    def __init__(
        self,
        *,
        slots: Slots,
        members: Members,
        peers: HasPeers,
        settings: Settings,
        timers: Timers,
        services: Callable[[], Iterable[str]],
        max_hold_s: Callable[[str], float] | None = None,
    ) -> None:
        self.slots = slots
        self.members = members
        self.peers = peers
        self.settings = settings
        self.clock = timers.clock
        self.services = services
        self.max_hold_s = max_hold_s or (lambda service: settings.callers.default_timeout_s)
        self.lease_s = settings.requests.lease_s
        self.vote_s = self.lease_s * VOTE_SHARE
        self.holdings_by_service: dict[str, Holding] = {}
        self.homes_by_service: dict[str, Home] = {}
        self._uses = 0
        self._sessions = 0
        self._started = self.clock.monotonic()
        self._handlers_by_type = self._handlers()
        members.on_change(self._changed)
        timers.on_gap(self._gap)
        for type_, handler in self._handlers_by_type.items():
            peers.handle(type_, handler)

    # What ``Slots`` calls.

    def take(self, service: str, exclude: frozenset[str], deadline: float) -> Slot | None:
        """Take a slot that this member holds idle, while its lease lasts."""
        holding = self._holding(service)
        now = self.clock.monotonic()
        if now >= holding.leased_until:
            return None
        views = {view.executor: view for view in self.slots.executors.candidates(service)}
        for slot_id in holding.idle():
            view = views.get(slot_id.executor)
            if view is None:
                holding.excluded_until[slot_id.executor] = now + EXCLUDED_S
                self._return(holding, [slot_id])
            elif view.executor not in exclude:
                return self._use(
                    holding, slot_id, view, min(deadline, now + self.max_hold_s(service))
                )
        return None

    def give_back(self, slot: Slot) -> None:
        """Give a slot back; it stays with this member unless others have waited longer."""
        holding = self._holding(slot.service)
        hold = holding.holds_by_id.get(slot.id)
        if hold is None or hold.used != slot.lent:
            return
        now = self.clock.monotonic()
        holding.holds_by_id[slot.id] = hold._replace(used=0, since=now)
        if now >= holding.leased_until:
            # The lease lapsed meanwhile: the home may have lent the slot to another by now.
            del holding.holds_by_id[slot.id]
        elif self._recalled(holding, now):
            self._return(holding, [slot.id])

    def want(self, service: str) -> None:
        """Ask the home for as many slots as requests wait, once a turn of the loop."""
        holding = self._holding(service)
        if not holding.asking:
            holding.asking = True
            asyncio.get_running_loop().call_soon(self._ask, holding)

    def stalled(self, service: str) -> bool:
        """Whether this member has had no lease for so long that waiting is no use."""
        now = self.clock.monotonic()
        patience_s = self.lease_s + self.vote_s
        since = max(self._holding(service).leased_until, self._started)
        return now > since + patience_s

    def is_settled(self) -> bool:
        """Whether this member has a lease on the slots of each service."""
        now = self.clock.monotonic()
        return all(self._holding(service).leased_until > now for service in self.services())

    # The clockwork.

    async def run(self) -> None:
        """Renew votes and leases, return what is idle, until cancelled."""
        self._started = self.clock.monotonic()
        while True:
            self.tick()
            await asyncio.sleep(self.lease_s / TICKS_A_LEASE * random.uniform(0.9, 1.0))

    def tick(self) -> None:
        """Renew every vote and lease, and return what has been idle too long."""
        for service in dict.fromkeys([*self.services(), *self.holdings_by_service]):
            holding = self._holding(service)
            self._tidy(holding)
            self._follow(holding)
            if holding.asked or self.slots.waiting(service):
                # The last ask, or what was lent on it, may have been lost with a stream.
                holding.asked = -1
                self.want(service)
        for home in list(self.homes_by_service.values()):
            home.tick()

    def _tidy(self, holding: Holding) -> None:
        now = self.clock.monotonic()
        holding.lapse(now)
        if holding.lending and not self.slots.waiting(holding.service):
            old = now - self.settings.requests.cache_s
            idle = [i for i, h in holding.holds_by_id.items() if not h.used and h.since < old]
            self._return(holding, idle)

    def _follow(self, holding: Holding) -> None:
        now = self.clock.monotonic()
        owner = self.members.owner(f"slots/{holding.service}")
        if holding.home != owner:
            if holding.home and now < holding.promised_until:
                self._send(holding.home, Unfollow(holding.service, holding.session))
                self._follow_at(holding, holding.promised_until)
                return
            self._sessions += 1
            holding.turn_to(owner, session=self._sessions, now=now)
        # An earlier run on this host may have voted for another home just before it ended.
        echo = holding.echo if now >= self._started + self.vote_s else 0
        if echo:
            holding.promised_until = now + self.vote_s
        follow = Follow(
            holding.service,
            holding.session,
            int(now * 1000),
            echo,
            holding.promised,
            holding.accepted,
            holding.number,
            holding.masks(),
        )
        self._send(holding.home, follow)

    def _follow_at(self, holding: Holding, when: float) -> None:
        if not holding.turning:
            holding.turning = True
            wait_s = max(when - self.clock.monotonic(), 0.0) + 0.001
            asyncio.get_running_loop().call_later(wait_s, self._follow_now, holding)

    def _follow_now(self, holding: Holding) -> None:
        holding.turning = False
        if self.holdings_by_service.get(holding.service) is holding:
            self._follow(holding)

    # Messages from a home.

    def take_followed(self, sender: Member, message: Followed) -> None:
        """Take in the home's answer."""
        holding = self._current(sender, message.service, message.session)
        if holding is None:
            return
        first = not holding.echo
        holding.echo = max(holding.echo, message.clock)
        holding.number = max(holding.number, message.number)
        holding.lending = message.lending
        noted = (holding.promised, holding.accepted)
        holding.promised = max(holding.promised, message.term)
        if message.accept and message.term == holding.promised:
            holding.accepted = message.term
        if message.leased:
            until = message.sent / 1000 + self.lease_s
            started = holding.leased_until < self.clock.monotonic()
            holding.leased_until = max(holding.leased_until, until)
            if started:
                self.slots.serve(holding.service)
                self.want(holding.service)
        if first or noted != (holding.promised, holding.accepted):
            self._follow(holding)

    def take_unfollowed(self, sender: Member, message: Unfollowed) -> None:
        """Take in that the home counts this member no longer."""
        holding = self._current(sender, message.service, message.session)
        if holding is None:
            return
        holding.promised_until = 0.0
        holding.home = ""
        holding.leased_until = min(holding.leased_until, self.clock.monotonic())
        if self.members.owner(f"slots/{holding.service}") != sender.id:
            self._follow(holding)

    def take_grant(self, sender: Member, message: Grant) -> None:
        """Take in slots that were lent, unless they come too late."""
        holding = self._holding(message.service)
        if message.session != holding.session or message.number <= holding.number:
            return
        holding.number = message.number
        now = self.clock.monotonic()
        for slot_id in ids_of(message.slots):
            hold = holding.holds_by_id.get(slot_id, Hold(0, 0, now, 0.0))
            holding.holds_by_id[slot_id] = hold._replace(number=message.number)
            holding.asked = max(holding.asked - 1, 0)
        self.slots.serve(message.service)
        self._spare(holding)

    def take_recall(self, sender: Member, message: Recall) -> None:
        """Return what is idle, because others wait."""
        holding = self._current(sender, message.service, message.session)
        if holding is None:
            return
        now = self.clock.monotonic()
        holding.recall = (message.urgency, now - message.waited_ms / 1000)
        holding.recalled_until = now + RECALL_S
        self._spare(holding)

    def _spare(self, holding: Holding) -> None:
        now = self.clock.monotonic()
        if now < holding.recalled_until and not self.slots.waiting(holding.service):
            self._return(holding, holding.idle())

    def _ask(self, holding: Holding) -> None:
        holding.asking = False
        demand = self.slots.demand(holding.service)
        if demand.waiting == holding.asked or not holding.echo:
            return
        holding.asked = demand.waiting
        holding.ask_sequence += 1
        excluded = [*demand.exclude, *holding.excluded_until]
        ask = Ask(
            holding.service,
            holding.session,
            holding.ask_sequence,
            holding.number,
            demand.waiting,
            demand.urgency,
            int(demand.waited_s * 1000),
            excluded,
        )
        self._send(holding.home, ask)

    def _recalled(self, holding: Holding, now: float) -> bool:
        """Whether a slot that was just freed is due to another member."""
        if now >= holding.recalled_until or not holding.lending:
            return False
        demand = self.slots.demand(holding.service)
        if not demand.waiting:
            return True
        urgency, since = holding.recall
        if urgency != demand.urgency:
            return urgency < demand.urgency
        # A slot on its way to another entry host stands idle, so a small lead isn't worth a trip.
        return demand.waited_s + FAIR_WAIT_S < now - since

    def _use(self, holding: Holding, slot_id: SlotId, view: ExecutorView, until: float) -> Slot:
        self._uses += 1
        now = self.clock.monotonic()
        hold = holding.holds_by_id[slot_id]
        holding.holds_by_id[slot_id] = hold._replace(used=self._uses, since=now, until=until)
        return Slot(holding.service, slot_id, view, now, until, self._uses)

    def _return(self, holding: Holding, slot_ids: list[SlotId]) -> None:
        numbered: dict[int, list[SlotId]] = {}
        for slot_id in slot_ids:
            hold = holding.holds_by_id.pop(slot_id)
            numbered.setdefault(hold.number, []).append(slot_id)
        if numbered:
            masks = {number: masks_of(ids) for number, ids in numbered.items()}
            self._send(holding.home, Return(holding.service, holding.session, masks))

    def _current(self, sender: Member, service: str, session: int) -> Holding | None:
        holding = self._holding(service)
        return holding if (holding.session, holding.home) == (session, sender.id) else None

    def _holding(self, service: str) -> Holding:
        holding = self.holdings_by_service.get(service)
        if holding is None:
            holding = self.holdings_by_service[service] = Holding(service=service)
        return holding

    def home(self, service: str) -> Home:
        """This member's part as home of a service, or as deputy of its home."""
        home = self.homes_by_service.get(service)
        if home is None:
            home = self.homes_by_service[service] = Home(
                service=service,
                members=self.members,
                clock=self.clock,
                lease_s=self.lease_s,
                hold_s=self.max_hold_s(service),
                candidates=lambda: self.slots.executors.candidates(service),
                send=self._send,
            )
        return home

    def _send(self, member_id: str, message: AnyMessage) -> None:
        if member_id != self.members.me.id:
            self.peers.send(member_id, message)
            return
        handler = self._handlers_by_type[type(message)]
        asyncio.get_running_loop().call_soon(self._deliver, handler, self.members.me, message)

    def _deliver(self, handler: Callable[[Member, Any], Any], me: Member, message: Any) -> None:
        if me.id == self.members.me.id:
            handler(me, message)

    def _handlers(self) -> dict[type, Callable[[Member, Any], Any]]:
        def to(method: Callable[[Home, Member, Any], None]) -> Callable[[Member, Any], None]:
            return lambda sender, message: method(self.home(message.service), sender, message)

        return {
            Followed: self.take_followed,
            Unfollowed: self.take_unfollowed,
            Grant: self.take_grant,
            Recall: self.take_recall,
            Follow: to(Home.take_follow),
            Unfollow: to(Home.take_unfollow),
            Ask: to(Home.take_ask),
            Return: to(Home.take_return),
            Mirror: to(Home.take_mirror),
            Lend: to(Home.take_lend),
            MirrorLost: to(Home.take_mirror_lost),
            MirrorAsk: to(Home.take_mirror_ask),
        }

    def _changed(self, member: Member, old: Member | None) -> None:
        if old is not None and old.state is member.state:
            return
        if member.host == self.members.me.host and member.state is MemberState.dead:
            self._void()
        for holding in self.holdings_by_service.values():
            if holding.home != self.members.owner(f"slots/{holding.service}"):
                self._follow(holding)

    def _gap(self, lost_s: float) -> None:
        """Drop what lapsed while this process was paused, before anything else is done."""
        for holding in self.holdings_by_service.values():
            self._tidy(holding)

    def _void(self) -> None:
        """Start anew under a new incarnation."""
        self._started = self.clock.monotonic()
        terms = {s: (h.promised, h.accepted) for s, h in self.holdings_by_service.items()}
        self.holdings_by_service.clear()
        self.homes_by_service.clear()
        for service, (promised, accepted) in terms.items():
            holding = self._holding(service)
            holding.promised, holding.accepted = promised, accepted
