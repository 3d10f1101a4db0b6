"""How large the store lets records and calls be, and how records are dealt out to calls."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .ports import Record

# The length of a record, that of its key, and the version of a value in the failover partition.
_RECORD_LENGTH_BYTES, _KEY_LENGTH_BYTES, _VERSION_BYTES = 4, 1, 9
# The length of a key is stored in one byte.
MAX_KEY_BYTES = 255


class RecordLimits(NamedTuple):
    """What the store takes, in bytes: of one record, and of all records of one call.

    The defaults are for deployments whose settings don't state a limit.
    """

    record_bytes: int = 262_144
    request_bytes: int = 1_000_000

    def hold(self, key: str, value: bytes) -> bool:
        """Whether a record may be stored, in the failover partition too."""
        if len(key.encode()) > MAX_KEY_BYTES:
            return False
        size = record_size(key, value)
        return size <= min(self.record_bytes, self.request_bytes - _RECORD_LENGTH_BYTES)

    def batches(self, records: Iterable[Record]) -> Iterator[list[Record]]:
        """Deal out records to calls, in their order."""
        batch: list[Record] = []
        size = 0
        for record in records:
            added = _RECORD_LENGTH_BYTES + record_size(record.key, record.value)
            if batch and size + added > self.request_bytes:
                yield batch
                batch, size = [], 0
            batch.append(record)
            size += added
        if batch:
            yield batch


def record_size(key: str, value: bytes) -> int:
    """The most bytes that a record takes, in the failover partition too."""
    return _KEY_LENGTH_BYTES + len(key.encode()) + _VERSION_BYTES + len(value)
