"""Lending: which member holds which slots of one service, as its home has it noted."""

from collections import Counter, deque
from collections.abc import Iterable
from typing import NamedTuple

from .executors import ExecutorView
from .messages import Ask, Follow, Grant, Masks, Return
from .slots import SlotId


class Follower:
    """A member that follows this home, and the slots it may hold, by the number of their grant.

    :param session: the member's session.
    :param held: the slots it reported when it came.
    """

    def __init__(self, *, session: int, held: Masks) -> None:
        self.session = session
        self.numbers_by_id: dict[SlotId, int] = dict.fromkeys(ids_of(held), 0)
        self.sent = 0
        self.heard = 0.0
        self.vote_until = 0.0
        self.promised = 0
        self.accepted = 0
        self.number = 0
        self.number_before = 0
        self.ask: Ask | None = None
        self.asked = 0.0
        self.lacks = 0
        self.grants: deque[Grant] = deque()

    def note_ask(self, ask: Ask, asked: float) -> None:
        """Take in an ask; grants that it couldn't know of are on their way and count."""
        self.note_number(ask.number)
        self.ask = ask
        self.asked = asked
        coming = sum(mask.bit_count() for grant in self.grants for mask in grant.slots.values())
        self.lacks = ask.count - coming

    def note_number(self, number: int) -> None:
        """Take in which grants it has dealt with."""
        while self.grants and self.grants[0].number <= number:
            self.grants.popleft()


class Blocked(NamedTuple):
    """Slots that a member out of touch may still use, until a monotonic time."""

    held: Masks
    until: float


class Ledger:
    """The members that follow a home, and what they and others may hold.

    :param lapse_s: seconds after a member's last word when it surely uses no slot any more.
    """

    def __init__(self, *, lapse_s: float) -> None:
        self.lapse_s = lapse_s
        self.followers_by_id: dict[str, Follower] = {}
        self.blocked_by_member: dict[str, Blocked] = {}
        self.let_go: dict[str, int] = {}
        self._uses: Counter[SlotId] = Counter()

    def register(self, member_id: str, message: Follow) -> Follower:
        """Take a member in under a new session, with what it reports."""
        old = self.followers_by_id.get(member_id)
        if old is not None:
            self.drop(member_id, old)
        f = Follower(session=message.session, held=message.held)
        self._uses.update(f.numbers_by_id.keys())
        self.followers_by_id[member_id] = f
        return f

    def settle(self, f: Follower, message: Follow) -> None:
        """Free what the member doesn't hold of the grants it has dealt with."""
        f.note_number(message.number)
        for slot_id, number in list(f.numbers_by_id.items()):
            held = message.held.get(slot_id.executor, 0) >> slot_id.position & 1
            if number <= message.number and not held:
                self.free(f, slot_id)

    def free(self, f: Follower, slot_id: SlotId) -> None:
        del f.numbers_by_id[slot_id]
        self._unuse(slot_id)

    def _unuse(self, slot_id: SlotId) -> None:
        self._uses[slot_id] -= 1
        if self._uses[slot_id] <= 0:
            del self._uses[slot_id]

    def drop(self, member_id: str, f: Follower) -> None:
        del self.followers_by_id[member_id]
        self.let_go[member_id] = max(f.session, self.let_go.get(member_id, 0))
        for slot_id in f.numbers_by_id:
            self._unuse(slot_id)

    def block(self, member_id: str, f: Follower, now: float) -> None:
        held = masks_of(f.numbers_by_id)
        self.drop(member_id, f)
        self.block_masks(member_id, held, now)

    def block_masks(self, member_id: str, held: Masks, now: float) -> None:
        self.unblock(member_id)
        self.blocked_by_member[member_id] = Blocked(held, now + self.lapse_s)
        self._uses.update(ids_of(held))

    def unblock(self, member_id: str) -> None:
        blocked = self.blocked_by_member.pop(member_id, None)
        for slot_id in ids_of(blocked.held) if blocked is not None else []:
            self._unuse(slot_id)

    def rows(self) -> dict[str, Masks]:
        rows = {i: masks_of(f.numbers_by_id) for i, f in self.followers_by_id.items()}
        rows |= {i: blocked.held for i, blocked in self.blocked_by_member.items()}
        return {member_id: held for member_id, held in rows.items() if held}

    def lend(self, f: Follower, slot_id: SlotId) -> None:
        """Note a slot for a member's next grant."""
        f.numbers_by_id[slot_id] = f.number + 1
        f.lacks -= 1
        self._uses[slot_id] += 1

    def take_return(self, f: Follower, message: Return) -> None:
        """Free what a member gives back, by the number of the grant that lent it."""
        for number, masks in message.numbered.items():
            for slot_id in ids_of(masks):
                if f.numbers_by_id.get(slot_id) == number:
                    self.free(f, slot_id)

    def expire(self, now: float) -> None:
        """Free what silent members held, once they surely use it no more."""
        for member_id, f in list(self.followers_by_id.items()):
            if now > f.heard + self.lapse_s:
                self.drop(member_id, f)
        for member_id, blocked in list(self.blocked_by_member.items()):
            if now > blocked.until:
                self.unblock(member_id)

    def clear(self) -> None:
        """Let all members go."""
        for member_id, f in self.followers_by_id.items():
            self.let_go[member_id] = max(f.session, self.let_go.get(member_id, 0))
        self.followers_by_id.clear()
        self.blocked_by_member.clear()
        self._uses.clear()

    def askers(self) -> list[tuple[int, float, str]]:
        """Who lacks slots: urgency, since when, id."""
        return [
            (f.ask.urgency, f.asked, member_id)
            for member_id, f in self.followers_by_id.items()
            if f.ask is not None and f.lacks > 0
        ]

    def room(self, view: ExecutorView) -> int:
        """How many more slots of an executor may be lent; fewer while it starts slowly."""
        used = sum(1 for i in range(view.slots) if SlotId(view.executor, i) in self._uses)
        return max(1, round(view.slots * view.weight)) - used

    def free_slot(self, view: ExecutorView) -> SlotId | None:
        """A slot of an executor that nobody may hold."""
        ids = (SlotId(view.executor, i) for i in range(view.slots))
        return next((i for i in ids if i not in self._uses), None)


def masks_of(slot_ids: Iterable[SlotId]) -> Masks:
    """Slots by executor."""
    masks: Masks = {}
    for executor, index in slot_ids:
        masks[executor] = masks.get(executor, 0) | 1 << index
    return masks


def ids_of(masks: Masks) -> list[SlotId]:
    """The single slots of masks."""
    return [
        SlotId(executor, index)
        for executor, mask in masks.items()
        for index in range(mask.bit_length())
        if mask >> index & 1
    ]
