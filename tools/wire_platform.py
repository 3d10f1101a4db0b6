"""A stand-in for the users' platform that speaks its HTTP protocol on loopback, over the fakes.

It is a program of its own: the store, the machines, and one address an executor. Faults are
switched on by ``POST /control`` at the store's address.
"""

import asyncio
import base64
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import click
import msgspec
from tornado import httputil
from tornado.httpserver import HTTPServer

from mustardgap.ports import (
    Appended,
    Fenced,
    Record,
    StartRefused,
    WrongSequence,
)
from mustardgap.shard_owners import shard_of
from mustardgap.workloads import EndRow, ExecutorEntry, Room, TaskId

from .fake_executors import FakeExecutor, FakeExecutors, RunRecord
from .fake_store import FakeStore

# The system's own topics. Each has partitions of its own, of the same numbers.
JOBS_TOPIC, FAILOVER_TOPIC = "keyed.mustardgap-jobs", "keyed.mustardgap-failover"
OWN_TOPICS = (JOBS_TOPIC, FAILOVER_TOPIC)
HEARTBEAT_S = 0.5
# An executor that has crashed is off the list after this, and back as another one.
UNLISTED_S, REBORN_S = 1.5, 2.5
# A job with this payload and a number has one task, of its first step, that crashes its executors.
CRASHING = "crashes "
CRASH_S = 0.01
CAPACITY = Room(8_000, 16_000, 0)
# What each task takes of an executor.
TASK_ROOM = Room(200, 50, 0)
SHARDS = 4
SERVICE = "quoting"
# Larger than a record, so that a job can be too large for one.
MAX_BODY_BYTES = 1024 * 1024
# What another writer puts among the executors' entries.
FOREIGN = (
    b"not JSON",
    b"\xff\xfe",
    b"[1,2,3]",
    b'{"service":"quoting","addr":"127.0.0.1:1"}',
    b'{"service":"quoting","addr":"nonsense","zone":"d1","version":"v1","slots":8,"state":"ready",'
    b'"coldLeftMs":0,"seq":1,"capacity":{"cpu":8000,"memMb":16000},"labels":["a","r1"]}',
    b'{"service":"quoting","addr":"127.0.0.1:1","zone":"d1","version":"v1","slots":8,"state":"gone",'
    b'"coldLeftMs":0,"seq":1,"capacity":{"cpu":-1,"memMb":16000},"labels":["a","r1"]}',
    b'{"service":"quoting","notes":' + b"[" * 20_000,
)
Answer = tuple[int, bytes]
# No answer closes the connection, as the end of a process does.
Handler = Callable[[httputil.HTTPServerRequest], Awaitable[Answer | None]]


class History(msgspec.Struct):
    """What all executors truly did, by the steady clock that processes of one machine share."""

    runs: list[RunRecord]
    acknowledged: list[tuple[float, str, EndRow]]
    lapses: list[tuple[str, float]]
    overloads: list[tuple[TaskId, str]]
    crashing: list[TaskId]


class WirePlatform:
    """The platform's store and executors behind HTTP.

    :param ip: where it listens.
    :param port: the store's port; executors have the following ones.
    :param executors: how many executors there are.
    :param work_s: how long a task takes.
    :param announced: the port that executors' announced ports follow, where links lie between. Each
        caller is then shown the executors at the address that it calls from.
    :param max_body_bytes: how large a caller's body may be.
    """

    def __init__(
        self,
        *,
        ip: str,
        port: int,
        executors: int,
        work_s: float,
        announced: int | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.ip = ip
        self.port = port
        self.announced = announced or port
        self.work_s = work_s
        self.max_body_bytes = max_body_bytes
        self.store = FakeStore(shards=SHARDS)
        self.fleet = FakeExecutors()
        self.lasting: set[str] = set()
        self.operator: list[tuple[str, bytes]] = []
        # The keys of each client account; None if the deployment has no accounts.
        self.keys_by_account: dict[str, list[str]] | None = None
        self.entries: list[tuple[str, bytes]] = []
        # How many records another writer has written.
        self._foreign = 0
        self.status: list[tuple[str, bytes]] = []
        self._rows_by_topic = {
            "keyed.op": self.operator,
            "keyed.servers": self.entries,
            "keyed.status": self.status,
        }
        self.overloads: list[tuple[TaskId, str]] = []
        self.crashing: set[TaskId] = set()
        self.fleet.record.room_of = lambda task: TASK_ROOM
        self.fleet.record.on_overload = lambda task, name: self.overloads.append((task, name))
        self.fleet.record.crash_after = lambda task: CRASH_S if task in self.crashing else None
        self.fleet.record.on_crash = self._on_crash
        self._servers_by_machine: dict[str, HTTPServer] = {}
        self._restarting: set[asyncio.Task[None]] = set()
        self.executors = [self._executor(number) for number in range(1, executors + 1)]
        self.operator.append(("config", msgspec.json.encode(self._configuration())))

    async def run(self) -> None:
        """Serve until ended."""
        _serve(self.ip, self.port, self._store)
        for executor in self.executors:
            self._listen(executor)
        ticking = asyncio.create_task(self.fleet.run())
        while True:
            for executor in self.executors:
                if executor.alive:
                    self.entries.append((executor.entry.executor, _entry(executor.entry)))
            await asyncio.sleep(HEARTBEAT_S / 2)
            if self.store.foreign_writer:
                self._write_foreign()
            await asyncio.sleep(HEARTBEAT_S / 2)
            assert not ticking.done()

    def _listen(self, executor: FakeExecutor) -> None:
        port = int(executor.entry.address.rpartition(":")[2]) - self.announced + self.port
        server = _serve(self.ip, port, self._orders(executor))
        self._servers_by_machine[executor.entry.machine] = server

    def _on_crash(self, executor: FakeExecutor) -> None:
        restarting = asyncio.create_task(self._restart(executor))
        self._restarting.add(restarting)
        restarting.add_done_callback(self._restarting.discard)

    async def _restart(self, executor: FakeExecutor) -> None:
        """Close a crashed executor's connections, and let its machine have another one later."""
        entry = executor.entry
        server = self._servers_by_machine[entry.machine]
        server.stop()
        await server.close_all_connections()
        await asyncio.sleep(UNLISTED_S)
        self.entries.append((entry.executor, b""))
        await asyncio.sleep(REBORN_S - UNLISTED_S)
        place = self.executors.index(executor)
        self.executors[place] = self._executor(place + 1, life=len(self.entries))
        self._listen(self.executors[place])

    def _resize(self, shares_by_machine: dict[str, float]) -> None:
        """Give executors a share of the whole capacity."""
        for executor in self.executors:
            share = shares_by_machine.get(executor.entry.machine)
            if share is not None:
                executor.resize(Room(*(int(amount * share) for amount in CAPACITY)))

    def _write_foreign(self) -> None:
        """Write as somebody else would: over an executor's entry, and one of nobody."""
        executor = self.executors[self._foreign % len(self.executors)].entry.executor
        raw = FOREIGN[self._foreign % len(FOREIGN)]
        self._foreign += 1
        self.entries += [(executor, raw), ("x-of-nobody", raw)]

    def _executor(self, number: int, life: int = 0) -> FakeExecutor:
        entry = ExecutorEntry(
            executor=f"x{number}-{life}" if life else f"x{number}",
            service=SERVICE,
            address=f"{self.ip}:{self.announced + number}",
            data_centre="d1",
            draining=False,
            capacity=CAPACITY,
            labels=("a", "r1"),
            machine=f"m{number}",
        )
        executor = FakeExecutor(
            entry=entry,
            record=self.fleet.record,
            work=lambda task: None if task.job in self.lasting else self.work_s,
        )
        executor.guards = False
        self.fleet.add(executor)
        return executor

    def _configuration(self) -> dict[str, Any]:
        route = {
            "name": "quotes",
            "host": "stairs.example",
            "pathPrefix": "/quotes/",
            "service": SERVICE,
            "sloMs": 600,
            "maxAttempts": 2,
            "stretch": 1.6,
            "newField": True,
        }
        fields = {
            "version": 3,
            "routes": [route],
            "services": [{"name": SERVICE}],
            "limits": {"maxBodyBytes": self.max_body_bytes},
        }
        if self.keys_by_account is None:
            return fields
        return {
            **fields,
            "tenants": [
                {"name": name, "apiKeys": keys, "weight": 2, "maxCount": {"cpu": 64_000}}
                for name, keys in self.keys_by_account.items()
            ],
        }

    def publish_accounts(self, version: int, keys_by_account: dict[str, list[str]]) -> None:
        """Publish a configuration with client accounts, as the operator does."""
        self.keys_by_account = keys_by_account
        fields = {**self._configuration(), "version": version}
        self.operator.append(("config", msgspec.json.encode(fields)))

    async def _store(self, request: httputil.HTTPServerRequest) -> Answer:
        if request.path == "/control":
            fields = msgspec.json.decode(request.body)
            if "away" in fields:
                fields["away"] = {(part, failover) for part, failover in fields["away"]}
            self._resize(fields.pop("resize", {}))
            if "accounts" in fields:
                self.publish_accounts(*fields.pop("accounts"))
            for name, value in fields.items():
                setattr(self.store, name, value)
            return 200, b"{}"
        if request.path == "/record":
            rows = [[list(r.task), r.run, r.executor, r.how] for r in self.fleet.record.runs]
            return 200, msgspec.json.encode(rows)
        if request.path == "/owner":
            holder = self.store.holders_by_shard.get(shard_of(SERVICE, SHARDS), "")
            return 200, msgspec.json.encode(holder.rpartition("/")[2])
        if request.path == "/history":
            record = self.fleet.record
            history = History(
                runs=record.runs,
                acknowledged=record.acknowledged,
                lapses=record.lapses,
                overloads=self.overloads,
                crashing=sorted(self.crashing),
            )
            return 200, msgspec.json.encode(history)
        if self.store.down:
            await asyncio.sleep(2)
            return 503, b"{}"
        await asyncio.sleep(self.store.slow_s)
        if self._is_away(request):
            return 503, b"{}"
        verb = request.path.removeprefix("/mustardgap/").replace("-", "_")
        handler = getattr(self, f"_do_{verb}", None)
        return await handler(request) if handler else (404, b"{}")

    def _is_away(self, request: httputil.HTTPServerRequest) -> bool:
        """Whether a call is for a partition that is turned away."""
        topic, part = _query(request, "topic"), _query(request, "part")
        if topic not in OWN_TOPICS:
            return False
        return (int(part), topic == FAILOVER_TOPIC) in self.store.away

    async def _do_log_append(self, request: httputil.HTTPServerRequest) -> Answer:
        topic = _query(request, "topic")
        if topic not in OWN_TOPICS:
            rows = self._rows(topic)
            rows += [(record.key, record.value) for record in _split(request.body)]
            return _json(200, {"offset": 0, "end": len(rows)})
        sequence = _query(request, "seq")
        outcome = self.store.append(
            int(_query(request, "part")),
            int(_query(request, "epoch")),
            int(sequence) if sequence else None,
            _split(request.body),
            failover=topic == FAILOVER_TOPIC,
        )
        if isinstance(outcome, Appended):
            return _json(200, {"offset": 0, "end": outcome.end})
        if isinstance(outcome, Fenced):
            return _json(409, {"reason": "fenced"})
        assert isinstance(outcome, WrongSequence)
        return _json(409, {"reason": "seq", "seq": outcome.expected})

    async def _do_log_read(self, request: httputil.HTTPServerRequest) -> Answer:
        rows = self._rows(_query(request, "topic"))
        offset = int(_query(request, "from"))
        until = asyncio.get_running_loop().time() + int(_query(request, "waitMs") or 0) / 1000
        while len(rows) <= offset and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.02)
        body = struct.pack(">QQ", len(rows), 0)
        for key, value in rows[offset:]:
            content = bytes([len(key)]) + key.encode() + self._shown(request, value)
            body += struct.pack(">I", len(content)) + content
        return 200, body

    async def _do_log_newest(self, request: httputil.HTTPServerRequest) -> Answer:
        topic = _query(request, "topic")
        if topic in OWN_TOPICS:
            place = self.store.place(int(_query(request, "part")), topic == FAILOVER_TOPIC)
            values, end = place.values_by_key, place.end
        else:
            rows = self._rows(topic)
            values, end = dict(rows), len(rows)
        after = _query(request, "dependsOn")
        keys = sorted(key for key in values if values[key] and (not after or key > after))
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": 0}
            for key in keys[:3]
            for value in [self._shown(request, values[key])]
        ]
        return _json(200, {"items": items, "hasMore": len(keys) > 3, "end": end})

    def _shown(self, request: httputil.HTTPServerRequest, value: bytes) -> bytes:
        """Return a record as its reader sees it: executors are behind links of the reader's own."""
        if self.announced == self.port or _query(request, "topic") != "keyed.servers":
            return value
        return value.replace(f"{self.ip}:".encode(), f"{request.remote_ip}:".encode())

    async def _do_log_join(self, request: httputil.HTTPServerRequest) -> Answer:
        fields = msgspec.json.decode(request.body)
        joined = self.store.join(fields["member"], fields["generation"], fields["ttlMs"] / 1000)
        parts = [[fields["topics"][0], shard, 0] for shard in sorted(joined.shards)]
        return _json(200, {"generation": joined.generation, "ttlMs": 1, "parts": parts})

    async def _do_log_leave(self, request: httputil.HTTPServerRequest) -> Answer:
        self.store.leave(msgspec.json.decode(request.body)["member"])
        return _json(200, {})

    async def _do_log_owners(self, request: httputil.HTTPServerRequest) -> Answer:
        rows = [[JOBS_TOPIC, s, m, 0] for s, m in self.store.holders_by_shard.items()]
        return _json(200, {"owners": rows})

    async def _do_machines(self, request: httputil.HTTPServerRequest) -> Answer:
        rows = [
            {
                "machine": e.entry.machine,
                "pool": SERVICE,
                "state": "up",
                "zone": e.entry.data_centre,
                "labels": list(e.entry.labels),
                "capacity": _capacity(e.entry.capacity),
                "id": e.entry.executor,
            }
            for e in self.executors
        ]
        return _json(200, {"machines": rows, "nextToken": None})

    def _rows(self, topic: str) -> list[tuple[str, bytes]]:
        return self._rows_by_topic.setdefault(topic, [])

    def _orders(self, executor: FakeExecutor) -> Handler:
        async def handle(request: httputil.HTTPServerRequest) -> Answer | None:
            if not executor.alive:
                return None
            if request.headers.get("X-Mustardgap-Expect-Instance") != executor.entry.executor:
                return 421, b"{}"
            fields = msgspec.json.decode(request.body)
            verb = request.path.removeprefix("/mustardgap/")
            if verb == "hold":
                held = await _hold(executor, fields)
                return held if executor.alive else None
            task = _task(fields["task"])
            if verb == "run-start":
                if fields["spec"] == "lasting":
                    self.lasting.add(task.job)
                if fields["spec"].startswith(CRASHING):
                    number = int(fields["spec"].removeprefix(CRASHING))
                    self.crashing.add(TaskId(task.job, 0, 0, number))
                outcome = executor.start(
                    task, fields["run"], fields["spec"], fields["untilMs"], fields["fence"]
                )
            else:
                outcome = executor.stop(task, fields["run"], fields["fence"])
            return _ordered(executor, outcome)

        return handle


def process_settings(
    *, host: str, front: int, ready: int, peer: int, store: int, status_s: int
) -> dict[str, Any]:
    """The settings that the platform writes for a process on loopback.

    :param host: the process's host.
    :param front: the port for callers.
    :param ready: the port for the balancer's checks.
    :param peer: the first of the ports between daemons.
    :param store: the port of the store, which answers for machines too.
    :param status_s: how long ended jobs are known.
    """
    address = f"127.0.0.1:{store}"
    return {
        "node": host,
        "role": "entry",
        "ip": "127.0.0.1",
        "zone": "d1",
        "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
        "portRange": [peer, peer + 1],
        "platform": {"addr": address, "parts": SHARDS},
        "cloudApi": {"addr": address},
        "bounds": {"graceS": 6, "status_s": status_s},
    }


async def _hold(executor: FakeExecutor, fields: dict[str, Any]) -> Answer:
    refusal = executor.hold(fields["fence"], fields["ackedOffset"], fields.get("untilMs"))
    if refusal is not None:
        return _ordered(executor, refusal)
    until = asyncio.get_running_loop().time() + fields.get("waitMs", 0) / 1000
    while not executor.report().ended and asyncio.get_running_loop().time() < until:
        await asyncio.sleep(0.01)
    report = executor.report()
    running = [[_name(r.task), r.run, r.checkpoint, r.percent, 0] for r in report.running]
    ended = [
        [e.number, _name(e.task), e.run, e.how.name.lower(), e.checkpoint] for e in report.ended
    ]
    return _json(200, {"clockMs": report.clock_ms, "running": running, "ended": ended})


def _ordered(executor: FakeExecutor, outcome: object) -> Answer:
    fields: dict[str, Any] = {"clockMs": executor.clock_ms()}
    if isinstance(outcome, Fenced):
        return _json(409, {**fields, "reason": "fence"})
    if isinstance(outcome, StartRefused):
        return _json(409, {**fields, "reason": outcome.reason})
    return _json(200, fields)


def _capacity(room: Room) -> dict[str, int]:
    return {"cpu": room.cpu, "memMb": room.memory_mb, "gpu": room.gpus}


def _entry(entry: ExecutorEntry) -> bytes:
    return msgspec.json.encode(
        {
            "service": entry.service,
            "addr": entry.address,
            "zone": entry.data_centre,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "capacity": _capacity(entry.capacity),
            "labels": list(entry.labels),
            "machine": entry.machine,
        }
    )


def _split(body: bytes) -> list[Record]:
    records = []
    place = 0
    while place < len(body):
        (length,) = struct.unpack_from(">I", body, place)
        content = body[place + 4 : place + 4 + length]
        place += 4 + length
        key_end = 1 + content[0]
        records.append(Record(content[1:key_end].decode(), content[key_end:]))
    return records


def _task(name: str) -> TaskId:
    job, occurrence, step, number = name.split(".")
    return TaskId(job, int(occurrence), int(step), int(number))


def _name(task: TaskId) -> str:
    return ".".join(str(part) for part in task)


def _query(request: httputil.HTTPServerRequest, name: str) -> str:
    values = request.arguments.get(name)
    return values[0].decode() if values else ""


def _json(status: int, fields: dict[str, Any]) -> Answer:
    return status, msgspec.json.encode(fields)


def _serve(ip: str, port: int, handler: Handler) -> HTTPServer:
    tasks: set[asyncio.Task[None]] = set()

    async def answer(request: httputil.HTTPServerRequest) -> None:
        answered = await handler(request)
        if answered is None:
            request.connection.close()  # type: ignore[union-attr]
            return
        status, body = answered
        headers = httputil.HTTPHeaders({"Content-Length": str(len(body))})
        connection = request.connection
        assert connection is not None
        line = httputil.ResponseStartLine("HTTP/1.1", status, "")
        try:
            connection.write_headers(line, headers, body or None)
            connection.finish()
        except Exception as exc:
            print(f"an asker left before its answer: {exc!r}", flush=True)

    def handle(request: httputil.HTTPServerRequest) -> None:
        task = asyncio.ensure_future(answer(request))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = HTTPServer(handle)
    server.listen(port, ip)
    return server


@click.command()
@click.option("--ip", default="127.0.0.1", help="Where to listen.")
@click.option("--port", type=int, required=True, help="The store's port; executors follow.")
@click.option("--executors", type=int, default=3, help="How many executors there are.")
@click.option("--work-s", type=float, default=0.5, help="How long a task takes, in seconds.")
@click.option("--announce", "announced", type=int, help="The port that announced ones follow.")
@click.option("--max-body-bytes", type=int, default=MAX_BODY_BYTES, help="A body's limit.")
def main(
    ip: str, port: int, executors: int, work_s: float, announced: int | None, max_body_bytes: int
) -> None:
    """Run the stand-in."""

    async def run() -> None:
        platform = WirePlatform(
            ip=ip,
            port=port,
            executors=executors,
            work_s=work_s,
            announced=announced,
            max_body_bytes=max_body_bytes,
        )
        await platform.run()

    asyncio.run(run())


if __name__ == "__main__":
    main()
