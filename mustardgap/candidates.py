"""Selects the next host for a group: from the spare pool or from another group's surplus."""

import heapq
from collections.abc import Callable, Collection, Iterator

from .models import HostState
from .placements import Fleet, Group
from .plans import Draft
from .states import domain_of

# An exchange is tried with at most this many other groups, which limits the cost of each plan
# while a shortage can't be resolved.
MAX_EXCHANGE_GROUPS = 8

HostFilter = Callable[[HostState], bool]


class Candidates:
    """Ranks the free hosts for assignment to a group.

    Racks with the fewest hosts of the group, in the rack and in its data center, come first, then
    those with the most free hosts. So racks fill evenly, and later groups still find hosts in
    different racks. Assigning hosts only makes a rack's rank worse, so it suffices to update a rack
    when it reaches the top of its heap.

    :param fleet: the index of hosts and groups.
    :param group: the group that needs hosts.
    """

    def __init__(self, *, fleet: Fleet, group: Group) -> None:
        self._fleet = fleet
        self._group = group
        self._racks_by_data_center: dict[str, list[tuple[int, int, str]]] = {}
        for rack, free in fleet.free_ids_by_rack.items():
            facts = fleet.hosts_by_id[next(iter(free))]["facts"]
            racks = self._racks_by_data_center.setdefault(facts["data_center"], [])
            racks.append(self._rank(rack))
        for racks in self._racks_by_data_center.values():
            heapq.heapify(racks)

    def best_host(self) -> HostState | None:
        """Return the best free host, if any; the caller must assign it before the next call."""
        best: tuple[tuple[int, int, int, int], str] | None = None
        for data_center, racks in self._racks_by_data_center.items():
            self._refresh(racks)
            if racks:
                size, free, rack = racks[0]
                in_data_center = self._group.size_by_data_center[data_center]
                must_survive = self._group.requirement.survive == "data_center"
                rank = (
                    (in_data_center if must_survive else size, size, in_data_center, free),
                    rack,
                )
                best = rank if best is None else min(best, rank)
        return None if best is None else self._pick(best[1])

    def _refresh(self, racks: list[tuple[int, int, str]]) -> None:
        while racks:
            rack = racks[0][-1]
            if rack not in self._fleet.free_ids_by_rack:
                heapq.heappop(racks)
                continue
            rank = self._rank(rack)
            if rank == racks[0]:
                return
            heapq.heapreplace(racks, rank)

    def _rank(self, rack: str) -> tuple[int, int, str]:
        return self._group.size_by_rack[rack], -len(self._fleet.free_ids_by_rack[rack]), rack

    def _pick(self, rack: str) -> HostState:
        pools = self._group.requirement.pools
        hosts = [self._fleet.hosts_by_id[h] for h in self._fleet.free_ids_by_rack[rack]]
        return min(hosts, key=lambda h: (h["pool"] not in pools, h["host"]))


def surplus_hosts(draft: Draft, group: Group) -> Iterator[HostState]:
    """Yield the hosts that a group can lose, those in its largest failure domains first."""
    fleet = draft.fleet
    if not draft.is_settled(group):
        return
    ids = group.largest_domain_ids()
    if group.margin > 0:
        in_largest_domains = set(ids)
        ids += [h for h in group.host_ids() if h not in in_largest_domains]
    for host_id in ids:
        host = fleet.hosts_by_id[host_id]
        if host_id in draft.touched or draft.is_stuck(host):
            continue
        if group.can_lose(host):
            yield host


def improves_group(group: Group, host: HostState) -> bool:
    """Whether a host would raise a group's margin, or only a pool's minimum is missing."""
    return adds_margin(group, host) or group.margin >= 0


def adds_margin(group: Group, host: HostState) -> bool:
    """Whether a host would raise a group's margin."""
    return group.margin_with(host) > group.margin


def least_urgent_first(group: Group) -> tuple[int, str]:
    """Return a sort key that puts the least urgent groups, of the highest number, first."""
    return -group.requirement.urgency, group.requirement.name


def find_donor_host(
    draft: Draft, group: Group, is_useful: HostFilter, excluded_names: Collection[str] = ()
) -> HostState | None:
    """Find a surplus host of another group, searching the least urgent groups first.

    :param is_useful: whether a host would help the group.
    :param excluded_names: names of groups that keep their surplus for now.
    """
    fleet = draft.fleet
    donors = [fleet.groups_by_name[n] for n in fleet.surplus_group_names if n not in excluded_names]
    for donor in sorted(donors, key=least_urgent_first):
        if donor is group:
            continue
        hosts = (host for host in surplus_hosts(draft, donor) if is_useful(host))
        best = min(hosts, key=lambda host: crowding(group, host), default=None)
        if best is not None:
            return best
    return None


def exchange(draft: Draft, group: Group, is_useful: HostFilter) -> bool:
    """Assign a free host that can't help this group to another group that holds one that can.

    The other group's host then becomes surplus, and later plans move it to this group.

    :param is_useful: whether a host would help the group.
    :return: whether a free host was assigned.
    """
    donors = [g for g in draft.fleet.groups_by_name.values() if g is not group]
    for donor in sorted(donors, key=least_urgent_first)[:MAX_EXCHANGE_GROUPS]:
        if donor.is_full or donor.is_short:
            continue
        free = Candidates(fleet=draft.fleet, group=donor).best_host()
        if free is None:
            return False
        count = len(draft.steps)
        name = group.requirement.name
        draft.assign(free, donor.pool_for_next_host(), f"so that a host of use can go to {name}")
        hosts = (draft.fleet.hosts_by_id[h] for h in donor.host_ids())
        if any(donor.can_lose(host) and is_useful(host) for host in hosts):
            return True
        draft.undo_after(count)
    return False


def crowding(group: Group, host: HostState) -> tuple[int, int, str]:
    """Return a sort key that puts hosts first whose domain and rack hold few of the group."""
    domain = domain_of(host["facts"], group.requirement.survive)
    rack = domain_of(host["facts"], "rack")
    return len(group.ids_by_domain.get(domain, ())), group.size_by_rack[rack], host["host"]
