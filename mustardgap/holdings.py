"""Lending, the entry host's side: what it holds of one service, and how it stands with the home."""

from typing import NamedTuple

from .ledgers import masks_of
from .messages import Masks
from .slots import SlotId


class Hold(NamedTuple):
    """A slot this member holds; ``used`` is the use's number, 0 while idle since ``since``."""

    number: int
    used: int
    since: float
    until: float


class Holding:
    """What this member holds of one service, and its relation to the service's home.

    :param service: the service.
    """

    def __init__(self, *, service: str) -> None:
        self.service = service
        self.home = ""
        self.session = 0
        self.promised = 0
        self.accepted = 0
        self.echo = 0
        self.number = 0
        self.leased_until = 0.0
        self.promised_until = 0.0
        self.lending = False
        self.holds_by_id: dict[SlotId, Hold] = {}
        self.ask_sequence = 0
        self.asked = 0
        self.asking = False
        self.turning = False
        self.recall: tuple[int, float] = (99, 0.0)
        self.recalled_until = 0.0
        self.excluded_until: dict[str, float] = {}

    def idle(self) -> list[SlotId]:
        """The slots not in use, the latest idle first."""
        idle = [(hold.since, i) for i, hold in self.holds_by_id.items() if not hold.used]
        return [slot_id for _, slot_id in sorted(idle, reverse=True)]

    def masks(self) -> Masks:
        """The slots held, by executor."""
        return masks_of(self.holds_by_id)

    def lapse(self, now: float) -> None:
        """Drop what may not be used any more.

        A member that was paused for longer than its lease wakes here or where it takes a slot; what
        it held idle may be with others by then, and its requests' deadlines have passed.
        """
        lapsed = now >= self.leased_until
        for slot_id, hold in list(self.holds_by_id.items()):
            if now >= hold.until if hold.used else lapsed:
                del self.holds_by_id[slot_id]
        self.excluded_until = {e: u for e, u in self.excluded_until.items() if u > now}

    def turn_to(self, home: str, *, session: int, now: float) -> None:
        """Go over to another home: no start on any slot before it has taken this member in."""
        self.home = home
        self.session = session
        self.echo = self.number = self.asked = 0
        self.leased_until = min(self.leased_until, now)
        self.recalled_until = 0.0
        for slot_id, hold in list(self.holds_by_id.items()):
            if hold.used and now >= hold.until:
                del self.holds_by_id[slot_id]
            else:
                self.holds_by_id[slot_id] = hold._replace(number=0)
