"""What a plan is made of, and the draft in which its steps are tried out."""

from typing import Literal, NamedTuple

from . import status_codes
from .models import HostState, Phase
from .placements import PLAN_REASON_PREFIX, SPARE_POOL, Fleet, Group
from .requirements import DEFAULT_DRAIN_S

# A host that came into service counts for a drain only when it has had this long to start.
SETTLE_S = 10.0
# A host that wouldn't drain is left alone for this share of the maintenance period.
RETRY_SHARE = 1 / 14

StepKind = Literal["assign", "drain", "undrain", "reboot", "move", "set_aside"]


class Step(NamedTuple):
    """One step of one host.

    ``pool`` is the pool the host is in after the step; for ``move`` it is the pool that the host is
    emptied for, which it joins by a later ``assign``. ``gain`` is how many hosts a budget wins.
    ``wave`` names the wave the host is maintained for. ``base`` is the epoch it was planned on.
    """

    host: str
    kind: StepKind
    pool: str
    reason: str
    gain: int
    wave: str = ""
    base: int = 0


class Plan(NamedTuple):
    """The steps to take now, in order, and what couldn't be helped.

    ``problems`` says which budgets stay short and why, ``waiting`` why waves stand still, by wave,
    and ``finished`` names the waves that are done.
    """

    steps: list[Step]
    problems: list[str]
    waiting: dict[str, str]
    finished: list[str]


class Weights(NamedTuple):
    """What one host of buffer and one move cost the user."""

    buffer: float
    move: float


class Draft:
    """Steps applied to the fleet's index as they are chosen, and taken back at the end.

    So each choice sees the effect of those before it, and the index still shows what is folded.

    :param fleet: the index.
    :param now: seconds since the epoch.
    :param weights: what buffer and moves cost.
    """

    def __init__(self, *, fleet: Fleet, now: float, weights: Weights | None = None) -> None:
        policy = fleet.policy
        self.fleet = fleet
        self.now = now
        self.weights = weights or Weights(policy["buffer_weight"], policy["move_weight"])
        self.steps: list[Step] = []
        self.problems: list[str] = []
        self.touched: set[str] = set()
        self.pending = len(fleet.emptying_ids)
        self._before: list[HostState] = []

    def assign(self, host: HostState, pool: str, reason: str, gain: int = 0) -> None:
        """Give a free host to a pool."""
        same = host["phase"] == "drained" and host["pool"] == pool
        self._step(host, "undrain" if same else "assign", pool, reason, gain, "in_service")

    def undrain(self, host: HostState, reason: str, gain: int = 0) -> None:
        """Take a host's drain back."""
        self._step(host, "undrain", host["pool"], reason, gain, "in_service")

    def drain(self, host: HostState, reason: str, *, wave: str = "", planned: bool = True) -> None:
        """Empty a host, for a wave or to give it back to the spare pool."""
        text = PLAN_REASON_PREFIX + reason if planned and not wave else reason
        self._step(host, "drain", host["pool"], text, 0, "draining", wave)

    def move(self, host: HostState, pool: str, reason: str, gain: int = 0) -> None:
        """Empty a host for another pool."""
        self._step(host, "move", pool, PLAN_REASON_PREFIX + reason, gain, "draining")

    def reboot(self, host: HostState, reason: str) -> None:
        """Reboot an empty host."""
        self._step(host, "reboot", host["pool"], reason, 0, "rebooting", host["wave"])

    def set_aside(self, host: HostState, reason: str) -> None:
        """Count on a host no longer."""
        self._step(host, "set_aside", host["pool"], reason, 0, "set_aside")

    def withhold(self, host: HostState) -> None:
        """Count on a host no longer in this plan, without a step."""
        self._put(host, host["pool"], "set_aside", host["reason"], "")

    def is_settled(self, group: Group) -> bool:
        """Whether the hosts of a group have had the time to start.

        A host is in service on the log before its executors listen. Emptying another one at once
        would leave the service with fewer hosts than the log says.
        """
        hosts = self.fleet.hosts_by_id
        latest = max((hosts[h]["since"] for h in group.host_ids()), default=0.0)
        return not 0 <= self.now - latest < SETTLE_S

    def is_overdue(self, host: HostState) -> bool:
        """Whether a draining host has had more time than its service's profile gives."""
        group = self.fleet.groups_by_pool.get(host["pool"])
        drain_s = group.requirement.drain_s if group else DEFAULT_DRAIN_S
        return self.now - host["since"] > drain_s

    def give_up_drain(self, host: HostState) -> None:
        """Take back the drain of a host that didn't become empty in time."""
        waited = self.now - host["since"]
        self.undrain(host, f"{status_codes.HOST_WONT_DRAIN}: not empty after {waited:.0f} s")

    def is_stuck(self, host: HostState) -> bool:
        """Whether a host that wouldn't drain is still to be left alone."""
        if not host["reason"].startswith(str(status_codes.HOST_WONT_DRAIN)):
            return False
        return self.now - host["since"] < self.fleet.policy["maintain_every_s"] * RETRY_SHARE

    def keep(self, count: int) -> None:
        """Take back all steps but the first ``count``, made since the last host was withheld."""
        while len(self.steps) > count:
            step = self.steps.pop()
            self.touched.discard(step.host)
            self.fleet.update_host(self._before.pop())

    def undo(self) -> None:
        """Take all steps back from the index."""
        while self._before:
            self.fleet.update_host(self._before.pop())

    def _step(
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
        self._put(host, host["pool"] if kind == "move" else pool, phase, reason, wave)

    def _put(self, host: HostState, pool: str, phase: Phase, reason: str, wave: str) -> None:
        after = host.copy()
        after["pool"] = pool
        after["phase"] = phase
        after["reason"] = reason
        after["wave"] = wave
        self.touched.add(host["host"])
        self._before.append(host)
        self.fleet.update_host(after)


def is_spare(step: Step) -> bool:
    """Whether a step brings a host to the spare pool."""
    return step.kind == "assign" and step.pool == SPARE_POOL
