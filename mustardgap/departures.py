"""Tells the other entry hosts which executors are leaving.

All entry hosts then stop sending requests to these executors at once.
"""

from typing import Any

from .executors import LEAVING_TTL_S, Executors
from .gossip import Gossiper
from .members import Member

NOTICE_KIND = "leaving"


class Departures:
    """Spreads by gossip that an executor is leaving, as its answer showed to one entry host.

    The notice goes to all connected peers immediately and to the other peers in later gossip
    rounds. It isn't written to the log.

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
        self.executors.mark_leaving(executor, from_peer=True)
