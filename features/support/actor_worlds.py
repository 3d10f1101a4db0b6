"""Daemons' actors on a fake platform and log with a clock set by hand, for tests of failures."""

import asyncio
import contextlib
from types import SimpleNamespace

import msgspec

from mustardgap import folds
from mustardgap.actors import Actors
from mustardgap.adapters import Operation, TasksPage, WorkersPage
from mustardgap.exceptions import AnswerLost, PlatformError
from mustardgap.models import LogRecord
from mustardgap.records import make
from mustardgap.settings import Settings
from mustardgap.states import State
from mustardgap.status_codes import NOT_FOUND, PLATFORM_REFUSED, STALE_EPOCH
from mustardgap.timelines import Timeline
from mustardgap.timers import Clock, Timers
from mustardgap.workers import Workers

REBOOT_S = 3.0
LIVE = ("running", "throttled")


class HandClock(Clock):
    """A clock that stands until it is set forward."""

    def __init__(self):
        self.now = 1_000_000.0

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now


class FakePlatform:
    """Workers and tasks as docs/PLATFORM.md has them; what breaks a promise goes to ``broken``."""

    def __init__(self, clock, workers, phase_of=lambda worker: "rebooting", cores=4.0):
        self.clock, self.phase_of = clock, phase_of
        self.workers_by_id, self.tasks_by_id, self.operations = {}, {}, {}
        self.epoch_by_job, self.saved, self.runs_by_job, self.specs = {}, {}, {}, {}
        self.paused, self.failing, self.stuck, self.broken = set(), set(), set(), []
        self.reboots, self.due_at, self.calls = {}, {}, []
        self.is_down = False
        for worker, rack, pool in workers:
            self.workers_by_id[worker] = {
                "worker": worker,
                "rack": rack,
                "data_center": "d",
                "cores": cores,
                "memory_gb": 2 * cores,
                "accelerators": 0,
                "pool": pool,
                "epoch": 0,
                "state": "up",
                "boot": 1,
                "executors": [],
            }

    def live_on(self, worker):
        tasks = self.tasks_by_id.values()
        return [t for t in tasks if t["worker"] == worker and t["state"] in LIVE]

    def operate(self, worker, *, operation, kind, epoch, pool=""):
        if operation in self.operations:
            return "repeated"
        w = self.workers_by_id[worker]
        if epoch < w["epoch"]:
            raise PlatformError(code=STALE_EPOCH, detail="stale")
        drainable = w["state"] in ("up", "draining", "drained")
        spare = w["state"] == "up" and w["pool"] in ("", pool)
        if not (w["state"] == "drained" or spare if kind == "assign" else drainable):
            raise PlatformError(code=PLATFORM_REFUSED, detail=f"{kind} while {w['state']}")
        w["epoch"] = epoch
        self.operations[operation] = Operation(operation, worker, kind, epoch, "done")
        getattr(self, f"_{kind}")(w, operation, pool)
        return "accepted"

    def _drain(self, w, operation, pool):
        w["state"] = "draining" if w["state"] == "up" else w["state"]

    def _undrain(self, w, operation, pool):
        w["state"] = "up"

    def _assign(self, w, operation, pool):
        w["state"], w["pool"] = "up", pool

    def _reboot(self, w, operation, pool):
        name, key = w["worker"], (w["worker"], w["epoch"])
        self.reboots[key] = self.reboots.get(key, 0) + 1
        if w["state"] != "drained" or self.live_on(name):
            self.broken.append(f"{name} was rebooted while {w['state']}, with tasks or requests")
        if self.reboots[key] > 1 or self.phase_of(name) != "rebooting":
            self.broken.append(f"{name} was rebooted in phase {self.phase_of(name)}, {key}")
        w["state"] = "rebooting"
        self.operations[operation] = self.operations[operation]._replace(state="running")
        self.due_at[name] = (self.clock.now + REBOOT_S, operation)

    def operation(self, operation):
        return self.operations.get(operation)

    def start_task(self, worker, *, task, job, attempt, epoch, lease_s, spec):
        if task in self.tasks_by_id:
            return "repeated"
        w = self.workers_by_id[worker]
        if epoch < self.epoch_by_job.get(job, 0):
            raise PlatformError(code=STALE_EPOCH, detail="stale")
        used = sum(self.specs[t["task"]]["cores"] for t in self.live_on(worker))
        if w["state"] != "up" or used + spec["cores"] > w["cores"]:
            raise PlatformError(code=PLATFORM_REFUSED, detail="no room")
        self.epoch_by_job[job], self.specs[task] = epoch, spec
        self._note_run(job, task, spec)
        self.tasks_by_id[task] = {
            "task": task,
            "job": job,
            "attempt": attempt,
            "epoch": epoch,
            "worker": worker,
            "state": "running",
            "usage": {"cores": 0.0, "memory_gb": 0.0, "run_s": self.saved.get(job, 0.0)},
            "lease_until": self.clock.now + lease_s,
            "detail": "",
        }
        return "accepted"

    def _note_run(self, job, task, spec):
        runs = self.runs_by_job.setdefault(job, [])
        for other in runs:
            live = self.tasks_by_id[other]["state"] in LIVE
            if live and not (spec["idempotent"] and self._is_lapsed(other)):
                self.broken.append(f"{task} was started while {other} ran")
        if runs and not spec["idempotent"] and job not in self.saved:
            self.broken.append(f"{task} is a second run of a job that must not run twice")
        runs.append(task)

    def _is_lapsed(self, task):
        return self.tasks_by_id[task]["lease_until"] < self.clock.now

    def step_task(self, task, *, operation, epoch, step, lease_s=0.0):
        t = self.tasks_by_id.get(task)
        if t is None:
            raise PlatformError(code=NOT_FOUND, detail=task)
        if epoch < self.epoch_by_job[t["job"]] or t["state"] not in LIVE:
            raise PlatformError(code=PLATFORM_REFUSED, detail=t["state"])
        if step == "checkpoint":
            self.saved[t["job"]] = t["usage"]["run_s"]
        ends = {"checkpoint": "checkpointed", "stop": "stopped", "throttle": "throttled"}
        t["state"] = ends.get(step, "running")
        return "accepted"

    def renew_tasks(self, epochs_by_task, *, lease_s):
        lapsed = []
        for task, epoch in epochs_by_task.items():
            t = self.tasks_by_id.get(task)
            if t is None or t["state"] not in LIVE or self._is_lapsed(task):
                lapsed.append(task)
            elif epoch >= self.epoch_by_job[t["job"]]:
                t["lease_until"] = self.clock.now + lease_s
        return lapsed

    def workers(self, since=0):
        return WorkersPage(1, [dict(w) for w in self.workers_by_id.values()], [])

    def tasks(self, since=0):
        return TasksPage(1, [dict(t) for t in self.tasks_by_id.values()])

    def power(self, worker, on):
        w = self.workers_by_id[worker]
        if on and w["state"] == "down":
            w["state"], w["boot"] = "up", w["boot"] + 1
        elif not on:
            w["state"] = "down"
            _, operation = self.due_at.pop(worker, (0.0, ""))
            if operation:
                self.operations[operation] = self.operations[operation]._replace(state="failed")
            for t in self.live_on(worker):
                t["state"], t["detail"] = "failed", "worker down"

    def advance(self, dt):
        """Let time pass for workers and tasks."""
        for t in self.tasks_by_id.values():
            if t["state"] in LIVE and t["worker"] not in self.paused:
                self._run(t, dt)
        for name, w in self.workers_by_id.items():
            if w["state"] == "draining" and not self.live_on(name) and name not in self.stuck:
                w["state"] = "drained"
            at, operation = self.due_at.get(name, (float("inf"), ""))
            if self.clock.now >= at and name not in self.stuck:
                w["state"], w["boot"] = "up", w["boot"] + 1
                self.operations[operation] = self.operations[operation]._replace(state="done")
                del self.due_at[name]

    def _run(self, t, dt):
        if self._is_lapsed(t["task"]):
            t["state"] = "lapsed"
            return
        spec, usage = self.specs[t["task"]], t["usage"]
        run_s = usage["run_s"] + dt * (0.5 if t["state"] == "throttled" else 1.0)
        t["usage"] = {"cores": spec["cores"], "memory_gb": spec["memory_gb"], "run_s": run_s}
        if t["worker"] in self.failing or spec.get("payload", {}).get("fails"):
            t["state"] = "failed"
        elif run_s >= spec["run_s"]:
            t["state"] = "done"


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

    def fresh_s(self):
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
            log=self.log,
            members=self,
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
