"""Makes fleets of any size, folded by the real fold, for tests and benchmarks."""

from typing import Any, NamedTuple

from mustardgap import records
from mustardgap.folds import fold
from mustardgap.models import HostFacts, LogRecord
from mustardgap.outcomes import Accepted, Verdict
from mustardgap.states import State

WEEK_S = 7 * 86_400.0


class ServiceSpec(NamedTuple):
    """A service to make, with its profile and its one pool."""

    name: str
    min_hosts: int
    survive: str
    urgency: int = 3
    max_hosts: int = 1000
    drain_s: float = 60.0


class FleetSpec(NamedTuple):
    """A fleet to make; ``racks`` holds each rack's size, by data center."""

    racks: dict[str, list[int]]
    services: list[ServiceSpec]
    job_pools: dict[str, int] = {}
    buffer_weight: float = 1.0
    move_weight: float = 1.0
    spare_hosts: int = 1
    reboot_s: float = 300.0
    maintain_every_s: float = 4 * WEEK_S


class Ledger:
    """The state and the log it is folded from, without a platform.

    :param start: the log's time at its first record.
    """

    def __init__(self, *, start: float = 1_000_000.0) -> None:
        self.state = State()
        self.now = start
        self._count = 0

    def append(self, kind: str, body: Any) -> Verdict:
        """Append one record and fold it."""
        self._count += 1
        record = records.make(
            kind, body, writer="test", seen=self.state.offset, record_id=f"r{self._count}"
        )
        return fold(self.state, LogRecord(self.state.offset, self.now, dict(record)))

    def declare(self, values_by_key: dict[str, Any]) -> Verdict:
        """Publish declarations on the versions in force."""
        declared = self.state.declarations_by_key
        changes = [
            {"key": key, "base": declared[key].version if key in declared else -1, "value": value}
            for key, value in values_by_key.items()
        ]
        return self.append("config", {"changes": changes})

    def step_host(self, host: str, phase: str, pool: str, reason: str = "", **more: Any) -> Verdict:
        """Append a host's step on the epoch in force."""
        known = self.state.hosts_by_name.get(host)
        base = more.pop("base", known["epoch"] if known else 0)
        body = {"host": host, "base": base, "phase": phase, "pool": pool, "reason": reason, **more}
        return self.append("host", body)


def declarations_of(spec: FleetSpec) -> dict[str, Any]:
    """The declarations of a fleet, by key."""
    values: dict[str, Any] = {
        "policy/fleet": {
            "maintain_every_s": spec.maintain_every_s,
            "reboot_s": spec.reboot_s,
            "buffer_weight": spec.buffer_weight,
            "move_weight": spec.move_weight,
            "spare_hosts": spec.spare_hosts,
        },
        "team/all": {"max_cores": 1e6, "max_memory_gb": 1e6, "max_jobs": 100_000},
    }
    for service in spec.services:
        values.update(declarations_of_service(service))
    for name, size in spec.job_pools.items():
        values[f"pool/{name}"] = {"service": "", "min_hosts": size, "max_hosts": 1000}
    return values


def declarations_of_service(service: ServiceSpec) -> dict[str, Any]:
    """The declarations of one service: its profile, itself and its pool."""
    return {
        f"profile/{service.name}": {
            "room": {"max_hosts": service.max_hosts},
            "availability": {"min_hosts": service.min_hosts, "survive": service.survive},
            "disruption": {
                "steps": ["throttle", "checkpoint", "stop"],
                "warning_s": 5.0,
                "drain_s": service.drain_s,
                "idempotent": True,
            },
            "urgency": service.urgency,
        },
        f"service/{service.name}": {
            "profile": service.name,
            "team": "all",
            "path": f"/{service.name}",
        },
        f"pool/{service.name}": {"service": service.name, "min_hosts": 0, "max_hosts": 1000},
    }


def make(spec: FleetSpec) -> Ledger:
    """Make a ledger with all hosts in the spare pool and the declarations in force.

    :raises ValueError: the fold turned the fleet down.
    """
    ledger = Ledger()
    for data_center, sizes in spec.racks.items():
        for number, size in enumerate(sizes):
            add_rack(ledger, data_center, f"r{number:04}", size)
    verdict = ledger.declare(declarations_of(spec))
    if not isinstance(verdict, Accepted):
        raise ValueError(str(verdict))
    return ledger


def add_rack(ledger: Ledger, data_center: str, rack: str, size: int) -> None:
    """Register the hosts of one rack."""
    facts = HostFacts(
        rack=rack, data_center=data_center, cores=32.0, memory_gb=64.0, accelerators=0
    )
    for number in range(size):
        ledger.step_host(f"{data_center}-{rack}-{number}", "in_service", "", facts=facts)


def thekkady(*, survive: str = "rack", spare_racks: int = 2) -> FleetSpec:
    """Five services of six hosts in three data centers, four to a rack; buffer weighs most."""
    names = ["agreements", "listings", "office", "rent-ledger", "seeker-matching"]
    least = 4 if survive == "data_center" else 5
    return FleetSpec(
        racks=_spread(["kochi-a", "kochi-b", "thrissur"], 8 + spare_racks, 4),
        services=[ServiceSpec(n, least, survive, urgency=i * 2) for i, n in enumerate(names)],
        buffer_weight=3.0,
        move_weight=1.0,
    )


def federation(*, survive: str = "rack", spare_racks: int = 2) -> FleetSpec:
    """Five services of eight hosts in four data centers, four to a rack; moves weigh most."""
    names = ["balustrades", "cutting-plans", "drawing-office", "portal", "quoting"]
    least = 6 if survive == "data_center" else 7
    return FleetSpec(
        racks=_spread(["alloa", "falkirk", "perth", "stirling"], 10 + spare_racks, 4),
        services=[ServiceSpec(n, least, survive, urgency=i * 2) for i, n in enumerate(names)],
        buffer_weight=1.0,
        move_weight=3.0,
    )


def large(hosts: int, pools: int, *, free_share: float = 0.05) -> FleetSpec:
    """A fleet of ``hosts`` in seven data centers, four to a rack, with mixed services.

    A tenth of the services survives a data center, the others a rack or a host.
    """
    racks = _spread([f"dc{n}" for n in range(7)], hosts // 4, 4)
    share = hosts * (1 - free_share) / pools
    services = []
    for number in range(pools):
        survive = "data_center" if number % 10 == 0 else "host" if number % 3 == 0 else "rack"
        size = int(share * (0.5 + (number * 7 % 11) / 10))
        least = int(size * 6 / 7) - 1 if survive == "data_center" else size - 1
        services.append(ServiceSpec(f"s{number:03}", max(1, least), survive, number % 10))
    return FleetSpec(racks=racks, services=services, spare_hosts=max(1, hosts // 500))


def with_spare(spec: FleetSpec, served: int, spare: int) -> FleetSpec:
    """Cut a fleet down to so many hosts beyond the ``served`` ones, from the ends of its racks."""
    racks = {name: list(sizes) for name, sizes in spec.racks.items()}
    excess = sum(map(sum, racks.values())) - served - spare
    while excess > 0:
        name = max(racks, key=lambda n: (sum(racks[n]), n))
        racks[name][-1] -= 1
        excess -= 1
        if not racks[name][-1]:
            racks[name].pop()
    return spec._replace(racks=racks)


def _spread(data_centers: list[str], racks: int, size: int) -> dict[str, list[int]]:
    sizes: dict[str, list[int]] = {name: [] for name in data_centers}
    for number in range(racks):
        sizes[data_centers[number % len(data_centers)]].append(size)
    return sizes
