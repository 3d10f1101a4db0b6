"""Keeps daemons on small hosts out of the owners' group while larger hosts can own all shards."""

from collections.abc import Mapping

from .timers import Clock

# A host with fewer cores than this stands by. An owner that starts 360 tasks a second uses half a
# core for it; a burst takes twice as much, and calls of other daemons have to be answered as well.
MIN_OWNER_CORES = 1.0
# How often a host that stands by reads the owners, which is one read of the store.
OWNERS_READ_INTERVAL_S = 0.5
# A shard without an owner is assigned to another member within a second of its owner's end. If it
# has no owner for longer, the group has no member left that could take it.
JOIN_DELAY_S = 1.0
# An owner that answers no call for this long while the store still names it has no successor:
# a successor takes over within 2 s. The store may name it until somebody joins the group.
UNANSWERED_OWNER_S = 3.0
# A host whose read of the owners takes longer than this can't tell whether the owners are down or
# its own link is full. The read takes 4 ms, and 0.25 s where the store is slow.
MAX_OWNERS_READ_S = 0.25
# Restarted larger hosts have to stay up for this long before they get all shards back: each
# reassignment interrupts a shard for some tenths of a second.
LEAVE_DELAY_S = 5.0
# With fewer large owners than this, the loss of one would leave all shards to the other.
MIN_LARGE_OWNERS = 2

_SMALL_SUFFIX = "/small"


def member_name(address: str, host: str, cores: float) -> str:
    """Return a daemon's name in the owners' group.

    :param address: the address for its peers, ``ip:port``.
    :param host: its host.
    :param cores: the host's processor time, in cores.
    """
    return f"{address}/{host}{_SMALL_SUFFIX if cores < MIN_OWNER_CORES else ''}"


def address_of(member: str) -> str:
    """Return the address of a member for its peers, ``ip:port``."""
    return member.partition("/")[0]


def is_small(member: str) -> bool:
    """Return whether a member's host is too small to own shards while there are larger hosts."""
    return member.endswith(_SMALL_SUFFIX)


class Standby:
    """Decides whether a daemon on a small host has to be in the owners' group.

    A single small host that owned a busy pool answered callers and the owner of the fleet late or
    not at all, and six in ten of all requests failed. Where all hosts are small, no shard has an
    owner, and each host joins after ``JOIN_DELAY_S``.

    :param shards: how many shards there are.
    :param clock: the clocks to read.
    """

    def __init__(self, *, shards: int, clock: Clock) -> None:
        self.is_needed = False
        self._shards = shards
        self._clock = clock
        self._reason_since: float | None = None
        self._silent_since: dict[str, float] = {}

    def note_call(self, member: str, *, answered: bool) -> None:
        """Record whether an owner has answered a call."""
        if answered:
            self._silent_since.pop(member, None)
        else:
            self._silent_since.setdefault(member, self._clock.monotonic())

    def forget_silent_owners(self) -> None:
        """Forget which owners were silent, as this host's own link may be the cause."""
        self._silent_since.clear()

    def note(self, members_by_shard: Mapping[int, str], *, owns: bool) -> bool:
        """Update the decision from the current owners.

        :param owns: whether this daemon owns any shard.
        :return: whether ``is_needed`` has changed.
        """
        members = set(members_by_shard.values())
        for member in self._silent_since.keys() - members:
            del self._silent_since[member]
        silent_before = self._clock.monotonic() - UNANSWERED_OWNER_S
        any_unanswered = any(since <= silent_before for since in self._silent_since.values())
        complete = len(members_by_shard) >= self._shards and not any_unanswered
        if not self.is_needed:
            return self._invert_after(not complete, JOIN_DELAY_S)
        large = {member for member in members if not is_small(member)}
        return self._invert_after(
            complete and (not owns or len(large) >= MIN_LARGE_OWNERS), LEAVE_DELAY_S
        )

    def _invert_after(self, reason: bool, min_duration_s: float) -> bool:
        """Invert the decision once there has been a reason to for long enough."""
        now = self._clock.monotonic()
        if not reason:
            self._reason_since = None
            return False
        if self._reason_since is None:
            self._reason_since = now
        if now - self._reason_since < min_duration_s:
            return False
        self._reason_since = None
        self.is_needed = not self.is_needed
        return True
