"""The fleet, the declarations and the mix of requests that the whole system is fuzzed with."""

from typing import Any

from .load import Kind

DAEMONS = ("e1", "e2", "e3", "e4")
EXECUTORS = ("x1", "x2")
SERVICES = ("alpha", "beta")
BUFFERED_BYTES = 262_144
LARGE_BYTES = 400_000
LEAST_BY_POOL = {"alpha": 2, "beta": 2}
# Declarations that operators race to change, each with the field and its first value.
FIELDS = {
    "team/alpha": "max_jobs",
    "team/beta": "max_cores",
    "pool/alpha": "min_hosts",
    "pool/beta": "max_hosts",
}
# The values that racing operators choose from for a field that can't be just any number.
VALUES_BY_KEY = {"pool/alpha": (2, 3, 4), "pool/beta": (4, 5, 6)}

_POOLS_BY_RACK = {
    "r0": ("alpha", "beta", "batch"),
    "r1": ("alpha", "beta", ""),
    "r2": ("alpha", "beta", ""),
    "r3": ("alpha", "beta"),
    "r4": ("alpha", "batch"),
}
_RACKS_BY_CENTER = {"dc0": ("r0", "r3"), "dc1": ("r1", "r4"), "dc2": ("r2",)}
RACKS = tuple(_POOLS_BY_RACK)
WORKERS = tuple(f"w{i}" for i in range(sum(len(pools) for pools in _POOLS_BY_RACK.values())))


def fleet() -> dict[str, Any]:
    """Two services, a pool for jobs and two spare hosts on five racks in three data centers."""
    names = iter(WORKERS)
    workers_by_rack = {
        rack: [{"worker": next(names), "pool": pool} for pool in pools]
        for rack, pools in _POOLS_BY_RACK.items()
    }
    centers = [
        {
            "data_center": center,
            "racks": [{"rack": rack, "workers": workers_by_rack[rack]} for rack in racks],
        }
        for center, racks in _RACKS_BY_CENTER.items()
    ]
    return {
        "worker": {"cores": 32, "memory_gb": 64, "accelerators": 0},
        "services_by_pool": {service: service for service in SERVICES},
        "data_centers": centers,
    }


def declared() -> dict[str, Any]:
    """The declarations at the start."""
    return {
        "profiles": {
            "alpha": _profile("rack", ["GET", "HEAD", "PUT", "DELETE"]),
            "beta": _profile("host", ["GET", "HEAD"]),
        },
        "services": {
            name: {"profile": name, "team": name, "path": f"/{name}"} for name in SERVICES
        },
        "pools": {
            "alpha": {"service": "alpha", "min_hosts": 3, "max_hosts": 7},
            "beta": {"service": "beta", "min_hosts": 2, "max_hosts": 5},
            "batch": {"service": "", "min_hosts": 1, "max_hosts": 4},
        },
        "teams": {
            name: {"max_cores": 64, "max_memory_gb": 128, "max_jobs": 100} for name in SERVICES
        },
        "policies": {
            "default": {
                "maintain_every_s": 2_419_200,
                "reboot_s": 5,
                "buffer_weight": 1,
                "move_weight": 1,
                "spare_hosts": 0,
            }
        },
    }


def _profile(survive: str, idempotent_methods: list[str]) -> dict[str, Any]:
    return {
        "room": {"max_hosts": 7},
        "availability": {"min_hosts": 2, "survive": survive},
        "disruption": {"steps": [], "warning_s": 0, "drain_s": 30, "idempotent": False},
        "urgency": 1,
        "limits": {
            "timeout_s": 10,
            "max_wait_s": 2,
            "max_body_bytes": 8_388_608,
            "idempotent_methods": idempotent_methods,
        },
    }


def mix() -> list[Kind]:
    """Reads and writes, some with a key, some sent twice at once, some of them asked again."""
    kinds = []
    for service in SERVICES:
        at = {"service": service, "path": f"/{service}/x", "timeout_s": 4.0}
        again = {"method": "POST", "keyed": True, "body_bytes": 500, "ask_again": 8}
        kinds += [
            Kind(weight=4, **at),  # type: ignore[arg-type]
            Kind(weight=0.3, answer_bytes=LARGE_BYTES, **at),  # type: ignore[arg-type]
            Kind(weight=3, method="POST", body_bytes=2000, **at),  # type: ignore[arg-type]
            Kind(weight=1, method="PUT", idempotent=service == "alpha", **at),  # type: ignore[arg-type]
            Kind(weight=2, twice=0.3, **again, **at),  # type: ignore[arg-type]
        ]
    return kinds


def job(*, idempotent: bool, run_s: float) -> dict[str, Any]:
    """The spec of a job."""
    return {
        "team": "alpha" if idempotent else "beta",
        "urgency": 5,
        "cores": 2,
        "memory_gb": 4,
        "accelerators": 0,
        "run_s": run_s,
        "idempotent": idempotent,
        "payload": {"real_run_s": run_s},
    }
