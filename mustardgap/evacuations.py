"""Moves lasting tasks off executors that leave, within what their steps may miss."""

from typing import TYPE_CHECKING

from .executor_links import ExecutorLink
from .job_states import Task
from .placing import choose_executor
from .runs import Run, RunPhase

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

# At work, a lasting task reports this share.
AT_WORK_PERCENT = 100
# A run that would end within this time is left to end on an executor that is being emptied.
FINISH_S = 3.0
# Beyond the platform's bound for a stop: the order's way, and a look at most a second old.
STOP_SLACK_S = 1.2
# Why a run is stopped that has to make room; such a stop needs leave each time it is sent.
EVACUATED = "evacuated"


class Evacuations:
    """Empties executors that the fleet's owner wants, or that drain.

    :param dispatcher: the owner of the tasks.
    :param stop_timeout_s: how long a stop takes at the most.
    """

    def __init__(self, *, dispatcher: "Dispatcher", stop_timeout_s: float) -> None:
        self.planned: frozenset[str] = frozenset()
        # Services with a lasting task that has to move and finds no room.
        self.cramped: set[str] = set()
        self._dispatcher = dispatcher
        self._settle_s = stop_timeout_s + STOP_SLACK_S

    def look(self, now: float) -> None:
        """Stop what may be stopped now on executors that leave."""
        self.cramped.clear()
        for link in list(self._dispatcher.roster.links_by_executor.values()):
            if not (link.closing or link.entry.draining) or not link.up:
                continue
            for run in list(link.runs_by_key.values()):
                if run.phase is RunPhase.RUNNING and self._may_stop(link, run, now):
                    link.end(run, "draining" if link.entry.draining else EVACUATED)

    def may_stop(self, run: Run, now: float) -> bool:
        """Whether a stop may be sent, for the first time or again, by what is away now.

        A stop that got no answer is sent again. If another executor is lost meanwhile, that would
        end one more task than the step may miss, though there was leave for the first try. So
        before a repeat only those count as at work whose executors have reported since that try.
        """
        if not run.task.step.lasting or run.link.entry.draining:
            return True
        if run.why_stopped != EVACUATED:
            # Its start got no answer, and the stop is to settle whether it is there.
            if run.percent < AT_WORK_PERCENT:
                return True
            run.link.keep(run, "it is at work")
            return False
        if not run.link.closing:
            run.link.keep(run, "its machine is kept")
            return False
        siblings = self._dispatcher.job_of(run.task.task_id).siblings(run.task)
        return self._may_miss_one(run.task, siblings, now, heard_since=run.unanswered_at)

    def _may_stop(self, link: ExecutorLink, run: Run, now: float) -> bool:
        step = run.task.step
        if not step.lasting:
            left_s = step.estimate_s * (1 - run.percent / 100)
            return step.checkpointing and left_s > FINISH_S
        siblings = self._dispatcher.job_of(run.task.task_id).siblings(run.task)
        if not link.entry.draining and not self._may_miss_one(run.task, siblings, now):
            return False
        return self._has_room_elsewhere(run.task, siblings, now)

    def _may_miss_one(
        self, task: Task, siblings: list[Task], now: float, heard_since: float = float("-inf")
    ) -> bool:
        """Whether one more task of the step may be away, counting those that are for any cause."""
        others = [other for other in siblings if other is not task]
        away = sum(1 for other in others if not self.is_at_work(other, now, heard_since))
        allowed = task.step.may_miss
        # Without a promise they are moved one at a time all the same.
        return away < (allowed if allowed is not None else 1)

    def is_at_work(self, task: Task, now: float, heard_since: float = float("-inf")) -> bool:
        """Whether a lasting task serves its users now, as far as is known.

        A run that was adopted from a former owner may be on its way to a stop which that owner
        ordered, or one whose stop got no answer: it is listed at work until the stop takes effect,
        and another task would be stopped beside it. After what a stop takes it would have ended.

        :param heard_since: steady time since which its executor has to have reported.
        """
        run = task.run
        return (
            run is not None
            and run.phase is RunPhase.RUNNING
            and run.percent >= AT_WORK_PERCENT
            and max(run.started_at, run.unanswered_at) <= now - self._settle_s
            and run.link.up
            and run.link.heard_at >= heard_since
        )

    def _has_room_elsewhere(self, task: Task, siblings: list[Task], now: float) -> bool:
        job = self._dispatcher.job_of(task.task_id)
        usable = self._dispatcher.starter.usable_links(task.step, job)
        links = [link for link in usable if now >= link.pause_until]
        if choose_executor(task, siblings, links, self.planned, now) is not None:
            return True
        self.cramped.add(job.service)
        return False
