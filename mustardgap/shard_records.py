"""Decoding of a shard's records by its new owner, which skips records that can't be decoded."""

from collections.abc import Mapping
from typing import NamedTuple

from .codecs import decode_msgpack, describe
from .job_states import Job, decode_job
from .owner_records import OWNER_KEY, decode_owner
from .shard_logs import EXECUTOR_KEY, JOB_KEY, PROGRESS_KEY
from .workloads import ExecutorEntry, ExecutorId


class ShardRecords(NamedTuple):
    """The records of one shard.

    ``unreadable_executors`` were used by the previous owner, but their records can't be decoded;
    ``invalid`` describes the error of each record that couldn't be decoded.
    """

    jobs_by_id: dict[str, Job]
    executors: list[ExecutorEntry]
    unreadable_executors: list[ExecutorId]
    closed: bool
    invalid: list[str]


def read_records(values: Mapping[str, bytes | None]) -> ShardRecords:
    """Decode a shard's newest records.

    :param values: values by key; None or empty for a key that was removed.
    """
    present = {key: value for key, value in values.items() if value}
    invalid: list[str] = []
    records = ShardRecords({}, [], [], _was_closed(present.get(OWNER_KEY), invalid), invalid)
    for key, value in present.items():
        if key.startswith(JOB_KEY):
            _read_job(records, key, value)
    for key, value in present.items():
        if key.startswith(PROGRESS_KEY):
            _restore_progress(records, key, value)
        elif key.startswith(EXECUTOR_KEY):
            _read_executor(records, key, value)
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
        job.restore(value)
    except Exception as exc:
        # Which of its tasks are done is unknown; if started again, some would run twice.
        job.progress_unreadable = True
        records.invalid.append(describe_error(key, exc))


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
