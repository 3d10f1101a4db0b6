"""Stand-ins of the platform for the cases of the second review, on loopback addresses.

The store, the list of machines and the executors speak what ``PROTOCOL.md`` says, over HTTP/1.1
with JSON. They run in the event loop of a case's script; the daemons are processes of their own.
"""

import asyncio
import base64
import json
import struct
import time
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

STORE_ANSWER_S = 0.004
APPEND_S = 0.002
HEARTBEAT_S = 1.5
# An entry is removed after three heartbeat intervals of silence.
UNLISTED_AFTER_S = 3 * HEARTBEAT_S
STOP_S = 0.2
# The largest record, and the largest call, that an append may hold.
RECORD_BYTES, REQUEST_BYTES = 262_144, 2_097_152
LONGEST_LEASE_MS = 10_000
MOST_ENDS = 500
MOST_ITEMS = 500
MOST_ITEM_BYTES = 1_000_000
AT_WORK_S = 0.3

Record = Callable[[str], None]


class Request(NamedTuple):
    """One HTTP request; ``query`` holds the first value of each name."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """One HTTP answer."""

    status: int
    body: bytes = b""


# None closes the connection without an answer.
Handler = Callable[[Request], Awaitable[Response | None]]


def json_response(status: int, fields: dict[str, Any]) -> Response:
    """Return an answer with a JSON body."""
    return Response(status, json.dumps(fields).encode())


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers of an HTTP message, the names in lower case.

    :raises asyncio.IncompleteReadError: the connection ended before the head did.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


class HttpServer:
    """A small HTTP/1.1 server that can be closed as by the end of its process.

    :param ip: a loopback address.
    :param port: the port.
    :param handler: answers a request.
    """

    def __init__(self, *, ip: str, port: int, handler: Handler) -> None:
        self._ip, self._port, self._handler = ip, port, handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen.

        :raises OSError: the port is taken.
        """
        self._server = await asyncio.start_server(self._serve, self._ip, self._port)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        response = await self._handler(Request(method, url.path, query, headers, body))
        if response is None:
            return False
        head = f"HTTP/1.1 {response.status} x\r\nContent-Length: {len(response.body)}\r\n"
        head += "Content-Type: application/json\r\n\r\n"
        writer.write(head.encode() + response.body)
        await writer.drain()
        return True


class Partition:
    """One partition of a topic: its records, and the state of its one producer."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, bytes] = {}
        self.epoch = 0
        self.next_seq: int | None = None
        self.last: deque[tuple[int, Response]] = deque(maxlen=5)
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Append one record; an empty value drops its key."""
        self.records.append((key, value))
        self.newest.pop(key, None)
        if value:
            self.newest[key] = value
        self.changed.set()
        self.changed = asyncio.Event()

    def append(self, query: dict[str, str], body: bytes) -> Response:
        """Append the records of one call under its epoch and sequence number."""
        epoch = int(query["epoch"]) if "epoch" in query else None
        seq = int(query["seq"]) if "seq" in query else None
        if epoch is not None:
            if epoch < self.epoch:
                return json_response(409, {"reason": "fenced"})
            if epoch > self.epoch:
                self.epoch, self.next_seq = epoch, None
                self.last.clear()
            for earlier, response in self.last:
                if seq == earlier:
                    return response
            if seq is not None and self.next_seq is not None and seq != self.next_seq:
                return json_response(409, {"reason": "seq", "seq": self.next_seq})
        first = len(self.records)
        for key, value in split_records(body):
            self.put(key, value)
        response = json_response(200, {"offset": first, "end": len(self.records)})
        if seq is not None:
            self.next_seq = seq + 1
            self.last.append((seq, response))
        return response


def split_contents(body: bytes) -> list[bytes]:
    """Split the body of an append into the contents of its records."""
    found = []
    place = 0
    while place < len(body):
        (length,) = struct.unpack_from(">I", body, place)
        found.append(body[place + 4 : place + 4 + length])
        place += 4 + length
    return found


def split_records(body: bytes) -> list[tuple[str, bytes]]:
    """Split the body of an append to a keyed topic into keys and values."""
    found = []
    for content in split_contents(body):
        key_end = 1 + content[0]
        found.append((content[1:key_end].decode(), content[key_end:]))
    return found


class Group:
    """The members of a group and the partitions that each holds.

    :param parts: the number of partitions.
    """

    def __init__(self, *, parts: int) -> None:
        self.generation = 0
        self.holders: dict[int, str | None] = dict.fromkeys(range(parts))
        self._targets: dict[int, str | None] = dict.fromkeys(range(parts))
        self._changed_at: dict[int, int] = dict.fromkeys(range(parts), 0)
        self._seen: dict[str, tuple[float, float]] = {}

    def join(self, member: str, generation: int, ttl_s: float) -> tuple[int, list[int]]:
        """Keep a member in the group.

        :return: the generation, and the partitions that belong to the member.
        """
        self.expire()
        is_new = member not in self._seen
        self._seen[member] = (time.monotonic(), ttl_s)
        if is_new:
            self._deal()
        for part, holder in self.holders.items():
            if holder == member != self._targets[part] and generation >= self._changed_at[part]:
                self.holders[part] = None
        for part, target in self._targets.items():
            if target == member and self.holders[part] is None:
                self.holders[part] = member
        held = [p for p, t in self._targets.items() if t == member == self.holders[p]]
        return self.generation, held

    def leave(self, member: str) -> None:
        """Remove a member; its partitions are free at once."""
        self.expire()
        if self._seen.pop(member, None) is not None:
            self._remove(member)

    def expire(self) -> None:
        """Remove the members that have been silent for too long."""
        now = time.monotonic()
        for member, (at, ttl_s) in list(self._seen.items()):
            if now - at > ttl_s:
                del self._seen[member]
                self._remove(member)

    def _remove(self, member: str) -> None:
        for part, holder in self.holders.items():
            if holder == member:
                self.holders[part] = None
        self._deal()

    def _deal(self) -> None:
        """Deal the partitions evenly, and leave as many as possible where they are."""
        self.generation += 1
        members = sorted(self._seen)
        most = -(-len(self._targets) // len(members)) if members else 0
        counts = dict.fromkeys(members, 0)
        for part, target in self._targets.items():
            if target in counts and counts[target] < most:
                counts[target] += 1
            else:
                self._targets[part] = None
        for part, target in self._targets.items():
            if target is None and members:
                least = min(members, key=lambda name: counts[name])
                self._targets[part] = least
                counts[least] += 1
                self._changed_at[part] = self.generation


class Store:
    """The platform's store, with the list of machines.

    :param parts: the number of partitions of a topic of the system.
    :param record: notes what happens.
    """

    def __init__(self, *, parts: int, record: Record) -> None:
        self.parts = parts
        self.group = Group(parts=parts)
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.machines: list[Callable[[], list[dict[str, Any]]]] = []
        # Says of a write that it is carried out and not answered.
        self.loses_answer: Callable[[Request], bool] = lambda request: False
        self._record = record

    def partition(self, topic: str, part: int) -> Partition:
        """Return a partition, which is made on its first use."""
        return self.partitions.setdefault((topic, part), Partition())

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Write as an operator, an executor or another writer does."""
        self.partition(topic, 0).put(key, value)

    async def handle(self, request: Request) -> Response | None:
        """Answer a call."""
        await asyncio.sleep(STORE_ANSWER_S)
        verb = request.path.removeprefix("/mustardgap/").replace("-", "_")
        handler = getattr(self, f"_do_{verb}", None)
        if handler is None:
            return json_response(404, {})
        lost = request.method == "POST" and self.loses_answer(request)
        response = await handler(request)
        if lost:
            # The caller waits; nothing further comes on this connection.
            await asyncio.sleep(30)
            return None
        return response

    async def _do_log_append(self, request: Request) -> Response:
        topic, part = request.query["topic"], int(request.query["part"])
        if topic in ("keyed.op", "keyed.servers"):
            return json_response(403, {})
        sizes = [len(content) for content in split_contents(request.body)]
        if len(request.body) > REQUEST_BYTES or max(sizes, default=0) > RECORD_BYTES:
            self._record(f"the store refuses a record of {max(sizes, default=0)} bytes")
            return json_response(400, {})
        partition = self.partition(topic, part)
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            if topic == "keyed.status":
                self._record(f"status {request.body[5:]!r}")
            return partition.append(request.query, request.body)

    async def _do_log_read(self, request: Request) -> Response:
        partition = self.partition(request.query["topic"], int(request.query["part"]))
        offset = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000
        if len(partition.records) <= offset and wait_s:
            with suppress(TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), wait_s)
        body = struct.pack(">QQ", len(partition.records), 0)
        for key, value in partition.records[offset:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
            if len(body) > 1_000_000:
                break
        return Response(200, body)

    async def _do_log_newest(self, request: Request) -> Response:
        partition = self.partition(request.query["topic"], int(request.query["part"]))
        after = request.query.get("dependsOn")
        keys = sorted(key for key in partition.newest if after is None or key > after)
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            if len(items) >= MOST_ITEMS or size > MOST_ITEM_BYTES:
                break
            value = base64.b64encode(partition.newest[key]).decode()
            items.append({"key": key, "value": value, "offset": 0})
            size += len(value)
        more = len(items) < len(keys)
        fields = {"items": items, "hasMore": more, "end": len(partition.records)}
        return json_response(200, fields)

    async def _do_log_join(self, request: Request) -> Response:
        fields = json.loads(request.body)
        member, generation = fields["member"], fields["generation"]
        current, held = self.group.join(member, generation, fields["ttlMs"] / 1000)
        rows = [[fields["topics"][0], part, 0] for part in held]
        return json_response(200, {"generation": current, "parts": rows})

    async def _do_log_leave(self, request: Request) -> Response:
        self.group.leave(json.loads(request.body)["member"])
        return json_response(200, {})

    async def _do_log_owners(self, request: Request) -> Response:
        self.group.expire()
        topic = "keyed.mustardgap-jobs"
        rows = [[topic, part, name, 0] for part, name in self.group.holders.items() if name]
        return json_response(200, {"owners": rows})

    async def _do_machines(self, request: Request) -> Response:
        rows = [row for pool in self.machines for row in pool()]
        return json_response(200, {"machines": rows, "nextToken": None})

    # No order to a machine came in any run of a case; one that comes is noted and refused.
    async def _do_machine_move(self, request: Request) -> Response:
        self._record(f"machine-move {request.body.decode()}")
        return json_response(409, {"reason": "busy"})

    async def _do_machine_upkeep(self, request: Request) -> Response:
        self._record(f"machine-upkeep {request.body.decode()}")
        return json_response(409, {"reason": "busy"})


class Shape(NamedTuple):
    """What the tasks of a job's step are like.

    ``work_s`` is how long a task works, None for one that lasts; ``cpu`` in thousandths of a core.
    """

    work_s: float | None
    cpu: int = 100


class Run:
    """One run of a task on an executor."""

    def __init__(self, *, shape: Shape, now: float) -> None:
        self.shape = shape
        self.started_at = now
        self.stop_at: float | None = None

    def percent(self, now: float) -> int:
        """How much of the work is done, in whole percents."""
        ran_s = now - self.started_at
        if self.shape.work_s is None:
            return 100 if ran_s > AT_WORK_S else 0
        return min(99, int(100 * ran_s / self.shape.work_s))


class Executor:
    """One life of an executor.

    :param name: its id.
    :param machine: the machine that it runs on.
    :param address: ``ip:port``.
    :param labels: its kind and its rack.
    :param pool: the executors of the service.
    """

    def __init__(
        self, *, name: str, machine: str, address: str, labels: list[str], pool: "Pool"
    ) -> None:
        self.name, self.machine, self.address, self.labels = name, machine, address, labels
        self.alive = True
        # Without power, it answers nothing and closes nothing.
        self.dark = False
        self.runs: dict[tuple[str, int], Run] = {}
        self.ended: list[list[Any]] = []
        self.acknowledged = 0
        self.server: HttpServer | None = None
        self._pool = pool
        self._born = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._highest_over: dict[str, int] = {}
        self._count = 0
        self._changed = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Its steady clock, in milliseconds."""
        return int((time.monotonic() - self._born) * 1000)

    def entry(self) -> bytes:
        """What it writes of itself."""
        fields = {
            "service": self._pool.service,
            "addr": self.address,
            "zone": "d1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": int(time.monotonic() * 10),
            "capacity": self._pool.capacity,
            "labels": self.labels,
            "machine": self.machine,
        }
        return json.dumps(fields).encode()

    async def handle(self, request: Request) -> Response | None:
        """Answer an order."""
        if self.dark:
            await asyncio.sleep(30)
            return None
        if request.method == "GET":
            return Response(200)
        if request.headers.get("x-mustardgap-expect-instance") != self.name:
            return json_response(421, {})
        fields = json.loads(request.body)
        if fields.get("fence", 0) < self._fence:
            return json_response(409, {"clockMs": self.clock_ms, "reason": "fence"})
        self._fence = fields.get("fence", 0)
        verb = request.path.removeprefix("/mustardgap/")
        if verb == "run-start":
            return self._start(fields)
        if verb == "run-stop":
            return self._stop(fields)
        if verb == "hold":
            return await self._hold(fields)
        return json_response(200, {"clockMs": self.clock_ms})

    def _start(self, fields: dict[str, Any]) -> Response:
        task, run = fields["task"], fields["run"]
        if (task, run) in self.runs:
            return json_response(200, {"clockMs": self.clock_ms})
        if fields["untilMs"] <= self.clock_ms:
            return json_response(409, {"clockMs": self.clock_ms, "reason": "late"})
        self._extend(fields["untilMs"])
        if run <= self._highest_over.get(task, 0):
            return json_response(409, {"clockMs": self.clock_ms, "reason": "old"})
        shape = self._pool.shape_of(task)
        if shape.cpu > self._pool.capacity["cpu"] - sum(r.shape.cpu for r in self.runs.values()):
            return json_response(409, {"clockMs": self.clock_ms, "reason": "room"})
        self.runs[task, run] = Run(shape=shape, now=time.monotonic())
        self._pool.on_start(self, task, run)
        return json_response(200, {"clockMs": self.clock_ms})

    def _stop(self, fields: dict[str, Any]) -> Response:
        task, run = fields["task"], fields["run"]
        self._highest_over[task] = max(run, self._highest_over.get(task, 0))
        there = self.runs.get((task, run))
        if there is not None and there.stop_at is None:
            there.stop_at = time.monotonic() + STOP_S
        return json_response(200, {"clockMs": self.clock_ms})

    async def _hold(self, fields: dict[str, Any]) -> Response:
        acknowledged = fields.get("ackedOffset", 0)
        if acknowledged > self.acknowledged:
            self.acknowledged = acknowledged
            self.ended = [row for row in self.ended if row[0] > acknowledged]
        if "untilMs" in fields:
            self._extend(fields["untilMs"])
        wait_s = fields.get("waitMs", 0) / 1000
        if wait_s and not self.ended:
            self._changed.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        now = time.monotonic()
        running = [[task, run, "", r.percent(now), 0] for (task, run), r in self.runs.items()]
        fields = {"clockMs": self.clock_ms, "running": running, "ended": self.ended[:MOST_ENDS]}
        return json_response(200, fields)

    def _extend(self, until_ms: int) -> None:
        self._lease_ms = max(self._lease_ms, min(until_ms, self.clock_ms + LONGEST_LEASE_MS))

    def step(self) -> None:
        """Let time pass: work ends, stops take effect, the lease lapses."""
        now = time.monotonic()
        for (task, run), there in list(self.runs.items()):
            work_s = there.shape.work_s
            if self.clock_ms > self._lease_ms:
                self._end(task, run, "lapsed")
            elif there.stop_at is not None and now >= there.stop_at:
                self._end(task, run, "stopped")
            elif work_s is not None and now - there.started_at >= work_s:
                self._end(task, run, "done")

    def _end(self, task: str, run: int, how: str) -> None:
        del self.runs[task, run]
        self._count += 1
        self._highest_over[task] = max(run, self._highest_over.get(task, 0))
        self.ended.append([self._count, task, run, how, ""])
        self._pool.on_end(self, task, run, how)
        self._changed.set()


class Pool:
    """The executors of one service, each on a machine of its own.

    :param service: the service's name.
    :param store: where they register.
    :param addresses: where the executors listen, ``ip:port``.
    :param labels: the kind and the rack of each.
    :param record: notes what happens.
    :param cpu: the capacity of each, in thousandths of a core.
    :param letter: begins the names of its machines and executors.
    """

    def __init__(
        self,
        *,
        service: str,
        store: Store,
        addresses: list[str],
        labels: list[list[str]],
        record: Record,
        cpu: int = 32_000,
        letter: str = "x",
    ) -> None:
        self.service = service
        self.capacity = {"cpu": cpu, "memMb": 65_536, "gpu": 0}
        self.shapes: dict[str, Shape] = {}
        self.lives: list[Executor] = []
        # Every start: when, the executor, the task and the run.
        self.starts: list[tuple[float, str, str, int]] = []
        # Every end: when, the executor, the task, the run and how.
        self.ends: list[tuple[float, str, str, int, str]] = []
        # The job whose runs aren't written to the record.
        self.unrecorded = "-"
        self._store, self._record = store, record
        self._addresses, self._labels = addresses, labels
        self._letter = letter
        self._lives_of: dict[str, int] = {}
        store.machines.append(self._rows)

    async def start(self) -> None:
        """Start all executors."""
        for number in range(len(self._addresses)):
            await self._bear(number)

    async def _bear(self, number: int) -> None:
        machine = f"{self._letter}m{number + 1}"
        life = self._lives_of[machine] = self._lives_of.get(machine, 0) + 1
        address = self._addresses[number]
        executor = Executor(
            name=f"{self._letter}{number + 1}-{life}",
            machine=machine,
            address=address,
            labels=self._labels[number],
            pool=self,
        )
        ip, _, port = address.rpartition(":")
        executor.server = HttpServer(ip=ip, port=int(port), handler=executor.handle)
        await executor.server.start()
        self.lives.append(executor)
        self._record(f"executor {executor.name} on {machine} is there")

    async def run(self) -> None:
        """Let time pass for all, and let them write their entries, until cancelled."""
        wrote_at: dict[str, float] = {}
        while True:
            for executor in [e for e in self.lives if e.alive]:
                executor.step()
                if time.monotonic() - wrote_at.get(executor.name, 0.0) >= HEARTBEAT_S:
                    wrote_at[executor.name] = time.monotonic()
                    self._store.write("keyed.servers", executor.name, executor.entry())
            await asyncio.sleep(0.02)

    async def crash(self, executor: Executor, *, for_s: float, dark: bool = False) -> None:
        """End an executor at once; its machine has another one later.

        :param for_s: seconds until then.
        :param dark: whether its machine loses power, so that nothing closes its connections.
        """
        lost = [f"{task} run {run}" for task, run in executor.runs]
        how = "loses power" if dark else "crashes"
        self._record(f"executor {executor.name} {how} for {for_s} s; it ran {lost}")
        executor.alive = False
        executor.dark = dark
        executor.runs.clear()
        assert executor.server is not None
        if not dark:
            executor.server.close()
        unlisting = asyncio.create_task(self._unlist(executor))
        await asyncio.sleep(for_s)
        executor.server.close()
        await self._bear(self._addresses.index(executor.address))
        await unlisting

    async def _unlist(self, executor: Executor) -> None:
        await asyncio.sleep(UNLISTED_AFTER_S)
        self._store.write("keyed.servers", executor.name, b"")

    def shape_of(self, task: str) -> Shape:
        """What a task is like, by the step of its job."""
        job, _, step, _ = task.split(".")
        return self.shapes[f"{job}.{step}"]

    def runs_of(self, job: str) -> list[tuple[Executor, str, int]]:
        """What runs of a job on executors that are up."""
        return [
            (executor, task, run)
            for executor in self.lives
            if executor.alive
            for task, run in executor.runs
            if task.startswith(job)
        ]

    def on_start(self, executor: Executor, task: str, run: int) -> None:
        """Note a start."""
        self.starts.append((time.monotonic(), executor.name, task, run))
        if not task.startswith(self.unrecorded):
            self._record(f"{executor.name} starts {task} run {run}")

    def on_end(self, executor: Executor, task: str, run: int, how: str) -> None:
        """Note an end."""
        self.ends.append((time.monotonic(), executor.name, task, run, how))
        if not task.startswith(self.unrecorded):
            self._record(f"{executor.name}: {task} run {run} has ended {how}")

    def _rows(self) -> list[dict[str, Any]]:
        return [
            {
                "machine": executor.machine,
                "pool": self.service,
                "state": "up",
                "zone": "d1",
                "labels": executor.labels,
                "capacity": self.capacity,
                "id": executor.name,
            }
            for executor in self.lives
            if executor.alive
        ]
