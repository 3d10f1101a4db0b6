"""Steps for operators' requests whose handling ends early: by a fault, a cancellation or a stop."""

import asyncio
import threading
from urllib.error import HTTPError, URLError
from urllib.request import Request, urlopen

import msgspec
from behave import then, when

from features.steps.operators_steps import SPEC
from mustardgap import metrics

WAIT_S = 5.0
REQUESTS = {
    "change": ("POST", "/v1/jobs", msgspec.json.encode({"id": "j1", "spec": SPEC})),
    "question": ("GET", "/v1/explain/request/r1", None),
}


def _count(how):
    read = metrics.unanswered_requests.read(None)
    return sum(count.value for count in read if count.attributes["how"] == how)


def _ask(address, method, path, body):
    """Send a request; the result code, None without an answer."""
    headers = {"Content-Type": "application/json"}
    request = Request(f"http://{address}{path}", data=body, headers=headers, method=method)
    try:
        with urlopen(request, timeout=WAIT_S) as resp:
            return f"MG{resp.headers['X-Result-Code']}"
    except HTTPError as exc:
        return f"MG{exc.headers['X-Result-Code']}"
    except (URLError, OSError):
        return None


@when("operators send one {request} whose handling {ends}")
def send_to_end(context, request, ends):
    entry = context.entries.by_number[0]
    begun = threading.Event()

    async def end(*args, **kwargs):
        begun.set()
        if ends == "fails":
            raise ValueError("a fault of ours")
        if ends == "is cancelled":
            raise asyncio.CancelledError
        await asyncio.Event().wait()

    def stop():
        assert begun.wait(WAIT_S)
        context.entries.stop(0)

    context.before = {how: _count(how) for how in ("failed", "cancelled", "cut")}
    entry.log.write = end
    entry.operators.explainers_by_kind["request"] = end
    stopping = threading.Thread(target=stop)
    if ends == "is cut off":
        stopping.start()
    context.code = _ask(entry.address, *REQUESTS[request])
    if ends == "is cut off":
        stopping.join()


@then("operators are told {code} by the entry host, and requests ended early are counted as {how}")
def see_told(context, code, how):
    assert context.code == code, context.code
    assert _count(how) == context.before[how] + 1
