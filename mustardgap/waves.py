"""Maintenance waves: which hosts to empty, reboot and bring back next.

A service whose margin doesn't let a host go gets a stand-in from the spare pool, all its hosts are
done one after the other, and the stand-in goes on to the next service. So one spare serves the
whole fleet, and a wave costs about one move a service instead of one a host.
"""

import math
from collections.abc import Iterable
from typing import Any

from . import status_codes
from .candidates import Candidates, find_donation
from .models import HostState, WaveState
from .placements import SPARE_POOL, Fleet, Group
from .plans import Draft, Step
from .settings import CapacitySettings

STANDING_WAVE = "standing"
# The standing wave turns to a service when its longest untouched host has waited for this share of
# the period, and then does all of its hosts that have waited for the lesser share.
VISIT_AT = 0.5
INCLUDE_FROM = 0.25
# The pace is such that the whole fleet takes this share of the period, so that a tenth is left for
# pauses when all hosts come due together.
ROUND_SHARE = 0.4
# A host that came into service counts for a drain only when it has had this long to start.
SETTLE_S = 10.0
# A host that wouldn't drain is left alone for this share of the period.
RETRY_SHARE = 1 / 14


class Waves:
    """The steps of all waves in one plan.

    :param draft: the plan being drafted.
    :param waves: the waves that operators started.
    :param now: seconds since the epoch.
    :param settings: how long a host may take to return.
    """

    def __init__(
        self, *, draft: Draft, waves: Iterable[WaveState], now: float, settings: CapacitySettings
    ) -> None:
        self.waiting: dict[str, str] = {}
        self.finished: list[str] = []
        self.held_names: set[str] = set()
        self._draft = draft
        self._fleet = draft.fleet
        self._now = now
        self._settings = settings
        self._period = draft.fleet.policy["maintain_every_s"]
        self._started = sorted(
            (w for w in waves if w["phase"] != "finished"), key=lambda w: (w["since"], w["wave"])
        )
        self._due_by_group: dict[str, dict[str, str]] = {}

    @property
    def lent(self) -> int:
        """How many stand-ins the services hold that a wave is at work on."""
        groups = (self._fleet.groups_by_name[n] for n in self.held_names if n != SPARE_POOL)
        return sum(1 for group in groups if group.is_over or group.out_ids)

    def proceed(self) -> None:
        """Go on with the hosts that are out, then take out the next ones."""
        for host_id in sorted(self._fleet.out_ids - self._draft.touched):
            self._go_on(self._fleet.hosts_by_id[host_id])
        self._find_due()
        self.held_names = set(self._due_by_group)
        limit = most_out(self._fleet)
        for name in sorted(self._due_by_group, key=self._visit_order):
            if name == SPARE_POOL:
                self._visit_spares(limit)
            else:
                self._visit(self._fleet.groups_by_name[name], limit)

    def is_settled(self, group: Group) -> bool:
        """Whether the hosts of a group have had the time to start.

        A host is in service on the log before its executors listen. Emptying another one at once
        would leave the service with fewer hosts than the log says.
        """
        latest = max((h["since"] for h in self._hosts(group)), default=0.0)
        return not 0 <= self._now - latest < SETTLE_S

    def _go_on(self, host: HostState) -> None:
        waited = self._now - host["since"]
        if host["phase"] == "drained":
            self._draft.reboot(host, f"wave {host['wave']}")
        elif host["phase"] == "draining":
            group = self._fleet.groups_by_pool.get(host["pool"])
            drain_s = group.requirement.drain_s if group else self._settings.return_timeout_s
            if waited > drain_s:
                code = status_codes.HOST_WONT_DRAIN
                self._draft.undrain(host, f"{code}: not empty after {waited:.0f} s")
        elif waited > max(self._settings.return_timeout_s, self._fleet.policy["reboot_s"]):
            code = status_codes.HOST_WONT_RETURN
            self._draft.set_aside(host, f"{code}: not back after {waited:.0f} s")

    def _find_due(self) -> None:
        for wave in self._started:
            self._find_due_of(wave)
        start = self._now - self._period * INCLUDE_FROM
        for name, group in self._fleet.groups_by_name.items():
            oldest = group.oldest_maintained()
            if oldest is not None and self._now - oldest > self._period * VISIT_AT:
                for host in self._hosts(group):
                    self._add_due(name, host, STANDING_WAVE, start)
        for ids in self._fleet.free_ids_by_rack.values():
            for host_id in ids:
                host = self._fleet.hosts_by_id[host_id]
                self._add_due(SPARE_POOL, host, STANDING_WAVE, start)

    def _find_due_of(self, wave: WaveState) -> None:
        left = 0
        for host_id in wave["hosts"]:
            host = self._fleet.hosts_by_id.get(host_id)
            if host is None or host["maintained"] >= wave["since"]:
                continue
            group = self._fleet.groups_by_pool.get(host["pool"])
            name = SPARE_POOL if group is None else group.requirement.name
            due = self._add_due(name, host, wave["wave"], wave["since"])
            left += due or host_id in self._fleet.out_ids
        if not left:
            self.finished.append(wave["wave"])

    def _add_due(self, name: str, host: HostState, wave: str, start: float) -> bool:
        if host["phase"] != "in_service" or host["maintained"] >= start or self._is_stuck(host):
            return False
        paused = any(w["wave"] == wave and w["phase"] == "paused" for w in self._started)
        if not paused and host["host"] not in self._draft.touched:
            self._due_by_group.setdefault(name, {}).setdefault(host["host"], wave)
        return True

    def _is_stuck(self, host: HostState) -> bool:
        if not host["reason"].startswith(str(status_codes.HOST_WONT_DRAIN)):
            return False
        return self._now - host["since"] < self._period * RETRY_SHARE

    def _visit_order(self, name: str) -> tuple[bool, bool, float, str]:
        oldest = min(self._fleet.hosts_by_id[h]["maintained"] for h in self._due_by_group[name])
        group = self._fleet.groups_by_name.get(name)
        if group is None:
            return True, True, oldest, name
        return not group.out_ids, not group.is_over, oldest, name

    def _visit(self, group: Group, limit: int) -> None:
        due = self._due_by_group[group.requirement.name]
        if not self.is_settled(group):
            self._wait(due, f"{group.requirement.name}: a host has only just come into service")
            return
        while due and len(self._fleet.out_ids) < limit:
            host = self._next_host(group, due)
            if host is None:
                break
            wave = due.pop(host["host"])
            self._draft.drain(host, f"wave {wave}", wave=wave)
        if due and not group.out_ids and len(self._fleet.out_ids) < limit:
            self._send_stand_in(group, due)

    def _next_host(self, group: Group, due: dict[str, str]) -> HostState | None:
        hosts = (self._fleet.hosts_by_id[h] for h in due if h not in self._draft.touched)
        possible = [host for host in hosts if group.can_lose(host)]
        return min(possible, key=lambda h: (*_place(h), h["maintained"], h["host"]), default=None)

    def _send_stand_in(self, group: Group, due: dict[str, str]) -> None:
        name = group.requirement.name
        if self._fleet.short_names:
            short = ", ".join(sorted(self._fleet.short_names))
            self._wait(due, f"{status_codes.WAVE_PAUSED_MARGIN}: {short} needs the spare hosts")
        elif group.is_full:
            self._wait(due, f"{name} has no margin, and no room for a stand-in")
        elif not self._assign_stand_in(group, due) and not self._move_stand_in(group):
            self._wait(due, f"{name} has no margin, and there is no spare host to stand in")

    def _assign_stand_in(self, group: Group, due: dict[str, str]) -> bool:
        fitting = (self._fleet.hosts_by_id[h] for h in due)
        domains = {_place(host)[0] for host in fitting}
        host = Candidates(fleet=self._fleet, group=group).take()
        if host is None:
            return False
        if group.margin_with(host) <= group.margin:
            host = self._free_host_in(domains) or host
        reason = f"stands in while {len(due)} hosts of {group.requirement.name} are maintained"
        self._draft.assign(host, group.pool_for_next(), reason)
        return True

    def _free_host_in(self, data_centers: set[str]) -> HostState | None:
        hosts = (
            self._fleet.hosts_by_id[h] for ids in self._fleet.free_ids_by_rack.values() for h in ids
        )
        fitting = [h for h in hosts if _place(h)[0] in data_centers]
        return min(fitting, key=lambda h: (*_place(h), h["host"]), default=None)

    def _move_stand_in(self, group: Group) -> bool:
        if self._draft.pending:
            self._draft.pending -= 1
            return True
        host = find_donation(self._draft, group, self.held_names)
        if host is None:
            return False
        reason = f"stands in while hosts of {group.requirement.name} are maintained"
        self._draft.move(host, group.pool_for_next(), reason)
        return True

    def _visit_spares(self, limit: int) -> None:
        due = self._due_by_group[SPARE_POOL]
        busy = len(self._fleet.out_ids) + self.lent
        # The last spare is the wave's only stand-in: it is done when no service needs it.
        if busy >= limit or (self._fleet.free_count < 2 and len(self._due_by_group) > 1):
            return
        host_id = min(due)
        self._draft.drain(
            self._fleet.hosts_by_id[host_id], f"wave {due[host_id]}", wave=due[host_id]
        )

    def _hosts(self, group: Group) -> list[HostState]:
        ids = (host_id for held in group.ids_by_domain.values() for host_id in held)
        return [self._fleet.hosts_by_id[host_id] for host_id in ids]

    def _wait(self, due: dict[str, str], reason: str) -> None:
        for wave in set(due.values()):
            self.waiting.setdefault(wave, reason)


def most_out(fleet: Fleet) -> int:
    """How many hosts may be out at once so that a round takes its share of the period."""
    hosts = len(fleet.hosts_by_id)
    groups = fleet.groups_by_name.values()
    drain_s = max((g.requirement.drain_s for g in groups), default=0.0)
    cycle_s = fleet.policy["reboot_s"] + drain_s
    return max(1, math.ceil(hosts * cycle_s / (fleet.policy["maintain_every_s"] * ROUND_SHARE)))


def next_steps(
    *, state: Any, wave: WaveState | None, now: float, settings: CapacitySettings
) -> list[Step]:
    """Decide the next steps of one wave alone, or of the standing one when ``wave`` is None.

    :param state: the folded state.
    :rtype: list[Step]
    """
    fleet = Fleet(declarations_by_key=state.declarations_by_key, hosts=state.hosts_by_name.values())
    draft = Draft(fleet=fleet)
    started = [] if wave is None else [wave]
    Waves(draft=draft, waves=started, now=now, settings=settings).proceed()
    return draft.steps


def _place(host: HostState) -> tuple[str, str]:
    return host["facts"]["data_center"], host["facts"]["rack"]
