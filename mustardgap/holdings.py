"""The borrower's side of lending: the slots of one service borrowed from one owner."""

from typing import NamedTuple

from .ledgers import masks_of
from .messages import Masks
from .slots import SlotId


class Loan(NamedTuple):
    """A borrowed slot and the number of its current use, 0 while it is idle.

    ``since`` is when it became idle or its use began, ``until`` when its use must end.
    """

    grant_number: int
    use_number: int
    since: float
    until: float


class Holding:
    """The slots of one service that this member has borrowed from one owner.

    :param service: the service.
    :param owner: the owner's member id.
    """

    def __init__(self, *, service: str, owner: str) -> None:
        self.service = service
        self.owner = owner
        self.session = 1
        self.last_grant_number = 0
        self.leased_until = 0.0
        self.heard_at = 0.0
        self.loans_by_id: dict[SlotId, Loan] = {}
        self.return_when_free: set[SlotId] = set()
        self.ask_sequence = 0
        self.asked_count = 0
        self.ask_valid_until = 0.0
        self.recall_claim: tuple[int, float] = (99, 0.0)
        self.recall_valid_until = 0.0

    def idle(self) -> list[SlotId]:
        """Return the idle slots, the most recently idle first."""
        idle = [(loan.since, i) for i, loan in self.loans_by_id.items() if not loan.use_number]
        return [slot_id for _, slot_id in sorted(idle, reverse=True)]

    def masks(self) -> Masks:
        """Return the borrowed slots as bit masks by executor."""
        return masks_of(self.loans_by_id)

    def start_session(self) -> None:
        """Start a new session with the owner, which has taken back all lent slots."""
        self.session += 1
        self.last_grant_number = self.asked_count = 0
        self.leased_until = 0.0
        self.recall_valid_until = 0.0
        self.loans_by_id.clear()
        self.return_when_free.clear()
