"""One run of a task on an executor, as the owner of the task knows it."""

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .executor_links import ExecutorLink
    from .job_states import Task

# A run that its executor still lists after this long, by the executor's clock, is at work.
AT_WORK_AFTER_S = 0.1


class RunPhase(enum.Enum):
    """Where a run stands, as its owner knows it."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """One run of a task on an executor.

    :param task: the task.
    :param number: numbers the task's runs; rises.
    :param link: the link to its executor.
    :param now: steady seconds.
    """

    __slots__ = (
        "at_work",
        "confirmed_at",
        "first_seen_s",
        "link",
        "load",
        "number",
        "pace",
        "percent",
        "phase",
        "progress_changed_s",
        "sent",
        "started_at",
        "stop_reason",
        "stop_unanswered_at",
        "task",
    )

    def __init__(self, *, task: "Task", number: int, link: "ExecutorLink", now: float) -> None:
        self.task = task
        self.number = number
        self.link = link
        self.phase = RunPhase.STARTING
        self.started_at = now
        # When the executor was known to have it, or to have been told never to start it: a look
        # that was sent later and doesn't list it shows that it isn't there.
        self.confirmed_at: float | None = None
        # Whether its start may have arrived.
        self.sent = False
        # Whether it was listed some time after it had begun.
        self.at_work = False
        self.percent = 0
        # By the executor's steady clock, when the run was first known there and when its percentage
        # last changed. Our own clock would add how late we ordered and how late we read.
        self.first_seen_s: float | None = None
        self.progress_changed_s = 0.0
        self.load = 0
        self.pace = 100
        self.stop_reason = ""
        # When a try to stop it last ended without an answer, in steady seconds.
        self.stop_unanswered_at = float("-inf")

    def is_at_work(self, executor_time_s: float, min_age_s: float = AT_WORK_AFTER_S) -> bool:
        """Whether a run that is listed at a time of its executor has been there for long."""
        return self.first_seen_s is not None and executor_time_s - self.first_seen_s >= min_age_s

    def note_first_seen(self, executor_time_s: float) -> None:
        """Note that the executor has the run, at a time of its clock."""
        if self.first_seen_s is None:
            self.first_seen_s = self.progress_changed_s = executor_time_s
