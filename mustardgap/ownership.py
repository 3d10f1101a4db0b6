"""Who owns which slots: a pure function of the log's entry records, taken over safely."""

from collections.abc import Callable
from typing import NamedTuple

import xxhash

from .ledgers import ids_of
from .messages import Settled
from .slots import SlotId
from .states import State
from .timers import Clock

FORGET_S = 3600.0


class Past(NamedTuple):
    """Hosts that shared until ``until``; none named means that they aren't known here."""

    hosts: tuple[str, ...]
    until: float


class Lapse(NamedTuple):
    """What a run owned that ended without a leave, and when this daemon folded that.

    It had lost the slots to others ``lost_s`` seconds earlier.
    """

    hosts: tuple[str, ...]
    host: str
    since: float
    lost_s: float


class Ownership:
    """The slots that this entry host owns, and which of them nobody else may use any more.

    A slot that comes into this host's hands may still be in use by who had it before. Two would
    use it at once, and an executor get a ninth request. So it isn't usable before every joined
    entry host, having folded the same record, has said that it neither uses nor lends it. Who is
    gone can't say so; its slots wait until its last request is surely over.

    :param state: the folded state.
    :param host: this entry host.
    :param incarnation: gives this run's number.
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
        self.answers_by_host: dict[str, set[SlotId]] = {}
        self.usable: set[SlotId] = set()
        self.lapses: list[Lapse] = []
        self._past = [Past((), clock.monotonic())]
        self._unclean_by_host: dict[str, int] = {}
        self._ranks: dict[tuple[tuple[str, ...], str], list[str]] = {}

    def refresh(self, *, whole: bool = False) -> bool:
        """Look whether the folded state names other owners.

        :param whole: the state was taken over whole, and what happened in between isn't known.
        :return: whether it does.
        """
        entries = self.state.entries_by_host
        joined = {h: e["incarnation"] for h, e in entries.items() if e["state"] == "joined"}
        if joined == self.joined and not whole:
            return False
        now = self.clock.monotonic()
        self._past = [p for p in self._past if p.until > now - FORGET_S]
        self._past.append(Past(() if whole else self.hosts, now))
        self.lapses = [lapse for lapse in self.lapses if lapse.since > now - FORGET_S]
        for host, entry in entries.items():
            if entry["unclean"] > self._unclean_by_host.get(host, -1):
                self._unclean_by_host[host] = entry["unclean"]
                self.lapses += [Lapse(p.hosts, host, now, now - p.until) for p in self._past]
        self.joined = joined
        self.hosts = tuple(sorted(joined))
        self.offset = max([self.offset, *(e["offset"] for e in entries.values())])
        self.answers_by_host.clear()
        kept = set() if whole else {i for i in self.usable if self.owner(i) == self.host}
        self.usable = kept
        return True

    def restart(self) -> None:
        """Own nothing as a matter of course, as a new run."""
        self.usable.clear()
        self.answers_by_host.clear()

    def owner(self, slot_id: SlotId) -> str:
        """The host that owns a slot, "" without any."""
        return self._owner(self.hosts, slot_id)

    def is_joined(self) -> bool:
        """Whether this run is among the owners."""
        return not self.is_leaving and self.joined.get(self.host) == self.incarnation()

    def others(self) -> set[str]:
        """The ids of the other joined entry hosts."""
        return {f"{h}@{i:x}" for h, i in self.joined.items() if h != self.host}

    def take_settled(self, host: str, message: Settled) -> None:
        """Take in what a joined entry host still uses or lends."""
        if message.offset <= self.offset:
            return
        self.answers_by_host[host] = set(ids_of(message.busy))
        folded = self.clock.monotonic() - message.age_ms / 1000
        self.lapses = [lapse._replace(since=min(lapse.since, folded)) for lapse in self.lapses]

    def unheard(self) -> set[str]:
        """The joined hosts that haven't answered since the last change."""
        return set(self.hosts) - {self.host} - self.answers_by_host.keys()

    def may_use(self, slot_id: SlotId, wait_s: float) -> bool:
        """Whether a slot is this host's and nobody else's.

        :param wait_s: after so long whoever is gone surely uses nothing any more.
        """
        if not self.is_joined():
            return False
        if slot_id in self.usable:
            return True
        if self.owner(slot_id) != self.host or self.unheard():
            return False
        if any(slot_id in busy for busy in self.answers_by_host.values()):
            return False
        after = self.clock.monotonic() - wait_s
        for lapse in self.lapses:
            theirs = not lapse.hosts or self._owner(lapse.hosts, slot_id) == lapse.host
            if theirs and lapse.since > after and lapse.lost_s < wait_s:
                return False
        self.usable.add(slot_id)
        return True

    def age_s(self) -> float:
        """Seconds since the last run ended without a leave, as far as is known here."""
        now = self.clock.monotonic()
        return min((now - lapse.since for lapse in self.lapses), default=FORGET_S)

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
