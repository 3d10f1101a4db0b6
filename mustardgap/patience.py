"""How long an answer is waited for, by how long the last ones took."""

# Executors answer within a few milliseconds. An answer that isn't there after this, and a few times
# what they take now, is taken for lost and asked for again.
LEAST_S = 0.15
MOST_S = 0.6
TIMES_LATENCY = 3.0
# Each answer that didn't come lets the next one take longer, as the executor or this host may have
# become slow.
GROWTH = 2.0
# What one order takes of a small host's processor. In a burst the last order goes out when all
# before it have, and its answer isn't lost for that.
ORDER_S = 0.02


class OrdersUnderWay:
    """Counts the orders that a process has under way."""

    def __init__(self) -> None:
        self.count = 0


class Patience:
    """The time that is given to the next answer beyond what was asked for."""

    def __init__(self) -> None:
        self.seconds = LEAST_S

    @property
    def is_over(self) -> bool:
        """Whether the next answer has the longest time, so that silence means something."""
        return self.seconds >= MOST_S

    def beside(self, orders: int) -> float:
        """The time for an order that is sent beside others.

        :param orders: how many orders are under way.
        """
        return min(self.seconds + orders * ORDER_S, MOST_S)

    def note_missed(self) -> None:
        """Give the next answer more time."""
        self.seconds = min(self.seconds * GROWTH, MOST_S)

    def note_answered(self, took_s: float) -> None:
        """Give the next answer as long as this one suggests.

        :param took_s: how long it took beyond what was asked for.
        """
        self.seconds = min(max(took_s * TIMES_LATENCY, LEAST_S), MOST_S)
