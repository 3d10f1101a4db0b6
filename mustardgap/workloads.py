"""The types used in dispatching: queues, services, jobs, executors, runs and their ends."""

import enum
from typing import NamedTuple

from .accounts import AccountDirectory
from .client_bounds import RequestLimits
from .resources import Room

JobId = str
ExecutorId = str
MachineId = str


class AdvicePolicy(NamedTuple):
    """How long the advice service takes to say which executors may run a step of a queue."""

    decide_s: float
    per_executor_s: float
    valid_s: float


class Queue(NamedTuple):
    """A queue of jobs, as the operator's configuration declares it.

    ``priority`` 0 is the most urgent. A job has its full value if it ends within ``stretch`` times
    its critical path, plus ``objective_s``.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    stretch: float
    advice: AdvicePolicy | None = None


class Service(NamedTuple):
    """A pool of executors; the machines of a standby pool are off and cost nothing."""

    name: str
    health_path: str
    max_connections: int
    guards_capacity: bool
    standby: bool


class Configuration(NamedTuple):
    """The operator's configuration in full; the highest ``version`` is in force.

    Where there are no ``accounts``, anybody may use any queue. Where there are, only the queues in
    ``public_queues`` may be used without a key.
    """

    version: int
    queues_by_name: dict[str, Queue]
    services_by_name: dict[str, Service]
    limits: RequestLimits = RequestLimits()
    accounts: AccountDirectory | None = None
    public_queues: frozenset[str] = frozenset()

    def needs_key(self, queue_name: str) -> bool:
        """Whether calls on a queue have to carry the key of a client account."""
        return self.accounts is not None and queue_name not in self.public_queues

    def queue_for(self, host: str, path: str) -> Queue | None:
        """The queue of a host with the longest prefix of a path, or None.

        :param host: the request's host, without a port.
        :param path: the request's path.
        """
        fitting = [
            queue
            for queue in self.queues_by_name.values()
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(fitting, key=lambda queue: len(queue.path_prefix), default=None)


class Step(NamedTuple):
    """The equal tasks, ``width`` of them, that one step of a job consists of.

    ``estimate_s`` is the submitter's rough estimate of a task's duration. ``anti_affinity`` bounds
    the tasks of the step on one executor, 0 for no bound. A ``filling`` step uses processor time
    left by others, so its ``cpu`` isn't counted. ``may_miss`` bounds how many tasks of a lasting
    step may be taken away at once; None if no bound is declared.
    """

    width: int
    cpu: int
    memory_mb: int
    gpus: int
    estimate_s: float
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    data_rack: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    filling: bool = False
    may_miss: int | None = None

    @property
    def room(self) -> Room:
        """The capacity that one task takes on an executor."""
        return Room(0 if self.filling else self.cpu, self.memory_mb, self.gpus)


class JobSpec(NamedTuple):
    """A job as a caller submitted it; its steps run ``repeats`` times if that is over 0."""

    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_at_s: float = 0.0
    interval_s: float = 0.0

    @property
    def lasting(self) -> bool:
        """Whether any of its tasks run until the job is cancelled."""
        return any(step.lasting for step in self.steps)

    @property
    def runs_once(self) -> bool:
        """Whether it runs once and ends by itself."""
        return not self.repeats and not self.lasting


class TaskId(NamedTuple):
    """The id of a task of a job; ``occurrence`` counts the repetitions from 0."""

    job: JobId
    occurrence: int
    step: int
    number: int


class ExecutorEntry(NamedTuple):
    """An executor's own entry in the platform's list of executors.

    ``readable`` is False while its newest record can't be read; the rest is from an older one then.
    ``started_ms`` is when it started, in milliseconds since the epoch; None if it doesn't say.
    """

    executor: ExecutorId
    service: str
    address: str
    data_centre: str
    draining: bool
    capacity: Room
    labels: tuple[str, ...] = ()
    rack: str = ""
    machine: MachineId = ""
    remaining_s: float | None = None
    readable: bool = True
    started_ms: int | None = None


class EndKind(enum.IntEnum):
    """How a run ended on its executor."""

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LAPSED = 3
    BROKEN = 4
    ALONE = 5


class RunRow(NamedTuple):
    """A run that an executor reports as present; ``load`` is a tail latency in ms when serving."""

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    load: int = 0


class EndRow(NamedTuple):
    """An ended run that an executor reports until it is acknowledged."""

    number: int
    task: TaskId
    run: int
    how: EndKind
    checkpoint: str


class Report(NamedTuple):
    """What an executor runs and what has ended there, at a time of its own clock.

    ``started_ms`` is when the executor started, as in its entry.
    """

    clock_ms: int
    running: tuple[RunRow, ...]
    ended: tuple[EndRow, ...]
    started_ms: int | None = None


class Machine(NamedTuple):
    """A machine of the fleet, and the executor that runs on it at present."""

    machine: MachineId
    pool: str
    state: str
    data_centre: str
    labels: tuple[str, ...]
    capacity: Room
    executor: ExecutorId


class Wave(NamedTuple):
    """A set of machines that the operator wants maintained by a given time."""

    number: int
    machines: tuple[MachineId, ...]
    finish_by_s: float
    at_once: int
