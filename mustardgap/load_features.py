"""Which decisions for hard load take part in a deployment."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated

from .settings import Section, about, read_optional


class Feature(StrEnum):
    """A group of decisions for when there isn't room for all."""

    ADMISSION = "admission"
    ACCOUNT_SHARES = "account_shares"
    EXECUTOR_SPEEDS = "executor_speeds"
    STRAGGLERS = "stragglers"
    RACKS = "racks"
    ROOM_SHARING = "room_sharing"
    OWNER_HINTS = "owner_hints"


class Switch(StrEnum):
    """Whether a feature takes part; AUTO leaves that to what the deployment states."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


# Features for deployments whose platform has rules for overload. The others rely on telling the
# lives of an executor apart, so they need executors that state when they started.
OVERLOAD_FEATURES = frozenset({Feature.ADMISSION, Feature.ACCOUNT_SHARES})


class FeatureSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The switches of all features; production runs without such a file, by these defaults."""

    # Off by default: in drawn floods most jobs that were refused for good would have been of use.
    admission: Annotated[Switch, about("Refuse jobs that would end too late to be of use.")] = (
        Switch.OFF
    )
    account_shares: Annotated[
        Switch, about("Let client accounts share scarce room over all pools by their weights.")
    ] = Switch.AUTO
    executor_speeds: Annotated[Switch, about("Learn how fast each executor is.")] = Switch.AUTO
    # Off by default: not measured on a whole deployment yet.
    stragglers: Annotated[
        Switch, about("Restart runs on slow executors elsewhere where that saves time.")
    ] = Switch.OFF
    racks: Annotated[Switch, about("Treat a rack whose executors fall silent as one failure.")] = (
        Switch.AUTO
    )
    # Off by default: it moves more machines, and served fewer jobs in time where pools compete.
    room_sharing: Annotated[
        Switch, about("Give machines to the pools where one more is of most use.")
    ] = Switch.OFF
    owner_hints: Annotated[
        Switch, about("Tell daemons that the store doesn't answer who owns the queues.")
    ] = Switch.AUTO


DEFAULTS = FeatureSettings()


class LoadFeatures:
    """Says whether a feature takes part, by the settings and by what the deployment states.

    :param settings: the switches.
    :param expects_overload: whether the platform has rules for overload.
    """

    def __init__(
        self, *, settings: FeatureSettings = DEFAULTS, expects_overload: bool = False
    ) -> None:
        self._settings = settings
        self._expects_overload = expects_overload
        self._starts_stated = False

    def note_starts_stated(self) -> None:
        """Note that executors state when they started; this holds from then on."""
        self._starts_stated = True

    @property
    def starts_stated(self) -> bool:
        """Whether executors state when they started."""
        return self._starts_stated

    def has(self, feature: Feature) -> bool:
        """Whether a feature takes part now."""
        switch: Switch = getattr(self._settings, feature.value)
        if switch is not Switch.AUTO:
            return switch is Switch.ON
        if feature in OVERLOAD_FEATURES:
            return self._expects_overload
        return self._starts_stated


def load(path: str | Path) -> FeatureSettings:
    """Read the switches from a file of JSON with comments.

    :param path: the file's path; an empty one stands for the defaults.
    :raises SettingsError: MG2000 to MG2002 with the file and what is wrong in it.
    """
    return read_optional(path, DEFAULTS)
