"""Which running jobs have their leases renewed under which key, and which leases end soon."""

import math
import zlib
from collections import defaultdict

# Leases are shared out by this many keys: ranking the members for each job would cost more.
LEASE_KEYS = 256
UNKNOWN = 0


def key_of(job: str) -> int:
    """The number of the key under which a job's lease is renewed."""
    return zlib.crc32(job.encode()) % LEASE_KEYS


class Leases:
    """An index of the jobs that hold room, kept up as records and polled tasks come in.

    A daemon that looked through all running jobs for the leases to renew would be busy with the
    others' jobs most of that time.
    """

    def __init__(self) -> None:
        self._jobs_by_key: defaultdict[int, set[str]] = defaultdict(set)
        self._jobs_by_end: defaultdict[int, set[str]] = defaultdict(set)
        self._end_by_job: dict[str, int] = {}

    def put(self, job: str, lease_until: float | None) -> None:
        """Take in a job that holds room.

        :param job: the job's id.
        :param lease_until: seconds since the epoch, None when no running task is known; the job
            counts as one whose lease ends at once then, so that it is looked at.
        """
        end = UNKNOWN if lease_until is None else math.floor(lease_until)
        before = self._end_by_job.get(job)
        if before == end:
            return
        if before is None:
            self._jobs_by_key[key_of(job)].add(job)
        else:
            self._leave_end(job, before)
        self._end_by_job[job] = end
        self._jobs_by_end[end].add(job)

    def drop(self, job: str) -> None:
        """Forget a job that holds no room any more."""
        end = self._end_by_job.pop(job, None)
        if end is not None:
            self._leave_end(job, end)
            self._jobs_by_key[key_of(job)].discard(job)

    def of_key(self, key: int) -> set[str]:
        """The jobs whose leases are renewed under a key."""
        return self._jobs_by_key[key]

    def ending_by(self, time: float) -> set[str]:
        """The jobs whose leases end by a time, or a little later, and those of unknown end."""
        last = math.floor(time)
        ends = [end for end in self._jobs_by_end if end <= last]
        return {job for end in ends for job in self._jobs_by_end[end]}

    def _leave_end(self, job: str, end: int) -> None:
        jobs = self._jobs_by_end[end]
        jobs.discard(job)
        if not jobs:
            del self._jobs_by_end[end]
