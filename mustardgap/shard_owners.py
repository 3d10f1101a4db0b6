"""Membership in the store's group of owners, which assigns each shard to one daemon."""

import asyncio
import hashlib
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

from . import cancellations, metrics
from .events import EventLog
from .ports import Done, Joined, NoAnswer, Refused, Store
from .standbys import MAX_OWNERS_READ_S, OWNERS_READ_INTERVAL_S, Standby, address_of, is_small
from .timers import Clock

# A member that hasn't renewed for this long loses its shards to others. It covers four renewals,
# and a slow store answers within 0.25 s, so a slow store alone doesn't expire a membership.
MEMBERSHIP_TTL_S = 1.8
RENEW_INTERVAL_S = 0.45
RETRY_DELAY_S = 0.1
FLEET_SHARD = 0
# How long a shard's task may take to end after it was cancelled. It normally ends at once; one that
# takes longer may never end.
END_TIMEOUT_S = 1.0
# The interval for a daemon without shards, or whose assignment has just changed: a shard that moves
# is served by nobody until both its old and its new owner have renewed.
FAST_RENEW_INTERVAL_S = 0.15
LEAVING, REASSIGNED = "leaving", "dealt to another"
GRACEFUL_REASONS = (LEAVING, REASSIGNED)


class OwnedShard(Protocol):
    """The service that a daemon runs for a shard while it owns it."""

    ended: asyncio.Event

    async def run(self) -> None:
        """Load the shard's state and serve it."""

    async def hand_over(self) -> None:
        """Shut down gracefully; called just before ``run`` is cancelled."""


class ShardOwners:
    """Keeps this daemon in the group of owners, and runs the shards assigned to it.

    :param store: the platform's store.
    :param member: this daemon's name in the group, the same for every process of the host.
    :param shards: the number of shards.
    :param make: creates the service for a shard, given the shard and its epoch.
    :param reach: calls the daemon at an address and returns whether it answered.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(
        self,
        *,
        store: Store,
        member: str,
        shards: int,
        make: Callable[[int, int], OwnedShard],
        reach: Callable[[str], Awaitable[bool]],
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.member = member
        self.generation = 0
        self.owned_by_shard: dict[int, OwnedShard] = {}
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
        self._owners_generation = 0
        # When the store was last asked for the owners that are known, in monotonic seconds.
        self._owners_known_at = float("-inf")
        self._leaving = False
        self._standby = Standby(shards=shards, clock=clock) if is_small(member) else None
        self._owners_checked_at = float("-inf")
        self._owner_checks = 0
        # Held while shards are started and released. Without it, a daemon that left during a
        # reassignment released a shard twice and ended with an error, or the reassignment started
        # shards again that the daemon had just released.
        self._assignment_lock = asyncio.Lock()

    def seconds_since_confirmed(self) -> float:
        """Seconds since the request by which the store last confirmed the membership."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_at

    def is_membership_valid(self) -> bool:
        """Whether the store can't yet have assigned this daemon's shards to others."""
        return self.seconds_since_confirmed() < MEMBERSHIP_TTL_S and not self._leaving

    def address_of(self, shard: int) -> str | None:
        """The address at which peers call a shard's owner, None while the owner is unknown."""
        member = self.members_by_shard.get(shard)
        return address_of(member) if member else None

    async def run(self) -> None:
        """Renew the membership until cancelled."""
        # This daemon still owns shards if this is run again after a failure. They are released
        # first: once it leaves, others may take them at once, although this daemon's own membership
        # would still look valid until it expires.
        async with self._assignment_lock:
            if not self._leaving:
                await self._reset_membership()
        while not self._leaving:
            if self._standby is not None and not await self._must_own_shards(self._standby):
                await self._clock.sleep(OWNERS_READ_INTERVAL_S)
                continue
            before = self.generation
            if await self._renew():
                renew_fast = self.generation != before or not self.owned_by_shard
                await self._clock.sleep(FAST_RENEW_INTERVAL_S if renew_fast else RENEW_INTERVAL_S)
            else:
                await self._clock.sleep(RETRY_DELAY_S)

    async def _must_own_shards(self, standby: Standby) -> bool:
        """Whether this daemon on a small host must own shards; releases them once it needn't."""
        now = self._clock.monotonic()
        if now - self._owners_checked_at < OWNERS_READ_INTERVAL_S:
            return standby.is_needed
        self._owners_checked_at = now
        if not await self._read_owners():
            return standby.is_needed
        others = sorted(set(self.members_by_shard.values()) - {self.member})
        if self._clock.monotonic() - now > MAX_OWNERS_READ_S:
            standby.forget_silent_owners()
        elif others:
            # One owner per check: with 30 standby hosts, each of 10 owners gets 6 calls a second.
            self._owner_checks += 1
            other = others[self._owner_checks % len(others)]
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
                async with self._assignment_lock:
                    if not self._leaving:
                        await self._reset_membership()
        return standby.is_needed

    async def _end_previous_membership(self) -> None:
        """End the membership of this host's previous process.

        A host runs one process at a time, so that process is dead. Until its membership expired,
        nobody would serve its shards, and this process, which has the same name, would be given
        the same epoch again.
        """
        # ``leave`` waits for this loop, and mustn't wait while the store is unavailable.
        while not self._leaving:
            outcome = await self._store.leave(member=self.member)
            if isinstance(outcome, Done):
                return
            self._note_failure(outcome)
            await self._clock.sleep(RETRY_DELAY_S)

    async def leave(self) -> None:
        """Release all shards and leave the group, so that others can take over at once."""
        self._leaving = True
        async with self._assignment_lock:
            await asyncio.gather(
                *(self._release_shard(s, LEAVING) for s in list(self.owned_by_shard))
            )
        await self._store.leave(member=self.member)
        self._events.note("group.left", vital=True, member=self.member)

    async def _renew(self) -> bool:
        sent_at = self._clock.monotonic()
        outcome = await self._store.join(
            member=self.member, generation=self.generation, ttl_s=MEMBERSHIP_TTL_S
        )
        if self._leaving:
            # A renewal that the store applies after the leave would hold shards that nobody serves
            # until the membership expires.
            if not isinstance(outcome, Refused):
                await self._store.leave(member=self.member)
            return True
        if not isinstance(outcome, Joined):
            self._note_failure(outcome)
            return False
        if self._failing:
            self._failing = False
            self._events.note("group.regained", vital=True, generation=outcome.generation)
        async with self._assignment_lock:
            if not self._leaving:
                await self._apply_membership(outcome, sent_at)
        if self._owners_generation != self.generation:
            await self._read_owners()
        else:
            # The generation changes with each reassignment, so the owners are still the same.
            self._owners_known_at = max(self._owners_known_at, sent_at)
        return True

    async def _apply_membership(self, joined: Joined, sent_at: float) -> None:
        changed = joined.generation != self.generation
        if changed and self.seconds_since_confirmed() >= MEMBERSHIP_TTL_S:
            # Others may have owned the shards in the meantime and accepted jobs that this daemon
            # doesn't know; it would answer that no such job exists. Each shard is loaded anew.
            for shard in list(self.owned_by_shard):
                await self._release_shard(shard, "membership lapsed")
        for shard in [s for s in self.owned_by_shard if s not in joined.shards]:
            await self._release_shard(shard, REASSIGNED)
        # The answer confirms only the shards that are left. Each release takes up to a second, and
        # the owners of those that wait for theirs would take themselves for confirmed.
        self._confirmed_at = sent_at
        # Shards that are no longer assigned have been released above, before the next renewal
        # carries this generation: only then does the store assign them to another member.
        self.generation = joined.generation
        for shard in joined.shards:
            owned = self.owned_by_shard.get(shard)
            if owned is not None and self._has_ended(shard):
                await self._release_shard(shard, "ended")
                if joined.generation <= self._epoch_by_shard[shard]:
                    # A task of the shard failed, and it is still assigned to this daemon. Nobody
                    # would serve it until the group changes; leaving changes the group, and joining
                    # again gives a new epoch.
                    await self._reset_membership()
                    return
                owned = None
            if owned is None and joined.generation > self._epoch_by_shard.get(shard, 0):
                self._start_shard(shard, joined.generation)
        if changed:
            self._events.note(
                "group.generation",
                generation=joined.generation,
                shards=sorted(joined.shards),
            )

    def _has_ended(self, shard: int) -> bool:
        # The task is checked, too: a service that fails may not set ``ended``, and its shard would
        # be held without being served.
        return self.owned_by_shard[shard].ended.is_set() or self._tasks_by_shard[shard].done()

    async def _reset_membership(self) -> None:
        for shard in list(self.owned_by_shard):
            await self._release_shard(shard, LEAVING)
        await self._end_previous_membership()
        self.generation = 0

    def _start_shard(self, shard: int, epoch: int) -> None:
        owned = self._make(shard, epoch)
        self._epoch_by_shard[shard] = epoch
        self.owned_by_shard[shard] = owned
        self.members_by_shard[shard] = self.member
        self._tasks_by_shard[shard] = asyncio.create_task(owned.run(), name=f"shard:{shard}")
        metrics.shard_changes.add(1, {"change": "gained"})
        self._events.note("shard.gained", vital=True, shard=shard, epoch=epoch)

    async def _release_shard(self, shard: int, why: str) -> None:
        owned = self.owned_by_shard.pop(shard)
        if self.members_by_shard.get(shard) == self.member:
            del self.members_by_shard[shard]
        task = self._tasks_by_shard.pop(shard)
        if why in GRACEFUL_REASONS:
            await self._hand_over(shard, owned)
        task.cancel()
        if failure := await cancellations.why_not_ended(task, timeout_s=END_TIMEOUT_S):
            self._events.note("shard.failed", vital=True, shard=shard, why=failure)
        metrics.shard_changes.add(1, {"change": "lost"})
        self._events.note(
            "shard.lost", vital=True, shard=shard, epoch=self._epoch_by_shard[shard], why=why
        )

    async def _hand_over(self, shard: int, owned: OwnedShard) -> None:
        # A shard that fails to hand over mustn't prevent the release of the other shards or the
        # leave.
        try:
            await cancellations.run_part(owned.hand_over)
        except Exception as exc:
            self._events.note("shard.not_handed_over", vital=True, shard=shard, why=repr(exc))

    async def _read_owners(self) -> bool:
        """Read the owners of all shards.

        :return: whether the store answered.
        """
        generation = self.generation
        asked_at = self._clock.monotonic()
        outcome = await self._store.owners()
        if isinstance(outcome, Refused | NoAnswer):
            return False
        if self._owners_known_at > asked_at:
            # Another daemon has told of the owners since, by a later answer of the store.
            return True
        self.members_by_shard = dict(outcome)
        for shard in self.owned_by_shard:
            self.members_by_shard[shard] = self.member
        self._owners_generation = generation
        self._owners_known_at = asked_at
        return True

    async def refresh(self) -> bool:
        """Read the owners again, for example after an owner couldn't be reached.

        :return: whether the store answered.
        """
        return await self._read_owners()

    def owners_age_s(self) -> float:
        """Seconds since the store was asked for the known owners; infinity if it never answered."""
        return self._clock.monotonic() - self._owners_known_at

    def apply_owners(self, members_by_shard: Mapping[int, str], *, age_s: float) -> None:
        """Take over what another daemon knows of the owners.

        :param age_s: the seconds since that daemon asked the store.
        """
        self.members_by_shard = {
            **members_by_shard,
            **dict.fromkeys(self.owned_by_shard, self.member),
        }
        self._owners_known_at = self._clock.monotonic() - age_s

    def _note_failure(self, outcome: Refused | NoAnswer) -> None:
        if not self._failing:
            self._failing = True
            self._events.note(
                "group.lost", vital=True, why=outcome.detail, generation=self.generation
            )


def shard_of(service: str, shards: int) -> int:
    """Return the shard that holds a service's jobs; shard 0 is reserved for the fleet.

    :param service: the service's name.
    :param shards: the number of shards.
    """
    if shards < 2:
        return FLEET_SHARD
    digest = hashlib.blake2b(service.encode(), digest_size=8).digest()
    return 1 + int.from_bytes(digest) % (shards - 1)


def failover_partition(shard: int, shards: int) -> int:
    """Return the partition that takes a shard's records while its primary one takes none.

    The two are half the number of partitions apart, so that an outage of neighbouring partitions
    doesn't affect both.

    :param shards: the number of shards.
    """
    return (shard + shards // 2) % shards
