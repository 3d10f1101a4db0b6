"""Steps of the crowds' feature: real daemons that are called by clients that don't behave."""

import json
import time
from http.client import HTTPConnection, HTTPException

from behave import given, then, when

from features.support.crowds import (
    LEGAL_BODY_BYTES,
    MEGABYTE,
    RESERVED_DESCRIPTORS,
    Crowd,
    Watch,
)
from tools.clusters import Cluster
from tools.processes import free_ports, wait_http
from tools.wire_platform import process_settings

HEAD_BYTES = 16_384
HOST = "stairs.example"
STEPS = [{"count": 1, "cpu": 1000, "memMb": 500, "estimateMs": 500}]
# Without an answer for so long the daemon hangs; one that is well answers within milliseconds.
ANSWER_TIMEOUT_S = 30.0
RETRY_INTERVAL_S = 0.2
# The daemon has taken by then what it takes of a crowd, and has noticed that one has left.
SETTLE_S = 3.0


def _number(text):
    return int(text.replace(",", ""))


@given(
    "the platform's stand-in and a daemon on a machine of {megabytes:d} MB "
    "and {descriptors} descriptors"
)
def start_daemon(context, megabytes, descriptors):
    context.megabytes, context.descriptors = megabytes, _number(descriptors)
    ports = sorted(free_ports(60))
    store = next(a for a, b in zip(ports, ports[3:], strict=False) if b == a + 3)
    front, ready, peer, scraped = [port for port in ports if port > store + 3][:4]
    context.processes.start(
        "platform",
        "tools.wire_platform",
        f"--port={store}",
        f"--max-body-bytes={LEGAL_BODY_BYTES}",
    )
    wait_http(f"http://127.0.0.1:{store}/record")
    settings = process_settings(
        host="e1", front=front, ready=ready, peer=peer, store=store, status_s=120
    )
    settings["limits"] = {
        "cpuShare": 1,
        "cores": 1,
        "memoryMb": megabytes,
        "maxFds": _number(descriptors),
    }
    file = context.folder / "settings.json"
    file.write_text(json.dumps(settings))
    variables = {"MUSTARDGAP_CONFIG": str(file), "MUSTARDGAP_METRICS_PORT": str(scraped)}
    process = context.processes.start("e1", "mustardgap.platform", variables=variables)
    wait_http(f"http://127.0.0.1:{ready}/mustardgap/ready")
    context.port = front
    context.job = 0
    _accept_job(context)
    context.watch = Watch(pid=process.pid, ports=[front])


@given(
    "a daemon of the own interface that may hold {held:d} MB of {connections:d} connections, "
    "on a machine of {megabytes:d} MB and {descriptors} descriptors"
)
def start_own_daemon(context, held, connections, megabytes, descriptors):
    context.megabytes, context.descriptors = megabytes, _number(descriptors)
    callers = {
        "max_held_bytes": held * MEGABYTE,
        "max_body_bytes": LEGAL_BODY_BYTES,
        "max_header_bytes": HEAD_BYTES,
        "max_connections": connections,
    }
    cluster = Cluster(processes=context.processes, daemons=1, daemon={"callers": callers})
    cluster.start_platform()
    daemon = cluster.start_daemon("e1")
    context.port = int(daemon.callers.rpartition(":")[2])
    _ask(context)
    context.watch = Watch(pid=context.processes.by_name["e1"].pid, ports=[context.port])


def _ask(context):
    """Ask as an ordinary caller does, who comes back when refused."""
    _repeat_until_answered(context, "GET", "/-/live", None, lambda status: status == 404)


def _accept_job(context):
    """Hand a job in as an ordinary caller does, who comes back when refused."""
    context.job += 1
    path = f"/quotes/{0xA000 + context.job:016x}"
    body = json.dumps({"spec": "p", "steps": STEPS})
    _repeat_until_answered(context, "POST", path, body, lambda status: status == 200)


def _repeat_until_answered(context, method, path, body, is_served):
    until = time.monotonic() + ANSWER_TIMEOUT_S
    seen = []
    while time.monotonic() < until:
        connection = HTTPConnection("127.0.0.1", context.port, timeout=ANSWER_TIMEOUT_S)
        try:
            connection.request(method, path, body, {"Host": HOST})
            seen.append(connection.getresponse().status)
        except (OSError, HTTPException) as exc:
            seen.append(repr(exc))
        finally:
            connection.close()
        if is_served(seen[-1]):
            return
        time.sleep(RETRY_INTERVAL_S)
    raise AssertionError(f"no ordinary request was served, the last answers: {seen[-5:]}")


@when("a crowd of {connections} sends {what}")
def send(context, connections, what):
    context.crowd = Crowd(port=context.port, connections=_number(connections), what=what)
    # A crowd that a failed check leaves behind would keep the test's process from ending.
    context.add_cleanup(context.crowd.leave)
    context.crowd.send()


@then("the daemon lives, and has stayed within its machine's memory and descriptors")
def check_bounds(context):
    watch = context.watch
    watch.end()
    print(f"at most {watch.most_bytes / MEGABYTE:.0f} MB, {watch.most_sockets} sockets")
    assert context.processes.is_running("e1"), "the daemon has ended"
    assert watch.most_bytes <= context.megabytes * MEGABYTE, watch.most_bytes
    assert watch.most_sockets <= context.descriptors - RESERVED_DESCRIPTORS, watch.most_sockets


@then("an ordinary job is accepted while they stay connected")
def accept_beside(context):
    _accept_job(context)
    time.sleep(SETTLE_S)


@then("an ordinary request is answered while they stay connected")
def ask_beside(context):
    _ask(context)
    time.sleep(SETTLE_S)


@then("an ordinary request is answered after they have left")
def ask_after(context):
    context.crowd.leave()
    time.sleep(SETTLE_S)
    _ask(context)


@then("an ordinary job is accepted after they have left")
def accept_after(context):
    context.crowd.leave()
    time.sleep(SETTLE_S)
    _accept_job(context)
