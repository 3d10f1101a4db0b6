"""Values that carry a version, for keys with records in two partitions."""

import struct
from typing import NamedTuple

# No value of ours begins with this byte: MessagePack never uses it.
_MARK = b"\xc1"
_VERSION = struct.Struct(">Q")
_HEADER_BYTES = len(_MARK) + _VERSION.size
# The version of a value that carries none: older than any that does.
NO_VERSION = -1
_COUNT_BITS = 32


class Versioned(NamedTuple):
    """A value and its version; an empty value tells that the key was removed."""

    version: int
    value: bytes


def version_of(epoch: int, count: int) -> int:
    """A version that rises with the epoch, and with the writes of one epoch."""
    return epoch << _COUNT_BITS | count


def wrap(versioned: Versioned) -> bytes:
    """The stored form of a value with its version."""
    return _MARK + _VERSION.pack(versioned.version) + versioned.value


def unwrap(raw: bytes) -> Versioned:
    """A value and its version from the stored form, with or without a version."""
    if not raw.startswith(_MARK) or len(raw) < _HEADER_BYTES:
        return Versioned(NO_VERSION, raw)
    (version,) = _VERSION.unpack_from(raw, len(_MARK))
    return Versioned(version, raw[_HEADER_BYTES:])
