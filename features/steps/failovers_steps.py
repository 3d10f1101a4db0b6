"""Steps for failover partitions: random simulations, also with injected faults, and jobs."""

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

# Random simulations that must pass, and of which at least one must detect each injected fault.
SIMULATION_COUNT = 400


def _skip_reading():
    async def read_nothing(self, newest):
        return None

    return mock.patch.object(shard_logs.ShardLog, "_read_failover", read_nothing)


def _skip_fence():
    fence = shard_logs.PartitionLog.fence

    async def only_primary(self):
        return True if self._failover else await fence(self)

    return mock.patch.object(shard_logs.PartitionLog, "fence", only_primary)


def _skip_versions():
    def unversioned(self, key, write):
        return Record(key, write.value)

    return mock.patch.object(shard_logs.ShardLog, "_to_versioned_record", unversioned)


def _skip_owner_record():
    return mock.patch.object(
        shard_logs.ShardLog,
        "_can_divert",
        lambda self: not self._diverting_stopped and not self.fenced,
    )


def _keep_diverting():
    return mock.patch.object(shard_logs.ShardLog, "stop_diverting", lambda self: False)


def _clear_too_early():
    def all_diverted(self):
        return [] if self._primary.failing_since is not None else list(self._diverted_by_key)

    return mock.patch.object(shard_logs.ShardLog, "_clearable_keys", all_diverted)


def _report_not_stored():
    def resolve_without_diverted(tickets, stored):
        for ticket in tickets:
            ticket.resolve(stored)

    return mock.patch.object(shard_logs, "_resolve_all", resolve_without_diverted)


BREAK_BY_DESCRIPTION = {
    "reads the primary partition only": _skip_reading,
    "doesn't fence the failover partition": _skip_fence,
    "writes values without versions": _skip_versions,
    "diverts before its owner record is stored": _skip_owner_record,
    "diverts after its last owner record": _keep_diverting,
    "clears keys that the primary partition lacks": _clear_too_early,
    "reports a diverted record as not stored": _report_not_stored,
}


def _first_problems(count):
    return next((found for seed in range(count) if (found := failover_plays.simulate(seed))), [])


@then("no random simulation of owners and two failing partitions loses, mixes or invents a value")
def simulations_pass(context):
    assert not (found := _first_problems(SIMULATION_COUNT)), found


@then("a simulation detects an owner that {fault}")
def simulation_detects(context, fault):
    with BREAK_BY_DESCRIPTION[fault]():
        assert _first_problems(SIMULATION_COUNT), "no simulation detected the fault"


@then(
    "each of {shards:d} shards has a failover partition of its own, far from its primary partition"
)
def partitions_apart(context, shards):
    partitions = [failover_partition(shard, shards) for shard in range(shards)]
    assert sorted(partitions) == list(range(shards)), partitions
    distances = [min((a - b) % shards, (b - a) % shards) for a, b in enumerate(partitions)]
    assert min(distances) == shards // 2, distances


@given("the store rejects requests for the primary partition of the pool's queues")
def reject_primary(context):
    context.partitions_away = {partition_of_pool(failover=False)}


@given("the store rejects requests for both partitions of the pool's queues")
def reject_both(context):
    context.partitions_away = {partition_of_pool(failover=False), partition_of_pool(failover=True)}


@when("{count:d} short jobs are submitted, and the store recovers {seconds:d} s later")
def submit_during_outage(context, count, seconds):
    async def scene(world):
        await asyncio.sleep(START_S)
        world.store.away = set(context.partitions_away)
        host = world.names[0]
        # The owner notices an outage only when it writes a record.
        await world.submit(job_id_of(0), TWO_STEPS, host)
        await asyncio.sleep(0.5)
        replies = await asyncio.gather(
            *(world.submit(job_id_of(number), TWO_STEPS, host) for number in range(1, count + 1))
        )
        context.codes = [reply.code.http_status for reply in replies]
        await asyncio.sleep(seconds)
        context.states_during_outage = [
            await world.state(job_id_of(n), host) for n in range(1, count + 1)
        ]
        world.store.away = set()
        await asyncio.sleep(5)
        world.kill(world.owner())
        context.states_after_takeover = [
            await world.final_state(job_id_of(n), 10.0) for n in range(1, count + 1)
        ]

    context.world = play(scene, **context.options)


@then("all are accepted, and shown as completed before the store recovers")
def accepted_and_completed(context):
    assert set(context.codes) == {200}, context.codes
    assert set(context.states_during_outage) == {"completed"}, context.states_during_outage


@then("all are refused as not run")
def all_refused(context):
    assert set(context.codes) == {503}, context.codes


@then("the next owner shows all of them as completed")
def all_completed(context):
    assert set(context.states_after_takeover) == {"completed"}, context.states_after_takeover
