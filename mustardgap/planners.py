"""The planner: assigns hosts to pools by local repair of the current assignment."""

from collections.abc import Mapping
from functools import partial
from typing import Any

from .candidates import (
    Candidates,
    exchange,
    find_donor_host,
    improves_group,
    least_urgent_first,
    surplus_hosts,
)
from .placements import SPARE_POOL, Fleet, Group
from .plans import Draft, Plan, Weights
from .settings import CapacitySettings
from .waves import Waves

# The approximate limit of steps in one plan. Without it, planning a new fleet would keep a daemon
# busy for a second at a time. The plans that follow continue with the remaining steps.
MAX_STEPS = 200
# The ratio of free hosts to missing hosts from which the services don't compete for free hosts.
AMPLE_FREE_RATIO = 1.2
# The failure domains that a budget can name, from the largest to none.
DOMAINS_LARGEST_FIRST = ("data_center", "rack", "host", "none")
NO_LEAVING_HOSTS: Mapping[str, float] = {}


class Planner:
    """Keeps an index of the folded state and plans from it.

    The same state and time give the same plan, whether this planner has followed the log for days
    or has just started. So any daemon can plan, and it doesn't matter how often.

    :param state: the folded state.
    :param settings: the capacity settings, which set the pace of waves; the defaults when None.
    """

    def __init__(self, *, state: Any, settings: CapacitySettings | None = None) -> None:
        self.settings = settings or CapacitySettings()
        self._state = state
        self._fleet = Fleet(
            declarations_by_key=state.declarations_by_key, hosts=state.hosts_by_name.values()
        )
        self._declarations_changed = False

    @property
    def fleet(self) -> Fleet:
        """The index of hosts and groups that plans are computed on."""
        return self._fleet

    def observe(self, kind: str, body: Mapping[str, Any]) -> None:
        """Apply one accepted record to the index, after the state has applied it."""
        if kind == "host":
            self.refresh(body["host"])
        elif kind == "config":
            self._declarations_changed = True

    def refresh(self, host_id: str) -> None:
        """Update one host in the index from the state."""
        host = self._state.hosts_by_name.get(host_id)
        if host is not None:
            self._fleet.update_host(host)
        elif host_id in self._fleet.hosts_by_id:
            self._fleet.remove_host(host_id)

    def plan(
        self,
        *,
        now: float,
        weights: Weights | None = None,
        leaving: Mapping[str, float] = NO_LEAVING_HOSTS,
    ) -> Plan:
        """Decide the next steps.

        :param now: seconds since the epoch.
        :param weights: the costs of buffer and moves; those of the policy when None.
        :param leaving: hosts that leave on short notice, with the time in seconds since the epoch
            at which this was first seen.
        :rtype: Plan
        """
        fleet = self._fleet
        if self._declarations_changed:
            fleet.update_declarations(self._state.declarations_by_key)
            self._declarations_changed = False
        draft = Draft(fleet=fleet, now=now, weights=weights)
        waves = Waves(draft=draft, waves=self._state.waves_by_name.values(), settings=self.settings)
        try:
            drain_leaving(draft, leaving)
            cancel_overdue_drains(draft)
            shrink_pools(draft)
            fill_short_groups(draft)
            waves.plan_steps()
            release_surplus(draft, waves)
            assign_emptied_to_spare(draft)
        finally:
            draft.undo()
        return Plan(draft.steps, draft.problems, waves.waiting, waves.finished)


def plan(
    *,
    state: Any,
    now: float,
    weights: Weights | None = None,
    settings: CapacitySettings | None = None,
    leaving: Mapping[str, float] = NO_LEAVING_HOSTS,
) -> Plan:
    """Decide the next steps from the folded state alone.

    :rtype: Plan
    """
    return Planner(state=state, settings=settings).plan(now=now, weights=weights, leaving=leaving)


def drain_leaving(draft: Draft, leaving: Mapping[str, float]) -> None:
    """Drain the hosts that leave on short notice; this comes before all other steps.

    A host that its group can't lose stays in service until a replacement is in service. The draft
    no longer counts it, so ``fill_short_groups`` finds the replacement.
    """
    for host_id in sorted(leaving):
        host = draft.fleet.hosts_by_id.get(host_id)
        if host is None:
            continue
        if host["phase"] != "in_service":
            draft.withhold(host)
            continue
        group = draft.fleet.groups_by_pool.get(host["pool"])
        if group is None or group.can_lose(host):
            draft.drain(
                host, f"leaves on short notice, listed since {leaving[host_id]:.0f}", planned=False
            )
        else:
            draft.withhold(host)


def cancel_overdue_drains(draft: Draft) -> None:
    """Cancel the planned drains of hosts that didn't become empty in time.

    Without this the services would wait for such a host forever, as it is neither free nor in
    service.
    """
    for host_id in sorted(draft.fleet.emptying_ids - draft.touched):
        host = draft.fleet.hosts_by_id[host_id]
        if draft.is_overdue(host):
            draft.emptying_count -= 1
            draft.cancel_overdue_drain(host)


def shrink_pools(draft: Draft) -> None:
    """Drain hosts of pools that hold more than their maximum.

    If the group can't lose a host but is below its own maximum, the host is no longer counted, so
    that another pool of the service gets a host first.
    """
    fleet = draft.fleet
    for name in sorted(fleet.overfull_group_names):
        group = fleet.groups_by_name[name]
        hosts = [fleet.hosts_by_id[h] for h in group.host_ids() if h not in draft.touched]
        for host in hosts:
            pool = host["pool"]
            if group.size_by_pool[pool] <= group.requirement.pools[pool].max_hosts:
                continue
            if group.can_lose(host):
                draft.drain(host, f"pool {pool} holds more hosts than it may")
            elif not group.is_full:
                draft.withhold(host)


def fill_short_groups(draft: Draft) -> None:
    """Find hosts for the services that lack them.

    When hosts are scarce, the most urgent service comes first. The sources are, in this order: the
    service's own hosts whose drain can be cancelled, the spare pool, hosts that are already being
    emptied, and the surplus of the least urgent service.
    """
    groups = [draft.fleet.groups_by_name[name] for name in draft.fleet.short_group_names]
    if len(groups) > 1 and _has_ample_free_hosts(draft, groups):
        step_count, emptying_count = len(draft.steps), draft.emptying_count
        _fill_groups(draft, sorted(groups, key=_most_constrained_first))
        if not draft.problems:
            return
        # Some groups are still short, so start again with the most urgent group first.
        draft.undo_after(step_count)
        draft.emptying_count = emptying_count
        draft.problems.clear()
    _fill_groups(draft, sorted(groups, key=_most_urgent_first))


def _fill_groups(draft: Draft, groups: list[Group]) -> None:
    for group in groups:
        if len(draft.steps) >= MAX_STEPS:
            return
        _undrain_own(draft, group)
        _assign_free(draft, group)
        if len(draft.steps) >= MAX_STEPS:
            return
        missing = _count_missing(group)
        reserved = min(draft.emptying_count, missing)
        draft.emptying_count -= reserved
        missing -= reserved + _move_surplus(draft, group, missing - reserved)
        if missing > 0 and not exchange(draft, group, partial(improves_group, group)):
            draft.problems.append(_shortage(group, missing))


def _has_ample_free_hosts(draft: Draft, groups: list[Group]) -> bool:
    missing = sum(_count_missing(group) for group in groups)
    return draft.fleet.free_count >= missing * AMPLE_FREE_RATIO


def release_surplus(draft: Draft, waves: Waves) -> None:
    """Drain surplus hosts so that they return to the spare pool, which all services share.

    Each return costs a move, so it happens only when the spare pool is short, when the service
    holds more than its maximum, or when buffer costs more than moves. A service with a wave in
    progress keeps its stand-in host until the wave has done all its hosts. The host then goes to
    the next service that is due, if there is one.
    """
    fleet = draft.fleet
    shrinks_buffer = draft.weights.buffer > draft.weights.move and not waves.held_names
    missing_spares = (
        fleet.policy["spare_hosts"]
        - fleet.free_count
        - draft.emptying_count
        - waves.active_group_count
    )
    groups = [fleet.groups_by_name[name] for name in fleet.surplus_group_names]
    for group in sorted(groups, key=least_urgent_first):
        name = group.requirement.name
        while group.has_surplus:
            too_large = group.size > group.requirement.max_hosts
            is_return_due = missing_spares > 0 or shrinks_buffer
            if not too_large and (not is_return_due or name in waves.held_names):
                break
            host = next(iter(surplus_hosts(draft, group)), None)
            if host is None:
                break
            draft.drain(host, f"{name} has {group.size} hosts, its margin is {group.margin}")
            missing_spares -= 1
    for host_id in sorted(fleet.stray_ids - draft.touched):
        host = fleet.hosts_by_id[host_id]
        draft.drain(host, f"pool {host['pool']} isn't declared")


def assign_emptied_to_spare(draft: Draft) -> None:
    """Assign emptied hosts that no pool needs to the spare pool."""
    fleet = draft.fleet
    for host_id in sorted(fleet.emptied_ids - draft.touched):
        draft.assign(fleet.hosts_by_id[host_id], SPARE_POOL, "no pool needs it")


def _most_constrained_first(group: Group) -> tuple[int, int, str]:
    """Sort groups that must survive the loss of larger failure domains first.

    Fewer hosts suit such a group, so it chooses while the most hosts are free.
    """
    need = group.requirement
    return DOMAINS_LARGEST_FIRST.index(need.survive), -need.min_hosts, need.name


def _most_urgent_first(group: Group) -> tuple[int, str]:
    return group.requirement.urgency, group.requirement.name


def _count_missing(group: Group) -> int:
    pools = group.requirement.pools
    in_pools = sum(max(0, p.min_hosts - group.size_by_pool[name]) for name, p in pools.items())
    return max(-group.margin, in_pools, 0)


def _undrain_own(draft: Draft, group: Group) -> None:
    fleet = draft.fleet
    own = [fleet.hosts_by_id[host_id] for host_id in sorted(group.out_ids - draft.touched)]
    for host in own:
        if not group.is_short:
            return
        if host["phase"] in ("draining", "drained"):
            draft.undrain(host, f"{group.requirement.name} lost its margin", 1)
    for host_id in sorted(fleet.emptying_ids - draft.touched):
        host = fleet.hosts_by_id[host_id]
        if not group.is_short or not draft.emptying_count:
            return
        if host["pool"] in group.requirement.pools:
            draft.emptying_count -= 1
            draft.undrain(host, f"{group.requirement.name} needs it again", 1)


def _assign_free(draft: Draft, group: Group) -> None:
    """Assign free hosts until the budget holds.

    Hosts assigned last that don't reduce the shortage stay free.
    """
    candidates = Candidates(fleet=draft.fleet, group=group)
    useful_count = len(draft.steps)
    least_missing = _count_missing(group)
    while group.is_short and not group.is_full and len(draft.steps) < MAX_STEPS:
        host = candidates.best_host()
        if host is None:
            break
        gain = group.margin_with(host) - group.margin
        name = group.requirement.name
        reason = f"{name} has {group.size} hosts and a margin of {group.margin}"
        draft.assign(host, group.pool_for_next_host(), reason, gain)
        if _count_missing(group) < least_missing:
            least_missing = _count_missing(group)
            useful_count = len(draft.steps)
    draft.undo_after(useful_count)


def _move_surplus(draft: Draft, group: Group, missing: int) -> int:
    """Drain hosts of other groups for this one.

    :return: the number of hosts.
    """
    moved = 0
    while moved < missing and not group.is_full:
        host = find_donor_host(draft, group, partial(improves_group, group))
        if host is None:
            break
        reason = f"{group.requirement.name} lacks {missing - moved} hosts and no spare is left"
        draft.move(host, group.pool_for_next_host(), reason, 1)
        moved += 1
    return moved


def _shortage(group: Group, missing: int) -> str:
    need = group.requirement
    if group.is_full:
        return f"{need.name} lacks {missing} hosts but holds all its room, {need.max_hosts}"
    return (
        f"{need.name} lacks {missing} hosts: {group.size} in service, {group.loss} of them in one "
        f"{need.survive.replace('_', ' ')}, {need.min_hosts} must stay; no spare or surplus is left"
    )
