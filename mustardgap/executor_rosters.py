"""The executors of one shard's pools, and which of them have reported to its owner."""

import asyncio
from typing import TYPE_CHECKING

import msgspec

from .adaptive_timeouts import OrdersInFlight
from .events import EventLog
from .executor_links import LEASE_S, MAX_STARTS_PER_SHARD, ExecutorLink
from .ports import Executors
from .shard_logs import EXECUTOR_KEY
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
        # Executors whose machines were moved or replaced. Their entries stay on the list of
        # executors for some seconds.
        self.removed: set[str] = set()
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
        for entry in self.entries_by_id.values():
            link = self.links_by_executor.get(entry.executor)
            if link is None:
                if entry.service in self.services and entry.executor not in self.removed:
                    self.open(entry, inherited=False)
                continue
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
        for executor, link in list(self.links_by_executor.items()):
            if executor not in self.entries_by_id:
                if link.listed:
                    self._events.note(
                        "executor.unlisted", executor=executor, runs=len(link.runs_by_key)
                    )
                link.listed = False
                if link.lapsed:
                    self.drop(link, "not listed any more")

    def open(self, entry: ExecutorEntry, *, inherited: bool) -> None:
        """Open a link to an executor.

        :param entry: the executor's entry.
        :param inherited: whether a former owner used it, so that it may run tasks of this shard.
        """
        now = self._clock.monotonic()
        self._dispatcher.crashes.on_listed(entry)
        link = ExecutorLink(
            entry=entry,
            fence=self._dispatcher.epoch,
            port=self._executors,
            owner=self._dispatcher,
            clock=self._clock,
            events=self._events,
            shard_starts=self._shard_starts,
            orders_in_flight=self._orders_in_flight,
            inherited_lapse_at=now + self._inherited_lease_s,
        )
        link.listed = not inherited or entry.executor in self.entries_by_id
        self.links_by_executor[entry.executor] = link
        # The next owner has to know every executor that may run tasks. The list of executors may
        # omit one that is disconnected, and its tasks would be started a second time.
        link.entry_record = self._dispatcher.log.put(
            EXECUTOR_KEY + entry.executor, msgspec.msgpack.encode(entry)
        )
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
        self.note_reported(executor)

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
        if self.links_by_executor.pop(executor, None) is None:
            return
        self._events.note(
            "executor.gone", vital=True, executor=executor, why=why, runs=len(link.runs_by_key)
        )
        self._dispatcher.crashes.on_gone(link, answered=why == OTHER_INCARNATION_ANSWERS)
        for run in list(link.runs_by_key.values()):
            link.remove(run)
            self._dispatcher.on_lost(link, run, why)
        link.up = False
        link.close()
        self._link_tasks.pop(executor).cancel()
        self._dispatcher.log.put(EXECUTOR_KEY + executor, b"")
        self.note_reported(executor)

    def note_reported(self, executor: str) -> None:
        """Note that an executor has reported its runs, or can't have any.

        Once all executors of the former owner have, tasks without a known run may be placed.
        """
        if executor not in self.awaiting_report:
            return
        self.awaiting_report.discard(executor)
        if self.awaiting_report:
            return
        freed = 0
        for job in self._dispatcher.jobs_by_id.values():
            for task in job.tasks():
                freed += task.inherited
                task.inherited = False
        self._events.note("shard.audited", vital=True, shard=self._dispatcher.shard, waiting=freed)
        self._dispatcher.wake()
