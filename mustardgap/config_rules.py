"""Validates and applies sets of changes, all or none; each change names its base version."""

from typing import Any

from . import status_codes
from .budgets import Shortage, shortages
from .declarations import check_value, reference_errors
from .exceptions import SettingsError
from .models import Change, ConfigBody, Declaration
from .outcomes import Rejected
from .states import State

MAX_CHANGES = 1000
# The kinds whose values refer to other declarations.
REFERRING_PREFIXES = ("service/", "pool/")


def check(state: State, config: ConfigBody) -> Rejected | None:
    """Return the rejection of a set of changes, or None when it is accepted."""
    changes = config["changes"]
    return (
        _stale_error(state, changes)
        or _value_error(changes)
        or _reference_error(state, changes)
        or _host_error(state, changes)
        or _budget_error(state, changes)
    )


def apply(state: State, config: ConfigBody, offset: int) -> None:
    """Apply an accepted set of changes; the offset is the new version of each."""
    changed = [
        Declaration(change["key"], offset, change["value"])
        for change in config["changes"]
        if change["value"] is not None
    ]
    removed = [change["key"] for change in config["changes"] if change["value"] is None]
    state.put_declarations(changed, removed)


def _stale_error(state: State, changes: list[Change]) -> Rejected | None:
    keys = [change["key"] for change in changes]
    if not keys or len(keys) > MAX_CHANGES or len(set(keys)) < len(keys):
        detail = f"a set holds 1 to {MAX_CHANGES} changes, each of another key"
        return Rejected(code=status_codes.RECORD_INVALID, detail=detail)
    changed = []
    for change in changes:
        declaration = state.declarations_by_key.get(change["key"])
        version = -1 if declaration is None else declaration.version
        if change["base"] != version or (declaration is None and change["value"] is None):
            changed.append(change["key"])
    if not changed:
        return None
    detail = f"changed since: {', '.join(changed[:10])}"
    return Rejected(code=status_codes.STALE_BASE, detail=detail, changed=changed)


def _value_error(changes: list[Change]) -> Rejected | None:
    for change in changes:
        if change["value"] is None:
            continue
        try:
            check_value(change["key"], change["value"])
        except SettingsError as exc:
            return Rejected(code=exc.code, detail=f"{exc.place}: {exc.detail}")
    return None


def _reference_error(state: State, changes: list[Change]) -> Rejected | None:
    # A new or changed profile, team or policy refers to nothing and breaks no reference.
    if all(c["value"] is not None and not c["key"].startswith(REFERRING_PREFIXES) for c in changes):
        return None
    for code, key, detail in reference_errors(_values_after(state, changes)):
        return Rejected(code=code, detail=f"{key}: {detail}")
    return None


def _host_error(state: State, changes: list[Change]) -> Rejected | None:
    """Reject removing or reassigning a pool with hosts; they would change services undrained."""
    for change in changes:
        kind, _, name = change["key"].partition("/")
        if kind != "pool" or not state.hosts_by_pool.get(name):
            continue
        pool = state.value("pool", name)
        if change["value"] is None or (pool and pool["service"] != change["value"]["service"]):
            count = len(state.hosts_by_pool[name])
            detail = f"pool {name} holds {count} hosts, move them out first"
            return Rejected(code=status_codes.POOL_CONFLICT, detail=detail)
    return None


def _budget_error(state: State, changes: list[Change]) -> Rejected | None:
    """Reject changes that cause or worsen a shortage.

    An existing one, as after a rack failure, must not keep an operator from reducing it.
    """
    if not any(_can_cause_shortage(state, change) for change in changes):
        return None
    after = shortages(state, _values_after(state, changes))
    if not after:
        return None
    before = {(s.budget, s.limit): s.short for s in shortages(state, _values_after(state, []))}
    worse: list[Shortage] = [s for s in after if s.short > before.get((s.budget, s.limit), 0)]
    if not worse:
        return None
    detail = "; ".join(str(shortage) for shortage in worse[:5])
    return Rejected(code=status_codes.UNSATISFIABLE, detail=detail)


def _can_cause_shortage(state: State, change: Change) -> bool:
    """Whether a change can cause a shortage; most, such as of a timeout, can't."""
    kind, _, name = change["key"].partition("/")
    if kind != "profile":
        return kind in ("service", "pool")
    before, after = state.value("profile", name), change["value"]
    if before is None or after is None:
        return True
    return any(before[part] != after[part] for part in ("room", "availability"))


def _values_after(state: State, changes: list[Change]) -> dict[str, Any]:
    values = {key: declaration.value for key, declaration in state.declarations_by_key.items()}
    for change in changes:
        if change["value"] is None:
            values.pop(change["key"], None)
        else:
            values[change["key"]] = change["value"]
    return values
