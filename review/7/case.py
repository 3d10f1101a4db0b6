"""A job whose cancelling was answered runs on, and starts further tasks."""

import asyncio
import time
from pathlib import Path

from stand_in_2 import Request, Shape
from world_2 import CannotRun, World, play

LABELS = [["a", f"r{n // 4 + 1}"] for n in range(7)]
JOB = "00000000d0000001"
WORK_S = 8.0
CANCEL_S, CONTACT_S = 3.0, 3.0
# `platform_lost`: 0.429 of the writes for 4.37 s on a standard day.
LOST_SHARE, LOST_S = 0.429, 4.37
TOPICS = ("keyed.mustardgap-jobs", "keyed.mustardgap-failover")


class LostAnswers:
    """Loses the answers of the appends that carry records, for a time; all are carried out."""

    def __init__(self) -> None:
        self.until = float("-inf")
        self.writes = self.lost = 0

    def begin(self) -> None:
        """Lose answers from now on."""
        self.until = time.monotonic() + LOST_S

    def loses(self, request: Request) -> bool:
        """Whether the answer of a write is lost."""
        if time.monotonic() >= self.until:
            return False
        self.writes += 1
        lost = request.query.get("topic") in TOPICS and bool(request.body)
        self.lost += lost
        return lost


async def case() -> bool:
    """Play the case; return whether the rule was broken."""
    async with World(folder=Path(__file__).parent, labels=LABELS) as world:
        for step in range(4):
            world.pool.shapes[f"{JOB}.{step}"] = Shape(work_s=WORK_S)
        step = {"count": 1, "cpu": 100, "memMb": 64, "estimateMs": int(WORK_S * 1000)}
        steps = [step] + [{**step, "dependsOn": [n]} for n in range(3)]
        answers = LostAnswers()
        world.store.loses_answer = answers.loses
        await asyncio.sleep(3)
        if world.trouble:
            answers.begin()
            world.record("the store loses answers")
        await world.call("POST", JOB, body={"spec": "a quote", "steps": steps})
        # Its client doesn't want it any more, and cancels until it is told 2xx or 410.
        acknowledged = None
        while acknowledged is None and time.monotonic() - world.began < 30:
            reply = await world.call("DELETE", JOB)
            if 200 <= reply.status < 300 or reply.status == 410:
                acknowledged = time.monotonic()
        await asyncio.sleep(LOST_S + CONTACT_S + 3 * WORK_S)
        await world.call("GET", JOB)
        world.record(f"lost {answers.lost} of {answers.writes} answers of writes")
        if acknowledged is None:
            return False
        late = [
            f"{task} on {executor} after {at - acknowledged:.1f} s"
            for at, executor, task, _ in world.pool.starts
            if at > acknowledged + CANCEL_S and at > answers.until + CONTACT_S
        ]
        world.record(f"starts later than {CANCEL_S} s after the cancelling's answer: {late}")
        if answers.lost > LOST_SHARE * answers.writes:
            raise CannotRun("a larger share of the answers was lost than the pages have")
        broken = bool(late)
        world.check_pauses()
        world.record("the rule was broken" if broken else "the rule held")
        return broken


play(case)
