"""Creation and validation of the records of the state stream."""

import secrets
from typing import Any

import msgspec

from . import status_codes
from .codecs import Undecodable, convert
from .exceptions import RecordRejected
from .models import RULES_VERSION, Record

ID_BYTES = 12
MAX_RECORD_BYTES = 256 * 1024


def new_id() -> str:
    """Return a new unique record id."""
    return secrets.token_urlsafe(ID_BYTES)


def make(
    kind: str,
    body: Any,
    *,
    writer: str,
    seen: int = 0,
    time: float = 0.0,
    record_id: str = "",
) -> Record:
    """Create a record.

    :param kind: the kind of record, such as ``host``.
    :param body: the body that belongs to the kind.
    :param writer: the daemon or tool that creates the record.
    :param seen: the number of records the writer had applied.
    :param time: the writer's time in seconds since the Unix epoch, for display only.
    :param record_id: the id to use; a new one when empty.
    :rtype: Record
    :raises RecordRejected: MG3012 when the record exceeds the maximum size.
    """
    record = Record(
        id=record_id or new_id(),
        writer=writer,
        rules=RULES_VERSION,
        seen=seen,
        kind=kind,
        time=time,
        body=dict(body),
    )
    size = len(msgspec.json.encode(record))
    if size > MAX_RECORD_BYTES:
        detail = f"{size} bytes are more than {MAX_RECORD_BYTES}"
        raise RecordRejected(code=status_codes.RECORD_INVALID, detail=detail)
    return record


def check(value: Any) -> Record:
    """Validate the envelope of a record that was read from the log.

    :param value: a JSON value.
    :rtype: Record
    :raises RecordRejected: MG3004 when it requires newer rules, MG3012 when it is malformed.
    """
    rules = value.get("rules") if isinstance(value, dict) else None
    if isinstance(rules, int) and rules > RULES_VERSION:
        # Checked first, because a newer writer may have changed the envelope, too.
        detail = f"the record needs rules {rules}, this daemon has {RULES_VERSION}"
        raise RecordRejected(code=status_codes.RULES_TOO_NEW, detail=detail)
    try:
        return convert(value, Record)
    except Undecodable as exc:
        raise RecordRejected(code=status_codes.RECORD_INVALID, detail=str(exc)) from None
