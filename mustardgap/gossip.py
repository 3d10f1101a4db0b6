"""Gossip among entry hosts: members, their offsets in the log, and notices."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from .links import Link
from .members import Member, MemberState, row_of
from .messages import Gossip, MemberDelta, MemberRow, NoticeRow
from .peers import Peers

NoticeCallback = Callable[[str, Any, Member], None]
MAX_NOTICES = 20_000
MAX_ROWS = 200


class Notice(NamedTuple):
    """The latest value of a key; it expires at ``until``, a monotonic time."""

    stamp: int
    until: float
    value: Any


class Gossiper:
    """Sends a few peers at a time what changed since their last update.

    Gossip may be lost at any time: no guarantee depends on it.

    :param peers: the streams to the peers.
    """

    def __init__(self, *, peers: Peers) -> None:
        self.peers = peers
        self.members = peers.members
        self.timers = peers.timers
        self.settings = peers.settings
        self.notices_by_key: dict[tuple[str, str], Notice] = {}
        self._callbacks_by_kind: dict[str, list[NoticeCallback]] = {}
        peers.handle(Gossip, self._apply)
        peers.on_open(self._on_open)
        self.members.on_change(self._on_change)

    def on_notice(self, kind: str, callback: NoticeCallback) -> None:
        """Register a callback for new received notices; it gets key, value and relaying peer."""
        self._callbacks_by_kind.setdefault(kind, []).append(callback)

    def publish(
        self, kind: str, key: str, value: Any, *, ttl_s: float, urgent: bool = False
    ) -> None:
        """Publish a short-lived notice to all entry hosts.

        :param kind: what the notice is about, such as ``leaving``.
        :param key: what it concerns; a later notice of the same kind and key replaces it.
        :param value: a value that msgpack can encode.
        :param ttl_s: seconds after which it expires.
        :param urgent: send it to all connected peers now, not in the next round.
        """
        stamp = int(self.timers.clock.wall() * 1000)
        old = self.notices_by_key.get((kind, key))
        if old is not None:
            stamp = max(stamp, old.stamp + 1)
        now = self.timers.clock.monotonic()
        self.notices_by_key[kind, key] = Notice(stamp, now + ttl_s, value)
        if urgent:
            self._send_updates(self.peers.connected())

    def notice(self, kind: str, key: str) -> Any:
        """Return the value of a notice that hasn't expired, or None."""
        found = self.notices_by_key.get((kind, key))
        if found is None or found.until < self.timers.clock.monotonic():
            return None
        return found.value

    def run_round(self) -> None:
        """Send a few connected peers what is new to them; called every ``peers.gossip_s``."""
        self.members.expire_members()
        self._expire()
        connected = self.peers.connected()
        self._send_updates(
            random.sample(connected, min(self.settings.peers.fanout, len(connected)))
        )

    def _send_updates(self, member_ids: list[str]) -> None:
        for member_id in member_ids:
            link = self.peers.links_by_id[member_id]
            message = self._updates_for(link)
            if message.rows or message.deltas or message.notices:
                self.peers.send(member_id, message)

    def _updates_for(self, link: Link) -> Gossip:
        rows: list[MemberRow] = []
        deltas: list[MemberDelta] = []
        for m in list(self.members.by_id.values()):
            current = (m.version, int(m.state), m.offset)
            known = link.known_by_peer.get(m.incarnation)
            if known == current or len(rows) + len(deltas) >= MAX_ROWS:
                continue
            if known is None and m.id != link.member_id:
                rows.append(row_of(m))
            else:
                deltas.append(MemberDelta(m.incarnation, *current))
            link.known_by_peer[m.incarnation] = current
        return Gossip(rows, deltas, self._notices(link))

    def _notices(self, link: Link) -> list[NoticeRow]:
        now = self.timers.clock.monotonic()
        found: list[NoticeRow] = []
        for key, notice in self.notices_by_key.items():
            if link.known_by_peer.get(key) == notice.stamp or len(found) >= MAX_ROWS:
                continue
            remaining_s = notice.until - now
            if remaining_s > 0:
                found.append(NoticeRow(*key, notice.stamp, round(remaining_s, 1), notice.value))
                link.known_by_peer[key] = notice.stamp
        return found

    def _apply(self, sender: Member, message: Gossip) -> None:
        link = self.peers.links_by_id.get(sender.id)
        known = link.known_by_peer if link is not None else {}
        for row in message.rows:
            known[row.incarnation] = (row.version, row.state, row.offset)
            self.members.apply_row(row)
        for delta in message.deltas:
            known[delta.incarnation] = (delta.version, delta.state, delta.offset)
            self.members.apply_delta(delta)
        for notice in message.notices:
            known[notice.kind, notice.key] = notice.stamp
            self._apply_notice(sender, notice)

    def _apply_notice(self, sender: Member, row: NoticeRow) -> None:
        key = (row.kind, row.key)
        old = self.notices_by_key.get(key)
        if old is not None and old.stamp >= row.stamp:
            return
        if len(self.notices_by_key) >= MAX_NOTICES and key not in self.notices_by_key:
            return
        until = self.timers.clock.monotonic() + row.ttl_s
        self.notices_by_key[key] = Notice(row.stamp, until, row.value)
        for callback in self._callbacks_by_kind.get(row.kind, []):
            callback(row.key, row.value, sender)

    def _expire(self) -> None:
        now = self.timers.clock.monotonic()
        for key in [k for k, n in self.notices_by_key.items() if n.until < now]:
            del self.notices_by_key[key]

    def _on_open(self, member: Member) -> None:
        self._send_updates([member.id])

    def _on_change(self, member: Member, old: Member | None) -> None:
        """Send updates at once when a member leaves or this daemon's state changes."""
        if member.id == self.members.me.id or member.state is MemberState.leaving:
            self._send_updates(self.peers.connected())
