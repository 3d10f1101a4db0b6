"""Encoding of values with a version, for keys that have records in two partitions."""

import struct
from typing import NamedTuple

# No unversioned value begins with this byte: MessagePack never uses it.
_VERSION_MARKER = b"\xc1"
_VERSION_FORMAT = struct.Struct(">Q")
_HEADER_BYTES = len(_VERSION_MARKER) + _VERSION_FORMAT.size
# The version of an unversioned value, lower than all others.
NO_VERSION = -1
_COUNT_BITS = 32


class Versioned(NamedTuple):
    """A value and its version; an empty value means that the key was removed."""

    version: int
    value: bytes


def version_of(epoch: int, count: int) -> int:
    """Return a version that increases with the epoch, and with each write of an epoch."""
    return epoch << _COUNT_BITS | count


def wrap(versioned: Versioned) -> bytes:
    """Encode a value with its version for storage."""
    return _VERSION_MARKER + _VERSION_FORMAT.pack(versioned.version) + versioned.value


def unwrap(raw: bytes) -> Versioned:
    """Decode a stored value, with or without a version."""
    if not raw.startswith(_VERSION_MARKER) or len(raw) < _HEADER_BYTES:
        return Versioned(NO_VERSION, raw)
    (version,) = _VERSION_FORMAT.unpack_from(raw, len(_VERSION_MARKER))
    return Versioned(version, raw[_HEADER_BYTES:])
