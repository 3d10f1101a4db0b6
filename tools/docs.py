"""Makes the reference pages from the code: settings, result codes and metrics.

``python -m tools.docs`` writes them; with ``--check`` it fails when one isn't current, when the
other pages name something that isn't there, or when an instrument is used nowhere.
"""

import re
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec
from msgspec import inspect as schema

from mustardgap import metrics, status_codes
from mustardgap.command_options import cli
from mustardgap.commands import INTERRUPTED
from mustardgap.load_features import OVERLOAD_FEATURES, Feature, FeatureSettings
from mustardgap.settings import Settings

ROOT = Path(__file__).resolve().parent.parent
NOTE = "<!-- Made by `python -m tools.docs`; edit the code instead. -->"
RANGES = {
    0: "Done",
    1: "Requests: 10xx answered, 11xx certainly not run, 12xx may have run",
    2: "Settings and start-up",
    3: "Records that the fold turned down",
    4: "Capacity, waves and jobs",
    5: "The platform and the peers",
    6: "The command line",
    9: "Faults of mustardgap",
}
UNITS = {"_per_s": "a second", "_s": "seconds", "_bytes": "bytes"}
PYTHON_NAMES = re.compile(r"metrics\.([a-z_]+)\.(?:add|record)\(")
OBSERVED_NAMES = re.compile(r'metrics\.observe\("([a-z._]+)"')
CODES_IN_TEXT = re.compile(r"\bMG(\d{1,4})\b(?! to)")
COMMANDS_IN_TEXT = re.compile(r"`mustardgap ([a-z][^`]*)`")
LINKS_IN_TEXT = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
SETTINGS_IN_TEXT = re.compile(
    r"`((?:callers|operators|peers|platform|requests|capacity)\.[a-z_.]+)`"
)
METRICS_IN_TEXT = re.compile(r"`(mustardgap\.[a-z_]+\.[a-z_.]+)`")


class Key(NamedTuple):
    """One setting as the page shows it."""

    name: str
    type: str
    unit: str
    default: str
    text: str


def settings_page() -> str:
    """The page of all settings."""
    lines = ["# Settings", "", NOTE, ""]
    lines += [
        "A daemon reads one file: JSON with comments, trailing commas and plain keys allowed.",
        "`mustardgapd --settings FILE --check` and `mustardgap config check FILE` check it.",
        "Unknown keys, wrong types and units, values out of range and combinations that can't work",
        "are refused with the file and the key: MG2000 to MG2002, exit status 20.",
        "",
    ]
    sections = list(_sections("", Settings))
    for name, doc, keys in sections:
        lines += [f"## {name or 'Top level'}", "", doc, "", *_key_table(keys)]
    lines += _feature_lines()
    return "\n".join(lines)


def _key_table(keys: list[Key]) -> list[str]:
    return _table(
        ["key", "type", "unit", "default", "meaning"],
        [[f"`{key.name}`", key.type, key.unit, key.default, key.text] for key in keys],
    )


def _feature_lines() -> list[str]:
    [(_, doc, keys)] = _sections("", FeatureSettings)
    overload = [feature for feature in Feature if feature in OVERLOAD_FEATURES]
    others = [feature for feature in Feature if feature not in OVERLOAD_FEATURES]
    return [
        "## The file named by `MUSTARDGAP_FEATURES`",
        "",
        f"On the users' platform only. {doc}",
        "The file is JSON with comments; one that can't be used ends the process like the settings",
        "file.",
        "",
        *_key_table(keys),
        f"On `auto`, {_code_list(overload)} take part where the platform's settings list",
        f"the rules for overload, and {_code_list(others)} where executors",
        "state when they started.",
        "",
    ]


def _code_list(features: list[Feature]) -> str:
    *first, last = (f"`{feature.value}`" for feature in features)
    return f"{', '.join(first)} and {last}"


def codes_page() -> str:
    """The page of all result codes."""
    lines = ["# Result codes", "", NOTE, ""]
    lines += [
        "One table for callers, operators, the log and exit statuses. A number keeps its meaning.",
        "`mustardgap explain code NUMBER` shows one. Interrupted commands exit with "
        f"{INTERRUPTED}.",
        "",
    ]
    for thousand, title in RANGES.items():
        codes = [c for c in status_codes.by_number.values() if c.number // 1000 == thousand]
        rows = [
            [str(c), f"`{c.name}`", str(c.http_status), str(c.exit_status), c.title, c.advice]
            for c in sorted(codes)
        ]
        heads = ["code", "name", "HTTP", "exit", "meaning", "what to do"]
        lines += [f"## {title}", "", *_table(heads, rows)]
    return "\n".join(lines)


def metrics_page() -> str:
    """The page of all metrics."""
    lines = ["# Metrics", "", NOTE, ""]
    lines += [
        "OpenTelemetry instruments, scraped as Prometheus text from `GET /metrics` on the",
        "operators' port. There dots are underscores, counters end in `_total`, units follow.",
        "",
    ]
    rows = [
        [
            f"`{s.name}`",
            s.kind,
            f"`{s.unit}`",
            ", ".join(f"`{a}`" for a in s.attributes),
            s.description,
        ]
        for s in sorted(metrics.specs_by_name.values())
    ]
    lines += _table(["name", "kind", "unit", "attributes", "meaning"], rows)
    return "\n".join(lines)


PAGES = {
    "SETTINGS.md": settings_page,
    "RESULT-CODES.md": codes_page,
    "METRICS.md": metrics_page,
}


def problems(root: Path = ROOT) -> Iterator[str]:
    """What isn't current or isn't true in the pages and metrics, one line each.

    :param root: the folder that holds the pages and the package.
    """
    for name, make in PAGES.items():
        path = root / "docs" / name
        if not path.exists() or path.read_text(encoding="utf-8") != make():
            yield f"docs/{name} isn't current: run python -m tools.docs"
    yield from _undocumented_settings()
    yield from _unused_metrics(root)
    for path in sorted([*root.glob("*.md"), *(root / "docs").glob("*.md")]):
        for problem in _untrue(path):
            yield f"{path.relative_to(root)}: {problem}"


def _sections(name: str, struct: type) -> Iterator[tuple[str, str, list[Key]]]:
    keys, below = [], []
    for field in schema.type_info(struct).fields:  # type: ignore[attr-defined]
        inner = _struct_of(field.type)
        full = f"{name}.{field.encode_name}" if name else field.encode_name
        if inner is not None:
            below.append((full, inner))
        if inner is None or isinstance(field.type, schema.Metadata):
            keys.append(_key(field, inner))
    yield name, " ".join((struct.__doc__ or "").split()), keys
    for full, inner in below:
        yield from _sections(full, inner)


def _key(field: Any, inner: type | None) -> Key:
    text = ""
    kind = field.type
    if isinstance(kind, schema.Metadata):
        text = str((kind.extra_json_schema or {}).get("description", ""))
        kind = kind.type
    unit = next((unit for end, unit in UNITS.items() if field.encode_name.endswith(end)), "")
    if field.required:
        default = "(required)"
    elif field.default_factory is not msgspec.NODEFAULT:
        default = f"`{msgspec.json.encode(field.default_factory()).decode()}`"
    else:
        default = f"`{msgspec.json.encode(field.default).decode()}`"
    shown = "section" if inner else _type(kind)
    return Key(field.encode_name, shown, unit, default, text)


def _type(kind: Any) -> str:
    if isinstance(kind, schema.Metadata):
        return _type(kind.type)
    if isinstance(kind, schema.EnumType):
        return " or ".join(f"`{member.value}`" for member in kind.cls)
    if isinstance(kind, schema.ListType):
        return f"list of {_type(kind.item_type)}"
    name: dict[Any, str] = {
        schema.IntType: "integer",
        schema.FloatType: "number",
        schema.StrType: "text",
    }
    shown = name[type(kind)]
    bounds = []
    if getattr(kind, "gt", None) is not None:
        bounds.append(f"> {kind.gt:g}")
    if getattr(kind, "ge", None) is not None:
        bounds.append(f">= {kind.ge}")
    if getattr(kind, "le", None) is not None:
        bounds.append(f"<= {kind.le:g}" if isinstance(kind.le, float) else f"<= {kind.le}")
    return f"{shown} {', '.join(bounds)}".strip()


def _struct_of(kind: Any) -> type | None:
    if isinstance(kind, schema.Metadata):
        return _struct_of(kind.type)
    if isinstance(kind, schema.StructType):
        return kind.cls
    if isinstance(kind, schema.UnionType):
        return next((found for found in map(_struct_of, kind.types) if found), None)
    return None


def _table(heads: list[str], rows: list[list[str]]) -> list[str]:
    lines = [f"| {' | '.join(heads)} |", f"| {' | '.join('---' for _ in heads)} |"]
    lines += [f"| {' | '.join(cell.replace('|', chr(92) + '|') for cell in row)} |" for row in rows]
    return [*lines, ""]


def _undocumented_settings() -> Iterator[str]:
    for module, struct in (("settings", Settings), ("load_features", FeatureSettings)):
        for section, _, keys in _sections("", struct):
            for key in keys:
                if not key.text:
                    yield f"mustardgap/{module}.py: {section}.{key.name} has no description"


def _unused_metrics(root: Path) -> Iterator[str]:
    code = "\n".join(
        path.read_text(encoding="utf-8") for path in sorted((root / "mustardgap").rglob("*.py"))
    )
    used = set(PYTHON_NAMES.findall(code))
    observed = set(OBSERVED_NAMES.findall(code))
    for name, spec in metrics.specs_by_name.items():
        if spec.kind in ("gauge", "observed counter"):
            if name not in observed:
                yield f"mustardgap/metrics.py: {name} is observed nowhere"
        elif not any(_name_of(python) == name for python in used):
            yield f"mustardgap/metrics.py: {name} is used nowhere"


def _name_of(python_name: str) -> str:
    instrument = getattr(metrics, python_name, None)
    return str(getattr(instrument, "name", ""))


def _untrue(path: Path) -> Iterator[str]:
    text = path.read_text(encoding="utf-8")
    for number in sorted(set(CODES_IN_TEXT.findall(text))):
        if int(number) not in status_codes.by_number:
            yield f"names MG{number}, which isn't a result code"
    for words in sorted(set(COMMANDS_IN_TEXT.findall(text))):
        if not _is_command(words.split()):
            yield f"names the command `mustardgap {words}`, which there isn't"
    for key in sorted(set(SETTINGS_IN_TEXT.findall(text))):
        if not _is_setting(key):
            yield f"names the setting `{key}`, which there isn't"
    for name in sorted(set(METRICS_IN_TEXT.findall(text))):
        if name not in metrics.specs_by_name:
            yield f"names the metric `{name}`, which there isn't"
    for link in sorted(set(LINKS_IN_TEXT.findall(text))):
        if not (path.parent / link).exists():
            yield f"links to {link}, which there isn't"


def _is_command(words: list[str]) -> bool:
    command: Any = cli
    for word in words:
        children = getattr(command, "commands", None)
        if children is None:
            options = {name for param in command.params for name in param.opts}
            named = [other.partition("=")[0] for other in words if other.startswith("--")]
            return all(name in options or name in ("--help",) for name in named)
        if word.startswith("-"):
            continue
        if word not in children:
            return word.isupper() or "|" in word
        command = children[word]
    return True


def _is_setting(key: str) -> bool:
    section, _, name = key.rpartition(".")
    found = {s: [k.name for k in keys] for s, _, keys in _sections("", Settings)}
    return name in found.get(section, [])


@click.command()
@click.option("--check", is_flag=True, help="Only check that all pages are current and true.")
def main(check: bool) -> None:
    """Write the reference pages, or check all pages."""
    if not check:
        for name, make in PAGES.items():
            (ROOT / "docs" / name).write_text(make(), encoding="utf-8")
        return
    found = list(problems())
    for problem in found:
        click.echo(problem)
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
