"""Steps for the operators' interface."""

import asyncio
import socket
import ssl
import uuid

import msgspec
import trustme
from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as given_any
from hypothesis import strategies as st

from features.support.operators import Entries
from mustardgap import status_codes
from mustardgap.clients import Client, ProblemError
from mustardgap.exceptions import MustardgapError
from mustardgap.settings import TlsSettings

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


def write_keys(authority, folder, name="127.0.0.1", parts=("certificate", "key", "authority")):
    """Issue a certificate and write its files."""
    folder.mkdir(exist_ok=True)
    issued = authority.issue_cert(name)
    pems = {
        "certificate": b"".join(pem.bytes() for pem in issued.cert_chain_pems),
        "key": issued.private_key_pem.bytes(),
        "authority": authority.cert_pem.bytes(),
    }
    for part in parts:
        (folder / f"{part}.pem").write_bytes(pems[part])
    paths = {part: str(folder / f"{part}.pem") for part in pems}
    return TlsSettings(**paths), pems


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
