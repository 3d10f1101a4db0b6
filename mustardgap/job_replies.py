"""Replies to callers of the job interface, each with a numbered result code."""

from typing import NamedTuple

from . import status_codes
from .accounts import CredentialProblem
from .codecs import Undecodable, total
from .job_states import JobPhase
from .status_codes import Code

# Refused callers retry after this; a takeover, the usual cause, takes about 2 s.
RETRY_AFTER_S = 1


class JobReply(NamedTuple):
    """The outcome of one call; ``state`` and ``pending`` are set if they were requested.

    ``retry_after_s`` is when a refused caller should return, if the owner says so.
    """

    code: Code
    state: str = ""
    pending: int | None = None
    detail: str = ""
    retry_after_s: int | None = None

    def encode(self) -> list[str | int | None]:
        """Return the reply as plain values; without a time, older daemons can read it as well."""
        values: list[str | int | None] = [self.code.number, self.state, self.pending, self.detail]
        return values if self.retry_after_s is None else [*values, self.retry_after_s]


@total(Undecodable)
def decode(values: list[str | int | None]) -> JobReply:
    """Return the reply for its plain values.

    :raises Undecodable: what is wrong with them.
    """
    number, state, pending, detail, *rest = values
    assert isinstance(number, int)
    return JobReply(
        code=status_codes.by_number[number],
        state=str(state or ""),
        pending=pending if isinstance(pending, int) else None,
        detail=str(detail or ""),
        retry_after_s=rest[0] if rest and isinstance(rest[0], int) else None,
    )


def encode_with_version(reply: JobReply, version: int) -> list[str | int | None]:
    """Return a reply as plain values, with the version of the configuration where it matters.

    That a job is unknown, or how many jobs of a queue wait, may be wrong by an older configuration.

    :param version: the version that the replying daemon knows.
    """
    values = reply.encode()
    if reply.code is not status_codes.SUBMITTED_JOB_UNKNOWN and reply.pending is None:
        return values
    return [*values[:4], reply.retry_after_s, version]


@total(Undecodable)
def decode_with_version(values: list[str | int | None]) -> tuple[JobReply, int | None]:
    """Return the reply for its plain values, and the version if it has one.

    :raises Undecodable: what is wrong with them.
    """
    version = values[5] if len(values) > 5 else None
    return decode(values), version if isinstance(version, int) else None


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
NO_MEMORY = JobReply(status_codes.JOBS_OVER_MEMORY)
LIMIT_NEVER_HOLDS = JobReply(status_codes.LIMIT_NEVER_HOLDS)
TOO_LATE_TO_RETRY = JobReply(status_codes.POOL_OVERLOADED_LONGER)
CANCELLED_BEFORE_ACCEPTED = JobReply(status_codes.CANCELLED_BEFORE_ACCEPTED)
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


def overloaded(retry_after_s: int | None) -> JobReply:
    """Return the reply for a job that would end too late; it had no effect."""
    return JobReply(status_codes.POOL_OVERLOADED, retry_after_s=retry_after_s)


def unanswered(detail: str, *, is_change: bool) -> JobReply:
    """Return the reply for a call that got no answer.

    An unanswered query can be repeated; an unanswered change may have taken effect.
    """
    return UNSETTLED._replace(detail=detail) if is_change else owner_unavailable(detail)
