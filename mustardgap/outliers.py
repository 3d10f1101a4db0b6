"""Detects sick executors, ejects them for a time, probes them, and slowly uses them again.

Ejection never leaves fewer executors than a floor, as health signs may be wrong or have a cause
that all executors share. At the floor, a sick executor only gets the smallest share of the work.
"""

from collections.abc import Callable, Collection, Iterable
from statistics import median
from typing import Literal

from absl import logging

from . import metrics
from .healths import Health, HealthSign
from .settings import RequestsSettings
from .timelines import Timeline
from .timers import Clock

State = Literal["well", "sick", "ejected", "probing", "returning"]

MIN_WEIGHT = 0.1
WEIGHT_STEPS = 10
CHECK_INTERVAL_S = 0.25
MIN_TRIES = 10.0
MIN_PEER_TRIES = 3.0
# By how much an executor must differ from its peers: a failure ratio of its own, margins over their
# median, and a factor of it.
MIN_FAILURE_RATIO = 0.2
FAILURE_MARGIN = 0.1
LATENCY_MARGIN_S = 0.05
MEDIAN_FACTOR = 3.0
MAX_DOUBLINGS = 5
RETURNING_FAILURE_LIMIT = 2
IDEMPOTENT_PROBE_S = 10.0
# From this failure ratio of the peers on, failures aren't attributed to a single executor.
COMMON_FAILURE_RATIO = 0.3
# After this many unreachable workers of a rack within this time, one such failure ejects others.
RACK_FAILING_WORKERS = 2
RACK_WINDOW_S = 5.0


class TrackedExecutor:
    """The state and health of one executor.

    :param executor: the executor's id.
    :param service: its service.
    :param worker: the worker that it runs on.
    :param rack: that worker's rack.
    """

    def __init__(self, *, executor: str, service: str, worker: str, rack: str) -> None:
        self.executor = executor
        self.service = service
        self.worker = worker
        self.rack = rack
        self.health = Health()
        self.state: State = "well"
        self.state_ends_at = 0.0
        self.ejections = 0
        self.is_probed = False
        self.unreachable_at = float("-inf")


class Outliers:
    """Detects outliers among the executors of each service.

    :param settings: when and for how long executors are ejected.
    :param clock: the clocks to read.
    :param timeline: records the state changes of executors.
    :param floor: returns how many executors of a service must stay in use.
    :param on_change: called with the service of an executor whose state has changed.
    """

    def __init__(
        self,
        *,
        settings: RequestsSettings,
        clock: Clock,
        timeline: Timeline,
        floor: Callable[[str], int],
        on_change: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.timeline = timeline
        self.floor = floor
        self.on_change = on_change
        self.by_executor: dict[str, TrackedExecutor] = {}
        self._by_service: dict[str, dict[str, TrackedExecutor]] = {}
        self._by_rack: dict[str, set[str]] = {}
        self._checked_at_by_service: dict[str, float] = {}

    def add(self, tracked: TrackedExecutor, *, slowly: bool) -> None:
        """Track an executor; with ``slowly``, its share of work grows from the smallest."""
        self.by_executor[tracked.executor] = tracked
        self._by_service.setdefault(tracked.service, {})[tracked.executor] = tracked
        self._by_rack.setdefault(tracked.rack, set()).add(tracked.executor)
        if slowly:
            self._set_state(tracked, "returning", self.settings.slow_start_s, cause="new")

    def remove(self, executor: str) -> None:
        """Stop tracking an executor."""
        tracked = self.by_executor.pop(executor, None)
        if tracked is not None:
            self._by_service[tracked.service].pop(executor, None)
            self._by_rack[tracked.rack].discard(executor)

    def note_try(self, executor: str, sign: HealthSign, took_s: float | None) -> None:
        """Update an executor's health with a try.

        :param executor: the executor's id.
        :param sign: what the try indicates.
        :param took_s: duration of the try in seconds, None if unknown.
        """
        tracked = self.by_executor.get(executor)
        if tracked is None or tracked.state == "ejected":
            return
        now = self.clock.monotonic()
        tracked.is_probed = False
        tracked.health.note_try(sign, took_s, now)
        if sign.unreachable:
            tracked.unreachable_at = now
        if not sign.failed:
            self._note_success(tracked)
        elif tracked.health.consecutive_failures >= self._failure_limit(tracked, sign) and (
            sign.hard or self._peers_are_healthy(tracked)
        ):
            self._eject(tracked, f"{tracked.health.consecutive_failures} failures in a row")
        if now - self._checked_at_by_service.get(tracked.service, 0.0) >= CHECK_INTERVAL_S:
            self._checked_at_by_service[tracked.service] = now
            self._check_service(tracked.service)

    def release_probe(self, executor: str) -> None:
        """Note that a try was inconclusive or abandoned, so that another probe may be sent."""
        tracked = self.by_executor.get(executor)
        if tracked is not None and tracked.is_probed:
            tracked.is_probed = False
            self.on_change(tracked.service)

    def weight(self, executor: str) -> float:
        """Return an executor's share of work, from 0 for none to 1 for a full share."""
        tracked = self.by_executor.get(executor)
        if tracked is None or tracked.state == "well":
            return 1.0
        self._expire_state(tracked)
        if tracked.state == "ejected":
            return 0.0
        if tracked.state == "probing":
            # The probe needs a full share: with less, the executor would get no request while
            # others have free slots, and its slot would be missing when they have none.
            return 0.0 if tracked.is_probed else 1.0
        if tracked.state == "returning":
            progress = (
                1.0 - (tracked.state_ends_at - self.clock.monotonic()) / self.settings.slow_start_s
            )
            return max(MIN_WEIGHT, round(progress * WEIGHT_STEPS) / WEIGHT_STEPS)
        return MIN_WEIGHT if tracked.state != "well" else 1.0

    def allow_request(self, executor: str, *, idempotent: bool) -> bool:
        """Check whether a request may be sent to an executor now, and note a probe.

        After its ejection, an executor gets one idempotent request as a probe, and no other until
        that one is answered. A service may have no idempotent requests, so after some time any
        request may be the probe.

        :param executor: the executor's id.
        :param idempotent: whether the request may be repeated.
        """
        tracked = self.by_executor.get(executor)
        if tracked is None or tracked.state not in ("probing", "sick"):
            return True
        is_suitable = idempotent or self.clock.monotonic() >= tracked.state_ends_at
        if tracked.state == "sick":
            return is_suitable
        if tracked.is_probed or not is_suitable:
            return False
        tracked.is_probed = True
        self.on_change(tracked.service)
        return True

    def has_constant_weights(self, service: str) -> bool:
        """Whether no weight of a service changes with time alone."""
        return all(p.state == "well" for p in self._by_service.get(service, {}).values())

    def _failure_limit(self, tracked: TrackedExecutor, sign: HealthSign) -> int:
        if tracked.state == "probing":
            return 1
        if tracked.state == "returning":
            return RETURNING_FAILURE_LIMIT
        if sign.unreachable and self._is_rack_failing(tracked):
            return 1
        return self.settings.eject_after

    def _peers_are_healthy(self, tracked: TrackedExecutor) -> bool:
        """Whether failures that the requests may have caused can be attributed to this executor.

        While all requests fail, the first executor with five failures has peers with one or two
        tries each. It was ejected as the only sick one, though the cause was common to all. So if
        no peer has enough tries, those of all peers are added up; without enough, the result is
        False.
        """
        peers = [p.health for p in self._by_service[tracked.service].values() if p is not tracked]
        ratios = [health.failure_ratio for health in peers if health.tries >= MIN_PEER_TRIES]
        if ratios:
            return median(ratios) < COMMON_FAILURE_RATIO
        tries = sum(health.tries for health in peers)
        failures = sum(health.failure_ratio * health.tries for health in peers)
        return tries >= MIN_PEER_TRIES and failures < COMMON_FAILURE_RATIO * tries

    def _is_rack_failing(self, tracked: TrackedExecutor) -> bool:
        # The executors of a rack fail together. Waiting for several failures of each would cost
        # requests at every one of them; two other workers of the rack are enough evidence.
        since = self.clock.monotonic() - RACK_WINDOW_S
        others = (self.by_executor[e] for e in self._by_rack[tracked.rack])
        failing = {p.worker for p in others if p.unreachable_at > since}
        return len(failing - {tracked.worker}) >= RACK_FAILING_WORKERS

    def _note_success(self, tracked: TrackedExecutor) -> None:
        if tracked.state == "probing":
            tracked.health.clear()
            self._set_state(
                tracked, "returning", self.settings.slow_start_s, cause="probe answered"
            )

    def _check_service(self, service: str) -> None:
        """Eject at most one executor: the worst one that is an outlier among its peers."""
        comparable = [
            p
            for p in self._by_service[service].values()
            if p.state in ("well", "returning") and p.health.tries >= MIN_PEER_TRIES
        ]
        for tracked in sorted(comparable, key=_severity, reverse=True):
            peers = [p.health for p in comparable if p is not tracked]
            if tracked.health.tries < MIN_TRIES or not peers:
                continue
            reason = _outlier_reason(tracked.health, peers)
            if reason:
                self._eject(tracked, reason)
                return

    def _eject(self, tracked: TrackedExecutor, reason: str) -> None:
        if not self._may_eject(tracked):
            if tracked.state != "sick":
                self._set_state(
                    tracked, "sick", self.settings.eject_s, cause=f"{reason}; at the floor"
                )
            return
        doublings = min(tracked.ejections, MAX_DOUBLINGS)
        tracked.ejections += 1
        metrics.ejections.add(1, {"service": tracked.service})
        self._set_state(tracked, "ejected", self.settings.eject_s * 2**doublings, cause=reason)

    def _may_eject(self, tracked: TrackedExecutor) -> bool:
        tracked_executors = self._by_service[tracked.service].values()
        ejected = sum(1 for p in tracked_executors if p.state == "ejected")
        floor = max(self.floor(tracked.service), (len(tracked_executors) + 1) // 2)
        return len(tracked_executors) - ejected - 1 >= floor

    def _expire_state(self, tracked: TrackedExecutor) -> None:
        """Move an executor to its next state if the time of its state is over."""
        now = self.clock.monotonic()
        if now < tracked.state_ends_at:
            return
        if tracked.state == "ejected":
            tracked.health.clear()
            self._set_state(tracked, "probing", IDEMPOTENT_PROBE_S, cause="time is over")
        elif tracked.state == "sick":
            tracked.health.clear()
            self._set_state(tracked, "returning", self.settings.slow_start_s, cause="time is over")
        elif tracked.state == "returning":
            self._set_state(tracked, "well", 0.0, cause="slow start is over")
            # Not reset to zero, so that an executor that soon fails again is ejected for longer.
            tracked.ejections = max(0, tracked.ejections - 1)

    def _set_state(
        self, tracked: TrackedExecutor, state: State, duration_s: float, *, cause: str
    ) -> None:
        has_recovered = tracked.state == "probing" and state == "returning"
        tracked.state = state
        tracked.is_probed = False
        tracked.state_ends_at = self.clock.monotonic() + duration_s
        if state == "ejected" or has_recovered:
            # Every new executor starts slowly, and a line for each would bury these lines.
            logging.info("executor %s is %s: %s", tracked.executor, state, cause)
        self.timeline.add(
            f"executor.{state}",
            cause=cause,
            executor=tracked.executor,
            service=tracked.service,
            host=tracked.worker,
        )
        self.on_change(tracked.service)


def _severity(tracked: TrackedExecutor) -> tuple[float, float]:
    return tracked.health.failure_ratio, tracked.health.mean_s


def _outlier_reason(health: Health, peers: Collection[Health]) -> str:
    """Return why an executor is an outlier among its peers, "" if it isn't.

    It is compared with the median of its peers: a cause that affects all of them, such as bad
    requests or a slow store behind them, is no reason to use fewer of them.
    """
    return _failure_reason(health, peers) or _latency_reason(health, peers)


def _failure_reason(health: Health, peers: Iterable[Health]) -> str:
    ratio = median(p.failure_ratio for p in peers)
    threshold = ratio * MEDIAN_FACTOR + FAILURE_MARGIN
    # A lower ratio counts too once it is certain. With a fixed ratio alone, an executor that fails
    # 19 of 100 tries is never ejected, and one that fails 3 of 10 depending on the time of a check.
    is_certain = health.failure_ratio_lower_bound > threshold
    if is_certain or health.failure_ratio > max(MIN_FAILURE_RATIO, threshold):
        return f"{health.failure_ratio:.0%} of tries fail, {ratio:.0%} elsewhere"
    return ""


def _latency_reason(health: Health, peers: Iterable[Health]) -> str:
    # After a pause of this process, many tries count without a duration. When the few remaining
    # durations were compared, or peers had none, an executor was ejected for one slow read or for
    # its usual latency. So as many durations are required as tries for a decision.
    means = [p.mean_s for p in peers if p.timed_tries >= MIN_PEER_TRIES]
    if health.timed_tries < MIN_TRIES or not means:
        return ""
    mean_s = median(means)
    if health.mean_s > max(mean_s * MEDIAN_FACTOR, mean_s + LATENCY_MARGIN_S):
        return f"tries take {health.mean_s:.3f} s, {mean_s:.3f} s elsewhere"
    return ""
