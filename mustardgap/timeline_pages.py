"""The merged time line as text, as JSON and as one page that needs nothing else."""

from collections.abc import Sequence
from datetime import UTC, datetime
from html import escape
from typing import TYPE_CHECKING, Any

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


def lines(merged: "MergedTimeline") -> list[str]:
    """The events as lines of text, in causal order."""
    width = max((len(event.member) for event in merged.events), default=0)
    return [_line(event, width) for event in merged.events]


def as_json(merged: "MergedTimeline") -> dict[str, Any]:
    """The events as a JSON object."""
    events = [{**event._asdict(), "time": _time(event.wall)} for event in merged.events]
    return {"hosts": merged.hosts, "missing": merged.missing, "events": events}


def html(merged: "MergedTimeline") -> str:
    """The events as one page: a lane for each host beside the list, in causal order."""
    lanes = {host: index for index, host in enumerate(merged.hosts)}
    rows = [_row(event, lanes) for event in merged.events]
    missing = f"; no answer from {', '.join(merged.missing)}" if merged.missing else ""
    summary = f"{len(rows)} events of {len(lanes)} entry hosts in causal order{missing}"
    return _PAGE.format(
        row=ROW_PX, summary=escape(summary), hosts=_lane_names(merged.hosts), rows="\n".join(rows)
    )


def _line(event: Event, width: int) -> str:
    offset = f"@{event.offset}" if event.offset >= 0 else ""
    parts = [_time(event.wall), event.member.ljust(width), event.kind, offset, _ids(event)]
    if event.cause:
        parts.append(f"({event.cause})")
    return " ".join(" ".join(part for part in parts if part).splitlines())


def _row(event: Event, lanes: dict[str, int]) -> str:
    offset = str(event.offset) if event.offset >= 0 else ""
    texts = [_time(event.wall), event.member, event.kind, offset]
    cells = "".join(f"<td>{escape(text)}</td>" for text in texts)
    return (
        f"<tr><td>{_dot(lanes.get(event.member, 0), len(lanes))}</td>{cells}"
        f'<td class="ids">{escape(_ids(event))}</td><td>{escape(event.cause)}</td></tr>'
    )


def _dot(lane: int, count: int) -> str:
    middle = ROW_PX // 2
    marks = [
        f'<line x1="{x}" y1="0" x2="{x}" y2="{ROW_PX}" stroke="#ddd"/>'
        for x in (_x(index) for index in range(count))
    ]
    colour = COLOURS[lane % len(COLOURS)]
    marks.append(f'<circle cx="{_x(lane)}" cy="{middle}" r="5" fill="{colour}"/>')
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
