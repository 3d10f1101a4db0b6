"""A small process with members, peer streams, gossip and slots, to kill, freeze or partition.

It answers on an HTTP port: ``/state``, ``/call`` (a call to every member), ``/press?seconds=``
(takes slots as fast as it can) and ``/publish``. Each use of a slot is written to a file shared by
all processes, with the times at which the executor starts and ends it.
"""

import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
from tornado.web import Application, RequestHandler

from mustardgap import records
from mustardgap.brokers import Broker
from mustardgap.exceptions import MustardgapError
from mustardgap.executors import ExecutorView
from mustardgap.gossip import Gossiper
from mustardgap.members import Members, me_from
from mustardgap.messages import RecordsAsk
from mustardgap.models import LogRecord
from mustardgap.peers import Peers
from mustardgap.settings import Settings
from mustardgap.slots import Slots
from mustardgap.timelines import Timeline
from mustardgap.timers import Timers
from tools.fake_logs import LISTED_S, FakeLog, FakeReader

SERVICE = "s0"
HOLD_S = 2.0


class FixedExecutors:
    """Two executors of 8 slots."""

    def candidates(self, service: str) -> list[ExecutorView]:
        """Return the same two executors for any service."""
        return [ExecutorView(f"x{i}", "127.0.0.1:1", f"w{i}", "r", 8, 1.0) for i in range(2)]


class FileLog(FakeLog):
    """The platform's log and host list as files that all processes share.

    :param path: the log's file; each host touches a file of its own next to it.
    """

    def __init__(self, *, path: str) -> None:
        self.path = Path(path)
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        super().__init__()

    @property
    def records(self) -> list[LogRecord]:  # type: ignore[override]
        """Return all records."""
        lines = self.path.read_text().splitlines()
        return [LogRecord(offset, *json.loads(line)) for offset, line in enumerate(lines)]

    @records.setter
    def records(self, value: list[LogRecord]) -> None:
        """Ignore the value: the records are in the file."""

    def append(self, body: Any, *, writer: str) -> None:
        """Append an entry record."""
        value = records.make("entry", body, writer=writer, seen=len(self.records))
        os.write(self._file, f"{json.dumps([time.time(), value])}\n".encode())

    def note(self, host: str) -> None:
        """Record that a host is present."""
        self.path.with_name(f"{host}.seen").touch()

    def listed(self) -> frozenset[str]:
        """Return the hosts that were present recently."""
        after = time.time() - LISTED_S
        seen = self.path.parent.glob("*.seen")
        return frozenset(path.stem for path in seen if path.stat().st_mtime > after)


class Parts:
    """The parts of the process."""

    def __init__(self, *, settings: Settings, listen: str, log: str, listed: list[str]) -> None:
        self.log = os.open(log, os.O_WRONLY | os.O_APPEND)
        self.settings = settings
        self.timers = Timers()
        self.members = Members(me=me_from(settings), settings=settings, timers=self.timers)
        self.members.listed_hosts = frozenset(listed)
        self.peers = Peers(
            members=self.members,
            settings=settings,
            timers=self.timers,
            timeline=Timeline(member=settings.host),
            listen=listen,
        )
        self.gossiper = Gossiper(peers=self.peers)
        self.slots = Slots(settings=settings, executors=FixedExecutors(), timers=self.timers)
        self.reader = FakeReader(
            log=FileLog(path=f"{log}-entries"), members=self.members, clock=self.timers.clock
        )
        self.broker = Broker(
            slots=self.slots,
            members=self.members,
            peers=self.peers,
            settings=settings,
            timers=self.timers,
            state=self.reader.state,
            services=lambda: [SERVICE],
            max_hold_s=lambda service: HOLD_S,
            may_use=self.reader.may_use,
        )
        self.reader.sharing = self.broker
        self.slots.sharing = self.broker
        self.peers.handle(RecordsAsk, lambda member, message: RecordsAsk(message.first + 1))
        self.acquired = self.refused = 0

    async def run(self) -> None:
        """Run all parts."""
        self.timers.subscribe("gossip", self.settings.peers.gossip_s, self.gossiper.run_round)
        runs = [self.timers.run, self.peers.run, self.slots.run, self.broker.run]
        runs += [self.reader.read_on, self.reader.act_on]
        await asyncio.gather(*(run() for run in runs))

    def state(self) -> dict[str, Any]:
        """Return what this process knows."""
        return {
            "me": self.members.me.id,
            "members": {m.host: m.state.name for m in self.members.by_id.values()},
            "ids": sorted(self.members.by_id),
            "owner": self.members.owner("key"),
            "connected": len(self.peers.connected()),
            "notice": self.gossiper.notice("word", "key"),
            "bytes": [self.peers.sent_bytes, self.peers.received_bytes],
            "given": self.acquired,
            "refused": self.refused,
        }

    async def call_all(self) -> dict[str, bool]:
        """Call every member; return which have answered."""
        answered = {}
        for m in self.members.peers():
            try:
                answered[m.host] = await self.peers.call(m.id, RecordsAsk(1)) == RecordsAsk(2)
            except MustardgapError:
                answered[m.host] = False
        return answered

    async def use_slots(self, seconds: float) -> None:
        """Take slots as fast as they are available."""
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            tasks += [asyncio.create_task(self._use()) for _ in range(6)]
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)

    async def _use(self) -> None:
        deadline = time.monotonic() + HOLD_S
        try:
            slot = await self.slots.acquire(SERVICE, deadline=deadline)
        except MustardgapError:
            self.refused += 1
            return
        self.acquired += 1
        started = time.monotonic()
        ends = min(started + random.uniform(0.02, 0.4), slot.deadline)
        line = f"{slot.executor.executor} {started} {ends}\n"
        os.write(self.log, line.encode())
        await asyncio.sleep(ends - started)
        self.slots.release(slot)


class Handler(RequestHandler):
    """Answers the test's requests."""

    parts: Parts

    async def get(self, name: str) -> None:
        """Answer a request to one of the paths in the module's docstring."""
        if name == "call":
            self.finish(await self.parts.call_all())
            return
        if name == "press":
            seconds = float(self.get_argument("seconds"))
            self.application.settings["press"] = asyncio.ensure_future(
                self.parts.use_slots(seconds)
            )
        if name == "publish":
            self.parts.gossiper.publish("word", "key", 1, ttl_s=30.0, urgent=True)
        self.finish(self.parts.state())


async def main() -> None:
    """Run until killed."""
    raw = json.loads(sys.argv[1])
    settings = msgspec.convert(raw["settings"], Settings)
    parts = Parts(
        settings=settings, listen=raw.get("listen", ""), log=raw["log"], listed=raw["listed"]
    )
    Handler.parts = parts
    Application([(r"/(\w+)", Handler)]).listen(settings.operators.port, "127.0.0.1")
    await parts.run()


if __name__ == "__main__":
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")
    asyncio.run(main())
