"""Kills the owner of a queue while one executor runs a job of many small tasks."""

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_in_3 import (  # noqa: E402
    Daemons,
    Record,
    Room,
    World,
    configuration,
    part_of,
    run_case,
    send,
    starts_twice,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "5c0e7a21d94b36f8"
TASKS = 1600
TASK_ROOM = Room(20, 100)
# The tasks wait for a price list that arrives as the last of them has begun; each ends after this.
WORK_S = (0.2, 1.4)
END_S = 75.0


async def main() -> int:
    """Play the case.

    :return: 1 if a task was started again after its end, 0 if not, 2 if it couldn't be played.
    """
    drawn = random.Random(62)
    listed = asyncio.Event()
    record = Record(HERE / "record.txt")
    world = World(standby=frozenset({"portal"}))
    for number in range(1, 5):
        kind = "big" if number == 1 else "small"
        room = Room(64_000, 262_144)
        world.add_machine(f"m{number}", "quotes", room=room, kind=kind, rack=f"r1-{number}")
    world.rooms[f"{JOB}.0"] = TASK_ROOM
    world.work_of = lambda task: None if not listed.is_set() else drawn.uniform(*WORK_S)
    route = {"name": "r-quotes", "pathPrefix": "/quotes/", "service": "quotes"}
    services = ["quotes", "portal"]
    config = configuration(3, [route], services, world.standby)
    world.store.write("keyed.op", "config", config)
    await world.start()
    daemons = Daemons(world=world, count=4)
    try:
        daemons.start()
        await daemons.wait_ready()
        await asyncio.sleep(3.0)
        return await _play(world, daemons, record, listed, drawn)
    finally:
        daemons.end()
        record.save()


async def _play(
    world: World, daemons: Daemons, record: Record, listed: asyncio.Event, drawn: random.Random
) -> int:
    began = time.monotonic()
    part = part_of("quotes")
    owner = daemons.owner_of(world, part)
    front = next(d for d in daemons.by_name.values() if d is not owner)
    step = {"count": TASKS, "cpu": TASK_ROOM.cpu, "memMb": TASK_ROOM.mem_mb}
    step |= {"estimateMs": 2700, "requires": "big"}
    job = {"spec": "price all members' stairs", "steps": [step]}
    record.note(f"POST of job {JOB} with {TASKS} tasks to {front.name}; owner is {owner.name}")
    answer = await send(front.ip, front.ports["front"], "POST", f"/quotes/{JOB}", body=job)
    record.note(f"answer {answer}")
    if answer is None or not 200 <= answer[0] < 300:
        return 2
    executor = world.machines["m1"].executor
    assert executor is not None
    while len(executor.running) < TASKS:
        if time.monotonic() - began > 30:
            record.note(f"only {len(executor.running)} tasks ran at once")
            return 2
        await asyncio.sleep(0.01)
    record.note(f"{len(executor.running)} tasks run, {len(executor.ended)} ends are listed")
    listed.set()
    for run in executor.running.values():
        executor.finish_after(run, drawn.uniform(*WORK_S))
    if TROUBLE:
        owner.signal(signal.SIGKILL)
        record.note(f"SIGKILL of {owner.name}")
        fence = executor.fence
        while executor.fence == fence and time.monotonic() - began < 40:
            ends = len(executor.ended)
            await asyncio.sleep(0.002)
        record.note(f"the next owner's first order came when {ends} ends were listed")
    state = None
    while time.monotonic() - began < END_S:
        found = await send(front.ip, front.ports["front"], "GET", f"/quotes/{JOB}")
        state = found[1].get("state") if found is not None and found[0] == 200 else found
        if state == "completed":
            break
        await asyncio.sleep(0.3)
    await asyncio.sleep(2.0)
    record.note(f"the job is shown as {state}")
    return _judge(world, record)


def _judge(world: World, record: Record) -> int:
    for run in world.runs:
        record.note(f"start {run.task} run {run.number}", run.started_at)
        if run.ended_at is not None:
            record.note(f"end {run.task} run {run.number} {run.how}", run.ended_at)
        if run.acknowledged_at is not None:
            record.note(f"acknowledged {run.task} run {run.number}", run.acknowledged_at)
    twice = starts_twice(world.runs)
    for earlier, later, why in twice[:20]:
        record.note(f"TWICE: {later.task} run {earlier.number}, then {later.number}: {why}")
    again = {later.task for _, later, _ in twice}
    record.note(f"{len(world.runs)} starts of {TASKS} tasks; {len(again)} tasks broke TWICE")
    print(f"{len(world.runs)} starts of {TASKS} tasks; {len(again)} tasks broke TWICE")
    return 1 if twice else 0


run_case(main)
