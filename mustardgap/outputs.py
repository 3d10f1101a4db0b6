"""What the command line prints: tables, JSON, progress and errors."""

import sys
from collections.abc import Sequence
from typing import Any

import click
import msgspec

from .exceptions import MustardgapError

Row = Sequence[object]


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_lines(lines: Sequence[str]) -> None:
    """Print lines of text."""
    for line in lines:
        click.echo(line)


def print_table(columns: Sequence[str], rows: Sequence[Row]) -> None:
    """Print rows: a table on a terminal, else aligned columns that scripts can cut."""
    texts = [["" if cell is None else str(cell) for cell in row] for row in rows]
    if sys.stdout.isatty():
        _print_rich(columns, texts)
        return
    lines = [[column.upper().replace(" ", "_") for column in columns], *texts]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        cells = [(cell or "-").ljust(width) for cell, width in zip(line, widths, strict=True)]
        click.echo("  ".join(cells).rstrip())


def print_error(exc: MustardgapError) -> None:
    """Print an error as one line: code, what, where, and what to do."""
    advice = f"; {exc.code.advice}" if exc.code.advice else ""
    text = " ".join(str(exc).split())
    click.secho(f"error: {text}{advice}", err=True, fg="red" if sys.stderr.isatty() else None)


class Progress:
    """Shows how a wait goes on, on stderr: one changing line on a terminal, else a line a change.

    :param quiet: show nothing.
    """

    def __init__(self, *, quiet: bool = False) -> None:
        self.quiet = quiet
        self._terminal = sys.stderr.isatty()
        self._last = ""

    def show(self, text: str) -> None:
        """Show a new state."""
        if self.quiet or text == self._last:
            return
        self._last = text
        click.echo(f"\r\x1b[K{text}" if self._terminal else text, err=True, nl=not self._terminal)

    def end(self) -> None:
        """Clear the changing line."""
        if self._terminal and self._last and not self.quiet:
            click.echo("\r\x1b[K", err=True, nl=False)


def _print_rich(columns: Sequence[str], texts: list[list[str]]) -> None:
    # Rich takes a tenth of a second to import, which scripts needn't wait for.
    from rich.console import Console
    from rich.markup import escape
    from rich.table import Table

    table = Table(box=None, header_style="bold", pad_edge=False)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in texts:
        table.add_row(*(_coloured(escape(cell)) for cell in row))
    Console().print(table)


def _coloured(cell: str) -> str:
    colour = _COLOURS_BY_WORD.get(cell)
    return f"[{colour}]{cell}[/{colour}]" if colour else cell


_COLOURS_BY_WORD = {
    "live": "green",
    "in_service": "green",
    "running": "green",
    "suspect": "yellow",
    "leaving": "yellow",
    "draining": "yellow",
    "drained": "yellow",
    "rebooting": "yellow",
    "paused": "yellow",
    "failed": "red",
    "dead": "red",
    "set_aside": "red",
}
