"""Tells the incarnations of an executor apart that restarts under the same id and address."""

import enum

import msgspec

from .workloads import ExecutorEntry

# The reason for dropping an executor of which a newer incarnation is known.
RESTARTED = "restarted under the same id"
# A poll acknowledges ends only this long after the last answer was due. After a pause of this
# process, the acknowledgement could reach the next incarnation. A poll normally follows an answer
# within some 0.2 s; an owner that is this late at each poll is close to losing its leases.
CONFIRMED_FOR_ENDS_S = 1.0
# A start is sent only this long after the last answer was due. A poll waits for 1 s and is repeated
# after at most 0.6 s, so only a paused process has no answer for longer.
CONFIRMED_FOR_STARTS_S = 2.0


class Incarnation(enum.Enum):
    """How a stated incarnation compares with the known one."""

    SAME = "same"
    NEWER = "newer"
    OLDER = "older"


def compare_starts(known_ms: int | None, stated_ms: int | None) -> Incarnation:
    """Compare the start of a known incarnation with a stated one.

    :param known_ms: when the known incarnation started, None if it isn't known.
    :param stated_ms: when the other one started, None if it isn't stated.
    :return: SAME where either is None, as nothing tells them apart.
    """
    if known_ms is None or stated_ms is None or stated_ms == known_ms:
        return Incarnation.SAME
    return Incarnation.NEWER if stated_ms > known_ms else Incarnation.OLDER


def with_known_start(entry: ExecutorEntry, known_ms: int | None) -> ExecutorEntry:
    """Return an entry with the known start where it doesn't state one."""
    if entry.started_ms is not None or known_ms is None:
        return entry
    return entry._replace(started_ms=known_ms)


def encode_entry(entry: ExecutorEntry) -> bytes:
    """Encode the record of an executor; without a start, older daemons can read it as well."""
    return msgspec.msgpack.encode(tuple(entry) if entry.started_ms is not None else entry[:-1])
