"""Maintenance waves: which hosts to empty, reboot and bring back next.

A service whose margin doesn't let a host go gets a stand-in from the spare pool, all its hosts are
done one after the other, and the stand-in goes on to the next service. So one spare serves the
whole fleet, and a wave costs about one move a service instead of one a host.
"""

import math
from collections.abc import Callable, Collection, Iterable
from functools import partial
from typing import Any

from . import status_codes
from .candidates import HostFilter, adds_margin, crowding, exchange, find_donor_host
from .models import HostState, WaveState
from .placements import SPARE_POOL, Fleet, Group
from .plans import Draft, Step
from .settings import CapacitySettings
from .states import domain_of

STANDING_WAVE = "standing"
# So many hosts are out at once that a round through the whole fleet takes at most this share of the
# period. A round starts so early that it could take a quarter longer and still leave a tenth.
ROUND_SHARE = 0.4
ROUND_SLACK = 1.25
PERIOD_SLACK = 0.1
# A visited service has its hosts done together that have waited for this share of the time after
# which the visit was due, so that it isn't visited for each of them.
INCLUDE_SHARE = 0.5


class Waves:
    """The steps of all waves in one plan.

    :param draft: the plan being drafted.
    :param waves: the waves that operators started.
    :param settings: how long a host may take to return.
    """

    def __init__(
        self, *, draft: Draft, waves: Iterable[WaveState], settings: CapacitySettings
    ) -> None:
        self.waiting: dict[str, str] = {}
        self.finished: list[str] = []
        self.held_names: set[str] = set()
        self._draft = draft
        self._fleet = draft.fleet
        self._now = draft.now
        self._settings = settings
        self._period = draft.fleet.policy["maintain_every_s"]
        self._visit_age = visit_age(draft.fleet)
        self._started = sorted(
            (w for w in waves if w["phase"] != "finished"), key=lambda w: (w["started"], w["wave"])
        )
        self._started_by_group: dict[str, dict[str, str]] = {}
        self._standing_names: set[str] = set()

    @property
    def lent(self) -> int:
        """How many services a wave is at work on, each with a stand-in or a margin of its own."""
        groups = (self._fleet.groups_by_name[n] for n in self.held_names)
        return sum(1 for group in groups if group.has_surplus or group.out_ids)

    def proceed(self) -> None:
        """Go on with the hosts that are out, then take out the next ones."""
        for host_id in sorted(self._fleet.out_ids - self._draft.touched):
            self._go_on(self._fleet.hosts_by_id[host_id])
        for wave in self._started:
            self._look_through(wave)
        self._find_overdue()
        out = {name for name, group in self._fleet.groups_by_name.items() if group.out_ids}
        due = self._started_by_group.keys() | self._standing_names
        self.held_names = (out | due) - {SPARE_POOL}
        limit = most_out(self._fleet)
        active = len(out - due) + len(self._fleet.emptying_ids)
        for name in sorted(due - {SPARE_POOL}, key=self._visit_order):
            if active >= limit:
                return
            active += self._visit(self._fleet.groups_by_name[name], limit)
        self._visit_spares(limit)

    def _go_on(self, host: HostState) -> None:
        waited = self._now - host["since"]
        if host["phase"] == "drained":
            self._draft.reboot(host, f"wave {host['wave']}")
        elif host["phase"] == "draining":
            if self._draft.is_overdue(host):
                self._draft.cancel_overdue_drain(host)
        elif waited > max(self._settings.return_timeout_s, self._fleet.policy["reboot_s"]):
            code = status_codes.HOST_WONT_RETURN
            self._draft.set_aside(host, f"{code}: not back after {waited:.0f} s")

    def _look_through(self, wave: WaveState) -> None:
        hosts_by_id = self._fleet.hosts_by_id
        is_done = True
        for host_id in wave["hosts"]:
            host = hosts_by_id.get(host_id)
            if host is None or host["maintained"] >= wave["started"]:
                continue
            if host["wave"] and host_id in self._fleet.out_ids:
                is_done = False
            elif host["phase"] == "in_service" and not self._draft.is_stuck(host):
                is_done = False
                if wave["phase"] == "running":
                    group = self._fleet.groups_by_pool.get(host["pool"])
                    name = SPARE_POOL if group is None else group.requirement.name
                    self._started_by_group.setdefault(name, {})[host_id] = wave["wave"]
        if is_done:
            self.finished.append(wave["wave"])

    def _find_overdue(self) -> None:
        for name, group in self._fleet.groups_by_name.items():
            oldest = group.oldest_maintained()
            age = 0.0 if oldest is None else self._now - oldest
            if age > self._visit_age:
                self._standing_names.add(name)
            if age > self._period:
                late = f"{(age - self._period) / 3600:.1f} hours"
                self._draft.problems.append(f"a host of {name} is {late} late for maintenance")

    def _due(self, name: str, hosts: Iterable[HostState]) -> dict[str, str]:
        """The hosts that may be taken out, and for which wave."""
        started = self._started_by_group.get(name, {})
        due: dict[str, str] = {}
        is_standing = name in self._standing_names
        last = self._now - self._visit_age * INCLUDE_SHARE
        for host in hosts:
            host_id = host["host"]
            if host_id in self._draft.touched:
                continue
            if host_id in started:
                due[host_id] = started[host_id]
            elif is_standing and host["maintained"] < last and not self._draft.is_stuck(host):
                due[host_id] = STANDING_WAVE
        return due

    def _visit_order(self, name: str) -> tuple[bool, bool, float, str]:
        group = self._fleet.groups_by_name[name]
        return not group.out_ids, not group.has_surplus, group.oldest_maintained() or 0.0, name

    def _visit(self, group: Group, limit: int) -> bool:
        """Take out what may go now; return whether the wave is at work on this group."""
        if not group.has_surplus and (group.out_ids or self._fleet.short_group_names):
            return self._is_busy(group)
        if not self._draft.is_settled(group):
            self._wait(group, "a host has only just come into service")
            return True
        due = self._due(group.requirement.name, self._hosts(group))
        if not due:
            return bool(group.out_ids)
        host = self._next_host(group, due)
        if host is None:
            return bool(group.out_ids) or self._send_stand_in(group, due)
        while host is not None and len(self._fleet.out_ids) < limit:
            wave = due.pop(host["host"])
            self._draft.drain(host, f"wave {wave}", wave=wave)
            host = self._next_host(group, due)
        return True

    def _is_busy(self, group: Group) -> bool:
        if self._fleet.short_group_names:
            short = ", ".join(sorted(self._fleet.short_group_names)[:5])
            self._wait(group, f"{status_codes.WAVE_PAUSED_MARGIN}: {short} lacks hosts")
        return bool(group.out_ids)

    def _next_host(self, group: Group, due: dict[str, str]) -> HostState | None:
        hosts = (self._fleet.hosts_by_id[h] for h in due if h not in self._draft.touched)
        possible = [host for host in hosts if group.can_lose(host)]
        return min(possible, key=lambda h: (*_place(h), h["maintained"], h["host"]), default=None)

    def _send_stand_in(self, group: Group, due: dict[str, str]) -> bool:
        if self._fleet.short_group_names:
            # Spare hosts are for the services that a failure has left short.
            return self._is_busy(group)
        if group.is_full:
            self._wait(group, "it has no margin, and no room for a stand-in")
        elif self._find_stand_in(group, due):
            return True
        else:
            self._wait(group, "it has no margin, and no spare host is of use as a stand-in")
        # Its surplus, if any, is of no use to it now, and may be just what another service needs.
        self.held_names.discard(group.requirement.name)
        return False

    def _find_stand_in(self, group: Group, due: dict[str, str]) -> bool:
        hosts = (self._fleet.hosts_by_id[host_id] for host_id in due)
        domains = {domain_of(host["facts"], group.requirement.survive) for host in hosts}
        kinds = (partial(adds_margin, group), partial(_is_in, domains, group))
        # A host that was emptied for this already comes before all others.
        if any(self._assign_stand_in(group, kind, self._fleet.emptied_ids) for kind in kinds):
            return True
        weights = self._draft.weights
        ways: list[Callable[[Group, HostFilter], bool]] = [
            self._assign_stand_in,
            self._move_stand_in,
        ]
        # Surplus that is about to be given back costs one move when it goes on to the next service
        # at once, and two by way of the spare pool. Otherwise a spare host disturbs nobody.
        is_last = self._fleet.free_count <= self._fleet.policy["spare_hosts"]
        if weights.buffer > weights.move or is_last:
            ways.reverse()
        if any(way(group, kind) for kind in kinds for way in ways):
            return True
        return exchange(self._draft, group, partial(adds_margin, group))

    def _assign_stand_in(
        self, group: Group, wanted: HostFilter, among: Collection[str] | None = None
    ) -> bool:
        if among is None:
            among = [h for ids in self._fleet.free_ids_by_rack.values() for h in ids]
        hosts = [self._fleet.hosts_by_id[h] for h in among if h not in self._draft.touched]
        fitting = [host for host in hosts if wanted(host)]
        host = min(fitting, key=partial(crowding, group), default=None)
        if host is None:
            return False
        reason = f"stands in while hosts of {group.requirement.name} are maintained"
        self._draft.assign(host, group.pool_for_next_host(), reason)
        return True

    def _move_stand_in(self, group: Group, wanted: HostFilter) -> bool:
        idle = self._fleet.surplus_group_names - self.held_names
        host = find_donor_host(self._draft, group, wanted, self.held_names)
        if host is None:
            return any(not self._draft.is_settled(self._fleet.groups_by_name[n]) for n in idle)
        reason = f"stands in while hosts of {group.requirement.name} are maintained"
        self._draft.move(host, group.pool_for_next_host(), reason)
        return True

    def _visit_spares(self, limit: int) -> None:
        started = self._started_by_group.get(SPARE_POOL, {})
        last = self._now - self._visit_age
        free = (h for ids in self._fleet.free_ids_by_rack.values() for h in ids)
        hosts = [self._fleet.hosts_by_id[h] for h in free if h not in self._draft.touched]
        due = [h for h in hosts if h["host"] in started or h["maintained"] < last]
        due = [h for h in due if h["phase"] == "in_service" and not self._draft.is_stuck(h)]
        # The last spare is the wave's only stand-in: it is done when no service needs it.
        is_needed = bool(self.held_names or self._fleet.short_group_names)
        if not due or len(self._fleet.out_ids) >= limit or (len(hosts) < 2 and is_needed):
            return
        host = min(due, key=lambda h: (h["maintained"], h["host"]))
        wave = started.get(host["host"], STANDING_WAVE)
        self._draft.drain(host, f"wave {wave}", wave=wave)

    def _hosts(self, group: Group) -> list[HostState]:
        return [self._fleet.hosts_by_id[host_id] for host_id in group.host_ids()]

    def _wait(self, group: Group, reason: str) -> None:
        name = group.requirement.name
        waves = set(self._started_by_group.get(name, {}).values())
        if name in self._standing_names:
            waves.add(STANDING_WAVE)
        for wave in waves:
            self.waiting.setdefault(wave, f"{name}: {reason}")


def most_out(fleet: Fleet) -> int:
    """How many hosts may be out at once so that a round takes its share of the period."""
    return max(1, math.ceil(_round_s(fleet) / (fleet.policy["maintain_every_s"] * ROUND_SHARE)))


def visit_age(fleet: Fleet) -> float:
    """How many seconds after its last maintenance a host is due, so that a round ends in time."""
    round_s = _round_s(fleet) / most_out(fleet)
    return fleet.policy["maintain_every_s"] * (1 - PERIOD_SLACK) - round_s * ROUND_SLACK


def _round_s(fleet: Fleet) -> float:
    """Seconds that a round would take with one host out at a time."""
    groups = fleet.groups_by_name.values()
    drain_s = sum(g.size * g.requirement.drain_s for g in groups)
    return len(fleet.hosts_by_id) * fleet.policy["reboot_s"] + drain_s


def next_steps(
    *, state: Any, wave: WaveState | None, now: float, settings: CapacitySettings
) -> list[Step]:
    """Decide the next steps of one wave alone, or of the standing one when ``wave`` is None.

    :param state: the folded state.
    :rtype: list[Step]
    """
    fleet = Fleet(declarations_by_key=state.declarations_by_key, hosts=state.hosts_by_name.values())
    draft = Draft(fleet=fleet, now=now)
    started = [] if wave is None else [wave]
    Waves(draft=draft, waves=started, settings=settings).proceed()
    return draft.steps


def _is_in(domains: set[str], group: Group, host: HostState) -> bool:
    """Whether a host stands in one of these domains: there it lets others go, one at a time."""
    return domain_of(host["facts"], group.requirement.survive) in domains


def _place(host: HostState) -> tuple[str, str]:
    return host["facts"]["data_center"], host["facts"]["rack"]
