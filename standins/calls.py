"""The calls of docs/PLATFORM.md, with the faults that concern them."""

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from mustardgap.models import HostEntry

from .faults import Fault
from .fleets import WorkerOperation
from .logs import MAX_BATCH, AppendsLimitedError, LogExpiredError
from .servers import JsonHandler
from .tasks import RefusedError, TaskOperation, TaskStart

if TYPE_CHECKING:
    from .platforms import Platform

MAX_LIMIT = 5000
MAX_WAIT_S = 30.0


class Call(JsonHandler):
    """One call of docs/PLATFORM.md, with the faults that concern it."""

    SUPPORTED_METHODS = ("GET", "POST", "PUT", "DELETE")

    def initialize(self, platform: "Platform", port: int) -> None:
        """Take what the application hands in."""
        self.platform = platform
        self.port = port

    async def get(self, *names: str) -> None:
        """Serve a call that reads."""
        await self._serve(names)

    async def post(self, *names: str) -> None:
        """Serve a call that changes something."""
        await self._serve(names)

    async def put(self, *names: str) -> None:
        """Serve a call that changes something."""
        await self._serve(names)

    async def delete(self, *names: str) -> None:
        """Serve a call that changes something."""
        await self._serve(names)

    async def effect(self, *names: str) -> Any:
        """Do what the call asks for.

        :return: the answer's value.
        """
        raise NotImplementedError

    async def _serve(self, names: tuple[str, ...]) -> None:
        self.platform.truth.counters[f"{self.request.method} {type(self).__name__}"] += 1
        if self._strikes("silent"):
            await self._hang_up_later()
            return
        slow = self._strikes("slow")
        if slow is not None:
            await asyncio.sleep(slow.seconds)
        if self._strikes("down"):
            self.reply({"error": "down"}, status=503)
            return
        try:
            value = await self.effect(*names)
            if self._strikes("doubled"):
                value = await self.effect(*names)
        except RefusedError as exc:
            self.reply({"error": str(exc)}, status=exc.status)
            return
        except AppendsLimitedError as exc:
            self.reply({"error": str(exc)}, status=503)
            return
        except LogExpiredError as exc:
            self.reply({"error": str(exc), "oldest": exc.oldest, "end": exc.end}, status=410)
            return
        await self._answer(value)

    async def _answer(self, value: Any) -> None:
        if self._strikes("lost"):
            self.detach().close()
        elif self._is_on("silent"):
            await self._hang_up_later()
        elif self.request.method == "GET" and self._is_on("down"):
            self.reply({"error": "down"}, status=503)
        else:
            self.reply(value)

    async def _hang_up_later(self) -> None:
        stream = self.detach()
        while self._is_on("silent"):
            await self.platform.faults.changed()
        stream.close()

    def _strikes(self, fault: str) -> Fault | None:
        return self.platform.faults.take(fault, self.request.path, **self._call())

    def _is_on(self, fault: str) -> bool:
        found = self.platform.faults.has(fault, self.request.path, **self._call())
        return found is not None and found.count is None

    def _call(self) -> dict[str, Any]:
        return {"method": self.request.method, "port": self.port}


class AppendBody(msgspec.Struct):
    """The body of an append."""

    records: list[msgspec.Raw]


class LogCall(Call):
    """``/log/{stream}``."""

    async def effect(self, *names: str) -> Any:
        """Append or read."""
        logs = self.platform.logs
        if self.request.method == "POST":
            records = self.decode(AppendBody).records
            if not 0 < len(records) <= MAX_BATCH:
                raise ValueError(f"an append takes 1 to {MAX_BATCH} records")
            if not all(bytes(record).lstrip().startswith(b"{") for record in records):
                raise ValueError("records must be JSON objects")
            return logs.append(names[0], records)
        start = int(self.number("from", 0, 0, 2**62))
        limit = int(self.number("limit", 500, 1, MAX_LIMIT))
        return await logs.read(names[0], start, limit, self.number("wait", 0, 0, MAX_WAIT_S))


class HostsCall(Call):
    """``/hosts`` and ``/hosts/{host}``."""

    async def effect(self, *names: str) -> Any:
        """Show the list, or take in an announcement."""
        hosts = self.platform.hosts
        if self.request.method == "GET":
            return hosts.view()
        if self.request.method == "DELETE":
            hosts.withdraw(names[0])
        else:
            hosts.announce(self.decode(HostEntry))
        return {}


class WorkersCall(Call):
    """``/workers``."""

    async def effect(self, *names: str) -> Any:
        """Show the workers that changed."""
        return self.platform.fleet.page(int(self.number("since", 0, 0, 2**62)))


class OperationsCall(Call):
    """``/workers/{worker}/operations`` and ``/operations/{operation}``."""

    async def effect(self, *names: str) -> Any:
        """Start an operation, or show one."""
        fleet = self.platform.fleet
        if self.request.method == "GET":
            return fleet.operation(names[0])
        asked = self.decode(WorkerOperation)
        return {"operation": asked.operation, "result": fleet.operate(names[0], asked)}


class TaskStartCall(Call):
    """``/workers/{worker}/tasks``."""

    async def effect(self, *names: str) -> Any:
        """Start a task."""
        worker = self.platform.fleet.find(names[0])
        start = self.decode(TaskStart)
        tasks = self.platform.tasks
        if worker.state != "up" and start.task not in tasks.by_id:
            raise RefusedError(f"{worker.name} takes no work: it is {worker.state}")
        return {"task": start.task, "result": tasks.start(worker.name, start, room=worker.room)}


class TaskOperationsCall(Call):
    """``/tasks/{task}/operations``."""

    async def effect(self, *names: str) -> Any:
        """Step a task."""
        result = self.platform.tasks.operate(names[0], self.decode(TaskOperation))
        return {"task": names[0], "result": result}


class TaskLease(msgspec.Struct):
    """One lease to renew."""

    task: str
    epoch: int


class RenewBody(msgspec.Struct):
    """The body of a renewal of many leases."""

    tasks: list[TaskLease]
    lease_s: float


class RenewCall(Call):
    """``/tasks/renew``."""

    async def effect(self, *names: str) -> Any:
        """Renew many leases."""
        body = self.decode(RenewBody)
        epochs_by_id = {lease.task: lease.epoch for lease in body.tasks}
        return {"lapsed": self.platform.tasks.renew_many(epochs_by_id, body.lease_s)}


class TasksCall(Call):
    """``/tasks``."""

    async def effect(self, *names: str) -> Any:
        """Show the tasks that changed."""
        return self.platform.tasks.page(int(self.number("since", 0, 0, 2**62)))
