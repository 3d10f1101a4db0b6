"""Request sessions: the service, key, slot and tries of a request, and its outcome."""

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

MAX_UNSENT_TRIES = 4


class Slot(Protocol):
    """A slot of an executor, which is held during a try."""

    @property
    def executor(self) -> ExecutorView:
        """Return the executor that the slot belongs to."""


class SlotProvider(Protocol):
    """Provides slots of executors."""

    async def acquire(
        self, service: str, *, deadline: float, urgency: int, exclude: Collection[str]
    ) -> Slot:
        """Wait for a slot.

        :raises SlotRefused: with the outcome.
        """

    def release(self, slot: Any) -> None:
        """Release a slot that ``acquire`` returned."""


class Sessions:
    """Holds what the sessions of all requests share.

    :param settings: the daemon's settings.
    :param state: the folded state.
    :param executors: receives the results of tries.
    :param slots: provides slots of executors.
    :param keys: claims Idempotency-Keys.
    :param upstreams: sends requests to executors.
    :param timeline: records unknown outcomes.
    :param clock: the clocks to read.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        state: Any,
        executors: Executors,
        slots: SlotProvider,
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
        """Create the session of a request.

        :param request: the caller's complete request.
        :param sink: receives an answer that is too large to buffer.
        """
        return Session(shared=self, request=request, sink=sink)

    async def handle(self, request: Request, sink: Sink | None = None) -> Outcome:
        """Run a request to its outcome."""
        return await self.open(request, sink).run()


class Session:
    """Handles one request, whose timeout starts when the session is created.

    :param shared: what all sessions share.
    :param request: the caller's request.
    :param sink: receives an answer that is too large to buffer.
    """

    def __init__(self, *, shared: Sessions, request: Request, sink: Sink | None) -> None:
        self.shared = shared
        self.request = request
        self.sink = sink
        self.started = shared.clock.monotonic()
        self.service = ""
        self.tries = 0
        self._unsent_tries = 0
        self._is_idempotent = False
        self._is_sent = False
        self._is_claiming = False
        self._has_outcome = False
        self._deadline = self.started
        self._task: asyncio.Task[Any] | None = None
        self._tried: set[str] = set()
        # The latest outcome other than NotRun; it takes precedence over a later NotRun.
        self._fallback_outcome: Outcome | None = None

    async def run(self) -> Outcome:
        """Run the request to its outcome.

        :return: the outcome.
        """
        self._task = asyncio.current_task()
        outcome = await self._run()
        self._has_outcome = not isinstance(outcome, NotRun)
        self._record_outcome(outcome)
        return outcome

    def handle_disconnect(self) -> None:
        """Cancel the request because its caller has disconnected.

        A non-idempotent request that may have reached an executor continues, so that its outcome
        is known when the caller sends it again with its key.
        """
        if self._task is not None and (self._is_idempotent or not self._is_sent):
            self._task.cancel()

    def give_up(self, refusal: Code) -> NotRun | Unknown:
        """Return the outcome of this request if its handling ended without one.

        :param refusal: the reason, if the request wasn't sent to an executor.
        """
        outcome = self._make_given_up_outcome(refusal)
        self._record_outcome(outcome)
        return outcome

    def _make_given_up_outcome(self, refusal: Code) -> NotRun | Unknown:
        if self._is_sent or self._has_outcome:
            return Unknown(code=status_codes.UNKNOWN_GIVEN_UP)
        if self._is_claiming:
            # An earlier request with this key may have run. ``refusal`` would let the caller
            # send the request again without the key, and it could run twice.
            refusal = status_codes.KEY_UNDECIDED
        return NotRun(code=refusal, retry_after=judgements.jitter(judgements.RETRY_AFTER_S))

    async def _run(self) -> Outcome:
        route = self.shared.routes.match(self.request.target)
        if route is None:
            return NotRun(code=status_codes.NO_SERVICE, retry_after=judgements.RETRY_AFTER_S)
        self.service = route.service
        self._is_idempotent = route.is_idempotent(self.request.method)
        refusal = self._check_limits(route)
        if refusal is not None:
            return refusal
        metrics.active_requests.add(1, {"service": self.service})
        try:
            if self._is_idempotent or "Idempotency-Key" not in self.request.headers:
                return await self._try_all(route)
            return await self._run_with_key(route)
        finally:
            metrics.active_requests.add(-1, {"service": self.service})

    def _check_limits(self, route: Route) -> NotRun | None:
        limits = route.limits
        if limits is not None and len(self.request.body) > limits["max_body_bytes"]:
            detail = f"the body is larger than {limits['max_body_bytes']} bytes"
            return NotRun(code=status_codes.TOO_LARGE, detail=detail)
        callers = self.shared.settings.callers
        timeout_s = limits["timeout_s"] if limits else callers.default_timeout_s
        # Slots held by a lost entry host are recovered after the maximum run time of a request.
        max_s = limits["timeout_s"] if limits else callers.max_timeout_s
        requested = self.request.headers.get("X-Request-Timeout")
        if requested is not None:
            try:
                timeout_s = float(requested)
            except ValueError:
                timeout_s = float("nan")
            if not 0 < timeout_s < float("inf"):
                detail = "X-Request-Timeout is not a number of seconds above 0"
                return NotRun(code=status_codes.BAD_REQUEST, detail=detail)
        self._deadline = self.started + min(timeout_s, max_s, callers.max_timeout_s)
        return None

    async def _run_with_key(self, route: Route) -> Outcome:
        """Run a request with a key, unless a request with this key has run before."""
        if self.shared.keys is None:
            return NotRun(
                code=status_codes.KEY_UNDECIDED,
                retry_after=judgements.jitter(judgements.RETRY_AFTER_S),
            )
        self._is_claiming = True
        claim = await self.shared.keys.claim(self.service, self.request, deadline=self._deadline)
        self._is_claiming = False
        if not isinstance(claim, Claim):
            return claim
        outcome: Outcome | None = None
        try:
            outcome = await self._try_all(route)
            return outcome
        finally:
            # The claim must be finished even if a cancellation or an error ends this task.
            outcome = outcome or self._make_given_up_outcome(status_codes.GIVEN_UP_BEFORE_RUN)
            self.shared.keys.finish(claim, outcome)

    async def _try_all(self, route: Route) -> Outcome:
        self.shared.budget.earn(self.service)
        while True:
            try:
                slot = await self._acquire(route)
            except SlotRefused as exc:
                return self._fallback_outcome or exc.outcome
            executor = slot.executor.executor
            self._tried.add(executor)
            try:
                result = await self._try(slot.executor)
            finally:
                self.shared.slots.release(slot)
            self._count_try(result)
            outcome = self._outcome_of(result, executor)
            if not self._may_retry(result):
                return self._fallback_outcome or outcome if isinstance(outcome, NotRun) else outcome
            if not isinstance(outcome, NotRun):
                self._fallback_outcome = outcome
            metrics.retries.add(1, {"service": self.service})

    async def _acquire(self, route: Route) -> Slot:
        """Acquire a slot of an executor that suits the request.

        A non-idempotent request isn't sent to an executor that failed recently, if there is
        another one.
        """
        slot = await self._acquire_any(route)
        executor = slot.executor.executor
        if self.shared.executors.allow_request(executor, idempotent=self._is_idempotent):
            return slot
        self.shared.slots.release(slot)
        return await self._acquire_any(route, executor)

    async def _acquire_any(self, route: Route, *avoided: str) -> Slot:
        return await self.shared.slots.acquire(
            self.service,
            deadline=self._deadline,
            urgency=route.urgency,
            exclude=self._tried.union(avoided),
        )

    async def _try(self, executor: ExecutorView) -> TryResult:
        started = self.shared.clock.monotonic()
        try:
            result = await self.shared.upstreams.send(
                self.request,
                executor,
                deadline=self._deadline,
                sink=self.sink,
                on_sent=self._mark_sent,
                patience=self._early_timeout(),
            )
        except asyncio.CancelledError:
            self.shared.executors.release_probe(executor.executor)
            raise
        took_s = self.shared.clock.monotonic() - started
        self.shared.executors.report(executor.executor, result, took_s)
        if getattr(result, "leaving", False):
            self.shared.executors.mark_leaving(executor.executor)
        return result

    def _early_timeout(self) -> EarlyTimeout | None:
        if not self._is_idempotent or self.tries + 1 >= self.shared.settings.requests.max_tries:
            return None
        seconds = self.shared.settings.requests.silent_timeout_s
        return EarlyTimeout(seconds, lambda: self.shared.budget.spend(self.service))

    def _mark_sent(self) -> None:
        self._is_sent = True

    def _outcome_of(self, result: TryResult, executor: str) -> Outcome:
        if isinstance(result, NotSent) and self._is_past_deadline():
            return NotRun(code=status_codes.DEADLINE_BEFORE_RUN, detail=result.detail)
        return judgements.outcome_of(result, executor)

    def _count_try(self, result: TryResult) -> None:
        # If half of the executors vanish at once, the next two may be gone too. If these counted as
        # tries, a request that the other half could still answer would run out of tries.
        if isinstance(result, NotSent):
            self._unsent_tries += 1
        else:
            self.tries += 1

    def _may_retry(self, result: TryResult) -> bool:
        max_tries = self.shared.settings.requests.max_tries
        if (
            self.tries >= max_tries
            or self._unsent_tries >= MAX_UNSENT_TRIES
            or self._is_past_deadline()
        ):
            return False
        cost = judgements.retry_cost(result, idempotent=self._is_idempotent)
        if cost is RetryCost.BUDGET:
            return self.shared.budget.spend(self.service)
        return cost is RetryCost.FREE

    def _is_past_deadline(self) -> bool:
        return self.shared.clock.monotonic() >= self._deadline

    def _record_outcome(self, outcome: Outcome) -> None:
        code = outcome.code.number
        metrics.requests.add(1, {"service": self.service, "mustardgap.code": code})
        took_s = self.shared.clock.monotonic() - self.started
        metrics.request_duration.record(took_s, {"service": self.service})
        if isinstance(outcome, Unknown | BrokenOff):
            self.shared.timeline.add(
                "request.unknown",
                cause=f"{outcome.code} {outcome.detail}",
                request=self.request.request_id,
                service=self.service,
                executor=outcome.executor,
            )
