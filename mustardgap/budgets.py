"""Computes availability budgets: hosts in service, and how many may be drained.

The fold and the planner both use these functions, so that the fold rejects no plan because of a
different calculation.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import Any, NamedTuple

from . import status_codes
from .models import HostState
from .outcomes import Rejected
from .states import State, domain_of


class Shortage(NamedTuple):
    """A budget that can't be met, and by how many hosts.

    ``limit`` is what it exceeds. ``budget`` and ``limit`` still identify the same budget after the
    service has changed its profile.
    """

    budget: str
    limit: str
    need: int
    have: int
    detail: str = ""

    @property
    def short(self) -> int:
        """Return how many hosts are missing."""
        return self.need - self.have

    def __str__(self) -> str:
        counts = f"needs {self.need} hosts, {self.have} there, {self.short} short"
        return f"{self.budget}{self.detail} {self.limit}: {counts}"


def in_service(state: State, service: str) -> list[HostState]:
    """Return the hosts of a service that are in service."""
    return [host for host in state.hosts_of(service) if host["phase"] == "in_service"]


def worst_loss(hosts: Iterable[HostState], survive: str) -> int:
    """Return how many of the hosts are lost with the largest single failure domain.

    :param hosts: the hosts to count.
    :param survive: ``none``, ``host``, ``rack`` or ``data_center``.
    """
    if survive == "none":
        return 0
    if survive == "host":
        return int(any(True for _ in hosts))
    counts = Counter(domain_of(host["facts"], survive) for host in hosts)
    return max(counts.values(), default=0)


def margin(state: State, service: str, *, without: Collection[str] = frozenset()) -> int:
    """Return how many hosts a service has beyond its availability budget; below 0 is a breach.

    :param state: the folded state.
    :param service: the service's name.
    :param without: names of hosts to leave out of the count.
    :return: hosts in service, less the largest failure domain, less ``availability.min_hosts``.
    """
    profile = state.profile_of(service)
    if profile is None:
        return 0
    hosts = [host for host in in_service(state, service) if host["host"] not in without]
    availability = profile["availability"]
    return len(hosts) - worst_loss(hosts, availability["survive"]) - availability["min_hosts"]


def may_drain(
    state: State, host: HostState, *, without: Collection[str] = frozenset()
) -> Rejected | None:
    """Check whether a host may be taken out of service.

    :param state: the folded state.
    :param host: the host; one that isn't in service may always be drained.
    :param without: names of further hosts that are drained with it.
    :return: None if it may, else MG3002 with the budget and the shortfall.
    """
    pool = state.value("pool", host["pool"])
    if pool is None or host["phase"] != "in_service":
        return None
    gone = {host["host"], *without}
    names = state.hosts_by_pool.get(host["pool"], set()) - gone
    left = sum(state.hosts_by_name[name]["phase"] == "in_service" for name in names)
    if left < pool["min_hosts"]:
        detail = f"pool {host['pool']} keeps {pool['min_hosts']} in service and would have {left}"
        return Rejected(code=status_codes.BUDGET_BREACH, detail=detail)
    if not pool["service"]:
        return None
    short = -margin(state, pool["service"], without=gone)
    if short > 0:
        return Rejected(
            code=status_codes.BUDGET_BREACH,
            detail=f"service {pool['service']} would be {short} below its availability budget",
        )
    return None


def room_left(state: State, pool: str) -> int:
    """Return how many more hosts may join a pool, by the host limits of pool and service."""
    value = state.value("pool", pool)
    if value is None:
        return 0
    left = value["max_hosts"] - _count_members(state, [pool])
    profile = state.profile_of(value["service"])
    if profile is not None:
        pools = state.pools_by_service.get(value["service"], [])
        left = min(left, profile["room"]["max_hosts"] - _count_members(state, pools))
    return left


def _count_members(state: State, pools: Iterable[str]) -> int:
    return sum(
        state.hosts_by_name[name]["phase"] in ("in_service", "draining")
        for pool in pools
        for name in state.hosts_by_pool.get(pool, ())
    )


def required_hosts(min_hosts: int, survive: str, sizes: Collection[int]) -> int | None:
    """Return the fewest hosts that keep ``min_hosts`` if the largest failure domain is lost.

    With at most ``c`` hosts in each domain the largest loss is ``c``, so ``min_hosts + c`` hosts
    are needed and the domains must hold that many. The result uses the smallest such ``c``.

    :param min_hosts: hosts that must remain.
    :param survive: the kind of failure domain that may be lost.
    :param sizes: the number of healthy hosts in each such domain.
    :return: the number of hosts, or None if the domains can't hold it.
    """
    if min_hosts == 0 or survive == "none":
        return min_hosts
    if survive == "host":
        return min_hosts + 1
    for cap in range(1, max(sizes, default=0) + 1):
        if sum(min(size, cap) for size in sizes) >= min_hosts + cap:
            return min_hosts + cap
    return None


def shortages(state: State, values_by_key: Mapping[str, Any]) -> list[Shortage]:
    """Return the budgets that the registered hosts can't meet under these declarations.

    Only necessary conditions are checked: each service alone against its room, its pools and the
    failure domains, and all together against the number of healthy hosts. While no healthy host is
    registered, only room and pools are checked.

    :param state: the folded state, for its hosts.
    :param values_by_key: all declarations, by ``kind/name``.
    """
    found: list[Shortage] = []
    fleet = sum(state.healthy_by_domain["data_center"].values())
    pools_by_service = _pools_by_service(values_by_key)
    needs = _RequiredHosts(state)
    total = sum(pool["min_hosts"] for pool in pools_by_service.get("", []))
    for key, service in values_by_key.items():
        kind, _, name = key.partition("/")
        if kind != "service":
            continue
        profile_key = f"profile/{service['profile']}"
        profile = values_by_key[profile_key]
        pools = pools_by_service.get(name, [])
        need = needs.of(profile["availability"])
        floor = max(need, sum(pool["min_hosts"] for pool in pools))
        total += floor
        lost = profile["availability"]["survive"]
        detail = f", availability of {profile_key} with {lost} lost"
        limits = {
            "in its room": (floor, profile["room"]["max_hosts"]),
            "in its pools": (floor, sum(pool["max_hosts"] for pool in pools)),
        }
        if fleet:
            limits["in the fleet"] = needs.compare_with_fleet(profile)
        for limit, (wanted, have) in limits.items():
            if wanted > have:
                found.append(Shortage(key, limit, wanted, have, detail))
    if fleet and total > fleet:
        found.append(Shortage("all services and pools together", "in the fleet", total, fleet))
    return found


def _pools_by_service(values_by_key: Mapping[str, Any]) -> dict[str, list[Any]]:
    pools: dict[str, list[Any]] = {}
    for key, value in values_by_key.items():
        if key.startswith("pool/"):
            pools.setdefault(value["service"], []).append(value)
    return pools


class _RequiredHosts:
    """Caches the fewest hosts that each kind of budget requires."""

    def __init__(self, state: State) -> None:
        self._sizes = {name: list(c.values()) for name, c in state.healthy_by_domain.items()}
        self._fleet = sum(self._sizes["data_center"])
        self._required: dict[tuple[int, str], int | None] = {}

    def of(self, availability: Any) -> int:
        key = (availability["min_hosts"], availability["survive"])
        if key not in self._required:
            self._required[key] = required_hosts(*key, self._sizes.get(key[1], []))
        required = self._required[key]
        # If the domains can't hold it, as when no host is registered, one more is the minimum.
        return key[0] + 1 if required is None else required

    def compare_with_fleet(self, profile: Any) -> tuple[int, int]:
        """Return the hosts that must remain if a domain is lost, and the most that could."""
        wanted, survive = profile["availability"]["min_hosts"], profile["availability"]["survive"]
        if survive == "none":
            return wanted, self._fleet
        if survive == "host":
            return wanted, self._fleet - 1
        if self._required[wanted, survive] is not None:
            return wanted, wanted
        sizes = self._sizes[survive]
        caps = range(1, max(sizes) + 1)
        return wanted, max(sum(min(size, cap) for size in sizes) - cap for cap in caps)
