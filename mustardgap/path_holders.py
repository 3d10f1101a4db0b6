"""Which shard takes the new jobs of a path, and which shards did so before.

A configuration may send a path to another service, whose jobs lie in another shard. A job stays
where it was accepted, and its id stays one job, whatever the newest configuration says. If an owner
looked only into its own shard, an accepted job would be said not to exist, and would be accepted a
second time when its submission is repeated.

A shard takes a path in two steps: it writes that to the store's list of paths, and then reads from
the list which other shards have done so before. So of two shards that take a path, the later one
knows of the earlier one. It answers as new only what none of the former holders knows, and only
after each has stored that it has released the path, and accepts nothing new for it. The versions of
the configuration decide which of two shards holds a path.
"""

import asyncio
import hashlib
from collections.abc import Iterable, Mapping
from contextlib import suppress
from functools import lru_cache
from typing import TYPE_CHECKING, NamedTuple, Protocol

import msgspec

from . import metrics
from .accounts import Identity
from .codecs import Undecodable, decode_msgpack
from .events import EventLog
from .job_replies import JobReply
from .ports import Appended, Entries, Record, Store
from .shard_logs import PATH_KEY
from .tickets import Ticket
from .timers import Clock
from .workloads import Configuration, Queue

if TYPE_CHECKING:
    from .dispatchers import Dispatcher

RETRY_S = 0.2
# How long a call waits for a path that its shard is taking. That takes two calls of the store.
TAKE_WAIT_S = 0.4
DIGEST_BYTES = 8
MAX_CACHED_DIGESTS = 8192
# Separates a path and a shard in the keys of the store's list.
SEPARATOR = "/"


class FormerCall(NamedTuple):
    """A call for the owner of another shard that holds, or held, a path of the caller's shard.

    :param name: submit, cancel, state or pending.
    :param subject: the job's id; the queue's name for ``pending``.
    :param shard: the shard that asks.
    :param path: the path that ``submit`` and ``pending`` are about.
    :param version: the version of the configuration by which the shard that asks holds the path.
    """

    name: str
    subject: str
    shard: int
    identity: Identity | None = None
    path: str = ""
    version: int = 0


class FormerReply(NamedTuple):
    """The reply of another shard; ``is_empty`` tells that it has no job of the path any more."""

    reply: JobReply
    is_empty: bool


class OwnersOfShards(Protocol):
    """Calls the owners of other shards."""

    def shard_of(self, service: str) -> int:
        """The shard that holds a service's jobs."""

    async def ask_former(self, shard: int, call: FormerCall) -> FormerReply:
        """Ask the owner of a shard that held a path before."""


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """How a shard holds a path.

    :param version: the version of the configuration by which the shard took the path.
    :param former: the shards that may have jobs of the path from before.
    :param released: the version by which another shard has taken it since, None while it is held.
    :param successor: that other shard.
    """

    version: int
    former: tuple[int, ...] = ()
    released: int | None = None
    successor: int | None = None

    @property
    def related(self) -> tuple[int, ...]:
        """The other shards that may have jobs of the path."""
        return self.former if self.successor is None else (*self.former, self.successor)


@lru_cache(maxsize=MAX_CACHED_DIGESTS)
def _digest(host: str, prefix: str) -> str:
    text = f"{host}\0{prefix}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def path_of(queue: Queue) -> str:
    """A short name of the host and path prefix under which callers reach a queue."""
    return _digest(queue.host, queue.path_prefix)


class PathHolders:
    """The paths that one shard holds, has released, or may have to take.

    :param dispatcher: the owner of the shard.
    :param store: the platform's store, with the list of paths.
    :param owners: calls the owners of other shards.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(
        self,
        *,
        dispatcher: "Dispatcher",
        store: Store,
        owners: OwnersOfShards,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.by_path: dict[str, Holding] = {}
        self._dispatcher = dispatcher
        self._store = store
        self._owners = owners
        self._clock = clock
        self._events = events
        self._configuration: Configuration | None = None
        # The shard of each path, by the known configuration.
        self._shards_by_path: dict[str, int] = {}
        # The paths to take, and by which version of the configuration.
        self._wanted_by_path: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._taken = asyncio.Event()
        self._failing = False
        # Of all paths; None when it has to be found anew.
        self._related: frozenset[int] | None = None

    def restore(self, values: Mapping[str, bytes | None]) -> None:
        """Restore what former owners of the shard have stored."""
        for key, raw in values.items():
            if not raw or not key.startswith(PATH_KEY):
                continue
            try:
                self.by_path[key.removeprefix(PATH_KEY)] = decode_msgpack(raw, Holding)
                self._related = None
            except Undecodable as exc:
                # The path is taken anew, which asks all shards that ever held it.
                self._events.note("record.invalid", vital=True, why=f"{key}: {exc}")
        for path, version in list(self._wanted_by_path.items()):
            del self._wanted_by_path[path]
            self._want(path, version)

    def update(self, configuration: Configuration | None) -> None:
        """Take the paths that a configuration sends to this shard."""
        if configuration is None or configuration is self._configuration:
            return
        self._configuration = configuration
        self._shards_by_path = {}
        for queue in configuration.queues_by_name.values():
            shard = self._owners.shard_of(queue.service)
            self._shards_by_path.setdefault(path_of(queue), shard)
        # A path that has gone elsewhere isn't wanted any more.
        self._wanted_by_path.clear()
        for path, shard in self._shards_by_path.items():
            if shard == self._dispatcher.shard:
                self._want(path, configuration.version)

    def may_accept(self, path: str) -> bool:
        """Whether new jobs for a path may be accepted here."""
        holding = self.by_path.get(path)
        if holding is None or holding.released is not None:
            return False
        # A path that the configuration dropped is held until another shard takes it.
        return self._shards_by_path.get(path, self._dispatcher.shard) == self._dispatcher.shard

    async def hold(self, path: str) -> Holding | None:
        """Return how the shard holds a path, once it has taken it.

        :return: None if the shard may not accept jobs for it, or the list of paths isn't reached.
        """
        if path in self._wanted_by_path:
            await self._wait_until_taken([path])
        return self.by_path[path] if self.may_accept(path) else None

    async def related_shards(self) -> frozenset[int] | None:
        """Return the other shards that may have jobs of any path that this shard holds or held.

        :return: None if that isn't known for a path that the shard is taking.
        """
        if self._wanted_by_path:
            await self._wait_until_taken(list(self._wanted_by_path))
        if self._wanted_by_path:
            return None
        if self._related is None:
            self._related = frozenset(s for h in self.by_path.values() for s in h.related)
        return self._related

    async def ask(self, shards: Iterable[int], call: FormerCall) -> dict[int, FormerReply]:
        """Ask the owners of some shards at the same time."""
        asked = sorted(shards)
        replies = await asyncio.gather(*(self._owners.ask_former(s, call) for s in asked))
        metrics.former_holder_calls.add(len(asked), {"call": call.name})
        return dict(zip(asked, replies, strict=True))

    async def ask_former(self, holding: Holding, call: FormerCall) -> list[JobReply]:
        """Ask all former holders of a path; one that has no jobs of it any more is forgotten."""
        replies_by_shard = await self.ask(holding.former, call)
        empty = {shard for shard, reply in replies_by_shard.items() if reply.is_empty}
        if empty and self.by_path.get(call.path) == holding:
            former = tuple(shard for shard in holding.former if shard not in empty)
            self._store_holding(call.path, Holding(holding.version, former))
        return [reply.reply for reply in replies_by_shard.values()]

    def release(self, call: FormerCall) -> Ticket | None:
        """Accept no new jobs for a path from now on, as the shard that asks has taken it.

        :return: the ticket of the record of that, None if this shard holds it by a newer version.
        """
        holding = self.by_path.get(call.path) or Holding(0, released=0)
        if holding.released is None and holding.version > call.version:
            return None
        if self._is_held_by_newer_configuration(call):
            return None
        if holding.released is None:
            self._events.note(
                "path.released",
                vital=True,
                shard=self._dispatcher.shard,
                path=call.path,
                version=call.version,
                successor=call.shard,
                taken=holding.version,
            )
        if call.version >= (holding.released or 0):
            holding = Holding(holding.version, holding.former, call.version, call.shard)
        return self._store_holding(call.path, holding)

    def is_released(self, call: FormerCall) -> bool:
        """Whether it is stored that a path was released to the shard that asks, or a later one."""
        holding = self.by_path.get(call.path)
        if holding is None or holding.released is None or holding.released < call.version:
            return False
        return not self._dispatcher.log.is_pending(PATH_KEY + call.path)

    async def run(self) -> None:
        """Take the wanted paths until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._wanted_by_path:
                if not await self._take(dict(self._wanted_by_path)):
                    await self._clock.sleep(RETRY_S)

    async def _wait_until_taken(self, paths: Iterable[str]) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(TAKE_WAIT_S):
                while any(path in self._wanted_by_path for path in paths):
                    self._taken.clear()
                    await self._taken.wait()

    def _want(self, path: str, version: int) -> None:
        """Have a path taken, unless the shard holds it or has released it by a later version."""
        holding = self.by_path.get(path)
        if holding is None or (holding.released is not None and version > holding.released):
            self._wanted_by_path[path] = version
            self._wake.set()

    async def _take(self, versions_by_path: Mapping[str, int]) -> bool:
        """Write to the list that the shard takes some paths, and read who has held them before.

        :return: False if the list couldn't be reached.
        """
        shard = self._dispatcher.shard
        records = [
            Record(f"{path}{SEPARATOR}{shard}", msgspec.msgpack.encode(version))
            for path, version in versions_by_path.items()
        ]
        for batch in self._dispatcher.log.limits.batches(records):
            written = await self._store.append_paths(batch)
            if not isinstance(written, Appended):
                self._note_failure(written.detail)
                return False
        listed = await self._store.newest_paths()
        if not isinstance(listed, Entries):
            self._note_failure(listed.detail)
            return False
        self._failing = False
        former_by_path = _holders_by_path(listed.values_by_key)
        for path, version in versions_by_path.items():
            self._note_taken(path, version, former_by_path.get(path, set()) - {shard})
        self._taken.set()
        return True

    def _note_taken(self, path: str, version: int, former: Iterable[int]) -> None:
        if self._wanted_by_path.get(path) == version:
            del self._wanted_by_path[path]
        holding = self.by_path.get(path)
        if holding is not None and holding.released is not None and holding.released >= version:
            # Another shard has taken it meanwhile, by a later version.
            return
        self._store_holding(path, Holding(version, tuple(sorted(former))))
        if former:
            self._events.note(
                "path.taken",
                vital=True,
                shard=self._dispatcher.shard,
                path=path,
                version=version,
                former=sorted(former),
            )

    def _store_holding(self, path: str, holding: Holding) -> Ticket:
        self.by_path[path] = holding
        self._related = None
        return self._dispatcher.log.put(PATH_KEY + path, msgspec.msgpack.encode(holding))

    def _is_held_by_newer_configuration(self, call: FormerCall) -> bool:
        if self._configuration is None or self._configuration.version <= call.version:
            return False
        return self._shards_by_path.get(call.path) == self._dispatcher.shard

    def _note_failure(self, why: str) -> None:
        if not self._failing:
            self._failing = True
            self._events.note(
                "paths.lost",
                vital=True,
                shard=self._dispatcher.shard,
                wanted=len(self._wanted_by_path),
                why=why,
            )


def _holders_by_path(values: Mapping[str, bytes | None]) -> dict[str, set[int]]:
    """The shards that have taken each path."""
    holders: dict[str, set[int]] = {}
    for key in values:
        path, _, shard = key.partition(SEPARATOR)
        if shard.isascii() and shard.isdigit():
            holders.setdefault(path, set()).add(int(shard))
    return holders
