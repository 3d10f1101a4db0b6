"""Bounds on an executor's clock, and on the time by which its lease has lapsed."""

# The maximum relative rate by which an executor's monotonic clock may be slower than the local one,
# as the platform's documentation states it.
CLOCK_DRIFT = 0.02
# Added to the drift: the time an executor needs to kill its runs, and delays of local timers.
LAPSE_SLACK_S = 0.25


class ExecutorClock:
    """Estimates an executor's clock from its answers and tracks the leases granted to it.

    :param unknown_lease_s: the length of a lease that may have been granted by the clock of a
        former incarnation; it counts from the first answer.
    """

    def __init__(self, *, unknown_lease_s: float = 0.0) -> None:
        self._unknown_lease_s = unknown_lease_s
        self._clock_ms = 0
        self._seen_at: float | None = None
        self._granted_ms = 0

    @property
    def seen(self) -> bool:
        """Whether the executor has answered at least once."""
        return self._seen_at is not None

    def observe(self, clock_ms: int, *, now: float) -> None:
        """Record the clock value of an answer.

        :param clock_ms: the executor's clock in the answer.
        :param now: local monotonic time at which the answer arrived, in seconds.
        """
        if self._seen_at is None and self._unknown_lease_s:
            self._granted_ms = clock_ms + int(self._unknown_lease_s * 1000)
        if clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._seen_at = now

    def deadline_ms(self, after_s: float, *, now: float) -> int | None:
        """The executor's clock at a later time.

        :param after_s: how much later, in seconds.
        :param now: local monotonic time, in seconds.
        :return: the executor's time in ms, None before its first answer.
        """
        if self._seen_at is None:
            return None
        return int(self._clock_ms + (now - self._seen_at + after_s) * 1000)

    def note_granted(self, until_ms: int) -> None:
        """Note that a lease until this executor time may have reached the executor."""
        self._granted_ms = max(self._granted_ms, until_ms)

    def lapsed_at(self) -> float | None:
        """Local monotonic time by which all granted leases have lapsed; None before an answer."""
        if self._seen_at is None:
            return None
        left_s = max(self._granted_ms - self._clock_ms, 0) / 1000
        return self._seen_at + left_s / (1 - CLOCK_DRIFT) + LAPSE_SLACK_S
