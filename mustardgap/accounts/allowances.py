"""Shares the limit of a client account among pools, so that no two owners spend the same part.

The owner of each pool's queues starts tasks only up to its pool's allowance. One granter, the
owner of the fleet, sets the allowances of all pools. It lowers an allowance first, and gives the
difference to another pool only after the lowered one has confirmed it. So the sum of what the pools
may use never exceeds the limit, whichever messages are lost, late or out of order; nothing depends
on clocks.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from ..resources import NO_ROOM, Room, total
from .directories import Account


class GrantNumber(NamedTuple):
    """Orders grants, by the epoch of the granter first; a pool ignores older grants."""

    epoch: int
    sequence: int


NO_GRANT = GrantNumber(0, 0)


class Allowance(NamedTuple):
    """What an account may use of one pool, and the whole limit that this was computed from.

    ``overrun`` is the size of a single task that may be started beyond the ceiling.
    """

    ceiling: Room
    limit: Room
    overrun: Room = NO_ROOM


class Grant(NamedTuple):
    """The allowances of one pool by account; an account without one may start nothing.

    Without allowances the pool keeps those that it has, and from then on ignores older grants. A
    new granter sends such a grant first: one of its predecessor that arrived late could otherwise
    raise an allowance after the pool has reported it.
    """

    number: GrantNumber
    allowances_by_account: dict[str, Allowance] | None


class PoolUse(NamedTuple):
    """An account's use of one pool.

    ``used`` is an upper bound of what runs, may run, or is being started or stopped. ``ceiling`` is
    the pool's granted allowance, ``waiting`` what the account's waiting tasks would take
    beside that. ``unit`` is the largest amount that has to be started at once, and ``task`` the
    largest waiting task that isn't of a gang.
    """

    used: Room = NO_ROOM
    ceiling: Room = NO_ROOM
    waiting: Room = NO_ROOM
    unit: Room = NO_ROOM
    task: Room = NO_ROOM

    @property
    def held(self) -> Room:
        """What the pool has or may take without asking."""
        return self.used.larger(self.ceiling)


class PoolAllowances:
    """The allowances by which the owner of one pool's queues goes."""

    def __init__(self) -> None:
        self.number = NO_GRANT
        self._allowances_by_account: dict[str, Allowance] = {}

    def apply(self, grant: Grant) -> None:
        """Apply a grant unless a later one has been applied."""
        if grant.number <= self.number:
            return
        self.number = grant.number
        if grant.allowances_by_account is not None:
            self._allowances_by_account = dict(grant.allowances_by_account)

    def accounts(self) -> Collection[str]:
        """Return the accounts that the last grant has allowances for."""
        return self._allowances_by_account.keys()

    def granted(self, account: str) -> Room:
        """Return the most that the last grant allows an account to use of the pool."""
        allowance = self._allowances_by_account.get(account)
        return allowance.ceiling.plus(allowance.overrun) if allowance is not None else NO_ROOM

    def may_start(self, account: str, used: Room, added: Room, limit: Room | None) -> bool:
        """Return whether an account may start something.

        An owner may know a lower limit before the granter does. Another pool may then use more than
        its part of the new limit, so nothing may be started until a grant goes by the new one.

        :param used: what the account uses of the pool.
        :param added: what is to be started at once.
        :param limit: the limit in the configuration that this owner knows, None if the account
            isn't there any more.
        """
        allowance = self._allowances_by_account.get(account)
        if allowance is None:
            return False
        if limit is not None and any(map(_is_lower, limit, allowance.limit)):
            return False
        bounded = allowance.limit if limit is None else limit
        if fits(used, added, allowance.ceiling, bounded):
            return True
        return added == allowance.overrun and fits(used, NO_ROOM, allowance.ceiling, bounded)


def _is_lower(limit: int, before: int) -> bool:
    """Whether a limit is lower than before; 0 is no limit."""
    return limit != 0 and (before == 0 or limit < before)


def fits(used: Room, added: Room, ceiling: Room, limit: Room) -> bool:
    """Whether an amount may be added; a resource with a limit of 0 isn't bounded."""
    return all(
        not most or now + more <= bound
        for now, more, bound, most in zip(used, added, ceiling, limit, strict=True)
    )


class AllowanceGranter:
    """Decides the allowances of all pools.

    :param epoch: the epoch of this granter's ownership of the fleet.
    """

    def __init__(self, *, epoch: int) -> None:
        self._epoch = epoch
        self._sequence = 0
        # What each pool may hold at most, by all that it may have received, by account.
        self._held_by_pool: dict[str, dict[str, Room]] = {}
        self._uses_by_pool: dict[str, dict[str, PoolUse]] = {}
        # The accounts of the last grants, those that were removed among them.
        self._granted_by_name: dict[str, Account] = {}

    def note(self, pool: str, uses_by_account: Mapping[str, PoolUse]) -> None:
        """Note what a pool's owner reports of its use, after it has applied the last grant."""
        self._uses_by_pool[pool] = dict(uses_by_account)
        self._held_by_pool[pool] = {a: use.held for a, use in uses_by_account.items()}

    def plan(self, pools: Iterable[str], accounts: Iterable[Account]) -> dict[str, Grant]:
        """Decide the grants to send to each pool.

        Nothing is raised before every pool has reported: one that hasn't may use any part of the
        limits, by the grants of a former granter.

        :param pools: all pools whose owners start tasks.
        :param accounts: the accounts with a limit.
        :return: grants by pool.
        """
        names = list(pools)
        self._sequence += 1
        number = GrantNumber(self._epoch, self._sequence)
        if any(pool not in self._uses_by_pool for pool in names):
            return {pool: Grant(number, None) for pool in names}
        by_pool: dict[str, dict[str, Allowance]] = {pool: {} for pool in names}
        for account in self._with_removed(accounts):
            for pool, allowance in self._share_out(account, names).items():
                by_pool[pool][account.name] = allowance
        return {pool: Grant(number, allowances) for pool, allowances in by_pool.items()}

    def _with_removed(self, accounts: Iterable[Account]) -> list[Account]:
        """Add the accounts that were removed and still use or wait for something."""
        busy = {
            name
            for uses in self._uses_by_pool.values()
            for name, use in uses.items()
            if any(use.used) or any(use.waiting)
        }
        removed = {name: a for name, a in self._granted_by_name.items() if name in busy}
        self._granted_by_name = removed | {account.name: account for account in accounts}
        return list(self._granted_by_name.values())

    def note_sent(self, pool: str, grant: Grant) -> None:
        """Note that a grant is being sent, which the pool may apply even if it doesn't answer."""
        held = self._held_by_pool.setdefault(pool, {})
        for account, allowance in (grant.allowances_by_account or {}).items():
            held[account] = held.get(account, NO_ROOM).larger(
                allowance.ceiling.plus(allowance.overrun)
            )

    def _share_out(self, account: Account, pools: list[str]) -> dict[str, Allowance]:
        """Share one account's limit among pools; each gets only what the others don't hold."""
        limit = account.limit
        uses = {pool: self._uses_by_pool[pool].get(account.name, PoolUse()) for pool in pools}
        held = {pool: self._held_by_pool[pool].get(account.name, NO_ROOM) for pool in pools}
        oversized_pool = _find_oversized(limit, uses)
        if oversized_pool is None:
            targets = _targets(limit, uses)
        else:
            # Other pools start nothing: beside a task that is larger than the limit, one that takes
            # the place of another would be a second one beyond it.
            targets = dict.fromkeys(pools, NO_ROOM)
            targets[oversized_pool] = uses[oversized_pool].used
        allowances: dict[str, Allowance] = {}
        for pool in sorted(pools, key=lambda name: uses[name].used):
            others = total(held[other] for other in pools if other != pool)
            ceiling = targets[pool].smaller(limit.minus(others).larger(NO_ROOM))
            overrun = NO_ROOM
            if pool == oversized_pool and fits(others, uses[pool].used, _half(limit), limit):
                # The others have to have confirmed that they start nothing.
                others_wait = all(
                    not any(uses[other].ceiling) and held[other] == uses[other].used
                    for other in pools
                    if other != pool
                )
                overrun = uses[pool].task if others_wait else NO_ROOM
            allowances[pool] = Allowance(ceiling, limit, overrun)
            held[pool] = held[pool].larger(ceiling.plus(overrun))
        return allowances


def _targets(limit: Room, uses: Mapping[str, PoolUse]) -> dict[str, Room]:
    """Return the allowance that each pool should get.

    First each pool keeps what it uses. Then the pools that wait get what they have to start at
    once, those that use least first: parts too small to start anything would be of no use to any
    pool. The rest goes to what waits besides, in proportion. What is left over is spread evenly, so
    that most tasks can start without waiting for a grant.
    """
    targets = {pool: use.used for pool, use in uses.items()}
    free = limit.minus(total(targets.values())).larger(NO_ROOM)
    by_use = sorted(uses, key=lambda name: uses[name].used)
    for pool in by_use:
        unit = uses[pool].unit
        if any(unit) and fits(NO_ROOM, unit, free, limit):
            free = free.minus(unit).larger(NO_ROOM)
            targets[pool] = targets[pool].plus(unit)
    wanted = {
        pool: use.used.plus(use.waiting).minus(targets[pool]).larger(NO_ROOM)
        for pool, use in uses.items()
    }
    all_wanted = total(wanted.values())
    spread = free.minus(all_wanted).larger(NO_ROOM)
    given = free.smaller(all_wanted)
    for pool, want in wanted.items():
        part = Room(*map(_proportion, want, given, all_wanted))
        even_part = Room(*(amount // len(uses) for amount in spread))
        targets[pool] = targets[pool].plus(part).plus(even_part)
    return targets


def _proportion(part: int, given: int, whole: int) -> int:
    return part * given // whole if whole else 0


def _find_oversized(limit: Room, uses: Mapping[str, PoolUse]) -> str | None:
    """Return the pool that may start one task beyond the limit.

    A task that was accepted under a higher limit may be larger than what the present one leaves
    while the account uses hardly anything. It would wait for ever; it is started as the only one
    beyond the limit, while the account uses less than half of it.
    """
    used = total(use.used for use in uses.values())
    if not fits(NO_ROOM, used, _half(limit), limit):
        return None
    left = limit.minus(used)
    for pool in sorted(uses):
        task = uses[pool].task
        if any(task) and not fits(NO_ROOM, task, left, limit):
            return pool
    return None


def _half(room: Room) -> Room:
    return Room(*(amount // 2 for amount in room))
