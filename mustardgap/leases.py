"""An index of the leases of running jobs, by renewal key and by end time."""

import math
import zlib
from collections import defaultdict

# The renewal of leases is distributed among the members by this many keys; ranking the members for
# each job would cost more.
LEASE_KEY_COUNT = 256
UNKNOWN_END = 0


def lease_key_of(job: str) -> int:
    """Return the number of the key under which a job's lease is renewed."""
    return zlib.crc32(job.encode()) % LEASE_KEY_COUNT


class Leases:
    """An index of the jobs that hold resources, updated with each record and each polled task.

    Without it a daemon would search all running jobs for the leases to renew, and spend most of
    that time on jobs whose leases other daemons renew.
    """

    def __init__(self) -> None:
        self._jobs_by_key: defaultdict[int, set[str]] = defaultdict(set)
        self._jobs_by_end: defaultdict[int, set[str]] = defaultdict(set)
        self._end_by_job: dict[str, int] = {}

    def update(self, job: str, lease_until: float | None) -> None:
        """Add or update a job that holds resources.

        :param job: the job's id.
        :param lease_until: seconds since the epoch; None when no running task is known, and the job
            is then returned by each call of ``jobs_ending_by``.
        """
        end = UNKNOWN_END if lease_until is None else math.floor(lease_until)
        before = self._end_by_job.get(job)
        if before == end:
            return
        if before is None:
            self._jobs_by_key[lease_key_of(job)].add(job)
        else:
            self._remove_end(job, before)
        self._end_by_job[job] = end
        self._jobs_by_end[end].add(job)

    def remove(self, job: str) -> None:
        """Remove a job that doesn't hold resources any more."""
        end = self._end_by_job.pop(job, None)
        if end is not None:
            self._remove_end(job, end)
            self._jobs_by_key[lease_key_of(job)].discard(job)

    def jobs_of_key(self, key: int) -> set[str]:
        """Return the jobs whose leases are renewed under a key."""
        return self._jobs_by_key[key]

    def jobs_ending_by(self, time: float) -> set[str]:
        """Return jobs whose leases end by a time or up to 1 s later, or at an unknown time."""
        last = math.floor(time)
        ends = [end for end in self._jobs_by_end if end <= last]
        return {job for end in ends for job in self._jobs_by_end[end]}

    def _remove_end(self, job: str, end: int) -> None:
        jobs = self._jobs_by_end[end]
        jobs.discard(job)
        if not jobs:
            del self._jobs_by_end[end]
