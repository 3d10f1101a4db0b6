"""Steps of the platform's HTTP interface: each request's one answer, however its handling ends."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace

from behave import then, when

from mustardgap import job_replies, metrics
from mustardgap.events import EventLog
from mustardgap.platform.daemon import leaving_steps
from mustardgap.platform.front import Answer, Front
from tools.owner_worlds import QUEUE
from tools.processes import free_ports

JOB = "00000000000000a1"
PATH = QUEUE.path_prefix
BODY = b'{"spec":"p","steps":[{"count":1,"cpu":1000,"memMb":500,"estimateMs":500}]}'
NO_BODY = b""
# A caller that has been told nothing for so long has got no answer.
PATIENCE_S = 3.0
# The time that a front gets for stopping where the handling outlasts it.
LEAVE_S = 0.5
REQUESTS = {
    "new job": ("POST", PATH + JOB, BODY),
    "cancelling": ("DELETE", PATH + JOB, NO_BODY),
    "question for a job": ("GET", PATH + JOB, NO_BODY),
    "count of a queue": ("GET", PATH, NO_BODY),
}
HEAD_PATHS = {
    "for no queue": "/nowhere/" + JOB,
    "under a bad id": PATH + "zz",
    "of the metrics page": "/metrics",
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
            async with asyncio.timeout(PATIENCE_S):
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
            async with asyncio.timeout(PATIENCE_S):
                return await self.reader.read(1) == b""
        except ConnectionError:
            return True
        except TimeoutError:
            return False


class FrontRig:
    """A front with a scripted gateway, on loopback."""

    def __init__(self, handling):
        self.gateway = ScriptedGateway(handling)
        self.events = EventLog(host="e1")
        self.front = Front(gateway=self.gateway, ready=lambda: True, events=self.events)
        self.port, self.metrics_port = free_ports(2)
        self.front.listen(f"127.0.0.1:{self.port}", self.front.jobs)
        self.front.listen(f"127.0.0.1:{self.metrics_port}", self.front.metrics)

    def stream(self):
        """The front's end of its only connection."""
        [connection] = self.front._servers[0]._connections
        return connection.stream

    @property
    def unanswered(self):
        """The lines that tell of handling without an answer."""
        return [row for row in self.events.kept if row["event"] == "request.unanswered"]


def _unanswered_count():
    return sum(count.value for count in metrics.unanswered_requests.read(None))


def _play(handling, play: Callable):
    """Play something with a front, and stop it."""

    async def main():
        rig = FrontRig(handling)
        try:
            return await play(rig)
        finally:
            rig.gateway.may_end.set()
            await rig.front.stop(timeout_s=PATIENCE_S)

    return asyncio.run(main())


async def _send(rig, request):
    connection = await Connection.open(rig.port)
    connection.send(*REQUESTS[request])
    return connection


async def _ask(rig, request):
    return await (await _send(rig, request)).answer()


@when("callers send requests to a front, and their handling ends without an answer")
def send_requests(context):
    async def play(rig, request):
        before = _unanswered_count()
        answer = await _ask(rig, request)
        return SimpleNamespace(
            answer=answer, lines=rig.unanswered, counted=_unanswered_count() - before
        )

    context.rows = [row.as_dict() for row in context.table]
    context.played = [
        _play(row["handling"], lambda rig, row=row: play(rig, row["request"]))
        for row in context.rows
    ]


async def _send_and_begin(rig):
    connection = await _send(rig, "new job")
    async with asyncio.timeout(PATIENCE_S):
        await rig.gateway.begun.wait()
    return connection


@when("a front is stopped while a caller waits for its new job, and the handling {ends}")
def stop_front(context, ends):
    async def play(rig):
        connection = await _send_and_begin(rig)
        goes_on = ends != "gives its answer"
        timeout_s = LEAVE_S if goes_on else PATIENCE_S
        stopping = asyncio.create_task(rig.front.stop(timeout_s=timeout_s))
        # The front has begun to stop when the handling may end.
        await asyncio.sleep(0)
        if not goes_on:
            rig.gateway.may_end.set()
        context.answer = await connection.answer()
        context.ended = await connection.has_ended()
        await stopping

    _play(ends, play)


@when("a front is stopped while a caller waits, and another one sends a job on its idle connection")
def stop_front_beside_idle(context):
    async def play(rig):
        idle = await Connection.open(rig.port)
        idle.send("POST", "/nowhere/" + JOB, NO_BODY)
        assert (await idle.answer()).status == 404
        connection = await _send_and_begin(rig)
        stopping = asyncio.create_task(rig.front.stop(timeout_s=PATIENCE_S))
        await asyncio.sleep(0)
        idle.send(*REQUESTS["new job"])
        context.idle_ended = await idle.has_ended()
        context.begun = rig.gateway.count
        rig.gateway.may_end.set()
        context.answer = await connection.answer()
        context.ended = await connection.has_ended()
        await stopping

    _play("goes on until it may end", play)


@when("a front is stopped just as it has taken a job from an idle connection's socket")
def stop_front_at_reading(context):
    async def play(rig):
        connection = await Connection.open(rig.port)
        connection.send("POST", "/nowhere/" + JOB, NO_BODY)
        assert (await connection.answer()).status == 404
        rig.gateway.may_end.set()
        connection.send(*REQUESTS["new job"])
        while rig.stream().reading():
            await asyncio.sleep(0)
        assert not rig.gateway.count, "the job is being handled already"
        await rig.front.stop(timeout_s=PATIENCE_S)
        context.answer = await connection.answer()
        context.ended = await connection.has_ended()

    _play("goes on until it may end", play)


@when("a front is stopped while a caller waits that has sent its next job already")
def stop_front_before_next(context):
    async def play(rig):
        connection = await _send_and_begin(rig)
        connection.send(*REQUESTS["new job"])
        stopping = asyncio.create_task(rig.front.stop(timeout_s=PATIENCE_S))
        await asyncio.sleep(0)
        rig.gateway.may_end.set()
        context.answer = await connection.answer()
        context.ended = await connection.has_ended()
        await stopping
        context.count = rig.gateway.count

    _play("goes on until it may end", play)


@then("only the first of its jobs has been handled")
def check_handled(context):
    assert context.count == 1, context.count


@then("the job on the idle connection hasn't been read, and that connection ends")
def check_idle(context):
    assert (context.idle_ended, context.begun) == (True, 1)


@then("the caller is told {status} with {code}, and its connection ends")
def check_told_once(context, status, code):
    assert _told(context.answer) == f"{status} {code}", _told(context.answer)
    assert context.ended


@then(
    "a daemon with a grace of {grace:g} s stops reading after {stop:g} s and ends after {end:g} s"
)
def check_steps(context, grace, stop, end):
    steps = leaving_steps(grace)
    assert (round(steps.stop_s, 6), round(steps.end_s, 6)) == (stop, end), steps
    assert steps.close_s < steps.stop_s < steps.end_s < grace


@when("a caller sends a front a HEAD request {for_what}")
def send_head(context, for_what):
    async def play(rig):
        port = rig.metrics_port if for_what == "of the metrics page" else rig.port
        connection = await Connection.open(port)
        connection.send("HEAD", HEAD_PATHS[for_what], NO_BODY)
        context.answer = await connection.answer(head_only=True)
        # What comes next on the connection is the next answer: no byte of a body is before it.
        connection.send("HEAD", HEAD_PATHS[for_what], NO_BODY)
        context.next_answer = await connection.answer(head_only=True)

    _play("goes on", play)


@then("the caller is told {status:d} without a body")
def check_head(context, status):
    answers = (context.answer, context.next_answer)
    assert [answer and answer.status for answer in answers] == [status, status], answers


@when("a front's answer can't be written")
def write_in_vain(context):
    async def play(rig):
        async def handle(request):
            return Answer(200, headers={"X-Result-Code": "MG4020\r\nX-Other: 1"})

        [port] = free_ports(1)
        rig.front.listen(f"127.0.0.1:{port}", handle)
        connection = await Connection.open(port)
        connection.send(*REQUESTS["new job"])
        context.ended = await connection.has_ended()
        context.lines = [row for row in rig.events.kept if row["event"] == "answer.unwritten"]

    _play("goes on", play)


@then("its caller's connection ends, and the front's log tells of the answer that wasn't written")
def check_unwritten(context):
    assert context.ended and len(context.lines) == 1, (context.ended, context.lines)


def _told(answer):
    if answer is None:
        return "no answer"
    return f"{answer.status} {answer.fields['X-Result-Code']}"


@then("each caller is told as the table says")
def check_told(context):
    wrong = [
        f"{row['request']} {row['handling']}: {_told(played.answer)}"
        for row, played in zip(context.rows, context.played, strict=True)
        if _told(played.answer) != f"{row['status']} {row['code']}"
    ]
    assert not wrong, "\n".join(wrong)


@then("for each the front's log tells why, and its counter counts it")
def check_sight(context):
    for row, played in zip(context.rows, context.played, strict=True):
        lines = [line for line in played.lines if line["path"].startswith(PATH) and line["why"]]
        assert (len(lines), played.counted) == (1, 1), (row, played)
