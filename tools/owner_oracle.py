"""Checks what callers were told and what executors truly did; it knows nothing of the product."""

import itertools
from collections import Counter, defaultdict
from collections.abc import Collection
from typing import NamedTuple

from mustardgap.workloads import EndKind, JobSpec, TaskId

from .fake_executors import FleetRecord, RunRecord

# A cancelled job's tasks aren't started later than this after its cancelling was answered.
CANCEL_S = 3.0
# After so many executors have crashed under a task, it is started at most so many times more.
CRASHES, STARTS_MORE = 3, 2


class Asked(NamedTuple):
    """What callers asked of one job, and what they were told."""

    spec: JobSpec
    statuses: list[int]
    cancelled_at: list[float]


def problems(record: FleetRecord, asked_by_job: dict[str, Asked], attempts: int) -> list[str]:
    """Everything that broke a promise, one line each.

    :param record: what the executors did.
    :param asked_by_job: what was asked.
    :param attempts: how often a task may fail.
    """
    by_task: dict[TaskId, list[RunRecord]] = defaultdict(list)
    for run in record.runs:
        by_task[run.task].append(run)
    found = []
    for task, runs in by_task.items():
        asked = asked_by_job.get(task.job)
        if asked is None:
            found.append(f"{task} was started, but nobody handed its job in")
            continue
        found += _overlaps(task, runs)
        found += _repeats(record, task, runs)
        found += _unasked(task, runs, asked)
        found += _order(by_task, task, runs, asked.spec)
        found += _budget(record, task, runs, asked.spec, attempts)
    return found


def crash_problems(record: FleetRecord, crashing: Collection[TaskId]) -> list[str]:
    """Tasks that were started too often after they had crashed executors.

    :param crashing: the tasks that crash each executor that starts them.
    """
    starts_by_task = Counter(run.task for run in record.runs if run.task in crashing)
    return [
        f"{task} crashes its executors, and was started {starts} times"
        for task, starts in starts_by_task.items()
        if starts > CRASHES + STARTS_MORE
    ]


def _overlaps(task: TaskId, runs: list[RunRecord]) -> list[str]:
    found = []
    ordered = sorted(runs, key=lambda run: run.started_at)
    for before, after in itertools.pairwise(ordered):
        if before.ended_at is None or before.ended_at > after.started_at:
            found.append(
                f"{task} ran twice at once: run {before.run} on {before.executor} from "
                f"{before.started_at:.2f}, run {after.run} on {after.executor} at "
                f"{after.started_at:.2f}"
            )
    return found


def _repeats(record: FleetRecord, task: TaskId, runs: list[RunRecord]) -> list[str]:
    found = []
    for noted_at, executor, end in record.acknowledged:
        if end.task != task or end.how is not EndKind.DONE:
            continue
        done = next(r for r in runs if r.run == end.run and r.executor == executor)
        assert done.ended_at is not None
        if record.lapsed_between(executor, done.ended_at, noted_at):
            continue
        for run in runs:
            if run.started_at > done.ended_at:
                found.append(
                    f"{task} started again at {run.started_at:.2f}, though it was done at "
                    f"{done.ended_at:.2f}, acknowledged at {noted_at:.2f}"
                )
    return found


def _unasked(task: TaskId, runs: list[RunRecord], asked: Asked) -> list[str]:
    found = []
    for run in runs:
        if run.payload != asked.spec.payload:
            found.append(f"{task} was started with another payload")
        if any(run.started_at > at + CANCEL_S for at in asked.cancelled_at):
            found.append(f"{task} was started at {run.started_at:.2f}, long after its cancelling")
    if asked.statuses and all(status in (400, 404, 503) for status in asked.statuses):
        found.append(f"{task} ran, though its job was refused each time: {asked.statuses}")
    return found


def _order(
    by_task: dict[TaskId, list[RunRecord]], task: TaskId, runs: list[RunRecord], spec: JobSpec
) -> list[str]:
    found = []
    first = min(run.started_at for run in runs)
    for earlier in spec.steps[task.step].depends_on:
        for number in range(spec.steps[earlier].width):
            needed = TaskId(task.job, task.occurrence, earlier, number)
            ends = [r.ended_at for r in by_task[needed] if r.how is EndKind.DONE and r.ended_at]
            if not ends or min(ends) > first:
                found.append(f"{task} was started at {first:.2f}, before {needed} was done")
    return found


def _budget(
    record: FleetRecord, task: TaskId, runs: list[RunRecord], spec: JobSpec, attempts: int
) -> list[str]:
    if spec.steps[task.step].lasting:
        return []
    failed = sorted(
        end_of.ended_at
        for _, executor, end in record.acknowledged
        if end.task == task and end.how is EndKind.FAILED
        for end_of in runs
        if end_of.run == end.run and end_of.executor == executor and end_of.ended_at is not None
    )
    if len(failed) < attempts:
        return []
    last = failed[attempts - 1]
    return [
        f"{task} was started at {run.started_at:.2f}, after {attempts} failures"
        for run in runs
        if run.started_at > last
    ]
