"""Turns the planner's steps into records, and tries again later what the fold turned down."""

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

KEY = "planner"
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

    Every daemon follows the log with its planner; the first for the key writes, and the next one
    does when the same steps are still wanted after a while.

    :param operations: writes records.
    :param duties: says whose turn it is.
    """

    def __init__(self, *, operations: Operations, duties: Duties) -> None:
        self.operations = operations
        self.duties = duties
        self.waiting: dict[str, str] = {}
        self.problems: list[str] = []
        self.planner = self._new_planner()
        self._leaving: dict[str, float] = {}
        self._planned_at = float("-inf")
        self._not_before: dict[tuple[str, int, str], tuple[float, float]] = {}
        operations.log.on_fold(self._follow)
        operations.log.on_restore(self._restart)

    def leaving_workers(self, workers: Collection[str]) -> None:
        """Take in which workers the platform's list shows as leaving on short notice."""
        now = self.operations.timers.clock.wall()
        self._leaving = {name: self._leaving.get(name, now) for name in workers}

    def due(self) -> Plan | None:
        """A plan with steps for this daemon to write now."""
        now = self.operations.timers.clock.monotonic()
        rank = self.duties.rank(KEY)
        if rank is None or now - self._planned_at < self.operations.settings.capacity.plan_s:
            return None
        self._planned_at = now
        wall = self.operations.timers.clock.wall()
        plan = self.planner.plan(now=wall, leaving=self._leaving)
        metrics.plan_duration.record(self.operations.timers.clock.monotonic() - now)
        plan = plan._replace(steps=[s for s in plan.steps if self._may_try(s, now)][:MAX_STEPS])
        self._note(plan)
        if not plan.steps and not self._open_waves(plan):
            self.duties.drop(KEY)
            return None
        wanted = tuple((s.host, s.kind, s.base) for s in plan.steps), tuple(plan.finished)
        return plan if self.duties.is_due(KEY, wanted) else None

    async def act(self, plan: Plan) -> None:
        """Write the steps of a plan together."""
        self.duties.note_attempt(KEY)
        await asyncio.gather(
            *(self._write(step) for step in plan.steps),
            *(self._finish(wave) for wave in self._open_waves(plan)),
        )

    async def _write(self, step: Step) -> None:
        host = self.operations.log.state.hosts_by_name.get(step.host)
        if host is None or host["epoch"] != step.base:
            return
        pool = host["pool"] if step.kind == "move" else step.pool
        body = host_body(host, PHASE_BY_KIND[step.kind], pool, step.reason, step.wave)
        verdict = await self.operations.write(self.operations.begin(), "host", body)
        self._remember(step, verdict)
        if isinstance(verdict, Accepted):
            if step.wave:
                metrics.wave_steps.add(1, {"step": step.kind})
            if step.kind in ("move", "assign"):
                metrics.plan_moves.add(1, {"reason": step.kind})

    async def _finish(self, wave: str) -> None:
        state = self.operations.log.state.waves_by_name[wave]
        body = WaveBody(wave=wave, base=state["epoch"], step="finish", reason="all hosts are done")
        await self.operations.write(self.operations.begin(), "wave", body)

    def _open_waves(self, plan: Plan) -> list[str]:
        waves = self.operations.log.state.waves_by_name
        return [w for w in plan.finished if w in waves and waves[w]["phase"] != "finished"]

    def _remember(self, step: Step, verdict: Verdict | None) -> None:
        """Put a step that was turned down off, each time for longer."""
        key = (step.host, step.base, step.kind)
        if not isinstance(verdict, Rejected) or verdict.code == status_codes.STALE_BASE:
            self._not_before.pop(key, None)
            return
        now = self.operations.timers.clock.monotonic()
        _, before = self._not_before.get(key, (0.0, FIRST_RETRY_S / 2))
        delay = min(before * 2, MAX_RETRY_S)
        self._not_before[key] = (now + delay, delay)
        count(f"plan.{step.kind}", "put_off")

    def _may_try(self, step: Step, now: float) -> bool:
        return self._not_before.get((step.host, step.base, step.kind), (now, 0.0))[0] <= now

    def _note(self, plan: Plan) -> None:
        """Tell of waves and budgets that have to wait, once for each change."""
        for wave, reason in plan.waiting.items():
            if self.waiting.get(wave) != reason:
                self.operations.timeline.add("wave.waits", cause=reason, wave=wave)
        for problem in set(plan.problems) - set(self.problems):
            self.operations.timeline.add("plan.problem", cause=problem)
        self.waiting, self.problems = dict(plan.waiting), plan.problems

    def _follow(self, record: LogRecord, verdict: Verdict) -> None:
        if isinstance(verdict, Accepted):
            value: Any = record.value
            self.planner.observe(value["kind"], value["body"])
            if value["kind"] == "host":
                self._forget(value["body"]["host"])

    def _forget(self, host: str) -> None:
        for key in [key for key in self._not_before if key[0] == host]:
            del self._not_before[key]

    def _restart(self) -> None:
        self.planner = self._new_planner()

    def _new_planner(self) -> Planner:
        return Planner(state=self.operations.log.state, settings=self.operations.settings.capacity)
