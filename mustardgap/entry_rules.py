"""Validates and applies steps of entry hosts: they join, leave, or are found to be gone."""

from . import status_codes
from .models import EntryBody, EntryState
from .outcomes import Rejected
from .rejections import stale, wrong_phase
from .states import State

STATE_AFTER = {"join": "joined", "leave": "left", "gone": "gone"}


def check(state: State, step: EntryBody) -> Rejected | None:
    """Return the rejection of a step of an entry host, or None when it is accepted."""
    entry = state.entries_by_host.get(step["host"])
    epoch = entry["epoch"] if entry is not None else 0
    if step["base"] != epoch:
        return stale(f"entry/{step['host']}", step["base"], epoch)
    if entry is None:
        if step["step"] == "join":
            return None
        return Rejected(code=status_codes.UNKNOWN_HOST, detail=f"no entry host {step['host']}")
    if step["step"] == "join":
        if step["incarnation"] > entry["incarnation"]:
            return None
        return wrong_phase(f"a run of entry host {step['host']} as late as this one is known")
    if entry["state"] != "joined" or step["incarnation"] != entry["incarnation"]:
        return wrong_phase(f"this run of entry host {step['host']} isn't joined")
    return None


def apply(state: State, step: EntryBody, offset: int) -> None:
    """Apply an accepted step of an entry host to the state."""
    entry = state.entries_by_host.get(step["host"])
    unclean = entry["unclean"] if entry is not None else -1
    if entry is not None and entry["state"] == "joined" and step["step"] != "leave":
        unclean = offset
    state.entries_by_host[step["host"]] = EntryState(
        host=step["host"],
        incarnation=step["incarnation"],
        epoch=step["base"] + 1,
        state=STATE_AFTER[step["step"]],  # type: ignore[typeddict-item]
        offset=offset,
        time=state.time,
        unclean=unclean,
    )
