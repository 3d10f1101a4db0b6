"""The way of a caller's request to the owner of its queue, here or on another daemon."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any, NamedTuple

import msgspec

from . import job_replies, metrics, pool_views, status_codes
from .boards import OperatorBoard
from .dispatchers import Dispatcher
from .events import EventLog
from .job_replies import JobReply
from .peer_calls import PeerClient, PeerServer, PeerUnreachable
from .policies import WHOLE, Mechanism, Policy
from .pool_views import PoolRequest, PoolView
from .shard_owners import ShardOwners, shard_of
from .timers import Clock
from .workloads import JobSpec, Queue

# An owner answers within a few milliseconds, or once the store has answered it.
CALL_S = 1.5
# An owner that is frozen or cut off answers nothing; a caller who only asks is told so soon.
ASK_S = 0.6
# A daemon that only has to say that it is there does so within a few milliseconds.
REACH_S = 0.4
# A pool's view serves one round of the fleet's owner.
POOL_S = 0.4
# How often an owner is looked for, and the pause before: waiting 0.3 s in all spares most callers
# of a hand-over a refusal, after which they would come back a second later.
TRIES = 4
AGAIN_S = 0.1
# A change whose outcome isn't known is put again until so long before its caller stops waiting: the
# answer's way, some 8 ms to the farthest clients, and the time that a busy host takes for it.
ANSWER_S = 0.15
# What a caller's only try gets however short its time is: an owner's usual answer.
LEAST_S = 0.05

# Calls that change something.
CHANGES = ("submit", "cancel")

# Answers that say that a call had no effect.
NOT_DONE = (status_codes.OWNER_UNAVAILABLE, status_codes.STORE_UNAVAILABLE)


class Answered(NamedTuple):
    """What a caller is told, and how often its call was put to an owner."""

    reply: JobReply
    tries: int


class JobGateway:
    """Answers the callers of the job interface.

    :param owners: who owns which shard.
    :param operator: the configuration.
    :param peers: calls other daemons.
    :param shards: how many shards there are.
    :param clock: the clocks to read.
    :param events: the process's event log.
    :param policy: the mechanisms that are enabled.
    """

    def __init__(
        self,
        *,
        owners: ShardOwners,
        operator: OperatorBoard,
        peers: PeerClient,
        shards: int,
        clock: Clock,
        events: EventLog,
        policy: Policy = WHOLE,
    ) -> None:
        self._policy = policy
        self._owners = owners
        self._operator = operator
        self._peers = peers
        self._shards = shards
        self._clock = clock
        self._events = events
        self._refreshed_at = float("-inf")

    def queue_for(self, host: str, path: str) -> Queue | JobReply:
        """The queue that a request means, or the answer when there is none."""
        configuration = self._operator.configuration
        if configuration is None:
            return job_replies.NO_CONFIGURATION
        return configuration.queue_for(host, path) or job_replies.UNKNOWN_QUEUE

    async def submit(
        self, *, queue: Queue, job_id: str, spec: JobSpec, wait_s: float | None = None
    ) -> JobReply:
        """Hand a job in.

        :param wait_s: how long the caller waits; the queue's timeout if it doesn't say.
        """
        values = [job_id, queue, spec]
        return await self._ask("submit", queue, values, CALL_S, job_id=job_id, wait_s=wait_s)

    async def cancel(self, *, queue: Queue, job_id: str, wait_s: float | None = None) -> JobReply:
        """Cancel a job.

        :param wait_s: how long the caller waits; the queue's timeout if it doesn't say.
        """
        return await self._ask("cancel", queue, [job_id], CALL_S, job_id=job_id, wait_s=wait_s)

    async def state(self, *, queue: Queue, job_id: str) -> JobReply:
        """Ask for a job's state."""
        return await self._ask("state", queue, [job_id], ASK_S, job_id=job_id)

    async def pending(self, *, queue: Queue) -> JobReply:
        """Ask how many jobs of a queue haven't begun."""
        return await self._ask("pending", queue, [queue.name], ASK_S, job_id="")

    async def pool(self, request: PoolRequest) -> PoolView | None:
        """Ask the owner of a service's queues for its pool, None if it can't be reached."""
        shard = shard_of(request.service, self._shards)
        if shard in self._owners.owned_by_shard:
            return self._pool(shard, request)
        address = self._owners.address_of(shard)
        if address is None:
            return None
        try:
            answer = await self._peers.call(address, "pool", [shard, request], timeout_s=POOL_S)
        except PeerUnreachable as exc:
            self._events.note("pool.unreachable", service=request.service, why=str(exc))
            await self._refresh()
            return None
        return pool_views.decode(answer) if answer is not None else None

    def _pool(self, shard: int, request: PoolRequest) -> PoolView | None:
        owned = self._owners.owned_by_shard.get(shard)
        if not isinstance(owned, Dispatcher) or owned.ended.is_set():
            return None
        return owned.pool_view(request)

    async def _answer_pool(self, values: list[Any]) -> PoolView | None:
        shard, request = values
        return self._pool(shard, msgspec.convert(request, PoolRequest))

    async def reach(self, address: str) -> bool:
        """Call the daemon at an address; whether it has answered."""
        try:
            await self._peers.call(address, "alive", None, timeout_s=REACH_S)
        except PeerUnreachable as exc:
            self._events.note("peer.unreachable", peer=address, why=str(exc))
            return False
        return True

    async def _answer_alive(self, values: object) -> bool:
        return True

    def serve(self, server: PeerServer) -> None:
        """Answer the calls of other daemons for shards that this one owns."""
        for name in ("submit", "cancel", "state", "pending"):
            server.handle(name, self._handler(name))
        server.handle("pool", self._answer_pool)
        server.handle("alive", self._answer_alive)

    def _handler(self, name: str) -> Callable[[Any], Any]:
        async def handle(values: list[Any]) -> list[Any]:
            shard, arguments = values
            return (await self._local(shard, name, arguments)).encode()

        return handle

    async def _ask(
        self,
        name: str,
        queue: Queue,
        values: list[Any],
        timeout_s: float,
        *,
        job_id: str,
        wait_s: float | None = None,
    ) -> JobReply:
        shard = shard_of(queue.service, self._shards)
        began = self._clock.monotonic()
        until = began + (queue.timeout_s if wait_s is None else wait_s) - ANSWER_S
        answered = await self._put(shard, name, values, timeout_s, until)
        took_s = self._clock.monotonic() - began
        metrics.job_calls.add(1, {"call": name, "code": answered.reply.code.number})
        metrics.job_call_duration.record(took_s, {"call": name})
        self._note(name, queue, shard, job_id, answered, took_s)
        return answered.reply

    async def _put(
        self, shard: int, name: str, values: list[Any], timeout_s: float, until: float
    ) -> Answered:
        """Put a call to the owner, again where that may help.

        :param timeout_s: seconds that one try may take.
        :param until: the steady time at which the caller has to be told.
        """
        tried = 0
        unsettled: JobReply | None = None
        while True:
            tried += 1
            # A try that outlasts its caller's time ends when there is nobody left to be told.
            left_s = max(until - self._clock.monotonic(), LEAST_S)
            reply = await self._once(shard, name, values, timeout_s, left_s)
            if reply.code is status_codes.JOB_UNSETTLED:
                unsettled = reply
            if not self._tries_again(reply, tried, unsettled is not None, until):
                break
            # A shard that is handed over in good order has its new owner within a few tenths.
            await self._clock.sleep(AGAIN_S)
            await self._refresh_until(until)
            if self._clock.monotonic() >= until:
                break
        if unsettled is not None and reply.code in NOT_DONE:
            # An earlier try may have done it, so that it wasn't done can't be said any more.
            reply = unsettled
        return Answered(reply, tried)

    def _note(
        self,
        name: str,
        queue: Queue,
        shard: int,
        job_id: str,
        answered: Answered,
        took_s: float,
    ) -> None:
        """Write a line for a change, and for whatever wasn't answered with success."""
        reply = answered.reply
        failed = reply.code.http_status >= 400
        if failed and reply.code is not status_codes.SUBMITTED_JOB_UNKNOWN:
            self._events.note(
                f"{name}.answered",
                vital=True,
                job=job_id,
                queue=queue.name,
                shard=shard,
                owner=self._owners.members_by_shard.get(shard),
                owners_generation=self._owners.generation,
                code=str(reply.code),
                status=reply.code.http_status,
                why=reply.detail,
                tries=answered.tries,
                took_s=took_s,
            )
        elif name in CHANGES:
            self._events.note(
                f"{name}.answered",
                job=job_id,
                queue=queue.name,
                shard=shard,
                code=str(reply.code),
                took_s=took_s,
            )

    def _tries_again(self, reply: JobReply, tried: int, unsettled: bool, until: float) -> bool:
        """Whether to put a call again.

        A change under a job's id may be put any number of times. Told that nobody knows what became
        of it, its caller can neither go on nor put it again.
        """
        if self._clock.monotonic() + AGAIN_S >= until:
            return False
        repeats = self._policy.has(Mechanism.REPEATS)
        if repeats and unsettled and reply.code in (status_codes.JOB_UNSETTLED, *NOT_DONE):
            return True
        return reply.code is status_codes.OWNER_UNAVAILABLE and tried < TRIES

    async def _once(
        self, shard: int, name: str, values: list[Any], timeout_s: float, left_s: float
    ) -> JobReply:
        """Put a call to the owner once.

        :param timeout_s: seconds that another daemon may take.
        :param left_s: seconds until the caller has to be told.
        """
        if shard in self._owners.owned_by_shard:
            try:
                async with asyncio.timeout(left_s):
                    return await self._local(shard, name, msgspec.to_builtins(values))
            except TimeoutError:
                detail = "the owner, this daemon, took too long"
                return job_replies.unanswered(detail, is_change=name in CHANGES)
        address = self._owners.address_of(shard)
        if address is None:
            return job_replies.owner_unavailable("nobody owns the queue yet")
        try:
            answer = await self._peers.call(
                address, name, [shard, values], timeout_s=min(timeout_s, left_s)
            )
        except PeerUnreachable as exc:
            if exc.sent:
                return job_replies.unanswered(str(exc), is_change=name in CHANGES)
            return job_replies.owner_unavailable(str(exc))
        return job_replies.decode(answer)

    async def _local(self, shard: int, name: str, values: list[Any]) -> JobReply:
        owned = self._owners.owned_by_shard.get(shard)
        if not isinstance(owned, Dispatcher) or owned.ended.is_set():
            return job_replies.owner_unavailable("this daemon doesn't own the queue")
        if name == "submit":
            job_id, queue, spec = values
            return await owned.desk.submit(
                job_id=job_id,
                queue=msgspec.convert(queue, Queue),
                spec=msgspec.convert(spec, JobSpec),
            )
        if name == "cancel":
            return await owned.desk.cancel(values[0])
        if name == "state":
            return await owned.desk.state(values[0])
        return owned.desk.pending(values[0])

    async def _refresh_until(self, until: float) -> None:
        """Look for the owner anew; a store that is slow to tell costs no caller its answer."""
        with suppress(TimeoutError):
            async with asyncio.timeout(until - self._clock.monotonic()):
                await self._refresh()

    async def _refresh(self) -> None:
        # Many requests may find an owner gone at once; one reading serves all of them.
        now = self._clock.monotonic()
        if now - self._refreshed_at > 0.2:
            self._refreshed_at = now
            await self._owners.refresh()
