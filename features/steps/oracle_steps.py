"""Steps for the oracle's and the load generator's own tests."""

import hashlib

import msgspec
from behave import then, when
from tornado.httputil import HTTPHeaders

from standins.answers import pieces
from tools.balancers import Exchange
from tools.oracle import check_budgets, check_cuts, check_pools, check_requests
from tools.told import Told, judge

HISTORIES_BY_WHAT = {
    "one host of three drains": "a p draining",
    "two hosts of three drain at once": "a p draining,b p draining",
    "two hosts of three drain in turn": "a p draining,a p up,b p draining",
    "a drained host joins another pool": "a p draining,a p drained,a q up",
    "a serving host joins another pool": "a q up",
    "a reboot cuts off a request": "",
    "a power failure cuts off a request": "",
}
BODY = b"some body"
CODES_BY_FLAW = {"result code 1100": "1100", "result code 1201": "MG1201"}


@when("the oracle compares {told} with {runs:d} runs of a {sort} request")
def compare(context, told, runs, sort):
    copies = []
    for number, text in enumerate(told.split(",")):
        outcome, _, code = text.partition(":")
        facts = {"keyed": sort == "keyed", "idempotent": sort == "idempotent"}
        facts |= {"service": "s", "kind": 0, "stage": 0, "sent": 0.0, "latency_s": 0.0}
        copies.append(Told(id=f"n.{number}", outcome=outcome, code=int(code or 1000), **facts))
    ran = [{"path": "/s?load=n", "executor": "x"}] * runs
    others = [{"path": "/s?load=other", "executor": "x"}]
    context.faults = check_requests(copies, ran + others).faults


@when("the oracle looks at a platform on which {what}")
def look(context, what):
    histories = {worker: [_event(1.0, "p", "up")] for worker in "abc"}
    for i, text in enumerate(filter(None, HISTORIES_BY_WHAT[what].split(","))):
        worker, pool, state = text.split()
        histories[worker].append(_event(2.0 + i, pool, state))
    why = "worker rebooted" if "reboot" in what else "worker down"
    cut = {"time": 3.0, "worker": "a", "kind": "requests", "count": 1, "why": why}
    truth = {"workers": histories, "cuts": [cut] if "cuts off" in what else []}
    context.faults = [
        *check_budgets(truth, {"p": 2}, since=1.5),
        *check_pools(truth, {}),
        *check_cuts(truth),
    ]


def _event(time, pool, state):
    return {"time": time, "pool": pool, "state": state}


@then("the oracle finds {faults}")
def check_faults(context, faults):
    found = {fault.promise for fault in context.faults}
    assert found == (set() if faults == "nothing" else {faults}), context.faults


@when("the oracle's load gets an answer with {flaw}")
def get_answer(context, flaw):
    name = "n2" if "name" in flaw else "n1"
    digest = hashlib.sha256(b"" if "digest" in flaw else BODY).hexdigest()
    head = msgspec.json.encode({"path": f"/s?load={name}&size=900", "digest": digest})
    body = b"".join(pieces(head, 900))[: 800 if "short" in flaw else None]
    headers = HTTPHeaders({"X-Result-Code": CODES_BY_FLAW.get(flaw, "1000")})
    headers["X-Request-Id"] = "n2.0" if flaw.endswith("id") else "n1.0"
    if "502" in flaw:
        del headers["X-Result-Code"]
    broken = flaw in ("no status", "a time-out")
    context.told = judge(
        Exchange(
            entry="e1",
            status=0 if broken else 502 if "502" in flaw else 200,
            headers=headers,
            size=len(body),
            digest=hashlib.sha256(body).hexdigest(),
            head=body,
            whole=flaw != "no end",
            error="timeout" if flaw == "a time-out" else "",
        ),
        **{"body": BODY, "id": "n1.0", "service": "s", "keyed": False, "idempotent": True},
        **{"kind": 0, "stage": 0, "sent": 0.0, "latency_s": 0.0},
    )


@then("the oracle's load tells it as {outcome}")
def check_told(context, outcome):
    assert context.told.outcome == outcome, context.told
