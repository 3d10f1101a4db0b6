"""Steps for finding slow executors by the speed of their runs."""

import random
from collections import Counter
from statistics import median
from types import SimpleNamespace

from behave import then, when

from features.support.work_counts import counted_calls
from mustardgap.events import EventLog
from mustardgap.job_states import Task
from mustardgap.run_speeds import (
    MIN_PEER_RUN_S,
    MIN_PEERS,
    MIN_RUN_S,
    SLOW_SPEED_RATIO,
    RunSpeed,
    is_slow,
)
from mustardgap.runs import Run, RunPhase
from mustardgap.suspicions import Suspicions
from mustardgap.timers import Clock
from mustardgap.workloads import EndKind, Step, TaskId
from tools.slowness_plays import play

VERDICTS = {True: "slow", False: "sound", None: "not judged"}
FAST, SLOW = 1.0, 0.1
OWN = RunSpeed("x1", True, SLOW, 2.0)
# The run's own speed, and the executors of its siblings' runs, which are near their data.
RUNS = {
    "is as fast as its siblings": (OWN._replace(per_s=FAST), ["x2", "x3", "x4"]),
    "is ten times slower than its siblings": (OWN, ["x2", "x3", "x4"]),
    "is ten times slower, and has run for half a second": (
        OWN._replace(ran_s=0.5),
        ["x2", "x3", "x4"],
    ),
    "is ten times slower than two siblings": (OWN, ["x2", "x3"]),
    "is ten times slower than siblings on its own executor": (OWN, ["x1", "x1", "x1"]),
    "is far from its data, with siblings near theirs": (
        OWN._replace(near_data=False),
        ["x2", "x3", "x4"],
    ),
    "has no siblings": (OWN, []),
}


@when('jobs of the kind "{case}" run on 32 executors, in {plays:d} plays')
def run_plays(context, case, plays):
    context.results = [play(case, "siblings", seed) for seed in range(1, plays + 1)]


@then("in each play all {slow:d} slow executors are paused, and others at most once")
def all_found(context, slow):
    assert [result.found for result in context.results] == [slow] * len(context.results)
    assert all(result.wrongly <= 1 for result in context.results), context.results


@then("a run that {run} is {verdict}")
def judged(context, run, verdict):
    speed, executors = RUNS[run]
    siblings = []
    for number, executor in enumerate(executors):
        task = Task(task_id=TaskId("a" * 16, 0, 0, number), step=Step(4, 1, 1, 0, 1.0))
        task.speed = RunSpeed(executor, True, FAST, 1.0)
        siblings.append(task)
    assert VERDICTS[is_slow(speed, siblings)] == verdict


def _is_slow_naively(speed, siblings):
    if speed.ran_s < MIN_RUN_S:
        return False
    peers = [
        task.speed.per_s
        for task in siblings
        if task.speed is not None
        and task.speed.executor != speed.executor
        and task.speed.near_data == speed.near_data
        and task.speed.ran_s >= MIN_PEER_RUN_S
    ]
    return None if len(peers) < MIN_PEERS else speed.per_s < SLOW_SPEED_RATIO * median(peers)


def _drawn_step(draw):
    step = Step(8, 1, 1, 0, 1.0)
    tasks = []
    for number in range(draw.randint(0, 12)):
        task = Task(task_id=TaskId("a" * 16, 0, 0, number), step=step)
        if draw.random() < 0.9:
            executor, near = f"x{draw.randint(1, 4)}", draw.random() < 0.7
            speed = draw.choice((0.1, 0.2, 0.4, 0.5, 1.0))
            task.speed = RunSpeed(executor, near, speed, draw.choice((0.3, 0.5, 1.0, 2.0)))
        tasks.append(task)
    return tasks


@then("{count:d} drawn steps are judged as by comparing each run with all others")
def judged_as_naively(context, count):
    draw = random.Random(1)
    verdicts = Counter()
    for _ in range(count):
        siblings = _drawn_step(draw)
        for speed in [task.speed for task in siblings if task.speed is not None]:
            naive = _is_slow_naively(speed, siblings)
            assert is_slow(speed, siblings) is naive, (speed, siblings)
            verdicts[naive] += 1
    assert min(verdicts[verdict] for verdict in VERDICTS) > count / 10, verdicts


def _wide_step(width, executors):
    """The runs of a step that have all been at work for two seconds."""
    step = Step(width, 30, 8, 0, 15.0)
    links = [
        SimpleNamespace(
            up=True,
            entry=SimpleNamespace(executor=f"x{number}", rack="r1"),
            report_clock_s=2.0,
            slow_marks=0,
            slow_jobs=set(),
            failed_jobs=set(),
            consecutive_failures=0,
        )
        for number in range(executors)
    ]
    runs = []
    for number in range(width):
        task = Task(task_id=TaskId("a" * 16, 0, 0, number), step=step)
        task.run = Run(task=task, number=1, link=links[number % executors], now=0.0)
        task.run.phase = RunPhase.RUNNING
        task.run.first_seen_s, task.run.progress_changed_s, task.run.percent = 0.0, 2.0, 13
        runs.append(task.run)
    return runs


@when("a step of {width:d} tasks on {executors:d} executors is watched while they run")
def watch_wide_step(context, width, executors):
    context.runs = _wide_step(width, executors)


@then("{passes:d} passes over its runs and {ends:d} ends make at most {most:d} function calls")
def check_calls(context, passes, ends, most):
    tasks = [run.task for run in context.runs]
    suspicions = Suspicions(
        siblings_of=lambda task: tasks, clock=Clock(), events=EventLog(host="e1")
    )
    with counted_calls() as counts:
        for _ in range(passes):
            suspicions.update(context.runs)
            if sum(counts.values()) > most:
                break
        for run in context.runs[:ends]:
            suspicions.on_end(run.link, run.task, EndKind.DONE, run)
            if sum(counts.values()) > most:
                break
    assert sum(counts.values()) <= most, counts
