"""The operators' interface from the client's side."""

import asyncio
import uuid
from collections.abc import Iterable
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from tornado.httpclient import HTTPClientError

from . import status_codes
from .calls import EffectUnknown, EntryClient, ProblemError, unavailable_error
from .exceptions import MustardgapError
from .models import Change, JobSpec
from .settings import TlsSettings
from .timelines import Event, merge

__all__ = ["Client", "MemberOffset", "MergedTimeline", "ProblemError"]

DEFAULT_ENTRY = "127.0.0.1:8081"
POLL_S = 0.2


class MemberOffset(NamedTuple):
    """How many records of the log one entry host has folded, so ``offset`` is the next one's."""

    host: str
    state: str
    offset: int


class Client:
    """Talks to the operators' interface of any entry host.

    Entry hosts are tried in turn. A change whose answer was lost is sent again under the same id,
    so it takes effect once.

    :param entries: ``ip:port`` of the operators' port of entry hosts.
    :param timeout_s: seconds one call may take.
    :param tls: the keys to use, None for plain HTTP.
    """

    def __init__(
        self,
        *,
        entries: Iterable[str] = (DEFAULT_ENTRY,),
        timeout_s: float = 15.0,
        tls: TlsSettings | None = None,
    ) -> None:
        self._calls = EntryClient(entries=entries, timeout_s=timeout_s, tls=tls)

    def close(self) -> None:
        """Drop all open calls."""
        self._calls.close()

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.close()

    # Looking.

    async def status(self) -> dict[str, Any]:
        """The first entry host that answers, and the members it knows."""
        return await self._calls.call("GET", "/v1/status")

    async def items(self, collection: str, name: str = "") -> dict[str, Any]:
        """A collection of the folded state, or one item of it.

        :param collection: ``hosts``, ``pools``, ``services``, ``profiles``, ``jobs``, ``waves`` ...
        :return: ``{"offset", "items": {name: ...}}``.
        """
        path = f"/v1/{collection}/{quote(name, safe='')}" if name else f"/v1/{collection}"
        return await self._calls.call("GET", path)

    async def declarations(self) -> dict[str, Any]:
        """The declarations in force with their versions."""
        return await self._calls.call("GET", "/v1/declarations")

    async def explain(self, kind: str, name: str) -> dict[str, Any]:
        """Why something is as it is, in lines of text."""
        return await self._calls.call("GET", f"/v1/explain/{kind}/{quote(name, safe='')}")

    async def timeline(self, *, since: float = 0.0, **ids: str) -> "MergedTimeline":
        """The events of all entry hosts in reach, in one causal order.

        :param since: seconds since the epoch.
        :param ids: ids that must match, such as ``host="w1"``.
        """
        query = urlencode({"since": since, **{key: value for key, value in ids.items() if value}})
        entries = await self._all_entries()
        calls = [self._calls.call_entry(entry, "GET", f"/v1/timeline?{query}") for entry in entries]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        events_by_host: dict[str, list[Event]] = {}
        missing = []
        for entry, answer in zip(entries, answers, strict=True):
            if isinstance(answer, BaseException):
                missing.append(entry)
                continue
            events_by_host[answer["host"]] = [_event(event) for event in answer["events"]]
        if not events_by_host:
            raise unavailable_error([f"{entry}: no answer" for entry in missing])
        return MergedTimeline(merge(events_by_host.values()), sorted(events_by_host), missing)

    # Changing.

    async def apply(
        self, changes: list[Change], *, change_id: str = "", dry_run: bool = False
    ) -> dict[str, Any]:
        """Publish changes of declarations, all or none.

        :param changes: each with the version it was made on.
        :param change_id: makes sending it again harmless; made up when missing.
        :param dry_run: only ask what would be said.
        :return: ``{"verdict": "accepted", "offset"}``.
        :raises ProblemError: it was rejected, with what has ``changed`` in the body.
        """
        body = {"id": change_id or uuid.uuid4().hex, "changes": changes, "dry_run": dry_run}
        return await self._calls.call("POST", "/v1/changes", body)

    async def submit(self, job: str, spec: JobSpec) -> dict[str, Any]:
        """Submit a job; the same job under the same id is accepted once."""
        return await self._calls.call("POST", "/v1/jobs", {"id": job, "spec": spec})

    async def cancel(self, jobs: list[str]) -> dict[str, Any]:
        """Cancel jobs.

        :return: ``{"offset", "codes": {job: number}}``.
        """
        return await self._calls.call("POST", "/v1/jobs/cancel", {"jobs": jobs})

    async def drain(self, host: str, *, reason: str = "", urgent: bool = False) -> dict[str, Any]:
        """Drain a host: no new work, and out of its pool when it is empty."""
        body = {"reason": reason, "urgent": urgent}
        return await self._calls.call("POST", f"/v1/hosts/{quote(host, safe='')}/drain", body)

    async def undrain(self, host: str, *, reason: str = "") -> dict[str, Any]:
        """Take a drain back."""
        path = f"/v1/hosts/{quote(host, safe='')}/undrain"
        return await self._calls.call("POST", path, {"reason": reason})

    async def start_wave(self, wave: str, **scope: Any) -> dict[str, Any]:
        """Start a maintenance wave over ``hosts``, a ``rack`` or a ``data_center``."""
        wanted = {key: value for key, value in scope.items() if value}
        return await self._calls.call("POST", "/v1/waves", {"wave": wave, **wanted})

    async def step_wave(self, wave: str, step: str, *, reason: str = "") -> dict[str, Any]:
        """Pause, resume or finish a wave."""
        path = f"/v1/waves/{quote(wave, safe='')}/{step}"
        return await self._calls.call("POST", path, {"reason": reason})

    # Waiting.

    async def offsets(self) -> list[MemberOffset]:
        """How far each live entry host has folded, asked of each one itself.

        One that can't be reached from here counts with what the others know of it by gossip. One
        that is on the platform's list but that no other knows yet counts as far behind.
        """
        statuses = await self._statuses()
        members = _latest(member for status in statuses for member in status["members"])
        listed = {host for status in statuses for host in status["listed"]}
        live = [m for m in members.values() if m["state"] in ("live", "suspect")]
        own = await asyncio.gather(*map(self._own_offset, live))
        found = [
            MemberOffset(member["host"], member["state"], max(member["offset"], offset))
            for member, offset in zip(live, own, strict=True)
        ]
        return found + [
            MemberOffset(host, "listed", -1) for host in sorted(listed - members.keys())
        ]

    async def wait_in_force(self, offset: int, *, timeout_s: float, progress: Any = None) -> float:
        """Wait until every live entry host has folded the record at an offset.

        :param progress: called with the list of ``MemberOffset`` after each look.
        :return: seconds waited.
        :raises MustardgapError: MG6002 with the hosts that are behind.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()

        async def look() -> list[str]:
            offsets = await self.offsets()
            if progress:
                progress(offsets)
            return [member.host for member in offsets if member.offset <= offset]

        behind = await look()
        while behind:
            if loop.time() - started > timeout_s:
                raise _late(
                    f"offset {offset} is not yet in force on {', '.join(behind)}", timeout_s
                )
            await asyncio.sleep(POLL_S)
            behind = await look()
        return loop.time() - started

    async def wait_job(self, job: str, *, timeout_s: float, progress: Any = None) -> dict[str, Any]:
        """Wait until a job has ended.

        :param progress: called with the job's state after each look.
        :return: the job's last state.
        :raises MustardgapError: MG6002 when it hasn't ended in time.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        while True:
            state: dict[str, Any] = (await self.items("jobs", job))["items"][job]
            if progress:
                progress(state)
            if state["phase"] == "ended":
                return state
            if loop.time() - started > timeout_s:
                raise _late(f"job {job} is still {state['phase']}", timeout_s)
            await asyncio.sleep(POLL_S)

    # Entry hosts.

    async def _statuses(self) -> list[dict[str, Any]]:
        """The statuses of all entry hosts that were named; at least one must answer."""
        calls = [
            self._calls.call_entry(entry, "GET", "/v1/status") for entry in self._calls.entries
        ]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        statuses = [answer for answer in answers if isinstance(answer, dict)]
        return statuses or [await self.status()]

    async def _own_offset(self, member: dict[str, Any]) -> int:
        if not member["operators"]:
            return -1
        try:
            status = await self._calls.call_entry(member["operators"], "GET", "/v1/status")
        except (EffectUnknown, OSError, HTTPClientError, MustardgapError):
            return -1
        return int(status["offset"])

    async def _all_entries(self) -> list[str]:
        status = await self.status()
        members = [m["operators"] for m in status["members"] if m["state"] != "dead"]
        return list(dict.fromkeys(filter(None, members))) or self._calls.entries


class MergedTimeline(NamedTuple):
    """Events of many entry hosts in one order.

    ``missing`` are the entries that didn't answer, so their events aren't here.
    """

    events: list[Event]
    hosts: list[str]
    missing: list[str]


def _event(raw: dict[str, Any]) -> Event:
    stamp = raw["stamp"]
    return Event(**{**raw, "stamp": (int(stamp[0]), int(stamp[1]))})


def _latest(members: Iterable[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """The latest incarnation of each host, by host, as far as any entry host has seen it."""
    found: dict[str, dict[str, Any]] = {}
    for member in members:
        known = found.get(member["host"], member)
        if (member["incarnation"], member["offset"]) >= (known["incarnation"], known["offset"]):
            found[member["host"]] = member
    return found


def _late(detail: str, timeout_s: float) -> MustardgapError:
    code = status_codes.WAIT_TIMED_OUT
    return MustardgapError(code=code, detail=detail, place=f"after {timeout_s:g} s")
