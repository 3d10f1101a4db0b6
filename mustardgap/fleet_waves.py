"""Waves of maintenance: which machines go down next, and what the operator is told."""

from collections.abc import Callable, Iterable

import msgspec

from .boards import OperatorBoard
from .events import EventLog
from .fleet_states import FleetState, OrderTimes, executor_in
from .ports import Boards, NoAnswer, Refused
from .shard_logs import ShardLog
from .timers import Clock
from .workloads import Configuration, Machine, Wave

# The share of a pool's machines that may be closed for maintenance at once while it has work.
MAX_CLOSED_SHARE = 0.34
# Emptying a machine takes about a lasting task's way to work on another, for each that it has.
LASTING_TASK_MOVE_S = 3.0
# A wave takes machines from pools that need them once the time left is less than this many times
# what its rounds take.
URGENCY_FACTOR = 1.7
# The same for machines with lasting tasks. These move one after another, so how long that takes is
# known better; it is begun in time, one machine at once, also in a pool that has none to spare.
LASTING_URGENCY_FACTOR = 1.2
# A wave that is due, or overdue, counts as having this long.
MIN_TIME_LEFT_S = 1.0
WAVE_KEY = "w/"

OrderIdle = Callable[[Machine, int], None]


class FleetWaves:
    """Carries waves out within what pools can spare.

    :param state: the fleet as it is known.
    :param log: the fleet's shard.
    :param boards: where the operator reads how far a wave is.
    :param operator: the waves.
    :param times: what orders take.
    :param needed: whether a pool has no machine to spare now.
    :param demand: a pool's demand in machines.
    :param order_idle: orders a machine of a standby pool down for a wave.
    :param clock: the clocks to read.
    :param events: the process's log.
    """

    def __init__(
        self,
        *,
        state: FleetState,
        log: ShardLog,
        boards: Boards,
        operator: OperatorBoard,
        times: OrderTimes,
        has_no_spare: Callable[[str], bool],
        demand: Callable[[str], float],
        order_idle: OrderIdle,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.done_by_wave: dict[int, set[str]] = {}
        self.log = log
        self._state = state
        self._boards = boards
        self._operator = operator
        self._times = times
        self._has_no_spare = has_no_spare
        self._demand = demand
        self._order_idle = order_idle
        self._clock = clock
        self._events = events
        # When each wave was first seen, in seconds since the epoch.
        self._first_seen_at_by_wave: dict[int, float] = {}
        self._reported_by_wave: dict[int, bool] = {}

    def restore(self, number: int, raw: bytes) -> None:
        """Take in what a former owner had done of a wave."""
        first_seen_at, done = msgspec.msgpack.decode(raw)
        self._first_seen_at_by_wave[number] = first_seen_at
        self.done_by_wave[number] = set(done)

    def open_waves(self) -> Iterable[Wave]:
        """The waves with machines left."""
        return [
            wave
            for _, wave in sorted(self._operator.waves_by_number.items())
            if self.remaining(wave)
        ]

    def remaining(self, wave: Wave) -> list[str]:
        """The machines of a wave that haven't had their maintenance."""
        done = self.done_by_wave.get(wave.number, set())
        return [name for name in wave.machines if name not in done]

    def mark_maintained(self, number: int, name: str) -> None:
        """Note that a machine has had its maintenance."""
        self.done_by_wave.setdefault(number, set()).add(name)
        self._store_wave(number)

    def _store_wave(self, number: int) -> None:
        done = sorted(self.done_by_wave.get(number, ()))
        first_seen_at = self._first_seen_at_by_wave.get(number, self._clock.wall())
        self.log.put(f"{WAVE_KEY}{number}", msgspec.msgpack.encode((first_seen_at, done)))

    def plan(self, configuration: Configuration) -> None:
        """Have the next machines emptied or ordered down."""
        now = self._clock.monotonic()
        for wave in self.open_waves():
            if wave.number not in self._first_seen_at_by_wave:
                self._first_seen_at_by_wave[wave.number] = self._clock.wall()
                self._store_wave(wave.number)
            urgent = self._is_urgent(wave)
            candidates = [
                self._state.machines_by_id[name]
                for name in self.remaining(wave)
                if self._state.can_close(name, now)
            ]
            candidates.sort(key=lambda machine: self._sort_key(machine, configuration))
            for machine in candidates:
                if self._state.is_standby(machine.pool, configuration):
                    if self.may_go_down(wave.number):
                        self._order_idle(machine, wave.number)
                elif self._within_wave_limit(machine, wave) and self._within_pool_limit(
                    machine, wave, urgent
                ):
                    self._state.close(machine, wave=wave.number)

    def _within_wave_limit(self, machine: Machine, wave: Wave) -> bool:
        # Lasting tasks move one after another, which takes longer than all the rest: their machines
        # are emptied ahead, and go down once they are empty and the wave has a place.
        if self._state.has_lasting_runs(machine):
            return True
        return self._closing_count(wave.number) < wave.at_once - self._down_count(wave.number)

    def may_go_down(self, number: int) -> bool:
        """Whether one more machine may be away for a wave."""
        return self._down_count(number) < self._operator.waves_by_number[number].at_once

    def _down_count(self, number: int) -> int:
        """How many machines are away for a wave, or were ordered so and may be."""
        return sum(1 for away in self._state.away_by_machine.values() if away.wave == number)

    def _closing_count(self, number: int) -> int:
        """How many machines without lasting tasks are being emptied for a wave."""
        return sum(
            1
            for name, closing in self._state.closing_by_machine.items()
            if closing.wave == number
            and name not in self._state.orders_by_machine
            and name in self._state.machines_by_id
            and not self._state.has_lasting_runs(self._state.machines_by_id[name])
        )

    def _is_urgent(self, wave: Wave) -> bool:
        """Whether a wave would be late if it waited for pools that have no machine to spare."""
        rounds = -(-len(self.remaining(wave)) // max(wave.at_once, 1))
        needed_s = rounds * (self._times.maintenance_s + LASTING_TASK_MOVE_S)
        return self._time_left_s(wave) < needed_s * URGENCY_FACTOR

    def _time_left_s(self, wave: Wave) -> float:
        return self._first_seen_at_by_wave[wave.number] + wave.finish_by_s - self._clock.wall()

    def _lasting_time_ratio(self, wave: Wave, pool: str) -> float:
        """How many times over the time left is needed to move a pool's lasting tasks one by one.

        From 1 on they have to move now, for their machines to be done in time: a pool that had
        risen for 11 s was left alone until the wave's last rounds, its five machines with lasting
        tasks then took 2.5 s each, and four of the wave's 98 were late. From 2 on one machine after
        another isn't enough: eight of them took until after the wave's end, although most tasks are
        of different steps, which may miss one each.
        """
        view = self._state.views_by_service[pool]
        machines = [self._state.machines_by_id.get(name) for name in self.remaining(wave)]
        due = {machine.executor for machine in machines if machine is not None}
        runs = sum(e.lasting_runs for e in view.executors if e.executor in due)
        if not runs:
            return 0.0
        needed_s = runs * LASTING_TASK_MOVE_S + self._times.maintenance_s
        return needed_s * LASTING_URGENCY_FACTOR / max(self._time_left_s(wave), MIN_TIME_LEFT_S)

    def _sort_key(self, machine: Machine, configuration: Configuration) -> tuple[int, int, int]:
        if self._state.is_standby(machine.pool, configuration):
            return 0, 0, 0
        view = self._state.views_by_service.get(machine.pool)
        executor = executor_in(view, machine.executor) if view else None
        if view is None or executor is None:
            return 2, 0, 0
        return 1, executor.lasting_runs, view.waiting_cpu + executor.used_cpu

    def _within_pool_limit(self, machine: Machine, wave: Wave, urgent: bool) -> bool:
        view = self._state.views_by_service.get(machine.pool)
        if view is None or executor_in(view, machine.executor) is None:
            return False
        has_lasting_runs = self._state.has_lasting_runs(machine)
        can_wait = not urgent and self._has_no_spare(machine.pool)
        rounds = self._lasting_time_ratio(wave, machine.pool) if has_lasting_runs else 0.0
        if can_wait and rounds <= 1.0:
            return False
        closing = [c for c in self._state.closing_by_machine.values() if c.source == machine.pool]
        lasting = {e.executor for e in view.executors if e.lasting_runs}
        closing_with_lasting = sum(1 for c in closing if c.executor in lasting)
        if has_lasting_runs and closing_with_lasting >= max(int(rounds), 1) and not urgent:
            # Lasting tasks move one at a time, and into what their pool has left.
            return False
        closed = len(closing) + len(self._state.incoming_machines(machine.pool))
        size = len(view.executors)
        has_spare = size - closed - 1 > self._demand(machine.pool)
        return has_spare or closed < max(1, int(size * MAX_CLOSED_SHARE))

    async def report_progress(self) -> None:
        """Tell the operator of waves that began or are completed."""
        for wave in list(self._operator.waves_by_number.values()):
            completed = not self.remaining(wave) and not any(
                away.wave == wave.number for away in self._state.away_by_machine.values()
            )
            if self._reported_by_wave.get(wave.number) is completed:
                continue
            if completed and not self.log.durable:
                continue
            outcome = await self._boards.write_status(wave=wave.number, completed=completed)
            if isinstance(outcome, Refused | NoAnswer):
                continue
            self._reported_by_wave[wave.number] = completed
            self._events.note(
                "wave.told",
                vital=True,
                wave=wave.number,
                completed=completed,
                left=len(self.remaining(wave)),
            )
