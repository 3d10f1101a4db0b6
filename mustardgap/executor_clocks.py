"""Bounds on an executor's clock, and on when its lease has surely lapsed."""

# An executor's steady clock may be this much slower than ours; the platform's page says so.
CLOCK_DRIFT = 0.02
# Beside drift: the executor's own time to kill what it runs, and our own late timers.
LAPSE_SLACK_S = 0.25


class ExecutorClock:
    """What is known of an executor's clock from its answers."""

    def __init__(self) -> None:
        self._clock_ms = 0
        self._seen_at: float | None = None
        self._granted_ms = 0

    @property
    def seen(self) -> bool:
        """Whether the executor has answered once."""
        return self._seen_at is not None

    def observe(self, clock_ms: int, *, now: float) -> None:
        """Take in the clock that an answer carried.

        :param now: our steady time when the answer came, in seconds.
        """
        if clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._seen_at = now

    def deadline_ms(self, after_s: float, *, now: float) -> int | None:
        """The executor's time in ``lease_s`` seconds, in ms; None before its first answer."""
        if self._seen_at is None:
            return None
        return int(self._clock_ms + (now - self._seen_at + after_s) * 1000)

    def note_granted(self, until_ms: int) -> None:
        """Note that a lease until this time may have reached the executor."""
        self._granted_ms = max(self._granted_ms, until_ms)

    def lapsed_at(self) -> float | None:
        """Our steady time at which every lease that we gave has lapsed; None before an answer."""
        if self._seen_at is None:
            return None
        left_s = max(self._granted_ms - self._clock_ms, 0) / 1000
        return self._seen_at + left_s / (1 - CLOCK_DRIFT) + LAPSE_SLACK_S
