"""Record logs of several daemons on the platform's stand-in, each with its own port."""

import asyncio
import json
import time
from types import SimpleNamespace

import msgspec

from mustardgap.adapters import Platform
from mustardgap.messages import AnyMessage
from mustardgap.peers import PeerError
from mustardgap.relays import Relays
from mustardgap.settings import PlatformSettings
from mustardgap.states import State
from mustardgap.streams import Log
from mustardgap.timelines import Timeline
from mustardgap.timers import Timers
from standins.controls import Control
from tools.processes import free_ports, wait_http

WAIT_S = 30.0


class LogWorld:
    """Runs the platform in a process, and the logs of daemons in this one.

    :param processes: starts the platform.
    :param folder: the folder for its settings.
    """

    def __init__(self, *, processes, folder):
        self.processes = processes
        self.file = folder / "platform.json"
        self.file.write_text(json.dumps({"fleet": {"data_centers": []}}))
        self.ports_by_name = dict(zip("ABCD", free_ports(4), strict=True))
        self.control = Control(address=f"127.0.0.1:{self.ports_by_name['D']}")
        self.loop = asyncio.new_event_loop()
        self.logs_by_name = {}
        self.tasks_by_name = {}
        self.peers_by_name = {}
        self.relays = []
        self.start_platform()

    def start_platform(self):
        """Start the platform with an empty log."""
        ports = [f"--port={port}" for port in self.ports_by_name.values()]
        self.processes.start("platform", "standins.platforms", *ports, f"--settings={self.file}")
        wait_http(f"http://{self.control.address}/control/truth")

    def run(self, coroutine):
        """Run a coroutine while all logs run."""
        return self.loop.run_until_complete(coroutine)

    def start(self, name, **settings):
        """Start a daemon's log with an empty state."""
        values = {"timeout_s": 0.4, "stale_after_s": 3.0, **settings}
        address = f"127.0.0.1:{self.ports_by_name[name[0]]}"
        log = self.logs_by_name[name] = Log(
            platform=Platform(address=address, timeout_s=values["timeout_s"]),
            state=State(),
            settings=PlatformSettings(address=address, **values),
            timers=Timers(),
            timeline=Timeline(member=name, size=100),
            member=name,
        )
        self.tasks_by_name[name] = self.loop.create_task(log.run())
        return log

    def relay(self, name, stale_after_s=0.0):
        """Let a daemon query its peers, and answer them."""
        log = self.logs_by_name[name]
        relays = Relays(
            log=log,
            peers=FakePeers(world=self, name=name),
            members=FakeMembers(world=self, name=name),
            stale_after_s=stale_after_s or log.settings.stale_after_s,
            clock=log.clock,
        )
        self.relays.append(self.loop.create_task(relays.run()))

    def stop(self, name):
        """Stop a daemon's log."""
        task = self.tasks_by_name.pop(name)
        task.cancel()
        self.run(wait_ended([task]))
        self.logs_by_name.pop(name).platform.close()

    def close(self):
        """Stop all logs and close the loop."""
        for task in self.relays:
            task.cancel()
        self.run(wait_ended(self.relays))
        for name in list(self.tasks_by_name):
            self.stop(name)
        self.loop.close()

    def until(self, condition, what, timeout_s=WAIT_S):
        """Wait until a condition holds while all logs run."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline, f"not within {timeout_s} s: {what}"
            self.run(asyncio.sleep(0.02))

    def agree(self, *names):
        """Wait until daemons are current and have equal states."""
        logs = [self.logs_by_name[name] for name in names or self.logs_by_name]
        self.until(lambda: all(log.current for log in logs), "all are current")
        self.until(
            lambda: {log.offset for log in logs} == {self.end()}, "all have folded all records"
        )
        assert len({log.state.digest() for log in logs}) == 1, "the states differ"

    def end(self, stream="mustardgap"):
        """Return the end of a stream on the platform."""
        streams = self.control.truth()["log"]["streams"]
        return streams.get(stream, {"end": 0})["end"]


class FakePeers:
    """Calls between the relays of one world, with messages encoded and decoded."""

    def __init__(self, *, world, name):
        self.world = world
        self.name = name
        self.handlers = {}
        self.calls = 0
        self.is_unresponsive = False
        world.peers_by_name[name] = self

    def handle(self, type_, handler):
        self.handlers[type_] = handler

    async def call(self, member_id, message, *, timeout_s):
        self.calls += 1
        other = self.world.peers_by_name[member_id]
        if other.is_unresponsive:
            await asyncio.sleep(timeout_s)
            raise PeerError(detail="no answer", place=member_id)
        wire = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=AnyMessage)
        reply = other.handlers[type(wire)](None, wire)
        if asyncio.iscoroutine(reply):
            reply = await reply
        return msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=AnyMessage)


class FakeMembers:
    """All daemons of a world as live members with their offsets."""

    def __init__(self, *, world, name):
        self.world = world
        self.me = self._member(name)

    def live(self):
        return [self._member(name) for name in self.world.logs_by_name]

    def _member(self, name):
        offset = self.world.logs_by_name[name].offset
        return SimpleNamespace(id=name, offset=offset)


async def wait_ended(tasks):
    """Wait until cancelled tasks have ended."""
    await asyncio.gather(*tasks, return_exceptions=True)


def team(jobs=1):
    """Return a team's value."""
    return {"max_cores": 1.0, "max_memory_gb": 1.0, "max_jobs": jobs}


def change(key, jobs=1, base=-1):
    """Return the body of a change of one team."""
    return {"changes": [{"key": f"team/{key}", "base": base, "value": team(jobs)}]}
