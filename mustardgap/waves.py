"""Maintenance waves: choose which hosts to drain, reboot and return to service next.

A service without the margin to lose a host first gets a stand-in host, usually from the spare pool.
Its hosts are then maintained one after the other, and the stand-in moves on to the next service. A
single spare host is thus enough for the whole fleet, and a wave costs about one move per service
instead of one per host.
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

# Names the wave that maintains hosts as their period requires it, without an operator.
STANDING_WAVE = "standing"
# A round maintains every host of the fleet once. The limit of hosts out at once is set so that a
# round takes at most this share of the maintenance period.
MAX_ROUND_SHARE = 0.4
# Hosts are due so early that a round can take this many times its expected time and still end
# within the maintenance period.
ROUND_TIME_FACTOR = 1.25
# This share of the maintenance period is left after the end of such a slow round.
PERIOD_RESERVE_SHARE = 0.1
# When one host of a service is due, its other hosts are maintained along with it if the time since
# their last maintenance is above this share of the due age. So maintenance of the service doesn't
# begin anew for each of them.
INCLUDE_AGE_SHARE = 0.5


class Waves:
    """Adds the steps of all waves to one plan.

    :param draft: the plan being drafted.
    :param waves: the waves started by operators; finished ones are ignored.
    :param settings: the settings with the time limit for a host's return from a reboot.
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
        self._period_s = draft.fleet.policy["maintain_every_s"]
        self._due_age_s = due_age_s(draft.fleet)
        self._open_waves = sorted(
            (w for w in waves if w["phase"] != "finished"), key=lambda w: (w["started"], w["wave"])
        )
        self._started_waves_by_group: dict[str, dict[str, str]] = {}
        self._standing_group_names: set[str] = set()

    @property
    def active_group_count(self) -> int:
        """Count the services under maintenance, each with a stand-in or surplus of its own."""
        groups = (self._fleet.groups_by_name[n] for n in self.held_names)
        return sum(1 for group in groups if group.has_surplus or group.out_ids)

    def plan_steps(self) -> None:
        """Add the next steps of the hosts that are out, then drain further hosts."""
        for host_id in sorted(self._fleet.out_ids - self._draft.touched):
            self._continue_host(self._fleet.hosts_by_id[host_id])
        for wave in self._open_waves:
            self._scan_wave(wave)
        self._find_due_groups()
        out_names = {name for name, group in self._fleet.groups_by_name.items() if group.out_ids}
        due_names = self._started_waves_by_group.keys() | self._standing_group_names
        self.held_names = (out_names | due_names) - {SPARE_POOL}
        limit = max_hosts_out(self._fleet)
        active_count = len(out_names - due_names) + len(self._fleet.emptying_ids)
        for name in sorted(due_names - {SPARE_POOL}, key=self._group_order):
            if active_count >= limit:
                return
            active_count += self._maintain_group(self._fleet.groups_by_name[name], limit)
        self._maintain_spares(limit)

    def _continue_host(self, host: HostState) -> None:
        waited_s = self._now - host["since"]
        if host["phase"] == "drained":
            self._draft.reboot(host, f"wave {host['wave']}")
        elif host["phase"] == "draining":
            if self._draft.is_overdue(host):
                self._draft.cancel_overdue_drain(host)
        elif waited_s > max(self._settings.return_timeout_s, self._fleet.policy["reboot_s"]):
            code = status_codes.HOST_WONT_RETURN
            self._draft.set_aside(host, f"{code}: not back after {waited_s:.0f} s")

    def _scan_wave(self, wave: WaveState) -> None:
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
                    self._started_waves_by_group.setdefault(name, {})[host_id] = wave["wave"]
        if is_done:
            self.finished.append(wave["wave"])

    def _find_due_groups(self) -> None:
        for name, group in self._fleet.groups_by_name.items():
            oldest = group.oldest_maintained()
            age = 0.0 if oldest is None else self._now - oldest
            if age > self._due_age_s:
                self._standing_group_names.add(name)
            if age > self._period_s:
                delay = f"{(age - self._period_s) / 3600:.1f} hours"
                self._draft.problems.append(f"a host of {name} is {delay} late for maintenance")

    def _find_due_hosts(self, name: str, hosts: Iterable[HostState]) -> dict[str, str]:
        """Return the names of the waves by the hosts that are due for them."""
        started = self._started_waves_by_group.get(name, {})
        due: dict[str, str] = {}
        is_standing = name in self._standing_group_names
        due_before = self._now - self._due_age_s * INCLUDE_AGE_SHARE
        for host in hosts:
            host_id = host["host"]
            if host_id in self._draft.touched:
                continue
            if host_id in started:
                due[host_id] = started[host_id]
            elif is_standing and host["maintained"] < due_before and not self._draft.is_stuck(host):
                due[host_id] = STANDING_WAVE
        return due

    def _group_order(self, name: str) -> tuple[bool, bool, float, str]:
        group = self._fleet.groups_by_name[name]
        return not group.out_ids, not group.has_surplus, group.oldest_maintained() or 0.0, name

    def _maintain_group(self, group: Group, limit: int) -> bool:
        """Drain the due hosts that the group can lose now.

        :return: whether the group counts as under maintenance.
        """
        if not group.has_surplus and (group.out_ids or self._fleet.short_group_names):
            return self._postpone(group)
        if not self._draft.is_settled(group):
            self._note_waiting(group, "a host has only just come into service")
            return True
        due = self._find_due_hosts(group.requirement.name, self._hosts(group))
        if not due:
            return bool(group.out_ids)
        host = self._next_host(group, due)
        if host is None:
            return bool(group.out_ids) or self._provide_stand_in(group, due)
        while host is not None and len(self._fleet.out_ids) < limit:
            wave = due.pop(host["host"])
            self._draft.drain(host, f"wave {wave}", wave=wave)
            host = self._next_host(group, due)
        return True

    def _postpone(self, group: Group) -> bool:
        if self._fleet.short_group_names:
            short = ", ".join(sorted(self._fleet.short_group_names)[:5])
            self._note_waiting(group, f"{status_codes.WAVE_PAUSED_MARGIN}: {short} lacks hosts")
        return bool(group.out_ids)

    def _next_host(self, group: Group, due: dict[str, str]) -> HostState | None:
        hosts = (self._fleet.hosts_by_id[h] for h in due if h not in self._draft.touched)
        removable = [host for host in hosts if group.can_lose(host)]
        return min(
            removable, key=lambda h: (*_location(h), h["maintained"], h["host"]), default=None
        )

    def _provide_stand_in(self, group: Group, due: dict[str, str]) -> bool:
        if self._fleet.short_group_names:
            # Spare hosts are reserved for the services that lack hosts after a failure.
            return self._postpone(group)
        if group.is_full:
            self._note_waiting(group, "it has no margin, and no room for a stand-in")
        elif self._take_stand_in(group, due):
            return True
        else:
            self._note_waiting(group, "it has no margin, and no spare host is of use as a stand-in")
        # The group can't use its surplus hosts now; release them, as another service may need them.
        self.held_names.discard(group.requirement.name)
        return False

    def _take_stand_in(self, group: Group, due: dict[str, str]) -> bool:
        hosts = (self._fleet.hosts_by_id[host_id] for host_id in due)
        domains = {domain_of(host["facts"], group.requirement.survive) for host in hosts}
        conditions = (partial(adds_margin, group), partial(_is_in_domains, domains, group))
        # A host that an earlier plan drained for this purpose comes first.
        if any(
            self._assign_stand_in(group, condition, self._fleet.emptied_ids)
            for condition in conditions
        ):
            return True
        weights = self._draft.weights
        sources: list[Callable[[Group, HostFilter], bool]] = [
            self._assign_stand_in,
            self._move_stand_in,
        ]
        # A surplus host that is about to be released costs one move if it goes straight to the next
        # service, and two if it passes through the spare pool. In all other cases a spare host is
        # better, since taking it disturbs no service.
        uses_last_spares = self._fleet.free_count <= self._fleet.policy["spare_hosts"]
        if weights.buffer > weights.move or uses_last_spares:
            sources.reverse()
        if any(source(group, condition) for condition in conditions for source in sources):
            return True
        return exchange(self._draft, group, partial(adds_margin, group))

    def _assign_stand_in(
        self, group: Group, is_useful: HostFilter, candidate_ids: Collection[str] | None = None
    ) -> bool:
        if candidate_ids is None:
            candidate_ids = [h for ids in self._fleet.free_ids_by_rack.values() for h in ids]
        hosts = [self._fleet.hosts_by_id[h] for h in candidate_ids if h not in self._draft.touched]
        fitting = [host for host in hosts if is_useful(host)]
        host = min(fitting, key=partial(crowding, group), default=None)
        if host is None:
            return False
        reason = f"stands in while hosts of {group.requirement.name} are maintained"
        self._draft.assign(host, group.pool_for_next_host(), reason)
        return True

    def _move_stand_in(self, group: Group, is_useful: HostFilter) -> bool:
        donor_names = self._fleet.surplus_group_names - self.held_names
        host = find_donor_host(self._draft, group, is_useful, self.held_names)
        if host is None:
            return any(
                not self._draft.is_settled(self._fleet.groups_by_name[n]) for n in donor_names
            )
        reason = f"stands in while hosts of {group.requirement.name} are maintained"
        self._draft.move(host, group.pool_for_next_host(), reason)
        return True

    def _maintain_spares(self, limit: int) -> None:
        started = self._started_waves_by_group.get(SPARE_POOL, {})
        due_before = self._now - self._due_age_s
        free = (h for ids in self._fleet.free_ids_by_rack.values() for h in ids)
        hosts = [self._fleet.hosts_by_id[h] for h in free if h not in self._draft.touched]
        due = [h for h in hosts if h["host"] in started or h["maintained"] < due_before]
        due = [h for h in due if h["phase"] == "in_service" and not self._draft.is_stuck(h)]
        # The last spare host is the only stand-in, so it is maintained when no service needs it.
        is_needed = bool(self.held_names or self._fleet.short_group_names)
        if not due or len(self._fleet.out_ids) >= limit or (len(hosts) < 2 and is_needed):
            return
        host = min(due, key=lambda h: (h["maintained"], h["host"]))
        wave = started.get(host["host"], STANDING_WAVE)
        self._draft.drain(host, f"wave {wave}", wave=wave)

    def _hosts(self, group: Group) -> list[HostState]:
        return [self._fleet.hosts_by_id[host_id] for host_id in group.host_ids()]

    def _note_waiting(self, group: Group, reason: str) -> None:
        name = group.requirement.name
        waves = set(self._started_waves_by_group.get(name, {}).values())
        if name in self._standing_group_names:
            waves.add(STANDING_WAVE)
        for wave in waves:
            self.waiting.setdefault(wave, f"{name}: {reason}")


def max_hosts_out(fleet: Fleet) -> int:
    """Return how many hosts may be out at once, for a round to take its share of the period."""
    return max(
        1,
        math.ceil(
            _sequential_round_s(fleet) / (fleet.policy["maintain_every_s"] * MAX_ROUND_SHARE)
        ),
    )


def due_age_s(fleet: Fleet) -> float:
    """Return how many seconds after its last maintenance a host is due again.

    It leaves enough time for a whole round within the maintenance period.
    """
    round_s = _sequential_round_s(fleet) / max_hosts_out(fleet)
    return (
        fleet.policy["maintain_every_s"] * (1 - PERIOD_RESERVE_SHARE) - round_s * ROUND_TIME_FACTOR
    )


def _sequential_round_s(fleet: Fleet) -> float:
    """Return the seconds that a round takes with one host out at a time."""
    groups = fleet.groups_by_name.values()
    drain_s = sum(g.size * g.requirement.drain_s for g in groups)
    return len(fleet.hosts_by_id) * fleet.policy["reboot_s"] + drain_s


def next_steps(
    *, state: Any, wave: WaveState | None, now: float, settings: CapacitySettings
) -> list[Step]:
    """Plan the next steps with one started wave, or with the standing wave only if it is None.

    :param state: the folded state.
    :param wave: the wave started by an operator.
    :param now: seconds since the epoch.
    :param settings: the settings with the time limit for a host's return from a reboot.
    :rtype: list[Step]
    """
    fleet = Fleet(declarations_by_key=state.declarations_by_key, hosts=state.hosts_by_name.values())
    draft = Draft(fleet=fleet, now=now)
    started = [] if wave is None else [wave]
    Waves(draft=draft, waves=started, settings=settings).plan_steps()
    return draft.steps


def _is_in_domains(domains: set[str], group: Group, host: HostState) -> bool:
    """Whether a host is in one of these failure domains.

    A stand-in there lets the group lose the domain's other hosts one at a time.
    """
    return domain_of(host["facts"], group.requirement.survive) in domains


def _location(host: HostState) -> tuple[str, str]:
    return host["facts"]["data_center"], host["facts"]["rack"]
