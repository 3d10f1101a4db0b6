"""Steps for small hosts that stand by, on virtual time."""

import asyncio

from behave import then, when

from features.support.owner_jobs import START_S, run_jobs
from mustardgap.standbys import is_small
from tools.owner_worlds import play

LARGE = ("e1", "e2")
# Killed hosts are restarted after the first delay. By the end of the second, ownership has settled.
RESTART_DELAY_S, SETTLING_TIME_S = 8.0, 14.0
KILLED_HOSTS_BY_FAULT = {
    "none": (),
    "a large host is killed": LARGE[:1],
    "large hosts are killed": LARGE,
    "large hosts are killed and come back": LARGE,
    "all hosts are killed and come back": (*LARGE, "e3", "e4"),
}


def owner_kinds(world):
    """Return the kinds of hosts that own shards now, as text."""
    names = {
        daemon.name for daemon in world.daemons_by_address.values() if daemon.owners.owned_by_shard
    }
    return ", ".join(kind for kind, own in (("large", names - world.small),
                                            ("small", names & world.small)) if own)  # fmt: skip


@when('{count:d} jobs are submitted to hosts of which {small} are small, with the fault "{fault}"')
def jobs_with_small_hosts(context, count, small, fault):
    async def run_scenario(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, count))
        context.owner_kinds = [owner_kinds(world)]
        for host in KILLED_HOSTS_BY_FAULT[fault]:
            world.kill(host)
        await asyncio.sleep(RESTART_DELAY_S)
        if fault.endswith("come back"):
            if "all" not in fault:
                context.owner_kinds.append(owner_kinds(world))
            for host in KILLED_HOSTS_BY_FAULT[fault]:
                world.start(host)
        await asyncio.sleep(SETTLING_TIME_S)
        context.owner_kinds.append(owner_kinds(world))
        await work

    context.world = play(run_scenario, daemons=4, small=small.split(", "), **context.options)


@when("{count:d} jobs are submitted while the links of the small hosts {small} are full")
def jobs_with_full_links(context, count, small):
    names = small.split(", ")

    async def run_scenario(world):
        await asyncio.sleep(START_S)
        for name in names:
            world.fill_link(name)
        await run_jobs(world, context.states, count)
        await asyncio.sleep(SETTLING_TIME_S)
        context.small_members = [name for name in world.store.members_by_name if is_small(name)]

    context.world = play(run_scenario, daemons=4, small=names, **context.options)


@when("{count:d} jobs are submitted to {hosts:d} small hosts")
def jobs_to_small_hosts(context, count, hosts):
    async def run_scenario(world):
        await asyncio.sleep(START_S)
        await run_jobs(world, context.states, count)

    names = [f"e{number}" for number in range(1, hosts + 1)]
    context.world = play(run_scenario, daemons=hosts, small=names, **context.options)


@then("shards were owned by {kinds}")
def check_owner_kinds(context, kinds):
    seen = [
        kind
        for n, kind in enumerate(context.owner_kinds)
        if kind != context.owner_kinds[n - 1] or not n
    ]
    assert seen == kinds.split(", "), context.owner_kinds


@then("no small host has joined the owners")
def check_no_small_members(context):
    assert not context.small_members, context.small_members
