"""Orders to the platform's executors."""

from typing import Any

import msgspec

from ..http_pools import HttpAnswer, HttpPool
from ..ports import Fenced, NoAnswer, OtherIncarnation, Refused, Started, StartRefused, Stopped
from ..workloads import ExecutorEntry, Report, TaskId
from .decoding import InvalidBody, count_of, fields_of, report, task_name

# An executor answers within a few milliseconds; orders that it left unanswered are repeated.
ORDER_S = 0.5


class ExecutorClient:
    """Sends orders to executors over kept connections.

    :param pool: the process's connections.
    """

    def __init__(self, *, pool: HttpPool) -> None:
        self._pool = pool

    async def hold(
        self,
        entry: ExecutorEntry,
        *,
        fence: int,
        acknowledged: int,
        until_ms: int | None,
        wait_s: float,
        patience_s: float,
    ) -> Report | Fenced | OtherIncarnation | Refused | NoAnswer:
        """Extend leases, acknowledge ends, and see what runs and what has ended."""
        body: dict[str, Any] = {"fence": fence, "ackedOffset": acknowledged}
        if until_ms is not None:
            body["untilMs"] = until_ms
        if wait_s > 0:
            body["waitMs"] = int(wait_s * 1000)
        answer = await self._order(entry, "hold", body, wait_s + patience_s)
        if not isinstance(answer, HttpAnswer):
            return answer
        if answer.status != 200:
            return _refusal(answer)
        try:
            return report(answer.body)
        except InvalidBody as exc:
            return Refused(detail=f"a report that can't be read: {exc}")

    async def start(
        self,
        entry: ExecutorEntry,
        *,
        task: TaskId,
        run: int,
        payload: str,
        until_ms: int,
        fence: int,
        checkpoint: str,
        ticket: str,
        patience_s: float,
    ) -> Started | StartRefused | Fenced | OtherIncarnation | Refused | NoAnswer:
        """Start a run."""
        body: dict[str, Any] = {
            "task": task_name(task),
            "run": run,
            "spec": payload,
            "untilMs": until_ms,
            "fence": fence,
        }
        if checkpoint:
            body["checkpointed"] = checkpoint
        if ticket:
            body["ticket"] = ticket
        answer = await self._order(entry, "run-start", body, patience_s)
        if not isinstance(answer, HttpAnswer):
            return answer
        fields = fields_of(answer.body)
        clock_ms = count_of(fields, "clockMs")
        if answer.status == 200:
            return Started(clock_ms=clock_ms or 0)
        if answer.status in (429, 503):
            return StartRefused(reason="unhealthy", clock_ms=clock_ms)
        if answer.status == 409 and fields.get("reason") != "fence":
            return StartRefused(reason=str(fields.get("reason")), clock_ms=clock_ms)
        return _refusal(answer)

    async def stop(
        self, entry: ExecutorEntry, *, task: TaskId, run: int, fence: int
    ) -> Stopped | Fenced | OtherIncarnation | Refused | NoAnswer:
        """Stop a run."""
        body = {"task": task_name(task), "run": run, "fence": fence}
        answer = await self._order(entry, "run-stop", body, ORDER_S)
        return _stopped(answer)

    async def pace(
        self, entry: ExecutorEntry, *, task: TaskId, run: int, percent: int, fence: int
    ) -> Stopped | Fenced | OtherIncarnation | Refused | NoAnswer:
        """Let a run work at a share of its speed."""
        body = {"task": task_name(task), "run": run, "percent": percent, "fence": fence}
        answer = await self._order(entry, "pace", body, ORDER_S)
        return _stopped(answer)

    async def _order(
        self, entry: ExecutorEntry, verb: str, body: dict[str, Any], timeout_s: float
    ) -> HttpAnswer | NoAnswer:
        answer = await self._pool.call(
            address=entry.address,
            method="POST",
            target=f"/mustardgap/{verb}",
            body=msgspec.json.encode(body),
            headers={"X-Mustardgap-Expect-Instance": entry.executor},
            timeout_s=timeout_s,
        )
        if isinstance(answer, NoAnswer):
            self._pool.close_idle(entry.address)
        return answer


def _stopped(
    answer: HttpAnswer | NoAnswer,
) -> Stopped | Fenced | OtherIncarnation | Refused | NoAnswer:
    if not isinstance(answer, HttpAnswer):
        return answer
    if answer.status == 200:
        return Stopped(clock_ms=count_of(fields_of(answer.body), "clockMs") or 0)
    return _refusal(answer)


def _refusal(answer: HttpAnswer) -> Fenced | OtherIncarnation | Refused:
    if answer.status == 421:
        return OtherIncarnation()
    if answer.status == 409 and fields_of(answer.body).get("reason") == "fence":
        return Fenced(detail="the executor knows a higher fencing token")
    return Refused(detail=f"{answer.status} {answer.body[:200].decode(errors='replace')}")
