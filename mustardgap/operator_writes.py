"""What the handlers share that write to the log for operators."""

from collections.abc import Callable
from typing import Any

from . import status_codes
from .exceptions import MustardgapError
from .operator_handlers import JsonHandler
from .outcomes import Accepted, Rejected, Verdict

WRITE_TIMEOUT_S = 5.0
# With the log known to be out, an operator who waits learns nothing more.
OUTAGE_TIMEOUT_S = 1.0
STEP_TRIES = 5

_RACED = (status_codes.STALE_BASE, status_codes.WRONG_PHASE)


class WritingHandler(JsonHandler):
    """Writes records and answers with their verdicts."""

    async def append(self, kind: str, body: dict[str, Any], record_id: str = "") -> Verdict:
        """Write one record and wait for the fold's verdict."""
        timeline = self.operators.timeline
        ids: dict[str, Any] = {k: body[k] for k in ("host", "job", "wave") if k in body}
        if record_id:
            ids["change"] = record_id
        timeline.add(f"operators.{kind}", cause=str(body.get("reason", "")), **ids)
        self.may_have_written = True
        verdict: Verdict = await self.log.write(
            kind, body, timeout_s=self._timeout_s(), purpose="operators", record_id=record_id
        )
        return verdict

    def _timeout_s(self) -> float:
        stale_after_s = self.operators.settings.platform.stale_after_s
        is_out = self.log.seconds_since_confirmed() > stale_after_s
        return OUTAGE_TIMEOUT_S if is_out else WRITE_TIMEOUT_S


async def step_on_latest(
    handler: WritingHandler, kind: str, record: Callable[[], dict[str, Any] | None]
) -> Verdict:
    """Write a step on the latest epoch, again when something else came in between.

    An operator's step names no epoch: it is meant for whatever the state is now, and the fold
    still checks it against the phase. Sent again after a lost answer it finds its own effect.

    :param record: makes the record's body; None when nothing is left to do.
    """
    verdict: Verdict = Accepted(offset=handler.log.offset - 1)
    before: dict[str, Any] | None = None
    for _ in range(STEP_TRIES):
        body = record()
        if body is None:
            return Accepted(offset=handler.log.offset - 1)
        if body == before:
            # Nothing came in between, so the same step would be turned down again.
            break
        verdict = await handler.append(kind, body)
        if isinstance(verdict, Accepted) or verdict.code not in _RACED:
            break
        before = body
    return verdict


def is_repeated(verdict: Verdict, same: bool) -> bool:
    """Whether a rejected first record is the second copy of one that was accepted before."""
    return isinstance(verdict, Rejected) and verdict.code is status_codes.STALE_BASE and same


def check_name(name: str, place: str) -> None:
    """Check an id that an operator chose.

    :raises MustardgapError: MG1111 when it can't be one.
    """
    if not name or len(name) > 200 or not name.isprintable() or "/" in name:
        raise MustardgapError(
            code=status_codes.BAD_REQUEST,
            detail="must be 1 to 200 printable characters without a slash",
            place=place,
        )
