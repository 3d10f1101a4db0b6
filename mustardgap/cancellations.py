"""Distinguishes the cancellation of a task from that of something it awaited.

Closing a gRPC channel cancels all calls on it, and a task that awaits one of them gets a
CancelledError although the task itself wasn't cancelled. If that is treated as a requested stop,
the task ends silently and its work is no longer done.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging


class StrayCancellation(Exception):
    """Something that a task awaited was cancelled, but not the task itself."""

    def __init__(self, *, what: str) -> None:
        super().__init__(f"{what} ended by a cancellation that nobody asked for")


def is_own() -> bool:
    """Whether the current task itself is being cancelled."""
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0


async def run_part(part: Callable[[], Awaitable[object]]) -> None:
    """Run a part of a task, and propagate only cancellations of the task itself.

    The part runs in a task of its own, because ``asyncio.TaskGroup`` cancels its parent task on a
    failure and ``cancelling()`` of that task stays above 0. A parent that reran the part could no
    longer recognise stray cancellations.

    :param part: a function without arguments that returns an awaitable.
    :raises StrayCancellation: the part ended by the cancellation of something that it awaited.
    """
    task = asyncio.ensure_future(part())
    name = getattr(part, "__qualname__", repr(part))
    try:
        await asyncio.wait([task])
    except asyncio.CancelledError:
        task.cancel()
        await asyncio.wait([task])
        if not task.cancelled() and task.exception() is not None:
            logging.exception("%s failed while being cancelled", name, exc_info=task.exception())
        raise
    if task.cancelled():
        raise StrayCancellation(what=name)
    task.result()


def failure_of(task: "asyncio.Task[Any]") -> BaseException | None:
    """The failure of a task that has ended, None if it returned or was cancelled itself."""
    if not task.cancelled():
        return task.exception()
    if task.cancelling() > 0:
        return None
    return StrayCancellation(what=getattr(task.get_coro(), "__qualname__", task.get_name()))


async def why_not_ended(task: "asyncio.Task[Any]", *, timeout_s: float) -> str:
    """Wait for a task that was cancelled, or is about to end.

    :param timeout_s: how long to wait, in seconds.
    :return: the failure of the task or that it is still running, "" if it ended without a failure.
    """
    await asyncio.wait([task], timeout=timeout_s)
    if not task.done():
        return f"it goes on after {timeout_s:.1f} s"
    failure = failure_of(task)
    return repr(failure) if failure is not None else ""
