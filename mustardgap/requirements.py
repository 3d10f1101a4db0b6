"""Derives the capacity requirements of services and job pools from the declarations."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from .models import Declaration, Policy

LEAST_URGENT = 9
JOB_POOL_URGENCY = LEAST_URGENT + 1
DEFAULT_DRAIN_S = 600.0
DEFAULT_POLICY = Policy(
    maintain_every_s=28 * 86_400.0,
    reboot_s=600.0,
    buffer_weight=1.0,
    move_weight=1.0,
    spare_hosts=0,
)

Declarations = Mapping[str, Declaration | dict[str, Any]]


class PoolRange(NamedTuple):
    """The minimum and maximum number of hosts in one pool."""

    min_hosts: int
    max_hosts: int


class Requirement(NamedTuple):
    """The capacity requirement of one service or job pool.

    ``min_hosts`` hosts must remain after the loss of the largest failure domain of kind
    ``survive``. ``max_hosts`` limits the number of hosts in all its pools together.
    """

    name: str
    service: str
    min_hosts: int
    survive: str
    max_hosts: int
    urgency: int
    drain_s: float
    pools: dict[str, PoolRange]

    @property
    def floor(self) -> int:
        """The sum of the pools' minimum sizes."""
        return sum(p.min_hosts for p in self.pools.values())


def value_of(declaration: Declaration | dict[str, Any]) -> dict[str, Any]:
    """Return the value of a declaration; one that isn't on the log yet is a plain dict."""
    return declaration.value if isinstance(declaration, Declaration) else declaration


def read_requirements(declarations_by_key: Declarations) -> dict[str, Requirement]:
    """Derive the requirements from the declarations.

    A service that has no pool, or whose declaration or profile is missing, has no requirement.

    :param declarations_by_key: the declarations.
    :return: the requirements by name: a service's name, or ``pool/NAME`` for a job pool.
    """
    pools_by_service: dict[str, dict[str, PoolRange]] = {}
    by_name: dict[str, Requirement] = {}
    for key in sorted(declarations_by_key):
        kind, _, name = key.partition("/")
        if kind != "pool":
            continue
        pool = value_of(declarations_by_key[key])
        size = PoolRange(pool["min_hosts"], pool["max_hosts"])
        if pool["service"]:
            pools_by_service.setdefault(pool["service"], {})[name] = size
        else:
            by_name[key] = _job_pool_requirement(key, name, size)
    for service, pools in pools_by_service.items():
        requirement = _service_requirement(service, pools, declarations_by_key)
        if requirement is not None:
            by_name[service] = requirement
    return by_name


def read_policy(declarations_by_key: Declarations) -> Policy:
    """Return the policy whose name sorts first, or the default policy if there is none."""
    keys = sorted(key for key in declarations_by_key if key.startswith("policy/"))
    if not keys:
        return DEFAULT_POLICY
    return Policy(**value_of(declarations_by_key[keys[0]]))  # type: ignore[typeddict-item]


def _job_pool_requirement(key: str, name: str, size: PoolRange) -> Requirement:
    return Requirement(
        name=key,
        service="",
        min_hosts=size.min_hosts,
        survive="none",
        max_hosts=size.max_hosts,
        urgency=JOB_POOL_URGENCY,
        drain_s=DEFAULT_DRAIN_S,
        pools={name: size},
    )


def _service_requirement(
    service: str, pools: dict[str, PoolRange], declarations_by_key: Declarations
) -> Requirement | None:
    service_declaration = declarations_by_key.get(f"service/{service}")
    if service_declaration is None:
        return None
    profile_declaration = declarations_by_key.get(
        f"profile/{value_of(service_declaration)['profile']}"
    )
    if profile_declaration is None:
        return None
    profile = value_of(profile_declaration)
    pool_max_hosts = sum(p.max_hosts for p in pools.values())
    return Requirement(
        name=service,
        service=service,
        min_hosts=profile["availability"]["min_hosts"],
        survive=profile["availability"]["survive"],
        max_hosts=min(profile["room"]["max_hosts"], pool_max_hosts),
        urgency=profile["urgency"],
        drain_s=profile["disruption"]["drain_s"],
        pools=pools,
    )
