"""Moves tasks off executors that are drained or emptied, within the limits of their steps."""

from typing import TYPE_CHECKING

from .executor_links import ExecutorLink
from .job_states import Task
from .placing import choose_executor
from .runs import Run, RunPhase

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

# The progress in percent that a lasting task reports while it serves.
AT_WORK_PERCENT = 100
# A run that is expected to end within this time is left to finish on an executor being emptied.
LET_FINISH_S = 3.0
# Added to the platform's stop timeout: the delay of the order, and the age of the last report, at
# most 1 s.
STOP_SLACK_S = 1.2
# The reason for stopping a run to empty its executor. Such a stop is checked before each attempt.
EVACUATED = "evacuated"


class Evacuations:
    """Empties executors whose machines the fleet's owner needs, and draining ones.

    :param dispatcher: the owner of the tasks.
    :param stop_timeout_s: the longest time that a stop takes, in seconds.
    """

    def __init__(self, *, dispatcher: "Dispatcher", stop_timeout_s: float) -> None:
        self.planned: frozenset[str] = frozenset()
        # Services with a lasting task that has to move and fits on no other executor.
        self.unplaced_services: set[str] = set()
        self._dispatcher = dispatcher
        self._stop_effect_s = stop_timeout_s + STOP_SLACK_S

    def update(self, now: float) -> None:
        """Stop the runs that may be stopped now on executors being emptied."""
        self.unplaced_services.clear()
        for link in list(self._dispatcher.roster.links_by_executor.values()):
            if not (link.closing or link.entry.draining) or not link.up:
                continue
            for run in list(link.runs_by_key.values()):
                if run.phase is RunPhase.RUNNING and self._may_evacuate(link, run, now):
                    link.stop_run(run, "draining" if link.entry.draining else EVACUATED)

    def may_stop(self, run: Run, now: float) -> bool:
        """Whether a stop may be sent, for the first time or again, given the tasks unavailable now.

        A stop that got no answer is repeated. If another executor fails meanwhile, the repeat would
        stop one more task than the step may miss, although the first attempt was allowed. So before
        a repeat, only tasks whose executors have reported since the last attempt count as at work.
        """
        if not run.task.step.lasting or run.link.entry.draining:
            return True
        if run.stop_reason != EVACUATED:
            # The start got no answer; the stop settles whether the run exists.
            if run.percent < AT_WORK_PERCENT:
                return True
            run.link.cancel_stop(run, "it is at work")
            return False
        if not run.link.closing:
            run.link.cancel_stop(run, "its machine is kept")
            return False
        siblings = self._dispatcher.job_of(run.task.task_id).siblings(run.task)
        return self._may_miss_one(run.task, siblings, now, reported_since=run.stop_unanswered_at)

    def _may_evacuate(self, link: ExecutorLink, run: Run, now: float) -> bool:
        step = run.task.step
        if not step.lasting:
            left_s = step.estimate_s * (1 - run.percent / 100)
            return step.checkpointing and left_s > LET_FINISH_S
        siblings = self._dispatcher.job_of(run.task.task_id).siblings(run.task)
        if not link.entry.draining and not self._may_miss_one(run.task, siblings, now):
            return False
        return self._has_room_elsewhere(run.task, siblings, now)

    def _may_miss_one(
        self, task: Task, siblings: list[Task], now: float, reported_since: float = float("-inf")
    ) -> bool:
        """Whether one more task may be unavailable, counting those unavailable for any reason."""
        others = [other for other in siblings if other is not task]
        away = sum(1 for other in others if not self.is_at_work(other, now, reported_since))
        allowed = task.step.may_miss
        # Tasks of a step that declares no bound are also moved one at a time.
        return away < (allowed if allowed is not None else 1)

    def is_at_work(self, task: Task, now: float, reported_since: float = float("-inf")) -> bool:
        """Whether a lasting task is known to serve its users now.

        A run adopted from a former owner may already have been ordered to stop by that owner, and a
        stop without an answer may still take effect. Either run is reported at work until then, and
        a further task would be stopped at the same time. So a run counts only after the time within
        which such a stop would have ended it.

        :param now: monotonic time in seconds.
        :param reported_since: monotonic time in seconds; the executor must have reported since.
        """
        run = task.run
        return (
            run is not None
            and run.phase is RunPhase.RUNNING
            and run.percent >= AT_WORK_PERCENT
            and max(run.started_at, run.stop_unanswered_at) <= now - self._stop_effect_s
            and run.link.up
            and run.link.last_report_at >= reported_since
        )

    def _has_room_elsewhere(self, task: Task, siblings: list[Task], now: float) -> bool:
        job = self._dispatcher.job_of(task.task_id)
        usable = self._dispatcher.starter.usable_links(task.step, job)
        links = [link for link in usable if now >= link.pause_until]
        if choose_executor(task, siblings, links, self.planned, now) is not None:
            return True
        self.unplaced_services.add(job.service)
        return False
