"""Steps for requests and answers on the wire: large, raw, malformed, pipelined."""

import asyncio

import psutil
from behave import then, when

from features.support.rigs import Rig, read_answer
from mustardgap.timers import Clock
from standins.controls import check_body


@when("requests for {size:d} bytes are cut after {cut} by an executor, {framing}")
def read_truncated_answer(context, size, cut, framing):
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
                while not _is_complete(context.received, size, framing):
                    chunk = await asyncio.wait_for(reader.read(1 << 20), 10)
                    if not chunk:
                        context.ended = "closed"
                        break
                    context.received += chunk
            except ConnectionResetError:
                context.ended = "reset"
            context.memory_growth = psutil.Process().memory_info().rss - before
            writer.close()
            assert r.entry.slots.held == 0 or context.ended == "open"

    asyncio.run(main())


def _is_complete(received, size, framing):
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
            # The default of 5 s is too short for 200 MB if the test's process is delayed.
            lines = b"GET /quotes/large?size=200000000 HTTP/1.1\r\nHost: a\r\n"
            writer.write(lines + b"X-Request-Timeout: 60\r\n\r\n")
            process, size, peak = psutil.Process(), 0, 0
            await reader.readuntil(b"\r\n\r\n")
            before = process.memory_info().rss
            while size < 200_000_000:
                size += len(await reader.read(1 << 20))
                if size < 2_000_000:
                    await asyncio.sleep(0.05)
                peak = max(peak, process.memory_info().rss)
            context.memory_growth = peak - before
            writer.close()

    asyncio.run(main())


@when("requests of kind {kind} are sent to an executor that answers {raw}")
def send_to_raw_executor(context, kind, raw):
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
    # Python refuses to convert more than 4300 digits to an int.
    return raw.replace(b"<big>", b"9" * 9).replace(b"<huge>", b"9" * 5000)


@then("requests are told {code:d} by the entry host")
def check_code(context, code):
    assert context.told.code == code, (context.told.code, context.told.resp.body)


@then("requests used less than {size:d} MB of extra memory")
def check_memory(context, size):
    assert context.memory_growth < size * 1_000_000, context.memory_growth


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
            context.held_slots, context.ended = r.entry.slots.held, "open"
            try:
                while await asyncio.wait_for(reader.read(1 << 20), 1.0):
                    pass
            except ConnectionResetError:
                context.ended = "reset"
            except TimeoutError:
                pass
            writer.close()

    asyncio.run(main())


@then("requests' slot is free after the timeout, and the connection is reset")
def check_stop_reading(context):
    assert context.held_slots == 0 and context.ended == "reset", (context.held_slots, context.ended)


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


class JumpingClock(Clock):
    """A clock that jumps ahead by ``jump_s``, as after a freeze of its process."""

    jump_s = 0.0

    def monotonic(self):
        return super().monotonic() + self.jump_s


@when("requests are in progress while the entry host freezes as it {state}")
def freeze_while_sending(context, state):
    async def main():
        clock = JumpingClock()
        async with Rig(clock=clock) as r:
            target = r.entry.slots if state == "waits for a slot" else r.entry.sessions.upstreams
            method_name = "acquire" if state == "waits for a slot" else "_connect"
            original_method = getattr(target, method_name)

            async def frozen(*args, **kwargs):
                result = await original_method(*args, **kwargs)
                clock.jump_s = 30.0
                return result

            setattr(target, method_name, frozen)
            context.told, context.held_slots = await r.ask(), r.entry.slots.held
            context.runs = r.runs()

    asyncio.run(main())


@when("requests arrive {count:d} at once on one connection, the first the slowest")
def send_pipelined(context, count):
    async def main():
        async with Rig() as r:
            reader, writer = await asyncio.open_connection("127.0.0.1", r.entry.callers.port)
            paths = [f"/quotes/{n}?run_s={(count - n) / 200}" for n in range(count)]
            heads = [f"GET {p} HTTP/1.1\r\nHost: a\r\nX-Request-Id: {p}\r\n\r\n" for p in paths]
            writer.write("".join(heads).encode())
            context.received = [(path, await read_answer(reader)) for path in paths]
            writer.close()

    asyncio.run(main())


@then("requests are answered in that order, each with its own answer")
def check_pipelined(context):
    for path, answer in context.received:
        assert f"X-Request-Id: {path}\r\n".encode() in answer, (path, answer)
        assert check_body(answer.partition(b"\r\n\r\n")[2])["path"] == path


@when("requests' callers send ten bodies that are too large in total")
def send_large_bodies(context):
    async def main():
        async with Rig(callers={"max_held_bytes": 200_000}) as r:
            r.entry.slots.grants_allowed.clear()
            tasks = [asyncio.create_task(r.ask(body=b"x" * 90_000)) for _ in range(10)]
            await asyncio.sleep(0.3)
            r.entry.slots.grants_allowed.set()
            context.codes = {(await task).code for task in tasks}
            assert r.entry.callers.held_bytes == 0, r.entry.callers.held_bytes

    asyncio.run(main())


@then("requests are told only 1000 and 1113, both at least once")
def check_large_bodies(context):
    assert context.codes == {1000, 1113}, context.codes


@when("requests arrive on ten connections where two are allowed")
def open_many_connections(context):
    async def main():
        async with Rig(callers={"max_connections": 2}) as r:
            port = r.entry.callers.port
            streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(10)]
            for _, writer in streams:
                writer.write(b"GET /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n")
            context.heads = [await _read_head(reader) for reader, _ in streams]

    asyncio.run(main())


async def _read_head(reader):
    try:
        return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
    except (asyncio.IncompleteReadError, ConnectionResetError):
        return b""


@then("requests are told 1000, 1000, 1113 and the other connections end")
def check_many_connections(context):
    codes = [head.partition(b"X-Result-Code: ")[2][:4] for head in context.heads]
    assert codes == [b"1000", b"1000", b"1113"] + [b""] * 7, codes
