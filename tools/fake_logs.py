"""A fake platform's log and host list, in one process: entry records, late readers, outages."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from mustardgap import folds, records
from mustardgap.duties import Duties
from mustardgap.entries import EntryMembership
from mustardgap.members import Members
from mustardgap.models import LogRecord
from mustardgap.readiness import is_current_since
from mustardgap.states import State
from mustardgap.timers import Clock

LISTED_S = 4.0
READ_S = (0.05, 0.4)
ACT_S = 0.5
STALE_S = 2.0
TAKEOVER_S = 2.0


class FakeLog:
    """The records, and which hosts the platform has seen of late."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.down = False
        self.cut_hosts: set[str] = set()
        self.seen_by_host: dict[str, float] = {}

    def reaches(self, host: str) -> bool:
        """Whether a host can read and write now."""
        return not self.down and host not in self.cut_hosts

    def append(self, body: Any, *, writer: str) -> None:
        """Append an entry record."""
        value = records.make("entry", body, writer=writer, seen=len(self.records))
        now = asyncio.get_running_loop().time()
        self.records.append(LogRecord(len(self.records), now, dict(value)))

    def note(self, host: str) -> None:
        """Note that a host is there."""
        self.seen_by_host[host] = asyncio.get_running_loop().time()

    def listed(self) -> frozenset[str]:
        """The hosts that were there of late."""
        now = asyncio.get_running_loop().time()
        return frozenset(h for h, seen in self.seen_by_host.items() if now - seen < LISTED_S)


class FakeReader:
    """One entry host's reading of the log, and the records that it writes.

    :param log: the log.
    :param members: the entry host's members.
    :param clock: its clock.
    """

    def __init__(self, *, log: FakeLog, members: Members, clock: Clock) -> None:
        self.log = log
        self.members = members
        self.clock = clock
        self.state = State()
        self.known_at = -float("inf")
        self.sharing: Any = None
        self.peers: Callable[[], list[FakeReader]] = list
        duties = Duties(members=members, clock=clock, takeover_s=TAKEOVER_S)
        self.entries = EntryMembership(state=self.state, members=members, duties=duties)

    def may_use(self, since: float) -> bool:
        """Whether this host knows which state is in force, as the daemon does."""
        return is_current_since(
            known_at=self.known_at,
            now=self.clock.monotonic(),
            since=since,
            stale_after_s=STALE_S,
            members=self.members,
        )

    async def read_on(self) -> None:
        """Read and fold until cancelled."""
        while True:
            self.read()
            await asyncio.sleep(random.uniform(*READ_S))

    def read(self) -> None:
        """Read to the log's end."""
        host = self.members.me.host
        if not self.log.reaches(host):
            self._fold(max((peer.state.offset for peer in self.peers()), default=0))
            return
        self._fold(len(self.log.records))
        self.known_at = self.clock.monotonic()
        self.log.note(host)
        self.members.listed_hosts = self.log.listed() | {host}

    def _fold(self, end: int) -> None:
        for record in self.log.records[self.state.offset : end]:
            folds.fold(self.state, record)
            self.sharing.folded()

    async def act_on(self) -> None:
        """Write the records that are due until cancelled."""
        while True:
            self.act()
            await asyncio.sleep(ACT_S * random.uniform(0.5, 1.0))

    def act(self) -> None:
        """Write the records that are due."""
        self.members.expire_members()
        host = self.members.me.host
        if not self.log.reaches(host) or not self.may_use(self.known_at):
            return
        entry = self.state.entries_by_host.get(host)
        me = self.members.me
        ended = entry is not None and entry["incarnation"] == me.incarnation
        if entry is not None and ended and entry["state"] == "gone":
            # The others have taken this run's share over; only a new run may go on.
            self.members.start_new_incarnation()
        for body in self.entries.due_records():
            self.log.append(body, writer=self.members.me.id)
        self.read()
