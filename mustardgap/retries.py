"""A retry budget for each service, as a share of its first tries."""

from typing import NamedTuple

from .timers import Clock

MAX_TOKENS = 10.0
REFILL_PER_S = 1.0


class _Bucket(NamedTuple):
    tokens: float
    filled_at: float


class RetryBudget:
    """Limits retries to a share of first tries, so that they can't amplify an overload.

    Each first try of a service earns ``ratio`` tokens and each retry spends one. A slow refill lets
    services with few requests retry too.

    :param ratio: retries allowed per first try.
    :param clock: the clocks to read.
    """

    def __init__(self, *, ratio: float, clock: Clock | None = None) -> None:
        self.ratio = ratio
        self.clock = clock or Clock()
        self._buckets_by_service: dict[str, _Bucket] = {}

    def earn(self, service: str) -> None:
        """Note a first try."""
        self._add(service, self.ratio)

    def spend(self, service: str) -> bool:
        """Take one retry from the budget.

        :return: False if the budget is exhausted.
        """
        if self.ratio == 0 or self._add(service, 0.0) < 1.0:
            return False
        self._add(service, -1.0)
        return True

    def _add(self, service: str, tokens: float) -> float:
        now = self.clock.monotonic()
        bucket = self._buckets_by_service.get(service, _Bucket(MAX_TOKENS, now))
        earned = tokens + (now - bucket.filled_at) * REFILL_PER_S
        bucket = _Bucket(min(MAX_TOKENS, bucket.tokens + earned), now)
        self._buckets_by_service[service] = bucket
        return bucket.tokens
