"""Steps of small hosts that stand by, on virtual time."""

import asyncio

from behave import then, when

from features.support.owner_jobs import START_S, run_jobs
from mustardgap.standbys import is_small
from tools.owner_worlds import play

LARGE = ("e1", "e2")
# A host that is killed is back after this, and settled after the other.
BACK_S, SETTLED_S = 8.0, 14.0
KILLED_BY_TROUBLE = {
    "none": (),
    "a large host is killed": LARGE[:1],
    "large hosts are killed": LARGE,
    "large hosts are killed and come back": LARGE,
    "all hosts are killed and come back": (*LARGE, "e3", "e4"),
}


def owners(world):
    """What kinds of hosts own shards now."""
    names = {
        daemon.name for daemon in world.daemons_by_address.values() if daemon.owners.owned_by_shard
    }
    return ", ".join(kind for kind, own in (("large", names - world.small),
                                            ("small", names & world.small)) if own)  # fmt: skip


@when('{count:d} jobs are handed in to hosts of which {small} are small, with the trouble "{name}"')
def jobs_with_small_hosts(context, count, small, name):
    async def scene(world):
        await asyncio.sleep(START_S)
        work = asyncio.ensure_future(run_jobs(world, context.states, count))
        context.owners = [owners(world)]
        for host in KILLED_BY_TROUBLE[name]:
            world.kill(host)
        await asyncio.sleep(BACK_S)
        if name.endswith("come back"):
            if "all" not in name:
                context.owners.append(owners(world))
            for host in KILLED_BY_TROUBLE[name]:
                world.start(host)
        await asyncio.sleep(SETTLED_S)
        context.owners.append(owners(world))
        await work

    context.world = play(scene, daemons=4, small=small.split(", "), **context.options)


@when("{count:d} jobs are handed in while the links of the small hosts {small} are full")
def jobs_with_full_links(context, count, small):
    names = small.split(", ")

    async def scene(world):
        await asyncio.sleep(START_S)
        for name in names:
            world.fill_link(name)
        await run_jobs(world, context.states, count)
        await asyncio.sleep(SETTLED_S)
        context.joined = [name for name in world.store.members_by_name if is_small(name)]

    context.world = play(scene, daemons=4, small=names, **context.options)


@when("{count:d} jobs are handed in to {hosts:d} small hosts")
def jobs_to_small_hosts(context, count, hosts):
    async def scene(world):
        await asyncio.sleep(START_S)
        await run_jobs(world, context.states, count)

    names = [f"e{number}" for number in range(1, hosts + 1)]
    context.world = play(scene, daemons=hosts, small=names, **context.options)


@then("shards were owned by {kinds}")
def owned_by(context, kinds):
    seen = [kind for n, kind in enumerate(context.owners) if kind != context.owners[n - 1] or not n]
    assert seen == kinds.split(", "), context.owners


@then("no small host has joined the owners")
def none_joined(context):
    assert not context.joined, context.joined
