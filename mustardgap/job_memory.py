"""Bounds the memory of the jobs that a process owns."""

from collections.abc import Callable

from .client_bounds import MEGABYTE
from .timers import Clock
from .workloads import JobSpec

# What an owner keeps of each step, and of each of its tasks before they have run.
STEP_BYTES = 400
TASK_BYTES = 1_200
JOBS_SHARE_OF_MEMORY = 1 / 4
# Jobs up to this, some 50 tasks, have the last part of the room to themselves, so that ordinary
# ones are accepted while large ones fill the rest.
SMALL_JOB_BYTES = 64_000
SMALL_JOBS_SHARE = 1 / 4
# The jobs are counted again after this; meanwhile, accepted ones are added.
COUNT_INTERVAL_S = 0.1


def job_bytes(spec: JobSpec) -> int:
    """Return about how many bytes an owner needs for a job until it is forgotten."""
    tasks = sum(step.width for step in spec.steps) * max(1, spec.repeats)
    return STEP_BYTES * len(spec.steps) + TASK_BYTES * tasks


class JobMemory:
    """Decides whether there is room for a new job, by an estimate of those that are held.

    :param memory_mb: the memory that the process may use, in megabytes.
    :param held_bytes: sums up the jobs that the process owns.
    :param clock: the clocks to read.
    """

    def __init__(self, *, memory_mb: int, held_bytes: Callable[[], int], clock: Clock) -> None:
        self._limit = int(memory_mb * MEGABYTE * JOBS_SHARE_OF_MEMORY)
        self._held_bytes = held_bytes
        self._clock = clock
        self._held = 0
        self._counted_at = float("-inf")

    def take(self, spec: JobSpec) -> bool:
        """Take room for a job that is about to be accepted.

        A single job may be larger than the room, so that each that is valid is accepted in calm.

        :return: whether there is room.
        """
        now = self._clock.monotonic()
        if now - self._counted_at > COUNT_INTERVAL_S:
            self._held, self._counted_at = self._held_bytes(), now
        needed = job_bytes(spec)
        limit = self._limit
        if needed > SMALL_JOB_BYTES:
            limit -= int(limit * SMALL_JOBS_SHARE)
        if self._held >= limit:
            return False
        self._held += needed
        return True
