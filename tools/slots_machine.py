"""A hypothesis state machine: entry hosts share slots during crashes, partitions and freezes."""

import asyncio
import random
from collections import Counter
from typing import Any, ClassVar

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from mustardgap.exceptions import SlotRefused
from mustardgap.members import Member, MemberState

from .fake_fleet import Entry, FakeExecutors, FakeNetwork, Fleet, introduce, suspect
from .virtual_time import VirtualClock, VirtualLoop

SERVICE = "s0"
HOLD_S = 4.0
DETECTION_RANGE_S = (0.3, 4.0)
RECOVERY_S = 45.0


class SlotsMachine(RuleBasedStateMachine):
    """Runs entry hosts on virtual time, with executors that count their running requests."""

    entries_count: ClassVar[int] = 8
    network_kind: ClassVar[str] = "orderly"
    events: ClassVar[str] = ""
    sharing: ClassVar[str] = "lending"

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        """Start the fleet."""
        self.random = random.Random(seed)
        random.seed(seed)
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.orderly = self.network_kind == "orderly"
        self.executors = FakeExecutors(executors=2)
        self.network = FakeNetwork(delay_s=self._delay, seed=seed)
        self.network.in_order = self.network_kind != "reordering"
        self.frozen: dict[str, Entry] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.granted = 0
        self.refused: Counter[str] = Counter()
        self._run(self._start())
        if self.network_kind == "lossy":
            self.network.lost_ratio = 0.05

    def teardown(self) -> None:
        """Stop the entry hosts and close the loop."""
        if not hasattr(self, "loop"):
            return
        for entry in self.fleet.entries:
            entry.end()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        self.loop.close()

    @rule(count=st.integers(10, 60), hold_s=st.floats(0.01, 6.0))
    def acquire_slots(self, count: int, hold_s: float) -> None:
        """Request slots at random entry hosts."""

        async def acquire() -> None:
            for _ in range(count):
                entry = self.random.choice(self._running_entries())
                hold = self.random.uniform(0.01, hold_s)
                self.tasks.append(asyncio.create_task(self._use_slot(entry, hold)))

        self._run(acquire())

    @rule(seconds=st.sampled_from([0.01, 0.2, 0.7, 1.6, 3.5, 8.0, 15.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self._run(asyncio.sleep(seconds))

    @rule(seconds=st.sampled_from([1.0, 3.0, 9.0, 14.0]), hold_s=st.sampled_from([0.05, 0.5, 4.0]))
    def saturate(self, seconds: float, hold_s: float) -> None:
        """Request slots at all entry hosts for some seconds."""

        async def acquire() -> None:
            end = self.loop.time() + seconds
            while self.loop.time() < end:
                for entry in self._running_entries():
                    for _ in range(4):
                        hold = self.random.uniform(0.01, hold_s)
                        self.tasks.append(asyncio.create_task(self._use_slot(entry, hold)))
                await asyncio.sleep(0.3)

        self._run(acquire())

    @precondition(lambda self: "killed" in self.events and len(self._running_entries()) > 2)
    @rule(data=st.data(), replaced_s=st.floats(0.1, 10.0), same=st.booleans())
    def kill(self, data: Any, replaced_s: float, same: bool) -> None:
        """Kill an entry host and replace it by one with the same name or a new one."""
        entry = data.draw(st.sampled_from(self._running_entries()))
        self._run(self._kill(entry, replaced_s, same))

    @precondition(lambda self: "partitioned" in self.events)
    @rule(data=st.data())
    def partition(self, data: Any) -> None:
        """Partition the network in two; one side may lose the log as well."""
        alive = [e for e in self.fleet.entries if e.alive]
        some = data.draw(st.sets(st.sampled_from(alive), min_size=1, max_size=len(alive)))
        rest = [e for e in alive if e not in some]
        self.disconnect(some, rest, without_log=self.random.choice([[], rest, list(some)]))

    def disconnect(self, some: set[Entry], rest: list[Entry], *, without_log: list[Entry]) -> None:
        """Disconnect some entry hosts from the rest, and those of ``without_log`` from the log."""
        self.log.cut_hosts.update(e.members.me.host for e in without_log)
        alive = [e for e in self.fleet.entries if e in some or e in rest]
        for a in alive:
            for b in alive:
                if (a in some) != (b in some):
                    self.network.cut_pairs.add(frozenset((a.members.me.host, b.members.me.host)))
                    self._later(DETECTION_RANGE_S, self._suspect_if_cut, a, b)

    @precondition(lambda self: "partitioned" in self.events and self.network.cut_pairs)
    @rule()
    def heal(self) -> None:
        """Restore all network and log connections."""
        self.network.cut_pairs.clear()
        self.log.cut_hosts.clear()
        for a in self.fleet.entries:
            for b in self.fleet.entries:
                self._later((0.1, 1.0), self._introduce_if_reachable, a, b)

    @precondition(lambda self: "log" in self.events)
    @rule(seconds=st.sampled_from([1.0, 3.0, 14.0]), hold_s=st.sampled_from([0.05, 4.0]))
    def lose_log(self, seconds: float, hold_s: float) -> None:
        """Stop the log for all entry hosts while slots are requested."""
        self.log.down = True
        self.saturate(seconds, hold_s)

    @precondition(lambda self: "log" in self.events)
    @rule()
    def end_log_outage(self) -> None:
        """Restart the log."""
        self.log.down = False

    @precondition(lambda self: "frozen" in self.events and len(self._running_entries()) > 1)
    @rule(data=st.data())
    def freeze(self, data: Any) -> None:
        """Freeze an entry host's process."""
        entry = data.draw(st.sampled_from(self._running_entries()))
        self.frozen[entry.members.me.id] = entry
        entry.freeze()
        for other in self.fleet.entries:
            self._later((3.0, 5.0), self._suspect_if_frozen, other, entry)

    @precondition(lambda self: "frozen" in self.events and len(self._running_entries()) > 2)
    @rule(data=st.data(), seconds=st.sampled_from([2.0, 9.0, 25.0]))
    def stay_frozen_under_load(self, data: Any, seconds: float) -> None:
        """Freeze an entry host with idle slots, let others use all they can, thaw it."""
        self.saturate(1.0, 0.05)
        self.freeze(data)
        self.saturate(seconds, 4.0)
        self.thaw()

    @precondition(lambda self: "partitioned" in self.events and len(self._running_entries()) > 2)
    @rule(data=st.data(), seconds=st.sampled_from([6.0, 14.0, 25.0]))
    def partition_and_heal(self, data: Any, seconds: float) -> None:
        """Partition the network, use all available slots on both sides, restore it."""
        self.saturate(1.0, 0.5)
        self.partition(data)
        self.saturate(seconds, 4.0)
        self.heal()
        self.saturate(2.0, 4.0)

    @precondition(lambda self: self.frozen)
    @rule()
    def thaw(self) -> None:
        """Resume frozen processes."""
        for entry in list(self.frozen.values()):
            self._thaw(entry)

    def finish(self) -> None:
        """End all faults and check that every slot can be acquired."""
        self.thaw()
        self.heal()
        self.log.down = False
        self.network.lost_ratio = 0.0
        self.network.in_order = self.orderly = True
        self._run(asyncio.sleep(RECOVERY_S))
        assert not any(self.executors.running.values()), self.executors.running
        self._run(self._use_all_slots())

    async def _start(self) -> None:
        self.fleet = Fleet(
            network=self.network,
            executors=self.executors,
            way=self.sharing,
            clock=VirtualClock(loop=self.loop),
            hold_s=HOLD_S,
        )
        self.log = self.fleet.log
        for i in range(self.entries_count):
            self._track_incarnation(self.fleet.add(f"e{i}"))
        await asyncio.sleep(5)

    async def _use_slot(self, entry: Entry, hold_s: float) -> None:
        asked, naps = self.loop.time(), entry.naps
        try:
            slot = await entry.slots.acquire(SERVICE, deadline=asked + HOLD_S)
        except SlotRefused as exc:
            self.refused[exc.outcome.code.name] += 1
            in_time = self.loop.time() - asked <= self.fleet.max_wait_s + 0.01
            assert in_time or entry.naps > naps
            return
        if not entry.alive:
            return
        now = self.loop.time()
        if entry.members.me.id in self.frozen:
            # In a process that is really frozen, no timer would assign a slot; don't count it.
            entry.slots.release(slot)
            return
        self.granted += 1
        executor = slot.executor.executor
        self.executors.start(executor)
        running = self.executors.running[executor]
        assert running <= slot.executor.slots, f"{running} requests run on {executor}"
        await asyncio.sleep(min(hold_s, slot.deadline - now))
        # A request continues at its executor after its entry host was killed.
        self.executors.end(executor)
        if entry.alive:
            entry.slots.release(slot)

    async def _use_all_slots(self) -> None:
        self.refused.clear()
        total = sum(v.slots for v in self.executors.candidates(SERVICE))
        for _ in range(total * 2):
            entry = self.random.choice(self._running_entries())
            self.tasks.append(asyncio.create_task(self._use_slot(entry, 3.5)))
        for _ in range(19):
            await asyncio.sleep(0.1)
            if sum(self.executors.running.values()) == total:
                break
        assert sum(self.executors.running.values()) == total, (self.executors.running, self.refused)
        await asyncio.gather(*self.tasks)

    async def _kill(self, entry: Entry, replaced_s: float, same: bool) -> None:
        entry.end()
        gone = entry.members.me
        del self.network.entries_by_id[gone.id]
        for other in self.fleet.entries:
            self._later(DETECTION_RANGE_S, suspect, other, gone)
            self._later((16.0, 20.0), self._mark_dead, other, gone.id)
        host = gone.host if same else f"{gone.host}x"
        self.loop.call_later(replaced_s, self._replace, host, gone.id)

    def _replace(self, host: str, gone: str) -> None:
        known = [e for e in self.fleet.entries if e.alive]
        entry = self.fleet.add(host, introduced=False)
        self._track_incarnation(entry)
        for other in known:
            self._later((0.05, 3.0), self._introduce_if_reachable, other, entry)
            self._later((0.05, 3.0), self._introduce_if_reachable, entry, other)
            if host == gone.split("@")[0]:
                self._later((0.05, 3.0), self._mark_dead, other, gone)

    def _introduce_if_reachable(self, entry: Entry, other: Entry) -> None:
        cut = self.network.is_cut(entry.members.me.id, other.members.me.id)
        if entry is other or cut or not (entry.alive and other.alive):
            return
        if entry.members.me.id in self.frozen or other.members.me.id in self.frozen:
            return
        introduce(entry, other)

    def _mark_dead(self, entry: Entry, member_id: str) -> None:
        m = entry.members.by_id.get(member_id)
        if m is not None and m.state is not MemberState.live:
            entry.members._put(m._replace(state=MemberState.dead))

    def _track_incarnation(self, entry: Entry) -> None:
        """Make an entry host known under its new incarnation when it restarts."""

        def changed(m: Member, old: Member | None) -> None:
            if m.host != entry.members.me.host or m.state is not MemberState.dead:
                return
            self.network.entries_by_id.pop(m.id, None)
            self.network.entries_by_id[entry.members.me.id] = entry
            for other in self.fleet.entries:
                self._later((0.05, 3.0), self._introduce_if_reachable, other, entry)

        entry.members.on_change(changed)

    def _suspect_if_cut(self, entry: Entry, other: Entry) -> None:
        if self.network.is_cut(entry.members.me.id, other.members.me.id):
            suspect(entry, other.members.me)

    def _suspect_if_frozen(self, entry: Entry, other: Entry) -> None:
        if other.members.me.id in self.frozen:
            suspect(entry, other.members.me)

    def _thaw(self, entry: Entry) -> None:
        del self.frozen[entry.members.me.id]
        self._run(self._resume(entry))
        for other in self.fleet.entries:
            self._later((0.1, 1.0), self._introduce_if_reachable, other, entry)

    async def _resume(self, entry: Entry) -> None:
        """Resume an entry host; new requests arrive before it handles anything else."""
        held_back, entry.peers.held_back = entry.peers.held_back, []
        for _ in range(10):
            self.tasks.append(asyncio.create_task(self._use_slot(entry, 1.0)))
        await asyncio.sleep(0)
        entry.peers.held_back = held_back
        entry.thaw()

    def _running_entries(self) -> list[Entry]:
        return [e for e in self.fleet.entries if e.alive and e.members.me.id not in self.frozen]

    def _delay(self) -> float:
        if self.orderly:
            return 0.0005
        if self.random.random() < 0.02:
            return self.random.uniform(0.1, 2.0)
        return self.random.uniform(0.0005, 0.01)

    def _later(self, within: tuple[float, float], callback: Any, *args: Any) -> None:
        self.loop.call_later(self.random.uniform(*within), callback, *args)

    def _run(self, coroutine: Any) -> None:
        self.loop.run_until_complete(coroutine)
        for task in [t for t in self.tasks if t.done()]:
            self.tasks.remove(task)
            task.result()
