"""One run of a task on an executor, as the owner of the task knows it."""

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .executor_links import ExecutorLink
    from .job_states import Task


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
        "began_s",
        "confirmed_at",
        "link",
        "load",
        "moved_s",
        "number",
        "pace",
        "percent",
        "phase",
        "started_at",
        "task",
        "unanswered_at",
        "why_stopped",
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
        self.percent = 0
        # By the executor's steady clock, when the run was first known there and when its percentage
        # last changed. Our own clock would add how late we ordered and how late we read.
        self.began_s: float | None = None
        self.moved_s = 0.0
        self.load = 0
        self.pace = 100
        self.why_stopped = ""
        # When a try to stop it last ended without an answer, in steady seconds.
        self.unanswered_at = float("-inf")

    def note_begun(self, clock_s: float) -> None:
        """Note that the executor has the run, at a time of its clock."""
        if self.began_s is None:
            self.began_s = self.moved_s = clock_s
