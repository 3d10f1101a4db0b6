"""Runs every benchmark, prints one table and writes it as JSON.

Each module ``tools/bench_*.py`` has ``rows(quick)``, or ``BENCHES`` with one such function a name.
"""

import importlib
import json
import pkgutil
import platform
import subprocess
import sys
import time
import traceback
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import click
import psutil
from rich.console import Console
from rich.table import Table

import tools

from .processes import ROOT
from .rows import as_dict

RESULTS = ROOT / "results" / "bench.json"
NOT_BENCHES = ("bench_capacity",)
COLUMNS = ("row", "measured", "unit", "baseline", "baseline is", "target", "met")
Rows = Callable[[bool], Iterable[Any]]


def find_benches() -> dict[str, Rows]:
    """All benchmarks by name; a module that can't be imported is one that fails."""
    found: dict[str, Rows] = {}
    for info in pkgutil.iter_modules(tools.__path__):
        if not info.name.startswith("bench_") or info.name in NOT_BENCHES:
            continue
        name = info.name.removeprefix("bench_")
        try:
            module = importlib.import_module(f"tools.{info.name}")
        except Exception as exc:
            found[name] = _broken(exc)
            continue
        benches = getattr(module, "BENCHES", None) or {"": module.rows}
        found.update({f"{name}.{key}".rstrip("."): rows for key, rows in benches.items()})
    return found


def _broken(exc: Exception) -> Rows:
    def rows(quick: bool) -> Iterable[Any]:
        raise exc

    return rows


def run_bench(name: str, rows: Rows, *, quick: bool) -> tuple[list[dict[str, Any]], str]:
    """Run one benchmark.

    :return: its rows, and the error when it failed.
    """
    try:
        return [as_dict(row, name) for row in rows(quick)], ""
    except Exception as exc:
        traceback.print_exc()
        return [], f"{type(exc).__name__}: {exc}"


def describe_run(quick: bool) -> dict[str, Any]:
    """What has to be known to read the figures."""
    git = ["git", "-C", str(ROOT)]
    commit = subprocess.run(
        [*git, "rev-parse", "HEAD"], capture_output=True, text=True, check=False
    )
    status = [*git, "status", "--porcelain", "--untracked-files=no"]
    changed = subprocess.run(status, capture_output=True, text=True, check=False)
    load1, _, _ = psutil.getloadavg()
    return {
        "commit": commit.stdout.strip(),
        "uncommitted_changes": bool(changed.stdout.strip()),
        "quick": quick,
        "python": platform.python_version(),
        "cores": psutil.cpu_count(),
        "load_before": round(load1, 2),
        "time": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
    }


def show(rows: list[dict[str, Any]], errors_by_name: dict[str, str]) -> None:
    """Print the table and what failed."""
    table = Table(*COLUMNS)
    for row in rows:
        met = {True: "yes", False: "NO", None: ""}[row.get("met")]
        table.add_row(
            f"{row['group']}: {row['name']}",
            format_number(row.get("value")),
            row.get("unit", ""),
            format_number(row.get("baseline")),
            row.get("baseline_name", ""),
            row.get("target", ""),
            met,
        )
    console = Console(width=None if sys.stdout.isatty() else 180)
    console.print(table)
    for row in rows:
        if row.get("note"):
            console.print(f"{row['group']}: {row['name']}: {row['note']}", markup=False)
    for name, error in errors_by_name.items():
        console.print(f"FAILED {name}: {error}", markup=False)


def format_number(value: Any) -> str:
    """A figure with four digits, "-" for none."""
    if value is None:
        return "-"
    return f"{value:,.4g}" if isinstance(value, float) else str(value)


@click.command()
@click.option("--only", multiple=True, help="Only benchmarks whose name begins so; repeatable.")
@click.option("--quick", is_flag=True, help="Shorter runs; the figures are rougher.")
@click.option("--out", default=str(RESULTS), show_default=False, help="Where the JSON is written.")
def main(only: tuple[str, ...], quick: bool, out: str) -> None:
    """Run the benchmarks one after the other."""
    run = describe_run(quick)
    rows: list[dict[str, Any]] = []
    errors_by_name: dict[str, str] = {}
    for name, bench in find_benches().items():
        if only and not name.startswith(only):
            continue
        started = time.monotonic()
        found, error = run_bench(name, bench, quick=quick)
        rows += found
        if error:
            errors_by_name[name] = error
        click.echo(f"{name}: {len(found)} rows in {time.monotonic() - started:.0f} s", err=True)
    show(rows, errors_by_name)
    path = Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    result = {"run": run, "rows": rows, "failed": errors_by_name}
    path.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    sys.exit(1 if errors_by_name else 0)


if __name__ == "__main__":
    main()
