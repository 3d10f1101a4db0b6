"""Steps for structured log lines."""

import json
import os
from collections import Counter

from behave import given, then, when

from features.support.command_line import run_command
from mustardgap.events import EventLog
from mustardgap.timers import Clock


class _ManualClock(Clock):
    """A clock that only the test advances."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now

    def wall(self):
        return 1_700_000_000.0 + self.now


@given("an event log that writes to a pipe that isn't read")
def log_into_pipe(context):
    context.reader, writer = os.pipe()
    context.clock = _ManualClock()
    context.log = EventLog(host="e1", clock=context.clock, descriptor=writer)


@given("an event log that stores its lines in memory")
def log_in_memory(context):
    context.clock = _ManualClock()
    context.log = EventLog(host="e1", clock=context.clock)


@when("{count:d} lines are logged")
def log_lines(context, count):
    for number in range(count):
        context.clock.now += 0.01
        context.log.note("run.start", vital=True, job=f"{number:016x}", why="x" * 250)


@when("{count:d} {kind} lines are logged within a second")
def log_lines_of_kind(context, count, kind):
    for number in range(count):
        context.clock.now += 1 / count
        context.log.note(kind, vital=kind == "vital", number=number)


@then("all calls have returned and lines were left out")
def check_left_out(context):
    context.left_out = context.log.left_out
    assert context.left_out > 0


@then("the next line that is read has the number of lines left out")
def check_left_out_reported(context):
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
    raise AssertionError("no line has the number of lines left out")


def _note_kind(log, kind):
    event, _, vital = kind.partition(" as ")
    log.note(event, vital=bool(vital))


@when("for {seconds:d} s {flood} is logged {many:d} times a second and {event} {few:d} times")
def log_flood(context, seconds, flood, many, event, few):
    context.expected = seconds * few
    for number in range(seconds * many):
        context.clock.now += 1 / many
        _note_kind(context.log, flood)
        if few and number % (many // few) == 0 and context.expected:
            _note_kind(context.log, event)
            context.noted = getattr(context, "noted", 0) + 1


@then("all lines of {event} are written, and at most {most:d} lines in all")
def check_budget_kept(context, event, most):
    name = event.partition(" as ")[0]
    written = sum(row["event"] == name for row in context.log.captured)
    assert written == context.noted >= context.expected, (written, context.noted)
    assert len(context.log.captured) <= most, len(context.log.captured)


@then("lines have the number of lines left out before them by class, only of {kind}")
def check_left_out_by_class(context, kind):
    context.clock.now += 10
    context.log.note("after")
    rows = context.log.captured
    by_class = Counter()
    for row in rows:
        by_class.update(row.get("left_out_by_class", {}))
        assert row.get("left_out", 0) == sum(row.get("left_out_by_class", {}).values()), row
    assert set(by_class) == {kind}, by_class
    assert by_class[kind] + len(rows) - 1 == 20_000 + context.noted, by_class


@then("the lines read and the lines left out are {count:d} in all")
def check_none_uncounted(context, count):
    os.set_blocking(context.reader, False)
    raw = b""
    while True:
        try:
            raw += os.read(context.reader, 1 << 20)
        except BlockingIOError:
            if raw.endswith(b"}\n") and b'"after"' in raw:
                break
            context.clock.now += 10
            context.log.note("after", vital=True)
    rows = [json.loads(line) for line in raw.splitlines()]
    assert sum(row["event"] == "run.start" for row in rows) < count
    left_out = sum(row.get("left_out", 0) for row in rows)
    own = sum(row["event"] == "run.start" for row in rows)
    extra = sum(row["event"] == "after" for row in rows)
    assert own + left_out == count, (own, left_out, extra)


@then("between {least:d} and {most:d} lines were written")
def check_line_count(context, least, most):
    assert least <= len(context.log.captured) <= most, len(context.log.captured)


@then("the last {count:d} lines are the vital ones")
def check_last_lines(context, count):
    assert [row["event"] for row in context.log.captured[-count:]] == ["vital"] * count


FIRST_LOG = """starting
{"time":10.0,"host":"e1","event":"shard.gained","shard":3,"epoch":7}
{"time":11.0,"host":"e1","event":"job.accepted","job":"a1","shard":3,"epoch":7,"stored":"stored"}
{"time":11.1,"host":"e1","event":"submit.answered","job":"a1","code":"MG4020","took_s":0.02}
{"time":11.2,"host":"e1","event":"run.start","job":"a1","run":1,"waited_s":0.2}
{"time":12.0,"host":"e1","event":"store.lost","shard":3,"why":"no answer in time"}
{"time":12.5,"host":"e1","event":"run.st"""
SECOND_LOG = """{"time":13.0,"host":"e2","event":"shard.gained","shard":3,"epoch":8}
{"time":14.0,"host":"e2","event":"run.end","job":"a1","run":1,"how":"DONE","left_out":17}
{"time":14.1,"host":"e2","event":"job.ended","job":"a1","phase":"COMPLETED"}
"""


@given("logs of two daemons, the first of which was killed and the second took over")
def write_two_logs(context):
    context.logs = [context.folder / "e1.log", context.folder / "e2.log"]
    for path, text in zip(context.logs, (FIRST_LOG, SECOND_LOG), strict=True):
        path.write_text(text)


CRASH_LOG = """{"time":10.0,"host":"e1","event":"shard.gained","shard":3,"epoch":7}
{"time":11.0,"host":"e1","event":"run.crashed","job":"a1","task":["a1",0,0,2],"run":1,"stood":"STARTED"}
{"time":11.0,"host":"e1","event":"run.crashed","job":"b2","task":["b2",0,0,0],"run":2,"stood":"STARTED"}
{"time":14.0,"host":"e1","event":"run.crashed","job":"a1","task":["a1",0,0,2],"run":3,"stood":"ONLY_STARTED"}
{"time":14.5,"host":"e1","event":"crash.inferred","job":"d4","task":["d4",0,0,0],"run":7,"stood":"UNSEEN"}
{"time":15.0,"host":"e1","event":"run.crashed","job":"b2","task":["b2",0,0,0],"run":4,"stood":"AT_WORK"}
{"time":15.0,"host":"e1","event":"run.crashed","job":"c3","task":["c3",0,0,0],"run":5,"stood":"AT_WORK","counts":false}
{"time":16.0,"host":"e1","event":"crash.retracted","job":"b2","task":["b2",0,0,0],"run":4}
"""


@given("logs in which executors crashed under two tasks, and one executor answered later")
def write_crash_logs(context):
    context.logs = [context.folder / "e1.log"]
    context.logs[0].write_text(CRASH_LOG)


@then("the page has each task's number of crashed executors, without the one that answered")
def check_page_crashes(context):
    text = context.page.read_text()
    rows = "<td>{}</td><td>{}</td><td>{}</td>"
    assert rows.format("a1.0.0.2", 2, "ONLY_STARTED, STARTED") in text, text[:3000]
    assert rows.format("d4.0.0.0", 1, "UNSEEN") in text, text[:3000]
    assert rows.format("b2.0.0.0", 1, "STARTED") in text, text[:3000]
    assert "<td>c3.0.0.0</td>" not in text, "a crash that doesn't count is in the table"


def _render(context, logs):
    context.page = context.folder / "day.html"
    options = [part for path in logs for part in ("--logs", str(path))]
    context.result = run_command("report", *options, "--out", str(context.page))


@when("a page is rendered from the logs")
def render(context):
    _render(context, context.logs)
    assert context.result.status == 0, context.result.stderr


@when("a page is rendered from logs that {flaw}")
def render_flawed(context, flaw):
    path = context.folder / "flawed.log"
    if "hold" in flaw:
        path.write_text("starting\n")
    _render(context, [path])


@then("the page names both owners of shard 3 with their epochs, what was lost, and lines left out")
def check_page_tables(context):
    text = context.page.read_text()
    cells = "<td>3</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>"
    # The first owner's ownership ends with its last complete line.
    assert cells.format("e1", 7, "0.00", "2.00") in text, text[-2000:]
    assert cells.format("e2", 8, "3.00", "4.10") in text, text[-2000:]
    assert "wrote 8 lines and left 17 out" in text, text[:900]
    assert "<td>store.lost</td><td>shard=3 why=no answer in time</td>" in text, text[-2000:]


@then("its plots show jobs, answers, runs and the owners")
def check_page_plots(context):
    text = context.page.read_text()
    assert text.count("<svg") == 1
    for label in ("accepted", "ended: completed", "submit MG4020", "end: done", "e1", "e2"):
        assert f"<!-- {label} -->" in text or f"<!--  {label} -->" in text, label


@then("the report fails with {code} and names {text}")
def check_report_fails(context, code, text):
    assert context.result.status != 0
    assert code in context.result.stderr and text in context.result.stderr, context.result.stderr
