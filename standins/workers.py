"""A worker of the platform's fleet."""

import asyncio
from typing import Any

from mustardgap.models import ExecutorInfo, WorkerInfo

from .settings import FleetSpec, WorkerSpec


class Worker:
    """One worker.

    :param spec: its line in the fleet file.
    :param rack: its rack.
    :param data_center: its data center.
    :param fleet: the fleet file, for what the line doesn't say.
    """

    def __init__(self, *, spec: WorkerSpec, rack: str, data_center: str, fleet: FleetSpec) -> None:
        whole = fleet.worker
        self.name = spec.worker
        self.rack = rack
        self.data_center = data_center
        self.cores = whole.cores if spec.cores is None else spec.cores
        self.memory_gb = whole.memory_gb if spec.memory_gb is None else spec.memory_gb
        self.accelerators = whole.accelerators if spec.accelerators is None else spec.accelerators
        self.pool = spec.pool
        self.epoch = 0
        self.state = "up"
        self.boot = 1
        self.executors: list[ExecutorInfo] = []
        self.version = 0
        self.encoded = b""
        self.operation: dict[str, Any] | None = None
        self.runner: asyncio.Task[None] | None = None

    @property
    def targets(self) -> tuple[str, str, str]:
        """The names by which a fault may concern it."""
        return self.name, self.rack, self.data_center

    @property
    def room(self) -> dict[str, float]:
        """What it has for tasks."""
        return {
            "cores": self.cores,
            "memory_gb": self.memory_gb,
            "accelerators": self.accelerators,
        }

    def info(self) -> WorkerInfo:
        """The worker as the platform shows it."""
        return {
            "worker": self.name,
            "rack": self.rack,
            "data_center": self.data_center,
            "cores": self.cores,
            "memory_gb": self.memory_gb,
            "accelerators": self.accelerators,
            "pool": self.pool,
            "epoch": self.epoch,
            "state": self.state,  # type: ignore[typeddict-item]
            "boot": self.boot,
            "executors": self.executors,
        }
