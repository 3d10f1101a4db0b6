"""The planner: which host serves in which pool, by local repair of what is."""

from collections.abc import Mapping
from functools import partial
from typing import Any

from .candidates import (
    Candidates,
    exchange,
    find_donation,
    gains,
    least_urgent_first,
    surplus_hosts,
)
from .placements import SPARE_POOL, Fleet, Group
from .plans import Draft, Plan, Weights
from .settings import CapacitySettings
from .waves import Waves

# A plan holds at most about this many steps, so that a new fleet doesn't keep a daemon busy for a
# second at a time; the next plans go on from there.
MOST_STEPS = 200
# With this many free hosts for each missing one, no service need go short for another.
PLENTY = 1.2
CONSTRAINED = ("data_center", "rack", "host", "none")
NOBODY: Mapping[str, float] = {}


class Planner:
    """Follows the folded state and plans from it.

    The same state and time give the same plan, whether this planner has followed the log for days
    or was started a moment ago. So it doesn't matter which daemon plans, nor how often.

    :param state: the folded state.
    :param settings: the pace of waves.
    """

    def __init__(self, *, state: Any, settings: CapacitySettings | None = None) -> None:
        self.settings = settings or CapacitySettings()
        self._state = state
        self._fleet = Fleet(
            declarations_by_key=state.declarations_by_key, hosts=state.hosts_by_name.values()
        )
        self._declared = False

    @property
    def fleet(self) -> Fleet:
        """The index that plans are made on."""
        return self._fleet

    def observe(self, kind: str, body: Mapping[str, Any]) -> None:
        """Follow one accepted record; call it after the state has taken the record in."""
        if kind == "host":
            self.refresh(body["host"])
        elif kind == "config":
            self._declared = True

    def refresh(self, host_id: str) -> None:
        """Take over one host from the state."""
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
        leaving: Mapping[str, float] = NOBODY,
    ) -> Plan:
        """Decide the next steps.

        :param now: seconds since the epoch.
        :param weights: what buffer and moves cost; those of the policy when None.
        :param leaving: hosts that leave on short notice, and when that was first seen.
        :rtype: Plan
        """
        fleet = self._fleet
        if self._declared:
            fleet.update_declarations(self._state.declarations_by_key)
            self._declared = False
        draft = Draft(fleet=fleet, now=now, weights=weights)
        waves = Waves(draft=draft, waves=self._state.waves_by_name.values(), settings=self.settings)
        try:
            empty_leaving(draft, leaving)
            give_up_drains(draft)
            shrink_pools(draft)
            fill_short(draft)
            waves.plan_steps()
            release_surplus(draft, waves)
            settle_emptied(draft)
        finally:
            draft.undo()
        return Plan(draft.steps, draft.problems, waves.waiting, waves.finished)


def plan(
    *,
    state: Any,
    now: float,
    weights: Weights | None = None,
    settings: CapacitySettings | None = None,
    leaving: Mapping[str, float] = NOBODY,
) -> Plan:
    """Decide the next steps from the folded state alone.

    :rtype: Plan
    """
    return Planner(state=state, settings=settings).plan(now=now, weights=weights, leaving=leaving)


def empty_leaving(draft: Draft, leaving: Mapping[str, float]) -> None:
    """Drain the hosts that leave on short notice, before all else.

    Where the budget has no margin the host serves on until its replacement is in service, which
    ``fill_short`` finds because the host isn't counted on any more.
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


def give_up_drains(draft: Draft) -> None:
    """Take back the planned drains of hosts that don't become empty.

    Such a host would be waited for without end: it isn't free, and it isn't in service either.
    """
    for host_id in sorted(draft.fleet.emptying_ids - draft.touched):
        host = draft.fleet.hosts_by_id[host_id]
        if draft.is_overdue(host):
            draft.pending -= 1
            draft.give_up_drain(host)


def shrink_pools(draft: Draft) -> None:
    """Empty hosts of pools that hold more than they may.

    Where the budget has no margin and its service has room, another pool's host comes first.
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


def fill_short(draft: Draft) -> None:
    """Bring hosts to the services that lack them, when they are scarce the most urgent first.

    In turn: a host of their own whose drain can be taken back, the spare pool, a host that is being
    emptied already, and the surplus of the least urgent service.
    """
    groups = [draft.fleet.groups_by_name[name] for name in draft.fleet.short_group_names]
    if len(groups) > 1 and _is_plenty(draft, groups):
        start, pending = len(draft.steps), draft.pending
        _fill(draft, sorted(groups, key=_most_constrained_first))
        if not draft.problems:
            return
        # Not all get enough after all, so the urgent ones must come first.
        draft.keep(start)
        draft.pending = pending
        draft.problems.clear()
    _fill(draft, sorted(groups, key=_most_urgent_first))


def _fill(draft: Draft, groups: list[Group]) -> None:
    for group in groups:
        if len(draft.steps) >= MOST_STEPS:
            return
        _undrain_own(draft, group)
        _assign_free(draft, group)
        if len(draft.steps) >= MOST_STEPS:
            return
        missing = _missing(group)
        reserved = min(draft.pending, missing)
        draft.pending -= reserved
        missing -= reserved + _move_surplus(draft, group, missing - reserved)
        if missing > 0 and not exchange(draft, group, partial(gains, group)):
            draft.problems.append(_shortage(group, missing))


def _is_plenty(draft: Draft, groups: list[Group]) -> bool:
    wanted = sum(_missing(group) for group in groups)
    return draft.fleet.free_count >= wanted * PLENTY


def release_surplus(draft: Draft, waves: Waves) -> None:
    """Give hosts that aren't needed back to the spare pool, where all services share them.

    It costs a move, so it is done when the spare pool is short, when the service holds more than it
    may, or when buffer costs the user more than moves. A service that a wave is at work on keeps
    its stand-in until all its hosts are done; then the next service has it, if one is due.
    """
    fleet = draft.fleet
    is_dear = draft.weights.buffer > draft.weights.move and not waves.held_names
    lacking = (
        fleet.policy["spare_hosts"] - fleet.free_count - draft.pending - waves.active_group_count
    )
    groups = [fleet.groups_by_name[name] for name in fleet.surplus_group_names]
    for group in sorted(groups, key=least_urgent_first):
        name = group.requirement.name
        while group.has_surplus:
            too_large = group.size > group.requirement.max_hosts
            wanted = lacking > 0 or is_dear
            if not too_large and (not wanted or name in waves.held_names):
                break
            host = next(iter(surplus_hosts(draft, group)), None)
            if host is None:
                break
            draft.drain(host, f"{name} has {group.size} hosts, its margin is {group.margin}")
            lacking -= 1
    for host_id in sorted(fleet.stray_ids - draft.touched):
        host = fleet.hosts_by_id[host_id]
        draft.drain(host, f"pool {host['pool']} isn't declared")


def settle_emptied(draft: Draft) -> None:
    """Put hosts that were emptied, and that nobody needs now, into the spare pool."""
    fleet = draft.fleet
    for host_id in sorted(fleet.emptied_ids - draft.touched):
        draft.assign(fleet.hosts_by_id[host_id], SPARE_POOL, "no pool needs it")


def _most_constrained_first(group: Group) -> tuple[int, int, str]:
    """The larger its domains, the fewer hosts suit a group; it chooses while there is a choice."""
    need = group.requirement
    return CONSTRAINED.index(need.survive), -need.min_hosts, need.name


def _most_urgent_first(group: Group) -> tuple[int, str]:
    return group.requirement.urgency, group.requirement.name


def _missing(group: Group) -> int:
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
        if not group.is_short or not draft.pending:
            return
        if host["pool"] in group.requirement.pools:
            draft.pending -= 1
            draft.undrain(host, f"{group.requirement.name} needs it again", 1)


def _assign_free(draft: Draft, group: Group) -> None:
    """Assign free hosts until the budget holds; those at the end that gain nothing stay free."""
    candidates = Candidates(fleet=draft.fleet, group=group)
    useful = len(draft.steps)
    best = _missing(group)
    while group.is_short and not group.is_full and len(draft.steps) < MOST_STEPS:
        host = candidates.take()
        if host is None:
            break
        gain = group.margin_with(host) - group.margin
        name = group.requirement.name
        reason = f"{name} has {group.size} hosts and a margin of {group.margin}"
        draft.assign(host, group.pool_for_next_host(), reason, gain)
        if _missing(group) < best:
            best = _missing(group)
            useful = len(draft.steps)
    draft.keep(useful)


def _move_surplus(draft: Draft, group: Group, missing: int) -> int:
    """Empty hosts of other groups for this one; return how many."""
    moved = 0
    while moved < missing and not group.is_full:
        host = find_donation(draft, group, partial(gains, group))
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
