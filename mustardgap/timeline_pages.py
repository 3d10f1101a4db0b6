"""The merged time line as text, as JSON and as one page that needs nothing else."""

from collections.abc import Sequence
from datetime import UTC, datetime
from html import escape
from typing import TYPE_CHECKING, Any, NamedTuple

from .timelines import Event

if TYPE_CHECKING:
    from .clients import MergedTimeline

LANE_PX = 110
ROW_PX = 22
LEFT_PX = 40
COLOURS = ("#1b6ca8", "#b5542b", "#3c7d3e", "#7a4fa3", "#9a7b12", "#b03060", "#2f7f86", "#555555")

_PAGE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>mustardgap time line</title>
<meta http-equiv="Content-Security-Policy"
 content="default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'">
<style>
body {{ font: 14px/22px system-ui, sans-serif; margin: 1em; color: #222; background: #fff; }}
input {{ font: inherit; width: 24em; margin: .5em 0; }}
table {{ border-collapse: collapse; }}
th {{ text-align: left; position: sticky; top: 0; background: #fff; }}
td, th {{ padding: 0 .8em 0 0; height: {row}px; white-space: nowrap; }}
tr:hover {{ background: #f3f3e8; }}
td:first-child {{ padding: 0; }}
.ids {{ color: #555; }}
</style></head><body>
<h1>Time line</h1>
<p>{summary}</p>
<input id="filter" placeholder="Filter by any text" aria-label="Filter by any text">
<table><thead><tr><th>{hosts}</th><th>Time (UTC)</th><th>Host</th><th>Event</th><th>Offset</th>
<th>Concerns</th><th>Cause</th></tr></thead>
<tbody>
{rows}
</tbody></table>
<script>
document.getElementById("filter").addEventListener("input", function (change) {{
  const wanted = change.target.value.toLowerCase();
  for (const row of document.querySelectorAll("tbody tr")) {{
    row.hidden = !row.textContent.toLowerCase().includes(wanted);
  }}
}});
</script></body></html>"""


class Row(NamedTuple):
    """An event and the other hosts that noted the same decision of the log."""

    event: Event
    others: list[str]


def lines(merged: "MergedTimeline") -> list[str]:
    """The events as lines of text, in causal order; what all hosts folded alike is one line."""
    rows = _rows(merged.events)
    names = [_names(row) for row in rows]
    width = max(map(len, names), default=0)
    return [line(row.event, name.ljust(width)) for row, name in zip(rows, names, strict=True)]


def as_json(merged: "MergedTimeline") -> dict[str, Any]:
    """The events as a JSON object."""
    events = [{**event._asdict(), "time": _time(event.wall)} for event in merged.events]
    return {"hosts": merged.hosts, "missing": merged.missing, "events": events}


def html(merged: "MergedTimeline") -> str:
    """The events as one page: a lane for each host beside the list, in causal order."""
    lanes = {host: index for index, host in enumerate(merged.hosts)}
    rows = [_row(row, lanes) for row in _rows(merged.events)]
    missing = f"; no answer from {', '.join(merged.missing)}" if merged.missing else ""
    summary = f"{len(merged.events)} events of {len(lanes)} entry hosts in causal order{missing}"
    return _PAGE.format(
        row=ROW_PX, summary=escape(summary), hosts=_lane_names(merged.hosts), rows="\n".join(rows)
    )


def _rows(events: Sequence[Event]) -> list[Row]:
    rows: list[Row] = []
    rows_by_decision: dict[tuple[object, ...], Row] = {}
    for event in events:
        decision = (event.kind, event.offset, event.cause, *sorted(event.ids.items()))
        found = rows_by_decision.get(decision)
        if event.offset >= 0 and found and event.member != found.event.member:
            found.others.append(event.member)
            continue
        rows.append(Row(event, []))
        rows_by_decision[decision] = rows[-1]
    return rows


def _names(row: Row) -> str:
    return f"{row.event.member}+{len(row.others)}" if row.others else row.event.member


def line(event: Event, name: str = "") -> str:
    """One event as a line of text, with ``name`` for where it was noted."""
    offset = f"@{event.offset}" if event.offset >= 0 else ""
    parts = [_time(event.wall), name, event.kind, offset, _ids(event)]
    if event.cause:
        parts.append(f"({event.cause})")
    return " ".join(" ".join(part for part in parts if part).splitlines())


def _row(row: Row, lanes: dict[str, int]) -> str:
    event = row.event
    offset = str(event.offset) if event.offset >= 0 else ""
    texts = [_time(event.wall), ", ".join([event.member, *row.others]), event.kind, offset]
    cells = "".join(f"<td>{escape(text)}</td>" for text in texts)
    dots = _dots([lanes.get(name, 0) for name in (event.member, *row.others)], len(lanes))
    return (
        f"<tr><td>{dots}</td>{cells}"
        f'<td class="ids">{escape(_ids(event))}</td><td>{escape(event.cause)}</td></tr>'
    )


def _dots(marked: list[int], count: int) -> str:
    middle = ROW_PX // 2
    marks = [
        f'<line x1="{x}" y1="0" x2="{x}" y2="{ROW_PX}" stroke="#ddd"/>'
        for x in (_x(index) for index in range(count))
    ]
    for lane in marked:
        colour = COLOURS[lane % len(COLOURS)]
        radius = 5 if lane == marked[0] else 3
        marks.append(f'<circle cx="{_x(lane)}" cy="{middle}" r="{radius}" fill="{colour}"/>')
    return f'<svg width="{_width(count)}" height="{ROW_PX}">{"".join(marks)}</svg>'


def _lane_names(hosts: Sequence[str]) -> str:
    names = [
        f'<text x="{_x(i)}" y="16" text-anchor="middle" font-size="12" '
        f'fill="{COLOURS[i % len(COLOURS)]}">{escape(host[:16])}</text>'
        for i, host in enumerate(hosts)
    ]
    return f'<svg width="{_width(len(hosts))}" height="{ROW_PX}">{"".join(names)}</svg>'


def _x(lane: int) -> int:
    return LEFT_PX + lane * LANE_PX


def _width(count: int) -> int:
    return 2 * LEFT_PX + max(0, count - 1) * LANE_PX


def _ids(event: Event) -> str:
    return " ".join(f"{key}={value}" for key, value in event.ids.items())


def _time(wall: float) -> str:
    return datetime.fromtimestamp(wall, UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3]
