"""Owners that store the progress of one wide job, one after another, and end at any moment."""

import asyncio
import random
from typing import NamedTuple

import msgspec

from mustardgap.codecs import Undecodable, decode_msgpack
from mustardgap.crashes import Crash, CrashSite
from mustardgap.events import EventLog
from mustardgap.job_progress import TaskProgress, WholeProgress, progress_of
from mustardgap.job_states import Job, JobPhase, StoredJob, Task, encode_job
from mustardgap.progress_blocks import BLOCK_KEY
from mustardgap.progress_stores import ProgressStore
from mustardgap.record_limits import RecordLimits
from mustardgap.shard_logs import JOB_KEY, PROGRESS_KEY, ShardLog
from mustardgap.shard_records import read_records
from mustardgap.tickets import Ticket
from mustardgap.workloads import JobSpec, Step
from tools.fake_store import FakeStore, StorePort
from tools.virtual_time import VirtualClock, run

SHARD, SHARDS = 1, 4
JOB = f"{1:016x}"
SITE = CrashSite("executor-1", "machine-1", "service")
OWNERS, CHANGES = 4, 60
SETTLE_S = 3.0


def make_job(width):
    """Make a job of two steps, the first of one task."""
    steps = (Step(1, 10, 10, 0, 1.0), Step(width - 1, 10, 10, 0, 1.0)) if width > 1 else ()
    return Job(job_id=JOB, stored=StoredJob("queue", "service", 0.0, JobSpec("payload", steps)))


def end(job: Job, task: Task) -> None:
    job.mark_done([task])


def fail(job: Job, task: Task) -> None:
    job.mark_failed([task], max(task.failed_runs, default=0) + 1)


def crash(job: Job, task: Task) -> None:
    number = len(task.crashes) + 1
    job.has_crashes = True
    task.crashes[number] = Crash.ONLY_STARTED
    task.crash_sites[number] = SITE
    task.crashes_confirmed.update(task.crashes.keys() - {number})


def restart(job: Job, task: Task) -> None:
    task.restarted = True


def save(job: Job, task: Task, size: int = 32) -> None:
    task.checkpoint = f"{task.task_id.number:08x}" * (size // 8)


CHANGE_BY_CONTENT = {
    "ends": (end,),
    "failures": (fail, fail, fail),
    "crashes": (crash, crash, crash),
    "restarts": (restart,),
    "checkpoints": (save,),
    "all kinds": (fail, crash, restart, save),
}


def fill(job: Job, content: str) -> None:
    """Let each task of a job make progress."""
    if "bytes" in content:
        for task in job.tasks():
            save(job, task, int(content.split()[-2]))
        return
    for task in job.tasks():
        for change in CHANGE_BY_CONTENT[content]:
            change(job, task)
        if content == "all kinds" and task.task_id.number % 3 == 0:
            end(job, task)


def facts_of(job: Job) -> dict[tuple[int, int], TaskProgress]:
    """The progress of each task that has made any, by step and number."""
    found = ((task, progress_of(task)) for task in job.tasks())
    return {(t.task_id.step, t.task_id.number): p for t, p in found if p is not None}


class Owner:
    """One owner of the shard, with its log."""

    def __init__(self, *, store, epoch, limits, clock):
        self.events = EventLog(host=f"e{epoch}", clock=clock)
        self.log = ShardLog(
            store=StorePort(store=store, host=f"e{epoch}"),
            shard=SHARD,
            epoch=epoch,
            clock=clock,
            events=self.events,
            limits=limits,
        )
        self.progress = ProgressStore(log=self.log, events=self.events)
        self.job: Job | None = None
        self._parts: list[asyncio.Task[None]] = []

    async def take_over(self) -> None:
        """Read what is stored, and begin to write."""
        await self.log.open()
        self.values = {k: v for k, v in (await self.log.read()).items() if v}
        records = read_records(self.values)
        self.invalid = records.invalid
        for key in records.stale_keys:
            self.log.put(key, b"")
        self.log.put_owner(closed=False)
        self.job = records.jobs_by_id.get(JOB)
        self._parts = [
            asyncio.ensure_future(part) for part in (self.log.run(), self.log.run_failover())
        ]

    async def die(self) -> None:
        """End at once."""
        for part in self._parts:
            part.cancel()
        await asyncio.gather(*self._parts, return_exceptions=True)
        self.log.close()


class Play:
    """A store with one job, and its owners in turn.

    :param limits: the sizes that the store takes.
    """

    def __init__(self, *, limits: RecordLimits) -> None:
        self.limits = limits
        self.store = FakeStore(shards=SHARDS)
        self.store.record_bytes, self.store.request_bytes = limits
        self.clock = VirtualClock(loop=asyncio.get_running_loop())
        self._epoch = 0

    async def next_owner(self) -> Owner:
        """Let the next owner take over."""
        self._epoch += 1
        owner = Owner(store=self.store, epoch=self._epoch, limits=self.limits, clock=self.clock)
        await owner.take_over()
        return owner

    async def first_owner(self, job: Job) -> Owner:
        """Let the first owner accept a job."""
        owner = await self.next_owner()
        owner.log.put(JOB_KEY + JOB, encode_job(job.stored))
        owner.job = job
        await asyncio.sleep(SETTLE_S)
        return owner


class _Known(NamedTuple):
    """What an owner knew of a task when it wrote it, and the ticket of that."""

    place: tuple[int, int]
    done: bool
    failed_runs: frozenset[int]
    ticket: Ticket


class Simulation:
    """Random changes, written by owners that end at any moment.

    :param seed: draws all of it.
    """

    def __init__(self, *, seed: int) -> None:
        self._random = random.Random(seed)
        self._known: list[_Known] = []
        self.problems: list[str] = []

    async def run(self) -> None:
        width = self._random.choice((3, 100, 600, 1500))
        record = self._random.choice((700, 4000, 262_144))
        play = Play(limits=RecordLimits(record, self._random.choice((record + 4, 1_000_000))))
        job = make_job(width)
        if self._random.random() < 0.7:
            fill(job, "checkpoints")
        owner = await play.first_owner(job)
        for _ in range(OWNERS):
            await self._write(play, owner)
            await owner.die()
            play.store.away.clear()
            owner = await play.next_owner()
            self._check(owner)
        await self._finish(play, owner)

    async def _write(self, play: Play, owner: Owner) -> None:
        """Change tasks and store that, while a partition may be away."""
        job = owner.job
        assert job is not None
        tasks = list(job.tasks())
        for _ in range(self._random.randrange(CHANGES)):
            play.store.away = {
                (SHARD, failover) for failover in (False, True) if self._random.random() < 0.2
            }
            task = self._random.choice(tasks)
            change = self._random.choice((end, fail, crash, restart, save))
            change(job, task)
            ticket = owner.progress.store(job, [task])
            place = (task.task_id.step, task.task_id.number)
            self._known.append(_Known(place, task.done, frozenset(task.failed_runs), ticket))
            await asyncio.sleep(self._random.choice((0, 0, 0.005, 0.01, 0.5)))

    def _check(self, owner: Owner) -> None:
        self.problems += owner.invalid
        assert owner.job is not None
        facts = facts_of(owner.job)
        whole = _read_as_whole(owner.values)
        for known in self._known:
            if not known.ticket.durable:
                continue
            found = facts.get(known.place, TaskProgress())
            if known.done > found.done or known.failed_runs - set(found.failed_runs):
                self.problems.append(f"{known} was stored, and {found} is found")
            step, number = known.place
            if whole is None or not known.done:
                continue
            if not int(whole.done.get(f"0.{step}", "0"), 16) >> number & 1:
                self.problems.append(f"a former release takes {known.place} for undone")

    async def _finish(self, play: Play, owner: Owner) -> None:
        assert owner.job is not None
        owner.job.end(JobPhase.CANCELLED, 1.0, "cancelled")
        owner.progress.store(owner.job)
        await asyncio.sleep(SETTLE_S)
        for failover in (False, True):
            keys = play.store.place(SHARD, failover).values_by_key
            self.problems += [f"{key} is left" for key in keys if key.startswith(BLOCK_KEY)]
        await owner.die()
        if play.store.rejected:
            self.problems.append(f"{play.store.rejected} calls were too large")


def _read_as_whole(values: dict[str, bytes]) -> WholeProgress | None:
    """What a release that knows one record a job reads of it; None if it can't read it."""
    raw = values.get(PROGRESS_KEY + JOB)
    if raw is None:
        return None
    try:
        return decode_msgpack(raw, WholeProgress)
    except Undecodable:
        return None


def simulate(seed: int) -> list[str]:
    """Run one simulation on virtual time and describe what was lost."""

    async def scene() -> list[str]:
        simulation = Simulation(seed=seed)
        await simulation.run()
        return simulation.problems

    return run(scene())


def unreadable_record() -> bytes:
    """A record of a job's progress in a form that no release knows yet."""
    return msgspec.msgpack.encode("of a later release")
