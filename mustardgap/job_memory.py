"""Bounds the memory of the jobs that a process owns."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from .client_bounds import free_bytes
from .timers import Clock
from .workloads import JobSpec

# What an owner keeps of each step, and of each of its tasks before they have run.
STEP_BYTES = 400
TASK_BYTES = 1_200
JOBS_SHARE_OF_FREE = 1 / 4
# Jobs up to this, some 50 tasks, have a part of the room to themselves, so that ordinary ones are
# accepted while large ones fill the rest.
SMALL_JOB_BYTES = 64_000
SMALL_JOBS_SHARE = 1 / 4
# The jobs are counted again after this; meanwhile, accepted ones are added.
COUNT_INTERVAL_S = 0.1


def job_bytes(spec: JobSpec) -> int:
    """Return about how many bytes an owner needs for a job until it is forgotten."""
    tasks = sum(step.width for step in spec.steps) * max(1, spec.repeats)
    return STEP_BYTES * len(spec.steps) + TASK_BYTES * tasks


def ended_job_bytes(spec: JobSpec) -> int:
    """Return about how many bytes an owner needs for a job that has ended."""
    return STEP_BYTES * len(spec.steps)


class HeldJobs(NamedTuple):
    """About how many bytes the jobs of an owner need, small and large ones by themselves."""

    small: int = 0
    large: int = 0

    @classmethod
    def of(cls, sizes: Iterable[int]) -> "HeldJobs":
        """Sum up the bytes of jobs."""
        small = large = 0
        for size in sizes:
            if size <= SMALL_JOB_BYTES:
                small += size
            else:
                large += size
        return cls(small, large)


class JobMemory:
    """Decides whether there is room for a new job, by an estimate of those that are held.

    :param memory_mb: the memory that the process may use, in megabytes.
    :param held: sums up the jobs that the process owns.
    :param clock: the clocks to read.
    """

    def __init__(self, *, memory_mb: int, held: Callable[[], HeldJobs], clock: Clock) -> None:
        room = int(free_bytes(memory_mb) * JOBS_SHARE_OF_FREE)
        self._small_room = int(room * SMALL_JOBS_SHARE)
        self._large_room = room - self._small_room
        self._sum_up = held
        self._clock = clock
        self._held = HeldJobs()
        self._counted_at = float("-inf")

    def take(self, spec: JobSpec) -> bool:
        """Take room for a job that is about to be accepted.

        A single job may be larger than the room, so that each that is valid is accepted in calm.

        :return: whether there is room.
        """
        now = self._clock.monotonic()
        if now - self._counted_at > COUNT_INTERVAL_S:
            self._held, self._counted_at = self._sum_up(), now
        small, large = self._held
        needed = job_bytes(spec)
        if needed <= SMALL_JOB_BYTES:
            small += needed
            has_room = small <= self._small_room
        else:
            has_room = not large or large + needed <= self._large_room
            large += needed
        if has_room:
            self._held = HeldJobs(small, large)
        return has_room
