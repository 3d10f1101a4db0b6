"""Tagged results of one try to send a request to one executor."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class NotSent:
    """No byte of the request has left this host.

    ``unreachable`` tells whether it was the executor's doing, not the deadline's; ``by_time``, that
    nothing was heard for as long as a connection may take.
    """

    detail: str = ""
    unreachable: bool = True
    by_time: bool = False


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The executor says that it hasn't run the request."""

    detail: str = ""
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class Complete:
    """The whole answer to this request."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class Relayed:
    """The whole answer to this request, passed on while it arrived."""

    status: int
    size: int = 0
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class Truncated:
    """The answer broke off or can't be shown to be whole; ``begun`` when part was passed on."""

    detail: str = ""
    begun: bool = False


@dataclass(frozen=True, kw_only=True)
class Reset:
    """The connection broke after bytes of the request went out and before an answer came."""

    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class TimedOut:
    """The deadline, or with ``early`` the patience, ran out after bytes of the request went out."""

    begun: bool = False
    early: bool = False


@dataclass(frozen=True, kw_only=True)
class Mismatch:
    """The answer carries another request's id."""

    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class CallerGone:
    """The caller hung up while the answer was being passed on."""

    leaving: bool = False


TryResult = (
    NotSent | Refused | Complete | Relayed | Truncated | Reset | TimedOut | Mismatch | CallerGone
)
