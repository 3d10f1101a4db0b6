"""What the owner of a service's queues tells the fleet's owner of the service's pool."""

import math
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from .job_states import Job
from .placing import TOO_LATE, timeliness_of
from .workloads import ExecutorId

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

# Waiting tasks count as if they had to be worked off within this time: about what a move takes
# less than, so that a pool grows only for what its own machines can't end sooner.
HORIZON_S = 0.8
# Arrivals are counted over this time. In less they are too few to tell a rise from chance; of a
# rise to 15 jobs a second this shows a third after 0.4 s and two thirds after 0.8 s.
ARRIVALS_S = 0.75


class ExecutorView(NamedTuple):
    """One executor of a pool; ``settled`` tells that its report is of this moment."""

    executor: ExecutorId
    capacity_cpu: int
    used_cpu: int
    short_runs: int
    lasting_runs: int
    settled: bool
    draining: bool
    machine: str = ""


class PoolView(NamedTuple):
    """A pool's demand, in thousandths of a core, and its executors.

    ``cramped`` tells that a lasting task finds no executor, for another reason than processor time
    perhaps, such as memory or the bound of its step on one executor. ``arriving_cpu`` is what the
    jobs would keep busy if they went on coming as they do now.
    """

    service: str
    lasting_cpu: int
    running_cpu: int
    waiting_cpu: int
    executors: list[ExecutorView]
    cramped: bool = False
    arriving_cpu: int = 0


class PoolRequest(NamedTuple):
    """What the fleet's owner wants emptied, will want soon, and has ended by its orders."""

    service: str
    closing: list[ExecutorId]
    planned: list[ExecutorId]
    gone: list[ExecutorId] = []


def view(dispatcher: "Dispatcher", service: str, wall: float) -> PoolView:
    """Sum up a pool.

    :param wall: seconds since the epoch.
    """
    lasting = running = waiting = 0
    cramped = service in dispatcher.evacuations.cramped
    for job in dispatcher.jobs_by_id.values():
        if job.service != service or job.phase:
            continue
        queue = dispatcher.queue_of(job)
        hopeless = queue is None or timeliness_of(job, queue, wall).category == TOO_LATE
        for tasks in job.steps_in_turn():
            step = tasks[0].step
            if step.filling:
                continue
            running_tasks = sum(1 for task in tasks if task.run is not None)
            waiting_tasks = sum(1 for task in tasks if task.waits)
            if step.lasting:
                lasting += step.cpu * (running_tasks + waiting_tasks)
                cramped = cramped or waiting_tasks > 0
                continue
            running += step.cpu * running_tasks
            if not hopeless:
                share = min(1.0, step.estimate_s / HORIZON_S)
                waiting += int(step.cpu * waiting_tasks * share)
    executors = _executors(dispatcher, service)
    jobs = (job for job in dispatcher.jobs_by_id.values() if job.service == service)
    arriving = arriving_cpu(jobs, wall)
    return PoolView(service, lasting, running, waiting, executors, cramped, arriving)


def arriving_cpu(jobs: Iterable[Job], wall: float) -> int:
    """What jobs would keep busy if they went on coming as in the last moments.

    What runs and waits shows a rise only as its jobs add up: jobs of two steps of 1.3 s take 2.6 s
    to show all of it, of a rise that lasts for 4.5 s, and machines for it came when it was over.

    :param wall: seconds since the epoch.
    :return: thousandths of a core, one standard deviation below what was counted: single jobs are
        no rise.
    """
    works = [job.passing_cpu_s for job in jobs if 0.0 <= wall - job.accepted_at < ARRIVALS_S]
    if not works:
        return 0
    surely = len(works) - math.sqrt(len(works))
    return int(1000 * sum(works) / len(works) * surely / ARRIVALS_S)


def _executors(dispatcher: "Dispatcher", service: str) -> list[ExecutorView]:
    views = []
    for link in dispatcher.roster.links_by_executor.values():
        if link.entry.service != service:
            continue
        runs = list(link.runs_by_key.values())
        lasting = sum(1 for run in runs if run.task.step.lasting)
        views.append(
            ExecutorView(
                executor=link.entry.executor,
                capacity_cpu=link.entry.capacity.cpu,
                used_cpu=link.used.cpu,
                short_runs=len(runs) - lasting,
                lasting_runs=lasting,
                settled=link.up and link.listed and link.audited,
                draining=link.entry.draining,
                machine=link.entry.machine,
            )
        )
    return views


def decode(values: Any) -> PoolView:
    """A view from its plain values."""
    return msgspec.convert(values, PoolView)
