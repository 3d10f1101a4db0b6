"""What happens next with one job: pure decisions from the log, the task and the host."""

from typing import Any, NamedTuple

from . import status_codes
from .adapters import TaskStep
from .models import AttemptState, Disruption, HostState, JobState, TaskInfo, Usage, WorkerInfo
from .states import has_running_attempt
from .status_codes import Code

# Within this time from its placing an attempt is started, or started again after a lost answer; the
# platform keeps tasks that have ended for minutes, so such a repeat can't run the job again.
START_WINDOW_S = 60.0
# A view must be this much younger than what it is to show, as both clocks may differ.
SETTLE_S = 3.0
# How long a lease must be over before the attempt is given up: clocks differ, and a worker that
# wakes needs a moment to find that its lease is over.
LAPSE_GRACE_S = 2.0
LIVE_STATES = frozenset({"running", "throttled"})
NO_DISRUPTION = Disruption(steps=[], warning_s=0.0, drain_s=0.0, idempotent=False)


class Write(NamedTuple):
    """Write a step of the job."""

    step: str
    result: str = ""
    code: int = 0
    usage: Usage | None = None


class Start(NamedTuple):
    """Start the task of the attempt that was placed."""


class StepTask(NamedTuple):
    """Step the task that runs."""

    step: TaskStep


JobStep = Write | Start | StepTask


class JobView(NamedTuple):
    """All that a decision on one job reads.

    ``now`` is the time since the epoch, ``read_at`` that of the view of tasks. ``placed_here`` says
    that this daemon wrote the attempt and hasn't asked the platform to start it; ``in_epoch_s`` is
    for how long the job has been in its epoch.
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
    """The attempt that runs, or None."""
    return job["attempts"][-1] if has_running_attempt(job) else None


def pause_step(job: JobState, disruption: Disruption) -> TaskStep | None:
    """The step that takes a job off its worker, or None when it has to be left there.

    A stop throws away what the job has done, and it begins again: that is a second run.
    """
    if "checkpoint" in disruption["steps"]:
        return "checkpoint"
    if "stop" in disruption["steps"] and job["spec"]["idempotent"]:
        return "stop"
    return None


def next_step(view: JobView) -> JobStep | None:
    """Decide the next step of a job that holds room on a worker; None for none."""
    attempt = attempt_of(view.job)
    if attempt is None:
        return None
    if view.task is None:
        return _without_task(view, attempt)
    if view.task["state"] not in LIVE_STATES:
        return _after_task(view, view.task)
    if view.now > view.task["lease_until"] + LAPSE_GRACE_S:
        return _unknown(view, "the lease ran out")
    return _with_task(view, view.task)


def stray_step(
    job: JobState, task: TaskInfo | None, worker: WorkerInfo | None, now: float
) -> StepTask | None:
    """Decide on what still runs although its job has ended on the log; None for nothing.

    A start that was held up can take effect after the job was cancelled. Once
    its lease is over the worker stops the task by itself. The task of a job that is done may be
    shown as running for a moment and is left alone.
    """
    if task is None or task["state"] not in LIVE_STATES or not is_up(worker):
        return None
    if job["phase"] != "ended" or job["code"] == status_codes.JOB_DONE.number:
        return None
    return StepTask("stop") if now <= task["lease_until"] else None


def _without_task(view: JobView, attempt: AttemptState) -> JobStep | None:
    age_s = view.now - attempt["started"]
    is_seen_late = view.read_at > attempt["started"] + START_WINDOW_S + SETTLE_S
    if view.job["phase"] != "placed" or age_s > START_WINDOW_S:
        return _unknown(view, "the platform has no such task") if is_seen_late else None
    if view.job["cancelled"] or not _takes_work(view):
        # Only the daemon that placed it knows for sure that nobody has started it.
        return Write("attempt_over", "moved") if view.placed_here else None
    return Start()


def _takes_work(view: JobView) -> bool:
    """Whether the host is still where the job was placed, and not on its way to another pool."""
    return view.is_job_pool and view.host is not None and view.host["phase"] == "in_service"


def _after_task(view: JobView, task: TaskInfo) -> JobStep:
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
    return _unknown(view, f"{state}: {task['detail']}")


def is_up(worker: WorkerInfo | None) -> bool:
    """Whether a worker runs; what ends on one that doesn't is no fault of the job's."""
    return worker is not None and worker["state"] in ("up", "draining")


def _unknown(view: JobView, why: str) -> JobStep:
    """Give an attempt up of which nobody can say whether it ran to its end."""
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
        return _pausing(view, task, step)
    return Write("pause") if _must_leave(view) else None


def _pausing(view: JobView, task: TaskInfo, step: TaskStep) -> JobStep | None:
    """Give the warning that the profile asks for, at a lower pace if it allows that."""
    if view.in_epoch_s >= view.disruption["warning_s"]:
        return StepTask(step)
    if "throttle" in view.disruption["steps"] and task["state"] == "running":
        return StepTask("throttle")
    return None


def _must_leave(view: JobView) -> bool:
    return view.host is not None and view.host["phase"] not in ("in_service", "failed")


def keeps_lease(view: JobView) -> bool:
    """Whether the lease of a task that runs is to be renewed.

    On a worker that is lost the task may have ended long ago: its lease is let run out, so that
    the job can go on elsewhere.
    """
    if view.task is None or view.task["state"] not in LIVE_STATES:
        return False
    return is_up(view.worker) and (view.host is None or view.host["phase"] != "failed")


def end_code(job: JobState) -> Code:
    """The result code that a job ended with."""
    return status_codes.by_number[job["code"]]


def disruption_of(state: Any, job: JobState) -> Disruption:
    """How a job may be disrupted; one without a profile is left alone."""
    profile = state.value("profile", job["spec"].get("profile", ""))
    return NO_DISRUPTION if profile is None else profile["disruption"]


def is_job_pool(state: Any, pool: str) -> bool:
    """Whether jobs may be placed in a pool: it is declared and serves no service.

    Not in the spare pool: its hosts are the buffer that all services share, and one with a job on
    it would come too late when a host has failed.
    """
    value = state.value("pool", pool)
    return pool != "" and value is not None and value["service"] == ""
