"""Which executors of a service are sick: ejected for a time, then probed, then slowly used again.

Ejection never goes below a floor. Signs may be wrong or come from something that all executors
share; below the floor a sick executor only gets the smallest share of the work.
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
# How far from its peers an executor must be: by itself, over their median, and by a factor.
MIN_FAILURE_RATIO = 0.2
FAILURE_MARGIN = 0.1
LATENCY_MARGIN_S = 0.05
MEDIAN_FACTOR = 3.0
MAX_DOUBLINGS = 5
RETURNING_FAILURE_LIMIT = 2
IDEMPOTENT_PROBE_S = 10.0
# Above this share of failures among the peers, failures don't speak against one executor.
COMMON_FAILURE_RATIO = 0.3
# Failures of this many workers of one rack within this time make the rest of it suspect.
RACK_FAILING_WORKERS = 2
RACK_WINDOW_S = 5.0


class TrackedExecutor:
    """One executor with its health.

    :param executor: the executor's id.
    :param service: its service.
    :param worker: the worker it is on.
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
    """Watches the executors of all services.

    :param settings: when to eject and for how long.
    :param clock: the clocks to read.
    :param timeline: where ejections and returns are noted.
    :param floor: a function that gives how many executors of a service must stay.
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
        """Watch an executor; ``slowly`` lets its share grow from the smallest."""
        self.by_executor[tracked.executor] = tracked
        self._by_service.setdefault(tracked.service, {})[tracked.executor] = tracked
        self._by_rack.setdefault(tracked.rack, set()).add(tracked.executor)
        if slowly:
            self._set_state(tracked, "returning", self.settings.slow_start_s, cause="new")

    def remove(self, executor: str) -> None:
        """Forget an executor."""
        tracked = self.by_executor.pop(executor, None)
        if tracked is not None:
            self._by_service[tracked.service].pop(executor, None)
            self._by_rack[tracked.rack].discard(executor)

    def note_try(self, executor: str, sign: HealthSign, took_s: float | None) -> None:
        """Take in a try.

        :param executor: the executor's id.
        :param sign: what the try says.
        :param took_s: seconds it took, None when that can't be told.
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
        """Take in a try that says nothing, or that was given up; a probe may be made again."""
        tracked = self.by_executor.get(executor)
        if tracked is not None and tracked.is_probed:
            tracked.is_probed = False
            self.on_change(tracked.service)

    def weight(self, executor: str) -> float:
        """The share of work an executor gets: 1 for a full one, 0 for none."""
        tracked = self.by_executor.get(executor)
        if tracked is None or tracked.state == "well":
            return 1.0
        self._expire_state(tracked)
        if tracked.state == "ejected":
            return 0.0
        if tracked.state == "probing":
            # A full share for the one probe: with less, nothing would come while the others have
            # slots to spare, and it would be missing when they haven't.
            return 0.0 if tracked.is_probed else 1.0
        if tracked.state == "returning":
            progress = (
                1.0 - (tracked.state_ends_at - self.clock.monotonic()) / self.settings.slow_start_s
            )
            return max(MIN_WEIGHT, round(progress * WEIGHT_STEPS) / WEIGHT_STEPS)
        return MIN_WEIGHT if tracked.state != "well" else 1.0

    def allow_request(self, executor: str, *, idempotent: bool) -> bool:
        """Ask whether a request may go to an executor now.

        One that was ejected gets a single request that may be repeated, and nothing more until that
        is answered. A service may have no such requests at all, so after some time any will do.

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
        """Whether no weight of a service changes by time alone."""
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
        """Whether failures that may come from the requests speak against this executor.

        While all requests fail, the executor that is the first to fail five of them has peers with
        a try or two each. Taken for the only sick one, it was ejected for what all had in common.
        So too few tries at each peer are added up, and none at all show nothing.
        """
        peers = [p.health for p in self._by_service[tracked.service].values() if p is not tracked]
        ratios = [health.failure_ratio for health in peers if health.tries >= MIN_PEER_TRIES]
        if ratios:
            return median(ratios) < COMMON_FAILURE_RATIO
        tries = sum(health.tries for health in peers)
        failures = sum(health.failure_ratio * health.tries for health in peers)
        return tries >= MIN_PEER_TRIES and failures < COMMON_FAILURE_RATIO * tries

    def _is_rack_failing(self, tracked: TrackedExecutor) -> bool:
        # A rack's executors fail together. Waiting for each to fail in a row would cost as many
        # requests as there are executors; two of the rack's other workers are sign enough.
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
        """Eject the one executor that stands out most from its peers."""
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
        """Let time have its effect on a state."""
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
            # Not at once to zero: one that fails again soon is ejected for longer.
            tracked.ejections = max(0, tracked.ejections - 1)

    def _set_state(
        self, tracked: TrackedExecutor, state: State, duration_s: float, *, cause: str
    ) -> None:
        has_recovered = tracked.state == "probing" and state == "returning"
        tracked.state = state
        tracked.is_probed = False
        tracked.state_ends_at = self.clock.monotonic() + duration_s
        if state == "ejected" or has_recovered:
            # All that comes up starts slowly: a line for each start would drown these.
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
    """Why an executor stands out from its peers, "" when it doesn't.

    Measured against the median of the others: what troubles all of them alike, such as bad requests
    or a slow store behind them, is no reason to go to fewer of them.
    """
    return _failure_reason(health, peers) or _latency_reason(health, peers)


def _failure_reason(health: Health, peers: Iterable[Health]) -> str:
    ratio = median(p.failure_ratio for p in peers)
    threshold = ratio * MEDIAN_FACTOR + FAILURE_MARGIN
    # A lower share counts too once it is certain. By a fixed share alone an executor that fails 19
    # of 100 stays for good, and one that fails 3 of 10 goes or stays by the moment of the check.
    is_certain = health.failure_ratio_lower_bound > threshold
    if is_certain or health.failure_ratio > max(MIN_FAILURE_RATIO, threshold):
        return f"{health.failure_ratio:.0%} of tries fail, {ratio:.0%} elsewhere"
    return ""


def _latency_reason(health: Health, peers: Iterable[Health]) -> str:
    # After this host was held up many tries count without their time. Judged by the few times that
    # are left, or beside peers that have none, an executor was ejected for one slow read, or for
    # its usual times. As many times as tries are needed for a judgement show more than chance.
    means = [p.mean_s for p in peers if p.timed_tries >= MIN_PEER_TRIES]
    if health.timed_tries < MIN_TRIES or not means:
        return ""
    mean_s = median(means)
    if health.mean_s > max(mean_s * MEDIAN_FACTOR, mean_s + LATENCY_MARGIN_S):
        return f"tries take {health.mean_s:.3f} s, {mean_s:.3f} s elsewhere"
    return ""
