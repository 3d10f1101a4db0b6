"""Makes docs/RESULTS.md from the figures of the last committed benchmark run."""

import json
from typing import Any

import click

from .bench import RESULTS, format_number
from .processes import ROOT

PAGE = ROOT / "docs" / "RESULTS.md"
HEAD = "| measure | figure | unit | beside | which is | target | met | note |"
MET = {True: "yes", False: "**no**", None: ""}


def page_of(result: dict[str, Any]) -> str:
    """The page's text.

    :param result: what ``tools.bench`` has written.
    """
    run = result["run"]
    lines = [
        "# Results",
        "",
        "Made by `python -m tools.results` from `results/bench.json`, which `make bench` writes.",
        "Each figure has the naive way's of the same run beside it.",
        "",
        f"Run of {run['time']} at commit {run['commit'][:7]}"
        f"{' with changes not yet committed' if run['uncommitted_changes'] else ''}"
        f"{', quick' if run['quick'] else ''}; Python {run['python']}, {run['cores']} cores, "
        f"load {run['load_before']} before the run.",
    ]
    for group in dict.fromkeys(row["group"] for row in result["rows"]):
        rows = [row for row in result["rows"] if row["group"] == group]
        lines += ["", f"## {group}", "", HEAD, "| --- | --- | --- | --- | --- | --- | --- | --- |"]
        lines += [_line(row) for row in rows]
    for name, error in result["failed"].items():
        lines += ["", f"Failed: {name}: {error}"]
    return "\n".join(lines) + "\n"


def _line(row: dict[str, Any]) -> str:
    cells = [
        row["name"],
        format_number(row.get("value")),
        row.get("unit", ""),
        format_number(row.get("baseline")),
        row.get("baseline_name", ""),
        row.get("target", ""),
        MET[row.get("met")],
        row.get("note", ""),
    ]
    return "| " + " | ".join(str(cell).replace("|", "/") for cell in cells) + " |"


@click.command()
def main() -> None:
    """Write the page anew."""
    PAGE.write_text(page_of(json.loads(RESULTS.read_text("utf-8"))), encoding="utf-8")


if __name__ == "__main__":
    main()
