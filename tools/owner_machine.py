"""A state machine that hands jobs in, cancels them and brings troubles, in any order."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from mustardgap.workloads import JobSpec

from .owner_troubles import BY_NAME, LASTING, TWO_STEPS
from .owner_worlds import OwnerWorld
from .virtual_time import VirtualLoop

T = TypeVar("T")

START_S = 6.0
# Troubles last 13 s at the most, orders are held up for 12 s, and jobs of two steps take some 2 s.
END_S = 90.0
GANG = TWO_STEPS._replace(steps=(TWO_STEPS.steps[0]._replace(gang=True),))
REPEATED = TWO_STEPS._replace(steps=TWO_STEPS.steps[:1], repeats=2, interval_s=0.5)
SPECS: dict[str, JobSpec] = {
    "two steps": TWO_STEPS,
    "gang": GANG,
    "lasting": LASTING,
    "repeated": REPEATED,
}


class OwnerMachine(RuleBasedStateMachine):
    """Plays one world of owners; the oracle looks at it after each step.

    The oracle knows only what callers were told and what executors and machines did.
    """

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        """Make the world, and let its daemons find one another."""
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.troubles: list[asyncio.Future[None]] = []
        self.kinds_by_job: dict[str, str] = {}
        self.cancelled: set[str] = set()

        async def make() -> OwnerWorld:
            world = OwnerWorld(loop=self.loop, seed=seed)
            await asyncio.sleep(START_S)
            return world

        self.world = self._run(make())

    @rule(kind=st.sampled_from(sorted(SPECS)))
    def hand_in(self, kind: str) -> None:
        """Hand a job in, again and again, until it is accepted."""
        job = f"{len(self.kinds_by_job) + 1:016x}"
        spec = SPECS[kind]
        if spec.repeats:
            spec = spec._replace(first_at_s=self.loop.time() + 1_700_000_000.0 + 1)
        self.kinds_by_job[job] = kind
        assert self._run(self.world.submit_until_accepted(job, spec)), f"{job} isn't accepted"

    @precondition(lambda self: set(self.kinds_by_job) - self.cancelled)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Cancel a job, again and again, until that is confirmed."""
        job = data.draw(st.sampled_from(sorted(set(self.kinds_by_job) - self.cancelled)))

        async def cancel() -> bool:
            for number in range(60):
                if await self.world.cancel(job, self.world.names[number % 3]) == 200:
                    return True
                await asyncio.sleep(0.3)
            return False

        assert self._run(cancel()), f"{job} isn't cancelled"
        self.cancelled.add(job)

    @rule(name=st.sampled_from(sorted(BY_NAME)), pause_s=st.floats(0.0, 2.0))
    def trouble(self, name: str, pause_s: float) -> None:
        """Bring a trouble; it goes on while others come."""

        async def bring() -> None:
            self.troubles.append(asyncio.ensure_future(BY_NAME[name](self.world)))
            await asyncio.sleep(pause_s)

        self._run(bring())

    @rule(seconds=st.floats(0.05, 5.0))
    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self._run(asyncio.sleep(seconds))

    @invariant()
    def promises_hold(self) -> None:
        """Nothing that callers, executors or machines saw breaks a promise."""
        if hasattr(self, "world"):
            assert not self.world.problems(), "\n".join(self.world.problems())

    def teardown(self) -> None:
        """Let troubles end; then each job has to have ended, and none to have broken a promise."""
        if not hasattr(self, "world"):
            return
        try:
            self._run(self._end())
            self.promises_hold()
        finally:
            self.world.close()
            pending = asyncio.all_tasks(self.loop)
            for task in pending:
                task.cancel()
            self._run(asyncio.wait(pending) if pending else asyncio.sleep(0))
            asyncio.set_event_loop(None)
            self.loop.close()

    async def _end(self) -> None:
        await asyncio.gather(*self.troubles)
        for name in self.world.names:
            self.world.start(name)
        for job, kind in self.kinds_by_job.items():
            if job in self.cancelled or kind == "lasting":
                continue
            state = await self.world.final_state(job, END_S)
            assert state in ("completed", "failed"), f"{job}, {kind}, is {state or 'unknown'}"

    def _run(self, work: Coroutine[Any, Any, T]) -> T:
        return self.loop.run_until_complete(work)
