"""What a new owner reads of its shard's records; one that can't be read costs that record only."""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from .job_states import Job, decode_job
from .owner_records import OWNER_KEY, decode_owner
from .shard_logs import EXECUTOR_KEY, JOB_KEY, PROGRESS_KEY
from .workloads import ExecutorEntry, ExecutorId

# What decoding raises: bytes of another form, or a form with values that can't be.
UNREADABLE = (msgspec.DecodeError, ValueError, KeyError, IndexError, TypeError)


class ShardRecords(NamedTuple):
    """The records of one shard.

    ``unread_executors`` were used by the former owner, and nothing else is known of them;
    ``invalid`` tells what was wrong with each record that couldn't be read.
    """

    jobs_by_id: dict[str, Job]
    executors: list[ExecutorEntry]
    unread_executors: list[ExecutorId]
    closed: bool
    invalid: list[str]


def read_records(values: Mapping[str, bytes | None]) -> ShardRecords:
    """Decode a shard's newest records.

    :param values: values by key; None or empty for one that was removed.
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


def told(key: str, exc: Exception) -> str:
    """What was wrong with a record, for a line of the log."""
    return f"{key}: {type(exc).__name__}: {exc}"


def _read_job(records: ShardRecords, key: str, value: bytes) -> None:
    job_id = key.removeprefix(JOB_KEY)
    try:
        records.jobs_by_id[job_id] = decode_job(job_id, value)
    except UNREADABLE as exc:
        records.invalid.append(told(key, exc))


def _restore_progress(records: ShardRecords, key: str, value: bytes) -> None:
    job = records.jobs_by_id.get(key.removeprefix(PROGRESS_KEY))
    if job is None:
        return
    try:
        job.restore(value)
    except UNREADABLE as exc:
        # Nobody knows which of its tasks are done; started again, they would be done twice.
        job.progress_unreadable = True
        records.invalid.append(told(key, exc))


def _read_executor(records: ShardRecords, key: str, value: bytes) -> None:
    try:
        records.executors.append(msgspec.msgpack.decode(value, type=ExecutorEntry))
    except UNREADABLE as exc:
        records.unread_executors.append(key.removeprefix(EXECUTOR_KEY))
        records.invalid.append(told(key, exc))


def _was_closed(raw: bytes | None, invalid: list[str]) -> bool:
    """Whether the last owner left in good order; a shard that never had one counts as such."""
    if raw is None:
        return True
    try:
        return decode_owner(raw).closed
    except UNREADABLE as exc:
        # An owner that can't be told to have left may still give leases.
        invalid.append(told(OWNER_KEY, exc))
        return False
