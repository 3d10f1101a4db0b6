"""Decides the next step of one job from the log, its task and its host, without side effects."""

from typing import Any, NamedTuple

from . import status_codes
from .adapters import TaskStep
from .models import AttemptState, Disruption, HostState, JobState, TaskInfo, Usage, WorkerInfo
from .states import has_running_attempt
from .status_codes import Code

# An attempt is started, or started again after a lost answer, only within this time of its
# placement. The platform keeps ended tasks for minutes, so a repeat can't run the job twice.
START_WINDOW_S = 60.0
# A view of tasks must be this much newer than what it is to prove, as the clocks may differ.
CLOCK_SKEW_MARGIN_S = 3.0
# An attempt is given up when its lease has been over this long: clocks differ, and a worker that
# resumes after a pause needs a moment to notice that its lease is over.
LAPSE_GRACE_S = 2.0
LIVE_STATES = frozenset({"running", "throttled"})
NO_DISRUPTION = Disruption(steps=[], warning_s=0.0, drain_s=0.0, idempotent=False)


class Write(NamedTuple):
    """Write a step of the job to the log."""

    step: str
    result: str = ""
    code: int = 0
    usage: Usage | None = None


class Start(NamedTuple):
    """Start the task of the placed attempt."""


class StepTask(NamedTuple):
    """Apply a step to the running task."""

    step: TaskStep


JobStep = Write | Start | StepTask


class JobView(NamedTuple):
    """The inputs of a decision on one job.

    ``now`` and ``read_at``, when the tasks were read, are seconds since the epoch. ``placed_here``
    says that this daemon wrote the attempt and hasn't asked the platform to start it;
    ``in_epoch_s`` is how long the job has been in its epoch.
    """

    job: JobState
    task: TaskInfo | None
    host: HostState | None
    worker: WorkerInfo | None
    is_job_pool: bool
    disruption: Disruption
    now: float
    read_at: float
    placed_here: bool
    in_epoch_s: float


def task_id(job: JobState) -> str:
    """The id of the task of a job's latest attempt."""
    return f"{job['job']}.{job['attempts'][-1]['number']}"


def attempt_of(job: JobState) -> AttemptState | None:
    """The current attempt of a job, None if it holds no capacity."""
    return job["attempts"][-1] if has_running_attempt(job) else None


def pause_step(job: JobState, disruption: Disruption) -> TaskStep | None:
    """The step that takes a job off its worker, or None if it must stay there.

    A stop discards the job's progress and is followed by a second run, so the job must be
    idempotent.
    """
    if "checkpoint" in disruption["steps"]:
        return "checkpoint"
    if "stop" in disruption["steps"] and job["spec"]["idempotent"]:
        return "stop"
    return None


def next_step(view: JobView) -> JobStep | None:
    """Decide the next step of a job that holds capacity on a worker; None for none."""
    attempt = attempt_of(view.job)
    if attempt is None:
        return None
    if view.task is None:
        return _without_task(view, attempt)
    if view.task["state"] not in LIVE_STATES:
        return _after_task_end(view, view.task)
    if view.now > view.task["lease_until"] + LAPSE_GRACE_S:
        return _give_up_unknown(view, "the lease ran out")
    return _with_task(view, view.task)


def stray_step(
    job: JobState, task: TaskInfo | None, worker: WorkerInfo | None, now: float
) -> StepTask | None:
    """Decide the step for a task that runs although its job has ended on the log; None for none.

    A delayed start can take effect after the job was cancelled. Once its lease is over the worker
    stops the task by itself. The task of a job that is done may be shown as running for a moment
    and is left alone.
    """
    if task is None or task["state"] not in LIVE_STATES or not is_up(worker):
        return None
    if job["phase"] != "ended" or job["code"] == status_codes.JOB_DONE.number:
        return None
    return StepTask("stop") if now <= task["lease_until"] else None


def _without_task(view: JobView, attempt: AttemptState) -> JobStep | None:
    age_s = view.now - attempt["started"]
    is_conclusive = view.read_at > attempt["started"] + START_WINDOW_S + CLOCK_SKEW_MARGIN_S
    if view.job["phase"] != "placed" or age_s > START_WINDOW_S:
        return _give_up_unknown(view, "the platform has no such task") if is_conclusive else None
    if view.job["cancelled"] or not _accepts_work(view):
        # Only the daemon that placed the attempt knows for sure that it wasn't started.
        return Write("attempt_over", "moved") if view.placed_here else None
    return Start()


def _accepts_work(view: JobView) -> bool:
    """Whether the host is still in service in a pool for jobs."""
    return view.is_job_pool and view.host is not None and view.host["phase"] == "in_service"


def _after_task_end(view: JobView, task: TaskInfo) -> JobStep:
    state = task["state"]
    if state == "done":
        usage = task["usage"] if task["usage"]["cores"] > 0 else None
        return Write("end", task["detail"], status_codes.JOB_DONE.number, usage)
    if state == "checkpointed":
        return Write("attempt_over", "moved")
    if view.job["cancelled"]:
        return Write("attempt_over", "moved")
    if state == "stopped" and view.job["spec"]["idempotent"]:
        return Write("attempt_over", "moved")
    if state == "failed" and view.job["spec"]["idempotent"] and is_up(view.worker):
        return Write("attempt_over", "failed")
    return _give_up_unknown(view, f"{state}: {task['detail']}")


def is_up(worker: WorkerInfo | None) -> bool:
    """Whether a worker is up; a task that ends on one that isn't doesn't count as failed."""
    return worker is not None and worker["state"] in ("up", "draining")


def _give_up_unknown(view: JobView, why: str) -> JobStep:
    """Give up an attempt of which it is unknown whether it ran to its end."""
    if view.job["spec"]["idempotent"] or view.job["cancelled"]:
        return Write("attempt_over", "unknown")
    return Write("end", why, status_codes.JOB_ATTEMPT_UNKNOWN.number)


def _with_task(view: JobView, task: TaskInfo) -> JobStep | None:
    if view.job["cancelled"]:
        return StepTask("stop")
    if view.job["phase"] == "placed":
        return Write("start")
    if not is_up(view.worker):
        return None
    if view.job["phase"] == "running" and task["state"] == "throttled":
        return StepTask("resume")
    step = pause_step(view.job, view.disruption)
    if step is None:
        return Write("resume") if view.job["phase"] == "paused" else None
    if view.job["phase"] == "paused":
        return _pause_task(view, task, step)
    return Write("pause") if _must_leave(view) else None


def _pause_task(view: JobView, task: TaskInfo, step: TaskStep) -> JobStep | None:
    """Wait for the profile's warning time, throttled if it allows that, then take the step."""
    if view.in_epoch_s >= view.disruption["warning_s"]:
        return StepTask(step)
    if "throttle" in view.disruption["steps"] and task["state"] == "running":
        return StepTask("throttle")
    return None


def _must_leave(view: JobView) -> bool:
    return view.host is not None and view.host["phase"] not in ("in_service", "failed")


def should_renew_lease(view: JobView) -> bool:
    """Whether to renew the lease of a running task.

    On a lost worker the task may have ended long ago: its lease is left to expire, so that the job
    can run elsewhere.
    """
    if view.task is None or view.task["state"] not in LIVE_STATES:
        return False
    return is_up(view.worker) and (view.host is None or view.host["phase"] != "failed")


def end_code(job: JobState) -> Code:
    """The result code that a job ended with."""
    return status_codes.by_number[job["code"]]


def disruption_of(state: Any, job: JobState) -> Disruption:
    """How a job may be disrupted; without a profile it may not be."""
    profile = state.value("profile", job["spec"].get("profile", ""))
    return NO_DISRUPTION if profile is None else profile["disruption"]


def is_job_pool(state: Any, pool: str) -> bool:
    """Whether jobs may be placed in a pool: it is declared and serves no service.

    The spare pool is excluded: its hosts are the buffer that all services share, and one with a job
    on it would be available too late when another host has failed.
    """
    value = state.value("pool", pool)
    return pool != "" and value is not None and value["service"] == ""
