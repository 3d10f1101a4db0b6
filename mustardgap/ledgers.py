"""Lending: which member holds which slots of one service, as their owner has it noted."""

from collections import deque
from collections.abc import Iterable

from .messages import Ask, Grant, Hold, Masks, Return
from .slots import SlotId

MAX_LET_GO = 1000


class Borrower:
    """A member that asks this owner, and the slots it may hold, by the number of their grant.

    :param session: the member's session.
    """

    def __init__(self, *, session: int) -> None:
        self.session = session
        self.numbers_by_id: dict[SlotId, int] = {}
        self.sent = 0
        self.held_sent = 0
        self.heard = 0.0
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


class Ledger:
    """The members that borrow of an owner, and what they may hold.

    :param lapse_s: seconds after a member's last word when it surely uses no slot any more.
    """

    def __init__(self, *, lapse_s: float) -> None:
        self.lapse_s = lapse_s
        self.borrowers_by_id: dict[str, Borrower] = {}
        self.let_go: dict[str, int] = {}
        self.lent: set[SlotId] = set()

    def borrower(self, member_id: str, session: int, now: float) -> Borrower | None:
        """A member in its session, or None when that is over.

        Who comes with a later session holds nothing of the earlier, and starts nothing in it; but
        what it has started may run on.
        """
        b = self.borrowers_by_id.get(member_id)
        if b is not None and session == b.session:
            b.heard = now
            return b
        if b is not None or session <= self.let_go.get(member_id, 0):
            return None
        b = self.borrowers_by_id[member_id] = Borrower(session=session)
        b.heard = now
        return b

    def settle(self, b: Borrower, message: Hold) -> None:
        """Free what the member doesn't hold of the grants it has dealt with."""
        b.note_number(message.number)
        for slot_id, number in list(b.numbers_by_id.items()):
            held = message.held.get(slot_id.executor, 0) >> slot_id.position & 1
            if number <= message.number and not held:
                self.free(b, slot_id)

    def free(self, b: Borrower, slot_id: SlotId) -> None:
        """Note that a slot is back."""
        del b.numbers_by_id[slot_id]
        self.lent.discard(slot_id)

    def lend(self, b: Borrower, slot_id: SlotId) -> None:
        """Note a slot for a member's next grant."""
        b.numbers_by_id[slot_id] = b.number + 1
        b.lacks -= 1
        self.lent.add(slot_id)

    def take_return(self, b: Borrower, message: Return) -> None:
        """Free what a member gives back, by the number of the grant that lent it."""
        for number, masks in message.numbered.items():
            for slot_id in ids_of(masks):
                if b.numbers_by_id.get(slot_id) == number:
                    self.free(b, slot_id)

    def expire(self, now: float) -> None:
        """Free what silent members held, once they surely use it no more."""
        for member_id, b in list(self.borrowers_by_id.items()):
            if now > b.heard + self.lapse_s:
                del self.borrowers_by_id[member_id]
                self.let_go[member_id] = b.session
                self.lent.difference_update(b.numbers_by_id)
        for member_id in list(self.let_go)[:-MAX_LET_GO]:
            del self.let_go[member_id]

    def askers(self) -> list[tuple[int, float, str]]:
        """Who lacks slots: urgency, since when, id."""
        return [
            (b.ask.urgency, b.asked, member_id)
            for member_id, b in self.borrowers_by_id.items()
            if b.ask is not None and b.lacks > 0
        ]


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
