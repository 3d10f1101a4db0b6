"""Which member acts on a key: its owner by rendezvous hashing at once, others after a delay."""

from collections.abc import Hashable
from typing import Protocol

from .timers import Clock

FIRST_RETRY_S = 1.0
MAX_RETRY_S = 8.0


class MemberRanking(Protocol):
    """The interface of the members that ranks them for a key."""

    @property
    def me(self) -> "HasId":
        """Return this daemon."""

    def ranked(self, key: str) -> list[str]:
        """Return the live members' ids for a key, the owner first."""


class HasId(Protocol):
    """An object with an id."""

    @property
    def id(self) -> str:
        """Return the member id, as ``MemberRanking.ranked`` lists it."""


class PendingStep:
    """A step that is wanted for a key: since when, and when it may be tried next.

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
    """Decides which steps this daemon should take now.

    Two members that both take themselves for the owner act twice. Each step is harmless when it is
    repeated, so no lease is needed that could lapse while its holder is paused.

    :param members: ranks the members for each key.
    :param clock: the clocks to read.
    :param takeover_s: seconds without progress after which the next member acts as well.
    """

    def __init__(self, *, members: MemberRanking, clock: Clock, takeover_s: float) -> None:
        self.members = members
        self.clock = clock
        self.takeover_s = takeover_s
        self._pending_by_key: dict[str, PendingStep] = {}

    def rank(self, key: str) -> int | None:
        """Return this daemon's rank for a key, 0 for the owner; None when it isn't ranked."""
        ranked = self.members.ranked(key)
        me = self.members.me.id
        return ranked.index(me) if me in ranked else None

    def is_due(self, key: str, step: Hashable) -> bool:
        """Return whether this daemon should take a step now.

        :param key: the key of the object that the step is for.
        :param step: the step wanted; as long as it is the same, there was no progress.
        """
        now = self.clock.monotonic()
        pending = self._pending_by_key.get(key)
        if pending is None or pending.step != step:
            pending = self._pending_by_key[key] = PendingStep(step=step, since=now)
        rank = self.rank(key)
        if rank is None or now < pending.not_before:
            return False
        return now - pending.since >= rank * self.takeover_s

    def note_attempt(self, key: str) -> None:
        """Record that the step is being taken; a repetition waits for an exponential delay."""
        pending = self._pending_by_key[key]
        delay = min(FIRST_RETRY_S * 2.0**pending.tries, MAX_RETRY_S)
        pending.tries += 1
        pending.not_before = self.clock.monotonic() + delay

    def drop(self, key: str) -> None:
        """Forget a key for which no step is wanted."""
        self._pending_by_key.pop(key, None)

    def clear(self) -> None:
        """Forget all keys, as after a pause of this process in which others made progress."""
        self._pending_by_key.clear()
