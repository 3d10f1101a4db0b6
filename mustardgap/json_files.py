"""Reading files of JSON with comments."""

from pathlib import Path
from typing import Any

import json5

from . import status_codes
from .exceptions import SettingsError
from .status_codes import Code

MAX_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 32


def read_json(path: str | Path) -> Any:
    """Read a file of JSON with comments.

    :param path: the file's path.
    :return: the parsed value.
    :raises SettingsError: MG2000 or MG2001 with the file and line.
    """
    text = _read_text(Path(path))
    try:
        value = json5.loads(text, allow_duplicate_keys=False)
    except Exception as exc:
        detail = " ".join(str(exc).split())[:200] or "nested too deeply"
        raise _error(status_codes.SETTINGS_SYNTAX, detail, path) from None
    fault = _fault(value, MAX_DEPTH)
    if fault:
        raise _error(status_codes.SETTINGS_SYNTAX, fault, path)
    return value


def _read_text(path: Path) -> str:
    try:
        # A device or a pipe named by mistake would otherwise be read for ever.
        if path.exists() and not path.is_file():
            raise _error(status_codes.SETTINGS_UNREADABLE, "not a plain file", path)
        if path.stat().st_size > MAX_BYTES:
            detail = f"larger than {MAX_BYTES} bytes"
            raise _error(status_codes.SETTINGS_UNREADABLE, detail, path)
        return path.read_text(encoding="utf-8")
    except (OSError, ValueError) as exc:
        detail = getattr(exc, "strerror", None) or str(exc)
        raise _error(status_codes.SETTINGS_UNREADABLE, detail, path) from None


def _fault(value: Any, depth: int) -> str:
    """What makes a parsed value unfit to go on with; "" for nothing."""
    if isinstance(value, str):
        # An escape can name half of a pair, which no encoder takes later.
        return "" if _is_encodable(value) else "holds half of a surrogate pair"
    if not isinstance(value, dict | list):
        return ""
    if depth == 0:
        return "nested too deeply"
    children = [*value.keys(), *value.values()] if isinstance(value, dict) else value
    return next((fault for fault in (_fault(child, depth - 1) for child in children) if fault), "")


def _is_encodable(text: str) -> bool:
    return not any("\ud800" <= character <= "\udfff" for character in text)


def _error(code: Code, detail: str, path: str | Path) -> SettingsError:
    return SettingsError(code=code, detail=detail, place=str(path))
