"""Acquires and releases slots of executors, which all entry hosts share."""

import asyncio
from collections.abc import Callable, Collection
from typing import Any, NamedTuple, Protocol

from . import metrics, status_codes
from .exceptions import SlotRefused
from .executors import ExecutorView
from .queues import LEAST_URGENT, Waiter, WaitQueue
from .settings import Settings
from .timers import Timers

SWEEP_INTERVAL_S = 0.1
SERVE_LOOKAHEAD = 8
DEFAULT_MAX_WAIT_S = 2.0


class SlotId(NamedTuple):
    """Identifies one slot of one executor."""

    executor: str
    position: int


class Slot(NamedTuple):
    """An acquired slot; it may be used until the monotonic time ``deadline``."""

    service: str
    id: SlotId
    executor: ExecutorView
    taken_at: float
    deadline: float
    use_number: int = 0


class Demand(NamedTuple):
    """The number of requests that wait for a service's slots here, and details of the first one."""

    waiting: int
    urgency: int
    waited_s: float
    left_s: float
    exclude: frozenset[str]


class HasCandidates(Protocol):
    """Knows which executors may be chosen."""

    def candidates(self, service: str) -> list[ExecutorView]:
        """Return the executors of a service that may be chosen now."""


class SharingPolicy(Protocol):
    """Shares executors' slots among the entry hosts."""

    def take(self, service: str, exclude: frozenset[str], deadline: float) -> Slot | None:
        """Take a slot that this entry host may use now, or return None."""

    def give_back(self, slot: Slot) -> None:
        """Give a slot back."""

    def demand_changed(self, service: str) -> None:
        """Handle a change of a service's queue."""

    def stalled(self, service: str) -> bool:
        """Return whether no slot is expected soon, so that waiting is useless."""


class Slots:
    """Assigns executors' slots to requests, which wait in order of urgency.

    :param settings: the daemon's settings.
    :param executors: which executors may be chosen.
    :param timers: the timer service.
    :param max_wait_s: returns the longest wait in seconds that a service's profile allows.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        executors: HasCandidates,
        timers: Timers,
        max_wait_s: Callable[[str], float] | None = None,
    ) -> None:
        self.settings = settings
        self.executors = executors
        self.timers = timers
        self.max_wait_s = max_wait_s or (lambda service: DEFAULT_MAX_WAIT_S)
        self.queues_by_service: dict[str, WaitQueue] = {}
        self.sharing: SharingPolicy

    async def acquire(
        self,
        service: str,
        *,
        deadline: float,
        urgency: int = 5,
        exclude: Collection[str] = frozenset(),
    ) -> Slot:
        """Wait for a slot.

        :param service: the service.
        :param deadline: the monotonic time at which the caller gives up.
        :param urgency: 0 for the most urgent to 9 for the least.
        :param exclude: executors to avoid, unless there are no others.
        :return: the slot, to be given back with ``release``.
        :raises SlotRefused: with the outcome, at once if the wait would be too long.
        """
        now = self.timers.clock.monotonic()
        queue = self._queue(service)
        if deadline <= now:
            raise queue.make_refusal(status_codes.DEADLINE_BEFORE_RUN)
        exclude = self._effective_exclude(service, exclude, queue)
        urgency = min(max(urgency, 0), LEAST_URGENT)
        if not queue.ahead(urgency):
            slot = self.sharing.take(service, exclude, deadline)
            if slot is not None:
                return self._count_served(slot, queue, 0.0)
        if self.sharing.stalled(service):
            raise queue.make_refusal(status_codes.NOT_CURRENT, "no lease of slots")
        waiter = Waiter(
            urgency=urgency,
            until=min(deadline, now + self.max_wait_s(service)),
            deadline=deadline,
            exclude=exclude,
            since=now,
        )
        queue.push(waiter)
        self.sharing.demand_changed(service)
        return await self._wait(queue, waiter)

    def release(self, slot: Slot) -> None:
        """Give a slot back; call it once for each slot."""
        queue = self._queue(slot.service)
        queue.record_hold(self.timers.clock.monotonic() - slot.taken_at)
        metrics.slots_used.add(-1, {"service": slot.service})
        self.sharing.give_back(slot)
        self.serve(slot.service)

    def waiting(self, service: str) -> int:
        """Return how many requests of a service wait here."""
        queue = self.queues_by_service.get(service)
        return len(queue) if queue is not None else 0

    async def run(self) -> None:
        """Refuse requests that would wait too long, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for service, queue in self.queues_by_service.items():
                self._sweep(service, queue)

    def serve(self, service: str) -> None:
        """Assign free slots to waiting requests."""
        queue = self.queues_by_service.get(service)
        if queue is None or not len(queue):
            return
        passed_over = 0
        for waiter in list(queue):
            if waiter.future.done():
                # The waiter was cancelled in this loop iteration and can't accept a slot: the slot
                # would be lost, and the error would reach the request that released it.
                queue.remove(waiter)
                continue
            slot = self.sharing.take(service, waiter.exclude, waiter.deadline)
            if slot is None:
                passed_over += 1
                if passed_over >= SERVE_LOOKAHEAD or not waiter.exclude:
                    break
                continue
            queue.remove(waiter)
            waiter.future.set_result(slot)
        self.sharing.demand_changed(service)

    def demand(self, service: str) -> Demand:
        """Return the demand for a service's slots here."""
        queue = self.queues_by_service.get(service)
        head = queue.head() if queue is not None else None
        if queue is None or head is None:
            return Demand(0, LEAST_URGENT, 0.0, 0.0, frozenset())
        now = self.timers.clock.monotonic()
        waited_s = now - head.since
        return Demand(len(queue), head.urgency, waited_s, head.deadline - now, head.exclude)

    async def _wait(self, queue: WaitQueue, waiter: Waiter) -> Slot:
        loop = asyncio.get_running_loop()
        left_s = waiter.until - self.timers.clock.monotonic()
        timer = loop.call_later(left_s, self._time_out, queue, waiter)
        try:
            slot: Slot = await waiter.future
        except asyncio.CancelledError:
            # The slot may have been assigned in the loop iteration of the cancellation.
            if waiter.future.done() and not waiter.future.cancelled():
                self._return_undelivered(queue, waiter.future)
            raise
        finally:
            timer.cancel()
            queue.remove(waiter)
            self.sharing.demand_changed(queue.service)
        return self._count_served(slot, queue, self.timers.clock.monotonic() - waiter.since)

    def _return_undelivered(self, queue: WaitQueue, future: asyncio.Future[Any]) -> None:
        if future.exception() is None:
            self.sharing.give_back(future.result())
            self.serve(queue.service)

    def _time_out(self, queue: WaitQueue, waiter: Waiter) -> None:
        if waiter.future.done():
            return
        queue.remove(waiter)
        late = self.timers.clock.monotonic() >= waiter.deadline
        code = status_codes.DEADLINE_BEFORE_RUN if late else status_codes.QUEUE_FULL
        waiter.future.set_exception(queue.make_refusal(code))

    def _sweep(self, service: str, queue: WaitQueue) -> None:
        if not len(queue):
            return
        if self.sharing.stalled(service):
            for waiter in list(queue):
                queue.remove(waiter)
                if not waiter.future.done():
                    refusal = queue.make_refusal(status_codes.NOT_CURRENT, "no lease of slots")
                    waiter.future.set_exception(refusal)
        queue.shed()
        self.serve(service)

    def _effective_exclude(
        self, service: str, exclude: Collection[str], queue: WaitQueue
    ) -> frozenset[str]:
        views = self.executors.candidates(service)
        if not views:
            raise queue.make_refusal(status_codes.NO_EXECUTOR)
        if all(view.executor in exclude for view in views):
            return frozenset()
        return frozenset(exclude)

    def _count_served(self, slot: Slot, queue: WaitQueue, waited_s: float) -> Slot:
        queue.record_served(waited_s)
        metrics.slots_used.add(1, {"service": slot.service})
        return slot

    def _queue(self, service: str) -> WaitQueue:
        queue = self.queues_by_service.get(service)
        if queue is None:
            queue = self.queues_by_service[service] = WaitQueue(
                service=service,
                clock=self.timers.clock,
                max_waiting=self.settings.requests.max_waiting,
            )
        return queue


Refused = SlotRefused
