"""Steps for the sharing of slots among entry hosts."""

import asyncio
import os
import random
import sys
from collections import Counter

from behave import given, then, when
from hypothesis import Phase
from hypothesis.stateful import run_state_machine_as_test

from features.support.drawing import bounded
from mustardgap.exceptions import SlotRefused
from tools.fake_fleet import FakeExecutors, FakeNetwork, Fleet
from tools.slots_machine import SlotsMachine
from tools.virtual_time import VirtualClock, run

LONG = bool(os.environ.get("MUSTARDGAP_LONG"))
BOUNDED = bounded(
    400 if LONG else 7, stateful_step_count=25 if LONG else 10, phases=[Phase.generate]
)
HOLD_S = 0.2


@given("slots are shared by {entries:d} entry hosts on a network that is {network}")
def share_slots(context, entries, network):
    context.entries, context.network = entries, network


@when("slots are requested while entry hosts {entry_events}")
def run_machine(context, entry_events):
    class Machine(SlotsMachine):
        entries_count = context.entries
        network_kind = context.network
        events = entry_events

        def teardown(self):
            try:
                if hasattr(self, "loop") and sys.exc_info()[0] is None:
                    self.finish()
                    context.granted += self.granted
            finally:
                super().teardown()

    context.granted = 0
    run_state_machine_as_test(Machine, settings=BOUNDED)


@then("slots in use never exceeded 8 at any executor")
def check_limit(context):
    # The machine asserts the limit at each start; this checks that there were enough starts.
    assert context.granted > 100, context.granted


@then("slots were all returned after the faults ended")
def check_all_returned(context):
    assert context.granted > 100


@when("the network isolates {few:d} entry hosts that {have} heard of the others' new runs")
def isolate_few(context, few, have):
    class Machine(SlotsMachine):
        entries_count = context.entries
        network_kind = context.network

    machine = context.machine = Machine()
    machine.start(seed=1)
    entries = machine.fleet.entries
    context.few, rest = entries[:few], entries[few:]
    for entry in rest:
        machine._run(renew(entry))
    if have == "have":
        machine._run(asyncio.sleep(6))
    context.live = [Counter(m.host for m in e.members.live()) for e in context.few]
    machine.disconnect(set(context.few), rest, without_log=context.few)
    machine._run(asyncio.sleep(10))


async def renew(entry):
    entry.members.start_new_incarnation()


@then("slots are refused by those {few:d}, which reach no majority")
def check_no_majority(context, few):
    async def refusal(entry):
        try:
            await entry.slots.acquire("s0", deadline=entry.fleet.clock.monotonic() + 1)
        except SlotRefused as exc:
            return exc.outcome.code.name
        return "granted"

    codes = [context.machine.loop.run_until_complete(refusal(e)) for e in context.few]
    context.machine.teardown()
    assert codes == ["not_current"] * few, codes


@then("entry hosts were counted once each, by their latest run")
def check_one_run(context):
    assert all(set(live.values()) == {1} for live in context.live), context.live


async def offer_load(context, loads, max_wait_s, seconds=6.0, stall=(0.0, 0.0)):
    """Send requests of several services at multiples of their capacity, urgency 1 or 8.

    No slot is released in the time between the two values of ``stall``, in seconds from the start.
    """
    loop = asyncio.get_running_loop()
    executors = FakeExecutors(services=2, executors=2)
    network = FakeNetwork(delay_s=lambda: 0.0005)
    fleet = Fleet(
        network=network, executors=executors, clock=VirtualClock(loop=loop), max_wait_s=max_wait_s
    )
    entries = [fleet.add(f"e{i}") for i in range(context.entries)]
    await asyncio.sleep(5)
    rng = random.Random(7)
    began = loop.time()
    context.waits, context.refusals, context.outcomes = {}, [], Counter()

    async def request(service):
        urgency, asked = rng.choice((1, 8)), loop.time()
        entry = rng.choice(entries)
        deadline = asked + max_wait_s + 2 * HOLD_S
        try:
            slot = await entry.slots.acquire(service, deadline=deadline, urgency=urgency)
        except SlotRefused as exc:
            context.refusals.append((loop.time() - asked, exc.outcome))
            context.outcomes[service, urgency, False] += 1
            return
        context.waits.setdefault(service, []).append(loop.time() - asked)
        context.outcomes[service, urgency, True] += 1
        await asyncio.sleep(rng.expovariate(1 / HOLD_S))
        since_s = loop.time() - began
        if stall[0] <= since_s < stall[1]:
            await asyncio.sleep(stall[1] - since_s)
        entry.slots.release(slot)

    async def stream(service, load):
        end, tasks = loop.time() + seconds, []
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(load * 16 / HOLD_S))
            tasks.append(asyncio.create_task(request(service)))
        await asyncio.gather(*tasks)

    await asyncio.gather(*(stream(service, load) for service, load in loads.items()))


@when("slots are requested at {load:g} times capacity with a maximum wait of {max_wait:g} s")
def overload(context, load, max_wait):
    random.seed(3)
    run(offer_load(context, {"s0": load}, max_wait))


@then("slots were refused within {within:g} s, with jittered retry times")
def check_refusals(context, within):
    assert context.refusals
    assert max(waited for waited, _ in context.refusals) <= within + 0.01
    times = [outcome.retry_after for _, outcome in context.refusals]
    assert min(times) >= 0.5 and len({round(t, 3) for t in times}) > len(times) / 2


@then("slots were granted to more urgent requests first")
def check_urgency(context):
    share = {
        urgency: context.outcomes["s0", urgency, True]
        / (context.outcomes["s0", urgency, True] + context.outcomes["s0", urgency, False])
        for urgency in (1, 8)
    }
    assert share[1] > share[8] + 0.2, share


@when(
    "slots are requested at {load:g} times capacity with a maximum wait of {max_wait:g} s, "
    "and none is released for {stall_s:g} s"
)
def offer_with_stall(context, load, max_wait, stall_s):
    random.seed(3)
    run(offer_load(context, {"s0": load}, max_wait, stall=(2.0, 2.0 + stall_s)))


@then("slots were refused to nobody")
def check_none_refused(context):
    assert not context.refusals, (len(context.refusals), context.refusals[:5])


@when("slots of service s0 are requested at {much:g} times capacity and of s1 at {little:g}")
def overload_one(context, much, little):
    random.seed(3)
    run(offer_load(context, {"s0": much, "s1": little}, 1.0))


@then("slots of service s1 were granted as if it were alone")
def check_isolation(context):
    refused = context.outcomes["s1", 1, False] + context.outcomes["s1", 8, False]
    assert context.outcomes["s0", 8, False] > 100 and not refused, context.outcomes
    assert sum(context.waits["s1"]) / len(context.waits["s1"]) < 0.02


@when("slots of s0 are all taken, and the first of two waiters is cancelled as one is released")
def cancel_waiter(context):
    async def run_scenario():
        loop = asyncio.get_running_loop()
        executors = FakeExecutors(services=1, executors=1)
        network = FakeNetwork(delay_s=lambda: 0.0005)
        fleet = Fleet(network=network, executors=executors, clock=VirtualClock(loop=loop))
        entry, *_ = (fleet.add(f"e{i}") for i in range(context.entries))
        await asyncio.sleep(5)
        deadline = loop.time() + 30
        taken = [await entry.slots.acquire("s0", deadline=deadline) for _ in range(8)]
        waiting = [
            asyncio.create_task(entry.slots.acquire("s0", deadline=deadline)) for _ in range(2)
        ]
        await asyncio.sleep(0.1)
        waiting[0].cancel()
        entry.slots.release(taken[0])
        async with asyncio.timeout(1):
            context.next_slot = await waiting[1]

    run(run_scenario())


@then("the released slot went to the next waiter, and the release raised no error")
def check_next_waiter(context):
    assert context.next_slot.service == "s0", context.next_slot
