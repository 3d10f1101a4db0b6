"""Steps that poll a fake platform."""

import asyncio
import contextlib

import msgspec
from behave import given, then, when

from mustardgap.adapters import TasksPage, WorkersPage
from mustardgap.exceptions import PlatformError
from mustardgap.settings import Settings
from mustardgap.timers import Timers
from mustardgap.workers import KEEP_ENDED_S, Workers
from tools.actor_platforms import HandClock


class FakePlatform:
    """Answers with the pages set, then with empty ones of the same version."""

    def __init__(self):
        self.pages = {"workers": [], "tasks": []}
        self.down = set()

    async def workers(self, since=0):
        return self._next("workers", WorkersPage(5, [], []))

    async def tasks(self, since=0):
        return self._next("tasks", TasksPage(5, []))

    def _next(self, kind, empty):
        if kind in self.down:
            raise PlatformError(detail="down")
        return self.pages[kind].pop(0) if self.pages[kind] else empty


def worker(name, state="up"):
    """A worker of the view."""
    return {"worker": name, "state": state}


def task(state="running"):
    """The task of the view."""
    return {"task": "t1", "worker": "w1", "state": state}


@given("a workers' view that has read two workers and a task")
def step_given(context):
    context.clock, context.platform, context.changed = HandClock(), FakePlatform(), set()
    settings = {"host": "h", "data_center": "d", "platform": {"address": "127.0.0.1:1"}}
    context.workers = Workers(
        platform=context.platform,
        settings=msgspec.convert(settings, Settings),
        timers=Timers(clock=context.clock),
    )
    assert context.workers.age_s() == float("inf")
    context.platform.pages["workers"] = [WorkersPage(5, [worker("w1"), worker("w2")], [])]
    context.platform.pages["tasks"] = [TasksPage(5, [task()])]
    asyncio.run(context.workers.poll())
    context.workers.on_change(context.changed.update)


EVENTS = {
    "nothing new": {},
    "a change of w2": {"workers": [WorkersPage(6, [worker("w1"), worker("w2", "down")], [])]},
    "w2 gone": {"workers": [WorkersPage(6, [], ["w2"])]},
    "t1 done": {"tasks": [TasksPage(6, [task("done")])]},
    "a restart without w2": {
        "workers": [WorkersPage(2, [], []), WorkersPage(2, [worker("w1")], [])]
    },
    "a restart without t1": {"tasks": [TasksPage(0, []), TasksPage(0, [])]},
    "t1 done ten minutes ago": {"tasks": [TasksPage(6, [task("done")])]},
}


@when('the workers\' platform shows "{event}"')
def step_when(context, event):
    context.platform.pages.update({k: list(v) for k, v in EVENTS.get(event, {}).items()})
    context.clock.now += 7
    if "outage" in event:
        context.platform.down = {"tasks"} if "alone" in event else {"workers", "tasks"}
    with contextlib.suppress(PlatformError):
        asyncio.run(context.workers.poll())
    if "ago" in event:
        assert "t1" in context.workers.tasks_by_id, "an ended task was dropped at once"
        context.clock.now += KEEP_ENDED_S + 1
        asyncio.run(context.workers.poll())
        assert "t1" not in context.workers.tasks_by_id


@then("the workers' view has {names} with {tasks} and calls back for {changed}, {age:d} s old")
def step_then(context, names, tasks, changed, age):
    view = context.workers
    assert sorted(view.by_id) == names.split(","), view.by_id
    on_workers = [t["task"] for name in view.by_id for t in view.tasks_on(name)]
    assert on_workers == ([] if tasks == "none" else [tasks]), on_workers
    assert context.changed == (set() if changed == "none" else {changed}), context.changed
    assert view.age_s() == age, view.age_s()
