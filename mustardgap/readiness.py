"""Decides whether this entry host may serve: started, not stopping, current with the log."""

import math
from collections.abc import Callable

from absl import logging

from .members import Members
from .timelines import Timeline


class Readiness:
    """Collects the reasons why this entry host isn't ready; it is ready if there are none.

    :param timeline: records the changes.
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
        """Why this entry host isn't ready, "" if it is."""
        return "; ".join(f"{part}: {why}" for part, why in sorted(self._reasons_by_part.items()))

    def on_change(self, callback: Callable[[bool], None]) -> None:
        """Call back with the new readiness whenever it changes."""
        self._callbacks.append(callback)

    def block(self, part: str, why: str) -> None:
        """Set a part's reason not to be ready, until ``clear``."""
        before = self.ready
        self._reasons_by_part[part] = why
        self._notify_if_changed(before)

    def clear(self, part: str) -> None:
        """Remove a part's reason."""
        before = self.ready
        self._reasons_by_part.pop(part, None)
        self._notify_if_changed(before)

    def stop(self) -> None:
        """Become unready permanently, as the daemon is stopping."""
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
    """Return whether this entry host has known since a given time which state is in force.

    If so, it may use its share of the slots: no other host can have taken it over without this one
    knowing. The rule is that of ``is_current``, but what was read or heard before ``since`` doesn't
    count, because a process that was paused resumes with information from before the pause.

    :param known_at: the monotonic time at which it or a reachable peer last read to the log's end.
    :param now: the monotonic time.
    :param since: the monotonic time at which it last resumed from a pause.
    :param stale_after_s: the greatest age of the last read, in seconds.
    :param members: the members, and when each was last heard.
    :return: whether the state is known.
    """
    if known_at >= since:
        age_s = now - known_at
    else:
        age_s = math.inf if known_at == -math.inf else stale_after_s + now - known_at
    known = members.electorate()
    # In a large fleet most members are heard of only through gossip. From ``suspect_s`` after the
    # pause, silent members are suspected, so all live ones count.
    long_awake = now - since >= members.settings.peers.suspect_s
    heard = {m.host for m in members.live() if long_awake or m.seen >= since}
    heard.add(members.me.host)
    return is_current(
        age_s=age_s, stale_after_s=stale_after_s, reachable=len(known & heard), known=len(known)
    )


def is_current(*, age_s: float, stale_after_s: float, reachable: int, known: int) -> bool:
    """Return whether this entry host can know which configuration is in force.

    If the log is reachable, directly or through a peer that reads it, accepted records arrive
    within ``stale_after_s``. If no host can reach the log, nothing can be accepted and the last
    state stays in force; but an entry host that is partitioned with a minority can't distinguish
    that from a log that the others still write to. If a majority of the known entry hosts is
    reachable, the others can't all be on the other side. The result only gates readiness and the
    use of slots.

    :param age_s: seconds since this entry host or a reachable peer read up to the log's end.
    :param stale_after_s: the greatest such age, in seconds.
    :param reachable: the number of entry hosts in reach now, including this one.
    :param known: the number of entry hosts that may be alive, including this one.
    :return: whether the configuration is known.
    """
    if age_s <= stale_after_s:
        return True
    return math.isfinite(age_s) and known > 1 and 2 * reachable > known
