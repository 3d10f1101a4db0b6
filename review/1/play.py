"""A scheduled job's tasks go on, and aren't started again, when the owner of their queue stops."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.world import World, play

RECORD = Path(__file__).resolve().parent / "record.txt"
PREFIX = "/settle/"
JOB = "00000000000000d1"
TASKS = 4
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "settle",
            "host": "jobs.example",
            "pathPrefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "sloMs": 600,
            "priority": 0,
            "service": "desk",
            "maxAttempts": 2,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "desk", "rejectsOverload": True, "standby": False}],
    "limits": {},
}


async def script(world: World, trouble: bool) -> bool:
    """Return whether no two runs of a task were there at the same time."""
    world.store.publish("keyed.op", "config", CONFIGURATION)
    await world.start_platform()
    for number in range(6):
        await world.add_machine(f"m{number}", "desk", f"r1-{number // 4}", 32_000, 64_000)
    await asyncio.gather(*(world.start_daemon(f"e{n}", f"127.0.0.{n + 1}") for n in range(1, 4)))
    await asyncio.sleep(2)
    settlement = {
        "spec": '{"work_ms": 12000}',
        "repeats": 2,
        "firstMs": int(time.time() * 1000) + 2000,
        "intervalMs": 60_000,
        "steps": [{"count": TASKS, "cpu": 4000, "memMb": 1000, "estimateMs": 12000}],
    }
    if await world.submit(PREFIX, JOB, settlement) != 200:
        raise RuntimeError("the job wasn't accepted")
    await asyncio.sleep(7)
    if not world.starts:
        raise RuntimeError("the first occurrence didn't begin")
    if trouble:
        owner = world.owner_of("desk")
        world.record.note("disruption", f"SIGTERM to {owner}, the owner of the queue")
        world.daemons[owner].send_signal(signal.SIGTERM)
    await asyncio.sleep(20)
    await world.state(PREFIX, JOB)
    most = max(world.most_at_once(f"{JOB}.0.0.{index}") for index in range(TASKS))
    world.record.note("result", f"{len(world.starts)} starts of {TASKS} tasks, {most} at a time")
    return most <= 1


if __name__ == "__main__":
    play(RECORD, script)
