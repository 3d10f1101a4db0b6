"""Entry hosts in one process on a fake network, sharing slots of fake executors that count."""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

import msgspec

from mustardgap.brokers import Broker
from mustardgap.executors import ExecutorView
from mustardgap.members import Member, Members, MemberState, row_of
from mustardgap.messages import AnyMessage, Frame, Item, encode
from mustardgap.settings import Settings
from mustardgap.shares import FixedShares, LeastInFlight
from mustardgap.slots import Slots
from mustardgap.timers import Clock, Timers

from .fake_logs import FakeLog, FakeReader


class FakeExecutors:
    """Executors that count what runs on them.

    :param services: how many services.
    :param executors: how many executors each has.
    :param slots: how many slots each executor has.
    """

    def __init__(self, *, services: int = 1, executors: int = 6, slots: int = 8) -> None:
        self.views_by_service = {
            f"s{s}": [
                ExecutorView(f"s{s}x{e}", "127.0.0.1:1", f"w{e}", f"r{e // 4}", slots, 1.0)
                for e in range(executors)
            ]
            for s in range(services)
        }
        self.running: Counter[str] = Counter()
        self.most: Counter[str] = Counter()

    def candidates(self, service: str) -> list[ExecutorView]:
        """The executors of a service."""
        return self.views_by_service[service]

    def start(self, executor: str) -> None:
        """Count a request that starts to run."""
        self.running[executor] += 1
        self.most[executor] = max(self.most[executor], self.running[executor])

    def end(self, executor: str) -> None:
        """Count a request that ended."""
        self.running[executor] -= 1


class FakeNetwork:
    """Carries messages between fake peers, late, lost or out of order as told.

    :param delay_s: a function that gives each message's delay.
    :param seed: of what is lost.
    """

    def __init__(self, *, delay_s: Callable[[], float], seed: int = 0) -> None:
        self.delay_s = delay_s
        self.random = random.Random(seed)
        self.lost_ratio = 0.0
        self.entries_by_id: dict[str, Entry] = {}
        self.cut_pairs: set[frozenset[str]] = set()
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.measure = False
        self.in_order = True
        self._last_arrival: dict[tuple[str, str], float] = {}

    def is_cut(self, one: str, other: str) -> bool:
        """Whether the path between two hosts is cut."""
        return frozenset((one.split("@")[0], other.split("@")[0])) in self.cut_pairs

    def post(self, sender: str, receiver: str, message: AnyMessage) -> None:
        """Carry a message."""
        name = type(message).__name__
        self.sent[name] += 1
        if self.measure:
            self.sent_bytes[name] += len(encode(Frame((0, 0), [Item(0, message)])))
        if self.is_cut(sender, receiver):
            return
        if self.random.random() < self.lost_ratio:
            return
        loop = asyncio.get_running_loop()
        when = loop.time() + self.delay_s()
        if self.in_order:
            when = max(when, self._last_arrival.get((sender, receiver), 0.0) + 1e-7)
            self._last_arrival[sender, receiver] = when
        loop.call_at(when, self._arrive, sender, receiver, message)

    def _arrive(self, sender: str, receiver: str, message: AnyMessage) -> None:
        entry = self.entries_by_id.get(receiver)
        if entry is not None:
            entry.peers.arrive(sender, message)


class FakeMembers(Members):
    """Members whose new incarnations are the same in each run of a test."""

    def next_incarnation(self, after: int) -> int:
        """The next number."""
        return after + 1000


class FakePeers:
    """One entry host's end of the fake network."""

    def __init__(self, *, network: FakeNetwork, members: Members) -> None:
        self.network = network
        self.members = members
        self.held_back: list[tuple[str, AnyMessage]] | None = None
        self._handlers: dict[type, Callable[[Member, Any], Any]] = {}

    def send(self, member_id: str, message: AnyMessage) -> bool:
        """Send a message; a paused process sends nothing."""
        if self.held_back is not None:
            return False
        self.network.post(self.members.me.id, member_id, message)
        return True

    def handle(self, type_: type, handler: Callable[[Member, Any], Any]) -> None:
        """Have messages of a type handled."""
        self._handlers[type_] = handler

    def arrive(self, sender: str, message: AnyMessage) -> None:
        """Handle a message, or keep it while the process is paused."""
        if self.held_back is not None:
            self.held_back.append((sender, message))
            return
        m = self.members.by_id.get(sender)
        if m is not None and m.state is not MemberState.dead:
            self.members.record_contact(sender)
            self._handlers[type(message)](m, message)


class FakeGossip:
    """Hands notices to every other entry host at a fixed age."""

    def __init__(self, *, fleet: "Fleet", members: Members) -> None:
        self.fleet = fleet
        self.members = members
        self.callbacks: dict[str, Callable[[str, Any, Member], None]] = {}

    def on_notice(self, kind: str, callback: Callable[[str, Any, Member], None]) -> None:
        """Call back with new notices."""
        self.callbacks[kind] = callback

    def publish(self, kind: str, key: str, value: Any, *, ttl_s: float) -> None:
        """Tell all others."""
        loop = asyncio.get_running_loop()
        for entry in self.fleet.entries:
            if entry.members.me.id != self.members.me.id:
                take = entry.gossip.callbacks[kind]
                loop.call_later(self.fleet.network.delay_s(), take, key, value, self.members.me)


class Entry:
    """One entry host: its members, slots and sharing policy."""

    def __init__(
        self, *, fleet: "Fleet", host: str, incarnation: int, way: str, clock: Clock
    ) -> None:
        self.fleet = fleet
        self.alive = True
        self.naps = 0
        self.timers = Timers(clock=clock)
        self.settings = fleet.settings(host)
        me = Member(host, incarnation, "127.0.0.1:1", "127.0.0.1:2", "d")
        self.members = FakeMembers(me=me, settings=self.settings, timers=self.timers)
        self.members.listed_hosts = frozenset({host})
        self.peers = FakePeers(network=fleet.network, members=self.members)
        self.reader = FakeReader(log=fleet.log, members=self.members, clock=clock)
        self.gossip = FakeGossip(fleet=fleet, members=self.members)
        self.slots = Slots(
            settings=self.settings,
            executors=fleet.executors,
            timers=self.timers,
            max_wait_s=lambda service: fleet.max_wait_s,
        )
        self.slots.sharing = self.sharing = self._make_sharing(way)
        self.tasks: list[asyncio.Task[None]] = []
        self.run()

    def run(self) -> None:
        """Start the tasks."""
        runs = (
            [self.slots.run, self.sharing.run] if hasattr(self.sharing, "run") else [self.slots.run]
        )
        self.tasks = [asyncio.create_task(run()) for run in runs]
        if isinstance(self.sharing, Broker):
            runs = [self.reader.read_on, self.reader.act_on]
            self.tasks += [asyncio.create_task(run()) for run in runs]
        if isinstance(self.sharing, LeastInFlight):
            self.tasks.append(asyncio.create_task(self._publish(self.sharing)))

    def _make_sharing(self, way: str) -> Any:
        if way == "fixed":
            return FixedShares(slots=self.slots, members=self.members)
        if way == "least":
            return LeastInFlight(slots=self.slots, gossiper=self.gossip)  # type: ignore[arg-type]
        broker = Broker(
            slots=self.slots,
            members=self.members,
            peers=self.peers,
            settings=self.settings,
            timers=self.timers,
            state=self.reader.state,
            services=lambda: self.fleet.executors.views_by_service,
            max_hold_s=lambda service: self.fleet.hold_s,
            may_use=self.reader.may_use,
        )
        self.reader.sharing = broker
        self.reader.peers = self._readers_in_reach
        return broker

    def _readers_in_reach(self) -> list[FakeReader]:
        me, network = self.members.me.id, self.fleet.network
        return [
            e.reader
            for e in self.fleet.entries
            if e.alive and e.peers.held_back is None and not network.is_cut(me, e.members.me.id)
        ]

    async def _publish(self, least: LeastInFlight) -> None:
        while True:
            await asyncio.sleep(self.fleet.gossip_s)
            least.publish()

    def freeze(self) -> None:
        """Stop running, as a process does that was sent SIGSTOP."""
        self.naps += 1
        self.peers.held_back = []
        for task in self.tasks:
            task.cancel()

    def thaw(self) -> None:
        """Go on, with the messages that came meanwhile."""
        held_back, self.peers.held_back = self.peers.held_back or [], None
        for sender, message in held_back:
            self.peers.arrive(sender, message)
        self.run()

    def end(self) -> None:
        """Stop the tasks, as a killed process does."""
        self.alive = False
        for task in self.tasks:
            task.cancel()


class Fleet:
    """Some entry hosts that share slots.

    :param network: what carries their messages.
    :param executors: the executors they share.
    :param way: the way of sharing.
    :param clock: the clock of the loop.
    """

    def __init__(
        self,
        *,
        network: FakeNetwork,
        executors: FakeExecutors,
        way: str = "lending",
        clock: Clock,
        hold_s: float = 10.0,
        max_wait_s: float = 2.0,
        gossip_s: float = 0.2,
    ) -> None:
        self.network = network
        self.executors = executors
        self.way = way
        self.clock = clock
        self.hold_s = hold_s
        self.max_wait_s = max_wait_s
        self.gossip_s = gossip_s
        self.entries: list[Entry] = []
        self.log = FakeLog()
        self.clocks_by_host: dict[str, Clock] = defaultdict(lambda: clock)

    def settings(self, host: str) -> Settings:
        """The settings of one entry host."""
        raw: dict[str, Any] = {
            "host": host,
            "data_center": "d",
            "platform": {"address": "127.0.0.1:1"},
        }
        raw["peers"] = {"suspect_s": 1.5, "dead_s": 3.0}
        return msgspec.convert(raw, Settings)

    def add(self, host: str, *, introduced: bool = True) -> Entry:
        """Start an entry host.

        :param introduced: it and the others learn of each other at once.
        """
        known = [e.members.me.incarnation for e in self.entries]
        entry = Entry(
            fleet=self,
            host=host,
            incarnation=max(known, default=0) + 1,
            way=self.way,
            clock=self.clocks_by_host[host],
        )
        self.network.entries_by_id[entry.members.me.id] = entry
        for other in self.entries:
            if other.alive:
                entry.members.listed_hosts |= {other.members.me.host}
            if other.alive and introduced:
                introduce(other, entry)
                introduce(entry, other)
        self.entries.append(entry)
        return entry


def suspect(entry: Entry, m: Member) -> None:
    """Have one entry host find another out of reach, under whichever run it knows it by.

    A daemon finds that its link is silent, and that link may still be to the run before ``m``.
    """
    for known in list(entry.members.by_id.values()):
        if known.host == m.host and known.incarnation <= m.incarnation:
            entry.members.suspect(known.id)


def introduce(entry: Entry, other: Entry) -> None:
    """Let one entry host know of another, by the product's own rule for what a run replaces.

    Were an earlier run of it left live, nothing would ever suspect that run, and a host that is cut
    off would count it towards the majority in reach.
    """
    m = other.members.me
    entry.members.apply_row(row_of(m))
    entry.members._put(m._replace(state=MemberState.live))
    entry.members.listed_hosts |= {m.host}
