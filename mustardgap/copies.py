"""Lending, the deputy's side: a copy of a home's ledger, which each grant passes through."""

from collections.abc import Callable

from .messages import AnyMessage, Lend, Masks, Mirror, MirrorAsk, MirrorLost


class Copy:
    """A copy of a home's ledger in one term; a sealed one takes in nothing more."""

    def __init__(self, *, mirror: Mirror) -> None:
        self.term = mirror.term
        self.home = mirror.home
        self.sequence = mirror.sequence
        self.held_by_member = {member: dict(m) for member, m in mirror.held_by_member.items()}
        self.sealed = False


class Copies:
    """The copy this member keeps of one service's ledger.

    :param service: the service.
    :param send: queues a message to a member, this one included.
    """

    def __init__(self, *, service: str, send: Callable[[str, AnyMessage], None]) -> None:
        self.service = service
        self.send = send
        self.copy: Copy | None = None

    def since(self, term: int) -> Copy | None:
        """The copy, if it is of a term or a later one and so holds all that was lent in it."""
        return self.copy if self.copy is not None and self.copy.term >= term else None

    def save(self, term: int, home: str, sequence: int, rows: dict[str, Masks]) -> None:
        """Keep a ledger of this member's own, which lends no more."""
        self.copy = Copy(mirror=Mirror(self.service, term, home, sequence, rows))
        self.copy.sealed = True

    def take_mirror(self, message: Mirror) -> None:
        """Keep a copy of a home's ledger."""
        old = self.copy
        if old is not None and (old.term, old.sequence) > (message.term, message.sequence):
            return
        if old is not None and old.term == message.term and old.sealed:
            return
        self.copy = Copy(mirror=message)

    def take_lend(self, sender: str, message: Lend) -> None:
        """Note a grant, then pass it on."""
        copy = self.copy
        if copy is not None and copy.sealed and copy.term >= message.term:
            return
        fits = copy is not None and (copy.term, copy.home) == (message.term, sender)
        if copy is None or not fits or message.sequence != copy.sequence + 1:
            self.send(sender, MirrorLost(self.service, message.term, message.sequence))
            return
        copy.sequence = message.sequence
        held = copy.held_by_member.setdefault(message.member, {})
        for executor, mask in message.grant.slots.items():
            held[executor] = held.get(executor, 0) | mask
        self.send(message.member, message.grant)

    def take_mirror_ask(self, sender: str, message: MirrorAsk) -> None:
        """Hand the copy to a new home, and seal it: it must not miss what is noted later."""
        copy = self.copy
        if copy is None or not message.term <= copy.term < message.below:
            return
        copy.sealed = True
        mirror = Mirror(self.service, copy.term, copy.home, copy.sequence, copy.held_by_member)
        self.send(sender, mirror)
