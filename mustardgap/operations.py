"""Starts operations on the platform.

They stay correct when an answer is lost, when two daemons act at once and when the process freezes.
"""

from typing import NamedTuple, Protocol

from . import metrics, status_codes
from .adapters import Operation, OperationKind
from .exceptions import AnswerLost, MustardgapError
from .models import HostState
from .outcomes import Rejected, Verdict
from .settings import Settings
from .streams import Log
from .timelines import Timeline
from .timers import Timers
from .workers import Workers

# An action that takes longer is dropped and decided again.
ACTION_TIMEOUT_S = 10.0
# Limit of platform calls and log appends that one daemon has in flight at once.
MAX_ACTIONS = 32


class OutdatedError(MustardgapError):
    """The state behind a decision has changed, so the action was not carried out."""

    def __init__(self, *, detail: str) -> None:
        super().__init__(code=status_codes.STALE_EPOCH, detail=detail)


class Ticket(NamedTuple):
    """Permission to act on the current log and platform views for a short time.

    :param gap_count: process gaps that had been detected when the ticket was issued.
    :param expires_at: monotonic time at which the ticket expires.
    """

    gap_count: int
    expires_at: float


class WorkerCalls(Protocol):
    """The part of the platform that operates on workers."""

    async def operate(
        self, worker: str, *, operation: str, kind: OperationKind, epoch: int, pool: str = ""
    ) -> str:
        """Start an operation."""

    async def operation(self, operation: str) -> Operation | None:
        """Return an operation, or None when the platform doesn't know it."""


class Operations:
    """Writes records and starts operations, each only while its ticket is valid.

    :param platform: the platform.
    :param log: the state stream.
    :param workers: the polled view of the workers.
    :param settings: the daemon's settings.
    :param timers: the timer service.
    :param timeline: records the steps taken.
    """

    def __init__(
        self,
        *,
        platform: WorkerCalls,
        log: Log,
        workers: Workers,
        settings: Settings,
        timers: Timers,
        timeline: Timeline,
    ) -> None:
        self.platform = platform
        self.log = log
        self.workers = workers
        self.settings = settings
        self.timers = timers
        self.timeline = timeline
        self.gap_count = 0
        self._last_gap_at = float("-inf")
        self._unanswered_ids: set[str] = set()
        timers.on_gap(self._note_gap)

    def may_begin(self) -> bool:
        """Return whether the log and the platform were read recently, and since the last freeze.

        A daemon that was frozen or is partitioned decides on an outdated view and would repeat
        steps that others have since undone. Epochs reject most of these steps; this check
        prevents them before they start.
        """
        self.timers.check_gap()
        age = max(self.log.seconds_since_confirmed(), self.workers.age_s())
        since_gap = self.timers.clock.monotonic() - self._last_gap_at
        return age <= self.settings.platform.stale_after_s and age < since_gap

    def issue_ticket(self) -> Ticket:
        """Issue a ticket for one action."""
        return Ticket(self.gap_count, self.timers.clock.monotonic() + ACTION_TIMEOUT_S)

    def check_ticket(self, ticket: Ticket) -> None:
        """Check that a ticket is still valid; call this right before each call with side effects.

        :raises OutdatedError: the process was frozen after the ticket was issued, or the ticket has
            expired.
        """
        self.timers.check_gap()
        is_expired = self.timers.clock.monotonic() > ticket.expires_at
        if is_expired or ticket.gap_count != self.gap_count:
            raise OutdatedError(detail="the process was frozen, or the action took too long")

    async def write(self, ticket: Ticket, kind: str, body: object) -> Verdict | None:
        """Write a record that carries its base epoch.

        :return: the verdict, or None when it is unknown, as after a lost answer; the folded state
            shows later whether the record was accepted.
        """
        try:
            self.check_ticket(ticket)
            verdict = await self.log.write(
                kind, body, timeout_s=self.settings.platform.stale_after_s, purpose="actions"
            )
        except MustardgapError as exc:
            count(kind, exc.code.name)
            return None
        refused = isinstance(verdict, Rejected)
        count(kind, verdict.code.name if isinstance(verdict, Rejected) else "accepted")
        if refused:
            self.timeline.add(f"{kind}.rejected", offset=verdict.offset, cause=str(verdict))
        return verdict

    async def operate(
        self, ticket: Ticket, host: HostState, kind: OperationKind, *, boot: int = 0, pool: str = ""
    ) -> None:
        """Start an operation on a worker under its host's epoch.

        The id consists of host, epoch, kind and boot, so repeats by any daemon count as one
        operation. After a lost answer the platform is queried before the operation is sent again.
        """
        operation = operation_id(host, kind, boot)
        name, epoch = host["host"], host["epoch"]
        try:
            if (
                operation in self._unanswered_ids
                and await self.platform.operation(operation) is not None
            ):
                self._unanswered_ids.discard(operation)
                count(kind, "found")
                return
            self.check_ticket(ticket)
            current = self.log.state.hosts_by_name.get(name)
            if current is None or current["epoch"] != epoch:
                raise OutdatedError(detail=f"{name} has left epoch {epoch}")
            result = await self.platform.operate(
                name, operation=operation, kind=kind, epoch=epoch, pool=pool
            )
        except AnswerLost as exc:
            self._unanswered_ids.add(operation)
            count(kind, exc.code.name)
            return
        except MustardgapError as exc:
            count(kind, exc.code.name)
            return
        self._unanswered_ids.discard(operation)
        count(kind, result)
        self.timeline.add(
            f"host.{kind}", cause=host["reason"], host=name, epoch=epoch, result=result
        )

    async def has_ended(self, host: HostState, kind: OperationKind) -> bool | None:
        """Return whether an operation of this epoch has ended.

        :return: None when the platform never accepted the operation.
        :raises PlatformError: the platform can't be queried.
        """
        found = await self.platform.operation(operation_id(host, kind, 0))
        return None if found is None else found.state != "running"

    def _note_gap(self, gap_s: float) -> None:
        self.gap_count += 1
        self._last_gap_at = self.timers.clock.monotonic()
        self.timeline.add("actors.gap", cause=f"the process didn't run for {gap_s:.1f} s")


def operation_id(host: HostState, kind: str, boot: int) -> str:
    """Build the id of an operation.

    A reboot always has boot 0, so there is at most one in an epoch, whichever daemons send it.
    The id of a drain includes the boot, as a worker that lost power comes back up and must be
    drained again under the same epoch.
    """
    return f"{host['host']}:{host['epoch']}:{kind}:{boot}"


def count(kind: str, result: str) -> None:
    """Count one step in the metrics.

    :param kind: the kind of step.
    :param result: its result.
    """
    metrics.actor_steps.add(1, {"kind": kind, "result": result})
