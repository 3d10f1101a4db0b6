"""Steps for the record log: outages, lost answers, peers, start-up and retention."""

import asyncio
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from unittest import mock

from behave import given, then, when

from features.support.log_worlds import LogWorld, change
from mustardgap import appends, checkpoints, records, snapshots, states, status_codes
from mustardgap.adapters import Platform
from mustardgap.calls import EntryClient
from mustardgap.exceptions import MustardgapError, PlatformError, RecordRejected
from mustardgap.outcomes import Accepted, Rejected

STREAM = "mustardgap"
PENDING_RECORD = appends.PendingRecord
OUTAGE_S = 1.5
WAIT_S = 60.0


def has_code(log, code):
    """Return whether a log has this code as the reason for not being current."""
    return log.why_not_current is not None and log.why_not_current.number == code


def disable_safeguard(context, name):
    """Disable one safeguard for the rest of the scenario."""
    patches = {
        "none": [],
        "appending again": [mock.patch.object(appends.Appender, "_requeue")],
        "checkpoints": [mock.patch.object(checkpoints.Checkpoints, "due", return_value=False)],
    }
    for patch in patches[name]:
        patch.start()
        context.add_cleanup(patch.stop)


@given("a log with the daemons {names}")
def start_world(context, names):
    context.world = LogWorld(processes=context.processes, folder=context.folder)
    context.add_cleanup(context.world.close)
    for name in names.split(", "):
        context.world.start(name)
    context.world.agree()


@given("on the log {count:d} changes")
def write_changes(context, count):
    world = context.world
    writes = [write(context, "A", f"t{n}", timeout_s=30.0) for n in range(count)]
    verdicts = world.run(gather(writes))
    assert all(isinstance(verdict, Accepted) for verdict in verdicts), verdicts


async def gather(coroutines):
    """Run coroutines together."""
    return await asyncio.gather(*coroutines, return_exceptions=True)


def write(context, name, key, jobs=1, base=-1, timeout_s=20.0, **more):
    """Return the coroutine of one daemon's write of one change."""
    log = context.world.logs_by_name[name]
    return log.write(
        "config", change(key, jobs, base), timeout_s=timeout_s, purpose="operators", **more
    )


def inject_fault(context, fault, **fields):
    """Inject faults, such as ``lost POST + down GET``."""
    for part in fault.split(" + "):
        name, _, method = part.partition(" ")
        on = f"/log/{STREAM}*"
        extra = {"seconds": 1.0} if name == "slow" else {}
        context.world.control.fault(name, on=on, method=method or "*", **extra, **fields)


@when("the log is {fault} while {count:d} operators write to {names} without {safeguard}")
def write_under_fault(context, fault, count, names, safeguard):
    disable_safeguard(context, safeguard)
    world, daemons = context.world, names.split(" and ")
    inject_fault(context, fault)
    timeout_s = 20.0 if safeguard == "none" else 6.0

    async def all_writes():
        writes = [
            asyncio.create_task(
                write(context, daemons[n % len(daemons)], f"w{n}", timeout_s=timeout_s)
            )
            for n in range(count)
        ]
        await asyncio.sleep(OUTAGE_S)
        world.control.clear()
        return await asyncio.gather(*writes, return_exceptions=True)

    context.verdicts = world.run(all_writes())


@then("the log's writers are told that {result}")
def check_writes(context, result):
    accepted = [v for v in context.verdicts if isinstance(v, Accepted)]
    assert (len(accepted) == len(context.verdicts)) == (result == "all are accepted"), accepted
    if result != "all are accepted":
        return
    context.world.agree()
    assert len({verdict.offset for verdict in accepted}) == len(accepted)
    log = next(iter(context.world.logs_by_name.values()))
    versions = [log.state.declarations_by_key[f"team/w{n}"].version for n in range(len(accepted))]
    # Each is in force in the version that its writer was told, despite copies.
    assert versions == [verdict.offset for verdict in context.verdicts]
    print(f"{len(accepted)} accepted, {context.world.end() - len(accepted)} further records")


@when("the log is {fault} and an operator's write to {name} times out after {timeout_s:g} seconds")
def write_until_timeout(context, fault, name, timeout_s):
    inject_fault(context, fault)
    (context.failure,) = context.world.run(
        gather([write(context, name, "w0", timeout_s=timeout_s)])
    )


@then("the log returns {code:d} to the operator, and {effect} after the outage")
def check_reply(context, code, effect):
    failure, world = context.failure, context.world
    assert isinstance(failure, MustardgapError) and failure.code.number == code, failure
    end = world.end()
    world.control.clear()
    world.agree()
    log = world.logs_by_name["A"]
    # A write that timed out mustn't be appended later either.
    world.run(asyncio.sleep(1.0))
    assert ("team/w0" in log.state.declarations_by_key) == (effect == "it is in force"), log.offset
    assert world.end() == end


@when("on the log {first} and {second} race for one key {rounds:d} times")
def race(context, first, second, rounds):
    world, context.results = context.world, []
    for number in range(rounds):
        known = world.logs_by_name[first].state.declarations_by_key.get("team/raced")
        base = known.version if known else -1
        writes = [
            write(context, n, "raced", number * 2 + i, base) for i, n in enumerate((first, second))
        ]
        context.results.append(world.run(gather(writes)))
        world.agree(first, second)


@then("the log accepts one write of each race and the other is told what changed")
def check_race(context):
    for verdicts in context.results:
        (rejected,) = [verdict for verdict in verdicts if isinstance(verdict, Rejected)]
        assert rejected.code.number == 3000 and rejected.changed == ["team/raced"], rejected
        assert sum(isinstance(verdict, Accepted) for verdict in verdicts) == 1


@when("the daemon {name} is isolated from the log by {fault}, and {peer} relays {what}")
def isolate(context, name, fault, peer, what):
    world = context.world
    isolated, source = world.logs_by_name[name], world.logs_by_name[peer]
    world.control.fault(fault, port=world.ports_by_name[name])

    def relay(record, verdict):
        if what == "each record" or (what == "every other record" and record.offset % 2):
            isolated.receive([record])
        if what == "every other record":
            isolated.receive(source.recent(isolated.offset))
        isolated.confirm_current(source.offset, 0.0)

    source.on_fold(relay)
    writes = [write(context, peer, f"w{n}") for n in range(20)]
    context.verdicts = world.run(gather(writes))
    context.isolated_since = time.monotonic()


@then("the isolated daemon {name} has folded what {peer} has and reports that it is {freshness}")
def check_isolated(context, name, peer, freshness):
    world = context.world
    isolated, source = world.logs_by_name[name], world.logs_by_name[peer]
    if freshness == "fresh":
        assert isolated.state.digest() == source.state.digest()
        isolated.confirm_current(source.offset, source.seconds_since_confirmed())
        assert isolated.seconds_since_confirmed() <= source.seconds_since_confirmed() + 0.1
    else:
        world.run(asyncio.sleep(1.0))
        assert isolated.offset < source.offset
        assert (
            isolated.seconds_since_confirmed() >= time.monotonic() - context.isolated_since - 0.1
        ), isolated.seconds_since_confirmed()


@when("the log has a complete checkpoint and {what}")
def write_checkpoint(context, what):
    world = context.world
    world.run(world.logs_by_name["A"].checkpoints.write())
    write_more(context, 5, "later")
    if what == "its older records expire":
        world.control.fault("expired", on=STREAM, count=0)
        # The stand-in expires all streams alike, so the checkpoint is written again.
        world.run(world.logs_by_name["A"].checkpoints.write())
    if what == "another daemon's is partly written":
        log = world.logs_by_name["A"]
        with mock.patch.object(checkpoints, "CHUNK_BYTES", 64):
            half = checkpoints.chunk_records(log.snapshot(), offset=log.offset, writer="B")
        world.run(log.platform.append(f"{STREAM}-checkpoints", half[:2]))


def write_more(context, count, prefix):
    """Write further changes."""
    world = context.world
    verdicts = world.run(gather([write(context, "A", f"{prefix}{n}") for n in range(count)]))
    assert all(isinstance(verdict, Accepted) for verdict in verdicts), verdicts


@when("the daemon {name} starts from {source}")
def start_from(context, name, source):
    world = context.world
    log = world.start(name)
    if source == "a peer while the log is down":
        world.control.fault("down", port=world.ports_by_name[name[0]])
        peer = world.logs_by_name["A"]
        log.restore(peer.snapshot())
        log.confirm_current(peer.offset, peer.seconds_since_confirmed())
    if source == "neither":
        world.control.fault("down", port=world.ports_by_name[name[0]])
        world.run(asyncio.sleep(1.0))


@then("the started daemon {name} {result}")
def check_started(context, name, result):
    world = context.world
    log = world.logs_by_name[name]
    if result == "agrees with A":
        world.agree("A", name)
        return
    code = int(result.rpartition(" ")[2])
    world.until(partial(has_code, log, code), f"{code}")
    assert not log.current
    assert "stopped" in result or log.seconds_since_confirmed() > 1e6


@when("an outage outlasts the log's retention without {safeguard}")
def outlast_retention(context, safeguard):
    disable_safeguard(context, safeguard)
    world = context.world
    world.control.fault("down", on="/log/*")
    world.run(asyncio.sleep(OUTAGE_S))
    world.control.fault("expired", count=0)
    world.control.clear()
    if safeguard == "none":
        world.until(lambda: world.end(f"{STREAM}-checkpoints") > 0, "a checkpoint is written")
        world.agree()


@when("the daemons {names} write checkpoints at once")
def write_at_once(context, names):
    logs = [context.world.logs_by_name[name] for name in names.split(" and ")]
    context.world.run(gather([log.checkpoints.write() for log in logs]))
    context.world.agree()


@when("a record that needs newer rules is appended to the log")
def write_newer(context):
    record = {**records.make("config", change("newer"), writer="new"), "rules": 99}
    log = context.world.logs_by_name["A"]
    context.before = log.offset
    older = records.make("config", change("after"), writer="old", seen=log.offset)
    context.world.run(log.platform.append(STREAM, [record, older]))


@then("the log's readers {names} stop before it and report {code:d}")
def check_stopped(context, names, code):
    for name in names.split(" and "):
        log = context.world.logs_by_name[name]
        context.world.until(partial(has_code, log, code), f"{code}")
        log.confirm_current(log.offset, 0.0)
        assert log.offset == context.before and not log.current


@then("the log of {name} rejects a snapshot that was folded with newer rules")
def check_snapshot(context, name):
    log = context.world.logs_by_name[name]
    newer = snapshots.decode(log.snapshot())
    newer.offset, newer.rules = newer.offset + 2, 99
    try:
        log.restore(snapshots.encode(newer))
    except RecordRejected as exc:
        assert exc.code.number == 3004
    else:
        raise AssertionError("the snapshot was restored")
    assert log.offset == context.before


@when("the platform loses its log")
def lose_log(context):
    world = context.world
    world.processes.kill("platform")
    world.start_platform()


@when("{count:d} background writes and then an operator's use a budget of {per_s:d} appends")
def use_budget(context, count, per_s):
    world = context.world
    log = world.start("C", appends_per_s=per_s)
    world.agree("C")
    before, started = world.control.truth()["log"]["appends"], time.monotonic()

    async def write_one_by_one():
        order = []

        async def write_and_note(name, purpose):
            body = change(name)
            await log.write("config", body, timeout_s=WAIT_S, purpose=purpose)
            order.append(name)

        with mock.patch.object(appends, "MAX_BATCH_RECORDS", 1):
            background = [
                asyncio.create_task(write_and_note(f"b{n}", "background")) for n in range(count)
            ]
            await asyncio.sleep(0.2)
            await write_and_note("operator", "operators")
            await asyncio.gather(*background)
        return order

    context.order = world.run(write_one_by_one())
    context.spent = world.control.truth()["log"]["appends"] - before
    context.allowed = per_s * (1 + time.monotonic() - started)


@then("the budget of appends holds and the operator's write is prioritized")
def check_budget(context):
    assert context.spent <= context.allowed, (context.spent, context.allowed)
    position = context.order.index("operator")
    assert position < len(context.order) / 2, position


def make_already_appended(**fields):
    """Return a pending record that counts as appended before."""
    pending = PENDING_RECORD(**fields)
    pending.may_be_appended = True
    return pending


@when("on the log {count:d} changes are created at once with seen set {moment}")
def write_burst(context, count, moment):
    patch = mock.patch.object(states, "REMEMBERED_IDS", 300)
    patch.start()
    context.add_cleanup(patch.stop)
    if moment == "on creation":
        # A record that may be appended already keeps the ``seen`` of its creation.
        patch = mock.patch.object(appends, "PendingRecord", make_already_appended)
        patch.start()
        context.add_cleanup(patch.stop)
    writes = [write(context, "A", f"w{n}", timeout_s=60.0) for n in range(count)]
    context.verdicts = context.world.run(gather(writes))


@when("the log refuses 1 of {count:d} changes written at once")
def write_refused(context, count):
    platform = context.world.logs_by_name["A"].platform
    append = platform.append

    async def refuse(stream, values):
        if any(value["body"]["changes"][0]["key"] == "team/w3" for value in values):
            raise PlatformError(code=status_codes.PLATFORM_REFUSED, detail="refused")
        return await append(stream, values)

    with mock.patch.object(platform, "append", refuse):
        writes = [write(context, "A", f"w{n}") for n in range(count)]
        context.verdicts = context.world.run(gather(writes))


@then("the log's writers of the other {count:d} are told accepted and one MG5003")
def check_refused(context, count):
    assert sum(isinstance(verdict, Accepted) for verdict in context.verdicts) == count
    assert context.verdicts[3].code.number == 5003, context.verdicts[3]


CALL_S = 1.0


@when("{what} calls the platform while the process's threads are busy")
def call_without_threads(context, what):
    world = context.world
    address = world.control.address

    async def call():
        release = threading.Event()
        loop = asyncio.get_running_loop()
        with ThreadPoolExecutor(max_workers=1) as threads:
            loop.set_default_executor(threads)
            taken = loop.run_in_executor(None, release.wait)
            try:
                if what == "the log":
                    platform = Platform(address=address, timeout_s=CALL_S)
                    context.called = await platform.read("mustardgap", 0, limit=1)
                else:
                    calls = EntryClient(entries=[address], timeout_s=CALL_S)
                    context.called = await calls.call("GET", "/log/mustardgap?from=0&limit=1")
            finally:
                release.set()
                await taken

    world.run(call())


@then("that call was answered")
def call_answered(context):
    assert context.called is not None
