"""A process that starts a gRPC server and stops it; prints the names of its threads at the end.

The first argument is "calls of daemons" or "peers".
"""

import asyncio
import sys
from pathlib import Path

import msgspec

from mustardgap import channels
from mustardgap.events import EventLog
from mustardgap.peer_calls import PeerServer
from mustardgap.settings import PeersSettings
from mustardgap.timers import Clock


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


asyncio.run(main())
print("\n".join(path.read_text().strip() for path in Path("/proc/self/task").glob("*/comm")))
