"""Carries plans out on the real fold, with a small fake in the platform's place.

The fake empties, reboots and returns hosts after set times. Checks are made by counting the hosts
in the folded state anew, not by the planner's own sums.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from mustardgap.models import HostState
from mustardgap.outcomes import Accepted, Rejected
from mustardgap.planners import Planner
from mustardgap.plans import Plan, Step
from mustardgap.settings import CapacitySettings
from tools.fleets import FleetSpec, Ledger, make

PHASES = {
    "assign": "in_service",
    "undrain": "in_service",
    "drain": "draining",
    "move": "draining",
    "reboot": "rebooting",
    "set_aside": "set_aside",
}


class Turned(NamedTuple):
    """A step that the fold turned down."""

    step: Step
    verdict: Rejected


class PlanRun:
    """A fleet that lives by its plans.

    :param spec: the fleet to make.
    :param drain_s: seconds until a draining host is empty.
    :param reboot_s: seconds until a rebooting host is back.
    """

    def __init__(
        self,
        *,
        spec: FleetSpec,
        drain_s: float = 20.0,
        reboot_s: float = 300.0,
        settings: CapacitySettings | None = None,
    ) -> None:
        self.ledger: Ledger = make(spec)
        self.state = self.ledger.state
        self.drain_s = drain_s
        self.reboot_s = reboot_s
        self.planner = Planner(state=self.state, settings=settings)
        self.stuck: set[str] = set()
        self.leaving: dict[str, float] = {}
        self.turned: list[Turned] = []
        self.moves = 0
        self.most_out = 0
        self.breaches: list[str] = []
        self.on_plan: Callable[[Plan], None] = lambda plan: None

    def record(self, host: str, phase: str, pool: str, reason: str = "", **more: Any) -> Any:
        """Append a host's step and let the planner follow it."""
        before = self.state.hosts_by_name.get(host)
        verdict = self.ledger.step_host(host, phase, pool, reason, **more)
        if isinstance(verdict, Accepted):
            self.planner.observe("host", {"host": host})
            self.moves += before is not None and before["pool"] != pool
        return verdict

    def declare(self, values_by_key: dict[str, Any]) -> Any:
        """Publish declarations and let the planner follow them."""
        verdict = self.ledger.declare(values_by_key)
        self.planner.observe("config", {})
        return verdict

    def plan(self) -> Plan:
        """Make a plan without carrying it out."""
        return self.planner.plan(now=self.ledger.now, leaving=self.leaving)

    def carry_out(self, steps: list[Step]) -> None:
        """Append the records of a plan's steps, on the epochs they were planned on."""
        for step in steps:
            host = self.state.hosts_by_name[step.host]
            pool = host["pool"] if step.kind == "move" else step.pool
            wave = {"wave": step.wave} if step.wave else {}
            verdict = self.record(
                step.host, PHASES[step.kind], pool, step.reason, base=step.base, **wave
            )
            if isinstance(verdict, Rejected):
                self.turned.append(Turned(step, verdict))
            elif PHASES[step.kind] in ("draining", "set_aside") and host["phase"] == "in_service":
                self._check_budget(step, host["pool"])

    def tick(self, seconds: float = 5.0) -> Plan:
        """Let time pass, the platform act, and one plan be made and carried out."""
        self.ledger.now += seconds
        self.state.time = self.ledger.now
        for host in list(self.state.hosts_by_name.values()):
            self._act(host)
        plan = self.plan()
        self.on_plan(plan)
        self.carry_out(plan.steps)
        self.most_out = max(self.most_out, len(self.out()))
        return plan

    def settle(self, *, limit: int = 400, seconds: float = 15.0) -> int:
        """Tick until nothing is left to do.

        :return: the ticks it took.
        :raises AssertionError: it never came to rest.
        """
        for count in range(limit):
            plan = self.tick(seconds)
            moving = any(h["phase"] in ("draining", "rebooting") for h in self.hosts())
            if not plan.steps and not moving:
                return count
        raise AssertionError(f"no rest after {limit} ticks: {plan}")

    def fail(self, host: str) -> None:
        """Let a host fail."""
        known = self.state.hosts_by_name[host]
        if known["phase"] != "failed":
            self.record(host, "failed", known["pool"], "fails")

    def bring_back(self, host: str) -> None:
        """Let a failed host return to its pool, or to the spare pool when there is no room."""
        known = self.state.hosts_by_name[host]
        if known["phase"] in ("failed", "set_aside"):
            verdict = self.record(host, "in_service", known["pool"], "is back")
            if isinstance(verdict, Rejected):
                self.record(host, "in_service", "", "is back")

    def hosts(self) -> list[HostState]:
        """All hosts."""
        return list(self.state.hosts_by_name.values())

    def out(self) -> list[str]:
        """The hosts that are out for maintenance."""
        phases = ("draining", "drained", "rebooting")
        return [h["host"] for h in self.hosts() if h["wave"] and h["phase"] in phases]

    def sizes(self) -> Counter[str]:
        """The hosts in service by pool."""
        return Counter(h["pool"] for h in self.hosts() if h["phase"] == "in_service")

    def short(self) -> list[str]:
        """The services whose budget doesn't hold, counted from nothing but the hosts."""
        names = [k.partition("/")[2] for k in self.state.declarations_by_key if k[:8] == "service/"]
        return [name for name in names if naive_margin(self.state, name) < 0]

    def _check_budget(self, step: Step, pool: str) -> None:
        declaration = self.state.declarations_by_key.get(f"pool/{pool}")
        service = declaration.value["service"] if declaration else ""
        if service and naive_margin(self.state, service) < 0:
            self.breaches.append(f"{step} left {service} short")

    def _act(self, host: HostState) -> None:
        waited = self.ledger.now - host["since"]
        if host["host"] in self.stuck:
            return
        if host["phase"] == "draining" and waited >= self.drain_s:
            self.record(host["host"], "drained", host["pool"], host["reason"])
        elif host["phase"] == "rebooting" and waited >= self.reboot_s:
            self._bring_up(host)

    def _bring_up(self, host: HostState) -> None:
        verdict = self.record(host["host"], "in_service", host["pool"], "is back")
        if isinstance(verdict, Rejected):
            self.record(host["host"], "drained", host["pool"], "plan: no room", wave="")


def naive_margin(state: Any, service: str) -> int:
    """The margin of a service, counted the obvious way: take each domain away in turn."""
    values = {key: declaration.value for key, declaration in state.declarations_by_key.items()}
    profile = values[f"profile/{values[f'service/{service}']['profile']}"]
    pools = {k[5:] for k, v in values.items() if k[:5] == "pool/" and v["service"] == service}
    hosts = [
        h for h in state.hosts_by_name.values() if h["pool"] in pools and h["phase"] == "in_service"
    ]
    survive = profile["availability"]["survive"]
    left = [len(hosts)]
    for lost in hosts if survive != "none" else []:
        left.append(sum(not _same_domain(lost, host, survive) for host in hosts))
    return min(left) - int(profile["availability"]["min_hosts"])


def _same_domain(one: HostState, other: HostState, survive: str) -> bool:
    keys = {
        "host": lambda h: h["host"],
        "rack": lambda h: (h["facts"]["data_center"], h["facts"]["rack"]),
        "data_center": lambda h: h["facts"]["data_center"],
    }
    return keys[survive](one) == keys[survive](other)
