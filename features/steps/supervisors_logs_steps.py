"""Steps for task groups that follow a log, in which one task is cancelled."""

import asyncio
from types import SimpleNamespace
from unittest import mock

from absl import logging
from behave import given, then, when

from features.support.cancelled_parts import EndedOnce
from features.support.log_worlds import change
from mustardgap.exceptions import MustardgapError
from mustardgap.keys import Keys
from mustardgap.models import Page
from mustardgap.settings import PlatformSettings, RequestsSettings
from mustardgap.states import State
from mustardgap.streams import Log
from mustardgap.supervisors import Supervisor
from mustardgap.timelines import Timeline
from mustardgap.timers import Timers
from tools.virtual_time import VirtualClock, run

PLATFORM = PlatformSettings(address="127.0.0.1:1")
SETTLE_WAIT_S = 30.0


class EmptyPlatform:
    """A platform whose log is always empty."""

    async def read(self, stream, start, *, limit=500, wait_s=0.0):
        await asyncio.sleep(wait_s + 0.01)
        return Page([], start, 0, start)

    async def append(self, stream, values):
        await asyncio.sleep(0.01)
        return 0


@given("a supervisor with {name} on a platform where one {call} is cancelled")
def a_log(context, name, call):
    context.name = name
    context.platform = EndedOnce(EmptyPlatform(), call)


def _state_log(platform):
    return Log(
        platform=platform,
        state=State(),
        settings=PLATFORM,
        timers=Timers(clock=VirtualClock(loop=asyncio.get_running_loop())),
        timeline=Timeline(member="e1", size=100),
        member="e1",
    )


def _claims(platform):
    return Keys(
        settings=SimpleNamespace(platform=PLATFORM, requests=RequestsSettings()),
        platform=platform,
        member="e1",
        clock=VirtualClock(loop=asyncio.get_running_loop()),
    )


async def _write(log):
    try:
        await log.write("config", change("t1"), timeout_s=SETTLE_WAIT_S)
    except MustardgapError:
        # The platform's log is always empty, so the outcome of the change stays unknown.
        return
    raise AssertionError("a change that isn't on the log was folded")


@when("some time passes, in which a change is written to the state's log")
def time_goes_by(context):
    async def run_scenario():
        supervisor = context.supervisor = Supervisor(name="daemon")
        if context.name == "the state's log":
            log = _state_log(context.platform)
            supervisor.start_child("log", log.run)
            await _write(log)
        else:
            supervisor.start_child("keys", _claims(context.platform).run)
            await asyncio.sleep(SETTLE_WAIT_S)
        context.children = supervisor.children()
        await supervisor.stop()

    with mock.patch.object(logging, "exception") as lines:
        run(run_scenario())
    context.lines = lines.call_count


@then("the platform was called again after the call that was cancelled")
def called_again(context):
    assert context.platform.count == 1, "no call was cancelled"
    assert context.platform.calls > 1, context.platform.calls
    assert context.children, "no part follows the log any longer"
