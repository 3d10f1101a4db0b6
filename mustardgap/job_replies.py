"""What a caller of the job interface is told, with its numbered result code."""

from typing import NamedTuple

from . import status_codes
from .job_states import JobPhase
from .status_codes import Code

# Refused callers come back after this; a takeover, the usual cause, takes some 2 s.
RETRY_AFTER_S = 1


class JobReply(NamedTuple):
    """The outcome of one call; ``state`` and ``pending`` are set where they were asked for."""

    code: Code
    state: str = ""
    pending: int | None = None
    detail: str = ""

    def encode(self) -> list[str | int | None]:
        """The reply as plain values, for another daemon."""
        return [self.code.number, self.state, self.pending, self.detail]


def decode(values: list[str | int | None]) -> JobReply:
    """A reply from its plain values."""
    number, state, pending, detail = values
    assert isinstance(number, int)
    return JobReply(
        code=status_codes.by_number[number],
        state=str(state or ""),
        pending=pending if isinstance(pending, int) else None,
        detail=str(detail or ""),
    )


STATE_NAMES = {
    JobPhase.COMPLETED: "completed",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "canceled",
}

ACCEPTED = JobReply(status_codes.JOB_ACCEPTED)
CANCELLED = JobReply(status_codes.JOB_CANCELLING)
UNKNOWN_JOB = JobReply(status_codes.SUBMITTED_JOB_UNKNOWN)
UNKNOWN_QUEUE = JobReply(status_codes.QUEUE_UNKNOWN)
NO_CONFIGURATION = JobReply(status_codes.CONFIGURATION_MISSING)
UNSETTLED = JobReply(status_codes.JOB_UNSETTLED)


def owner_unavailable(detail: str) -> JobReply:
    """Nobody who owns the queue could be asked; the call had no effect."""
    return JobReply(status_codes.OWNER_UNAVAILABLE, detail=detail)


def store_unavailable(detail: str) -> JobReply:
    """The store takes no records; the call had no effect."""
    return JobReply(status_codes.STORE_UNAVAILABLE, detail=detail)


def unanswered(detail: str, *, is_change: bool) -> JobReply:
    """What is known of a call that was given no answer.

    An unanswered question can be repeated; an unanswered change may have been made.
    """
    return UNSETTLED._replace(detail=detail) if is_change else owner_unavailable(detail)
