"""Decides which queued jobs are placed, paused or ended, and writes the decisions to the log."""

import asyncio
import time
from collections import Counter, defaultdict
from typing import Any, NamedTuple

from . import status_codes
from .blames import WorkerFailures, count_failed_attempts, failures_by_worker
from .duties import Duties
from .host_actors import host_body
from .job_queues import Pause, Place, Queue, Reservation, Running, Waiting, min_run_s
from .jobs import attempt_of, disruption_of, is_job_pool, pause_step
from .models import HostFacts, JobBody, JobSpec, JobState, TaskInfo, Usage
from .operations import Operations
from .outcomes import Accepted
from .quotas import Quotas
from .rooms import Rooms
from .status_codes import Code
from .usages import Size, Usages, declared

DUTY_KEY = "placer"
# A job ends as one that never fits only after it has waited for this long: until the whole fleet
# is known, a worker that fits may be missing.
NEVER_FITS_AFTER_S = 10.0
# The interval between passes over the queue when nothing has changed.
IDLE_INTERVAL_S = 2.0
MAX_WRITES_PER_PASS = 100
# A pass is followed by a pause of at least this many times its duration, so that long passes don't
# delay requests.
PASS_PAUSE_FACTOR = 10.0


class EndJob(NamedTuple):
    """End a job that can never run."""

    job: str
    code: Code
    why: str


class SetAside(NamedTuple):
    """Set aside a worker that fails every job."""

    worker: str
    why: str


Decision = Place | Pause | EndJob | SetAside


class Placer:
    """Follows the state of jobs and hosts and decides on the queue.

    One daemon decides for all jobs, because urgency and quotas apply to the whole fleet. If two
    daemons decide at once, conflicts are resolved by the jobs' epochs on the log and by the
    platform's own capacity check.

    :param operations: writes records.
    :param duties: says whether this daemon has to act.
    """

    def __init__(self, *, operations: Operations, duties: Duties) -> None:
        self.operations = operations
        self.duties = duties
        self.rooms = Rooms()
        self.usages = Usages()
        self.placed_here: dict[str, int] = {}
        self._waiting_since: dict[str, float] = {}
        self._jobs_by_team: defaultdict[str, set[str]] = defaultdict(set)
        self._reserved: dict[str, Reservation] = {}
        self._failures: dict[str, WorkerFailures] = {}
        self._capacities: Counter[Size] = Counter()
        self._capacity_by_host: dict[str, Size] = {}
        self._is_changed = True
        self._failures_stale = True
        self._last_pass_at = float("-inf")
        self._min_pause_s = 0.0

    @property
    def state(self) -> Any:
        """The folded state."""
        return self.operations.log.state

    def restart(self) -> None:
        """Rebuild everything from a new state."""
        self.rooms = Rooms()
        self._waiting_since.clear()
        self._jobs_by_team.clear()
        self._capacities.clear()
        self._capacity_by_host.clear()
        self._failures_stale = True
        for job in self.state.jobs_by_id.values():
            if job["code"] == status_codes.JOB_DONE.number and "usage" in job:
                self.usages.learn(job["job"], job["spec"], job["usage"])
        self.follow_jobs(set(self.state.jobs_by_id))
        self.follow_hosts(set(self.state.hosts_by_name) | set(self.operations.workers.by_id))

    def follow_jobs(self, names: set[str]) -> None:
        """Update what is known of jobs that have changed on the log."""
        self._is_changed = True
        for name in names:
            job = self.state.jobs_by_id.get(name)
            attempt = None if job is None else attempt_of(job)
            if job is not None and attempt is not None:
                self.rooms.allocate(name, attempt["worker"], self._allocated_size(job))
                self._jobs_by_team[job["spec"]["team"]].add(name)
            else:
                self.rooms.release(name)
                if job is not None:
                    self._jobs_by_team[job["spec"]["team"]].discard(name)
            if job is not None and attempt is None and job["phase"] != "ended":
                first = job["submitted"] if not job["attempts"] else self._now()
                self._waiting_since.setdefault(name, first)
            else:
                self._waiting_since.pop(name, None)
            if job is not None and any(a["outcome"] == "failed" for a in job["attempts"]):
                self._failures_stale = True

    def follow_hosts(self, names: set[str]) -> None:
        """Update what is known of hosts or workers that have changed."""
        self._is_changed = True
        for name in names:
            host = self.state.hosts_by_name.get(name)
            worker = self.operations.workers.by_id.get(name)
            before = self._capacity_by_host.pop(name, None)
            if before is not None:
                self._capacities[before] -= 1
            if host is None:
                self.rooms.remove_worker(name)
                continue
            capacity = self._capacity_by_host[name] = _capacity(host["facts"])
            self._capacities[capacity] += 1
            is_ready = worker is not None and worker["state"] == "up"
            is_ready = is_ready and worker is not None and worker["pool"] == host["pool"]
            if is_ready and host["phase"] == "in_service" and is_job_pool(self.state, host["pool"]):
                self.rooms.add_worker(name, capacity)
            else:
                self.rooms.remove_worker(name)

    def learn(self, task: TaskInfo) -> None:
        """Learn from the usage of a task that is done; usage may be reported after the end."""
        job = self.state.jobs_by_id.get(task["job"])
        if job is not None and task["state"] == "done":
            self.usages.learn(task["job"], job["spec"], task["usage"])

    def due(self) -> list[Decision]:
        """The decisions that this daemon should write now, at most MAX_WRITES_PER_PASS."""
        rank = self.duties.rank(DUTY_KEY)
        now = self.operations.timers.clock.monotonic()
        interval_s = IDLE_INTERVAL_S if rank == 0 and not self._is_changed else self._min_pause_s
        if rank is None or now - self._last_pass_at < (
            interval_s if rank == 0 else IDLE_INTERVAL_S
        ):
            return []
        self._last_pass_at, self._is_changed = now, False
        began = time.perf_counter()
        decisions = self.decide()
        self._min_pause_s = (time.perf_counter() - began) * PASS_PAUSE_FACTOR
        if not decisions:
            self.duties.drop(DUTY_KEY)
            return []
        key = tuple((type(d).__name__, *d[:2]) for d in decisions)
        return decisions[:MAX_WRITES_PER_PASS] if self.duties.is_due(DUTY_KEY, key) else []

    def decide(self) -> list[Decision]:
        """Decide on all waiting jobs and on faulty workers."""
        if not self._waiting_since and not self._failures_stale:
            return []
        if self._failures_stale:
            self._failures = failures_by_worker(
                self.state.jobs_by_id.values(), self.state.hosts_by_name
            )
            self._failures_stale = False
        ends, waiting = [], []
        for name in self._waiting_since:
            job = self.state.jobs_by_id[name]
            end = self._end_decision(job)
            if end is not None:
                ends.append(end)
            else:
                waiting.append(self._waiting(job))
        queue = Queue(
            rooms=self.rooms,
            running_by_worker=self._running_on,
            reserved=self._reserved,
            may_place=self._may_place,
            now=self._now(),
            quotas=Quotas(state=self.state, running_of_team=self._running_of_team),
        )
        return [*ends, *self._set_asides(), *queue.decide(waiting)]

    async def act(self, decisions: list[Decision]) -> None:
        """Write decisions concurrently."""
        self.duties.note_attempt(DUTY_KEY)
        await asyncio.gather(*(self._write(decision) for decision in decisions))
        self._is_changed = True
        # These decisions have been written, accepted or not; the next pass begins a new step.
        self.duties.drop(DUTY_KEY)

    async def _write(self, decision: Decision) -> None:
        ticket = self.operations.issue_ticket()
        if isinstance(decision, SetAside):
            host = self.state.hosts_by_name[decision.worker]
            body = host_body(host, "set_aside", host["pool"], decision.why)
            await self.operations.write(ticket, "host", body)
            self._failures_stale = True
            return
        job = self.state.jobs_by_id.get(decision.job)
        if job is None:
            return
        verdict = await self.operations.write(ticket, "job", self._body(decision, job))
        if isinstance(decision, Place) and isinstance(verdict, Accepted):
            self.placed_here[decision.job] = job["epoch"] + 1

    def _body(self, decision: Place | Pause | EndJob, job: JobState) -> JobBody:
        body = JobBody(job=job["job"], base=job["epoch"], step="pause")
        if isinstance(decision, Place):
            body["step"] = "place"
            body["worker"] = decision.worker
            run_s = self.usages.run_s(job["spec"])
            body["usage"] = Usage(
                cores=decision.size.cores, memory_gb=decision.size.memory_gb, run_s=run_s
            )
        elif isinstance(decision, EndJob):
            body["step"] = "end"
            body["code"] = decision.code.number
            body["result"] = decision.why
        return body

    def _may_place(self, name: str, worker: str) -> bool:
        job = self.state.jobs_by_id[name]
        body = JobBody(job=name, base=job["epoch"], step="place", worker=worker)
        return isinstance(self.operations.log.check("job", body), Accepted)

    def _waiting(self, job: JobState) -> Waiting:
        spec = job["spec"]
        return Waiting(
            job=job["job"],
            urgency=spec["urgency"],
            pauses=_pauses(job),
            since=self._waiting_since[job["job"]],
            size=self._size(spec),
            run_s=self.usages.run_s(spec),
            avoid=self._avoid(job),
            team=spec["team"],
        )

    def _size(self, spec: JobSpec) -> Size:
        """The learned size, or the declared one if the learned one fits on no worker."""
        size = self.usages.size(spec)
        return size if self._fits_some_worker(size) else declared(spec)

    def _fits_some_worker(self, size: Size) -> bool:
        return any(n > 0 and size.fits(capacity) for capacity, n in self._capacities.items())

    def _avoid(self, job: JobState) -> frozenset[str]:
        """The workers that a job should avoid: those that it has failed on, and suspect ones.

        Suspect ones aren't avoided if the job fits on no other worker, and none is avoided if it
        fits only on those that it has failed on.
        """
        may_probe = job["spec"]["idempotent"] and not job["attempts"]
        suspects = {w for w, f in self._failures.items() if self._is_avoided(w, f, may_probe)}
        failed_on = {a["worker"] for a in job["attempts"] if a["outcome"] == "failed"}
        for avoid in (failed_on | suspects, failed_on):
            if avoid and self._fits_outside(job, avoid):
                return frozenset(avoid)
        return frozenset()

    def _is_avoided(self, worker: str, failures: WorkerFailures, may_probe: bool) -> bool:
        """Whether a job avoids a worker on which jobs have failed.

        :param may_probe: whether the job may test such a worker: it is idempotent and hasn't been
            tried yet. Only then does it accept a worker that isn't suspect yet, or one that is idle
            and due for a probe.
        """
        if not may_probe:
            return True
        is_idle = not self.rooms.jobs_on(worker)
        return failures.is_suspect and not (is_idle and failures.may_probe(self._now()))

    def _fits_outside(self, job: JobState, avoid: set[str]) -> bool:
        size = self._size(job["spec"])
        capacity_by_worker = self.rooms.capacity_by_worker
        return any(
            size.fits(capacity) for w, capacity in capacity_by_worker.items() if w not in avoid
        )

    def _end_decision(self, job: JobState) -> EndJob | None:
        state, spec = self.state, job["spec"]
        waited_s = self._now() - self._waiting_since[job["job"]]
        if waited_s > NEVER_FITS_AFTER_S and self._is_fleet_known() and not self._fits_fleet(spec):
            size = f"{spec['cores']:g} cores, {spec['memory_gb']:g} GB"
            why = f"no worker has {size}, {spec['accelerators']} accelerators"
            return EndJob(job["job"], status_codes.JOB_NEVER_FITS, why)
        if not job["attempts"]:
            return None
        faulty_workers = {worker for worker, f in self._failures.items() if f.is_at_fault}
        attempts = count_failed_attempts(job, state.hosts_by_name, faulty_workers)
        # All workers are checked only for a job that has failed often enough.
        may_be_exhausted = attempts.failed >= self.operations.settings.capacity.max_attempts
        capacity_by_worker = self.rooms.capacity_by_worker if may_be_exhausted else {}
        capable = [w for w, capacity in capacity_by_worker.items() if declared(spec).fits(capacity)]
        if attempts.is_exhausted(self.operations.settings.capacity.max_attempts, capable):
            why = f"failed on {', '.join(sorted(attempts.failed_on)) or 'workers that went down'}"
            return EndJob(job["job"], status_codes.JOB_FAILED_EVERYWHERE, why)
        return None

    def _fits_fleet(self, spec: JobSpec) -> bool:
        return self._fits_some_worker(declared(spec)) or self._fits_some_worker(
            self.usages.size(spec)
        )

    def _is_fleet_known(self) -> bool:
        """Whether the platform lists workers, and all of them are on the log."""
        workers = self.operations.workers.by_id.keys()
        return bool(workers) and workers <= self.state.hosts_by_name.keys()

    def _set_asides(self) -> list[SetAside]:
        found = []
        for worker, failures in self._failures.items():
            host = self.state.hosts_by_name.get(worker)
            if failures.is_at_fault and host is not None and host["phase"] == "in_service":
                count = len(failures.jobs)
                why = f"{count} jobs failed here one after the other, {failures.successes} of them "
                decision = SetAside(worker, f"{why}ended well elsewhere")
                body = host_body(host, "set_aside", host["pool"], decision.why)
                if isinstance(self.operations.log.check("host", body), Accepted):
                    found.append(decision)
        return found

    def _running_on(self, worker: str) -> list[Running]:
        # Jobs placed in this pass have an allocation, but no attempt yet that could be paused.
        names = sorted(self.rooms.jobs_on(worker) - self._waiting_since.keys())
        return [self._running(name, worker) for name in names]

    def _running_of_team(self, team: str) -> list[Running]:
        names = sorted(self._jobs_by_team[team])
        workers = {name: self.state.jobs_by_id[name]["attempts"][-1]["worker"] for name in names}
        return [self._running(name, worker) for name, worker in workers.items()]

    def _running(self, name: str, worker: str) -> Running:
        job = self.state.jobs_by_id[name]
        allocation = self.rooms.allocation(name)
        started = job["attempts"][-1]["started"]
        step = pause_step(job, disruption_of(self.state, job))
        has_run = self._now() - started >= min_run_s(_pauses(job))
        may_pause = step is not None and has_run and job["phase"] == "running"
        return Running(
            job=name,
            worker=worker,
            urgency=job["spec"]["urgency"],
            size=allocation[1] if allocation else declared(job["spec"]),
            started=started,
            ends=started + job.get("usage", {"run_s": job["spec"]["run_s"]})["run_s"],
            may_pause=may_pause,
            is_leaving=job["cancelled"] or (job["phase"] == "paused" and step is not None),
        )

    def _allocated_size(self, job: JobState) -> Size:
        """The size allocated to a job's attempt, as recorded when it was placed."""
        usage = job.get("usage")
        spec = job["spec"]
        if usage is None:
            return declared(spec)
        return Size(usage["cores"], usage["memory_gb"], spec["accelerators"])

    def _now(self) -> float:
        return self.operations.timers.clock.wall()


def _capacity(facts: HostFacts) -> Size:
    return Size(facts["cores"], facts["memory_gb"], facts["accelerators"])


def _pauses(job: JobState) -> int:
    return sum(attempt["outcome"] == "moved" for attempt in job["attempts"])
