"""What the fleet's owner knows: machines, pools, what is being emptied and what is away."""

import asyncio
from collections import defaultdict
from typing import NamedTuple

from .events import EventLog
from .pool_views import ExecutorView, PoolView
from .timers import Clock
from .workloads import Configuration, Machine

UP = "up"


class Closing(NamedTuple):
    """A machine that is being emptied, and for what; ``wave`` or ``pool`` is set."""

    executor: str
    source: str
    since: float
    wave: int | None
    pool: str | None


class Away(NamedTuple):
    """A machine that was ordered away: the executor that it had, and when it should be back."""

    executor: str
    pool: str
    back_at: float
    wave: int | None


class EndedExecutor(NamedTuple):
    """The pool of an executor whose life has ended, since when that is known, and its machine."""

    pool: str
    at: float
    machine: str = ""


class OrderTimes(NamedTuple):
    """What orders take on this deployment, in seconds."""

    move_s: float
    maintenance_s: float
    lease_s: float


class FleetState:
    """The fleet as its owner knows it.

    :param clock: the clocks to read.
    :param events: the process's log.
    """

    def __init__(self, *, clock: Clock, events: EventLog) -> None:
        self.machines_by_id: dict[str, Machine] = {}
        self.views_by_service: dict[str, PoolView] = {}
        self.viewed_at_by_service: dict[str, float] = {}
        self.closing_by_machine: dict[str, Closing] = {}
        self.away_by_machine: dict[str, Away] = {}
        self.orders_by_machine: dict[str, asyncio.Task[None]] = {}
        self.not_before_by_machine: dict[str, float] = {}
        self._clock = clock
        self._events = events

    def close(self, machine: Machine, *, wave: int | None = None, pool: str | None = None) -> None:
        """Have a machine emptied, for a wave or for another pool."""
        self.closing_by_machine[machine.machine] = Closing(
            machine.executor, machine.pool, self._clock.monotonic(), wave, pool
        )
        self._events.note(
            "machine.close",
            machine=machine.machine,
            executor=machine.executor,
            pool=machine.pool,
            wave=wave,
            to=pool,
        )

    def can_close(self, name: str, now: float) -> bool:
        """Whether a machine is up, and nothing is planned with it."""
        machine = self.machines_by_id.get(name)
        return (
            machine is not None
            and machine.state == UP
            and name not in self.closing_by_machine
            and name not in self.away_by_machine
            and name not in self.orders_by_machine
            and now >= self.not_before_by_machine.get(name, 0.0)
        )

    def is_empty(self, closing: Closing, since: float) -> bool:
        """Whether a machine that is being emptied is known to be empty.

        :param since: steady time that its pool's word has to be younger than.
        """
        viewed_at = self.viewed_at_by_service.get(closing.source, float("-inf"))
        if viewed_at <= closing.since or viewed_at < since:
            return False
        view = executor_in(self.views_by_service[closing.source], closing.executor)
        return view is not None and view.settled and not (view.short_runs or view.lasting_runs)

    def incoming_machines(self, pool: str) -> dict[str, Away]:
        """The machines that were ordered to a pool and don't work there yet, by their names.

        A machine's new executor serves up to a second before the list of machines shows it. Counted
        as there and as on its way, a pool let machines go that it had, and asked for none that it
        lacked.
        """
        executors_by_machine: defaultdict[str, set[str]] = defaultdict(set)
        for executor in self.views_by_service[pool].executors:
            executors_by_machine[executor.machine].add(executor.executor)
        return {
            name: away
            for name, away in self.away_by_machine.items()
            if away.pool == pool and not executors_by_machine[name] - {away.executor}
        }

    def has_lasting_runs(self, machine: Machine) -> bool:
        """Whether lasting tasks run on a machine."""
        view = self.views_by_service.get(machine.pool)
        executor = executor_in(view, machine.executor) if view else None
        return executor is not None and executor.lasting_runs > 0

    def is_standby(self, pool: str, configuration: Configuration) -> bool:
        """Whether the machines of a pool are off and cost nothing."""
        service = configuration.services_by_name.get(pool)
        return service is not None and service.standby


def has_returned(machine: Machine, away: Away) -> bool:
    """Whether a machine that was ordered away is up in its new life."""
    # The list lags behind: one that shows the machine's earlier life is no proof. The machines of
    # a standby pool have no executor in any life.
    another_life = machine.executor != away.executor or not away.executor
    return machine.state == UP and machine.pool == away.pool and another_life


def executor_in(view: PoolView, executor: str) -> ExecutorView | None:
    """A pool's view of one executor."""
    return next((e for e in view.executors if e.executor == executor), None)
