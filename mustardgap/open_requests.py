"""Requests that were read whole and wait for their one answer."""

import asyncio
import enum
import traceback
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any, Generic, NamedTuple, TypeVar

from . import metrics
from .events import EventLog

AnswerT = TypeVar("AnswerT")


class Ending(enum.Enum):
    """How a handling ended that gave no answer."""

    FAILED = "failed"
    CANCELLED = "cancelled"


class OpenRequest(NamedTuple, Generic[AnswerT]):
    """One request, and what gives its answer.

    ``method``, ``path`` and ``job``, the id of the job that it is about, are for the log.
    ``fallback`` makes an answer that is true whatever the handling has done by then. ``send``
    hands an answer to the caller's connection, and raises nothing.
    """

    method: str
    path: str
    job: str | None
    handle: Callable[[], Coroutine[Any, Any, AnswerT]]
    fallback: Callable[[Ending], AnswerT]
    send: Callable[[AnswerT], None]


class OpenRequests:
    """Sees to it that each request gets exactly one answer, however its handling ends.

    :param events: the process's log.
    """

    def __init__(self, *, events: EventLog) -> None:
        self._events = events
        self._tasks: set[asyncio.Task[Any]] = set()

    def begin(self, request: OpenRequest[AnswerT]) -> None:
        """Handle a request in a task of its own, and answer it when that has ended."""
        task = asyncio.create_task(request.handle(), name=f"request:{request.path}")
        self._tasks.add(task)
        # Whatever the handling waits for may fail, or be cancelled by others who share it: a
        # connection that is closed, a shard that is given up. If the task itself owed the answer,
        # its caller would see a silent connection until one side ended it. A callback runs however
        # a task ends, even one that is cancelled before its first step.
        task.add_done_callback(partial(self._answer, request, self._events.clock.monotonic()))

    async def settle(self, *, timeout_s: float) -> None:
        """Wait until all requests are answered.

        :param timeout_s: seconds to wait at the most.
        """
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_s)

    def _answer(
        self, request: OpenRequest[AnswerT], began: float, task: "asyncio.Task[AnswerT]"
    ) -> None:
        self._tasks.discard(task)
        try:
            answer = task.result()
        except asyncio.CancelledError as exc:
            answer = request.fallback(Ending.CANCELLED)
            self._note(request, Ending.CANCELLED, exc, began)
        except Exception as exc:
            answer = request.fallback(Ending.FAILED)
            self._note(request, Ending.FAILED, exc, began)
        request.send(answer)

    def _note(
        self, request: OpenRequest[AnswerT], ending: Ending, exc: BaseException, began: float
    ) -> None:
        metrics.unanswered_requests.add(1, {"how": ending.value})
        self._events.note(
            "request.unanswered",
            vital=True,
            method=request.method,
            path=request.path,
            job=request.job,
            how=ending.value,
            why=repr(exc),
            at=_innermost(exc),
            after_s=self._events.clock.monotonic() - began,
        )


def _innermost(exc: BaseException) -> str:
    """Where an exception was raised, as ``file:line in function``."""
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return ""
    last = frames[-1]
    return f"{Path(last.filename).name}:{last.lineno} in {last.name}"
