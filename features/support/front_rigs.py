"""A front with a scripted gateway and callers' connections to it, on loopback."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace

from mustardgap import job_replies
from mustardgap.client_bounds import RequestLimits
from mustardgap.events import EventLog
from mustardgap.platform.front import DEFAULT_LIMITS, Front
from tools.owner_worlds import QUEUE
from tools.processes import free_ports

DEFAULT_REQUEST_LIMITS = RequestLimits()
JOB = "00000000000000a1"
PATH = QUEUE.path_prefix
BODY = b'{"spec":"p","steps":[{"count":1,"cpu":1000,"memMb":500,"estimateMs":500}]}'
NO_BODY = b""
# A caller that has been told nothing for so long has got no answer.
ANSWER_TIMEOUT_S = 3.0
# The time that a front gets for stopping where the handling outlasts it.
LEAVE_S = 0.5
REQUESTS = {
    "new job": ("POST", PATH + JOB, BODY),
    "cancelling": ("DELETE", PATH + JOB, NO_BODY),
    "question for a job": ("GET", PATH + JOB, NO_BODY),
    "count of a queue": ("GET", PATH, NO_BODY),
}


class ScriptedGateway:
    """A gateway whose handling of each request ends as it is told to."""

    def __init__(self, handling: str) -> None:
        self.begun = asyncio.Event()
        self.may_end = asyncio.Event()
        self.count = 0
        self._handling = handling

    def queue_for(self, host, path):
        return QUEUE if path.startswith(PATH) else job_replies.UNKNOWN_QUEUE

    def identify(self, queue, keys):
        return None

    async def submit(self, **request):
        return await self._handle()

    async def cancel(self, **request):
        return await self._handle()

    async def state(self, **request):
        return await self._handle()

    async def pending(self, **request):
        return await self._handle()

    async def _handle(self):
        self.count += 1
        self.begun.set()
        if self._handling == "fails by an error":
            raise ValueError("a fault of ours")
        if self._handling == "is cancelled":
            raise asyncio.CancelledError
        while not self.may_end.is_set():
            try:
                await self.may_end.wait()
            except asyncio.CancelledError:
                if self._handling != "takes no notice of its end":
                    raise
        return job_replies.ACCEPTED


class Connection:
    """A caller's connection to the front."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, port):
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, method, path, body):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {QUEUE.host}", f"Content-Length: {len(body)}"]
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def answer(self, *, head_only=False):
        """Read one whole answer; None if the connection ends, or is silent, before it is whole."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                lines = [line for line in head.split("\r\n")[1:] if line]
                fields = dict(line.split(": ", 1) for line in lines)
                size = 0 if head_only else int(fields["Content-Length"])
                await self.reader.readexactly(size)
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            return None
        return SimpleNamespace(status=int(head.split()[1]), fields=fields)

    async def has_ended(self):
        """Whether the other side ends the connection, without a byte more."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await self.reader.read(1) == b""
        except ConnectionError:
            return True
        except TimeoutError:
            return False


class FrontRig:
    """A front with a scripted gateway, on loopback."""

    def __init__(self, handling, *, limits=DEFAULT_REQUEST_LIMITS, shared=DEFAULT_LIMITS):
        self.gateway = ScriptedGateway(handling)
        self.events = EventLog(host="e1")
        self.front = Front(
            gateway=self.gateway,
            ready=lambda: True,
            events=self.events,
            limits=lambda: limits,
            shared=shared,
        )
        self.port, self.metrics_port = free_ports(2)
        self.front.listen(f"127.0.0.1:{self.port}", self.front.jobs)
        self.front.listen(f"127.0.0.1:{self.metrics_port}", self.front.metrics)

    def connection(self):
        """The front's end of its only connection."""
        [connection] = self.front._servers[0].connections
        return connection

    @property
    def unanswered(self):
        """The lines that tell of handling without an answer."""
        return [row for row in self.events.captured if row["event"] == "request.unanswered"]


def with_front(handling, scene: Callable, **bounds):
    """Play something with a front, and stop it.

    :param bounds: ``limits`` and ``shared`` of the front, where they matter.
    """

    async def main():
        rig = FrontRig(handling, **bounds)
        try:
            return await scene(rig)
        finally:
            rig.gateway.may_end.set()
            await rig.front.stop(timeout_s=ANSWER_TIMEOUT_S)

    return asyncio.run(main())


async def send(rig, request):
    connection = await Connection.open(rig.port)
    connection.send(*REQUESTS[request])
    return connection


async def ask(rig, request):
    return await (await send(rig, request)).answer()


async def send_and_begin(rig):
    connection = await send(rig, "new job")
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        await rig.gateway.begun.wait()
    return connection


def told(answer):
    if answer is None:
        return "no answer"
    return f"{answer.status} {answer.fields['X-Result-Code']}"
