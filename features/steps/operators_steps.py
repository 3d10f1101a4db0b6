"""Steps for the operators' interface."""

import asyncio
import uuid

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as given_any
from hypothesis import strategies as st

from features.support.operators import Entries
from mustardgap import status_codes
from mustardgap.clients import Client, ProblemError
from mustardgap.exceptions import MustardgapError

BOUNDED = settings(
    max_examples=5,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
SPEC = {
    "team": "ledger",
    "urgency": 3,
    "cores": 1,
    "memory_gb": 1,
    "accelerators": 0,
    "run_s": 5,
    "idempotent": True,
}


def team(cores):
    return {"max_cores": float(cores), "max_memory_gb": 10.0, "max_jobs": 3}


def change(key, value, base=-1):
    return {"key": key, "base": base, "value": value}


def ask(entries, call, **kwargs):
    """Run a coroutine function with a client."""

    async def with_client():
        async with Client(entries=entries, **kwargs) as client:
            return await call(client)

    return asyncio.run(with_client())


@given("operators' entry hosts with clocks off by {first:d}, {second:d} and {third:d} seconds")
def start(context, first, second, third):
    context.entries = Entries(
        processes=context.processes,
        folder=context.folder,
        count=3,
        skews=(float(first), float(second), float(third)),
    )
    context.add_cleanup(context.entries.close)
    changes = [change("team/ledger", team(1))]
    answer = ask(context.entries.addresses, lambda client: client.apply(changes))
    ask(
        context.entries.addresses,
        lambda client: client.wait_in_force(answer["offset"], timeout_s=20),
    )


@when("operators publish changes through entry hosts in any order")
def publish(context):
    addresses = context.entries.addresses
    context.offsets_by_change = {}

    def publish_one(number):
        change_id = uuid.uuid4().hex
        changes = [change(f"team/t{change_id[:8]}", team(1))]
        entries = [addresses[number]]
        answer = ask(entries, lambda client: client.apply(changes, change_id=change_id))
        context.offsets_by_change[change_id] = answer["offset"]

    @BOUNDED
    @given_any(st.lists(st.integers(0, 2), min_size=1, max_size=5))
    def publish_through(numbers):
        for number in numbers:
            publish_one(number)

    publish_through()


@then("operators see each change asked for before it is folded anywhere, in the merged time line")
def check_order(context):
    last = max(context.offsets_by_change.values())
    ask(context.entries.addresses, lambda client: client.wait_in_force(last, timeout_s=20))
    merged = ask(context.entries.addresses, lambda client: client.timeline())
    assert merged.hosts == ["entry-0", "entry-1", "entry-2"] and not merged.missing, merged
    asked, folded = {}, {}
    for place, event in enumerate(merged.events):
        if event.kind == "operators.config":
            asked[event.ids["change"]] = place
        if event.kind == "config.changed":
            folded.setdefault(event.offset, []).append(place)
    for change_id, offset in context.offsets_by_change.items():
        assert len(folded[offset]) == 3, folded[offset]
        assert asked[change_id] < min(folded[offset]), (change_id, offset)
    sequences = {}
    for event in merged.events:
        assert event.sequence > sequences.get(event.member, 0), event
        sequences[event.member] = event.sequence


@when("operators' log loses the answer and {what} is sent")
def lose_at_log(context, what):
    context.entries.control.fault("lost", on="/log/*", method="POST", count=1)
    context.answer = ask(context.entries.addresses, lambda client: _send(client, what))


@when("operators' first entry host loses the answer and {what} is sent")
def lose_at_entry(context, what):
    relay = context.entries.do(asyncio.start_server(_swallow(context), "127.0.0.1", 0))
    context.add_cleanup(lambda: context.entries.call(relay.close))
    address = f"127.0.0.1:{relay.sockets[0].getsockname()[1]}"
    entries = [address, *context.entries.addresses[1:]]
    context.answer = ask(entries, lambda client: _send(client, what))


def _swallow(context):
    """Passes a request on to the first entry host and closes without passing the answer back."""

    async def relay(reader, writer):
        host, port = context.entries.addresses[0].split(":")
        upstream, out = await asyncio.open_connection(host, int(port))
        out.write(await reader.read(65536))
        await upstream.read(65536)
        out.close()
        writer.close()

    return relay


async def _send(client, what):
    if what == "a job":
        return await client.submit("job-1", SPEC)
    return await client.apply([change("team/new", team(2))])


@then("operators are told that it is accepted, and it stands on the log once")
def check_once(context):
    assert context.answer["verdict"] == "accepted", context.answer
    log = context.entries.by_number[1].log

    async def states():
        return log.state.declarations_by_key.get("team/new"), log.state.jobs_by_id.get("job-1")

    declaration, job = context.entries.do(states())
    assert declaration or job
    assert declaration is None or declaration.version == context.answer["offset"]
    assert job is None or job["epoch"] == 1, job


@when("operators race each other with different values of one declaration")
def race(context):
    version = ask(context.entries.addresses, lambda c: c.declarations())["items"]["team/ledger"]

    async def apply(number, address):
        async with Client(entries=[address]) as client:
            changes = [change("team/ledger", team(10 + number), version["version"])]
            return await client.apply(changes)

    async def all_at_once():
        calls = [apply(*pair) for pair in enumerate(context.entries.addresses)]
        return await asyncio.gather(*calls, return_exceptions=True)

    context.answers = asyncio.run(all_at_once())


@then("one operator wins, and the others are told what changed")
def check_race(context):
    won = [n for n, answer in enumerate(context.answers) if isinstance(answer, dict)]
    lost = [answer for answer in context.answers if isinstance(answer, ProblemError)]
    assert len(won) == 1 and len(lost) == 2, context.answers
    assert all(exc.code is status_codes.STALE_BASE for exc in lost), lost
    assert all(exc.body["changed"] == ["team/ledger"] for exc in lost), [e.body for e in lost]
    items = ask(context.entries.addresses, lambda c: c.declarations())["items"]
    assert items["team/ledger"]["value"]["max_cores"] == 10.0 + won[0], items


@when("the operators' log goes down and a change is sent")
def log_down(context):
    context.entries.control.fault("down", on="/log/*")
    try:
        context.answer = ask(context.entries.addresses, lambda c: _send(c, "a change"))
    except MustardgapError as exc:
        context.answer = exc


@then("operators are told MG5000 and can still read what is in force")
def check_down(context):
    assert context.answer.code is status_codes.LOG_UNAVAILABLE, context.answer
    items = ask(context.entries.addresses, lambda c: c.declarations())["items"]
    assert sorted(items) == ["team/ledger"], items
