"""What callers ask the owner of a shard: to accept, cancel or tell of a job."""

import asyncio
from typing import TYPE_CHECKING

from . import job_replies, status_codes
from .events import EventLog
from .job_replies import JobReply
from .job_states import Job, JobPhase, StoredJob, encode_job
from .ports import Appended, Fenced, Store
from .shard_logs import JOB_KEY, PROGRESS_KEY
from .tickets import Stored, Ticket
from .timers import Clock
from .workloads import JobSpec, Queue

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

# How long a caller waits for its job to be stored: some 60 times the usual append of 8 ms, which
# is what a slow store takes.
ACCEPT_S = 1.2
# Callers are refused at once when the store has answered nothing for so long; one lost answer,
# which is repeated after some 0.3 s, is no reason.
GIVE_UP_S = 0.6


class JobDesk:
    """Answers callers for the jobs of one shard, by what is durable.

    :param dispatcher: the shard's owner.
    :param store: the durable log, asked who owns the shard.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(
        self, *, dispatcher: "Dispatcher", store: Store, clock: Clock, events: EventLog
    ) -> None:
        self._shard = dispatcher
        self._store = store
        self._clock = clock
        self._events = events
        self._accepting_by_id: dict[str, Ticket] = {}

    async def submit(self, *, job_id: str, queue: Queue, spec: JobSpec) -> JobReply:
        """Accept a job durably; a repeat of an id changes nothing.

        :return: MG4020 stored, MG4027 or MG4028 certainly not stored, MG4029 not known.
        """
        if not self._shard.loaded:
            return job_replies.owner_unavailable("the owner is reading its jobs")
        if job_id in self._shard.jobs_by_id:
            return job_replies.ACCEPTED
        ticket = self._accepting_by_id.get(job_id)
        if ticket is None:
            # Only what is new: refused as not run, a job that is on record would run all the same.
            if self._shard.handing_over:
                return job_replies.owner_unavailable("the owner is handing over its jobs")
            if self._shard.log.failing_s() > GIVE_UP_S:
                return job_replies.store_unavailable("the store doesn't answer the owner")
            stored = StoredJob(queue.name, queue.service, self._clock.wall(), spec)
            ticket = self._shard.log.put(JOB_KEY + job_id, encode_job(stored))
            self._accepting_by_id[job_id] = ticket
            self._shard.spawn(self._accept(job_id, stored, ticket))
        return await self._await_stored(ticket, JOB_KEY + job_id, job_replies.ACCEPTED)

    async def cancel(self, job_id: str) -> JobReply:
        """Cancel a job durably, then stop what runs of it."""
        if not self._shard.loaded:
            return job_replies.owner_unavailable("the owner is reading its jobs")
        accepting = self._accepting_by_id.get(job_id)
        if accepting is not None:
            await asyncio.wait([accepting.outcome], timeout=ACCEPT_S)
        job = self._shard.jobs_by_id.get(job_id)
        if job is None:
            return await self._unknown()
        if job.phase is JobPhase.LIVE:
            self._shard.finish(job, JobPhase.CANCELLED, "cancelled")
        ticket = self._shard.end_tickets_by_id.get(job_id)
        if ticket is None:
            return job_replies.CANCELLED
        return await self._await_stored(ticket, PROGRESS_KEY + job_id, job_replies.CANCELLED)

    async def state(self, job_id: str) -> JobReply:
        """Where a job stands, by what is durable."""
        if not self._shard.loaded:
            return job_replies.owner_unavailable("the owner is reading its jobs")
        job = self._shard.jobs_by_id.get(job_id)
        if job is None:
            if job_id in self._accepting_by_id:
                return JobReply(status_codes.JOB_STATE, state="queued")
            return await self._unknown()
        if job.durable_phase is not JobPhase.LIVE:
            name = job_replies.STATE_NAMES[job.durable_phase]
            return JobReply(status_codes.JOB_STATE, state=name, detail=job.end_reason)
        name = "running" if job.has_started else "queued"
        return JobReply(status_codes.JOB_STATE, state=name)

    def pending(self, queue_name: str) -> JobReply:
        """How many accepted jobs of a queue haven't begun."""
        if not self._shard.loaded or not self._shard.settled():
            return job_replies.owner_unavailable("the owner isn't sure of its jobs")
        count = sum(
            1
            for job in self._shard.jobs_by_id.values()
            if job.queue_name == queue_name and job.phase is JobPhase.LIVE and not job.has_started
        )
        return JobReply(status_codes.JOB_STATE, pending=count)

    async def _unknown(self) -> JobReply:
        # The shard may have been dealt to another, who has accepted the job: its caller would be
        # told that the job doesn't exist. The store knows who owns the shard at this moment.
        outcome = await self._store.fence(shard=self._shard.shard, epoch=self._shard.epoch)
        if isinstance(outcome, Appended) and not self._shard.log.fenced:
            return job_replies.UNKNOWN_JOB
        if isinstance(outcome, Fenced):
            self._shard.step_down()
        return job_replies.owner_unavailable("the owner isn't sure of its jobs")

    async def _await_stored(self, ticket: Ticket, key: str, reply: JobReply) -> JobReply:
        await asyncio.wait([ticket.outcome], timeout=ACCEPT_S)
        if not ticket.outcome.done():
            if key.startswith(JOB_KEY) and self._shard.log.withdraw(key, ticket):
                return job_replies.store_unavailable("the store is slow")
            return job_replies.UNSETTLED
        stored = ticket.outcome.result()
        if stored is Stored.YES:
            return reply
        if stored is Stored.NO:
            return job_replies.owner_unavailable("another daemon owns the queue")
        return job_replies.UNSETTLED

    async def _accept(self, job_id: str, stored: StoredJob, ticket: Ticket) -> None:
        # Awaiting the future itself would cancel it with this task when the ownership ends, and the
        # caller, who waits for it too, would get no answer at all.
        await asyncio.wait([ticket.outcome])
        outcome = ticket.outcome.result()
        del self._accepting_by_id[job_id]
        self._events.note(
            "job.accepted",
            vital=outcome is not Stored.YES,
            job=job_id,
            queue=stored.queue,
            service=stored.service,
            shard=self._shard.shard,
            epoch=self._shard.epoch,
            stored=outcome.value,
            tasks=sum(step.width for step in stored.spec.steps),
            steps=[step for step in stored.spec.steps if step.lasting] or None,
        )
        if outcome is Stored.YES:
            self._shard.jobs_by_id[job_id] = Job(job_id=job_id, stored=stored)
            self._shard.wake()
