"""Summaries of a service's pool, which the owner of its queues sends to the fleet's owner."""

import math
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from .accounts import NO_GRANT, Grant, GrantNumber, PoolUse
from .codecs import convert
from .duration_corrections import DurationCorrections
from .job_states import Job
from .load_features import Feature
from .placing import TOO_LATE, timeliness_of
from .workloads import ExecutorId

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

# The demand of waiting tasks is computed as if they had to be finished within this time. It is less
# than a machine's move takes, so a pool grows only for work that its own machines can't finish
# sooner.
BACKLOG_HORIZON_S = 0.8
# The window over which arrivals are counted. A shorter one holds too few of them to tell a rise
# from chance. In this one, a rise to 15 jobs a second shows to a third after 0.4 s and to two
# thirds after 0.8 s.
ARRIVAL_WINDOW_S = 0.75
# The priority of the most urgent queues.
URGENT_PRIORITY = 0


class ExecutorView(NamedTuple):
    """One executor of a pool.

    ``up_to_date`` says whether its report is current; it isn't for executors of a failed rack.
    """

    executor: ExecutorId
    capacity_cpu: int
    used_cpu: int
    short_runs: int
    lasting_runs: int
    up_to_date: bool
    draining: bool
    machine: str = ""


class PoolView(NamedTuple):
    """A pool's demand, in thousandths of a core, and its executors.

    ``lasting_unplaced`` says that a lasting task finds no executor. The cause needn't be processor
    time; it may be memory, or the limit of its step's tasks per executor. ``arriving_cpu`` is what
    jobs would keep busy if they kept arriving at the recent rate. ``uses_by_account`` tells what
    client accounts with a limit use. ``arrivals_by_account`` is the work that arrived lately, in
    core-seconds of its scarcest resource; None where accounts have no shares. ``urgent_cpu`` is the
    demand of the most urgent queues, and ``job_span_s`` the mean duration of a job; both are set
    only where pools share capacity.
    """

    service: str
    lasting_cpu: int
    running_cpu: int
    waiting_cpu: int
    executors: list[ExecutorView]
    lasting_unplaced: bool = False
    arriving_cpu: int = 0
    uses_by_account: dict[str, PoolUse] = {}
    arrivals_by_account: dict[str, float] | None = None
    urgent_cpu: int = 0
    job_span_s: float = 0.0


class PoolRequest(NamedTuple):
    """A request of the fleet's owner to the owner of a pool.

    ``closing`` are the executors to be emptied and those that were ordered away, ``planned`` those
    that will be taken away soon, and ``gone`` those that have ended, by an order or by themselves.
    ``grant`` has the allowances of client accounts with a limit. ``excess_by_account`` has the
    fraction of an account's arriving work that exceeds its share; None says nothing.
    ``excess_number`` orders these figures. ``incoming`` is the number of machines that were ordered
    to the pool and don't work there yet.
    """

    service: str
    closing: list[ExecutorId]
    planned: list[ExecutorId]
    gone: list[ExecutorId] = []
    grant: Grant | None = None
    excess_by_account: dict[str, float] | None = None
    excess_number: GrantNumber = NO_GRANT
    incoming: int = 0


def build_pool_view(dispatcher: "Dispatcher", service: str, wall: float) -> PoolView:
    """Summarise a pool.

    :param dispatcher: the owner of the pool's queues.
    :param service: the pool's service.
    :param wall: seconds since the epoch.
    """
    lasting = running = waiting = urgent = 0
    spans_s: list[float] = []
    lasting_unplaced = service in dispatcher.evacuations.unplaced_services
    for job in dispatcher.jobs_by_id.values():
        if job.service != service or job.phase:
            continue
        queue = dispatcher.queue_of(job)
        correction = dispatcher.durations.factor(job.queue_name)
        hopeless = queue is None or timeliness_of(job, queue, wall).category == TOO_LATE
        if not job.lasting:
            spans_s.append(job.critical_path_s * correction)
        for tasks in job.ready_steps():
            step = tasks[0].step
            if step.filling:
                continue
            running_tasks = sum(1 for task in tasks if task.run is not None)
            waiting_tasks = sum(1 for task in tasks if task.is_waiting)
            if step.lasting:
                lasting += step.cpu * (running_tasks + waiting_tasks)
                lasting_unplaced = lasting_unplaced or waiting_tasks > 0
                continue
            step_cpu = step.cpu * running_tasks
            running += step_cpu
            if not hopeless:
                share = min(1.0, step.estimate_s * correction / BACKLOG_HORIZON_S)
                waiting_cpu = int(step.cpu * waiting_tasks * share)
                waiting += waiting_cpu
                step_cpu += waiting_cpu
            if queue is not None and queue.priority == URGENT_PRIORITY:
                urgent += step_cpu
    executors = _executor_views(dispatcher, service)
    jobs = (job for job in dispatcher.jobs_by_id.values() if job.service == service)
    arriving = arriving_cpu(jobs, wall, dispatcher.durations)
    uses = dispatcher.account_limits.uses(service)
    view = PoolView(
        service=service,
        lasting_cpu=lasting,
        running_cpu=running,
        waiting_cpu=waiting,
        executors=executors,
        lasting_unplaced=lasting_unplaced,
        arriving_cpu=arriving,
        uses_by_account=uses,
        arrivals_by_account=dispatcher.account_shares.arrivals(service),
    )
    if not dispatcher.features.has(Feature.ROOM_SHARING):
        return view
    span_s = sum(spans_s) / len(spans_s) if spans_s else 0.0
    return view._replace(urgent_cpu=urgent, job_span_s=round(span_s, 1))


def arriving_cpu(jobs: Iterable[Job], wall: float, durations: DurationCorrections) -> int:
    """Estimate what jobs would keep busy if they kept arriving at the recent rate.

    Running and waiting work shows a rise only as jobs add up. Jobs of two steps of 1.3 s need 2.6 s
    to show all of it; in a rise that lasted for 4.5 s, the machines for it arrived when it was
    over.

    :param wall: seconds since the epoch.
    :param durations: corrects the declared durations.
    :return: thousandths of a core, from one standard deviation below the number of arrivals, so
        that single jobs don't count as a rise.
    """
    job_cpu_s = [
        job.batch_cpu_s * durations.factor(job.queue_name)
        for job in jobs
        if 0.0 <= wall - job.accepted_at < ARRIVAL_WINDOW_S
    ]
    if not job_cpu_s:
        return 0
    lower_bound = len(job_cpu_s) - math.sqrt(len(job_cpu_s))
    return int(1000 * sum(job_cpu_s) / len(job_cpu_s) * lower_bound / ARRIVAL_WINDOW_S)


def _executor_views(dispatcher: "Dispatcher", service: str) -> list[ExecutorView]:
    views = []
    for link in dispatcher.roster.links_by_executor.values():
        if link.entry.service != service:
            continue
        runs = list(link.runs_by_key.values())
        lasting = sum(1 for run in runs if run.task.step.lasting)
        # One that has more ends to list isn't empty: they would be lost with it.
        unlisted = 0 if link.accounts.lists_all_ends else 1
        views.append(
            ExecutorView(
                executor=link.entry.executor,
                capacity_cpu=link.entry.capacity.cpu,
                used_cpu=link.used.cpu,
                short_runs=len(runs) - lasting + unlisted,
                lasting_runs=lasting,
                up_to_date=link.up and link.listed and link.has_reported and not link.rack_failed,
                draining=link.entry.draining,
                machine=link.entry.machine,
            )
        )
    return views


def encode_request(request: PoolRequest) -> tuple[Any, ...]:
    """Return a request as plain values; without later fields, older daemons can read it as well."""
    return _without_defaults(request, request._field_defaults, PoolRequest._fields.index("grant"))


def encode_view(view: PoolView) -> tuple[Any, ...]:
    """Return a view as plain values; without later fields, older daemons can read it as well."""
    first_optional = PoolView._fields.index("uses_by_account")
    return _without_defaults(view, view._field_defaults, first_optional)


def _without_defaults(
    values: tuple[Any, ...], defaults: Mapping[str, Any], first_optional: int
) -> tuple[Any, ...]:
    """Drop the last values that are at their defaults, up to the first optional field."""
    count = len(values)
    last_defaults = list(defaults.values())
    while count > first_optional and values[count - 1] == last_defaults[count - 1 - len(values)]:
        count -= 1
    return values[:count]


def decode(values: Any) -> PoolView:
    """Decode a view from plain values.

    :raises Undecodable: what is wrong with them.
    """
    return convert(values, PoolView)
