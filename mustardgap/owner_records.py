"""The record of a shard's owner: its epoch, and whether it left gracefully."""

import msgspec

from .codecs import Undecodable, decode_msgpack

OWNER_KEY = "o"


class OwnerRecord(msgspec.Struct, array_like=True, frozen=True):
    """The last owner of a shard.

    ``closed`` means that it left gracefully, and ``diverted`` that the shard's failover partition
    may hold records.
    """

    epoch: int
    closed: bool
    diverted: bool = True


def encode_owner(epoch: int, *, closed: bool, diverted: bool = True) -> bytes:
    """Encode an owner record for storage."""
    return msgspec.msgpack.encode(OwnerRecord(epoch, closed, diverted))


def decode_owner(raw: bytes) -> OwnerRecord:
    """Decode a stored owner record.

    :raises Undecodable: what is wrong with it.
    """
    return decode_msgpack(raw, OwnerRecord)


def may_have_diverted(raw: bytes | None) -> bool:
    """Whether a shard's failover partition may hold records, according to its last owner record.

    An owner uses that partition only once its owner record, not closed, is stored in the primary
    one. So without an owner record, or with one that is closed and not diverted, it holds none.
    """
    if not raw:
        return False
    try:
        owner = decode_owner(raw)
    except Undecodable:
        return True
    return not owner.closed or owner.diverted
