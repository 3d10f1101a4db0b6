"""Whether this entry host may serve: started, not stopping, and current with the log."""

import math
from collections.abc import Callable

from absl import logging

from .members import Members
from .timelines import Timeline


class Readiness:
    """Collects the reasons why this entry host isn't ready; without one it is.

    :param timeline: where changes of state are noted.
    """

    def __init__(self, *, timeline: Timeline) -> None:
        self.timeline = timeline
        self.stopping = False
        self._reasons_by_part: dict[str, str] = {"daemon": "starting"}
        self._callbacks: list[Callable[[bool], None]] = []

    @property
    def ready(self) -> bool:
        """Whether this entry host takes new requests."""
        return not self._reasons_by_part

    @property
    def reason(self) -> str:
        """Why it isn't ready, "" when it is."""
        return "; ".join(f"{part}: {why}" for part, why in sorted(self._reasons_by_part.items()))

    def on_change(self, callback: Callable[[bool], None]) -> None:
        """Call back with the new state whenever it changes."""
        self._callbacks.append(callback)

    def block(self, part: str, why: str) -> None:
        """Give a reason not to be ready; it stands until ``clear``."""
        before = self.ready
        self._reasons_by_part[part] = why
        self._notify_if_changed(before)

    def clear(self, part: str) -> None:
        """Take a part's reason back."""
        before = self.ready
        self._reasons_by_part.pop(part, None)
        self._notify_if_changed(before)

    def stop(self) -> None:
        """Be unready for good: the daemon is stopping."""
        self.stopping = True
        self.block("daemon", "stopping")

    def _notify_if_changed(self, before: bool) -> None:
        if self.ready == before:
            return
        logging.info("ready=%s reason=%r", self.ready, self.reason)
        self.timeline.add("daemon.ready" if self.ready else "daemon.unready", cause=self.reason)
        for callback in self._callbacks:
            callback(self.ready)


def is_current_since(
    *, known_at: float, now: float, since: float, stale_after_s: float, members: Members
) -> bool:
    """Whether this entry host has known since a moment which state is in force.

    It may then use its share of the slots: nobody can have taken it over unbeknown. The rule is
    that of ``current``, but nothing counts that was known or heard before the moment, because a
    process that was stopped wakes with what was true when it fell asleep.

    :param known_at: when it, or a peer in reach, last had read up to the log's end.
    :param now: the monotonic time.
    :param since: the monotonic time at which it last woke from a pause.
    :param stale_after_s: the bound on the age of that.
    :param members: the members, and when each was last heard.
    """
    if known_at >= since:
        age_s = now - known_at
    else:
        age_s = math.inf if known_at == -math.inf else stale_after_s + now - known_at
    known = members.electorate()
    # In a large fleet most are heard of by gossip only; silent ones are suspected by then.
    long_awake = now - since >= members.settings.peers.suspect_s
    heard = {m.host for m in members.live() if long_awake or m.seen >= since}
    heard.add(members.me.host)
    return is_current(
        age_s=age_s, stale_after_s=stale_after_s, reachable=len(known & heard), known=len(known)
    )


def is_current(*, age_s: float, stale_after_s: float, reachable: int, known: int) -> bool:
    """Whether this entry host can know which configuration is in force.

    With the log in reach, directly or by a peer that reads it, what was accepted is here within
    the bound. With the log out of reach for everyone, nothing can be accepted, so the last state
    stays in force; but an entry host that is cut off with a few others can't tell that from a log
    that the rest still write to. A majority of the known entry hosts in reach tells the two apart:
    the rest can't all be on the other side. It only gates readiness; nothing is decided by it.

    :param age_s: seconds since this entry host or a peer in reach read up to the log's end.
    :param stale_after_s: the bound on that.
    :param reachable: entry hosts in reach now, this one included.
    :param known: entry hosts that may be alive, this one included.
    """
    if age_s <= stale_after_s:
        return True
    return math.isfinite(age_s) and known > 1 and 2 * reachable > known
