"""Steps for relaying records and snapshots between peers."""

import asyncio
import time
from unittest import mock

from behave import given, then, when

from features.support.log_worlds import change
from mustardgap import relays


@given("relays of {names}")
def start_relays(context, names):
    world = context.world
    patch = mock.patch.object(relays, "PART_BYTES", 4096)
    patch.start()
    context.add_cleanup(patch.stop)
    for name in (
        names.removesuffix(" with C unresponsive")
        .removesuffix(" with a long staleness limit")
        .split(", ")
    ):
        world.relay(
            name, stale_after_s=60.0 if names.endswith(" with a long staleness limit") else 0.0
        )
    if names.endswith(" with C unresponsive"):
        world.peers_by_name["C"].is_unresponsive = True


async def write_all(log, count, at_once):
    """Write changes, each of a different key."""
    for first in range(0, count, at_once):
        writes = [
            log.write("config", change(f"r{n}"), timeout_s=20.0, purpose="operators")
            for n in range(first, min(first + at_once, count))
        ]
        await asyncio.gather(*writes)


@when("the relayed daemon {name} is cut off by {fault} and {count:d} changes are written to A")
def cut_off(context, name, fault, count):
    world = context.world
    world.control.fault(fault, port=world.ports_by_name[name])
    context.since = time.monotonic()
    world.run(write_all(world.logs_by_name["A"], count, 5))


@when("the relayed daemon {name} starts without the log")
def start_without(context, name):
    world = context.world
    world.control.fault("down", port=world.ports_by_name[name])
    log = world.start(name)
    assert log.offset == 0
    world.relay(name)


@then("the relayed daemon {name} has all records and stays fresh")
def check_fresh(context, name):
    world = context.world
    log, source = world.logs_by_name[name], world.logs_by_name["A"]
    world.until(lambda: log.offset == world.end(), "all records are relayed")
    assert log.state.digest() == source.state.digest()
    bound = log.settings.stale_after_s
    world.until(lambda: log.current and log.seconds_since_confirmed() < bound, "it is fresh")
    world.run(asyncio.sleep(bound))
    world.until(lambda: log.seconds_since_confirmed() < bound, "it is fresh again")


@then("the relayed daemon {name} lacks records and becomes stale")
def check_stale(context, name):
    world = context.world
    log = world.logs_by_name[name]
    world.run(asyncio.sleep(log.settings.stale_after_s))
    assert log.offset < world.end()
    assert (
        log.seconds_since_confirmed() >= time.monotonic() - context.since - 0.1
    ), log.seconds_since_confirmed()


@when("no daemon can reach the log for {seconds:d} seconds")
def cut_all_off(context, seconds):
    world = context.world
    world.control.fault("silent", on="/log/*")
    context.since = time.monotonic()
    world.run(asyncio.sleep(seconds))


@then("no relayed daemon claims to be fresher than the outage")
def check_none_fresh(context):
    for log in context.world.logs_by_name.values():
        assert (
            log.seconds_since_confirmed() >= time.monotonic() - context.since - 0.1
        ), log.seconds_since_confirmed()
    assert sum(peers.calls for peers in context.world.peers_by_name.values()) > 0


@when("{count:d} changes are written one by one to A")
def write_one_by_one(context, count):
    context.world.run(write_all(context.world.logs_by_name["A"], count, 1))


@then("the relayed daemons have hardly asked each other")
def check_no_calls(context):
    # If the machine pauses for half a second, a daemon may correctly ask a peer.
    calls = {name: peers.calls for name, peers in context.world.peers_by_name.items()}
    assert sum(calls.values()) <= 6, calls


@when("the log goes down and the relayed daemons {old} are replaced by {new}")
def replace_all(context, old, new):
    world = context.world
    world.control.fault("down", on="/log/*")
    for leaving, coming in zip(old.split(", "), new.split(", "), strict=True):
        log = world.start(coming)
        world.relay(coming)
        world.until(lambda log=log: log.offset == world.end(), "a peer sent the state")
        world.stop(leaving)


@when("the log comes back without its records")
def come_back(context):
    world = context.world
    world.control.fault("expired", count=0)
    world.control.clear()
    world.until(lambda: world.end("mustardgap-checkpoints") > 0, "a checkpoint is written")
    world.agree()


@then("a relayed daemon {name} that starts from the log has the {count:d} changes")
def check_replaced(context, name, count):
    world = context.world
    log = world.start(name)
    world.agree()
    assert {f"team/t{n}" for n in range(count)} <= log.state.declarations_by_key.keys()
