"""The story of one job over all daemons, from their structured log lines."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from . import status_codes
from .exceptions import SettingsError

# Fields that are told otherwise.
_TOLD = frozenset({"time", "host", "event"})
# What happens to a whole shard explains the gaps in the stories of its jobs.
_SHARD_EVENTS = ("shard.", "store.", "group.", "daemon.")


class Line(NamedTuple):
    """One structured line."""

    time: float
    host: str
    event: str
    fields: dict[str, Any]


def read(paths: Iterable[Path]) -> list[Line]:
    """Read the structured lines of some logs; other text before or between them is passed over.

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
        lines.extend(_parsed(text))
    return sorted(lines, key=lambda line: line.time)


def story(lines: Iterable[Line], job: str) -> list[str]:
    """Tell what happened to a job, in order, with what befell its shard meanwhile.

    :param lines: the lines of all daemons, by time.
    :param job: the job's id.
    """
    ordered = list(lines)
    own = [line for line in ordered if line.fields.get("job") == job]
    if not own:
        return [f"no line names job {job}"]
    first, last = own[0].time, own[-1].time
    shards = {line.fields["shard"] for line in own if "shard" in line.fields}
    hosts = {line.host for line in own}
    told = [
        line
        for line in ordered
        if first <= line.time <= last and (line in own or _befell(line, shards, hosts))
    ]
    return [_told(line, first) for line in told]


def _befell(line: Line, shards: set[int], hosts: set[str]) -> bool:
    if not line.event.startswith(_SHARD_EVENTS):
        return False
    return line.fields.get("shard") in shards or (
        "shard" not in line.fields and line.host in hosts and line.event != "group.generation"
    )


def _told(line: Line, first: float) -> str:
    fields = " ".join(
        f"{key}={_short(value)}" for key, value in line.fields.items() if key != "job"
    )
    return f"{line.time - first:8.3f} s  {line.host}  {line.event}  {fields}".rstrip()


def _short(value: Any) -> str:
    if isinstance(value, list):
        return ".".join(str(part) for part in value)
    return str(value)


def _parsed(text: str) -> Iterator[Line]:
    for raw in text.splitlines():
        place = raw.find('{"time":')
        if place < 0:
            continue
        try:
            row = msgspec.json.decode(raw[place:])
        except msgspec.DecodeError:
            # The last line of a process that was killed may be cut.
            continue
        fields = {key: value for key, value in row.items() if key not in _TOLD}
        yield Line(row["time"], row.get("host", ""), row.get("event", ""), fields)
