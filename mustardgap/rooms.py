"""Free capacity of workers, and the best-fit choice of a worker for a job."""

import math
from collections.abc import Collection, Iterator

from .usages import Size

MAX_TRIES_PER_BUCKET = 32


class Rooms:
    """Tracks the free capacity of each worker as jobs are placed and end.

    Workers are kept in buckets by their free cores, so that the best fit is found by checking some
    tens of workers rather than all 8,900. Best fit keeps large free blocks for large jobs.
    """

    def __init__(self) -> None:
        self.capacity_by_worker: dict[str, Size] = {}
        self.free_by_worker: dict[str, Size] = {}
        self._allocation_by_job: dict[str, tuple[str, Size]] = {}
        self._jobs_by_worker: dict[str, set[str]] = {}
        self._buckets: dict[int, dict[str, None]] = {}

    def add_worker(self, worker: str, capacity: Size) -> None:
        """Add a worker, or change its capacity; jobs already on it keep their allocations."""
        if self.capacity_by_worker.get(worker) == capacity:
            return
        self.remove_worker(worker)
        self.capacity_by_worker[worker] = capacity
        free = capacity
        for job in self._jobs_by_worker.get(worker, ()):
            free = free.plus(self._allocation_by_job[job][1], -1)
        self._set_free(worker, free)

    def remove_worker(self, worker: str) -> None:
        """Remove a worker from the choice; the allocations of its jobs stay recorded."""
        self.capacity_by_worker.pop(worker, None)
        free = self.free_by_worker.pop(worker, None)
        if free is not None:
            self._buckets[math.floor(free.cores)].pop(worker, None)

    def allocate(self, job: str, worker: str, size: Size) -> None:
        """Allocate capacity for a job; an earlier allocation of the job is released."""
        if self._allocation_by_job.get(job) == (worker, size):
            return
        self.release(job)
        self._allocation_by_job[job] = (worker, size)
        self._jobs_by_worker.setdefault(worker, set()).add(job)
        if worker in self.free_by_worker:
            self._set_free(worker, self.free_by_worker[worker].plus(size, -1))

    def release(self, job: str) -> None:
        """Release the allocation of a job, if it has one."""
        allocation = self._allocation_by_job.pop(job, None)
        if allocation is None:
            return
        worker, size = allocation
        self._jobs_by_worker[worker].discard(job)
        if worker in self.free_by_worker:
            self._set_free(worker, self.free_by_worker[worker].plus(size))

    def allocation(self, job: str) -> tuple[str, Size] | None:
        """The worker and the size allocated to a job, None if nothing is."""
        return self._allocation_by_job.get(job)

    def jobs(self) -> set[str]:
        """The jobs that have an allocation."""
        return set(self._allocation_by_job)

    def jobs_on(self, worker: str) -> set[str]:
        """The jobs that have an allocation on a worker."""
        return self._jobs_by_worker.get(worker, set())

    def best_fit(self, size: Size, *, avoid: Collection[str] = ()) -> str | None:
        """Find a worker that fits a size, those with the fewest free cores first.

        :param size: the capacity needed.
        :param avoid: the workers not to choose.
        :return: the worker, or None if the size fits on none.
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
        # Reached only if the workers tried so far lack memory or accelerators, not cores.
        yield from rest

    def _set_free(self, worker: str, free: Size) -> None:
        old = self.free_by_worker.get(worker)
        if old is not None:
            self._buckets[math.floor(old.cores)].pop(worker, None)
        self.free_by_worker[worker] = free
        self._buckets.setdefault(math.floor(free.cores), {})[worker] = None
