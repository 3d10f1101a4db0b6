"""Commands that only look."""

import re
import sys
import time
from datetime import datetime
from pathlib import Path
from typing import Any

import click

from . import day_reports, job_explanations, job_histories, status_codes, timeline_pages
from .clients import Client
from .command_options import cli, emit, options, run
from .exceptions import MustardgapError
from .explanations import explain_code
from .outputs import print_json, print_lines, print_table

_SPAN = re.compile(r"^(\d+(?:\.\d+)?)(s|m|h|d)$")
_SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86_400}


@cli.command()
def status() -> None:
    """Show the entry hosts and how current each one is.

    \b
    Example: mustardgap status
    """
    answer = run(lambda client: client.status())

    def show() -> None:
        ready = "ready" if answer["ready"] else f"not ready ({answer['why_not_ready']})"
        click.echo(
            f"{answer['host']} is {ready}, offset {answer['offset']}, "
            f"{_current(answer['fresh_s'])}, up {answer['uptime_s']:.0f} s, "
            f"version {answer['version']}, rules {answer['rules']}"
        )
        columns = ["host", "state", "data center", "operators", "offset"]
        keys = ["host", "state", "data_center", "operators", "offset"]
        members = sorted(answer["members"], key=lambda member: member["host"])
        print_table(columns, [[member[key] for key in keys] for member in members])
        if answer["services"]:
            _show_services(answer["services"])

    emit(answer, show)


@cli.command()
@click.option("--pool", default=None, help='Only hosts of this pool ("" is the spare pool).')
@click.option("--phase", default="", help="Only hosts in this phase, such as draining.")
@click.option("--rack", default="", help="Only hosts of this rack.")
def hosts(pool: str | None, phase: str, rack: str) -> None:
    """List the hosts with pool and phase.

    \b
    Examples:
      mustardgap hosts --phase draining
      mustardgap hosts --pool deposits
    """
    answer = run(lambda client: client.items("hosts"))
    answer["items"] = {
        name: host
        for name, host in answer["items"].items()
        if (pool is None or host["pool"] == pool)
        and (not phase or host["phase"] == phase)
        and (not rack or host["facts"]["rack"] == rack)
    }
    columns = ["host", "pool", "phase", "rack", "data center", "epoch", "reason"]
    rows = [
        (
            name,
            host["pool"] or "(spare)",
            host["phase"],
            host["facts"]["rack"],
            host["facts"]["data_center"],
            host["epoch"],
            host["reason"],
        )
        for name, host in sorted(answer["items"].items())
    ]
    emit(answer, lambda: print_table(columns, rows))


@cli.command()
def pools() -> None:
    """List the pools with their hosts in service.

    \b
    Example: mustardgap pools
    """

    async def call(client: Client) -> dict[str, Any]:
        answer = await client.items("pools")
        found = (await client.items("hosts"))["items"].values()
        for name, pool in answer["items"].items():
            phases = [host["phase"] for host in found if host["pool"] == name]
            pool["hosts"] = len(phases)
            pool["in_service"] = phases.count("in_service")
        return answer

    answer = run(call)
    columns = ["pool", "service", "in service", "hosts", "min", "max", "version"]
    rows = [
        (
            name,
            pool["service"] or "(jobs)",
            pool["in_service"],
            pool["hosts"],
            pool["min_hosts"],
            pool["max_hosts"],
            pool["version"],
        )
        for name, pool in sorted(answer["items"].items())
    ]
    emit(answer, lambda: print_table(columns, rows))


@cli.command()
def services() -> None:
    """List the services with their profiles.

    \b
    Example: mustardgap services
    """
    answer = run(lambda client: client.items("services"))
    rows = [
        (name, item["profile"], item["team"], item["path"], item["version"])
        for name, item in sorted(answer["items"].items())
    ]
    columns = ["service", "profile", "team", "path", "version"]
    emit(answer, lambda: print_table(columns, rows))


@cli.command()
def profiles() -> None:
    """List the profiles that services choose from.

    \b
    Example: mustardgap profiles
    """
    answer = run(lambda client: client.items("profiles"))
    rows = [
        (
            name,
            item["urgency"],
            item["room"]["max_hosts"],
            item["availability"]["min_hosts"],
            item["availability"]["survive"],
            ",".join(item["disruption"]["steps"]),
            item["version"],
        )
        for name, item in sorted(answer["items"].items())
    ]
    columns = ["profile", "urgency", "max hosts", "min hosts", "survive", "steps", "version"]
    emit(answer, lambda: print_table(columns, rows))


@cli.command()
@click.argument(
    "kind",
    type=click.Choice(["host", "pool", "service", "job", "account", "request", "code"]),
)
@click.argument("name")
@click.option(
    "--logs",
    multiple=True,
    type=click.Path(path_type=Path),
    help="For a job or a client account: logs of the daemons, instead of asking them.",
)
def explain(kind: str, name: str, logs: tuple[Path, ...]) -> None:
    """Say why something is as it is, or what a result code means.

    \b
    Examples:
      mustardgap explain host w17
      mustardgap explain pool deposits
      mustardgap explain code MG3002
      mustardgap explain job 5c0e7a21d94b36f8 --logs e1.log --logs e2.log
      mustardgap explain account joiners --logs e1.log --logs e2.log
    """
    if kind == "code":
        answer = explain_code(name)
    elif kind == "job" and logs:
        answer = {"lines": job_explanations.explain_job(job_histories.read(logs), name)}
    elif kind == "account":
        if not logs:
            raise click.UsageError("an account is explained from the daemons' logs: give --logs")
        answer = {"lines": job_explanations.explain_account(job_histories.read(logs), name)}
    else:
        answer = run(lambda client: _explain(client, kind, name))
    emit(answer, lambda: print_lines(answer["lines"]))


@cli.command()
@click.option(
    "--logs",
    multiple=True,
    required=True,
    type=click.Path(path_type=Path),
    help="Logs of the daemons.",
)
@click.option(
    "--out", required=True, type=click.Path(path_type=Path, dir_okay=False), help="The page."
)
def report(logs: tuple[Path, ...], out: Path) -> None:
    """Draw a day on the users' platform from the daemons' logs, as one page.

    It shows who owned each shard, jobs, answers, runs, executors and waits, and lists what was lost
    and regained. It needs matplotlib: pip install "mustardgap[report]".

    \b
    Example: mustardgap report --logs e1.log --logs e2.log --out day.html
    """
    lines = job_histories.read(logs)
    if not lines:
        raise click.UsageError("the logs hold no structured lines")
    summary = day_reports.make(lines)
    try:
        plots = day_reports.plot(summary)
    except ImportError as exc:
        raise click.ClickException(f'{exc}; try pip install "mustardgap[report]"') from None
    try:
        out.write_text(day_reports.page(summary, plots), encoding="utf-8")
    except OSError as exc:
        raise click.FileError(str(out), exc.strerror) from None
    answer = {"page": str(out), "lines": len(lines), "daemons": len(summary.hosts)}
    emit(answer, lambda: click.echo(f"{len(lines)} lines of {len(summary.hosts)} daemons: {out}"))


@cli.command()
@click.option("--since", default="1h", show_default=True, help="30s, 10m, 2h, 1d, or a time.")
@click.option("--service", default="", help="Only events of this service.")
@click.option("--host", default="", help="Only events of this host.")
@click.option("--request", default="", help="Only events of this request id.")
@click.option("--job", default="", help="Only events of this job.")
@click.option(
    "--output",
    "output",
    type=click.Choice(["text", "json", "html"]),
    default=None,
    help="html is one page that needs nothing else.",
)
def timeline(
    since: str, service: str, host: str, request: str, job: str, output: str | None
) -> None:
    """Show the events of all entry hosts in one causal order.

    \b
    Examples:
      mustardgap timeline --since 10m --service deposits
      mustardgap timeline --since 2026-12-02T14:00 --output html > timeline.html
    """
    wanted = {"service": service, "host": host, "request": request, "job": job}
    start = _since(since)
    merged = run(lambda client: client.timeline(since=start, **wanted))
    output = output or options().output
    if output == "html":
        click.echo(timeline_pages.html(merged))
    elif output == "json":
        print_json(timeline_pages.as_json(merged))
    else:
        print_lines(timeline_pages.lines(merged))
    for entry in merged.missing:
        click.echo(f"no answer from {entry}: its events are missing", err=True)


async def _explain(client: Client, kind: str, name: str) -> dict[str, Any]:
    if kind != "request":
        return await client.explain(kind, name)
    # A request is known to the entry host it came to, which needn't be the one that answers us.
    merged = await client.timeline(request=name)
    if not merged.events:
        raise MustardgapError(
            code=status_codes.NOT_FOUND,
            detail=f"no entry host in reach knows of request {name}",
            place=f"request/{name}",
        )
    return {"lines": timeline_pages.lines(merged), **timeline_pages.as_json(merged)}


def _current(fresh_s: float | None) -> str:
    return "never current" if fresh_s is None else f"current {fresh_s:.1f} s ago"


def _since(text: str) -> float:
    match = _SPAN.match(text)
    if match:
        return max(0.0, time.time() - float(match[1]) * _SECONDS_BY_UNIT[match[2]])
    try:
        return datetime.fromisoformat(text).timestamp()
    except (ValueError, OverflowError, OSError):
        raise MustardgapError(
            code=status_codes.USAGE,
            detail=f"{text!r} is neither a span such as 10m nor a time such as 2026-12-02T14:00",
            place="--since",
        ) from None


def _show_services(views: dict[str, Any]) -> None:
    columns = sorted({column for view in views.values() for column in view})
    rows = [[name, *(view.get(column) for column in columns)] for name, view in views.items()]
    print_table(["service", *columns], rows)
    sys.stdout.flush()
