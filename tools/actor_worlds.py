"""Daemons' actors on a fake platform and log, for tests of failures and benchmarks."""

import asyncio
import contextlib
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from mustardgap import folds
from mustardgap.actors import Actors
from mustardgap.exceptions import AnswerLost, PlatformError
from mustardgap.models import LogRecord
from mustardgap.records import make
from mustardgap.settings import Settings
from mustardgap.states import State
from mustardgap.timelines import Timeline
from mustardgap.timers import Timers
from mustardgap.workers import Workers

from .actor_platforms import FakePlatform, HandClock

STEPS = ["throttle", "checkpoint"]
WORKERS = [
    (f"r{r}-w{i}", f"r{r}", "a" if i == 0 else "batch" if i < 3 else "")
    for r in range(3)
    for i in range(4)
]


class Journal:
    """The log that all daemons share."""

    def __init__(self, clock):
        self.clock, self.values, self.is_down = clock, [], False
        self.state, self.verdicts = State(), {}

    def append(self, value):
        """Append a record and fold it into the state that all will come to."""
        self.values.append((self.clock.now, msgspec.json.encode(value)))
        verdict = folds.fold(self.state, self.read(len(self.values) - 1))
        self.verdicts.setdefault(value["id"], verdict)

    def read(self, offset):
        time, value = self.values[offset]
        return LogRecord(offset, time, msgspec.json.decode(value))

    def write(self, kind, body):
        """Write as an operator does; return the verdict."""
        record = make(kind, body, writer="operator", seen=len(self.values))
        self.append(record)
        return self.verdicts[record["id"]]


class Link:
    """One daemon's way to the platform and the log: answers get lost, calls wait or come late."""

    def __init__(self, platform):
        self.platform = platform
        self.is_cut = False
        self.lose = self.delay = 0
        self.open = asyncio.Event()
        self.open.set()
        self.late = []

    def __getattr__(self, name):
        async def call(*args, **kwargs):
            return await self.run(name, getattr(self.platform, name), *args, **kwargs)

        return call

    async def run(self, name, effect, *args, **kwargs):
        """Call with what goes wrong on the way."""
        changes = name not in ("workers", "tasks", "operation")
        if changes:
            await self.open.wait()
        if self.is_cut or self.platform.is_down:
            raise PlatformError(detail="down")
        if changes and self.delay:
            self.delay -= 1
            self.late.append(lambda: effect(*args, **kwargs))
            raise AnswerLost(detail="timed out")
        result = effect(*args, **kwargs)
        if changes and self.lose:
            self.lose -= 1
            raise AnswerLost(detail="lost")
        return result

    def deliver(self):
        """Let the calls that were late arrive."""
        for effect in self.late:
            with contextlib.suppress(PlatformError):
                effect()
        self.late = []


class FakeLog:
    """One daemon's view of the journal."""

    def __init__(self, journal, link):
        self.journal, self.link = journal, link
        self.state, self.read_at = State(), float("-inf")
        self.fold_callbacks, self.restore_callbacks = [], []

    @property
    def offset(self):
        return self.state.offset

    def on_fold(self, callback):
        self.fold_callbacks.append(callback)

    def on_restore(self, callback):
        self.restore_callbacks.append(callback)

    def seconds_since_confirmed(self):
        return self.journal.clock.now - self.read_at

    def check(self, kind, body):
        return folds.check(self.state, kind, body)

    def pull(self):
        """Fold all there is."""
        if self.journal.is_down or self.link.is_cut:
            return
        self.read_at = self.journal.clock.now
        while self.offset < len(self.journal.values):
            record = self.journal.read(self.offset)
            verdict = folds.fold(self.state, record)
            for callback in self.fold_callbacks:
                callback(record, verdict)

    async def write(self, kind, body, *, timeout_s, purpose="actions", record_id=""):
        record = make(kind, body, writer="d", seen=self.offset)
        if self.journal.is_down:
            raise PlatformError(detail="the log is down")
        await self.link.run("append", self.journal.append, record)
        self.pull()
        return self.journal.verdicts[record["id"]]


class Daemon:
    """The deciding and acting half of one entry host."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.link = Link(world.platform)
        settings = {
            "host": name,
            "data_center": "d",
            "platform": {"address": "127.0.0.1:1"},
            "capacity": {"lease_s": 6.0, "takeover_s": 2.0, "host_failed_s": 4.0, "plan_s": 1.0},
        }
        settings["capacity"]["return_timeout_s"] = 60.0
        self.settings = msgspec.convert(settings, Settings)
        self.timers = Timers(clock=world.clock)
        self.log = FakeLog(world.journal, self.link)
        self.timeline = Timeline(member=name, clock=world.clock)
        self.workers = Workers(platform=self.link, settings=self.settings, timers=self.timers)
        self.ranked_names = None
        self.is_frozen = False
        self.actors = Actors(
            platform=self.link,
            log=cast(Any, self.log),
            members=cast(Any, self),
            workers=self.workers,
            settings=self.settings,
            timers=self.timers,
            timeline=self.timeline,
        )

    @property
    def me(self):
        return SimpleNamespace(id=self.name)

    def ranked(self, key):
        """Rank by the daemon's own view of who is there, the one whose turn the key is first."""
        names = self.ranked_names or sorted(self.world.daemons_by_name)
        turn = sum(map(ord, key)) % len(names)
        return names[turn:] + names[:turn]

    def live(self):
        daemons = self.world.daemons_by_name.values()
        return [SimpleNamespace(offset=d.log.offset) for d in daemons]

    async def look(self):
        """Read log and platform, as the daemon does all the time."""
        self.log.pull()
        with contextlib.suppress(PlatformError):
            await self.workers.poll()

    async def turn(self):
        """Read, decide, and act until nothing is under way, or all that is waits."""
        if self.is_frozen:
            return
        await self.look()
        self.actors.act()
        await self.go_on()
        self.is_frozen = not self.link.open.is_set()

    async def go_on(self):
        """Let the steps under way run."""
        for _ in range(200):
            await asyncio.sleep(0)
            if not self.actors.is_busy:
                return

    def freeze(self):
        """Stop in the next turn, between the check before a call and the call itself."""
        self.link.open.clear()

    async def thaw(self):
        """Go on; the calls that waited go out before the daemon finds that it was away."""
        self.link.open.set()
        if self.is_frozen:
            self.is_frozen = False
            await self.go_on()


class World:
    """Platform, log and daemons of one test."""

    def __init__(self, workers, names=("d1", "d2"), cores=4.0):
        self.clock = HandClock()
        self.journal = Journal(self.clock)
        self.platform = FakePlatform(self.clock, workers, self._phase_of, cores)
        self.daemons_by_name = {}
        for name in names:
            self.daemons_by_name[name] = Daemon(self, name)

    def _phase_of(self, worker):
        host = self.journal.state.hosts_by_name.get(worker)
        return None if host is None else host["phase"]

    def replace(self, name):
        """Kill a daemon and start another in its place."""
        self.daemons_by_name[name].actors.close()
        self.daemons_by_name[name].link.open.set()
        self.daemons_by_name[name] = Daemon(self, name)

    def declare(self, **values_by_key):
        """Publish declarations; ``team__t={...}`` stands for ``team/t``."""
        changes = [
            {"key": key.replace("__", "/"), "base": -1, "value": value}
            for key, value in values_by_key.items()
        ]
        return self.journal.write("config", {"changes": changes})

    def submit(self, job, **spec):
        """Submit a job."""
        whole = {
            "team": "t",
            "urgency": 5,
            "cores": 1.0,
            "memory_gb": 1.0,
            "accelerators": 0,
            "run_s": 4.0,
            "idempotent": True,
            "profile": "gentle",
            **spec,
        }
        return self.journal.write("job", {"job": job, "base": 0, "step": "submit", "spec": whole})

    async def pass_time(self, seconds, step=0.5):
        """Let time pass in small steps, each daemon that isn't frozen taking its turns."""
        for _ in range(round(seconds / step)):
            self.clock.now += step
            self.platform.advance(step)
            for daemon in self.daemons_by_name.values():
                if not daemon.is_frozen:
                    daemon.timers.check_gap()
                await daemon.turn()

    def job(self, name):
        return self.journal.state.jobs_by_id[name]

    def host(self, name):
        return self.journal.state.hosts_by_name[name]


def profile(steps, urgency=3):
    """A profile with these steps of disruption."""
    disruption = {"steps": steps, "warning_s": 1.0, "drain_s": 15.0, "idempotent": True}
    availability = {"min_hosts": 1, "survive": "rack"}
    room = {"max_hosts": 4}
    return {
        "room": room,
        "availability": availability,
        "disruption": disruption,
        "urgency": urgency,
    }


def declare(world, quota=500):
    """Publish what the tests' services and jobs need."""
    return world.declare(
        team__t={"max_cores": quota, "max_memory_gb": quota, "max_jobs": quota},
        profile__gentle=profile(STEPS),
        profile__stoppable=profile(["stop"]),
        profile__hard=profile([]),
        service__x={"profile": "hard", "team": "t", "path": "/x"},
        pool__a={"service": "x", "min_hosts": 1, "max_hosts": 4},
        pool__batch={"service": "", "min_hosts": 1, "max_hosts": 9},
    )
