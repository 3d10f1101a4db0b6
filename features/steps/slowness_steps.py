"""Steps for finding slow executors by the speed of their runs."""

from behave import then, when

from mustardgap.job_states import Task
from mustardgap.run_speeds import RunSpeed, is_slow
from mustardgap.workloads import Step, TaskId
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
