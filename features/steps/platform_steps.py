"""Steps of the platform's feature: real processes on loopback."""

import json
import re
import signal
import subprocess
import sys
import time
from http.client import HTTPConnection
from pathlib import Path
from urllib.request import urlopen

from behave import given, then, when
from click.testing import CliRunner

from mustardgap import commands_views  # noqa: F401
from mustardgap.command_options import cli as main_cli
from tools.processes import free_ports, get_json, wait_http
from tools.wire_platform import process_settings

PACKAGE = Path(__file__).resolve().parent.parent.parent / "mustardgap"
# What the platform's pages call things on the wire and in their settings.
WIRE = re.compile(
    r"run-start|run-stop|log-append|log-read|log-newest|log-join|log-commit|log-leave|log-owners"
    r"|ackedOffset|untilMs|clockMs|hasMore|machine-move|machine-upkeep|maxCount|mayMiss"
    r"|rejectsOverload|keyed\.|X-Mustardgap|pathPrefix|sloMs|finishByS|memMb|longRunning"
)
HOST = "stairs.example"
KEY_HEADER = "X-Mustardgap-Credential"
JOB = "00000000000000a1"
STEPS = [
    {"count": 3, "cpu": 1000, "memMb": 500, "estimateMs": 500},
    {"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 500, "dependsOn": [0]},
]
LONG_STEP = {"cpu": 1000, "memMb": 500, "estimateMs": 500, "image": "quoting-image-1"}
BODIES = {
    "a body that isn't JSON": (f"/quotes/{JOB}", "steps"),
    "a job without steps": (f"/quotes/{JOB}", {"spec": "p", "steps": []}),
    "a job with a step of no tasks": (f"/quotes/{JOB}", {"steps": [{"count": 0}]}),
    "a job whose steps depend in rings": (f"/quotes/{JOB}", {"steps": [{"dependsOn": [0]}]}),
    "a job with a payload too long": (f"/quotes/{JOB}", {"spec": "p" * 4001, "steps": STEPS}),
    "a job that is nested too deeply": (f"/quotes/{JOB}", '{"notes":' + "[" * 20_000),
    "a job with a number of 70 bits": (f"/quotes/{JOB}", {"steps": [{"count": 1, "cpu": 2**70}]}),
    "a job larger than a record": (f"/quotes/{JOB}", {"steps": [LONG_STEP] * 9_000}),
    "a job that is repeated too often": (f"/quotes/{JOB}", {"steps": STEPS, "repeats": 10**9}),
    "a job under a bad id": ("/quotes/zz", {"spec": "p", "steps": STEPS}),
    "a job for an unknown queue": (f"/unknown/{JOB}", {"spec": "p", "steps": STEPS}),
}


def _call(port, method, path, body=None, ip="127.0.0.1", headers=None):
    connection = HTTPConnection(ip, port, timeout=10)
    try:
        text = body if body is None or isinstance(body, str) else json.dumps(body)
        connection.request(method, path, text, {"Host": HOST, **(headers or {})})
        answer = connection.getresponse()
        raw = answer.read()
        return answer.status, json.loads(raw) if raw else {}, answer.headers
    finally:
        connection.close()


def _settings(context, number):
    front, ready, peer = (context.ports[f"{kind}{number}"] for kind in "frp")
    return process_settings(
        host=f"e{number}",
        front=front,
        ready=ready,
        peer=peer,
        store=context.store_port,
        status_s=120,
    )


def _start(context, number, text=None):
    file = context.folder / f"settings{number}.json"
    file.write_text(json.dumps(_settings(context, number)) if text is None else text)
    variables = {
        "MUSTARDGAP_CONFIG": str(file),
        "MUSTARDGAP_METRICS_PORT": str(context.ports[f"m{number}"]),
    }
    context.processes.start(f"e{number}", "mustardgap.platform", variables=variables)


def _choose_ports(context):
    ports = iter(free_ports(100))
    taken = sorted(ports)
    runs = [
        a for a, b, c, d in zip(taken, taken[1:], taken[2:], taken[3:], strict=False) if d == a + 3
    ]
    context.store_port = runs[0]
    context.ports = {}
    place = runs[0] + 4
    for number in (1, 2, 3):
        for kind in "frpm":
            context.ports[f"{kind}{number}"] = place
            place += 1


@given("the platform's stand-in and {count:d} daemons on it")
def platform_and_daemons(context, count):
    _choose_ports(context)
    context.processes.start("platform", "tools.wire_platform", f"--port={context.store_port}")
    wait_http(f"http://127.0.0.1:{context.store_port}/record")
    for number in range(1, count + 1):
        _start(context, number)
    for number in range(1, count + 1):
        _wait_ready(context, number)
    context.count = count


@when("daemon {number:d} starts and gets {name} while it loads its libraries")
def signal_at_start(context, number, name):
    _start(context, number)
    process = context.processes.by_name[f"e{number}"]
    maps = Path(f"/proc/{process.pid}/maps")
    # Loaded on the way, long before the daemon itself runs.
    _until(lambda: "cygrpc" in maps.read_text(), "the libraries aren't loaded")
    context.processes.signal(f"e{number}", signal.Signals[name])


def _wait_ready(context, number):
    wait_http(
        f"http://127.0.0.1:{context.ports[f'r{number}']}/mustardgap/ready",
        running=lambda: context.processes.is_running(f"e{number}"),
    )


def _until(check, what, wait_s=40.0):
    until = time.monotonic() + wait_s
    while time.monotonic() < until:
        if check():
            return
        time.sleep(0.1)
    raise AssertionError(what)


@when("a job is handed in through daemon {number:d}")
def hand_in(context, number):
    def accepted():
        context.answer = _call(
            context.ports[f"f{number}"], "POST", f"/quotes/{JOB}", {"spec": "p", "steps": STEPS}
        )
        return context.answer[0] == 200

    _until(accepted, "the job wasn't accepted")


def _call_with_key(context, number, method, key, body=None):
    """Call a daemon with a key, again while the queue has no owner."""

    def answered():
        context.answer = _call(
            context.ports[f"f{number}"], method, f"/quotes/{JOB}", body, headers={KEY_HEADER: key}
        )
        return context.answer[0] != 503

    _until(answered, "nobody came to own the queue")


@when("the operator gives account {account} the keys {keys} by version {version:d}")
def give_keys(context, account, keys, version):
    context.keys = [*getattr(context, "keys", []), *keys.split(", ")]
    accounts = {account: keys.split(", ")}
    _call(context.store_port, "POST", "/control", {"accounts": [version, accounts]})
    for number in range(1, context.count + 1):
        applied = f'"event":"config.applied","version":{version}'
        _until(
            lambda n=number, text=applied: text in context.processes.output(f"e{n}"),
            "the version isn't in force",
        )


@when("a job is handed in through daemon {number:d} with the key {key}")
def hand_in_with_key(context, number, key):
    _call_with_key(context, number, "POST", key, {"spec": "p", "steps": STEPS})


@when("the job is asked for through daemon {number:d} with the key {key}")
def ask_with_key(context, number, key):
    _call_with_key(context, number, "GET", key)


def _metrics(context, number):
    with urlopen(f"http://127.0.0.1:{context.ports[f'm{number}']}/metrics", timeout=10) as answer:
        return answer.read().decode()


@then("no key stands in the daemons' output, their metrics or their answers")
def no_keys_told(context):
    told = [str(context.answer)]
    for number in range(1, context.count + 1):
        told.append(context.processes.output(f"e{number}"))
        told.append(_metrics(context, number))
    assert all(told), "nothing was searched"
    found = [key for key in context.keys for text in told if key in text]
    assert not found, found


@when("callers send {what}")
def send(context, what):
    def answered():
        # Until the shards are dealt out, every answer is that nobody owns the queue yet.
        context.answer = _send(context, what)
        return context.answer[0] != 503

    _until(answered, "nobody came to own the queue")


def _send(context, what):
    if what in BODIES:
        path, body = BODIES[what]
        return _call(context.ports["f1"], "POST", path, body)
    method = "DELETE" if "cancelling" in what else "GET"
    return _call(context.ports["f1"], method, f"/quotes/{JOB}")


def _shard_changes(context):
    text = "".join(context.processes.output(f"e{n}") for n in range(1, context.count + 1))
    return text.count('"event":"shard.gained"'), text.count('"event":"shard.lost"')


def _wait_until_dealt(context):
    """Wait until the shards have been dealt out to all daemons that started."""
    seen = []

    def settled():
        seen.append(_shard_changes(context))
        time.sleep(0.4)
        return len(seen) > 5 and len(set(seen[-5:])) == 1

    _until(settled, "the shards weren't dealt out")


@when("the store takes {seconds:g} s to answer")
def slow_store(context, seconds):
    # A daemon that joins gets shards of the others. The store takes them a few calls to hand over,
    # and callers are refused in between for that reason, which isn't the one that is tested.
    _wait_until_dealt(context)
    _call(context.store_port, "POST", "/control", {"slow_s": seconds})
    time.sleep(2.0)


@then("each of {count:d} more jobs is accepted at the first try")
def accepted_at_once(context, count):
    body = {"spec": "p", "steps": STEPS}
    statuses = []
    for number in range(count):
        port = context.ports[f"f{1 + number % context.count}"]
        statuses.append(_call(port, "POST", f"/quotes/{number:016x}", body)[0])
    assert statuses == [200] * count, statuses


@when("the daemon that owns it is killed")
def kill_owner(context):
    # The caller's answer may go out a moment ahead of the owner's line.
    _until(lambda: _accepting(context), "no daemon has logged that it accepted the job")
    context.killed = _accepting(context)[0]
    context.processes.kill(f"e{context.killed}")


def _accepting(context):
    """The daemons that have logged that they accepted a job."""
    lines = {n: context.processes.output(f"e{n}") for n in range(1, context.count + 1)}
    return [n for n, text in lines.items() if '"event":"job.accepted"' in text]


@when("daemon {number:d} is told to stop")
def stop(context, number):
    context.status = context.processes.stop(f"e{number}")


# Stands in for the daemon's module: as it is loaded, an object's destructor gets the signal.
_LOADED_WITH_SIGNAL = """
import os, runpy, signal, sys, types

class Dropped:
    def __del__(self):
        os.kill(os.getpid(), signal.SIGTERM)
        for _ in range(1000):
            pass

def load(name):
    Dropped()
    return lambda: print("the daemon runs")

module = types.ModuleType("mustardgap.platform.daemon")
module.__getattr__ = load
sys.modules[module.__name__] = module
runpy.run_module("mustardgap.platform", run_name="__main__", alter_sys=True)
"""


@when("a daemon gets SIGTERM in a destructor while it loads its libraries")
def signal_in_destructor(context):
    context.ended = subprocess.run(
        [sys.executable, "-c", _LOADED_WITH_SIGNAL], capture_output=True, timeout=30, check=False
    )


@then("it has ended with status 0, and has run nothing")
def check_ended_at_once(context):
    assert context.ended.returncode == 0, context.ended
    assert not context.ended.stdout, context.ended


@when("daemon {number:d} is told to stop, and gets {name} each millisecond until it has ended")
def stop_with_signals(context, number, name):
    process = context.processes.by_name[f"e{number}"]
    process.send_signal(signal.SIGTERM)
    until = time.monotonic() + 30.0
    while process.poll() is None and time.monotonic() < until:
        process.send_signal(signal.Signals[name])
        time.sleep(0.001)


@when("a daemon starts with a settings file that {flaw}")
def flawed_settings(context, flaw):
    fields = _settings(context, 1)
    if flaw == "has fields nobody knows":
        text = json.dumps({**fields, "brandNew": {"deep": [1]}, "bounds": {"more": 3}})
    elif flaw == "isn't JSON":
        text = "{"
    elif flaw == "lacks the store's address":
        del fields["platform"]
        text = json.dumps(fields)
    else:
        variables = {"MUSTARDGAP_CONFIG": str(context.folder / "nowhere.json")}
        context.processes.start("e1", "mustardgap.platform", variables=variables)
        return
    _start(context, 1, text)


@then("it serves")
def it_serves(context):
    _wait_ready(context, 1)


@then("it ends with status {status:d}")
def it_ends(context, status):
    assert context.processes.by_name["e1"].wait(timeout=20) == status
    assert "Traceback" not in context.processes.output("e1")


@then("daemon {number:d} has ended with status {status:d}")
def ended(context, number, status):
    assert context.status == status, context.status


@then("the answer is {status:d} with code {code}")
def answer_is(context, status, code):
    got, _, headers = context.answer
    assert (got, headers["X-Result-Code"]) == (status, code), context.answer


def _shown(context, number):
    return _call(context.ports[f"f{number}"], "GET", f"/quotes/{JOB}")[1].get("state")


@then("daemon {number:d} shows the job as {state}")
def shows(context, number, state):
    _until(lambda: _shown(context, number) == state, f"the job wasn't shown as {state}")


@then("some daemon shows the job as {state}")
def some_shows(context, state):
    others = [n for n in (1, 2, 3) if n != context.killed]
    _until(
        lambda: any(_shown(context, n) == state for n in others),
        f"the job wasn't shown as {state}",
    )


def _record(context):
    return get_json(f"http://127.0.0.1:{context.store_port}/record")


@then("each of its tasks has run once on the platform")
def ran_once_each(context):
    tasks = [tuple(row[0]) for row in _record(context)]
    assert len(tasks) == len(set(tasks)) == sum(step["count"] for step in STEPS), tasks


@then("nothing has run on the platform")
def nothing_ran(context):
    assert not _record(context)


@then("no module outside the adapter names anything of the wire")
def wire_stays(context):
    found = [
        f"{file.name}:{number}: {line.strip()}"
        for file in sorted(PACKAGE.glob("*.py"))
        for number, line in enumerate(file.read_text().splitlines(), 1)
        if WIRE.search(line)
    ]
    assert not found, "\n".join(found)


@then("its log tells of the job: {events}")
def log_tells(context, events):
    rows = [
        json.loads(line)
        for line in context.processes.output("e1").splitlines()
        if line.startswith("{")
    ]
    told = {row["event"] for row in rows if row.get("job") == JOB}
    assert set(events.split(", ")) <= told, told


@then("its metrics count the calls")
def metrics_count(context):
    connection = HTTPConnection("127.0.0.1", context.ports["m1"], timeout=10)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    assert 'mustardgap_job_calls_total{call="submit",code="4020"}' in text, text[:2000]


@then("the command line tells the job's story from the log, with its start, its ends and its owner")
def story_is_told(context):
    log = context.folder / "e1.log"
    result = CliRunner().invoke(main_cli, ["explain", "job", JOB, "--logs", str(log)])
    assert result.exit_code == 0, result.output
    for event in ("job.accepted", "run.start", "run.end", "job.ended"):
        assert event in result.output, result.output
    assert "epoch=" in result.output, result.output
    missing = CliRunner().invoke(main_cli, ["explain", "job", JOB, "--logs", "/nowhere/e1.log"])
    assert "MG2000" in missing.output + str(missing.exception), missing.output
