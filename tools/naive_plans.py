"""Obvious ways of planning, to compare the planner with."""

from collections import Counter

from tools.exact import Rack
from tools.fleets import FleetSpec, ServiceSpec

Placement = dict[str, str]


def rebuild(spec: FleetSpec, racks: list[Rack], gone: set[str]) -> Placement:
    """Place everything anew: each service in turn takes hosts rack by rack until it is safe.

    :param gone: hosts that can't be used.
    :return: the service by host.
    """
    free = {
        rack.name: [
            f"{rack.name.replace('/', '-')}-{number}"
            for number in range(rack.size)
            if f"{rack.name.replace('/', '-')}-{number}" not in gone
        ]
        for rack in racks
    }
    placement: Placement = {}
    for service in spec.services:
        held: Counter[str] = Counter()
        while not is_safe(service, held, racks):
            options = [rack.name for rack in racks if free[rack.name]]
            if not options:
                break
            rack = min(options, key=lambda name: held[name])
            held[rack] += 1
            placement[free[rack].pop(0)] = service.name
    return placement


def is_safe(service: ServiceSpec, held: Counter[str], racks: list[Rack]) -> bool:
    """Whether a service keeps its hosts, whichever domain is lost."""
    total = sum(held.values())
    if service.survive == "none":
        return total >= service.min_hosts
    if service.survive == "host":
        return total - min(total, 1) >= service.min_hosts
    lost: Counter[str] = Counter()
    for rack in racks:
        lost[rack.name if service.survive == "rack" else rack.data_center] += held[rack.name]
    return total - max(lost.values(), default=0) >= service.min_hosts


def moves_between(before: Placement, after: Placement) -> int:
    """How many hosts change their pool."""
    return sum(before.get(host) != after.get(host) for host in before.keys() | after.keys())


def spare_domain_hosts(spec: FleetSpec, rack_size: int) -> int:
    """Hosts of buffer with one spare failure domain a pool, as is often done by hand."""
    racks = max((len(sizes) for sizes in spec.racks.values()), default=1)
    by_domain = {"none": 0, "host": 1, "rack": rack_size, "data_center": racks * rack_size}
    buffer = 0
    for service in spec.services:
        if service.survive == "data_center":
            buffer += -(-service.min_hosts // max(1, len(spec.racks) - 1))
        else:
            buffer += by_domain[service.survive]
    return buffer
