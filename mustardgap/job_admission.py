"""Applies the rules of admission at the owner of a shard: their inputs, refusals and records."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, NamedTuple

from . import job_replies, metrics
from .admission import (
    Capacity,
    Cause,
    Decision,
    Demand,
    DurationEvidence,
    PoolBacklog,
    ReturnSchedule,
    decide,
    forecast_end,
    work_ahead,
)
from .events import EventLog
from .job_replies import JobReply
from .job_states import Job, JobPhase, StoredJob, batch_cpu_s, critical_path_s
from .load_features import Feature
from .placing import LATE_FACTOR, TOO_LATE, objective_of, timeliness_of
from .return_tracking import ReturnTracker
from .timers import Clock
from .workloads import Queue

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

# The backlog is summed up again after this. Meanwhile, accepted jobs are added, and the pool is
# taken to work on what it had.
MEASURE_INTERVAL_S = 0.1
# At most this share of the time is spent on summing up, also with 10,000 waiting jobs.
MAX_MEASURE_SHARE = 0.05
# A machine that is on its way works after this at the latest: the time of a move.
INCOMING_S = 1.5
# A number of coming machines counts for this long, twice the time of a move. Later, they work or
# aren't coming.
INCOMING_VALID_S = 3.0
# The fleet's owner orders machines for a rise within this: some rounds of 0.2 s, and the time
# constant of the demand. Until then, a pool that has become too small is taken to grow.
GROWTH_DECISION_S = 1.0
# It is taken to grow to what it had before, or at least to this many times its size, as pools do
# that rise for the first time.
EXPECTED_GROWTH_FACTOR = 2.0


class _Pool(NamedTuple):
    """What is known of a pool since its work was last summed up."""

    backlog: PoolBacklog
    capacity: Capacity


class _Incoming(NamedTuple):
    """How many machines were coming to a pool, and when the fleet's owner said so."""

    machines: int
    at: float


class _Overload(NamedTuple):
    """Since when a pool has been too small for its jobs, and when that was last seen."""

    since: float
    seen_at: float


class JobAdmission:
    """Decides on the new jobs of one shard.

    :param dispatcher: the owner of the shard.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(self, *, dispatcher: "Dispatcher", clock: Clock, events: EventLog) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._events = events
        self._pools_by_service: dict[str, _Pool] = {}
        self._evidence_by_queue: dict[str, DurationEvidence] = {}
        self._returns_by_service: dict[str, ReturnSchedule] = {}
        self._incoming_by_service: dict[str, _Incoming] = {}
        self._peak_cores_by_service: dict[str, float] = {}
        # When jobs began to be too many for a pool, and when that was last seen.
        self._overload_by_service: dict[str, _Overload] = {}
        self._weights: dict[str, float] = {}
        self._storing_by_id: dict[str, StoredJob] = {}
        self._return_tracker = ReturnTracker()
        self._measured_at = float("-inf")
        self._measuring_took_s = 0.0

    @property
    def enabled(self) -> bool:
        """Whether admission takes part."""
        return self._dispatcher.features.has(Feature.ADMISSION)

    def note_ended(self, queue: str, *, declared_s: float, true_s: float) -> None:
        """Note a task that ran to its end on an executor that isn't known to be slow.

        :param declared_s: the duration that its submitter declared.
        :param true_s: the duration that it had.
        """
        if not self.enabled:
            return
        known = self._evidence_by_queue.get(queue, DurationEvidence())
        self._evidence_by_queue[queue] = known.with_task(declared_s=declared_s, true_s=true_s)

    def note_incoming(self, service: str, machines: int) -> None:
        """Note how many machines are on their way to a pool, as the fleet's owner states."""
        if self.enabled:
            self._incoming_by_service[service] = _Incoming(machines, self._clock.monotonic())

    def note_storing(self, job_id: str, stored: StoredJob) -> None:
        """Count an admitted job whose record isn't stored yet."""
        queue = self._queue(stored.queue) if self.enabled else None
        if queue is None:
            return
        self._storing_by_id[job_id] = stored
        self._add(self._pool(stored.service), stored, queue)

    def note_settled(self, job_id: str) -> None:
        """Note that a job's record is stored, or never will be."""
        self._storing_by_id.pop(job_id, None)

    def refuse(self, job_id: str, stored: StoredJob, wait_s: float | None) -> JobReply | None:
        """Decide on a new job.

        :param wait_s: for how many more seconds its caller waits for an answer. None if the daemon
            that the caller reached doesn't say; such a daemon couldn't read a refusal.
        :return: the refusal, None if the job is admitted.
        """
        queue = self._queue(stored.queue) if self.enabled and wait_s is not None else None
        evidence = self._evidence_by_queue.get(stored.queue)
        if queue is None or wait_s is None or evidence is None or not evidence.suffices:
            return None
        # Another daemon may own the shard by now, and have accepted the job: only the store can
        # tell. To be told that it isn't run would then be untrue.
        if not self._dispatcher.is_membership_valid() or self._dispatcher.log.fenced:
            return None
        # Until all executors have reported, what runs on them isn't known.
        if self._dispatcher.roster.awaiting_report or not stored.spec.runs_once:
            return None
        pool = self._pool(stored.service)
        if not pool.capacity.cores:
            # A pool without executors gets some, but it isn't known when.
            return None
        now = self._clock.monotonic()
        self._return_tracker.note_submitted(job_id, now)
        returns = self._returns_by_service.get(stored.service)
        if returns is not None and returns.redeem(job_id, cores=pool.capacity.cores, now=now):
            return None
        chain_s = critical_path_s(stored.spec.steps)
        limit_s = LATE_FACTOR * objective_of(chain_s, queue)
        factor = self._dispatcher.durations.factor(stored.queue)
        demand = Demand(
            account=stored.account,
            priority=queue.priority,
            chain_s=chain_s * factor,
            work=batch_cpu_s(stored.spec.steps) * factor,
            error=evidence.relative_error,
        )
        capacity = pool.capacity
        ahead = work_ahead(demand, pool.backlog, self._weights)
        forecast = forecast_end(demand, pool.backlog, ahead, capacity, now)
        decision = decide(forecast, limit_s=limit_s, wait_s=wait_s)
        if decision.cause is not None and self._may_grow(stored.service, now):
            capacity = self._expected_capacity(stored.service, capacity)
            forecast = forecast_end(demand, pool.backlog, ahead, capacity, now)
            decision = decide(forecast, limit_s=limit_s, wait_s=wait_s)
        if decision.cause is None:
            return None
        retry_after_s = self._choose_return(job_id, stored.service, demand, decision, now)
        if decision.cause is Cause.NO_RETRY:
            reply = job_replies.TOO_LATE_TO_RETRY
        else:
            reply = job_replies.overloaded(retry_after_s)
        if retry_after_s is not None:
            self._return_tracker.note_refused(job_id, retry_after_s, now)
        metrics.late_refusals.add(1, {"cause": decision.cause.value})
        self._events.note(
            "job.refused",
            vital=True,
            job=job_id,
            queue=stored.queue,
            service=stored.service,
            account=stored.account or None,
            code=str(reply.code),
            why=decision.cause.value,
            forecast_s=forecast.end_s,
            margin_s=forecast.margin_s,
            limit_s=limit_s,
            ahead=forecast.ahead,
            work=demand.work,
            cores=capacity.cores,
            incoming_cores=capacity.incoming_cores,
            jobs=pool.backlog.jobs,
            measured_age_s=now - pool.backlog.measured_at,
            tasks_ended=evidence.ended,
            wait_s=wait_s,
            retry_after_s=retry_after_s,
        )
        return reply

    def _choose_return(
        self, job_id: str, service: str, demand: Demand, decision: Decision, now: float
    ) -> int | None:
        """When a refused caller should return, in whole seconds; None if it can't in time."""
        if decision.return_s is None:
            return None
        pool = self._pool(service)
        schedule = self._returns_by_service.setdefault(service, ReturnSchedule())
        return_s = schedule.choose(
            job_id,
            demand=demand,
            cores=pool.capacity.cores,
            return_s=decision.return_s,
            below_share=pool.backlog.is_below_share(demand.account, self._weights),
            now=now,
        )
        pool.backlog.add_demand(demand)
        return return_s

    def measure(self, now: float) -> None:
        """Sum up the unfinished work of all pools again, unless that was done recently.

        :param now: monotonic seconds.
        """
        age_s = now - self._measured_at
        if age_s < max(MEASURE_INTERVAL_S, self._measuring_took_s / MAX_MEASURE_SHARE):
            return
        self._measured_at = now
        accounts = self._dispatcher.accounts
        self._weights = {
            name: self._dispatcher.weight_of(name)
            for name in (accounts.by_name if accounts else ())
        }
        self._pools_by_service = {
            service: _Pool(backlog, self._capacity(service))
            for service, backlog in sum_up(
                self._dispatcher.jobs_by_id.values(),
                queue_of=self._dispatcher.queue_of,
                factor_of=self._dispatcher.durations.factor,
                now=now,
                wall=self._clock.wall(),
            ).items()
        }
        for service, returns in self._returns_by_service.items():
            for demand in returns.awaited(now):
                self._pool(service).backlog.add_demand(demand)
        for stored in self._storing_by_id.values():
            queue = self._queue(stored.queue)
            if queue is not None:
                self._add(self._pool(stored.service), stored, queue)
        self._measuring_took_s = self._clock.monotonic() - now

    def _add(self, pool: _Pool, stored: StoredJob, queue: Queue) -> None:
        work = batch_cpu_s(stored.spec.steps) * self._dispatcher.durations.factor(stored.queue)
        pool.backlog.add(priority=queue.priority, account=stored.account, work=work)

    def _queue(self, name: str) -> Queue | None:
        configuration = self._dispatcher.configuration
        return configuration.queues_by_name.get(name) if configuration is not None else None

    def _pool(self, service: str) -> _Pool:
        pool = self._pools_by_service.get(service)
        if pool is None:
            backlog = PoolBacklog(measured_at=self._clock.monotonic())
            pool = self._pools_by_service[service] = _Pool(backlog, self._capacity(service))
        return pool

    def _may_grow(self, service: str, now: float) -> bool:
        """Note that a pool is too small, and return whether it may still get machines for that."""
        known = self._overload_by_service.get(service)
        if known is None or now - known.seen_at > GROWTH_DECISION_S:
            known = _Overload(now, now)
        self._overload_by_service[service] = known._replace(seen_at=now)
        return now - known.since < GROWTH_DECISION_S

    def _expected_capacity(self, service: str, capacity: Capacity) -> Capacity:
        """What a pool is taken to have once machines for its rise have been ordered."""
        peak = self._peak_cores_by_service.get(service, 0.0)
        expected = max(peak, capacity.cores * EXPECTED_GROWTH_FACTOR) - capacity.cores
        return capacity._replace(
            incoming_cores=max(capacity.incoming_cores, expected),
            incoming_s=INCOMING_S + GROWTH_DECISION_S,
        )

    def _capacity(self, service: str) -> Capacity:
        """The cores that short tasks can use; an executor that was lost counts no longer."""
        cores = incoming = 0
        sizes = []
        for link in self._dispatcher.roster.links_by_executor.values():
            if link.entry.service != service or not link.listed or link.closing:
                continue
            lasting_cpu = sum(
                run.task.step.cpu for run in link.runs_by_key.values() if run.task.step.lasting
            )
            sizes.append(link.entry.capacity.cpu)
            if link.up:
                cores += max(link.entry.capacity.cpu - lasting_cpu, 0)
            elif not link.has_reported:
                incoming += link.entry.capacity.cpu
        coming = self._incoming_by_service.get(service)
        if sizes and coming and self._clock.monotonic() - coming.at < INCOMING_VALID_S:
            incoming += int(coming.machines * sum(sizes) / len(sizes))
        peak = max(self._peak_cores_by_service.get(service, 0.0), cores / 1000)
        self._peak_cores_by_service[service] = peak
        return Capacity(cores / 1000, incoming / 1000, INCOMING_S)


def sum_up(
    jobs: Iterable[Job],
    *,
    queue_of: Callable[[Job], Queue | None],
    factor_of: Callable[[str], float],
    now: float,
    wall: float,
) -> dict[str, PoolBacklog]:
    """Sum up the unfinished work of jobs, by service.

    Jobs that are too late to be of use get capacity after all others, so they don't count, but for
    their tasks that run.

    :param queue_of: returns a job's queue, None if it isn't configured any more.
    :param factor_of: returns the factor of a queue's declared durations.
    :param now: monotonic seconds.
    :param wall: seconds since the epoch.
    """
    backlogs: dict[str, PoolBacklog] = {}
    for job in jobs:
        backlog = backlogs.get(job.service)
        if backlog is None:
            backlog = backlogs[job.service] = PoolBacklog(measured_at=now)
        queue = queue_of(job)
        if job.phase is not JobPhase.LIVE or job.lasting or queue is None:
            continue
        factor = factor_of(job.queue_name)
        timeliness = timeliness_of(job, queue, wall)
        work = 0.0 if timeliness.category == TOO_LATE else timeliness.work * factor
        if job.has_started:
            work += _run_work(job, factor, now, too_late=timeliness.category == TOO_LATE)
        if work > 0:
            backlog.add(
                priority=queue.priority, account=job.account, work=work, begun=job.has_started
            )
    return backlogs


def _run_work(job: Job, factor: float, now: float, *, too_late: bool) -> float:
    """The correction of a job's unfinished work for its tasks that run.

    :return: core-seconds that they have done already, negative; for a job that is too late those
        that they still need.
    """
    work = 0.0
    for tasks in job.ready_steps():
        step = tasks[0].step
        expected_s = step.estimate_s * factor
        for task in tasks:
            if task.run is None or task.done:
                continue
            ran_s = min(now - task.run.started_at, expected_s)
            work += step.cpu / 1000 * (expected_s - ran_s if too_late else -ran_s)
    return work
