"""Records of another writer that can't be read end every daemon, again and again."""

import asyncio
from pathlib import Path

from stand_in_2 import Shape
from world_2 import SERVICE, World, play

LABELS = [["a", f"r{n // 4 + 1}"] for n in range(7)]
OBSERVED_S = 60
# Another writer writes as often as an executor does.
INTERVAL_S = 1.5
# An entry of nobody: a field that no page names holds arrays that go 20,000 deep, and its end is
# missing. It is 20 KB long; the store takes records of 262,144 bytes.
UNREADABLE = b'{"service":"' + SERVICE.encode() + b'","notes":' + b"[" * 20_000
# The rule: on two machines, processes end by themselves three times.
MACHINES, ENDS = 2, 3


async def hand_in(world: World, number: int) -> bool:
    """Hand a short job in, and return whether it was accepted."""
    job = f"{0xA0000000 + number:016x}"
    world.pool.shapes[f"{job}.0"] = Shape(work_s=0.5)
    steps = [{"count": 2, "cpu": 100, "memMb": 64, "estimateMs": 500}]
    reply = await world.submit(job, {"spec": "a quote", "steps": steps})
    return 200 <= reply.status < 300


async def write_entries(world: World) -> None:
    """Write as another writer, until cancelled."""
    while world.trouble:
        world.record(f"another writer writes an entry: {UNREADABLE[:50]!r}...")
        world.store.write("keyed.servers", "other-writer", UNREADABLE)
        await asyncio.sleep(INTERVAL_S)


async def case() -> bool:
    """Play the case; return whether the rule was broken."""
    async with World(folder=Path(__file__).parent, labels=LABELS) as world:
        world.record(f"job before: accepted {await hand_in(world, 0)}")
        await asyncio.sleep(3)
        writing = asyncio.create_task(write_entries(world))
        accepted = []
        for number in range(1, OBSERVED_S // 4 + 1):
            handing_in = asyncio.create_task(hand_in(world, number))
            await asyncio.sleep(4)
            accepted.append(handing_in)
        outcomes = await asyncio.gather(*accepted)
        writing.cancel()
        ends = [len(daemon.exits) for daemon in world.daemons]
        world.record(f"jobs handed in {len(outcomes)}, accepted {sum(outcomes)}")
        world.record(f"ends of their own, by daemon: {ends}")
        causes = [line for line in world.log_lines("RecursionError") if "Error:" in line]
        world.record(f"the logs say, {len(causes)} times: {causes[:1]}")
        broken = sum(count >= ENDS for count in ends) >= MACHINES
        world.check_pauses()
        world.record("the rule was broken" if broken else "the rule held")
        return broken


play(case)
