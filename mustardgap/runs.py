"""A run of a task on an executor, as the owner of the task knows it."""

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from .executor_links import ExecutorLink
    from .job_states import Task

# A run that its executor has listed for this long, by the executor's clock, counts as at work.
AT_WORK_AFTER_S = 0.1


class RunPhase(enum.Enum):
    """The phase of a run, as its owner knows it."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    # Gone from its executor, which hasn't listed its end yet.
    ENDED = "ended"


class Stray(NamedTuple):
    """Why a reported run isn't adopted and has to be stopped."""

    why: str


class Run:
    """One run of a task on an executor.

    :param task: the task.
    :param number: the run's number, which rises with each run of the task.
    :param link: the link to its executor.
    :param now: monotonic seconds.
    """

    __slots__ = (
        "adopted",
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
        "speed_sampled",
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
        # When the executor confirmed that it has the run, or that it will never start it. If a poll
        # that was sent later doesn't list the run, the run isn't there.
        self.confirmed_at: float | None = None
        # Whether a former owner started it, so that its beginning isn't known.
        self.adopted = False
        # Whether its start may have reached the executor.
        self.sent = False
        # Whether it was still listed some time after its start.
        self.at_work = False
        self.percent = 0
        # The executor's monotonic time when the run was first known there, and when its percentage
        # last changed. This process's clock would add the delays of its own orders and reads.
        self.first_seen_s: float | None = None
        self.progress_changed_s = 0.0
        self.load = 0
        # Whether it has been compared with its siblings while it goes on.
        self.speed_sampled = False
        self.pace = 100
        self.stop_reason = ""
        # When an attempt to stop it last ended without an answer, in monotonic seconds.
        self.stop_unanswered_at = float("-inf")

    def is_at_work(self, executor_time_s: float, min_age_s: float = AT_WORK_AFTER_S) -> bool:
        """Whether the run has been on its executor for a minimum time.

        :param executor_time_s: the executor's monotonic time, in seconds.
        :param min_age_s: the minimum time, in seconds.
        """
        return self.first_seen_s is not None and self.age_s(executor_time_s) >= min_age_s

    def age_s(self, executor_time_s: float) -> float:
        """For how long the run is known to have been on its executor, in seconds.

        :param executor_time_s: the executor's monotonic time, in seconds.
        """
        return executor_time_s - self.first_seen_s if self.first_seen_s is not None else 0.0

    def note_first_seen(self, executor_time_s: float) -> None:
        """Note that the executor has the run; only the first call has an effect.

        :param executor_time_s: the executor's monotonic time, in seconds.
        """
        if self.first_seen_s is None:
            self.first_seen_s = self.progress_changed_s = executor_time_s
