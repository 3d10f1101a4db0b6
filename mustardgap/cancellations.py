"""Tells a task's own cancellation from one that came out of something it awaited.

Closing a gRPC channel cancels all calls on it, and whoever awaits one of them gets a CancelledError
although nobody cancelled that task. Taken for an end in order, the work is missing from then on.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging


class StrayCancellation(Exception):
    """Something that a task awaited was cancelled; nobody cancelled the task itself."""

    def __init__(self, *, what: str) -> None:
        super().__init__(f"{what} ended by a cancellation that nobody asked for")


def is_own() -> bool:
    """Whether the current task itself is being cancelled."""
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0


async def run_part(part: Callable[[], Awaitable[object]]) -> None:
    """Run a part of a task, and pass on only cancellations of the task itself.

    The part gets a task of its own: ``asyncio.TaskGroup`` cancels the task that it fails in, and
    that one counts as cancelled ever after. One that runs the part again wouldn't tell a stray
    cancellation any more.

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
            logging.exception("%s failed as it was stopped", name, exc_info=task.exception())
        raise
    if task.cancelled():
        raise StrayCancellation(what=name)
    task.result()


def failure_of(task: "asyncio.Task[Any]") -> BaseException | None:
    """Why a task that has ended failed, None if it returned or was told to end."""
    if not task.cancelled():
        return task.exception()
    if task.cancelling() > 0:
        return None
    return StrayCancellation(what=getattr(task.get_coro(), "__qualname__", task.get_name()))


async def why_not_ended(task: "asyncio.Task[Any]", *, timeout_s: float) -> str:
    """Wait for a task that was told to end, or is about to.

    :param timeout_s: seconds to wait.
    :return: why it hasn't ended in order, "" if it has.
    """
    await asyncio.wait([task], timeout=timeout_s)
    if not task.done():
        return f"it goes on after {timeout_s:.1f} s"
    failure = failure_of(task)
    return repr(failure) if failure is not None else ""
