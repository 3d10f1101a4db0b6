"""Checks of settings that no single key can make, and hints for keys that aren't known."""

import difflib
import math
import re
from collections.abc import Iterator
from ipaddress import ip_address
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

if TYPE_CHECKING:
    from .settings import Settings

_UNKNOWN = re.compile(r"unknown field `(.*)`")
_UNIT_SUFFIXES = ("_ms", "_us", "_min", "_minutes", "_seconds", "_sec", "_h", "_kb", "_mb", "_gb")


class Clash(NamedTuple):
    """Settings that can't stand together."""

    key: str
    detail: str


def find_clashes(settings: "Settings") -> Iterator[Clash]:
    """All combinations of settings under which a daemon couldn't do its work."""
    yield from _addresses(settings)
    yield from _ports(settings)
    yield from _callers(settings)
    yield from _peers(settings)
    yield from _platform(settings)
    yield from _capacity(settings)


def find_non_finite(value: Any, key: str = "") -> str:
    """The first key whose number is infinite or not a number; "" for none.

    JSON with comments knows both, and they pass every check of a range made with ``<``.
    """
    if isinstance(value, float) and not math.isfinite(value):
        return key
    pairs: Any = value.items() if isinstance(value, dict) else ()
    pairs = enumerate(value) if isinstance(value, list) else pairs
    for name, child in pairs:
        found = find_non_finite(child, f"{key}.{name}" if key else str(name))
        if found:
            return found
    return ""


def hint(message: str, section: type) -> str:
    """Better a message about an unknown key with the key that was likely meant.

    :param message: the message of the schema's check.
    :param section: the schema.
    """
    match = _UNKNOWN.search(message)
    if not match:
        return message
    wrong = match[1]
    keys = _all_keys(section)
    stem = next((wrong.removesuffix(s) for s in _UNIT_SUFFIXES if wrong.endswith(s)), wrong)
    by_unit = [key for key in keys if key in (f"{stem}_s", f"{stem}_bytes")]
    meant = by_unit or difflib.get_close_matches(wrong, keys, n=1)
    if not meant:
        return f"unknown key {wrong}"
    unit = {"s": ", in seconds", "bytes": ", in bytes"}.get(meant[0].rpartition("_")[2], "")
    return f"unknown key {wrong}; did you mean {meant[0]}{unit}?"


def _all_keys(section: type) -> list[str]:
    keys = []
    for field in msgspec.structs.fields(section):
        keys.append(field.name)
        for candidate in getattr(field.type, "__args__", (field.type,)):
            if isinstance(candidate, type) and issubclass(candidate, msgspec.Struct):
                keys += _all_keys(candidate)
    return keys


def _addresses(settings: "Settings") -> Iterator[Clash]:
    if not is_ip(settings.address):
        yield Clash("address", f"{settings.address!r} is no IP number")
    if not _is_endpoint(settings.platform.address):
        yield Clash("platform.address", f"{settings.platform.address!r} is not IP:PORT")
    for index, seed in enumerate(settings.peers.seeds):
        if not _is_endpoint(seed):
            yield Clash(f"peers.seeds[{index}]", f"{seed!r} is not IP:PORT")


def _ports(settings: "Settings") -> Iterator[Clash]:
    sections_by_port: dict[int, str] = {}
    for name in ("callers", "operators", "peers"):
        port = getattr(settings, name).port
        other = sections_by_port.setdefault(port, name)
        if port and other != name:
            yield Clash(f"{name}.port", f"{port} is {other}.port already")


def _callers(settings: "Settings") -> Iterator[Clash]:
    callers, requests = settings.callers, settings.requests
    if callers.default_timeout_s > callers.max_timeout_s:
        yield Clash("callers.default_timeout_s", "is more than callers.max_timeout_s")
    if callers.buffered_answer_bytes > callers.max_body_bytes:
        yield Clash("callers.buffered_answer_bytes", "is more than callers.max_body_bytes")
    if callers.max_held_bytes < callers.max_body_bytes:
        yield Clash("callers.max_held_bytes", "is less than callers.max_body_bytes")
    if requests.connect_timeout_s >= callers.max_timeout_s:
        yield Clash("requests.connect_timeout_s", "isn't less than callers.max_timeout_s")
    if requests.key_ttl_s < callers.max_timeout_s:
        yield Clash("requests.key_ttl_s", "is less than callers.max_timeout_s")


def _peers(settings: "Settings") -> Iterator[Clash]:
    peers = settings.peers
    if peers.suspect_s >= peers.dead_s:
        yield Clash("peers.suspect_s", "isn't less than peers.dead_s")


def _platform(settings: "Settings") -> Iterator[Clash]:
    platform = settings.platform
    if platform.stream == platform.claims_stream:
        yield Clash("platform.claims_stream", "is the same as platform.stream")
    if platform.stale_after_s <= platform.timeout_s:
        yield Clash("platform.stale_after_s", "isn't more than platform.timeout_s")


def _capacity(settings: "Settings") -> Iterator[Clash]:
    capacity = settings.capacity
    if capacity.lease_s < settings.platform.timeout_s:
        yield Clash("capacity.lease_s", "is less than platform.timeout_s")
    if capacity.act_s > capacity.takeover_s:
        yield Clash("capacity.act_s", "is more than capacity.takeover_s")


def is_ip(text: str) -> bool:
    """Whether a text is a whole IP number, of either version."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def _is_endpoint(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return False
    return is_ip(host) and port.isdigit() and 0 < int(port) < 65536
