"""Tickets of records: whoever waits for a record is told what became of it."""

import asyncio
import enum


class Stored(enum.Enum):
    """What became of a record."""

    YES = "stored"
    NO = "not stored"
    UNKNOWN = "unknown"


class Ticket:
    """Tells when a record stands in the store.

    :param outcome: ends with what became of the record.
    """

    def __init__(self, *, outcome: "asyncio.Future[Stored]") -> None:
        self.outcome = outcome
        self.sent = False
        # Whether it was sent to the failover partition.
        self.diverted = False

    @property
    def durable(self) -> bool:
        """Whether the record is known to be stored."""
        return self.outcome.done() and self.outcome.result() is Stored.YES

    def resolve(self, stored: Stored) -> None:
        """Tell what became of the record; only the first word counts."""
        if not self.outcome.done():
            self.outcome.set_result(stored)
