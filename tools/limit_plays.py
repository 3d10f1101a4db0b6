"""Drawn plays of several owners that share the limit of one client account, without network.

Owners of pools start waiting tasks of the account by what they know. Messages take time, are lost
or overtake each other; owners are replaced, while the former one goes on for a moment; limits
change and are learned at different times. Three ways to keep the limit are compared: allowances
from one granter, even parts, and sums that owners tell each other.

``python -m tools.limit_plays --plays 10000`` prints what each way exceeded, wasted and sent.
"""

import random
from collections.abc import Callable, Iterator
from functools import partial
from typing import NamedTuple, Protocol

import click

from mustardgap.accounts import Account
from mustardgap.accounts.allowances import (
    AllowanceGranter,
    Grant,
    PoolAllowances,
    PoolUse,
)
from mustardgap.resources import Room

ACCOUNT = "joiners"
POOLS = tuple("abcd")
TICK_S = 0.05
LENGTH_S = 20.0
ROUND_TICKS = 4
# A version of the limit is known everywhere after this.
LEARNED_S = 2.0
# For so long a replaced owner goes on, and its successor doesn't know what runs.
AUDIT_S = 1.5


class PlayResult(NamedTuple):
    """What one play, or the sum of many, came to.

    ``broken`` counts the starts beyond the limit and one task more, ``excess`` is the largest share
    of the limit beyond it. ``unused`` is the part of the limit that was free while a task waited
    that would have fitted, as a share of the time and limit while any waited.
    """

    broken: int
    excess: float
    unused: float
    messages: int


class Running(NamedTuple):
    """A task at work."""

    ends_at: float
    cpu: int


class Pool:
    """A pool with its owner's knowledge of the account.

    :param name: the pool's name.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.running: list[Running] = []
        self.waiting: list[int] = []
        # What the predecessor may have started, until it is known what runs.
        self.inherited: list[int] = []
        self.audited_at = 0.0
        self.allowances = PoolAllowances()
        self.former: PoolAllowances | None = None
        self.limit_known = 0
        self.limits_known = 0

    def used(self) -> int:
        """An upper bound of what runs."""
        return sum(task.cpu for task in self.running) + sum(self.inherited)

    def use(self) -> PoolUse:
        """What the owner reports."""
        ceiling = self.allowances.granted(ACCOUNT)
        largest = Room(max(self.waiting, default=0))
        waiting = Room(sum(self.waiting))
        return PoolUse(Room(self.used()), ceiling, waiting, largest, largest)

    def replace_owner(self, now: float) -> None:
        """Let another owner take over, while the former one goes on for a moment."""
        self.inherited += self.waiting
        self.waiting = []
        self.former = self.allowances
        self.allowances = PoolAllowances()
        self.audited_at = now + AUDIT_S
        self.limits_known = 0

    def audit(self, now: float) -> None:
        """Learn what the predecessor has started."""
        if self.inherited and now >= self.audited_at:
            self.waiting = self.inherited + self.waiting
            self.inherited, self.former = [], None


class Way(Protocol):
    """A way to keep the limit."""

    messages: int

    def may_start(self, pool: Pool, cpu: int) -> bool:
        """Whether a pool's owner may start a task."""

    def tick(self, play: "Play") -> None:
        """Exchange messages."""

    def on_replaced(self, pool: Pool) -> None:
        """Forget what the pool's former owner knew."""


class Granting:
    """Allowances from one granter."""

    def __init__(self) -> None:
        self.messages = 0
        self.epoch = 1
        self.granter = AllowanceGranter(epoch=self.epoch)
        self._calls_by_pool: dict[str, int] = {}

    def may_start(self, pool: Pool, cpu: int) -> bool:
        limit = Room(pool.limit_known)
        return pool.allowances.may_start(ACCOUNT, Room(pool.used()), Room(cpu), limit)

    def tick(self, play: "Play") -> None:
        if play.random.random() < 0.01:
            self.epoch += 1
            self.granter = AllowanceGranter(epoch=self.epoch)
            self._calls_by_pool.clear()
        if play.ticks % ROUND_TICKS:
            return
        account = Account(ACCOUNT, 1.0, Room(play.limit_of(play.random.random() * LEARNED_S)))
        grants = self.granter.plan(POOLS, [account])
        for pool in play.pools:
            grant = grants[pool.name]
            self.granter.note_sent(pool.name, grant)
            self.messages += 2
            self._calls_by_pool[pool.name] = play.ticks
            play.send(partial(self._deliver, play, pool, grant, play.ticks))

    def _deliver(self, play: "Play", pool: Pool, grant: Grant, sent_tick: int) -> None:
        pool.allowances.apply(grant)
        use = pool.use()
        # A reply that comes after the next call was made belongs to no call any more.
        if self._calls_by_pool.get(pool.name) == sent_tick and play.random.random() > play.loss:
            self.granter.note(pool.name, {ACCOUNT: use})

    def on_replaced(self, pool: Pool) -> None:
        pass


class EvenParts:
    """Each pool has the same part of the limit for itself."""

    def __init__(self) -> None:
        self.messages = 0

    def may_start(self, pool: Pool, cpu: int) -> bool:
        return pool.used() + cpu <= pool.limit_known // len(POOLS)

    def tick(self, play: "Play") -> None:
        pass

    def on_replaced(self, pool: Pool) -> None:
        pass


class ToldSums:
    """Each owner tells the others what it uses, ten times a second."""

    def __init__(self) -> None:
        self.messages = 0
        self.told: dict[str, dict[str, int]] = {pool: {} for pool in POOLS}

    def may_start(self, pool: Pool, cpu: int) -> bool:
        others = self.told[pool.name]
        if len(others) < len(POOLS) - 1:
            return False
        return pool.used() + sum(others.values()) + cpu <= pool.limit_known

    def tick(self, play: "Play") -> None:
        if play.ticks % 2:
            return
        for pool in play.pools:
            for other in POOLS:
                if other != pool.name:
                    self.messages += 1
                    play.send(partial(self.told[other].update, {pool.name: pool.used()}))

    def on_replaced(self, pool: Pool) -> None:
        self.told[pool.name].clear()


WAYS: dict[str, Callable[[], Way]] = {
    "granting": Granting,
    "even parts": EvenParts,
    "told sums": ToldSums,
}


class Play:
    """One drawn play.

    :param seed: draws everything.
    :param way: how the owners keep the limit.
    """

    def __init__(self, *, seed: int, way: Way) -> None:
        self.random = random.Random(seed)
        self.way = way
        self.pools = [Pool(name=name) for name in POOLS]
        self.ticks = 0
        self.loss = self.random.choice((0.0, 0.1, 0.4))
        self.limits = [(-LEARNED_S, self.random.randint(20, 200))]
        self._mail: list[tuple[float, Callable[[], object]]] = []
        self._broken = 0
        self._excess = 0.0
        self._unused = self._contended = 0.0
        self._largest = self.limits[0][1] // 4 + 1

    @property
    def now(self) -> float:
        """Seconds since the play began."""
        return self.ticks * TICK_S

    def limit_of(self, age_s: float) -> int:
        """The limit that one knows who learned of versions so late."""
        known = [limit for at, limit in self.limits if at <= self.now - age_s]
        return known[-1]

    def send(self, deliver: Callable[[], object]) -> None:
        """Send a message, which may take long or be lost."""
        if self.random.random() < self.loss:
            return
        delay_s = self.random.choice((0.0, 0.0, 0.05, 0.1, 0.35))
        self._mail.append((self.now + delay_s, deliver))

    def run(self) -> PlayResult:
        """Play to the end."""
        while self.now < LENGTH_S:
            self.ticks += 1
            self._befall()
            due = [deliver for at, deliver in self._mail if at <= self.now]
            self._mail = [(at, deliver) for at, deliver in self._mail if at > self.now]
            for deliver in due:
                deliver()
            self.way.tick(self)
            for pool in self.pools:
                self._work(pool)
            self._measure()
        unused = self._unused / self._contended if self._contended else 0.0
        return PlayResult(self._broken, self._excess, unused, self.way.messages)

    def _befall(self) -> None:
        if self.random.random() < 0.01:
            self.limits.append((self.now, self.random.randint(10, 200)))
        for pool in self.pools:
            self._learn(pool)
            rate = 0.9 if (self.now // 5) % len(POOLS) == POOLS.index(pool.name) else 0.1
            if self.random.random() < rate:
                pool.waiting.append(self.random.randint(1, self._largest))
            if self.random.random() < 0.004:
                pool.replace_owner(self.now)
                self.way.on_replaced(pool)

    def _learn(self, pool: Pool) -> None:
        """Let a pool's owner learn of a version at some time; it doesn't go back to older ones."""
        age_s = self.random.random() * LEARNED_S
        known = sum(at <= self.now - age_s for at, _ in self.limits)
        pool.limits_known = max(pool.limits_known, known)
        pool.limit_known = self.limits[pool.limits_known - 1][1]

    def _work(self, pool: Pool) -> None:
        pool.running = [task for task in pool.running if task.ends_at > self.now]
        pool.audit(self.now)
        if pool.former is not None and pool.inherited:
            self._start_by_former(pool)
        for cpu in list(pool.waiting):
            if self.way.may_start(pool, cpu):
                pool.waiting.remove(cpu)
                self._start(pool, cpu)

    def _start_by_former(self, pool: Pool) -> None:
        """Let the replaced owner start what it knows of, as it would have."""
        assert pool.former is not None
        ran = Room(sum(task.cpu for task in pool.running))
        cpu = pool.inherited[0]
        if pool.former.may_start(ACCOUNT, ran, Room(cpu), Room(pool.limit_known)):
            pool.inherited.pop(0)
            self._start(pool, cpu)

    def _start(self, pool: Pool, cpu: int) -> None:
        pool.running.append(Running(self.now + self.random.uniform(0.3, 3.0), cpu))
        total = self._total()
        limit = max(limit for at, limit in self._limits_in_force())
        self._excess = max(self._excess, total / limit - 1)
        self._broken += total > limit + cpu

    def _limits_in_force(self) -> Iterator[tuple[float, int]]:
        for place, (at, limit) in enumerate(self.limits):
            later = self.limits[place + 1 :]
            if not later or later[0][0] > self.now - LEARNED_S:
                yield at, limit

    def _total(self) -> int:
        return sum(task.cpu for pool in self.pools for task in pool.running)

    def _measure(self) -> None:
        limit = self.limit_of(LEARNED_S)
        smallest = min((cpu for pool in self.pools for cpu in pool.waiting), default=None)
        if smallest is None:
            return
        self._contended += limit
        free = limit - self._total()
        if free >= smallest:
            self._unused += free


def play(way: str, seed: int) -> PlayResult:
    """Play one seed.

    :param way: a name of ``WAYS``.
    """
    return Play(seed=seed, way=WAYS[way]()).run()


def sum_up(results: list[PlayResult]) -> PlayResult:
    """The sum of the broken starts and messages, the largest excess, and the mean unused part."""
    return PlayResult(
        sum(result.broken for result in results),
        max(result.excess for result in results),
        sum(result.unused for result in results) / len(results),
        sum(result.messages for result in results),
    )


@click.command()
@click.option("--plays", default=1000, show_default=True, help="How many plays of each way.")
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--way", "ways", multiple=True, type=click.Choice(list(WAYS)), help="Only this one.")
def main(plays: int, seed: int, ways: tuple[str, ...]) -> None:
    """Compare the ways to keep an account's limit."""
    for way in ways or WAYS:
        total = sum_up([play(way, number) for number in range(seed, seed + plays)])
        per_s = total.messages / (plays * LENGTH_S)
        click.echo(
            f"{way}: seeds {seed} to {seed + plays - 1}: {total.broken} broken,"
            f" largest excess {total.excess:.2f}, unused while waiting {total.unused:.3f},"
            f" {per_s:.0f} messages a second"
        )


if __name__ == "__main__":
    main()
