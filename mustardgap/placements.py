"""Indexes of the hosts by service and job pool, updated in constant time per changed host."""

import heapq
from collections import Counter
from collections.abc import Iterable

from .models import HostState
from .requirements import Declarations, Requirement, read_policy, read_requirements
from .states import domain_of

PLAN_REASON_PREFIX = "plan: "
SPARE_POOL = ""


def is_drained_by_planner(host: HostState) -> bool:
    """Whether the planner drained this host, and so may assign it to another pool.

    A host that an operator drained stays out of service until the operator returns it.
    """
    return host["reason"].startswith(PLAN_REASON_PREFIX) and not host["wave"]


class Group:
    """The hosts in service for one requirement, counted by failure domain.

    :param requirement: what the service or job pool needs.
    """

    def __init__(self, *, requirement: Requirement) -> None:
        self.requirement = requirement
        self.size = 0
        self.max_domain_size = 0
        self.ids_by_domain: dict[str, set[str]] = {}
        self.size_by_rack: Counter[str] = Counter()
        self.size_by_data_center: Counter[str] = Counter()
        self.size_by_pool: Counter[str] = Counter()
        self.draining_by_pool: Counter[str] = Counter()
        self.out_ids: set[str] = set()
        self._domains_by_size: Counter[int] = Counter()
        self._maintenance_heap: list[tuple[float, str]] = []
        self._maintained_by_id: dict[str, float] = {}

    def add(self, host: HostState) -> None:
        """Count a host that came into service."""
        ids = self.ids_by_domain.setdefault(
            domain_of(host["facts"], self.requirement.survive), set()
        )
        ids.add(host["host"])
        self.size += 1
        self._update_domain_size(len(ids) - 1, len(ids))
        self._count(host, 1)
        self._maintained_by_id[host["host"]] = host["maintained"]
        heapq.heappush(self._maintenance_heap, (host["maintained"], host["host"]))

    def remove(self, host: HostState) -> None:
        """Count a host that left service."""
        domain = domain_of(host["facts"], self.requirement.survive)
        ids = self.ids_by_domain[domain]
        ids.remove(host["host"])
        self.size -= 1
        self._update_domain_size(len(ids) + 1, len(ids))
        self._count(host, -1)
        del self._maintained_by_id[host["host"]]
        if not ids:
            del self.ids_by_domain[domain]

    @property
    def loss(self) -> int:
        """How many hosts are lost with the largest failure domain."""
        if self.requirement.survive == "none":
            return 0
        return min(self.size, 1) if self.requirement.survive == "host" else self.max_domain_size

    @property
    def margin(self) -> int:
        """Hosts to spare once the largest domain is lost; below 0 the budget is broken."""
        return self.size - self.loss - self.requirement.min_hosts

    @property
    def is_short(self) -> bool:
        """Whether the group needs another host, for its budget or for the minimum of a pool."""
        if self.margin < 0:
            return True
        pools = self.requirement.pools
        return any(self.size_by_pool[name] < pools[name].min_hosts for name in pools)

    @property
    def has_surplus(self) -> bool:
        """Whether a host could leave without breaking the budget, ignoring the pools' minimums."""
        if self.size > self.requirement.max_hosts or self.margin > 0:
            return True
        return self.margin == 0 and self._has_single_largest_domain

    @property
    def is_full(self) -> bool:
        """Whether the group has as many hosts as it may; draining hosts still count."""
        return self.size + self.draining_by_pool.total() >= self.requirement.max_hosts

    @property
    def overfull_pools(self) -> list[str]:
        """The pools with more hosts than their maximum."""
        pools = self.requirement.pools
        return [name for name in pools if self.size_by_pool[name] > pools[name].max_hosts]

    def margin_without(self, host: HostState) -> int:
        """The margin if this host left."""
        left = self.size - 1
        if self.requirement.survive == "none":
            loss = 0
        elif self.requirement.survive == "host":
            loss = min(left, 1)
        else:
            ids = self.ids_by_domain[domain_of(host["facts"], self.requirement.survive)]
            is_only_largest = (
                len(ids) == self.max_domain_size
                and self._domains_by_size[self.max_domain_size] == 1
            )
            loss = self.max_domain_size - 1 if is_only_largest else self.max_domain_size
        return left - loss - self.requirement.min_hosts

    def margin_with(self, host: HostState) -> int:
        """The margin if this host joined."""
        if self.requirement.survive in ("none", "host"):
            return self.margin + (1 if self.size or self.requirement.survive == "none" else 0)
        ids = self.ids_by_domain.get(domain_of(host["facts"], self.requirement.survive), ())
        return self.margin + (1 if len(ids) < self.max_domain_size else 0)

    def can_lose(self, host: HostState) -> bool:
        """Whether this host may leave service without breaking a budget."""
        if self.size_by_pool[host["pool"]] <= self.requirement.pools[host["pool"]].min_hosts:
            return False
        return self.margin_without(host) >= 0

    def host_ids(self) -> list[str]:
        """The ids of all hosts in service, sorted."""
        return sorted(host for ids in self.ids_by_domain.values() for host in ids)

    def largest_domain_ids(self) -> list[str]:
        """The ids of the hosts in the largest domains, sorted by domain."""
        full = [d for d, ids in self.ids_by_domain.items() if len(ids) == self.max_domain_size]
        return [host for domain in sorted(full) for host in sorted(self.ids_by_domain[domain])]

    def pool_for_next_host(self) -> str:
        """The pool that another host should join."""
        pools = self.requirement.pools
        short = [name for name in pools if self.size_by_pool[name] < pools[name].min_hosts]
        holding = self.size_by_pool + self.draining_by_pool
        below_max = [name for name in pools if holding[name] < pools[name].max_hosts]
        return min(short or below_max or pools)

    def oldest_maintained(self) -> float | None:
        """When the host that has waited longest for maintenance was last maintained.

        :return: seconds since the epoch, None without hosts in service.
        """
        while self._maintenance_heap:
            maintained, host_id = self._maintenance_heap[0]
            if self._maintained_by_id.get(host_id) == maintained:
                return maintained
            heapq.heappop(self._maintenance_heap)
        return None

    @property
    def _has_single_largest_domain(self) -> bool:
        if self.requirement.survive not in ("rack", "data_center"):
            return False
        return self.max_domain_size > 1 and self._domains_by_size[self.max_domain_size] == 1

    def _update_domain_size(self, before: int, after: int) -> None:
        self._domains_by_size[before] -= 1
        self._domains_by_size[after] += 1
        if after > self.max_domain_size or (
            before == self.max_domain_size and not self._domains_by_size[before]
        ):
            self.max_domain_size = after

    def _count(self, host: HostState, change: int) -> None:
        self.size_by_rack[domain_of(host["facts"], "rack")] += change
        self.size_by_data_center[host["facts"]["data_center"]] += change
        self.size_by_pool[host["pool"]] += change


class Fleet:
    """All hosts, indexed by their use.

    Building the indexes takes time proportional to the size of the fleet, ``update_host`` takes
    constant time. So a daemon applies the records of the log as they come instead of rebuilding the
    indexes for each plan.

    :param declarations_by_key: the declarations in force.
    :param hosts: the hosts of the folded state.
    """

    def __init__(self, *, declarations_by_key: Declarations, hosts: Iterable[HostState]) -> None:
        self.policy = read_policy(declarations_by_key)
        self.hosts_by_id: dict[str, HostState] = {}
        self.groups_by_name: dict[str, Group] = {}
        self.groups_by_pool: dict[str, Group] = {}
        self.free_ids_by_rack: dict[str, set[str]] = {}
        self.emptying_ids: set[str] = set()
        self.emptied_ids: set[str] = set()
        self.out_ids: set[str] = set()
        self.stray_ids: set[str] = set()
        self.short_group_names: set[str] = set()
        self.surplus_group_names: set[str] = set()
        self.overfull_group_names: set[str] = set()
        self._pool_names: set[str] = set()
        self._requirements = read_requirements(declarations_by_key)
        self._build_groups(declarations_by_key)
        for host in hosts:
            self._index(host)
        self._update_all_statuses()

    def update_declarations(self, declarations_by_key: Declarations) -> None:
        """Apply changed declarations; the indexes are rebuilt only if a requirement has changed."""
        self.policy = read_policy(declarations_by_key)
        requirements = read_requirements(declarations_by_key)
        if requirements == self._requirements:
            return
        hosts = list(self.hosts_by_id.values())
        for host in hosts:
            self._unindex(host)
        self._requirements = requirements
        self._build_groups(declarations_by_key)
        for host in hosts:
            self._index(host)
        self._update_all_statuses()

    @property
    def free_count(self) -> int:
        """How many hosts can be assigned immediately."""
        return sum(len(ids) for ids in self.free_ids_by_rack.values())

    def update_host(self, host: HostState) -> HostState | None:
        """Apply a host's new state.

        :return: its previous state, None for a new host.
        """
        before = self.hosts_by_id.get(host["host"])
        if before is not None:
            self._unindex(before)
        self._index(host)
        for state in (before, host):
            group = self.groups_by_pool.get(state["pool"]) if state else None
            if group is not None:
                self._update_status(group)
        return before

    def remove_host(self, host_id: str) -> None:
        """Remove a host from all indexes."""
        host = self.hosts_by_id[host_id]
        self._unindex(host)
        del self.hosts_by_id[host_id]
        group = self.groups_by_pool.get(host["pool"])
        if group is not None:
            self._update_status(group)

    def is_free(self, host: HostState) -> bool:
        """Whether a host can be assigned immediately: spare, or drained by the planner."""
        if host["phase"] == "in_service":
            return host["pool"] == SPARE_POOL
        return host["phase"] == "drained" and is_drained_by_planner(host)

    def _build_groups(self, declarations_by_key: Declarations) -> None:
        self.groups_by_name.clear()
        self.groups_by_pool.clear()
        for name, requirement in self._requirements.items():
            group = Group(requirement=requirement)
            self.groups_by_name[name] = group
            self.groups_by_pool.update(dict.fromkeys(requirement.pools, group))
        self._pool_names = {
            k.partition("/")[2] for k in declarations_by_key if k.startswith("pool/")
        }

    def _index(self, host: HostState) -> None:
        host_id = host["host"]
        self.hosts_by_id[host_id] = host
        group = self.groups_by_pool.get(host["pool"])
        if self.is_free(host):
            self.free_ids_by_rack.setdefault(domain_of(host["facts"], "rack"), set()).add(host_id)
            if host["phase"] == "drained":
                self.emptied_ids.add(host_id)
        elif host["phase"] == "in_service":
            if group is not None:
                group.add(host)
            elif host["pool"] not in self._pool_names:
                self.stray_ids.add(host_id)
        elif host["phase"] == "draining":
            if group is not None:
                group.draining_by_pool[host["pool"]] += 1
            if is_drained_by_planner(host):
                self.emptying_ids.add(host_id)
        if host["wave"] and host["phase"] in ("draining", "drained", "rebooting"):
            self.out_ids.add(host_id)
            if group is not None:
                group.out_ids.add(host_id)

    def _unindex(self, host: HostState) -> None:
        host_id = host["host"]
        group = self.groups_by_pool.get(host["pool"])
        if self.is_free(host):
            rack = domain_of(host["facts"], "rack")
            self.free_ids_by_rack[rack].remove(host_id)
            if not self.free_ids_by_rack[rack]:
                del self.free_ids_by_rack[rack]
        elif group is not None and host["phase"] == "in_service":
            group.remove(host)
        elif group is not None and host["phase"] == "draining":
            group.draining_by_pool[host["pool"]] -= 1
        self.emptied_ids.discard(host_id)
        self.stray_ids.discard(host_id)
        self.emptying_ids.discard(host_id)
        self.out_ids.discard(host_id)
        if group is not None:
            group.out_ids.discard(host_id)

    def _update_all_statuses(self) -> None:
        self.short_group_names.clear()
        self.surplus_group_names.clear()
        self.overfull_group_names.clear()
        for group in self.groups_by_name.values():
            self._update_status(group)

    def _update_status(self, group: Group) -> None:
        name = group.requirement.name
        _set_membership(self.short_group_names, name, group.is_short)
        _set_membership(self.surplus_group_names, name, group.has_surplus)
        _set_membership(self.overfull_group_names, name, bool(group.overfull_pools))


def _set_membership(names: set[str], name: str, is_member: bool) -> None:
    if is_member:
        names.add(name)
    else:
        names.discard(name)
