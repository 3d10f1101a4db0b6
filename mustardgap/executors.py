"""Selects the executors of a service that may get requests, and weights them."""

from collections.abc import Callable, Collection
from typing import Any, NamedTuple, Protocol

from .healths import health_sign
from .models import WorkerInfo
from .outliers import Outliers, TrackedExecutor
from .settings import Settings
from .timelines import Timeline
from .timers import Clock, Timers
from .tries import TryResult

# An executor that is reported as leaving gets no requests for this long; then it is probed again.
LEAVING_TTL_S = 120.0
# How long a candidate list stays cached while it can change by the passing of time alone.
CANDIDATE_REFRESH_S = 0.25
# A try's duration is ignored if this process was paused for more than this share of it. Shorter
# pauses lengthen the duration by a third at most, well below the three times the peers' median at
# which an executor counts as slow.
MAX_PROCESS_PAUSE_RATIO = 0.25
# After a pause of this process longer than this, peers and executors may have closed its
# connections: it is the shortest of their idle time-outs, in seconds.
LONG_PROCESS_PAUSE_S = 2.0


class ExecutorView(NamedTuple):
    """An executor that may get requests; ``weight`` is 1, or less during a slow start."""

    executor: str
    address: str
    worker: str
    rack: str
    slots: int
    weight: float


class HasWorkers(Protocol):
    """The polled view of workers."""

    by_id: dict[str, WorkerInfo]

    def on_change(self, callback: Callable[[set[str]], None]) -> None:
        """Register a callback that gets the ids of the workers that changed."""


class HasHosts(Protocol):
    """The part of the folded state that this module reads."""

    offset: int
    hosts_by_name: dict[str, Any]
    declarations_by_key: dict[str, Any]


class _CachedCandidates(NamedTuple):
    """The cached candidates of a service, with the state that they were computed from."""

    offset: int
    version: int
    expires_at: float
    views: list[ExecutorView]


class Executors:
    """Tracks the executors of every service and their health.

    :param settings: the daemon's settings.
    :param state: the folded state.
    :param workers: the polled view of workers.
    :param timeline: records changes of health.
    :param timers: measure the pauses of this process; without them, none are assumed.
    :param clock: the clocks to read.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        state: HasHosts,
        workers: HasWorkers,
        timeline: Timeline | None = None,
        timers: Timers | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.state = state
        self.workers = workers
        self.clock = clock or Clock()
        self.timers = timers
        self.outliers = Outliers(
            settings=settings.requests,
            clock=self.clock,
            timeline=timeline or Timeline(member=settings.host),
            floor=self._min_hosts,
            on_change=self._invalidate,
        )
        self._views_by_service: dict[str, dict[str, ExecutorView]] = {}
        self._services_by_worker: dict[str, list[tuple[str, str]]] = {}
        self._candidate_cache: dict[str, _CachedCandidates] = {}
        self._version = 0
        self._leaving_until: dict[str, float] = {}
        self._leaving_workers: frozenset[str] = frozenset()
        self._leaving_callbacks: list[Callable[[str], None]] = []
        self._is_first_listing = True
        self._update(set(workers.by_id))
        workers.on_change(self._update)

    def candidates(self, service: str) -> list[ExecutorView]:
        """List the executors of a service that may get requests now.

        :param service: the service.
        :rtype: list
        """
        now = self.clock.monotonic()
        cached = self._candidate_cache.get(service)
        if (
            cached is None
            or cached.version != self._version
            or cached.offset != self.state.offset
            or now >= cached.expires_at
        ):
            cached = self._candidate_cache[service] = self._find_candidates(service, now)
        return cached.views

    def report(self, executor: str, result: TryResult, took_s: float = 0.0) -> None:
        """Update an executor's health with the result of a try.

        :param executor: the executor's id.
        :param result: the result of the try.
        :param took_s: duration of the try in seconds.
        """
        sign = health_sign(result)
        # After a pause of this process, its tries seem slow or timed out. If that counted against
        # the executors, healthy ones were ejected, and the sick one had to stay in use because
        # ejection must leave a minimum of executors: it got up to 297 of 600 requests instead of
        # 40. What was observed, such as a refusal or an answer, still counts; what follows from
        # time alone doesn't.
        process_pause_s = self._process_pause_s(took_s)
        by_own_pause = process_pause_s > took_s * MAX_PROCESS_PAUSE_RATIO
        if (
            sign is None
            or (sign.by_time and by_own_pause)
            or (sign.failed and process_pause_s >= LONG_PROCESS_PAUSE_S)
        ):
            self.outliers.release_probe(executor)
        else:
            self.outliers.note_try(executor, sign, None if by_own_pause else took_s)

    def _process_pause_s(self, took_s: float) -> float:
        if self.timers is None:
            return 0.0
        return self.timers.process_pause_s(self.clock.monotonic() - took_s)

    def allow_request(self, executor: str, *, idempotent: bool) -> bool:
        """Check whether a request that holds a slot of an executor may be sent to it.

        :param executor: the executor's id.
        :param idempotent: whether the request may be repeated.
        :return: False if another executor should be used, if there is one.
        """
        return self.outliers.allow_request(executor, idempotent=idempotent)

    def release_probe(self, executor: str) -> None:
        """Note that a try was abandoned because its caller disconnected."""
        self.outliers.release_probe(executor)

    def mark_leaving(self, executor: str, *, from_peer: bool = False) -> None:
        """Stop sending requests to an executor that is about to leave.

        :param executor: the executor's id.
        :param from_peer: whether a peer reported it; then it isn't sent to the peers again.
        """
        now = self.clock.monotonic()
        is_news = self._leaving_until.get(executor, 0.0) <= now
        self._leaving_until[executor] = now + LEAVING_TTL_S
        if not is_news:
            return
        self._version += 1
        self.outliers.timeline.add(
            "executor.leaving", cause="peer" if from_peer else "", executor=executor
        )
        if not from_peer:
            for callback in self._leaving_callbacks:
                callback(executor)

    def on_leaving(self, callback: Callable[[str], None]) -> None:
        """Register a callback for executors that this host finds leaving, to inform the peers."""
        self._leaving_callbacks.append(callback)

    def leaving_workers(self, workers: Collection[str]) -> None:
        """Exclude the executors of workers that the platform's host list shows as leaving."""
        if self._leaving_workers != frozenset(workers):
            self._leaving_workers = frozenset(workers)
            self._version += 1

    def _find_candidates(self, service: str, now: float) -> _CachedCandidates:
        views = []
        for view in self._views_by_service.get(service, {}).values():
            if not self._is_eligible(view, now):
                continue
            weight = self.outliers.weight(view.executor)
            if weight > 0.0:
                views.append(view._replace(weight=weight))
        expires_at = now + CANDIDATE_REFRESH_S if self._is_time_dependent(service) else float("inf")
        return _CachedCandidates(self.state.offset, self._version, expires_at, views)

    def _is_time_dependent(self, service: str) -> bool:
        return bool(self._leaving_until) or not self.outliers.has_constant_weights(service)

    def _is_eligible(self, view: ExecutorView, now: float) -> bool:
        host = self.state.hosts_by_name.get(view.worker)
        if host is not None and host["phase"] != "in_service":
            return False
        if view.worker in self._leaving_workers:
            return False
        until = self._leaving_until.get(view.executor)
        if until is None:
            return True
        if now < until:
            return False
        del self._leaving_until[view.executor]
        return True

    def _update(self, workers: set[str]) -> None:
        """Update the executors of the workers that changed."""
        for worker in sorted(workers):
            self._update_worker(worker)
        self._is_first_listing = self._is_first_listing and not self.outliers.by_executor
        self._version += 1

    def _update_worker(self, worker: str) -> None:
        info = self.workers.by_id.get(worker)
        views = _executor_views(worker, info) if info is not None else {}
        for service, executor in self._services_by_worker.pop(worker, []):
            if executor not in views or views[executor][0] != service:
                self._remove_executor(service, executor)
        for executor, (service, view) in views.items():
            self._views_by_service.setdefault(service, {})[executor] = view
            if executor not in self.outliers.by_executor:
                tracked = TrackedExecutor(
                    executor=executor, service=service, worker=worker, rack=view.rack
                )
                # In the first listing all executors are new, so no others could take the share of
                # the work that a slow start withholds from them.
                self.outliers.add(tracked, slowly=not self._is_first_listing)
        if views:
            self._services_by_worker[worker] = [(s, e) for e, (s, _) in views.items()]

    def _remove_executor(self, service: str, executor: str) -> None:
        self._views_by_service[service].pop(executor, None)
        self.outliers.remove(executor)
        self._leaving_until.pop(executor, None)

    def _invalidate(self, service: str) -> None:
        self._candidate_cache.pop(service, None)

    def _min_hosts(self, service: str) -> int:
        declaration = self.state.declarations_by_key.get(f"service/{service}")
        if declaration is None:
            return 0
        profile = self.state.declarations_by_key.get(f"profile/{declaration.value['profile']}")
        if profile is None:
            return 0
        return int(profile.value["availability"]["min_hosts"])


def _executor_views(worker: str, info: WorkerInfo) -> dict[str, tuple[str, ExecutorView]]:
    """Return the executors of a worker by id, each with its service; none unless it is up."""
    if info["state"] != "up":
        return {}
    return {
        e["executor"]: (
            e["service"],
            ExecutorView(e["executor"], e["address"], worker, info["rack"], e["slots"], 1.0),
        )
        for e in info["executors"]
    }
