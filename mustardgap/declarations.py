"""Reads, checks and compares the declarations that operators keep in version control."""

from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

from . import schemas, setting_checks, status_codes
from .codecs import Undecodable
from .exceptions import SettingsError
from .models import Change, Declaration
from .settings import read_json
from .status_codes import Code

KINDS_BY_MAP = {
    "profiles": "profile",
    "services": "service",
    "pools": "pool",
    "teams": "team",
    "policies": "policy",
}


def read_dir(path: str | Path) -> dict[str, Any]:
    """Read and check all declarations of a directory.

    :param path: the directory; its ``*.json`` files are JSON with comments.
    :return: the values by ``kind/name``, sorted.
    :raises SettingsError: MG2000, MG2001, MG3005 or MG3008 with ``file:key``.
    """
    directory = Path(path)
    if not directory.is_dir():
        detail = "no such directory"
        raise SettingsError(code=status_codes.SETTINGS_UNREADABLE, detail=detail, place=str(path))
    values_by_key: dict[str, Any] = {}
    files_by_key: dict[str, Path] = {}
    for file in sorted(directory.glob("*.json")):
        for key, value in _read_file(file):
            if key in files_by_key:
                detail = f"{key} is declared in {files_by_key[key].name} already"
                raise _invalid(detail, f"{file}:{key}")
            files_by_key[key] = file
            values_by_key[key] = value
    for key, value in values_by_key.items():
        check_value(key, value, place=f"{files_by_key[key]}:{key}")
    for code, key, detail in reference_errors(values_by_key):
        raise SettingsError(code=code, detail=detail, place=f"{files_by_key[key]}:{key}")
    return dict(sorted(values_by_key.items()))


def check_value(key: str, value: Any, *, place: str = "") -> None:
    """Check the type, units and ranges of one declaration.

    :param key: its ``kind/name``.
    :param value: its value.
    :param place: its place for the error; the key when empty.
    :raises SettingsError: MG3005 with the place, down to the invalid key.
    """
    place = place or key
    kind, _, name = key.partition("/")
    if kind not in schemas.SCHEMAS_BY_KIND:
        raise _invalid(f"no kind {kind}; it is one of {', '.join(schemas.SCHEMAS_BY_KIND)}", place)
    try:
        schemas.check_name(name)
    except Undecodable:
        raise _invalid(f"{name!r} is no name: letters, digits, '_', '.' and '-'", place) from None
    try:
        schemas.check_value(kind, value)
    except Undecodable as exc:
        detail, _, value_path = str(exc).partition(" - at `$")
        detail = setting_checks.hint(detail, schemas.SCHEMAS_BY_KIND[kind])
        raise _invalid(detail, place + value_path.rstrip("`")) from None


def reference_errors(values_by_key: Mapping[str, Any]) -> Iterable[tuple[Code, str, str]]:
    """Find references to missing declarations, and paths that two services share.

    :param values_by_key: all declarations by ``kind/name``, each already checked by itself.
    :return: the code, the key and the detail of each error.
    """
    keys_by_path: dict[str, str] = {}
    for key, value in sorted(values_by_key.items()):
        for wanted in _references(key, value):
            if wanted not in values_by_key:
                yield status_codes.REFERENCE_MISSING, key, f"{wanted} isn't declared"
        if not key.startswith("service/"):
            continue
        other = keys_by_path.setdefault(value["path"], key)
        if other != key:
            detail = f"{other} has the path {value['path']} already"
            yield status_codes.DECLARATION_INVALID, key, detail


def diff(
    declarations_by_key: Mapping[str, Declaration], wanted_by_key: Mapping[str, Any]
) -> list[Change]:
    """Return the changes that lead from the declarations in force to the wanted ones.

    :param declarations_by_key: the declarations in force.
    :param wanted_by_key: the wanted values; declarations that are missing here are removed.
    :return: the changes, sorted by key, each with the version that it is based on.
    """
    changes = []
    for key in sorted({*declarations_by_key, *wanted_by_key}):
        declaration = declarations_by_key.get(key)
        value = wanted_by_key.get(key)
        if declaration is not None and declaration.value == value:
            continue
        base = -1 if declaration is None else declaration.version
        changes.append(Change(key=key, base=base, value=value))
    return changes


def _read_file(file: Path) -> Iterable[tuple[str, Any]]:
    maps = read_json(file)
    if not isinstance(maps, dict):
        raise _invalid("the file holds no map", str(file))
    for name, entries in maps.items():
        if name not in KINDS_BY_MAP:
            detail = f"no kind {name}; it is one of {', '.join(KINDS_BY_MAP)}"
            raise _invalid(detail, f"{file}:{name}")
        if not isinstance(entries, dict):
            raise _invalid("expected a map by name", f"{file}:{name}")
        for entry, value in entries.items():
            yield f"{KINDS_BY_MAP[name]}/{entry}", value


def _references(key: str, value: Any) -> list[str]:
    if key.startswith("service/"):
        return [f"profile/{value['profile']}", f"team/{value['team']}"]
    if key.startswith("pool/") and value["service"]:
        return [f"service/{value['service']}"]
    return []


def _invalid(detail: str, place: str) -> SettingsError:
    return SettingsError(code=status_codes.DECLARATION_INVALID, detail=detail, place=place)
