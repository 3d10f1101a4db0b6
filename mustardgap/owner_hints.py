"""Learns from other daemons who owns the shards, while the store doesn't answer this one."""

import asyncio
import random
from collections.abc import Callable, Collection
from typing import Any, NamedTuple

from . import codecs, metrics
from .events import EventLog
from .peer_calls import PeerClient, PeerUnreachable
from .shard_owners import ShardOwners

CALL = "owners"
# How many daemons are asked at a time. With a third of all hosts cut off, all three are cut off in
# one case of 27.
MAX_ASKED = 3
# An answer takes a few milliseconds; a daemon that is cut off gives none.
CALL_TIMEOUT_S = 0.25


class OwnersView(NamedTuple):
    """Who owned the shards by the store's last answer, and how many seconds ago that was."""

    members_by_shard: dict[int, str]
    age_s: float


class OwnerHints:
    """Asks other daemons for the owners, and takes over the most recent answer.

    A host that the store doesn't answer still calls the owners that it knows of. After a takeover
    it would be told by the former ones that they own nothing, until its callers' time is over,
    although most other hosts know the new ones.

    :param owners: the owners that this daemon knows of.
    :param peers: calls other daemons.
    :param known_addresses: returns the addresses of the daemons that may be asked.
    :param is_shared: whether this daemon tells others what it knows.
    :param events: the process's event log.
    """

    def __init__(
        self,
        *,
        owners: ShardOwners,
        peers: PeerClient,
        known_addresses: Callable[[], Collection[str]],
        is_shared: Callable[[], bool],
        events: EventLog,
    ) -> None:
        self._owners = owners
        self._peers = peers
        self._known_addresses = known_addresses
        self._is_shared = is_shared
        self._events = events

    async def refresh(self) -> bool:
        """Ask some daemons, and take over the most recent answer if it is newer than what is known.

        :return: whether anything was taken over.
        """
        addresses = sorted(self._known_addresses())
        asked = random.sample(addresses, min(MAX_ASKED, len(addresses)))
        answers = await asyncio.gather(*(self._ask(address) for address in asked))
        views = [view for view in answers if view is not None]
        if not views:
            return False
        view = min(views, key=lambda view: view.age_s)
        if view.age_s >= self._owners.owners_age_s():
            return False
        self._owners.apply_owners(view.members_by_shard, age_s=view.age_s)
        metrics.owner_hints.add(1)
        self._events.note("owners.hinted", age_s=view.age_s, known=len(view.members_by_shard))
        return True

    async def _ask(self, address: str) -> OwnersView | None:
        try:
            answer = await self._peers.call(address, CALL, None, timeout_s=CALL_TIMEOUT_S)
        except PeerUnreachable:
            return None
        if answer is None:
            return None
        try:
            view = codecs.convert(answer, OwnersView)
        except codecs.Undecodable:
            # A later version may answer in another form.
            return None
        # The call's own time counts as age, so that a delayed answer can't pass for a newer one.
        return view._replace(age_s=view.age_s + CALL_TIMEOUT_S)

    async def answer(self, values: Any) -> OwnersView | None:
        """Answer another daemon's question; None if this daemon shares nothing."""
        age_s = self._owners.owners_age_s()
        if not self._is_shared() or age_s == float("inf"):
            return None
        return OwnersView(self._owners.members_by_shard, age_s)
