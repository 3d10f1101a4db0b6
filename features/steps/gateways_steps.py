"""Steps of the way from a caller's daemon to the owner of its queue."""

import asyncio
from itertools import chain, repeat
from types import SimpleNamespace

from behave import then, when

from mustardgap import job_replies
from mustardgap.dispatchers import Dispatcher
from mustardgap.events import EventLog
from mustardgap.job_desks import JobDesk
from mustardgap.job_gateways import JobGateway
from mustardgap.peer_calls import PeerUnreachable
from mustardgap.tickets import Stored, Ticket
from mustardgap.timers import Clock
from tools.actor_platforms import HandClock
from tools.owner_troubles import TWO_STEPS
from tools.owner_worlds import QUEUE
from tools.virtual_time import VirtualClock, run

# What a desk takes until it says that it doesn't know.
UNKNOWN_S = 1.2


class MovingClock(HandClock):
    """A clock by which a sleep takes no time, and is over."""

    async def sleep(self, seconds):
        self.now += seconds


class ScriptedPeers:
    """Owners that answer as they are told to, one call after another."""

    def __init__(self, answers, clock):
        steps = answers.removesuffix(" for ever").split(", ")
        last = repeat(steps[-1]) if answers.endswith(" for ever") else ()
        self.tries = 0
        self._answers = chain(steps, last)
        self._clock = clock

    async def call(self, address, name, values, *, timeout_s):
        self.tries += 1
        answer = next(self._answers)
        if answer == "silent" or (answer == "unknown" and timeout_s < UNKNOWN_S):
            await self._clock.sleep(timeout_s)
            raise PeerUnreachable(sent=True, detail="no answer")
        if answer == "refused":
            raise PeerUnreachable(sent=False, detail="connection refused")
        if answer == "unknown":
            await self._clock.sleep(UNKNOWN_S)
            return job_replies.UNSETTLED.encode()
        if answer == "nobody":
            return job_replies.owner_unavailable("not any more").encode()
        if answer == "away":
            return job_replies.store_unavailable("away").encode()
        return job_replies.ACCEPTED.encode()


async def _refresh():
    """Nothing has changed."""


def _owners(owned_by_shard=None, refresh=_refresh):
    """What a daemon knows of the owners: one other daemon owns what it doesn't."""
    return SimpleNamespace(
        owned_by_shard=owned_by_shard or {},
        members_by_shard={},
        generation=1,
        address_of=lambda shard: "10.0.0.1:1",
        refresh=refresh,
    )


@when("a caller who waits {wait:g} s hands a job in, and owners answer {answers}")
def hand_in_once(context, wait, answers):
    clock = MovingClock()
    context.peers = ScriptedPeers(answers, clock)
    gateway = _gateway(_owners(), context.peers, clock)
    began = clock.monotonic()
    context.reply = asyncio.run(
        gateway.submit(queue=QUEUE, job_id="0" * 16, spec=TWO_STEPS, wait_s=wait)
    )
    context.took_s = clock.monotonic() - began


@then("the caller is told {code} after {tries:d} tries")
def check_told(context, code, tries):
    assert (str(context.reply.code), context.peers.tries) == (code, tries), (
        context.reply,
        context.peers.tries,
    )


class StuckDesk:
    """An owner's desk that answers nothing until it may."""

    def __init__(self):
        self.may_answer = asyncio.Event()

    async def submit(self, **request):
        await self.may_answer.wait()
        return job_replies.ACCEPTED


class StuckOwner(Dispatcher):
    """A shard's owner with such a desk."""

    def __init__(self):
        self.ended = asyncio.Event()
        self.desk = StuckDesk()


@when("a caller who waits {wait:g} s hands a job in at the owner, which answers nothing")
def hand_in_at_owner(context, wait):
    async def main():
        owner = StuckOwner()
        gateway = _gateway(_owners(dict.fromkeys(range(4), owner)), None, Clock())
        asking = asyncio.ensure_future(
            gateway.submit(queue=QUEUE, job_id="0" * 16, spec=TWO_STEPS, wait_s=wait)
        )
        done, _ = await asyncio.wait([asking], timeout=5.0)
        owner.desk.may_answer.set()
        context.told, context.reply = bool(done), await asking

    asyncio.run(main())


@then("the caller is told {code} without an answer of the owner")
def check_told_by_gateway(context, code):
    assert context.told and str(context.reply.code) == code, context.reply


def _gateway(owners, peers, clock):
    return JobGateway(
        owners=owners,
        operator=None,
        peers=peers,
        shards=4,
        clock=clock,
        events=EventLog(host="e1", clock=clock),
    )


class HeldLog:
    """A shard's log whose appends end when they are told to."""

    def __init__(self):
        self.ticket = None

    def put(self, key, value):
        self.ticket = Ticket(outcome=asyncio.get_running_loop().create_future())
        self.ticket.sent = True
        return self.ticket

    def failing_s(self):
        return 0.0


def _shard(log):
    return SimpleNamespace(
        loaded=True,
        handing_over=False,
        jobs_by_id={},
        log=log,
        spawn=asyncio.ensure_future,
        shard=1,
        epoch=1,
        wake=lambda: None,
    )


STORED_BY_STATE = {
    "being stored, and is stored": Stored.YES,
    "being stored, and isn't": Stored.NO,
    "being stored, nobody knows": Stored.UNKNOWN,
}


@when("a job comes again that is {state}, and its owner is handing over")
def hand_in_again(context, state):
    async def main():
        log = HeldLog()
        shard = _shard(log)
        clock = Clock()
        desk = JobDesk(
            dispatcher=shard, store=None, clock=clock, events=EventLog(host="e1", clock=clock)
        )
        request = {"job_id": "0" * 16, "queue": QUEUE, "spec": TWO_STEPS}
        calls = []
        if state != "new to it":
            calls.append(asyncio.ensure_future(desk.submit(**request)))
            await asyncio.sleep(0)
        if state == "on record":
            log.ticket.outcome.set_result(Stored.YES)
            await calls[0]
        shard.handing_over = True
        calls.append(asyncio.ensure_future(desk.submit(**request)))
        await asyncio.sleep(0)
        if state in STORED_BY_STATE:
            log.ticket.outcome.set_result(STORED_BY_STATE[state])
        context.reply = (await asyncio.gather(*calls))[-1]

    asyncio.run(main())


@then("the caller is told {code} by the desk")
def check_told_by_desk(context, code):
    assert str(context.reply.code) == code, context.reply


@then("the caller is told {code} within its {wait:g} s")
def check_told_in_time(context, code, wait):
    assert str(context.reply.code) == code, context.reply
    assert context.took_s <= wait, context.took_s


@when(
    "a caller {asks}, waiting {wait:g} s, as reading the owners takes {read:g} s "
    "and they answer {answers}"
)
def ask_beside_slow_reading(context, asks, wait, read, answers):
    async def main():
        clock = VirtualClock(loop=asyncio.get_running_loop())
        context.peers = ScriptedPeers(answers, clock)
        owners = _owners(refresh=lambda: clock.sleep(read))
        gateway = _gateway(owners, context.peers, clock)
        began = clock.monotonic()
        if asks == "asks for a job":
            queue = QUEUE._replace(timeout_s=wait)
            context.reply = await gateway.state(queue=queue, job_id="0" * 16)
        else:
            request = {"queue": QUEUE, "job_id": "0" * 16, "spec": TWO_STEPS}
            context.reply = await gateway.submit(**request, wait_s=wait)
        context.took_s = clock.monotonic() - began

    run(main())
