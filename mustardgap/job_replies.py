"""Replies to callers of the job interface, each with a numbered result code."""

from typing import NamedTuple

from . import status_codes
from .accounts import CredentialProblem
from .job_states import JobPhase
from .status_codes import Code

# Refused callers retry after this; a takeover, the usual cause, takes about 2 s.
RETRY_AFTER_S = 1


class JobReply(NamedTuple):
    """The outcome of one call; ``state`` and ``pending`` are set if they were requested."""

    code: Code
    state: str = ""
    pending: int | None = None
    detail: str = ""

    def encode(self) -> list[str | int | None]:
        """Return the reply as plain values, for another daemon."""
        return [self.code.number, self.state, self.pending, self.detail]


def decode(values: list[str | int | None]) -> JobReply:
    """Return the reply for its plain values."""
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
LIMIT_NEVER_HOLDS = JobReply(status_codes.LIMIT_NEVER_HOLDS)
# Says nothing of the job, not even whether there is one.
OTHER_ACCOUNT = JobReply(status_codes.JOB_OF_OTHER_ACCOUNT)


def credential_refused(problem: CredentialProblem) -> JobReply:
    """Return the reply for a request without a valid key; it had no effect."""
    return JobReply(status_codes.CREDENTIAL_REFUSED, detail=problem.value)


def owner_unavailable(detail: str) -> JobReply:
    """Return the reply for a queue without an available owner; the call had no effect."""
    return JobReply(status_codes.OWNER_UNAVAILABLE, detail=detail)


def store_unavailable(detail: str) -> JobReply:
    """Return the reply for a store that takes no records; the call had no effect."""
    return JobReply(status_codes.STORE_UNAVAILABLE, detail=detail)


def unanswered(detail: str, *, is_change: bool) -> JobReply:
    """Return the reply for a call that got no answer.

    An unanswered query can be repeated; an unanswered change may have taken effect.
    """
    return UNSETTLED._replace(detail=detail) if is_change else owner_unavailable(detail)
