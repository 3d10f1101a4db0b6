"""Handlers of the operators' interface for steps of hosts and waves."""

from typing import Any

import msgspec

from . import status_codes
from .exceptions import MustardgapError
from .operator_views import find, items_body
from .operator_writes import WritingHandler, check_name, is_repeated, step_on_latest
from .outcomes import Accepted

_DONE_BY_STEP = {
    "drain": ("draining", "drained", "rebooting"),
    "undrain": ("in_service",),
}
_PHASES_BY_STEP = {"pause": "paused", "resume": "running", "finish": "finished"}


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
        check_name(body.wave, "wave")
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
        if is_repeated(verdict, known is not None and known["hosts"] == sorted(set(hosts))):
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
