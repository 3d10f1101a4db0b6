"""Learns how fast each executor is from its runs beside their siblings elsewhere.

A few executors may be far slower than the others, for example a sixth at a fifth of the speed. A
step that has a task on one of them takes as long as its slowest task, so each job of a few wide
steps is late.
"""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from statistics import median
from typing import TYPE_CHECKING

from . import metrics
from .events import EventLog
from .load_features import Feature, LoadFeatures
from .run_speeds import RunSpeed, measure

if TYPE_CHECKING:
    from .executor_links import ExecutorLink
    from .job_states import Job, Task
    from .runs import Run
    from .workloads import Step

# A run that goes on is compared once it has run for this long, a tenth of a usual task; a shorter
# one is compared when it has ended. The whole percents of a report are exact enough by then.
SAMPLE_AFTER_S, SAMPLE_AFTER_PERCENT = 0.15, 3
# So many siblings on other executors are needed. The median of two tells a slow one from a sound
# one at least by half; more than one comparison counts anyway.
MIN_PEERS = 2
# How many neighbours of a task are looked at on either side, so that a step of many thousands of
# tasks costs no more than one of 32.
MAX_PEER_DISTANCE = 16
# The factor is the median of the last comparisons and of this many of 1. Three comparisons are the
# least that change it: single tasks take several times as long as their siblings anywhere.
MAX_SAMPLES, PRIOR_SAMPLES = 12, 2
# An executor is known after this many comparisons. Until then it gets at most MAX_UNKNOWN_RUNS runs
# of wide steps as long as known ones are free: with a whole step on one executor, nothing tells
# that it is slow.
MIN_SAMPLES, MAX_UNKNOWN_RUNS = 3, 3
# A comparison counts for this long. An executor that is avoided has no runs by which it could show
# that it is as fast as others again; three slow runs are enough to avoid it anew.
SAMPLE_VALID_S = 30.0
# The range of factors. A run may stand still, and a first percent may come late.
MIN_FACTOR, MAX_FACTOR = 0.05, 2.0
# Executors with a factor of at least this count as equally fast. Factors of sound ones vary by a
# fifth where tasks of one step vary.
FULL_SPEED_FACTOR = 0.75
# A step is on the deciding chain if its chain is at least this share of the job's longest one.
# Declared durations are wrong by up to nine tenths.
DECIDING_SHARE = 0.5


class SpeedEstimate:
    """The speed of one incarnation of an executor, as a factor of that of its peers."""

    def __init__(self) -> None:
        self._factor = 1.0
        # Comparisons with their times by the executor's clock.
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def add(self, ratio: float, now_s: float) -> None:
        """Add a comparison.

        :param ratio: a run's speed as a factor of its siblings' on executors of usual speed.
        :param now_s: the executor's monotonic time, in seconds.
        """
        self._samples.append((now_s, min(max(ratio, MIN_FACTOR), MAX_FACTOR)))
        self._update()

    def factor_at(self, now_s: float) -> float:
        """Return the factor, 1 without recent comparisons.

        :param now_s: the executor's monotonic time, in seconds.
        """
        self._expire(now_s)
        return self._factor

    def is_known_at(self, now_s: float) -> bool:
        """Whether there are enough recent comparisons."""
        self._expire(now_s)
        return len(self._samples) >= MIN_SAMPLES

    def _expire(self, now_s: float) -> None:
        if not self._samples or self._samples[0][0] >= now_s - SAMPLE_VALID_S:
            return
        while self._samples and self._samples[0][0] < now_s - SAMPLE_VALID_S:
            self._samples.popleft()
        self._update()

    def _update(self) -> None:
        ratios = [ratio for _, ratio in self._samples]
        self._factor = median([*ratios, *[1.0] * PRIOR_SAMPLES])


def compare_speeds(
    speed: RunSpeed, peers: Iterable[RunSpeed], factor_of: Callable[[str], float]
) -> float | None:
    """Compare the speed of a run with that of its siblings on other executors.

    :param peers: the speeds of its siblings.
    :param factor_of: returns the known factor of an executor; a sibling on a slow one tells as much
        as one on a fast one.
    :return: the factor, None if there are too few siblings.
    """
    usual = [
        peer.per_s / factor_of(peer.executor)
        for peer in peers
        if peer.executor != speed.executor and peer.near_data == speed.near_data and peer.per_s > 0
    ]
    if len(usual) < MIN_PEERS:
        return None
    return speed.per_s / median(usual)


def expected_s(duration_s: float, factor: float) -> float:
    """How long a task takes on an executor, in seconds.

    :param duration_s: how long it takes at the usual speed.
    :param factor: the executor's factor.
    """
    return duration_s / factor


def effective_cores(executors: Iterable[tuple[float, float]]) -> float:
    """The cores of usual speed that do as much work as some executors, for forecasts.

    :param executors: the cores of each, and its factor.
    """
    return sum(cores * factor for cores, factor in executors)


def speed_class(estimate: SpeedEstimate, now_s: float, unknown_runs: int) -> int:
    """The class of an executor for placing, 0 for usual speed, and more the slower it is.

    :param now_s: the executor's monotonic time, in seconds.
    :param unknown_runs: the runs there, as far as they count while its speed isn't known.
    """
    factor = estimate.factor_at(now_s)
    if factor < FULL_SPEED_FACTOR:
        return 1 + round(1 / factor)
    return int(unknown_runs >= MAX_UNKNOWN_RUNS and not estimate.is_known_at(now_s))


def decides_end(steps: Sequence["Step"], number: int, critical_path_s: float) -> bool:
    """Whether the chain of steps that depend on a step decides when its job ends.

    :param steps: the steps of the job.
    :param number: the step, all of whose dependencies are done.
    :param critical_path_s: the duration of the longest chain that the job still has.
    """
    if steps[number].lasting or steps[number].filling:
        return False
    chain_s = [0.0] * len(steps)
    for later in range(len(steps) - 1, number - 1, -1):
        chain_s[later] += steps[later].estimate_s
        for earlier in steps[later].depends_on:
            chain_s[earlier] = max(chain_s[earlier], chain_s[later])
    return chain_s[number] >= DECIDING_SHARE * critical_path_s


class ExecutorSpeeds:
    """Keeps the speeds of a shard's executors.

    :param features: whether it takes part.
    :param siblings_of: returns the tasks of a task's step and occurrence.
    :param link_of: returns the link to an executor, None if there is none.
    :param events: the process's event log.
    """

    def __init__(
        self,
        *,
        features: LoadFeatures,
        siblings_of: Callable[["Task"], Sequence["Task"]],
        link_of: Callable[[str], "ExecutorLink | None"],
        events: EventLog,
    ) -> None:
        self._features = features
        self._siblings_of = siblings_of
        self._link_of = link_of
        self._events = events

    @property
    def enabled(self) -> bool:
        """Whether speeds take part in decisions."""
        return self._features.has(Feature.EXECUTOR_SPEEDS)

    def factor_of(self, executor: str) -> float:
        """The factor of an executor, 1 for one that isn't known."""
        link = self._link_of(executor)
        return _factor_of(link) if link is not None and self.enabled else 1.0

    def on_done(self, link: "ExecutorLink", task: "Task") -> None:
        """Learn from a run that has done its task."""
        if self.enabled and task.speed is not None:
            self._learn(link, task, task.speed)

    def update(self, runs: Iterable["Run"]) -> None:
        """Learn once from each run that goes on.

        A slow executor's runs end late; meanwhile it would be given more.
        """
        if not self.enabled:
            return
        for run in runs:
            step = run.task.step
            if run.speed_sampled or step.lasting or step.filling or not run.link.up:
                continue
            speed = measure(run)
            if speed is None or run.percent < SAMPLE_AFTER_PERCENT:
                continue
            if speed.ran_s >= SAMPLE_AFTER_S:
                run.speed_sampled = self._learn(run.link, run.task, speed)

    def class_of_links(self, job: "Job", step: int) -> Callable[["ExecutorLink"], int] | None:
        """Return the classes of executors for a ready step, None if speed doesn't decide there."""
        if not self.enabled or not decides_end(job.spec.steps, step, job.remaining()[0]):
            return None
        # Without enough siblings, an executor's speed wouldn't become known by such steps.
        is_comparable = job.spec.steps[step].width > MIN_PEERS and not job.spec.steps[step].gang

        def class_of(link: "ExecutorLink") -> int:
            short_runs = len(link.runs_by_key) - link.lasting_runs if is_comparable else 0
            return speed_class(link.speed, link.report_clock_s, short_runs)

        return class_of

    def _learn(self, link: "ExecutorLink", task: "Task", speed: RunSpeed) -> bool:
        ratio = compare_speeds(speed, self._peers_of(task), self.factor_of)
        if ratio is None:
            return False
        before = _factor_of(link)
        link.speed.add(ratio, link.report_clock_s)
        factor = _factor_of(link)
        if (before < FULL_SPEED_FACTOR) != (factor < FULL_SPEED_FACTOR):
            change = "slow" if factor < FULL_SPEED_FACTOR else "usual"
            metrics.executor_speed_changes.add(1, {"to": change})
            self._events.note(
                "executor.speed", executor=link.entry.executor, factor=factor, before=before
            )
        return True

    def _peers_of(self, task: "Task") -> Iterable[RunSpeed]:
        siblings = self._siblings_of(task)
        number = task.task_id.number
        near = siblings[max(number - MAX_PEER_DISTANCE, 0) : number + MAX_PEER_DISTANCE + 1]
        for sibling in near:
            if sibling is task:
                continue
            speed = sibling.speed
            if speed is None and sibling.run is not None:
                speed = measure(sibling.run)
                if speed is not None and speed.ran_s < SAMPLE_AFTER_S:
                    continue
            if speed is not None:
                yield speed


def _factor_of(link: "ExecutorLink") -> float:
    return link.speed.factor_at(link.report_clock_s)
