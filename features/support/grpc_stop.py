"""A process that starts a gRPC server and stops it; prints the names of its threads at the end.

The first argument is "calls of daemons" or "peers".
"""

import asyncio
import sys
import time
from pathlib import Path

import msgspec

from mustardgap import channels
from mustardgap.events import EventLog
from mustardgap.peer_calls import PeerServer
from mustardgap.settings import PeersSettings
from mustardgap.timers import Clock

# On a busy machine a new thread may take long until it runs and sets its name.
NAMING_S = 10.0


async def main():
    if sys.argv[1] == "calls of daemons":
        server = PeerServer(events=EventLog(host="e1", clock=Clock()))
        await server.start("127.0.0.1:0")
        await server.stop()
    else:
        settings = msgspec.convert({}, PeersSettings)
        server = await channels.make_server("127.0.0.1:0", settings, {})
        await server.start()
        await server.stop(0.2)


def thread_names():
    """The names of all threads; a thread has its process's name until it sets its own."""
    names = [path.read_text().strip() for path in Path("/proc/self/task").glob("*/comm")]
    process_name = Path("/proc/self/comm").read_text().strip()
    return names, names.count(process_name) == 1


asyncio.run(main())
deadline = time.monotonic() + NAMING_S
names, are_named = thread_names()
while not are_named and time.monotonic() < deadline:
    time.sleep(0.01)
    names, are_named = thread_names()
print("\n".join(names))
