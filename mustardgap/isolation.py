"""Starts tasks that may crash their executors apart from others, on executors kept for them."""

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import TYPE_CHECKING, NamedTuple

from .crashes import is_suspect, must_run_alone
from .executor_links import ExecutorLink
from .job_states import Job, Task
from .placing import serves
from .timers import Clock
from .workloads import TaskId

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

# While suspects wait, one executor of so many of a pool is kept for them.
EXECUTORS_PER_RESERVED = 8
# A pool of fewer executors keeps none, until a suspect has waited for long.
MIN_POOL_EXECUTORS = 3
# For suspects that last, one each is kept, up to one of so many.
EXECUTORS_PER_LASTING_SUSPECT = 4
# A suspect that has waited for so long is started beside others: a task may not lie idle for 3 s.
MAX_ISOLATION_WAIT_S = 2.0


class _SuspectDemand(NamedTuple):
    """The suspects of a service that wait: for how long one has, and how many of them last."""

    longest_wait_s: float
    lasting: int


class Isolation:
    """Chooses executors for tasks under which executors have crashed.

    After one crash a task is started where all others are at work, so that a further crash tells
    whether it is the cause, and beside other suspects only, so that nothing else is lost. After two
    it has an executor to itself, or beside tasks that last if there is no other. Started among
    others, each crash would make suspects of them, and take their work.

    :param dispatcher: the owner of the tasks.
    :param clock: the clocks to read.
    """

    def __init__(self, *, dispatcher: "Dispatcher", clock: Clock) -> None:
        self._shard = dispatcher
        self._clock = clock
        self._waiting_since: dict[TaskId, float] = {}

    def look(self, jobs: Iterable[Job]) -> None:
        """Keep executors for the suspects that wait, and let those go that none needs."""
        waiting_by_service = self._waiting_by_service(jobs)
        links = self._shard.roster.links_by_executor.values()
        for service, waiting in waiting_by_service.items():
            _reserve((link for link in links if link.entry.service == service), waiting)
        for link in links:
            if link.reserved and link.entry.service not in waiting_by_service:
                link.reserved = link.on_trial

    def choose(
        self, task: Task, job: Job, siblings: Sequence[Task], links: Sequence[ExecutorLink]
    ) -> ExecutorLink | None:
        """Choose an executor for a suspect, None while it had better wait.

        :param siblings: all tasks of its step, for the step's bound of tasks on one executor.
        :param links: executors that its queue's policy allows.
        """
        step = task.step
        counts = Counter(t.run.link.entry.executor for t in siblings if t.run is not None)
        fitting = [
            link
            for link in links
            if serves(link, step, job.service)
            and link.holds(step.room)
            and not link.on_trial
            and all(run.at_work for run in link.runs_by_key.values())
            and (not step.anti_affinity or counts[link.entry.executor] < step.anti_affinity)
        ]
        has_waited_long = self._has_waited_long(task)
        if must_run_alone(task):
            preferred = [link for link in fitting if not link.runs_by_key]
            fallback = [link for link in fitting if len(link.runs_by_key) == link.lasting_runs]
        else:
            preferred = [link for link in fitting if _runs_suspects_only(link)]
            fallback = fitting
        if not preferred and has_waited_long:
            preferred = fallback
        return min(preferred, key=lambda link: _preference(link, task), default=None)

    def links_for_gang(
        self, tasks: Sequence[Task], job: Job, links: Sequence[ExecutorLink]
    ) -> list[ExecutorLink]:
        """The executors for a gang with a suspect: empty ones, unless it has waited for long."""
        serving = [link for link in links if serves(link, tasks[0].step, job.service)]
        if any(self._has_waited_long(task) for task in tasks):
            return serving
        return [link for link in serving if not link.runs_by_key]

    def _has_waited_long(self, task: Task) -> bool:
        now = self._clock.monotonic()
        return now - self._waiting_since.get(task.task_id, now) > MAX_ISOLATION_WAIT_S

    def note_started(self, task: Task, link: ExecutorLink) -> None:
        """Note that a suspect has been started on an executor."""
        link.trial = task.run

    def _waiting_by_service(self, jobs: Iterable[Job]) -> dict[str, _SuspectDemand]:
        now = self._clock.monotonic()
        waiting_by_service: dict[str, _SuspectDemand] = {}
        since_by_task: dict[TaskId, float] = {}
        for job in jobs:
            for task in _waiting_suspects(job):
                since = self._waiting_since.get(task.task_id, now)
                since_by_task[task.task_id] = since
                earlier = waiting_by_service.get(job.service, _SuspectDemand(0.0, 0))
                waiting_by_service[job.service] = _SuspectDemand(
                    max(earlier.longest_wait_s, now - since), earlier.lasting + task.step.lasting
                )
        self._waiting_since = since_by_task
        return waiting_by_service


def _reserve(links: Iterable[ExecutorLink], waiting: _SuspectDemand) -> None:
    """Keep as many of a pool's executors for its suspects as these need, those with least work."""
    available = [link for link in links if link.up and link.listed and not link.closing]
    wanted = math.ceil(len(available) / EXECUTORS_PER_RESERVED)
    # A task that lasts serves its users, and may not wait for its turn among many.
    wanted = max(wanted, min(waiting.lasting, len(available) // EXECUTORS_PER_LASTING_SUSPECT))
    # The longer one has waited, the more are kept: those kept first may each be taken for long.
    wanted = min(
        wanted + int(waiting.longest_wait_s / MAX_ISOLATION_WAIT_S), max(len(available) // 2, 1)
    )
    if len(available) < MIN_POOL_EXECUTORS and waiting.longest_wait_s <= MAX_ISOLATION_WAIT_S:
        wanted = 0
    reserved = [link for link in available if link.reserved]
    others = sorted((link for link in available if not link.reserved), key=_work_at_risk)
    for link in others[: max(wanted - len(reserved), 0)]:
        link.reserved = True
    for link in reserved[wanted:]:
        link.reserved = False


def _waiting_suspects(job: Job) -> Iterator[Task]:
    if not job.has_crashes:
        return
    for tasks in job.steps_in_turn():
        yield from (task for task in tasks if task.waits and is_suspect(task))


def _runs_suspects_only(link: ExecutorLink) -> bool:
    return all(run.task.crashes for run in link.runs_by_key.values())


def _work_at_risk(link: ExecutorLink) -> tuple[int, int]:
    return link.lasting_runs, link.used.cpu


def _preference(link: ExecutorLink, task: Task) -> tuple[bool, bool, bool, int]:
    # On another machine than before: several crashes on one may be the machine's.
    return (
        link.entry.machine in task.avoided or link.entry.executor in task.avoided,
        not link.reserved,
        link.slow_marks > 0,
        len(link.runs_by_key),
    )
