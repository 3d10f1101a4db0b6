"""Steps for requests from caller to executor, with real sockets and stand-in executors."""

import asyncio
import os
import time

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import strategies as st

from features.support.drawing import bounded
from features.support.rigs import METHODS, Rig, read_answer

LONG = os.environ.get("MUSTARDGAP_LONG") == "1"


@given("requests to an entry host with two executors")
def use_default_rig(context):
    context.rig_options = {}


@when("requests of kind {kind} are sent with fault {fault} on {on}")
def send_with_fault(context, kind, fault, on):
    async def main():
        async with Rig(**context.rig_options) as r:
            name, _, number = fault.partition(" ")
            if name == "refused":
                r.upstreams.by_name["x1"].cut()
            elif name == "frozen":
                r.upstreams.by_name["x1"].pause()
            elif name != "nothing":
                argument_names = {"late": "seconds", "short": "at_byte"}
                arguments = {argument_names[name]: int(number)} if name in argument_names else {}
                r.fault(name, on="*" if on == "both" else on, **arguments)
            query = "size=5000"
            told = await r.ask(kind, query=query, timeout_s=1.0)
            context.told, context.runs = told, r.runs(told.path)
            told.check(context.runs, kind == "idempotent")
            # Faults that remain at the executors must not affect the next request.
            r.upstreams.faults.clear()
            r.upstreams.by_name["x1"].resume()
            told = await r.ask(kind, query=query)
            told.check(r.runs(told.path), kind == "idempotent")
            assert told.code == 1000, told.code
            assert r.entry.slots.held == 0

    asyncio.run(main())


@then("requests are told {codes} after {count} runs")
def check_told(context, codes, count):
    assert str(context.told.code) in codes.split("/"), context.told.code
    assert str(len(context.runs)) in count.split("/"), context.runs


@when("requests with random faults are checked against the executors' record")
def send_with_random_faults(context):
    runner, rig = asyncio.Runner(), Rig()
    faults = ["nothing", "reset_before_reading", "reset_after_reading", "reset_after_running"]
    faults += ["refusing", "wrong_id", "doubled", "short", "late", "failing"]
    context.seen_codes = set()

    @bounded(4000 if LONG else 150)
    @drawn(
        st.sampled_from(faults),
        st.sampled_from(["idempotent", "non-idempotent"]),
        st.sampled_from([0, 300, 70_000]),
        st.booleans(),
        st.integers(0, 900),
        st.sampled_from(["x1", "*"]),
    )
    def example(fault, kind, size, chunked, at_byte, on):
        async def send_one():
            if fault != "nothing":
                r.fault(fault, on=on, at_byte=at_byte, seconds=0.3)
            query = f"size={size}" + ("&chunked=1" if chunked else "")
            told = await r.ask(kind, query=query, timeout_s=0.2 if fault == "late" else 5.0)
            r.upstreams.faults.clear()
            told.check(r.runs(told.path), kind == "idempotent")
            context.seen_codes.add(told.code)

        runner.run(send_one())

    r = runner.run(rig.__aenter__())
    try:
        example()
    finally:
        runner.run(rig.__aexit__())
        runner.close()


@then("requests were told at least {codes}")
def check_seen_codes(context, codes):
    assert {int(code) for code in codes.split("/")} <= context.seen_codes, context.seen_codes


async def until(condition):
    """Wait until a condition holds, for at most 10 s."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


@when("requests' caller disconnects while its {kind} request {state}")
def disconnect(context, kind, state):
    async def main():
        async with Rig() as r:
            if state == "waits for a slot":
                r.entry.slots.grants_allowed.clear()
            _, writer = await asyncio.open_connection("127.0.0.1", r.entry.callers.port)
            # It runs for much longer than a delayed process takes to notice the disconnect: a run
            # of 0.3 s is over by the time that the slot is checked.
            lines = f"{METHODS[kind]} /quotes/gone?run_s=3 HTTP/1.1\r\nHost: a\r\n"
            writer.write((lines + "Content-Length: 0\r\n\r\n").encode())
            await asyncio.wait_for(r.entry.slots.requested.wait(), 10)
            await asyncio.sleep(0.15)
            if state == "runs":
                await until(lambda: r.upstreams.by_name["x1"].show()["running"])
            assert r.upstreams.by_name["x1"].show()["running"] == (state == "runs")
            writer.close()
            await asyncio.sleep(0.3)
            context.held_slots = r.entry.slots.held
            r.entry.slots.grants_allowed.set()
            await until(lambda: not r.entry.slots.held)
            await asyncio.sleep(0.5)
            await until(lambda: not r.upstreams.by_name["x1"].show()["running"])
            context.runs = r.runs()
            assert r.entry.slots.held == 0

    asyncio.run(main())


@then("requests have {count:d} run and the slot is {slot}")
def check_disconnect(context, count, slot):
    assert len(context.runs) == count, context.runs
    assert context.held_slots == (slot == "still held"), context.held_slots


@when("requests are in flight while the entry host stops")
def stop_entry(context):
    async def main():
        async with Rig() as r:
            port = r.entry.callers.port
            kept = await asyncio.open_connection("127.0.0.1", port)
            idle = await asyncio.open_connection("127.0.0.1", port)
            assert b"200 OK" in await _get(kept, "/-/ready")
            in_flight = [asyncio.create_task(r.ask(query="run_s=0.8")) for _ in range(5)]
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(r.entry.callers.drain())
            await asyncio.sleep(0.05)
            context.ready_answer = await _get(
                await asyncio.open_connection("127.0.0.1", port), "/-/ready"
            )
            context.kept_answer = await _get(kept, "/quotes/kept")
            await asyncio.sleep(0.4)
            context.late_answer = await _get(idle, "/quotes/late")
            context.told = [await task for task in in_flight]
            await stopping
            context.runs = r.runs()

    asyncio.run(main())


async def _get(connection, path):
    reader, writer = connection
    writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    return await read_answer(reader)


@then("requests in flight were answered and later ones refused and not run")
def check_stop(context):
    assert [told.code for told in context.told] == [1000] * 5
    assert context.ready_answer.startswith(b"HTTP/1.1 503"), context.ready_answer
    assert b"Connection: close" in context.kept_answer
    assert b"X-Result-Code: 1000" in context.kept_answer, context.kept_answer
    assert b"X-Result-Code: 1105" in context.late_answer, context.late_answer
    assert not [run for run in context.runs if "late" in run.path]


@when("requests of kind {kind} have a timeout of {seconds:g} s while executors refuse connections")
def send_without_executors(context, seconds, kind):
    async def main():
        async with Rig() as r:
            for executor in r.upstreams.by_name.values():
                executor.cut()
            started = time.monotonic()
            context.told = await r.ask(kind, timeout_s=seconds)
            context.elapsed_s = time.monotonic() - started
            context.runs = r.runs()

    asyncio.run(main())


@then("requests are refused long before their deadline of {seconds:g} s")
def check_refused_early(context, seconds):
    context.told.check(context.runs, False)
    assert context.told.code == 1103, context.told.code
    assert context.elapsed_s < seconds / 2
