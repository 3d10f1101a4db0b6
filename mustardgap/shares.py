"""Two simple policies for sharing slots: fixed shares, and least in-flight by choice of two."""

import random
from collections import Counter
from typing import Any

from .executors import ExecutorView
from .gossip import Gossiper
from .members import Member, Members
from .slots import Slot, SlotId, Slots

LOAD_TTL_S = 5.0


class FixedShares:
    """Divides each executor's slots among the live members by rendezvous hashing.

    :param slots: the ``Slots`` whose requests are served.
    :param members: the members that share the slots.
    """

    def __init__(self, *, slots: Slots, members: Members) -> None:
        self.slots = slots
        self.members = members
        self._used: set[SlotId] = set()

    def take(self, service: str, exclude: frozenset[str], deadline: float) -> Slot | None:
        """Take a free slot of this member's share, on the executor where it has most free slots."""
        views = [v for v in self.slots.executors.candidates(service) if v.executor not in exclude]
        random.shuffle(views)
        free = [(self._free_slots(view), view) for view in views]
        best, view = max(free, key=lambda f: len(f[0]), default=([], None))
        if view is None or not best:
            return None
        self._used.add(best[0])
        return Slot(service, best[0], view, self.slots.timers.clock.monotonic(), deadline)

    def give_back(self, slot: Slot) -> None:
        """Give a slot back."""
        self._used.discard(slot.id)

    def demand_changed(self, service: str) -> None:
        """Do nothing: a share doesn't depend on demand."""

    def stalled(self, service: str) -> bool:
        """Return False: a share depends on no messages."""
        return False

    def _free_slots(self, view: ExecutorView) -> list[SlotId]:
        ranked = self.members.ranked(f"slots/{view.executor}")
        if self.members.me.id not in ranked:
            return []
        first = ranked.index(self.members.me.id)
        own = [SlotId(view.executor, i) for i in range(first, view.slots, len(ranked))]
        return [slot_id for slot_id in own if slot_id not in self._used]


class LeastInFlight:
    """Takes slots on the less busy of two executors, by own and gossiped counts.

    All members together can exceed an executor's slots while counts are out of date.

    :param slots: the ``Slots`` whose requests are served.
    :param gossiper: exchanges the members' counts.
    """

    def __init__(self, *, slots: Slots, gossiper: Gossiper) -> None:
        self.slots = slots
        self.gossiper = gossiper
        self.me = gossiper.members.me.id
        self._own_counts: Counter[str] = Counter()
        self._counts_by_member: dict[str, dict[str, int]] = {}
        self._published_counts: dict[str, int] = {}
        gossiper.on_notice("load", self._apply_load)
        gossiper.members.on_change(self._on_member_change)

    def take(self, service: str, exclude: frozenset[str], deadline: float) -> Slot | None:
        """Take a slot of the less busy of two random executors that seem to have a free one."""
        free = [
            (self.in_flight(view.executor) / view.slots, view)
            for view in self.slots.executors.candidates(service)
            if view.executor not in exclude and self.in_flight(view.executor) < view.slots
        ]
        if not free:
            return None
        pair = random.sample(free, min(2, len(free)))
        view = min(pair, key=lambda f: f[0])[1]
        self._own_counts[view.executor] += 1
        slot_id = SlotId(view.executor, self._own_counts[view.executor])
        return Slot(service, slot_id, view, self.slots.timers.clock.monotonic(), deadline)

    def give_back(self, slot: Slot) -> None:
        """Give a slot back."""
        self._own_counts[slot.executor.executor] -= 1

    def demand_changed(self, service: str) -> None:
        """Do nothing: counts are published independently of demand."""

    def stalled(self, service: str) -> bool:
        """Return False: the last known counts are used even if they are old."""
        return False

    def in_flight(self, executor: str) -> int:
        """Return the known number of requests in flight at an executor."""
        others = sum(counts.get(executor, 0) for counts in self._counts_by_member.values())
        return self._own_counts[executor] + others

    def publish(self) -> None:
        """Gossip this member's counts when they have changed."""
        counts = {executor: n for executor, n in self._own_counts.items() if n}
        if counts != self._published_counts:
            self._published_counts = counts
            self.gossiper.publish("load", self.me, counts, ttl_s=LOAD_TTL_S)

    def _apply_load(self, key: str, value: Any, sender: Member) -> None:
        self._counts_by_member[key] = value

    def _on_member_change(self, member: Member, old: Member | None) -> None:
        if member.id in self._counts_by_member and member.state.name in ("dead", "suspect"):
            del self._counts_by_member[member.id]
