"""The platform's HTTP interface for callers, its readiness check, and the metrics page."""

import re
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

import msgspec

from .. import job_replies, metrics, status_codes
from ..accounts import Identity
from ..client_bounds import Refusal, RequestLimits, SharedLimits
from ..events import EventLog
from ..http_servers import HttpServer
from ..job_gateways import JobGateway
from ..job_replies import JobReply
from ..open_requests import OpenRequest, OpenRequests
from ..server_connections import Answer, Request
from ..unanswered import FailureKind
from ..workloads import Queue
from .decoding import InvalidBody, job

READY_PATH = "/mustardgap/ready"
METRICS_PATH = "/metrics"
# The balancer and who reads the metrics need a few connections, and send no bodies.
MONITOR_LIMITS = SharedLimits(bytes=1_000_000, requests=32, connections=32)
# What a small host bears, where nobody says how large it is.
DEFAULT_LIMITS = SharedLimits.of_machine(memory_mb=300, descriptors=4_100)
# In whole milliseconds; a number of more digits, 28 hours and more, is no time to wait.
WAIT_HEADER = "X-Mustardgap-Request-Deadline"
MAX_WAIT_DIGITS = 8
CREDENTIAL_HEADER = "X-Mustardgap-Credential"
# A 401 has to name how to authenticate.
CHALLENGE = {"Www-Authenticate": "ApiKey"}

_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
_METHOD_NOT_ALLOWED = 405

# Methods of requests that may change something.
CHANGES = ("POST", "DELETE")


Handler = Callable[[Request], Coroutine[Any, Any, Answer]]


class Front:
    """Answers callers over HTTP.

    :param gateway: knows what to answer.
    :param ready: whether the balancer may send connections here.
    :param events: the process's log.
    :param limits: reads the bounds on one request that are in force.
    :param shared: the bounds on all callers together.
    """

    def __init__(
        self,
        *,
        gateway: JobGateway,
        ready: Callable[[], bool],
        events: EventLog,
        limits: Callable[[], RequestLimits] = RequestLimits,
        shared: SharedLimits = DEFAULT_LIMITS,
    ) -> None:
        self.closing = False
        self._gateway = gateway
        self._ready = ready
        self._events = events
        self._limits = limits
        self._shared = shared
        self._open = OpenRequests(events=events)
        self._servers: list[HttpServer] = []

    def listen(self, address: str, answer: Handler, *, shared: SharedLimits | None = None) -> None:
        """Serve an address with one of this object's ways to answer.

        :param shared: the bounds on all clients of this address, if they aren't callers.
        :raises OSError: the address is in use.
        """
        ip, _, port = address.rpartition(":")
        server = HttpServer(
            name="callers" if shared is None else "monitors",
            handle=partial(self._begin, answer=answer),
            refuse=self._refuse,
            limits=self._limits,
            shared=shared or self._shared,
        )
        server.listen(ip, int(port))
        self._servers.append(server)

    async def stop(self, *, timeout_s: float) -> None:
        """Answer what is under way, then end all connections.

        :param timeout_s: seconds to wait for answers; what has none by then is told so.
        """
        self.closing = True
        for server in self._servers:
            server.stop()
            # A request that came on an idle connection would be read, and cut off unanswered when
            # the process ends; on a closed one it isn't read, and goes to another daemon. The other
            # connections end with their answers, so nothing new is read from now on.
            server.close_idle()
        await self._open.drain(timeout_s=timeout_s)
        for server in self._servers:
            await server.close_all()

    async def jobs(self, request: Request) -> Answer:
        """Answer a caller of the job interface."""
        if request.path == READY_PATH:
            return await self.readiness(request)
        host = request.host_name
        found = self._gateway.queue_for(host, request.path)
        if isinstance(found, JobReply):
            return _encoded(found)
        identity = self._gateway.identify(found, request.headers.get_list(CREDENTIAL_HEADER))
        if isinstance(identity, JobReply):
            return _encoded(identity)
        name = request.path[len(found.path_prefix) :]
        if request.method == "GET" and not name:
            return _encoded(await self._gateway.pending(queue=found, identity=identity))
        if not _JOB_ID.fullmatch(name):
            detail = "an id has 16 hexadecimal digits"
            return _encoded(JobReply(status_codes.JOB_INVALID, detail=detail))
        return await self._job(request, found, name, identity)

    async def _job(
        self,
        request: Request,
        queue: Queue,
        job_id: str,
        identity: Identity | None,
    ) -> Answer:
        if request.method == "GET":
            reply = await self._gateway.state(queue=queue, job_id=job_id, identity=identity)
            return _encoded(reply)
        if request.method == "DELETE":
            reply = await self._gateway.cancel(
                queue=queue, job_id=job_id, identity=identity, wait_s=_wait_s(request)
            )
            return _encoded(reply)
        if request.method != "POST":
            return Answer(_METHOD_NOT_ALLOWED, headers={"Allow": "GET, POST, DELETE"})
        try:
            spec = job(request.body)
        except InvalidBody as exc:
            return _encoded(JobReply(status_codes.JOB_INVALID, detail=str(exc)))
        reply = await self._gateway.submit(
            queue=queue, job_id=job_id, spec=spec, identity=identity, wait_s=_wait_s(request)
        )
        return _encoded(reply)

    async def readiness(self, request: Request) -> Answer:
        """Answer the balancer."""
        return Answer(200 if self._ready() else 503)

    async def metrics(self, request: Request) -> Answer:
        """Answer a scrape of the metrics."""
        if request.path != METRICS_PATH:
            return Answer(404)
        return Answer(200, metrics.render(), {"Content-Type": metrics.CONTENT_TYPE})

    def _begin(self, request: Request, answer: Handler) -> None:
        name = request.path.rpartition("/")[2]
        self._open.start_handling(
            OpenRequest(
                method=request.method,
                path=request.path,
                job=name if _JOB_ID.fullmatch(name) else None,
                handle=partial(answer, request),
                fallback=partial(_fallback, request),
                send=partial(self._send, request),
            )
        )

    def _refuse(self, refusal: Refusal) -> Answer:
        """Make the answer to a request beyond the bounds, which hasn't been handled."""
        self._events.note("request.refused", code=str(refusal.code), why=refusal.detail)
        return _encoded(JobReply(refusal.code, detail=refusal.detail))

    def _send(self, request: Request, answer: Answer) -> None:
        try:
            if not request.connection.answer(answer, close=self.closing):
                # The caller has left; there is nobody to answer.
                metrics.lost_answers.add(1, {"error": "closed"})
        except Exception as exc:
            # A fault of ours. The caller of an open and silent connection would wait for nothing.
            self._events.note("answer.unwritten", vital=True, path=request.path, why=repr(exc))
            request.connection.close()


def _fallback(request: Request, ending: FailureKind) -> Answer:
    """What is true of a request whose handling ended without an answer."""
    detail = f"its handling {ending.value}"
    return _encoded(job_replies.unanswered(detail, is_change=request.method in CHANGES))


def _wait_s(request: Request) -> float | None:
    """How long the caller waits for its answer, None if it doesn't say so in a way that can be."""
    text = request.headers.get(WAIT_HEADER, "")
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_WAIT_DIGITS):
        return None
    return int(text) / 1000


def _encoded(reply: JobReply) -> Answer:
    status = reply.code.http_status
    fields: dict[str, str | int] = {}
    if reply.state:
        fields["state"] = reply.state
    if reply.pending is not None:
        fields["pending"] = reply.pending
    headers = {"Content-Type": "application/json", "X-Result-Code": str(reply.code)}
    if reply.state and reply.detail:
        headers["X-Result-Detail"] = reply.detail
    if status >= 400:
        fields["code"] = str(reply.code)
        fields["detail"] = reply.detail or reply.code.title
    if status == 401:
        headers.update(CHALLENGE)
    if status in (503, 504):
        headers["Retry-After"] = str(job_replies.RETRY_AFTER_S)
    elif reply.retry_after_s is not None:
        headers["Retry-After"] = str(reply.retry_after_s)
    return Answer(status, msgspec.json.encode(fields), headers)
