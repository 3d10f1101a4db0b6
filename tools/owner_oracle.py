"""Checks the answers to callers against the runs on executors, independently of the product."""

import itertools
from collections import Counter, defaultdict
from collections.abc import Collection
from typing import NamedTuple

from mustardgap.workloads import EndKind, JobSpec, TaskId

from .fake_executors import FleetRecord, RunRecord

# No task of a cancelled job may be started later than this after the cancellation was answered.
MAX_START_AFTER_CANCEL_S = 3.0
# Once this many executors have crashed under a task, it may be started only this many times more.
CRASHED_EXECUTORS, MAX_FURTHER_STARTS = 3, 2


class JobHistory(NamedTuple):
    """The requests for one job and their answers."""

    spec: JobSpec
    statuses: list[int]
    cancelled_at: list[float]


def problems(record: FleetRecord, asked_by_job: dict[str, JobHistory], attempts: int) -> list[str]:
    """Return all violated guarantees, one line each.

    :param record: the runs on the executors, and the acknowledged ends.
    :param asked_by_job: the requests for each job and their answers.
    :param attempts: the number of failures after which a task must not be started again.
    """
    by_task: dict[TaskId, list[RunRecord]] = defaultdict(list)
    for run in record.runs:
        by_task[run.task].append(run)
    violations = []
    for task, runs in by_task.items():
        history = asked_by_job.get(task.job)
        if history is None:
            violations.append(f"{task} was started, but its job was never submitted")
            continue
        violations += _overlapping_runs(task, runs)
        violations += _repeated_runs(record, task, runs)
        violations += _unrequested_runs(task, runs, history)
        violations += _early_starts(by_task, task, runs, history.spec)
        violations += _excess_attempts(record, task, runs, history.spec, attempts)
    return violations


def crash_problems(record: FleetRecord, crashing: Collection[TaskId]) -> list[str]:
    """Return the tasks that were started too often after crashing executors, one line each.

    :param crashing: the tasks that crash each executor that starts them.
    """
    starts_by_task = Counter(run.task for run in record.runs if run.task in crashing)
    return [
        f"{task} crashes its executors, and was started {starts} times"
        for task, starts in starts_by_task.items()
        if starts > CRASHED_EXECUTORS + MAX_FURTHER_STARTS
    ]


def _overlapping_runs(task: TaskId, runs: list[RunRecord]) -> list[str]:
    violations = []
    ordered = sorted(runs, key=lambda run: run.started_at)
    for before, after in itertools.pairwise(ordered):
        if before.ended_at is None or before.ended_at > after.started_at:
            violations.append(
                f"{task} ran twice at once: run {before.run} on {before.executor} from "
                f"{before.started_at:.2f}, run {after.run} on {after.executor} at "
                f"{after.started_at:.2f}"
            )
    return violations


def _repeated_runs(record: FleetRecord, task: TaskId, runs: list[RunRecord]) -> list[str]:
    violations = []
    for acknowledged_at, executor, end in record.acknowledged:
        if end.task != task or end.how is not EndKind.DONE:
            continue
        # A repeated start may reach two incarnations of an executor. The acknowledged end is that
        # of the one that was there at the time.
        completed = max(
            (
                r
                for r in runs
                if (r.run, r.executor) == (end.run, executor) and r.started_at <= acknowledged_at
            ),
            key=lambda r: r.started_at,
        )
        assert completed.ended_at is not None
        if record.lapsed_between(executor, completed.ended_at, acknowledged_at):
            continue
        for run in runs:
            if run.started_at > completed.ended_at:
                violations.append(
                    f"{task} was started again at {run.started_at:.2f}, though it had completed at "
                    f"{completed.ended_at:.2f}, acknowledged at {acknowledged_at:.2f}"
                )
    return violations


def _unrequested_runs(task: TaskId, runs: list[RunRecord], history: JobHistory) -> list[str]:
    violations = []
    for run in runs:
        if run.payload != history.spec.payload:
            violations.append(f"{task} was started with another payload")
        if any(run.started_at > at + MAX_START_AFTER_CANCEL_S for at in history.cancelled_at):
            violations.append(
                f"{task} was started at {run.started_at:.2f}, long after its cancellation"
            )
    if history.statuses and all(status in (400, 404, 503) for status in history.statuses):
        violations.append(f"{task} ran, though its job was refused each time: {history.statuses}")
    return violations


def _early_starts(
    by_task: dict[TaskId, list[RunRecord]], task: TaskId, runs: list[RunRecord], spec: JobSpec
) -> list[str]:
    violations = []
    first = min(run.started_at for run in runs)
    for required_step in spec.steps[task.step].depends_on:
        for number in range(spec.steps[required_step].width):
            dependency = TaskId(task.job, task.occurrence, required_step, number)
            ends = [r.ended_at for r in by_task[dependency] if r.how is EndKind.DONE and r.ended_at]
            if not ends or min(ends) > first:
                violations.append(
                    f"{task} was started at {first:.2f}, before {dependency} had completed"
                )
    return violations


def _excess_attempts(
    record: FleetRecord, task: TaskId, runs: list[RunRecord], spec: JobSpec, attempts: int
) -> list[str]:
    if spec.steps[task.step].lasting:
        return []
    failed_at = sorted(
        end_of.ended_at
        for _, executor, end in record.acknowledged
        if end.task == task and end.how is EndKind.FAILED
        for end_of in runs
        if end_of.run == end.run and end_of.executor == executor and end_of.ended_at is not None
    )
    if len(failed_at) < attempts:
        return []
    last = failed_at[attempts - 1]
    return [
        f"{task} was started at {run.started_at:.2f}, after {attempts} failures"
        for run in runs
        if run.started_at > last
    ]
