"""What dispatching needs of its surroundings; the platform's adapter and the stand-ins provide it.

Each call returns a tagged outcome. ``NoAnswer`` and ``Refused`` differ in what may have happened:
a refused call certainly had no effect, one without an answer may have had it, or have it later.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from .workloads import ExecutorEntry, ExecutorId, Machine, Report, TaskId


@dataclass(frozen=True, kw_only=True)
class NoAnswer:
    """No answer came; ``sent`` tells whether a byte may have gone out.

    ``closed`` tells that the other side closed or refused the connection: its system is up, the
    process may be gone. Else it was silent.
    """

    sent: bool
    detail: str
    closed: bool = False


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The other side refused, and did nothing."""

    detail: str


@dataclass(frozen=True, kw_only=True)
class Rejected:
    """The other side refused what was sent, and would refuse each repeat of it, too."""

    detail: str


@dataclass(frozen=True, kw_only=True)
class Throttled:
    """Too many calls: nothing was done, and the same call may succeed in a moment."""


@dataclass(frozen=True, kw_only=True)
class NotInWave:
    """The machine isn't one of the wave's, so the wave has nothing left to do with it."""


@dataclass(frozen=True, kw_only=True)
class Fenced:
    """A higher fencing token or epoch is known there: another daemon has taken over."""

    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class Appended:
    """The records are stored."""

    end: int


@dataclass(frozen=True, kw_only=True)
class WrongSequence:
    """The append doesn't follow the last one of its epoch."""

    expected: int


@dataclass(frozen=True, kw_only=True)
class Entries:
    """Keyed records and the offset after the last one that was looked at.

    ``invalid`` tells of records without a key that can be read, and of what was wrong with each.
    """

    values_by_key: dict[str, bytes | None]
    end: int
    invalid: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Invalid:
    """A record that isn't what it should be."""

    detail: str


@dataclass(frozen=True, kw_only=True)
class MachineList:
    """The fleet's machines; ``invalid`` tells of rows that couldn't be read."""

    machines: list[Machine]
    invalid: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Expired:
    """The records asked for are no longer kept; the newest of each key still are."""


@dataclass(frozen=True, kw_only=True)
class Joined:
    """This member's part of the group at one generation."""

    generation: int
    shards: frozenset[int]


@dataclass(frozen=True, kw_only=True)
class Started:
    """The executor has the run, from this call or an earlier one."""

    clock_ms: int


@dataclass(frozen=True, kw_only=True)
class StartRefused:
    """The executor turned the run down: ``reason`` is room, old, late, ticket or unhealthy."""

    reason: str
    clock_ms: int | None = None


@dataclass(frozen=True, kw_only=True)
class Stopped:
    """The executor ends the run, or never lets it start."""

    clock_ms: int


@dataclass(frozen=True, kw_only=True)
class OtherIncarnation:
    """Another executor answers at the address: the one that was meant is gone for good."""


@dataclass(frozen=True, kw_only=True)
class Done:
    """The order took effect, now or earlier."""


@dataclass(frozen=True, kw_only=True)
class Granted:
    """Tickets by executor, and for how many seconds they hold."""

    tickets_by_executor: dict[ExecutorId, str]
    valid_s: float


class Record(NamedTuple):
    """One keyed record; no value drops the key."""

    key: str
    value: bytes


class Store(Protocol):
    """The platform's durable keyed log, split into shards, and the group that deals them out.

    A shard has two partitions, of which the store may turn one away while it serves the other.
    """

    async def fence(
        self, *, shard: int, epoch: int, failover: bool = False
    ) -> Appended | Fenced | Refused | NoAnswer:
        """Let no append of a lower epoch into a partition of a shard any more."""

    async def append(
        self,
        *,
        shard: int,
        epoch: int,
        sequence: int,
        records: Sequence[Record],
        failover: bool = False,
    ) -> Appended | Fenced | WrongSequence | Refused | Rejected | NoAnswer:
        """Store records, all or none; a repeat with the same sequence has no further effect."""

    async def newest(self, *, shard: int, failover: bool = False) -> Entries | Refused | NoAnswer:
        """The newest record of each key of a partition of a shard."""

    async def join(
        self, *, member: str, generation: int, ttl_s: float
    ) -> Joined | Refused | NoAnswer:
        """Join the group of owners, or stay in it."""

    async def leave(self, *, member: str) -> Done | Refused | NoAnswer:
        """Leave the group, so that the shards go to others at once."""

    async def owners(self) -> dict[int, str] | Refused | NoAnswer:
        """The member that holds each shard."""

    async def append_paths(
        self, records: Sequence[Record]
    ) -> Appended | Refused | Rejected | NoAnswer:
        """Write to the list of paths that all shards share; anybody may write at any time."""

    async def newest_paths(self) -> Entries | Refused | NoAnswer:
        """The newest record of each key of the list of paths."""


class Boards(Protocol):
    """What operators and executors publish, and what the operator reads."""

    async def read_operator(
        self, *, offset: int | None, wait_s: float
    ) -> Entries | Expired | Refused | NoAnswer:
        """Records of the operator from an offset on, or with None the newest of each key."""

    async def read_executors(
        self, *, offset: int | None, wait_s: float
    ) -> Entries | Expired | Refused | NoAnswer:
        """Records of executors from an offset on, or with None the newest of each key."""

    async def write_status(
        self, *, wave: int, completed: bool
    ) -> Appended | Refused | Rejected | NoAnswer:
        """Tell the operator how far a wave is."""


class Executors(Protocol):
    """Orders to executors; each names the incarnation that is meant."""

    async def hold(
        self,
        entry: ExecutorEntry,
        *,
        fence: int,
        acknowledged: int,
        until_ms: int | None,
        wait_s: float,
        patience_s: float,
    ) -> Report | Fenced | OtherIncarnation | Refused | NoAnswer:
        """Extend the lease of all that runs there, and wait for ends.

        :param wait_s: how long the executor is to wait for an end.
        :param patience_s: how long its answer is waited for beyond that.
        """

    async def start(
        self,
        entry: ExecutorEntry,
        *,
        task: TaskId,
        run: int,
        payload: str,
        until_ms: int,
        fence: int,
        checkpoint: str,
        ticket: str,
        patience_s: float,
    ) -> Started | StartRefused | Fenced | OtherIncarnation | Refused | NoAnswer:
        """Start a run; idempotent for the same task and run.

        :param patience_s: how long the answer is waited for.
        """

    async def stop(
        self, entry: ExecutorEntry, *, task: TaskId, run: int, fence: int
    ) -> Stopped | Fenced | OtherIncarnation | Refused | NoAnswer:
        """Stop a run, or keep it from starting when its start arrives later."""

    async def pace(
        self, entry: ExecutorEntry, *, task: TaskId, run: int, percent: int, fence: int
    ) -> Stopped | Fenced | OtherIncarnation | Refused | NoAnswer:
        """Let a run work at a share of its speed."""


Order = Done | Fenced | Refused | Throttled | NotInWave | NoAnswer


class Machines(Protocol):
    """The fleet's machines: listing, moving between pools, and maintenance."""

    async def machines(self) -> MachineList | Refused | NoAnswer:
        """All machines."""

    async def move(self, *, machine: str, pool: str, holder: str, fence: int) -> Order:
        """Give a machine to another pool; what runs on it ends at once."""

    async def maintain(self, *, machine: str, wave: int, holder: str, fence: int) -> Order:
        """Take a machine down for its maintenance; what runs on it ends at once."""


class Advice(Protocol):
    """The service that knows which executors a queue's policy allows."""

    async def advise(
        self, *, step: TaskId, executors: Sequence[ExecutorId]
    ) -> Granted | Refused | NoAnswer:
        """Ask for tickets for a step; ``step.number`` is ignored."""
