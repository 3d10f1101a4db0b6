"""Decides which waiting job goes to which worker, and which less urgent jobs are paused for it."""

import math
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple, Protocol

from .rooms import Rooms
from .usages import Size

# A waiting job counts as one level more urgent per this time waited, and per pause.
URGENCY_AGING_S = 120.0
# A job that was paused once runs at least this long before it is paused again, and twice as long
# after each further pause, so that it ends but can still be paused most of the time.
MIN_RUN_AFTER_PAUSE_S = 60.0
# A job that has waited this long and fits on no worker gets a worker reserved for it.
RESERVE_AFTER_S = 30.0
RESERVATION_S = 120.0
MAX_RESERVED = 8
MAX_PAUSES_AT_ONCE = 32
# At most so many workers on which less urgent jobs could be paused are compared for one job, and so
# many workers are examined in one pass; the next pass begins at another one.
MAX_CANDIDATES = 16
MAX_EXAMINED = 1000


class Waiting(NamedTuple):
    """A waiting job; ``since`` is when its wait began."""

    job: str
    urgency: int
    pauses: int
    since: float
    size: Size
    run_s: float
    avoid: frozenset[str] = frozenset()
    team: str = ""

    def level(self, now: float) -> int:
        """The job's effective urgency, raised by waiting and by pauses; 0 is the most urgent."""
        return max(0, math.floor(self.urgency - self.pauses - (now - self.since) / URGENCY_AGING_S))


def min_run_s(pauses: int) -> float:
    """How long a job runs at least before it may be paused for the next time."""
    return MIN_RUN_AFTER_PAUSE_S * 2.0 ** (min(pauses, 30) - 1) if pauses else 0.0


class Running(NamedTuple):
    """A job that holds capacity; ``may_pause`` says whether it may be taken off its worker."""

    job: str
    worker: str
    urgency: int
    size: Size
    started: float
    ends: float
    may_pause: bool
    is_leaving: bool


class Reservation(NamedTuple):
    """A worker reserved for a waiting job until ``expires``; expected to be free at ``free_at``."""

    job: str
    free_at: float
    expires: float


class Place(NamedTuple):
    """Place a job on a worker."""

    job: str
    worker: str
    size: Size


class Pause(NamedTuple):
    """Take a job off its worker for the more urgent job ``by``."""

    job: str
    worker: str
    by: str


class TeamQuotas(Protocol):
    """The part of the quotas that a pass over the queue uses."""

    def must_yield(self, job: Waiting) -> bool:
        """Whether a job must leave its team's quota to a more urgent job."""

    def victims(self, job: Waiting, chosen: Iterable[str]) -> list[Running] | None:
        """Choose which of a team's jobs to pause for its quota."""


class Queue:
    """One pass over the waiting jobs, the most urgent first.

    :param rooms: free capacity; ``decide`` allocates what it places and releases it at the end.
    :param running_by_worker: returns the jobs that hold capacity on a worker.
    :param reserved: reservations by worker; changed in place, as they outlive the pass.
    :param may_place: tells whether the fold would accept a placement now.
    :param now: seconds since the epoch.
    :param quotas: chooses a team's jobs to pause for its quota; None to pause none.
    """

    def __init__(
        self,
        *,
        rooms: Rooms,
        running_by_worker: Callable[[str], list[Running]],
        reserved: dict[str, Reservation],
        may_place: Callable[[str, str], bool],
        now: float,
        quotas: TeamQuotas | None = None,
    ) -> None:
        self.rooms = rooms
        self.quotas = quotas
        self.running_by_worker = running_by_worker
        self.reserved = reserved
        self.may_place = may_place
        self.now = now
        self.placed: list[Place] = []
        self.paused: list[Pause] = []
        self._visited: set[str] = set()
        self._blocked: list[Waiting] = []
        self._not_preempting: list[Waiting] = []
        self._running_by_worker: dict[str, list[Running]] = {}
        self._examinations_left = MAX_EXAMINED

    def decide(self, waiting: Iterable[Waiting]) -> list[Place | Pause]:
        """Decide for all waiting jobs.

        :param waiting: the jobs, in any order.
        :return: placements and pauses.
        """
        jobs = sorted(waiting, key=lambda w: (w.level(self.now), w.since, w.job))
        self._drop_reservations({w.job for w in jobs})
        try:
            for job in jobs:
                self._visit(job)
        finally:
            for place in self.placed:
                self.rooms.release(place.job)
        return [*self.placed, *self.paused]

    def _visit(self, job: Waiting) -> None:
        self._visited.add(job.job)
        if self.quotas is not None and self.quotas.must_yield(job):
            return
        has_worker = any(r.job == job.job for r in self.reserved.values())
        worker = None
        # If a smaller and shorter job found no worker in this pass, neither does this one, unless
        # a worker is reserved for it.
        if has_worker or not self._is_known_blocked(job):
            worker = self.rooms.best_fit(
                job.size, avoid=job.avoid | self._reserved_for_earlier(job)
            )
        if worker is not None:
            if self.may_place(job.job, worker):
                self._place(job, worker)
            else:
                self._pause(job, self._quota_victims(job, []) or [])
            return
        if has_worker:
            # Keeps the quota claimed against less urgent jobs while the paused ones are leaving.
            self._quota_victims(job, [])
        if not job.avoid:
            self._blocked.append(job)
        if not has_worker and not self._preempt(job) and self.now - job.since > RESERVE_AFTER_S:
            self._reserve(job)

    def _is_known_blocked(self, job: Waiting) -> bool:
        return any(b.size.fits(job.size) and b.run_s <= job.run_s for b in self._blocked)

    def _place(self, job: Waiting, worker: str) -> None:
        self.placed.append(Place(job.job, worker, job.size))
        self.rooms.allocate(job.job, worker, job.size)
        for kept, reservation in list(self.reserved.items()):
            if reservation.job == job.job:
                del self.reserved[kept]

    def _reserved_for_earlier(self, job: Waiting) -> frozenset[str]:
        """The workers reserved for earlier jobs, except those that this job would leave in time.

        Reservations for jobs further back in the queue don't block this one: otherwise all workers
        could stay empty, each reserved for a job that waits for its turn.
        """
        ends = self.now + job.run_s
        return frozenset(
            worker
            for worker, reservation in self.reserved.items()
            if reservation.job in self._visited
            and reservation.job != job.job
            and ends > reservation.free_at
        )

    def _drop_reservations(self, waiting: set[str]) -> None:
        for worker, reservation in list(self.reserved.items()):
            is_over = reservation.expires < self.now or reservation.job not in waiting
            if is_over or worker not in self.rooms.capacity_by_worker:
                del self.reserved[worker]

    def _preempt(self, job: Waiting) -> bool:
        """Pause the fewest less urgent jobs on one worker, of these the least run time lost."""
        if len(self.paused) >= MAX_PAUSES_AT_ONCE or self._examinations_left <= 0:
            return False
        if any(h.size.fits(job.size) and h.urgency <= job.urgency for h in self._not_preempting):
            return False
        best: tuple[tuple[int, float], str, list[Running]] | None = None
        compared = 0
        for worker in self._rotated_workers():
            if worker in job.avoid or worker in self.reserved:
                continue
            victims = self._victims(job, worker)
            if not victims:
                continue
            compared += 1
            if compared > MAX_CANDIDATES:
                break
            lost_s = sum(self.now - v.started for v in victims)
            if best is None or (len(victims), lost_s) < best[0]:
                best = ((len(victims), lost_s), worker, victims)
        if best is None and not job.avoid and self._examinations_left > 0:
            self._not_preempting.append(job)
        if best is None:
            return False
        _, worker, victims = best
        if not self.may_place(job.job, worker):
            others = self._quota_victims(job, victims)
            if others is None:
                return False
            victims = [*victims, *others]
        self._pause(job, victims)
        self.reserved[worker] = Reservation(job.job, self.now, self.now + RESERVATION_S)
        return True

    def _quota_victims(self, job: Waiting, chosen: list[Running]) -> list[Running] | None:
        """The jobs to pause for the team's quota besides those chosen; None if none would help."""
        if self.quotas is None or len(self.paused) >= MAX_PAUSES_AT_ONCE:
            return None
        names = [*(pause.job for pause in self.paused), *(v.job for v in chosen)]
        return self.quotas.victims(job, names)

    def _pause(self, job: Waiting, victims: list[Running]) -> None:
        self.paused += [Pause(victim.job, victim.worker, job.job) for victim in victims]

    def _victims(self, job: Waiting, worker: str) -> list[Running] | None:
        """The jobs to pause on a worker: the least urgent first, of these the latest started.

        :return: the jobs; None if pausing frees too little.
        """
        free = self.rooms.free_by_worker[worker]
        running = self._running_on(worker)
        for leaving in running:
            if leaving.is_leaving:
                free = free.plus(leaving.size)
        chosen: list[Running] = []
        possible = [r for r in running if r.may_pause and not r.is_leaving]
        for victim in sorted(possible, key=lambda r: (-r.urgency, -r.started)):
            if job.size.fits(free):
                break
            if victim.urgency <= job.urgency:
                return None
            free = free.plus(victim.size)
            chosen.append(victim)
        return chosen if job.size.fits(free) else None

    def _rotated_workers(self) -> Iterator[str]:
        """The workers, beginning at another one in each pass, up to the limit of the pass."""
        workers = list(self.rooms.free_by_worker)
        first = int(self.now * 997) % max(1, len(workers))
        for worker in [*workers[first:], *workers[:first]]:
            if self._examinations_left <= 0:
                return
            self._examinations_left -= 1
            yield worker

    def _running_on(self, worker: str) -> list[Running]:
        running = self._running_by_worker.get(worker)
        if running is None:
            running = self._running_by_worker[worker] = self.running_by_worker(worker)
        return running

    def _reserve(self, job: Waiting) -> None:
        """Reserve the worker on which the job will fit first.

        Otherwise small jobs would take all capacity as it is freed, and a large one would wait
        forever.
        """
        if len(self.reserved) >= MAX_RESERVED:
            return
        best: tuple[float, str] | None = None
        for worker in self._rotated_workers():
            capacity = self.rooms.capacity_by_worker[worker]
            if worker in self.reserved or worker in job.avoid or not job.size.fits(capacity):
                continue
            free_at = self._free_at(job, worker)
            if best is None or (free_at, worker) < best:
                best = (free_at, worker)
        if best is not None and self.may_place(job.job, best[1]):
            free_at, worker = best
            self.reserved[worker] = Reservation(job.job, free_at, self.now + RESERVATION_S)

    def _free_at(self, job: Waiting, worker: str) -> float:
        free = self.rooms.free_by_worker[worker]
        free_at = self.now
        for running in sorted(self._running_on(worker), key=lambda r: r.ends):
            if job.size.fits(free):
                break
            free = free.plus(running.size)
            free_at = max(self.now, running.ends)
        return free_at
