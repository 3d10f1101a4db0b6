"""Places the tasks of one shard: who goes first, and on which executor."""

from typing import TYPE_CHECKING

from . import metrics
from .advices import StepKey
from .crashes import is_given_up, is_suspect
from .events import EventLog
from .executor_links import ExecutorLink
from .job_states import Job, JobPhase, Task, exhausted
from .openings import Openings
from .placing import choose_each, choose_gang, in_order, usable
from .runs import Run
from .timers import Clock
from .workloads import AdvicePolicy, Step, TaskId

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

# Run numbers rise with the epoch, so that those of a new owner are above all earlier ones.
RUNS_AN_EPOCH = 100_000


class TaskStarter:
    """Starts what waits and has room, in passes over all jobs.

    :param dispatcher: the shard's owner.
    :param clock: the clocks to read.
    :param events: the process's log.
    """

    def __init__(self, *, dispatcher: "Dispatcher", clock: Clock, events: EventLog) -> None:
        self._shard = dispatcher
        self._clock = clock
        self._events = events
        self._run_count = 0

    def place(self) -> None:
        """Start what waits and has room, the most urgent first."""
        configuration = self._shard.configuration
        if configuration is None or self._shard.authority_s() <= 0:
            return
        if self._shard.log.fenced or self._shard.handing_over:
            return
        now, wall = self._clock.monotonic(), self._clock.wall()
        waiting = [
            job
            for job in self._shard.jobs_by_id.values()
            if job.phase is JobPhase.LIVE and not job.held
        ]
        self._shard.isolation.look(waiting)
        for link in self._shard.roster.links_by_executor.values():
            link.room_known = self._shard.knows_room(link.entry)
        openings = Openings(links=self._shard.roster.links_by_executor.values(), now=now)
        cores_by_service = self._cores_by_service(now)
        policy = self._shard.policy
        for job in in_order(waiting, self._shard.queue_of, cores_by_service, wall, policy):
            steps = job.steps_in_turn()
            if self._end_if_exhausted(job, steps) or self._end_if_given_up(job, steps):
                continue
            if job.has_crashes and self._place_suspects(job, steps):
                continue
            for tasks in steps:
                self._place_step(job, tasks, openings, now)
            self._ask_ahead(job)

    def _end_if_exhausted(self, job: Job, steps: list[list[Task]]) -> bool:
        # A new owner hears of failures before it knows how many the queue allows, which the
        # configuration says; a job that was over by then would be started once more. All steps are
        # looked at before any is placed: what was started of one step would outlive the job.
        if not job.has_failures:
            return False
        queue = self._shard.queue_of(job)
        if not any(task.waits and exhausted(task, queue) for tasks in steps for task in tasks):
            return False
        self._shard.finish(job, JobPhase.FAILED, "a task had failed too often under earlier owners")
        return True

    def _end_if_given_up(self, job: Job, steps: list[list[Task]]) -> bool:
        if not job.has_crashes:
            return False
        for task in (task for tasks in steps for task in tasks):
            if task.waits and is_given_up(task):
                why = f"{len(task.crashes)} executors crashed under task {_name(task.task_id)}"
                self._shard.finish(job, JobPhase.FAILED, why)
                return True
        return False

    def _place_suspects(self, job: Job, steps: list[list[Task]]) -> bool:
        """Start tasks of a job under which executors have crashed, apart from others.

        :return: whether the job's other tasks wait until these are at work: a job that may have to
            be given up had better not take the room of others.
        """
        held = False
        for tasks in steps:
            for task in tasks:
                if task.done or not is_suspect(task):
                    continue
                if task.waits and task.on_record:
                    self._place_suspect(job, task, tasks)
                is_at_work = task.run is not None and task.run.at_work
                held = held or not (is_at_work or task.step.lasting or task.step.gang)
        return held

    def _place_suspect(self, job: Job, task: Task, tasks: list[Task]) -> None:
        links = list(self._shard.roster.links_by_executor.values())
        queue = self._shard.queue_of(job)
        if queue is not None and queue.advice is not None:
            links = self._advised(task.task_id, links, queue.advice)
        if task.step.gang:
            gang_links = self._shard.isolation.links_for_gang(tasks, job, links)
            self._place_gang(job, tasks, gang_links)
            return
        link = self._shard.isolation.choose(task, job, tasks, links)
        if link is not None:
            self._start(job, task, link, self._next_run())
            self._shard.isolation.note_started(task, link)

    def _cores_by_service(self, now: float) -> dict[str, float]:
        cores: dict[str, float] = {}
        for link in self._shard.roster.links_by_executor.values():
            if link.up and link.listed and not link.closing and now >= link.pause_until:
                service = link.entry.service
                cores[service] = cores.get(service, 0.0) + link.entry.capacity.cpu / 1000
        return cores

    def _place_step(self, job: Job, tasks: list[Task], openings: Openings, now: float) -> None:
        step = tasks[0].step
        queue = self._shard.queue_of(job)
        policy = queue.advice if queue is not None else None
        if policy is None and openings.is_too_large(step, job.service):
            return
        missing = [task for task in tasks if _may_start(task)]
        if not missing:
            return
        links = openings.usable(step, job.service)
        if policy is not None:
            links = self._advised(tasks[0].task_id, links, policy)
        if step.gang:
            if not any(is_suspect(task) for task in tasks):
                self._place_gang(job, tasks, links)
            return
        started = 0
        planned = self._shard.evacuations.planned
        spread = self._shard.crashes.are_frequent(job.service)
        for task, link in choose_each(missing, tasks, links, planned, now, spread=spread):
            self._start(job, task, link, self._next_run())
            started += 1
        if started < len(missing) and policy is None:
            openings.note_unplaced(step, job.service)

    def usable_links(self, step: Step, job: Job) -> list[ExecutorLink]:
        """The executors that may get new runs of a job's step, those that are paused among them."""
        return [
            link
            for link in self._shard.roster.links_by_executor.values()
            if usable(link, step, job.service)
        ]

    def _ask_ahead(self, job: Job) -> None:
        """Have tickets asked for the steps that come next, so that they needn't wait for them."""
        queue = self._shard.queue_of(job)
        if queue is None or queue.advice is None or not job.begun:
            return
        for tasks in job.steps_to_come():
            links = self.usable_links(tasks[0].step, job)
            self._advised(tasks[0].task_id, links, queue.advice)

    def _advised(
        self, task_id: TaskId, links: list[ExecutorLink], policy: AdvicePolicy
    ) -> list[ExecutorLink]:
        """The executors with a ticket for a task's step; tickets that lack are asked for."""
        key = StepKey.of(task_id)
        best = sorted(links, key=lambda link: -link.free.cpu)
        self._shard.advices.want(key, [link.entry.executor for link in best], policy)
        return [link for link in links if self._shard.advices.ticket(key, link.entry.executor)]

    def _place_gang(self, job: Job, tasks: list[Task], links: list[ExecutorLink]) -> None:
        # A gang restarts as a whole, when all its earlier runs have ended.
        if not all(task.waits and task.on_record for task in tasks):
            return
        chosen = choose_gang(tasks, links)
        if chosen is None:
            return
        number = self._next_run()
        for task, link in zip(tasks, chosen, strict=True):
            self._start(job, task, link, number)

    def _start(self, job: Job, task: Task, link: ExecutorLink, number: int) -> None:
        now = self._clock.monotonic()
        run = Run(task=task, number=number, link=link, now=now)
        task.run = run
        job.begun = True
        waited_s = self._clock.wall() - job.due_at(task.task_id.occurrence)
        self._events.note(
            "run.start",
            job=job.job_id,
            task=task.task_id,
            run=number,
            executor=link.entry.executor,
            free_cpu=link.free.cpu,
            failures=task.failures,
            fence=self._shard.epoch,
            waited_s=waited_s,
        )
        metrics.placement_wait.record(max(waited_s, 0.0))
        ticket = self._shard.advices.ticket(StepKey.of(task.task_id), link.entry.executor) or ""
        link.begin(run, payload=job.spec.payload, ticket=ticket)

    def _next_run(self) -> int:
        self._run_count += 1
        return self._shard.epoch * RUNS_AN_EPOCH + self._run_count


def _may_start(task: Task) -> bool:
    """Whether a task waits that needn't be started apart from others."""
    if not task.waits:
        return False
    return not task.crashes or (task.on_record and not is_suspect(task))


def _name(task_id: TaskId) -> str:
    return f"{task_id.occurrence}.{task_id.step}.{task_id.number}"
