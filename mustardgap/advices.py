"""Tickets for queues whose policy restricts which executors may run a step."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from .events import EventLog
from .ports import Advice, Granted
from .timers import Clock
from .workloads import AdvicePolicy, ExecutorId, TaskId

# A ticket that expires sooner than this isn't used, as it could expire before the start arrives.
EXPIRY_MARGIN_S = 0.15
RETRY_S = 0.2
# The advice service needs time for each executor of a call, and few steps need more executors.
MAX_EXECUTORS_PER_CALL = 16


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    @classmethod
    def of(cls, task_id: TaskId) -> "StepKey":
        """The key of the step that a task belongs to."""
        return cls(task_id.job, task_id.occurrence, task_id.step)


class _Ticket(NamedTuple):
    text: str
    expires_at: float


class _TicketRequest(NamedTuple):
    key: StepKey
    executors: tuple[ExecutorId, ...]
    policy: AdvicePolicy


class AdviceTicketCache:
    """Requests tickets from the advice service, one call at a time, and caches valid ones.

    The service processes the calls of one host in sequence and refuses calls if too many are
    queued, so concurrent calls would gain nothing.

    :param advice: the advice service.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(self, *, advice: Advice, clock: Clock, events: EventLog) -> None:
        self._advice = advice
        self._clock = clock
        self._events = events
        self._tickets_by_step: dict[StepKey, dict[ExecutorId, _Ticket]] = {}
        # Kept until the job ends, as a policy's decision for a step doesn't change.
        self._denied_by_step: dict[StepKey, set[ExecutorId]] = {}
        self._requests_by_step: dict[StepKey, _TicketRequest] = {}
        self._wake = asyncio.Event()
        self.granted = asyncio.Event()

    def ticket(self, key: StepKey, executor: ExecutorId) -> str | None:
        """A valid ticket for an executor, None if there is none."""
        found = self._tickets_by_step.get(key, {}).get(executor)
        if found is None or self._clock.monotonic() > found.expires_at - EXPIRY_MARGIN_S:
            return None
        return found.text

    def request(self, key: StepKey, executors: Sequence[ExecutorId], policy: AdvicePolicy) -> None:
        """Request tickets for those executors that have neither a valid ticket nor been denied.

        :param executors: the executors by preference, best first.
        """
        denied = self._denied_by_step.get(key, set())
        unknown = [e for e in executors if e not in denied and self.ticket(key, e) is None]
        if unknown and key not in self._requests_by_step:
            self._requests_by_step[key] = _TicketRequest(
                key, tuple(unknown[:MAX_EXECUTORS_PER_CALL]), policy
            )
            self._wake.set()

    def drop(self, key: StepKey, executor: ExecutorId) -> None:
        """Discard a ticket that an executor refused."""
        self._tickets_by_step.get(key, {}).pop(executor, None)

    def forget(self, job: str) -> None:
        """Discard all tickets, denials and requests of a job that has ended."""
        for table in (self._tickets_by_step, self._denied_by_step, self._requests_by_step):
            for key in [key for key in table if key.job == job]:
                del table[key]  # type: ignore[attr-defined]

    async def run(self) -> None:
        """Process requests until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._requests_by_step:
                request = next(iter(self._requests_by_step.values()))
                await self._fetch(request)
                self._requests_by_step.pop(request.key, None)

    async def _fetch(self, request: _TicketRequest) -> None:
        asked_at = self._clock.monotonic()
        step = TaskId(request.key.job, request.key.occurrence, request.key.step, 0)
        outcome = await self._advice.advise(step=step, executors=request.executors)
        if not isinstance(outcome, Granted):
            self._events.note(
                "advice.unanswered", vital=True, job=request.key.job, why=outcome.detail
            )
            await self._clock.sleep(RETRY_S)
            return
        # Validity is counted from before the call, so that a ticket expires here no later than it
        # does at the executor.
        expires_at = asked_at + (outcome.valid_s or request.policy.valid_s)
        tickets = self._tickets_by_step.setdefault(request.key, {})
        for executor, text in outcome.tickets_by_executor.items():
            tickets[executor] = _Ticket(text, expires_at)
        denied = self._denied_by_step.setdefault(request.key, set())
        denied.update(set(request.executors) - set(outcome.tickets_by_executor))
        self._events.note(
            "advice.granted",
            job=request.key.job,
            step=request.key.step,
            asked=len(request.executors),
            granted=len(outcome.tickets_by_executor),
            took_s=self._clock.monotonic() - asked_at,
        )
        self.granted.set()
