"""How long an answer is waited for, by how long the last ones took."""

# Executors answer within a few milliseconds. An answer that isn't there after this, and a few times
# what they take now, is taken for lost and asked for again.
MIN_TIMEOUT_S = 0.15
MAX_TIMEOUT_S = 0.6
LATENCY_FACTOR = 3.0
# Each answer that didn't come lets the next one take longer, as the executor or this host may have
# become slow.
BACKOFF_FACTOR = 2.0
# What one order takes of a small host's processor. In a burst the last order goes out when all
# before it have, and its answer isn't lost for that.
ORDER_CPU_S = 0.02


class OrdersInFlight:
    """Counts the orders that a process has under way."""

    def __init__(self) -> None:
        self.count = 0


class AdaptiveTimeout:
    """The time that is given to the next answer beyond what was asked for."""

    def __init__(self) -> None:
        self.seconds = MIN_TIMEOUT_S

    @property
    def is_at_max(self) -> bool:
        """Whether the next answer has the longest time, so that silence means something."""
        return self.seconds >= MAX_TIMEOUT_S

    def with_orders_in_flight(self, orders: int) -> float:
        """The time for an order that is sent beside others.

        :param orders: how many orders are under way.
        """
        return min(self.seconds + orders * ORDER_CPU_S, MAX_TIMEOUT_S)

    def note_unanswered(self) -> None:
        """Give the next answer more time."""
        self.seconds = min(self.seconds * BACKOFF_FACTOR, MAX_TIMEOUT_S)

    def note_answered(self, took_s: float) -> None:
        """Give the next answer as long as this one suggests.

        :param took_s: how long it took beyond what was asked for.
        """
        self.seconds = min(max(took_s * LATENCY_FACTOR, MIN_TIMEOUT_S), MAX_TIMEOUT_S)
