"""Decoding of bytes and values that another process wrote.

Whatever is wrong with them, the functions here raise ``Undecodable`` and nothing else: decoding has
no side effects, so any error in it means that the input can't be read. A caller that handled only
the errors it knows would end with the first input of another kind, such as a value that is nested
more deeply than the interpreter can follow, and end again whenever it reads the same input.
"""

import re
from collections.abc import Callable
from functools import wraps
from typing import Any, ParamSpec, TypeVar

import msgspec

# The largest whole number that every JSON reader takes exactly; MessagePack takes 64 bits.
MAX_EXACT_INT = 2**53 - 1

# Rows of a page are objects of a few levels.
MAX_ROW_DEPTH = 64
# A page is an object, its rows are the elements of a list in it.
_ROW_LEVEL = 3
_DEEP_ROW = b'"a row that is nested too deeply"'
_BRACKETS_AND_STRINGS = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)

_P = ParamSpec("_P")
_T = TypeVar("_T")


class Undecodable(ValueError):
    """Bytes or values that can't be read; the text tells why."""


def total(error: type[Undecodable]) -> Callable[[Callable[_P, _T]], Callable[_P, _T]]:
    """Make a decoder raise one type of error, however its input can't be read.

    :param error: the type to raise.
    """

    def decorate(decode: Callable[_P, _T]) -> Callable[_P, _T]:
        @wraps(decode)
        def decode_or_raise(*args: _P.args, **kwargs: _P.kwargs) -> _T:
            try:
                return decode(*args, **kwargs)
            except error:
                raise
            except Exception as exc:
                raise error(describe(exc)) from None

        return decode_or_raise

    return decorate


def describe(exc: Exception) -> str:
    """What is wrong with an input, by the error that reading it raised."""
    text = str(exc)
    if isinstance(exc, msgspec.MsgspecError | Undecodable) and text:
        return text
    return f"{type(exc).__name__}: {text}"


@total(Undecodable)
def decode_json(raw: bytes | str, kind: Any = Any) -> Any:
    """Decode JSON.

    :param kind: the type to decode to.
    :raises Undecodable: what is wrong with it.
    """
    return msgspec.json.decode(raw, type=kind)


@total(Undecodable)
def decode_lenient_json(raw: bytes, kind: Any) -> Any:
    """Decode JSON that may give numbers as strings.

    :param kind: the type to decode to.
    :raises Undecodable: what is wrong with it.
    """
    return msgspec.json.decode(raw, type=kind, strict=False)


@total(Undecodable)
def decode_msgpack(raw: bytes, kind: Any = Any) -> Any:
    """Decode MessagePack.

    :param kind: the type to decode to.
    :raises Undecodable: what is wrong with it.
    """
    return msgspec.msgpack.decode(raw, type=kind)


@total(Undecodable)
def convert(value: Any, kind: Any) -> Any:
    """Convert plain values.

    :param kind: the type to convert to.
    :raises Undecodable: what is wrong with them.
    """
    return msgspec.convert(value, kind)


def without_deep_rows(raw: bytes) -> bytes:
    """Replace the rows of a page of JSON that are nested too deeply by a text that tells so.

    A decoder refuses the whole page for one such row, even where rows aren't decoded yet.

    :param raw: an object with a list of rows.
    """
    pieces: list[bytes] = []
    copied = row_begin = depth = deepest = 0
    for match in _BRACKETS_AND_STRINGS.finditer(raw):
        token = match.group()
        if token in (b"[", b"{"):
            depth += 1
            if depth == _ROW_LEVEL:
                row_begin = match.start()
                deepest = 0
            deepest = max(deepest, depth)
        elif token in (b"]", b"}"):
            if depth == _ROW_LEVEL and deepest > _ROW_LEVEL + MAX_ROW_DEPTH:
                pieces += (raw[copied:row_begin], _DEEP_ROW)
                copied = match.end()
            depth -= 1
    return b"".join((*pieces, raw[copied:]))
