"""Folds the state stream's records into the state; each record is accepted or rejected.

A decision depends only on the state, the record and the log's time, so all daemons decide the
same without communicating.
"""

from typing import Any, NamedTuple

from . import (
    checkpoint_rules,
    config_rules,
    entry_rules,
    host_rules,
    job_rules,
    records,
    status_codes,
    wave_rules,
)
from .codecs import Undecodable, convert
from .exceptions import RecordRejected
from .models import (
    CheckpointBody,
    ConfigBody,
    EntryBody,
    HostBody,
    JobBody,
    LogRecord,
    Record,
    WaveBody,
)
from .outcomes import Accepted, Rejected, Verdict
from .states import RecordDecision, State

__all__ = ["State", "check", "earlier_verdict", "fold"]


class Rule(NamedTuple):
    """A kind of record: its body, whether it is accepted, and how it changes the state.

    A new kind of record, or a changed rule, needs a higher ``RULES_VERSION``.
    """

    body: type
    check: Any
    apply: Any


RULES_BY_KIND: dict[str, Rule] = {
    "config": Rule(ConfigBody, config_rules.check, config_rules.apply),
    "host": Rule(HostBody, host_rules.check, host_rules.apply),
    "job": Rule(JobBody, job_rules.check, job_rules.apply),
    "checkpoint": Rule(CheckpointBody, checkpoint_rules.check, checkpoint_rules.apply),
    "entry": Rule(EntryBody, entry_rules.check, entry_rules.apply),
    "wave": Rule(WaveBody, wave_rules.check, wave_rules.apply),
}


def fold(state: State, record: LogRecord) -> Verdict:
    """Fold the next record into the state.

    A record that needs newer rules isn't folded and the offset stays: the effect of it and of all
    later records is unknown here, and a guess would make this daemon differ from newer ones.

    :param state: the state; changed in place.
    :param record: the record at ``state.offset``.
    :return: the decision.
    :raises ValueError: the record isn't the next one.
    """
    if record.offset != state.offset:
        raise ValueError(f"record {record.offset} isn't the next one, which is {state.offset}")
    try:
        value = records.check(record.value)
    except RecordRejected as exc:
        if exc.code is not status_codes.RULES_TOO_NEW:
            _advance(state, record)
        return Rejected(code=exc.code, detail=exc.detail, offset=record.offset)
    _advance(state, record)
    state.rules = max(state.rules, value["rules"])
    earlier = state.decisions_by_id.get(value["id"])
    if earlier is not None:
        detail = f"decided at offset {earlier.offset}"
        return Rejected(code=status_codes.DUPLICATE_RECORD, detail=detail, offset=record.offset)
    rejected = _too_old_error(state, value) or _evaluate(
        state, value["kind"], value["body"], apply_at=record.offset
    )
    code = status_codes.OK if rejected is None else rejected.code
    state.remember_decision(value["id"], RecordDecision(record.offset, code.number))
    if rejected is None:
        return Accepted(offset=record.offset)
    return Rejected(
        code=rejected.code,
        detail=rejected.detail,
        offset=record.offset,
        changed=rejected.changed,
    )


def check(state: State, kind: str, body: Any) -> Verdict:
    """Return what the fold would decide on a record now, without a change.

    :param state: the folded state.
    :param kind: the kind of record.
    :param body: its body.
    """
    rejected = _evaluate(state, kind, body, apply_at=None)
    return Accepted(offset=state.offset) if rejected is None else rejected


def earlier_verdict(state: State, record_id: str) -> Verdict | None:
    """Return the verdict on a record id, or None when it isn't remembered."""
    earlier = state.decisions_by_id.get(record_id)
    if earlier is None:
        return None
    if earlier.code == status_codes.OK.number:
        return Accepted(offset=earlier.offset)
    code = status_codes.by_number[earlier.code]
    return Rejected(code=code, detail="decided before", offset=earlier.offset)


def _advance(state: State, record: LogRecord) -> None:
    state.offset = record.offset + 1
    state.time = max(state.time, record.time)
    state.drop_expired()


def _too_old_error(state: State, value: Record) -> Rejected | None:
    if value["seen"] >= state.floor:
        return None
    detail = f"made at offset {value['seen']}, ids are remembered from {state.floor}"
    return Rejected(code=status_codes.STALE_BASE, detail=detail)


def _evaluate(state: State, kind: str, body: Any, *, apply_at: int | None) -> Rejected | None:
    rule = RULES_BY_KIND.get(kind)
    if rule is None:
        return Rejected(code=status_codes.UNKNOWN_KIND, detail=f"kind {kind}")
    try:
        step: Any = convert(body, rule.body)
    except Undecodable as exc:
        return Rejected(code=status_codes.RECORD_INVALID, detail=str(exc))
    rejected: Rejected | None = rule.check(state, step)
    if rejected is None and apply_at is not None:
        rule.apply(state, step, apply_at)
    return rejected
