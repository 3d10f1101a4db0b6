"""Explains where a host is and why, and how the margin of a pool or service is calculated."""

from typing import Any

from .models import HostState
from .placements import Fleet, Group, is_drained_by_planner
from .planners import plan
from .plans import Step
from .waves import INCLUDE_AGE_SHARE, due_age_s

HOUR_S = 3600.0


def explain(state: Any, kind: str, name: str, *, now: float | None = None) -> list[str]:
    """Explain a host, a pool or a service.

    :param state: the folded state.
    :param kind: ``host``, ``pool`` or ``service``.
    :param name: its name.
    :param now: seconds since the Unix epoch; the log's time if None.
    :return: lines of text, none if nothing has that name.
    """
    now = state.time if now is None else now
    fleet = Fleet(declarations_by_key=state.declarations_by_key, hosts=state.hosts_by_name.values())
    if kind == "host":
        return _explain_host(fleet, state, name, now)
    if kind == "pool":
        return _explain_pool(fleet, state, name, now)
    group = fleet.groups_by_name.get(name)
    if group is None or not group.requirement.service:
        return []
    return _explain_group(group) + _next_steps(state, now, set(group.requirement.pools))


def _explain_host(fleet: Fleet, state: Any, name: str, now: float) -> list[str]:
    host = fleet.hosts_by_id.get(name)
    if host is None:
        return []
    facts = host["facts"]
    pool = f"pool {host['pool']}" if host["pool"] else "the spare pool"
    lines = [
        f"{name} is {host['phase']} in {pool}, since {_hours(now - host['since'])}, "
        f"epoch {host['epoch']}: {host['reason'] or 'no reason was given'}",
        f"it stands in rack {facts['rack']} of {facts['data_center']}",
        _maintenance(fleet, host, now),
    ]
    group = fleet.groups_by_pool.get(host["pool"])
    if host["phase"] == "in_service" and group is not None:
        lines.append(_margin_without_host(group, host))
    elif (
        host["phase"] in ("draining", "drained")
        and not host["wave"]
        and not is_drained_by_planner(host)
    ):
        lines.append("it was emptied by an operator, or leaves: no plan touches it until undrained")
    steps = [s for s in plan(state=state, now=now).steps if s.host == name]
    return lines + [_describe(step) for step in steps]


def _explain_pool(fleet: Fleet, state: Any, name: str, now: float) -> list[str]:
    group = fleet.groups_by_pool.get(name)
    if group is None:
        return []
    size = group.requirement.pools[name]
    consumer = f"service {group.requirement.service}" if group.requirement.service else "jobs"
    lines = [
        f"pool {name} serves {consumer}: {group.size_by_pool[name]} hosts in service, "
        f"{size.min_hosts} at least and {size.max_hosts} at most"
    ]
    return lines + _explain_group(group) + _next_steps(state, now, {name})


def _explain_group(group: Group) -> list[str]:
    need = group.requirement
    domain = need.survive.replace("_", " ")
    lost = "no loss is to be survived" if domain == "none" else f"the largest {domain} holds"
    lines = [
        f"{need.name}: {group.size} hosts in service, {lost} {group.loss}, "
        f"{need.min_hosts} must stay: margin {group.size} - {group.loss} - {need.min_hosts} "
        f"= {group.margin}",
        f"room: {group.size} of {need.max_hosts} hosts, urgency {need.urgency}",
    ]
    if need.survive in ("rack", "data_center"):
        sizes = sorted(((len(ids), d) for d, ids in group.ids_by_domain.items()), reverse=True)
        shown = ", ".join(f"{d} {size}" for size, d in sizes[:8])
        lines.append(f"spread over {len(sizes)} domains: {shown}")
    if group.out_ids:
        lines.append(f"out for maintenance: {', '.join(sorted(group.out_ids))}")
    return [*lines, _margin_advice(group)]


def _margin_advice(group: Group) -> str:
    name = group.requirement.name
    if group.margin < 0:
        return f"{-group.margin} more hosts, in other domains, would give {name} its margin back"
    if group.margin > 0:
        return f"{group.margin} hosts could leave {name} and its budget would still hold"
    return f"no host can leave {name} unless another one comes first"


def _margin_without_host(group: Group, host: HostState) -> str:
    name = group.requirement.name
    left = group.margin_without(host)
    verdict = "so it may be emptied" if group.can_lose(host) else "so another one must come first"
    return f"without it the margin of {name} would go from {group.margin} to {left}, {verdict}"


def _maintenance(fleet: Fleet, host: HostState, now: float) -> str:
    period = fleet.policy["maintain_every_s"]
    age = now - host["maintained"]
    text = f"it was last maintained {_hours(age)}, of {period / HOUR_S:.0f} hours allowed"
    if host["wave"]:
        return f"{text}; it is out for wave {host['wave']}"
    due = due_age_s(fleet)
    if age > due * INCLUDE_AGE_SHARE:
        return f"{text}; it is done when its service is next visited"
    return f"{text}; it is due in {(due - age) / HOUR_S:.1f} hours"


def _next_steps(state: Any, now: float, pools: set[str]) -> list[str]:
    result = plan(state=state, now=now)
    hosts = state.hosts_by_name
    steps = [s for s in result.steps if s.pool in pools or hosts[s.host]["pool"] in pools]
    waits = [f"wave {wave} waits: {reason}" for wave, reason in sorted(result.waiting.items())]
    return [_describe(step) for step in steps] + result.problems + waits


def _describe(step: Step) -> str:
    return f"next: {step.kind} {step.host} (pool {step.pool or 'spare'}): {step.reason}"


def _hours(seconds: float) -> str:
    return f"{seconds / HOUR_S:.1f} hours ago"
