"""Free room on workers, and which worker a job goes to."""

import math
from collections.abc import Collection, Iterator

from .usages import Size

MAX_TRIES_PER_BUCKET = 32


class Rooms:
    """Free room by worker, kept up as jobs come and go.

    Workers stand in buckets by their free cores, so the tightest fit is found by looking at some
    tens of workers and not at all 8,900. Tight fits leave large holes for large jobs.
    """

    def __init__(self) -> None:
        self.capacity_by_worker: dict[str, Size] = {}
        self.free_by_worker: dict[str, Size] = {}
        self._allocation_by_job: dict[str, tuple[str, Size]] = {}
        self._jobs_by_worker: dict[str, set[str]] = {}
        self._buckets: dict[int, dict[str, None]] = {}

    def add_worker(self, worker: str, capacity: Size) -> None:
        """Offer a worker, or change its capacity; jobs already there keep their room."""
        if self.capacity_by_worker.get(worker) == capacity:
            return
        self.remove_worker(worker)
        self.capacity_by_worker[worker] = capacity
        free = capacity
        for job in self._jobs_by_worker.get(worker, ()):
            free = free.plus(self._allocation_by_job[job][1], -1)
        self._set_free(worker, free)

    def remove_worker(self, worker: str) -> None:
        """Offer a worker no longer; its jobs are still remembered."""
        self.capacity_by_worker.pop(worker, None)
        free = self.free_by_worker.pop(worker, None)
        if free is not None:
            self._buckets[math.floor(free.cores)].pop(worker, None)

    def allocate(self, job: str, worker: str, size: Size) -> None:
        """Hold room for a job; a job holds room on one worker at most."""
        if self._allocation_by_job.get(job) == (worker, size):
            return
        self.release(job)
        self._allocation_by_job[job] = (worker, size)
        self._jobs_by_worker.setdefault(worker, set()).add(job)
        if worker in self.free_by_worker:
            self._set_free(worker, self.free_by_worker[worker].plus(size, -1))

    def release(self, job: str) -> None:
        """Give back what a job held, if anything."""
        allocation = self._allocation_by_job.pop(job, None)
        if allocation is None:
            return
        worker, size = allocation
        self._jobs_by_worker[worker].discard(job)
        if worker in self.free_by_worker:
            self._set_free(worker, self.free_by_worker[worker].plus(size))

    def allocation(self, job: str) -> tuple[str, Size] | None:
        """The worker and the room that a job holds."""
        return self._allocation_by_job.get(job)

    def jobs(self) -> set[str]:
        """The jobs that hold room."""
        return set(self._allocation_by_job)

    def jobs_on(self, worker: str) -> set[str]:
        """The jobs that hold room on a worker."""
        return self._jobs_by_worker.get(worker, set())

    def best_fit(self, size: Size, *, avoid: Collection[str] = ()) -> str | None:
        """Find the worker with the tightest room for a size.

        :param size: the room needed.
        :param avoid: workers not to choose.
        :return: the worker, or None when none has room.
        """
        for worker in self._candidates(size):
            if worker not in avoid and size.fits(self.free_by_worker[worker]):
                return worker
        return None

    def _candidates(self, size: Size) -> Iterator[str]:
        rest: list[str] = []
        least = math.floor(size.cores)
        for bucket in sorted(key for key in self._buckets if key >= least):
            workers = list(self._buckets[bucket])
            yield from workers[:MAX_TRIES_PER_BUCKET]
            rest += workers[MAX_TRIES_PER_BUCKET:]
        # Only a job short of memory or accelerators, not of cores, comes this far.
        yield from rest

    def _set_free(self, worker: str, free: Size) -> None:
        old = self.free_by_worker.get(worker)
        if old is not None:
            self._buckets[math.floor(old.cores)].pop(worker, None)
        self.free_by_worker[worker] = free
        self._buckets.setdefault(math.floor(free.cores), {})[worker] = None
