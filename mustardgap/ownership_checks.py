"""Makes sure that an owner of a shard hasn't been replaced."""

from collections.abc import Callable

from .ports import Appended, Fenced, Store
from .shard_logs import ShardLog
from .shared_checks import SharedCheck
from .timers import Clock

# The pause before the store is asked again.
RETRY_S = 0.15


class OwnershipCheck:
    """Shows that a shard has no later owner.

    A new owner raises the epoch of the shard's partition before it reads anything or sends orders.
    So an empty append under this owner's epoch shows, if it is accepted, that there was none yet as
    it was sent. Those who ask at the same time share one.

    :param store: the platform's store.
    :param log: the owner's log of the shard.
    :param unconfirmed_s: returns the seconds since the request by which the store last confirmed
        this daemon's membership.
    :param on_fenced: called when there is a later owner.
    :param clock: the clocks to read.
    """

    def __init__(
        self,
        *,
        store: Store,
        log: ShardLog,
        unconfirmed_s: Callable[[], float],
        on_fenced: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._store = store
        self._log = log
        self._unconfirmed_s = unconfirmed_s
        self._on_fenced = on_fenced
        self._clock = clock
        self._shared = SharedCheck(run=self._append_nothing)

    async def holds(self) -> bool:
        """Whether the shard had no later owner at some moment from now on."""
        return await self._shared.result()

    async def held_at(self, at: float) -> bool:
        """Whether the shard certainly had no later owner at a monotonic time that has passed."""
        if await self.holds():
            return True
        # While the store refuses the shard's partition, the membership has to do. Alone it shows
        # less: another daemon may have owned the shard between two renewals.
        return not self._log.fenced and self._clock.monotonic() - self._unconfirmed_s() >= at

    async def wait_until_held_at(self, at: float) -> None:
        """Wait until it is certain that the shard had no later owner at a time that has passed."""
        while not await self.held_at(at):
            await self._clock.sleep(RETRY_S)

    async def _append_nothing(self) -> bool:
        outcome = await self._store.fence(shard=self._log.shard, epoch=self._log.epoch)
        if isinstance(outcome, Fenced):
            self._on_fenced()
        return isinstance(outcome, Appended) and not self._log.fenced
