"""Results of one try to send a request to one executor."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class NotSent:
    """No byte of the request has left this host.

    ``unreachable`` is true if the executor is the cause, and false if the deadline passed.
    ``by_time`` is true if connecting timed out.
    """

    detail: str = ""
    unreachable: bool = True
    by_time: bool = False


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The executor reports that it hasn't run the request."""

    detail: str = ""
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class Complete:
    """The complete answer to this request."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class Relayed:
    """The complete answer to this request, streamed to the caller while it arrived."""

    status: int
    size: int = 0
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class Truncated:
    """The answer broke off, or nothing shows that it is complete.

    ``begun`` is true if part of it was sent to the caller.
    """

    detail: str = ""
    begun: bool = False


@dataclass(frozen=True, kw_only=True)
class Reset:
    """The connection broke after bytes of the request were sent and before an answer came."""

    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class TimedOut:
    """The deadline passed after bytes of the request were sent.

    With ``early``, the shorter time limit for the first sign of an answer passed instead. ``begun``
    is true if part of the answer was sent to the caller.
    """

    begun: bool = False
    early: bool = False


@dataclass(frozen=True, kw_only=True)
class Mismatch:
    """The answer doesn't carry this request's id."""

    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class CallerGone:
    """The caller closed its connection while the answer was being sent to it."""

    leaving: bool = False


TryResult = (
    NotSent | Refused | Complete | Relayed | Truncated | Reset | TimedOut | Mismatch | CallerGone
)
