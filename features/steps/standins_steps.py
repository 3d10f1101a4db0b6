"""Steps that try the stand-ins over real sockets."""

import asyncio
import http.client
import json
import re
import socket
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from tornado.web import Application, RequestHandler

from standins import logs
from standins.controls import Control, check_body
from standins.links import Links
from standins.settings import FleetSpec, load
from tools.processes import ROOT, free_ports, wait_http

FLEET = {
    "services_by_pool": {"a": "x", "b": "y"},
    "data_centers": [
        {
            "data_center": "d",
            "racks": [
                {"rack": "r1", "workers": [{"worker": "r1-w1", "pool": "a"}, {"worker": "r1-w2"}]},
                {"rack": "r2", "workers": [{"worker": "r2-w1", "pool": "a"}, {"worker": "r2-w2"}]},
            ],
        }
    ],
}
SILENCE_S = 1.0
UNTIL_S = 15.0
SIZE = 200_000
CUT, SILENT = 0, -1


def start(context, name, module, settings, ports=1):
    """Start a stand-in with settings and wait until it answers."""
    path = context.folder / f"{name}.json"
    path.write_text(json.dumps(settings))
    context.ports = free_ports(ports)
    listen = [word for port in context.ports for word in ("--port", str(port))]
    context.processes.start(name, module, *listen, "--settings", str(path))
    wait_http(f"http://127.0.0.1:{context.ports[0]}/control/faults")
    return Control(address=f"127.0.0.1:{context.ports[0]}")


def start_executors(context, settings):
    """Start, or start again, the executors process; its runs outlive it."""
    settings["runs_file"] = str(context.folder / "runs")
    return start(context, "executors", "standins.executors", settings)


def call(address, method, path, body=None, headers=None, timeout_s=SILENCE_S):
    """Make one call; the status is CUT or SILENT when no whole answer comes."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        resp = connection.getresponse()
        return resp.status, resp.read(), resp.headers
    except TimeoutError:
        return SILENT, b"", {}
    except (http.client.HTTPException, ConnectionError):
        return CUT, b"", {}
    finally:
        connection.close()


def matches(found, wanted):
    """Whether all that is wanted is found; items of a list in that order."""
    if isinstance(wanted, dict):
        return isinstance(found, dict) and all(
            key in found and matches(found[key], value) for key, value in wanted.items()
        )
    if isinstance(wanted, list) and wanted:
        rest = iter(found)
        return all(any(matches(item, value) for item in rest) for value in wanted)
    return found == wanted


def until(condition):
    """Wait until a condition holds."""
    deadline = time.monotonic() + UNTIL_S
    while not condition():
        assert time.monotonic() < deadline, "it never came true"
        time.sleep(0.02)


@given("a standins platform with {settings}")
def _(context, settings):
    whole = {"fleet": FLEET} | json.loads(settings)
    context.platform = start(context, "platform", "standins.platforms", whole, ports=2)


@given("a standins executors process with {settings}")
def _(context, settings):
    context.settings = json.loads(settings) | {"executors": [{"executor": "u1", "service": "x"}]}
    context.executors = start_executors(context, context.settings)
    context.upstream = context.executors.state()["u1"]["address"]


@given("a standins executors process of that platform")
def _(context):
    context.executors = start_executors(context, {"platform": context.platform.address})


@given("the standins fault {fault}")
def _(context, fault):
    if json.loads(fault):
        context.executors.call("POST", "/control/faults", json.loads(fault))


@then("standins calls are answered so")
def _(context):
    for row in context.table:
        method = "GET" if row["method"] == "UNTIL" else row["method"]
        deadline = time.monotonic() + (UNTIL_S if row["method"] == "UNTIL" else 0)
        while True:
            status, body, _ = call(context.platform.address, method, row["path"], row["body"])
            found = json.loads(body) if body else {}
            if status == int(row["status"]) and matches(found, json.loads(row["answer"])):
                break
            assert time.monotonic() < deadline, f"{list(row)} was {status} {found}"
            time.sleep(0.02)


@when("the standins platform is down for those who call by its second port")
def _(context):
    context.platform.fault("down", port=context.ports[1])


@then("standins calls by its ports see {first:d} and {second:d}")
def _(context, first, second):
    seen = [call(f"127.0.0.1:{port}", "GET", "/log/a")[0] for port in context.ports]
    assert seen == [first, second], seen


@when("a standins reader waits for offset 0 while a record is appended")
def _(context):
    address = context.platform.address
    with ThreadPoolExecutor() as pool:
        reader = pool.submit(call, address, "GET", "/log/a?from=0&wait=20", timeout_s=UNTIL_S)
        reads = {"counters": {"GET LogCall": 1}}
        until(lambda: matches(context.platform.truth(), reads))
        call(address, "POST", "/log/a", '{"records": [{"n": 1}]}')
        context.read = reader.result()


@then("the standins reader got {page}")
def _(context, page):
    assert matches(json.loads(context.read[1]), json.loads(page)), context.read


@then("of 20 standins appends at once some are refused and the log ends after the others")
def _(context):
    def append(_):
        # All 20 wait for their turns, so for as many times as long as one is waited for.
        body = '{"records": [{}]}'
        timeout_s = 20 * SILENCE_S
        return call(context.platform.address, "POST", "/log/c", body, timeout_s=timeout_s)[0]

    with ThreadPoolExecutor(20) as pool:
        statuses = list(pool.map(append, range(20)))
    assert set(statuses) == {200, 503}, statuses
    assert context.platform.truth()["log"]["streams"]["c"]["end"] == statuses.count(200)


@then("standins streams agree with a naive list for any appends, expiries and reads")
def _(context):
    step = st.tuples(st.sampled_from(["append", "expire", "read"]), st.integers(0, 9))

    @hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @for_all(st.lists(step, max_size=40))
    def agree(steps):
        stream, naive, oldest = logs.Stream(name="s"), [], 0
        for kind, n in steps:
            if kind == "append":
                stream.append([msgspec.Raw(b'{"n":%d}' % i) for i in range(n)])
                naive += range(n)
            elif kind == "expire":
                stream.expire(before=0.0, most=n)
                oldest = max(oldest, len(naive) - n)
            elif n < oldest:
                try:
                    stream.read(n, 3)
                    raise AssertionError(f"{n} is older than {oldest}")
                except logs.LogExpiredError as exc:
                    assert exc.oldest == oldest
            else:
                page = stream.read(n, 3)
                values = [json.loads(bytes(r.value))["n"] for r in page.records]
                assert values == naive[n : n + 3]
                assert page.next == n + len(values)

    with mock.patch.object(logs, "TRIM_SLACK", 2):
        agree()


def request(context, request_id="r1", query=f"size={SIZE}", connection=None):
    """Send a request to the executor and say what its caller sees."""
    headers = {"X-Request-Id": request_id}
    status, body, answered = call(context.upstream, "POST", f"/x?{query}", "order", headers)
    if status in (CUT, SILENT):
        return {CUT: "cut", SILENT: "silence"}[status]
    if answered["X-Request-Id"] != request_id:
        return "wrong id"
    if status != 200:
        return "not run" if answered.get("X-Not-Run") else str(status)
    assert check_body(body)["request_id"] == request_id
    return "whole"


@when("a standins request is sent")
def _(context):
    context.seen = request(context)


@then("the standins caller sees {seen} and the request was run {runs:d} times")
def _(context, seen, runs):
    assert context.seen == seen, context.seen
    try:
        context.executors.runs()
    except OSError:
        # The caller's connection breaks a moment before a killed process can be told as ended.
        context.processes.by_name["executors"].wait(timeout=UNTIL_S)
        context.executors = start_executors(context, context.settings)
    assert context.executors.runs()["count"] == runs, context.executors.runs()


@when("5 standins requests that run 0.2 seconds are sent while the executor begins to leave")
def _(context):
    with ThreadPoolExecutor(6) as pool:
        sent = [pool.submit(request, context, f"r{i}", "run_s=0.2") for i in range(5)]
        until(lambda: context.executors.state()["u1"]["received"] == 5)
        context.executors.fault("leaving", on="u1")
        context.seen = [r.result() for r in sent]


@then("all standins answers are whole and the executor ran 2 at most at a time")
def _(context):
    assert context.seen == ["whole"] * 5, context.seen
    state = context.executors.state()["u1"]
    assert (state["max_running"], state["run"]) == (2, 5), state


@then("the standins executor no longer listens, and does again when told to start")
def _(context):
    until(lambda: context.executors.state()["u1"]["state"] == "drained")
    assert request(context) == "cut"
    context.executors.clear("leaving")
    assert request(context, "r9") == "whole"


def tell(context, step, order):
    """Have a step done for the executor; return the state it is in then."""
    context.executors.call("POST", "/control/workers/u1", {"step": step, "order": order})
    return context.executors.state()["u1"]["state"]


@when("the standins executor is told to drain with order 2 and to start with order 1")
def _(context):
    context.states = [tell(context, "drain", 2), tell(context, "start", 1)]


@then("the standins executor is drained, and up when told to start with order 3")
def _(context):
    states = [*context.states, tell(context, "start", 3)]
    assert states == ["drained", "drained", "up"], states


def send_on(connection, request_id):
    """Send a request on a connection and read the answer."""
    connection.request("POST", "/x", "order", {"X-Request-Id": request_id})
    resp = connection.getresponse()
    resp.read()
    return resp.headers["X-Request-Id"]


@when("a standins connection has been used and goes silent")
def _(context):
    context.connection = http.client.HTTPConnection(context.upstream, timeout=SILENCE_S)
    assert send_on(context.connection, "r1") == "r1"
    context.executors.fault("silent")


@then("a standins request on it gets no answer and isn't run, and one on a new connection is whole")
def _(context):
    try:
        send_on(context.connection, "r2")
        raise AssertionError("the silent connection answered")
    except TimeoutError:
        pass
    assert request(context, "r3") == "whole"
    assert [r["request_id"] for r in context.executors.runs()["runs"]] == ["r1", "r3"]


@when("the standins requests {names} are sent on one connection")
def _(context, names):
    host, port = context.upstream.split(":")
    context.seen = b""
    with socket.create_connection((host, int(port)), timeout=UNTIL_S) as sock:
        for name in names.split(" and "):
            sock.sendall(f"GET /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\n\r\n".encode())
            while f"X-Request-Id: {name}\r\n".encode() not in context.seen:
                context.seen += sock.recv(65_536)


@then("the standins answers on it carry the request ids {names}")
def _(context, names):
    assert re.findall(r"X-Request-Id: (\w+)", context.seen.decode()) == names.split()


def operate(context, worker, operation, kind, epoch):
    """Start an operation on a worker."""
    body = json.dumps({"operation": operation, "kind": kind, "epoch": epoch})
    status, _, _ = call(context.platform.address, "POST", f"/workers/{worker}/operations", body)
    assert status == 200, status


def during_request(context, executor, run_s, action):
    """Do something while a request runs on an executor; return what its caller sees."""
    context.upstream = context.executors.state()[executor]["address"]
    with ThreadPoolExecutor() as pool:
        sent = pool.submit(request, context, "r1", f"run_s={run_s}")
        until(lambda: context.executors.state()[executor]["running"])
        action()
        return sent.result()


@when("a standins request runs on r1-w1 while it is rebooted")
def _(context):
    seen = during_request(
        context, "r1-w1.y", 60, lambda: operate(context, "r1-w1", "o9", "reboot", 9)
    )
    assert seen == "cut", seen


@when("a standins request runs on r2-w1 while it is drained twice")
def _(context):
    def drain_twice():
        operate(context, "r2-w1", "o7", "drain", 1)
        operate(context, "r2-w1", "o8", "drain", 2)
        until(lambda: context.platform.call("GET", "/operations/o8")["state"] == "done")
        context.state = context.executors.state()["r2-w1.x"]["state"]

    context.seen = during_request(context, "r2-w1.x", 0.7, drain_twice)


@then("the standins worker was drained only once the request was answered whole")
def _(context):
    assert (context.state, context.seen) == ("drained", "whole"), (context.state, context.seen)


@when("the standins {module} is started with {settings}")
def _(context, module, settings):
    path = context.folder / f"{module}.json"
    path.write_text(settings)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = str(taken.getsockname()[1])
        args = ("--port", port, "--settings", str(path))
        process = context.processes.start(module, f"standins.{module}", *args)
        context.status = process.wait(timeout=UNTIL_S)
    context.output = context.processes.output(module)


@then("it ends with exit status {status:d} and one standins line with {text}")
def _(context, status, text):
    assert context.status == status, (context.status, context.output)
    assert text in context.output and context.output.count("\n") == 1, context.output


@then(
    "standins fleet {name} has {centers:d} data centers and {executors:d} executors of each of "
    "5 services, spread over racks of 4 workers of {cores:d} cores and {memory:d} GB"
)
def _(context, name, centers, executors, cores, memory):
    fleet = load(ROOT / "standins" / "fleets" / f"{name}.json", FleetSpec)
    racks = [rack for center in fleet.data_centers for rack in center.racks]
    pools = Counter(worker.pool for rack in racks for worker in rack.workers)
    del pools[""]
    assert len(fleet.data_centers) == centers
    assert (fleet.worker.cores, fleet.worker.memory_gb) == (cores, memory)
    assert pools == dict.fromkeys(fleet.services_by_pool, executors) and len(pools) == 5, pools
    for rack in racks:
        used = [worker.pool for worker in rack.workers if worker.pool]
        assert len(rack.workers) == 4 and len(used) == len(set(used)), rack


# A platform that is held up.


class _Cut(RequestHandler):
    def post(self, worker):
        self.write({"executors": [], "cut": 7})


@when("a standins platform is held up for {seconds:g} seconds as it orders an executor to be cut")
def order_held_up(context, seconds):
    async def main():
        server = Application([("/control/workers/(.*)", _Cut)]).listen(0, "127.0.0.1")
        port = next(iter(server._sockets.values())).getsockname()[1]
        links = Links()
        links.register(f"127.0.0.1:{port}", ["w1"])
        order = asyncio.create_task(links.step("w1", "cut"))
        await asyncio.sleep(0)
        time.sleep(seconds)  # noqa: ASYNC251
        context.cut = (await order)["cut"]
        server.stop()

    asyncio.run(main())


@then("the standins executors process has carried that out")
def check_cut(context):
    assert context.cut == 7, context.cut
