"""Steps of a daemon that learns that the store has assigned its shards to others."""

import asyncio

from behave import then, when

from mustardgap.events import EventLog
from mustardgap.ports import Joined
from mustardgap.shard_owners import MEMBERSHIP_TTL_S, ShardOwners
from mustardgap.timers import Clock


class SetClock(Clock):
    """A clock that a test sets."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


class ReassigningStore:
    """Assigns all shards to one member, and later to others."""

    def __init__(self, shards):
        self.answer = Joined(generation=1, shards=frozenset(shards))

    async def join(self, **request):
        return self.answer

    async def owners(self):
        return {}


class AskingShard:
    """Notes as it ends whether its daemon is certain of its shards."""

    def __init__(self, owners, certain):
        self.ended = asyncio.Event()
        self._owners, self._certain = owners, certain

    async def run(self):
        try:
            await asyncio.Event().wait()
        finally:
            self._certain.append(self._owners.is_membership_valid())


@when("a daemon learns that its {count:d} shards were assigned to others while it couldn't renew")
def learn_reassignment(context, count):
    async def main():
        clock, store = SetClock(), ReassigningStore(range(1, count + 1))
        context.certain = []
        owners = ShardOwners(
            store=store,
            member="m",
            shards=count + 1,
            make=lambda shard, epoch: AskingShard(owners, context.certain),
            reach=None,
            clock=clock,
            events=EventLog(host="e1", clock=clock),
        )
        await owners._renew()
        await asyncio.sleep(0)
        assert owners.is_membership_valid()
        clock.now += 2 * MEMBERSHIP_TTL_S
        store.answer = Joined(generation=2, shards=frozenset())
        await owners._renew()

    asyncio.run(main())


@then("it wasn't certain of any of the {count:d} as it released them")
def check_uncertain(context, count):
    assert context.certain == [False] * count, context.certain
