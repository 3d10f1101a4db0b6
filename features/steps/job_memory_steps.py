"""Steps of the feature on the memory that an owner's jobs may take."""

from types import SimpleNamespace

from behave import given, then, when

from mustardgap.job_memory import HeldJobs, JobMemory
from mustardgap.job_states import Job, JobPhase, StoredJob
from mustardgap.timers import Clock
from mustardgap.workloads import JobSpec, Step


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
        jobs.append(job)
    context.taken = len(jobs)
