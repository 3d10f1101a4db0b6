"""Handlers of the operators' interface that write to the log."""

from collections.abc import Callable
from typing import Any

import msgspec

from . import status_codes
from .exceptions import MustardgapError
from .models import Change, JobSpec, JobState
from .operator_handlers import JsonHandler
from .operator_views import find, items_body
from .outcomes import Accepted, Rejected, Verdict

WRITE_TIMEOUT_S = 5.0
# With the log known to be out, an operator who waits learns nothing more.
OUTAGE_TIMEOUT_S = 1.0
STEP_TRIES = 5
MAX_CANCELS = 10_000

_RACED = (status_codes.STALE_BASE, status_codes.WRONG_PHASE)
_DONE_BY_STEP = {
    "drain": ("draining", "drained", "rebooting"),
    "undrain": ("in_service",),
}
_PHASES_BY_STEP = {"pause": "paused", "resume": "running", "finish": "finished"}


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


class DrainBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Why a host is drained or taken back."""

    reason: str = ""
    urgent: bool = False


class WaveBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A wave to start, over hosts that are named or over a failure domain."""

    wave: str
    hosts: list[str] = []
    rack: str = ""
    data_center: str = ""
    reason: str = ""


class StepBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Why a wave is paused, resumed or finished."""

    reason: str = ""


class WritingHandler(JsonHandler):
    """Writes records and answers with their verdicts."""

    async def append(self, kind: str, body: dict[str, Any], record_id: str = "") -> Verdict:
        """Write one record and wait for the fold's verdict."""
        timeline = self.operators.timeline
        ids: dict[str, Any] = {k: body[k] for k in ("host", "job", "wave") if k in body}
        if record_id:
            ids["change"] = record_id
        timeline.add(f"operators.{kind}", cause=str(body.get("reason", "")), **ids)
        verdict: Verdict = await self.log.write(
            kind, body, timeout_s=self._timeout_s(), purpose="operators", record_id=record_id
        )
        return verdict

    def _timeout_s(self) -> float:
        stale_after_s = self.operators.settings.platform.stale_after_s
        is_out = self.log.fresh_s() > stale_after_s
        return OUTAGE_TIMEOUT_S if is_out else WRITE_TIMEOUT_S


class ChangesHandler(WritingHandler):
    """Changes of declarations."""

    async def post(self) -> None:
        """Check the changes, and publish them unless it is a dry run."""
        body = self.decode(ChangesBody)
        _check_name(body.id, "id")
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
        _check_name(body.id, "id")
        record = {"job": body.id, "base": 0, "step": "submit", "spec": body.spec}
        verdict = await self.append("job", record)
        known: JobState | None = self.log.state.jobs_by_id.get(body.id)
        if _is_repeated(verdict, known is not None and known["spec"] == body.spec):
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


class DrainHandler(WritingHandler):
    """Draining a host and taking it back."""

    async def post(self, name: str, step: str) -> None:
        """Drain or undrain the host."""
        body = self.decode(DrainBody)
        reason = body.reason or "operator"
        if body.urgent:
            reason = f"urgent: {reason}"
        phase = "draining" if step == "drain" else "in_service"

        def record() -> dict[str, Any] | None:
            host = find(self.log.state.hosts_by_name, "hosts", name)
            if host["phase"] in _DONE_BY_STEP[step]:
                return None
            return {
                "host": name,
                "base": host["epoch"],
                "phase": phase,
                "pool": host["pool"],
                "reason": reason,
            }

        self.reply_verdict(await step_on_latest(self, "host", record), host=name)


class WavesHandler(WritingHandler):
    """Waves: listing and starting."""

    def get(self) -> None:
        """List the waves."""
        self.reply(items_body(self.log.state, "waves"))

    async def post(self) -> None:
        """Start a wave."""
        body = self.decode(WaveBody)
        _check_name(body.wave, "wave")
        hosts = self._hosts(body)
        record = {
            "wave": body.wave,
            "base": 0,
            "step": "start",
            "hosts": hosts,
            "reason": body.reason or "operator",
        }
        verdict = await self.append("wave", record)
        known = self.log.state.waves_by_name.get(body.wave)
        if _is_repeated(verdict, known is not None and known["hosts"] == sorted(set(hosts))):
            verdict = Accepted(offset=self.log.offset - 1)
        self.reply_verdict(verdict, wave=body.wave, hosts=hosts)

    def _hosts(self, body: WaveBody) -> list[str]:
        hosts = self.log.state.hosts_by_name
        if sum(map(bool, (body.hosts, body.rack, body.data_center))) != 1:
            raise MustardgapError(
                code=status_codes.BAD_REQUEST,
                detail="name either hosts, a rack or a data center",
                place="hosts",
            )
        for name in body.hosts:
            find(hosts, "hosts", name)
        if body.hosts:
            return list(dict.fromkeys(body.hosts))
        key, value = ("rack", body.rack) if body.rack else ("data_center", body.data_center)
        names = sorted(name for name, host in hosts.items() if host["facts"].get(key) == value)
        if not names:
            raise MustardgapError(
                code=status_codes.UNKNOWN_HOST, detail=f"no host in {key} {value}", place=key
            )
        return names


class WaveStepHandler(WritingHandler):
    """Steps of one wave."""

    async def post(self, name: str, step: str) -> None:
        """Pause, resume or finish the wave."""
        body = self.decode(StepBody)

        def record() -> dict[str, Any] | None:
            wave = find(self.log.state.waves_by_name, "waves", name)
            if wave["phase"] == _PHASES_BY_STEP[step]:
                return None
            reason = body.reason or "operator"
            return {"wave": name, "base": wave["epoch"], "step": step, "reason": reason}

        self.reply_verdict(await step_on_latest(self, "wave", record), wave=name)


async def cancel(handler: WritingHandler, name: str) -> Verdict:
    """Cancel a job; one that has ended or is cancelled already stays so."""

    def record() -> dict[str, Any] | None:
        job = find(handler.log.state.jobs_by_id, "jobs", name)
        if job["cancelled"] or job["phase"] == "ended":
            return None
        return {"job": name, "base": job["epoch"], "step": "cancel"}

    return await step_on_latest(handler, "job", record)


async def step_on_latest(
    handler: WritingHandler, kind: str, record: Callable[[], dict[str, Any] | None]
) -> Verdict:
    """Write a step on the latest epoch, again when something else came in between.

    An operator's step names no epoch: it is meant for whatever the state is now, and the fold
    still checks it against the phase. Sent again after a lost answer it finds its own effect.

    :param record: makes the record's body; None when nothing is left to do.
    """
    verdict: Verdict = Accepted(offset=handler.log.offset - 1)
    for _ in range(STEP_TRIES):
        body = record()
        if body is None:
            return Accepted(offset=handler.log.offset - 1)
        verdict = await handler.append(kind, body)
        if isinstance(verdict, Accepted) or verdict.code not in _RACED:
            break
    return verdict


def _is_repeated(verdict: Verdict, same: bool) -> bool:
    """Whether a rejected first record is the second copy of one that was accepted before."""
    return isinstance(verdict, Rejected) and verdict.code is status_codes.STALE_BASE and same


def _check_name(name: str, place: str) -> None:
    if not name or len(name) > 200 or not name.isprintable() or "/" in name:
        raise MustardgapError(
            code=status_codes.BAD_REQUEST,
            detail="must be 1 to 200 printable characters without a slash",
            place=place,
        )
