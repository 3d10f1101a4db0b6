"""Steps of the structured lines' feature."""

import json
import os

from behave import given, then, when

from mustardgap.events import EventLog
from mustardgap.timers import Clock


class _Still(Clock):
    """A clock that stands still unless it is moved."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now

    def wall(self):
        return 1_700_000_000.0 + self.now


@given("an event log into a pipe that nobody reads")
def log_into_pipe(context):
    context.reader, writer = os.pipe()
    context.clock = _Still()
    context.log = EventLog(host="e1", clock=context.clock, descriptor=writer)


@given("an event log that keeps its lines")
def log_that_keeps(context):
    context.clock = _Still()
    context.log = EventLog(host="e1", clock=context.clock)


@when("{count:d} lines are noted")
def lines_noted(context, count):
    for number in range(count):
        context.clock.now += 0.01
        context.log.note("run.start", vital=True, job=f"{number:016x}", why="x" * 250)


@when("{count:d} {kind} lines are noted within a second")
def lines_of_kind(context, count, kind):
    for number in range(count):
        context.clock.now += 1 / count
        context.log.note(kind, vital=kind == "vital", number=number)


@then("all calls have returned and lines were left out")
def left_out(context):
    context.left_out = context.log.left_out
    assert context.left_out > 0


@then("the next line that is read tells how many were left out")
def told(context):
    os.set_blocking(context.reader, False)
    for _ in range(200):
        try:
            raw = os.read(context.reader, 1 << 20)
        except BlockingIOError:
            raw = b""
        context.clock.now += 10
        context.log.note("after", vital=True)
        for line in raw.split(b"\n"):
            if b'"after"' in line and b"left_out" in line:
                assert json.loads(line)["left_out"] >= context.left_out
                return
    raise AssertionError("no line told of those that were left out")


@then("between {least:d} and {most:d} lines were written")
def bounded(context, least, most):
    assert least <= len(context.log.kept) <= most, len(context.log.kept)


@then("the last {count:d} lines are the vital ones")
def last_vital(context, count):
    assert [row["event"] for row in context.log.kept[-count:]] == ["vital"] * count
