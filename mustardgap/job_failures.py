"""Ends what a failed task ends: its job, or a part of it while long-running tasks are left."""

from typing import TYPE_CHECKING

from . import metrics
from .events import EventLog
from .job_states import Job, JobPhase, Task
from .tickets import Ticket

if TYPE_CHECKING:
    from .dispatchers import Dispatcher


class JobFailures:
    """Gives up tasks that have failed for good.

    Long-running tasks serve users until their job is cancelled, and their step may miss only a few
    of them at once. A job that has any left isn't ended: they go on, and nothing else of it does.

    :param dispatcher: the owner of the jobs.
    :param events: the process's event log.
    """

    def __init__(self, *, dispatcher: "Dispatcher", events: EventLog) -> None:
        self._dispatcher = dispatcher
        self._events = events

    def give_up(self, job: Job, task: Task, why: str) -> None:
        """Start a task no more, and end its job unless long-running tasks are left.

        :param why: the reason, shown to the job's caller.
        """
        if task.step.lasting:
            job.give_up_lasting(task, why)
        else:
            job.fail_batch(why)
        if not job.serves:
            self._dispatcher.finish(job, JobPhase.FAILED, why)
            return
        self._note(job, task, why)
        ticket = self._dispatcher.store_progress(job)
        ticket.outcome.add_done_callback(lambda _: self._publish(job, ticket))
        for other in job.tasks():
            if other.given_up and other.run is not None:
                other.run.link.stop_run(other.run, "failed")

    @staticmethod
    def _publish(job: Job, ticket: Ticket) -> None:
        if ticket.durable and job.batch_failure and job.phase is JobPhase.LIVE:
            job.durable_phase = JobPhase.FAILED

    def _note(self, job: Job, task: Task, why: str) -> None:
        part = "task" if task.step.lasting else "batch steps"
        metrics.tasks_given_up.add(1, {"part": part})
        self._events.note(
            "task.given_up",
            vital=True,
            job=job.job_id,
            queue=job.queue_name,
            task=task.task_id,
            part=part,
            why=why,
        )
