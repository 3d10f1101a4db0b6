"""Drawn plays of four pools whose client accounts flood them, without network.

Twelve small accounts send a steady load, six large ones four times as much each. During a flood,
some of the large ones send several times their usual load to all pools, while another account's
demand rises in one pool, which gets a third of the other pools' machines. The plays use the
product's counts, figures, marks and order; tasks run on plain cores.

``python -m tools.share_plays --plays 5`` prints how many of the small accounts' jobs are in time.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

import click

from mustardgap.account_shares import work_of
from mustardgap.accounts import ArrivalCounter, ExcessFigures, ShareBalancer, SharePlan
from mustardgap.job_states import Job, StoredJob, Task
from mustardgap.placing import sort_for_placement
from mustardgap.workloads import JobSpec, Queue, Step

POOLS = tuple("abcd")
RISING_POOL = "b"
CORES = 100.0
# Cores that each of the other pools gives to the rising one.
MOVED_CORES = 33.0
SMALL = tuple(f"small-{number}" for number in range(12))
LARGE = tuple(f"large-{number}" for number in range(6))
RISING = "rising"
SMALL_WEIGHT, LARGE_WEIGHT = 1.0, 4.0
SMALL_JOBS_PER_S = 0.5
LARGE_JOBS_PER_S = 2.0
RISING_JOBS_PER_S = 2.0
RISE_FACTOR = 5.0
TICK_S = 0.1
ROUND_TICKS = 2
LENGTH_S = 20.0
# Jobs that were accepted within this time count in the result.
COUNTED_S = (6.0, 14.0)
FLOOD_FROM_S, FLOOD_UNTIL_S = 6.0, 12.0
MOVE_S = 1.5
TASK_S = (1.0, 1.7)
# Declared durations are wrong by up to this share of a task's mean duration.
DECLARED_ERROR = 0.9
STRETCH, OBJECTIVE_S = 1.6, 0.6


class Trouble(NamedTuple):
    """What happens during a play, by seconds since its begin; what is None doesn't happen.

    ``cut`` are pools that the fleet's owner doesn't reach while the flood lasts. ``former_at`` is
    when a second fleet's owner with other weights takes over, while the former one goes on.
    ``halved_at`` is when the large accounts' weights are halved, ``takeover_at`` when each pool
    gets another owner, and ``fleet_gone_at`` when the fleet's owner ends without a successor.
    """

    cut: tuple[str, ...] = ()
    former_at: float | None = None
    halved_at: float | None = None
    takeover_at: float | None = None
    fleet_gone_at: float | None = None


NO_TROUBLE = Trouble()


class PlayResult(NamedTuple):
    """Jobs of small accounts and of large ones: all, and those that ended in time.

    ``marked`` counts the jobs marked as excess, ``remarked`` the changes of a mark in one owner.
    """

    small: int
    small_in_time: int
    large: int
    large_in_time: int
    marked: int
    remarked: int


class _Running(NamedTuple):
    ends_at: float
    job: Job
    task: Task


class Pool:
    """One pool with its owner.

    :param name: the pool's name.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.jobs_by_id: dict[str, Job] = {}
        self.running: list[_Running] = []
        self.counter = ArrivalCounter()
        self.figures = ExcessFigures()
        self.queue = Queue(name, "", "/", name, 0.0, OBJECTIVE_S, 0, 2, STRETCH)

    def accept(self, job: Job, now: float) -> None:
        """Take a new job."""
        self.counter.note(job.job_id, job.account, _core_s(job), job.accepted_at)
        self.jobs_by_id[job.job_id] = job
        self.mark(job, now)

    def mark(self, job: Job, now: float) -> None:
        """Decide once whether a job is excess."""
        if job.excess is None and self.figures.are_known:
            window = self.counter.of_account(job.account, now)
            self.decide(
                job,
                self.figures.is_excess(job.account, job.job_id, now, _core_s(job), window),
            )

    def apply(self, plan: SharePlan, now: float) -> None:
        """Apply figures, and mark the jobs that waited for the first ones."""
        was_known = self.figures.are_known
        self.figures.apply(plan.number, plan.excess_by_account, now)
        for job in self.jobs_by_id.values():
            if job.excess is None and not was_known:
                self.decide(job, self.figures.was_excess(job.account, job.job_id, now))

    def decide(self, job: Job, excess: bool) -> None:
        """Mark a job."""
        job.excess = excess
        if excess:
            self.counter.mark(job.job_id)

    def replace_owner(self) -> None:
        """Let another owner take over, which knows the stored jobs alone."""
        self.counter, self.figures = ArrivalCounter(), ExcessFigures()
        for job in self.jobs_by_id.values():
            self.counter.note(job.job_id, job.account, _core_s(job), job.accepted_at)
            job.excess = None


def _core_s(job: Job) -> float:
    return work_of(job.spec, 1.0).core_s


class Play:
    """One drawn play.

    :param seed: draws the load.
    :param flooding: how many of the large accounts flood the pools.
    :param factor: how many times its usual load a flooding account sends.
    :param sharing: whether accounts share the capacity over all pools.
    :param trouble: what happens besides.
    """

    def __init__(
        self,
        *,
        seed: int,
        flooding: int = 0,
        factor: float = 1.0,
        sharing: bool = True,
        trouble: Trouble = NO_TROUBLE,
    ) -> None:
        self.pools = [Pool(name=name) for name in POOLS]
        self.now = 0.0
        self._seed = seed
        self._flooding = frozenset(LARGE[:flooding])
        self._factor = factor
        self._sharing = sharing
        self._trouble = trouble
        self._balancers = [ShareBalancer(epoch=1)]
        self._durations: dict[str, list[float]] = {}
        self._accepted_at: dict[str, float] = {}
        self._ended_at: dict[str, float] = {}
        self._marks: dict[str, bool] = {}
        self._remarked = 0
        # Each account draws from its own numbers, so that small accounts send the same jobs with
        # and without a flood.
        self._randoms = {name: random.Random(f"{seed}/{name}") for name in (*SMALL, *LARGE, RISING)}

    def run(self) -> PlayResult:
        """Play to the end."""
        for tick in range(round(LENGTH_S / TICK_S)):
            self.now = tick * TICK_S
            if self._happens(self._trouble.takeover_at):
                self._take_over()
            self._submit()
            if self._sharing and tick % ROUND_TICKS == 0:
                self._exchange()
            for pool in self.pools:
                self._end_tasks(pool)
                self._start_tasks(pool)
            self._note_marks()
        return self._result()

    def _happens(self, at: float | None) -> bool:
        return at is not None and at <= self.now < at + TICK_S

    def weight_of(self, account: str) -> float:
        """An account's weight now."""
        if account not in LARGE:
            return SMALL_WEIGHT
        halved = self._trouble.halved_at is not None and self.now >= self._trouble.halved_at
        return LARGE_WEIGHT / 2 if halved else LARGE_WEIGHT

    def cores(self, pool: Pool) -> float:
        """The cores that a pool has now."""
        moved = FLOOD_FROM_S + MOVE_S <= self.now < FLOOD_UNTIL_S + MOVE_S
        if not moved:
            return CORES
        others = len(POOLS) - 1
        return CORES + MOVED_CORES * others if pool.name == RISING_POOL else CORES - MOVED_CORES

    def _submit(self) -> None:
        in_flood = FLOOD_FROM_S <= self.now < FLOOD_UNTIL_S
        for account, draws in self._randoms.items():
            rate = SMALL_JOBS_PER_S
            if account in LARGE:
                rate = LARGE_JOBS_PER_S
                if in_flood and account in self._flooding:
                    rate *= self._factor
            elif account == RISING:
                rate = RISING_JOBS_PER_S * (RISE_FACTOR if in_flood else 1.0)
            count = int(rate * TICK_S) + (draws.random() < rate * TICK_S % 1)
            for _ in range(count):
                self._submit_one(account, draws)

    def _submit_one(self, account: str, draws: random.Random) -> None:
        name = RISING_POOL if account == RISING else draws.choice(POOLS)
        pool = self.pools[POOLS.index(name)]
        steps, durations = [], []
        for number in range(2):
            error = draws.uniform(1 - DECLARED_ERROR, 1 + DECLARED_ERROR)
            durations.append(draws.uniform(*TASK_S))
            depends_on = (0,) if number else ()
            steps.append(Step(4, 1_000, 2_000, 0, durations[-1] * error, depends_on))
        job_id = f"{self._seed}/{account}/{len(self._durations)}"
        stored = StoredJob(name, name, self.now, JobSpec("", tuple(steps)), account)
        self._durations[job_id] = durations
        self._accepted_at[job_id] = self.now
        pool.accept(Job(job_id=job_id, stored=stored), self.now)

    def _exchange(self) -> None:
        """One round of each fleet's owner: figures to the pools, and counts back."""
        gone_at = self._trouble.fleet_gone_at
        if gone_at is not None and self.now >= gone_at:
            return
        if self._happens(self._trouble.former_at):
            self._balancers.insert(0, ShareBalancer(epoch=2))
        for balancer in self._balancers:
            # A former owner of the fleet takes all accounts for equal.
            is_former = balancer is not self._balancers[0]
            weight_of: Callable[[str], float] = (lambda _: 1.0) if is_former else self.weight_of
            plan = balancer.plan(weight_of, 0.0, self.now)
            for pool in self.pools:
                in_flood = FLOOD_FROM_S <= self.now < FLOOD_UNTIL_S
                if in_flood and pool.name in self._trouble.cut:
                    continue
                if plan is not None:
                    pool.apply(plan, self.now)
                arrivals = pool.counter.by_account(self.now)
                balancer.note(pool.name, arrivals, self.cores(pool), self.now)

    def _take_over(self) -> None:
        self._note_marks()
        self._marks.clear()
        for pool in self.pools:
            pool.replace_owner()

    def _note_marks(self) -> None:
        for pool in self.pools:
            for job in pool.jobs_by_id.values():
                if job.excess is not None:
                    mark = self._marks.setdefault(job.job_id, job.excess)
                    self._remarked += mark != job.excess

    def _end_tasks(self, pool: Pool) -> None:
        for run in pool.running:
            if run.ends_at > self.now:
                continue
            run.job.mark_done([run.task])
            if run.job.all_done():
                self._ended_at[run.job.job_id] = run.ends_at
                del pool.jobs_by_id[run.job.job_id]
        pool.running = [run for run in pool.running if run.ends_at > self.now]

    def _start_tasks(self, pool: Pool) -> None:
        free = int(self.cores(pool)) - len(pool.running)
        if free <= 0:
            return
        running = {(run.job.job_id, run.task.task_id) for run in pool.running}
        ordered = sort_for_placement(
            pool.jobs_by_id.values(),
            lambda job: pool.queue,
            {pool.name: self.cores(pool)},
            self.now,
            weight_of=self.weight_of,
            cores_per_mb_by_service={pool.name: 0.0} if self._sharing else None,
        )
        for job in ordered:
            for tasks in job.ready_steps():
                for task in tasks:
                    if task.done or (job.job_id, task.task_id) in running:
                        continue
                    if free <= 0:
                        return
                    free -= 1
                    job.has_started = True
                    duration_s = self._durations[job.job_id][task.task_id.step]
                    pool.running.append(_Running(self.now + duration_s, job, task))

    def _result(self) -> PlayResult:
        counts = {SMALL: [0, 0], LARGE: [0, 0]}
        for job_id, durations in self._durations.items():
            account = job_id.split("/")[1]
            kind = SMALL if account in SMALL else LARGE
            first_s, last_s = COUNTED_S
            if account == RISING or not first_s <= self._accepted_at[job_id] < last_s:
                continue
            counts[kind][0] += 1
            counts[kind][1] += self._is_in_time(job_id, durations)
        marked = sum(self._marks.values())
        small, large = counts[SMALL], counts[LARGE]
        return PlayResult(small[0], small[1], large[0], large[1], marked, self._remarked)

    def _is_in_time(self, job_id: str, durations: list[float]) -> bool:
        ended_at = self._ended_at.get(job_id)
        if ended_at is None:
            return False
        return ended_at - self._accepted_at[job_id] <= STRETCH * sum(durations) + OBJECTIVE_S


def play_all(
    seeds: int,
    *,
    flooding: int = 0,
    factor: float = 1.0,
    sharing: bool = True,
    trouble: Trouble = NO_TROUBLE,
) -> PlayResult:
    """Play the seeds from 1 on, and add up the results."""
    results = [
        Play(seed=seed, flooding=flooding, factor=factor, sharing=sharing, trouble=trouble).run()
        for seed in range(1, seeds + 1)
    ]
    return PlayResult(*map(sum, zip(*results, strict=True)))


@click.command()
@click.option("--plays", default=5, help="How many seeds.")
def main(plays: int) -> None:
    """Print the shares of small and of large accounts' jobs that are in time, with any flood."""
    for sharing in (False, True):
        name = "shares over all pools" if sharing else "weights within each pool"
        for flooding, factor in (
            (0, 1.0),
            (1, 5.0),
            (1, 8.0),
            (3, 5.0),
            (3, 8.0),
            (6, 5.0),
            (6, 8.0),
        ):
            sums = play_all(plays, flooding=flooding, factor=factor, sharing=sharing)
            small, large = sums.small_in_time / sums.small, sums.large_in_time / sums.large
            click.echo(
                f"{name}: {flooding} accounts send {factor:g} times as much: small {small:.3f}, "
                f"large {large:.3f}, {sums.marked} marked, {sums.remarked} remarked"
            )


if __name__ == "__main__":
    main()
