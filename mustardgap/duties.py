"""Who acts on a key: the first by rendezvous hashing at once, the next ones after a delay."""

from collections.abc import Hashable
from typing import Protocol

from .timers import Clock

FIRST_RETRY_S = 1.0
MAX_RETRY_S = 8.0


class Ranks(Protocol):
    """The part of the members that ranks them."""

    @property
    def me(self) -> "HasId":
        """This daemon."""

    def ranked(self, key: str) -> list[str]:
        """The live members' ids for a key, the owner first."""


class HasId(Protocol):
    """Something with an id."""

    @property
    def id(self) -> str:
        """The id."""


class Turn:
    """Since when a step is wanted for a key, and when it may be tried next.

    :param step: the step wanted.
    :param since: monotonic time at which it was first wanted.
    """

    __slots__ = ("not_before", "since", "step", "tries")

    def __init__(self, *, step: Hashable, since: float) -> None:
        self.step = step
        self.since = since
        self.not_before = since
        self.tries = 0


class Duties:
    """Which steps this daemon should take now.

    Two members that both think it is their turn act twice; each step is harmless when repeated, so
    no lease is needed, and none can lapse while its holder is paused.

    :param members: ranks the members by key.
    :param clock: the clocks to read.
    :param takeover_s: seconds without progress after which the next member steps in.
    """

    def __init__(self, *, members: Ranks, clock: Clock, takeover_s: float) -> None:
        self.members = members
        self.clock = clock
        self.takeover_s = takeover_s
        self._turns_by_key: dict[str, Turn] = {}

    def rank(self, key: str) -> int | None:
        """This daemon's place for a key, 0 for the owner; None when it may own nothing."""
        ranked = self.members.ranked(key)
        me = self.members.me.id
        return ranked.index(me) if me in ranked else None

    def is_due(self, key: str, step: Hashable) -> bool:
        """Whether this daemon should take a step now.

        :param key: what the step is about.
        :param step: the step wanted; while it stays the same, nothing has happened.
        """
        now = self.clock.monotonic()
        turn = self._turns_by_key.get(key)
        if turn is None or turn.step != step:
            turn = self._turns_by_key[key] = Turn(step=step, since=now)
        rank = self.rank(key)
        if rank is None or now < turn.not_before:
            return False
        return now - turn.since >= rank * self.takeover_s

    def take(self, key: str) -> None:
        """Note that the step is being taken; it is repeated only after a growing delay."""
        turn = self._turns_by_key[key]
        delay = min(FIRST_RETRY_S * 2.0**turn.tries, MAX_RETRY_S)
        turn.tries += 1
        turn.not_before = self.clock.monotonic() + delay

    def drop(self, key: str) -> None:
        """Forget a key for which nothing is wanted."""
        self._turns_by_key.pop(key, None)

    def clear(self) -> None:
        """Forget all, as after a gap in which the others went on."""
        self._turns_by_key.clear()
