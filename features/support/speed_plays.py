"""Plays of a rise on a pool of which a sixth of the executors is slow, with plain values.

Jobs are placed by the product's choice of executors, and slow executors are paused as the product
does without speeds; time, runs and links are simulated.
"""

import random
from types import SimpleNamespace
from typing import Any, NamedTuple

from mustardgap.events import EventLog
from mustardgap.executor_speeds import ExecutorSpeeds, SpeedEstimate
from mustardgap.job_states import Job, StoredJob
from mustardgap.load_features import FeatureSettings, LoadFeatures, Switch
from mustardgap.placing import choose_executors
from mustardgap.runs import Run
from mustardgap.suspicions import Suspicions
from mustardgap.workloads import EndKind, JobSpec, Room, Step, TaskId
from tools.actor_platforms import HandClock

TICK_S = 0.05
EXECUTORS, SLOTS = 24, 16
SLOW_FACTOR = 0.2
# Between rises a twentieth of the mean demand arrives, in a rise five times the mean.
LENGTH_S, RISE_FROM_S, RISE_UNTIL_S = 24.0, 8.0, 16.0
JOBS_PER_S, JOBS_PER_S_IN_RISE = 0.2, 12.0
WIDTH = 8
# 3 in 100 tasks take 7 times as long as their siblings.
STRAGGLER_SHARE, STRAGGLER_FACTOR = 0.03, 7.0


class PlayResult(NamedTuple):
    """What a play has shown.

    ``in_time`` is the share of the rise's jobs that ended in time, among those without a straggler.
    ``factors`` are those of the slow executors and of the others, at the end of the rise.
    """

    in_time: float
    slow_factors: list[float]
    sound_factors: list[float]


class _Running(NamedTuple):
    run: Run
    takes_s: float
    began: float


class SpeedPlay:
    """One drawn play.

    :param seed: draws everything.
    :param enabled: whether speeds are learned and used.
    :param slow: how many executors are slow.
    :param work_s: how long a task takes at the usual speed.
    """

    def __init__(self, *, seed: int, enabled: bool, slow: int, work_s: float) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.work_s = work_s
        self.links = [_link(f"x{number}") for number in range(EXECUTORS)]
        slow_links = self.random.sample(self.links, slow)
        self.slow = {link.entry.executor for link in slow_links}
        links_by_id: dict[str, Any] = {link.entry.executor: link for link in self.links}
        switch = Switch.ON if enabled else Switch.OFF
        self.jobs: dict[str, Job] = {}
        self.ended_at: dict[str, float] = {}
        self.has_straggler: set[str] = set()
        self.clock = HandClock()
        self.clock.now = 0.0
        events = EventLog(host="e1", clock=self.clock)
        self.speeds = ExecutorSpeeds(
            features=LoadFeatures(settings=FeatureSettings(executor_speeds=switch)),
            siblings_of=lambda task: self.jobs[task.task_id.job].siblings(task),
            link_of=links_by_id.get,
            events=events,
        )
        self.suspicions = Suspicions(
            siblings_of=lambda task: self.jobs[task.task_id.job].siblings(task),
            clock=self.clock,
            events=events,
        )
        self._running: list[_Running] = []
        self._takes_by_task: dict[TaskId, float] = {}
        self._due = 0.0

    def run(self) -> PlayResult:
        """Play to the end."""
        factors: list[list[float]] = [[], []]
        while self.now < LENGTH_S:
            self.now += TICK_S
            self.clock.now = self.now
            if not factors[0] and self.now >= RISE_UNTIL_S:
                for link in self.links:
                    is_slow = link.entry.executor in self.slow
                    factors[not is_slow].append(link.speed.factor_at(self.now))
            self._arrive()
            self._advance()
            runs = [running.run for running in self._running]
            self.suspicions.update(runs)
            self.speeds.update(runs)
            self._place()
        rise = [
            job
            for job in self.jobs.values()
            if RISE_FROM_S <= job.accepted_at < RISE_UNTIL_S
            and job.job_id not in self.has_straggler
        ]
        objective_s = 1.6 * 2 * self.work_s + 0.6
        late = float("inf")
        in_time = [
            self.ended_at.get(job.job_id, late) - job.accepted_at <= objective_s for job in rise
        ]
        return PlayResult(sum(in_time) / len(in_time), *factors)

    def _arrive(self) -> None:
        rising = RISE_FROM_S <= self.now < RISE_UNTIL_S
        self._due += TICK_S * (JOBS_PER_S_IN_RISE if rising else JOBS_PER_S)
        while self._due >= 1:
            self._due -= 1
            # Declared durations are wrong by up to nine tenths.
            declared_s = self.work_s * self.random.uniform(0.1, 1.9)
            step = Step(WIDTH, 1_000, 500, 0, declared_s)
            spec = JobSpec("", (step, step._replace(depends_on=(0,))))
            job_id = f"{len(self.jobs) + 1:016x}"
            self.jobs[job_id] = job = Job(
                job_id=job_id, stored=StoredJob("quotes", "quoting", self.now, spec)
            )
            for task in job.tasks():
                takes_s = self.work_s * self.random.lognormvariate(0, 0.1)
                if self.random.random() < STRAGGLER_SHARE:
                    takes_s *= STRAGGLER_FACTOR
                    self.has_straggler.add(job_id)
                self._takes_by_task[task.task_id] = takes_s

    def _place(self) -> None:
        links = [link for link in self.links if link.pause_until <= self.now]
        for job in self.jobs.values():
            if job.job_id in self.ended_at:
                continue
            for tasks in job.ready_steps():
                waiting = [task for task in tasks if task.is_waiting]
                class_of = self.speeds.class_of_links(job, tasks[0].task_id.step)
                for task, link in choose_executors(
                    waiting, tasks, links, frozenset(), self.now, speed_class_of=class_of
                ):
                    self._start(task, link)

    def _start(self, task: Any, link: Any) -> None:
        run = Run(task=task, number=1, link=link, now=self.now)
        run.note_first_seen(self.now)
        task.run = run
        link.used = link.used.plus(task.step.room)
        link.runs_by_key[task.task_id, 1] = run
        takes_s = self._takes_by_task[task.task_id]
        if link.entry.executor in self.slow:
            takes_s /= SLOW_FACTOR
        self._running.append(_Running(run, takes_s, self.now))

    def _advance(self) -> None:
        for link in self.links:
            link.report_clock_s = self.now
        for running in list(self._running):
            run = running.run
            share = (self.now - running.began) / running.takes_s
            if share < 1:
                run.percent = int(share * 100)
                run.progress_changed_s = self.now
                continue
            self._running.remove(running)
            task, link = run.task, run.link
            link.used = link.used.minus(task.step.room)
            del link.runs_by_key[task.task_id, 1]
            task.run = None
            self.suspicions.on_end(link, task, EndKind.DONE, run)
            self.speeds.on_done(link, task)
            job = self.jobs[task.task_id.job]
            job.mark_done([task])
            if job.all_done():
                self.ended_at[job.job_id] = self.now


def _link(name: str) -> Any:
    capacity = Room(SLOTS * 1_000, SLOTS * 1_000, 0)
    link = SimpleNamespace(
        entry=SimpleNamespace(executor=name, rack="", machine=name, capacity=capacity),
        used=Room(),
        speed=SpeedEstimate(),
        report_clock_s=0.0,
        slow_marks=0,
        slow_jobs=set(),
        failed_jobs=set(),
        pause_until=0.0,
        lasting_runs=0,
        consecutive_failures=0,
        failed_at=0.0,
        runs_by_key={},
        up=True,
    )
    link.holds = lambda room: capacity.minus(link.used).holds(room)
    return link
