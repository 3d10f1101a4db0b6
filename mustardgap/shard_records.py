"""Decoding of a shard's records by its new owner, which skips records that can't be decoded."""

from collections.abc import Mapping
from typing import NamedTuple

from .codecs import decode_msgpack, describe
from .job_progress import TaskProgress, restore_head, restore_task
from .job_states import Job, JobPhase, decode_job
from .owner_records import OWNER_KEY, decode_owner
from .progress_blocks import BLOCK_KEY, BlockPlace, ProgressBlocks, parse_place
from .shard_logs import EXECUTOR_KEY, JOB_KEY, PROGRESS_KEY
from .workloads import ExecutorEntry, ExecutorId


class ShardRecords(NamedTuple):
    """The records of one shard.

    ``unreadable_executors`` were used by the previous owner, but their records can't be decoded;
    ``invalid`` describes the error of each record that couldn't be decoded. ``stale_keys`` are
    those of blocks of jobs that have ended or are forgotten.
    """

    jobs_by_id: dict[str, Job]
    executors: list[ExecutorEntry]
    unreadable_executors: list[ExecutorId]
    closed: bool
    invalid: list[str]
    stale_keys: list[str]


def read_records(values: Mapping[str, bytes | None]) -> ShardRecords:
    """Decode a shard's newest records.

    :param values: values by key; None or empty for a key that was removed.
    """
    present = {key: value for key, value in values.items() if value}
    invalid: list[str] = []
    records = ShardRecords({}, [], [], _was_closed(present.get(OWNER_KEY), invalid), invalid, [])
    for key, value in present.items():
        if key.startswith(JOB_KEY):
            _read_job(records, key, value)
    for key, value in present.items():
        if key.startswith(PROGRESS_KEY):
            _restore_progress(records, key, value)
        elif key.startswith(EXECUTOR_KEY):
            _read_executor(records, key, value)
    _restore_blocks(records, present)
    return records


def describe_error(key: str, exc: Exception) -> str:
    """Describe why a record couldn't be decoded, for the log."""
    return f"{key}: {describe(exc)}"


def _read_job(records: ShardRecords, key: str, value: bytes) -> None:
    job_id = key.removeprefix(JOB_KEY)
    try:
        records.jobs_by_id[job_id] = decode_job(job_id, value)
    except Exception as exc:
        records.invalid.append(describe_error(key, exc))


def _restore_progress(records: ShardRecords, key: str, value: bytes) -> None:
    job = records.jobs_by_id.get(key.removeprefix(PROGRESS_KEY))
    if job is None:
        return
    try:
        if restore_head(job, value):
            job.blocks = ProgressBlocks(job=job)
            job.blocks.head = value
    except Exception as exc:
        # Which of its tasks are done is unknown; if started again, some would run twice.
        job.progress_unreadable = True
        records.invalid.append(describe_error(key, exc))


def _restore_blocks(records: ShardRecords, present: Mapping[str, bytes]) -> None:
    """Restore the blocks of jobs, and then the tasks that have records of their own."""
    places: list[BlockPlace] = []
    for key in present:
        if not key.startswith(BLOCK_KEY):
            continue
        try:
            places.append(parse_place(key))
        except ValueError as exc:
            records.invalid.append(describe_error(key, exc))
    for place in sorted(places, key=lambda place: place.position is not None):
        job = records.jobs_by_id.get(place.job)
        if job is not None and job.phase is JobPhase.LIVE:
            _restore_block(records, job, place, present[place.key])
        elif job is not None or JOB_KEY + place.job not in present:
            records.stale_keys.append(place.key)


def _restore_block(records: ShardRecords, job: Job, place: BlockPlace, value: bytes) -> None:
    blocks = job.blocks = job.blocks or ProgressBlocks(job=job)
    blocks.checksums[place] = None
    try:
        tasks = blocks.tasks_at(place)
        if place.position is not None:
            restore_task(job, tasks[place.position], decode_msgpack(value, TaskProgress))
            return
        for position, found in decode_msgpack(value, dict[int, TaskProgress]).items():
            restore_task(job, tasks[position], found)
    except Exception as exc:
        job.progress_unreadable = True
        records.invalid.append(describe_error(place.key, exc))


def _read_executor(records: ShardRecords, key: str, value: bytes) -> None:
    try:
        records.executors.append(decode_msgpack(value, ExecutorEntry))
    except Exception as exc:
        records.unreadable_executors.append(key.removeprefix(EXECUTOR_KEY))
        records.invalid.append(describe_error(key, exc))


def _was_closed(raw: bytes | None, invalid: list[str]) -> bool:
    """Whether the last owner left gracefully; also True for a shard that never had an owner."""
    if raw is None:
        return True
    try:
        return decode_owner(raw).closed
    except Exception as exc:
        # An owner that isn't known to have left may still grant leases.
        invalid.append(describe_error(OWNER_KEY, exc))
        return False
