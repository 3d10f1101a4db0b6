"""Starts the waiting tasks of one shard on executors."""

from typing import TYPE_CHECKING

from . import metrics
from .advices import StepKey
from .crashes import is_given_up, is_suspect
from .events import EventLog
from .executor_links import ExecutorLink
from .job_states import Job, JobPhase, Task, attempts_exhausted
from .load_features import Feature
from .placement_caches import PlacementCache
from .placing import (
    choose_executors,
    choose_gang_executors,
    is_eligible,
    outside_failed_racks,
    sort_for_placement,
    usable,
)
from .run_numbers import RunNumbers
from .runs import Run
from .timers import Clock
from .workloads import AdvicePolicy, Step, TaskId

if TYPE_CHECKING:
    from .dispatchers import Dispatcher


class TaskStarter:
    """Starts waiting tasks that fit on an executor, in passes over all jobs.

    :param dispatcher: the dispatcher of the shard.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(self, *, dispatcher: "Dispatcher", clock: Clock, events: EventLog) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._events = events
        self.numbers = RunNumbers(epoch=dispatcher.epoch)

    def place(self) -> None:
        """Make one pass: start the waiting tasks that fit, the most urgent jobs first."""
        configuration = self._dispatcher.configuration
        if configuration is None or self._dispatcher.authority_s() <= 0:
            return
        if self._dispatcher.log.fenced or self._dispatcher.handing_over:
            return
        now, wall = self._clock.monotonic(), self._clock.wall()
        waiting = [
            job
            for job in self._dispatcher.jobs_by_id.values()
            if job.phase is JobPhase.LIVE and not job.progress_unreadable
        ]
        self._dispatcher.isolation.update(waiting)
        self._dispatcher.account_limits.begin_pass()
        for link in self._dispatcher.roster.links_by_executor.values():
            link.room_known = self._dispatcher.is_capacity_known(link.entry)
        cache = PlacementCache(links=self._dispatcher.roster.links_by_executor.values(), now=now)
        cores_by_service = self._cores_by_service(now)
        policy = self._dispatcher.policy
        for job in waiting:
            job.note_queue(self._dispatcher.queue_of(job))
        for job in sort_for_placement(
            waiting,
            self._dispatcher.queue_of,
            cores_by_service,
            wall,
            policy,
            self._dispatcher.weight_of,
            self._dispatcher.account_shares.begin_pass(),
            admitted=self._dispatcher.admission.enabled,
        ):
            steps = job.ready_steps()
            if self._end_if_exhausted(job, steps) or self._end_if_given_up(job, steps):
                continue
            if job.has_crashes and self._place_suspects(job, steps):
                continue
            for tasks in steps:
                self._place_step(job, tasks, cache, now)
            self._request_upcoming_tickets(job)

    def _end_if_exhausted(self, job: Job, steps: list[list[Task]]) -> bool:
        # A new owner may learn of failures before it has read the configuration, which says how
        # many the queue allows. Without this check, it would start tasks of a job that has already
        # failed too often. All steps are checked before any is placed, because tasks started for
        # one step would run on after the job has ended.
        if not job.has_failures:
            return False
        queue = self._dispatcher.queue_of(job)
        for task in (task for tasks in steps for task in tasks):
            if task.is_waiting and attempts_exhausted(job, task, queue):
                why = "a task had failed too often under earlier owners"
                self._dispatcher.failures.give_up(job, task, why)
                return True
        return False

    def _end_if_given_up(self, job: Job, steps: list[list[Task]]) -> bool:
        if not job.has_crashes:
            return False
        for task in (task for tasks in steps for task in tasks):
            if task.is_waiting and is_given_up(task):
                why = f"{len(task.crashes)} executors crashed under task {_task_name(task.task_id)}"
                self._dispatcher.failures.give_up(job, task, why)
                return True
        return False

    def _place_suspects(self, job: Job, steps: list[list[Task]]) -> bool:
        """Start the job's tasks that are suspected of crashing executors, isolated from others.

        :return: whether the job's other tasks have to wait until the suspects are at work. The job
            may have to be failed, and its tasks would take capacity from other jobs.
        """
        others_wait = False
        for tasks in steps:
            for task in tasks:
                if task.done or task.given_up or not is_suspect(task):
                    continue
                if task.is_waiting and self._may_start_suspect(task):
                    self._place_suspect(job, task, tasks)
                is_at_work = task.run is not None and task.run.at_work
                others_wait = others_wait or not (is_at_work or task.step.lasting or task.step.gang)
        return others_wait

    def _may_start_suspect(self, task: Task) -> bool:
        return task.crashes_durable and not self._dispatcher.isolation.awaits_confirmation(task)

    def _place_suspect(self, job: Job, task: Task, tasks: list[Task]) -> None:
        links = outside_failed_racks(
            list(self._dispatcher.roster.links_by_executor.values()),
            lambda link: is_eligible(link, task.step, job.service),
        )
        if job.advice is not None:
            links = self._links_with_ticket(task.task_id, links, job.advice)
        if task.step.gang:
            gang_links = self._dispatcher.isolation.links_for_gang(tasks, job, links)
            self._place_gang(job, tasks, gang_links)
            return
        if not self._dispatcher.account_limits.startable(job, [task]):
            return
        link = self._dispatcher.isolation.choose(task, job, tasks, links)
        if link is not None:
            self._start(job, task, link, self.numbers.next())
            self._dispatcher.isolation.note_started(task, link)

    def _cores_by_service(self, now: float) -> dict[str, float]:
        cores: dict[str, float] = {}
        for link in self._dispatcher.roster.links_by_executor.values():
            if link.up and link.listed and not link.closing and now >= link.pause_until:
                service = link.entry.service
                cores[service] = cores.get(service, 0.0) + link.entry.capacity.cpu / 1000
        return cores

    def _place_step(self, job: Job, tasks: list[Task], cache: PlacementCache, now: float) -> None:
        step = tasks[0].step
        policy = job.advice
        if policy is None and cache.is_too_large(step, job.service):
            return
        startable = [task for task in tasks if _may_start(task)]
        if startable and not step.gang:
            startable = self._dispatcher.account_limits.startable(job, startable)
        if not startable:
            return
        links = cache.usable(step, job.service)
        if policy is not None:
            links = self._links_with_ticket(tasks[0].task_id, links, policy)
        if step.gang:
            if not any(is_suspect(task) for task in tasks):
                self._place_gang(job, tasks, links)
            return
        started = 0
        planned = self._dispatcher.evacuations.planned
        spread = self._dispatcher.crashes.are_frequent(job.service)
        over_racks = step.lasting and self._dispatcher.features.has(Feature.RACKS)
        class_of = self._dispatcher.speeds.class_of_links(job, tasks[0].task_id.step)
        for task, link in choose_executors(
            startable,
            tasks,
            links,
            planned,
            now,
            spread=spread,
            speed_class_of=class_of,
            over_racks=over_racks,
        ):
            self._start(job, task, link, self.numbers.next())
            started += 1
        if started < len(startable) and policy is None:
            cache.note_unplaced(step, job.service)

    def usable_links(self, step: Step, job: Job) -> list[ExecutorLink]:
        """The executors that accept new runs of a job's step, including paused ones."""
        return outside_failed_racks(
            [
                link
                for link in self._dispatcher.roster.links_by_executor.values()
                if usable(link, step, job.service)
            ]
        )

    def _request_upcoming_tickets(self, job: Job) -> None:
        """Request tickets for the steps that come next, so that their start isn't delayed."""
        if job.advice is None or not job.has_started:
            return
        for tasks in job.upcoming_steps():
            links = self.usable_links(tasks[0].step, job)
            self._links_with_ticket(tasks[0].task_id, links, job.advice)

    def _links_with_ticket(
        self, task_id: TaskId, links: list[ExecutorLink], policy: AdvicePolicy
    ) -> list[ExecutorLink]:
        """Return the executors with a ticket for a task's step, and request the missing tickets."""
        key = StepKey.of(task_id)
        best = sorted(links, key=lambda link: -link.free.cpu)
        self._dispatcher.advices.request(key, [link.entry.executor for link in best], policy)
        return [link for link in links if self._dispatcher.advices.ticket(key, link.entry.executor)]

    def _place_gang(self, job: Job, tasks: list[Task], links: list[ExecutorLink]) -> None:
        # A gang is restarted as a whole, after all its earlier runs have ended.
        if not all(task.is_waiting and task.crashes_durable for task in tasks):
            return
        if not self._dispatcher.account_limits.holds_gang(job, tasks):
            return
        class_of = self._dispatcher.speeds.class_of_links(job, tasks[0].task_id.step)
        chosen = choose_gang_executors(tasks, links, self._clock.monotonic(), class_of)
        if chosen is None:
            return
        number = self.numbers.next()
        for task, link in zip(tasks, chosen, strict=True):
            self._start(job, task, link, number)

    def _start(self, job: Job, task: Task, link: ExecutorLink, number: int) -> None:
        now = self._clock.monotonic()
        run = Run(task=task, number=number, link=link, now=now)
        task.run = run
        job.has_started = True
        self._dispatcher.account_limits.note_started(job, task.step)
        waited_s = self._clock.wall() - job.due_at(task.task_id.occurrence)
        self._events.note(
            "run.start",
            job=job.job_id,
            task=task.task_id,
            run=number,
            executor=link.entry.executor,
            free_cpu=link.free.cpu,
            failures=task.failures,
            fence=self._dispatcher.epoch,
            waited_s=waited_s,
        )
        metrics.placement_wait.record(max(waited_s, 0.0))
        ticket = (
            self._dispatcher.advices.ticket(StepKey.of(task.task_id), link.entry.executor) or ""
        )
        link.start_run(run, payload=job.spec.payload, ticket=ticket)


def _may_start(task: Task) -> bool:
    """Whether a task waits and can be started without isolation."""
    if not task.is_waiting:
        return False
    return not task.crashes or (task.crashes_durable and not is_suspect(task))


def _task_name(task_id: TaskId) -> str:
    return f"{task_id.occurrence}.{task_id.step}.{task_id.number}"
