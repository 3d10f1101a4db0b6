"""Which mechanisms decide on the platform: all of them, but in experiments that leave some out."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated

from .settings import Section, about, read_optional


class Mechanism(StrEnum):
    """A part of the policy that can be left out, to measure what it is worth."""

    # What a pool needs.
    ARRIVALS = "arrivals"
    RAMP = "ramp"
    GROWTH = "growth"
    GROWTH_BOUND = "growth_bound"
    FIRST_SIZE = "first_size"
    FORESIGHT = "foresight"
    LENDING = "lending"
    WAVE_PATIENCE = "wave_patience"
    # Who goes first, and where.
    OVERLOAD_ORDER = "overload_order"
    DISTRUST = "distrust"
    PAUSES = "pauses"
    SPREADING = "spreading"
    # What callers are told.
    REPEATS = "repeats"


class Policy(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The settings of experiments; production runs without such a file."""

    without: Annotated[
        tuple[Mechanism, ...], about("Mechanisms that are left out, for experiments only.")
    ] = ()

    def has(self, mechanism: Mechanism) -> bool:
        """Whether a mechanism takes part."""
        return mechanism not in self.without


WHOLE = Policy()


def load(path: str | Path) -> Policy:
    """Read a policy from a file of JSON with comments.

    :param path: the file's path; an empty one stands for the whole policy.
    :raises SettingsError: MG2000 to MG2002 with the file and what is wrong in it.
    """
    return read_optional(path, WHOLE)
