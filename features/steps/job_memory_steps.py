"""Steps of the feature on the memory that an owner's jobs may take."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from features.support.owner_jobs import START_S, job_id_of
from mustardgap.job_memory import HeldJobs, JobMemory
from mustardgap.job_states import Job, JobPhase, StoredJob
from mustardgap.timers import Clock
from mustardgap.workloads import JobSpec, Step
from tools.owner_troubles import TWO_STEPS
from tools.owner_worlds import play


class _Clock(Clock):
    now = 100.0

    def monotonic(self):
        return self.now


def _spec(tasks, steps):
    widths = [tasks - steps + 1] + [1] * (steps - 1)
    return SimpleNamespace(steps=[SimpleNamespace(width=width) for width in widths], repeats=0)


@given(
    "an owner on a machine of {megabytes:d} MB that holds small jobs of {small} "
    "and large ones of {large}"
)
def given_owner(context, megabytes, small, large):
    held = HeldJobs(*(int(text.replace(",", "")) for text in (small, large)))
    context.memory = JobMemory(memory_mb=megabytes, held=lambda: held, clock=_Clock())


@when("a job of {tasks:d} tasks in {steps:d} steps is submitted")
def submit(context, tasks, steps):
    context.outcome = "taken" if context.memory.take(_spec(tasks, steps)) else "refused"


@then("the owner's memory is {outcome}")
def check_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@when("{count:d} jobs of {tasks:d} tasks are submitted at once")
def submit_many(context, count, tasks):
    context.taken = sum(context.memory.take(_spec(tasks, 1)) for _ in range(count))


@then("{count:d} of them are accepted")
def check_count(context, count):
    assert context.taken == count, context.taken


@when(
    "{count:d} jobs of {tasks:d} tasks come one a second to an owner on a machine of "
    "{megabytes:d} MB, each ended before the next"
)
def end_one_by_one(context, count, tasks, megabytes):
    clock, jobs = _Clock(), []
    memory = JobMemory(
        memory_mb=megabytes,
        held=lambda: HeldJobs.of(job.memory_bytes for job in jobs),
        clock=clock,
    )
    spec = JobSpec("payload", (Step(tasks, 1000, 500, 0, 0.6),))
    for number in range(count):
        clock.now += 1.0
        if not memory.take(spec):
            continue
        job = Job(job_id=f"{number:016x}", stored=StoredJob("queue", "service", clock.now, spec))
        job.mark_done(job.tasks())
        job.end(JobPhase.COMPLETED, clock.now)
        job.durable_phase = job.phase
        assert job.may_release_tasks
        job.release_tasks()
        jobs.append(job)
    context.taken = len(jobs)


@when("{count:d} jobs of two steps have {ended}, and {after:g} s pass, with their owner {which}")
def end_jobs(context, count, ended, after, which):
    ids = [job_id_of(number) for number in range(count)]

    async def scene(world):
        await asyncio.sleep(START_S)
        for job_id in ids:
            assert await world.submit_until_accepted(job_id, TWO_STEPS)
        if ended == "been cancelled early":
            await asyncio.sleep(0.3)
            for job_id in ids:
                assert await world.cancel(job_id, world.owner()) == 200
        else:
            for job_id in ids:
                assert await world.final_state(job_id, 30) == "completed"
        if which == "that took over at once":
            world.kill(world.owner())
        await asyncio.sleep(after)
        if which == "that took over later":
            world.kill(world.owner())
            await asyncio.sleep(4)
        context.sizes = list(world.dispatcher().job_sizes())
        context.states = {await world.state(job_id, world.owner()) for job_id in ids}

    context.world = play(scene, **context.options)


@then("the owner counts {size:d} bytes for each of them, and says of each that it is {state}")
def counted_by_steps(context, size, state):
    assert set(context.sizes) == {size} and len(context.sizes) == 6, context.sizes
    assert context.states == {state}, context.states
