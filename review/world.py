"""A small world on loopback for the review's scripts: store, machines, executors, clients.

It speaks what PROTOCOL.md says, with the standard library alone, and starts the project's daemons
as the deploy file does. Nothing here fails by itself; each script causes its own disruption.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
ANSWER_S = 0.004
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
# A stop takes at most stopTimeoutMs, which is 400.
STOP_S = 0.2
GANG_TIMEOUT_S = 3.0
# How long a task that lasts takes until it is at work.
STARTUP_S = 0.5
MAINTENANCE_S, MOVE_S, NOTICE_S = 2.0, 1.5, 4.5
SHARDS = 12
HOST = "jobs.example"
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice"]
CONTRACTS += ["upkeep", "sharing"]

Answer = tuple[int, bytes]


class Request(NamedTuple):
    """One HTTP request; ``query`` has the first value of each name."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body's JSON object; ValueError if it isn't JSON."""
        return dict(json.loads(self.body))


Handler = Callable[[Request], Awaitable[Answer | None]]


def encode(status: int, fields: object) -> Answer:
    """Return an answer with a JSON body."""
    return status, json.dumps(fields).encode()


class Server:
    """An HTTP/1.1 server; a handler that returns None closes the connection unanswered."""

    def __init__(self, ip: str, port: int, handler: Handler) -> None:
        self.ip, self.port, self._handler = ip, port, handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; OSError if the port is taken."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)

    def abort(self) -> None:
        """End all connections with a reset and stop listening, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                answer = await self._handler(Request(method, url.path, query, headers, body))
                if answer is None:
                    writer.transport.abort()
                    return
                status, raw = answer
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(raw)}\r\n\r\n".encode() + raw
                )
                await writer.drain()
        except (asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    fields: object = None,
    *,
    host: str = HOST,
    timeout_s: float = 3.0,
) -> Answer | None:
    """Send one request on a connection of its own.

    :param timeout_s: seconds until the whole answer must be there.
    :return: status and body, None if there was no complete answer.
    """
    body = b"" if fields is None else json.dumps(fields).encode()
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                    f"X-Mustardgap-Request-Deadline: {int(timeout_s * 1000)}\r\n\r\n".encode()
                    + body
                )
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                length = int(head.partition("content-length:")[2].partition("\r\n")[0] or 0)
                return int(head.split(" ", 2)[1]), await reader.readexactly(length)
            finally:
                writer.close()
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None


def free_port(ip: str) -> int:
    """Return a port on which nobody listens at an address; OSError if there is none."""
    with socket.socket() as found:
        found.bind((ip, 0))
        return int(found.getsockname()[1])


class _Partition:
    """One partition of a topic, with what its producers have sent."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.epoch = -1
        self.next_seq: int | None = None
        self.answers: dict[int, Answer] = {}
        self.changed = asyncio.Event()

    def add(self, records: list[tuple[str, bytes]]) -> Answer:
        offset = len(self.records)
        self.records += records
        self.changed.set()
        self.changed = asyncio.Event()
        return encode(200, {"offset": offset, "end": len(self.records)})

    def newest(self) -> dict[str, tuple[int, bytes]]:
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records):
            found[key] = (offset, value)
        return {key: row for key, row in found.items() if row[1]}


class Store:
    """The platform's log with keyed topics and groups of members."""

    def __init__(self) -> None:
        self.partitions: dict[tuple[str, int], _Partition] = {}
        self.generation = 0
        self.members: dict[str, tuple[float, float]] = {}
        self.holder_by_part: dict[int, str] = {}
        self.target_by_part: dict[int, str] = {}
        self.topic = ""

    def partition(self, topic: str, part: int) -> _Partition:
        """Return a partition, made on first use."""
        return self.partitions.setdefault((topic, part), _Partition())

    def publish(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator or an executor does; None removes the key."""
        raw = b"" if value is None else json.dumps(value).encode()
        self.partition(topic, 0).add([(key, raw)])

    async def handle(self, request: Request) -> Answer | None:
        """Answer a call of a daemon."""
        await asyncio.sleep(ANSWER_S)
        verb = request.path.removeprefix("/mustardgap/").replace("-", "_")
        handler = getattr(self, f"_do_{verb}", None)
        return await handler(request) if handler else (404, b"{}")

    async def _do_log_append(self, request: Request) -> Answer:
        query = request.query
        place = self.partition(query["topic"], int(query["part"]))
        records = _split(request.body)
        if "producer" not in query:
            return place.add(records)
        epoch = int(query["epoch"])
        if epoch < place.epoch:
            return encode(409, {"reason": "fenced"})
        if epoch > place.epoch:
            place.epoch, place.next_seq, place.answers = epoch, None, {}
        if not records:
            return place.add([])
        seq = int(query["seq"])
        if seq in place.answers:
            return place.answers[seq]
        if place.next_seq is not None and seq != place.next_seq:
            return encode(409, {"reason": "seq", "seq": place.next_seq})
        place.next_seq = seq + 1
        place.answers[seq] = place.add(records)
        place.answers.pop(seq - 5, None)
        return place.answers[seq]

    async def _do_log_read(self, request: Request) -> Answer:
        place = self.partition(request.query["topic"], int(request.query["part"]))
        offset = int(request.query["from"])
        if len(place.records) <= offset:
            wait_s = int(request.query.get("waitMs", 0)) / 1000
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(place.changed.wait(), wait_s)
        body = struct.pack(">QQ", len(place.records), 0)
        for key, value in place.records[offset:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return 200, body

    async def _do_log_newest(self, request: Request) -> Answer:
        place = self.partition(request.query["topic"], int(request.query["part"]))
        newest = place.newest()
        after = request.query.get("dependsOn", "")
        keys = sorted(key for key in newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:500]
        ]
        return encode(200, {"items": items, "hasMore": len(keys) > 500, "end": len(place.records)})

    def _expire(self) -> None:
        now = time.monotonic()
        for member, (seen, ttl) in list(self.members.items()):
            if now - seen > ttl:
                self._remove(member)

    def _remove(self, member: str) -> None:
        if self.members.pop(member, None) is None:
            return
        self.holder_by_part = {p: m for p, m in self.holder_by_part.items() if m != member}
        self._deal()

    def _deal(self) -> None:
        """Distribute the partitions evenly, and move as few as possible."""
        self.generation += 1
        names = sorted(self.members)
        if not names:
            self.target_by_part = {}
            return
        most = -(-SHARDS // len(names))
        counts = dict.fromkeys(names, 0)
        target: dict[int, str] = {}
        for part in range(SHARDS):
            member = self.target_by_part.get(part)
            if member in counts and counts[member] < most:
                target[part] = member
                counts[member] += 1
        for part in range(SHARDS):
            if part not in target:
                member = min(names, key=lambda name: counts[name])
                target[part] = member
                counts[member] += 1
        self.target_by_part = target

    async def _do_log_join(self, request: Request) -> Answer:
        fields = request.json()
        member, self.topic = fields["member"], fields["topics"][0]
        self._expire()
        is_new = member not in self.members
        self.members[member] = (time.monotonic(), fields["ttlMs"] / 1000)
        if is_new:
            self._deal()
        if fields["generation"] >= self.generation:
            for part, holder in list(self.holder_by_part.items()):
                if holder == member and self.target_by_part.get(part) != member:
                    del self.holder_by_part[part]
        rows = []
        for part, target in self.target_by_part.items():
            if target == member and self.holder_by_part.setdefault(part, member) == member:
                rows.append([self.topic, part, 0])
        return encode(200, {"generation": self.generation, "ttlMs": 1800, "parts": rows})

    async def _do_log_leave(self, request: Request) -> Answer:
        self._remove(request.json()["member"])
        return encode(200, {})

    async def _do_log_owners(self, request: Request) -> Answer:
        self._expire()
        rows = [[self.topic, part, member, 0] for part, member in self.holder_by_part.items()]
        return encode(200, {"owners": rows})


def _split(body: bytes) -> list[tuple[str, bytes]]:
    """Split the records of an append to a keyed topic."""
    records = []
    place = 0
    while place < len(body):
        (length,) = struct.unpack_from(">I", body, place)
        content = body[place + 4 : place + 4 + length]
        place += 4 + length
        records.append((content[1 : 1 + content[0]].decode(), content[1 + content[0] :]))
    return records


class Run:
    """A run of a task on an executor."""

    def __init__(self, name: str, number: int, step: dict[str, Any], spec: dict[str, Any]) -> None:
        self.name, self.number, self.step, self.spec = name, number, step, spec
        self.began = time.monotonic()
        self.work: asyncio.Task[None] | None = None

    @property
    def group(self) -> str:
        """The step and occurrence that it belongs to, with the run's number."""
        return f"{self.name.rpartition('.')[0]}/{self.number}"

    @property
    def percent(self) -> int:
        """How far it is; 100 if it lasts and is at work."""
        age_s = time.monotonic() - self.began
        if self.step.get("longRunning"):
            return 100 if age_s >= STARTUP_S else 0
        return min(99, int(100_000 * age_s / self.spec.get("work_ms", 1000)))


class Executor:
    """One life of a machine, which guards its capacity."""

    def __init__(self, world: "World", machine: "Machine", name: str) -> None:
        self.world, self.machine, self.name = world, machine, name
        self.fence = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.ended: list[list[Any]] = []
        self.until_ms = 0
        self.alive = True
        self.draining = False
        # The fences of owners that reach this executor; None if all do.
        self.reached_by: set[int] | None = None
        self._count = 0
        self._floor_by_task: dict[str, int] = {}
        self._began = time.monotonic()
        self._news = asyncio.Event()
        self._server = Server(world.ip, machine.port, self._handle)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def clock_ms(self) -> int:
        """The executor's steady clock, in milliseconds."""
        return 1000 + int((time.monotonic() - self._began) * 1000)

    async def start(self) -> None:
        """Begin to serve and to write its entry."""
        await self._server.start()
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._lapse())]

    def crash(self) -> None:
        """End at once, with all that runs here."""
        self.alive = False
        self._server.abort()
        for task in self._tasks:
            task.cancel()
        for run in list(self.runs.values()):
            if run.work is not None:
                run.work.cancel()
            self.world.record.note(
                "executor", f"{run.name} run {run.number} ends: {self.name} is down"
            )
            self.world.note_end(run, "down")
        self.runs.clear()

    async def _beat(self) -> None:
        seq = 0
        while True:
            seq += 1
            entry = {
                "service": self.machine.pool,
                "addr": f"{self.world.ip}:{self.machine.port}",
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0,
                "capacity": self.machine.capacity,
                "labels": ["a", self.machine.rack],
                "machine": self.machine.name,
                "clockMs": self.clock_ms,
                "seq": seq,
            }
            self.world.store.publish("keyed.servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _lapse(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.clock_ms > self.until_ms:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")

    def end(self, run: Run, how: str) -> None:
        """List the end of a run, and take note of it in the record."""
        if self.runs.pop((run.name, run.number), None) is None:
            return
        self._count += 1
        self.ended.append([self._count, run.name, run.number, how, ""])
        self._floor_by_task[run.name] = max(self._floor_by_task.get(run.name, 0), run.number)
        self._news.set()
        self.world.record.note("executor", f"{self.name}: {run.name} run {run.number} ends {how}")
        self.world.note_end(run, how)
        if run.work is not None and run.work is not asyncio.current_task():
            run.work.cancel()

    async def _handle(self, request: Request) -> Answer | None:
        await asyncio.sleep(0.001)
        if request.headers.get("x-mustardgap-expect-instance", self.name) != self.name:
            return encode(421, {})
        fields = request.json()
        if self.reached_by is not None and fields["fence"] not in self.reached_by:
            await asyncio.sleep(20)
            return None
        if fields.get("fence", 0) < self.fence:
            return encode(409, {"clockMs": self.clock_ms, "reason": "fence"})
        self.fence = fields.get("fence", 0)
        verb = request.path.removeprefix("/mustardgap/")
        if verb == "run-start":
            return self._start_run(fields)
        if verb == "run-stop":
            return self._stop_run(fields)
        if verb == "hold":
            return await self._hold(fields)
        return encode(200, {"clockMs": self.clock_ms}) if verb == "pace" else (404, b"{}")

    def _extend(self, until_ms: int) -> None:
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms + HOLD_MAX_MS))

    def _start_run(self, fields: dict[str, Any]) -> Answer:
        name, number = fields["task"], fields["run"]
        clock = {"clockMs": self.clock_ms}
        if (name, number) in self.runs:
            return encode(200, clock)
        if fields["untilMs"] <= self.clock_ms:
            return encode(409, {**clock, "reason": "late"})
        self._extend(fields["untilMs"])
        if number <= self._floor_by_task.get(name, 0):
            return encode(409, {**clock, "reason": "old"})
        step = self.world.step_of(name)
        for kind in ("cpu", "memMb"):
            used = sum(run.step.get(kind, 0) for run in self.runs.values())
            if used + step.get(kind, 0) > self.machine.capacity[kind]:
                return encode(409, {**clock, "reason": "room"})
        run = Run(name, number, step, json.loads(fields["spec"] or "{}"))
        self.runs[name, number] = run
        self.world.record.note("executor", f"{self.name}: {name} run {number} starts")
        self.world.note_start(self, run)
        run.work = asyncio.create_task(self._work(run))
        return encode(200, clock)

    async def _work(self, run: Run) -> None:
        if run.step.get("gang"):
            if not await self.world.gather_gang(run):
                self.end(run, "alone")
                return
            run.began = time.monotonic()
        if run.step.get("longRunning"):
            return
        await asyncio.sleep(run.spec.get("work_ms", 1000) / 1000)
        index = int(run.name.rpartition(".")[2])
        fails = run.spec.get("fails", False) or index in run.spec.get("failing", [])
        if run.step.get("gang"):
            self.world.end_gang(run, "failed" if fails else "done")
            return
        self.end(run, "failed" if fails else "done")

    def _stop_run(self, fields: dict[str, Any]) -> Answer:
        name, number = fields["task"], fields["run"]
        run = self.runs.get((name, number))
        if run is None:
            self._floor_by_task[name] = max(self._floor_by_task.get(name, 0), number)
        else:
            asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")
        return encode(200, {"clockMs": self.clock_ms})

    async def _hold(self, fields: dict[str, Any]) -> Answer:
        self._extend(fields.get("untilMs", 0))
        acked = fields.get("ackedOffset", 0)
        for row in self.ended:
            if row[0] <= acked:
                self.world.record.note(
                    "executor", f"{self.name}: end {row[3]} of {row[1]} run {row[2]} noted"
                )
                self.world.note_acknowledged(row)
        self.ended = [row for row in self.ended if row[0] > acked]
        if not self.ended and fields.get("waitMs"):
            self._news.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), fields["waitMs"] / 1000)
        running = [[run.name, run.number, "", run.percent, 0] for run in self.runs.values()]
        ended = self.ended[:500]
        return encode(200, {"clockMs": self.clock_ms, "running": running, "ended": ended})


class Machine:
    """A machine of a pool, and its executor while it is up."""

    def __init__(self, name: str, pool: str, rack: str, port: int, cpu: int, mem_mb: int) -> None:
        self.name, self.pool, self.rack, self.port = name, pool, rack, port
        self.capacity = {"cpu": cpu, "memMb": mem_mb, "gpu": 0}
        self.state = "down"
        self.executor: Executor | None = None
        self.lives = 0


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._began

    def note(self, who: str, what: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {who}: {what}\n")
        self._file.flush()


class World:
    """The platform, its machines and the daemons of one script.

    :param record: the file to which the script's record is written.
    """

    def __init__(self, record: Path) -> None:
        self.ip = "127.0.0.1"
        self.record = Record(record)
        self.store = Store()
        self.machines: dict[str, Machine] = {}
        self.daemons: dict[str, subprocess.Popen[bytes]] = {}
        self.front_by_daemon: dict[str, str] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        # (time, executor, task, run) of each start, and (time, task, run, how) of each end.
        self.starts: list[tuple[float, str, str, int]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.acknowledged: list[tuple[float, str, int, str]] = []
        # Stops of lasting tasks at work while as many others were away as their step may miss.
        self.breaches: list[str] = []
        # When a lasting task was last at work, and those that an order has ended.
        self._left_work_at: dict[str, float] = {}
        self._stopped: set[str] = set()
        self._gangs: dict[str, list[tuple[Executor, Run]]] = {}
        self._gathered: dict[str, asyncio.Event] = {}
        self._background: list[asyncio.Task[None]] = []
        # The port between daemons, the same for all, as on the platform.
        self._peer_port = free_port(self.ip)
        self._temporary = tempfile.TemporaryDirectory(prefix="mustardgap-review-")
        self.temporary = Path(self._temporary.name)
        # Daemons whose calls the store doesn't get, and whose answers are lost.
        self.cut_off: set[str] = set()
        self.cloud_address = f"{self.ip}:{free_port(self.ip)}"

    # The platform.

    async def start_platform(self) -> None:
        """Serve the list of machines; each daemon has an address of the store of its own."""
        ip, _, port = self.cloud_address.rpartition(":")
        await Server(ip, int(port), self._cloud).start()

    async def _serve_store(self, daemon: str) -> str:
        """Serve the store to one daemon, which may be cut off from it.

        :return: the address.
        """

        async def handle(request: Request) -> Answer | None:
            cut = daemon in self.cut_off
            answer = None if cut else await self.store.handle(request)
            while daemon in self.cut_off:
                cut = True
                await asyncio.sleep(0.05)
            return None if cut else answer

        port = free_port(self.ip)
        await Server(self.ip, port, handle).start()
        return f"{self.ip}:{port}"

    def owner_of(self, service: str) -> str:
        """The daemon that holds a service's shard; empty if none does."""
        digest = hashlib.blake2b(service.encode(), digest_size=8).digest()
        part = 1 + int.from_bytes(digest) % (SHARDS - 1)
        return self.store.holder_by_part.get(part, "").rpartition("/")[2]

    async def add_machine(self, name: str, pool: str, rack: str, cpu: int, mem_mb: int) -> None:
        """Add a machine with an executor."""
        machine = Machine(name, pool, rack, free_port(self.ip), cpu, mem_mb)
        self.machines[name] = machine
        await self.boot(machine)

    async def boot(self, machine: Machine) -> None:
        """Give a machine a new executor."""
        machine.lives += 1
        machine.executor = Executor(self, machine, f"i-{machine.name}-{machine.lives}")
        await machine.executor.start()
        machine.state = "up"
        self.record.note("platform", f"{machine.executor.name} of {machine.pool} is up")

    async def crash_machine(self, machine: Machine, *, down_s: float) -> None:
        """Crash a machine's executor; a new one starts there after some seconds."""
        executor = machine.executor
        assert executor is not None
        self.record.note("disruption", f"{executor.name} crashes")
        machine.executor, machine.state = None, "down"
        executor.crash()
        self._background.append(asyncio.create_task(self._unlist(executor)))
        await asyncio.sleep(down_s)
        await self.boot(machine)

    async def _unlist(self, executor: Executor) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.publish("keyed.servers", executor.name, None)

    async def _cloud(self, request: Request) -> Answer | None:
        await asyncio.sleep(ANSWER_S)
        if request.path == "/mustardgap/machines":
            rows = [
                {
                    "machine": machine.name,
                    "pool": machine.pool,
                    "state": machine.state,
                    "zone": "z1",
                    "labels": ["a", machine.rack],
                    "capacity": machine.capacity,
                    "id": machine.executor.name if machine.executor else None,
                }
                for machine in self.machines.values()
            ]
            return encode(200, {"machines": rows, "nextToken": None})
        return encode(409, {"reason": "busy"})

    # What runs.

    def step_of(self, task: str) -> dict[str, Any]:
        """The step of a task by its job's submission; KeyError if nobody sent the job."""
        job, _, step, _ = task.split(".")
        return dict(self.jobs[job]["steps"][int(step)])

    def note_start(self, executor: Executor, run: Run) -> None:
        """Note that a run has started."""
        self.starts.append((self.record.now(), executor.name, run.name, run.number))
        if run.step.get("gang"):
            members = self._gangs.setdefault(run.group, [])
            members.append((executor, run))
            if len(members) == run.step["count"]:
                self._gathered.setdefault(run.group, asyncio.Event()).set()

    def note_end(self, run: Run, how: str) -> None:
        """Note that a run has ended; the other members of its gang end with it."""
        self.ends.append((self.record.now(), run.name, run.number, how))
        if run.step.get("longRunning") and run.percent == 100:
            self._note_left_work(run, how)
        if run.step.get("gang") and how in ("failed", "stopped", "lapsed", "down"):
            for other_executor, other in self._gangs.pop(run.group, []):
                if other is not run:
                    other_executor.end(other, "broken")

    def _note_left_work(self, run: Run, how: str) -> None:
        """Check the end of a lasting task that was at work against what its step may miss."""
        now = self.record.now()
        group, _, index = run.name.rpartition(".")
        away = [
            other
            for other in range(run.step["count"])
            if other != int(index) and self._is_away(f"{group}.{other}", now)
        ]
        if how == "stopped" and "mayMiss" in run.step and len(away) >= run.step["mayMiss"]:
            self.breaches.append(f"{run.name} is ended at {now:.3f} s; {len(away)} others are away")
        self._left_work_at[run.name] = now
        if how == "stopped":
            self._stopped.add(run.name)

    def _is_away(self, task: str, now: float) -> bool:
        """Whether an order has ended a task, or it hasn't been at work for NOTICE_S."""
        for machine in self.machines.values():
            for run in machine.executor.runs.values() if machine.executor else ():
                if run.name == task and run.percent == 100:
                    self._stopped.discard(task)
                    return False
        return task in self._stopped or now - self._left_work_at.get(task, 0.0) >= NOTICE_S

    def most_at_once(self, task: str) -> int:
        """The most runs of a task that were there at the same time, on executors that were up."""
        changes = [(at, 1) for at, _, name, _ in self.starts if name == task]
        changes += [(at, -1) for at, name, _, _ in self.ends if name == task]
        most = count = 0
        for _, change in sorted(changes):
            count += change
            most = max(most, count)
        return most

    def note_acknowledged(self, row: list[Any]) -> None:
        """Note that the end in a row has been taken note of."""
        self.acknowledged.append((self.record.now(), row[1], row[2], row[3]))

    async def gather_gang(self, run: Run) -> bool:
        """Wait for all members of a run of a gang; False if one is missing for too long."""
        event = self._gathered.setdefault(run.group, asyncio.Event())
        try:
            await asyncio.wait_for(event.wait(), GANG_TIMEOUT_S)
        except TimeoutError:
            return False
        return True

    def end_gang(self, run: Run, how: str) -> None:
        """End a gang when the work of a member is over: all done, or one failed."""
        members = self._gangs.get(run.group, [])
        if how == "done" and any(
            int(r.name.rpartition(".")[2]) in r.spec.get("failing", []) for _, r in members
        ):
            return
        for executor, member in self._gangs.pop(run.group, []):
            if how == "done" or member is run:
                executor.end(member, how)
            else:
                executor.end(member, "broken")

    # The daemons.

    async def start_daemon(self, name: str, ip: str) -> None:
        """Start one daemon as the deploy file does, and wait until it is ready.

        :raises RuntimeError: it isn't ready within 20 s.
        """
        front, ready = free_port(ip), free_port(ip)
        settings = {
            "node": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"},
            "portRange": [self._peer_port, self._peer_port + 1],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": CONTRACTS,
            "bounds": {
                "contactMs": 3000,
                "drainMs": 2000,
                "graceS": 6,
                "holdMaxMs": HOLD_MAX_MS,
                "stopTimeoutMs": 400,
                "gangTimeoutMs": int(GANG_TIMEOUT_S * 1000),
                "status_s": 120,
                "farX": 2,
                "noticeMs": int(NOTICE_S * 1000),
                "moveS": MOVE_S,
                "maintenanceS": MAINTENANCE_S,
                "enforceFencing": True,
                "leaseMs": 3000,
                "harmMs": 4000,
            },
            "orders": "call",
            "advice": self.cloud_address,
            "platform": {"addr": await self._serve_store(name), "form": "log", "parts": SHARDS},
            "cloudApi": {"addr": self.cloud_address, "ratePerS": 64.0, "dutyPerS": 64.0},
        }
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        variables = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        variables |= {
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}",
            "MUSTARDGAP_CONFIG": str(path),
            "MUSTARDGAP_METRICS_PORT": str(free_port(ip)),
        }
        self.daemons[name] = self._spawn(name, variables)
        self.front_by_daemon[name] = f"{ip}:{front}"
        for _ in range(200):
            answer = await call(f"{ip}:{ready}", "GET", "/mustardgap/ready", timeout_s=1.0)
            if answer is not None and answer[0] == 200:
                self.record.note("daemon", f"{name} is ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{name} isn't ready: {self.log_of(name)[-2000:]}")

    def _spawn(self, name: str, variables: dict[str, str]) -> subprocess.Popen[bytes]:
        """Start a daemon with the command of the deploy file; its output goes to a file."""
        with open(self.temporary / f"{name}.log", "ab") as output:
            return subprocess.Popen(
                ["python3", "-m", "mustardgap.platform"],
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def log_of(self, name: str) -> str:
        """What a daemon has written so far."""
        return (self.temporary / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def stop(self) -> None:
        """End all daemons and remove the temporary folder; keeps their logs if KEEP_LOGS is set."""
        for name, process in self.daemons.items():
            if process.poll() is None:
                process.kill()
            process.wait()
            if folder := os.environ.get("KEEP_LOGS"):
                Path(folder, f"{name}.log").write_text(self.log_of(name), encoding="utf-8")
        self._temporary.cleanup()

    # Clients.

    async def submit(self, prefix: str, job: str, fields: dict[str, Any]) -> int:
        """Hand a job in until it is accepted or rejected, as a client does.

        :return: the final status, 0 if there was none in ten tries.
        """
        self.jobs[job] = fields
        fronts = list(self.front_by_daemon.values())
        for attempt in range(10):
            front = fronts[attempt % len(fronts)]
            answer = await call(front, "POST", prefix + job, fields)
            status = answer[0] if answer else 0
            self.record.note("client", f"POST {prefix}{job} at {front}: {status or 'no answer'}")
            if status == 200:
                return status
            await asyncio.sleep(0.5)
        return 0

    async def state(self, prefix: str, job: str) -> str:
        """Ask for a job's state; "410" and the like if it isn't told, "" without an answer."""
        for front in self.front_by_daemon.values():
            answer = await call(front, "GET", prefix + job)
            if answer is None or answer[0] in (503, 504):
                continue
            state = str(json.loads(answer[1]).get("state", answer[0]))
            self.record.note("client", f"GET {prefix}{job} at {front}: {answer[0]} {state}")
            return state
        return ""


def play(record: Path, script: Callable[[World, bool], Awaitable[bool]]) -> None:
    """Run a script's play and exit with 0 if the rule held, 1 if it was broken, 2 if it can't run.

    :param record: the file for what was sent, answered and run.
    :param script: the play; it gets the world and whether to cause the disruption, and returns
        whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        world = World(record)
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(110):
                held = await script(world, trouble)
            world.record.note("result", "the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except Exception as exc:
            world.record.note("result", f"the case couldn't run: {exc!r}")
            print(f"the case couldn't run: {exc!r}", file=sys.stderr)
            return 2
        finally:
            world.stop()

    sys.exit(asyncio.run(run()))
