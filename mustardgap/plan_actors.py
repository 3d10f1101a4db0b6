"""Writes the planner's steps as records, and retries rejected steps after a delay."""

import asyncio
from collections.abc import Collection
from typing import Any

from . import metrics, status_codes
from .duties import Duties
from .host_actors import host_body
from .models import LogRecord, Phase, WaveBody
from .operations import Operations, count
from .outcomes import Accepted, Rejected, Verdict
from .planners import Planner
from .plans import Plan, Step, StepKind

DUTY_KEY = "planner"
FIRST_RETRY_S = 2.0
MAX_RETRY_S = 60.0
MAX_STEPS = 200
PHASE_BY_KIND: dict[StepKind, Phase] = {
    "assign": "in_service",
    "undrain": "in_service",
    "drain": "draining",
    "move": "draining",
    "reboot": "rebooting",
    "set_aside": "set_aside",
}


class PlanActor:
    """Plans on the folded state and writes the steps.

    Every daemon runs a planner on the log. The first member in rank writes the steps; the next
    one takes over when the planned steps stay the same for `capacity.takeover_s`.

    :param operations: writes records.
    :param duties: decides which member acts.
    """

    def __init__(self, *, operations: Operations, duties: Duties) -> None:
        self.operations = operations
        self.duties = duties
        self.waiting_waves: dict[str, str] = {}
        self.problems: list[str] = []
        self.planner = self._new_planner()
        self._leaving: dict[str, float] = {}
        self._planned_at = float("-inf")
        self._retry_by_step: dict[tuple[str, int, str], tuple[float, float]] = {}
        operations.log.on_fold(self._on_record)
        operations.log.on_restore(self._reset_planner)

    def leaving_workers(self, workers: Collection[str]) -> None:
        """Update which workers the platform lists as leaving on short notice.

        :param workers: the names of the workers.
        """
        now = self.operations.timers.clock.wall()
        self._leaving = {name: self._leaving.get(name, now) for name in workers}

    def due(self) -> Plan | None:
        """Return a plan whose steps this daemon should write now, or None."""
        now = self.operations.timers.clock.monotonic()
        rank = self.duties.rank(DUTY_KEY)
        if rank is None or now - self._planned_at < self.operations.settings.capacity.plan_s:
            return None
        self._planned_at = now
        wall = self.operations.timers.clock.wall()
        plan = self.planner.plan(now=wall, leaving=self._leaving)
        metrics.plan_duration.record(self.operations.timers.clock.monotonic() - now)
        plan = plan._replace(
            steps=[s for s in plan.steps if self._is_retry_due(s, now)][:MAX_STEPS]
        )
        self._report_changes(plan)
        if not plan.steps and not self._unfinished_waves(plan):
            self.duties.drop(DUTY_KEY)
            return None
        steps_and_waves = tuple((s.host, s.kind, s.base) for s in plan.steps), tuple(plan.finished)
        return plan if self.duties.is_due(DUTY_KEY, steps_and_waves) else None

    async def act(self, plan: Plan) -> None:
        """Write all steps of a plan concurrently."""
        self.duties.note_attempt(DUTY_KEY)
        await asyncio.gather(
            *(self._write(step) for step in plan.steps),
            *(self._finish_wave(wave) for wave in self._unfinished_waves(plan)),
        )

    async def _write(self, step: Step) -> None:
        host = self.operations.log.state.hosts_by_name.get(step.host)
        if host is None or host["epoch"] != step.base:
            return
        pool = host["pool"] if step.kind == "move" else step.pool
        body = host_body(host, PHASE_BY_KIND[step.kind], pool, step.reason, step.wave)
        verdict = await self.operations.write(self.operations.issue_ticket(), "host", body)
        self._schedule_retry(step, verdict)
        if isinstance(verdict, Accepted):
            if step.wave:
                metrics.wave_steps.add(1, {"step": step.kind})
            if step.kind in ("move", "assign"):
                metrics.plan_moves.add(1, {"reason": step.kind})

    async def _finish_wave(self, wave: str) -> None:
        state = self.operations.log.state.waves_by_name[wave]
        body = WaveBody(wave=wave, base=state["epoch"], step="finish", reason="all hosts are done")
        await self.operations.write(self.operations.issue_ticket(), "wave", body)

    def _unfinished_waves(self, plan: Plan) -> list[str]:
        waves = self.operations.log.state.waves_by_name
        return [w for w in plan.finished if w in waves and waves[w]["phase"] != "finished"]

    def _schedule_retry(self, step: Step, verdict: Verdict | None) -> None:
        """Delay the next attempt at a rejected step, twice as long after each rejection.

        The delay is at most MAX_RETRY_S. A step on a stale base is not delayed.
        """
        key = (step.host, step.base, step.kind)
        if not isinstance(verdict, Rejected) or verdict.code == status_codes.STALE_BASE:
            self._retry_by_step.pop(key, None)
            return
        now = self.operations.timers.clock.monotonic()
        _, previous_delay = self._retry_by_step.get(key, (0.0, FIRST_RETRY_S / 2))
        delay = min(previous_delay * 2, MAX_RETRY_S)
        self._retry_by_step[key] = (now + delay, delay)
        count(f"plan.{step.kind}", "put_off")

    def _is_retry_due(self, step: Step, now: float) -> bool:
        return self._retry_by_step.get((step.host, step.base, step.kind), (now, 0.0))[0] <= now

    def _report_changes(self, plan: Plan) -> None:
        """Report waiting waves and problems of the plan, once for each change."""
        for wave, reason in plan.waiting.items():
            if self.waiting_waves.get(wave) != reason:
                self.operations.timeline.add("wave.waits", cause=reason, wave=wave)
        for problem in set(plan.problems) - set(self.problems):
            self.operations.timeline.add("plan.problem", cause=problem)
        self.waiting_waves, self.problems = dict(plan.waiting), plan.problems

    def _on_record(self, record: LogRecord, verdict: Verdict) -> None:
        if isinstance(verdict, Accepted):
            value: Any = record.value
            self.planner.observe(value["kind"], value["body"])
            if value["kind"] == "host":
                self._drop_retries(value["body"]["host"])

    def _drop_retries(self, host: str) -> None:
        for key in [key for key in self._retry_by_step if key[0] == host]:
            del self._retry_by_step[key]

    def _reset_planner(self) -> None:
        self.planner = self._new_planner()

    def _new_planner(self) -> Planner:
        return Planner(state=self.operations.log.state, settings=self.operations.settings.capacity)
