"""Telling the other entry hosts which executors leave, so that all stop sending to them at once."""

from typing import Any

from .executors import LEAVING_TTL_S, Executors
from .gossip import Gossiper
from .members import Member

NOTICE_KIND = "leaving"


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
        executors.on_leaving(self._publish)
        gossiper.on_notice(NOTICE_KIND, self._on_notice)

    def _publish(self, executor: str) -> None:
        self.gossiper.publish(NOTICE_KIND, executor, True, ttl_s=LEAVING_TTL_S, urgent=True)

    def _on_notice(self, executor: str, value: Any, sender: Member) -> None:
        self.executors.leaving(executor, told=True)
