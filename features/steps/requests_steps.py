"""Steps for the way of a request, with real sockets and the stand-in executors."""

import asyncio
import hashlib
import os
import time

import psutil
from behave import given, then, when
from hypothesis import HealthCheck
from hypothesis import given as drawn
from hypothesis import settings as profile
from hypothesis import strategies as st
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from features.support.entries import Entry
from standins.controls import check_body
from standins.executors import Executors
from standins.faults import Fault
from standins.settings import ExecutorsSettings

LONG = os.environ.get("MUSTARDGAP_LONG") == "1"
METHODS = {"idempotent": "PUT", "non-idempotent": "POST", "keyed": "POST"}


class Rig:
    """Two executors, x1 first, behind one entry host, all in this process."""

    def __init__(self, names=("x1", "x2"), **options):
        self.names = names
        self.options = options
        self.count = 0

    async def __aenter__(self):
        self.upstreams = Executors(settings=ExecutorsSettings())
        rows = []
        for name in self.names:
            executor = self.upstreams.start(f"w-{name}", "quotes", name=name)
            rows.append((name, f"127.0.0.1:{executor.port}", "r1"))
        self.entry = await Entry("e1", rows, **self.options).__aenter__()
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=200)
        return self

    async def __aexit__(self, *_):
        await self.entry.__aexit__()
        self.client.close()
        for executor in self.upstreams.by_name.values():
            executor.cut()

    def fault(self, name, **fields):
        self.upstreams.faults.add(Fault(fault=name, **fields))

    async def ask(self, kind="non-idempotent", *, query="", timeout_s=None, headers=None):
        self.count += 1
        path = f"/quotes/{self.count}" + (f"?{query}" if query else "")
        fields = {"X-Request-Id": f"caller-{self.count}", **(headers or {})}
        if timeout_s is not None:
            fields["X-Request-Timeout"] = str(timeout_s)
        request = HTTPRequest(
            f"http://{self.entry.address}{path}",
            method=METHODS.get(kind, kind),
            body=b"" if kind in ("GET", "HEAD") else str(self.count).encode(),
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


@given("requests to an entry host with two executors")
def rig(context):
    context.rig_options = {}


@when("requests of kind {kind} meet {fault} on {on}")
def meet(context, kind, fault, on):
    async def main():
        async with Rig(**context.rig_options) as r:
            name, _, number = fault.partition(" ")
            if name == "refused":
                r.upstreams.by_name["x1"].cut()
            elif name == "frozen":
                r.upstreams.by_name["x1"].pause()
            elif name != "nothing":
                fields = {"late": "seconds", "short": "at_byte"}
                value = {fields[name]: int(number)} if name in fields else {}
                r.fault(name, on="*" if on == "both" else on, **value)
            query = "size=5000"
            told = await r.ask(kind, query=query, timeout_s=1.0)
            context.told, context.runs = told, r.runs(told.path)
            told.check(context.runs, kind == "idempotent")
            # What is left on the executor's side must not meet the next request.
            r.upstreams.faults.clear()
            r.upstreams.by_name["x1"].resume()
            told = await r.ask(kind, query=query)
            told.check(r.runs(told.path), kind == "idempotent")
            assert told.code == 1000, told.code
            assert r.entry.slots.held == 0

    asyncio.run(main())


@then("requests are told {codes} after {count} runs")
def check_told(context, codes, count):
    assert str(context.told.code) in codes.split("/"), context.told.code
    assert str(len(context.runs)) in count.split("/"), context.runs


@when("requests with drawn faults are held against the executors' record")
def draw_faults(context):
    runner, rig = asyncio.Runner(), Rig()
    faults = ["nothing", "reset_before_reading", "reset_after_reading", "reset_after_running"]
    faults += ["refusing", "wrong_id", "doubled", "short", "late", "failing"]
    context.seen = set()

    @profile(
        max_examples=4000 if LONG else 150,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @drawn(
        st.sampled_from(faults),
        st.sampled_from(["idempotent", "non-idempotent"]),
        st.sampled_from([0, 300, 70_000]),
        st.booleans(),
        st.integers(0, 900),
        st.sampled_from(["x1", "*"]),
    )
    def example(fault, kind, size, chunked, at_byte, on):
        async def one():
            if fault != "nothing":
                r.fault(fault, on=on, at_byte=at_byte, seconds=0.3)
            query = f"size={size}" + ("&chunked=1" if chunked else "")
            told = await r.ask(kind, query=query, timeout_s=0.2 if fault == "late" else 5.0)
            r.upstreams.faults.clear()
            told.check(r.runs(told.path), kind == "idempotent")
            context.seen.add(told.code)

        runner.run(one())

    r = runner.run(rig.__aenter__())
    try:
        example()
    finally:
        runner.run(rig.__aexit__())
        runner.close()


@then("requests were told at least {codes}")
def check_seen(context, codes):
    assert {int(code) for code in codes.split("/")} <= context.seen, context.seen


@when("requests for {size:d} bytes are cut after {cut} by an executor, {framing}")
def cut_large(context, size, cut, framing):
    async def main():
        async with Rig() as r:
            if cut != "nothing":
                r.fault("short", at_byte=int(cut))
            reader, writer = await asyncio.open_connection("127.0.0.1", r.entry.callers.port)
            query = f"size={size}" + ("&chunked=1" if framing == "chunked" else "")
            version = "1.0" if framing == "until close" else "1.1"
            query += "&chunked=1" if framing == "until close" else ""
            writer.write(f"GET /quotes/large?{query} HTTP/{version}\r\nHost: a\r\n\r\n".encode())
            context.received, context.ended = b"", "open"
            before = psutil.Process().memory_info().rss
            try:
                while not _is_whole(context.received, size, framing):
                    chunk = await asyncio.wait_for(reader.read(1 << 20), 10)
                    if not chunk:
                        context.ended = "closed"
                        break
                    context.received += chunk
            except ConnectionResetError:
                context.ended = "reset"
            context.grown = psutil.Process().memory_info().rss - before
            writer.close()
            assert r.entry.slots.held == 0 or context.ended == "open"

    asyncio.run(main())


def _is_whole(received, size, framing):
    _, found, body = received.partition(b"\r\n\r\n")
    if framing == "chunked":
        return received.endswith(b"\r\n0\r\n\r\n")
    return framing == "counted" and bool(found) and len(body) >= size


@then("requests' answer ended {ended}")
def check_ended(context, ended):
    assert context.ended in ended.split("/"), (context.ended, context.received[:300])


@when("requests for 200 MB are read by a slow caller")
def read_slowly(context):
    async def main():
        async with Rig() as r:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", r.entry.callers.port, limit=1 << 16
            )
            writer.write(b"GET /quotes/large?size=200000000 HTTP/1.1\r\nHost: a\r\n\r\n")
            process, size, most = psutil.Process(), 0, 0
            await reader.readuntil(b"\r\n\r\n")
            before = process.memory_info().rss
            while size < 200_000_000:
                size += len(await reader.read(1 << 20))
                if size < 2_000_000:
                    await asyncio.sleep(0.05)
                most = max(most, process.memory_info().rss)
            context.grown = most - before
            writer.close()

    asyncio.run(main())


@when("requests of kind {kind} meet an executor that answers {raw}")
def meet_raw(context, kind, raw):
    async def answer(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0]
        writer.write(_unescape(raw).replace(b"<id>", request_id))
        await writer.drain()
        writer.close()

    async def main():
        async with Rig() as r, await asyncio.start_server(answer, "127.0.0.1") as server:
            port = server.sockets[0].getsockname()[1]
            workers = r.entry.executors.workers
            workers.by_id["w-x1"]["executors"][0]["address"] = f"127.0.0.1:{port}"
            workers.callbacks[0]({"w-x1"})
            context.told = await r.ask(kind)
            context.runs = r.runs()

    asyncio.run(main())


def _unescape(text):
    raw = text.encode().replace(b"\\r", b"\r").replace(b"\\n", b"\n").replace(b"\\0", b"\0")
    return raw.replace(b"<big>", b"9" * 9)


@then("requests are told {code:d} by the entry host")
def check_code(context, code):
    assert context.told.code == code, (context.told.code, context.told.resp.body)


@then("requests took less than {size:d} MB more memory")
def check_memory(context, size):
    assert context.grown < size * 1_000_000, context.grown


@when("requests' caller stops reading a large answer")
def stop_reading(context):
    async def main():
        async with Rig() as r:
            connection = asyncio.open_connection("127.0.0.1", r.entry.callers.port, limit=1 << 16)
            reader, writer = await connection
            head = "GET /quotes/large?size=200000000 HTTP/1.1\r\nHost: a\r\n"
            writer.write(f"{head}X-Request-Timeout: 1\r\n\r\n".encode())
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.3)
            assert r.entry.slots.held == 1
            await asyncio.sleep(2.0)
            context.held, context.ended = r.entry.slots.held, "open"
            try:
                while await asyncio.wait_for(reader.read(1 << 20), 1.0):
                    pass
            except ConnectionResetError:
                context.ended = "reset"
            except TimeoutError:
                pass
            writer.close()

    asyncio.run(main())


@then("requests' slot is free when the time is over, and the connection is reset")
def check_stop_reading(context):
    assert context.held == 0 and context.ended == "reset", (context.held, context.ended)


@when("requests' caller sends {malformed}")
def send_malformed(context, malformed):

    async def main():
        async with Rig(callers={"header_timeout_s": 1.0}) as r:
            reader, writer = await asyncio.open_connection("127.0.0.1", r.entry.callers.port)
            writer.write(_unescape(malformed))
            context.received = await asyncio.wait_for(reader.read(), 10)
            writer.close()
            context.runs = r.runs()

    asyncio.run(main())


@then("requests' caller reads {status} with {code} and the end of the connection")
def check_malformed(context, status, code):
    assert context.received.startswith(f"HTTP/1.1 {status} ".encode()), context.received
    assert f"X-Result-Code: {code}\r\n".encode() in context.received, context.received
    assert context.received.count(b"X-Result-Code") == 1, context.received
    assert b"Retry-After" in context.received
    assert not context.runs


@when("requests' caller hangs up while its {kind} request {state}")
def hang_up(context, kind, state):
    async def main():
        async with Rig() as r:
            if state == "waits for a slot":
                r.entry.slots.open.clear()
            _, writer = await asyncio.open_connection("127.0.0.1", r.entry.callers.port)
            lines = f"{METHODS[kind]} /quotes/gone?run_s=0.3 HTTP/1.1\r\nHost: a\r\n"
            writer.write((lines + "Content-Length: 0\r\n\r\n").encode())
            await asyncio.wait_for(r.entry.slots.closed.wait(), 10)
            await asyncio.sleep(0.15)
            assert r.upstreams.by_name["x1"].show()["running"] == (state == "runs")
            writer.close()
            await asyncio.sleep(0.1)
            context.held = r.entry.slots.held
            r.entry.slots.open.set()
            await asyncio.sleep(0.5)
            context.runs = r.runs()
            assert r.entry.slots.held == 0

    asyncio.run(main())


@then("requests have {count:d} run and the slot is {slot}")
def check_hang_up(context, count, slot):
    assert len(context.runs) == count, context.runs
    assert context.held == (slot == "still held"), context.held


@when("requests are in flight while the entry host stops")
def stop_entry(context):
    async def main():
        async with Rig() as r:
            port = r.entry.callers.port
            kept = await asyncio.open_connection("127.0.0.1", port)
            idle = await asyncio.open_connection("127.0.0.1", port)
            assert b"200 OK" in await _get(kept, "/-/ready")
            flying = [asyncio.create_task(r.ask(query="run_s=0.8")) for _ in range(5)]
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(r.entry.callers.drain())
            await asyncio.sleep(0.05)
            context.ready = await _get(await asyncio.open_connection("127.0.0.1", port), "/-/ready")
            context.lingering = await _get(kept, "/quotes/kept")
            await asyncio.sleep(0.4)
            context.late = await _get(idle, "/quotes/late")
            context.told = [await task for task in flying]
            await stopping
            context.runs = r.runs()

    asyncio.run(main())


async def _get(connection, path):
    reader, writer = connection
    writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
    length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
    return head + await reader.readexactly(length)


@then("requests in flight were answered and later ones truly refused")
def check_stop(context):
    assert [told.code for told in context.told] == [1000] * 5
    assert context.ready.startswith(b"HTTP/1.1 503"), context.ready
    assert b"Connection: close" in context.lingering
    assert b"X-Result-Code: 1000" in context.lingering, context.lingering
    assert b"X-Result-Code: 1105" in context.late, context.late
    assert not [run for run in context.runs if "late" in run.path]


@when("requests are given {seconds:g} s by a {kind} caller while both executors refuse connections")
def give_up(context, seconds, kind):
    async def main():
        async with Rig() as r:
            for executor in r.upstreams.by_name.values():
                executor.cut()
            started = time.monotonic()
            context.told = await r.ask(kind, timeout_s=seconds)
            context.took_s = time.monotonic() - started
            context.runs = r.runs()

    asyncio.run(main())


@then("requests are refused long before their deadline of {seconds:g} s")
def check_at_once(context, seconds):
    context.told.check(context.runs, False)
    assert context.told.code == 1103, context.told.code
    assert context.took_s < seconds / 2
