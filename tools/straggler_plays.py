"""Drawn plays of a pool under steps with stragglers: restarts of them beside doing nothing.

``python -m tools.straggler_plays`` prints how long steps took either way, and what became of the
restarts.
"""

import random
from collections.abc import Callable, Iterator
from statistics import mean, quantiles
from types import SimpleNamespace
from typing import Any, NamedTuple, cast

import click

from mustardgap.dispatchers import Dispatcher
from mustardgap.events import EventLog
from mustardgap.executor_links import ExecutorLink
from mustardgap.job_states import Job, JobPhase, StoredJob, Task
from mustardgap.load_features import FeatureSettings, LoadFeatures, Switch
from mustardgap.placing import choose_executors
from mustardgap.resources import Room
from mustardgap.runs import Run, RunPhase
from mustardgap.stragglers import Stragglers
from mustardgap.suspicions import Suspicions
from mustardgap.workloads import EndKind, ExecutorEntry, JobSpec, Step

from .actor_platforms import HandClock

TICK_S = 0.1
STOP_S = 0.4
# The longest task takes 60 s on a slow executor.
ARRIVALS_S, MAX_LENGTH_S = 20.0, 120.0
EXECUTORS, SLOTS = 36, 8
SHORTEST_S, LONGEST_S = 1.0, 1.7
UNEVEN = 0.1
SERVICE = "archive"


class Case(NamedTuple):
    """The load: how many executors are slow, and the share of tasks with more work."""

    slow: int = 0
    speed: float = 1.0
    long_share: float = 0.0
    long_factor: float = 1.0
    busy: float = 0.5
    width: int = 8
    gang: bool = False
    data_rack: str = ""


class StragglerResult(NamedTuple):
    """What became of a play's steps, and of the core-seconds that were given up."""

    steps: int
    mean_s: float
    p90_s: float
    restarts: int
    useful: int
    given_up_s: float
    executed_s: float


class _Link:
    """An executor, and the link to it, for as far as placing and stragglers look at it."""

    def __init__(self, name: str, speed: float) -> None:
        self.entry = ExecutorEntry(
            name, SERVICE, name, "d1", False, Room(SLOTS * 1000, 64_000, 0), machine=name
        )
        self.speed = speed
        self.up = True
        self.closing = False
        self.runs_by_key: dict[Any, Run] = {}
        self.report_clock_s = 0.0
        self.pause_until = 0.0
        self.slow_marks = self.consecutive_failures = self.lasting_runs = 0
        self.slow_jobs: set[str] = set()
        self.failed_jobs: set[str] = set()
        self.failed_at = float("-inf")
        self.stop_at_by_run: dict[Run, float] = {}
        self.done_s_by_run: dict[Run, float] = {}

    @property
    def used(self) -> Room:
        return Room(1000 * len(self.runs_by_key), 500 * len(self.runs_by_key), 0)

    def holds(self, room: Room) -> bool:
        return self.entry.capacity.minus(self.used).holds(room)

    def stop_run(self, run: Run, why: str) -> None:
        run.phase = RunPhase.STOPPING
        self.stop_at_by_run[run] = self.report_clock_s + STOP_S


class StragglerPlay:
    """One drawn play.

    :param case: the load.
    :param seed: draws everything.
    :param restarts: whether stragglers are restarted; otherwise nothing is done about them.
    """

    def __init__(self, *, case: Case, seed: int, restarts: bool) -> None:
        self.case = case
        self.random = random.Random(seed)
        self.clock = HandClock()
        self.clock.now = 0.0
        self.events = EventLog(host="e1", clock=self.clock)
        slow = set(self.random.sample(range(EXECUTORS), case.slow))
        self.links = [
            _Link(f"x{number}", case.speed if number in slow else 1.0)
            for number in range(EXECUTORS)
        ]
        self.jobs_by_id: dict[str, Job] = {}
        self.work_s_by_task: dict[Any, float] = {}
        self._durations_s: list[float] = []
        self._given_up_s = self._executed_s = 0.0
        self._runs = 0
        # The epoch of the owner that starts runs on an executor.
        self.epoch_of: Callable[[_Link], int] = lambda link: 0
        self._suspicions = Suspicions(
            siblings_of=lambda task: self.jobs_by_id[task.task_id.job].siblings(task),
            clock=self.clock,
            events=self.events,
        )
        switch = Switch.ON if restarts else Switch.OFF
        self.dispatcher = SimpleNamespace(
            features=LoadFeatures(settings=FeatureSettings(stragglers=switch)),
            epoch=0,
            jobs_by_id=self.jobs_by_id,
            job_of=lambda task_id: self.jobs_by_id[task_id.job],
            queue_of=lambda job: None,
            store_progress=lambda job, tasks: SimpleNamespace(durable=True),
            roster=SimpleNamespace(links_by_executor={x.entry.executor: x for x in self.links}),
            starter=SimpleNamespace(usable_links=lambda step, job: self.links),
            evacuations=SimpleNamespace(planned=frozenset()),
        )
        self._stragglers = Stragglers(
            dispatcher=cast(Dispatcher, self.dispatcher),
            stop_timeout_s=STOP_S,
            clock=self.clock,
            events=self.events,
        )

    def run(self) -> StragglerResult:
        """Play until all steps have ended."""
        while self.clock.now < ARRIVALS_S or self._live():
            assert self.clock.now < MAX_LENGTH_S, "a step doesn't end"
            self.clock.now += TICK_S
            self._arrive()
            self._advance()
            running = [
                run
                for link in self.links
                for run in link.runs_by_key.values()
                if run.phase is RunPhase.RUNNING
            ]
            self._suspicions.update(running)
            self._stragglers.update(running, self.clock.now)
            self._place()
        lines = self.events.captured
        return StragglerResult(
            len(self._durations_s),
            mean(self._durations_s),
            quantiles(self._durations_s, n=10)[-1],
            sum(line["event"] == "run.restart" for line in lines),
            sum(line.get("outcome") == "useful" for line in lines),
            self._given_up_s,
            self._executed_s,
        )

    def _live(self) -> list[Job]:
        return [job for job in self.jobs_by_id.values() if job.phase is JobPhase.LIVE]

    def _arrive(self) -> None:
        work_s = self.case.width * (SHORTEST_S + LONGEST_S) / 2
        per_s = EXECUTORS * SLOTS * self.case.busy / work_s
        if self.clock.now >= ARRIVALS_S:
            return
        for _ in range(int(per_s * TICK_S + self.random.random())):
            work_s = self.random.uniform(SHORTEST_S, LONGEST_S)
            # Declared durations are off by up to nine tenths, for a whole step alike.
            declared_s = work_s * self.random.uniform(0.1, 1.9)
            spec = JobSpec("", (self._step(declared_s),))
            job_id = f"{len(self.jobs_by_id):016x}"
            job = Job(job_id=job_id, stored=StoredJob("q", SERVICE, self.clock.now, spec))
            self.jobs_by_id[job_id] = job
            for task in job.tasks():
                is_long = self.random.random() < self.case.long_share
                factor = self.case.long_factor if is_long else 1.0
                uneven = self.random.lognormvariate(0, UNEVEN)
                self.work_s_by_task[task.task_id] = work_s * factor * uneven

    def _step(self, declared_s: float) -> Step:
        gang, data_rack = self.case.gang, self.case.data_rack
        return Step(self.case.width, 1000, 500, 0, declared_s, gang=gang, data_rack=data_rack)

    def _place(self) -> None:
        now = self.clock.now
        links = [link for link in self.links if now >= link.pause_until] or self.links
        for job in self._live():
            tasks = list(job.tasks())
            waiting = [task for task in tasks if task.is_waiting]
            typed = cast(list[ExecutorLink], links)
            for task, chosen in choose_executors(waiting, tasks, typed, frozenset(), now):
                link = cast(_Link, chosen)
                self._runs += 1
                run = Run(task=task, number=self._runs, link=chosen, now=now)
                run.adopted = self.epoch_of(link) != self.dispatcher.epoch
                run.phase = RunPhase.RUNNING
                run.note_first_seen(now)
                task.run = run
                link.runs_by_key[task.task_id, run.number] = run
                link.done_s_by_run[run] = 0.0

    def _advance(self) -> None:
        for link in self.links:
            link.report_clock_s = self.clock.now
            for run in list(link.runs_by_key.values()):
                self._executed_s += TICK_S
                link.done_s_by_run[run] += TICK_S * link.speed
                share = link.done_s_by_run[run] / self.work_s_by_task[run.task.task_id]
                if share >= 1:
                    self._end(link, run, EndKind.DONE)
                elif self.clock.now >= link.stop_at_by_run.get(run, float("inf")):
                    assert run.first_seen_s is not None
                    self._given_up_s += self.clock.now - run.first_seen_s
                    self._end(link, run, EndKind.STOPPED)
                elif int(share * 100) != run.percent:
                    run.percent = int(share * 100)
                    run.progress_changed_s = self.clock.now

    def _end(self, link: _Link, run: Run, how: EndKind) -> None:
        task: Task = run.task
        job = self.jobs_by_id[task.task_id.job]
        del link.runs_by_key[task.task_id, run.number]
        task.run = None
        self._stragglers.on_end(cast(ExecutorLink, link), job, run, how)
        self._suspicions.on_end(cast(ExecutorLink, link), task, how, run)
        if how is EndKind.DONE:
            job.mark_done([task])
        if job.all_done():
            job.end(JobPhase.COMPLETED, self.clock.now)
            self._stragglers.forget(job.job_id)
            self._durations_s.append(self.clock.now - job.accepted_at)


CASES = {
    "a sixth of the executors at a fifth of the speed": Case(slow=6, speed=0.2),
    "3 in 100 tasks take 7 times as long": Case(long_share=0.03, long_factor=7.0),
    "both at once": Case(slow=6, speed=0.2, long_share=0.03, long_factor=7.0),
    "a sixth at a fifth of the speed, pool full": Case(slow=6, speed=0.2, busy=0.8),
    "a sixth at a fifth of the speed, wide steps": Case(slow=6, speed=0.2, width=24),
    "neither": Case(),
}


def play(case: str, seed: int, *, restarts: bool) -> StragglerResult:
    """Play one seed of a case, with restarts or without."""
    return StragglerPlay(case=CASES[case], seed=seed, restarts=restarts).run()


def _rows(plays: int) -> Iterator[str]:
    for case in CASES:
        for restarts in (False, True):
            results = [play(case, seed, restarts=restarts) for seed in range(1, plays + 1)]
            given_up = sum(r.given_up_s for r in results) / sum(r.executed_s for r in results)
            yield (
                f"{case}, {'restarts' if restarts else 'nothing done'}:"
                f" steps took {mean(r.mean_s for r in results):.2f} s,"
                f" 0.9 quantile {mean(r.p90_s for r in results):.2f} s;"
                f" restarts {sum(r.restarts for r in results)},"
                f" useful {sum(r.useful for r in results)},"
                f" given up {given_up:.4f} of the work"
            )


@click.command()
@click.option("--plays", default=5, show_default=True, help="How many plays of each case.")
def main(plays: int) -> None:
    """Compare restarts of stragglers with doing nothing."""
    for row in _rows(plays):
        click.echo(row)


if __name__ == "__main__":
    main()
