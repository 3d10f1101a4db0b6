"""Tickets of appended records, which report whether the records were stored."""

import asyncio
import enum
from collections.abc import Sequence


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


def joint(tickets: Sequence[Ticket]) -> Ticket:
    """Return a ticket for several records: it is durable once all of them are.

    :param tickets: at least one.
    """
    if len(tickets) == 1:
        return tickets[0]
    whole = Ticket(outcome=asyncio.get_running_loop().create_future())

    def settle(_: "asyncio.Future[Stored]") -> None:
        if not all(ticket.outcome.done() for ticket in tickets):
            return
        outcomes = {ticket.outcome.result() for ticket in tickets}
        whole.resolve(outcomes.pop() if len(outcomes) == 1 else Stored.UNKNOWN)

    for ticket in tickets:
        ticket.outcome.add_done_callback(settle)
    return whole
