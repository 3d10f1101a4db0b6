"""Steps for jobs whose queue is removed from the configuration."""

import asyncio
from contextlib import ExitStack
from unittest import mock

import msgspec
from behave import then, when

from features.support.owner_jobs import START_S, job_id_of, log_lines
from mustardgap import job_request_handlers
from tools.owner_troubles import BY_NAME, TWO_STEPS
from tools.owner_worlds import play

# Long enough for the removal to be applied before the first run fails.
WORK_S = 4.0
ENDED_S = 40


async def fail_everywhere(world):
    """Have each executor fail its runs, also those that join the pool."""
    while True:
        for executor in world.fleet.by_address.values():
            executor.fails = True
        await asyncio.sleep(0.1)


def remove_queues(world):
    """Publish a configuration without any queue."""
    configuration = world.daemon("e1").operator.configuration
    without = configuration._replace(queues_by_name={}, version=configuration.version + 1)
    world.store.write_operator("config", msgspec.msgpack.encode(without))


def phase_of(world, job_id):
    """Return how a job stands at its owner; callers can't ask for it any more."""
    return world.dispatcher().jobs_by_id[job_id].phase.name.lower()


@when('{count:d} jobs that fail are accepted, and their queue is removed, with the fault "{name}"')
def remove_queue_of_failing(context, count, name):
    async def scene(world):
        await asyncio.sleep(START_S)
        failing = asyncio.ensure_future(fail_everywhere(world))
        for number in range(count):
            assert await world.submit_until_accepted(job_id_of(number), TWO_STEPS)
        await asyncio.sleep(1)
        remove_queues(world)
        await asyncio.sleep(1)
        await BY_NAME[name](world)
        await asyncio.sleep(ENDED_S)
        for number in range(count):
            context.states[job_id_of(number)] = phase_of(world, job_id_of(number))
        failing.cancel()

    context.world = play(scene, work_s=WORK_S, **context.options)


@when(
    "{count:d} jobs of a queue with a policy are accepted, their queue is removed, {known}, "
    'with the fault "{name}"'
)
def remove_queue_with_policy(context, count, known, name):
    encode = job_request_handlers.encode_job

    def encode_without_policy(stored):
        stored.advice = msgspec.UNSET
        return encode(stored)

    async def scene(world):
        await asyncio.sleep(START_S)
        for number in range(count):
            assert await world.submit_until_accepted(job_id_of(number), TWO_STEPS)
        await asyncio.sleep(0.3)
        if known.startswith("the policy"):
            queues = world._configuration.queues_by_name.items()
            without = {name: queue._replace(advice=None) for name, queue in queues}
            world._configuration = world._configuration._replace(queues_by_name=without)
            world.publish_configuration(2)
            await asyncio.sleep(0.5)
        remove_queues(world)
        await asyncio.sleep(0.1)
        await BY_NAME[name](world)
        await asyncio.sleep(ENDED_S)
        for number in range(count):
            context.states[job_id_of(number)] = phase_of(world, job_id_of(number))

    with ExitStack() as stack:
        if "former release" in known:
            patch = mock.patch.object(job_request_handlers, "encode_job", encode_without_policy)
            stack.enter_context(patch)
        context.world = play(scene, work_s=WORK_S, advised=True, **context.options)


@then("at most {count:d} starts were turned down for want of a ticket")
def few_without_ticket(context, count):
    lines = [line for line in log_lines(context.world) if line["event"] == "run.refused"]
    refused = [line for line in lines if line["why"] == "ticket"]
    assert len(refused) <= count, len(refused)
