"""Announcing this entry host on the platform's list, and finding others there."""

import asyncio
from collections.abc import Callable, Collection
from typing import Any

from absl import logging

from .adapters import Platform
from .exceptions import MustardgapError
from .gossip import Gossiper
from .members import Member, MemberState
from .models import HostEntry
from .peers import Peers

ANNOUNCE_S = 2.0
LISTED = "listed"
LISTED_TTL_S = 86_400.0


class Presence:
    """Keeps this daemon on the platform's lagging list of hosts and reads the others off it.

    The list only says where to look. Who is alive is found out by talking to them.

    :param platform: the platform.
    :param peers: the streams to the peers; its members are told which hosts are listed.
    :param gossiper: passes the list on to entry hosts that can't reach the platform.
    """

    def __init__(
        self, *, platform: Platform, peers: Peers, gossiper: Gossiper | None = None
    ) -> None:
        self.platform = platform
        self.peers = peers
        self.members = peers.members
        self.settings = peers.settings
        self.gossiper = gossiper
        self._callbacks: list[Callable[[Collection[str]], None]] = []
        if gossiper is not None:
            gossiper.on_notice(LISTED, self._hear_list)

    def on_leaving_workers(self, callback: Callable[[Collection[str]], None]) -> None:
        """Call back with the workers that the list shows as leaving, whenever it was read."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Announce and read, every two seconds, until cancelled."""
        while True:
            try:
                await self.announce()
                await self.read()
            except MustardgapError as exc:
                logging.debug("host list: %s", exc)
            await asyncio.sleep(ANNOUNCE_S)

    async def announce(self) -> None:
        """Announce this daemon in its present state."""
        me = self.members.me
        leaving = me.state is MemberState.leaving
        await self.platform.announce(
            HostEntry(
                host=me.host,
                role="entry",
                state="leaving" if leaving else "live",
                address=me.peers_address,
                data_center=me.data_center,
            )
        )

    async def read(self) -> None:
        """Read the list of hosts."""
        page = await self.platform.hosts()
        entries = [e for e in page.hosts if e["role"] == "entry" and e["state"] == "live"]
        self._take_list(frozenset(e["host"] for e in entries))
        own = self.members.me.peers_address
        self.peers.seed({e["address"] for e in entries if e["address"] != own}, listed=True)
        workers = {
            e["host"] for e in page.hosts if (e["role"], e["state"]) == ("worker", "leaving")
        }
        for callback in self._callbacks:
            callback(workers)

    def _take_list(self, hosts: frozenset[str]) -> None:
        """Take in who is listed, once the list is as late as this daemon's own announcement.

        Two hosts that start together and each read a list without the other would each take itself
        for the only one.
        """
        if not self.members.listed_hosts and self.members.me.host not in hosts:
            return
        self.members.listed_hosts = hosts
        if self.gossiper is not None and self.gossiper.notice(LISTED, "") != sorted(hosts):
            self.gossiper.publish(LISTED, "", sorted(hosts), ttl_s=LISTED_TTL_S)

    def _hear_list(self, key: str, hosts: Any, sender: Member) -> None:
        """Take the list from a peer while the platform can't be reached from the start."""
        if not self.members.listed_hosts:
            self.members.listed_hosts = frozenset(hosts)

    async def leave(self) -> None:
        """Tell peers and platform that this daemon takes no more work."""
        self.members.say(state=MemberState.leaving)
        try:
            await self.announce()
        except MustardgapError as exc:
            logging.info("could not announce leaving: %s", exc)

    async def withdraw(self) -> None:
        """Take this daemon off the list."""
        try:
            await self.platform.withdraw(self.members.me.host)
        except MustardgapError as exc:
            logging.info("could not withdraw from the list: %s", exc)
