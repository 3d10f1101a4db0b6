"""The typed data that the parts of mustardgap hand to each other.

Declarations are what operators publish, records are what stands on the platform's log, and the
``...State`` types are what the fold makes of them. Times are seconds since the epoch, sizes are GB.
"""

from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

RULES_VERSION = 2

# Declarations, keyed on the log by "<kind>/<name>".

DeclarationKind = Literal["profile", "service", "pool", "team", "policy"]


class Room(TypedDict):
    """How much room a service may hold, in hosts."""

    max_hosts: int


class Availability(TypedDict):
    """How many hosts must stay available, also with one whole failure domain lost."""

    min_hosts: int
    survive: Literal["none", "host", "rack", "data_center"]


class Disruption(TypedDict):
    """How gently work may be paused or moved; the steps are tried in order.

    ``idempotent`` says whether a job may be run again when it is unknown whether it ran.
    """

    steps: list[Literal["throttle", "checkpoint", "stop"]]
    warning_s: float
    drain_s: float
    idempotent: bool


class Limits(TypedDict):
    """What one request of a service may take."""

    timeout_s: float
    max_wait_s: float
    max_body_bytes: int
    idempotent_methods: list[str]


class Profile(TypedDict):
    """A named profile; ``urgency`` is 0 for the most urgent and 9 for the least."""

    room: Room
    availability: Availability
    disruption: Disruption
    urgency: int
    limits: NotRequired[Limits]


class Service(TypedDict):
    """A service with its choice of profile; ``path`` is the prefix of its requests."""

    profile: str
    team: str
    path: str


class Pool(TypedDict):
    """A pool of hosts that serves one service, or jobs when ``service`` is empty."""

    service: str
    min_hosts: int
    max_hosts: int


class Team(TypedDict):
    """A team with its quota for jobs."""

    max_cores: float
    max_memory_gb: float
    max_jobs: int


class Policy(TypedDict):
    """Maintenance policy and the users' weights of buffer against moves."""

    maintain_every_s: float
    reboot_s: float
    buffer_weight: float
    move_weight: float
    spare_hosts: int


class Change(TypedDict):
    """A change of one declaration; ``base`` is the offset of the version it was made on, or -1.

    A ``value`` of None removes the declaration.
    """

    key: str
    base: int
    value: dict[str, Any] | None


# Records on the log.

RecordKind = Literal["config", "host", "job", "wave", "checkpoint", "chunk"]


class Record(TypedDict):
    """A record as it stands on the log; ``body`` depends on ``kind``.

    ``id`` makes an append idempotent, ``rules`` is the fold version the record needs, ``seen`` is
    how many records the writer had folded when it made this one.
    """

    id: str
    writer: str
    rules: int
    seen: int
    kind: str
    time: float
    body: dict[str, Any]


class ConfigBody(TypedDict):
    """An atomic set of changes to declarations."""

    changes: list[Change]


Phase = Literal["in_service", "draining", "drained", "rebooting", "failed", "set_aside"]


class HostBody(TypedDict):
    """One step of one host; ``base`` is the epoch it was made on, 0 for a host new to the log."""

    host: str
    base: int
    phase: Phase
    pool: str
    reason: str
    facts: NotRequired["HostFacts"]
    wave: NotRequired[str]


class JobBody(TypedDict):
    """One step of one job; ``base`` is the job's epoch it was made on, 0 for a submission."""

    job: str
    base: int
    step: Literal["submit", "place", "start", "pause", "resume", "end", "cancel", "attempt_over"]
    spec: NotRequired["JobSpec"]
    worker: NotRequired[str]
    code: NotRequired[int]
    result: NotRequired[str]
    usage: NotRequired["Usage"]


class WaveBody(TypedDict):
    """One step of a maintenance wave; ``base`` is the wave's epoch, 0 for a new one."""

    wave: str
    base: int
    step: Literal["start", "pause", "resume", "finish"]
    hosts: NotRequired[list[str]]
    reason: NotRequired[str]


class CheckpointBody(TypedDict):
    """Tells that the state up to an offset stands on the checkpoint stream."""

    offset: int
    chunks: int


class HostFacts(TypedDict):
    """What doesn't change while a host lives."""

    rack: str
    data_center: str
    cores: float
    memory_gb: float
    accelerators: int


class HostState(TypedDict):
    """What the fold knows of one host; it is in exactly one pool ("" is the spare pool)."""

    host: str
    facts: HostFacts
    pool: str
    epoch: int
    phase: Phase
    reason: str
    since: float
    maintained: float
    wave: str


class JobSpec(TypedDict):
    """A job as it was submitted; ``idempotent`` False forbids a second run."""

    team: str
    urgency: int
    cores: float
    memory_gb: float
    accelerators: int
    run_s: float
    idempotent: bool
    profile: NotRequired[str]
    payload: NotRequired[dict[str, Any]]


class Usage(TypedDict):
    """What a task was seen to use."""

    cores: float
    memory_gb: float
    run_s: float


class AttemptState(TypedDict):
    """One attempt at a job."""

    number: int
    worker: str
    epoch: int
    outcome: Literal["running", "done", "failed", "unknown", "moved"]
    started: float


JobPhase = Literal["waiting", "placed", "running", "paused", "ended"]


class JobState(TypedDict):
    """What the fold knows of one job."""

    job: str
    spec: JobSpec
    epoch: int
    phase: JobPhase
    cancelled: bool
    submitted: float
    attempts: list[AttemptState]
    code: int
    result: str
    ended: float
    usage: NotRequired[Usage]


class WaveState(TypedDict):
    """What the fold knows of one wave; a host maintained since ``started`` is done."""

    wave: str
    epoch: int
    phase: Literal["running", "paused", "finished"]
    hosts: list[str]
    reason: str
    since: float
    started: float


class EntryBody(TypedDict):
    """A step of an entry host's membership: it joins, leaves, or is found to be gone."""

    host: str
    base: int
    incarnation: int
    step: Literal["join", "leave", "gone"]


class EntryState(TypedDict):
    """What the fold knows of one entry host.

    ``unclean`` is the offset at which a run of it last ended without a leave, -1 for never.
    """

    host: str
    incarnation: int
    epoch: int
    state: Literal["joined", "left", "gone"]
    offset: int
    time: float
    unclean: int


class Declaration(NamedTuple):
    """An accepted declaration and the offset it was accepted at, its version."""

    key: str
    version: int
    value: dict[str, Any]


# The platform's answers.


class LogRecord(NamedTuple):
    """A record as it was read from the log, with its offset and the log's own time."""

    offset: int
    time: float
    value: dict[str, Any]


class Page(NamedTuple):
    """A page of a stream; ``next_offset`` is where to read on, ``end`` the log's end."""

    records: list[LogRecord]
    next_offset: int
    oldest: int
    end: int


class ExecutorInfo(TypedDict):
    """An executor (the upstream process of a service) on a worker."""

    executor: str
    service: str
    address: str
    slots: int
    connections: int


class WorkerInfo(TypedDict):
    """A worker as the platform shows it."""

    worker: str
    rack: str
    data_center: str
    cores: float
    memory_gb: float
    accelerators: int
    pool: str
    epoch: int
    state: Literal["up", "draining", "drained", "rebooting", "down"]
    boot: int
    executors: list[ExecutorInfo]


class HostEntry(TypedDict):
    """One line of the platform's lagging list of live and leaving hosts.

    ``role`` is ``entry`` or ``worker``; ``address`` is the peers' address of an entry host.
    """

    host: str
    role: Literal["entry", "worker"]
    state: Literal["live", "leaving"]
    address: str
    data_center: str


class TaskInfo(TypedDict):
    """A task on a worker as the platform shows it; ``usage`` lags."""

    task: str
    job: str
    attempt: int
    epoch: int
    worker: str
    state: Literal["running", "throttled", "checkpointed", "done", "failed", "stopped", "lapsed"]
    usage: Usage
    lease_until: float
    detail: str
