"""Steps for what is sent to the operators' port."""

import json
import os
import socket
import time

import psutil
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st

from features.support.drawing import bounded
from features.support.operators import Entries
from mustardgap import operators, status_codes

EXAMPLES = 3000 if os.environ.get("MUSTARDGAP_LONG") else 200
BOUNDED = bounded(EXAMPLES)
WAIT_S = 30.0
MOST_MB = 20
TEAM = {"max_cores": 1, "max_memory_gb": 1, "max_jobs": 1}
CHANGES = [{"key": f"team/t{n}", "base": -1, "value": TEAM} for n in range(4000)]
BODIES_BY_NAME = {
    "nested 100000 times": "[" * 100_000,
    "300 KB of declarations": json.dumps({"id": "big", "changes": CHANGES}),
    "10001 jobs": json.dumps({"jobs": [f"j{n}" for n in range(10_001)]}),
}
BYTES_BY_NAME = {
    "a head of 40000 bytes": b"GET / HTTP/1.1\r\nX-A: " + b"a" * 40_000 + b"\r\n\r\n",
    "a head without an end of 40000 bytes": b"GET / HTTP/1.1\r\nX-A: " + b"a" * 40_000,
}
SOUND = (
    b"POST /v1/changes HTTP/1.1\r\nHost: 1.2.3.4\r\nContent-Type: application/json\r\n"
    b'Content-Length: 94\r\n\r\n{"id": "a", "dry_run": true, '
    b'"changes": [{"key": "team/t", "base": -1, "value": {"a": 1}}] }\r\n'
)


class Answer:
    """One answer read off a socket."""

    def __init__(self, reader):
        line = reader.readline().decode("latin-1")
        self.status = int(line.split()[1]) if line else 0
        self.headers = {}
        while line.strip():
            line = reader.readline().decode("latin-1")
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()
        self.body = reader.read(int(self.headers.get("content-length", 0)))

    @property
    def problem(self):
        """The problem details."""
        assert self.headers.get("content-type") == "application/problem+json", vars(self)
        return json.loads(self.body)

    def check(self, code):
        """Check that it is a refusal with a code."""
        assert 400 <= self.status < 500, vars(self)
        assert self.problem["code"] == code, (code, self.problem)
        assert self.headers["x-result-code"] == str(code), vars(self)
        assert "Traceback" not in self.body.decode(), self.body


def connect(context):
    host, port = context.entries.addresses[0].split(":")
    sock = socket.create_connection((host, int(port)), timeout=WAIT_S)
    context.add_cleanup(sock.close)
    return sock


def send(sock, data):
    sock.sendall(data)
    return Answer(sock.makefile("rb"))


def request(method, path, body=None, **headers):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {headers.pop('host', '127.0.0.1')}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or "").encode()


def check_serving(context):
    assert send(connect(context), request("GET", "/v1/status")).status == 200


@given("an operators' port")
def start(context):
    context.entries = Entries(processes=context.processes, folder=context.folder)
    context.add_cleanup(context.entries.close)


@then("the operators' port refuses these bytes, and closes the connection")
def check_bytes(context):
    for row in context.table:
        name = row["bytes"]
        data = BYTES_BY_NAME.get(name) or name.encode("latin-1").decode("unicode_escape").encode(
            "latin-1"
        )
        sock = connect(context)
        answer = send(sock, data)
        try:
            answer.check(int(row["code"]))
            assert sock.recv(100) == b"", "the connection stayed open"
        except (AssertionError, KeyError, OSError) as exc:
            raise AssertionError(f"{name}: {exc}") from exc
        sock.close()
    check_serving(context)


@then("the operators' port refuses these requests, and keeps the connection")
def check_requests(context):
    sock = connect(context)
    for row in context.table:
        method, path = row["request"].split()
        body = None if row["body"] == "-" else BODIES_BY_NAME.get(row["body"], row["body"])
        if method == "POST" and body is None:
            body = ""
        answer = send(sock, request(method, path, body, Content_Type="application/json"))
        try:
            answer.check(int(row["code"]))
            place = "" if row["place"] == "-" else row["place"]
            assert place in answer.problem["place"] + answer.problem["detail"], answer.problem
        except (AssertionError, KeyError) as exc:
            raise AssertionError(f"{row['request']} {row['body'][:60]}: {exc}") from exc
    assert send(sock, request("GET", "/v1/declarations")).body == b'{"offset":%d,"items":{}}' % (
        context.entries.by_number[0].log.offset
    )


@then("the operators' port refuses changes sent as forms, as text or without a type")
def check_forms(context):
    body = json.dumps({"id": "a", "changes": [{"key": "team/t", "base": -1, "value": TEAM}]})
    for kind in ("application/x-www-form-urlencoded", "text/plain", "multipart/form-data", ""):
        for path in ("/v1/changes", "/v1/hosts/w/drain", "/v1/waves/w/pause", "/v1/jobs/cancel"):
            send(connect(context), request("POST", path, body, Content_Type=kind)).check(1111)
    answer = send(connect(context), request("OPTIONS", "/v1/changes", Origin="http://evil"))
    answer.check(1111)
    assert not [name for name in answer.headers if name.startswith("access-control")]


@then("the operators' port refuses all that is asked of a host with a name")
def check_names(context):
    body = json.dumps({"id": "a", "changes": [{"key": "team/t", "base": -1, "value": TEAM}]})
    for host in ("evil.example", "evil.example:8081", "127.0.0.1.evil.example", "1.2.3"):
        for data in (
            request("POST", "/v1/changes", body, host=host, Content_Type="application/json"),
            request("GET", "/v1/declarations", host=host),
        ):
            send(connect(context), data).check(1111)
        assert send(connect(context), request("GET", "/metrics", host=host)).status == 200
    for host in ("10.0.0.1:8081", "[::1]:8081", "localhost"):
        assert send(connect(context), request("GET", "/v1/status", host=host)).status == 200


@when("the operators' port gets {count:d} connections that send a byte now and then")
def flood(context, count):
    context.memory = psutil.Process().memory_info().rss
    context.slow = []
    for _ in range(count):
        sock = connect(context)
        sock.sendall(b"G")
        context.slow.append(sock)


@then("the operators' port refuses those above its limit by number, with bounded memory")
def check_flood(context):
    refused = context.slow[operators.MAX_CONNECTIONS :]
    assert len(refused) > 50
    for sock in refused:
        Answer(sock.makefile("rb")).check(status_codes.OVER_BUDGET.number)
    grown = (psutil.Process().memory_info().rss - context.memory) / 1e6
    assert grown < MOST_MB, grown


@then("the operators' port closes the slow ones in time and serves operators again")
def check_slow(context):
    deadline = time.monotonic() + operators.HEADER_TIMEOUT_S + WAIT_S
    open_ones = set(context.slow[: operators.MAX_CONNECTIONS])
    while open_ones and time.monotonic() < deadline:
        for sock in list(open_ones):
            try:
                sock.sendall(b"E")
                sock.settimeout(0.001)
                if sock.recv(1) == b"":
                    open_ones.discard(sock)
            except TimeoutError:
                continue
            except OSError:
                open_ones.discard(sock)
        time.sleep(0.2)
    assert not open_ones, len(open_ones)
    check_serving(context)


@then(
    "the operators' port answers mutated requests with 2xx or a numbered 4xx, and goes on serving"
)
def check_mutated(context):
    address = context.entries.addresses[0].split(":")
    seen = {"answered": 0, "refused": 0, "closed": 0}
    pieces = st.binary(max_size=4) | st.sampled_from(
        [b"\r\n", b"\x00", b"Content-Length: 1\r\n", b"chunked", b"[", b'"', b"\xff", b"POST"]
    )

    @BOUNDED
    @given_any(st.data())
    def mutate(data):
        text = SOUND
        for _ in range(data.draw(st.integers(1, 3))):
            start = data.draw(st.integers(0, len(text)))
            end = start + data.draw(st.integers(0, 5))
            text = text[:start] + data.draw(pieces) + text[end:]
        with socket.create_connection((address[0], int(address[1])), timeout=WAIT_S) as sock:
            sock.sendall(text)
            sock.shutdown(socket.SHUT_WR)
            answer = Answer(sock.makefile("rb"))
        if answer.status == 0:
            seen["closed"] += 1
            return
        assert answer.status < 500, (text, vars(answer))
        if answer.status >= 400:
            assert answer.problem["code"] in status_codes.by_number, answer.body
        seen["refused" if answer.status >= 400 else "answered"] += 1

    mutate()
    assert seen["refused"] > EXAMPLES / 4, seen
    check_serving(context)
