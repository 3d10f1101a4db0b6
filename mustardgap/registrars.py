"""Records changes of the platform's workers on the log: new workers and failed ones."""

import asyncio

from . import status_codes
from .duties import Duties
from .host_actors import DOWN_REASON_PREFIX, host_body
from .models import HostBody, HostFacts, HostState, Phase, WorkerInfo
from .operations import Operations
from .outcomes import Rejected
from .placements import PLAN_REASON_PREFIX

DUTY_KEY = "registrar"
MAX_BATCH_SIZE = 200
# Delay until a worker is tried again whose pool isn't declared yet or is full.
RETRY_DELAY_S = 10.0
FAILABLE_PHASES: frozenset[Phase] = frozenset({"in_service", "draining", "drained"})
FIRST_PHASE_BY_STATE: dict[str, Phase] = {"up": "in_service", "drained": "drained"}
# No operator asked on the log to keep a new worker out of service. A drained one would look like a
# host drained by an operator and stay out for good; the planner may use one with its own reason.
REASON_BY_PHASE: dict[Phase, str] = {
    "in_service": "registered",
    "drained": f"{PLAN_REASON_PREFIX}registered",
}


class Registrar:
    """Writes host records for workers that are new or were down for too long.

    :param operations: writes records.
    :param duties: decides which daemon acts.
    """

    def __init__(self, *, operations: Operations, duties: Duties) -> None:
        self.operations = operations
        self.duties = duties
        self._new: set[str] = set()
        self._down_since: dict[str, float] = {}
        self._not_before: dict[str, float] = {}

    def recheck(self, workers: set[str]) -> None:
        """Update these workers after they or their hosts on the log have changed."""
        now = self.operations.timers.clock.monotonic()
        for name in workers:
            worker = self.operations.workers.by_id.get(name)
            host = self.operations.log.state.hosts_by_name.get(name)
            if host is None and worker is not None and worker["state"] in FIRST_PHASE_BY_STATE:
                self._new.add(name)
            else:
                self._new.discard(name)
            if host is not None and _is_down(host, worker):
                self._down_since.setdefault(name, now)
            else:
                self._down_since.pop(name, None)

    def recheck_all(self) -> None:
        """Update all workers and hosts."""
        known = self.operations.log.state.hosts_by_name.keys()
        self.recheck(known | self.operations.workers.by_id.keys())

    def due(self) -> list[HostBody]:
        """Return the records that this daemon should write now; a failed rack is one batch."""
        now = self.operations.timers.clock.monotonic()
        ready = [name for name in sorted(self._new) if self._may_register(name, now)]
        limit_s = self.operations.settings.capacity.host_failed_s
        failed = sorted(n for n, since in self._down_since.items() if now - since >= limit_s)
        names = tuple((failed + ready)[:MAX_BATCH_SIZE])
        if not names:
            self.duties.drop(DUTY_KEY)
            return []
        if not self.duties.is_due(DUTY_KEY, names):
            return []
        bodies = [self._make_failure_record(name) for name in failed] + [
            self._make_registration_record(n) for n in ready
        ]
        return [body for body in bodies if body is not None][:MAX_BATCH_SIZE]

    async def act(self, bodies: list[HostBody]) -> None:
        """Write a batch of records."""
        self.duties.note_attempt(DUTY_KEY)
        ticket = self.operations.issue_ticket()
        verdicts = await asyncio.gather(
            *(self.operations.write(ticket, "host", body) for body in bodies)
        )
        now = self.operations.timers.clock.monotonic()
        for body, verdict in zip(bodies, verdicts, strict=True):
            rejected = isinstance(verdict, Rejected) and verdict.code != status_codes.STALE_BASE
            if rejected:
                self._not_before[body["host"]] = now + RETRY_DELAY_S
            else:
                self._not_before.pop(body["host"], None)
        self.recheck({body["host"] for body in bodies})

    def _may_register(self, name: str, now: float) -> bool:
        # Before the first pool is declared only spare workers could be registered. The budgets of
        # the first declarations would be checked against these few and refused for good, because
        # the others can't be registered before their pools are declared.
        declared = self.operations.log.state.declared("pool")
        return bool(declared) and self._not_before.get(name, now) <= now

    def _make_registration_record(self, name: str) -> HostBody | None:
        worker = self.operations.workers.by_id.get(name)
        phase = None if worker is None else FIRST_PHASE_BY_STATE.get(worker["state"])
        if worker is None or phase is None:
            return None
        return HostBody(
            host=name,
            base=worker["epoch"],
            phase=phase,
            pool=worker["pool"],
            reason=REASON_BY_PHASE[phase],
            facts=HostFacts(
                rack=worker["rack"],
                data_center=worker["data_center"],
                cores=worker["cores"],
                memory_gb=worker["memory_gb"],
                accelerators=worker["accelerators"],
            ),
        )

    def _make_failure_record(self, name: str) -> HostBody | None:
        host = self.operations.log.state.hosts_by_name.get(name)
        if host is None:
            return None
        reason = f"{DOWN_REASON_PREFIX}{host['phase']}: {host['reason']}"
        return host_body(host, "failed", host["pool"], reason)


def _is_down(host: HostState, worker: WorkerInfo | None) -> bool:
    return host["phase"] in FAILABLE_PHASES and (worker is None or worker["state"] == "down")
