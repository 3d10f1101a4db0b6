"""Steps for reading, checking and publishing declarations."""

import json
import os
from pathlib import Path

import json5
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st

from features.support.drawing import bounded
from mustardgap import declarations, folds, status_codes
from mustardgap.exceptions import SettingsError
from mustardgap.models import LogRecord
from mustardgap.outcomes import Accepted, Rejected
from mustardgap.states import State
from tools.fleets import Ledger
from tools.processes import ROOT

BOUNDED = bounded(5000 if os.environ.get("MUSTARDGAP_LONG") else 300)
MAPS = ["profiles", "services", "pools", "teams", "policies"]
KEYS = ["id", "writer", "rules", "seen", "kind", "time", "body", "changes", "key", "base", "value"]
KEYS += ["host", "phase", "pool", "reason", "job", "step", "wave", "hosts", "room", "max_hosts"]
STRINGS = [*KEYS, "config", "profile/a", "submit", "in_service", "", "a", "checkpoint", "offset"]
scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.sampled_from(STRINGS)
anything = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(KEYS + MAPS), inner, max_size=5),
    max_leaves=20,
)
changes = st.fixed_dictionaries(
    {
        "key": st.sampled_from(
            [f"{kind}/a" for kind in ("profile", "service", "pool", "team", "x")]
        ),
        "base": st.integers(-1, 1),
        "value": anything,
    }
)
bodies = st.one_of(
    st.fixed_dictionaries({"changes": st.lists(changes, max_size=3)}),
    st.fixed_dictionaries({"changes": st.lists(anything, max_size=2)}),
    st.fixed_dictionaries(
        {"host": anything, "base": anything, "phase": anything, "pool": anything}
    ),
    st.fixed_dictionaries({"job": anything, "base": anything, "step": anything, "spec": anything}),
    anything,
)
envelopes = anything | st.fixed_dictionaries(
    {
        "id": st.text(max_size=3),
        "writer": st.just("w"),
        "rules": st.just(1),
        "seen": st.integers(-1, 3),
        "kind": st.sampled_from(["config", "host", "job", "wave", "checkpoint", "else"]),
        "time": st.just(0.0),
        "body": bodies,
    }
)


def resolve_path(value, path):
    """Return the map that contains the last key of a dotted path, and that key."""
    *parents, last = path.split(".")
    for parent in parents:
        value = value.setdefault(parent, {})
    return value, last


@given("the declarations of {user} with {key} = {value}")
def write_changed_declaration(context, user, key, value):
    merged = {}
    for file in sorted((ROOT / "examples" / user).glob("*.json")):
        merged.update(json5.loads(file.read_text(encoding="utf-8")))
    parent, name = resolve_path(merged, key)
    parent[name] = json5.loads(value)
    context.file = context.folder / "all.json"
    context.file.write_text(json5.dumps(merged), encoding="utf-8")


@given("the declarations of {user}")
def read_declarations(context, user):
    context.wanted = declarations.read_dir(ROOT / "examples" / user)


@then("the declarations are refused as MG{code:d} at {place} with {detail}")
def check_refused(context, code, place, detail):
    try:
        declarations.read_dir(context.folder)
    except SettingsError as exc:
        assert exc.code.number == code, exc
        assert exc.place == f"{context.file}:{place}", exc
        assert detail in exc.detail, exc
    else:
        raise AssertionError("the invalid declarations were accepted")


def fleet_hosts(name):
    """Yield the hosts of a stand-in's fleet file, each with its pool and facts."""
    fleet = json5.loads((ROOT / "standins" / "fleets" / f"{name}.json").read_text())
    for center in fleet["data_centers"]:
        for rack in center["racks"]:
            place = {"rack": rack["rack"], "data_center": center["data_center"]}
            for worker in rack["workers"]:
                yield worker["worker"], worker.get("pool", ""), {**fleet["worker"], **place}


def fold_fleet(context, fleet):
    """Fold the declarations and the fleet's hosts into a ledger."""
    ledger = context.ledger = Ledger()
    verdicts = [ledger.declare(context.wanted)]
    for host, pool, facts in fleet_hosts(fleet):
        verdicts.append(ledger.step_host(host, "in_service", pool, facts=facts))
    assert all(isinstance(verdict, Accepted) for verdict in verdicts), verdicts
    return ledger


@then("the declarations are accepted on the fleet {fleet} and a second comparison is empty")
def check_accepted(context, fleet):
    state = fold_fleet(context, fleet).state
    assert declarations.diff(state.declarations_by_key, context.wanted) == []
    removed = dict(context.wanted)
    removed.pop("pool/batch")
    (change,) = declarations.diff(state.declarations_by_key, removed)
    assert (change["key"], change["base"], change["value"]) == ("pool/batch", 0, None)


@given("the declarations in force on the fleet {fleet}")
def fold_declarations(context, fleet):
    fold_fleet(context, fleet)


@when("the declarations change {path} to {value}")
def change_one(context, path, value):
    key, _, rest = path.partition(".")
    wanted = json.loads(json.dumps(context.ledger.state.declarations_by_key[key].value))
    parent, name = resolve_path(wanted, rest)
    parent[name] = json.loads(value)
    version = context.ledger.state.declarations_by_key[key].version
    body = {"changes": [{"key": key, "base": version, "value": wanted}]}
    dry_run = folds.check(context.ledger.state, "config", body)
    context.verdict = context.ledger.declare({key: wanted})
    assert isinstance(dry_run, Accepted) == isinstance(context.verdict, Accepted), dry_run


@when("{count:d} hosts of the fleet fail and the declarations change {path} to {value}")
def fail_and_change(context, count, path, value):
    for name in sorted(context.ledger.state.hosts_by_name)[:count]:
        pool = context.ledger.state.hosts_by_name[name]["pool"]
        assert isinstance(context.ledger.step_host(name, "failed", pool), Accepted)
    change_one(context, path, value)


@then("the declarations are accepted")
def check_change_accepted(context):
    assert isinstance(context.verdict, Accepted), context.verdict


@then("the declarations are rejected as MG{code} with {detail}")
def check_rejected(context, code, detail):
    if code == "none":
        check_change_accepted(context)
        return
    assert isinstance(context.verdict, Rejected), context.verdict
    assert context.verdict.code.number == int(code), context.verdict
    assert detail in context.verdict.detail, context.verdict


@then("declaration files may contain arbitrary values")
def fuzz_files(context):
    folder = context.folder

    @BOUNDED
    @given_any(value=anything | st.dictionaries(st.sampled_from(MAPS), anything, max_size=3))
    def read(value):
        Path(folder / "any.json").write_text(json.dumps(value), encoding="utf-8")
        try:
            declarations.read_dir(folder)
        except SettingsError as exc:
            assert exc.place.startswith(str(folder)), exc

    read()


@then("folded records may contain arbitrary values")
def fuzz_records(context):
    @BOUNDED
    @given_any(values=st.lists(envelopes, min_size=1, max_size=5))
    def fold_all(values):
        state = State()
        for value in values:
            offset = state.offset
            verdict = folds.fold(state, LogRecord(offset, 1.0, value))
            stopped = getattr(verdict, "code", None) is status_codes.RULES_TOO_NEW
            assert state.offset == offset + (not stopped)
        state.digest()

    fold_all()
