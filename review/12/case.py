"""Lets an executor fail runs of a wide job with checkpoints, and cancels jobs of its queue."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_in_3 import (  # noqa: E402
    Daemons,
    Executor,
    Record,
    Room,
    Run,
    World,
    configuration,
    run_case,
    send,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, STANDBY = "quotedesk", "member-portal"
WIDE = "5c0e7a21d94b36f8"
TASKS, ROOM = 7_500, Room(20, 100)
# The executor fails runs for this long, some of those that it has and all that it begins.
GREY_S, FAILS_EACH_S, BEGUN_FAILS_S = 6.5, 0.25, 0.3
SMALL_JOBS = 10
# From the pages: how long the answer to a cancel may take.
ACK_S = 4.0
# Cancels begin this long after the failures, and each is repeated until this long has passed.
CANCEL_AFTER_S, CANCEL_FOR_S, TRY_S = 3.0, 12.0, 3.0


async def main() -> int:
    """Play the case.

    :return: 1 if more than a tenth of the cancels aren't answered in time, 0 if they are, 2 if it
        couldn't be played.
    """
    record = Record(HERE / "record.txt")
    world = World(standby=frozenset({STANDBY}))
    for number in range(1, 9):
        room = Room(64_000, 262_144)
        world.add_machine(f"m{number}", SERVICE, room=room, kind="a", rack=f"r1-{number}")
    world.rooms[f"{WIDE}.0"] = ROOM
    world.work_of = lambda task: 300.0 if task.startswith(WIDE) else None
    world.checkpointing.add(WIDE)
    route = {"name": "r-quotes", "pathPrefix": "/quotes/", "service": SERVICE}
    config = configuration(3, [route], [SERVICE, STANDBY], world.standby)
    world.store.write("keyed.op", "config", config)
    await world.start()
    daemons = Daemons(world=world, count=4)
    try:
        daemons.start()
        await daemons.wait_ready()
        await asyncio.sleep(2.0)
        return await _play(world, daemons, record)
    finally:
        daemons.end()
        record.save()


async def _play(world: World, daemons: Daemons, record: Record) -> int:
    front = daemons.by_name["edge-1"]
    address = (front.ip, front.ports["front"])
    small = [f"{number + 0xC0:016x}" for number in range(SMALL_JOBS)]
    step = {"count": 1, "cpu": 100, "memMb": 100, "estimateMs": 60000, "longRunning": True}
    for job in small:
        world.rooms[f"{job}.0"] = Room(100, 100)
        body = {"spec": "reconcile", "steps": [step]}
        answer = await send(*address, "POST", f"/quotes/{job}", body=body)
        record.note(f"POST of job {job}: {answer}")
    step = {"count": TASKS, "cpu": ROOM.cpu, "memMb": ROOM.mem_mb, "estimateMs": 300000}
    body = {"spec": "render all drawings", "steps": [{**step, "checkpointing": True}]}
    answer = await send(*address, "POST", f"/quotes/{WIDE}", body=body)
    record.note(f"POST of job {WIDE} with {TASKS} tasks: {answer}")
    began = time.monotonic()
    while sum(run.task.startswith(WIDE) for run in world.runs) < TASKS:
        if time.monotonic() - began > 40 or answer is None:
            record.note(f"only {len(world.runs)} runs")
            return 2
        await asyncio.sleep(0.1)
    record.note("all its tasks run")
    await asyncio.sleep(2.0)
    grey = world.machines["m8"].executor
    assert grey is not None
    failing = asyncio.create_task(_fail(grey, world, record)) if TROUBLE else None
    await asyncio.sleep(CANCEL_AFTER_S)
    answers = await asyncio.gather(*(_cancel(address, job, record) for job in small))
    if failing is not None:
        await failing
    return _judge(world, answers, record)


async def _fail(executor: Executor, world: World, record: Record) -> None:
    """Fail runs of the wide job on one executor for some time."""

    def fail_soon(run: Run) -> None:
        if run.executor is executor and run.task.startswith(WIDE):
            executor.finish_after(run, BEGUN_FAILS_S, how="failed")

    record.note(f"{executor.name} fails runs from now on")
    world.on_start = fail_soon
    until = time.monotonic() + GREY_S
    while time.monotonic() < until:
        for run in [r for r in executor.running.values() if r.task.startswith(WIDE)][:2]:
            executor.end_run(run, "failed")
        await asyncio.sleep(FAILS_EACH_S)
    world.on_start = lambda run: None
    record.note(f"{executor.name} works again")


async def _cancel(address: tuple[str, int], job: str, record: Record) -> float | None:
    """Cancel a job, again until that is answered.

    :return: seconds until the answer, None without one.
    """
    began = time.monotonic()
    while time.monotonic() - began < CANCEL_FOR_S:
        answer = await send(*address, "DELETE", f"/quotes/{job}", timeout_s=TRY_S)
        record.note(f"DELETE of job {job}: {answer}")
        if answer is not None and (answer[0] == 410 or 200 <= answer[0] < 300):
            return time.monotonic() - began
        await asyncio.sleep(0.3)
    return None


def _judge(world: World, answers: list[float | None], record: Record) -> int:
    late = sum(took_s is None or took_s > ACK_S for took_s in answers)
    ended = [run for run in world.runs if run.end_number]
    unacknowledged = sum(run.acknowledged_at is None for run in ended)
    refused = world.store.refused
    text = f"{late} of {len(answers)} cancels without an answer in time; {unacknowledged} of "
    text += f"{len(ended)} ends not taken note of; {refused} appends too large"
    record.note(text)
    print(text)
    return 1 if late >= 3 and late > len(answers) / 10 else 0


run_case(main)
