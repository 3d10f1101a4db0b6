"""The history of one job over all daemons, from their structured log lines."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from . import status_codes
from .codecs import Undecodable, decode_json
from .exceptions import SettingsError

# Keys of a line that have their own field in Line.
_LINE_KEYS = frozenset({"time", "host", "event"})
_LINE_BEGINNING = '{"time":'
# Events of a whole shard explain the gaps in the histories of its jobs.
_SHARD_EVENT_PREFIXES = ("shard.", "store.", "group.", "daemon.")


class Line(NamedTuple):
    """One structured log line."""

    time: float
    host: str
    event: str
    fields: dict[str, Any]


def read(paths: Iterable[Path]) -> list[Line]:
    """Read the structured lines of log files, ordered by time; other text is skipped.

    :raises SettingsError: MG2000, a file can't be read.
    """
    lines: list[Line] = []
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as exc:
            raise SettingsError(
                code=status_codes.SETTINGS_UNREADABLE, detail=str(exc), place=str(path)
            ) from None
        lines.extend(_parse(text))
    return sorted(lines, key=lambda line: line.time)


def history(lines: Iterable[Line], job: str) -> list[str]:
    """Format the events of a job, in order, with those of its shards meanwhile.

    :param lines: the lines of all daemons, ordered by time.
    :param job: the job's id.
    :return: one text for each event.
    """
    ordered = list(lines)
    own = [line for line in ordered if line.fields.get("job") == job]
    if not own:
        return [f"no log line mentions job {job}"]
    first, last = own[0].time, own[-1].time
    shards = {line.fields["shard"] for line in own if "shard" in line.fields}
    hosts = {line.host for line in own}
    selected = [
        line
        for line in ordered
        if first <= line.time <= last and (line in own or _concerns_shard(line, shards, hosts))
    ]
    return [_format_line(line, first) for line in selected]


def _concerns_shard(line: Line, shards: set[int], hosts: set[str]) -> bool:
    if not line.event.startswith(_SHARD_EVENT_PREFIXES):
        return False
    return line.fields.get("shard") in shards or (
        "shard" not in line.fields and line.host in hosts and line.event != "group.generation"
    )


def _format_line(line: Line, first: float) -> str:
    fields = " ".join(
        f"{key}={_format_value(value)}" for key, value in line.fields.items() if key != "job"
    )
    return f"{line.time - first:8.3f} s  {line.host}  {line.event}  {fields}".rstrip()


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ".".join(str(part) for part in value)
    return str(value)


def _parse(text: str) -> Iterator[Line]:
    for raw in text.splitlines():
        row = _decode(raw)
        if row is None:
            continue
        fields = {key: value for key, value in row.items() if key not in _LINE_KEYS}
        yield Line(row["time"], row.get("host", ""), row.get("event", ""), fields)


def _decode(raw: str) -> dict[str, Any] | None:
    """Decode a structured line, None if it isn't one or is truncated.

    The last line of a process that was killed may be truncated, and the first one of its successor
    follows on the same line. Within a text of a line, the beginning of a line has escaped quotes.
    """
    for start in (raw.find(_LINE_BEGINNING), raw.rfind(_LINE_BEGINNING)):
        if start < 0:
            return None
        try:
            row: dict[str, Any] = decode_json(raw[start:], dict[str, Any])
        except Undecodable:
            continue
        if isinstance(row.get("time"), int | float):
            return row
    return None
