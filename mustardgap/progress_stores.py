"""Stores the progress of a shard's jobs."""

import zlib
from collections.abc import Iterable

import msgspec

from . import metrics
from .events import EventLog
from .job_progress import (
    MAX_WHOLE_TASKS,
    TaskProgress,
    encode_head,
    encode_whole,
    progress_of,
)
from .job_states import Job, JobPhase, Task
from .progress_blocks import BLOCK_TASKS, BlockPlace, ProgressBlocks
from .shard_logs import PROGRESS_KEY, ShardLog
from .tickets import Ticket, joint


class ProgressStore:
    """Writes the progress of jobs to their shard's log.

    :param log: the shard's log.
    :param events: the process's event log.
    """

    def __init__(self, *, log: ShardLog, events: EventLog) -> None:
        self._log = log
        self._events = events
        # A task whose progress is larger has a record of its own, so that each block fits into one.
        self._largest_in_block = log.limits.record_bytes // (2 * BLOCK_TASKS)

    def store(self, job: Job, tasks: Iterable[Task] = ()) -> Ticket:
        """Store a job's progress.

        :param tasks: the tasks whose progress has changed since it was last stored; other changes
            than of their checkpoints aren't lost for the others.
        """
        if job.phase is not JobPhase.LIVE:
            return self._store_end(job)
        if job.blocks is None and not job.progress_unreadable and self._may_be_whole(job):
            raw = encode_whole(job)
            if self._log.limits.hold(PROGRESS_KEY + job.job_id, raw):
                return self._log.put(PROGRESS_KEY + job.job_id, raw)
        if job.blocks is None:
            job.blocks = ProgressBlocks(job=job)
        return self._store_blocks(job, job.blocks, tasks)

    @staticmethod
    def _may_be_whole(job: Job) -> bool:
        return job.opened_tasks <= MAX_WHOLE_TASKS

    def _store_end(self, job: Job) -> Ticket:
        ticket = self._log.put(PROGRESS_KEY + job.job_id, encode_whole(job))
        if job.blocks is not None:
            for place in job.blocks.checksums:
                self._log.put(place.key, b"")
            job.blocks = None
        return ticket

    def _store_blocks(self, job: Job, blocks: ProgressBlocks, tasks: Iterable[Task]) -> Ticket:
        changed = set(tasks)
        places = dict.fromkeys(blocks.place_of(task) for task in changed)
        if not blocks.head:
            # Whatever the job's own record still holds moves to the blocks.
            changed = set(job.tasks())
            places = dict.fromkeys(blocks.all_places())
        tickets = []
        for place in places:
            tickets += self._store_block(job, blocks, place, changed)
        # Checkpoints come with every report. They are stored by turns, so that a successor finds
        # rather recent ones though none of these tasks has ended.
        self._store_block(job, blocks, blocks.next_in_turn(), set())
        if (ticket := self._store_head(job, blocks, anew=not tickets)) is not None:
            tickets.append(ticket)
        return joint(tickets)

    def _store_head(self, job: Job, blocks: ProgressBlocks, *, anew: bool) -> Ticket | None:
        """Store the job's own record, behind its blocks: only with them it tells all.

        :param anew: whether to store it although it is the same as before.
        :return: its ticket, None if it is stored.
        """
        head = encode_head(job)
        # Written anew, one that nobody can read yet would be lost, and the blocks look like all.
        if not job.progress_unreadable and (anew or head != blocks.head):
            blocks.head_ticket = self._log.put_last(PROGRESS_KEY + job.job_id, head)
        blocks.head = head
        ticket = blocks.head_ticket
        return None if ticket is None or ticket.durable else ticket

    def _store_block(
        self, job: Job, blocks: ProgressBlocks, place: BlockPlace, changed: set[Task]
    ) -> list[Ticket]:
        """Store a block, and the tasks of it that have records of their own.

        :param changed: the tasks that are stored in any case; if there are none, it is the block's
            turn, and what differs from the last records is stored, one record of a task at most.
        """
        tickets: list[Ticket] = []
        rows: dict[int, msgspec.Raw] = {}
        tasks = blocks.tasks_at(place)
        for position, task in enumerate(tasks):
            own = place._replace(position=position)
            found = progress_of(task)
            if found is None and own not in blocks.checksums:
                continue
            found = found or TaskProgress()
            raw = msgspec.msgpack.encode(found)
            if own not in blocks.checksums and not self._is_apart(job, raw):
                rows[position] = msgspec.Raw(raw)
                continue
            if task in changed or not (changed or tickets):
                raw = self._fitting(blocks, own, task, found, raw)
                tickets += self._put(blocks, own, raw, is_changed=task in changed)
        if not job.progress_unreadable and (rows or place in blocks.checksums):
            raw = msgspec.msgpack.encode(rows)
            tickets += self._put(blocks, place, raw, is_changed=bool(changed))
        return tickets

    def _is_apart(self, job: Job, raw: bytes) -> bool:
        """Whether a task gets a record of its own, which it keeps."""
        # A block that can't be read may be among those that hold an unreadable progress.
        return job.progress_unreadable or len(raw) > self._largest_in_block

    def _fitting(
        self, blocks: ProgressBlocks, place: BlockPlace, task: Task, found: TaskProgress, raw: bytes
    ) -> bytes:
        """The progress of a task, without its checkpoint if it is too large for a record."""
        if self._log.limits.hold(place.key, raw):
            return raw
        metrics.records_rejected.add(1, {"kind": "checkpoint"})
        if task not in blocks.unstored:
            blocks.unstored.add(task)
            self._events.note(
                "checkpoint.rejected",
                vital=True,
                job=place.job,
                task=task.task_id,
                bytes=len(raw),
                limit=self._log.limits.record_bytes,
                why="larger than a record may be",
            )
        found.checkpoint = ""
        return msgspec.msgpack.encode(found)

    def _put(
        self, blocks: ProgressBlocks, place: BlockPlace, raw: bytes, *, is_changed: bool
    ) -> list[Ticket]:
        checksum = zlib.crc32(raw)
        if not is_changed and blocks.checksums.get(place) == checksum:
            return []
        blocks.checksums[place] = checksum
        return [self._log.put(place.key, raw)]
