"""Tracks requests that were read completely and wait for their answer."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any, Generic, NamedTuple, TypeVar

from . import unanswered
from .events import EventLog
from .unanswered import FailureKind

AnswerT = TypeVar("AnswerT")


class OpenRequest(NamedTuple, Generic[AnswerT]):
    """One request, with the functions that answer it.

    ``method``, ``path`` and ``job``, the id of the job concerned, are for the log. ``fallback``
    makes an answer that is correct whatever the handling has done by then. ``send`` writes an
    answer to the caller's connection and never raises.
    """

    method: str
    path: str
    job: str | None
    handle: Callable[[], Coroutine[Any, Any, AnswerT]]
    fallback: Callable[[FailureKind], AnswerT]
    send: Callable[[AnswerT], None]


class _PendingRequest(NamedTuple):
    """A request without an answer, and the monotonic time at which it began."""

    request: OpenRequest[Any]
    began_at: float


class OpenRequests:
    """Ensures that each request gets exactly one answer, however its handling ends.

    :param events: the process's event log.
    """

    def __init__(self, *, events: EventLog) -> None:
        self._events = events
        self._pending_by_task: dict[asyncio.Task[Any], _PendingRequest] = {}

    def start_handling(self, request: OpenRequest[AnswerT]) -> None:
        """Handle a request in a task of its own, and answer it when the task has ended."""
        task = asyncio.create_task(request.handle(), name=f"request:{request.path}")
        self._pending_by_task[task] = _PendingRequest(request, self._events.clock.monotonic())
        # Whatever the handling awaits may fail, or be cancelled by others that share it, as when a
        # connection is closed or a shard is given up. If the task itself sent the answer, its
        # caller would wait on a silent connection until one side closed it. A callback runs
        # however a task ends, even if it is cancelled before its first step.
        task.add_done_callback(self._on_handled)

    async def drain(self, *, timeout_s: float) -> None:
        """Wait until all requests are answered; those that aren't in time get the fallback.

        :param timeout_s: seconds to wait for their handling.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self._pending_by_task:
                    await asyncio.wait(list(self._pending_by_task))
        for task in list(self._pending_by_task):
            # Answered first, as a cancelled handling may take long to end.
            self._send_fallback(task, asyncio.CancelledError(), stopping=True)
            task.cancel()

    def _on_handled(self, task: "asyncio.Task[Any]") -> None:
        if task not in self._pending_by_task:
            return
        try:
            answer = task.result()
        except (Exception, asyncio.CancelledError) as exc:
            self._send_fallback(task, exc)
        else:
            self._pending_by_task.pop(task).request.send(answer)

    def _send_fallback(
        self, task: "asyncio.Task[Any]", exc: BaseException, *, stopping: bool = False
    ) -> None:
        request, began_at = self._pending_by_task.pop(task)
        # Answered first, so that a log line that can't be written doesn't cost the answer.
        request.send(request.fallback(unanswered.failure_kind(exc, stopping=stopping)))
        failure = unanswered.record_failure(exc, stopping=stopping)
        self._events.note(
            "request.unanswered",
            vital=True,
            method=request.method,
            path=request.path,
            job=request.job,
            how=failure.how.value,
            why=failure.cause,
            at=_raise_location(exc),
            after_s=self._events.clock.monotonic() - began_at,
        )


def _raise_location(exc: BaseException) -> str:
    """Return where an exception was raised, as ``file:line in function``."""
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return ""
    last = frames[-1]
    return f"{Path(last.filename).name}:{last.lineno} in {last.name}"
