"""A request from start to end: its service, key, slot and tries, and its one true outcome."""

import asyncio
from collections.abc import Collection
from typing import Any, Protocol

from . import judgements, metrics, status_codes
from .answers import EarlyTimeout, Sink
from .exceptions import SlotRefused
from .executors import Executors, ExecutorView
from .judgements import RetryCost
from .keys import Claim, Keys
from .outcomes import BrokenOff, NotRun, Outcome, Unknown
from .retries import RetryBudget
from .routes import Route, Routes
from .settings import Settings
from .status_codes import Code
from .timelines import Timeline
from .timers import Clock
from .tries import NotSent, TryResult
from .upstreams import Request, Upstreams

MAX_UNREACHED = 4


class Slot(Protocol):
    """A slot of an executor, held while a try runs."""

    @property
    def executor(self) -> ExecutorView:
        """The executor whose slot it is."""


class HasSlots(Protocol):
    """The sharing of slots."""

    async def acquire(
        self, service: str, *, deadline: float, urgency: int, exclude: Collection[str]
    ) -> Slot:
        """Wait for a slot; raises ``SlotRefused`` with the outcome."""

    def release(self, slot: Any) -> None:
        """Give a slot back."""


class Sessions:
    """What the sessions of all requests share.

    :param settings: the daemon's settings.
    :param state: the folded state.
    :param executors: told how tries went.
    :param slots: where slots are had.
    :param keys: claims of Idempotency-Keys.
    :param upstreams: sends to executors.
    :param timeline: where unknown outcomes are noted.
    :param clock: the clocks to read.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        state: Any,
        executors: Executors,
        slots: HasSlots,
        keys: Keys,
        upstreams: Upstreams | None = None,
        timeline: Timeline | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or Clock()
        self.routes = Routes(state=state)
        self.executors = executors
        self.slots = slots
        self.keys = keys
        self.upstreams = upstreams or Upstreams(settings=settings, clock=self.clock)
        self.timeline = timeline or Timeline(member=settings.host)
        self.budget = RetryBudget(ratio=settings.requests.retry_ratio, clock=self.clock)

    def open(self, request: Request, sink: Sink | None = None) -> "Session":
        """Make the session of a request.

        :param request: the caller's request, whole.
        :param sink: takes an answer that is too large to be held.
        """
        return Session(parts=self, request=request, sink=sink)

    async def handle(self, request: Request, sink: Sink | None = None) -> Outcome:
        """Run a request to its outcome."""
        return await self.open(request, sink).run()


class Session:
    """One request; its time runs from here.

    :param parts: what all sessions share.
    :param request: the caller's request.
    :param sink: takes an answer that is too large to be held.
    """

    def __init__(self, *, parts: Sessions, request: Request, sink: Sink | None) -> None:
        self.parts = parts
        self.request = request
        self.sink = sink
        self.started = parts.clock.monotonic()
        self.service = ""
        self.tries = 0
        self._unreached = 0
        self._idempotent = False
        self._sent = False
        self._is_claiming = False
        self._has_outcome = False
        self._deadline = self.started
        self._task: asyncio.Task[Any] | None = None
        self._tried: set[str] = set()
        # What is told when no further try can be made: something that an executor did.
        self._fallback: Outcome | None = None

    async def run(self) -> Outcome:
        """Run the request to its outcome.

        :rtype: Outcome
        """
        self._task = asyncio.current_task()
        outcome = await self._run()
        self._has_outcome = not isinstance(outcome, NotRun)
        self._note(outcome)
        return outcome

    def hang_up(self) -> None:
        """The caller has gone: stop waiting for it.

        A non-idempotent request that an executor may have seen goes on, so that its outcome is
        known when it is asked for again with its key.
        """
        if self._task is not None and (self._idempotent or not self._sent):
            self._task.cancel()

    def give_up(self, refusal: Code) -> NotRun | Unknown:
        """The outcome of this request when its handling has ended without one.

        :param refusal: tells why, when no executor was given the request.
        """
        outcome = self._given_up(refusal)
        self._note(outcome)
        return outcome

    def _given_up(self, refusal: Code) -> NotRun | Unknown:
        if self._sent or self._has_outcome:
            return Unknown(code=status_codes.UNKNOWN_GIVEN_UP)
        if self._is_claiming:
            # An earlier request with this key may have run: sent again without the key, as the
            # refusal of a request that nothing is known of allows, it could run twice.
            refusal = status_codes.KEY_UNDECIDED
        return NotRun(code=refusal, retry_after=judgements.jitter(judgements.RETRY_AFTER_S))

    async def _run(self) -> Outcome:
        route = self.parts.routes.match(self.request.target)
        if route is None:
            return NotRun(code=status_codes.NO_SERVICE, retry_after=judgements.RETRY_AFTER_S)
        self.service = route.service
        self._idempotent = route.is_idempotent(self.request.method)
        refusal = self._check(route)
        if refusal is not None:
            return refusal
        metrics.active_requests.add(1, {"service": self.service})
        try:
            if self._idempotent or "Idempotency-Key" not in self.request.headers:
                return await self._try_all(route)
            return await self._run_once(route)
        finally:
            metrics.active_requests.add(-1, {"service": self.service})

    def _check(self, route: Route) -> NotRun | None:
        limits = route.limits
        if limits is not None and len(self.request.body) > limits["max_body_bytes"]:
            detail = f"the body is larger than {limits['max_body_bytes']} bytes"
            return NotRun(code=status_codes.TOO_LARGE, detail=detail)
        callers = self.parts.settings.callers
        timeout_s = limits["timeout_s"] if limits else callers.default_timeout_s
        # Slots of an entry host that is gone come back after the longest that a request may run.
        most_s = limits["timeout_s"] if limits else callers.max_timeout_s
        asked = self.request.headers.get("X-Request-Timeout")
        if asked is not None:
            try:
                timeout_s = float(asked)
            except ValueError:
                timeout_s = float("nan")
            if not 0 < timeout_s < float("inf"):
                detail = "X-Request-Timeout is not a number of seconds above 0"
                return NotRun(code=status_codes.BAD_REQUEST, detail=detail)
        self._deadline = self.started + min(timeout_s, most_s, callers.max_timeout_s)
        return None

    async def _run_once(self, route: Route) -> Outcome:
        """Run a request with a key: only when this key hasn't run before."""
        if self.parts.keys is None:
            return NotRun(
                code=status_codes.KEY_UNDECIDED,
                retry_after=judgements.jitter(judgements.RETRY_AFTER_S),
            )
        self._is_claiming = True
        claim = await self.parts.keys.claim(self.service, self.request, deadline=self._deadline)
        self._is_claiming = False
        if not isinstance(claim, Claim):
            return claim
        outcome: Outcome | None = None
        try:
            outcome = await self._try_all(route)
            return outcome
        finally:
            # The key needs an end, also when this task has none, by a cancellation or a fault.
            outcome = outcome or self._given_up(status_codes.GIVEN_UP_BEFORE_RUN)
            self.parts.keys.finish(claim, outcome)

    async def _try_all(self, route: Route) -> Outcome:
        self.parts.budget.earn(self.service)
        while True:
            try:
                slot = await self._acquire(route)
            except SlotRefused as exc:
                return self._fallback or exc.outcome
            executor = slot.executor.executor
            self._tried.add(executor)
            try:
                result = await self._try(slot.executor)
            finally:
                self.parts.slots.release(slot)
            self._count(result)
            outcome = self._judge(result, executor)
            if not self._may_repeat(result):
                return self._fallback or outcome if isinstance(outcome, NotRun) else outcome
            if not isinstance(outcome, NotRun):
                self._fallback = outcome
            metrics.retries.add(1, {"service": self.service})

    async def _acquire(self, route: Route) -> Slot:
        """Get a slot of an executor that suits the request.

        A request that may not be repeated isn't risked on an executor that was just sick, if there
        is another one.
        """
        slot = await self._acquire_any(route)
        executor = slot.executor.executor
        if self.parts.executors.begin(executor, idempotent=self._idempotent):
            return slot
        self.parts.slots.release(slot)
        return await self._acquire_any(route, executor)

    async def _acquire_any(self, route: Route, *avoided: str) -> Slot:
        return await self.parts.slots.acquire(
            self.service,
            deadline=self._deadline,
            urgency=route.urgency,
            exclude=self._tried.union(avoided),
        )

    async def _try(self, executor: ExecutorView) -> TryResult:
        started = self.parts.clock.monotonic()
        try:
            result = await self.parts.upstreams.send(
                self.request,
                executor,
                deadline=self._deadline,
                sink=self.sink,
                on_sent=self._note_sent,
                patience=self._patience(),
            )
        except asyncio.CancelledError:
            self.parts.executors.skip(executor.executor)
            raise
        took_s = self.parts.clock.monotonic() - started
        self.parts.executors.report(executor.executor, result, took_s)
        if getattr(result, "leaving", False):
            self.parts.executors.mark_leaving(executor.executor)
        return result

    def _patience(self) -> EarlyTimeout | None:
        if not self._idempotent or self.tries + 1 >= self.parts.settings.requests.max_tries:
            return None
        seconds = self.parts.settings.requests.silent_timeout_s
        return EarlyTimeout(seconds, lambda: self.parts.budget.spend(self.service))

    def _note_sent(self) -> None:
        self._sent = True

    def _judge(self, result: TryResult, executor: str) -> Outcome:
        if isinstance(result, NotSent) and self._is_over():
            return NotRun(code=status_codes.DEADLINE_BEFORE_RUN, detail=result.detail)
        return judgements.outcome_of(result, executor)

    def _count(self, result: TryResult) -> None:
        # When half of the executors vanish at once, the next two may well be gone too. Counted as
        # tries, these would use up those of a request that the other half could still answer.
        if isinstance(result, NotSent):
            self._unreached += 1
        else:
            self.tries += 1

    def _may_repeat(self, result: TryResult) -> bool:
        max_tries = self.parts.settings.requests.max_tries
        if self.tries >= max_tries or self._unreached >= MAX_UNREACHED or self._is_over():
            return False
        price = judgements.retry_cost(result, idempotent=self._idempotent)
        if price is RetryCost.BUDGET:
            return self.parts.budget.spend(self.service)
        return price is RetryCost.FREE

    def _is_over(self) -> bool:
        return self.parts.clock.monotonic() >= self._deadline

    def _note(self, outcome: Outcome) -> None:
        code = outcome.code.number
        metrics.requests.add(1, {"service": self.service, "mustardgap.code": code})
        took_s = self.parts.clock.monotonic() - self.started
        metrics.request_duration.record(took_s, {"service": self.service})
        if isinstance(outcome, Unknown | BrokenOff):
            self.parts.timeline.add(
                "request.unknown",
                cause=f"{outcome.code} {outcome.detail}",
                request=self.request.request_id,
                service=self.service,
                executor=outcome.executor,
            )
