"""Which ends of an executor's runs its owner knows, as a report lists a limited number of them."""

from collections.abc import Set
from typing import NamedTuple

from .runs import Run
from .workloads import EndRow, Report, TaskId

# The maximum number of ended runs in one report, the oldest first.
MAX_LISTED_ENDS = 500

RunKey = tuple[TaskId, int]


class Account(NamedTuple):
    """A report, once all ends before it are known.

    A run that its executor had confirmed before ``sent_at``, and that isn't among those ``listed``,
    isn't there. Both times are monotonic seconds.
    """

    listed: Set[RunKey]
    sent_at: float
    received_at: float


class ReportAccounts:
    """Tells when a report can be taken for a full account of its executor.

    A report with fewer ends than it may list has all of them. After one with as many, the ends that
    follow are read in their order, until one is of a run that the report listed, or that was
    started later: all ends before the report are known then. To wait for a report with fewer ends
    instead would take for ever where runs end as fast as their ends are read.
    """

    def __init__(self) -> None:
        # Whether there has been a full account.
        self.any_full = False
        # Whether the last report listed all ends.
        self.lists_all_ends = False
        self._open: Account | None = None

    def note_end(self, end: EndRow, run: Run | None) -> Account | None:
        """Note the next end.

        :param run: the run that has ended, None if its owner didn't know it.
        :return: the earlier report that this end completes, None if it completes none.
        """
        account = self._open
        if account is None:
            return None
        began_later = run is not None and run.started_at >= account.received_at
        if not began_later and (end.task, end.run) not in account.listed:
            return None
        self._open = None
        self.any_full = True
        return account

    def note_report(self, report: Report, account: Account) -> Account | None:
        """Note a report, whose ends have been noted.

        :return: the report, if it is a full account by itself.
        """
        self.lists_all_ends = len(report.ended) < MAX_LISTED_ENDS
        if not self.lists_all_ends:
            self._open = self._open or account
            return None
        self._open = None
        self.any_full = True
        return account

    def note_lapse(self) -> None:
        """Note that all leases have lapsed: what ended before counts as lapsed."""
        self._open = None
