"""Tickets of appended records, which report whether the records were stored."""

import asyncio
import enum


class Stored(enum.Enum):
    """The outcome of appending a record."""

    YES = "stored"
    NO = "not stored"
    UNKNOWN = "unknown"


class Ticket:
    """Reports the outcome of appending one record.

    :param outcome: a future that is resolved with the outcome.
    """

    def __init__(self, *, outcome: "asyncio.Future[Stored]") -> None:
        self.outcome = outcome
        self.sent = False
        # Whether the record was sent to the failover partition.
        self.diverted = False

    @property
    def durable(self) -> bool:
        """Whether the record is known to be stored."""
        return self.outcome.done() and self.outcome.result() is Stored.YES

    def resolve(self, stored: Stored) -> None:
        """Set the outcome, unless it is already set."""
        if not self.outcome.done():
            self.outcome.set_result(stored)
