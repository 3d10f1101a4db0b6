"""Steps of an owner's parts that end by a cancellation nobody asked for, on virtual time."""

import asyncio

from behave import then, when

from features.support.cancelled_parts import CancelledOnce
from features.support.owner_jobs import START_S, hand_in
from mustardgap.dispatchers import TICK_S
from tools.owner_worlds import play

# Long enough for a shard to be given up, dealt anew and read, and for its jobs to end.
SETTLED_S = 10.0


def _cancel_appends(owned):
    owned.log._store = CancelledOnce(owned.log._store, "append")
    return [owned.log._store]


def _cancel_ticks(owned):
    owned._clock = CancelledOnce(owned._clock, "sleep", lambda seconds: seconds == TICK_S)
    return [owned._clock]


def _cancel_placing(owned):
    owned._clock = CancelledOnce(owned._clock, "sleep", lambda seconds: seconds != TICK_S)
    return [owned._clock]


def _cancel_tickets(owned):
    owned.advices._advice = CancelledOnce(owned.advices._advice, "advise")
    return [owned.advices._advice]


def _cancel_leases(owned):
    return _cancel_calls(owned, "hold")


def _cancel_starts(owned):
    return _cancel_calls(owned, "start")


def _cancel_calls(owned, name):
    links = list(owned.roster.links_by_executor.values())
    for link in links:
        link._port = CancelledOnce(link._port, name)
    return [link._port for link in links]


CANCEL_BY_PART = {
    "appends": _cancel_appends,
    "ticks": _cancel_ticks,
    "placing": _cancel_placing,
    "tickets": _cancel_tickets,
    "leases": _cancel_leases,
    "starts": _cancel_starts,
}


def _lines(world):
    return [line for d in world.daemons_by_address.values() for line in d.events.kept]


@when("{count:d} jobs are handed in, and what the owner's {part} await is cancelled")
def part_is_cancelled(context, count, part):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(hand_in(world, context.states, count))
        await asyncio.sleep(0.5)
        cancelled = CANCEL_BY_PART[part](world.dispatcher())
        await work
        await asyncio.sleep(SETTLED_S)
        context.cancelled = sum(one.cancelled for one in cancelled)
        context.lines = _lines(world)

    context.world = play(scene, advised=part == "tickets", **context.options)


@then("a line tells of the part that ended by a cancellation: {event}")
def a_line_tells(context, event):
    assert context.cancelled, "nothing was cancelled"
    told = [
        line
        for line in context.lines
        if line["event"] == event and "StrayCancellation" in line.get("why", "")
    ]
    assert told, [line for line in context.lines if "failed" in line["event"]]
