"""Fake executors in one process: runs under leases and fences, with faults, and a record of all."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from mustardgap.ports import (
    Fenced,
    NoAnswer,
    OtherIncarnation,
    Started,
    StartRefused,
    Stopped,
)
from mustardgap.workloads import (
    EndKind,
    EndRow,
    ExecutorEntry,
    Report,
    Room,
    RunRow,
    TaskId,
)

ANSWER_S = 0.002
TIMEOUT_S = 0.5
LONGEST_LEASE_S = 10.0
STOP_S = 1.5
AT_WORK_S = 0.5
STEP_S = 0.02
# The most ends that a report lists, the oldest first.
MAX_LISTED_ENDS = 500
GANG_S = 3.0
# A capacity that has shrunk has to be known this long after: contact and one heartbeat.
SHRUNK_S = 4.5


class RunRecord(NamedTuple):
    """One run as it truly was; ``ended_at`` None while it goes on."""

    task: TaskId
    run: int
    executor: str
    started_at: float
    fence: int
    payload: str
    ended_at: float | None
    how: EndKind | None


class _Run:
    def __init__(self, *, work_s: float, now: float, index: int) -> None:
        self.work_s = work_s
        self.done_s = 0.0
        self.started_at = now
        self.stop_at: float | None = None
        self.index = index
        self.pace = 100

    @property
    def at_work(self) -> bool:
        return self.stop_at is None and _now() - self.started_at > AT_WORK_S


class FakeExecutor:
    """One life of an executor.

    :param entry: what it says of itself.
    :param record: where what it does is kept.
    :param work: how long a task takes; None for a lasting one.
    :param rate: its clock's speed against true time.
    """

    def __init__(
        self,
        *,
        entry: ExecutorEntry,
        record: "FleetRecord",
        work: Callable[[TaskId], float | None],
        rate: float = 1.0,
    ) -> None:
        self.entry = entry
        self.record = record
        self.rate = rate
        self.alive = True
        # Without power its system answers nothing, not even that nobody listens.
        self.dark = False
        self.speed = 1.0
        # Whether it refuses what doesn't fit.
        self.guards = True
        self.resized_at = float("-inf")
        self.capacity_before = entry.capacity
        self.fails = False
        self.hangs = False
        # Acknowledgements don't reach it.
        self.deaf = False
        self.fence = 0
        self.lease_until_ms = 0
        self.acknowledged = 0
        self.runs: dict[tuple[TaskId, int], _Run] = {}
        self.ended: list[EndRow] = []
        self.stopped_by_task: dict[TaskId, int] = {}
        self.count = 0
        self.changed = asyncio.Event()
        self._lapsed_ms = 0
        self._work = work
        self._born = _now()
        self._at = self._born

    def clock_ms(self) -> int:
        return int((_now() - self._born) * 1000 * self.rate)

    @property
    def free(self) -> Room:
        return self.entry.capacity.minus(self._used())

    def _used(self) -> Room:
        used = Room()
        for task, _ in self.runs:
            used = used.plus(self.record.room_of(task))
        return used

    def resize(self, capacity: Room) -> None:
        """Have another capacity from now on; its next entry shows it."""
        self.capacity_before = self._may_know_capacity()
        self.resized_at = _now()
        self.entry = self.entry._replace(capacity=capacity)

    def _may_know_capacity(self) -> Room:
        """The most that an owner may still take for its capacity."""
        now, before = self.entry.capacity, self.capacity_before
        if _now() - self.resized_at > SHRUNK_S:
            return now
        return Room(*(max(one, other) for one, other in zip(now, before, strict=True)))

    def start(self, task: TaskId, run: int, payload: str, until_ms: int, fence: int):  # type: ignore
        if (refusal := self._fenced(fence)) is not None:
            return refusal
        if (task, run) in self.runs:
            return Started(clock_ms=self.clock_ms())
        if until_ms <= self.clock_ms():
            return StartRefused(reason="late", clock_ms=self.clock_ms())
        self._extend(until_ms)
        if run <= self.stopped_by_task.get(task, 0):
            return StartRefused(reason="old", clock_ms=self.clock_ms())
        room = self.record.room_of(task)
        if self.guards and not self.free.holds(room):
            return StartRefused(reason="room", clock_ms=self.clock_ms())
        if not self._may_know_capacity().minus(self._used()).holds(room):
            self.record.on_overload(task, self.entry.executor)
        work = self._work(task)
        index = self.record.begin(task, run, self.entry.executor, fence, payload)
        self.runs[task, run] = _Run(work_s=work or 1e9, now=_now(), index=index)
        crash_s = self.record.crash_after(task)
        if crash_s is not None:
            asyncio.get_running_loop().call_later(crash_s, self._crash_by, (task, run))
        return Started(clock_ms=self.clock_ms())

    def stop(self, task: TaskId, run: int, fence: int):  # type: ignore[no-untyped-def]
        if (refusal := self._fenced(fence)) is not None:
            return refusal
        self.stopped_by_task[task] = max(run, self.stopped_by_task.get(task, 0))
        there = self.runs.get((task, run))
        if there is not None and there.stop_at is None:
            if self._work(task) is None and there.at_work and not self.entry.draining:
                self.record.on_stop(task)
            there.stop_at = _now() + STOP_S
        return Stopped(clock_ms=self.clock_ms())

    def report(self) -> Report:
        running = tuple(
            RunRow(task, run, self.record.checkpoint_of(task), self._percent(task, there))
            for (task, run), there in self.runs.items()
        )
        ended = tuple(end for end in self.ended if end.number > self.acknowledged)
        listed = ended[:MAX_LISTED_ENDS]
        return Report(self.clock_ms(), running, listed, self.entry.started_ms)

    def hold(self, fence: int, acknowledged: int, until_ms: int | None):  # type: ignore
        if (refusal := self._fenced(fence)) is not None:
            return refusal
        if acknowledged > self.acknowledged and not self.deaf:
            self.record.acknowledge(
                self.entry.executor,
                [e for e in self.ended if self.acknowledged < e.number <= acknowledged],
            )
            self.acknowledged = acknowledged
        if until_ms is not None:
            self._extend(until_ms)
        return None

    def step(self) -> None:
        """Let time pass: work goes on, leases lapse, stops take effect."""
        now = _now()
        passed = now - self._at
        self._at = now
        if not self.alive:
            return
        if self.clock_ms() > self.lease_until_ms > self._lapsed_ms:
            self._lapsed_ms = self.lease_until_ms
            self.record.lapses.append((self.entry.executor, now))
            for key in list(self.runs):
                self._end(key, EndKind.LAPSED)
            return
        for key, run in list(self.runs.items()):
            if run.stop_at is not None and now >= run.stop_at:
                self._end(key, EndKind.STOPPED)
                continue
            if not self.hangs:
                run.done_s += passed * self.speed * run.pace / 100
            if run.done_s >= run.work_s:
                self._end(key, EndKind.FAILED if self.fails else EndKind.DONE)

    def crash(self, *, dark: bool = False) -> None:
        """End at once, with all that runs.

        :param dark: whether its machine loses power, so that nothing closes its connections.
        """
        self.alive = False
        self.dark = dark
        for run in self.runs.values():
            self.record.finish(run.index, None)
        self.runs.clear()
        self.changed.set()

    def _crash_by(self, key: tuple[TaskId, int]) -> None:
        """Go down by a task, if it still runs here."""
        if key in self.runs:
            self.crash()
            self.record.on_crash(self)

    def _percent(self, task: TaskId, run: _Run) -> int:
        if self._work(task) is None:
            return 100 if _now() - run.started_at > AT_WORK_S else 0
        return min(99, int(100 * run.done_s / run.work_s))

    def _end(self, key: tuple[TaskId, int], how: EndKind) -> None:
        run = self.runs.pop(key)
        self.count += 1
        self.ended.append(EndRow(self.count, key[0], key[1], how, ""))
        self.stopped_by_task[key[0]] = max(key[1], self.stopped_by_task.get(key[0], 0))
        self.record.finish(run.index, how)
        self.changed.set()

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + int(LONGEST_LEASE_S * 1000)
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, longest))

    def _fenced(self, fence: int) -> Fenced | None:
        if fence < self.fence:
            return Fenced()
        self.fence = fence
        return None


class FleetRecord:
    """What all executors truly did; the oracle reads it."""

    def __init__(self) -> None:
        self.runs: list[RunRecord] = []
        self.acknowledged: list[tuple[float, str, EndRow]] = []
        self.lapses: list[tuple[str, float]] = []
        self.room_of: Callable[[TaskId], Room] = lambda task: Room()
        # The checkpoint of a task that runs; empty for none.
        self.checkpoint_of: Callable[[TaskId], str] = lambda task: ""
        # Told of each stop of a lasting task that is at work on a sound executor.
        self.on_stop: Callable[[TaskId], None] = lambda task: None
        # How many seconds after its start a task crashes its executor; None for a sound one.
        self.crash_after: Callable[[TaskId], float | None] = lambda task: None
        # Told of each start that brings an executor over its capacity.
        self.on_overload: Callable[[TaskId, str], None] = lambda task, executor: None
        # Told of each executor that a task has crashed.
        self.on_crash: Callable[[FakeExecutor], None] = lambda executor: None

    def begin(self, task: TaskId, run: int, executor: str, fence: int, payload: str) -> int:
        self.runs.append(RunRecord(task, run, executor, _now(), fence, payload, None, None))
        return len(self.runs) - 1

    def finish(self, index: int, how: EndKind | None) -> None:
        self.runs[index] = self.runs[index]._replace(ended_at=_now(), how=how)

    def lapsed_between(self, executor: str, after: float, before: float) -> bool:
        """Whether an executor's lease lapsed in a span of time."""
        return any(e == executor and after <= at <= before for e, at in self.lapses)

    def acknowledge(self, executor: str, ends: list[EndRow]) -> None:
        self.acknowledged.extend((_now(), executor, end) for end in ends)


class FakeExecutors:
    """All executors, and the faults between them and the hosts.

    :param seed: draws which orders are held up.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.record = FleetRecord()
        self.by_address: dict[str, FakeExecutor] = {}
        # Pairs of host and executor without a path; None stands for every host.
        self.cut: set[tuple[str | None, str]] = set()
        # Addresses whose connections are reset and refused, while their executors run on.
        self.refused: set[str] = set()
        # Addresses whose executors carry nothing out, and close connections without an answer.
        self.breaking_off: set[str] = set()
        self.late_share = 0.0
        # Seconds of a host's processor that one order takes, one after the other.
        self.order_s = 0.0
        # Reports that answer the next polls of an address instead of the executor's own.
        self.late_reports: dict[str, list[Report]] = {}
        # Acknowledged end numbers in polls, with the incarnation that got each.
        self.polls: list[tuple[FakeExecutor, int]] = []
        # Called as a start order is on its way to an executor.
        self.on_start_sent: Callable[[ExecutorEntry], None] = lambda entry: None
        # The share of calls that take effect at once and aren't answered.
        self.lost_share = 0.0
        self.probes = 0
        # Tickets by step and executor, with the time until which they hold.
        self.advised = False
        self.tickets: dict[tuple[str, int, int, str], tuple[str, float]] = {}

    def add(self, executor: FakeExecutor) -> None:
        """Let an executor listen at its address."""
        self.by_address[executor.entry.address] = executor

    def is_at_work(self, task: TaskId) -> bool:
        """Whether a task serves its users on some executor."""
        return any(
            run.at_work
            for executor in self.by_address.values()
            for (running, _), run in executor.runs.items()
            if running == task
        )

    async def run(self) -> None:
        """Let time pass for all, until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            for executor in list(self.by_address.values()):
                executor.step()


class ExecutorPort:
    """One host's way to the executors, as the product's ``Executors``.

    :param fleet: all executors.
    :param host: the host's name.
    """

    def __init__(self, *, fleet: FakeExecutors, host: str) -> None:
        self.fleet = fleet
        self.host = host
        self._processor = asyncio.Lock()

    async def hold(self, entry, *, fence, acknowledged, until_ms, wait_s, patience_s):  # type: ignore
        self.fleet.probes += 1
        target = await self._reach(entry)
        if not isinstance(target, FakeExecutor):
            return target
        if self._is_held_up(target, lambda place: place.hold(fence, acknowledged, until_ms)):
            await asyncio.sleep(wait_s + patience_s)
            return NoAnswer(sent=True, detail="held up")
        if late := self.fleet.late_reports.get(entry.address):
            return late.pop(0)
        self.fleet.polls.append((target, acknowledged))
        refusal = target.hold(fence, acknowledged, until_ms)
        if refusal is not None:
            return refusal
        if wait_s > 0 and not target.report().ended:
            target.changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await target.changed.wait()
            except TimeoutError:
                pass
        lost = await self._back(entry, target)
        return lost or target.report()

    async def start(  # type: ignore[no-untyped-def]
        self, entry, *, task, run, payload, until_ms, fence, checkpoint, ticket, patience_s
    ):
        def work(target: FakeExecutor) -> object:
            key = (task.job, task.occurrence, task.step, target.entry.executor)
            known = self.fleet.tickets.get(key)
            if self.fleet.advised and (known is None or known != (ticket, known[1])):
                return StartRefused(reason="ticket", clock_ms=target.clock_ms())
            if known is not None and _now() > known[1]:
                return StartRefused(reason="ticket", clock_ms=target.clock_ms())
            return target.start(task, run, payload, until_ms, fence)

        self.fleet.on_start_sent(entry)
        return await self._order(entry, work, patience_s)

    async def stop(self, entry, *, task, run, fence):  # type: ignore[no-untyped-def]
        return await self._order(entry, lambda target: target.stop(task, run, fence))

    async def pace(self, entry, *, task, run, percent, fence):  # type: ignore[no-untyped-def]
        return await self._order(entry, lambda target: Stopped(clock_ms=target.clock_ms()))

    def _is_held_up(self, target, work):  # type: ignore[no-untyped-def]
        """Whether an order is left unanswered, and carried out late."""
        if self.fleet.random.random() >= self.fleet.late_share:
            return False
        delay = self.fleet.random.uniform(2.0, 12.0)
        asyncio.get_running_loop().call_later(delay, lambda: work(target) if target.alive else None)
        return True

    async def _order(self, entry, work, patience_s=TIMEOUT_S):  # type: ignore[no-untyped-def]
        asked_at = _now()
        if self.fleet.order_s:
            async with self._processor:
                await asyncio.sleep(self.fleet.order_s)
        target = await self._reach(entry)
        if not isinstance(target, FakeExecutor):
            return target
        if self._is_held_up(target, work):
            await asyncio.sleep(patience_s)
            return NoAnswer(sent=True, detail="held up")
        outcome = work(target)
        lost = await self._back(entry, target)
        if lost is None and _now() - asked_at > patience_s:
            return NoAnswer(sent=True, detail="no answer in time")
        return lost or outcome

    async def _reach(self, entry: ExecutorEntry) -> FakeExecutor | NoAnswer | OtherIncarnation:
        await asyncio.sleep(ANSWER_S / 2)
        if self._is_cut(entry.executor):
            await asyncio.sleep(TIMEOUT_S)
            return NoAnswer(sent=True, detail="no path")
        target = self.fleet.by_address.get(entry.address)
        if target is not None and target.dark:
            await asyncio.sleep(TIMEOUT_S)
            return NoAnswer(sent=True, detail="no power")
        if target is None or not target.alive or entry.address in self.fleet.refused:
            return NoAnswer(sent=False, detail="connection refused", closed=True)
        if entry.address in self.fleet.breaking_off:
            return NoAnswer(sent=True, detail="the connection ended", closed=True)
        if target.entry.executor != entry.executor:
            return OtherIncarnation()
        return target

    async def _back(self, entry: ExecutorEntry, target: FakeExecutor) -> NoAnswer | None:
        await asyncio.sleep(ANSWER_S / 2)
        if self._is_cut(entry.executor) or self.fleet.random.random() < self.fleet.lost_share:
            await asyncio.sleep(TIMEOUT_S)
            return NoAnswer(sent=True, detail="no answer came back")
        if not target.alive:
            return NoAnswer(sent=True, detail="connection reset", closed=not target.dark)
        return None

    def _is_cut(self, executor: str) -> bool:
        return (None, executor) in self.fleet.cut or (self.host, executor) in self.fleet.cut


def _now() -> float:
    return asyncio.get_running_loop().time()
