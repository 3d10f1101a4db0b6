"""Handlers of the operators' interface for declarations and jobs."""

from typing import Any

import msgspec

from . import status_codes
from .exceptions import MustardgapError
from .models import Change, JobSpec, JobState
from .operator_views import find, items_body
from .operator_writes import WritingHandler, check_name, is_repeated, step_on_latest
from .outcomes import Accepted, Rejected, Verdict

MAX_CANCELS = 10_000


class ChangesBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A set of changes; ``id`` makes sending it again harmless."""

    id: str
    changes: list[Change]
    dry_run: bool = False


class JobBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A job to submit under an id that the operator chose."""

    id: str
    spec: JobSpec


class CancelBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Jobs to cancel."""

    jobs: list[str]


class ChangesHandler(WritingHandler):
    """Changes of declarations."""

    async def post(self) -> None:
        """Check the changes, and publish them unless it is a dry run."""
        body = self.decode(ChangesBody)
        check_name(body.id, "id")
        if not body.changes:
            raise MustardgapError(
                code=status_codes.BAD_REQUEST, detail="no changes", place="changes"
            )
        if body.dry_run:
            self._dry_run(body)
            return
        self.reply_verdict(await self.append("config", {"changes": body.changes}, body.id))

    def _dry_run(self, body: ChangesBody) -> None:
        verdict = self.log.check("config", {"changes": body.changes})
        self.reply_verdict(verdict, dry_run=True)


class JobsHandler(WritingHandler):
    """Jobs: listing and submitting."""

    def get(self) -> None:
        """List the jobs."""
        self.reply(items_body(self.log.state, "jobs"))

    async def post(self) -> None:
        """Submit a job; the same job sent again is the same submission."""
        body = self.decode(JobBody)
        check_name(body.id, "id")
        record = {"job": body.id, "base": 0, "step": "submit", "spec": body.spec}
        verdict = await self.append("job", record)
        known: JobState | None = self.log.state.jobs_by_id.get(body.id)
        if is_repeated(verdict, known is not None and known["spec"] == body.spec):
            verdict = Accepted(offset=self.log.offset - 1)
        self.reply_verdict(verdict, job=body.id)


class JobHandler(WritingHandler):
    """One job."""

    def get(self, name: str) -> None:
        """Show the job."""
        self.reply(items_body(self.log.state, "jobs", name))

    async def delete(self, name: str) -> None:
        """Cancel the job."""
        self.reply_verdict(await cancel(self, name), job=name)


class CancelHandler(WritingHandler):
    """Cancelling many jobs."""

    async def post(self) -> None:
        """Cancel each job and answer with each one's verdict."""
        body = self.decode(CancelBody)
        if len(body.jobs) > MAX_CANCELS:
            raise MustardgapError(
                code=status_codes.TOO_LARGE, detail=f"more than {MAX_CANCELS} jobs", place="jobs"
            )
        codes = {name: await self._cancel(name) for name in dict.fromkeys(body.jobs)}
        self.reply({"offset": self.log.offset, "codes": codes})

    async def _cancel(self, name: str) -> int:
        try:
            verdict = await cancel(self, name)
        except MustardgapError as exc:
            return exc.code.number
        return verdict.code.number if isinstance(verdict, Rejected) else status_codes.OK.number


async def cancel(handler: WritingHandler, name: str) -> Verdict:
    """Cancel a job; one that has ended or is cancelled already stays so."""

    def record() -> dict[str, Any] | None:
        job = find(handler.log.state.jobs_by_id, "jobs", name)
        if job["cancelled"] or job["phase"] == "ended":
            return None
        return {"job": name, "base": job["epoch"], "step": "cancel"}

    return await step_on_latest(handler, "job", record)
