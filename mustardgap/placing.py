"""Orders waiting jobs by urgency and chooses executors for their tasks."""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from .executor_links import ExecutorLink
from .job_states import Job, Task
from .policies import WHOLE, Mechanism, Policy
from .workloads import Queue, Step

# A job that ends within this many times its objective still has some value. A later one has none,
# but has been accepted and still has to end.
LATE_FACTOR = 3.0
# A job with less slack than this is started first, because run time estimates are off by tenths of
# a second.
CRITICAL_SLACK_S = 0.3
# Where jobs are admitted by a forecast, a late job with less slack than this until its end is of no
# use goes before the newest job of its account.
URGENT_SLACK_S = 1.5
# How long an executor is restricted after a failed run. Shorter than the 3 s for which a task may
# lie idle, since all executors may be restricted at once.
DISTRUST_S = 1.5

# Returns how slow an executor is; the smallest value goes first.
SpeedClassOf = Callable[[ExecutorLink], int]


class PlacementKey(NamedTuple):
    """Sort key of a job; the smallest goes first.

    Jobs beyond their account's share yield to all others that still have some value.
    """

    yields: bool
    category: int
    priority: int
    can_wait: bool
    rank: float


# Categories of jobs, in the order in which they get capacity. LASTING are those with tasks that run
# until they are cancelled.
LASTING, IN_TIME, LATE, TOO_LATE = range(4)


class Timeliness(NamedTuple):
    """How a job compares with its objective.

    ``category`` is IN_TIME, LATE or TOO_LATE, ``slack_s`` how long the job may still wait, and
    ``work`` the core-seconds that it still needs.
    """

    category: int
    slack_s: float
    work: float


def objective_s(job: Job, queue: Queue) -> float:
    """The seconds within which a job should be done."""
    return objective_of(job.critical_path_s, queue)


def objective_of(critical_path_s: float, queue: Queue) -> float:
    """The seconds within which a job with a critical path should be done."""
    return queue.stretch * critical_path_s + queue.objective_s


def timeliness_of(job: Job, queue: Queue, wall: float) -> Timeliness:
    """Assess whether a job can still be done within its objective.

    :param wall: seconds since the epoch.
    """
    chain, work = job.remaining()
    objective = objective_s(job, queue)
    slack = job.accepted_at + objective - wall - chain
    if slack >= 0:
        return Timeliness(IN_TIME, slack, work)
    if slack >= -(LATE_FACTOR - 1) * objective:
        return Timeliness(LATE, slack, work)
    return Timeliness(TOO_LATE, slack, work)


def sort_for_placement(
    jobs: Iterable[Job],
    queue_of: Callable[[Job], Queue | None],
    cores_by_service: Mapping[str, float],
    wall: float,
    policy: Policy = WHOLE,
    weight_of: Callable[[str], float] = lambda account: 1.0,
    cores_per_mb_by_service: Mapping[str, float] | None = None,
    *,
    admitted: bool = False,
) -> list[Job]:
    """Sort jobs by the order in which they get capacity.

    Jobs with lasting tasks come first, then jobs that can be in time, then late ones. Without
    overload, the job with the least work left goes first, unless another has hardly any slack: so
    most jobs, also wide ones, are in time. Under overload, this order would starve wide jobs and
    start each job when its time is nearly over. Then jobs that have begun go first, the one with
    the least slack leading, followed by those that haven't begun: client accounts take turns by
    their weights, and the newest job of an account goes first, whatever its size. Where jobs are
    admitted by a forecast, those that are about to be too late to be of use go before the newest.
    Jobs that are marked as excess go after all these, before those that are too late for any value.

    :param jobs: the jobs that wait for capacity.
    :param queue_of: returns a job's queue, None if it isn't configured any more.
    :param cores_by_service: the cores of each service's usable executors.
    :param wall: seconds since the epoch.
    :param policy: the mechanisms that are enabled.
    :param weight_of: returns an account's share when everything is full.
    :param cores_per_mb_by_service: set where accounts share capacity over all pools: the cores that
        each service's executors have for each MB of memory. Work is then counted by its scarcest
        resource instead of processor time, and begun jobs go by their accounts' turns as well.
    :param admitted: whether jobs are admitted by a forecast of their end.
    """
    ordered = list(jobs)
    timeliness_by_job = {
        job.job_id: timeliness_of(job, queue, wall)
        for job in ordered
        if not job.lasting and (queue := queue_of(job)) is not None
    }
    accounts_share = cores_per_mb_by_service is not None
    if cores_per_mb_by_service is not None:
        for job in ordered:
            if (timeliness := timeliness_by_job.get(job.job_id)) is not None:
                memory_work = job.remaining_memory_mb_s() * cores_per_mb_by_service.get(
                    job.service, 0.0
                )
                if memory_work > timeliness.work:
                    timeliness_by_job[job.job_id] = timeliness._replace(work=memory_work)
    overloaded = set()
    if policy.has(Mechanism.OVERLOAD_ORDER):
        overloaded = _overloaded_services(ordered, timeliness_by_job, cores_by_service)
    urgent = _urgent_jobs(ordered, queue_of, timeliness_by_job) if admitted else {}
    turns = fair_turns(
        [job for job in ordered if job.service in overloaded],
        timeliness_by_job,
        weight_of,
        urgent,
        rank_begun=accounts_share,
    )

    def key(job: Job) -> PlacementKey:
        queue = queue_of(job)
        if queue is None:
            return PlacementKey(True, TOO_LATE, 0, True, job.accepted_at)
        if job.lasting:
            return PlacementKey(False, LASTING, queue.priority, False, job.accepted_at)
        timeliness = timeliness_by_job[job.job_id]
        yields = bool(job.excess) or timeliness.category == TOO_LATE
        if job.job_id in urgent:
            if job.service in overloaded and (accounts_share or not job.has_started):
                rank = turns[job.job_id]
                return PlacementKey(yields, IN_TIME, queue.priority, not accounts_share, rank)
            rank = urgent[job.job_id] - URGENT_SLACK_S
            return PlacementKey(yields, IN_TIME, queue.priority, False, rank)
        if job.service in overloaded and timeliness.category == IN_TIME:
            if accounts_share:
                return PlacementKey(yields, IN_TIME, queue.priority, False, turns[job.job_id])
            rank = turns[job.job_id] if not job.has_started else timeliness.slack_s
            return PlacementKey(yields, IN_TIME, queue.priority, not job.has_started, rank)
        critical = timeliness.category == IN_TIME and timeliness.slack_s < CRITICAL_SLACK_S
        return PlacementKey(
            yields, timeliness.category, queue.priority, not critical, timeliness.work
        )

    return sorted(ordered, key=key)


def fair_turns(
    jobs: Iterable[Job],
    timeliness_by_job: Mapping[str, Timeliness],
    weight_of: Callable[[str], float],
    urgent: Mapping[str, float] | None = None,
    *,
    rank_begun: bool = False,
) -> dict[str, float]:
    """Return the turns of jobs that haven't begun, the smallest first.

    This is start-time fair queueing (Goyal, Vin and Cheng, 1996): a job's turn comes when its
    account has had the work of its earlier jobs, by its weight. An account that floods a pool waits
    for itself; a small account beside it doesn't. The newest job of an account goes first, as the
    others are nearer to being late.

    Begun jobs that all go first would hold a pool for the length of a job when it loses machines
    during a flood. If they are ranked too, they go first within their account only.

    :param jobs: the jobs of overloaded services.
    :param timeliness_by_job: the remaining work of each job that isn't lasting.
    :param weight_of: returns an account's weight.
    :param urgent: the seconds that jobs may still wait that go before the newest of their account.
    :param rank_begun: whether begun jobs get turns, too.
    """
    urgent = urgent or {}
    work_by_account: dict[tuple[str, str], float] = {}

    def yields(job: Job) -> bool:
        # Jobs that are served after all others mustn't use up the turns of their account's others.
        is_late = timeliness_by_job[job.job_id].category != IN_TIME and job.job_id not in urgent
        return rank_begun and (bool(job.excess) or is_late)

    def order(job: Job) -> tuple[bool, bool, bool, float]:
        if job.has_started:
            return yields(job), False, False, timeliness_by_job[job.job_id].slack_s
        rank = urgent.get(job.job_id, -job.accepted_at)
        return yields(job), True, job.job_id not in urgent, rank

    turns: dict[str, float] = {}
    for job in sorted((job for job in jobs if job.job_id in timeliness_by_job), key=order):
        key = (job.service, job.account)
        work = work_by_account.get(key, 0.0)
        if rank_begun or not job.has_started:
            turns[job.job_id] = work / weight_of(job.account)
        work_by_account[key] = work + timeliness_by_job[job.job_id].work
    return turns


def _urgent_jobs(
    jobs: Iterable[Job],
    queue_of: Callable[[Job], Queue | None],
    timeliness_by_job: Mapping[str, Timeliness],
) -> dict[str, float]:
    """The late jobs that soon can't end while that is of use, and for how long they may wait."""
    urgent = {}
    for job in jobs:
        timeliness = timeliness_by_job.get(job.job_id)
        queue = queue_of(job)
        if timeliness is None or queue is None or timeliness.category != LATE:
            continue
        slack_s = timeliness.slack_s + (LATE_FACTOR - 1) * objective_s(job, queue)
        if slack_s < URGENT_SLACK_S:
            urgent[job.job_id] = slack_s
    return urgent


def _overloaded_services(
    jobs: Iterable[Job],
    timeliness_by_job: Mapping[str, Timeliness],
    cores_by_service: Mapping[str, float],
) -> set[str]:
    """The services whose waiting jobs can't all be in time.

    A service is overloaded when its waiting work exceeds what its cores do within the mean slack of
    the jobs that wait.
    """
    work: Counter[str] = Counter()
    slack: Counter[str] = Counter()
    waiting: Counter[str] = Counter()
    for job in jobs:
        timeliness = timeliness_by_job.get(job.job_id)
        if timeliness is None or timeliness.category != IN_TIME or job.has_started:
            continue
        work[job.service] += timeliness.work  # type: ignore[assignment]
        slack[job.service] += timeliness.slack_s  # type: ignore[assignment]
        waiting[job.service] += 1
    return {
        service
        for service, count in waiting.items()
        if work[service] > cores_by_service.get(service, 0.0) * slack[service] / count
    }


def usable(link: ExecutorLink, step: Step, service: str) -> bool:
    """Whether an executor accepts new runs of tasks that aren't suspected of crashes."""
    return not link.reserved and not link.on_trial and is_eligible(link, step, service)


def is_eligible(link: ExecutorLink, step: Step, service: str) -> bool:
    """Whether an executor accepts new runs of a step, even if it is reserved for suspects."""
    return (
        link.up
        and link.listed
        and link.room_known
        and not link.closing
        and link.incarnation_usable
        and not link.entry.draining
        and link.entry.readable
        and link.entry_record is not None
        and link.entry_record.durable
        and link.entry.service == service
        and (not step.requires or step.requires in link.entry.labels)
    )


def outside_failed_racks(
    links: Sequence[ExecutorLink], accepts: Callable[[ExecutorLink], bool] | None = None
) -> list[ExecutorLink]:
    """Leave out the executors of failed or suspected racks, unless no others accept the task.

    An executor of a dark rack counts as silent after 1.4 to 2 s, and looks the emptiest meanwhile.
    A task started there waits until the executor's leases have lapsed.

    :param links: the executors to choose from.
    :param accepts: whether an executor accepts the task; without it, all do.
    """
    outside = [link for link in links if not link.rack_doubtful]
    if len(outside) < len(links) and any(accepts is None or accepts(link) for link in outside):
        return outside
    return list(links)


def choose_executors(
    tasks: Iterable[Task],
    siblings: Sequence[Task],
    links: Sequence[ExecutorLink],
    departing: frozenset[str],
    now: float,
    *,
    spread: bool = False,
    speed_class_of: SpeedClassOf | None = None,
    over_racks: bool = False,
) -> Iterator[tuple[Task, ExecutorLink]]:
    """Choose executors for the tasks of one step, one by one, until a task fits on none.

    The caller must start each task before it asks for the next choice. Equal tasks share one
    ranking, since the best executor for one stays the best for the next while it has capacity.
    With a ranking for each task, a pass over 180 jobs and 180 executors takes 365 ms.

    :param tasks: the waiting tasks of the step.
    :param siblings: all tasks of the step, to apply its limit of tasks on one executor.
    :param links: the executors to choose from.
    :param departing: the executors that will be removed soon.
    :param now: monotonic seconds.
    :param spread: whether executors crash often, so that the least loaded ones are preferred.
    :param speed_class_of: returns how slow an executor is, the fastest first; None where that
        doesn't decide when the job ends.
    :param over_racks: whether the lasting tasks of a step are spread over racks.
    :return: the tasks that fit, each with its executor.
    """
    counts = Counter(t.run.link.entry.executor for t in siblings if t.run is not None)
    ranking: _Ranking | None = None
    for task in tasks:
        # A task that failed or stalled has its own executors to avoid, so it gets its own ranking.
        # Each start of a task that is spread over racks changes the ranking for the next.
        spreads_racks = over_racks and task.step.lasting and task.step.anti_affinity > 0
        shares_ranking = not task.avoided and not task.failures and not spreads_racks
        if ranking is None or not shares_ranking:
            rack_uses = _rack_uses(task.step, siblings) if spreads_racks else Counter()
            ranking = _Ranking(links, task, departing, spread, rack_uses, speed_class_of)
        link = ranking.best(task, counts, now)
        if link is None:
            return
        counts[link.entry.executor] += 1
        if not shares_ranking:
            ranking = None
        yield task, link


def choose_executor(
    task: Task,
    siblings: Sequence[Task],
    links: Sequence[ExecutorLink],
    departing: frozenset[str],
    now: float,
) -> ExecutorLink | None:
    """Choose an executor for one task as ``choose_executors`` does, None if it fits on none."""
    for _, link in choose_executors([task], siblings, links, departing, now):
        return link
    return None


class _Ranking:
    """The executors with enough free capacity for a task, ordered by preference."""

    def __init__(
        self,
        links: Sequence[ExecutorLink],
        task: Task,
        departing: frozenset[str],
        spread: bool,
        rack_uses: Counter[str],
        speed_class_of: SpeedClassOf | None = None,
    ) -> None:
        room = task.step.room
        fitting = [link for link in links if link.holds(room)]
        self._speed_class_of = speed_class_of
        self._preference_of = lambda link: _preference(
            link, task, departing, spread, rack_uses, speed_class_of
        )
        # A heap with the best executor first; of equal ones, the last.
        self._heap = [(self._preference_of(link), -n, link) for n, link in enumerate(fitting)]
        heapq.heapify(self._heap)

    def best(self, task: Task, counts: Counter[str], now: float) -> ExecutorLink | None:
        """The best executor that still has capacity for the task, None if there is none."""
        step = task.step
        room = step.room
        while self._heap:
            preference, number, link = self._heap[0]
            if self._speed_class_of is not None:
                # The class of an executor of unknown speed rises as it gets runs.
                current = self._preference_of(link)
                if current.speed_class > preference.speed_class:
                    heapq.heapreplace(self._heap, (current, number, link))
                    continue
            if (
                link.holds(room)
                and (not step.anti_affinity or counts[link.entry.executor] < step.anti_affinity)
                and _trusted(link, task, now)
            ):
                return link
            heapq.heappop(self._heap)
        return None


class _Preference(NamedTuple):
    """Sort key of an executor; the smallest goes first."""

    avoided: bool
    slow: bool
    speed_class: int
    departure: bool
    far_from_data: bool
    rack_use: int
    without_lasting: bool
    with_lasting: bool
    fullness: int


def _trusted(link: ExecutorLink, task: Task, now: float) -> bool:
    # An executor whose last run failed may fail every run. Until a run succeeds, it gets one run at
    # a time, and only of a task without failures. So a faulty executor costs a job at most one
    # attempt, and a sound one that ran a faulty job is back after one success. The restriction
    # expires, because tasks with failures would wait for ever if all executors had failed a run.
    if not _is_distrusted(link, now):
        return True
    return not link.runs_by_key and not task.failures


def _is_distrusted(link: ExecutorLink, now: float) -> bool:
    return link.consecutive_failures > 0 and now - link.failed_at <= DISTRUST_S


def _rack_uses(step: Step, siblings: Sequence[Task]) -> Counter[str]:
    """How many machines' worth of a step's tasks each rack has, by the step's anti-affinity.

    Counted in machines and not in tasks, the spread needs no more machines than the step does: a
    second task goes to a machine that may still take one before another rack gets its first.
    """
    tasks = Counter(task.run.link.entry.rack for task in siblings if task.run is not None)
    return Counter({rack: count // step.anti_affinity for rack, count in tasks.items()})


def _preference(
    link: ExecutorLink,
    task: Task,
    departing: frozenset[str],
    spread: bool,
    rack_uses: Counter[str],
    speed_class_of: SpeedClassOf | None = None,
) -> _Preference:
    step = task.step
    free_cpu = link.entry.capacity.cpu - link.used.cpu
    leaves_soon = link.entry.executor in departing
    return _Preference(
        link.entry.executor in task.avoided or link.entry.machine in task.avoided,
        link.slow_marks > 0,
        speed_class_of(link) if speed_class_of is not None else 0,
        # Lasting tasks avoid departing executors; short ones prefer them.
        leaves_soon if step.lasting else not leaves_soon and bool(departing),
        bool(step.data_rack) and link.entry.rack != step.data_rack,
        # Replicas of a lasting step are spread over racks; 0 for others.
        rack_uses[link.entry.rack],
        # Lasting tasks share few machines, so that the others can leave the pool.
        step.lasting and not link.lasting_runs,
        # While executors crash often, short tasks avoid those with lasting tasks.
        spread and not step.lasting and link.lasting_runs > 0,
        # The fullest executor that fits, so that empty machines can leave the pool. While executors
        # crash often, the emptiest: a task that crashes its executor ends all other runs there.
        -free_cpu if spread and not step.lasting else free_cpu,
    )


def choose_gang_executors(
    tasks: Sequence[Task],
    links: Sequence[ExecutorLink],
    now: float,
    speed_class_of: SpeedClassOf | None = None,
) -> list[ExecutorLink] | None:
    """Choose executors for all tasks of a gang.

    Executors whose last run failed are used only if it doesn't fit on the others, as one failed run
    is the end of them all. But it doesn't wait for a success there: another task that could have
    one may never come.

    :param tasks: the tasks of the gang, all of one step.
    :param links: the executors to choose from.
    :param now: monotonic seconds.
    :param speed_class_of: returns how slow an executor is; a gang ends with its slowest task.
    :return: one link per task, in the order of the tasks; None if they don't all fit.
    """
    sound = [link for link in links if not link.consecutive_failures]
    chosen = _choose_by_rack(tasks, sound, speed_class_of)
    if chosen is not None or len(sound) == len(links):
        return chosen
    return _choose_by_rack(tasks, [k for k in links if not _is_distrusted(k, now)], speed_class_of)


def _choose_by_rack(
    tasks: Sequence[Task],
    links: Sequence[ExecutorLink],
    speed_class_of: SpeedClassOf | None,
) -> list[ExecutorLink] | None:
    """Choose executors of one rack for a gang; of several, if none holds it and its step allows."""
    step = tasks[0].step
    racks = sorted({link.entry.rack for link in links})
    groups = [[link for link in links if link.entry.rack == rack] for rack in racks]
    if step.data_rack:
        groups.sort(key=lambda group: group[0].entry.rack != step.data_rack)
    if not step.same_rack or len(groups) > 1:
        groups.append(list(links))
    for group in groups:
        chosen = _fit_gang(tasks, group, speed_class_of)
        if chosen is not None:
            return chosen
    return None


def _fit_gang(
    tasks: Sequence[Task],
    links: Sequence[ExecutorLink],
    speed_class_of: SpeedClassOf | None,
) -> list[ExecutorLink] | None:
    step = tasks[0].step
    free = {link.entry.executor: link.free for link in links}
    counts: Counter[str] = Counter()
    chosen: list[ExecutorLink] = []
    for _ in tasks:
        fitting = [
            link
            for link in links
            if free[link.entry.executor].holds(step.room)
            and (not step.anti_affinity or counts[link.entry.executor] < step.anti_affinity)
        ]
        if not fitting:
            return None
        link = min(
            fitting,
            key=lambda link: (
                speed_class_of(link) if speed_class_of is not None else 0,
                free[link.entry.executor].cpu,
            ),
        )
        free[link.entry.executor] = free[link.entry.executor].minus(step.room)
        counts[link.entry.executor] += 1
        chosen.append(link)
    return chosen
