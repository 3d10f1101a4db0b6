"""Drawn plays of executors, some of them slow, under jobs whose declared estimates are off.

Three ways to find the slow ones are compared: by declared estimates, by the other tasks of the same
step, and by the median of an executor's recent runs against that of all.

``python -m tools.slowness_plays`` prints what each way found, how soon, and whom it paused wrongly.
"""

import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from statistics import median
from types import SimpleNamespace
from typing import Any, NamedTuple

import click

from mustardgap.events import EventLog
from mustardgap.job_states import Task
from mustardgap.run_speeds import SLOW_SPEED_RATIO, measure
from mustardgap.runs import Run
from mustardgap.suspicions import SLOW_JOBS_BEFORE_PAUSE, SLOW_PAUSE_S, Suspicions
from mustardgap.workloads import EndKind, Step, TaskId

from .actor_platforms import HandClock

TICK_S = 0.1
LENGTH_S = 20.0
EXECUTORS = 32
SLOTS = 8
RECENT_RUNS = 8
MIN_RECENT_RUNS = 4


class Case(NamedTuple):
    """A kind of work, and how many executors are slow.

    ``estimates_off`` and ``uneven`` are standard deviations of logarithms: of the estimates of
    steps, and of the tasks of one step.
    """

    work_s: float
    width: int
    estimates_off: float
    uneven: float
    slow: int
    factor: float


class SlownessResult(NamedTuple):
    """How many slow executors were found, how soon on average, and how often others were paused."""

    found: int
    found_after_s: float
    wrongly: int


class _Work(NamedTuple):
    """A run, with the seconds that it takes and when it began."""

    run: Run
    takes_s: float
    began: float


class SlownessPlay:
    """One drawn play.

    :param case: the work and the executors.
    :param seed: draws everything.
    :param judge: what decides whether a run is slow; None for the product's own way.
    """

    def __init__(self, *, case: Case, seed: int, judge: "Judge | None" = None) -> None:
        self.case = case
        self.random = random.Random(seed)
        self.clock = HandClock()
        self.clock.now = 0.0
        self.links = [_link(f"x{number}") for number in range(EXECUTORS)]
        self.slow = {link.entry.executor for link in self.links[: case.slow]}
        self.paused_at: dict[str, list[float]] = defaultdict(list)
        self._siblings_by_step: dict[TaskId, list[Task]] = {}
        self._judge = judge
        self._suspicions = Suspicions(
            siblings_of=lambda task: self._siblings_by_step[task.task_id._replace(number=0)],
            clock=self.clock,
            events=EventLog(host="e1", clock=self.clock),
        )
        self._work: list[_Work] = []
        self._jobs = 0

    def run(self) -> SlownessResult:
        """Play to the end."""
        while self.clock.now < LENGTH_S:
            self.clock.now += TICK_S
            self._arrive()
            self._advance()
            before = {link.entry.executor: link.pause_until for link in self.links}
            if self._judge is None:
                self._suspicions.update([work.run for work in self._work])
            else:
                self._judge.update([work.run for work in self._work], self.clock.now)
            for link in self.links:
                begins = before[link.entry.executor] <= self.clock.now < link.pause_until
                if begins:
                    self.paused_at[link.entry.executor].append(self.clock.now)
        found = [times[0] for name, times in self.paused_at.items() if name in self.slow]
        wrongly = sum(len(times) for name, times in self.paused_at.items() if name not in self.slow)
        mean_s = sum(found) / len(found) if found else float("nan")
        return SlownessResult(len(found), mean_s, wrongly)

    def _arrive(self) -> None:
        """Start steps of jobs while most of the executors' slots are free."""
        while len(self._work) < EXECUTORS * SLOTS * 0.6:
            self._jobs += 1
            case = self.case
            work_s = case.work_s * self.random.lognormvariate(0, 0.5)
            estimate_s = work_s * self.random.lognormvariate(0, case.estimates_off)
            step = Step(case.width, 1_000, 500, 0, estimate_s)
            first = TaskId(f"{self._jobs:016x}", 0, 0, 0)
            tasks = [
                Task(task_id=first._replace(number=number), step=step)
                for number in range(case.width)
            ]
            self._siblings_by_step[first] = tasks
            for task in tasks:
                self._start(task, work_s)

    def _start(self, task: Task, work_s: float) -> None:
        usable = [link for link in self.links if link.pause_until <= self.clock.now]
        link = self.random.choice(usable or self.links)
        run = Run(task=task, number=1, link=link, now=self.clock.now)
        run.note_first_seen(self.clock.now)
        task.run = run
        takes_s = work_s * self.random.lognormvariate(0, self.case.uneven)
        if link.entry.executor in self.slow:
            takes_s *= self.case.factor
        self._work.append(_Work(run, takes_s, self.clock.now))

    def _advance(self) -> None:
        for link in self.links:
            link.report_clock_s = self.clock.now
        for work in list(self._work):
            share = (self.clock.now - work.began) / work.takes_s
            if share < 1:
                work.run.percent = int(share * 100)
                work.run.progress_changed_s = self.clock.now
                continue
            self._work.remove(work)
            work.run.task.run = None
            work.run.task.done = True
            if self._judge is None:
                self._suspicions.on_end(work.run.link, work.run.task, EndKind.DONE, work.run)
            else:
                self._judge.on_done(work.run, self.clock.now)


def _link(name: str) -> Any:
    return SimpleNamespace(
        entry=SimpleNamespace(executor=name, rack=""),
        report_clock_s=0.0,
        pause_until=0.0,
        slow_marks=0,
        slow_jobs=set(),
        consecutive_failures=0,
        failed_jobs=set(),
        up=True,
    )


class Judge:
    """Pauses executors as the product does, by another measure of slowness."""

    def update(self, runs: list[Run], now: float) -> None:
        """Look at what runs."""
        for run in runs:
            if self.is_slow(run):
                link = run.link
                link.slow_jobs.add(run.task.task_id.job)
                if len(link.slow_jobs) >= SLOW_JOBS_BEFORE_PAUSE:
                    link.slow_jobs.clear()
                    link.pause_until = max(link.pause_until, now + SLOW_PAUSE_S)

    def on_done(self, run: Run, now: float) -> None:
        """Note a run that has done its task."""
        if not self.is_slow(run):
            run.link.slow_jobs.clear()

    def is_slow(self, run: Run) -> bool:
        """Whether a run is slow."""
        raise NotImplementedError


class ByEstimates(Judge):
    """A run is slow if it needs much longer than declared."""

    def is_slow(self, run: Run) -> bool:
        speed = measure(run)
        if speed is None or speed.ran_s < 1.0:
            return False
        return speed.per_s * run.task.step.estimate_s < SLOW_SPEED_RATIO


class ByRecentRuns(Judge):
    """An executor is slow if its recent runs, by their estimates, are far slower than all."""

    def __init__(self) -> None:
        self._recent: dict[str, deque[float]] = defaultdict(lambda: deque(maxlen=RECENT_RUNS))

    def on_done(self, run: Run, now: float) -> None:
        assert run.first_seen_s is not None
        ran_s = max(now - run.first_seen_s, TICK_S)
        self._recent[run.link.entry.executor].append(run.task.step.estimate_s / ran_s)

    def update(self, runs: list[Run], now: float) -> None:
        medians = {
            name: median(speeds)
            for name, speeds in self._recent.items()
            if len(speeds) >= MIN_RECENT_RUNS
        }
        if len(medians) < 3:
            return
        bound = SLOW_SPEED_RATIO * median(medians.values())
        for link in {run.link.entry.executor: run.link for run in runs}.values():
            if medians.get(link.entry.executor, bound) < bound:
                self._recent[link.entry.executor].clear()
                link.pause_until = max(link.pause_until, now + SLOW_PAUSE_S)


WAYS: dict[str, Callable[[], Judge | None]] = {
    "siblings": lambda: None,
    "estimates": ByEstimates,
    "recent runs": ByRecentRuns,
}
CASES = {
    "sound, estimates off by a fifth": Case(0.64, 6, 0.2, 0.3, 0, 1.0),
    "sound, estimates off by far": Case(0.8, 8, 0.9, 0.3, 0, 1.0),
    "sound, wide long tasks": Case(2.1, 8, 0.5, 0.15, 0, 1.0),
    "four of 32 slow, estimates off by a fifth": Case(0.64, 6, 0.2, 0.3, 4, 8.0),
    "four of 32 slow, estimates off by far": Case(0.8, 8, 0.9, 0.3, 4, 8.0),
    "four of 32 slow, wide long tasks": Case(2.1, 8, 0.5, 0.15, 4, 8.0),
}


def play(case: str, way: str, seed: int) -> SlownessResult:
    """Play one seed of a case in a way."""
    return SlownessPlay(case=CASES[case], seed=seed, judge=WAYS[way]()).run()


def _rows(plays: int) -> Iterator[str]:
    for case in CASES:
        for way in WAYS:
            results = [play(case, way, seed) for seed in range(1, plays + 1)]
            found = [result for result in results if result.found]
            after_s = sum(result.found_after_s for result in found) / len(found) if found else 0.0
            yield (
                f"{case}, by {way}: found {sum(r.found for r in results)} of"
                f" {CASES[case].slow * plays}, after {after_s:.1f} s,"
                f" wrongly paused {sum(r.wrongly for r in results) / plays:.1f} times a play"
            )


@click.command()
@click.option("--plays", default=5, show_default=True, help="How many plays of each case and way.")
def main(plays: int) -> None:
    """Compare the ways to find slow executors."""
    for row in _rows(plays):
        click.echo(row)


if __name__ == "__main__":
    main()
