"""Carries out on the platform the host phases that the log records."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from . import status_codes
from .adapters import OperationKind
from .duties import Duties
from .exceptions import PlatformError
from .members import Members
from .models import HostBody, HostState, Phase, WorkerInfo
from .operations import Operations, count
from .outcomes import Rejected
from .placements import PLAN_REASON_PREFIX

# Longest wait until all members have folded a host's drain. A daemon that hasn't folded a record
# for this long is not ready and takes no requests, so it can't send any to the host.
MAX_FOLD_WAIT_S = 6.0
TRANSITIONAL_PHASES: frozenset[Phase] = frozenset({"draining", "rebooting"})
DOWN_REASON_PREFIX = "down while "


class StartOperation(NamedTuple):
    """Start an operation on the worker."""

    kind: OperationKind
    pool: str = ""
    boot: int = 0


class EnterPhase(NamedTuple):
    """Write a record that moves the host to a phase."""

    phase: Phase
    pool: str
    reason: str


class Reboot(NamedTuple):
    """Reboot the worker once, and write a record when it is up again.

    :param has_returned: whether the worker is up.
    """

    has_returned: bool


HostStep = StartOperation | EnterPhase | Reboot


def next_step(host: HostState, worker: WorkerInfo | None) -> HostStep | None:
    """Decide the next step of a host from the log and the platform's view.

    :param host: the host as folded.
    :param worker: the worker as last polled, None when the platform doesn't list it.
    :return: the step, or None when there is nothing to do.
    """
    if worker is None or worker["state"] == "down":
        return None
    phase = host["phase"]
    if phase == "in_service":
        return _step_in_service(host, worker)
    if phase == "rebooting":
        return _step_rebooting(host, worker)
    if phase == "failed":
        return _step_after_failure(host, worker)
    if worker["state"] == "up":
        return StartOperation("drain", boot=worker["boot"])
    if phase == "draining" and worker["state"] == "drained":
        if worker["epoch"] < host["epoch"]:
            # An undrain of an earlier epoch may still be in flight; a drain under this epoch
            # fences it.
            return StartOperation("drain", boot=worker["boot"])
        return EnterPhase("drained", host["pool"], host["reason"])
    return None


def _step_in_service(host: HostState, worker: WorkerInfo) -> HostStep | None:
    pool, state = host["pool"], worker["state"]
    if state == "rebooting":
        return None
    if state == "draining":
        return StartOperation("undrain", boot=worker["boot"]) if worker["pool"] == pool else None
    if state == "drained" or worker["pool"] == "":
        if worker["pool"] != pool or state == "drained":
            return StartOperation("assign", pool, worker["boot"])
    elif worker["pool"] != pool:
        return StartOperation("drain", boot=worker["boot"])
    if worker["epoch"] < host["epoch"] - 1:
        # A frozen daemon may still send a drain of an earlier epoch, which would take the host out
        # of service; the platform rejects that drain once it has seen this epoch.
        return StartOperation("assign", pool, worker["boot"])
    return None


def _step_rebooting(host: HostState, worker: WorkerInfo) -> HostStep | None:
    if worker["state"] == "drained":
        return Reboot(has_returned=False)
    if worker["state"] == "up":
        return Reboot(has_returned=True)
    return None


def _step_after_failure(host: HostState, worker: WorkerInfo) -> HostStep | None:
    if worker["state"] == "rebooting":
        return None
    reason = host["reason"]
    if reason.startswith((f"{DOWN_REASON_PREFIX}draining: ", f"{DOWN_REASON_PREFIX}drained: ")):
        # The host was being drained, or was drained, when it went down; that drain still applies.
        return EnterPhase("drained", host["pool"], reason.split(": ", 1)[1])
    return EnterPhase("in_service", host["pool"], "back")


class HostActor:
    """Takes the steps of hosts that are this daemon's duty.

    :param operations: writes records and starts operations.
    :param members: the members and the offsets that they have folded.
    :param duties: decides which member acts.
    """

    def __init__(self, *, operations: Operations, members: Members, duties: Duties) -> None:
        self.operations = operations
        self.members = members
        self.duties = duties
        self._hosts_to_check: set[str] = set()
        self._hosts_in_transition: set[str] = set()
        self._first_seen_by_host: dict[str, tuple[int, int, float]] = {}
        self._reported_epochs: dict[str, int] = {}

    @property
    def log(self) -> Any:
        """The state stream."""
        return self.operations.log

    def recheck(self, hosts: set[str]) -> None:
        """Queue hosts for a new decision after a change.

        :param hosts: the names of the hosts.
        """
        self._hosts_to_check |= hosts

    def recheck_all(self) -> None:
        """Queue all hosts for a new decision."""
        self._hosts_to_check |= self.log.state.hosts_by_name.keys()

    def due(self) -> list[tuple[str, HostStep]]:
        """Return the steps that this daemon should take now, with the names of their hosts."""
        due_steps = []
        for name in sorted(self._hosts_to_check | self._hosts_in_transition):
            host = self.log.state.hosts_by_name.get(name)
            if host is None:
                self._drop_step(name)
                continue
            step = self._wanted(host)
            if step is None:
                self._drop_step(name)
            else:
                self._hosts_to_check.add(name)
                if self.duties.is_due(f"host/{name}", (host["epoch"], step)):
                    due_steps.append((name, step))
            self._note_phase(host)
        return due_steps

    async def act(self, name: str, step: HostStep) -> None:
        """Take one step of a host.

        :param name: the host.
        :param step: the step.
        """
        host = self.log.state.hosts_by_name.get(name)
        if host is not None:
            self.duties.note_attempt(f"host/{name}")
            await self._take(step, host)

    def _wanted(self, host: HostState) -> HostStep | None:
        worker = self.operations.workers.by_id.get(host["host"])
        step = next_step(host, worker)
        if host["phase"] == "draining" and not self._folded_by_all(host):
            # An entry host that hasn't folded the drain still sends requests to this host. If the
            # host were drained now, they would be refused and have to be retried elsewhere. So the
            # drain waits, but not longer than MAX_FOLD_WAIT_S.
            return None
        return self._overdue_step(host, worker) if step is None else step

    @singledispatchmethod
    async def _take(self, step: Any, host: HostState) -> None:
        raise TypeError(f"no such step: {step!r}")

    @_take.register
    async def _(self, step: StartOperation, host: HostState) -> None:
        ticket = self.operations.issue_ticket()
        await self.operations.operate(ticket, host, step.kind, pool=step.pool, boot=step.boot)

    @_take.register
    async def _(self, step: EnterPhase, host: HostState) -> None:
        await self._enter_phase(host, step)

    @_take.register
    async def _(self, step: Reboot, host: HostState) -> None:
        ticket = self.operations.issue_ticket()
        try:
            ended = await self.operations.has_ended(host, "reboot")
        except PlatformError:
            return
        worker = self.operations.workers.by_id.get(host["host"])
        if worker is None:
            return
        if ended and worker["state"] == "up" and worker["epoch"] >= host["epoch"]:
            await self._enter_phase(host, EnterPhase("in_service", host["pool"], "maintained"))
        elif ended is None and worker["state"] == "drained":
            await self.operations.operate(ticket, host, "reboot")
        elif ended is None and worker["state"] == "up":
            # The worker lost power while it was empty and came back up. It may run requests again,
            # which a reboot would cut off, so it is drained first.
            await self.operations.operate(ticket, host, "drain", boot=worker["boot"])

    async def _enter_phase(self, host: HostState, step: EnterPhase) -> None:
        ticket = self.operations.issue_ticket()
        body = host_body(host, step.phase, step.pool, step.reason)
        verdict = await self.operations.write(ticket, "host", body)
        no_place_codes = (status_codes.ROOM_EXCEEDED, status_codes.REFERENCE_MISSING)
        if not isinstance(verdict, Rejected) or verdict.code not in no_place_codes:
            return
        if host["phase"] in ("failed", "rebooting"):
            # While the host was down another host took its place, or its pool was removed. Without
            # this record its return would be refused until the host counts as one that never
            # returned; as a drained host it can be assigned again.
            pool = "" if host["phase"] == "failed" else host["pool"]
            body = host_body(host, "drained", pool, f"{PLAN_REASON_PREFIX}its place was filled")
            body["wave"] = ""
            await self.operations.write(ticket, "host", body)

    def _folded_by_all(self, host: HostState) -> bool:
        offset, waited_s = self._epoch_first_seen(host)
        if waited_s > MAX_FOLD_WAIT_S:
            return True
        return all(member.offset >= offset for member in self.members.live())

    def _epoch_first_seen(self, host: HostState) -> tuple[int, float]:
        """Return when this daemon first saw the host's epoch.

        :return: the log offset at that time, and the seconds since then.
        """
        now = self.operations.timers.clock.monotonic()
        first_seen = self._first_seen_by_host.get(host["host"])
        if first_seen is None or first_seen[0] != host["epoch"]:
            first_seen = self._first_seen_by_host[host["host"]] = (
                host["epoch"],
                self.log.offset,
                now,
            )
        return first_seen[1], now - first_seen[2]

    def _note_phase(self, host: HostState) -> None:
        name = host["host"]
        if host["phase"] in TRANSITIONAL_PHASES:
            self._hosts_in_transition.add(name)
            self._report_overdue(host)
        else:
            self._hosts_in_transition.discard(name)
            self._first_seen_by_host.pop(name, None)
            self._reported_epochs.pop(name, None)

    def _drop_step(self, name: str) -> None:
        self._hosts_to_check.discard(name)
        self.duties.drop(f"host/{name}")

    def _phase_limit_s(self, host: HostState) -> float:
        state, settings = self.log.state, self.operations.settings.capacity
        if host["phase"] == "rebooting":
            return settings.return_timeout_s
        pool = state.value("pool", host["pool"])
        profile = state.profile_of(pool["service"]) if pool else None
        return profile["disruption"]["drain_s"] if profile else settings.return_timeout_s

    def _overdue_step(self, host: HostState, worker: WorkerInfo | None) -> HostStep | None:
        """Return the step that ends an overdue reboot or an overdue drain by the planner.

        Hosts of a wave are left out, as the planner bounds their drains and reboots.
        """
        waited_s = self._phase_age_s(host)
        if worker is None or host["wave"] or waited_s <= self._phase_limit_s(host):
            return None
        if host["phase"] == "rebooting":
            reason = f"{status_codes.HOST_WONT_RETURN}: not back after {waited_s:.0f} s"
            return EnterPhase("set_aside", host["pool"], reason)
        is_draining = host["phase"] == "draining" and worker["state"] == "draining"
        if is_draining and host["reason"].startswith(PLAN_REASON_PREFIX):
            reason = f"{status_codes.HOST_WONT_DRAIN}: not empty after {waited_s:.0f} s"
            return EnterPhase("in_service", host["pool"], reason)
        return None

    def _phase_age_s(self, host: HostState) -> float:
        return self.operations.timers.clock.wall() - host["since"]

    def _report_overdue(self, host: HostState) -> None:
        """Report an overdue drain or reboot, once for each epoch of the host."""
        if self._reported_epochs.get(host["host"]) == host["epoch"]:
            return
        if self._phase_age_s(host) <= self._phase_limit_s(host):
            return
        self._reported_epochs[host["host"]] = host["epoch"]
        draining = host["phase"] == "draining"
        code = status_codes.HOST_WONT_DRAIN if draining else status_codes.HOST_WONT_RETURN
        self.operations.timeline.add(
            f"host.{code.name}", cause=f"{code} {code.title}", host=host["host"]
        )
        count(host["phase"], code.name)


def host_body(
    host: HostState, phase: Phase, pool: str, reason: str, wave: str | None = None
) -> HostBody:
    """Build the record of a host's step, based on its current epoch."""
    body = HostBody(host=host["host"], base=host["epoch"], phase=phase, pool=pool, reason=reason)
    if wave:
        body["wave"] = wave
    return body
