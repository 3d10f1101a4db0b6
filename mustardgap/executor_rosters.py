"""The executors of one shard's pools, and which of them have reported to its owner."""

import asyncio
from typing import TYPE_CHECKING

from . import metrics
from .adaptive_timeouts import OrdersInFlight
from .events import EventLog
from .executor_links import LEASE_S, MAX_STARTS_PER_SHARD, START_VALIDITY_S, ExecutorLink
from .executor_lives import (
    RESTARTED,
    Incarnation,
    compare_starts,
    encode_entry,
    with_known_start,
)
from .ports import Executors
from .shard_logs import EXECUTOR_KEY
from .tickets import Ticket
from .timers import Clock
from .workloads import ExecutorEntry, ExecutorId

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

# How long an owner continues to grant leases and start tasks without an answer from the store. A
# new owner waits for this time plus one lease before it treats the leases of an unreachable
# executor as lapsed. Together with the lease, runs survive a store outage of 11 s.
AUTHORITY_S = 8.0

# The reason for dropping an executor at whose address another incarnation answers.
OTHER_INCARNATION_ANSWERS = "another incarnation answers"
# The reason for dropping an executor whose machine the fleet's owner has moved or maintained.
ORDERED_AWAY = "ordered away"


class ExecutorRoster:
    """Manages the links to all executors that run, or may run, tasks of one shard.

    :param dispatcher: the owner of the shard.
    :param executors: sends orders to executors.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(
        self, *, dispatcher: "Dispatcher", executors: Executors, clock: Clock, events: EventLog
    ) -> None:
        self.links_by_executor: dict[str, ExecutorLink] = {}
        self.entries_by_id: dict[str, ExecutorEntry] = {}
        self.services: frozenset[str] = frozenset()
        # Executors that a former owner used, until they report to this owner or their leases lapse.
        self.awaiting_report: set[str] = set()
        # Executors whose machines were moved or replaced, with the latest time in ms at which the
        # removed incarnation may have started. Their entries stay on the list for some seconds.
        self.removed: dict[ExecutorId, int] = {}
        # Whether the former owner handed the shard over cleanly.
        self.previous_closed_cleanly = False
        self._dispatcher = dispatcher
        self._executors = executors
        self._clock = clock
        self._events = events
        self._shard_starts = asyncio.Semaphore(MAX_STARTS_PER_SHARD)
        self._orders_in_flight = OrdersInFlight()
        self._link_tasks: dict[str, asyncio.Task[None]] = {}

    def close(self) -> None:
        """Cancel all links and their orders."""
        for task in list(self._link_tasks.values()):
            task.cancel()
        for link in self.links_by_executor.values():
            link.close()

    def update(self) -> None:
        """Apply the current list of executors."""
        for entry in list(self.entries_by_id.values()):
            try:
                self._apply_entry(entry)
            except Exception as exc:
                # An entry may come from another writer. One that can't be used has no effect on the
                # others, which are unreachable for the shard's jobs if they aren't applied.
                self._events.note(
                    "executor.unapplied", vital=True, executor=entry.executor, why=repr(exc)
                )
        for executor, link in list(self.links_by_executor.items()):
            if executor not in self.entries_by_id:
                if link.listed:
                    self._events.note(
                        "executor.unlisted", executor=executor, runs=len(link.runs_by_key)
                    )
                link.listed = False
                if link.lapsed:
                    self.drop(link, "not listed any more")

    def _apply_entry(self, entry: ExecutorEntry) -> None:
        link = self.links_by_executor.get(entry.executor)
        if link is None:
            if entry.service in self.services and not self.is_removed(entry):
                self.open(entry, inherited=False)
            return
        incarnation = compare_starts(link.entry.started_ms, entry.started_ms)
        if incarnation is Incarnation.NEWER:
            if link.is_acknowledging:
                link.newer_start_ms = entry.started_ms
            else:
                self.replace(link, entry, ends_hidden=link.may_hide_ends)
            return
        if incarnation is Incarnation.OLDER:
            # A report of the newer one came first.
            link.listed = True
            return
        entry = self._with_start(link, entry)
        if entry.draining and not link.entry.draining:
            self._events.note("executor.draining", executor=entry.executor)
        if entry.capacity != link.entry.capacity:
            self._events.note(
                "executor.resized",
                executor=entry.executor,
                capacity=entry.capacity,
                before=link.entry.capacity,
                used=link.used,
            )
        link.entry = entry
        link.listed = True

    def _with_start(self, link: ExecutorLink, entry: ExecutorEntry) -> ExecutorEntry:
        """Return an entry of a link's incarnation with the start that is known from either."""
        if link.entry.started_ms is None and entry.started_ms is not None:
            link.entry = link.entry._replace(started_ms=entry.started_ms)
            self.store(link)
        return with_known_start(entry, link.entry.started_ms)

    def remove(self, executor: ExecutorId) -> None:
        """Use an executor no more that has ended, until a newer incarnation of it is known."""
        link = self.links_by_executor.get(executor)
        entry = link.entry if link is not None else self.entries_by_id.get(executor)
        if entry is None and self._dispatcher.features.starts_stated:
            # Nothing of it is known or listed, so what is listed from now on is newer.
            return
        started_ms = entry.started_ms if entry is not None else None
        if started_ms is None:
            # It started before it ended, so a later start is another incarnation's.
            started_ms = int(self._clock.wall() * 1000)
        self.removed.setdefault(executor, started_ms)

    def is_newer_than_removed(self, entry: ExecutorEntry) -> bool:
        """Whether an entry is of a newer incarnation than the one that was removed."""
        return entry.executor in self.removed and not self.is_removed(entry)

    def is_removed(self, entry: ExecutorEntry) -> bool:
        """Whether an incarnation of an executor was removed; a newer one wasn't."""
        if entry.executor not in self.removed:
            return False
        removed_ms = self.removed[entry.executor]
        return compare_starts(removed_ms, entry.started_ms) is not Incarnation.NEWER

    def replace_answering(self, link: ExecutorLink, started_ms: int, *, ends_hidden: bool) -> None:
        """Replace the link to an executor of which a newer incarnation has answered.

        :param started_ms: when it started.
        :param ends_hidden: whether an acknowledgement for the former one has reached it.
        """
        entry = self.entries_by_id.get(link.entry.executor)
        if entry is None or entry.started_ms != started_ms:
            # Neither its state nor its capacity is known, so nothing is started there until its
            # entry is listed.
            entry = link.entry._replace(started_ms=started_ms, draining=False, readable=False)
        self.replace(link, entry, ends_hidden=ends_hidden)

    def replace(
        self, link: ExecutorLink, entry: ExecutorEntry, *, ends_hidden: bool = False
    ) -> None:
        """Replace the link to an executor that has restarted under the same id.

        The runs of the former incarnation are lost, except for those that may have been started on
        the new one instead.

        :param entry: the entry of the new incarnation.
        :param ends_hidden: whether an acknowledgement for the former one has reached the new one.
        """
        executor = entry.executor
        if self._dispatcher.handing_over:
            # The next owner finds out; this one may grant no more leases.
            return
        self._events.note(
            "executor.restarted",
            vital=True,
            executor=executor,
            service=entry.service,
            started_ms=entry.started_ms,
            before_ms=link.entry.started_ms,
            uncertain=len(link.uncertain_runs()),
            ends_hidden=ends_hidden,
        )
        metrics.executor_restarts.add(1)
        inherited = executor in self.awaiting_report
        uncertain = bool(link.uncertain_runs())
        if link.up:
            # The restart was so short that nobody saw the connections close.
            self._dispatcher.crashes.on_closed(link)
        successor = None
        if entry.service in self.services or uncertain or inherited:
            unknown_lease = uncertain or inherited or link.may_extend_lease
            successor = self._make_link(entry, unknown_lease=unknown_lease)
            successor.ends_hidden = ends_hidden
            successor.closing = link.closing
            successor.take_over_uncertain(link)
        self._close_link(link, RESTARTED)
        self._dispatcher.forget_marks(executor)
        if successor is not None:
            self._start_link(successor, inherited=inherited)
            return
        self._dispatcher.log.put(EXECUTOR_KEY + executor, b"")
        self.note_reported(executor)

    def store(self, link: ExecutorLink) -> Ticket:
        """Store the record of a link's executor for the next owner."""
        return self._dispatcher.log.put(
            EXECUTOR_KEY + link.entry.executor, encode_entry(link.entry)
        )

    def open(self, entry: ExecutorEntry, *, inherited: bool) -> None:
        """Open a link to an executor.

        :param entry: the executor's entry.
        :param inherited: whether a former owner used it, so that it may run tasks of this shard.
        """
        self._start_link(self._make_link(entry), inherited=inherited)

    def _make_link(self, entry: ExecutorEntry, *, unknown_lease: bool = False) -> ExecutorLink:
        """Create a link.

        :param unknown_lease: whether orders for a former incarnation may have reached the executor.
            Their times are by another clock, so they may have granted the platform's longest lease.
        """
        unknown_lease_s = 0.0
        if unknown_lease:
            unknown_lease_s = self._dispatcher.longest_lease_s + START_VALIDITY_S
        now = self._clock.monotonic()
        return ExecutorLink(
            entry=entry,
            fence=self._dispatcher.epoch,
            port=self._executors,
            owner=self._dispatcher,
            clock=self._clock,
            events=self._events,
            shard_starts=self._shard_starts,
            orders_in_flight=self._orders_in_flight,
            inherited_lapse_at=now + max(self._inherited_lease_s, unknown_lease_s * 1.05),
            unknown_lease_s=unknown_lease_s,
        )

    def _start_link(self, link: ExecutorLink, *, inherited: bool) -> None:
        entry = link.entry
        self._dispatcher.crashes.on_listed(entry)
        link.listed = not inherited or entry.executor in self.entries_by_id
        self.links_by_executor[entry.executor] = link
        # The next owner has to know every executor that may run tasks. The list of executors may
        # omit one that is disconnected, and its tasks would be started a second time.
        link.entry_record = self.store(link)
        link.entry_record.outcome.add_done_callback(lambda _: self._dispatcher.wake())
        if inherited:
            self.awaiting_report.add(entry.executor)
        self._link_tasks[entry.executor] = self._dispatcher.spawn(link.run())

    def await_lease_expiry(self, executor: ExecutorId) -> None:
        """Treat an executor of which only the id is known as unreported until its leases lapse."""
        self.awaiting_report.add(executor)
        self._dispatcher.spawn(self._wait_until_lapsed(executor))

    async def _wait_until_lapsed(self, executor: ExecutorId) -> None:
        await self._clock.sleep(self._inherited_lease_s)
        await self._dispatcher.ownership.wait_until_held_at(self._clock.monotonic())
        self.note_reported(executor)

    @property
    def former_leases_settled(self) -> bool:
        """Whether no lease of a former owner can outlast one that this owner may have granted.

        A former owner that isn't known to have ended may go on renewing the leases of an executor
        that hasn't reported. If this owner's hand-over then counted as clean, its successor would
        start the tasks there a second time.
        """
        return self.previous_closed_cleanly or not self.awaiting_report

    @property
    def _inherited_lease_s(self) -> float:
        """For how many seconds leases granted by a former owner may still be valid."""
        # An owner that handed over cleanly grants no leases after its last record.
        return (LEASE_S + (0 if self.previous_closed_cleanly else AUTHORITY_S)) * 1.05

    def drop(self, link: ExecutorLink, why: str) -> None:
        """Drop an executor that no longer exists, and all runs on it.

        :param why: the reason, for the log and the metrics.
        """
        executor = link.entry.executor
        if self.links_by_executor.get(executor) is not link:
            return
        self._close_link(link, why)
        self._dispatcher.log.put(EXECUTOR_KEY + executor, b"")
        self.note_reported(executor)

    def _close_link(self, link: ExecutorLink, why: str) -> None:
        executor = link.entry.executor
        del self.links_by_executor[executor]
        self._events.note(
            "executor.gone",
            vital=True,
            executor=executor,
            fence=link.fence,
            unconfirmed_s=self._dispatcher.unconfirmed_s(),
            why=why,
            runs=len(link.runs_by_key),
        )
        self._dispatcher.crashes.on_gone(
            link,
            answered=why in (OTHER_INCARNATION_ANSWERS, RESTARTED),
            ordered_away=why == ORDERED_AWAY,
        )
        lost = list(link.runs_by_key.values())
        for run in lost:
            link.remove(run)
            self._dispatcher.on_lost(link, run, why)
        self._dispatcher.hold_back([run.task for run in lost])
        link.up = False
        link.close()
        self._link_tasks.pop(executor).cancel()

    def note_reported(self, executor: str) -> None:
        """Note that an executor has reported its runs, or can't have any.

        Once all executors of the former owner have, tasks without a known run may be placed.
        """
        if executor not in self.awaiting_report:
            return
        self.awaiting_report.discard(executor)
        if self.awaiting_report:
            return
        self._dispatcher.crashes.on_audited(self._dispatcher.jobs_by_id.values())
        freed = sum(job.end_inheritance() for job in self._dispatcher.jobs_by_id.values())
        self._events.note("shard.audited", vital=True, shard=self._dispatcher.shard, waiting=freed)
        self._dispatcher.wake()
