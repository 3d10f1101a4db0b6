"""Commands that check, compare and publish declarations."""

from pathlib import Path
from typing import Any

import click

from . import declarations, settings, status_codes
from .api import current
from .clients import Client, MemberOffset, ProblemError
from .command_options import SecondsType, cli, emit, options, run
from .models import Change, Declaration
from .outputs import Progress


@cli.command()
@click.argument("folder", metavar="DIR", type=click.Path())
@click.option("--dry-run", is_flag=True, help="Only say what would change, and be checked.")
@click.option("--ask", is_flag=True, help="Show what would change, and ask before publishing it.")
@click.option("--wait", is_flag=True, help="End when it is in force on every live entry host.")
@click.option(
    "--timeout",
    type=SecondsType(0.1, 86_400),
    default=60.0,
    show_default=True,
    help="Seconds to wait at most.",
)
def apply(folder: str, dry_run: bool, ask: bool, wait: bool, timeout: float) -> None:
    """Publish the declarations in DIR.

    What isn't in DIR any more is removed. Each change names the version it was made on, so that of
    two operators who race one wins and the other is told what changed.

    \b
    Examples:
      mustardgap apply config/ --dry-run
      mustardgap apply config/ --ask
      mustardgap apply config/ --wait --timeout 30
    """
    wanted = declarations.read_dir(folder)

    async def call(client: Client) -> dict[str, Any]:
        in_force = await current(client)
        changes = declarations.diff(in_force, wanted)
        lines = _lines(in_force, changes)
        result: dict[str, Any] = {"changes": changes, "lines": lines, "dry_run": dry_run}
        if not changes:
            return {**result, "verdict": "unchanged"}
        if ask and not _agrees(lines):
            return {**result, "verdict": "declined"}
        try:
            result.update(await client.apply(changes, dry_run=dry_run))
        except ProblemError as exc:
            if exc.code is status_codes.STALE_BASE:
                await _show_race(client, in_force, exc)
            raise
        if wait and not dry_run:
            result["waited_s"] = await _wait(client, result["offset"], timeout)
        return result

    result = run(call)
    emit(result, lambda: _show(result))


@cli.command()
@click.argument("folder", metavar="DIR", type=click.Path())
@click.option("--exit-code", is_flag=True, help="Exit with 1 when there are differences.")
def diff(folder: str, exit_code: bool) -> None:
    """Show what apply would change.

    \b
    Example: mustardgap diff config/
    """
    wanted = declarations.read_dir(folder)
    in_force = run(current)
    changes = declarations.diff(in_force, wanted)
    lines = _lines(in_force, changes)
    emit({"changes": changes, "lines": lines}, lambda: _show_lines(lines))
    if changes and exit_code:
        click.get_current_context().exit(1)


@cli.group()
def config() -> None:
    """Look at files without an entry host."""


@config.command()
@click.argument("path", metavar="FILE|DIR", type=click.Path())
def check(path: str) -> None:
    """Check a daemon's settings (FILE) or declarations (DIR).

    \b
    Examples:
      mustardgap config check /etc/mustardgap/settings.json5
      mustardgap config check config/
    """
    if Path(path).is_dir():
        count = len(declarations.read_dir(path))
        text = f"{path}: {count} declarations are valid"
    else:
        settings.load(path)
        text = f"{path}: the settings are valid"
    emit({"path": path, "valid": True}, lambda: click.echo(text))


def _agrees(lines: list[str]) -> bool:
    # To the error stream: what a script reads from the output stays one document.
    for line in lines:
        click.echo(line, err=True)
    return click.confirm("publish these changes?", err=True)


async def _wait(client: Client, offset: int, timeout_s: float) -> float:
    progress = Progress(quiet=options().json)

    def show(offsets: list[MemberOffset]) -> None:
        done = sum(member.offset > offset for member in offsets)
        progress.show(f"in force on {done} of {len(offsets)} entry hosts")

    try:
        return await client.wait_in_force(offset, timeout_s=timeout_s, progress=show)
    finally:
        progress.end()


async def _show_race(client: Client, before: dict[str, Declaration], problem: ProblemError) -> None:
    now = await current(client)
    changed = [
        Change(key=key, base=-1, value=now[key].value if key in now else None)
        for key in problem.body.get("changed", [])
    ]
    click.echo("changed by someone else since:", err=True)
    for line in _lines(before, changed):
        click.echo(line, err=True)


def _show(result: dict[str, Any]) -> None:
    if result["verdict"] == "declined":
        click.echo("nothing was published")
        return
    _show_lines(result["lines"])
    if not result["changes"]:
        return
    if result["dry_run"]:
        click.echo("would be accepted")
        return
    click.echo(f"accepted at offset {result['offset']}")
    if "waited_s" in result:
        click.echo(f"in force everywhere after {result['waited_s']:.1f} s")


def _show_lines(lines: list[str]) -> None:
    for line in lines or ["no changes"]:
        click.echo(line)


def _lines(in_force: dict[str, Declaration], changes: list[Change]) -> list[str]:
    lines = []
    for change in changes:
        key, value = change["key"], change["value"]
        before = in_force[key].value if key in in_force else None
        if value is None:
            lines.append(f"- {key}")
        elif before is None:
            lines.append(f"+ {key}")
        else:
            lines.append(f"~ {key}")
            lines += _fields("", before, value)
    return lines


def _fields(prefix: str, before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    lines = []
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if old == new:
            continue
        if isinstance(old, dict) and isinstance(new, dict):
            lines += _fields(f"{prefix}{name}.", old, new)
        else:
            lines.append(f"    {prefix}{name}: {_text(old)} -> {_text(new)}")
    return lines


def _text(value: Any) -> str:
    return "(none)" if value is None else str(value)
