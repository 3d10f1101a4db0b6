"""The fold: one rule that accepts or rejects each record of the state stream.

The rule reads only the state and the record, and its time is the log's, so all daemons decide
alike without talking.
"""

from collections.abc import Callable
from typing import Any

from . import config_rules, host_rules, job_rules, records, status_codes, wave_rules
from .exceptions import RecordRejected
from .models import LogRecord
from .outcomes import Accepted, Rejected, Verdict
from .states import Decided, State

__all__ = ["State", "decided", "fold", "needs_newer_rules"]

Rule = Callable[[State, dict[str, Any], LogRecord], Rejected | None]

RULES_BY_KIND: dict[str, Rule] = {
    "config": config_rules.apply,
    "host": host_rules.apply,
    "job": job_rules.apply,
    "wave": wave_rules.apply,
}


def needs_newer_rules(record: LogRecord) -> bool:
    """Whether a record needs rules that this daemon doesn't know."""
    try:
        records.check(record.value)
    except RecordRejected as exc:
        return exc.code is status_codes.RULES_TOO_NEW
    return False


def fold(state: State, record: LogRecord) -> Verdict:
    """Fold the next record into the state.

    A record that needs newer rules is left unfolded and the offset stays: what it and all later
    records mean is unknown here, and a guess would make this daemon differ from newer ones.

    :param state: the state; it is changed in place.
    :param record: the record at ``state.offset``.
    :return: what was decided.
    :raises ValueError: the record isn't the next one.
    """
    if record.offset != state.offset:
        raise ValueError(f"record {record.offset} isn't the next one, {state.offset}")
    try:
        value = records.check(record.value)
    except RecordRejected as exc:
        if exc.code is not status_codes.RULES_TOO_NEW:
            _advance(state, record)
        return Rejected(code=exc.code, detail=exc.detail, offset=record.offset)
    _advance(state, record)
    before = state.decided_by_id.get(value["id"])
    if before is not None:
        detail = f"decided at offset {before.offset}"
        return Rejected(code=status_codes.DUPLICATE_RECORD, detail=detail, offset=record.offset)
    rejected = _reject(state, value, record)
    code = status_codes.OK if rejected is None else rejected.code
    state.remember(value["id"], Decided(record.offset, code.number))
    if rejected is None:
        return Accepted(offset=record.offset)
    return Rejected(
        code=rejected.code,
        detail=rejected.detail,
        offset=record.offset,
        changed=rejected.changed,
    )


def decided(state: State, record_id: str) -> Verdict | None:
    """What was decided on a record id, or None when it isn't remembered."""
    before = state.decided_by_id.get(record_id)
    if before is None:
        return None
    if before.code == status_codes.OK.number:
        return Accepted(offset=before.offset)
    code = status_codes.by_number[before.code]
    return Rejected(code=code, detail="decided before", offset=before.offset)


def _advance(state: State, record: LogRecord) -> None:
    state.offset = record.offset + 1
    state.time = max(state.time, record.time)
    state.forget_old()


def _reject(state: State, value: Any, record: LogRecord) -> Rejected | None:
    if value["seen"] < state.floor:
        detail = f"made at offset {value['seen']}, ids are remembered from {state.floor}"
        return Rejected(code=status_codes.STALE_BASE, detail=detail)
    rule = RULES_BY_KIND.get(value["kind"])
    if rule is None:
        return Rejected(code=status_codes.UNKNOWN_KIND, detail=f"kind {value['kind']}")
    return rule(state, value["body"], record)
