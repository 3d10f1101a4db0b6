"""Steps for the fuzz of the whole system and for single faults that it found."""

import asyncio

from behave import then, when

from features.steps.requests_steps import Rig
from standins import answers
from tools import fuzz, fuzz_schedules


@when("the fuzz runs seed {seed:d} for {seconds:g} seconds at {rate:g} requests a second")
def run(context, seed, seconds, rate):
    schedule = fuzz_schedules.draw(seed, seconds)
    assert schedule == fuzz_schedules.draw(seed, seconds), "the seed doesn't fix the schedule"
    context.verdict = fuzz.fuzz(seed, schedule, seconds=seconds, rate=rate)


@then("the fuzz finds every promise kept")
def check(context):
    verdict = context.verdict
    steps = [*fuzz_schedules.lines(verdict.schedule), *verdict.notes]
    assert not verdict.faults, "\n".join([*steps, *fuzz.lines(verdict)])
    assert verdict.by_outcome["answered"], verdict.by_outcome


@when("the fuzz lets a single write meet a reset before its first byte")
def meet_reset(context):
    async def main():
        async with Rig() as r:
            r.upstreams.by_name["x1"].accept = _reset_soon
            _see_resets(r.entry.sessions.upstreams._client)
            context.told = await r.ask("non-idempotent")
            context.runs = r.runs(context.told.path)

    asyncio.run(main())


@then("the fuzz's caller is told {code:d} after {count:d} run")
def check_told(context, code, count):
    assert context.told.code == code, (context.told.code, context.told.resp.error)
    assert len(context.runs) == count, context.runs


def _reset_soon(stream):
    asyncio.get_running_loop().call_later(0.01, answers.reset, stream)
    return False


def _see_resets(client):
    """Let the loop see the end of a connection that is reset before the request is written."""
    connect = client.connect

    async def connect_and_look(*args, **kwargs):
        stream = await connect(*args, **kwargs)
        stream.set_close_callback(lambda: None)
        for _ in range(20):
            await asyncio.sleep(0.005)
            if stream.closed():
                break
        return stream

    client.connect = connect_and_look
