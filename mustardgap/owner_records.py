"""The record that a shard's owner leaves: its epoch, and how it left."""

import msgspec

OWNER_KEY = "o"


class OwnerRecord(msgspec.Struct, array_like=True, frozen=True):
    """Who owned a shard last.

    ``closed`` tells that it left in good order, and ``diverted`` that records may lie in the
    shard's failover partition.
    """

    epoch: int
    closed: bool
    diverted: bool = True


def encode_owner(epoch: int, *, closed: bool, diverted: bool = True) -> bytes:
    """The durable form of who owns the shard, and whether it leaves in good order."""
    return msgspec.msgpack.encode(OwnerRecord(epoch, closed, diverted))


def decode_owner(raw: bytes) -> OwnerRecord:
    """An owner's record from its durable form.

    :raises msgspec.DecodeError: it can't be read.
    """
    return msgspec.msgpack.decode(raw, type=OwnerRecord)


def may_have_diverted(raw: bytes | None) -> bool:
    """Whether a shard's failover partition may hold records, by its last owner's record.

    An owner uses that partition only once its own record, not closed, stands in the primary one. So
    without a record, or with one that says that nothing was left there, it holds none.
    """
    if not raw:
        return False
    try:
        owner = decode_owner(raw)
    except msgspec.DecodeError:
        return True
    return not owner.closed or owner.diverted
