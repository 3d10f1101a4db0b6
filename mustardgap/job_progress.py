"""The durable form of a job's progress: one record, or one for each block of its tasks.

A wide job's progress may be larger than a record, and would be written anew with each of its ends.
So a job of many tasks stores it in blocks. The record that otherwise holds all of it only says that
there are blocks then, in a form that a release without them can't read: it would take a part of the
progress for the whole, and start tasks again that are done.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple, TypeVar

import msgspec

from .codecs import decode_msgpack
from .crashes import Crash, CrashSite
from .job_states import Job, JobPhase, Task

_T = TypeVar("_T")

# A job with more tasks than this stores its progress in blocks.
MAX_WHOLE_TASKS = 512


class WholeProgress(msgspec.Struct, omit_defaults=True):
    """The progress of a job in one record; the keys are ``occurrence.step``."""

    phase: int = 0
    ended_at: float = 0.0
    why: str = ""
    done: dict[str, str] = {}
    failed_runs: dict[str, dict[int, list[int]]] = {}
    checkpoints: dict[str, dict[int, str]] = {}
    crashes: dict[str, dict[int, dict[int, int]]] = {}
    crashes_confirmed: dict[str, dict[int, list[int]]] = {}
    crash_sites: dict[str, dict[int, dict[int, CrashSite]]] = {}
    restarted: dict[str, str] = {}
    batch_failure: str = ""


class BlocksHead(NamedTuple):
    """What the record of a job says whose progress is in blocks.

    It is stored as an array, which a release without blocks can't read as a progress.
    """

    why: str = ""
    batch_failure: str = ""


class TaskProgress(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "done": "d",
        "restarted": "r",
        "failed_runs": "f",
        "checkpoint": "c",
        "crashes": "x",
        "crashes_confirmed": "y",
        "crash_sites": "s",
    },
):
    """The progress of one task in a block."""

    done: bool = False
    restarted: bool = False
    failed_runs: list[int] = []
    checkpoint: str = ""
    crashes: dict[int, int] = {}
    crashes_confirmed: list[int] = []
    crash_sites: dict[int, CrashSite] = {}


def encode_whole(job: Job) -> bytes:
    """Encode all of a job's progress in one record."""
    progress = WholeProgress(
        phase=int(job.phase), why=job.end_reason, batch_failure=job.batch_failure
    )
    if job.phase is not JobPhase.LIVE:
        progress.ended_at = job.ended_at
        return msgspec.msgpack.encode(progress)
    for occurrence, steps in job.occurrences():
        for number, tasks in enumerate(steps):
            _add_step(progress, f"{occurrence}.{number}", tasks)
    return msgspec.msgpack.encode(progress)


def _add_step(progress: WholeProgress, name: str, tasks: list[Task]) -> None:
    bits = sum(1 << t.task_id.number for t in tasks if t.done)
    if bits:
        progress.done[name] = f"{bits:x}"
    restarted = sum(1 << t.task_id.number for t in tasks if t.restarted)
    if restarted:
        progress.restarted[name] = f"{restarted:x}"
    failed = {t.task_id.number: sorted(t.failed_runs) for t in tasks if t.failed_runs}
    if failed:
        progress.failed_runs[name] = failed
    saved = {t.task_id.number: t.checkpoint for t in tasks if t.checkpoint and not t.done}
    if saved:
        progress.checkpoints[name] = saved
    crashes = {t.task_id.number: dict(t.crashes) for t in tasks if t.crashes}
    if crashes:
        progress.crashes[name] = crashes  # type: ignore[assignment]
        _add_crash_evidence(progress, name, tasks)


def _add_crash_evidence(progress: WholeProgress, name: str, tasks: list[Task]) -> None:
    """Add which crashes of a step's tasks are confirmed, and where the others happened."""
    confirmed = {t.task_id.number: sorted(t.crashes_confirmed) for t in tasks if t.crashes}
    progress.crashes_confirmed[name] = {n: runs for n, runs in confirmed.items() if runs}
    sites = {t.task_id.number: t.crash_sites for t in tasks if t.crashes and t.crash_sites}
    progress.crash_sites[name] = sites


def encode_head(job: Job) -> bytes:
    """Encode the record of a job whose progress is in blocks."""
    return msgspec.msgpack.encode(BlocksHead(job.end_reason, job.batch_failure))


def restore_head(job: Job, raw: bytes) -> bool:
    """Restore what former owners stored in the job's own record.

    :return: whether all of the rest is in blocks.
    :raises Undecodable: it can't be read.
    """
    stored = decode_msgpack(raw, WholeProgress | BlocksHead)
    job.end_reason = stored.why
    if isinstance(stored, WholeProgress):
        _restore_whole(job, stored)
    if stored.batch_failure and job.phase is JobPhase.LIVE:
        job.fail_batch(stored.batch_failure)
        job.durable_phase = JobPhase.FAILED
    return isinstance(stored, BlocksHead)


def _restore_whole(job: Job, progress: WholeProgress) -> None:
    job.phase = job.durable_phase = JobPhase(progress.phase)
    job.ended_at = progress.ended_at
    by_task: dict[Task, TaskProgress] = {}

    def of(task: Task) -> TaskProgress:
        return by_task.setdefault(task, TaskProgress())

    for name, bits in progress.done.items():
        for task in _flagged(job, name, bits):
            of(task).done = True
    for name, bits in progress.restarted.items():
        for task in _flagged(job, name, bits):
            of(task).restarted = True
    for task, failed in _rows(job, progress.failed_runs):
        of(task).failed_runs = failed
    for task, checkpoint in _rows(job, progress.checkpoints):
        of(task).checkpoint = checkpoint
    for task, crashes in _rows(job, progress.crashes):
        of(task).crashes = crashes
    for task, confirmed in _rows(job, progress.crashes_confirmed):
        of(task).crashes_confirmed = confirmed
    for task, sites in _rows(job, progress.crash_sites):
        of(task).crash_sites = sites
    for task, found in by_task.items():
        restore_task(job, task, found)


def _flagged(job: Job, name: str, bits: str) -> list[Task]:
    number = int(bits, 16)
    return [t for t in _tasks_of_step(job, name) if number >> t.task_id.number & 1]


def _rows(job: Job, rows_by_step: Mapping[str, Mapping[int, _T]]) -> Iterator[tuple[Task, _T]]:
    for name, rows in rows_by_step.items():
        for task in _tasks_of_step(job, name):
            if task.task_id.number in rows:
                yield task, rows[task.task_id.number]


def _tasks_of_step(job: Job, name: str) -> list[Task]:
    occurrence, step = (int(part) for part in name.split("."))
    return job.steps_of(occurrence)[step]


def progress_of(task: Task) -> TaskProgress | None:
    """The progress of a task, None if it has made none."""
    checkpoint = "" if task.done else task.checkpoint
    if not (task.done or task.failed_runs or checkpoint or task.crashes or task.restarted):
        return None
    return TaskProgress(
        done=task.done,
        restarted=task.restarted,
        failed_runs=sorted(task.failed_runs),
        checkpoint=checkpoint,
        crashes={run: int(crash) for run, crash in task.crashes.items()},
        crashes_confirmed=sorted(task.crashes_confirmed) if task.crashes else [],
        crash_sites=task.crash_sites if task.crashes else {},
    )


def restore_task(job: Job, task: Task, found: TaskProgress) -> None:
    """Restore the progress of a task, beside what has been restored of it already.

    Records of different ages may tell of one task. That it is done, or that a run failed, stays
    true whatever another record says; of the rest, the last record counts.
    """
    if found.done:
        job.mark_done([task])
    task.restarted = task.restarted or found.restarted
    task.checkpoint = found.checkpoint or task.checkpoint
    if found.failed_runs:
        task.failed_runs.update(found.failed_runs)
        job.has_failures = True
    task.crashes = {run: Crash(how) for run, how in found.crashes.items()}
    task.crashes_confirmed = set(found.crashes_confirmed)
    task.crash_sites = dict(found.crash_sites)
    if found.crashes:
        job.has_crashes = True
    if found.done or found.failed_runs or found.crashes:
        job.has_started = True
        job.note_begun()
