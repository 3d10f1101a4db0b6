"""Fold rule for the steps of maintenance waves."""

from . import status_codes
from .models import WaveBody, WaveState
from .outcomes import Rejected
from .rejections import stale, wrong_phase
from .states import State

PHASE_AFTER = {"start": "running", "pause": "paused", "resume": "running", "finish": "finished"}
PHASES_BEFORE = {
    "pause": ("running",),
    "resume": ("paused",),
    "finish": ("running", "paused"),
}


def check(state: State, step: WaveBody) -> Rejected | None:
    """Check a step of a wave.

    :return: why the step is rejected, or None if it is accepted.
    """
    wave = state.waves_by_name.get(step["wave"])
    if step["step"] == "start":
        return _start_error(state, step, wave)
    return _step_error(step, wave)


def apply(state: State, step: WaveBody, offset: int) -> None:
    """Apply an accepted step of a wave to the state."""
    state.put_wave(_next(state, step, state.waves_by_name.get(step["wave"])))


def _start_error(state: State, step: WaveBody, wave: WaveState | None) -> Rejected | None:
    if wave is not None or step["base"] != 0:
        return stale(f"wave/{step['wave']}", step["base"], wave["epoch"] if wave else 0)
    hosts = set(step.get("hosts", []))
    unknown = sorted(hosts - state.hosts_by_name.keys())
    if unknown or not hosts:
        detail = f"no host {unknown[0]}" if unknown else "a wave needs hosts"
        return Rejected(code=status_codes.UNKNOWN_HOST, detail=detail)
    for other in state.waves_by_name.values():
        shared = sorted(hosts.intersection(other["hosts"]))
        if shared and other["phase"] != "finished":
            return wrong_phase(f"{shared[0]} is in wave {other['wave']} already")
    return None


def _step_error(step: WaveBody, wave: WaveState | None) -> Rejected | None:
    if wave is None:
        return Rejected(code=status_codes.WAVE_UNKNOWN, detail=f"no wave {step['wave']}")
    if step["base"] != wave["epoch"]:
        return stale(f"wave/{wave['wave']}", step["base"], wave["epoch"])
    if wave["phase"] not in PHASES_BEFORE[step["step"]]:
        return wrong_phase(f"wave {wave['wave']} is {wave['phase']}, no {step['step']} now")
    return None


def _next(state: State, step: WaveBody, wave: WaveState | None) -> WaveState:
    return WaveState(
        wave=step["wave"],
        epoch=step["base"] + 1,
        phase=PHASE_AFTER[step["step"]],  # type: ignore[typeddict-item]
        hosts=sorted(set(step.get("hosts", []))) if wave is None else wave["hosts"],
        reason=step.get("reason", ""),
        since=state.time,
        started=state.time if wave is None else wave["started"],
    )
