"""The checked schemas of declarations: strict types, no unknown keys, ranges with units."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from .codecs import convert

Hosts = Annotated[int, Meta(ge=0, le=100_000)]
Seconds = Annotated[float, Meta(ge=0, le=366 * 86_400)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Weight = Annotated[float, Meta(ge=0, le=1000)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]
NameOrEmpty = Annotated[str, Meta(pattern=r"^([A-Za-z0-9][A-Za-z0-9_.-]{0,62})?$")]


class Schema(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A part of a declaration; unknown keys are refused."""


class RoomSchema(Schema, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """See ``models.Room``."""

    max_hosts: Hosts


class AvailabilitySchema(Schema, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """See ``models.Availability``."""

    min_hosts: Hosts
    survive: Literal["none", "host", "rack", "data_center"]


class DisruptionSchema(Schema, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """See ``models.Disruption``."""

    steps: list[Literal["throttle", "checkpoint", "stop"]]
    warning_s: Seconds
    drain_s: Seconds
    idempotent: bool


class LimitsSchema(Schema, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """See ``models.Limits``."""

    timeout_s: Annotated[float, Meta(gt=0, le=3600)]
    max_wait_s: Annotated[float, Meta(ge=0, le=3600)]
    max_body_bytes: Annotated[int, Meta(ge=1, le=1_073_741_824)]
    idempotent_methods: list[Annotated[str, Meta(pattern="^[A-Z]{1,20}$")]]


class ProfileSchema(Schema, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """See ``models.Profile``."""

    room: RoomSchema
    availability: AvailabilitySchema
    disruption: DisruptionSchema
    urgency: Annotated[int, Meta(ge=0, le=9)]
    limits: LimitsSchema | msgspec.UnsetType = msgspec.UNSET

    def __post_init__(self) -> None:
        if self.availability.min_hosts > self.room.max_hosts:
            raise ValueError("availability.min_hosts is more than room.max_hosts")


class ServiceSchema(Schema, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """See ``models.Service``."""

    profile: Name
    team: Name
    path: Annotated[str, Meta(pattern=r"^/[A-Za-z0-9_./~-]{0,200}$")]


class PoolSchema(Schema, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """See ``models.Pool``."""

    service: NameOrEmpty
    min_hosts: Hosts
    max_hosts: Hosts

    def __post_init__(self) -> None:
        if self.min_hosts > self.max_hosts:
            raise ValueError("min_hosts is more than max_hosts")


class TeamSchema(Schema, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """See ``models.Team``."""

    max_cores: Amount
    max_memory_gb: Amount
    max_jobs: Annotated[int, Meta(ge=0, le=1_000_000)]


class PolicySchema(Schema, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """See ``models.Policy``."""

    maintain_every_s: Annotated[float, Meta(gt=0, le=366 * 86_400)]
    reboot_s: Annotated[float, Meta(gt=0, le=7 * 86_400)]
    buffer_weight: Weight
    move_weight: Weight
    spare_hosts: Hosts


SCHEMAS_BY_KIND: dict[str, type[Schema]] = {
    "profile": ProfileSchema,
    "service": ServiceSchema,
    "pool": PoolSchema,
    "team": TeamSchema,
    "policy": PolicySchema,
}


class NameSchema(Schema, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A declaration's name."""

    name: Name


def check_name(name: str) -> None:
    """Check a declaration's name.

    :raises Undecodable: it has characters that a name can't have.
    """
    convert({"name": name}, NameSchema)


def check_value(kind: str, value: Any) -> None:
    """Check one declaration's value.

    :param kind: a key of ``SCHEMAS_BY_KIND``.
    :param value: the value, a map.
    :raises Undecodable: with the place in the value.
    """
    convert(value, SCHEMAS_BY_KIND[kind])
