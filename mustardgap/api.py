"""Functions for scripts: each opens a client, makes one call and closes it."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

from . import declarations
from .clients import Client, MergedTimeline
from .models import Declaration, JobSpec

T = TypeVar("T")


def status(**kwargs: Any) -> dict[str, Any]:
    """The status of the first entry host that answers.

    :param kwargs: as for ``Client``, such as ``entries=["10.0.0.1:8081"]``.
    :rtype: dict

    Usage::

      >>> import mustardgap
      >>> mustardgap.status()["ready"]
      True
    """
    return _run(lambda client: client.status(), kwargs)


def items(collection: str, name: str = "", **kwargs: Any) -> dict[str, Any]:
    """A collection of the folded state by name, such as ``hosts`` or ``pools``."""
    answer = _run(lambda client: client.items(collection, name), kwargs)
    return dict(answer["items"])


def diff(folder: str, **kwargs: Any) -> list[Any]:
    """The changes that would lead from what is in force to the declarations in a folder."""
    wanted = declarations.read_dir(folder)
    return _run(lambda client: _changes(client, wanted), kwargs)


def apply(
    folder: str, *, dry_run: bool = False, wait_s: float = 0.0, **kwargs: Any
) -> dict[str, Any]:
    """Publish the declarations in a folder.

    :param folder: a directory of declaration files.
    :param dry_run: only ask what would be said.
    :param wait_s: seconds to wait until they are in force everywhere, 0 for not waiting.
    :return: ``{"verdict": "accepted", "offset"}``, or ``{"verdict": "unchanged"}``.
    :raises MustardgapError: with a numbered code.
    """
    wanted = declarations.read_dir(folder)

    async def call(client: Client) -> dict[str, Any]:
        changes = await _changes(client, wanted)
        if not changes:
            return {"verdict": "unchanged"}
        answer = await client.apply(changes, dry_run=dry_run)
        if wait_s and not dry_run:
            await client.wait_in_force(answer["offset"], timeout_s=wait_s)
        return answer

    return _run(call, kwargs)


def submit(job: str, spec: JobSpec, **kwargs: Any) -> dict[str, Any]:
    """Submit a job; the same job under the same id is accepted once."""
    return _run(lambda client: client.submit(job, spec), kwargs)


def cancel(jobs: Iterable[str], **kwargs: Any) -> dict[str, int]:
    """Cancel jobs.

    :return: each job's result code.
    """
    answer = _run(lambda client: client.cancel(list(jobs)), kwargs)
    return dict(answer["codes"])


def timeline(*, since: float = 0.0, ids: dict[str, str] | None = None, **kw: Any) -> MergedTimeline:
    """The events of all entry hosts in one causal order.

    :param since: seconds since the epoch.
    :param ids: ids that must match, such as ``{"host": "w1"}``.
    """
    return _run(lambda client: client.timeline(since=since, **(ids or {})), kw)


async def current(client: Client) -> dict[str, Declaration]:
    """The declarations in force by key."""
    answer = await client.declarations()
    return {
        key: Declaration(key, item["version"], item["value"])
        for key, item in answer["items"].items()
    }


async def _changes(client: Client, wanted: dict[str, Any]) -> list[Any]:
    return declarations.diff(await current(client), wanted)


def _run(call: Callable[[Client], Awaitable[T]], kwargs: dict[str, Any]) -> T:
    async def with_client() -> T:
        async with Client(**kwargs) as client:
            return await call(client)

    return asyncio.run(with_client())
