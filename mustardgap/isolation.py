"""Isolates tasks that may crash their executors, on executors reserved for them."""

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import TYPE_CHECKING, NamedTuple

from .crashes import is_given_up_if_confirmed, is_suspect, must_run_alone
from .executor_links import ExecutorLink
from .job_states import Job, Task
from .placing import is_eligible
from .timers import Clock
from .workloads import TaskId

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

# While suspects wait, one in this many of a pool's executors is reserved for them.
EXECUTORS_PER_RESERVED = 8
# A pool with fewer executors reserves none until a suspect has waited for MAX_ISOLATION_WAIT_S.
MIN_POOL_EXECUTORS = 3
# For each lasting suspect that waits, one executor is reserved, up to one in this many.
EXECUTORS_PER_LASTING_SUSPECT = 4
# A suspect that has waited for this long is started beside other tasks, because a task may not be
# idle for 3 s.
MAX_ISOLATION_WAIT_S = 2.0


class _SuspectDemand(NamedTuple):
    """The waiting suspects of a service: the longest wait, and the number of lasting ones."""

    longest_wait_s: float
    lasting: int


class Isolation:
    """Chooses executors for tasks under which executors have crashed.

    After one crash, a task is started where all other runs are past their start, so that another
    crash shows whether it is the cause, and beside other suspects only, so that no other work is
    lost. After two, it has an executor to itself, or shares one with lasting tasks if no other
    is free. Started among other tasks, each crash would make those suspects and lose their work.

    :param dispatcher: the owner of the tasks.
    :param clock: the clocks to read.
    """

    def __init__(self, *, dispatcher: "Dispatcher", clock: Clock) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._waiting_since: dict[TaskId, float] = {}

    def update(self, jobs: Iterable[Job]) -> None:
        """Reserve executors for waiting suspects, and release those that none needs."""
        waiting_by_service = self._waiting_by_service(jobs)
        links = self._dispatcher.roster.links_by_executor.values()
        for service, waiting in waiting_by_service.items():
            _reserve((link for link in links if link.entry.service == service), waiting)
        for link in links:
            if link.reserved and link.entry.service not in waiting_by_service:
                link.reserved = link.on_trial

    def choose(
        self, task: Task, job: Job, siblings: Sequence[Task], links: Sequence[ExecutorLink]
    ) -> ExecutorLink | None:
        """Choose an executor for a suspect; None while it should wait.

        :param siblings: all tasks of its step, for the step's limit of tasks on one executor.
        :param links: the executors that its queue's policy allows.
        """
        step = task.step
        counts = Counter(t.run.link.entry.executor for t in siblings if t.run is not None)
        fitting = [
            link
            for link in links
            if is_eligible(link, step, job.service)
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
        """The executors for a gang with a suspect: empty ones, until a task has waited too long."""
        serving = [link for link in links if is_eligible(link, tasks[0].step, job.service)]
        if any(self._has_waited_long(task) for task in tasks):
            return serving
        return [link for link in serving if not link.runs_by_key]

    def _has_waited_long(self, task: Task) -> bool:
        now = self._clock.monotonic()
        return now - self._waiting_since.get(task.task_id, now) > MAX_ISOLATION_WAIT_S

    def awaits_confirmation(self, task: Task) -> bool:
        """Whether a task should wait for the confirmation of a crash that gives it up.

        The word that an executor is gone comes up to half a second before its machine is seen to
        have a new one. Started in between, each crashing task took one executor more, with all
        that ran there. A crash that is never confirmed delays its task for MAX_ISOLATION_WAIT_S.
        """
        return is_given_up_if_confirmed(task) and not self._has_waited_long(task)

    def note_started(self, task: Task, link: ExecutorLink) -> None:
        """Record that a suspect has been started on an executor."""
        link.trial = task.run

    def _waiting_by_service(self, jobs: Iterable[Job]) -> dict[str, _SuspectDemand]:
        now = self._clock.monotonic()
        waiting_by_service: dict[str, _SuspectDemand] = {}
        since_by_task: dict[TaskId, float] = {}
        for job in jobs:
            for task in _waiting_suspects(job):
                since = self._waiting_since.get(task.task_id, now)
                since_by_task[task.task_id] = since
                if self.awaits_confirmation(task):
                    continue
                earlier = waiting_by_service.get(job.service, _SuspectDemand(0.0, 0))
                waiting_by_service[job.service] = _SuspectDemand(
                    max(earlier.longest_wait_s, now - since), earlier.lasting + task.step.lasting
                )
        self._waiting_since = since_by_task
        return waiting_by_service


def _reserve(links: Iterable[ExecutorLink], waiting: _SuspectDemand) -> None:
    """Reserve as many executors of a pool as its suspects need, those with the least work first."""
    available = [link for link in links if link.up and link.listed and not link.closing]
    wanted = math.ceil(len(available) / EXECUTORS_PER_RESERVED)
    # A lasting task serves users, and may not queue behind many other suspects.
    wanted = max(wanted, min(waiting.lasting, len(available) // EXECUTORS_PER_LASTING_SUSPECT))
    # One more for each MAX_ISOLATION_WAIT_S that a suspect has waited, up to half of the pool: the
    # first ones may each be in use for a long time.
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
    for tasks in job.ready_steps():
        yield from (task for task in tasks if task.is_waiting and is_suspect(task))


def _runs_suspects_only(link: ExecutorLink) -> bool:
    return all(run.task.crashes for run in link.runs_by_key.values())


def _work_at_risk(link: ExecutorLink) -> tuple[int, int]:
    return link.lasting_runs, link.used.cpu


def _preference(link: ExecutorLink, task: Task) -> tuple[bool, bool, bool, int]:
    # A machine where the task hasn't crashed yet comes first: several crashes on one machine may be
    # the machine's fault.
    return (
        link.entry.machine in task.avoided or link.entry.executor in task.avoided,
        not link.reserved,
        link.slow_marks > 0,
        len(link.runs_by_key),
    )
