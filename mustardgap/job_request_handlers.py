"""The requests of callers to the owner of a shard: to submit, cancel or query jobs."""

import asyncio
from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from . import job_replies, status_codes
from .access import check_identity, may_use
from .accounts import Identity
from .events import EventLog
from .job_memory import job_bytes
from .job_replies import JobReply
from .job_states import Job, JobPhase, StoredJob, encode_job
from .path_holders import FormerCall, FormerReply, path_of
from .shard_logs import CANCELLED_KEY, JOB_KEY, PROGRESS_KEY
from .tickets import Stored, Ticket
from .timers import Clock
from .workloads import JobSpec, Queue

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

# How long a caller waits for a record to be stored. A slow store takes some 60 times the usual 8 ms
# for an append.
STORE_WAIT_S = 1.2
# New jobs are rejected at once when the store has taken no records for this long. A single lost
# answer, after which the append is repeated within about 0.3 s, isn't enough.
MAX_STORE_FAILING_S = 0.6
# Why a job has ended that its caller cancelled.
CANCELLED = "cancelled"


class AcceptingJob(NamedTuple):
    """A job whose record isn't stored yet, and the ticket of the record."""

    stored: StoredJob
    ticket: Ticket


class JobRequestHandler:
    """Answers requests for the jobs of one shard from what is durably stored.

    :param dispatcher: the shard's owner.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(
        self,
        *,
        dispatcher: "Dispatcher",
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._events = events
        self._accepting_by_id: dict[str, AcceptingJob] = {}

    async def submit(
        self,
        *,
        job_id: str,
        queue: Queue,
        spec: JobSpec,
        identity: Identity | None = None,
        wait_s: float | None = None,
    ) -> JobReply:
        """Accept a job durably; submitting an id again changes nothing.

        :param identity: the caller's, None where no key is needed.
        :param wait_s: for how many more seconds the caller waits, None if that isn't known.
        :return: MG4020 if stored, MG4027, MG4028 or MG4030 to MG4034 if certainly not, MG4029 if
            unknown.
        """
        if not self._dispatcher.loaded:
            return job_replies.owner_unavailable("the owner is reading its jobs")
        path = path_of(queue)
        elsewhere = await self._ask_former_holders(job_id, path, identity)
        if elsewhere is not None:
            return elsewhere
        checked = self._check_access(job_id, queue.name, identity)
        if isinstance(checked, JobReply):
            return checked
        if job_id in self._dispatcher.jobs_by_id:
            return job_replies.ACCEPTED
        accepting = self._accepting_by_id.get(job_id)
        if accepting is None:
            if job_id in self._dispatcher.cancelled:
                return job_replies.CANCELLED_BEFORE_ACCEPTED
            if not self._dispatcher.paths.may_accept(path):
                return job_replies.owner_unavailable("another service holds the path")
            # Only new jobs are rejected: a stored one would run although reported as not run.
            if self._dispatcher.handing_over:
                return job_replies.owner_unavailable("the owner is handing over its jobs")
            if self._dispatcher.log.failing_s() > MAX_STORE_FAILING_S:
                return job_replies.store_unavailable("the store doesn't answer the owner")
            account = checked.account if checked is not None else ""
            if self._dispatcher.account_limits.never_holds(account, spec):
                return job_replies.LIMIT_NEVER_HOLDS
            self._dispatcher.account_shares.note_arrival(job_id, queue, account, spec)
            wall = self._clock.wall()
            stored = StoredJob(
                queue=queue.name,
                service=queue.service,
                accepted_at=wall,
                spec=spec,
                account=account,
                max_attempts=queue.max_attempts,
                path=path,
                advice=queue.advice or msgspec.UNSET,
            )
            key, record = JOB_KEY + job_id, encode_job(stored)
            if not self._dispatcher.log.limits.hold(key, record):
                detail = "the job is larger than what can be stored of one"
                return JobReply(status_codes.JOB_INVALID, detail=detail)
            refusal = self._dispatcher.admission.refuse(job_id, stored, wait_s)
            if refusal is not None:
                return refusal
            if not self._dispatcher.has_memory_for(spec):
                return job_replies.NO_MEMORY
            self._dispatcher.admission.note_storing(job_id, stored)
            ticket = self._dispatcher.log.put(key, record)
            accepting = AcceptingJob(stored, ticket)
            self._accepting_by_id[job_id] = accepting
            self._dispatcher.spawn(self._add_when_stored(job_id, stored, ticket))
        key = JOB_KEY + job_id
        return await self._reply_when_stored(accepting.ticket, key, job_replies.ACCEPTED)

    async def cancel(self, job_id: str, identity: Identity | None = None) -> JobReply:
        """Cancel a job durably and stop its runs."""
        if not self._dispatcher.loaded:
            return job_replies.owner_unavailable("the owner is reading its jobs")
        if not self.knows(job_id):
            elsewhere = await self._ask_related_shards("cancel", job_id, identity)
            if elsewhere is not None:
                return elsewhere
        return await self._cancel_here(job_id, identity)

    async def _cancel_here(self, job_id: str, identity: Identity | None) -> JobReply:
        checked = self._check_access(job_id, self._queue_of(job_id), identity)
        if isinstance(checked, JobReply):
            return checked
        job = self._dispatcher.jobs_by_id.get(job_id)
        if job is None:
            return await self._cancel_unaccepted(job_id)
        if job.phase is JobPhase.LIVE:
            self._dispatcher.finish(job, JobPhase.CANCELLED, CANCELLED)
        ticket = self._dispatcher.end_tickets_by_id.get(job_id)
        if ticket is None:
            return job_replies.CANCELLED
        return await self._reply_when_stored(ticket, PROGRESS_KEY + job_id, job_replies.CANCELLED)

    async def _cancel_unaccepted(self, job_id: str) -> JobReply:
        """Cancel a job that isn't known to be accepted, so that it isn't accepted any more.

        That it doesn't exist is only said once that is stored under this owner's epoch, which also
        shows that no other daemon owns the shard.
        """
        accepting = self._accepting_by_id.get(job_id)
        if accepting is None and self._dispatcher.log.failing_s() > MAX_STORE_FAILING_S:
            return job_replies.store_unavailable("the store doesn't answer the owner")
        ticket = self._dispatcher.cancelled.add(job_id)
        self._events.note(
            "job.cancelled_early",
            vital=accepting is not None,
            job=job_id,
            shard=self._dispatcher.shard,
            epoch=self._dispatcher.epoch,
            accepting=accepting is not None,
        )
        reply = job_replies.CANCELLED if accepting is not None else job_replies.UNKNOWN_JOB
        if ticket is None:
            return reply
        return await self._reply_when_stored(ticket, CANCELLED_KEY + job_id, reply)

    async def state(self, job_id: str, identity: Identity | None = None) -> JobReply:
        """Return a job's state; its end is reported only once it is durable."""
        if not self._dispatcher.loaded:
            return job_replies.owner_unavailable("the owner is reading its jobs")
        if not self.knows(job_id):
            elsewhere = await self._ask_related_shards("state", job_id, identity)
            if elsewhere is not None:
                return elsewhere
        return await self._state_here(job_id, identity)

    async def _state_here(self, job_id: str, identity: Identity | None) -> JobReply:
        checked = self._check_access(job_id, self._queue_of(job_id), identity)
        if isinstance(checked, JobReply):
            return checked
        if not self.knows(job_id):
            reply = await self._reply_to_unknown_job()
            is_unknown = reply.code is status_codes.SUBMITTED_JOB_UNKNOWN
            # It may have been accepted while the store was asked.
            if not (is_unknown and self.knows(job_id)):
                return reply
        return self._state_of_known(job_id)

    def _state_of_known(self, job_id: str) -> JobReply:
        job = self._dispatcher.jobs_by_id.get(job_id)
        if job is None:
            is_cancelled = self._dispatcher.cancelled.is_durable(job_id)
            name = job_replies.STATE_NAMES[JobPhase.CANCELLED] if is_cancelled else "queued"
            return JobReply(status_codes.JOB_STATE, state=name)
        if job.durable_phase is not JobPhase.LIVE:
            name = job_replies.STATE_NAMES[job.durable_phase]
            return JobReply(status_codes.JOB_STATE, state=name, detail=job.end_reason)
        name = "running" if job.has_begun else "queued"
        return JobReply(status_codes.JOB_STATE, state=name, detail=job.degraded)

    async def pending(self, queue_name: str, identity: Identity | None = None) -> JobReply:
        """Return how many accepted jobs of a queue haven't started."""
        path = self._path_of(queue_name)
        own = self._pending_here(queue_name, path, identity)
        if own.pending is None or not path:
            return own
        holding = await self._dispatcher.paths.hold(path)
        if holding is None:
            return job_replies.owner_unavailable("it isn't known who holds the path")
        if not holding.former:
            return own
        call = self._former_call("pending", queue_name, identity, path)
        count = own.pending
        for reply in await self._dispatcher.paths.ask_former(holding, call):
            if reply.pending is None:
                return reply
            count += reply.pending
        return JobReply(status_codes.JOB_STATE, pending=count)

    async def answer_former(self, call: FormerCall) -> FormerReply:
        """Answer the owner of a shard that holds, or held, a path which this one held or holds.

        Only this shard is looked into. A new job is said to be unknown only once it is stored that
        this shard accepts nothing new for the path, as the other shard may accept it then.
        """
        if not self._dispatcher.loaded:
            unloaded = job_replies.owner_unavailable("the owner is reading its jobs")
            return FormerReply(unloaded, is_empty=False)
        if call.name == "pending":
            own = self._pending_here(call.subject, call.path, call.identity)
            return FormerReply(own, is_empty=False)
        if call.name == "cancel":
            return FormerReply(await self._cancel_here(call.subject, call.identity), is_empty=False)
        if call.name == "state":
            return FormerReply(await self._state_here(call.subject, call.identity), is_empty=False)
        return await self._answer_submission(call)

    async def _answer_submission(self, call: FormerCall) -> FormerReply:
        """Answer whether a job that was submitted to another shard is one of this one."""
        if call.subject in self._dispatcher.cancelled and not self.knows(call.subject):
            return FormerReply(job_replies.CANCELLED_BEFORE_ACCEPTED, is_empty=False)
        if not self.knows(call.subject):
            refusal = await self._release(call)
            if refusal is not None:
                return FormerReply(refusal, is_empty=False)
        if self.knows(call.subject):
            reply = await self._resubmit(call.subject, call.identity)
            return FormerReply(reply, is_empty=False)
        reply = await self._reply_to_unknown_job()
        is_unknown = reply.code is status_codes.SUBMITTED_JOB_UNKNOWN
        return FormerReply(reply, is_empty=is_unknown and not self._has_jobs_of(call.path))

    async def _resubmit(self, job_id: str, identity: Identity | None) -> JobReply:
        """Answer the submission of a job that is known, or being accepted."""
        checked = self._check_access(job_id, self._queue_of(job_id), identity)
        if isinstance(checked, JobReply):
            return checked
        accepting = self._accepting_by_id.get(job_id)
        if accepting is None:
            return job_replies.ACCEPTED
        return await self._reply_when_stored(
            accepting.ticket, JOB_KEY + job_id, job_replies.ACCEPTED
        )

    async def _release(self, call: FormerCall) -> JobReply | None:
        """Release a path durably.

        :return: None once it is stored, else what the caller is told.
        """
        paths = self._dispatcher.paths
        if paths.is_released(call):
            return None
        ticket = paths.release(call)
        if ticket is None:
            return job_replies.owner_unavailable("a later version holds the path here")
        await asyncio.wait([ticket.outcome], timeout=STORE_WAIT_S)
        if ticket.durable:
            return None
        return job_replies.owner_unavailable("it isn't stored that the path was released")

    async def _ask_former_holders(
        self, job_id: str, path: str, identity: Identity | None
    ) -> JobReply | None:
        """Ask the shards that held a path before for a submitted job that isn't known here.

        :return: the reply for the caller, None if no other shard knows the job, or will.
        """
        if self.knows(job_id):
            return None
        holding = await self._dispatcher.paths.hold(path)
        if holding is None:
            return job_replies.owner_unavailable("it isn't known who holds the path")
        if not holding.former:
            return None
        call = self._former_call("submit", job_id, identity, path)
        elsewhere = _reply_elsewhere(await self._dispatcher.paths.ask_former(holding, call))
        current = self._dispatcher.paths.by_path[path]
        if elsewhere is None and current.version != holding.version:
            # The path was lost and taken again meanwhile, so others may have held it.
            return job_replies.owner_unavailable("another service held the path meanwhile")
        return elsewhere

    async def _ask_related_shards(
        self, name: str, job_id: str, identity: Identity | None
    ) -> JobReply | None:
        """Ask all shards that share a path with this one for a job that isn't known here.

        :return: the reply for the caller, None if no other shard knows the job.
        """
        related = await self._dispatcher.paths.related_shards()
        if related is None:
            return job_replies.owner_unavailable("it isn't known who held the paths before")
        if not related:
            return None
        call = self._former_call(name, job_id, identity)
        replies_by_shard = await self._dispatcher.paths.ask(related, call)
        return _reply_elsewhere([answer.reply for answer in replies_by_shard.values()])

    def _former_call(
        self, name: str, subject: str, identity: Identity | None, path: str = ""
    ) -> FormerCall:
        holding = self._dispatcher.paths.by_path.get(path)
        version = holding.version if holding is not None else 0
        return FormerCall(name, subject, self._dispatcher.shard, identity, path, version)

    def _path_of(self, queue_name: str) -> str:
        """The path of a queue, empty if the queue isn't configured."""
        configuration = self._dispatcher.configuration
        queue = configuration.queues_by_name.get(queue_name) if configuration else None
        return path_of(queue) if queue is not None else ""

    def accepting_sizes(self) -> Iterator[int]:
        """About how many bytes each job needs whose record isn't stored yet."""
        return (job_bytes(job.stored.spec) for job in self._accepting_by_id.values())

    def knows(self, job_id: str) -> bool:
        """Whether a job is known, or is being accepted."""
        return job_id in self._dispatcher.jobs_by_id or job_id in self._accepting_by_id

    def _has_jobs_of(self, path: str) -> bool:
        """Whether the shard has, or may get, a job that was submitted to a path."""
        if self._dispatcher.cancelled:
            # Their paths aren't known.
            return True
        jobs = (job.stored for job in self._dispatcher.jobs_by_id.values())
        accepting = (job.stored for job in self._accepting_by_id.values())
        return any(stored.is_of(path) for stored in (*jobs, *accepting))

    def _pending_here(self, queue_name: str, path: str, identity: Identity | None) -> JobReply:
        """Return how many accepted jobs of a path this shard has that haven't started."""
        if not self._dispatcher.loaded or not self._dispatcher.is_membership_valid():
            return job_replies.owner_unavailable("the owner isn't sure of its jobs")
        checked = check_identity(self._dispatcher.configuration, identity, queue_name)
        if isinstance(checked, JobReply):
            return checked
        count = sum(
            job.phase is JobPhase.LIVE and not job.has_begun and job.stored.is_of(path, queue_name)
            for job in self._dispatcher.jobs_by_id.values()
        )
        return JobReply(status_codes.JOB_STATE, pending=count)

    def _check_access(
        self, job_id: str, queue_name: str | None, identity: Identity | None
    ) -> Identity | JobReply | None:
        """Check a caller who wants to submit or use a job.

        :param queue_name: the job's queue, None if the job isn't known.
        :return: the identity that holds, None for anybody, or the reply that refuses the call.
        """
        checked = check_identity(self._dispatcher.configuration, identity, queue_name)
        if isinstance(checked, JobReply):
            return checked
        if not may_use(self._account_of(job_id), checked):
            return job_replies.OTHER_ACCOUNT
        return checked

    def _queue_of(self, job_id: str) -> str | None:
        job = self._dispatcher.jobs_by_id.get(job_id)
        return job.queue_name if job is not None else None

    def _account_of(self, job_id: str) -> str:
        """The account that submitted a job; empty for a job without one, or an unknown job."""
        job = self._dispatcher.jobs_by_id.get(job_id)
        if job is not None:
            return job.account
        accepting = self._accepting_by_id.get(job_id)
        return accepting.stored.account if accepting is not None else ""

    async def _reply_to_unknown_job(self) -> JobReply:
        # The shard may have been assigned to another daemon that has accepted the job; the caller
        # mustn't be told that it doesn't exist.
        if await self._dispatcher.ownership.holds():
            return job_replies.UNKNOWN_JOB
        return job_replies.owner_unavailable("the owner isn't sure of its jobs")

    async def _reply_when_stored(self, ticket: Ticket, key: str, reply: JobReply) -> JobReply:
        await asyncio.wait([ticket.outcome], timeout=STORE_WAIT_S)
        if not ticket.outcome.done():
            if key.startswith(JOB_KEY) and self._dispatcher.log.withdraw(key, ticket):
                return job_replies.store_unavailable("the store is slow")
            return job_replies.UNSETTLED
        stored = ticket.outcome.result()
        if stored is Stored.YES:
            return reply
        if stored is Stored.NO:
            return job_replies.owner_unavailable("another daemon owns the queue")
        return job_replies.UNSETTLED

    async def _add_when_stored(self, job_id: str, stored: StoredJob, ticket: Ticket) -> None:
        # Awaiting the future directly would cancel it with this task when the ownership ends, and
        # the caller, who waits for it too, would get no answer.
        await asyncio.wait([ticket.outcome])
        outcome = ticket.outcome.result()
        del self._accepting_by_id[job_id]
        self._dispatcher.admission.note_settled(job_id)
        job = None
        if outcome is Stored.YES:
            job = Job(job_id=job_id, stored=stored)
            self._dispatcher.account_shares.mark(job)
        self._events.note(
            "job.accepted",
            vital=outcome is not Stored.YES,
            job=job_id,
            queue=stored.queue,
            service=stored.service,
            account=stored.account or None,
            shard=self._dispatcher.shard,
            epoch=self._dispatcher.epoch,
            stored=outcome.value,
            tasks=sum(step.width for step in stored.spec.steps),
            steps=[step for step in stored.spec.steps if step.lasting] or None,
            excess=(job.excess or None) if job is not None else None,
        )
        if job is not None:
            self._dispatcher.jobs_by_id[job_id] = job
            if job_id in self._dispatcher.cancelled:
                self._dispatcher.finish(job, JobPhase.CANCELLED, CANCELLED)
            self._dispatcher.wake()


def _reply_elsewhere(replies: Sequence[JobReply]) -> JobReply | None:
    """Choose among the replies of other shards; None if none of them knows the job."""
    known = [r for r in replies if r.code is not status_codes.SUBMITTED_JOB_UNKNOWN]
    # A shard that knows the job answers for it, whether the others can be asked or not.
    known.sort(key=lambda reply: reply.code is status_codes.OWNER_UNAVAILABLE)
    return known[0] if known else None
