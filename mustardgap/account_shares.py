"""Counts the work that arrives for one shard's client accounts, and marks jobs beyond a share."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from . import metrics
from .accounts import ArrivalCounter, ExcessFigures, Work, cores_per_mb
from .accounts.shares import ARRIVAL_WINDOW_S
from .events import EventLog
from .job_states import Job, JobPhase, batch_cpu_s
from .load_features import Feature
from .pool_views import PoolRequest
from .resources import NO_ROOM, Room
from .timers import Clock
from .workloads import JobSpec, Queue

if TYPE_CHECKING:
    from .dispatchers import Dispatcher


class AccountShares:
    """The part of a shard's owner in sharing the fleet's capacity among client accounts.

    :param dispatcher: the owner of the shard.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(self, *, dispatcher: "Dispatcher", clock: Clock, events: EventLog) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._events = events
        self._counters_by_service: dict[str, ArrivalCounter] = defaultdict(ArrivalCounter)
        self._figures_by_service: dict[str, ExcessFigures] = defaultdict(ExcessFigures)
        # The cores that each pool has for each MB of memory.
        self._cores_per_mb_by_service: Mapping[str, float] = {}

    @property
    def are_on(self) -> bool:
        """Whether accounts share capacity over all pools."""
        features = self._dispatcher.features
        return features.has(Feature.ACCOUNT_SHARES) and self._dispatcher.accounts is not None

    def inherit(self, jobs: Iterable[Job]) -> None:
        """Count the jobs that former owners accepted, as they arrived."""
        if not self._dispatcher.features.has(Feature.ACCOUNT_SHARES):
            return
        self._cores_per_mb_by_service = self._ratios_by_service()
        since = self._clock.wall() - ARRIVAL_WINDOW_S
        recent = [job for job in jobs if job.accepted_at > since]
        for job in sorted(recent, key=lambda job: job.accepted_at):
            core_s = self._core_s(job.service, job.queue_name, job.spec)
            counter = self._counters_by_service[job.service]
            counter.note(job.job_id, job.account, core_s, job.accepted_at)

    def note_arrival(self, job_id: str, queue: Queue, account: str, spec: JobSpec) -> None:
        """Count a new job that is submitted, whether it is accepted or not."""
        if self.are_on:
            core_s = self._core_s(queue.service, queue.name, spec)
            counter = self._counters_by_service[queue.service]
            counter.note(job_id, account, core_s, self._clock.wall())

    def _core_s(self, service: str, queue: str, spec: JobSpec) -> float:
        work = work_of(spec, self._dispatcher.durations.factor(queue))
        return work.scarcest(self._cores_per_mb_by_service.get(service, 0.0))

    def arrivals(self, service: str) -> dict[str, float] | None:
        """Return the work that arrived lately, for the fleet's owner.

        :return: core-seconds by account, None where accounts have no shares.
        """
        if not self.are_on:
            return None
        return self._counters_by_service[service].by_account(self._clock.wall())

    def begin_pass(self) -> Mapping[str, float] | None:
        """Sum up the pools' capacities, before a placing pass.

        :return: the cores that each pool has for each MB of memory, None where nothing is shared.
        """
        if not self.are_on:
            return None
        self._cores_per_mb_by_service = self._ratios_by_service()
        return self._cores_per_mb_by_service

    def _ratios_by_service(self) -> dict[str, float]:
        capacities: dict[str, Room] = {}
        for link in self._dispatcher.roster.links_by_executor.values():
            service = link.entry.service
            capacities[service] = capacities.get(service, NO_ROOM).plus(link.entry.capacity)
        return {service: cores_per_mb(capacity) for service, capacity in capacities.items()}

    def apply(self, request: PoolRequest) -> None:
        """Apply figures of the fleet's owner, and mark the jobs that waited for the first ones."""
        if request.excess_by_account is None or not self.are_on:
            return
        figures = self._figures_by_service[request.service]
        was_known = figures.are_known
        now = self._clock.monotonic()
        figures.apply(request.excess_number, request.excess_by_account, now)
        if was_known or not figures.are_known:
            return
        waiting = [
            job
            for job in self._dispatcher.jobs_by_id.values()
            if job.service == request.service and job.excess is None and job.spec.runs_once
        ]
        for job in waiting:
            if job.phase is JobPhase.LIVE:
                self._decide(job, figures.was_excess(job.account, job.job_id, now))
        self._events.note(
            "shares.known",
            service=request.service,
            epoch=self._dispatcher.epoch,
            jobs=len(waiting),
            marked=sum(job.excess is True for job in waiting),
        )

    def mark(self, job: Job) -> None:
        """Decide whether a new job is excess; before any figures are known, that stays open."""
        if job.excess is not None or not self.are_on:
            return
        if not self._figures_by_service[job.service].are_known:
            return
        queue = self._dispatcher.queue_of(job)
        self._decide(
            job, queue is not None and self.is_excess(job.job_id, queue, job.account, job.spec)
        )

    def is_excess(self, job_id: str, queue: Queue, account: str, spec: JobSpec) -> bool:
        """Whether a new job is excess by the present figures; this changes nothing."""
        # A job that lasts or recurs would yield for good.
        if not self.are_on or not spec.runs_once:
            return False
        window = self._counters_by_service[queue.service].of_account(account, self._clock.wall())
        return self._figures_by_service[queue.service].is_excess(
            account,
            job_id,
            self._clock.monotonic(),
            self._core_s(queue.service, queue.name, spec),
            window,
        )

    def _decide(self, job: Job, excess: bool) -> None:
        job.excess = excess
        if excess:
            self._counters_by_service[job.service].mark(job.job_id)
            metrics.excess_jobs.add(1, {"service": job.service})


def work_of(spec: JobSpec, factor: float) -> Work:
    """Return the work of a job, or of one occurrence of it.

    Lasting steps have no end, and filling ones only use what others leave over.

    :param factor: corrects the declared durations.
    """
    memory_mb_s = sum(
        step.width * step.memory_mb * step.estimate_s
        for step in spec.steps
        if not step.lasting and not step.filling
    )
    return Work(batch_cpu_s(spec.steps) * factor, memory_mb_s * factor)
