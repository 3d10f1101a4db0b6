"""The request handling of an entry host with fakes for the rest, in this process or its own."""

import asyncio
import contextlib
import random
import sys
from collections import Counter
from types import SimpleNamespace

import msgspec

from mustardgap import status_codes
from mustardgap.adapters import Platform
from mustardgap.callers import Callers
from mustardgap.exceptions import SlotRefused
from mustardgap.executors import Executors
from mustardgap.keys import Keys
from mustardgap.models import Declaration
from mustardgap.outcomes import NotRun
from mustardgap.sessions import Sessions
from mustardgap.settings import Settings
from mustardgap.timelines import Timeline
from mustardgap.timers import Timers

LIMITS = {
    "timeout_s": 5.0,
    "max_wait_s": 2.0,
    "max_body_bytes": 100_000,
    "idempotent_methods": ["PUT"],
}
UNREACHABLE_ADDRESS = "127.0.0.1:1"


def make_state(min_hosts=1):
    """Return a folded state with one service, "quotes", under the path /quotes."""
    service = {"profile": "steady", "team": "t", "path": "/quotes"}
    profile = {"urgency": 1, "limits": LIMITS, "availability": {"min_hosts": min_hosts}}
    return SimpleNamespace(
        offset=1,
        hosts_by_name={},
        declarations_by_key={
            "service/quotes": Declaration("service/quotes", 0, service),
            "profile/steady": Declaration("profile/steady", 0, profile),
        },
    )


def make_workers(executors):
    """Return a view of workers from (executor, address, rack) rows, with one worker per row."""
    by_id = {}
    for executor, address, rack in executors:
        info = {"executor": executor, "service": "quotes", "address": address, "slots": 8}
        by_id[f"w-{executor}"] = {"rack": rack, "state": "up", "executors": [info]}
    callbacks = []
    return SimpleNamespace(by_id=by_id, on_change=callbacks.append, callbacks=callbacks)


class FirstExecutorSlots:
    """Grants every request the first executor that wasn't tried, and counts the slots held."""

    def __init__(self, *, executors):
        self.executors = executors
        self.held = 0
        self.requested = asyncio.Event()
        self.grants_allowed = asyncio.Event()
        self.grants_allowed.set()

    async def acquire(self, service, *, deadline, urgency, exclude):
        self.requested.set()
        await self.grants_allowed.wait()
        views = self.executors.candidates(service)
        if not views:
            raise SlotRefused(outcome=NotRun(code=status_codes.NO_EXECUTOR))
        self.held += 1
        rest = [v for v in views if v.executor not in exclude]
        return SimpleNamespace(executor=(rest or views)[0])

    def release(self, slot):
        self.held -= 1


class LeastLoadedSlots(FirstExecutorSlots):
    """Grants the executor with the lowest load relative to its weight."""

    def __init__(self, *, executors):
        super().__init__(executors=executors)
        self.held_by_executor = Counter()

    async def acquire(self, service, *, deadline, urgency, exclude):
        views = self.executors.candidates(service)
        if not views:
            raise SlotRefused(outcome=NotRun(code=status_codes.NO_EXECUTOR))
        rest = [v for v in views if v.executor not in exclude] or views
        load = {v.executor: (self.held_by_executor[v.executor] + 1) / v.weight for v in rest}
        least_loaded = [v for v in rest if load[v.executor] == min(load.values())]
        view = random.choice(least_loaded)
        self.held += 1
        self.held_by_executor[view.executor] += 1
        return SimpleNamespace(executor=view)

    def release(self, slot):
        self.held -= 1
        self.held_by_executor[slot.executor.executor] -= 1


class EntryHost:
    """The request handling of an entry host; ``executors`` are (executor, address, rack) rows."""

    def __init__(
        self,
        name,
        executors,
        *,
        platform=UNREACHABLE_ADDRESS,
        callers=None,
        requests=None,
        slots=FirstExecutorSlots,
        min_hosts=1,
        clock=None,
    ):
        sections = {"callers": {"port": 0, "linger_s": 0.3, **(callers or {})}}
        sections["requests"] = {"silent_timeout_s": 0.3, **(requests or {})}
        sections["platform"] = {"address": platform}
        fixed = {"host": name, "data_center": "dc", "stop_timeout_s": 5.0}
        self.settings = msgspec.convert({**fixed, **sections}, Settings)
        state, workers = make_state(min_hosts), make_workers(executors)
        self.timers = Timers()
        self.executors = Executors(
            settings=self.settings, state=state, workers=workers, timers=self.timers
        )
        self.slots = slots(executors=self.executors)
        self.platform = Platform(address=platform)
        self.keys = Keys(settings=self.settings, platform=self.platform, member=f"{name}/1")
        self.sessions = Sessions(
            settings=self.settings,
            state=state,
            executors=self.executors,
            slots=self.slots,
            keys=self.keys,
            clock=clock,
        )
        timeline = Timeline(member=name)
        self.callers = Callers(settings=self.settings, sessions=self.sessions, timeline=timeline)
        self._tasks = []

    async def __aenter__(self):
        self.callers.open()
        self._tasks = [asyncio.create_task(self.keys.run()), asyncio.create_task(self.timers.run())]
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.callers.close()
        self.platform.close()

    @property
    def address(self):
        return f"127.0.0.1:{self.callers.port}"


async def _serve(text):
    options = msgspec.json.decode(text)
    entry = EntryHost(**options)
    keys = asyncio.create_task(entry.keys.run())
    timers = asyncio.create_task(entry.timers.run())
    while not entry.keys.is_usable():
        await asyncio.sleep(0.02)
    entry.callers.open()
    await keys
    await timers


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(sys.argv[1]))
