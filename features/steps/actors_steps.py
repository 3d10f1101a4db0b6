"""Steps that run actors with faults."""

import asyncio
import signal
import time
from unittest import mock

from absl import logging
from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from features.support.actor_machine import SETTINGS, ActorMachine
from features.support.actor_steps import HOST, call, owner, until, write_host
from features.support.cancelled_parts import EndedOnce
from tools.actor_worlds import WORKERS, World, declare
from tools.clusters import Cluster

FLEET = {
    "worker": {"cores": 8, "memory_gb": 16},
    "services_by_pool": {"a": "x"},
    "data_centers": [
        {
            "data_center": "d",
            "racks": [
                {"rack": f"r{r}", "workers": [{"worker": f"r{r}-w{i}", "pool": "a"} for i in "12"]}
                for r in range(4)
            ],
        }
    ],
}


def phase(world, name=HOST):
    """Return a host's phase on the log."""
    return world.host(name)["phase"]


def is_maintained(world):
    """Return whether the host was rebooted and is in service on the log and the platform."""
    worker = world.platform.workers_by_id[HOST]
    return worker["boot"] > 1 and worker["state"] == "up" and phase(world) == "in_service"


async def inject_owner_fault(world, what, when_phase):
    """Kill or freeze the owner, or cut the log or the power, when the host reaches a phase."""
    await until(world, lambda: phase(world) == when_phase)
    if what == "owner killed":
        name = owner(world).name
        world.daemons_by_name.pop(name).actors.close()
    elif what == "owner frozen":
        frozen = owner(world)
        frozen.freeze()
        await world.pass_time(25)
        await frozen.thaw()
    elif what == "log down":
        world.journal.is_down = True
        await world.pass_time(20)
        world.journal.is_down = False
    elif what == "power lost":
        world.platform.power(HOST, False)
        await world.pass_time(2)
        world.platform.power(HOST, True)


@given("actors of two daemons on a fake platform")
def step_given_world(context):
    context.world = World(WORKERS)
    declare(context.world)
    asyncio.run(context.world.pass_time(4))


def start_wave(world):
    """Start a wave of the one host."""
    body = {"wave": "w", "base": 0, "step": "start", "hosts": [HOST]}
    world.journal.write("wave", body)


@when('actors maintain r1-w1 with the fault "{fault}"')
def step_maintain(context, fault):
    world = context.world
    daemons = world.daemons_by_name.values()

    async def run():
        world.submit("long", run_s=8.0, profile="hard", cores=4.0)
        await world.pass_time(12)
        start_wave(world)
        for daemon in daemons:
            if fault == "answers lost after their effect":
                daemon.link.lose = 6
            elif fault == "calls that take effect later":
                daemon.link.delay = 4
            elif fault == "both daemons act at once":
                daemon.ranked_names = [daemon.name]
        if fault == "owner sees no change of the platform":
            owner(world).workers.poll = lambda: asyncio.sleep(0)
        what, _, when_phase = fault.partition(" while ")
        if when_phase:
            await inject_owner_fault(world, what, when_phase)
        for _ in range(40):
            await world.pass_time(4)
            for daemon in world.daemons_by_name.values():
                daemon.link.deliver()
            if is_maintained(world):
                break

    asyncio.run(run())


@when("actors maintain r1-w1 and an await of one step of each daemon is cancelled")
def step_cancelled(context):
    world = context.world

    async def run():
        start_wave(world)
        for daemon in world.daemons_by_name.values():
            daemon.log.link = EndedOnce(daemon.link, "run", only=lambda name, *_: name == "append")
        await until(world, lambda: is_maintained(world))

    with mock.patch.object(logging, "exception") as lines:
        asyncio.run(run())
    context.lines = lines.call_args_list
    context.cancelled = sum(d.log.link.count for d in world.daemons_by_name.values())


@then("actors have logged each step that was cancelled")
def step_lines(context):
    assert context.cancelled, "no step was cancelled"
    assert len(context.lines) == context.cancelled, (context.lines, context.cancelled)


@when("actors drain r1-w1, undrain it with a late call, and maintain it")
def step_late_undrain(context):
    world, platform = context.world, context.world.platform

    async def run():
        write_host(world, "draining")
        await until(world, lambda: platform.workers_by_id[HOST]["state"] == "drained")
        await until(world, lambda: phase(world) == "drained")
        write_host(world, "in_service")
        for daemon in world.daemons_by_name.values():
            daemon.link.delay = 1
        await until(world, lambda: any(d.link.late for d in world.daemons_by_name.values()), 20)
        write_host(world, "draining")
        start_reboot = platform.operate

        def operate(worker, **kwargs):
            if kwargs["kind"] == "reboot":
                for daemon in world.daemons_by_name.values():
                    daemon.link.deliver()
            return start_reboot(worker, **kwargs)

        platform.operate = operate
        await until(world, lambda: phase(world) == "drained")
        write_host(world, "rebooting")
        await until(world, lambda: is_maintained(world))

    asyncio.run(run())


@then("actors have rebooted r1-w1 once, empty, and it is in service again")
def step_rebooted_once(context):
    world = context.world
    assert is_maintained(world), (world.host(HOST), world.platform.workers_by_id[HOST])
    assert [k[0] for k in world.platform.reboots] == [HOST], world.platform.reboots
    assert set(world.platform.reboots.values()) == {1}, world.platform.reboots
    assert not world.platform.broken, world.platform.broken


@when('actors of a single daemon have a host to drain after "{cause}"')
def step_stale(context, cause):
    world = context.world
    name, gone = world.daemons_by_name
    world.daemons_by_name.pop(gone).actors.close()
    context.daemon, operate = world.daemons_by_name[name], world.platform.operate
    context.calls = []
    world.platform.operate = lambda *a, **k: context.calls.append(k) or operate(*a, **k)

    async def run():
        write_host(world, "draining")
        context.daemon.log.pull()
        if cause == "a freeze":
            world.clock.now += 30
            context.daemon.actors.act()
            await context.daemon.go_on()
        else:
            world.journal.is_down = True
            world.clock.now += 7
            await world.pass_time(5)
            world.journal.is_down = False
        context.early = len(context.calls)
        await world.pass_time(10)

    asyncio.run(run())


@then("actors of that daemon have made no calls until both views are fresh")
def step_called_nothing(context):
    assert context.early == 0, context.calls
    assert context.calls, "no calls were made after the views were read"


@when("actors handle a worker that {what}")
def step_stuck(context, what):
    world = context.world

    async def run():
        if what == "never drains":
            world.platform.stuck.add(HOST)
            write_host(world, "draining", reason="plan: it moves")
            await until(world, lambda: phase(world) == "in_service")
            return
        write_host(world, "draining")
        await until(world, lambda: phase(world) == "drained")
        world.platform.stuck.add(HOST)
        write_host(world, "rebooting")
        await until(world, lambda: phase(world) == "set_aside", 900)

    asyncio.run(run())


@then("actors report {code:d} for it and it ends in phase {wanted}")
def step_reported(context, code, wanted):
    world = context.world
    assert phase(world) == wanted
    assert f"MG{code}" in world.host(HOST)["reason"], world.host(HOST)
    events = [e for d in world.daemons_by_name.values() for e in d.timeline.events(host=HOST)]
    assert any(f"MG{code}" in e.cause for e in events), events


@when("actors see r1-w1 go down and come back while it is {when_phase}")
def step_down(context, when_phase):
    world = context.world

    async def run():
        if when_phase == "draining":
            world.platform.stuck.add(HOST)
            write_host(world, "draining")
            await world.pass_time(2)
        world.platform.power(HOST, False)
        await until(world, lambda: phase(world) == "failed")
        world.platform.stuck.clear()
        world.platform.power(HOST, True)
        await world.pass_time(15)

    asyncio.run(run())


@then("actors have marked it failed in between and {after} in pool batch at the end")
def step_came_back(context, after):
    host = context.world.host(HOST)
    assert (host["phase"], host["pool"]) == (after, "batch"), host
    wanted = "up" if after == "in_service" else "drained"
    assert context.world.platform.workers_by_id[HOST]["state"] == wanted


@when("actors move hosts from batch to the service while jobs are placed there")
def step_move(context):
    world, platform = context.world, context.world.platform
    start_task = platform.start_task

    def start(worker, **kwargs):
        context.starts.append((worker, platform.workers_by_id[worker]["pool"]))
        return start_task(worker, **kwargs)

    async def run():
        for turn in range(3):
            for n in range(12):
                world.submit(f"j{turn}-{n}", cores=2.0, run_s=3.0, idempotent=False, profile="hard")
            for daemon in world.daemons_by_name.values():
                daemon.log.pull()
                for decision in daemon.actors.placer.decide():
                    body = daemon.actors.placer._body(decision, world.job(decision.job))
                    world.journal.write("job", body)
            names = [f"r{turn}-w1", f"r{turn}-w2"]
            for name in names:
                write_host(world, "draining", name, reason="operator")
            await until(world, lambda n=names: {phase(world, x) for x in n} == {"drained"})
            write_host(world, "in_service", names[0], pool="a")
            write_host(world, "in_service", names[1])
        jobs = world.journal.state.jobs_by_id.values
        await until(world, lambda: all(j["phase"] == "ended" for j in jobs()), 200)

    context.starts = []
    platform.start_task = start
    asyncio.run(run())


@then("actors have started every job on a host of batch, and each job has run once")
def step_started_on_batch(context):
    world = context.world
    assert {pool for _, pool in context.starts} == {"batch"}, context.starts
    assert not world.platform.broken, world.platform.broken
    jobs = world.journal.state.jobs_by_id.values()
    codes = {job["code"] for job in jobs}
    assert codes <= {4006, 4004}, codes
    assert all(len(runs) == 1 for runs in world.platform.runs_by_job.values())


@given("actors of two daemons as a state machine")
def step_given_machine(context):
    context.machine = ActorMachine


@then("actors never run or reboot anything twice or cut it off with its fixed seeds")
def step_run_machine(context):
    run_state_machine_as_test(context.machine, settings=SETTINGS)


@given("actors in two daemon processes on the platform stand-in")
def step_given_processes(context):
    context.cluster = Cluster(processes=context.processes, fleet=FLEET, daemons=2)
    context.cluster.start()
    values = {
        "team/t": {"max_cores": 100, "max_memory_gb": 100, "max_jobs": 500},
        "profile/p": {
            "room": {"max_hosts": 8},
            "availability": {"min_hosts": 2, "survive": "rack"},
            "disruption": {"steps": [], "warning_s": 0, "drain_s": 20, "idempotent": False},
            "urgency": 3,
        },
        "service/x": {"profile": "p", "team": "t", "path": "/x"},
        "pool/a": {"service": "x", "min_hosts": 1, "max_hosts": 8},
    }
    changes = [{"key": key, "base": -1, "value": value} for key, value in values.items()]
    call(context, "POST", "/v1/changes", {"id": "c", "changes": changes})
    context.cluster.wait("hosts", lambda: len(call(context, "GET", "/v1/hosts")["items"]) == 8)


@when("actor processes maintain a rack with lost answers, a freeze and a kill")
def step_processes_maintain(context):
    cluster, processes = context.cluster, context.processes
    cluster.platform.fault("lost", on="/workers/*/operations", count=3)
    call(context, "POST", "/v1/waves", {"wave": "w", "rack": "r1", "reason": "test"})

    def rebooting():
        return any(h["phase"] == "rebooting" for h in hosts().values())

    def hosts():
        return call(context, "GET", "/v1/hosts")["items"]

    cluster.wait("reboot", rebooting, timeout_s=60)
    processes.signal("e1", signal.SIGSTOP)
    time.sleep(6)
    cluster.platform.fault("doubled", on="/workers/*/operations", count=2)
    processes.signal("e1", signal.SIGCONT)
    time.sleep(1)
    processes.kill("e1")
    cluster.start_daemon("e1")
    cluster.wait(
        "end of the wave",
        lambda: call(context, "GET", "/v1/waves")["items"]["w"]["phase"] == "finished",
        timeout_s=120,
    )
    context.hosts = hosts()


@then("actor processes have rebooted each host once, empty, and the wave has ended")
def step_processes_rebooted(context):
    truth = context.cluster.platform.truth()
    reboots = [o for o in truth["operations"].values() if o["kind"] == "reboot"]
    assert sorted(o["worker"] for o in reboots) == ["r1-w1", "r1-w2"], reboots
    assert {o["executed"] for o in reboots} == {1}, reboots
    assert not truth["cuts"], truth["cuts"]
    assert {h["phase"] for h in context.hosts.values()} == {"in_service"}, context.hosts
