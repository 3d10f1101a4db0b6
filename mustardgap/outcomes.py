"""Tagged outcomes of requests and records."""

from dataclasses import dataclass, field

from . import status_codes
from .status_codes import Code


@dataclass(frozen=True, kw_only=True)
class Answered:
    """An executor gave a complete answer to this request."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    code: Code = status_codes.ANSWERED
    executor: str = ""


@dataclass(frozen=True, kw_only=True)
class Streamed:
    """A complete answer was relayed to the caller while it arrived."""

    status: int
    size: int
    code: Code = status_codes.ANSWERED
    executor: str = ""


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """The request was certainly not run; ``retry_after`` is in seconds."""

    code: Code
    detail: str = ""
    retry_after: float = 1.0


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """The request may have run."""

    code: Code
    detail: str = ""
    executor: str = ""


@dataclass(frozen=True, kw_only=True)
class AlreadyRan:
    """An earlier request with the same key ran and was answered; the answer wasn't kept.

    :param status: the HTTP status of that answer.
    """

    status: int
    code: Code = status_codes.ANSWER_NOT_KEPT
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class BrokenOff:
    """Part of the answer was relayed before it broke off; the caller's connection is reset."""

    code: Code
    detail: str = ""
    executor: str = ""


Outcome = Answered | Streamed | NotRun | Unknown | AlreadyRan | BrokenOff


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The fold accepted a record at an offset."""

    offset: int


@dataclass(frozen=True, kw_only=True)
class Rejected:
    """The fold rejected a record; ``changed`` names what is newer than the record's base."""

    code: Code
    detail: str = ""
    offset: int = -1
    changed: list[str] = field(default_factory=list)


Verdict = Accepted | Rejected
