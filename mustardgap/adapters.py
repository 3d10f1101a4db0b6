"""Adapter for the platform: its log, host list, workers and tasks.

The calls and their answers are described in docs/PLATFORM.md.
"""

import socket
from typing import Any, Literal, NamedTuple
from urllib.parse import quote, urlencode

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

from . import status_codes
from .codecs import Undecodable, decode_json
from .exceptions import AnswerLost, LogExpired, PlatformError
from .models import HostEntry, JobSpec, LogRecord, Page, TaskInfo, WorkerInfo
from .resolvers import NumericFirstResolver

OperationKind = Literal["drain", "undrain", "reboot", "assign"]
TaskStep = Literal["renew", "throttle", "resume", "checkpoint", "stop"]

MAX_CALLS = 64
MAX_BODY_BYTES = 64 * 1024 * 1024


class WorkersPage(NamedTuple):
    """The workers that changed since a version."""

    version: int
    workers: list[WorkerInfo]
    gone: list[str]


class TasksPage(NamedTuple):
    """The tasks that changed since a version."""

    version: int
    tasks: list[TaskInfo]


class HostsPage(NamedTuple):
    """The host list, which lags, and the time as of which it is valid."""

    as_of: float
    hosts: list[HostEntry]


class Operation(NamedTuple):
    """An operation as the platform reports it."""

    operation: str
    worker: str
    kind: str
    epoch: int
    state: Literal["running", "done", "failed"]


class Platform:
    """The platform's services over HTTP.

    Each call opens its own connection. This costs a round trip, but no call can be lost on a
    pooled connection that failed silently while it was idle.

    :param address: ``ip:port`` of the platform.
    :param timeout_s: timeout of a call in seconds, without the time it asks the platform to wait.
    """

    def __init__(self, *, address: str, timeout_s: float = 2.0) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CALLS,
            max_body_size=MAX_BODY_BYTES,
            resolver=NumericFirstResolver(),
        )

    def close(self) -> None:
        """Cancel all open calls."""
        self._client.close()

    async def append(self, stream: str, values: list[Any]) -> int:
        """Append records as one batch.

        :param stream: the stream's name.
        :param values: the records, JSON objects.
        :return: the offset of the first record.
        :raises PlatformError: nothing was appended.
        :raises AnswerLost: the records may have been appended.
        """
        resp = await self._call("POST", f"/log/{quote(stream)}", {"records": values})
        return int(resp["first"])

    async def read(self, stream: str, start: int, *, limit: int = 500, wait_s: float = 0.0) -> Page:
        """Read records, starting at an offset.

        :param stream: the stream's name.
        :param start: the offset to start at.
        :param limit: the maximum number of records to return.
        :param wait_s: seconds to wait when there are no records yet.
        :raises LogExpired: the log no longer keeps ``start``.
        """
        query = urlencode({"from": start, "limit": limit, "wait": wait_s})
        resp = await self._call("GET", f"/log/{quote(stream)}?{query}", wait_s=wait_s)
        records = [LogRecord(r["offset"], r["time"], r["value"]) for r in resp["records"]]
        return Page(records, resp["next"], resp["oldest"], resp["end"])

    async def hosts(self) -> HostsPage:
        """Read the host list, which lags."""
        resp = await self._call("GET", "/hosts")
        return HostsPage(resp["as_of"], resp["hosts"])

    async def announce(self, entry: HostEntry) -> None:
        """Announce this entry host, or that it is leaving."""
        await self._call("PUT", f"/hosts/{quote(entry['host'])}", entry)

    async def withdraw(self, host: str) -> None:
        """Remove this entry host from the list."""
        await self._call("DELETE", f"/hosts/{quote(host)}")

    async def workers(self, since: int = 0) -> WorkersPage:
        """Read the workers that changed since a version."""
        resp = await self._call("GET", f"/workers?since={since}")
        return WorkersPage(resp["version"], resp["workers"], resp["gone"])

    async def operate(
        self, worker: str, *, operation: str, kind: OperationKind, epoch: int, pool: str = ""
    ) -> str:
        """Start an operation on a worker; it is idempotent by its id and fenced by the epoch.

        :return: ``accepted`` or ``repeated``.
        :raises PlatformError: MG5006 for a stale epoch, MG5003 for any other refusal.
        """
        body = {"operation": operation, "kind": kind, "epoch": epoch, "pool": pool}
        resp = await self._call("POST", f"/workers/{quote(worker)}/operations", body)
        return str(resp["result"])

    async def operation(self, operation: str) -> Operation | None:
        """Return an operation, or None when the platform doesn't know it."""
        try:
            resp = await self._call("GET", f"/operations/{quote(operation, safe='')}")
        except PlatformError as exc:
            if exc.code is status_codes.NOT_FOUND:
                return None
            raise
        return Operation(**{key: resp[key] for key in Operation._fields})

    async def start_task(
        self,
        worker: str,
        *,
        task: str,
        job: str,
        attempt: int,
        epoch: int,
        lease_s: float,
        spec: JobSpec,
    ) -> str:
        """Start a task under a lease; it is idempotent by its id and fenced by the job's epoch."""
        body = {
            "task": task,
            "job": job,
            "attempt": attempt,
            "epoch": epoch,
            "lease_s": lease_s,
            "cores": spec["cores"],
            "memory_gb": spec["memory_gb"],
            "accelerators": spec["accelerators"],
            "run_s": spec["run_s"],
            "payload": spec.get("payload", {}),
        }
        resp = await self._call("POST", f"/workers/{quote(worker)}/tasks", body)
        return str(resp["result"])

    async def step_task(
        self, task: str, *, operation: str, epoch: int, step: TaskStep, lease_s: float = 0.0
    ) -> str:
        """Renew, throttle, resume, checkpoint or stop a task."""
        body = {"operation": operation, "epoch": epoch, "step": step, "lease_s": lease_s}
        resp = await self._call("POST", f"/tasks/{quote(task, safe='')}/operations", body)
        return str(resp["result"])

    async def renew_tasks(self, epochs_by_task: dict[str, int], *, lease_s: float) -> list[str]:
        """Renew the leases of many tasks.

        :return: the tasks whose leases had expired.
        """
        tasks = [{"task": task, "epoch": epoch} for task, epoch in epochs_by_task.items()]
        resp = await self._call("POST", "/tasks/renew", {"tasks": tasks, "lease_s": lease_s})
        return list(resp["lapsed"])

    async def tasks(self, since: int = 0) -> TasksPage:
        """Read the tasks that changed since a version."""
        resp = await self._call("GET", f"/tasks?since={since}")
        return TasksPage(resp["version"], resp["tasks"])

    async def _call(self, method: str, path: str, body: Any = None, *, wait_s: float = 0.0) -> Any:
        request = HTTPRequest(
            f"http://{self.address}{path}",
            method=method,
            body=None if body is None else msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
            connect_timeout=self.timeout_s,
            request_timeout=self.timeout_s + wait_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
        )
        try:
            resp = await self._client.fetch(request, raise_error=False)
        except (ConnectionRefusedError, socket.gaierror) as exc:
            raise PlatformError(detail=str(exc), place=path) from None
        except HTTPTimeoutError as exc:
            raise _timeout_error(method, path, str(exc)) from None
        except (OSError, HTTPClientError) as exc:
            raise _unanswered_error(method, path, str(exc)) from None
        return _decode(method, path, resp)


def _decode(method: str, path: str, resp: HTTPResponse) -> Any:
    if resp.code == 599:
        raise _unanswered_error(method, path, str(resp.error))
    try:
        value = decode_json(resp.body) if resp.body else {}
    except Undecodable:
        raise _unanswered_error(method, path, "the answer is not JSON") from None
    if resp.code < 300:
        return value
    fields = value if isinstance(value, dict) else {}
    detail = str(fields.get("error", resp.reason))
    if resp.code == 410 and "oldest" in fields:
        raise LogExpired(oldest=fields["oldest"], detail=detail, place=path)
    if resp.code == 404:
        raise PlatformError(code=status_codes.NOT_FOUND, detail=detail, place=path)
    if resp.code == 409 and "stale" in detail:
        raise PlatformError(code=status_codes.STALE_EPOCH, detail=detail, place=path)
    if resp.code < 500:
        raise PlatformError(code=status_codes.PLATFORM_REFUSED, detail=detail, place=path)
    if resp.code == 503:
        raise PlatformError(detail=detail, place=path)
    raise _unanswered_error(method, path, f"{resp.code} {detail}")


def _timeout_error(method: str, path: str, detail: str) -> PlatformError | AnswerLost:
    # Only the text of Tornado's error shows that the timeout came before anything was sent.
    if "connecting" in detail or "queue" in detail:
        return PlatformError(detail=detail, place=path)
    return _unanswered_error(method, path, detail)


def _unanswered_error(method: str, path: str, detail: str) -> PlatformError | AnswerLost:
    if method == "GET":
        return PlatformError(detail=detail, place=path)
    return AnswerLost(detail=detail, place=path)
