"""Slot ownership: a pure function of the log's entry records, with a safe handover."""

from collections.abc import Callable
from typing import NamedTuple

import xxhash

from .ledgers import slot_ids_of
from .messages import Settled
from .slots import SlotId
from .states import State
from .timers import Clock

HISTORY_RETENTION_S = 3600.0


class PastOwners(NamedTuple):
    """The owning hosts until monotonic time ``until``; empty if they aren't known here."""

    hosts: tuple[str, ...]
    until: float


class UncleanEnd(NamedTuple):
    """A run that ended without a leave record, and the owners among which it had slots.

    ``since`` is the monotonic time at which this daemon folded the end. The slots had passed to
    other owners ``lost_s`` seconds earlier.
    """

    hosts: tuple[str, ...]
    host: str
    since: float
    lost_s: float


class Ownership:
    """The slots that this entry host owns, and which of them no other host can still be using.

    The previous owner of a slot may still use it after the change. Two hosts would then use it at
    once, and an executor would get a ninth request. The slot therefore becomes usable only when
    every joined entry host has folded the same record and reported that it neither uses nor lends
    the slot. A host that is gone can't report; its slots stay unusable until its last request must
    have ended.

    :param state: the folded state.
    :param host: this entry host.
    :param incarnation: returns this run's number.
    :param clock: the clocks to read.
    """

    def __init__(
        self, *, state: State, host: str, incarnation: Callable[[], int], clock: Clock
    ) -> None:
        self.state = state
        self.host = host
        self.incarnation = incarnation
        self.clock = clock
        self.offset = -1
        self.is_leaving = False
        self.joined: dict[str, int] = {}
        self.hosts: tuple[str, ...] = ()
        self.busy_slots_by_host: dict[str, set[SlotId]] = {}
        self.usable: set[SlotId] = set()
        self.unclean_ends: list[UncleanEnd] = []
        self._past_owners = [PastOwners((), clock.monotonic())]
        self._unclean_by_host: dict[str, int] = {}
        self._ranks: dict[tuple[tuple[str, ...], str], list[str]] = {}

    def refresh(self, *, from_snapshot: bool = False) -> bool:
        """Update the owners from the folded state.

        :param from_snapshot: the state comes from a snapshot; changes before it aren't known.
        :return: whether the owners have to be taken as changed.
        """
        entries = self.state.entries_by_host
        joined = {h: e["incarnation"] for h, e in entries.items() if e["state"] == "joined"}
        if joined == self.joined and not from_snapshot:
            return False
        now = self.clock.monotonic()
        self._past_owners = [p for p in self._past_owners if p.until > now - HISTORY_RETENTION_S]
        self._past_owners.append(PastOwners(() if from_snapshot else self.hosts, now))
        self.unclean_ends = [
            end for end in self.unclean_ends if end.since > now - HISTORY_RETENTION_S
        ]
        for host, entry in entries.items():
            if entry["unclean"] > self._unclean_by_host.get(host, -1):
                self._unclean_by_host[host] = entry["unclean"]
                self.unclean_ends += [
                    UncleanEnd(p.hosts, host, now, now - p.until) for p in self._past_owners
                ]
        self.joined = joined
        self.hosts = tuple(sorted(joined))
        self.offset = max([self.offset, *(e["offset"] for e in entries.values())])
        self.busy_slots_by_host.clear()
        kept = set() if from_snapshot else {i for i in self.usable if self.owner(i) == self.host}
        self.usable = kept
        return True

    def restart(self) -> None:
        """Consider no slot usable, as a new run does."""
        self.usable.clear()
        self.busy_slots_by_host.clear()

    def owner(self, slot_id: SlotId) -> str:
        """Return the host that owns a slot, or "" when there is no owner."""
        return self._owner(self.hosts, slot_id)

    def is_joined(self) -> bool:
        """Return whether this run is among the owners."""
        return not self.is_leaving and self.joined.get(self.host) == self.incarnation()

    def other_member_ids(self) -> set[str]:
        """Return the member ids of the other joined entry hosts."""
        return {f"{h}@{i:x}" for h, i in self.joined.items() if h != self.host}

    def apply_settled(self, host: str, message: Settled) -> None:
        """Apply a joined entry host's report of the slots that it still uses or lends."""
        if message.offset <= self.offset:
            return
        self.busy_slots_by_host[host] = set(slot_ids_of(message.busy))
        folded = self.clock.monotonic() - message.age_ms / 1000
        self.unclean_ends = [
            end._replace(since=min(end.since, folded)) for end in self.unclean_ends
        ]

    def unreported_hosts(self) -> set[str]:
        """Return the other joined hosts that haven't reported since the last change."""
        return set(self.hosts) - {self.host} - self.busy_slots_by_host.keys()

    def may_use(self, slot_id: SlotId, wait_s: float) -> bool:
        """Return whether this host owns a slot and no other host can still be using it.

        :param wait_s: seconds after which a host that is gone can't use any slot any more.
        """
        if not self.is_joined():
            return False
        if slot_id in self.usable:
            return True
        if self.owner(slot_id) != self.host or self.unreported_hosts():
            return False
        if any(slot_id in busy for busy in self.busy_slots_by_host.values()):
            return False
        after = self.clock.monotonic() - wait_s
        for end in self.unclean_ends:
            may_be_theirs = not end.hosts or self._owner(end.hosts, slot_id) == end.host
            if may_be_theirs and end.since > after and end.lost_s < wait_s:
                return False
        self.usable.add(slot_id)
        return True

    def last_unclean_end_age_s(self) -> float:
        """Return the seconds since the last known end of a run without a leave record."""
        now = self.clock.monotonic()
        return min((now - end.since for end in self.unclean_ends), default=HISTORY_RETENTION_S)

    def _owner(self, hosts: tuple[str, ...], slot_id: SlotId) -> str:
        if not hosts:
            return ""
        key = (hosts, slot_id.executor)
        ranked = self._ranks.get(key)
        if ranked is None:
            if len(self._ranks) > 10_000:
                self._ranks.clear()
            ranked = sorted(hosts, key=lambda host: _weight(slot_id.executor, host), reverse=True)
            self._ranks[key] = ranked
        return ranked[slot_id.position % len(ranked)]


def _weight(executor: str, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f"slots/{executor}\0{host}".encode())
