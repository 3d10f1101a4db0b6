"""Steps for appends that end unexpectedly, on virtual time."""

import asyncio

from behave import then, when

from features.support.cancelled_parts import cancelled, failed
from mustardgap.events import EventLog
from mustardgap.ports import NoAnswer
from mustardgap.shard_logs import ShardLog
from mustardgap.tickets import Stored
from tools.virtual_time import VirtualClock, run

# The time for all attempts of an append.
RETRY_TIME_S = 5.0


async def _hang():
    await asyncio.Event().wait()


APPEND_BY_ENDING = {
    "is cancelled": cancelled,
    "fails": failed,
    "is ended with the ownership": _hang,
}


class FailingStore:
    """A store whose append ends unexpectedly, after the answers of some earlier ones were lost.

    :param lost_answers: how many answers are lost first.
    :param ending: a coroutine function that ends the next append.
    """

    def __init__(self, *, lost_answers, ending):
        self.reached = asyncio.Event()
        self._lost_answers = lost_answers
        self._end_append = ending

    async def append(self, **fields):
        if self._lost_answers:
            self._lost_answers -= 1
            return NoAnswer(sent=True, detail="lost")
        self.reached.set()
        # Gives the test time to add a change during the append.
        await asyncio.sleep(0.1)
        await self._end_append()


async def _write_records(context, ending, lost_answers):
    clock = VirtualClock(loop=asyncio.get_running_loop())
    store = FailingStore(lost_answers=lost_answers, ending=APPEND_BY_ENDING[ending])
    events = EventLog(host="e1", clock=clock)
    log = ShardLog(store=store, shard=1, epoch=1, clock=clock, events=events)
    writing = asyncio.create_task(log.run())
    sent = [log.put("j/1", b"a"), log.put("j/1", b"b"), log.put("j/2", b"c")]
    await store.reached.wait()
    late = log.put("j/3", b"d")
    await asyncio.sleep(RETRY_TIME_S)
    writing.cancel()
    await asyncio.gather(writing, return_exceptions=True)
    context.outcomes = [ticket.outcome.done() and ticket.outcome.result() for ticket in sent]
    context.durable = log.durable
    log.close()
    context.late_outcome = late.outcome.done() and late.outcome.result()


@when("two changes of a job and a third of another await an append that {ending} at the first try")
def append_fails(context, ending):
    run(_write_records(context, ending, 0))


@when(
    "two changes of a job and a third of another await an append that {ending} after a lost answer"
)
def append_fails_later(context, ending):
    run(_write_records(context, ending, 1))


@then("each of them is told that the outcome is unknown, before the shard is given up")
def outcomes_unknown(context):
    assert context.outcomes == [Stored.UNKNOWN] * 3, context.outcomes


@then("a change that came during the append is told that it isn't stored, as the shard is given up")
def late_not_stored(context):
    assert not context.durable, "an unsent record counts as stored"
    assert context.late_outcome is Stored.NO, context.late_outcome
