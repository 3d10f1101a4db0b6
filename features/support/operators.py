"""Entry hosts without callers and peers, run in a thread, for the tests of the operators' side."""

import asyncio
import threading
from concurrent.futures import Future

import msgspec

from mustardgap.adapters import Platform
from mustardgap.fold_events import FoldEvents
from mustardgap.members import Member, Members
from mustardgap.operators import Operators
from mustardgap.outcomes import Accepted
from mustardgap.readiness import Readiness
from mustardgap.settings import Settings
from mustardgap.states import State
from mustardgap.streams import Log
from mustardgap.timelines import Timeline
from mustardgap.timers import Clock, Timers
from standins.controls import Control
from tools.processes import free_ports, wait_http

WAIT_S = 30.0


class SkewedClock(Clock):
    """A clock that is some seconds off."""

    def __init__(self, *, skew_s: float) -> None:
        self.skew_s = skew_s

    def wall(self):
        """Seconds since the epoch, as this host has them."""
        return super().wall() + self.skew_s


class Entry:
    """One entry host: the real log, members and operators' interface.

    :param settings: its settings.
    :param skew_s: how far its clock is off.
    """

    def __init__(self, *, settings, skew_s=0.0) -> None:
        self.settings = settings
        clock = SkewedClock(skew_s=skew_s)
        timers = Timers(clock=clock)
        self.timeline = Timeline(member=settings.host, clock=clock)
        self.platform = Platform(address=settings.platform.address, timeout_s=1.0)
        self.log = Log(
            platform=self.platform,
            state=State(),
            settings=settings.platform,
            timers=timers,
            timeline=self.timeline,
            member=settings.host,
        )
        me = Member(
            host=settings.host,
            incarnation=1,
            peers_address=f"127.0.0.1:{settings.peers.port}",
            operators_address=f"127.0.0.1:{settings.operators.port}",
            data_center=settings.data_center,
        )
        self.members = Members(me=me, settings=settings, timers=timers)
        self.readiness = Readiness(timeline=self.timeline)
        self.readiness.clear("daemon")
        self.operators = Operators(
            settings=settings,
            log=self.log,
            members=self.members,
            timeline=self.timeline,
            readiness=self.readiness,
        )
        FoldEvents(log=self.log, timeline=self.timeline)
        self.accepted: list[str] = []
        self.log.on_fold(self._note)
        self.tasks: list[asyncio.Task] = []

    def _note(self, record, verdict):
        if isinstance(verdict, Accepted):
            self.accepted.append(record.value["kind"])

    @property
    def address(self):
        """The operators' port."""
        return f"127.0.0.1:{self.settings.operators.port}"

    def start(self):
        """Run the parts."""
        self.tasks = [asyncio.ensure_future(part.run()) for part in (self.log, self.operators)]

    async def stop(self):
        """End the parts."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.platform.close()


class Entries:
    """Some entry hosts on a platform stand-in.

    :param processes: where the platform's process is started.
    :param folder: where its settings are written.
    :param count: how many entry hosts.
    :param skews: how far their clocks are off, in seconds.
    :param operators: the section ``operators`` of their settings, but for the port.
    """

    def __init__(self, *, processes, folder, count=1, skews=(), operators=None) -> None:
        port, *ports = free_ports(1 + 2 * count)
        fleet: dict = {"data_centers": []}
        path = folder / "platform.json"
        path.write_bytes(msgspec.json.encode({"fleet": fleet}))
        processes.start(
            "platform", "standins.platforms", "--port", str(port), "--settings", str(path)
        )
        wait_http(f"http://127.0.0.1:{port}/hosts")
        self.control = Control(address=f"127.0.0.1:{port}")
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        settings = [
            {
                "host": f"entry-{number}",
                "data_center": "d1",
                "platform": {"address": f"127.0.0.1:{port}", "stale_after_s": 3.0},
                "operators": {"port": ports[2 * number], **(operators or {})},
                "peers": {"port": ports[2 * number + 1]},
            }
            for number in range(count)
        ]
        skews = [*skews, *[0.0] * (count - len(skews))]
        self.by_number = [
            self.do(self._start(values, skew)) for values, skew in zip(settings, skews, strict=True)
        ]
        for entry in self.by_number:
            for other in self.by_number:
                entry.members.by_id.setdefault(other.members.me.id, other.members.me)

    @property
    def addresses(self):
        """The operators' ports."""
        return [entry.address for entry in self.by_number]

    def do(self, coroutine):
        """Run a coroutine in the entry hosts' thread."""
        future: Future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(timeout=WAIT_S)

    def call(self, function, *args, **kwargs):
        """Call a function in the entry hosts' thread."""

        async def called():
            return function(*args, **kwargs)

        return self.do(called())

    def stop(self, number):
        """Stop one entry host."""
        self.do(self.by_number[number].stop())

    def close(self):
        """Stop all of them and the thread."""
        for number in range(len(self.by_number)):
            self.stop(number)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(timeout=WAIT_S)
        self.loop.close()

    async def _start(self, values, skew_s):
        entry = Entry(settings=msgspec.convert(values, Settings), skew_s=skew_s)
        entry.start()
        return entry
