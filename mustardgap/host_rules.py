"""Validates and applies steps of hosts.

A step is one record about one host, so a host is in one pool at any offset of the log.
"""

from . import status_codes
from .budgets import may_drain, room_left
from .models import HostBody, HostState, Phase
from .outcomes import Rejected
from .rejections import stale, wrong_phase
from .states import State

FIRST_PHASES: frozenset[Phase] = frozenset({"in_service", "drained", "failed", "set_aside"})
NEXT_PHASES: dict[Phase, frozenset[Phase]] = {
    "in_service": frozenset({"draining", "failed", "set_aside"}),
    "draining": frozenset({"in_service", "drained", "failed", "set_aside"}),
    "drained": frozenset({"in_service", "drained", "rebooting", "failed", "set_aside"}),
    "rebooting": frozenset({"in_service", "drained", "failed", "set_aside"}),
    "failed": frozenset({"in_service", "drained", "rebooting", "set_aside"}),
    "set_aside": frozenset({"in_service", "drained", "rebooting", "failed"}),
}
# In these phases a host no longer runs work of its pool.
OUT_OF_POOL: frozenset[Phase] = frozenset({"drained", "failed", "set_aside"})


def check(state: State, step: HostBody) -> Rejected | None:
    """Check a step of a host against the state.

    :return: the rejection, or None when the step is accepted.
    """
    host = state.hosts_by_name.get(step["host"])
    rejected = _register_error(step) if host is None else _step_error(state, step, host)
    return rejected or _join_error(state, step, host)


def apply(state: State, step: HostBody, offset: int) -> None:
    """Apply an accepted step of a host to the state."""
    state.put_host(_next_state(state, step, state.hosts_by_name.get(step["host"])))


def _register_error(step: HostBody) -> Rejected | None:
    # Any base from 0 is accepted: a host that was removed from the state continues from the
    # platform's epoch, so that the platform still fences its earlier operations.
    if step["base"] < 0 or "facts" not in step:
        detail = f"{step['host']} is new and needs its facts and a base of 0 or more"
        return Rejected(code=status_codes.UNKNOWN_HOST, detail=detail)
    if step["phase"] not in FIRST_PHASES:
        return wrong_phase(f"{step['host']} is new and can't be {step['phase']}")
    return None


def _step_error(state: State, step: HostBody, host: HostState) -> Rejected | None:
    if step["base"] != host["epoch"]:
        return stale(f"host/{host['host']}", step["base"], host["epoch"])
    if step["phase"] == "failed" and host["phase"] != "failed":
        # A failure has already happened, so no budget can reject it; the host stays in its pool.
        return _pool_error(step, host)
    if not _is_allowed(step, host):
        return wrong_phase(f"{host['host']} is {host['phase']} and can't become {step['phase']}")
    rejected = _pool_error(step, host)
    if rejected is None and step["phase"] in ("draining", "set_aside"):
        rejected = may_drain(state, host)
    return rejected


def _is_allowed(step: HostBody, host: HostState) -> bool:
    if step["phase"] in NEXT_PHASES[host["phase"]]:
        return True
    # A spare host may be in service without a pool, and joins a pool from there.
    return step["phase"] == "in_service" and host["pool"] == "" and step["pool"] != ""


def _pool_error(step: HostBody, host: HostState) -> Rejected | None:
    if step["pool"] == host["pool"]:
        return None
    joins = step["phase"] == "in_service" and (host["pool"] == "" or host["phase"] in OUT_OF_POOL)
    leaves = step["phase"] == "drained" and step["pool"] == "" and host["phase"] in OUT_OF_POOL
    if joins or leaves:
        return None
    detail = f"{host['host']} is {host['phase']} in pool {host['pool'] or '(spare)'}"
    return Rejected(code=status_codes.POOL_CONFLICT, detail=detail)


def _join_error(state: State, step: HostBody, host: HostState | None) -> Rejected | None:
    pool = step["pool"]
    if pool == "" or step["phase"] == "failed":
        return None
    if host is not None and host["pool"] == pool and step["phase"] != "in_service":
        return None
    if state.value("pool", pool) is None:
        return Rejected(code=status_codes.REFERENCE_MISSING, detail=f"no pool {pool} is declared")
    has_place = host is not None and host["pool"] == pool and host["phase"] == "draining"
    if step["phase"] == "in_service" and not has_place and room_left(state, pool) < 1:
        detail = f"pool {pool} or its service holds as many hosts as it may"
        return Rejected(code=status_codes.ROOM_EXCEEDED, detail=detail)
    return None


def _next_state(state: State, step: HostBody, host: HostState | None) -> HostState:
    is_maintained = host is not None and host["phase"] == "rebooting"
    is_maintained = is_maintained and step["phase"] in ("in_service", "drained")
    facts = step["facts"] if host is None else host["facts"]
    if "facts" in step and host is not None and host["phase"] != "in_service":
        facts = step["facts"]
    wave = "" if host is None or step["phase"] == "in_service" else host["wave"]
    return HostState(
        host=step["host"],
        facts=facts,
        pool=step["pool"],
        epoch=step["base"] + 1,
        phase=step["phase"],
        reason=step["reason"],
        since=state.time,
        maintained=state.time if host is None or is_maintained else host["maintained"],
        wave=step.get("wave", wave),
    )
