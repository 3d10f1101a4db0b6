"""Maintenance waves: which machines go down next, and reports of progress to the operator."""

from collections.abc import Callable, Iterable

import msgspec

from .boards import OperatorBoard
from .codecs import decode_msgpack
from .events import EventLog
from .fleet_states import FleetState, OrderTimes, executor_in
from .ports import Appended, Boards
from .shard_logs import ShardLog
from .timers import Clock
from .workloads import Configuration, Machine, Wave

# The largest share of a pool's machines that may be closed at once for maintenance while the pool
# needs them.
MAX_CLOSED_SHARE = 0.34
# Time until a lasting task that is moved works on another machine. Emptying a machine takes about
# this long for each lasting task on it.
LASTING_TASK_MOVE_S = 3.0
# A wave takes machines from pools without spare ones once the time left is less than the time that
# its rounds take, multiplied by this factor.
URGENCY_FACTOR = 1.7
# Safety factor on the time needed to move lasting tasks. It is lower than URGENCY_FACTOR because
# these tasks move one after another, so that the time is better known. Their machines are emptied
# in time, one at once, also in a pool without spare machines.
LASTING_URGENCY_FACTOR = 1.2
# The least time left that is assumed for a wave, also if it is due or overdue.
MIN_TIME_LEFT_S = 1.0
WAVE_KEY = "w/"

OrderIdle = Callable[[Machine, int], None]


class FleetWaves:
    """Carries out maintenance waves with the machines that pools can spare.

    :param state: the fleet as its owner knows it.
    :param log: the log of the fleet's shard.
    :param boards: where the progress of waves is written for the operator.
    :param operator: the waves.
    :param times: how long orders take.
    :param has_no_spare: whether a pool has no machine to spare now.
    :param demand: a pool's demand in machines.
    :param order_idle: sends a wave's maintenance order to a machine of a standby pool.
    :param clock: the clocks to read.
    :param events: the process's event log.
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
        # Wall-clock time at which each wave was first seen, in seconds since the epoch.
        self._first_seen_at_by_wave: dict[int, float] = {}
        self._reported_by_wave: dict[int, bool] = {}

    def restore(self, number: int, raw: bytes) -> None:
        """Restore the progress of a wave under a former owner."""
        first_seen_at, done = decode_msgpack(raw, tuple[float, list[str]])
        self._first_seen_at_by_wave[number] = first_seen_at
        self.done_by_wave[number] = set(done)

    def open_waves(self) -> Iterable[Wave]:
        """The waves with machines that have yet to be maintained, by number."""
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
        """Begin to empty the next machines, or order them down if nothing can run on them."""
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
        # Lasting tasks move one after another, which takes longer than everything else. Their
        # machines are emptied ahead of time, and go down once they are empty and the wave's limit
        # allows it.
        if self._state.has_lasting_runs(machine):
            return True
        return self._closing_count(wave.number) < wave.at_once - self._down_count(wave.number)

    def may_go_down(self, number: int) -> bool:
        """Whether the limit of a wave allows one more machine to be away."""
        return self._down_count(number) < self._operator.waves_by_number[number].at_once

    def _down_count(self, number: int) -> int:
        """How many machines are away for a wave, or may be as they were ordered so."""
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
        """Whether a wave would be late if it waited for pools without spare machines."""
        rounds = -(-len(self.remaining(wave)) // max(wave.at_once, 1))
        needed_s = rounds * (self._times.maintenance_s + LASTING_TASK_MOVE_S)
        return self._time_left_s(wave) < needed_s * URGENCY_FACTOR

    def _time_left_s(self, wave: Wave) -> float:
        return self._first_seen_at_by_wave[wave.number] + wave.finish_by_s - self._clock.wall()

    def _lasting_time_ratio(self, wave: Wave, pool: str) -> float:
        """The time to move a pool's lasting tasks one by one, with margin, over the time left.

        From 1 on, the tasks have to move now for their machines to be maintained in time. A pool
        with high demand for 11 s was skipped until the wave's last rounds; its five machines with
        lasting tasks then took 2.5 s each, and 4 of the wave's 98 machines were late. From 2 on,
        emptying one machine after another is too slow: eight of them took until after the wave's
        end. Several can be emptied at once, as most tasks belong to different steps, each of which
        may have one task missing.
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
        time_ratio = self._lasting_time_ratio(wave, machine.pool) if has_lasting_runs else 0.0
        if can_wait and time_ratio <= 1.0:
            return False
        closing = [c for c in self._state.closing_by_machine.values() if c.source == machine.pool]
        lasting = {e.executor for e in view.executors if e.lasting_runs}
        closing_with_lasting = sum(1 for c in closing if c.executor in lasting)
        if has_lasting_runs and closing_with_lasting >= max(int(time_ratio), 1) and not urgent:
            # Lasting tasks move one at a time, into the free capacity of their pool.
            return False
        closed = len(closing) + len(self._state.incoming_machines(machine.pool))
        size = len(view.executors)
        has_spare = size - closed - 1 > self._demand(machine.pool)
        return has_spare or closed < max(1, int(size * MAX_CLOSED_SHARE))

    async def report_progress(self) -> None:
        """Report waves that began or are completed to the operator."""
        for wave in list(self._operator.waves_by_number.values()):
            completed = not self.remaining(wave) and not any(
                away.wave == wave.number for away in self._state.away_by_machine.values()
            )
            if self._reported_by_wave.get(wave.number) is completed:
                continue
            if completed and not self.log.durable:
                continue
            outcome = await self._boards.write_status(wave=wave.number, completed=completed)
            if not isinstance(outcome, Appended):
                continue
            self._reported_by_wave[wave.number] = completed
            self._events.note(
                "wave.told",
                vital=True,
                wave=wave.number,
                completed=completed,
                left=len(self.remaining(wave)),
            )
