"""Draws the load of a pool whose client accounts send more than it can do."""

import random
from typing import NamedTuple

from mustardgap.workloads import JobSpec, Step

CORES = 256
# Shares of the usual load: three large accounts beside seventeen small ones.
WEIGHTS = {f"large{n}": 4.0 for n in range(3)} | {f"small{n}": 1.0 for n in range(17)}
USUAL_LOAD = 0.7
# Core-seconds of a mean job: three steps of eight tasks of 1.35 s.
MEAN_WORK = 3 * 8 * 1.35
ARRIVALS_S = 20.0
FLOOD = (4.0, 10.0)


class DrawnJob(NamedTuple):
    """A job as its caller sends it, and how long the tasks of its steps really take."""

    job_id: str
    at: float
    account: str
    spec: JobSpec
    true_s: tuple[float, ...]

    @property
    def true_work(self) -> float:
        """Its core-seconds."""
        return sum(s.width * t for s, t in zip(self.spec.steps, self.true_s, strict=True))


def draw(
    seed: int,
    *,
    flooding: int,
    factor: float,
    load: float = USUAL_LOAD,
    lasts_s: float = ARRIVALS_S,
) -> list[DrawnJob]:
    """Draw the jobs of a play, by the time at which they are sent first.

    :param flooding: how many large accounts send more for 6 s.
    :param factor: how many times their usual load they send then.
    :param load: the usual load of all accounts, as a share of the pool.
    :param lasts_s: how long callers send jobs.
    """
    chance = random.Random(seed)
    rate = load * CORES / MEAN_WORK / sum(WEIGHTS.values())
    jobs: list[DrawnJob] = []
    for number, (account, weight) in enumerate(WEIGHTS.items()):
        streams = [(0.0, lasts_s, rate * weight)]
        if number < flooding:
            streams.append((*FLOOD, rate * weight * (factor - 1)))
        for at, end, stream_rate in streams:
            while (at := at + chance.expovariate(stream_rate)) < end:
                jobs.append(_draw_job(chance, f"{len(jobs):016x}", at, account))
    return sorted(jobs, key=lambda job: job.at)


def _draw_job(chance: random.Random, job_id: str, at: float, account: str) -> DrawnJob:
    steps = []
    true_s = []
    for number in range(chance.randint(1, 5)):
        took_s = chance.uniform(1.0, 1.7)
        # Declared durations are off by up to nine tenths, alike for all tasks of a step.
        declared_s = took_s * chance.uniform(0.1, 1.9)
        depends_on = (number - 1,) if number else ()
        steps.append(Step(chance.randint(4, 12), 1_000, 100, 0, declared_s, depends_on))
        true_s.append(took_s)
    return DrawnJob(job_id, at, account, JobSpec("p", tuple(steps)), tuple(true_s))
