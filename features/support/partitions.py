"""Partitions and takeovers in an owner world."""

from features.support.owner_jobs import until
from tools.owner_daemons import SERVICE
from tools.owner_troubles import cut_off


def executors_of_pool(world):
    """Return the pool's executors."""
    return [e for e in world.fleet.by_address.values() if e.entry.service == SERVICE]


def cut_off_together(world, host, executor):
    """Cut a daemon and an executor off from the store, the other daemons and executors.

    :param executor: the executor's id.
    """
    return cut_off(world, host, [executor])


async def next_owner(world, former):
    """Wait until another host than the former one is the last to own the pool's queues.

    :return: its name.
    """
    assert await until(lambda: world.owner() not in (None, former)), "nobody else owns the queues"
    return world.owner()


def idle_executor(world):
    """Return the id of an executor of the pool that has run nothing."""
    used = {run.executor for run in world.fleet.record.runs}
    return next(e.entry.executor for e in executors_of_pool(world) if e.entry.executor not in used)
