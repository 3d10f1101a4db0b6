"""One page that shows a day on the users' platform, from the daemons' structured lines."""

import html
import io
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from . import account_costs
from .account_costs import Cost, RefusalCount
from .day_outcomes import IN_TIME, WINDOW_S, Window, uses_by_pool, worst_windows
from .job_facts import Verdict, collect
from .job_histories import Line
from .placing import LATE_FACTOR
from .pool_uses import PoolUse
from .wait_causes import Cause, WaitIndex

# Lines are counted in steps of this many seconds.
STEP_S = 1.0
WIDTH_INCHES, PANEL_INCHES = 12.0, 2.2
# A page of a long day names at most this many lost and regained dependencies.
MAX_ROWS = 200

_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>mustardgap: a day</title><style>
body {{ font-family: sans-serif; margin: 2em; }}
td, th {{ padding: 0.1em 0.8em; text-align: left; }}
svg {{ max-width: 100%; height: auto; }}
</style></head><body><h1>A day of {hosts} daemons, {span:.0f} s</h1>
<p>The daemons wrote {lines} lines and left {left_out} out, to bound their rate. Where they left
some out, counts and curves are too low; numbers of runs, which rise by one each, tell more.</p>
{plots}
<h2>Where most callers weren't served in time</h2>
<p>Windows of {window:g} s by when jobs were handed in, the worst first.</p>{worst}
<h2>How the jobs of each client account ended</h2>
<p>Jobs that were refused and accepted later count by their end. "Of no use any more" is an end
after {late_factor:g} times the objective.</p>{accounts}
<h2>The same by queue</h2>{account_queues}
<h2>The same by window of {window:g} s, the most jobs not in time first</h2>{account_windows}
<h2>Who waited for a first start, and for what</h2>{waits}
<h2>Who was refused, and why</h2>
<p>Each refusal counts. Callers that came back after a refusal with a return time: how many, and on
average what they were told and when they did.</p>{refusals}
<h2>Tasks under which executors crashed</h2>
<p>How each task's runs stood, the last one first; the most crashes first.</p>{crashes}
<h2>What the pools' machines were for, in machine-seconds</h2>{uses}
<h2>Lines left out, by class</h2>{left_out_by_class}
<h2>Counts</h2>{counts}
<h2>Shards gained and lost</h2>{shards}
<h2>Dependencies lost and regained, failures</h2>{trouble}
</body></html>
"""


class Ownership(NamedTuple):
    """A span in which one daemon owned a shard; times in seconds since the first line."""

    shard: int
    host: str
    epoch: int
    since: float
    until: float


class Report(NamedTuple):
    """What a page shows; ``series`` are counts by step, by what is counted, by panel."""

    start: float
    span_s: float
    hosts: list[str]
    ownerships: list[Ownership]
    series_by_panel: dict[str, dict[str, list[int]]]
    waits_s: list[tuple[float, float]]
    counts: Counter[tuple[str, str]]
    left_out: int
    trouble: list[Line]
    worst: list[Window]
    uses_by_pool: dict[str, PoolUse]
    crashes_by_task: dict[str, list[str]]
    left_out_by_class: Counter[str]
    costs_by_account: list[Cost]
    costs_by_queue: list[Cost]
    costs_by_window: list[Cost]
    waits: Counter[tuple[str, str, Cause]]
    refusals: list[RefusalCount]


def make(lines: Sequence[Line]) -> Report:
    """Sum a day up.

    :param lines: the lines of all daemons, by time; at least one.
    """
    start, end = lines[0].time, lines[-1].time
    counts: Counter[tuple[str, str]] = Counter()
    steps = int((end - start) / STEP_S) + 1
    series: dict[str, dict[str, list[int]]] = {panel: {} for panel in _PANELS}
    waits = []
    for line in lines:
        kind = _kind(line)
        counts[line.event, kind] += 1
        for panel, label_of in _PANELS.items():
            label = label_of(line.event, kind)
            if label:
                counted = series[panel].setdefault(label, [0] * steps)
                counted[int((line.time - start) / STEP_S)] += 1
        if line.event == "run.start" and "waited_s" in line.fields:
            waits.append((line.time - start, line.fields["waited_s"]))
    jobs_by_id = collect(lines)
    jobs = jobs_by_id.values()
    return Report(
        start=start,
        span_s=end - start,
        hosts=sorted({line.host for line in lines}),
        ownerships=list(_ownerships(lines)),
        series_by_panel=series,
        waits_s=waits,
        counts=counts,
        left_out=sum(line.fields.get("left_out", 0) for line in lines),
        trouble=[line for line in lines if line.event in _TROUBLE][:MAX_ROWS],
        worst=worst_windows(lines),
        uses_by_pool=uses_by_pool(lines),
        crashes_by_task=_crashes_by_task(lines),
        left_out_by_class=_left_out_by_class(lines),
        costs_by_account=account_costs.by_account(jobs),
        costs_by_queue=account_costs.by_queue(jobs),
        costs_by_window=account_costs.by_window(jobs, start),
        waits=account_costs.waits(jobs, WaitIndex(lines=lines, jobs_by_id=jobs_by_id)),
        refusals=account_costs.refusals(jobs),
    )


def page(report: Report, plots: str) -> str:
    """The page, with its plots as SVG."""
    return _PAGE.format(
        hosts=len(report.hosts),
        span=report.span_s,
        plots=plots,
        lines=report.counts.total(),
        left_out=report.left_out,
        window=WINDOW_S,
        worst=_table(
            ("from second", "queue", "jobs", "not in time", "why"),
            [
                (f"{w.since:.0f}", w.queue, w.outcomes.total(), w.missed, _whys(w))
                for w in report.worst
            ],
        ),
        crashes=_table(
            ("task", "crashes", "its runs stood"),
            [
                (task, len(stood), ", ".join(reversed(stood)))
                for task, stood in _worst_first(report.crashes_by_task)
            ],
        ),
        uses=_table(
            ("pool", *(name.replace("_", " ") for name in PoolUse._fields)),
            [
                (pool, *(f"{seconds:.1f}" for seconds in use))
                for pool, use in sorted(report.uses_by_pool.items())
            ],
        ),
        late_factor=LATE_FACTOR,
        accounts=_cost_table(("account",), report.costs_by_account),
        account_queues=_cost_table(("account", "queue"), report.costs_by_queue),
        account_windows=_cost_table(
            ("account", "from second"), [cost for cost in report.costs_by_window if cost.missed]
        ),
        waits=_table(
            ("account", "queue", "waited for", "jobs"),
            [(*key, count) for key, count in report.waits.most_common(account_costs.MAX_ROWS)],
        ),
        refusals=_table(
            ("account", "queue", "code", "why", "refusals", "came back", "told s", "after s"),
            [
                (*refused[:6], f"{refused.promised_s:.1f}", f"{refused.actual_s:.1f}")
                for refused in report.refusals[: account_costs.MAX_ROWS]
            ],
        ),
        left_out_by_class=_table(("class", "lines"), sorted(report.left_out_by_class.items())),
        counts=_table(
            ("event", "kind", "lines"),
            [(event, kind, count) for (event, kind), count in sorted(report.counts.items())],
        ),
        shards=_table(
            ("shard", "daemon", "epoch", "from second", "to second"),
            [
                (o.shard, o.host, o.epoch, f"{o.since:.2f}", f"{o.until:.2f}")
                for o in report.ownerships
            ],
        ),
        trouble=_table(
            ("second", "daemon", "event", "what"),
            [
                (f"{line.time - report.start:.3f}", line.host, line.event, _fields(line))
                for line in report.trouble
            ],
        ),
    )


def plot(report: Report) -> str:
    """The report's plots as one SVG.

    :raises ImportError: matplotlib isn't installed.
    """
    from matplotlib.figure import Figure

    panels = len(_PANELS) + 2
    figure = Figure(figsize=(WIDTH_INCHES, PANEL_INCHES * panels), layout="constrained")
    axes = figure.subplots(panels, 1, sharex=True)
    _plot_owners(axes[0], report)
    for axis, (panel, series) in zip(axes[1:], report.series_by_panel.items(), strict=False):
        axis.set_title(f"{panel}, lines a second", loc="left", fontsize=9)
        for label, counted in sorted(series.items()):
            axis.step(range(len(counted)), counted, where="post", label=label)
        if series:
            axis.legend(fontsize=7, loc="upper right")
    axes[-1].set_title("wait of a task before its start, s", loc="left", fontsize=9)
    axes[-1].scatter(
        [at for at, _ in report.waits_s], [waited for _, waited in report.waits_s], s=2
    )
    axes[-1].set_xlabel("seconds since the first line")
    out = io.StringIO()
    figure.savefig(out, format="svg")
    svg = out.getvalue()
    return svg[svg.index("<svg") :]


def _plot_owners(axis: Any, report: Report) -> None:
    axis.set_title("owner of each shard", loc="left", fontsize=9)
    numbers = {host: number for number, host in enumerate(report.hosts)}
    for owned in report.ownerships:
        colour = f"C{numbers[owned.host] % 10}"
        axis.barh(owned.shard, owned.until - owned.since, left=owned.since, color=colour)
        axis.text(owned.since, owned.shard, f" {owned.host}", fontsize=6, va="center")


def _ownerships(lines: Sequence[Line]) -> Iterable[Ownership]:
    """Spans from a gain to the loss, or to the daemon's last line, which may be its end."""
    start = lines[0].time
    last_by_host = {line.host: line.time for line in lines}
    since: dict[tuple[str, int], Line] = {}
    for line in lines:
        key = (line.host, line.fields.get("shard", -1))
        if line.event == "shard.gained":
            since[key] = line
        elif line.event == "shard.lost" and key in since:
            yield _owned(since.pop(key), line.time, start)
    for (host, _), gained in since.items():
        yield _owned(gained, last_by_host[host], start)


def _crashes_by_task(lines: Iterable[Line]) -> dict[str, list[str]]:
    """How the runs of tasks stood whose executors crashed, but for those that came back."""
    stood_by_run: dict[tuple[str, int], str] = {}
    for line in lines:
        if line.event not in ("run.crashed", "crash.inferred", "crash.retracted"):
            continue
        run = (".".join(str(part) for part in line.fields["task"]), line.fields["run"])
        stood_by_run.pop(run, None)
        if line.event != "crash.retracted" and line.fields.get("counts", True):
            stood_by_run[run] = line.fields["stood"]
    by_task: dict[str, list[str]] = {}
    for (task, _), stood in stood_by_run.items():
        by_task.setdefault(task, []).append(stood)
    return by_task


def _left_out_by_class(lines: Iterable[Line]) -> Counter[str]:
    """Lines left out by class; those that a line of an older daemon only counts have no class."""
    counts: Counter[str] = Counter()
    for line in lines:
        by_class = line.fields.get("left_out_by_class") or {}
        counts.update(by_class)
        unclassified = line.fields.get("left_out", 0) - sum(by_class.values())
        if unclassified > 0:
            counts["(unknown)"] += unclassified
    return counts


def _cost_table(groups: tuple[str, ...], costs: Sequence[Cost]) -> str:
    return _table(
        (*groups, "jobs", *(str(verdict) for verdict in Verdict)),
        [
            (*cost.group, cost.verdicts.total(), *(cost.verdicts[verdict] for verdict in Verdict))
            for cost in costs[: account_costs.MAX_ROWS]
        ],
    )


def _worst_first(crashes_by_task: dict[str, list[str]]) -> list[tuple[str, list[str]]]:
    ordered = sorted(crashes_by_task.items(), key=lambda item: (-len(item[1]), item[0]))
    return ordered[:MAX_ROWS]


def _owned(gained: Line, until: float, start: float) -> Ownership:
    fields = gained.fields
    return Ownership(
        fields["shard"], gained.host, fields.get("epoch", 0), gained.time - start, until - start
    )


def _kind(line: Line) -> str:
    for name in ("code", "how", "phase", "outcome", "why"):
        if name in line.fields:
            return str(line.fields[name])
    return ""


def _jobs(event: str, kind: str) -> str:
    if event == "job.accepted":
        return "accepted"
    return f"ended: {kind.lower()}" if event == "job.ended" else ""


def _answers(event: str, kind: str) -> str:
    return f"{event.removesuffix('.answered')} {kind}" if event.endswith(".answered") else ""


def _runs(event: str, kind: str) -> str:
    if event == "run.end":
        return f"end: {kind.lower()}"
    return event.removeprefix("run.") if event.startswith("run.") else ""


def _fleet(event: str, kind: str) -> str:
    known = ("executor.up", "executor.lost", "executor.gone", "executor.paused", "machine.ordered")
    return event if event in known else ""


_PANELS: dict[str, Callable[[str, str], str]] = {
    "jobs": _jobs,
    "answers to callers": _answers,
    "runs": _runs,
    "executors and machines": _fleet,
}
_TROUBLE = frozenset(
    {
        "daemon.start",
        "daemon.stop",
        "dispatcher.failed",
        "executor.lapsed",
        "operator.lost",
        "operator.regained",
        "shard.fenced",
        "shard.unread",
        "store.lost",
        "store.regained",
    }
)


def _whys(window: Window) -> str:
    return ", ".join(
        f"{count} {outcome}"
        for outcome, count in window.outcomes.most_common()
        if outcome != IN_TIME
    )


def _fields(line: Line) -> str:
    return " ".join(f"{key}={value}" for key, value in line.fields.items())


def _table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    head = "".join(f"<th>{html.escape(column)}</th>" for column in columns)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"
