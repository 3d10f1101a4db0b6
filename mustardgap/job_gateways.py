"""Forwards callers' requests to the owner of their queue, here or on another daemon."""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Any, NamedTuple

import msgspec

from . import job_replies, load_metrics, metrics, owner_hints, pool_views, status_codes
from .accounts import CredentialProblem, Identity
from .boards import OperatorBoard
from .codecs import Undecodable, convert
from .credential_refusals import RefusalTally
from .dispatchers import Dispatcher
from .events import EventLog
from .job_replies import JobReply
from .load_features import Feature, LoadFeatures
from .owner_hints import OwnerHints
from .path_holders import FormerCall, FormerReply
from .peer_calls import PeerClient, PeerServer, PeerUnreachable
from .policies import WHOLE, Mechanism, Policy
from .pool_views import PoolRequest, PoolView
from .shard_owners import ShardOwners, shard_of
from .timers import Clock
from .workloads import JobSpec, Queue

# The time of one try of a change. An owner replies within a few milliseconds, or once the store
# has answered it.
CHANGE_TIMEOUT_S = 1.5
# The time of one try of a query. If the owner is frozen or cut off, the caller learns so soon.
QUERY_TIMEOUT_S = 0.6
# A live daemon answers an "alive" call within a few milliseconds.
REACH_TIMEOUT_S = 0.4
# Each round of the fleet's owner waits for the views of the pools.
POOL_VIEW_TIMEOUT_S = 0.4
# The tries of a call that finds no owner, and the pause between them. Waiting 0.3 s in all spares
# most callers a rejection during a hand-over, after which they would retry a second later.
MAX_TRIES = 4
RETRY_DELAY_S = 0.1
# Tries end this long before the caller stops waiting. It covers the answer's way, some 8 ms to the
# farthest clients, and the time that a busy host takes to send it.
REPLY_MARGIN_S = 0.15
# The minimum time of a try, however little the caller has left. Owners usually answer within it.
MIN_TRY_S = 0.05

# The store usually answers a read of the owners within 4 ms. If it takes longer than this, other
# daemons are asked as well.
USUAL_READ_S = 0.1

CHANGE_CALLS = ("submit", "cancel")
FORMER_HOLDER_CALL = "former_holder"
# The owner of another shard that may know a job answers within the time that its caller's try has.
FORMER_HOLDER_TIMEOUT_S = 0.4
# The values of a submit call that are always there. The caller's identity and how long it waits may
# follow.
SUBMIT_VALUES = ("job_id", "queue", "spec")

# Codes of replies to calls that had no effect.
NO_EFFECT_CODES = (status_codes.OWNER_UNAVAILABLE, status_codes.STORE_UNAVAILABLE)
# Codes of replies to calls that weren't made because the pool has too much work.
OVERLOAD_CODES = (status_codes.POOL_OVERLOADED, status_codes.POOL_OVERLOADED_LONGER)
# Stands for no identity where a further value follows, as older daemons expect an identity there.
# Where there are no accounts, they don't look into it.
NOBODY = Identity("", "", 0)


class CallResult(NamedTuple):
    """The reply to a caller, and the number of tries that it took."""

    reply: JobReply
    tries: int


class JobGateway:
    """Answers the callers of the job interface.

    :param owners: the owners of the shards.
    :param operator: holds the configuration.
    :param peers: calls other daemons.
    :param shards: the number of shards.
    :param clock: the clocks to read.
    :param events: the process's event log.
    :param policy: the mechanisms that are enabled.
    :param hints: asks other daemons for the owners while the store doesn't answer; None for never.
    :param features: the decisions for hard load that take part; by default none.
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
        hints: OwnerHints | None = None,
        features: LoadFeatures | None = None,
    ) -> None:
        self._policy = policy
        self._hints = hints
        self._reads: set[asyncio.Task[bool]] = set()
        self._features = features or LoadFeatures()
        self._owners = owners
        self._operator = operator
        self._peers = peers
        self._shards = shards
        self._clock = clock
        self._events = events
        self._refreshed_at = float("-inf")
        self._refusals = RefusalTally(clock=clock, events=events)

    def queue_for(self, host: str, path: str) -> Queue | JobReply:
        """Return the queue that a request is for, or the reply when there is none."""
        configuration = self._operator.configuration
        if configuration is None:
            return job_replies.NO_CONFIGURATION
        return configuration.queue_for(host, path) or job_replies.UNKNOWN_QUEUE

    def identify(self, queue: Queue, keys: Sequence[str]) -> Identity | JobReply | None:
        """Identify the client account of a request.

        :param keys: the keys that the request carries, which should be one.
        :return: the identity, None where no key is needed, or the reply without a valid key.
        """
        configuration = self._operator.configuration
        if configuration is None:
            return job_replies.NO_CONFIGURATION
        if configuration.accounts is None or not configuration.needs_key(queue.name):
            return None
        identity = configuration.accounts.identify(keys, configuration.version)
        if isinstance(identity, CredentialProblem):
            self._refusals.note(identity, queue.name, configuration.version)
            return job_replies.credential_refused(identity)
        return identity

    async def submit(
        self,
        *,
        queue: Queue,
        job_id: str,
        spec: JobSpec,
        identity: Identity | None = None,
        wait_s: float | None = None,
    ) -> JobReply:
        """Submit a job.

        :param identity: the caller's, None where no key is needed.
        :param wait_s: seconds that the caller waits, by default the queue's timeout.
        """
        values = [job_id, queue, spec]
        return await self._call(
            "submit", queue, values, identity, CHANGE_TIMEOUT_S, job_id=job_id, wait_s=wait_s
        )

    async def cancel(
        self,
        *,
        queue: Queue,
        job_id: str,
        identity: Identity | None = None,
        wait_s: float | None = None,
    ) -> JobReply:
        """Cancel a job.

        :param identity: the caller's, None where no key is needed.
        :param wait_s: seconds that the caller waits, by default the queue's timeout.
        """
        return await self._call(
            "cancel", queue, [job_id], identity, CHANGE_TIMEOUT_S, job_id=job_id, wait_s=wait_s
        )

    async def state(
        self, *, queue: Queue, job_id: str, identity: Identity | None = None
    ) -> JobReply:
        """Query a job's state."""
        return await self._call("state", queue, [job_id], identity, QUERY_TIMEOUT_S, job_id=job_id)

    async def pending(self, *, queue: Queue, identity: Identity | None = None) -> JobReply:
        """Query how many jobs of a queue haven't started."""
        return await self._call(
            "pending", queue, [queue.name], identity, QUERY_TIMEOUT_S, job_id=""
        )

    async def pool(self, request: PoolRequest) -> PoolView | None:
        """Query the owner of a service's queues for its pool.

        :return: the view of the pool, None if there is none or the owner can't be reached.
        """
        shard = shard_of(request.service, self._shards)
        if shard in self._owners.owned_by_shard:
            return self._local_pool_view(shard, request)
        address = self._owners.address_of(shard)
        if address is None:
            return None
        try:
            values = [shard, pool_views.encode_request(request)]
            answer = await self._peers.call(address, "pool", values, timeout_s=POOL_VIEW_TIMEOUT_S)
            return pool_views.decode(answer) if answer is not None else None
        except (PeerUnreachable, Undecodable) as exc:
            self._events.note("pool.unreachable", service=request.service, why=str(exc))
            await self._refresh()
            return None

    def _local_pool_view(self, shard: int, request: PoolRequest) -> PoolView | None:
        owned = self._owners.owned_by_shard.get(shard)
        if not isinstance(owned, Dispatcher) or owned.ended.is_set():
            return None
        return owned.pool_view(request)

    async def _answer_pool(self, values: list[Any]) -> tuple[Any, ...] | None:
        shard, request = values
        view = self._local_pool_view(shard, convert(request, PoolRequest))
        return pool_views.encode_view(view) if view is not None else None

    async def reach(self, address: str) -> bool:
        """Call the daemon at an address and return whether it answered."""
        try:
            await self._peers.call(address, "alive", None, timeout_s=REACH_TIMEOUT_S)
        except PeerUnreachable as exc:
            self._events.note("peer.unreachable", peer=address, why=str(exc))
            return False
        return True

    async def _answer_alive(self, values: object) -> bool:
        return True

    def serve(self, server: PeerServer) -> None:
        """Register the handlers of other daemons' calls for shards that this daemon owns."""
        for name in ("submit", "cancel", "state", "pending"):
            server.handle(name, self._handler(name))
        server.handle("pool", self._answer_pool)
        server.handle("alive", self._answer_alive)
        server.handle(FORMER_HOLDER_CALL, self._answer_former)
        if self._hints is not None:
            server.handle(owner_hints.CALL, self._hints.answer)

    def _handler(self, name: str) -> Callable[[Any], Any]:
        async def handle(values: list[Any]) -> list[Any]:
            shard, arguments = values
            # The version at the beginning, as a later one may come while the owner looks.
            version = self._version
            reply = await self._call_local_owner(shard, name, arguments)
            return job_replies.encode_with_version(reply, version)

        return handle

    async def _call(
        self,
        name: str,
        queue: Queue,
        values: list[Any],
        identity: Identity | None,
        timeout_s: float,
        *,
        job_id: str,
        wait_s: float | None = None,
    ) -> JobReply:
        # Left out where there are no accounts, so that older daemons understand the call as well.
        if identity is not None:
            values = [*values, identity]
        shard = shard_of(queue.service, self._shards)
        began = self._clock.monotonic()
        deadline = began + (queue.timeout_s if wait_s is None else wait_s) - REPLY_MARGIN_S
        result = await self._call_with_retries(shard, name, values, timeout_s, deadline)
        took_s = self._clock.monotonic() - began
        metrics.job_calls.add(1, {"call": name, "code": result.reply.code.number})
        metrics.job_call_duration.record(took_s, {"call": name})
        account = identity.account if identity is not None else ""
        if name == "submit":
            load_metrics.count_submission(account=account, reply=result.reply)
        self._note(name, queue, shard, job_id, result, took_s, account)
        return result.reply

    async def _call_with_retries(
        self, shard: int, name: str, values: list[Any], timeout_s: float, deadline: float
    ) -> CallResult:
        """Call the owner, and retry where that may help.

        :param timeout_s: seconds that one try may take.
        :param deadline: the monotonic time by which the caller must get its reply.
        """
        tries = 0
        unsettled: JobReply | None = None
        while True:
            tries += 1
            # A try must not outlast its caller's time: nobody would be left to get the reply.
            left_s = max(deadline - self._clock.monotonic(), MIN_TRY_S)
            values_sent = self._with_wait(values, left_s) if name == "submit" else values
            reply = await self._try_once(shard, name, values_sent, timeout_s, left_s)
            if reply.code is status_codes.JOB_UNSETTLED:
                unsettled = reply
            if not self._must_retry(reply, tries, unsettled is not None, deadline):
                break
            # After a graceful hand-over, a shard has its new owner within a few tenths of a second.
            await self._clock.sleep(RETRY_DELAY_S)
            await self._refresh_by(deadline)
            if self._clock.monotonic() >= deadline:
                break
        if unsettled is not None and reply.code in (*NO_EFFECT_CODES, *OVERLOAD_CODES):
            # An earlier try may have made the change, so the reply mustn't say that it wasn't made.
            reply = unsettled
        return CallResult(reply, tries)

    def _with_wait(self, values: list[Any], left_s: float) -> list[Any]:
        """Append how long the caller waits, for the owner's decision whether to admit its job.

        Nothing is appended for a caller without an identity where there are accounts: an older
        owner would take the stand-in for a caller whose key was taken away.
        """
        if not self._features.has(Feature.ADMISSION):
            return values
        has_identity = len(values) > len(SUBMIT_VALUES)
        configuration = self._operator.configuration
        if not has_identity and (configuration is None or configuration.accounts is not None):
            return values
        return [*values, left_s] if has_identity else [*values, NOBODY, left_s]

    def _note(
        self,
        name: str,
        queue: Queue,
        shard: int,
        job_id: str,
        result: CallResult,
        took_s: float,
        account: str,
    ) -> None:
        """Log changes, and other calls that failed unless their job is unknown."""
        reply = result.reply
        failed = reply.code.http_status >= 400
        if failed and reply.code is not status_codes.SUBMITTED_JOB_UNKNOWN:
            self._events.note(
                f"{name}.answered",
                vital=True,
                job=job_id,
                queue=queue.name,
                account=account or None,
                shard=shard,
                owner=self._owners.members_by_shard.get(shard),
                owners_generation=self._owners.generation,
                code=str(reply.code),
                status=reply.code.http_status,
                why=reply.detail,
                tries=result.tries,
                took_s=took_s,
            )
        elif name in CHANGE_CALLS:
            self._events.note(
                f"{name}.answered",
                job=job_id,
                queue=queue.name,
                account=account or None,
                shard=shard,
                code=str(reply.code),
                took_s=took_s,
            )

    def _must_retry(self, reply: JobReply, tries: int, unsettled: bool, deadline: float) -> bool:
        """Whether to retry a call.

        A change of a job may be sent any number of times, as the job's id makes it idempotent. A
        caller who is told that its outcome is unknown can neither proceed nor retry.
        """
        if self._clock.monotonic() + RETRY_DELAY_S >= deadline:
            return False
        repeats = self._policy.has(Mechanism.REPEATS)
        if repeats and unsettled and reply.code in (status_codes.JOB_UNSETTLED, *NO_EFFECT_CODES):
            return True
        return reply.code is status_codes.OWNER_UNAVAILABLE and tries < MAX_TRIES

    async def _try_once(
        self, shard: int, name: str, values: list[Any], timeout_s: float, left_s: float
    ) -> JobReply:
        """Call the owner once.

        :param timeout_s: seconds that another daemon may take.
        :param left_s: seconds until the caller must get its reply.
        """
        if shard in self._owners.owned_by_shard:
            try:
                async with asyncio.timeout(left_s):
                    return await self._call_local_owner(shard, name, msgspec.to_builtins(values))
            except TimeoutError:
                detail = "the owner, this daemon, took too long"
                return job_replies.unanswered(detail, is_change=name in CHANGE_CALLS)
        address = self._owners.address_of(shard)
        if address is None:
            return job_replies.owner_unavailable("nobody owns the queue yet")
        try:
            answer = await self._peers.call(
                address, name, [shard, values], timeout_s=min(timeout_s, left_s)
            )
        except PeerUnreachable as exc:
            if exc.sent:
                return job_replies.unanswered(str(exc), is_change=name in CHANGE_CALLS)
            return job_replies.owner_unavailable(str(exc))
        try:
            reply, version = job_replies.decode_with_version(answer)
        except Undecodable as exc:
            detail = f"unreadable answer: {exc}"
            return job_replies.unanswered(detail, is_change=name in CHANGE_CALLS)
        if version is not None and version < self._version:
            # It doesn't know yet which paths its shard has taken, so the job may lie in another.
            return job_replies.owner_unavailable("the owner has an older configuration")
        return reply

    @property
    def _version(self) -> int:
        """The version of the known configuration, 0 without one."""
        configuration = self._operator.configuration
        return configuration.version if configuration is not None else 0

    async def _call_local_owner(self, shard: int, name: str, values: list[Any]) -> JobReply:
        owned = self._owners.owned_by_shard.get(shard)
        if not isinstance(owned, Dispatcher) or owned.ended.is_set():
            return job_replies.owner_unavailable("this daemon doesn't own the queue")
        handler = owned.job_request_handler
        if name == "submit":
            job_id, queue, spec, *rest = values
            return await handler.submit(
                job_id=job_id,
                queue=convert(queue, Queue),
                spec=convert(spec, JobSpec),
                identity=_decode_identity(rest),
                wait_s=float(rest[1]) if len(rest) > 1 else None,
            )
        subject, *rest = values
        identity = _decode_identity(rest)
        if name == "cancel":
            return await handler.cancel(subject, identity)
        if name == "state":
            return await handler.state(subject, identity)
        return await handler.pending(subject, identity)

    def shard_of(self, service: str) -> int:
        """The shard that holds a service's jobs."""
        return shard_of(service, self._shards)

    async def ask_former(self, shard: int, call: FormerCall) -> FormerReply:
        """Ask the owner of a shard that holds, or held, a path of another one."""
        if shard in self._owners.owned_by_shard:
            return await self._answer_former_here(shard, call)
        address = self._owners.address_of(shard)
        if address is None:
            await self._refresh()
            return _no_former_reply("nobody owns the other shard of the path yet")
        try:
            answer = await self._peers.call(
                address, FORMER_HOLDER_CALL, [shard, call], timeout_s=FORMER_HOLDER_TIMEOUT_S
            )
            encoded, is_empty = convert(answer, tuple[list[Any], bool])
            reply = job_replies.decode(encoded)
            if reply.code is status_codes.OWNER_UNAVAILABLE:
                # Perhaps the shard has another owner by now, which the next try will ask.
                await self._refresh()
            return FormerReply(reply, is_empty)
        except PeerUnreachable as exc:
            await self._refresh()
            return _no_former_reply(str(exc), may_have_cancelled=exc.sent and call.name == "cancel")
        except Undecodable as exc:
            return _no_former_reply(str(exc), may_have_cancelled=call.name == "cancel")

    async def _answer_former_here(self, shard: int, call: FormerCall) -> FormerReply:
        owned = self._owners.owned_by_shard.get(shard)
        if not isinstance(owned, Dispatcher) or owned.ended.is_set():
            return _no_former_reply("this daemon doesn't own the other shard of the path")
        return await owned.job_request_handler.answer_former(call)

    async def _answer_former(self, values: list[Any]) -> tuple[Any, bool]:
        shard, call = values
        reply, is_empty = await self._answer_former_here(shard, convert(call, FormerCall))
        return reply.encode(), is_empty

    async def _refresh_by(self, deadline: float) -> None:
        """Read the owners again; a slow store mustn't cost the caller its reply."""
        with suppress(TimeoutError):
            async with asyncio.timeout(deadline - self._clock.monotonic()):
                await self._refresh()

    async def _refresh(self) -> None:
        # Many requests may find an owner gone at the same time; one read serves all of them.
        now = self._clock.monotonic()
        if now - self._refreshed_at > 0.2:
            self._refreshed_at = now
            await self._refresh_owners()

    async def _refresh_owners(self) -> None:
        if self._hints is None:
            await self._owners.refresh()
            return
        read = asyncio.ensure_future(self._owners.refresh())
        self._reads.add(read)
        read.add_done_callback(self._reads.discard)
        await asyncio.wait([read], timeout=USUAL_READ_S)
        answered = read.done() and not read.cancelled() and read.result()
        if not answered and not await self._hints.refresh():
            await asyncio.wait([read])


def _no_former_reply(detail: str, *, may_have_cancelled: bool = False) -> FormerReply:
    if may_have_cancelled:
        return FormerReply(job_replies.unanswered(detail, is_change=True), is_empty=False)
    return FormerReply(job_replies.owner_unavailable(detail), is_empty=False)


def _decode_identity(rest: list[Any]) -> Identity | None:
    identity = convert(rest[0], Identity) if rest else None
    return identity if identity != NOBODY else None
