"""The owner's record of which member holds which of its slots of one service."""

from collections import deque
from collections.abc import Iterable

from .messages import Ask, Grant, Hold, Masks, Return
from .slots import SlotId

MAX_ENDED_SESSIONS = 1000


class Borrower:
    """A member that asks this owner for slots, and the slots it may hold with their grants.

    :param session: the member's session.
    """

    def __init__(self, *, session: int) -> None:
        self.session = session
        self.grant_numbers_by_id: dict[SlotId, int] = {}
        self.last_sent = 0
        self.last_hold_sent = 0
        self.heard_at = 0.0
        self.grant_number = 0
        self.grant_number_at_hold = 0
        self.ask: Ask | None = None
        self.asked_at = 0.0
        self.missing = 0
        self.grants: deque[Grant] = deque()

    def note_ask(self, ask: Ask, asked_at: float) -> None:
        """Store an ask; grants that the member hadn't handled when it asked count towards it."""
        self.drop_handled_grants(ask.number)
        self.ask = ask
        self.asked_at = asked_at
        coming = sum(mask.bit_count() for grant in self.grants for mask in grant.slots.values())
        self.missing = ask.count - coming

    def drop_handled_grants(self, number: int) -> None:
        """Drop the grants up to a number, which the member has handled."""
        while self.grants and self.grants[0].number <= number:
            self.grants.popleft()


class Ledger:
    """The members that borrow from an owner, and the slots they may hold.

    :param expiry_s: seconds after a member's last message when it surely uses no slot any more.
    """

    def __init__(self, *, expiry_s: float) -> None:
        self.expiry_s = expiry_s
        self.borrowers_by_id: dict[str, Borrower] = {}
        self.ended_sessions_by_id: dict[str, int] = {}
        self.lent: set[SlotId] = set()

    def borrower_in_session(self, member_id: str, session: int, now: float) -> Borrower | None:
        """Return the borrower of a member's session, or None when the session is refused.

        A later session is refused until the earlier one has expired: the member holds and starts
        nothing in that one any more, but what it has started may still run.
        """
        borrower = self.borrowers_by_id.get(member_id)
        if borrower is not None and session == borrower.session:
            borrower.heard_at = now
            return borrower
        if borrower is not None or session <= self.ended_sessions_by_id.get(member_id, 0):
            return None
        borrower = self.borrowers_by_id[member_id] = Borrower(session=session)
        borrower.heard_at = now
        return borrower

    def free_unheld(self, borrower: Borrower, message: Hold) -> None:
        """Free the slots of handled grants that the member doesn't hold."""
        borrower.drop_handled_grants(message.number)
        for slot_id, number in list(borrower.grant_numbers_by_id.items()):
            held = message.held.get(slot_id.executor, 0) >> slot_id.position & 1
            if number <= message.number and not held:
                self.free(borrower, slot_id)

    def free(self, borrower: Borrower, slot_id: SlotId) -> None:
        """Record that a slot is back."""
        del borrower.grant_numbers_by_id[slot_id]
        self.lent.discard(slot_id)

    def lend(self, borrower: Borrower, slot_id: SlotId) -> None:
        """Record a slot for a member's next grant."""
        borrower.grant_numbers_by_id[slot_id] = borrower.grant_number + 1
        borrower.missing -= 1
        self.lent.add(slot_id)

    def free_returned(self, borrower: Borrower, message: Return) -> None:
        """Free the slots that a member returns, by the number of the grant that lent them."""
        for number, masks in message.numbered.items():
            for slot_id in slot_ids_of(masks):
                if borrower.grant_numbers_by_id.get(slot_id) == number:
                    self.free(borrower, slot_id)

    def expire_borrowers(self, now: float) -> None:
        """Free the slots of silent members, once they surely use none any more."""
        for member_id, borrower in list(self.borrowers_by_id.items()):
            if now > borrower.heard_at + self.expiry_s:
                del self.borrowers_by_id[member_id]
                self.ended_sessions_by_id[member_id] = borrower.session
                self.lent.difference_update(borrower.grant_numbers_by_id)
        for member_id in list(self.ended_sessions_by_id)[:-MAX_ENDED_SESSIONS]:
            del self.ended_sessions_by_id[member_id]

    def askers(self) -> list[tuple[int, float, str]]:
        """Return the urgency, time of asking and id of each member that lacks slots."""
        return [
            (borrower.ask.urgency, borrower.asked_at, member_id)
            for member_id, borrower in self.borrowers_by_id.items()
            if borrower.ask is not None and borrower.missing > 0
        ]


def masks_of(slot_ids: Iterable[SlotId]) -> Masks:
    """Return slots as bit masks by executor."""
    masks: Masks = {}
    for executor, index in slot_ids:
        masks[executor] = masks.get(executor, 0) | 1 << index
    return masks


def slot_ids_of(masks: Masks) -> list[SlotId]:
    """Return the slots of masks."""
    return [
        SlotId(executor, index)
        for executor, mask in masks.items()
        for index in range(mask.bit_length())
        if mask >> index & 1
    ]
