"""Benchmark of one pass of placing, by executors and waiting tasks."""

import asyncio
import time
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import click

from mustardgap.events import EventLog
from mustardgap.executor_links import ExecutorLink
from mustardgap.job_states import Job, StoredJob
from mustardgap.task_starters import TaskStarter
from mustardgap.timers import Clock
from mustardgap.workloads import ExecutorEntry, JobSpec, Queue, Room, Step

from .rows import Row

EXECUTORS = (30, 180, 1000, 8900)
# Two steps of 8 tasks each, one after the other, as wide as usual jobs are.
TASKS_A_JOB = 16
WAITING_JOBS_AN_EXECUTOR = (0.1, 1.0, 5.0)
MAX_TASKS = 100_000
PASSES = 3
ROOM = Room(cpu=8_000, memory_mb=16_000, gpus=0)


def rows(quick: bool) -> Iterator[Row]:
    """All rows, for each size of pool and length of queue."""
    for executors in EXECUTORS[:1] if quick else EXECUTORS:
        for share in WAITING_JOBS_AN_EXECUTOR:
            jobs = max(1, round(share * executors))
            if jobs * TASKS_A_JOB > MAX_TASKS:
                continue
            for full in (True, False):
                yield _row(executors, jobs, full)


def _row(executors: int, jobs: int, full: bool) -> Row:
    state = "a full" if full else "an empty"
    return Row(
        f"placing, {jobs} jobs on {state} pool of {executors}",
        min(pass_ms(executors, jobs, full) for _ in range(PASSES)),
        "ms a pass",
        note=f"{jobs * TASKS_A_JOB} tasks, least of {PASSES} passes",
    )


def pass_ms(executors: int, jobs: int, full: bool) -> float:
    """Milliseconds of one pass over a pool on which nothing, or everything, is free.

    On a full pool a pass like it has gone before, as passes come many times a second.
    """
    starter = TaskStarter(
        dispatcher=_shard(executors, jobs, full),
        clock=Clock(),
        events=EventLog(host="bench", clock=Clock()),
    )
    if full:
        starter.place()
    began = time.perf_counter()
    starter.place()
    return 1000 * (time.perf_counter() - began)


def _shard(executors: int, jobs: int, full: bool) -> Any:
    clock = Clock()
    queue = Queue("quotes", "a.example", "/", "quoting", 3.0, 0.6, 0, 3, 1.6)
    step = Step(TASKS_A_JOB // 2, cpu=2_000, memory_mb=100, gpus=0, estimate_s=0.5)
    spec = JobSpec(payload="", steps=(step, step._replace(depends_on=(0,))))
    links = {}
    for number in range(executors):
        link = _link(number, clock)
        if full:
            link.used = ROOM
        links[link.entry.executor] = link
    names = [f"{number:016x}" for number in range(jobs)]
    return SimpleNamespace(
        configuration=SimpleNamespace(queues_by_name={queue.name: queue}),
        authority_s=lambda: 5.0,
        log=SimpleNamespace(fenced=False),
        handing_over=False,
        epoch=1,
        jobs_by_id={
            name: Job(job_id=name, stored=StoredJob(queue.name, queue.service, clock.wall(), spec))
            for name in names
        },
        queue_of=lambda job: queue,
        roster=SimpleNamespace(links_by_executor=links),
        evacuations=SimpleNamespace(planned=frozenset()),
        advices=SimpleNamespace(ticket=lambda *_: None),
    )


def _link(number: int, clock: Clock) -> ExecutorLink:
    entry = ExecutorEntry(
        executor=f"x{number}",
        service="quoting",
        address="",
        data_centre="d1",
        draining=False,
        capacity=ROOM,
        rack=f"r{number // 8}",
        machine=f"m{number}",
    )
    nothing: Any = None
    stored: Any = SimpleNamespace(durable=True)
    link = _Link(
        entry=entry,
        fence=1,
        port=nothing,
        owner=nothing,
        clock=clock,
        events=EventLog(host="bench", clock=clock),
        shard_starts=asyncio.Semaphore(),
        orders_in_flight=nothing,
        inherited_lapse_at=0.0,
    )
    link.up = True
    link.entry_record = stored
    return link


class _Link(ExecutorLink):
    """A link that sends nothing."""

    def start_run(self, run: Any, *, payload: str, ticket: str) -> None:
        self.add(run)


@click.command()
@click.option("--quick", is_flag=True, help="Only the smallest pool.")
def main(quick: bool) -> None:
    """Measure a pass of placing."""
    for row in rows(quick):
        click.echo(f"{row.name}: {row.value:.2f} {row.unit} ({row.note})")


if __name__ == "__main__":
    main()
