"""Carries out on the platform what the log says of hosts."""

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

# A daemon that hasn't folded a record for this long is not ready and takes no requests.
FOLDED_BY_ALL_S = 6.0
UNSTEADY: frozenset[Phase] = frozenset({"draining", "rebooting"})
DOWN_REASON = "down while "


class Operate(NamedTuple):
    """Start an operation on the worker."""

    kind: OperationKind
    pool: str = ""
    boot: int = 0


class Enter(NamedTuple):
    """Write that the host enters a phase."""

    phase: Phase
    pool: str
    reason: str


class Reboot(NamedTuple):
    """Reboot the worker once, and write when it is back."""

    back: bool


HostStep = Operate | Enter | Reboot


def next_step(host: HostState, worker: WorkerInfo | None) -> HostStep | None:
    """Decide the next step of a host from the log and the platform's view; None for none.

    :param host: the host as folded.
    :param worker: the worker as last seen, None when the platform doesn't list it.
    """
    if worker is None or worker["state"] == "down":
        return None
    phase = host["phase"]
    if phase == "in_service":
        return _serve(host, worker)
    if phase == "rebooting":
        return _reboot(host, worker)
    if phase == "failed":
        return _return(host, worker)
    if worker["state"] == "up":
        return Operate("drain", boot=worker["boot"])
    if phase == "draining" and worker["state"] == "drained":
        if worker["epoch"] < host["epoch"]:
            # An undrain of an earlier epoch may still be under way; this drain fences it.
            return Operate("drain", boot=worker["boot"])
        return Enter("drained", host["pool"], host["reason"])
    return None


def _serve(host: HostState, worker: WorkerInfo) -> HostStep | None:
    pool, state = host["pool"], worker["state"]
    if state == "rebooting":
        return None
    if state == "draining":
        return Operate("undrain", boot=worker["boot"]) if worker["pool"] == pool else None
    if state == "drained" or worker["pool"] == "":
        if worker["pool"] != pool or state == "drained":
            return Operate("assign", pool, worker["boot"])
    elif worker["pool"] != pool:
        return Operate("drain", boot=worker["boot"])
    if worker["epoch"] < host["epoch"] - 1:
        # A drain of an earlier epoch that a frozen daemon still holds would take the host out of
        # service; once the platform has seen this epoch, it is turned down.
        return Operate("assign", pool, worker["boot"])
    return None


def _reboot(host: HostState, worker: WorkerInfo) -> HostStep | None:
    if worker["state"] == "drained":
        return Reboot(back=False)
    if worker["state"] == "up":
        return Reboot(back=True)
    return None


def _return(host: HostState, worker: WorkerInfo) -> HostStep | None:
    if worker["state"] == "rebooting":
        return None
    reason = host["reason"]
    if reason.startswith((f"{DOWN_REASON}draining: ", f"{DOWN_REASON}drained: ")):
        # It was on its way out when it went down, and somebody still wants it out.
        return Enter("drained", host["pool"], reason.split(": ", 1)[1])
    return Enter("in_service", host["pool"], "back")


class HostActor:
    """Takes the steps of hosts that are this daemon's to take.

    :param operations: writes records and starts operations.
    :param members: the members and what they have folded.
    :param duties: says whose turn it is.
    """

    def __init__(self, *, operations: Operations, members: Members, duties: Duties) -> None:
        self.operations = operations
        self.members = members
        self.duties = duties
        self._look_at: set[str] = set()
        self._unsteady: set[str] = set()
        self._seen: dict[str, tuple[int, int, float]] = {}
        self._reported: dict[str, int] = {}

    @property
    def log(self) -> Any:
        """The state stream."""
        return self.operations.log

    def look_at(self, hosts: set[str]) -> None:
        """Look at these hosts again, as something has changed there."""
        self._look_at |= hosts

    def look_at_all(self) -> None:
        """Look at all hosts again."""
        self._look_at |= self.log.state.hosts_by_name.keys()

    def due(self) -> list[tuple[str, HostStep]]:
        """The steps that this daemon should take now, by host."""
        found = []
        for name in sorted(self._look_at | self._unsteady):
            host = self.log.state.hosts_by_name.get(name)
            if host is None:
                self._settle(name)
                continue
            step = self._wanted(host)
            if step is None:
                self._settle(name)
            else:
                self._look_at.add(name)
                if self.duties.is_due(f"host/{name}", (host["epoch"], step)):
                    found.append((name, step))
            self._note_phase(host)
        return found

    async def act(self, name: str, step: HostStep) -> None:
        """Take one step of a host."""
        host = self.log.state.hosts_by_name.get(name)
        if host is not None:
            self.duties.note_attempt(f"host/{name}")
            await self._take(step, host)

    def _wanted(self, host: HostState) -> HostStep | None:
        worker = self.operations.workers.by_id.get(host["host"])
        step = next_step(host, worker)
        if host["phase"] == "draining" and not self._folded_by_all(host):
            # An entry host that hasn't heard of the drain would still send requests there. They
            # would be refused and sent elsewhere, but not for longer than this wait.
            return None
        return self._give_up(host, worker) if step is None else step

    @singledispatchmethod
    async def _take(self, step: Any, host: HostState) -> None:
        raise TypeError(f"no such step: {step!r}")

    @_take.register
    async def _(self, step: Operate, host: HostState) -> None:
        ticket = self.operations.begin()
        await self.operations.operate(ticket, host, step.kind, pool=step.pool, boot=step.boot)

    @_take.register
    async def _(self, step: Enter, host: HostState) -> None:
        await self._enter(host, step)

    @_take.register
    async def _(self, step: Reboot, host: HostState) -> None:
        ticket = self.operations.begin()
        try:
            ended = await self.operations.ended(host, "reboot")
        except PlatformError:
            return
        worker = self.operations.workers.by_id.get(host["host"])
        if worker is None:
            return
        if ended and worker["state"] == "up" and worker["epoch"] >= host["epoch"]:
            await self._enter(host, Enter("in_service", host["pool"], "maintained"))
        elif ended is None and worker["state"] == "drained":
            await self.operations.operate(ticket, host, "reboot")
        elif ended is None and worker["state"] == "up":
            # It lost its power while it was empty, and came back up: what runs there would be cut.
            await self.operations.operate(ticket, host, "drain", boot=worker["boot"])

    async def _enter(self, host: HostState, step: Enter) -> None:
        ticket = self.operations.begin()
        body = host_body(host, step.phase, step.pool, step.reason)
        verdict = await self.operations.write(ticket, "host", body)
        filled = (status_codes.ROOM_EXCEEDED, status_codes.REFERENCE_MISSING)
        if not isinstance(verdict, Rejected) or verdict.code not in filled:
            return
        if host["phase"] in ("failed", "rebooting"):
            # While it was away its place was filled, or its pool taken away. Without this it would
            # be refused until it counts as one that never returned; as a free host it is of use.
            pool = "" if host["phase"] == "failed" else host["pool"]
            body = host_body(host, "drained", pool, f"{PLAN_REASON_PREFIX}its place was filled")
            body["wave"] = ""
            await self.operations.write(ticket, "host", body)

    def _folded_by_all(self, host: HostState) -> bool:
        offset, waited_s = self._first_seen(host)
        if waited_s > FOLDED_BY_ALL_S:
            return True
        return all(member.offset >= offset for member in self.members.live())

    def _first_seen(self, host: HostState) -> tuple[int, float]:
        """The offset at which this daemon first saw the host's epoch, and how long ago."""
        now = self.operations.timers.clock.monotonic()
        known = self._seen.get(host["host"])
        if known is None or known[0] != host["epoch"]:
            known = self._seen[host["host"]] = (host["epoch"], self.log.offset, now)
        return known[1], now - known[2]

    def _note_phase(self, host: HostState) -> None:
        name = host["host"]
        if host["phase"] in UNSTEADY:
            self._unsteady.add(name)
            self._report(host)
        else:
            self._unsteady.discard(name)
            self._seen.pop(name, None)
            self._reported.pop(name, None)

    def _settle(self, name: str) -> None:
        self._look_at.discard(name)
        self.duties.drop(f"host/{name}")

    def _limit_s(self, host: HostState) -> float:
        state, settings = self.log.state, self.operations.settings.capacity
        if host["phase"] == "rebooting":
            return settings.return_timeout_s
        pool = state.value("pool", host["pool"])
        profile = state.profile_of(pool["service"]) if pool else None
        return profile["disruption"]["drain_s"] if profile else settings.return_timeout_s

    def _give_up(self, host: HostState, worker: WorkerInfo | None) -> HostStep | None:
        """Bound a drain that the planner asked for, and a reboot; of waves the planner does it."""
        waited_s = self._waited_s(host)
        if worker is None or host["wave"] or waited_s <= self._limit_s(host):
            return None
        if host["phase"] == "rebooting":
            reason = f"{status_codes.HOST_WONT_RETURN}: not back after {waited_s:.0f} s"
            return Enter("set_aside", host["pool"], reason)
        is_draining = host["phase"] == "draining" and worker["state"] == "draining"
        if is_draining and host["reason"].startswith(PLAN_REASON_PREFIX):
            reason = f"{status_codes.HOST_WONT_DRAIN}: not empty after {waited_s:.0f} s"
            return Enter("in_service", host["pool"], reason)
        return None

    def _waited_s(self, host: HostState) -> float:
        return self.operations.timers.clock.wall() - host["since"]

    def _report(self, host: HostState) -> None:
        """Tell once of a host that won't drain or won't return."""
        if self._reported.get(host["host"]) == host["epoch"]:
            return
        if self._waited_s(host) <= self._limit_s(host):
            return
        self._reported[host["host"]] = host["epoch"]
        draining = host["phase"] == "draining"
        code = status_codes.HOST_WONT_DRAIN if draining else status_codes.HOST_WONT_RETURN
        self.operations.timeline.add(
            f"host.{code.name}", cause=f"{code} {code.title}", host=host["host"]
        )
        count(host["phase"], code.name)


def host_body(
    host: HostState, phase: Phase, pool: str, reason: str, wave: str | None = None
) -> HostBody:
    """Make a host's step on the epoch it is in."""
    body = HostBody(host=host["host"], base=host["epoch"], phase=phase, pool=pool, reason=reason)
    if wave:
        body["wave"] = wave
    return body
