"""Steps for the speeds of executors: plain values, plays of a rise, and owners on virtual time."""

import asyncio
import functools
from statistics import mean
from types import SimpleNamespace

from behave import then, when

from features.support.owner_jobs import START_S, run_jobs
from features.support.speed_plays import SpeedPlay
from mustardgap.dispatchers import Dispatcher
from mustardgap.duration_corrections import DurationCorrections
from mustardgap.executor_speeds import (
    FULL_SPEED_FACTOR,
    SpeedEstimate,
    compare_speeds,
    decides_end,
    effective_cores,
    expected_s,
)
from mustardgap.job_states import Task
from mustardgap.load_features import FeatureSettings, LoadFeatures, Switch
from mustardgap.run_speeds import RunSpeed
from mustardgap.workloads import Step, TaskId
from tools.owner_troubles import TWO_STEPS
from tools.owner_worlds import QUEUE, play

SLOW_FACTOR = 0.2


@functools.cache
def _play(seed, enabled, slow, work_s):
    return SpeedPlay(seed=seed, enabled=enabled, slow=slow, work_s=work_s).run()


@when(
    "a rise comes to 24 executors, {slow:d} of them at a fifth of the speed, with tasks of "
    "{work:g} s, in {plays:d} plays"
)
def run_plays(context, slow, work, plays):
    seeds = range(1, plays + 1)
    context.without = [_play(seed, False, slow, work) for seed in seeds]
    context.results = [_play(seed, True, slow, work) for seed in seeds]


@then(
    "with speeds a share of at least {share:g} of its jobs ends in time, and no less than without"
)
def check_in_time(context, share):
    with_speeds = [result.in_time for result in context.results]
    without = [result.in_time for result in context.without]
    assert mean(with_speeds) >= share, with_speeds
    assert mean(with_speeds) >= mean(without), (with_speeds, without)


@then("no sound executor counts as slow")
def check_sound(context):
    factors = [min(result.sound_factors) for result in context.results]
    assert min(factors) >= 0.6, factors


@then("the slow executors count as slow at the end of the rise")
def check_slow(context):
    factors = [max(result.slow_factors) for result in context.results]
    assert max(factors) < FULL_SPEED_FACTOR, factors


@then("a run at {speed:g} tasks a second beside siblings {siblings} has the factor {factor}")
def check_compared(context, speed, siblings, factor):
    peers = []
    for sibling in siblings.split(", "):
        name, _, per_s = sibling.split(" ")
        peers.append(RunSpeed(name, name != "far", float(per_s), 1.0))
    found = compare_speeds(
        RunSpeed("x1", True, speed, 1.0), peers, lambda name: SLOW_FACTOR if name == "slow" else 1.0
    )
    assert (found is None) == (factor == "none"), found
    assert found is None or abs(found - float(factor)) < 1e-6, found


@then("after comparisons of {ratios} and {seconds:d} s, the factor is {factor:g}, {known}")
def check_estimate(context, ratios, seconds, factor, known):
    estimate = SpeedEstimate()
    for ratio in [] if ratios == "none" else ratios.split():
        estimate.add(float(ratio), 100.0)
    assert abs(estimate.factor_at(100.0 + seconds) - factor) < 1e-6
    assert estimate.is_known_at(100.0 + seconds) == (known == "known")


@then('step {number:d} of a job of steps "{steps}" {decides} when the job ends')
def check_decides(context, number, steps, decides):
    made, ends = [], []
    for text in steps.split():
        duration, _, earlier = text.partition("<")
        lasting = duration == "lasting"
        depends_on = (int(earlier),) if earlier else ()
        estimate_s = 0.0 if lasting else float(duration)
        made.append(Step(8, 1, 1, 0, estimate_s, depends_on, lasting=lasting))
        ends.append(estimate_s + max((ends[step] for step in depends_on), default=0.0))
    assert decides_end(made, number, max(ends)) == (decides == "decides")


@then(
    "{sound:d} executors of {cores:d} cores with the factor 1, and {slow:d} with {factor:g}, do "
    "the work of {same:d} cores"
)
def check_cores(context, sound, cores, slow, factor, same):
    executors = [(cores, 1.0)] * sound + [(cores, factor)] * slow
    assert int(effective_cores(executors)) == same


@then("a task of {work:g} s takes {takes:g} s on an executor with the factor {factor:g}")
def check_expected(context, work, takes, factor):
    assert abs(expected_s(work, factor) - takes) < 1e-6


@when(
    "{count:d} jobs of 8 tasks a step are submitted while an executor is at a fifth of the speed, "
    "and the feature is {state}"
)
def run_beside_slow(context, count, state):
    settings = FeatureSettings(executor_speeds=Switch(state))

    async def scene(world):
        await asyncio.sleep(START_S)
        slow = next(iter(world.fleet.by_address.values()))
        slow.speed = SLOW_FACTOR
        link = world.dispatcher().roster.links_by_executor[slow.entry.executor]
        spec = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(width=8),))
        await run_jobs(world, context.states, count, pause_s=0.3, spec=spec)
        now_s = link.report_clock_s
        context.factor = link.speed.factor_at(now_s) if link.speed.is_known_at(now_s) else None

    context.world = play(scene, features=LoadFeatures(settings=settings), **context.options)


@then("its speed is {learned}")
def check_learned(context, learned):
    if learned == "not known":
        assert context.factor is None, context.factor
    else:
        assert context.factor is not None and context.factor < 0.5, context.factor


@when(
    "{count:d} runs of {ran:g} s, declared as {declared:g} s, end on an executor with the factor "
    "{factor:g}"
)
def note_durations(context, count, ran, declared, factor):
    context.durations = DurationCorrections()
    admission = SimpleNamespace(note_ended=lambda queue, **durations: None)
    owner = SimpleNamespace(durations=context.durations, admission=admission)
    task = Task(task_id=TaskId("a" * 16, 0, 0, 0), step=Step(8, 1_000, 500, 0, declared))
    task.speed = RunSpeed("x1", True, 1 / ran, ran)
    link = SimpleNamespace(slow_marks=0)
    for _ in range(count):
        job = SimpleNamespace(queue_name=QUEUE.name)
        Dispatcher._note_duration(owner, link, job, task, factor=factor)


@then("the queue's tasks take as long as declared")
def check_durations(context):
    assert abs(context.durations.factor(QUEUE.name) - 1.0) < 1e-6


@when("an executor with the factor {factor:g} restarts")
def restart_slow(context, factor):
    async def scene(world):
        await asyncio.sleep(START_S)
        links = world.dispatcher().roster.links_by_executor
        executor = next(iter(world.fleet.by_address.values()))
        former = links[executor.entry.executor]
        for _ in range(10):
            former.speed.add(factor, former.report_clock_s)
        assert former.speed.factor_at(former.report_clock_s) == factor
        world.restart(executor)
        await asyncio.sleep(2)
        link = links[executor.entry.executor]
        assert link is not former and link.up
        context.factor = link.speed.factor_at(link.report_clock_s)

    context.world = play(scene, **context.options)


@then("its factor is 1 again")
def check_reset(context):
    assert context.factor == 1.0, context.factor
