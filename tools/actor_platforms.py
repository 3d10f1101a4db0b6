"""A fake of the platform on a clock set by hand, which notes broken promises."""

from typing import Any

from mustardgap.adapters import Operation, TasksPage, WorkersPage
from mustardgap.exceptions import PlatformError
from mustardgap.status_codes import NOT_FOUND, PLATFORM_REFUSED, STALE_EPOCH
from mustardgap.timers import Clock

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
        shown: Any = [dict(w) for w in self.workers_by_id.values()]
        return WorkersPage(1, shown, [])

    def tasks(self, since=0):
        shown: Any = [dict(t) for t in self.tasks_by_id.values()]
        return TasksPage(1, shown)

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
