"""Plays a drawn load on one pool without a network, by the product's order and admission.

``python -m features.support.admission_plays`` compares the methods.
"""

import heapq
from types import SimpleNamespace
from typing import Any, NamedTuple

import click

from mustardgap.admission import Decision, Demand, DurationEvidence, PoolBacklog, ReturnSchedule
from mustardgap.duration_corrections import DurationCorrections
from mustardgap.job_admission import sum_up
from mustardgap.job_states import Job, JobPhase, StoredJob, batch_cpu_s, critical_path_s
from mustardgap.placing import LATE_FACTOR, objective_of, objective_s, sort_for_placement
from tools.owner_worlds import QUEUE

from .admission_loads import CORES, WEIGHTS, DrawnJob, draw
from .admission_methods import METHODS, Situation

# A caller waits for 3 s, less the gateway's margin, and makes five attempts at the most.
WAIT_S = 2.85
MAX_ATTEMPTS = 5
PASS_S = 0.02
# The backlog is summed up every 0.1 s, as at an owner.
PASSES_A_SUM = 5


class Outcome(NamedTuple):
    """What became of the jobs of a play; their times count from when they were sent first.

    ``useless`` jobs were accepted and ended too late to be of use. ``small_in_time`` are those of
    small accounts. ``returned`` callers came back when they were told to, ``admitted`` of them got
    in. ``ids_refused`` weren't accepted in the end, ``ids_of_use`` ended while that was of use.
    """

    jobs: int
    in_time: int
    of_use: int
    useless: int
    refused: int
    small: int
    small_in_time: int
    returned: int
    admitted: int
    ids_refused: frozenset[str]
    ids_of_use: frozenset[str]


class AdmissionPlay:
    """One pool, the callers that send it jobs, and a method of admission.

    :param jobs: the drawn jobs.
    :param method: decides on each of them.
    :param admitted: whether jobs are placed in the order that belongs to admission.
    """

    def __init__(self, *, jobs: list[DrawnJob], method: Any, admitted: bool = True) -> None:
        self._method = method
        self._admitted = admitted
        self._drawn_by_id = {job.job_id: job for job in jobs}
        self._sends = [(job.at, job.job_id, 1) for job in jobs]
        heapq.heapify(self._sends)
        self._live_by_id: dict[str, Job] = {}
        self._accepted_by_id: dict[str, Job] = {}
        self._ends: list[tuple[float, int, Any, Job]] = []
        self._started = 0
        self._free = CORES
        self._returns = ReturnSchedule()
        self._durations = DurationCorrections()
        # The pool has served this queue for long.
        self._evidence = DurationEvidence(ended=100)
        self._backlog: dict[str, PoolBacklog] = {}
        self._refused_at_by_id: dict[str, float] = {}
        self._returned = self._admitted_returns = 0

    def run(self) -> Outcome:
        """Play until all accepted jobs have ended."""
        now, passes = 0.0, 0
        while self._sends or self._live_by_id:
            now = passes * PASS_S
            self._take_ends(now)
            if passes % PASSES_A_SUM == 0:
                self._backlog = sum_up(
                    self._live_by_id.values(),
                    queue_of=_queue_of,
                    factor_of=self._factor,
                    now=now,
                    wall=now,
                )
                awaited = self._backlog.setdefault(QUEUE.service, PoolBacklog(measured_at=now))
                for demand in self._returns.awaited(now):
                    awaited.add_demand(demand)
            while self._sends and self._sends[0][0] <= now:
                _, job_id, attempt = heapq.heappop(self._sends)
                self._send(self._drawn_by_id[job_id], attempt, now)
            self._place(now)
            passes += 1
        return self._outcome()

    def _factor(self, queue_name: str) -> float:
        return self._durations.factor(queue_name)

    def _send(self, drawn: DrawnJob, attempt: int, now: float) -> None:
        factor = self._factor(QUEUE.name)
        backlog = self._backlog.setdefault(QUEUE.service, PoolBacklog(measured_at=now))
        chain_s = critical_path_s(drawn.spec.steps)
        work = batch_cpu_s(drawn.spec.steps) * factor
        limit_s = LATE_FACTOR * objective_of(chain_s, QUEUE)
        waiting = [job.accepted_at for job in self._live_by_id.values() if not job.has_started]
        demand = Demand(
            drawn.account,
            QUEUE.priority,
            chain_s * factor,
            work,
            self._evidence.relative_error,
        )
        decision = self._method.decide(
            Situation(
                now=now,
                demand=demand,
                limit_s=limit_s,
                wait_s=drawn.at + WAIT_S - now,
                backlog=backlog,
                cores=CORES,
                weights=WEIGHTS,
                evidence=self._evidence,
                oldest_wait_s=now - min(waiting, default=now),
            )
        )
        if self._returns.redeem(drawn.job_id, cores=CORES, now=now):
            decision = Decision(None)
        if attempt > 1:
            self._returned += 1
            self._admitted_returns += decision.cause is None
        if decision.cause is None:
            job = _job(drawn, now)
            self._live_by_id[drawn.job_id] = self._accepted_by_id[drawn.job_id] = job
            backlog.add(priority=QUEUE.priority, account=drawn.account, work=work)
            return
        self._refused_at_by_id.setdefault(drawn.job_id, now)
        if decision.return_s is None or attempt == MAX_ATTEMPTS:
            return
        after_s = self._returns.choose(
            drawn.job_id,
            demand=demand,
            cores=CORES,
            return_s=decision.return_s,
            below_share=backlog.is_below_share(drawn.account, WEIGHTS),
            now=now,
        )
        backlog.add_demand(demand)
        heapq.heappush(self._sends, (now + after_s, drawn.job_id, attempt + 1))

    def _place(self, now: float) -> None:
        if not self._free:
            return
        cores = {QUEUE.service: float(CORES)}
        for job in sort_for_placement(
            self._live_by_id.values(),
            _queue_of,
            cores,
            now,
            weight_of=WEIGHTS.__getitem__,
            admitted=self._admitted,
        ):
            for tasks in job.ready_steps():
                for task in tasks:
                    if not task.is_waiting:
                        continue
                    if not self._free:
                        return
                    self._start(job, task, now)

    def _start(self, job: Job, task: Any, now: float) -> None:
        self._free -= 1
        self._started += 1
        job.has_started = True
        task.run = SimpleNamespace(started_at=now)
        true_s = self._drawn_by_id[job.job_id].true_s[task.task_id.step]
        heapq.heappush(self._ends, (now + true_s, self._started, task, job))

    def _take_ends(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            at, _, task, job = heapq.heappop(self._ends)
            self._free += 1
            true_s = at - task.run.started_at
            task.run = None
            job.mark_done([task])
            self._durations.note(QUEUE.name, declared_s=task.step.estimate_s, true_s=true_s)
            self._evidence = self._evidence.with_task(
                declared_s=task.step.estimate_s, true_s=true_s
            )
            if job.all_done():
                job.end(JobPhase.COMPLETED, at)
                del self._live_by_id[job.job_id]

    def _took(self, job: Job) -> float:
        """How long a job took since it was sent first, in objectives."""
        sent_at = self._drawn_by_id[job.job_id].at
        return (job.ended_at - sent_at) / objective_s(job, QUEUE)

    def _outcome(self) -> Outcome:
        in_time = [job for job in self._accepted_by_id.values() if self._took(job) <= 1.0]
        of_use = [job for job in self._accepted_by_id.values() if self._took(job) <= LATE_FACTOR]
        small = [job for job in self._drawn_by_id.values() if job.account.startswith("small")]
        return Outcome(
            jobs=len(self._drawn_by_id),
            in_time=len(in_time),
            of_use=len(of_use),
            useless=len(self._accepted_by_id) - len(of_use),
            refused=len(self._drawn_by_id) - len(self._accepted_by_id),
            small=len(small),
            small_in_time=sum(1 for job in in_time if job.account.startswith("small")),
            returned=self._returned,
            admitted=self._admitted_returns,
            ids_refused=frozenset(self._drawn_by_id) - frozenset(self._accepted_by_id),
            ids_of_use=frozenset(job.job_id for job in of_use),
        )


def _queue_of(job: Job) -> Any:
    return QUEUE


def _job(drawn: DrawnJob, now: float) -> Job:
    stored = StoredJob(QUEUE.name, QUEUE.service, now, drawn.spec, drawn.account)
    return Job(job_id=drawn.job_id, stored=stored)


class Load(NamedTuple):
    """A load that methods are compared on."""

    flooding: int
    factor: float
    load: float
    lasts_s: float


LOADS = (
    Load(0, 1.0, 0.7, 20.0),
    Load(1, 5.0, 0.7, 20.0),
    Load(3, 8.0, 0.7, 20.0),
    Load(3, 5.0, 0.9, 20.0),
    Load(0, 1.0, 1.6, 60.0),
)
# Without admission, in the order as it was and as it is; then the methods.
VARIANTS = (("none", False), ("none", True), *((name, True) for name in METHODS if name != "none"))
COUNTS = ("jobs", "in_time", "of_use", "useless", "refused", "small", "small_in_time")


@click.command()
@click.option("--seeds", default=5, show_default=True, help="How many plays of each load.")
def main(seeds: int) -> None:
    """Compare the methods of admission on drawn loads."""
    for load in LOADS:
        for name, admitted in VARIANTS:
            totals = dict.fromkeys((*COUNTS, "false", "returned", "admitted"), 0)
            for seed in range(seeds):
                jobs = draw(seed, **load._asdict())
                outcome = AdmissionPlay(jobs=jobs, method=METHODS[name](), admitted=admitted).run()
                all_admitted = outcome
                if outcome.refused:
                    all_admitted = AdmissionPlay(jobs=jobs, method=METHODS["none"]()).run()
                totals["false"] += len(outcome.ids_refused & all_admitted.ids_of_use)
                for count in (*COUNTS, "returned", "admitted"):
                    totals[count] += getattr(outcome, count)
            order = "new order" if admitted else "old order"
            click.echo(f"{tuple(load)} {name}, {order}: {totals}")


if __name__ == "__main__":
    main()
