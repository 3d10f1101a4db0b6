"""Functions shared by the steps of actors and of jobs."""

import json
from urllib.request import Request, urlopen

HOST = "r1-w1"


def owner(world, key=f"host/{HOST}"):
    """Return the daemon that ranks first for a key."""
    daemon = next(iter(world.daemons_by_name.values()))
    return world.daemons_by_name[daemon.ranked(key)[0]]


async def until(world, condition, limit_s=150):
    """Let time pass until a condition holds."""
    for _ in range(limit_s * 2):
        if condition():
            return
        await world.pass_time(0.5)
    raise AssertionError("not in time")


def write_host(world, phase, name=HOST, pool=None, reason="operator"):
    """Write a host record as an operator does."""
    host = world.host(name)
    pool = host["pool"] if pool is None else pool
    body = {"host": name, "base": host["epoch"], "phase": phase, "pool": pool, "reason": reason}
    return world.journal.write("host", body)


def call(context, method, path, body=None, entry="e2"):
    """Call the operators' interface of a daemon."""
    url = f"http://{context.cluster.daemons_by_name[entry].operators}{path}"
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json"}
    with urlopen(Request(url, data=data, method=method, headers=headers), timeout=20) as resp:
        return json.loads(resp.read())
