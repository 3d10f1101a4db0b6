"""The fleet as its owner knows it: machines, pools, machines being emptied and machines away."""

import asyncio
from collections import defaultdict
from typing import NamedTuple

from .events import EventLog
from .pool_views import ExecutorView, PoolView
from .timers import Clock
from .workloads import Configuration, Machine

UP = "up"


class Closing(NamedTuple):
    """A machine that is being emptied.

    ``source`` is its pool, and ``since`` a monotonic time. Either ``wave`` is set, for maintenance,
    or ``pool``, the pool that gets the machine.
    """

    executor: str
    source: str
    since: float
    wave: int | None
    pool: str | None


class Away(NamedTuple):
    """A machine that was ordered away.

    ``executor`` is the one that it had, ``pool`` its pool after the order, and ``back_at`` the
    monotonic time by which it should be back.
    """

    executor: str
    pool: str
    back_at: float
    wave: int | None


class EndedExecutor(NamedTuple):
    """An executor that has ended, or should have by an order to its machine.

    ``at`` is the monotonic time at which that became known, or of the order. ``machine`` is its
    machine if that was ordered away, empty otherwise.
    """

    pool: str
    at: float
    machine: str = ""


class OrderTimes(NamedTuple):
    """How long orders take on this deployment, in seconds.

    ``lease_s`` is the time within which two holders must not order the same machine.
    """

    move_s: float
    maintenance_s: float
    lease_s: float


class FleetState:
    """The fleet as its owner knows it.

    :param clock: the clocks to read.
    :param events: the process's event log.
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
        """Begin to empty a machine.

        :param wave: the number of the wave that maintains it, if any.
        :param pool: the pool that gets it, if any.
        """
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
        """Whether a machine is up, and isn't being emptied, ordered or away.

        :param now: monotonic time.
        """
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

        :param since: the earliest monotonic time at which its pool's view may have been taken.
        """
        viewed_at = self.viewed_at_by_service.get(closing.source, float("-inf"))
        if viewed_at <= closing.since or viewed_at < since:
            return False
        view = executor_in(self.views_by_service[closing.source], closing.executor)
        return view is not None and view.up_to_date and not (view.short_runs or view.lasting_runs)

    def incoming_machines(self, pool: str) -> dict[str, Away]:
        """The machines that were ordered to a pool and don't work there yet, by name.

        A machine's new executor serves up to a second before the list of machines shows it. If such
        a machine counted both as present and as incoming, its pool would release machines that it
        needs, and not ask for those that it lacks.
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
    """Whether a machine that was ordered away is up in its pool, with a new executor."""
    # The list of machines lags: a row with the earlier executor is no proof that the machine is
    # back. The machines of a standby pool never have an executor.
    has_new_executor = machine.executor != away.executor or not away.executor
    return machine.state == UP and machine.pool == away.pool and has_new_executor


def executor_in(view: PoolView, executor: str) -> ExecutorView | None:
    """A pool's view of one executor."""
    return next((e for e in view.executors if e.executor == executor), None)
