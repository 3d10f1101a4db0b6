"""Plans, their steps, and the draft that applies steps to the index while planning."""

from typing import Literal, NamedTuple

from . import status_codes
from .models import HostState, Phase
from .placements import PLAN_REASON_PREFIX, SPARE_POOL, Fleet, Group
from .requirements import DEFAULT_DRAIN_S

# The time that a host gets to start after it comes into service, before a drain in its group may
# rely on it.
HOST_START_S = 10.0
# The share of the maintenance period for which a host that didn't drain isn't drained again.
DRAIN_RETRY_RATIO = 1 / 14

StepKind = Literal["assign", "drain", "undrain", "reboot", "move", "set_aside"]


class Step(NamedTuple):
    """One step of one host.

    ``pool`` is the pool of the host after the step. For ``move`` it is the pool that the host is
    drained for, which it joins by a later ``assign``. ``gain`` is the number of hosts by which the
    margin of a budget grows. ``wave`` names the wave that maintains the host. ``base`` is the epoch
    of the host that the step was planned on.
    """

    host: str
    kind: StepKind
    pool: str
    reason: str
    gain: int
    wave: str = ""
    base: int = 0


class Plan(NamedTuple):
    """The steps to take now, in order, and the problems that remain.

    ``problems`` says which budgets stay short and why, ``waiting`` gives by wave the reason why it
    waits, and ``finished`` names the waves that are done.
    """

    steps: list[Step]
    problems: list[str]
    waiting: dict[str, str]
    finished: list[str]


class Weights(NamedTuple):
    """The costs of one buffer host and of one move."""

    buffer: float
    move: float


class Draft:
    """Applies steps to the fleet's index as they are chosen, and undoes them at the end.

    Each choice thus sees the effect of the earlier ones, and the index matches the folded state
    again afterwards.

    :param fleet: the index.
    :param now: seconds since the epoch.
    :param weights: the costs of buffer and moves; those of the policy when None.
    """

    def __init__(self, *, fleet: Fleet, now: float, weights: Weights | None = None) -> None:
        policy = fleet.policy
        self.fleet = fleet
        self.now = now
        self.weights = weights or Weights(policy["buffer_weight"], policy["move_weight"])
        self.steps: list[Step] = []
        self.problems: list[str] = []
        self.touched: set[str] = set()
        self.emptying_count = len(fleet.emptying_ids)
        self._previous_hosts: list[HostState] = []

    def assign(self, host: HostState, pool: str, reason: str, gain: int = 0) -> None:
        """Assign a free host to a pool."""
        is_still_in_pool = host["phase"] == "drained" and host["pool"] == pool
        self._add_step(
            host, "undrain" if is_still_in_pool else "assign", pool, reason, gain, "in_service"
        )

    def undrain(self, host: HostState, reason: str, gain: int = 0) -> None:
        """Cancel the drain of a host."""
        self._add_step(host, "undrain", host["pool"], reason, gain, "in_service")

    def drain(self, host: HostState, reason: str, *, wave: str = "", planned: bool = True) -> None:
        """Drain a host, for a wave or to return it to the spare pool."""
        text = PLAN_REASON_PREFIX + reason if planned and not wave else reason
        self._add_step(host, "drain", host["pool"], text, 0, "draining", wave)

    def move(self, host: HostState, pool: str, reason: str, gain: int = 0) -> None:
        """Drain a host for another pool."""
        self._add_step(host, "move", pool, PLAN_REASON_PREFIX + reason, gain, "draining")

    def reboot(self, host: HostState, reason: str) -> None:
        """Reboot an empty host."""
        self._add_step(host, "reboot", host["pool"], reason, 0, "rebooting", host["wave"])

    def set_aside(self, host: HostState, reason: str) -> None:
        """Stop counting a host as capacity."""
        self._add_step(host, "set_aside", host["pool"], reason, 0, "set_aside")

    def withhold(self, host: HostState) -> None:
        """Stop counting a host as capacity in this plan only, without a step."""
        self._replace_host(host, host["pool"], "set_aside", host["reason"], "")

    def is_settled(self, group: Group) -> bool:
        """Whether all hosts of a group have had the time to start.

        The log shows a host as in service before its executors listen. Draining another host at
        once would leave the service with fewer hosts than the log shows.
        """
        hosts = self.fleet.hosts_by_id
        latest = max((hosts[h]["since"] for h in group.host_ids()), default=0.0)
        return not 0 <= self.now - latest < HOST_START_S

    def is_overdue(self, host: HostState) -> bool:
        """Whether a host has been draining for longer than its service's profile allows."""
        group = self.fleet.groups_by_pool.get(host["pool"])
        drain_s = group.requirement.drain_s if group else DEFAULT_DRAIN_S
        return self.now - host["since"] > drain_s

    def cancel_overdue_drain(self, host: HostState) -> None:
        """Cancel the drain of a host that didn't become empty in time."""
        waited = self.now - host["since"]
        self.undrain(host, f"{status_codes.HOST_WONT_DRAIN}: not empty after {waited:.0f} s")

    def is_stuck(self, host: HostState) -> bool:
        """Whether a host failed to drain so recently that it must not be drained again yet."""
        if not host["reason"].startswith(str(status_codes.HOST_WONT_DRAIN)):
            return False
        return self.now - host["since"] < self.fleet.policy["maintain_every_s"] * DRAIN_RETRY_RATIO

    def undo_after(self, count: int) -> None:
        """Undo all steps but the first ``count``.

        No host may have been withheld since the first step that is undone.
        """
        while len(self.steps) > count:
            step = self.steps.pop()
            self.touched.discard(step.host)
            self.fleet.update_host(self._previous_hosts.pop())

    def undo(self) -> None:
        """Undo all steps in the index; ``steps`` stays as it is."""
        while self._previous_hosts:
            self.fleet.update_host(self._previous_hosts.pop())

    def _add_step(
        self,
        host: HostState,
        kind: StepKind,
        pool: str,
        reason: str,
        gain: int,
        phase: Phase,
        wave: str = "",
    ) -> None:
        self.steps.append(Step(host["host"], kind, pool, reason, gain, wave, host["epoch"]))
        self._replace_host(host, host["pool"] if kind == "move" else pool, phase, reason, wave)

    def _replace_host(
        self, host: HostState, pool: str, phase: Phase, reason: str, wave: str
    ) -> None:
        after = host.copy()
        after["pool"] = pool
        after["phase"] = phase
        after["reason"] = reason
        after["wave"] = wave
        self.touched.add(host["host"])
        self._previous_hosts.append(host)
        self.fleet.update_host(after)


def is_spare(step: Step) -> bool:
    """Whether a step assigns a host to the spare pool."""
    return step.kind == "assign" and step.pool == SPARE_POOL
