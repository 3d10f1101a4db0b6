"""Finds the points at which a coroutine waits, one by one, and meddles there."""

import asyncio
from collections.abc import Awaitable, Callable, Generator
from functools import partial
from typing import Any

# Sends a value into a coroutine, or throws an error at it; returns what it waits for next.
Resume = Callable[[], Any]
# Given a coroutine and what it waits for at the point, waits in its place.
Meddle = Callable[[Any, Any], Generator[Any, Any, Resume]]


class Suspensions:
    """Counts the points at which watched coroutines wait, over all of them.

    :param meddles_by_point: what to do at some of them, which are numbered from 1.
    """

    def __init__(self, *, meddles_by_point: dict[int, Meddle]) -> None:
        self.seen = 0
        self._meddles_by_point = meddles_by_point

    def watch(self, function: Callable[..., Awaitable[Any]]) -> Callable[..., Awaitable[Any]]:
        """A coroutine function whose points are counted, in place of another one."""

        async def watched(*args: Any, **kwargs: Any) -> Any:
            return await _Watched(suspensions=self, coroutine=function(*args, **kwargs))

        return watched

    def pass_on(self, coroutine: Any, waited: Any) -> Generator[Any, Any, Resume]:
        """Wait for what a coroutine waits for, or meddle at this point."""
        self.seen += 1
        wait = self._meddles_by_point.get(self.seen, wait_on)
        return (yield from wait(coroutine, waited))


class _Watched:
    """Drives a coroutine step by step."""

    def __init__(self, *, suspensions: Suspensions, coroutine: Any) -> None:
        self._suspensions = suspensions
        self._coroutine = coroutine

    def __await__(self) -> Generator[Any, Any, Any]:
        resume: Resume = partial(self._coroutine.send, None)
        while True:
            try:
                waited = resume()
            except StopIteration as stop:
                return stop.value
            resume = yield from self._suspensions.pass_on(self._coroutine, waited)


def wait_on(coroutine: Any, waited: Any) -> Generator[Any, Any, Resume]:
    """Wait as the coroutine would without all this."""
    try:
        value = yield waited
    except BaseException as exc:
        return partial(coroutine.throw, exc)
    return partial(coroutine.send, value)


def throw_at_once(make: Callable[[], BaseException]) -> Meddle:
    """Throw an error as the coroutine begins to wait."""

    def meddle(coroutine: Any, waited: Any) -> Generator[Any, Any, Resume]:
        if waited is not None:
            # Nobody waits for it now; a later one may.
            waited._asyncio_future_blocking = False
        yield from ()
        return partial(coroutine.throw, make())

    return meddle


def throw_afterwards(make: Callable[[], BaseException]) -> Meddle:
    """Throw an error when what the coroutine waits for has come, so that it is lost."""

    def meddle(coroutine: Any, waited: Any) -> Generator[Any, Any, Resume]:
        resume = yield from wait_on(coroutine, waited)
        if resume.func == coroutine.throw:  # type: ignore[attr-defined]
            return resume
        return partial(coroutine.throw, make())

    return meddle


def cancel_task(coroutine: Any, waited: Any) -> Generator[Any, Any, Resume]:
    """Cancel the task that waits."""
    task = asyncio.current_task()
    assert task is not None
    task.cancel()
    return (yield from wait_on(coroutine, waited))


def hold_during(trouble: Callable[[], Awaitable[None]]) -> Meddle:
    """Bring a trouble, and let the coroutine go on waiting once it has struck."""

    def meddle(coroutine: Any, waited: Any) -> Generator[Any, Any, Resume]:
        striking = asyncio.ensure_future(trouble())
        try:
            yield from asyncio.wait([striking]).__await__()
        except BaseException as exc:
            # As the task's own wait would end: what it waited for is cancelled with it.
            if waited is not None:
                waited.cancel()
            return partial(coroutine.throw, exc)
        return (yield from wait_on(coroutine, waited))

    return meddle
