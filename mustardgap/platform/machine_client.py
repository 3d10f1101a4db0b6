"""The platform's machines, and the service that advises on executors."""

from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

import msgspec

from ..http_pools import HttpAnswer, HttpPool
from ..ports import (
    Done,
    Fenced,
    Granted,
    MachineList,
    NoAnswer,
    NotInWave,
    Order,
    Refused,
    Throttled,
)
from ..workloads import ExecutorId, Machine, TaskId
from .decoding import InvalidBody, fields_of, granted_tickets, machine_page

# Both services answer in milliseconds on a calm day and some 50 times slower on a bad one.
CALL_S = 1.0
# The most executors that one call for advice may name.
MAX_ADVISED = 100


class MachineClient:
    """Lists, moves and maintains machines.

    :param pool: the process's connections.
    :param address: the machine service's ``ip:port``.
    """

    def __init__(self, *, pool: HttpPool, address: str) -> None:
        self._pool = pool
        self._address = address

    async def machines(self) -> MachineList | Refused | NoAnswer:
        """List all machines, page by page."""
        machines: list[Machine] = []
        invalid: list[str] = []
        token: str | None = None
        while True:
            query = "?" + urlencode({"pageToken": token}) if token else ""
            answer = await self._pool.call(
                address=self._address,
                method="GET",
                target=f"/mustardgap/machines{query}",
                timeout_s=CALL_S,
            )
            if isinstance(answer, NoAnswer):
                return answer
            if answer.status != 200:
                return Refused(detail=str(answer.status))
            try:
                page = machine_page(answer.body)
            except InvalidBody as exc:
                return Refused(detail=f"a page that can't be read: {exc}")
            machines.extend(page.machines)
            invalid.extend(page.invalid)
            token = page.next_token
            if not token:
                return MachineList(machines=machines, invalid=tuple(invalid))

    async def move(self, *, machine: str, pool: str, holder: str, fence: int) -> Order:
        """Give a machine to another pool."""
        return await self._order("machine-move", {"machine": machine, "pool": pool}, holder, fence)

    async def maintain(self, *, machine: str, wave: int, holder: str, fence: int) -> Order:
        """Take a machine down for its maintenance."""
        body = {"machine": machine, "wave": wave}
        return await self._order("machine-upkeep", body, holder, fence)

    async def _order(self, verb: str, body: dict[str, Any], holder: str, fence: int) -> Order:
        answer = await self._pool.call(
            address=self._address,
            method="POST",
            target=f"/mustardgap/{verb}",
            body=msgspec.json.encode(body),
            headers={
                "X-Mustardgap-Duty-Holder": holder,
                "X-Mustardgap-Fencing-Token": str(fence),
            },
            timeout_s=CALL_S,
        )
        if isinstance(answer, NoAnswer):
            self._pool.close_idle(self._address)
            return answer
        if answer.status == 200:
            return Done()
        if answer.status == 429:
            return Throttled()
        reason = fields_of(answer.body).get("reason")
        if reason == "fence":
            return Fenced(detail="the machine knows a higher fencing token")
        if reason == "wave":
            return NotInWave()
        return Refused(detail=f"{answer.status} {reason or ''}".strip())


class AdviceClient:
    """Asks which executors may run a step.

    :param pool: the process's connections.
    :param address: the advice service's ``ip:port``.
    """

    def __init__(self, *, pool: HttpPool, address: str) -> None:
        self._pool = pool
        self._address = address

    async def advise(
        self, *, step: TaskId, executors: Sequence[ExecutorId]
    ) -> Granted | Refused | NoAnswer:
        """Ask for tickets for one step on some executors."""
        body = {
            "step": f"{step.job}.{step.occurrence}.{step.step}",
            "workers": list(executors[:MAX_ADVISED]),
        }
        answer = await self._pool.call(
            address=self._address,
            method="POST",
            target="/mustardgap/advise",
            body=msgspec.json.encode(body),
            # The service takes its time for each executor named and handles calls in turn.
            timeout_s=CALL_S * 3,
        )
        if not isinstance(answer, HttpAnswer):
            return answer
        if answer.status != 200:
            return Refused(detail=str(answer.status))
        try:
            tickets, valid_s = granted_tickets(answer.body)
        except InvalidBody as exc:
            return Refused(detail=f"advice that can't be read: {exc}")
        return Granted(tickets_by_executor=tickets, valid_s=valid_s)
