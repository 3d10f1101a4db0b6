"""Benchmark of admission: one decision, and the sums that it rests on, with 10,000 waiting jobs."""

import time
import tracemalloc
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

from mustardgap.accounts import Account, AccountDirectory
from mustardgap.admission import MIN_ENDED_TASKS
from mustardgap.duration_corrections import DurationCorrections
from mustardgap.events import EventLog
from mustardgap.job_admission import JobAdmission
from mustardgap.job_states import Job, StoredJob
from mustardgap.load_features import FeatureSettings, LoadFeatures, Switch
from mustardgap.placing import objective_s, timeliness_of
from mustardgap.resources import NO_ROOM
from mustardgap.timers import Clock
from mustardgap.workloads import Configuration, JobSpec, Queue, Step

from .rows import Row, at_most

JOBS = 10_000
ACCOUNTS = 42
EXECUTORS = 45
DECISIONS = 2_000
MAX_DECISION_US = 50.0
MAX_STATE_BYTES = 1_000_000
WAIT_S = 2.85
QUEUE = Queue("quotes", "a.example", "/", "quoting", 3.0, 0.6, 0, 3, 1.6)
STEPS = tuple(
    Step(8, cpu=1_000, memory_mb=100, gpus=0, estimate_s=1.35, depends_on=(n - 1,) if n else ())
    for n in range(3)
)


def rows(quick: bool) -> Iterator[Row]:
    """All rows."""
    decisions = DECISIONS // 10 if quick else DECISIONS
    admission, clock = _owner()
    admission.measure(clock.monotonic())
    new_jobs = [_stored(number, clock.wall()) for number in range(decisions)]
    began = time.perf_counter()
    refused = sum(
        admission.refuse(f"{number:016x}", stored, WAIT_S) is not None
        for number, stored in enumerate(new_jobs)
    )
    decision_us = 1e6 * (time.perf_counter() - began) / decisions
    began = time.perf_counter()
    _decide_naively(admission, new_jobs[0], clock)
    naive_us = 1e6 * (time.perf_counter() - began)
    yield Row(
        f"a decision, {JOBS} waiting jobs of {ACCOUNTS} accounts",
        decision_us,
        "µs",
        naive_us,
        "a walk over all waiting jobs",
        **at_most(decision_us, MAX_DECISION_US, f"<= {MAX_DECISION_US:g} µs"),
        note=f"{refused} of {decisions} refused, each with its log line",
    )
    tracemalloc.start()
    again, clock = _owner(admission)
    before, _ = tracemalloc.get_traced_memory()
    began = time.perf_counter()
    again.measure(clock.monotonic())
    took_ms = 1000 * (time.perf_counter() - began)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield Row(
        f"state of admission, {JOBS} waiting jobs",
        after - before,
        "bytes",
        **at_most(after - before, MAX_STATE_BYTES, "<= 1 MB"),
        note=f"summing up took {took_ms:.0f} ms while memory was traced",
    )


def _owner(like: JobAdmission | None = None) -> tuple[JobAdmission, Clock]:
    """The admission of an owner with a full pool.

    :param like: shares its jobs and executors.
    """
    clock = Clock()
    dispatcher: Any = like._dispatcher if like is not None else _dispatcher(clock)
    admission = JobAdmission(
        dispatcher=dispatcher, clock=clock, events=EventLog(host="bench", clock=clock)
    )
    for _ in range(MIN_ENDED_TASKS):
        admission.note_ended(QUEUE.name, declared_s=1.35, true_s=1.35)
    return admission, clock


def _dispatcher(clock: Clock) -> Any:
    jobs = {}
    for number in range(JOBS):
        job = Job(job_id=f"{number:016x}", stored=_stored(number, clock.wall()))
        job.remaining()
        jobs[job.job_id] = job
    return SimpleNamespace(
        features=LoadFeatures(settings=FeatureSettings(admission=Switch.ON)),
        configuration=Configuration(1, {QUEUE.name: QUEUE}, {}),
        durations=DurationCorrections(),
        roster=SimpleNamespace(
            awaiting_report=set(),
            links_by_executor={f"x{number}": _link() for number in range(EXECUTORS)},
        ),
        accounts=AccountDirectory(
            by_name={name: Account(name, 1.0, NO_ROOM) for name in map(_account, range(ACCOUNTS))},
            names_by_digest={},
        ),
        weight_of=lambda account: 1.0,
        queue_of=lambda job: QUEUE,
        jobs_by_id=jobs,
    )


def _link() -> Any:
    return SimpleNamespace(
        entry=SimpleNamespace(service=QUEUE.service, capacity=SimpleNamespace(cpu=64_000)),
        listed=True,
        up=True,
        has_reported=True,
        closing=False,
        runs_by_key={},
    )


def _stored(number: int, wall: float) -> StoredJob:
    return StoredJob(QUEUE.name, QUEUE.service, wall, JobSpec("", STEPS), _account(number))


def _account(number: int) -> str:
    return f"account{number % ACCOUNTS}"


def _decide_naively(admission: JobAdmission, stored: StoredJob, clock: Clock) -> float:
    """Walk over all jobs for one decision."""
    wall = clock.wall()
    return sum(
        timeliness_of(job, QUEUE, wall).work / objective_s(job, QUEUE)
        for job in admission._dispatcher.jobs_by_id.values()
        if job.account <= stored.account
    )
