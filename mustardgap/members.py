"""The known entry hosts, their states, and the owner of a key."""

import random
import time
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

import xxhash

from .messages import MemberDelta, MemberRow
from .models import RULES_VERSION
from .settings import Settings
from .timers import Timers


class MemberState(IntEnum):
    """The states of a member; of two reports with the same version, the higher state wins."""

    live = 0
    suspect = 1
    leaving = 2
    dead = 3


class Member(NamedTuple):
    """One run of one entry host; a replaced host has a higher incarnation.

    ``version`` counts the member's own reports of its state. ``seen`` is the monotonic time at
    which this daemon last received a message from it directly.
    """

    host: str
    incarnation: int
    peers_address: str
    operators_address: str
    data_center: str
    state: MemberState = MemberState.live
    offset: int = -1
    rules: int = RULES_VERSION
    seen: float = 0.0
    version: int = 0
    since: float = 0.0

    @property
    def id(self) -> str:
        """Host and incarnation, which together identify one run of a daemon."""
        return f"{self.host}@{self.incarnation:x}"


def new_incarnation(after: int = 0) -> int:
    """Return a number above those of earlier runs of this host: start time and random bits.

    :param after: an incarnation to exceed, for a host whose clock was set back.
    """
    start = (time.time_ns() // 1_000_000) << 21 | random.getrandbits(21)
    return max(start, after + 1 + random.getrandbits(21))


def me_from(settings: Settings) -> Member:
    """Return this daemon as a member, from its settings."""
    address = f"[{settings.address}]" if ":" in settings.address else settings.address
    return Member(
        host=settings.host,
        incarnation=new_incarnation(),
        peers_address=f"{address}:{settings.peers.port}",
        operators_address=f"{address}:{settings.operators.port}",
        data_center=settings.data_center,
    )


Callback = Callable[[Member, Member | None], None]


class Members:
    """All members this daemon knows of, by id.

    A member is first suspected, and declared dead only if it doesn't deny that within
    ``peers.dead_s``; an incarnation stays dead.

    :param me: this daemon.
    :param settings: the daemon's settings.
    :param timers: the timer service.
    """

    FORGET_DEAD_AFTER_S = 120.0

    def __init__(self, *, me: Member, settings: Settings, timers: Timers) -> None:
        self.me = me
        self.settings = settings
        self.timers = timers
        self.by_id: dict[str, Member] = {me.id: me}
        self.listed_hosts: frozenset[str] = frozenset()
        self._callbacks: list[Callback] = []
        self._ranks_by_key: dict[str, list[str]] = {}

    def on_change(self, callback: Callback) -> None:
        """Register a callback for new members and changed states; it gets new and old value."""
        self._callbacks.append(callback)

    def live(self) -> list[Member]:
        """Return the members that may own keys, with this daemon unless it is leaving."""
        return [m for m in self.by_id.values() if m.state is MemberState.live]

    def peers(self) -> list[Member]:
        """Return the other members that aren't dead."""
        return [
            m for m in self.by_id.values() if m.state is not MemberState.dead and m.id != self.me.id
        ]

    def ranked(self, key: str) -> list[str]:
        """Return the live members' ids by rendezvous hashing of a key, the owner first."""
        ranks = self._ranks_by_key.get(key)
        if ranks is None:
            if len(self._ranks_by_key) > 10_000:
                self._ranks_by_key.clear()
            ranks = sorted((m.id for m in self.live()), key=lambda i: _weight(key, i), reverse=True)
            self._ranks_by_key[key] = ranks
        return ranks

    def owner(self, key: str) -> str:
        """Return the id of the live member that owns a key, or this daemon's if none is live."""
        ranks = self.ranked(key)
        return ranks[0] if ranks else self.me.id

    def by_host(self, host: str) -> Member | None:
        """Return the latest incarnation of a host."""
        found = [m for m in self.by_id.values() if m.host == host]
        return max(found, key=lambda m: m.incarnation, default=None)

    def electorate(self) -> set[str]:
        """Return the hosts of which a majority must follow a lender before it lends slots.

        These are the live or suspected hosts and those that the platform still lists. An
        unreachable member stays in: otherwise each half of a partitioned network would count only
        itself, and both would lend the same slots. A member that hasn't read the list yet
        (``listed_hosts`` is empty) can't tell how many make a majority.
        """
        hosts = {self.me.host, *self.listed_hosts}
        for m in self.by_id.values():
            if m.state in (MemberState.live, MemberState.suspect):
                hosts.add(m.host)
        for host in list(hosts):
            latest = self.by_host(host)
            if latest is not None and latest.state is MemberState.leaving:
                hosts.discard(host)
        return hosts

    def update_me(
        self,
        *,
        offset: int | None = None,
        state: MemberState | None = None,
    ) -> None:
        """Change what this daemon reports of itself."""
        me = self.me
        if offset is not None and offset != me.offset:
            me = me._replace(offset=offset)
        if state is not None and state is not me.state:
            me = me._replace(state=state, version=me.version + 1)
        self._put(me)

    def start_new_incarnation(self, after: int = 0) -> None:
        """Continue under a new incarnation; all that was held under the old one is void."""
        old = self.me
        incarnation = self.next_incarnation(max(after, old.incarnation))
        self.by_id.pop(old.id, None)
        self.me = old._replace(incarnation=incarnation, version=0, state=MemberState.live)
        self._put(self.me)
        self._changed(old._replace(state=MemberState.dead), old)

    def next_incarnation(self, after: int) -> int:
        """Return a number above that of any run of this host."""
        return new_incarnation(after)

    def record_contact(self, member_id: str) -> None:
        """Record the time at which a message from a member was received directly."""
        m = self.by_id.get(member_id)
        if m is not None:
            self.by_id[member_id] = m._replace(seen=self.timers.clock.monotonic())

    def suspect(self, member_id: str) -> None:
        """Mark a live member as suspect, as it can't be reached."""
        m = self.by_id.get(member_id)
        if m is not None and m.state is MemberState.live and m.id != self.me.id:
            self._put(m._replace(state=MemberState.suspect))

    def expire_members(self) -> None:
        """Declare members dead that were suspect or leaving for too long; remove old dead ones."""
        now = self.timers.clock.monotonic()
        for m in list(self.by_id.values()):
            if m.id == self.me.id:
                continue
            age = now - m.since
            if m.state is not MemberState.dead and age > self._state_timeout_s(m):
                self._put(m._replace(state=MemberState.dead))
            elif m.state is MemberState.dead and age > self.FORGET_DEAD_AFTER_S:
                del self.by_id[m.id]

    def _state_timeout_s(self, m: Member) -> float:
        match m.state:
            case MemberState.suspect:
                return self.settings.peers.dead_s
            case MemberState.leaving:
                return self.settings.stop_timeout_s
        return float("inf")

    def apply_row(self, row: MemberRow) -> bool:
        """Apply a peer's report of a member.

        :return: whether it changed anything.
        """
        if row.host == self.me.host:
            return self._apply_own(row.incarnation, row.version, row.state)
        known = self.by_id.get(f"{row.host}@{row.incarnation:x}")
        if known is not None:
            return self.apply_delta(
                MemberDelta(row.incarnation, row.version, row.state, row.offset), known
            )
        latest = self.by_host(row.host)
        if latest is not None and latest.incarnation > row.incarnation:
            return False
        if row.state == MemberState.dead:
            return False
        self._put(
            Member(
                host=row.host,
                incarnation=row.incarnation,
                peers_address=row.peers_address,
                operators_address=row.operators_address,
                data_center=row.data_center,
                state=MemberState(row.state),
                offset=row.offset,
                rules=row.rules,
                version=row.version,
            )
        )
        if latest is not None and latest.state is not MemberState.dead:
            # Two runs of a host never overlap for long: a newer one means that the older has ended.
            self._put(latest._replace(state=MemberState.dead))
        return True

    def apply_delta(self, delta: MemberDelta, known: Member | None = None) -> bool:
        """Apply a change of a known member.

        :return: whether it changed anything.
        """
        if delta.incarnation == self.me.incarnation:
            return self._apply_own(delta.incarnation, delta.version, delta.state)
        known = known or self.by_incarnation(delta.incarnation)
        if known is None:
            return False
        m = known._replace(offset=max(known.offset, delta.offset))
        newer = (delta.version, delta.state) > (known.version, known.state)
        if known.state is not MemberState.dead and (newer or delta.state == MemberState.dead):
            m = m._replace(version=delta.version, state=MemberState(delta.state))
        if m == known:
            return False
        self._put(m)
        return True

    def by_incarnation(self, incarnation: int) -> Member | None:
        """Return the member with an incarnation."""
        return next((m for m in self.by_id.values() if m.incarnation == incarnation), None)

    def _apply_own(self, incarnation: int, version: int, state: int) -> bool:
        if incarnation > self.me.incarnation:
            # The clock was set back between two runs; peers would consider this run the older.
            self.start_new_incarnation(incarnation)
            return True
        if incarnation < self.me.incarnation or version < self.me.version:
            return False
        if state == MemberState.dead:
            # Others have taken over what this run held. Only a new run may continue.
            self.start_new_incarnation()
            return True
        if state == MemberState.suspect:
            self._put(self.me._replace(version=version + 1))
            return True
        return False

    def _put(self, m: Member) -> None:
        old = self.by_id.get(m.id)
        if old is None or old.state is not m.state:
            m = m._replace(since=self.timers.clock.monotonic())
        self.by_id[m.id] = m
        if m.id == self.me.id:
            self.me = m
        if old is None or old.state is not m.state:
            self._changed(m, old)

    def _changed(self, m: Member, old: Member | None) -> None:
        self._ranks_by_key.clear()
        for callback in self._callbacks:
            callback(m, old)


def row_of(m: Member) -> MemberRow:
    """Return the row that gossip carries for a member."""
    return MemberRow(
        m.host,
        m.incarnation,
        m.version,
        int(m.state),
        m.peers_address,
        m.operators_address,
        m.data_center,
        m.offset,
        m.rules,
    )


def _weight(key: str, member_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{member_id}".encode())
