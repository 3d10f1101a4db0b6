"""A stand-in for the platform: its store, machines and executors, over HTTP on loopback.

It runs in the process of a case's script, which starts the daemons beside it. It behaves as the
pages say and never breaks a connection or delays an answer by itself; scripts set its hooks.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
PARTS = 12
APPEND_S = 0.002
# The time that a store's answer and an executor's take on the way.
STORE_WAY_S, EXECUTOR_WAY_S = 0.004, 0.001
MAX_LISTED_ENDS = 500
RECORD_BYTES = 262_144
CHECKPOINT_S = 0.5
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
STOP_S = 0.1
MOVE_S, MAINTENANCE_S = 1.5, 2.0
PLATFORM_IP = "127.0.0.1"
Reply = tuple[int, bytes]
# None closes the connection without an answer.
Handler = Callable[["Call"], Awaitable[Reply | None]]


class Call(NamedTuple):
    """One HTTP request; ``query`` and ``headers`` (in small letters) hold the last value."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """The body, decoded."""
        return json.loads(self.body)


def reply(status: int, fields: object = None) -> Reply:
    """An answer with a JSON body."""
    return status, json.dumps({} if fields is None else fields).encode()


class HttpServer:
    """Serves HTTP/1.1 with one handler; requests of one connection are answered in turn."""

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int) -> None:
        """Listen on an address.

        :raises OSError: it is in use.
        """
        self._server = await asyncio.start_server(self._serve, ip, port, backlog=1024)

    def close(self) -> None:
        """Listen no more, and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                call = await _read_call(reader)
                if call is None:
                    return
                answer = await self._handle(call)
                if answer is None:
                    return
                status, body = answer
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Only the end of the script cancels this.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_call(reader: asyncio.StreamReader) -> Call | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    method, target, _ = first.split(" ")
    parts = urlsplit(target)
    return Call(method, parts.path, dict(parse_qsl(parts.query)), headers, body)


class _Partition:
    """One partition of a topic: its records from the first kept one, and its producer's state."""

    def __init__(self) -> None:
        self.rows: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.epoch = -1
        self.sequence: int | None = None
        self.recent: list[tuple[int, Reply]] = []
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def add(self, content: bytes, *, keyed: bool) -> None:
        """Append one record."""
        self.rows.append(content)
        if keyed:
            end = 1 + content[0]
            key, value = content[1:end].decode(), content[end:]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, len(self.rows) - 1)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store: topics, and one group of members.

    ``on_append`` is told of each append that is about to be carried out. ``down`` refuses all
    calls with 503. ``slow_s`` delays each answer.
    """

    def __init__(self) -> None:
        self.parts: dict[tuple[str, int], _Partition] = {}
        self.generation = 0
        self.members: dict[str, float] = {}
        self.ttls: dict[str, float] = {}
        self.target: dict[int, str] = {}
        self.holder: dict[int, str] = {}
        self.down = False
        self.slow_s = 0.0
        self.on_append: Callable[[Call], None] = lambda call: None
        # How many appends were refused for a record that is too large.
        self.refused = 0
        self._topic = ""

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator or an executor does."""
        raw = key.encode()
        self._part(topic, 0).add(bytes([len(raw)]) + raw + value, keyed=True)

    def status(self, key: str) -> bytes:
        """The newest record that the system wrote for the operator; empty if there is none."""
        return self._part("keyed.status", 0).newest.get(key, (b"", 0))[0]

    async def handle(self, call: Call) -> Reply | None:
        """Answer one call."""
        await asyncio.sleep(STORE_WAY_S + self.slow_s)
        if self.down:
            return reply(503)
        verb = call.path.removeprefix("/mustardgap/").replace("-", "_")
        return await getattr(self, f"_{verb}")(call)

    def _part(self, topic: str, part: int) -> _Partition:
        return self.parts.setdefault((topic, part), _Partition())

    async def _log_append(self, call: Call) -> Reply:
        topic, query = call.query["topic"], call.query
        part = self._part(topic, int(query.get("part", 0)))
        contents = list(_split(call.body))
        if any(len(content) > RECORD_BYTES for content in contents):
            self.refused += 1
            return reply(400)
        self.on_append(call)
        async with part.lock:
            await asyncio.sleep(APPEND_S)
            if "producer" in query:
                epoch = int(query["epoch"])
                if epoch < part.epoch:
                    return reply(409, {"reason": "fenced"})
                if epoch > part.epoch:
                    part.epoch, part.sequence, part.recent = epoch, None, []
                if contents:
                    sequence = int(query["seq"])
                    for known, answer in part.recent:
                        if known == sequence:
                            return answer
                    if part.sequence is not None and sequence != part.sequence + 1:
                        return reply(409, {"reason": "seq", "seq": part.sequence + 1})
                    part.sequence = sequence
            offset = len(part.rows)
            for content in contents:
                part.add(content, keyed=topic.startswith("keyed."))
            answer = reply(200, {"offset": offset, "end": len(part.rows)})
            if "producer" in query and contents:
                part.recent = [*part.recent, (int(query["seq"]), answer)][-5:]
            return answer

    async def _log_read(self, call: Call) -> Reply:
        part = self._part(call.query["topic"], int(call.query["part"]))
        first = int(call.query["from"])
        until = time.monotonic() + int(call.query.get("waitMs") or 0) / 1000
        while len(part.rows) <= first and (left := until - time.monotonic()) > 0:
            with suppress(TimeoutError):
                await asyncio.wait_for(part.changed.wait(), left)
            if self.down:
                return reply(503)
        body = [struct.pack(">QQ", len(part.rows), 0)]
        for content in part.rows[first:]:
            body.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(body)

    async def _log_newest(self, call: Call) -> Reply:
        part = self._part(call.query["topic"], int(call.query["part"]))
        after = call.query.get("dependsOn", "")
        keys = sorted(key for key in part.newest if key > after)
        items: list[dict[str, object]] = []
        size = 0
        for key in keys[:MAX_PAGE_ITEMS]:
            value, offset = part.newest[key]
            text = base64.b64encode(value).decode()
            size += len(text)
            if items and size > MAX_PAGE_BYTES:
                break
            items.append({"key": key, "value": text, "offset": offset})
        has_more = len(items) < len(keys)
        return reply(200, {"items": items, "hasMore": has_more, "end": len(part.rows)})

    async def _log_join(self, call: Call) -> Reply:
        fields = call.json()
        member, now = fields["member"], time.monotonic()
        self._topic = fields["topics"][0]
        self._drop_silent(now)
        is_new = member not in self.members
        self.members[member], self.ttls[member] = now, fields["ttlMs"] / 1000
        if is_new:
            self._deal()
        if fields["generation"] >= self.generation:
            for part, holder in list(self.holder.items()):
                if holder == member and self.target[part] != member:
                    del self.holder[part]
        mine = []
        for part, wanted in self.target.items():
            if wanted == member and self.holder.get(part, member) == member:
                self.holder[part] = member
                mine.append([self._topic, part, 0])
        return reply(200, {"generation": self.generation, "parts": mine})

    async def _log_leave(self, call: Call) -> Reply:
        self._remove([call.json()["member"]])
        return reply(200)

    async def _log_owners(self, call: Call) -> Reply:
        self._drop_silent(time.monotonic())
        rows = [[self._topic, part, member, 0] for part, member in self.holder.items()]
        return reply(200, {"owners": rows})

    def lapse(self) -> None:
        """Let all memberships expire, as they may while the store is down."""
        self._remove(list(self.members))

    def _drop_silent(self, now: float) -> None:
        self._remove([m for m, at in self.members.items() if now - at > self.ttls[m]])

    def _remove(self, names: list[str]) -> None:
        known = [name for name in names if name in self.members]
        for name in known:
            del self.members[name]
        if known:
            self.holder = {p: m for p, m in self.holder.items() if m not in known}
            self._deal()

    def _deal(self) -> None:
        """Distribute the partitions evenly; those that may stay do."""
        self.generation += 1
        names = sorted(self.members)
        if not names:
            self.target = {}
            return
        most = -(-PARTS // len(names))
        counts = dict.fromkeys(names, 0)
        target: dict[int, str] = {}
        for part in range(PARTS):
            known = self.target.get(part, "")
            if counts.get(known, most) < most:
                target[part] = known
                counts[known] += 1
        for part in range(PARTS):
            if part not in target:
                target[part] = min(names, key=lambda name: counts[name])
                counts[target[part]] += 1
        self.target = target


def _split(raw: bytes) -> Iterable[bytes]:
    place = 0
    while place < len(raw):
        (length,) = struct.unpack_from(">I", raw, place)
        yield raw[place + 4 : place + 4 + length]
        place += 4 + length


class Room(NamedTuple):
    """An amount of resources: thousandths of a core, and MB."""

    cpu: int
    mem_mb: int

    def plus(self, other: "Room") -> "Room":
        """The sum."""
        return Room(self.cpu + other.cpu, self.mem_mb + other.mem_mb)

    def minus(self, other: "Room") -> "Room":
        """The rest."""
        return Room(self.cpu - other.cpu, self.mem_mb - other.mem_mb)


class Run:
    """One run of a task, as it truly was; times are monotonic seconds."""

    def __init__(self, *, task: str, number: int, executor: "Executor", spec: str) -> None:
        self.task = task
        self.number = number
        self.executor = executor
        # The pool of its machine at its start.
        self.pool = executor.machine.pool
        self.spec = spec
        self.started_at = time.monotonic()
        self.ended_at: float | None = None
        self.how = ""
        # The checkpoint at its end.
        self.final = ""
        # The number of its end in its executor's list, and when that was acknowledged.
        self.end_number = 0
        self.acknowledged_at: float | None = None
        self.work_s: float | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_stopping = False

    @property
    def saved(self) -> str:
        """Its checkpoint, a digest of 32 digits; empty if its task keeps none."""
        if self.task.partition(".")[0] not in self.executor.world.checkpointing:
            return ""
        count = int((time.monotonic() - self.started_at) / CHECKPOINT_S)
        return f"{zlib.crc32(self.task.encode()):08x}{count:024x}" if count else ""

    @property
    def percent(self) -> int:
        """Its progress; a run of a task that lasts is at work after half a second."""
        ran_s = time.monotonic() - self.started_at
        if self.work_s is None:
            return 100 if ran_s > 0.5 else 0
        return min(99, int(100 * ran_s / self.work_s))


class Executor:
    """One life of an executor.

    :param world: all that belongs to the platform.
    :param name: its id.
    :param machine: the machine that it runs on.
    """

    def __init__(self, *, world: "World", name: str, machine: "Machine") -> None:
        self.world = world
        self.name = name
        self.machine = machine
        self.alive = True
        self.born = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.acknowledged = 0
        self.count = 0
        self.ended: list[tuple[int, Run]] = []
        self.running: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.lapses: list[float] = []
        self.changed = asyncio.Event()
        self.sequence = 0
        # How many orders it has refused, by the reason.
        self.refused: Counter[str] = Counter()
        self._used = Room(0, 0)

    @property
    def clock_ms(self) -> int:
        """Its steady clock."""
        return int((time.monotonic() - self.born) * 1000) + 1

    def entry(self, *, state: str = "ready") -> bytes:
        """What it says of itself in the store."""
        self.sequence += 1
        machine = self.machine
        fields = {
            "service": machine.pool,
            "addr": f"{PLATFORM_IP}:{machine.port}",
            "zone": "hall-a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldLeftMs": 0,
            "capacity": {"cpu": machine.room.cpu, "memMb": machine.room.mem_mb, "gpu": 0},
            "labels": [machine.kind, machine.rack],
            "machine": machine.name,
            "clockMs": self.clock_ms,
            "seq": self.sequence,
        }
        return json.dumps(fields).encode()

    @property
    def free(self) -> Room:
        """What its runs leave of its capacity."""
        return self.machine.room.minus(self._used)

    async def handle(self, call: Call) -> Reply | None:
        """Answer one order."""
        if not self.alive:
            return None
        if call.headers.get("x-mustardgap-expect-instance", self.name) != self.name:
            return reply(421)
        fields = call.json()
        if fields.get("fence", 0) < self.fence:
            return self._reply(409, reason="fence")
        self.fence = fields.get("fence", 0)
        self._expire()
        if call.path == "/mustardgap/run-start":
            return self._start(fields)
        if call.path == "/mustardgap/run-stop":
            return self._stop(fields)
        if call.path == "/mustardgap/hold":
            return await self._hold(fields)
        return self._reply(200)

    def _reply(self, status: int, **fields: object) -> Reply:
        if status == 409:
            self.refused[str(fields["reason"])] += 1
        return reply(status, {"clockMs": self.clock_ms, **fields})

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms + HOLD_MAX_MS)
        self.until_ms = max(self.until_ms, until_ms)

    def _expire(self) -> None:
        if self.running and self.clock_ms > self.until_ms:
            self.lapses.append(time.monotonic())
            for run in list(self.running.values()):
                self._end(run, "lapsed")

    def watch(self) -> None:
        """End what has no lease any more; to be called often."""
        if self.alive:
            self._expire()

    def _start(self, fields: dict[str, Any]) -> Reply:
        task, number = fields["task"], fields["run"]
        there = self.running.get(task)
        if there is not None and there.number == number:
            self._extend(fields["untilMs"])
            return self._reply(200)
        if fields["untilMs"] <= self.clock_ms:
            return self._reply(409, reason="late")
        self._extend(fields["untilMs"])
        if there is not None or number <= self.highest.get(task, 0):
            return self._reply(409, reason="old")
        if not self.world.has_ticket(task, self.name, fields.get("ticket", "")):
            return self._reply(409, reason="ticket")
        room, free = self.world.room_of(task), self.free
        if room.cpu > free.cpu or room.mem_mb > free.mem_mb:
            return self._reply(409, reason="room")
        run = Run(task=task, number=number, executor=self, spec=fields.get("spec", ""))
        run.work_s = self.world.work_of(task)
        self.running[task] = run
        self._used = self._used.plus(room)
        self.world.runs.append(run)
        if run.work_s is not None:
            self.finish_after(run, run.work_s)
        self.world.on_start(run)
        return self._reply(200)

    def finish_after(self, run: Run, work_s: float, *, how: str = "done") -> None:
        """Let a run end after some more seconds of work."""
        run.timer = asyncio.get_running_loop().call_later(work_s, self.end_run, run, how)

    def end_run(self, run: Run, how: str) -> None:
        """Let a run end now, unless it has ended or is being stopped."""
        self._expire()
        if run.ended_at is None and not run.is_stopping:
            self._end(run, how)

    def _stop(self, fields: dict[str, Any]) -> Reply:
        task, number = fields["task"], fields["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        return self._reply(200)

    async def _hold(self, fields: dict[str, Any]) -> Reply:
        now = time.monotonic()
        acknowledged = fields.get("ackedOffset", 0)
        if acknowledged > self.acknowledged:
            self.acknowledged = acknowledged
            while self.ended and self.ended[0][0] <= acknowledged:
                self.ended.pop(0)[1].acknowledged_at = now
        if "untilMs" in fields:
            self._extend(fields["untilMs"])
        until = now + fields.get("waitMs", 0) / 1000
        while self.alive and not self.ended and (left := until - time.monotonic()) > 0:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        self._expire()
        running = [[r.task, r.number, r.saved, r.percent, 0] for r in self.running.values()]
        listed = self.ended[:MAX_LISTED_ENDS]
        ended = [[number, r.task, r.number, r.how, r.final] for number, r in listed]
        return self._reply(200, running=running, ended=ended)

    def _end(self, run: Run, how: str) -> None:
        if run.ended_at is not None or not self.alive:
            return
        if self.running.pop(run.task, None) is not None:
            self._used = self._used.minus(self.world.room_of(run.task))
        if run.timer is not None:
            run.timer.cancel()
        run.ended_at, run.how, run.final = time.monotonic(), how, run.saved
        self.count += 1
        run.end_number = self.count
        self.ended.append((self.count, run))
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.changed.set()
        self.changed = asyncio.Event()

    def die(self) -> None:
        """End at once, with all that runs."""
        self.alive = False
        for run in self.running.values():
            run.ended_at, run.how = time.monotonic(), "gone"
            if run.timer is not None:
                run.timer.cancel()
        self.running.clear()


class Machine:
    """A machine of the fleet, and the executor that runs on it, if any."""

    def __init__(self, *, name: str, pool: str, port: int, room: Room, kind: str, rack: str):
        self.name = name
        self.pool = pool
        self.port = port
        self.room = room
        self.kind = kind
        self.rack = rack
        self.state = "up"
        self.executor: Executor | None = None
        self.fence = 0
        self.waves_done: set[int] = set()
        self.lives = 0


class World:
    """The platform as a whole, on loopback addresses.

    :param standby: the pools whose machines are off.
    """

    def __init__(self, *, standby: frozenset[str] = frozenset()) -> None:
        self.store = Store()
        self.machines: dict[str, Machine] = {}
        self.servers: dict[str, HttpServer] = {}
        self.runs: list[Run] = []
        self.rooms: dict[str, Room] = {}
        self.standby = standby
        # Orders to machines that were carried out or refused: time, kind, machine, holder, fence,
        # status.
        self.orders: list[tuple[float, str, str, str, int, int]] = []
        # How many seconds a task works; None for one that lasts, or until a script ends its run.
        self.work_of: Callable[[str], float | None] = lambda task: 0.5
        self.on_start: Callable[[Run], None] = lambda run: None
        self.on_order: Callable[[Call], Awaitable[None]] = _nothing
        # Jobs of queues with advice, the tickets by step and executor with the time until which
        # they hold, and for how many seconds that is.
        self.advised: set[str] = set()
        # Jobs whose tasks keep checkpoints.
        self.checkpointing: set[str] = set()
        self.tickets: dict[tuple[str, str], tuple[str, float]] = {}
        self.advice_valid_s = 3.0
        self.advice_port = free_port()
        self.store_port = free_port()
        self.cloud_port = free_port()
        self._tasks: list[asyncio.Task[None]] = []

    def room_of(self, task: str) -> Room:
        """What a task takes, by its job's id and step."""
        job, _, step, _ = task.split(".")
        return self.rooms[f"{job}.{step}"]

    def add_machine(self, name: str, pool: str, *, room: Room, kind: str, rack: str) -> Machine:
        """Add a machine to a pool."""
        machine = Machine(name=name, pool=pool, port=free_port(), room=room, kind=kind, rack=rack)
        self.machines[name] = machine
        return machine

    async def start(self) -> None:
        """Listen everywhere, and begin to write the executors' entries."""
        await HttpServer(self.store.handle).listen(PLATFORM_IP, self.store_port)
        await HttpServer(self._cloud).listen(PLATFORM_IP, self.cloud_port)
        await HttpServer(self._advise).listen(PLATFORM_IP, self.advice_port)
        for machine in self.machines.values():
            server = self.servers[machine.name] = HttpServer(self._orders_of(machine))
            await server.listen(PLATFORM_IP, machine.port)
            if machine.pool not in self.standby:
                self.bear(machine)
        self._tasks += [asyncio.create_task(self._beat()), asyncio.create_task(self._watch())]

    def bear(self, machine: Machine) -> None:
        """Let a machine have a new executor."""
        machine.lives += 1
        name = f"i-{machine.name}-{machine.lives}"
        machine.executor = Executor(world=self, name=name, machine=machine)
        self.store.write("keyed.servers", name, machine.executor.entry())

    def end_life(self, machine: Machine) -> None:
        """End a machine's executor, with all that runs there."""
        if machine.executor is not None:
            machine.executor.die()
            self.store.write("keyed.servers", machine.executor.name, b"")
            machine.executor = None

    def crash(self, machine: Machine, *, down_s: float) -> None:
        """Let a machine's executor crash; another one comes after some seconds.

        Its entry goes after three heartbeats of silence.
        """
        executor = machine.executor
        assert executor is not None
        executor.die()
        machine.executor = None
        self.servers[machine.name].close()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self.store.write, "keyed.servers", executor.name, b"")
        loop.call_later(down_s, lambda: self._tasks.append(loop.create_task(self._revive(machine))))

    async def _revive(self, machine: Machine) -> None:
        server = self.servers[machine.name] = HttpServer(self._orders_of(machine))
        await server.listen(PLATFORM_IP, machine.port)
        self.bear(machine)

    def _orders_of(self, machine: Machine) -> Handler:
        async def handle(call: Call) -> Reply | None:
            await asyncio.sleep(EXECUTOR_WAY_S)
            executor = machine.executor
            return await executor.handle(call) if executor is not None else None

        return handle

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for machine in self.machines.values():
                if machine.executor is not None and not self.store.down:
                    entry = machine.executor.entry()
                    self.store.write("keyed.servers", machine.executor.name, entry)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            for machine in self.machines.values():
                if machine.executor is not None:
                    machine.executor.watch()

    async def _cloud(self, call: Call) -> Reply | None:
        if call.path == "/mustardgap/machines":
            return reply(200, {"machines": [_row(m) for m in self.machines.values()]})
        await self.on_order(call)
        fields = call.json()
        machine = self.machines.get(fields["machine"])
        holder = call.headers.get("x-mustardgap-duty-holder", "")
        fence = int(call.headers.get("x-mustardgap-fencing-token", 0))
        kind = call.path.rpartition("/")[2]
        answer = self._carry_out(machine, fields, fence)
        row = (time.monotonic(), kind, fields["machine"], holder, fence, answer[0])
        self.orders.append(row)
        return answer

    async def _advise(self, call: Call) -> Reply:
        """Grant tickets for a step on all executors that are named."""
        fields = call.json()
        until = time.monotonic() + self.advice_valid_s
        granted = []
        for executor in fields["workers"]:
            ticket = f"{len(self.tickets):04x}-{executor}"
            self.tickets[fields["step"], executor] = (ticket, until)
            granted.append([executor, ticket])
        return reply(200, {"granted": granted, "validMs": int(self.advice_valid_s * 1000)})

    def has_ticket(self, task: str, executor: str, ticket: str) -> bool:
        """Whether a start of a task on an executor is allowed by its queue's policy."""
        if task.partition(".")[0] not in self.advised:
            return True
        known, until = self.tickets.get((task.rpartition(".")[0], executor), ("", 0.0))
        return bool(ticket) and ticket == known and time.monotonic() <= until

    def _carry_out(self, machine: Machine | None, fields: dict[str, Any], fence: int) -> Reply:
        if machine is None:
            return reply(400)
        if fence < machine.fence:
            return reply(409, {"reason": "fence"})
        machine.fence = fence
        wave, pool = fields.get("wave"), fields.get("pool", machine.pool)
        if wave in machine.waves_done or (wave is None and pool == machine.pool):
            return reply(200)
        if machine.state != "up":
            return reply(409, {"reason": "busy"})
        self.end_life(machine)
        machine.pool = pool
        machine.state = "moving" if wave is None else "upkeep"
        if wave is not None:
            machine.waves_done.add(wave)
        takes_s = MOVE_S if wave is None else MAINTENANCE_S
        asyncio.get_running_loop().call_later(takes_s, self._return, machine)
        return reply(200)

    def _return(self, machine: Machine) -> None:
        machine.state = "up"
        if machine.pool not in self.standby:
            self.bear(machine)


async def _nothing(call: Call) -> None:
    return None


def _row(machine: Machine) -> dict[str, object]:
    return {
        "machine": machine.name,
        "pool": machine.pool,
        "state": machine.state,
        "zone": "hall-a",
        "labels": [machine.kind, machine.rack],
        "capacity": {"cpu": machine.room.cpu, "memMb": machine.room.mem_mb, "gpu": 0},
        "id": machine.executor.name if machine.executor is not None else None,
    }


def free_port(ips: Iterable[str] = (PLATFORM_IP,)) -> int:
    """A port that is free on some loopback addresses."""
    while True:
        port = random.randrange(20_000, 32_000)
        try:
            for ip in ips:
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        return port


class Daemon:
    """One daemon of the system, started as the deploy file says."""

    def __init__(self, *, name: str, ip: str, ports: dict[str, int], settings: Path) -> None:
        self.name = name
        self.ip = ip
        self.ports = ports
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start its process."""
        with open(self.settings.with_suffix(".log"), "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "mustardgap.platform"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
                    "MUSTARDGAP_CONFIG": str(self.settings),
                    "MUSTARDGAP_METRICS_PORT": str(self.ports["metrics"]),
                },
            )

    def signal(self, number: signal.Signals) -> None:
        """Send its process a signal, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End its process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait(timeout=10)


class Daemons:
    """The daemons of a small deployment.

    :param world: the platform.
    :param count: how many there are.
    :param store_ports: the store's port for single daemons, where something lies between.
    """

    def __init__(
        self, *, world: World, count: int, store_ports: dict[str, int] | None = None
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(os.environ.get("REVIEW_LOGS") or self._folder.name)
        ips = [f"127.0.0.{10 + number}" for number in range(1, count + 1)]
        kinds = ("front", "ready", "control", "peer", "metrics")
        ports = {kind: free_port(ips) for kind in kinds}
        self.by_name: dict[str, Daemon] = {}
        for number, ip in enumerate(ips, start=1):
            name = f"edge-{number}"
            settings = self.folder / f"{name}.json"
            store_port = (store_ports or {}).get(name, world.store_port)
            seeds = [f"{other}:{ports['control']}" for other in ips[:3]]
            fields = _settings(name, ip, ports, seeds, store_port, world.cloud_port)
            fields["advice"] = f"{PLATFORM_IP}:{world.advice_port}"
            settings.write_text(json.dumps(fields))
            self.by_name[name] = Daemon(name=name, ip=ip, ports=ports, settings=settings)

    def start(self) -> None:
        """Start all."""
        for daemon in self.by_name.values():
            daemon.start()

    def end(self) -> None:
        """End all, and remove their files."""
        for daemon in self.by_name.values():
            daemon.end()
        self._folder.cleanup()

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all are ready.

        :raises TimeoutError: they aren't in time, in seconds.
        """
        until = time.monotonic() + timeout_s
        for daemon in self.by_name.values():
            while True:
                found = await send(daemon.ip, daemon.ports["ready"], "GET", "/mustardgap/ready")
                if found is not None and found[0] == 200:
                    break
                if time.monotonic() > until:
                    raise TimeoutError(f"{daemon.name} isn't ready")
                await asyncio.sleep(0.1)

    def owner_of(self, world: World, part: int) -> Daemon:
        """The daemon that holds a partition, by the store.

        :raises KeyError: nobody holds it.
        """
        member = world.store.holder[part]
        return next(d for d in self.by_name.values() if member.startswith(f"{d.ip}:"))


def _settings(
    name: str,
    ip: str,
    ports: dict[str, int],
    seeds: list[str],
    store_port: int,
    cloud_port: int,
) -> dict[str, object]:
    listen = {kind: f"{ip}:{ports[kind]}" for kind in ("front", "ready", "control")}
    return {
        "node": name,
        "role": "entry",
        "machineClass": "edge",
        "serves": ["edge"],
        "ip": ip,
        "zone": "hall-a",
        "region": "scot-central",
        "zones": {"hall-a": "scot-central"},
        "listen": listen,
        "portRange": [ports["peer"], ports["peer"]],
        "seeds": seeds,
        "bootstrap": True,
        "limits": {
            "cpuShare": 0.537,
            "cores": 2,
            "memoryMb": 300,
            "maxFds": 4100,
            "linkMbps": 1000.0,
            "diskMb": 0,
        },
        "dataDir": None,
        "discovery": "platform",
        "entry": "vip",
        "heartbeatMs": int(HEARTBEAT_S * 1000),
        "contracts": [
            *("base", "drain", "config", "cost", "recover", "sched", "platform"),
            *("advice", "upkeep", "sharing"),
        ],
        "bounds": {
            "contactMs": 3000,
            "ackMs": 4000,
            "drainMs": 2000,
            "graceS": 6,
            "configMs": 2000,
            "holdMaxMs": HOLD_MAX_MS,
            "stopTimeoutMs": 900,
            "gangTimeoutMs": 3000,
            "cancel_ms": 3000,
            "visible_ms": 3000,
            "early_ms": 250,
            "finish_s": 14,
            "status_s": 120,
            "farX": 1.5,
            "checkpointS": 0.5,
            "noticeMs": 4500,
            "moveS": MOVE_S,
            "maintenanceS": MAINTENANCE_S,
            "enforceFencing": True,
            "leaseMs": 3000,
            "harmMs": 4000,
        },
        "orders": "call",
        "platform": {
            "addr": f"{PLATFORM_IP}:{store_port}",
            "form": "log",
            "writesPerS": 600,
            "readsPerS": 2000,
            "parts": PARTS,
            "appendMs": 2.0,
            "recordBytes": RECORD_BYTES,
            "requestBytes": 2097152,
            "keep_s": 300,
            "partitionMb": 200,
            "minTtlMs": 1000,
        },
        "cloudApi": {
            "addr": f"{PLATFORM_IP}:{cloud_port}",
            "ratePerS": 64.0,
            "duties": [],
            "dutyPerS": 64.0,
        },
    }


class Client:
    """A client with one connection to a daemon, which it keeps.

    :param ip: the daemon's address.
    :param port: its port.
    """

    def __init__(self, *, ip: str, port: int) -> None:
        self._ip = ip
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect.

        :raises OSError: it couldn't.
        """
        self._reader, self._writer = await asyncio.open_connection(self._ip, self._port)

    def close(self) -> None:
        """End the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def send(
        self,
        method: str,
        target: str,
        *,
        host: str = "jobs.example",
        body: object = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, Any] | None:
        """Send one request, connecting first if need be.

        :param timeout_s: seconds to wait for the answer, which the request states.
        :return: the status and the decoded body, None without a complete answer.
        """
        raw = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
        head += f"X-Mustardgap-Request-Deadline: {int(timeout_s * 1000)}\r\n"
        head += f"Content-Length: {len(raw)}\r\n\r\n"
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer is None:
                    await self.open()
                assert self._reader is not None and self._writer is not None
                self._writer.write(head.encode() + raw)
                first, *lines = (await self._reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
                sizes = [int(li[15:]) for li in lines if li.lower().startswith(b"content-length:")]
                rest = await self._reader.readexactly(sizes[0] if sizes else 0)
            return int(first.split(b" ")[1]), json.loads(rest) if rest else None
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return None


async def send(
    ip: str,
    port: int,
    method: str,
    target: str,
    *,
    body: object = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any] | None:
    """Send one request on a connection of its own; see ``Client.send``."""
    client = Client(ip=ip, port=port)
    try:
        return await client.send(method, target, body=body, timeout_s=timeout_s)
    finally:
        client.close()


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    standby: frozenset[str] = frozenset(),
) -> bytes:
    """The operator's configuration."""
    fields = {
        "version": version,
        "routes": [
            {
                "host": "jobs.example",
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "sloMs": 600,
                "priority": 0,
                "maxAttempts": 4,
                "stretch": 1.6,
                **route,
            }
            for route in routes
        ],
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 64,
                "rejectsOverload": True,
                "standby": name in standby,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return json.dumps(fields).encode()


class Record:
    """What was sent, answered and run, written to a file beside the case's script."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began = time.monotonic()
        self._lines: list[str] = []

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line.

        :param at: monotonic seconds, by default now.
        """
        moment = (time.monotonic() if at is None else at) - self._began
        self._lines.append(f"{moment:8.3f} {text}")

    def save(self) -> None:
        """Write all lines, ordered by time."""
        self._path.write_text("\n".join(sorted(self._lines)) + "\n")


def starts_twice(runs: list[Run]) -> list[tuple[Run, Run, str]]:
    """Find what the rule TWICE forbids: pairs of an earlier run and a start, and why.

    Excused is a run whose executor's lease lapsed between its end and the acknowledgement.
    """
    found = []
    by_task: dict[str, list[Run]] = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    for same in by_task.values():
        for place, earlier in enumerate(same):
            for later in same[place + 1 :]:
                if earlier.ended_at is None or earlier.ended_at > later.started_at:
                    found.append((earlier, later, "two runs at the same time"))
                elif earlier.how == "done" and earlier.acknowledged_at is not None:
                    lapsed = any(
                        earlier.ended_at <= at <= earlier.acknowledged_at
                        for at in earlier.executor.lapses
                    )
                    if not lapsed:
                        found.append((earlier, later, "a start after an end done"))
    return found


def part_of(service: str) -> int:
    """The partition that holds a service's jobs."""
    from mustardgap.shard_owners import shard_of

    return shard_of(service, PARTS)


def run_case(main: Callable[[], Awaitable[int]]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    try:
        status = asyncio.run(main())
    except Exception as exc:
        print(f"couldn't run: {exc!r}", file=sys.stderr)
        status = 2
    sys.exit(status)
