"""Steps for calls that a caller's daemon forwards to the owner of its queue."""

import asyncio
from itertools import chain, repeat
from types import SimpleNamespace

from behave import then, when

from mustardgap import job_replies, owner_hints
from mustardgap.account_limits import AccountLimits
from mustardgap.account_shares import AccountShares
from mustardgap.dispatchers import Dispatcher
from mustardgap.events import EventLog
from mustardgap.job_admission import JobAdmission
from mustardgap.job_gateways import JobGateway
from mustardgap.job_request_handlers import JobRequestHandler
from mustardgap.load_features import LoadFeatures
from mustardgap.owner_hints import OwnerHints
from mustardgap.path_holders import Holding
from mustardgap.peer_calls import PeerUnreachable
from mustardgap.record_limits import RecordLimits
from mustardgap.tickets import Stored, Ticket
from mustardgap.timers import Clock
from tools.actor_platforms import HandClock
from tools.owner_troubles import TWO_STEPS
from tools.owner_worlds import QUEUE
from tools.virtual_time import VirtualClock, run

# The time after which a job request handler replies that the outcome is unknown.
UNKNOWN_REPLY_DELAY_S = 1.2


class InstantSleepClock(HandClock):
    """A clock whose sleeps return at once and advance it."""

    async def sleep(self, seconds):
        self.now += seconds


class ScriptedPeers:
    """Owners that give scripted answers, one per call."""

    def __init__(self, answers, clock):
        steps = answers.removesuffix(" for ever").split(", ")
        last = repeat(steps[-1]) if answers.endswith(" for ever") else ()
        self.tries = 0
        self._answers = chain(steps, last)
        self._clock = clock

    async def call(self, address, name, values, *, timeout_s):
        if name == owner_hints.CALL:
            return None
        self.tries += 1
        answer = next(self._answers)
        if answer == "silent" or (answer == "unknown" and timeout_s < UNKNOWN_REPLY_DELAY_S):
            await self._clock.sleep(timeout_s)
            raise PeerUnreachable(sent=True, detail="no answer")
        if answer == "refused":
            raise PeerUnreachable(sent=False, detail="connection refused")
        if answer == "unknown":
            await self._clock.sleep(UNKNOWN_REPLY_DELAY_S)
            return job_replies.UNSETTLED.encode()
        if answer == "no owner":
            return job_replies.owner_unavailable("not any more").encode()
        if answer == "overloaded":
            return job_replies.overloaded(1).encode()
        if answer == "store unavailable":
            return job_replies.store_unavailable("store unavailable").encode()
        return job_replies.ACCEPTED.encode()


async def _refresh():
    """Read owners that haven't changed."""


def _owners(owned_by_shard=None, refresh=_refresh):
    """A fake of the owners: one other daemon owns the shards that this one doesn't."""
    return SimpleNamespace(
        owned_by_shard=owned_by_shard or {},
        members_by_shard={},
        generation=1,
        address_of=lambda shard: "10.0.0.1:1",
        refresh=refresh,
    )


@when("a caller who waits {wait:g} s submits a job, and owners answer {answers}")
def submit_job(context, wait, answers):
    clock = InstantSleepClock()
    context.peers = ScriptedPeers(answers, clock)
    gateway = _gateway(_owners(), context.peers, clock)
    began = clock.monotonic()
    context.reply = asyncio.run(
        gateway.submit(queue=QUEUE, job_id="0" * 16, spec=TWO_STEPS, wait_s=wait)
    )
    context.took_s = clock.monotonic() - began


@then("the caller is told {code} after {tries:d} tries")
def check_reply(context, code, tries):
    assert (str(context.reply.code), context.peers.tries) == (code, tries), (
        context.reply,
        context.peers.tries,
    )


class StuckRequestHandler:
    """A job request handler that doesn't answer until it is allowed to."""

    def __init__(self):
        self.may_answer = asyncio.Event()

    async def submit(self, **request):
        await self.may_answer.wait()
        return job_replies.ACCEPTED


class StuckOwner(Dispatcher):
    """A shard's owner with a ``StuckRequestHandler``."""

    def __init__(self):
        self.ended = asyncio.Event()
        self.job_request_handler = StuckRequestHandler()


@when("a caller who waits {wait:g} s submits a job to the owner, which doesn't answer")
def submit_at_owner(context, wait):
    async def main():
        owner = StuckOwner()
        gateway = _gateway(_owners(dict.fromkeys(range(4), owner)), None, Clock())
        call = asyncio.ensure_future(
            gateway.submit(queue=QUEUE, job_id="0" * 16, spec=TWO_STEPS, wait_s=wait)
        )
        done, _ = await asyncio.wait([call], timeout=5.0)
        owner.job_request_handler.may_answer.set()
        context.has_replied, context.reply = bool(done), await call

    asyncio.run(main())


@then("the caller is told {code} without an answer from the owner")
def check_reply_before_owner(context, code):
    assert context.has_replied and str(context.reply.code) == code, context.reply


def _gateway(owners, peers, clock, hints=None):
    return JobGateway(
        owners=owners,
        operator=SimpleNamespace(configuration=None),
        peers=peers,
        shards=4,
        clock=clock,
        events=EventLog(host="e1", clock=clock),
        hints=hints,
    )


class FakeShardLog:
    """A shard's log whose appends end only when the test resolves their ticket."""

    limits = RecordLimits()

    def __init__(self):
        self.ticket = None

    def put(self, key, value):
        self.ticket = Ticket(outcome=asyncio.get_running_loop().create_future())
        self.ticket.sent = True
        return self.ticket

    def failing_s(self):
        return 0.0


def _dispatcher(log):
    dispatcher = SimpleNamespace(
        features=LoadFeatures(),
        loaded=True,
        configuration=None,
        accounts=None,
        handing_over=False,
        has_memory_for=lambda spec: True,
        jobs_by_id={},
        log=log,
        spawn=asyncio.ensure_future,
        shard=1,
        epoch=1,
        wake=lambda: None,
    )
    events = EventLog(host="e1")
    dispatcher.account_limits = AccountLimits(dispatcher=dispatcher, events=events)
    dispatcher.account_shares = AccountShares(dispatcher=dispatcher, clock=Clock(), events=events)
    dispatcher.admission = JobAdmission(dispatcher=dispatcher, clock=Clock(), events=events)
    dispatcher.paths = HeldPaths()
    dispatcher.cancelled = ()
    return dispatcher


class HeldPaths:
    """Paths that no other shard has ever held."""

    async def hold(self, path):
        return Holding(1)

    def may_accept(self, path):
        return True


STORED_BY_STATE = {
    "being stored, and is stored": Stored.YES,
    "being stored, and isn't": Stored.NO,
    "being stored, unknown": Stored.UNKNOWN,
}


@when("a job is submitted again that is {state}, and its owner is handing over")
def resubmit_job(context, state):
    async def main():
        log = FakeShardLog()
        dispatcher = _dispatcher(log)
        clock = Clock()
        handler = JobRequestHandler(
            dispatcher=dispatcher, clock=clock, events=EventLog(host="e1", clock=clock)
        )
        request = {"job_id": "0" * 16, "queue": QUEUE, "spec": TWO_STEPS}
        calls = []
        if state != "new to the owner":
            calls.append(asyncio.ensure_future(handler.submit(**request)))
            await asyncio.sleep(0)
        if state == "stored":
            log.ticket.outcome.set_result(Stored.YES)
            await calls[0]
        dispatcher.handing_over = True
        calls.append(asyncio.ensure_future(handler.submit(**request)))
        await asyncio.sleep(0)
        if state in STORED_BY_STATE:
            log.ticket.outcome.set_result(STORED_BY_STATE[state])
        context.reply = (await asyncio.gather(*calls))[-1]

    asyncio.run(main())


@then("the caller is told {code} by the job request handler")
def check_handler_reply(context, code):
    assert str(context.reply.code) == code, context.reply


@then("the caller is told {code} within its {wait:g} s")
def check_reply_in_time(context, code, wait):
    assert str(context.reply.code) == code, context.reply
    assert context.took_s <= wait, context.took_s


@when(
    "a caller {action}, waiting {wait:g} s, while reading the owners takes {read:g} s "
    "and they answer {answers}"
)
def call_during_slow_reads(context, action, wait, read, answers):
    async def main():
        clock = VirtualClock(loop=asyncio.get_running_loop())
        context.peers = ScriptedPeers(answers, clock)
        owners = _owners(refresh=lambda: clock.sleep(read))
        gateway = _gateway(owners, context.peers, clock)
        began = clock.monotonic()
        if action == "queries a job":
            queue = QUEUE._replace(timeout_s=wait)
            context.reply = await gateway.state(queue=queue, job_id="0" * 16)
        else:
            request = {"queue": QUEUE, "job_id": "0" * 16, "spec": TWO_STEPS}
            context.reply = await gateway.submit(**request, wait_s=wait)
        context.took_s = clock.monotonic() - began

    run(main())


FORMER_OWNER, NEW_OWNER = "10.0.0.1:1/former", "10.0.0.2:1/new"
# What the daemons that may be asked know: the owner of all shards and the age of that in seconds.
KNOWN_BY_OTHERS = {
    "another daemon knows the new owner": [(NEW_OWNER, 0.1)],
    "one knows it and another has an older answer": [(FORMER_OWNER, 5.0), (NEW_OWNER, 0.1)],
    "the others know only what is older": [(FORMER_OWNER, 9.0)],
    "the others share nothing": [None],
    "the others are silent": ["silent"],
    "the store answers after all, with the new owner": ["silent"],
}


class CutOffOwners:
    """The owners as a host knows them that the store stopped answering some seconds ago."""

    def __init__(self, store_answers):
        self.owned_by_shard = {}
        self.members_by_shard = dict.fromkeys(range(4), FORMER_OWNER)
        self.generation = 1
        self._age_s = 4.0
        self._store_answers = store_answers

    def address_of(self, shard):
        return self.members_by_shard[shard].partition("/")[0]

    def owners_age_s(self):
        return self._age_s

    def apply_owners(self, members_by_shard, *, age_s):
        self.members_by_shard, self._age_s = dict(members_by_shard), age_s

    async def refresh(self):
        if self._store_answers:
            self.apply_owners(dict.fromkeys(range(4), NEW_OWNER), age_s=0.0)
        return self._store_answers


class ReplacedOwnerPeers:
    """A former and a new owner, and daemons that may know which is which."""

    def __init__(self, known):
        self.tries = 0
        self._known_by_address = {f"10.0.1.{i}:1": known for i, known in enumerate(known)}
        self.addresses = list(self._known_by_address)

    async def call(self, address, name, values, *, timeout_s):
        if name == owner_hints.CALL:
            known = self._known_by_address[address]
            if known == "silent":
                raise PeerUnreachable(sent=True, detail="no answer")
            return known and (dict.fromkeys(range(4), known[0]), known[1])
        self.tries += 1
        if address == NEW_OWNER.partition("/")[0]:
            return job_replies.ACCEPTED.encode()
        return job_replies.owner_unavailable("not any more").encode()


@when("a caller submits a job to a host that is cut off from the store, and {others}")
def submit_at_cut_off_host(context, others):
    clock = InstantSleepClock()
    context.peers = ReplacedOwnerPeers(KNOWN_BY_OTHERS[others])
    owners = CutOffOwners(store_answers=others.startswith("the store answers"))
    hints = OwnerHints(
        owners=owners,
        peers=context.peers,
        known_addresses=lambda: context.peers.addresses,
        is_shared=lambda: True,
        events=EventLog(host="e1", clock=clock),
    )
    gateway = _gateway(owners, context.peers, clock, hints)
    request = {"queue": QUEUE, "job_id": "0" * 16, "spec": TWO_STEPS, "wait_s": 3.0}
    context.reply = asyncio.run(gateway.submit(**request))


@then("the caller is told {code} after {tries:d} tries at the owners")
def check_tries_at_owners(context, code, tries):
    check_reply(context, code, tries)
