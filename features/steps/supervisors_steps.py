"""Steps of parts that end by a cancellation nobody asked for."""

import asyncio
from unittest import mock

from absl import logging
from behave import given, then, when

from mustardgap import supervisors
from mustardgap.exceptions import ChildFailed
from tools.virtual_time import run

NEVER = 1000
CANCELLED_BY_WORDS = {
    "awaits what is cancelled once": 1,
    "awaits what is cancelled twice": 2,
    "awaits what is always cancelled": NEVER,
}
SETTLED_S = 30.0


async def cancelled():
    """What awaiting something shared does once another one has closed it."""
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


class Child:
    """A part that ends in the way that its words tell."""

    def __init__(self, words):
        self.words = words
        self.starts = 0

    async def run(self):
        self.starts += 1
        if self.starts <= CANCELLED_BY_WORDS.get(self.words, 0):
            await cancelled()
        if self.words in ("fails once", "is stopped as it waits to restart") and self.starts == 1:
            raise ValueError("it broke")
        await asyncio.Event().wait()


@given("a supervisor with a child that {words}")
def a_child(context, words):
    context.child = Child(words)


@when("the supervisor has had time to start it again")
def time_to_start(context):
    async def scene():
        supervisor = context.supervisor = supervisors.Supervisor(name="daemon")
        ending = asyncio.ensure_future(supervisor.run())
        supervisor.start_child("part", context.child.run)
        await asyncio.sleep(0.01)
        if context.child.words.startswith("is stopped"):
            await asyncio.wait_for(supervisor.stop_child("part"), SETTLED_S)
        await asyncio.sleep(SETTLED_S)
        context.ended_by = ending.exception() if ending.done() else None
        context.children = supervisor.children()
        ending.cancel()
        await supervisor.stop()

    with mock.patch.object(logging, "exception") as lines:
        run(scene())
    context.lines = lines.call_count


@then("the child was started {times:d} times")
def started(context, times):
    assert context.child.starts == times, context.child.starts
    runs = [] if context.child.words.startswith("is stopped") else ["part"]
    assert context.children == runs, context.children


@then("the supervisor counts {restarts:d} restarts and {lines:d} lines of its failures")
def counted(context, restarts, lines):
    seen = context.supervisor.restarts, context.lines
    assert seen == (restarts, lines), seen


@then("the supervisor ends and names the child")
def names_the_child(context):
    assert isinstance(context.ended_by, ChildFailed), context.ended_by
    assert "daemon/part" in str(context.ended_by), context.ended_by
