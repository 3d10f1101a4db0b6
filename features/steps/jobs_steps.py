"""Steps that run jobs under faults."""

import asyncio
import time

from behave import given, then, when

from features.support.actor_steps import call, owner, until, write_host
from mustardgap.exceptions import PlatformError
from tools.actor_worlds import WORKERS, World, declare, profile

JOB = "j"
BATCH = [name for name, _, pool in WORKERS if pool == "batch"]
CORES = 4 * len(BATCH)


def jobs_of(world):
    """All jobs on the log."""
    return list(world.journal.state.jobs_by_id.values())


def all_ended(world):
    """Whether every job has ended."""
    return all(job["phase"] == "ended" for job in jobs_of(world))


@given("jobs on a fake platform with two daemons")
def step_given_world(context):
    context.world = World(WORKERS)
    declare(context.world)
    asyncio.run(context.world.pass_time(4))


async def is_placed(world):
    """Wait until the placement is on the log, while the platform is down."""
    world.platform.is_down = True
    await until(world, lambda: world.job(JOB)["phase"] == "placed")


async def before_start(world, fault):
    """Cause a fault between the placement and the start."""
    daemons = world.daemons_by_name
    if fault.startswith("placer frozen"):
        frozen = owner(world, "placer")
        await until(world, lambda: world.job(JOB)["attempts"] or _freeze_at_start(frozen))
        await world.pass_time(12)
        return await frozen.thaw()
    for daemon in daemons.values():
        start = daemon.link.platform.start_task
        daemon.link.__dict__["start_task"] = _fail_start
        daemon.start = start
    await until(world, lambda: world.job(JOB)["phase"] == "placed")
    if fault.startswith("placer killed"):
        daemons.pop(owner(world, "placer").name).actors.close()
    elif fault.startswith("host drains"):
        write_host(world, "draining", world.job(JOB)["attempts"][-1]["worker"])
    else:
        for name in list(daemons):
            world.replace(name)
        world.journal.is_down = world.platform.is_down = True
        await world.pass_time(70)
        world.journal.is_down = world.platform.is_down = False
    for daemon in daemons.values():
        daemon.link.__dict__.pop("start_task", None)


def _freeze_at_start(daemon):
    """Freeze a daemon at its next call to start a task."""
    run = daemon.link.run

    async def stop_at(name, effect, *args, **kwargs):
        if name == "start_task":
            daemon.freeze()
        return await run(name, effect, *args, **kwargs)

    daemon.link.run = stop_at


async def _fail_start(*args, **kwargs):
    raise PlatformError(detail="not yet")


async def while_running(world, fault):
    """Cause a fault while the job runs."""
    await until(world, lambda: world.job(JOB)["phase"] == "running")
    worker = world.job(JOB)["attempts"][-1]["worker"]
    links = [daemon.link for daemon in world.daemons_by_name.values()]
    if fault.startswith("owner killed"):
        world.daemons_by_name.pop(owner(world, f"job/{JOB}").name).actors.close()
    elif fault.startswith("log down"):
        world.journal.is_down = True
        await world.pass_time(20)
        world.journal.is_down = False
    elif fault.startswith("worker pauses"):
        world.platform.paused.add(worker)
        for link in links:
            link.is_cut = True
        await world.pass_time(10)
        for link in links:
            link.is_cut = False
        await world.pass_time(20)
        world.platform.paused.clear()
    elif fault.startswith("worker loses"):
        world.platform.power(worker, False)
    elif fault.startswith("all daemons cut off until"):
        for link in links:
            link.is_cut = True
        await world.pass_time(70)
        world.platform.tasks_by_id.clear()
        for name in list(world.daemons_by_name):
            world.replace(name)


@when('jobs run under the fault "{fault}", idempotent: {idempotent}')
def step_run(context, fault, idempotent):
    world = context.world

    async def run():
        for daemon in world.daemons_by_name.values():
            if fault.startswith("both"):
                daemon.ranked_names = [daemon.name]
            elif fault.startswith("answers"):
                daemon.link.lose = 4
            elif fault.startswith("calls"):
                daemon.link.delay = 3
        payload = {"fails": fault == "it fails"}
        world.submit(
            JOB, idempotent=idempotent == "yes", run_s=8.0, profile="hard", payload=payload
        )
        if fault.endswith("before the start"):
            await before_start(world, fault)
        elif "while" in fault or "worker" in fault or "forgot" in fault:
            await while_running(world, fault)
        for _ in range(100):
            await world.pass_time(2)
            for daemon in world.daemons_by_name.values():
                daemon.link.deliver()
            if all_ended(world):
                break
        world.platform.power(BATCH[0], True)
        await world.pass_time(10)

    asyncio.run(run())


@then("jobs have ended with {code:d} after {runs:d} runs, none of them overlapping")
def step_ended(context, code, runs):
    world = context.world
    assert jobs_of(world)
    for job in jobs_of(world):
        assert (job["phase"], job["code"]) == ("ended", code), job
        workers = [a["worker"] for a in job["attempts"] if a["outcome"] == "failed"]
        assert len(set(workers)) == len(workers), "tried on the same worker again"
        assert len(world.platform.runs_by_job.get(job["job"], [])) == runs, job
    assert not world.platform.broken, world.platform.broken


@when("jobs ask for 5 cores, 9 GB or an accelerator")
def step_too_large(context):
    for n, size in enumerate(({"cores": 5.0}, {"memory_gb": 9.0}, {"accelerators": 1})):
        context.world.submit(f"j{n}", **size)
    asyncio.run(context.world.pass_time(20))


@when("jobs are cancelled, 200 at once")
def step_cancel(context):
    world, step_task = context.world, context.world.platform.step_task
    context.stops = []
    world.platform.step_task = lambda *a, **k: context.stops.append(k["step"]) or step_task(*a, **k)

    async def run():
        for n in range(200):
            world.submit(f"j{n}", run_s=500.0)
        await world.pass_time(8)
        context.ran = len(world.platform.runs_by_job)
        for job in jobs_of(world):
            world.journal.write("job", {"job": job["job"], "base": job["epoch"], "step": "cancel"})
        await world.pass_time(10)

    asyncio.run(run())


@then("jobs have all ended with 4003 within 10 s and no task runs")
def step_cancelled(context):
    world = context.world
    assert {(job["phase"], job["code"]) for job in jobs_of(world)} == {("ended", 4003)}
    assert context.ran == CORES, context.ran
    assert context.stops == ["stop"] * context.ran, len(context.stops)
    assert not any(world.platform.live_on(worker) for worker in BATCH)


@when("jobs meet a worker that fails everything, and some jobs fail everywhere")
def step_failing_worker(context):
    world = context.world
    world.platform.failing.add(BATCH[0])

    async def run():
        for batch in range(4):
            for n in range(8):
                kind = "gentle" if n % 2 else "hard"
                world.submit(f"good{batch}-{n}", cores=2.0, run_s=2.0, profile=kind)
            world.submit(f"bad{batch}", payload={"fails": True})
            await world.pass_time(15)
        await until(world, lambda: all_ended(world))

    asyncio.run(run())


@then("jobs that are good succeed, the bad ones end with 4002, and only that worker is set aside")
def step_worker_set_aside(context):
    world = context.world
    codes = {(job["job"][:3], job["code"]) for job in jobs_of(world)}
    assert codes == {("goo", 4006), ("bad", 4002)}, codes
    set_aside = [
        h["host"] for h in world.journal.state.hosts_by_name.values() if h["phase"] == "set_aside"
    ]
    assert set_aside == [BATCH[0]], set_aside


@when(
    "jobs that are less urgent, with {steps} and idempotent: {idempotent}, fill all workers"
    " and an urgent one arrives"
)
def step_urgent(context, steps, idempotent):
    world = context.world
    steps_allowed = [] if steps == "nothing" else steps.split(",")
    world.declare(profile__mine=profile(steps_allowed))

    async def run():
        for n in range(CORES):
            world.submit(
                f"g{n}", urgency=8, run_s=40.0, profile="mine", idempotent=idempotent == "yes"
            )
        await world.pass_time(6)
        world.submit("urgent", urgency=0, cores=2.0, run_s=3.0)
        await world.pass_time(6)
        context.started = world.platform.runs_by_job.get("urgent")
        await until(world, lambda: all_ended(world))

    asyncio.run(run())


@then("jobs that are urgent start {when_} and the less urgent ones run {runs}")
def step_started(context, when_, runs):
    world = context.world
    assert bool(context.started) == (when_ == "within 6 s"), world.job("urgent")
    assert {job["code"] for job in jobs_of(world)} == {4006}
    rerun = [job for job, tasks in world.platform.runs_by_job.items() if len(tasks) > 1]
    assert len(rerun) == (2 if runs == "again" else 0), rerun
    assert not world.platform.broken, world.platform.broken


@when("jobs that are urgent arrive faster than they can run, beside a long less urgent one")
def step_urgent_load(context):
    world = context.world

    async def run():
        world.submit("long", urgency=9, run_s=300.0, cores=4.0)
        await world.pass_time(4)
        for batch in range(1200):
            for n in range(2):
                world.submit(f"u{batch}-{n}", urgency=0, cores=4.0, run_s=9.0, profile="hard")
            await world.pass_time(3, step=1.0)
            if world.job("long")["phase"] == "ended":
                break

    asyncio.run(run())


@then("jobs that are less urgent end, paused 3 times at most")
def step_long_job_ended(context):
    job = context.world.job("long")
    moved = sum(attempt["outcome"] == "moved" for attempt in job["attempts"])
    assert job["code"] == 4006 and 1 <= moved <= 3, job
    assert any(
        j["phase"] == "waiting" for j in jobs_of(context.world)
    ), "there was capacity all along"


@when("jobs run on processes with lost answers, a kill and a cancellation")
def step_processes(context):
    cluster = context.cluster
    pool = {"service": "", "min_hosts": 0, "max_hosts": 8}
    changes = [{"key": "pool/batch", "base": -1, "value": pool}]
    call(context, "POST", "/v1/changes", {"id": "d", "changes": changes})
    worker = {"worker": "b1", "pool": "batch"}
    body = {"worker": worker, "rack": "r0", "data_center": "d"}
    cluster.platform.call("POST", "/control/workers", body)
    spec = {"team": "t", "urgency": 5, "cores": 1, "memory_gb": 1, "accelerators": 0}
    spec |= {"idempotent": False, "payload": {}}
    cluster.platform.fault("lost", on="/workers/*/tasks", count=3)
    for n in range(5):
        long = {**spec, "run_s": 8 if n else 300}
        call(context, "POST", "/v1/jobs", {"id": f"p{n}", "spec": long})
    cluster.wait("runs", lambda: len(cluster.platform.truth()["jobs"]) == 5, timeout_s=60)
    context.processes.kill("e1")
    call(context, "POST", "/v1/jobs/cancel", {"jobs": ["p0"]})
    cluster.wait("ends", lambda: have_all_ended(context), timeout_s=90)
    time.sleep(1)


def have_all_ended(context):
    """Whether all jobs have ended."""
    jobs = call(context, "GET", "/v1/jobs")["items"].values()
    return all(job["phase"] == "ended" for job in jobs)


@then("jobs on processes have each run once and ended")
def step_processes_ended(context):
    runs = context.cluster.platform.truth()["jobs"]
    assert {job: len(r["runs"]) for job, r in runs.items()} == {f"p{n}": 1 for n in range(5)}
    jobs = call(context, "GET", "/v1/jobs")["items"]
    codes = {name: job["code"] for name, job in jobs.items()}
    assert codes == {"p0": 4003} | {f"p{n}": 4006 for n in range(1, 5)}, codes
