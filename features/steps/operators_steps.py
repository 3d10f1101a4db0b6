"""Steps for the operators' interface."""

import asyncio
import itertools
import socket
import ssl
import time
import uuid

import msgspec
import trustme
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st

from features.support.drawing import bounded
from features.support.operators import Entries
from features.support.tls import DisconnectingServer, write_keys
from mustardgap import calls, status_codes
from mustardgap.clients import Client, ProblemError
from mustardgap.exceptions import MustardgapError
from mustardgap.outcomes import Accepted

BOUNDED = bounded(5)
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
    prepare(context)
    context.entries.control.fault("lost", on="/log/*", method="POST", count=1)
    context.answer = ask(context.entries.addresses, lambda client: _send(client, what))


@when("operators' first entry host loses the answer and {what} is sent")
def lose_at_entry(context, what):
    prepare(context)
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

        async def pass_on():
            while data := await reader.read(65536):
                out.write(data)

        passing = asyncio.create_task(pass_on())
        await upstream.read(65536)
        passing.cancel()
        out.close()
        writer.close()

    return relay


async def _send(client, what):
    calls = {
        "a change": lambda: client.apply([change("team/new", team(2))]),
        "a job": lambda: client.submit("job-1", SPEC),
        "a cancel": lambda: client.cancel(["job-0"]),
        "a drain": lambda: client.drain("w1", reason="fan"),
        "an undrain": lambda: client.undrain("w0"),
        "a wave": lambda: client.start_wave("wave-1", rack="r1"),
        "a pause": lambda: client.step_wave("wave-0", "pause"),
    }
    return await calls[what]()


async def set_up(log):
    """Put hosts, a job and a wave on the log for the requests to work on."""
    facts = {"rack": "r1", "data_center": "d1", "cores": 8, "memory_gb": 8, "accelerators": 0}
    host = {"base": 0, "phase": "in_service", "pool": "", "reason": "", "facts": facts}
    w0 = {**host, "host": "w0", "facts": {**facts, "rack": "r0"}}
    bodies = [
        ("host", {**host, "host": "w1"}),
        ("host", w0),
        ("host", {**w0, "base": 1, "phase": "draining"}),
        ("job", {"job": "job-0", "base": 0, "step": "submit", "spec": SPEC}),
        ("wave", {"wave": "wave-0", "base": 0, "step": "start", "hosts": ["w0"]}),
    ]
    for kind, body in bodies:
        verdict = await log.write(kind, body, timeout_s=20)
        assert isinstance(verdict, Accepted), verdict


def prepare(context):
    """Put what the requests work on onto the log and wait until it is known everywhere."""
    entries = context.entries.by_number
    context.entries.do(set_up(entries[0].log))
    last = context.entries.call(lambda: entries[0].log.offset) - 1
    ask(context.entries.addresses, lambda c: c.wait_in_force(last, timeout_s=20))
    context.before = list(entries[1].accepted)


@then("operators are told that it is accepted, and it stands on the log once")
def check_once(context):
    assert context.answer.get("verdict", "accepted") == "accepted", context.answer
    assert not any(context.answer.get("codes", {}).values()), context.answer
    entry = context.entries.by_number[1]
    last = context.entries.call(lambda: context.entries.by_number[0].log.offset) - 1
    ask(context.entries.addresses, lambda c: c.wait_in_force(last, timeout_s=20))
    accepted = context.entries.call(lambda: list(entry.accepted))
    assert len(accepted) == len(context.before) + 1, accepted


@when("operators drain the only host of a service that must keep one")
def drain_last(context):
    disruption = {"steps": [], "warning_s": 0, "drain_s": 9, "idempotent": False}
    profile = {
        "room": {"max_hosts": 2},
        "availability": {"min_hosts": 1, "survive": "none"},
        "disruption": disruption,
        "urgency": 1,
    }
    changes = [
        change("profile/calm", profile),
        change("service/deposits", {"profile": "calm", "team": "ledger", "path": "/deposits"}),
        change("pool/front", {"service": "deposits", "min_hosts": 0, "max_hosts": 2}),
    ]
    prepare(context)
    ask(context.entries.addresses, lambda client: client.apply(changes))
    log = context.entries.by_number[0].log
    join = {"host": "w1", "base": 1, "phase": "in_service", "pool": "front", "reason": ""}
    verdict = context.entries.do(log.write("host", join, timeout_s=20))
    assert isinstance(verdict, Accepted), verdict
    try:
        context.answer = ask(context.entries.addresses, lambda client: client.drain("w1"))
    except MustardgapError as exc:
        context.answer = exc


@then("operators are told MG3002 with the service, and the host stays in service")
def check_budget(context):
    assert context.answer.code is status_codes.BUDGET_BREACH, context.answer
    assert "deposits" in context.answer.detail, context.answer
    items = ask(context.entries.addresses, lambda client: client.items("hosts", "w1"))["items"]
    assert items["w1"]["phase"] == "in_service", items


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


@given("an operators' port with mutual TLS")
def start_tls(context):
    context.authority = trustme.CA()
    context.tls, _ = write_keys(context.authority, context.folder / "server")
    context.entries = Entries(
        processes=context.processes,
        folder=context.folder,
        operators={"tls": msgspec.structs.asdict(context.tls)},
    )
    context.add_cleanup(context.entries.close)


def status_with(context, tls):
    """Ask for the status and return its host, or the error."""
    try:
        answer = ask(context.entries.addresses, lambda client: client.status(), tls=tls)
    except MustardgapError as exc:
        return exc
    return answer["host"]


def check_turned_away(context, tls):
    found = status_with(context, tls)
    assert isinstance(found, MustardgapError), found
    assert found.code is status_codes.ENTRY_UNAVAILABLE, found


@then("operators with a certificate of the authority are served")
def check_served(context):
    tls, _ = write_keys(context.authority, context.folder / "client")
    assert status_with(context, tls) == "entry-0"


@then("operators without one, or with one of another authority, are refused before any answer")
def check_not_served(context):
    check_turned_away(context, None)
    other, _ = write_keys(trustme.CA(), context.folder / "other")
    (context.folder / "other" / "authority.pem").write_bytes(context.authority.cert_pem.bytes())
    check_turned_away(context, other)
    host, port = context.entries.addresses[0].split(":")
    plain = ssl.create_default_context(cafile=context.tls.authority)
    with socket.create_connection((host, int(port)), timeout=20) as sock:
        try:
            with plain.wrap_socket(sock, server_hostname="127.0.0.1") as wrapped:
                wrapped.sendall(b"GET /v1/status HTTP/1.1\r\nHost: a\r\n\r\n")
                got = wrapped.recv(100)
        except OSError:
            got = b""
    assert got == b"", got
    change_sent = ask_change(context, other)
    assert change_sent.code is status_codes.ENTRY_UNAVAILABLE, change_sent


def ask_change(context, tls):
    try:
        changes = [change("team/new", team(1))]
        return ask(context.entries.addresses, lambda client: client.apply(changes), tls=tls)
    except MustardgapError as exc:
        return exc


def hold_up(client, *, number):
    """Stop this process for longer than a connection may take, while a call is connecting.

    :param number: which of the client's calls, the first is 1.
    """
    numbers = itertools.count(1)
    fetch = client._calls._http.fetch

    def fetch_and_stop(*args, **kwargs):
        begun = fetch(*args, **kwargs)
        if next(numbers) == number:
            asyncio.get_running_loop().call_soon(time.sleep, calls.CONNECT_TIMEOUT_S + 0.5)
        return begun

    client._calls._http.fetch = fetch_and_stop


@when("operators' process is held up while it connects for a change")
def change_held_up(context):
    async def send(client):
        hold_up(client, number=1)
        return await client.apply([change("team/new", team(1))])

    # With another entry host to turn to, the tool would be told the verdict by that one.
    context.answer = ask(context.entries.addresses[:1], send)


@then("operators are told that it is accepted")
def check_accepted(context):
    assert context.answer["verdict"] == "accepted", context.answer


@when("operators' process is held up while it connects for a wait")
def wait_held_up(context):
    addresses = context.entries.addresses
    answer = ask(addresses, lambda client: client.apply([change("team/new", team(1))]))
    ask(addresses, lambda client: client.wait_in_force(answer["offset"], timeout_s=60))
    context.seen = []

    async def wait(client):
        # Each entry host is asked for the members it knows, then each member how far it is.
        hold_up(client, number=len(addresses) + 1)
        await client.wait_in_force(answer["offset"], timeout_s=1, progress=context.seen.append)

    ask(addresses, wait)
    context.offset = answer["offset"]


@then("operators are told that all hosts have it")
def check_all_have_it(context):
    for offsets in context.seen:
        assert len(offsets) == 3, context.seen
        assert all(member.offset > context.offset for member in offsets), context.seen


@given("an operators' port that answers {answered:d} requests and then {leaves}")
def start_leaving(context, answered, leaves):
    context.authority = trustme.CA()
    context.server = DisconnectingServer(
        authority=context.authority,
        answered=answered,
        reads="reads" in leaves,
        resets="resets" in leaves,
    )
    context.add_cleanup(context.server.close)


@when("operators send a change to it")
def send_change(context):
    tls, _ = write_keys(context.authority, context.folder / "client")
    changes = [change("team/new", team(1))]
    try:
        ask([context.server.address], lambda client: client.apply(changes), tls=tls)
        context.told = None
    except MustardgapError as exc:
        context.told = exc


@then("operators are told {code} and it read {methods}")
def check_told(context, code, methods):
    assert str(context.told.code).startswith(code), context.told
    assert context.server.methods == (
        [] if methods == "nothing" else methods.split(" and ")
    ), context.server.methods


@then("operators refuse an entry host with a certificate of another authority")
def check_server_refused(context):
    tls, _ = write_keys(context.authority, context.folder / "doubting")
    (context.folder / "doubting" / "authority.pem").write_bytes(trustme.CA().cert_pem.bytes())
    check_turned_away(context, tls)


@when("operators replace the authority, and the certificate but not yet its key")
def replace_half(context):
    context.new_authority = trustme.CA()
    _, context.pems = write_keys(
        context.new_authority, context.folder / "server", parts=("certificate", "authority")
    )
    assert not reload(context)


@when("operators replace the key too")
def replace_key(context):
    (context.folder / "server" / "key.pem").write_bytes(context.pems["key"])
    assert reload(context)


def reload(context):
    """What the daemon does every few seconds."""
    return context.entries.call(context.entries.by_number[0].operators.certificates.reload)


@then("operators with a certificate of the new authority are served, and those of the old refused")
def check_replaced(context):
    tls, _ = write_keys(context.new_authority, context.folder / "renewed")
    assert status_with(context, tls) == "entry-0"
    old, _ = write_keys(context.authority, context.folder / "old")
    (context.folder / "old" / "authority.pem").write_bytes(context.new_authority.cert_pem.bytes())
    check_turned_away(context, old)
