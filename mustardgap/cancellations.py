"""Tells a task's own cancellation from one that came out of something it awaited.

Closing a gRPC channel cancels all calls on it, and whoever awaits one of them gets a CancelledError
although nobody cancelled that task. Taken for an end in order, the work is missing from then on.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any


class StrayCancellation(Exception):
    """Something that a task awaited was cancelled; nobody cancelled the task itself."""

    def __init__(self, what: str) -> None:
        super().__init__(f"{what} ended by a cancellation that nobody asked for")


def is_own() -> bool:
    """Whether the current task itself is being cancelled."""
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0


async def run_part(part: Callable[[], Awaitable[None]]) -> None:
    """Run a part of a task, and pass on only cancellations of the task itself.

    :param part: a coroutine function without arguments.
    :raises StrayCancellation: the part ended by the cancellation of something that it awaited.
    """
    try:
        await part()
    except asyncio.CancelledError as exc:
        if is_own():
            raise
        raise StrayCancellation(getattr(part, "__qualname__", repr(part))) from exc


def failure_of(task: "asyncio.Task[Any]") -> BaseException | None:
    """Why a task that has ended failed, None if it returned or was told to end."""
    if not task.cancelled():
        return task.exception()
    if task.cancelling() > 0:
        return None
    return StrayCancellation(getattr(task.get_coro(), "__qualname__", task.get_name()))
