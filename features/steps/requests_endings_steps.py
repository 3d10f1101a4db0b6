"""Steps for requests whose handling ends early: by a fault, a cancellation or a stop."""

import asyncio
from contextlib import suppress

from behave import then, when

from features.support.rigs import Rig
from mustardgap import metrics

ENDINGS = {
    "fails": ValueError("a fault of ours"),
    "fails by a timeout": TimeoutError("a timeout that nobody expected"),
    "is cancelled": asyncio.CancelledError(),
}


def unanswered_counts():
    """Requests whose handling ended without an answer, by how it ended."""
    return {o.attributes["how"]: o.value for o in metrics.unanswered_requests.read(None)}


def _end_handling(entry, ends, state):
    """Have the handling of the requests that are in a state end."""

    def end(*args, **kwargs):
        raise ENDINGS[ends]

    async def end_later(*args, **kwargs):
        end()

    if state == "is looked at":
        entry.callers.refusal = end
    elif state == "waits for a slot":
        entry.slots.acquire = end_later
    elif state == "claims its key":
        entry.keys.claim = end_later
    else:
        entry.executors.report = end


@when("requests of kind {kind} have their handling end as it {ends} while the request {state}")
def end_handling(context, kind, ends, state):
    async def main():
        async with Rig() as r:
            before = unanswered_counts()
            _end_handling(r.entry, ends, state)
            headers = {"Idempotency-Key": "k"} if kind == "keyed" else {}
            context.told = await r.ask(kind, headers=headers)
            context.runs = r.runs()
            context.counts = {
                how: count - before.get(how, 0)
                for how, count in unanswered_counts().items()
                if count != before.get(how, 0)
            }
            context.events = r.entry.callers.timeline.events(request=context.told.request_id)
            assert context.told.code, (context.told.resp.code, context.told.resp.error)
            context.told.check(context.runs, kind == "idempotent")
            assert r.entry.slots.held == 0

    asyncio.run(main())


@then("requests without an outcome are counted as {how} once, with a line that names each")
def check_counted(context, how):
    assert context.counts == {how: 1}, context.counts
    events = [event for event in context.events if event.kind == "request.unanswered"]
    assert len(events) == 1, context.events
    assert events[0].ids["how"] == how, events
    assert events[0].cause, events


@when("requests' handling {ends} after a part of a large answer")
def end_after_part(context, ends):
    async def main():
        async with Rig() as r:
            _end_handling(r.entry, ends, "has run")
            reader, writer = await asyncio.open_connection("127.0.0.1", r.entry.callers.port)
            writer.write(b"GET /quotes/large?size=3000000&chunked=1 HTTP/1.0\r\nHost: a\r\n\r\n")
            context.received, context.ended = b"", "open"
            with suppress(TimeoutError):
                context.ended = await asyncio.wait_for(_read_to_end(context, reader), 10)
            writer.close()

    asyncio.run(main())


async def _read_to_end(context, reader):
    try:
        while chunk := await reader.read(1 << 20):
            context.received += chunk
    except ConnectionResetError:
        return "reset"
    return "closed"
