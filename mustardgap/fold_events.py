"""Timeline events for the decisions of the fold."""

from collections.abc import Iterator
from typing import Any

from .models import LogRecord
from .outcomes import Accepted, Verdict
from .streams import Log
from .timelines import Timeline


class FoldEvents:
    """Adds the decisions of the fold to this daemon's timeline.

    :param log: the state stream.
    :param timeline: the timeline to add to.
    """

    def __init__(self, *, log: Log, timeline: Timeline) -> None:
        self.log = log
        self.timeline = timeline
        log.on_fold(self.add_events)

    def add_events(self, record: LogRecord, verdict: Verdict) -> None:
        """Add events for a record's verdict."""
        kind, body = record.value.get("kind"), record.value.get("body")
        if not isinstance(kind, str) or not isinstance(body, dict):
            return
        if not isinstance(verdict, Accepted):
            cause = f"{verdict.code} {verdict.code.name}"
            self.timeline.add(f"{kind}.rejected", offset=record.offset, cause=cause, **_ids(body))
            return
        for event, ids in self._events_of_accepted(kind, body):
            cause = str(body.get("reason", ""))
            self.timeline.add(event, offset=record.offset, cause=cause, **ids)

    def _events_of_accepted(
        self, kind: str, body: dict[str, Any]
    ) -> Iterator[tuple[str, dict[str, str]]]:
        if kind == "config":
            for change in body["changes"]:
                step = "removed" if change["value"] is None else "changed"
                yield f"config.{step}", _key_ids(change["key"])
        elif kind == "host":
            yield f"host.{body['phase']}", {**_ids(body), **self._service_ids(body["pool"])}
        elif kind in ("job", "wave", "entry"):
            yield f"{kind}.{body['step']}", _ids(body)

    def _service_ids(self, pool: str) -> dict[str, str]:
        value = self.log.state.value("pool", pool)
        return {"service": value["service"]} if value and value["service"] else {}


def _ids(body: dict[str, Any]) -> dict[str, str]:
    names = {"host": "host", "job": "job", "wave": "wave", "pool": "pool", "worker": "host"}
    return {name: str(body[key]) for key, name in names.items() if body.get(key)}


def _key_ids(key: str) -> dict[str, str]:
    kind, _, name = key.partition("/")
    return {"key": key, kind: name}
