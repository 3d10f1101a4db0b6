"""Validates and applies announcements of checkpoints."""

from . import status_codes
from .models import CheckpointBody
from .outcomes import Rejected
from .states import State


def check(state: State, step: CheckpointBody) -> Rejected | None:
    """Return the rejection of an announcement, or None when it is accepted."""
    if 0 <= step["offset"] <= state.offset:
        return None
    detail = f"a checkpoint at offset {step['offset']} of {state.offset}"
    return Rejected(code=status_codes.RECORD_INVALID, detail=detail)


def apply(state: State, step: CheckpointBody, offset: int) -> None:
    """Apply an announcement; if two arrive out of order, the newer checkpoint counts."""
    state.checkpoint_offset = max(state.checkpoint_offset, step["offset"])
    state.checkpoint_time = state.time
