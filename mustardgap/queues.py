"""Waiting for a slot: bounded by time, most urgent first; refuses at once what would expire."""

import asyncio
import math
import random
from collections import deque
from collections.abc import Iterator
from typing import Any

from . import metrics, status_codes
from .exceptions import SlotRefused
from .outcomes import NotRun
from .status_codes import Code
from .timers import Clock

LEAST_URGENT = 9
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
RATE_WINDOW_S = 2.0
MIN_RATE_AGE_S = 0.25
IDLE_RESET_S = 0.5


class Rate:
    """An exponentially decaying rate of events per second.

    ``last_per_s`` is the rate as it was at the last event.

    :param clock: the clocks to read.
    :param window_s: the time constant of the decay in seconds.
    """

    def __init__(self, *, clock: Clock, window_s: float = RATE_WINDOW_S) -> None:
        self.clock = clock
        self.window_s = window_s
        self.counted = 0
        self.last_per_s = 0.0
        self._count = 0.0
        self._started = self._at = self._last_at = clock.monotonic()

    def restart(self) -> None:
        """Reset the count."""
        self.counted = 0
        self.last_per_s = 0.0
        self._count = 0.0
        self._started = self._at = self._last_at = self.clock.monotonic()

    def add(self) -> None:
        """Count an event that happens now."""
        self._decay()
        self.counted += 1
        self._count += 1.0
        self._last_at = self._at
        self.last_per_s = self.per_s()

    def idle_s(self) -> float:
        """Seconds since the last event, or since the count was started or reset."""
        return self.clock.monotonic() - self._last_at

    def age_s(self) -> float:
        """Seconds since the count was started or reset."""
        return self.clock.monotonic() - self._started

    def per_s(self) -> float:
        """Events per second, corrected for the time before the count was started."""
        self._decay()
        age_s = max(self.age_s(), 0.01)
        return self._count / (self.window_s * (1.0 - math.exp(-age_s / self.window_s)))

    def _decay(self) -> None:
        now = self.clock.monotonic()
        self._count *= math.exp(-(now - self._at) / self.window_s)
        self._at = now


class Waiter:
    """A request that waits for a slot.

    :param urgency: 0 for the most urgent to 9 for the least.
    :param until: the monotonic time until which it may wait.
    :param deadline: the monotonic time at which its caller gives up.
    :param exclude: executors it must not go to.
    :param since: the monotonic time at which it arrived.
    """

    def __init__(
        self, *, urgency: int, until: float, deadline: float, exclude: frozenset[str], since: float
    ) -> None:
        self.urgency = urgency
        self.until = until
        self.deadline = deadline
        self.exclude = exclude
        self.since = since
        self.future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()


class WaitQueue:
    """The requests of one service that wait for a slot at this entry host.

    :param service: the service.
    :param clock: the clocks to read.
    :param max_waiting: the maximum number of waiting requests.
    """

    def __init__(self, *, service: str, clock: Clock, max_waiting: int) -> None:
        self.service = service
        self.clock = clock
        self.max_waiting = max_waiting
        self.drain = Rate(clock=clock)
        self.refusals = Rate(clock=clock, window_s=4.0)
        self.mean_hold_s = 0.0
        self._by_urgency: list[deque[Waiter]] = [deque() for _ in range(LEAST_URGENT + 1)]
        self._count = 0
        self._last_removal = -IDLE_RESET_S

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Waiter]:
        for waiters in self._by_urgency:
            yield from waiters

    def head(self) -> Waiter | None:
        """The waiter to serve next."""
        return next(iter(self), None)

    def ahead(self, urgency: int) -> int:
        """How many would be served before a new request of an urgency."""
        return sum(len(waiters) for waiters in self._by_urgency[: urgency + 1])

    def expected_wait_s(self, ahead: int) -> float:
        """Seconds until a request with so many ahead is served, by the recent drain rate.

        It is the rate at the last request served: while none is served the executors stall, and
        how long they will is unknown. Taken for a slow drain, a stall of 0.6 s had requests refused
        that could have been served a moment later.
        """
        if ahead <= 0 or not self._knows_rate():
            return 0.0
        if not self.drain.counted:
            return ahead * self.drain.age_s()
        return ahead / self.drain.last_per_s

    def push(self, waiter: Waiter) -> None:
        """Add a request to the queue.

        :raises SlotRefused: MG1100 if it would wait too long or miss its deadline.
        """
        now = self.clock.monotonic()
        if not self._count and now > self._last_removal + IDLE_RESET_S:
            # While nobody waits, the drain rate shows the demand, not the capacity.
            self.drain.restart()
        ahead = self.ahead(waiter.urgency)
        if self._would_expire(waiter, ahead):
            raise self.make_refusal(status_codes.QUEUE_FULL)
        self._by_urgency[waiter.urgency].append(waiter)
        self._count += 1
        metrics.queue_length.add(1, {"service": self.service})
        self.shed()

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter, served or not."""
        try:
            self._by_urgency[waiter.urgency].remove(waiter)
        except ValueError:
            return
        self._count -= 1
        self._last_removal = self.clock.monotonic()
        metrics.queue_length.add(-1, {"service": self.service})

    def shed(self) -> None:
        """Refuse what would expire or exceeds the maximum, the least urgent and latest first.

        A caller refused now can go elsewhere; one kept until its deadline couldn't.
        """
        while self._count:
            waiter = self._tail()
            over = self._count > self.max_waiting
            if not over and not self._would_expire(waiter, self._count - 1):
                return
            self.remove(waiter)
            if not waiter.future.done():
                waiter.future.set_exception(self.make_refusal(status_codes.SHED))

    def record_served(self, waited_s: float) -> None:
        """Count a request that got its slot; the rate is measured from the first one."""
        if not self.drain.counted:
            self.drain.restart()
        self.drain.add()
        metrics.queue_wait.record(waited_s, {"service": self.service})

    def record_hold(self, hold_s: float) -> None:
        """Update the mean time for which slots are held."""
        self.mean_hold_s += (hold_s - self.mean_hold_s) * 0.05

    def make_refusal(self, code: Code, detail: str = "") -> SlotRefused:
        """Make a refusal that says when to retry.

        The time is what the current drain rate needs for all waiting and recently refused requests,
        with a jitter of half on either side: with the same time for all, the refused callers would
        retry together and be refused again.
        """
        self.refusals.add()
        rate = max(self.drain.per_s(), 0.1) if self._knows_rate() else math.inf
        backlog = self._count + self.refusals.per_s() * self.refusals.window_s
        after = min(max(backlog / rate, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        outcome = NotRun(code=code, detail=detail, retry_after=after * random.uniform(0.5, 1.5))
        return SlotRefused(outcome=outcome)

    def _knows_rate(self) -> bool:
        """Whether the drain rate is measured yet.

        Right after a start, or for a new service, slots are still being assigned: none served in a
        second doesn't mean that none will be, and callers were told to retry in a minute by a host
        that could serve them a moment later. The rate is therefore unknown until
        ``MIN_RATE_AGE_S`` after the first request is served, or for ``RATE_WINDOW_S`` if none is;
        the profile bounds the wait.
        """
        age_s = self.drain.age_s()
        return age_s >= (MIN_RATE_AGE_S if self.drain.counted else RATE_WINDOW_S)

    def _tail(self) -> Waiter:
        return next(waiters[-1] for waiters in reversed(self._by_urgency) if waiters)

    def _would_expire(self, waiter: Waiter, ahead: int) -> bool:
        now = self.clock.monotonic()
        if ahead > 0 and self.drain.idle_s() > waiter.until - waiter.since:
            # The executors have stalled for longer than a request may wait.
            return True
        turn = now + self.expected_wait_s(ahead)
        return turn > waiter.until or turn + self.mean_hold_s > waiter.deadline
