"""Jobs that were cancelled while their shard didn't know, or wasn't sure, that they were accepted.

A caller may cancel a job whose record isn't known to be stored yet, or whose submission is still on
its way. Whatever becomes of the record or the submission, the job must not run once its caller has
been told that it is cancelled, or doesn't exist. So its id is stored as cancelled before that is
said, and each owner of the shard, this one or a later one, goes by it.
"""

from collections.abc import Callable, Mapping

import msgspec

from .codecs import Undecodable, decode_msgpack
from .events import EventLog
from .shard_logs import CANCELLED_KEY, ShardLog
from .tickets import Ticket
from .timers import Clock
from .workloads import JobId


class CancelledJobs:
    """The ids of such jobs of one shard.

    :param log: the shard's log.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(self, *, log: ShardLog, clock: Clock, events: EventLog) -> None:
        # Seconds since the epoch at which each job was cancelled.
        self.cancelled_at_by_id: dict[JobId, float] = {}
        self._tickets_by_id: dict[JobId, Ticket] = {}
        self._log = log
        self._clock = clock
        self._events = events

    def __contains__(self, job_id: JobId) -> bool:
        return job_id in self.cancelled_at_by_id

    def __bool__(self) -> bool:
        return bool(self.cancelled_at_by_id)

    def restore(self, values: Mapping[str, bytes | None]) -> None:
        """Restore what former owners of the shard have stored."""
        for key, raw in values.items():
            if not raw or not key.startswith(CANCELLED_KEY):
                continue
            try:
                cancelled_at = decode_msgpack(raw, float)
            except Undecodable as exc:
                # The key alone says that the job is cancelled.
                self._events.note("record.invalid", vital=True, why=f"{key}: {exc}")
                cancelled_at = self._clock.wall()
            self.cancelled_at_by_id[key.removeprefix(CANCELLED_KEY)] = cancelled_at

    def add(self, job_id: JobId) -> Ticket | None:
        """Cancel a job for good.

        :return: the ticket of the record, None if it is stored.
        """
        if job_id not in self.cancelled_at_by_id:
            wall = self._clock.wall()
            self.cancelled_at_by_id[job_id] = wall
            ticket = self._log.put(CANCELLED_KEY + job_id, msgspec.msgpack.encode(wall))
            self._tickets_by_id[job_id] = ticket
            ticket.outcome.add_done_callback(lambda _: self._settle(job_id, ticket))
        return self._tickets_by_id.get(job_id)

    def is_durable(self, job_id: JobId) -> bool:
        """Whether it is stored that a job is cancelled."""
        return job_id in self.cancelled_at_by_id and job_id not in self._tickets_by_id

    def reap(self, before: float, is_needed: Callable[[JobId], bool]) -> None:
        """Forget jobs that were cancelled before a time.

        :param before: seconds since the epoch.
        :param is_needed: whether a job may still be accepted, or isn't known to have ended.
        """
        for job_id, cancelled_at in list(self.cancelled_at_by_id.items()):
            if cancelled_at >= before or is_needed(job_id) or not self.is_durable(job_id):
                continue
            del self.cancelled_at_by_id[job_id]
            self._log.put(CANCELLED_KEY + job_id, b"")

    def _settle(self, job_id: JobId, ticket: Ticket) -> None:
        if ticket.durable:
            self._tickets_by_id.pop(job_id, None)
