"""Steps of a shard's failover partition: drawn plays, with a part of it broken too, and jobs."""

import asyncio
from unittest import mock

from behave import given, then, when

from features.support import failover_plays
from features.support.owner_jobs import START_S, job_id_of
from mustardgap import shard_logs
from mustardgap.ports import Record
from mustardgap.shard_owners import failover_partition
from tools.owner_troubles import TWO_STEPS, partition_of_pool
from tools.owner_worlds import play

# Plays that the mechanism has to stand, and among which each broken form has to be found out.
PLAYS = 400


def _skip_reading():
    async def read(self, newest):
        return None

    return mock.patch.object(shard_logs.ShardLog, "_read_failover", read)


def _skip_fence():
    fence = shard_logs.PartitionLog.fence

    async def only_primary(self):
        return True if self._failover else await fence(self)

    return mock.patch.object(shard_logs.PartitionLog, "fence", only_primary)


def _skip_versions():
    def plain(self, key, waiting):
        return Record(key, waiting.value)

    return mock.patch.object(shard_logs.ShardLog, "_versioned", plain)


def _skip_own_record():
    return mock.patch.object(
        shard_logs.ShardLog, "_can_divert", lambda self: not self._sealed and not self.fenced
    )


def _skip_seal():
    return mock.patch.object(shard_logs.ShardLog, "seal", lambda self: False)


def _clear_early():
    def all_of_them(self):
        return [] if self._primary.failing_since is not None else list(self._diverted_by_key)

    return mock.patch.object(shard_logs.ShardLog, "_settled_keys", all_of_them)


def _tell_not_stored():
    def plainly(tickets, stored):
        for ticket in tickets:
            ticket.resolve(stored)

    return mock.patch.object(shard_logs, "_resolve_all", plainly)


BREAK_BY_WORDS = {
    "reads the primary partition only": _skip_reading,
    "doesn't fence the failover partition": _skip_fence,
    "writes values without versions": _skip_versions,
    "diverts before its own record is stored": _skip_own_record,
    "diverts after its last record": _skip_seal,
    "clears what the primary partition hasn't got": _clear_early,
    "is told of a diverted record that it isn't stored": _tell_not_stored,
}


def _first_broken(plays):
    return next((found for seed in range(plays) if (found := failover_plays.play(seed))), [])


@then("no drawn play of owners and two failing partitions loses, mixes or invents a value")
def plays_hold(context):
    assert not (found := _first_broken(PLAYS)), found


@then("some play finds out an owner that {words}")
def play_finds(context, words):
    with BREAK_BY_WORDS[words]():
        assert _first_broken(PLAYS), "no play broke a promise"


@then("of {shards:d} shards each has a failover partition of its own, away from its primary one")
def partitions_apart(context, shards):
    places = [failover_partition(shard, shards) for shard in range(shards)]
    assert sorted(places) == list(range(shards)), places
    apart = [min((a - b) % shards, (b - a) % shards) for a, b in enumerate(places)]
    assert min(apart) == shards // 2, apart


@given("the store turns the partition of the pool's queues away")
def partition_away(context):
    context.away = {partition_of_pool(failover=False)}


@given("the store turns both partitions of the pool's queues away")
def partitions_away(context):
    context.away = {partition_of_pool(failover=False), partition_of_pool(failover=True)}


@when("{count:d} short jobs are handed in while that lasts for {seconds:d} s")
def handed_in_while_away(context, count, seconds):
    async def scene(world):
        await asyncio.sleep(START_S)
        world.store.away = set(context.away)
        host = world.names[0]
        # An outage shows by the records that are put.
        await world.submit(job_id_of(0), TWO_STEPS, host)
        await asyncio.sleep(0.5)
        replies = await asyncio.gather(
            *(world.submit(job_id_of(number), TWO_STEPS, host) for number in range(1, count + 1))
        )
        context.codes = [reply.code.http_status for reply in replies]
        await asyncio.sleep(seconds)
        context.states_in_time = [
            await world.state(job_id_of(n), host) for n in range(1, count + 1)
        ]
        world.store.away = set()
        await asyncio.sleep(5)
        world.kill(world.owner())
        context.states_after = [
            await world.final_state(job_id_of(n), 10.0) for n in range(1, count + 1)
        ]

    context.world = play(scene, **context.options)


@then("all are accepted, and shown as completed before the partition is back")
def accepted_and_done(context):
    assert set(context.codes) == {200}, context.codes
    assert set(context.states_in_time) == {"completed"}, context.states_in_time


@then("all are refused as not run")
def all_refused(context):
    assert set(context.codes) == {503}, context.codes


@then("the next owner knows them all as completed")
def known_after(context):
    assert set(context.states_after) == {"completed"}, context.states_after
