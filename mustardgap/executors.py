"""Which executors of a service may be chosen, and how healthy they look."""

from typing import Any, NamedTuple, Protocol

from .models import WorkerInfo
from .settings import Settings
from .timers import Clock
from .upstreams import TryResult


class ExecutorView(NamedTuple):
    """An executor that may be chosen; ``weight`` is 1, or less while it starts slowly."""

    executor: str
    address: str
    worker: str
    rack: str
    slots: int
    weight: float


class HasWorkers(Protocol):
    """The polled view of workers."""

    by_id: dict[str, WorkerInfo]

    def on_change(self, callback: Any) -> None:
        """Call back with the workers that changed."""


class HasHosts(Protocol):
    """The part of the folded state that is read here."""

    hosts_by_name: dict[str, Any]
    declarations_by_key: dict[str, Any]


class Executors:
    """The executors of every service.

    :param settings: the daemon's settings.
    :param state: the folded state.
    :param workers: the polled view of workers.
    :param clock: the clocks to read.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        state: HasHosts,
        workers: HasWorkers,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.state = state
        self.workers = workers
        self.clock = clock or Clock()

    def candidates(self, service: str) -> list[ExecutorView]:
        """List the executors of a service that may be chosen now."""
        views = []
        for worker, info in self.workers.by_id.items():
            if not self._serves(worker, info):
                continue
            for e in info["executors"]:
                if e["service"] == service:
                    view = ExecutorView(
                        e["executor"], e["address"], worker, info["rack"], e["slots"], 1.0
                    )
                    views.append(view)
        return views

    def report(self, executor: str, result: TryResult, took_s: float = 0.0) -> None:
        """Take in how a try went."""

    def leaving(self, executor: str) -> None:
        """Choose this executor no more: it is about to leave."""

    def _serves(self, worker: str, info: WorkerInfo) -> bool:
        host = self.state.hosts_by_name.get(worker)
        if host is not None and host["phase"] != "in_service":
            return False
        return info["state"] == "up"
