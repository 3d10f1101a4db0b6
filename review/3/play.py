"""Two executors crash, one after the other, under a task that lasts: its job must go on.

Each of the five tasks is alone on its executor. The step may miss one of them.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.world import Machine, World, play

RECORD = Path(__file__).resolve().parent / "record.txt"
PREFIX = "/recon/"
JOB = "00000000000000a1"
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "recon",
            "host": "jobs.example",
            "pathPrefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "sloMs": 2500,
            "priority": 0,
            "service": "desk",
            "maxAttempts": 2,
            "stretch": 2.2,
        }
    ],
    "services": [{"name": "desk", "rejectsOverload": True, "standby": False}],
    "limits": {},
}
STEPS = [
    {
        "count": 5,
        "cpu": 20_000,
        "memMb": 6800,
        "estimateMs": 900,
        "longRunning": True,
        "antiAffinity": 1,
        "mayMiss": 1,
    }
]
# As in the small sites: one executor of eight at a time, down for 4.5 s.
MACHINES, DOWN_S = 8, 4.5


async def script(world: World, trouble: bool) -> bool:
    """Return whether no stop ended a task while as many others were away as the step may miss."""
    world.store.publish("keyed.op", "config", CONFIGURATION)
    await world.start_platform()
    for number in range(MACHINES):
        await world.add_machine(f"m{number}", "desk", f"r1-{number // 4}", 32_000, 64_000)
    await asyncio.gather(*(world.start_daemon(f"e{n}", f"127.0.0.{n + 1}") for n in range(1, 4)))
    if await world.submit(PREFIX, JOB, {"spec": "{}", "steps": STEPS}) != 200:
        raise RuntimeError("the job wasn't accepted")
    task = f"{JOB}.0.0.0"
    await asyncio.sleep(6)
    for _ in range(2):
        machine = await _find(world, task)
        if trouble:
            await world.crash_machine(machine, down_s=DOWN_S)
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(4)
        await world.state(PREFIX, JOB)
    states = []
    for _ in range(12):
        states.append(await world.state(PREFIX, JOB))
        await asyncio.sleep(1)
    running = sum(len(m.executor.runs) for m in world.machines.values() if m.executor)
    world.record.note("result", f"{running} of 5 tasks run; states {sorted(set(states))}")
    for breach in world.breaches:
        world.record.note("result", breach)
    return not world.breaches


async def _find(world: World, task: str) -> Machine:
    for _ in range(150):
        for machine in world.machines.values():
            if machine.executor and any(name == task for name, _ in machine.executor.runs):
                return machine
        await asyncio.sleep(0.1)
    raise RuntimeError(f"{task} runs nowhere")


if __name__ == "__main__":
    play(RECORD, script)
