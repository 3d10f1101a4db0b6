"""Bodies and records of the platform, decoded once into the product's types and back."""

import re
from base64 import b64decode
from collections.abc import Mapping
from enum import StrEnum
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Any, Literal, NamedTuple

import msgspec

from ..accounts import Account, AccountDirectory, digest_of
from ..client_bounds import RequestLimits
from ..codecs import (
    MAX_EXACT_INT,
    Undecodable,
    convert,
    decode_json,
    total,
    without_deep_rows,
)
from ..workloads import (
    AdvicePolicy,
    Configuration,
    EndKind,
    EndRow,
    ExecutorEntry,
    JobSpec,
    Machine,
    Queue,
    Report,
    Room,
    RunRow,
    Service,
    Step,
    TaskId,
    Wave,
)

MAX_PAYLOAD_BYTES = 4_000
MAX_TASKS = 10_000
# Of all its repetitions together, which may be due at the same time; a host has 300 MB.
MAX_REPEATED_TASKS = 100_000
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
# An executor's name is part of the keys of records, of 255 bytes at most, and of requests' heads.
MAX_NAME_LENGTH = 200
_NAME = re.compile("[!-~]+")
# So much of a record that can't be read is shown beside the reason.
MAX_SHOWN_BYTES = 100

_END_KINDS = {kind.name.lower(): kind for kind in EndKind}


class _Advice(msgspec.Struct):
    decide_ms: float = msgspec.field(default=0, name="decideMs")
    period_ms: float = msgspec.field(default=0, name="periodMs")
    valid_ms: float = msgspec.field(default=0, name="validMs")


class _Route(msgspec.Struct):
    name: str
    host: str
    service: str
    path_prefix: str = msgspec.field(name="pathPrefix")
    timeout_ms: float = msgspec.field(default=3000, name="timeoutMs")
    slo_ms: float = msgspec.field(default=1000, name="sloMs")
    priority: int = 0
    max_attempts: int = msgspec.field(default=1, name="maxAttempts")
    stretch: float = 1.0
    advice: _Advice | None = None
    # Whether its callers need no key.
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    health_path: str = msgspec.field(default="/healthz", name="healthPath")
    max_conns: int = msgspec.field(default=64, name="maxConns")
    rejects_overload: bool = msgspec.field(default=False, name="rejectsOverload")
    standby: bool = False


class _Limits(msgspec.Struct):
    header: int = msgspec.field(default=16_384, name="maxHeaderBytes")
    body: int = msgspec.field(default=262_144, name="maxBodyBytes")
    header_ms: float = msgspec.field(default=3_000, name="headerTimeoutMs")
    idle_ms: float = msgspec.field(default=15_000, name="idleTimeoutMs")


class _MaxCount(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = msgspec.field(default=0, name="memMb")
    gpu: int = 0


class _Tenant(msgspec.Struct):
    """A client account."""

    name: str
    api_keys: list[str] = msgspec.field(default_factory=list, name="apiKeys")
    weight: float = 1.0
    # What it may have running on all executors together, not a number of anything.
    max_count: _MaxCount = msgspec.field(default_factory=_MaxCount, name="maxCount")


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # None where the deployment has no client accounts.
    tenants: list[_Tenant] | None = None


_Name = Annotated[str, msgspec.Meta(min_length=1)]
# Whole numbers are kept as MessagePack, which takes 64 bits, and passed on as JSON.
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_INT)]
_Amount = Annotated[int, msgspec.Meta(gt=0, le=MAX_EXACT_INT)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_EXACT_INT)]
_Moment = _Count


class _Step(msgspec.Struct):
    count: _Count = 1
    cpu: _Count = 0
    mem_mb: _Count = msgspec.field(default=0, name="memMb")
    gpu: _Count = 0
    estimate_ms: _Milliseconds = msgspec.field(default=0, name="estimateMs")
    depends_on: list[_Count] = msgspec.field(default_factory=list, name="dependsOn")
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = msgspec.field(default=False, name="sameRack")
    requires: str = ""
    data_rack: str = msgspec.field(default="", name="dataRack")
    anti_affinity: _Count = msgspec.field(default=0, name="antiAffinity")
    speculative: bool = False
    long_running: bool = msgspec.field(default=False, name="longRunning")
    image: str = ""
    target_ms: _Milliseconds = msgspec.field(default=0, name="targetMs")
    fills: bool = False
    may_miss: _Count | None = msgspec.field(default=None, name="mayMiss")


class _Job(msgspec.Struct):
    steps: list[_Step]
    spec: str = ""
    repeats: _Count = 0
    first_ms: _Milliseconds = msgspec.field(default=0, name="firstMs")
    interval_ms: _Milliseconds = msgspec.field(default=0, name="intervalMs")


class _Capacity(msgspec.Struct):
    # An executor that has shrunk to nothing says so.
    cpu: _Count
    mem_mb: _Count = msgspec.field(name="memMb")
    gpu: _Count = 0


class _ExecutorState(StrEnum):
    READY = "ready"
    DRAINING = "draining"


class _Entry(msgspec.Struct):
    """Every field that an executor writes; what lacks one wasn't written by an executor."""

    service: _Name
    addr: _Name
    zone: _Name
    version: str
    slots: _Count
    state: _ExecutorState
    cold_left_ms: _Milliseconds = msgspec.field(name="coldLeftMs")
    seq: _Count
    capacity: _Capacity
    # The executor's kind comes first, its rack last.
    labels: list[str]
    machine: str = ""
    remaining_ms: _Milliseconds | None = msgspec.field(default=None, name="remainingMs")
    born: _Moment | None = None


class _MachineState(StrEnum):
    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class _MachineRow(msgspec.Struct):
    machine: _Name
    pool: _Name
    state: _MachineState
    capacity: _Capacity
    zone: str = ""
    labels: list[str] = []
    id: str | None = None


class _MachinePage(msgspec.Struct):
    machines: list[msgspec.Raw]
    next_token: str | None = msgspec.field(default=None, name="nextToken")


class MachinePage(NamedTuple):
    """One page of machines, what was wrong with rows that it lacks, and the next page's token."""

    machines: list[Machine]
    invalid: list[str]
    next_token: str | None


class _NewestItem(msgspec.Struct):
    key: str
    value: str


class _NewestPage(msgspec.Struct):
    items: list[msgspec.Raw]
    end: _Count
    has_more: bool = msgspec.field(default=False, name="hasMore")


class NewestPage(NamedTuple):
    """One page of the newest records, what was wrong with others, and whether there are more."""

    values_by_key: dict[str, bytes]
    invalid: list[str]
    end: int
    has_more: bool


class _Wave(msgspec.Struct):
    wave: _Count
    machines: list[str]
    finish_by_s: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(name="finishByS")
    max_count: _Amount = msgspec.field(name="maxCount")


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: _Count
    saved: str
    percent: float
    load: float = 0


class _EndedRow(msgspec.Struct, array_like=True):
    number: _Count
    task: str
    run: _Count
    how: Literal["done", "failed", "stopped", "lapsed", "broken", "alone"]
    saved: str


class _Report(msgspec.Struct):
    clock_ms: _Count = msgspec.field(name="clockMs")
    running: list[_RunningRow] = []
    ended: list[_EndedRow] = []
    born: _Moment | None = None


class _PartRow(msgspec.Struct, array_like=True):
    topic: str
    part: _Count


class _JoinReply(msgspec.Struct):
    generation: _Count
    parts: list[_PartRow]


class _OwnerRow(msgspec.Struct, array_like=True):
    topic: str
    part: _Count
    member: str | None = None


class _GrantRow(msgspec.Struct, array_like=True):
    executor: str
    ticket: str


class _Grants(msgspec.Struct):
    granted: list[_GrantRow] = []
    valid_ms: _Milliseconds = msgspec.field(default=0, name="validMs")


class JoinReply(NamedTuple):
    """The store's reply to a member of a group: its generation, and its partitions of a topic."""

    generation: int
    parts: frozenset[int]


class InvalidBody(Undecodable):
    """A body that isn't what the platform's page says; the text tells why."""


@total(InvalidBody)
def configuration(raw: bytes) -> Configuration:
    """Decode the operator's configuration.

    :raises InvalidBody: what is wrong with it.
    """
    fields = _decode(raw, _Config)
    return Configuration(
        version=fields.version,
        queues_by_name={route.name: _queue(route) for route in fields.routes},
        services_by_name={
            service.name: Service(
                name=service.name,
                health_path=service.health_path,
                max_connections=service.max_conns,
                guards_capacity=service.rejects_overload,
                standby=service.standby,
            )
            for service in fields.services
        },
        limits=RequestLimits(
            header_bytes=fields.limits.header,
            body_bytes=fields.limits.body,
            header_timeout_s=fields.limits.header_ms / 1000,
            body_timeout_s=fields.limits.idle_ms / 1000,
            idle_timeout_s=fields.limits.idle_ms / 1000,
        ),
        accounts=None if fields.tenants is None else _accounts(fields.tenants),
        public_queues=frozenset(route.name for route in fields.routes if route.public),
    )


def _accounts(tenants: list[_Tenant]) -> AccountDirectory:
    return AccountDirectory(
        by_name={tenant.name: _account(tenant) for tenant in tenants},
        names_by_digest={
            digest_of(key): tenant.name for tenant in tenants for key in tenant.api_keys
        },
    )


def _account(tenant: _Tenant) -> Account:
    most = tenant.max_count
    return Account(
        name=tenant.name,
        weight=tenant.weight,
        limit=Room(most.cpu, most.mem_mb, most.gpu),
    )


def _queue(route: _Route) -> Queue:
    advice = None
    if route.advice is not None:
        advice = AdvicePolicy(
            decide_s=route.advice.decide_ms / 1000,
            per_executor_s=route.advice.period_ms / 1000,
            valid_s=route.advice.valid_ms / 1000,
        )
    return Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.slo_ms / 1000,
        priority=route.priority,
        max_attempts=max(route.max_attempts, 1),
        stretch=route.stretch,
        advice=advice,
    )


@total(InvalidBody)
def job(raw: bytes) -> JobSpec:
    """Decode a job that a caller hands in.

    :raises InvalidBody: what is wrong with it.
    """
    fields = _decode(raw, _Job)
    if len(fields.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise InvalidBody("the payload is too long")
    if not fields.steps:
        raise InvalidBody("a job needs a step")
    if sum(step.count for step in fields.steps) > MAX_TASKS:
        raise InvalidBody("the job has too many tasks")
    if fields.repeats * sum(step.count for step in fields.steps) > MAX_REPEATED_TASKS:
        raise InvalidBody("the job has too many tasks in all its repetitions")
    for number, step in enumerate(fields.steps):
        if step.count < 1 or min(step.cpu, step.mem_mb, step.gpu) < 0:
            raise InvalidBody(f"step {number} has a size that can't be")
        if any(not 0 <= earlier < number for earlier in step.depends_on):
            raise InvalidBody(f"step {number} depends on a step that isn't before it")
    return JobSpec(
        payload=fields.spec,
        steps=tuple(_step(step) for step in fields.steps),
        repeats=fields.repeats,
        first_at_s=fields.first_ms / 1000,
        interval_s=fields.interval_ms / 1000,
    )


def _step(fields: _Step) -> Step:
    return Step(
        width=fields.count,
        cpu=fields.cpu,
        memory_mb=fields.mem_mb,
        gpus=fields.gpu,
        estimate_s=fields.estimate_ms / 1000,
        depends_on=tuple(fields.depends_on),
        checkpointing=fields.checkpointing,
        gang=fields.gang,
        same_rack=fields.same_rack,
        requires=fields.requires,
        data_rack=fields.data_rack,
        anti_affinity=fields.anti_affinity,
        speculative=fields.speculative,
        lasting=fields.long_running,
        image=fields.image,
        target_ms=int(fields.target_ms),
        filling=fields.fills,
        may_miss=fields.may_miss,
    )


@total(InvalidBody)
def executor_entry(executor: str, raw: bytes) -> ExecutorEntry:
    """Decode what an executor says of itself.

    Others may write to the list, too. A record with a field that is missing or can't be would pass
    for an executor that has no room, or can't be reached, and tasks would wait for it.

    :param executor: the name under which it stands in the list.
    :raises InvalidBody: what is wrong with it.
    """
    _check_name(executor)
    fields = _decode(raw, _Entry)
    _check_address(fields.addr)
    return ExecutorEntry(
        executor=executor,
        service=fields.service,
        address=fields.addr,
        data_centre=fields.zone,
        draining=fields.state is _ExecutorState.DRAINING,
        capacity=_room(fields.capacity),
        labels=tuple(fields.labels),
        rack=fields.labels[-1] if fields.labels else "",
        machine=fields.machine,
        remaining_s=None if fields.remaining_ms is None else fields.remaining_ms / 1000,
        started_ms=fields.born,
    )


def _check_name(executor: str) -> None:
    if len(executor) > MAX_NAME_LENGTH:
        raise InvalidBody(f"a name of {len(executor)} characters")
    if not _NAME.fullmatch(executor):
        raise InvalidBody(f"the name {executor!r} has characters that no request can carry")


def _check_address(address: str) -> None:
    ip, _, port = address.rpartition(":")
    try:
        IPv4Address(ip)
    except AddressValueError as exc:
        raise InvalidBody(f"the address {address!r}: {exc}") from None
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not (is_number and 0 < int(port) <= MAX_PORT):
        raise InvalidBody(f"the address {address!r} has no port from 1 to {MAX_PORT}")


@total(InvalidBody)
def wave(raw: bytes) -> Wave:
    """Decode a wave of maintenance.

    :raises InvalidBody: what is wrong with it.
    """
    fields = _decode(raw, _Wave)
    return Wave(fields.wave, tuple(fields.machines), fields.finish_by_s, fields.max_count)


@total(InvalidBody)
def machine_page(raw: bytes) -> MachinePage:
    """Decode one page of machines; a row that can't be read costs that row only.

    :raises InvalidBody: the page itself can't be read.
    """
    page = _decode_page(raw, _MachinePage)
    machines: list[Machine] = []
    invalid: list[str] = []
    for row in page.machines:
        try:
            machines.append(_machine(_decode(bytes(row), _MachineRow)))
        except InvalidBody as exc:
            invalid.append(f"{exc}: {bytes(row)[:MAX_SHOWN_BYTES]!r}")
    return MachinePage(machines, invalid, page.next_token)


def _machine(row: _MachineRow) -> Machine:
    return Machine(
        machine=row.machine,
        pool=row.pool,
        state=row.state.value,
        data_centre=row.zone,
        labels=tuple(row.labels),
        capacity=_room(row.capacity),
        executor=row.id or "",
    )


@total(InvalidBody)
def newest_page(raw: bytes) -> NewestPage:
    """Decode one page of the newest records; one that can't be read costs that record only.

    A value that isn't in base64 is passed on as it stands: whoever reads it finds it invalid, and
    knows by its key whose record it is.

    :raises InvalidBody: the page itself can't be read.
    """
    page = _decode_page(raw, _NewestPage)
    values: dict[str, bytes] = {}
    invalid: list[str] = []
    for raw_item in page.items:
        try:
            item = _decode(bytes(raw_item), _NewestItem)
        except InvalidBody as exc:
            invalid.append(f"{exc}: {bytes(raw_item)[:MAX_SHOWN_BYTES]!r}")
            continue
        try:
            values[item.key] = b64decode(item.value, validate=True)
        except ValueError:
            values[item.key] = item.value.encode()
    return NewestPage(values, invalid, page.end, page.has_more)


@total(InvalidBody)
def report(raw: bytes) -> Report:
    """Decode what an executor answers when it is asked what it runs.

    :raises InvalidBody: what is wrong with it.
    """
    fields = _decode(raw, _Report)
    running = tuple(
        RunRow(task_id(row.task), row.run, row.saved, int(row.percent), int(row.load))
        for row in fields.running
    )
    ended = tuple(
        EndRow(row.number, task_id(row.task), row.run, _END_KINDS[row.how], row.saved)
        for row in fields.ended
    )
    return Report(fields.clock_ms, running, ended, fields.born)


@total(InvalidBody)
def task_id(name: str) -> TaskId:
    """Decode a task's name.

    :raises InvalidBody: it isn't one.
    """
    try:
        job_id, occurrence, step, index = name.split(".")
        return TaskId(job_id, int(occurrence), int(step), int(index))
    except ValueError:
        raise InvalidBody(f"{name!r} is no task's name") from None


def task_name(task: TaskId) -> str:
    """A task's name on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.number}"


@total(InvalidBody)
def join_reply(raw: bytes, topic: str) -> JoinReply:
    """Decode the store's reply to a member of a group.

    It holds as a whole or not at all: a partition that was left out would be given up.

    :raises InvalidBody: what is wrong with it.
    """
    fields = _decode(raw, _JoinReply)
    parts = frozenset(row.part for row in fields.parts if row.topic == topic)
    return JoinReply(fields.generation, parts)


@total(InvalidBody)
def owner_rows(raw: bytes, topic: str) -> dict[int, str]:
    """Decode the members that hold a topic's partitions; a row that can't be read is left out.

    :raises InvalidBody: the reply itself can't be read.
    """
    value = _decode(raw, Any)
    lists = value.values() if isinstance(value, dict) else [value]
    rows = next((rows for rows in lists if isinstance(rows, list)), [])
    members: dict[int, str] = {}
    for row in rows:
        try:
            fields = convert(row, _OwnerRow)
        except Undecodable:
            continue
        if fields.topic == topic and fields.member:
            members[fields.part] = fields.member
    return members


@total(InvalidBody)
def granted_tickets(raw: bytes) -> tuple[dict[str, str], float]:
    """Decode advice: tickets by executor, and for how many seconds they are valid.

    :raises InvalidBody: what is wrong with it.
    """
    fields = _decode(raw, _Grants)
    tickets = {row.executor: row.ticket for row in fields.granted}
    return tickets, fields.valid_ms / 1000


def count_of(fields: Mapping[str, Any], name: str) -> int | None:
    """A field of a JSON object that is a whole number, None if it isn't one."""
    value = fields.get(name)
    if not isinstance(value, int) or isinstance(value, bool):
        return None
    return value if 0 <= value <= MAX_EXACT_INT else None


def fields_of(raw: bytes) -> Mapping[str, Any]:
    """A JSON object's fields, none if it isn't one."""
    try:
        value = decode_json(raw)
    except Undecodable:
        return {}
    return value if isinstance(value, dict) else {}


def _room(fields: _Capacity) -> Room:
    return Room(fields.cpu, fields.mem_mb, fields.gpu)


def _decode_page(raw: bytes, kind: type[Any]) -> Any:
    """Decode a page of rows that are still to be decoded, even where one is nested too deeply."""
    try:
        return _decode(raw, kind)
    except InvalidBody:
        return _decode(without_deep_rows(raw), kind)


@total(InvalidBody)
def _decode(raw: bytes, kind: type[Any]) -> Any:
    return decode_json(raw, kind)
