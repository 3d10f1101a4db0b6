"""Announces this entry host on the platform's list of hosts and discovers others there."""

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

ANNOUNCE_INTERVAL_S = 2.0
LISTED_NOTICE = "listed"
LISTED_NOTICE_TTL_S = 86_400.0


class Presence:
    """Keeps this daemon on the platform's list of hosts and finds its peers there.

    The list lags, so it only gives the addresses of peers. Whether a peer is alive is determined by
    the exchange of messages with it.

    :param platform: the platform.
    :param peers: the streams to the peers; gets the listed hosts and addresses.
    :param gossiper: forwards the list to entry hosts that can't reach the platform.
    """

    def __init__(
        self, *, platform: Platform, peers: Peers, gossiper: Gossiper | None = None
    ) -> None:
        self.platform = platform
        self.peers = peers
        self.members = peers.members
        self.settings = peers.settings
        self.gossiper = gossiper
        self._leaving_workers_callbacks: list[Callable[[Collection[str]], None]] = []
        if gossiper is not None:
            gossiper.on_notice(LISTED_NOTICE, self._on_listed_notice)

    def on_leaving_workers(self, callback: Callable[[Collection[str]], None]) -> None:
        """Register a callback that gets the leaving workers after each read of the list."""
        self._leaving_workers_callbacks.append(callback)

    async def run(self) -> None:
        """Announce this daemon and read the list every two seconds, until cancelled."""
        while True:
            try:
                await self.announce()
                await self.read()
            except MustardgapError as exc:
                logging.debug("could not announce this host or read the host list: %s", exc)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def announce(self) -> None:
        """Announce this daemon with its current state."""
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
        """Read the list of hosts and pass on its entry hosts and leaving workers."""
        page = await self.platform.hosts()
        entries = [e for e in page.hosts if e["role"] == "entry" and e["state"] == "live"]
        self._update_listed_hosts(frozenset(e["host"] for e in entries))
        own = self.members.me.peers_address
        self.peers.set_seeds(
            {e["address"] for e in entries if e["address"] != own}, with_configured=True
        )
        workers = {
            e["host"] for e in page.hosts if (e["role"], e["state"]) == ("worker", "leaving")
        }
        for callback in self._leaving_workers_callbacks:
            callback(workers)

    def _update_listed_hosts(self, hosts: frozenset[str]) -> None:
        """Update the listed hosts, once the list contains this daemon's own announcement.

        Two hosts that start at the same time could otherwise each read a list without the other,
        and each would take itself for the only one.
        """
        if not self.members.listed_hosts and self.members.me.host not in hosts:
            return
        self.members.listed_hosts = hosts
        if self.gossiper is not None and self.gossiper.notice(LISTED_NOTICE, "") != sorted(hosts):
            self.gossiper.publish(LISTED_NOTICE, "", sorted(hosts), ttl_s=LISTED_NOTICE_TTL_S)

    def _on_listed_notice(self, key: str, hosts: Any, sender: Member) -> None:
        """Use the list of a peer if the platform couldn't be reached since the start."""
        if not self.members.listed_hosts:
            self.members.listed_hosts = frozenset(hosts)

    async def leave(self) -> None:
        """Tell peers and platform that this daemon accepts no more work."""
        self.members.update_me(state=MemberState.leaving)
        try:
            await self.announce()
        except MustardgapError as exc:
            logging.info("could not announce leaving: %s", exc)

    async def withdraw(self) -> None:
        """Remove this daemon from the list."""
        try:
            await self.platform.withdraw(self.members.me.host)
        except MustardgapError as exc:
            logging.info("could not withdraw from the list: %s", exc)
