"""Executors behind an entry host in this process, and what callers are told by it."""

import asyncio
import hashlib

from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from features.support.entries import EntryHost
from standins.controls import check_body
from standins.executors import Executors
from standins.faults import Fault
from standins.settings import ExecutorsSettings

METHODS = {"idempotent": "PUT", "non-idempotent": "POST", "keyed": "POST"}


class Rig:
    """Two executors, x1 first, behind one entry host, all in this process.

    :param names: the executors' ids.
    :param executors: the stand-ins' settings.
    :param options: the entry host's.
    """

    def __init__(self, names=("x1", "x2"), *, executors=None, **options):
        self.names = names
        self.executors = executors or {}
        self.options = options
        self.count = 0

    async def __aenter__(self):
        self.upstreams = Executors(settings=ExecutorsSettings(**self.executors))
        rows = []
        for name in self.names:
            executor = self.upstreams.start(f"w-{name}", "quotes", name=name)
            rows.append((name, f"127.0.0.1:{executor.port}", "r1"))
        self.entry = await EntryHost("e1", rows, **self.options).__aenter__()
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=200)
        return self

    async def __aexit__(self, *_):
        await self.entry.__aexit__()
        self.client.close()
        for executor in self.upstreams.by_name.values():
            executor.cut()

    def fault(self, name, **fields):
        self.upstreams.faults.add(Fault(fault=name, **fields))

    async def ask(
        self, kind="non-idempotent", *, query="", timeout_s=None, headers=None, body=None
    ):
        self.count += 1
        path = f"/quotes/{self.count}" + (f"?{query}" if query else "")
        fields = {"X-Request-Id": f"caller-{self.count}", **(headers or {})}
        if timeout_s is not None:
            fields["X-Request-Timeout"] = str(timeout_s)
        request = HTTPRequest(
            f"http://{self.entry.address}{path}",
            method=METHODS.get(kind, kind),
            body=body or str(self.count).encode(),
            headers=fields,
            request_timeout=20.0,
            allow_nonstandard_methods=True,
        )
        resp = await self.client.fetch(request, raise_error=False)
        return Told(resp, path, fields["X-Request-Id"])

    def runs(self, path=None):
        runs = self.upstreams.runs.since(0, 1_000_000)
        return [run for run in runs if path is None or run.path == path]


class Told:
    """What a caller was told."""

    def __init__(self, resp, path, request_id):
        self.resp = resp
        self.path = path
        self.request_id = request_id
        self.code = int(resp.headers.get("X-Result-Code", 0))

    def check(self, runs, idempotent):
        """Hold what was told against what the executors really ran."""
        resp, code = self.resp, self.code
        assert resp.headers.get("X-Request-Id") == self.request_id, (code, resp.error)
        if not idempotent:
            assert len(runs) <= 1, f"ran {len(runs)} times, told {code}"
        if 1100 <= code < 1200:
            assert not runs, f"told not run ({code}), ran"
            assert int(resp.headers["Retry-After"]) >= 1
        if 1000 <= code < 1100:
            assert runs, f"told {code}, never ran"
            value = check_body(resp.body)
            assert value["path"] == self.path, "another request's answer"
            assert value["digest"] == hashlib.sha256(resp.request.body).hexdigest()
        else:
            assert resp.headers["Content-Type"] == "application/problem+json"
            assert f'"code":{code}'.encode() in resp.body


async def read_answer(reader):
    """Read one counted answer from a connection."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
    length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
    return head + await reader.readexactly(length)
