"""Steps about hosts that are new, leave on short notice, or return after being replaced."""

import asyncio

from behave import then, when

from features.support.actor_steps import call, until, write_host

LEAVING = "r0-w0"
MAINTAINED = "r1-w0"
NEW = "r9-w9"


def host_records(world):
    """Return the host records written so far, in order."""
    records = [world.journal.read(n).value for n in range(len(world.journal.values))]
    return [r["body"] for r in records if r["kind"] == "host"]


@when("actors are told that r0-w0 is leaving while its service has no margin")
def step_leaving(context):
    world = context.world

    async def run():
        world.platform.power("r2-w0", False)
        await until(world, lambda: world.host("r2-w0")["phase"] == "failed")
        await world.pass_time(6)
        context.before = len(host_records(world))
        for daemon in world.daemons_by_name.values():
            daemon.actors.leaving_workers({LEAVING})
        await until(world, lambda: world.platform.workers_by_id[LEAVING]["state"] == "drained", 60)

    asyncio.run(run())


@then("actors have brought its replacement into service before they emptied it")
def step_replaced(context):
    steps = [(r["phase"], r["pool"]) for r in host_records(context.world)[context.before :]]
    assert steps[:2] == [("in_service", "a"), ("draining", "a")], steps
    assert context.world.host(LEAVING)["phase"] in ("draining", "drained")


@when("actors maintain r1-w0 and its place in the pool is filled meanwhile")
def step_filled(context):
    world = context.world

    async def run():
        world.journal.write(
            "wave", {"wave": "w", "base": 0, "step": "start", "hosts": [MAINTAINED]}
        )
        await until(world, lambda: world.platform.workers_by_id[MAINTAINED]["state"] == "drained")
        world.platform.stuck.add(MAINTAINED)
        await until(world, lambda: world.host(MAINTAINED)["phase"] == "rebooting")
        for name in ("r0-w3", "r1-w3"):
            write_host(world, "in_service", name, pool="a")
        world.platform.stuck.clear()
        await world.pass_time(90)

    asyncio.run(run())


@then("actors have kept r1-w0 as a free host and the wave has ended")
def step_free(context):
    world = context.world
    host = world.host(MAINTAINED)
    assert (host["phase"], host["pool"], host["wave"]) == ("in_service", "", ""), host
    freed = [r for r in host_records(world) if r["host"] == MAINTAINED and r["phase"] == "drained"][
        -1
    ]
    assert freed["reason"].startswith("plan: "), freed
    assert world.journal.state.waves_by_name["w"]["phase"] == "finished"
    assert set(world.platform.reboots.values()) == {1}, world.platform.reboots


@when('actors see a new worker that is {state} in pool "{pool}"')
@when('actors see a new worker that is {state} in pool ""')
def step_new(context, state, pool=""):
    world = context.world

    async def run():
        for name in ("r0-w3", "r1-w3", "r2-w3"):
            write_host(world, "set_aside", name)
        worker = {**world.platform.workers_by_id["r0-w3"], "worker": NEW, "rack": "r9"}
        world.platform.workers_by_id[NEW] = {**worker, "state": state, "pool": pool}
        await until(world, lambda: NEW in world.journal.state.hosts_by_name)
        for name in ("r1-w0", "r2-w0"):
            world.platform.power(name, False)
        await world.pass_time(40)

    asyncio.run(run())


@then("actors have assigned it to the service when the service lacks a host")
def step_used(context):
    host, worker = context.world.host(NEW), context.world.platform.workers_by_id[NEW]
    assert (host["phase"], host["pool"]) == ("in_service", "a"), host
    assert (worker["state"], worker["pool"]) == ("up", "a"), worker


@when("actor processes read on the host list that r1-w1 is leaving")
def step_processes_leaving(context):
    context.cluster.platform.fault("host_leaving", on="r1-w1")

    def is_emptied():
        return call(context, "GET", "/v1/hosts")["items"]["r1-w1"]["phase"] == "drained"

    context.cluster.wait("the leaving host to be emptied", is_emptied, timeout_s=60)


@then("actor processes have emptied it alone")
def step_processes_emptied(context):
    truth = context.cluster.platform.truth()
    drained = {o["worker"] for o in truth["operations"].values() if o["kind"] == "drain"}
    assert drained == {"r1-w1"}, truth["operations"]
    assert not truth["cuts"], truth["cuts"]
