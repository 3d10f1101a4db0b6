"""Keeps daemons on small hosts out of the owners' group while larger ones can own everything."""

from collections.abc import Mapping

from .timers import Clock

# A host with less than this many cores stands by. An owner that starts 360 tasks a second takes
# half a core for it; a burst is twice as much, and other daemons' calls have to be answered too.
OWNER_CORES = 1.0
# How often a host that stands by looks at who owns what, which is one read of the store.
LOOK_S = 0.5
# A shard without an owner is dealt to another member within a second of its owner's end; one that
# nobody owns for longer has no member left to go to.
NEEDED_S = 1.0
# An owner that has answered no call for so long, and is named as owner all the while, has no
# successor: others take over within 2 s. The store may name it until somebody joins the group.
GONE_S = 3.0
# A host whose read of the owners takes longer than this can't tell whether owners are silent or its
# own link is full. The read takes 4 ms, and 0.25 s where the store is slow.
CLEAR_LOOK_S = 0.25
# Larger hosts that were restarted are given this long to stay before they get everything back:
# each deal stops a shard for some tenths of a second.
SPARED_S = 5.0
# With fewer large hosts than this, the loss of one would leave everything to the other.
LEAST_LARGE = 2

_MARK = "/small"


def member_name(address: str, host: str, cores: float) -> str:
    """A daemon's name in the owners' group.

    :param address: where its peers call it, ``ip:port``.
    :param host: its host.
    :param cores: the host's processor time, in cores.
    """
    return f"{address}/{host}{_MARK if cores < OWNER_CORES else ''}"


def address_of(member: str) -> str:
    """Where a member's peers call it, ``ip:port``."""
    return member.partition("/")[0]


def is_small(member: str) -> bool:
    """Whether a member's host is too small to own shards while there are larger ones."""
    return member.endswith(_MARK)


class Standby:
    """Decides whether a daemon on a small host has to be in the owners' group.

    One small host that owns a busy pool is enough to spoil a day: it answered callers and the
    fleet's owner late or not at all, and of all requests six in ten failed. Where all hosts are
    small, each finds within ``NEEDED_S`` that nobody owns anything, and joins.

    :param shards: how many shards there are.
    :param clock: the clocks to read.
    """

    def __init__(self, *, shards: int, clock: Clock) -> None:
        self.wanted = False
        self._shards = shards
        self._clock = clock
        self._since: float | None = None
        self._silent_since: dict[str, float] = {}

    def note_call(self, member: str, *, answered: bool) -> None:
        """Take in whether an owner has answered a call."""
        if answered:
            self._silent_since.pop(member, None)
        else:
            self._silent_since.setdefault(member, self._clock.monotonic())

    def note_unclear(self) -> None:
        """Forget which owners were silent, as this host's link may be why."""
        self._silent_since.clear()

    def note(self, members_by_shard: Mapping[int, str], *, owns: bool) -> bool:
        """Take in who owns what.

        :param owns: whether this daemon owns any shard.
        :return: whether ``wanted`` has changed.
        """
        members = set(members_by_shard.values())
        for member in self._silent_since.keys() - members:
            del self._silent_since[member]
        gone_since = self._clock.monotonic() - GONE_S
        any_gone = any(since <= gone_since for since in self._silent_since.values())
        complete = len(members_by_shard) >= self._shards and not any_gone
        if not self.wanted:
            return self._turn(not complete, NEEDED_S)
        large = {member for member in members if not is_small(member)}
        return self._turn(complete and (not owns or len(large) >= LEAST_LARGE), SPARED_S)

    def _turn(self, reason: bool, lasts_s: float) -> bool:
        """Change the decision once there was reason for it for long enough."""
        now = self._clock.monotonic()
        if not reason:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        if now - self._since < lasts_s:
            return False
        self._since = None
        self.wanted = not self.wanted
        return True
