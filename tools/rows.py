"""What a benchmark returns: rows, each with the naive baseline of the same run beside it."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

Met = bool | None


class Row(NamedTuple):
    """One measured figure.

    ``baseline`` is the naive way's figure in the same run, None where there is none to be had;
    ``target`` is the target in words, and ``met`` whether it is met.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None
    baseline_name: str = ""
    target: str = ""
    met: Met = None
    note: str = ""


def as_dict(row: Any, group: str) -> dict[str, Any]:
    """A row as JSON can hold it; rows may be ``Row`` or maps with at least a name.

    :param row: the row.
    :param group: the benchmark that it belongs to.
    """
    fields = row._asdict() if hasattr(row, "_asdict") else dict(row)
    return {"group": group, **fields}


def at_least(value: float, limit: float, text: str) -> dict[str, Any]:
    """The fields of a row whose value must be at least a limit."""
    return {"target": text, "met": value >= limit}


def at_most(value: float, limit: float, text: str) -> dict[str, Any]:
    """The fields of a row whose value must be at most a limit."""
    return {"target": text, "met": value <= limit}


def ratio(value: float, base: float) -> float:
    """One figure over another, 0 when there is none."""
    return value / base if base else 0.0


Bench = Callable[[bool], Iterable[Row]]
