"""Steps for the whole system in real processes under load."""

import json
import subprocess
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, when
from msgspec import structs

from features.support.systems import (
    LOAD_S,
    MIN_HOSTS,
    MIX,
    RATE,
    any_drains,
    control_of,
    received,
    strike,
    wave_ended,
    with_field,
    write_declarations,
)
from tools.benches import declared, fleet
from tools.clusters import CLI_TIMEOUT_S, Cluster
from tools.load import Plan, Stage
from tools.processes import ROOT

# Where callers have to be told nothing but answers, daemons and callers wait so long. On a machine
# with too little processor time a claim takes over a second to be decided and news of the log six,
# and requests are refused truthfully.
PATIENT_S = 20.0
PATIENT = {
    "requests": {"claim_timeout_s": PATIENT_S},
    "platform": {"stale_after_s": 3 * PATIENT_S},
}

# Given


@given("the system runs {count:d} daemons")
def start(context, count):
    is_patient = "patient" in context.tags
    context.mix = (
        [structs.replace(kind, timeout_s=PATIENT_S) for kind in MIX] if is_patient else MIX
    )
    context.cluster = Cluster(
        processes=context.processes,
        fleet=fleet(),
        daemons=count,
        executor_processes=2,
        executors={"run_time": {"distribution": "exponential", "mean_s": 0.03}},
        platform={"workers": {"reboot_s": 0.5}, "hosts": {"lag_s": 1.0, "expire_s": 8.0}},
        platform_ports=2,
        daemon=PATIENT if is_patient else None,
    )
    context.cluster.start()
    context.declared = declared(min_hosts=MIN_HOSTS)
    context.declarations = write_declarations(context, "declarations", context.declared)
    context.cluster.apply(context.declarations)
    context.cluster.wait_ready()
    context.in_force = time.time()


@given("the system is under load")
def start_load(context):
    plan = Plan(
        run="s",
        entries=context.cluster.entries,
        stages=[Stage(rate=RATE, seconds=LOAD_S)],
        mix=context.mix,
    )
    context.load = context.cluster.start_load(plan)
    context.cluster.wait("load", lambda: received(context) > RATE)


@given("the system's daemon {name} has a way of its own to the platform")
def start_apart(context, name):
    address = f"127.0.0.1:{context.cluster.platform_ports[1]}"
    context.cluster.start_daemon(name, platform={"address": address})
    context.cluster.wait_ready(name)


# When: daemons


@when("the system's daemon {name} is killed")
def kill(context, name):
    context.processes.kill(name)


@when("the system's daemon {name} is stopped")
def stop(context, name):
    context.status = context.processes.stop(name)


@when("the system's daemon {name} is frozen for {seconds:g} seconds")
def freeze(context, name, seconds):
    context.processes.freeze(name)
    time.sleep(seconds)
    context.processes.wake(name)


@when("the system's daemons are replaced one by one")
def replace(context):
    for name in list(context.cluster.daemons_by_name):
        assert context.processes.stop(name) == 0, context.processes.output(name)
        context.cluster.start_daemon(name)
        context.cluster.wait_ready(name)
        time.sleep(1.0)  # The balancer looks twice a second.


# When: time and load


@when("the system goes on for {seconds:g} seconds")
def go_on(context, seconds):
    time.sleep(seconds)


@when("the system's load ends")
def end_load(context):
    context.report = context.cluster.stop_load(context.load)
    context.cluster.settle()


# When: operators


@when('the system\'s operators race to set "{field}" to {a:d} through {e1}, {b:d} through {e2}')
def race(context, field, a, b, e1, e2):
    context.cluster.platform.fault("slow", on="/log/*", method="POST", seconds=1.0)

    def read(value, entry):
        folder = write_declarations(context, f"by-{entry}", with_field(context, field, value))
        command = context.cluster.cli_command("apply", str(folder), "--ask", "--wait", entry=entry)
        pipes = dict.fromkeys(("stdin", "stdout", "stderr"), subprocess.PIPE)
        operator = subprocess.Popen(command, cwd=ROOT, text=True, **pipes)
        shown = ""
        while not shown.endswith("[y/N]: "):
            letter = operator.stderr.read(1)
            assert letter, f"ended before it asked: {shown}"
            shown += letter
        return operator

    def publish(operator):
        stdout, stderr = operator.communicate("y\n", timeout=CLI_TIMEOUT_S)
        return subprocess.CompletedProcess(operator.args, operator.returncode, stdout, stderr)

    # Both are asked before either publishes, so both have read the same.
    operators = [read(a, e1), read(b, e2)]
    with ThreadPoolExecutor(2) as pool:
        context.races = list(zip((a, b), pool.map(publish, operators), strict=True))
    context.cluster.platform.clear()


@when('the system\'s "{field}" is set to {value:d} through {entry}')
def set_field(context, field, value, entry):
    folder = write_declarations(context, "changed", with_field(context, field, value))
    context.cluster.cli("apply", str(folder), entry=entry)


# When: the platform


@when("the system's log is down for {seconds:g} seconds")
def log_down(context, seconds):
    strike(context, seconds, "down", on="/log/*")


@when("the system's platform is slow by {by:g} seconds for {seconds:g} seconds")
def platform_slow(context, by, seconds):
    strike(context, seconds, "slow", seconds=by)


@when("the system's log loses {percent:d} percent of its answers for {seconds:g} seconds")
def log_loses(context, percent, seconds):
    strike(context, seconds, "lost", on="/log/*", method="POST", ratio=percent / 100)


@when("the system's rack {rack} loses power for {seconds:g} seconds")
def power_off(context, rack, seconds):
    strike(context, seconds, "power_off", on=rack)
    context.cluster.wait_executors()


@when("the system's way of {name} to the platform goes silent")
def way_silent(context, name):
    context.cluster.platform.fault("silent", port=context.cluster.platform_ports[1])


@when("the system's wave over rack {rack} has begun")
def begin_wave(context, rack):
    context.cluster.cli("wave", "start", "--id", "wave-1", "--rack", rack)
    context.cluster.wait("host that drains", lambda: any_drains(context, rack))


@when("the system's wave comes to its end")
def end_wave(context):
    context.cluster.wait("end of the wave", lambda: wave_ended(context), timeout_s=60.0)


@when("the system's wave over rack {rack} runs to its end")
def run_wave(context, rack):
    begin_wave(context, rack)
    end_wave(context)


# When: executors


@when("the system's executors {name} are killed after a run")
def kill_executors(context, name):
    context.cluster.controls_by_name[name].fault("kill_after_run", count=1)
    context.processes.by_name[name].wait(timeout=20)


@when("the system's executors {name} are started again")
def start_executors(context, name):
    context.cluster.start_executors(name)
    context.cluster.wait_executors()


@when("the system's executor {worker} has the fault {text}")
def executor_fault(context, worker, text):
    name, *fields = text.split()
    values = {key: json.loads(value) for key, value in (f.split("=") for f in fields)}
    control_of(context, worker).fault(name, on=worker, **values)


@when("the system's executor {worker} is well again")
def executor_well(context, worker):
    control_of(context, worker).clear()


@when("the system's executor {worker} leaves")
def executor_leaves(context, worker):
    control_of(context, worker).fault("leaving", on=worker)
