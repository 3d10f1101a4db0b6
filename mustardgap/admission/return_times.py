"""Chooses when refused callers return, and keeps capacity for those that do."""

import zlib
from collections.abc import Iterator
from typing import NamedTuple

from .backlogs import Demand

# A caller that is back by so much earlier or later than it was told is on time: the transfer takes
# some milliseconds, and a busy host some tenths of a second more.
EARLY_S = 0.3
LATE_S = 0.5
# Capacity is kept for this many callers of a pool at the most, some 200 KB. Further ones are told a
# time as well, but have to compete when they return.
MAX_PROMISES = 500


class Promise(NamedTuple):
    """A refused job whose caller was told to return at a time, and the pool's cores then."""

    at: float
    demand: Demand
    cores: float


class ReturnSchedule:
    """The returns that callers of one pool were told, by the second.

    A second takes as much returning work as the pool does in a second. Those refused first get the
    earliest seconds; the more of a second is taken, the fewer further callers get it, chosen by
    their jobs' ids.
    """

    def __init__(self) -> None:
        # Returning work in core-seconds, by the second of the monotonic clock.
        self._work_by_second: dict[int, float] = {}
        self._promises_by_id: dict[str, Promise] = {}

    def choose(
        self,
        job_id: str,
        *,
        demand: Demand,
        cores: float,
        return_s: tuple[int, int],
        below_share: bool,
        now: float,
    ) -> int:
        """Choose the time after which a refused caller returns, and note it.

        :param demand: the refused job.
        :param cores: the pool's cores.
        :param return_s: the earliest and the latest time allowed, in whole seconds.
        :param below_share: whether the job's account has less waiting than its share; it gets the
            earliest time.
        :param now: monotonic seconds.
        :return: whole seconds.
        """
        earliest, latest = return_s
        for second in [second for second in self._work_by_second if second < int(now)]:
            del self._work_by_second[second]
        chosen = earliest
        if not below_share:
            # A share in [0, 1) that depends on the id alone.
            place = (zlib.crc32(job_id.encode()) % 1024) / 1024
            while chosen < latest and self._taken(now, chosen) > place * cores:
                chosen += 1
        second = int(now) + chosen
        self._work_by_second[second] = self._work_by_second.get(second, 0.0) + demand.work
        if len(self._promises_by_id) < MAX_PROMISES:
            self._promises_by_id[job_id] = Promise(now + chosen, demand, cores)
        return chosen

    def redeem(self, job_id: str, *, cores: float, now: float) -> bool:
        """Return whether a job is back on time and its pool hasn't shrunk since it was refused.

        :param cores: the pool's cores now.
        :param now: monotonic seconds.
        """
        promise = self._promises_by_id.pop(job_id, None)
        if promise is None or cores < promise.cores:
            return False
        return -EARLY_S <= now - promise.at <= LATE_S

    def awaited(self, now: float) -> Iterator[Demand]:
        """Yield the refused jobs that may still return on time; the pool keeps capacity for them.

        :param now: monotonic seconds.
        """
        for job_id, promise in list(self._promises_by_id.items()):
            if now - promise.at > LATE_S:
                del self._promises_by_id[job_id]
            else:
                yield promise.demand

    def _taken(self, now: float, seconds: int) -> float:
        return self._work_by_second.get(int(now) + seconds, 0.0)
