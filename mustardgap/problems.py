"""Renders each outcome of a request as an answer to the caller: status, headers and body."""

import math
from functools import singledispatch
from typing import Any, NamedTuple

import msgspec

from .outcomes import AlreadyRan, Answered, NotRun, Outcome, Unknown
from .status_codes import Code

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:mustardgap:code:"

Headers = list[tuple[str, str]]


class Answer(NamedTuple):
    """An answer as it is sent to the caller."""

    status: int
    headers: Headers
    body: bytes


class Problem(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Problem details (RFC 9457) with mustardgap's extension members."""

    type: str
    title: str
    status: int
    detail: str
    code: int
    name: str
    ran: str
    request_id: str
    retry_after: int = 0
    earlier_status: int = 0


def answer(outcome: Outcome, *, request_id: str) -> Answer:
    """Make the answer for an outcome.

    :param outcome: the request's outcome.
    :param request_id: the request's id as the caller knows it.
    :rtype: Answer
    """
    status, headers, body = _render(outcome, request_id)
    headers = [*headers, ("X-Request-Id", request_id), ("X-Result-Code", str(outcome.code.number))]
    return Answer(status, headers, body)


@singledispatch
def _render(outcome: Any, request_id: str) -> Answer:
    raise TypeError(f"no answer is defined for {type(outcome).__name__}")


@_render.register
def _(outcome: Answered, request_id: str) -> Answer:
    return Answer(outcome.status, outcome.headers, outcome.body)


@_render.register
def _(outcome: NotRun, request_id: str) -> Answer:
    # Rounded up, as a caller that retried after a rounded-down time would be too early.
    retry_after = max(1, math.ceil(outcome.retry_after))
    problem = _problem(outcome.code, outcome.detail, "no", request_id)
    problem.retry_after = retry_after
    return _encode(problem, [("Retry-After", str(retry_after))])


@_render.register
def _(outcome: Unknown, request_id: str) -> Answer:
    return _encode(_problem(outcome.code, outcome.detail, "unknown", request_id), [])


@_render.register
def _(outcome: AlreadyRan, request_id: str) -> Answer:
    problem = _problem(outcome.code, outcome.detail, "yes", request_id)
    problem.earlier_status = outcome.status
    return _encode(problem, [])


def _problem(code: Code, detail: str, ran: str, request_id: str) -> Problem:
    return Problem(
        type=f"{TYPE_PREFIX}{code.number}",
        title=code.title,
        status=code.http_status,
        detail=detail or code.advice,
        code=code.number,
        name=code.name,
        ran=ran,
        request_id=request_id,
    )


def _encode(problem: Problem, headers: Headers) -> Answer:
    body = msgspec.json.encode(problem)
    return Answer(problem.status, [("Content-Type", CONTENT_TYPE), *headers], body)
