"""Callers of a soak: they hand jobs in, ask and cancel over connections kept until these end."""

import http.client
import json
import random
import threading
import time
from typing import Any

from mustardgap.workloads import JobSpec, Step

from .owner_oracle import JobHistory
from .soak_world import HOST, SoakWorld
from .wire_platform import CRASHING

ANSWER_S = 3.0
PAUSE_S = (0.02, 0.4)
RETRY_S = 0.3
# What a caller does next, and how often of a hundred times.
SUBMIT, ASK, CANCEL, REPEAT = 45, 40, 8, 7
CERTAINLY_REFUSED = (429, 503)
UNKNOWN_JOB = 410
# How many of its jobs have a task that crashes its executors.
CRASHING_SHARE = 0.04
FINAL_STATES = ("completed", "failed", "canceled")


class Caller(threading.Thread):
    """Hands jobs in and asks for them until told to stop.

    :param number: sets its jobs' ids and its random numbers apart from other callers'.
    :param world: the daemons.
    :param seed: the run's seed.
    """

    def __init__(self, *, number: int, world: SoakWorld, seed: int) -> None:
        super().__init__(name=f"caller {number}", daemon=True)
        self.asked_by_job: dict[str, JobHistory] = {}
        self.found: list[str] = []
        self.answers = 0
        self.stopping = threading.Event()
        self._number = number
        self._world = world
        self._rng = random.Random(f"{seed}/{number}")
        # Numbers of their own, so that all else of a seed stays as it was.
        self._crash_rng = random.Random(f"crashes {seed}/{number}")
        self._connections: dict[str, http.client.HTTPConnection] = {}

    def run(self) -> None:
        """Call until told to stop."""
        while not self.stopping.wait(self._rng.uniform(*PAUSE_S)):
            known = list(self.asked_by_job)
            [act] = self._rng.choices(
                (None, self.state, self._cancel, self._repeat), (SUBMIT, ASK, CANCEL, REPEAT)
            )
            if act is None or not known:
                self._submit()
            else:
                act(self._rng.choice(known[-20:]))

    def call(self, method: str, job_id: str, body: dict[str, Any] | None = None) -> tuple[int, Any]:
        """Send one request through some daemon.

        :return: the status and the fields of the answer; 0 when none came.
        """
        name = self._rng.choice(self._world.names)
        connection = self._connections.get(name)
        if connection is None:
            port = self._world.entry_port(name)
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=ANSWER_S)
            self._connections[name] = connection
        try:
            text = json.dumps(body) if body is not None else None
            connection.request(method, f"/quotes/{job_id}", text, {"Host": HOST})
            answer = connection.getresponse()
            raw = answer.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            del self._connections[name]
            return 0, {}
        self.answers += 1
        return answer.status, json.loads(raw) if raw else {}

    def _submit(self) -> None:
        job_id = f"{self._number:04x}{len(self.asked_by_job):012x}"
        spec = _draw_spec(self._rng)
        if self._crash_rng.random() < CRASHING_SHARE:
            task = self._crash_rng.randrange(spec.steps[0].width)
            spec = spec._replace(payload=f"{CRASHING}{task}")
        self.asked_by_job[job_id] = JobHistory(spec, [], [])
        for _ in range(self._rng.randint(1, 8)):
            if self._send(job_id) not in (0, 502, 504, *CERTAINLY_REFUSED):
                return
            time.sleep(RETRY_S)

    def _send(self, job_id: str) -> int:
        asked = self.asked_by_job[job_id]
        # Until it is answered, nobody can say that it was refused.
        asked.statuses.append(0)
        status, _ = self.call("POST", job_id, _wire_body(asked.spec))
        asked.statuses[-1] = status
        return status

    def _repeat(self, job_id: str) -> None:
        # A late copy of a request that was accepted; others would bring refused jobs to life.
        if 200 in self.asked_by_job[job_id].statuses:
            self._send(job_id)

    def state(self, job_id: str) -> str:
        """Ask for a job's state; empty when it can't be told."""
        accepted = 200 in self.asked_by_job[job_id].statuses
        status, fields = self.call("GET", job_id)
        if status == UNKNOWN_JOB and accepted:
            self.found.append(f"{job_id} was accepted, and said not to exist")
        state = fields.get("state", "") if isinstance(fields, dict) else ""
        cancelling = self.asked_by_job[job_id].cancelled_at
        crashes = self.asked_by_job[job_id].spec.payload.startswith(CRASHING)
        if (state == "failed" and not crashes) or (state == "canceled" and not cancelling):
            self.found.append(f"{job_id} was shown as {state} without cause")
        return str(state)

    def _cancel(self, job_id: str) -> None:
        asked = self.asked_by_job[job_id]
        if 200 not in asked.statuses:
            return
        # A cancelling without an answer may have been done, but no time binds it.
        asked.cancelled_at.append(float("inf"))
        status, _ = self.call("DELETE", job_id)
        if status == 200:
            asked.cancelled_at[-1] = time.monotonic()
        elif status == UNKNOWN_JOB:
            self.found.append(f"{job_id} was accepted, and couldn't be cancelled: {status}")


def _draw_spec(rng: random.Random) -> JobSpec:
    first = Step(rng.randint(1, 4), 200, 50, 0, 0.5)
    second = Step(rng.randint(1, 3), 200, 50, 0, 0.5, (0,), anti_affinity=2)
    return JobSpec("payload", (first, second) if rng.random() < 0.6 else (first,))


def _wire_body(spec: JobSpec) -> dict[str, Any]:
    steps = [
        {
            "count": step.width,
            "cpu": step.cpu,
            "memMb": step.memory_mb,
            "estimateMs": int(step.estimate_s * 1000),
            "dependsOn": list(step.depends_on),
            "antiAffinity": step.anti_affinity,
        }
        for step in spec.steps
    ]
    return {"spec": spec.payload, "steps": steps}
