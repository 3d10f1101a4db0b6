"""What the handlers of the operators' interface share: checks, answers and problems."""

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from absl import logging
from tornado.httputil import split_host_and_port
from tornado.web import HTTPError, RequestHandler

from . import status_codes, unanswered
from .codecs import Undecodable, decode_json
from .exceptions import MustardgapError
from .outcomes import Accepted, Rejected, Verdict
from .problems import CONTENT_TYPE, TYPE_PREFIX
from .setting_checks import is_ip
from .status_codes import Code

if TYPE_CHECKING:
    from .operators import Operators

T = TypeVar("T")

JSON_TYPE = "application/json"
# Scrapers and balancers may know entry hosts by name, so what they ask for isn't under it.
OPERATORS_PATH = "/v1/"
METHODS = ("GET", "POST", "DELETE")


class JsonHandler(RequestHandler):
    """Answers in JSON, and with problem details when something is wrong."""

    SUPPORTED_METHODS = METHODS  # type: ignore[assignment]
    may_have_written = False

    def initialize(self, operators: "Operators") -> None:
        """Keep what the handlers read from."""
        self.operators = operators
        self.log = operators.log

    def set_default_headers(self) -> None:
        """Answers are neither cached nor taken for pages."""
        self.set_header("Cache-Control", "no-store")
        self.set_header("X-Content-Type-Options", "nosniff")
        self.clear_header("Server")

    def check_xsrf_cookie(self) -> None:
        """Nothing here works by cookies; ``prepare`` keeps browsers' forms away."""

    def prepare(self) -> None:
        """Refuse what a page in an operator's browser could send without being asked.

        A form can post to this port from any page an operator looks at, but not with this content
        type: the browser would ask first, and is never told yes. A page whose name is made to
        point here after it was loaded may send anything, but it sends that name along as the host,
        while operators' tools know entry hosts by IP number.
        """
        self.operators.note_handling(asyncio.current_task())
        if self.request.path.startswith(OPERATORS_PATH) and not _is_number(self.request.host):
            raise MustardgapError(
                code=status_codes.BAD_REQUEST,
                detail="the Host must be an IP number",
                place=self.request.path,
            )
        content_type = self.request.headers.get("Content-Type", "").partition(";")[0].strip()
        if self.request.method == "POST" and content_type.lower() != JSON_TYPE:
            raise MustardgapError(
                code=status_codes.BAD_REQUEST,
                detail=f"Content-Type must be {JSON_TYPE}",
                place=self.request.path,
            )

    def reply(self, value: Any, status: int = 200) -> None:
        """Finish with a value as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(msgspec.json.encode(value))

    def refuse(
        self, code: Code, *, detail: str = "", place: str = "", status: int = 0, **extra: Any
    ) -> None:
        """Finish with problem details; ``status`` goes before the code's own HTTP status."""
        self.set_status(status or code.http_status)
        self.set_header("Content-Type", CONTENT_TYPE)
        self.set_header("X-Result-Code", str(code.number))
        if code.http_status in (429, 503):
            self.set_header("Retry-After", "1")
        body = problem(code, detail=detail, place=place, **extra)
        self.finish(msgspec.json.encode(body))

    def reply_verdict(self, verdict: Verdict, **extra: Any) -> None:
        """Finish with what the fold made of a record."""
        if isinstance(verdict, Accepted):
            self.reply({"verdict": "accepted", "offset": verdict.offset, **extra})
            return
        self.refuse_verdict(verdict)

    def refuse_verdict(self, verdict: Rejected) -> None:
        """Finish with why the fold turned a record down."""
        self.refuse(
            verdict.code,
            detail=verdict.detail,
            place=", ".join(verdict.changed),
            verdict="rejected",
            offset=verdict.offset,
            changed=verdict.changed,
        )

    def decode(self, body_type: type[T]) -> T:
        """Read and check the body.

        :raises MustardgapError: MG1111 with the key.
        """
        try:
            return decode_json(self.request.body, body_type)
        except Undecodable as exc:
            detail, _, where = str(exc).partition(" - at `$")
            raise MustardgapError(
                code=status_codes.BAD_REQUEST,
                detail=detail,
                place=f"{self.request.path}:{where.rstrip('`').lstrip('.')}".rstrip(":"),
            ) from None

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Turn an exception into problem details."""
        exc = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(exc, MustardgapError):
            self.refuse(exc.code, detail=exc.detail, place=exc.place)
        elif isinstance(exc, HTTPError) and status_code < 500:
            code = status_codes.NOT_FOUND if status_code == 404 else status_codes.BAD_REQUEST
            detail = exc.log_message or exc.reason or f"HTTP {status_code}"
            self.refuse(code, detail=detail, place=self.request.path, status=status_code)
        else:
            self._give_up(exc)

    def _give_up(self, exc: BaseException | None) -> None:
        """Tell what is known when the handling has ended early.

        :param exc: what ended it; None if this handler's own task was cancelled, as by a stop.
        """
        is_cut = exc is None
        end = unanswered.record_failure(exc or asyncio.CancelledError(), stopping=is_cut)
        place = self.request.path
        self.operators.timeline.add(
            "request.unanswered", cause=end.cause, how=end.how.value, path=place
        )
        if self.may_have_written:
            detail = "the handling ended early; the record may be accepted"
            self.refuse(status_codes.LOG_ANSWER_LOST, detail=detail, place=place)
        elif is_cut:
            self.refuse(status_codes.DRAINING, place=place)
        else:
            self.refuse(status_codes.INTERNAL, place=place)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log only faults of our own; what a client did wrong is in its answer."""
        if isinstance(value, MustardgapError | HTTPError):
            return
        logging.error("handler failed path=%s", self.request.path, exc_info=(typ, value, tb))


class MissingHandler(JsonHandler):
    """Answers paths that nothing is served under."""

    def prepare(self) -> None:
        """Refuse any method."""
        raise MustardgapError(
            code=status_codes.NOT_FOUND, detail="no such path", place=self.request.path
        )


def _is_number(host: str) -> bool:
    name = split_host_and_port(host)[0].strip("[]")
    return name == "localhost" or is_ip(name)


def problem(code: Code, *, detail: str = "", place: str = "", **extra: Any) -> dict[str, Any]:
    """Problem details (RFC 9457) for a result code."""
    return {
        "type": f"{TYPE_PREFIX}{code.number}",
        "title": code.title,
        "status": code.http_status,
        "detail": detail or code.title,
        "code": code.number,
        "name": code.name,
        "place": place,
        "advice": code.advice,
        **extra,
    }
