"""Asks the store whether an owner of a shard has been replaced."""

from collections.abc import Callable

from .ports import Appended, Fenced, Store
from .shard_logs import ShardLog
from .shared_checks import SharedCheck


class OwnershipCheck:
    """Shows that a shard has no later owner.

    A new owner raises the epoch of the shard's partition before it reads anything or sends orders.
    So an empty append under this owner's epoch shows, if it is accepted, that there was none yet as
    it was sent. Those who ask at the same time share one.

    :param store: the platform's store.
    :param log: the owner's log of the shard.
    :param on_fenced: called when there is a later owner.
    """

    def __init__(self, *, store: Store, log: ShardLog, on_fenced: Callable[[], None]) -> None:
        self._store = store
        self._log = log
        self._on_fenced = on_fenced
        self._shared = SharedCheck(run=self._append_nothing)

    async def holds(self) -> bool:
        """Whether the shard had no later owner at some moment from now on."""
        return await self._shared.result()

    async def _append_nothing(self) -> bool:
        outcome = await self._store.fence(shard=self._log.shard, epoch=self._log.epoch)
        if isinstance(outcome, Fenced):
            self._on_fenced()
        return isinstance(outcome, Appended) and not self._log.fenced
