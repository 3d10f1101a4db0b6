"""Steps for learning how long a queue's tasks take."""

from types import SimpleNamespace

from behave import then, when

from mustardgap.dispatchers import Dispatcher
from mustardgap.duration_corrections import DurationCorrections
from mustardgap.job_states import Job, StoredJob, Task
from mustardgap.pool_views import ARRIVAL_WINDOW_S, arriving_cpu
from mustardgap.run_speeds import RunSpeed
from mustardgap.workloads import JobSpec, Step, TaskId
from tools.owner_worlds import QUEUE

NOW = 1000.0
# Of 16 jobs, one standard deviation below their number counts: 12, in 0.75 s 16 a second.
JOBS = 16


@when("a queue's owner has seen {count:d} tasks of {true:g} s that were declared as {declared:g} s")
def seen_tasks(context, count, true, declared):
    context.durations = DurationCorrections()
    see_more(context, count, true, declared)


@when("the owner has then seen {count:d} tasks of {true:g} s that were declared as {declared:g} s")
def see_more(context, count, true, declared):
    for _ in range(count):
        context.durations.note(QUEUE.name, declared_s=declared, true_s=true)


@when("16 jobs of 4 tasks of a core, declared as {declared:g} s, came in the last 0.75 s")
def jobs_came(context, declared):
    spec = JobSpec("p", (Step(4, 1_000, 500, 0, declared),))
    jobs = [
        Job(
            job_id=str(number),
            stored=StoredJob(QUEUE.name, QUEUE.service, NOW - ARRIVAL_WINDOW_S / 2, spec),
        )
        for number in range(JOBS)
    ]
    context.cores = arriving_cpu(jobs, NOW, context.durations) / 1000


@then("the pool's arrivals count as {cores:g} cores")
def arrivals_count(context, cores):
    assert abs(context.cores - cores) <= 0.1 * cores, context.cores


@when("a task that was declared as 1 s ends after 3 s {where}")
def task_ends(context, where):
    context.durations = DurationCorrections()
    task = Task(task_id=TaskId("a" * 16, 0, 0, 0), step=Step(1, 1_000, 500, 0, 1.0))
    # A run that resumed from a checkpoint has no speed.
    if where != "as the rest of a longer run":
        task.speed = RunSpeed("x1", True, 1 / 3, 3.0)
    link = SimpleNamespace(slow_marks=1 if where == "on an executor marked as slow" else 0)
    admission = SimpleNamespace(note_ended=lambda queue, *, declared_s, true_s: None)
    owner = SimpleNamespace(durations=context.durations, admission=admission)
    for _ in range(100):
        Dispatcher._note_duration(owner, link, SimpleNamespace(queue_name=QUEUE.name), task)


@then("the queue's owner has learned {what}")
def learned(context, what):
    factor = context.durations.factor(QUEUE.name)
    assert (factor > 2) if what == "a lot" else (factor == 1.0), factor
