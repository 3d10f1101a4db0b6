"""Which shards this daemon owns, and who owns the others, as the store's group deals them out."""

import asyncio
import hashlib
from collections.abc import Awaitable, Callable
from typing import Protocol

from . import cancellations, metrics
from .events import EventLog
from .ports import Done, Joined, NoAnswer, Refused, Store
from .standbys import MAX_OWNERS_READ_S, OWNERS_READ_INTERVAL_S, Standby, address_of, is_small
from .timers import Clock

# A daemon that dies is replaced after this. It is some four renewals, and a slow store's answer
# takes a quarter of a second, so a slow store alone replaces nobody.
TTL_S = 1.8
RENEW_S = 0.45
RETRY_S = 0.1
FLEET_SHARD = 0
# The parts of an ownership end at once when they are told to; longer, and they never may.
END_S = 1.0
# A daemon without shards, or that has just let go of some, renews sooner: what is dealt anew is
# served by nobody until both ends have renewed.
SOON_S = 0.15
LEAVING, DEALT = "leaving", "dealt to another"
IN_GOOD_ORDER = (LEAVING, DEALT)


class Owned(Protocol):
    """What is run for a shard while it is owned."""

    ended: asyncio.Event

    async def run(self) -> None:
        """Take the shard over and serve it."""

    async def hand_over(self) -> None:
        """Stop in good order, just before being cancelled."""


class ShardOwners:
    """Keeps this daemon in the group of owners, and runs what it owns.

    :param store: the platform's store.
    :param member: this daemon's name in the group, the same for each process of the host.
    :param shards: how many shards there are.
    :param make: makes what is run for a shard at an epoch.
    :param reach: calls the daemon at an address; whether it has answered.
    :param clock: the clocks to read.
    :param events: the process's log.
    """

    def __init__(
        self,
        *,
        store: Store,
        member: str,
        shards: int,
        make: Callable[[int, int], Owned],
        reach: Callable[[str], Awaitable[bool]],
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.member = member
        self.generation = 0
        self.owned_by_shard: dict[int, Owned] = {}
        self.members_by_shard: dict[int, str] = {}
        self._store = store
        self._make = make
        self._reach = reach
        self._clock = clock
        self._events = events
        self._epoch_by_shard: dict[int, int] = {}
        self._tasks_by_shard: dict[int, asyncio.Task[None]] = {}
        self._confirmed_at: float | None = None
        self._failing = False
        self._owners_of = 0
        self._leaving = False
        self._standby = Standby(shards=shards, clock=clock) if is_small(member) else None
        self._looked_at = float("-inf")
        self._looks = 0
        # Held while shards are taken and given up. A daemon that was told to leave while a new deal
        # took shards away gave one up twice, and ended by the error; or the deal went on behind its
        # back and took shards that the daemon had just given up.
        self._dealing = asyncio.Lock()

    def fresh_s(self) -> float:
        """Seconds since the store last confirmed the membership; counted from the request."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_at

    def settled(self) -> bool:
        """Whether nobody else can have been given this daemon's shards yet."""
        return self.fresh_s() < TTL_S and not self._leaving

    def address_of(self, shard: int) -> str | None:
        """Where the peers of a shard's owner call it, None while nobody is known."""
        member = self.members_by_shard.get(shard)
        return address_of(member) if member else None

    async def run(self) -> None:
        """Renew the membership until cancelled."""
        # It owns something if it is run again after it failed. Leaving lets others have the shards
        # at once, while this daemon would be sure of them for as long as a membership lasts.
        async with self._dealing:
            if not self._leaving:
                await self._start_afresh()
        while not self._leaving:
            if self._standby is not None and not await self._is_wanted(self._standby):
                await self._clock.sleep(OWNERS_READ_INTERVAL_S)
                continue
            before = self.generation
            if await self._renew():
                soon = self.generation != before or not self.owned_by_shard
                await self._clock.sleep(SOON_S if soon else RENEW_S)
            else:
                await self._clock.sleep(RETRY_S)

    async def _is_wanted(self, standby: Standby) -> bool:
        """Whether this daemon's small host has to own shards; gives them back if not any more."""
        now = self._clock.monotonic()
        if now - self._looked_at < OWNERS_READ_INTERVAL_S:
            return standby.is_needed
        self._looked_at = now
        if not await self._read_owners():
            return standby.is_needed
        others = sorted(set(self.members_by_shard.values()) - {self.member})
        if self._clock.monotonic() - now > MAX_OWNERS_READ_S:
            standby.forget_silent_owners()
        elif others:
            # One a look: with 30 hosts standing by, each of 10 owners is called 6 times a second.
            self._looks += 1
            other = others[self._looks % len(others)]
            standby.note_call(other, answered=await self._reach(address_of(other)))
        if standby.note(self.members_by_shard, owns=bool(self.owned_by_shard)):
            self._events.note(
                "group.standby",
                vital=True,
                wanted=standby.is_needed,
                owned=sorted(self.owned_by_shard),
                known=len(self.members_by_shard),
            )
            if not standby.is_needed:
                async with self._dealing:
                    if not self._leaving:
                        await self._start_afresh()
        return standby.is_needed

    async def _end_earlier_life(self) -> None:
        """Take the membership of this host's earlier process back.

        That process is dead, as a host runs one at a time. Until its membership lapsed, its shards
        would be served by nobody, and with its name this process would get its epoch again.
        """
        # A daemon that is told to leave waits for this, and must not wait for a store that is away.
        while not self._leaving:
            outcome = await self._store.leave(member=self.member)
            if isinstance(outcome, Done):
                return
            self._failed(outcome)
            await self._clock.sleep(RETRY_S)

    async def leave(self) -> None:
        """Stop owning, and let others take over at once."""
        self._leaving = True
        async with self._dealing:
            await asyncio.gather(*(self._give_up(s, LEAVING) for s in list(self.owned_by_shard)))
        await self._store.leave(member=self.member)
        self._events.note("group.left", vital=True, member=self.member)

    async def _renew(self) -> bool:
        sent_at = self._clock.monotonic()
        outcome = await self._store.join(
            member=self.member, generation=self.generation, ttl_s=TTL_S
        )
        if self._leaving:
            # Taken in after the leaving, it would hold shards that nobody serves until it lapses.
            if not isinstance(outcome, Refused):
                await self._store.leave(member=self.member)
            return True
        if not isinstance(outcome, Joined):
            self._failed(outcome)
            return False
        if self._failing:
            self._failing = False
            self._events.note("group.regained", vital=True, generation=outcome.generation)
        quiet_s = self.fresh_s()
        self._confirmed_at = sent_at
        async with self._dealing:
            if not self._leaving:
                await self._take_in(outcome, quiet_s)
        if self._owners_of != self.generation:
            await self._read_owners()
        return True

    async def _take_in(self, joined: Joined, quiet_s: float) -> None:
        changed = joined.generation != self.generation
        if changed and quiet_s >= TTL_S:
            # Others may have owned the shards meanwhile, and have accepted jobs that aren't known
            # here: their callers would be told that no such job exists. Each is read anew.
            for shard in list(self.owned_by_shard):
                await self._give_up(shard, "membership lapsed")
        for shard in [s for s in self.owned_by_shard if s not in joined.shards]:
            await self._give_up(shard, DEALT)
        # What isn't listed any more has been given up above, before the next renewal names this
        # generation: only then does the store deal it to another.
        self.generation = joined.generation
        for shard in joined.shards:
            owned = self.owned_by_shard.get(shard)
            if owned is not None and self._has_ended(shard):
                await self._give_up(shard, "ended")
                if joined.generation <= self._epoch_by_shard[shard]:
                    # A part of it failed, and nobody else has got the shard. It would lie idle
                    # until the group changes; leaving changes it, and brings a new epoch.
                    await self._start_afresh()
                    return
                owned = None
            if owned is None and joined.generation > self._epoch_by_shard.get(shard, 0):
                self._begin(shard, joined.generation)
        if changed:
            self._events.note(
                "group.generation",
                generation=joined.generation,
                shards=sorted(joined.shards),
            )

    def _has_ended(self, shard: int) -> bool:
        # Its task counts, too: an ownership that fails may not come to say that it has ended, and
        # its shard would be held and served by nobody.
        return self.owned_by_shard[shard].ended.is_set() or self._tasks_by_shard[shard].done()

    async def _start_afresh(self) -> None:
        for shard in list(self.owned_by_shard):
            await self._give_up(shard, LEAVING)
        await self._end_earlier_life()
        self.generation = 0

    def _begin(self, shard: int, epoch: int) -> None:
        owned = self._make(shard, epoch)
        self._epoch_by_shard[shard] = epoch
        self.owned_by_shard[shard] = owned
        self.members_by_shard[shard] = self.member
        self._tasks_by_shard[shard] = asyncio.create_task(owned.run(), name=f"shard:{shard}")
        metrics.shard_changes.add(1, {"change": "gained"})
        self._events.note("shard.gained", vital=True, shard=shard, epoch=epoch)

    async def _give_up(self, shard: int, why: str) -> None:
        owned = self.owned_by_shard.pop(shard)
        if self.members_by_shard.get(shard) == self.member:
            del self.members_by_shard[shard]
        task = self._tasks_by_shard.pop(shard)
        if why in IN_GOOD_ORDER:
            await self._hand_over(shard, owned)
        task.cancel()
        if why_failed := await cancellations.why_not_ended(task, timeout_s=END_S):
            self._events.note("shard.failed", vital=True, shard=shard, why=why_failed)
        metrics.shard_changes.add(1, {"change": "lost"})
        self._events.note(
            "shard.lost", vital=True, shard=shard, epoch=self._epoch_by_shard[shard], why=why
        )

    async def _hand_over(self, shard: int, owned: Owned) -> None:
        # One shard that can't be handed over mustn't keep the others, and the group, from others.
        try:
            await cancellations.run_part(owned.hand_over)
        except Exception as exc:
            self._events.note("shard.not_handed_over", vital=True, shard=shard, why=repr(exc))

    async def _read_owners(self) -> bool:
        """Read who owns what.

        :return: whether the store has answered.
        """
        generation = self.generation
        outcome = await self._store.owners()
        if isinstance(outcome, Refused | NoAnswer):
            return False
        self.members_by_shard = dict(outcome)
        for shard in self.owned_by_shard:
            self.members_by_shard[shard] = self.member
        self._owners_of = generation
        return True

    async def refresh(self) -> None:
        """Read anew who owns what, for example after an owner couldn't be reached."""
        await self._read_owners()

    def _failed(self, outcome: Refused | NoAnswer) -> None:
        if not self._failing:
            self._failing = True
            self._events.note(
                "group.lost", vital=True, why=outcome.detail, generation=self.generation
            )


def shard_of(service: str, shards: int) -> int:
    """The shard that holds a service's jobs; shard 0 is the fleet's.

    :param service: the service's name.
    :param shards: how many shards there are.
    """
    if shards < 2:
        return FLEET_SHARD
    digest = hashlib.blake2b(service.encode(), digest_size=8).digest()
    return 1 + int.from_bytes(digest) % (shards - 1)


def failover_partition(shard: int, shards: int) -> int:
    """The partition that takes a shard's records while its own one takes none.

    Half of all lie between the two, so that neighbours that are away together aren't both.

    :param shards: how many shards there are.
    """
    return (shard + shards // 2) % shards
