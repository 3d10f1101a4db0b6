"""Telling the other entry hosts which executors leave, so that all stop sending to them at once."""

from typing import Any

from .executors import LEAVING_TTL_S, Executors
from .gossip import Gossiper
from .members import Member

KIND = "leaving"


class Departures:
    """Passes on by gossip what one entry host found out from an executor's answer.

    The word goes to all connected peers at once and, by the turns of gossip, to the rest; the log
    takes no part in it.

    :param executors: which executors may be chosen.
    :param gossiper: the gossip with the peers.
    """

    def __init__(self, *, executors: Executors, gossiper: Gossiper) -> None:
        self.executors = executors
        self.gossiper = gossiper
        executors.on_leaving(self._tell)
        gossiper.on_notice(KIND, self._hear)

    def _tell(self, executor: str) -> None:
        self.gossiper.publish(KIND, executor, True, ttl_s=LEAVING_TTL_S, urgent=True)

    def _hear(self, executor: str, value: Any, sender: Member) -> None:
        self.executors.mark_leaving(executor, from_peer=True)
