"""Log lines of a shard's jobs, each with the client account that submitted the job."""

from collections.abc import Callable
from typing import Any

from .events import EventLog


class JobEventLog(EventLog):
    """Adds the client account to each line that concerns a job.

    The parts of a shard's owner log runs, crashes and ends by the job's id. Adding the account here
    keeps it on all their lines without each part having to know of accounts.

    :param events: the process's event log, which writes the lines.
    :param account_of: returns the account that submitted a job, empty if there is none or the job
        isn't known.
    """

    def __init__(self, *, events: EventLog, account_of: Callable[[str], str]) -> None:
        super().__init__(host=events.host, clock=events.clock)
        self._events = events
        self._account_of = account_of

    def note(self, event: str, *, vital: bool = False, **fields: Any) -> None:
        """Write one line; a line that states its account itself is left as it is."""
        job = fields.get("job")
        if job and "account" not in fields:
            account = self._account_of(job)
            if account:
                fields["account"] = account
        self._events.note(event, vital=vital, **fields)
