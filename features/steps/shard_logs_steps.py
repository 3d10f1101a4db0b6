"""Steps of records whose append ends in a way that nobody asked for, on virtual time."""

import asyncio

from behave import then, when

from features.support.cancelled_parts import cancelled, failed
from mustardgap.events import EventLog
from mustardgap.ports import NoAnswer
from mustardgap.shard_logs import ShardLog
from mustardgap.tickets import Stored
from tools.virtual_time import VirtualClock, run

# Long enough for each try of an append to be made.
TRIED_S = 5.0


async def _never():
    await asyncio.Event().wait()


ENDS_BY_WORDS = {
    "is cancelled": cancelled,
    "fails": failed,
    "is ended with the ownership": _never,
}


class EndingStore:
    """A store of which an append ends otherwise, after some answers of others were lost.

    :param lost: how many answers are lost before.
    :param ends: what the append does after that.
    """

    def __init__(self, *, lost, ends):
        self.reached = asyncio.Event()
        self._lost = lost
        self._ends = ends

    async def append(self, **fields):
        if self._lost:
            self._lost -= 1
            return NoAnswer(sent=True, detail="lost")
        self.reached.set()
        # Time for a change that comes meanwhile.
        await asyncio.sleep(0.1)
        await self._ends()


async def _play(context, ends, lost):
    clock = VirtualClock(loop=asyncio.get_running_loop())
    store = EndingStore(lost=lost, ends=ENDS_BY_WORDS[ends])
    events = EventLog(host="e1", clock=clock)
    log = ShardLog(store=store, shard=1, epoch=1, clock=clock, events=events)
    writing = asyncio.create_task(log.run())
    sent = [log.put("j/1", b"a"), log.put("j/1", b"b"), log.put("j/2", b"c")]
    await store.reached.wait()
    behind = log.put("j/3", b"d")
    await asyncio.sleep(TRIED_S)
    writing.cancel()
    await asyncio.gather(writing, return_exceptions=True)
    context.told = [ticket.outcome.done() and ticket.outcome.result() for ticket in sent]
    context.settled = log.durable
    log.close()
    context.told_behind = behind.outcome.done() and behind.outcome.result()


@when("two changes of a job and a third of another await an append that {ends} at the first try")
def append_ends(context, ends):
    run(_play(context, ends, 0))


@when("two changes of a job and a third of another await an append that {ends} after a lost answer")
def append_ends_later(context, ends):
    run(_play(context, ends, 1))


@then("each of them is told that the outcome is unknown, before the shard is given up")
def told_unknown(context):
    assert context.told == [Stored.UNKNOWN] * 3, context.told


@then("a change that came during the append is told that it isn't stored, as the shard is given up")
def told_not_stored(context):
    assert not context.settled, "a record that waits counts as stored"
    assert context.told_behind is Stored.NO, context.told_behind
