"""A fake fleet of machines: lists them, moves them and takes them down, and checks the orders."""

import asyncio
from typing import TYPE_CHECKING

from mustardgap.ports import Done, Fenced, MachineList, NoAnswer, Order, Refused
from mustardgap.workloads import Machine, Room

if TYPE_CHECKING:
    from .fake_executors import FakeExecutor
    from .owner_worlds import OwnerWorld

ANSWER_S = 0.004
MOVE_S, MAINTENANCE_S, LEASE_S = 1.5, 2.0, 3.0
TIMEOUT_S = 1.0
CAPACITY = Room(cpu=8_000, memory_mb=16_000, gpus=0)


class _Place:
    def __init__(self, pool: str) -> None:
        self.pool = pool
        self.state = "up"
        self.executor: FakeExecutor | None = None
        self.fence = 0
        self.last: tuple[str, float] | None = None
        self.waves_done: set[int] = set()


class FakeMachines:
    """All machines.

    :param world: bears and ends their executors.
    """

    def __init__(self, *, world: "OwnerWorld") -> None:
        self.problems: list[str] = []
        self.moves = 0
        # Orders that had been carried out before.
        self.repeats = 0
        self.lost_share = 0.0
        # Machines whose rows can't be read.
        self.unreadable: set[str] = set()
        self.down_by_wave: dict[int, int] = {}
        self.at_once_by_wave: dict[int, int] = {}
        self.places: dict[str, _Place] = {}
        self._world = world

    def add(self, name: str, pool: str) -> None:
        """Add a machine to a pool."""
        place = self.places[name] = _Place(pool)
        if not self._is_standby(pool):
            place.executor = self._world.bear(name, pool)

    def list(self) -> MachineList:
        """The machines as they are, without those whose rows can't be read."""
        machines = [
            Machine(
                name,
                place.pool,
                place.state,
                "d1",
                (),
                CAPACITY,
                place.executor.entry.executor if place.executor else "",
            )
            for name, place in self.places.items()
            if name not in self.unreadable
        ]
        return MachineList(machines=machines, invalid=tuple(sorted(self.unreadable)))

    def order(
        self, name: str, pool: str | None, wave: int | None, holder: str, fence: int
    ) -> Done | Fenced | Refused:
        """Carry an order out."""
        place = self.places[name]
        now = asyncio.get_running_loop().time()
        if fence < place.fence:
            return Fenced()
        if (wave is not None and wave in place.waves_done) or pool == place.pool:
            self.repeats += 1
            return Done()
        if place.state != "up":
            return Refused(detail="409 busy")
        if place.last is not None and place.last[0] != holder and now - place.last[1] < LEASE_S:
            self.problems.append(f"{name} was ordered by {place.last[0]} and {holder} in turns")
        if fence == place.fence and place.last is not None and place.last[0] != holder:
            self.problems.append(f"{name} was ordered by two holders under fence {fence}")
        place.fence = fence
        place.last = (holder, now)
        self._end_life(name, place)
        place.state = "moving" if wave is None else "upkeep"
        if wave is not None:
            place.waves_done.add(wave)
            self.down_by_wave[wave] = self.down_by_wave.get(wave, 0) + 1
            if self.down_by_wave[wave] > self.at_once_by_wave[wave]:
                self.problems.append(f"{name} went down while enough of wave {wave} were")
        else:
            assert pool is not None
            self.moves += 1
            place.pool = pool
        takes_s = MOVE_S if wave is None else MAINTENANCE_S
        asyncio.get_running_loop().call_later(takes_s, self._return, name, wave)
        return Done()

    def _end_life(self, name: str, place: _Place) -> None:
        executor = place.executor
        if executor is None:
            return
        for task, _ in executor.runs:
            asked = self._world.asked_by_job[task.job]
            if asked.spec.steps[task.step].may_miss is not None and not asked.cancelled_at:
                self.problems.append(f"{task} was ended by an order to {name}")
        executor.crash()
        self._world.store.write_entry(executor.entry.executor, None)
        place.executor = None

    def _return(self, name: str, wave: int | None) -> None:
        place = self.places[name]
        place.state = "up"
        if wave is not None:
            self.down_by_wave[wave] -= 1
        if not self._is_standby(place.pool):
            place.executor = self._world.bear(name, place.pool)

    def _is_standby(self, pool: str) -> bool:
        return pool == "spare"


class MachinePort:
    """The product's ``Machines`` over the fake fleet.

    :param machines: all machines.
    """

    def __init__(self, *, machines: FakeMachines) -> None:
        self._machines = machines

    async def machines(self) -> MachineList | Refused | NoAnswer:
        await asyncio.sleep(ANSWER_S)
        return self._machines.list()

    async def move(self, *, machine: str, pool: str, holder: str, fence: int) -> Order:
        return await self._order(machine, pool, None, holder, fence)

    async def maintain(self, *, machine: str, wave: int, holder: str, fence: int) -> Order:
        return await self._order(machine, None, wave, holder, fence)

    async def _order(
        self, machine: str, pool: str | None, wave: int | None, holder: str, fence: int
    ) -> Order:
        await asyncio.sleep(ANSWER_S)
        outcome = self._machines.order(machine, pool, wave, holder, fence)
        lost = self._machines._world.fleet.random.random() < self._machines.lost_share
        if lost:
            await asyncio.sleep(TIMEOUT_S)
            return NoAnswer(sent=True, detail="the answer was lost")
        await asyncio.sleep(ANSWER_S)
        return outcome
