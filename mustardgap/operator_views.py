"""Handlers of the operators' interface that only read."""

import inspect
import math
from typing import Any

from . import metrics, status_codes, timeline_pages
from .__version__ import __version__
from .exceptions import MustardgapError
from .explanations import explain_code, explain_job
from .members import Member
from .models import RULES_VERSION
from .operator_handlers import JsonHandler
from .states import State
from .timelines import Event

KINDS_BY_COLLECTION = {
    "profiles": "profile",
    "services": "service",
    "pools": "pool",
    "teams": "team",
    "policies": "policy",
}


class LiveHandler(JsonHandler):
    """Whether the process runs."""

    def get(self) -> None:
        """Answer at once."""
        self.reply({"live": True})


class ReadyHandler(JsonHandler):
    """Whether this entry host takes requests."""

    def get(self) -> None:
        """Answer 200 or 503 with the reason."""
        readiness = self.operators.readiness
        status = 200 if readiness.ready else 503
        self.reply({"ready": readiness.ready, "why_not_ready": readiness.reason}, status)


class MetricsHandler(JsonHandler):
    """The metrics, for a scrape."""

    def get(self) -> None:
        """Answer in the Prometheus text format."""
        self.set_header("Content-Type", metrics.CONTENT_TYPE)
        self.finish(metrics.render())


class StatusHandler(JsonHandler):
    """This entry host and the members it knows."""

    def get(self) -> None:
        """Answer with the status."""
        self.reply(status(self.operators))


class DeclarationsHandler(JsonHandler):
    """The declarations in force, with their versions."""

    def get(self) -> None:
        """Answer with all declarations."""
        state = self.log.state
        items = {
            key: {"version": declaration.version, "value": declaration.value}
            for key, declaration in state.declarations_by_key.items()
        }
        self.reply({"offset": state.offset, "items": items})


class ItemsHandler(JsonHandler):
    """The folded state by collection."""

    def get(self, collection: str, name: str = "") -> None:
        """Answer with a collection, or one item of it."""
        self.reply(items_body(self.log.state, collection, name))


class TimelineHandler(JsonHandler):
    """The events of this daemon."""

    def get(self) -> None:
        """Answer with the events that match the query."""
        timeline = self.operators.timeline
        since = self._since()
        ids = {
            key: self.get_query_argument(key, "") for key in ("host", "service", "request", "job")
        }
        events = timeline.events(since=since, **ids)
        wall = timeline.clock.wall()
        self.reply({"host": timeline.member, "wall": wall, "events": [_event(e) for e in events]})

    def _since(self) -> float:
        text = self.get_query_argument("since", "0")
        try:
            since = float(text)
        except ValueError:
            since = math.nan
        if not math.isfinite(since):
            raise MustardgapError(
                code=status_codes.BAD_REQUEST, detail="not a finite number", place="since"
            )
        return since


class ExplainHandler(JsonHandler):
    """Why something is as it is."""

    async def get(self, kind: str, name: str) -> None:
        """Answer with lines of text and what they rest on."""
        if kind == "code":
            self.reply(explain_code(name))
            return
        explainer = self.operators.explainers_by_kind.get(kind)
        answer = explainer(name) if explainer else None
        if inspect.isawaitable(answer):
            answer = await answer
        answer = answer if isinstance(answer, dict) else {"lines": list(answer or ())}
        if not answer["lines"]:
            answer["lines"] = self._events(kind, name)
        self.reply(answer)

    def _events(self, kind: str, name: str) -> list[str]:
        job = self.log.state.jobs_by_id.get(name) if kind == "job" else None
        if job:
            return explain_job(job)
        events = self.operators.timeline.events(since=0.0, **{kind: name})
        if not events:
            raise MustardgapError(
                code=status_codes.NOT_FOUND,
                detail=f"nothing is known of {kind} {name} here",
                place=f"{kind}/{name}",
            )
        return [timeline_pages.line(event, event.member) for event in events]


def status(operators: Any) -> dict[str, Any]:
    """What ``/v1/status`` answers."""
    settings, readiness = operators.settings, operators.readiness
    return {
        "host": settings.host,
        "data_center": settings.data_center,
        "incarnation": operators.members.me.incarnation,
        "version": __version__,
        "rules": RULES_VERSION,
        "ready": readiness.ready,
        "why_not_ready": readiness.reason,
        "offset": operators.log.offset,
        "fresh_s": _finite(operators.log.seconds_since_confirmed()),
        "uptime_s": operators.timeline.clock.monotonic() - operators.started,
        "services": operators.services_view(),
        "listed": sorted(operators.members.listed_hosts),
        "members": [_member(member) for member in operators.members.by_id.values()],
    }


def _finite(seconds: float) -> float | None:
    return seconds if math.isfinite(seconds) else None


def items_body(state: State, collection: str, name: str = "") -> dict[str, Any]:
    """A collection of the folded state, or one item of it, as it is answered."""
    items = collection_items(state, collection)
    if name:
        items = {name: find(items, collection, name)}
    return {"offset": state.offset, "items": items}


def collection_items(state: State, collection: str) -> dict[str, Any]:
    """One collection of the folded state by name."""
    if collection == "hosts":
        return dict(state.hosts_by_name)
    if collection == "jobs":
        return dict(state.jobs_by_id)
    if collection == "waves":
        return dict(state.waves_by_name)
    prefix = f"{KINDS_BY_COLLECTION[collection]}/"
    return {
        key.removeprefix(prefix): {**declaration.value, "version": declaration.version}
        for key, declaration in state.declarations_by_key.items()
        if key.startswith(prefix)
    }


def find(items: dict[str, Any], collection: str, name: str) -> Any:
    """One item.

    :raises MustardgapError: the code for what isn't there.
    """
    codes = {
        "hosts": status_codes.UNKNOWN_HOST,
        "jobs": status_codes.JOB_UNKNOWN,
        "waves": status_codes.WAVE_UNKNOWN,
    }
    if name not in items:
        code = codes.get(collection, status_codes.NOT_FOUND)
        raise MustardgapError(code=code, place=f"{collection}/{name}")
    return items[name]


def _event(event: Event) -> dict[str, Any]:
    return event._asdict()


def _member(member: Member) -> dict[str, Any]:
    return {
        "host": member.host,
        "state": member.state.name,
        "address": member.peers_address,
        "operators": member.operators_address,
        "offset": member.offset,
        "incarnation": member.incarnation,
        "data_center": member.data_center,
    }
