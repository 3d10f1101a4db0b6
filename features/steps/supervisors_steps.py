"""Steps for parts that end by a stray cancellation."""

import asyncio
from unittest import mock

from absl import logging
from behave import given, then, when

from features.support.cancelled_parts import cancelled
from mustardgap import supervisors, timers
from mustardgap.exceptions import ChildFailed
from tools.virtual_time import VirtualClock, run

ALWAYS = 1000
CANCELLATIONS_BY_BEHAVIOR = {
    "awaits what is cancelled once": 1,
    "awaits what is cancelled twice": 2,
    "awaits what is always cancelled": ALWAYS,
}
SETTLE_WAIT_S = 30.0


class Child:
    """A part that ends as described by ``behavior``."""

    def __init__(self, behavior):
        self.behavior = behavior
        self.starts = 0

    async def run(self):
        self.starts += 1
        if self.starts <= CANCELLATIONS_BY_BEHAVIOR.get(self.behavior, 0):
            await cancelled()
        if (
            self.behavior in ("fails once", "is stopped as it waits to restart")
            and self.starts == 1
        ):
            raise ValueError("it broke")
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if self.behavior == "fails as it is stopped":
                raise ValueError("it broke") from None
            raise


@given("a supervisor with a child that {behavior}")
def a_child(context, behavior):
    context.child = Child(behavior)


@when("the supervisor has had time to restart it")
def time_to_start(context):
    async def run_scenario():
        supervisor = context.supervisor = supervisors.Supervisor(name="daemon")
        supervision = asyncio.ensure_future(supervisor.run())
        supervisor.start_child("part", context.child.run)
        await asyncio.sleep(0.01)
        if "is stopped" in context.child.behavior:
            await asyncio.wait_for(supervisor.stop_child("part"), SETTLE_WAIT_S)
        await asyncio.sleep(SETTLE_WAIT_S)
        context.ended_by = supervision.exception() if supervision.done() else None
        context.children = supervisor.children()
        supervision.cancel()
        await supervisor.stop()

    with mock.patch.object(logging, "exception") as lines:
        run(run_scenario())
    context.lines = lines.call_count


@then("the child was started {times:d} times")
def started(context, times):
    assert context.child.starts == times, context.child.starts
    runs = [] if "is stopped" in context.child.behavior else ["part"]
    assert context.children == runs, context.children


@then("the supervisor counts {restarts:d} restarts and {lines:d} logged failures")
def counted(context, restarts, lines):
    seen = context.supervisor.restarts, context.lines
    assert seen == (restarts, lines), seen


@then("the supervisor ends with an error that names the child")
def names_the_child(context):
    assert isinstance(context.ended_by, ChildFailed), context.ended_by
    assert "daemon/part" in str(context.ended_by), context.ended_by


@given("a timer whose callback {behavior}")
def a_timer(context, behavior):
    context.behavior = behavior


@when("ten periods of the timer have passed")
def ten_periods(context):
    context.calls = 0

    async def callback():
        context.calls += 1
        if context.calls > 1:
            return
        if context.behavior.startswith("awaits"):
            await cancelled()
        if context.behavior.startswith("fails"):
            raise ValueError("it broke")
        if context.behavior.startswith("ends"):
            context.unsubscribe()
            await asyncio.sleep(1.0)
        if context.behavior.startswith("is ended"):
            asyncio.get_running_loop().call_later(0.5, context.unsubscribe)
            await asyncio.sleep(1.0)

    async def run_scenario():
        service = timers.Timers(clock=VirtualClock(loop=asyncio.get_running_loop()))
        context.unsubscribe = service.subscribe("view", 1.0, callback)
        await asyncio.sleep(10.5)
        service.close()
        await asyncio.sleep(0)

    with mock.patch.object(logging, "exception") as lines:
        run(run_scenario())
    context.lines = lines.call_count


@then("its callback was called {times:d} times")
def called(context, times):
    assert context.calls == times, context.calls


@then("the timer has logged {lines:d} failures")
def left_lines(context, lines):
    assert context.lines == lines, context.lines
