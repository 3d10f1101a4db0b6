"""A timeout for answers that adapts to the latency of the last ones."""

# Executors answer within a few milliseconds. An answer that takes longer than this, and a few times
# their latency, is considered lost and requested again.
MIN_TIMEOUT_S = 0.15
MAX_TIMEOUT_S = 0.6
LATENCY_FACTOR = 3.0
# Each missing answer extends the next timeout, as the executor or this host may have become slow.
BACKOFF_FACTOR = 2.0
# CPU time of one order on a small host. In a burst, the last order is sent after all the others,
# and its answer isn't lost because of that delay.
ORDER_CPU_S = 0.02


class OrdersInFlight:
    """Counts the unanswered start orders of a shard."""

    def __init__(self) -> None:
        self.count = 0


class AdaptiveTimeout:
    """The timeout of the next answer, in addition to the wait that its request asks for."""

    def __init__(self) -> None:
        self.seconds = MIN_TIMEOUT_S

    @property
    def is_at_max(self) -> bool:
        """Whether the timeout is the longest, so that a missing answer is significant."""
        return self.seconds >= MAX_TIMEOUT_S

    def with_orders_in_flight(self, orders: int) -> float:
        """Return the timeout of an order that is sent along with others, in seconds.

        :param orders: the number of unanswered orders.
        """
        return min(self.seconds + orders * ORDER_CPU_S, MAX_TIMEOUT_S)

    def note_unanswered(self) -> None:
        """Extend the timeout after a missing answer."""
        self.seconds = min(self.seconds * BACKOFF_FACTOR, MAX_TIMEOUT_S)

    def note_answered(self, took_s: float) -> None:
        """Set the timeout by the latency of an answer.

        :param took_s: its latency in seconds, without the wait that its request asked for.
        """
        self.seconds = min(max(took_s * LATENCY_FACTOR, MIN_TIMEOUT_S), MAX_TIMEOUT_S)
