"""Tells the failure of a rack from the silence of single executors."""

import enum
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .workloads import ExecutorId

# Executors that were last heard within this time of each other fell silent together. It is the
# interval of executors' heartbeats, and spans the answers of idle executors, one a second.
HEARTBEAT_S = 1.5
# A rack has failed when this many of its executors, or half of them, fell silent together. A rack
# of few executors needs two, as a single one says nothing about the rack.
SILENT_EXECUTORS = 3
MIN_SILENT_EXECUTORS = 2
# A later update than this shows that this process was paused, so its own timeouts expired. A link
# counts as silent after 1.05 s of unanswered polls; half of that can't silence it alone.
MAX_UPDATE_GAP_S = 0.5


class ExecutorContact(NamedTuple):
    """When an executor was last heard, in monotonic seconds.

    ``heard_at`` is None if it was never heard. ``unanswered_since`` is when the first poll after
    that was found unanswered, None if none was; after some more of them the executor is ``silent``.
    ``leaving`` says that its end is expected.
    """

    executor: ExecutorId
    rack: str
    heard_at: float | None
    unanswered_since: float | None = None
    silent: bool = False
    leaving: bool = False


class RackState(enum.StrEnum):
    """What became of a rack; it is GONE when none of its executors is known any more."""

    FAILED = "failed"
    RECOVERED = "recovered"
    GONE = "gone"


class RackChange(NamedTuple):
    """A rack that has failed, or whose failure has ended.

    ``executors`` counts those known in the rack, ``silent`` the silent ones among them.
    ``lasted_s`` is how long the failure has lasted, None for one that begins.
    """

    rack: str
    state: RackState
    executors: int
    silent: int
    lasted_s: float | None = None


class RackFailures:
    """Finds racks whose executors fall silent together, and those that answer again."""

    def __init__(self) -> None:
        self.failed_at_by_rack: dict[str, float] = {}
        # Racks of which enough executors have left a poll unanswered and none has answered since.
        self.suspected: set[str] = set()
        # Silences from before a rack's recovery don't count again.
        self._recovered_at_by_rack: dict[str, float] = {}
        # When an executor's end was last expected.
        self._left_at_by_executor: dict[ExecutorId, float] = {}
        self._updated_at: float | None = None
        # Silences may be due to a pause of this process until then.
        self._unsure_until = float("-inf")

    def update(self, contacts: Iterable[ExecutorContact], now: float) -> list[RackChange]:
        """Compare the executors of each rack; this has to be called several times a second.

        :param contacts: all executors in use.
        :param now: monotonic seconds.
        :return: the racks that have failed, or whose failure has ended, since the last call.
        """
        if self._updated_at is not None and now - self._updated_at > MAX_UPDATE_GAP_S:
            self._unsure_until = now + HEARTBEAT_S
        self._updated_at = now
        contacts_by_rack: defaultdict[str, list[ExecutorContact]] = defaultdict(list)
        for contact in contacts:
            contacts_by_rack[contact.rack].append(contact)
        self._note_leaving(contacts_by_rack, now)
        changes = self._end_failures(contacts_by_rack, now)
        self.suspected.clear()
        if now >= self._unsure_until:
            changes += self._find_failures(contacts_by_rack, now)
        return changes

    def is_doubtful(self, rack: str) -> bool:
        """Whether a rack has failed, or is suspected, so that nothing should be started there."""
        return rack in self.failed_at_by_rack or rack in self.suspected

    def _note_leaving(self, contacts_by_rack: dict[str, list[ExecutorContact]], now: float) -> None:
        known = {c.executor: c for contacts in contacts_by_rack.values() for c in contacts}
        for executor in list(self._left_at_by_executor):
            if executor not in known:
                del self._left_at_by_executor[executor]
        self._left_at_by_executor.update(
            (executor, now) for executor, contact in known.items() if contact.leaving
        )
        for rack in list(self._recovered_at_by_rack):
            if rack not in contacts_by_rack:
                del self._recovered_at_by_rack[rack]

    def _end_failures(
        self, contacts_by_rack: dict[str, list[ExecutorContact]], now: float
    ) -> list[RackChange]:
        changes = []
        for rack, failed_at in list(self.failed_at_by_rack.items()):
            contacts = contacts_by_rack.get(rack, [])
            answers = any(_heard_since(contact, failed_at) for contact in contacts)
            if contacts and not answers:
                continue
            del self.failed_at_by_rack[rack]
            if answers:
                self._recovered_at_by_rack[rack] = now
            state = RackState.RECOVERED if answers else RackState.GONE
            changes.append(
                RackChange(rack, state, len(contacts), _silent(contacts), now - failed_at)
            )
        return changes

    def _find_failures(
        self, contacts_by_rack: dict[str, list[ExecutorContact]], now: float
    ) -> list[RackChange]:
        changes = []
        heard_at_by_rack = {
            rack: max((c.heard_at for c in contacts if c.heard_at is not None), default=0.0)
            for rack, contacts in contacts_by_rack.items()
        }
        for rack, contacts in contacts_by_rack.items():
            if not rack or rack in self.failed_at_by_rack:
                continue
            # Unless another rack has answered meanwhile, this process may be cut off from all.
            others_heard_at = max(
                (heard_at for other, heard_at in heard_at_by_rack.items() if other != rack),
                default=0.0,
            )
            unanswered_since = self._unanswered_together(rack, contacts, silent=True)
            if unanswered_since is not None and others_heard_at > unanswered_since:
                self.failed_at_by_rack[rack] = now
                changes.append(RackChange(rack, RackState.FAILED, len(contacts), _silent(contacts)))
                continue
            unanswered_since = self._unanswered_together(rack, contacts, silent=False)
            if (
                unanswered_since is not None
                and others_heard_at > unanswered_since
                and not any(_heard_since(contact, unanswered_since) for contact in contacts)
            ):
                self.suspected.add(rack)
        return changes

    def _unanswered_together(
        self, rack: str, contacts: Sequence[ExecutorContact], *, silent: bool
    ) -> float | None:
        """Whether as many executors of a rack as its failure takes were last heard together.

        :param silent: whether they have to be silent; otherwise one poll each was unanswered.
        :return: by when as many had left a poll unanswered, None if too few have.
        """
        if not any(contact.unanswered_since is not None for contact in contacts):
            return None
        recovered_at = self._recovered_at_by_rack.get(rack, float("-inf"))
        staying = [
            (contact.heard_at, contact.unanswered_since if contact.silent or not silent else None)
            for contact in contacts
            if contact.heard_at is not None and not self._is_leaving(contact)
        ]
        missing = sorted(
            (heard_at, unanswered_since)
            for heard_at, unanswered_since in staying
            if unanswered_since is not None and unanswered_since > recovered_at
        )
        needed = max(MIN_SILENT_EXECUTORS, min(SILENT_EXECUTORS, -(-len(staying) // 2)))
        for first, last in zip(missing, missing[needed - 1 :], strict=False):
            if last[0] - first[0] <= HEARTBEAT_S:
                return sorted(
                    unanswered_since
                    for heard_at, unanswered_since in missing
                    if 0 <= heard_at - first[0] <= HEARTBEAT_S
                )[needed - 1]
        return None

    def _is_leaving(self, contact: ExecutorContact) -> bool:
        # An executor that was emptied is no longer marked once its machine was ordered away, and
        # may be found silent only then. One that is kept answers for longer than that.
        left_at = self._left_at_by_executor.get(contact.executor)
        if left_at is None or contact.heard_at is None:
            return False
        return contact.heard_at <= left_at + HEARTBEAT_S


def _heard_since(contact: ExecutorContact, moment: float) -> bool:
    return contact.heard_at is not None and contact.heard_at > moment


def _silent(contacts: Iterable[ExecutorContact]) -> int:
    return sum(contact.silent for contact in contacts)
