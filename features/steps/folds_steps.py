"""Steps for the fold: the state machine, with all safeguards and with each one off."""

import os
from collections import Counter
from itertools import count, islice
from unittest import mock

from behave import given, then, when
from hypothesis import Phase
from hypothesis.stateful import run_state_machine_as_test

from features.support.drawing import bounded
from features.support.fold_machine import FoldMachine
from mustardgap import (
    config_rules,
    folds,
    host_rules,
    job_rules,
    records,
    snapshots,
    states,
    streams,
)
from mustardgap.models import LogRecord
from mustardgap.outcomes import Accepted
from mustardgap.states import State

REMEMBER = states.State.remember
LONG = bool(os.environ.get("MUSTARDGAP_LONG"))


def never(*args, **kwargs):
    """Turns nothing down."""


def restore_any(log, data):
    """Takes an older snapshot over as well."""
    log.state = snapshots.decode(data)
    return True


def receive_any(log, log_records):
    """Skips over a gap."""
    for record in log_records:
        if record.offset >= log.offset:
            log.state.offset = record.offset
            log._fold(record)


def remember_nothing(state, record_id, decided):
    """Moves the floor as ever, but knows no id again."""
    REMEMBER(state, f"{record_id} {decided.offset}", decided)


def forget_by_count(state):
    """Reads something that differs between two daemons."""
    state.time += id(state) % 97 / 97


SAFEGUARDS = {
    "ids are remembered": (states.State, "remember", remember_nothing),
    "a record made too long ago is turned down": (folds, "_old_error", never),
    "a change names the version it was made on": (config_rules, "_stale_error", never),
    "declarations must fit together": (config_rules, "_reference_error", never),
    "a declaration must be satisfiable": (config_rules, "_budget_error", never),
    "a pool with hosts keeps its service": (config_rules, "_host_error", never),
    "a drain must leave the budgets whole": (host_rules, "may_drain", never),
    "a host leaves its pool before it joins another": (host_rules, "_pool_error", never),
    "a host joins only where there is room": (host_rules, "_join_error", never),
    "a host's step names its epoch": (host_rules, "_step_error", never),
    "an attempt is placed only when no other may run": (job_rules, "_place_error", never),
    "a job's step names its epoch": (job_rules, "_step_error", never),
    "a team's quota holds": (job_rules, "_quota_error", never),
    "an older snapshot changes nothing": (streams.Log, "restore", restore_any),
    "records of a peer are folded without a gap": (streams.Log, "receive", receive_any),
    "only the log's time counts": (states.State, "forget_old", forget_by_count),
}


def drive(examples, steps):
    """Run the state machine with a fixed seed."""
    with mock.patch.object(states, "REMEMBERED_IDS", states.REMEMBERED_IDS):
        run_state_machine_as_test(
            FoldMachine,
            settings=bounded(
                examples,
                stateful_step_count=steps,
                phases=[Phase.generate],
                print_blob=False,
                report_multiple_bugs=False,
            ),
        )


@when("the folding daemons run {examples:d} times for {steps:d} steps")
def run_daemons(context, examples, steps):
    FoldMachine.steps = 0
    drive(examples * 20 if LONG else examples, steps)


@then("the folding daemons took at least {steps:d} steps in all")
def check_steps(context, steps):
    print(f"{FoldMachine.steps} fuzzed steps")
    assert FoldMachine.steps >= steps, FoldMachine.steps


@given("folding without the safeguard that {safeguard}")
def remove_safeguard(context, safeguard):
    context.safeguard = SAFEGUARDS[safeguard]


@then("the folding daemons break a promise within {examples:d} runs")
def check_breaks(context, examples):
    target, name, replacement = context.safeguard
    broken = None
    with mock.patch.object(target, name, replacement):
        try:
            drive(examples, 50)
        except Exception as exc:
            broken = exc
    assert broken is not None, f"nothing noticed that {name} is off"
    print(f"{name} off: {type(broken).__name__}: {str(broken)[:200]}")


FACTS = {"rack": "r", "data_center": "d", "cores": 1.0, "memory_gb": 1.0, "accelerators": 0}
SPEC = {"team": "t", "urgency": 1, "cores": 1.0, "memory_gb": 1.0, "accelerators": 0, "run_s": 1.0}
SPEC |= {"idempotent": True}
HOST = {"base": 0, "pool": "", "reason": ""}
TEAM = {"max_cores": 1.0, "max_memory_gb": 1.0, "max_jobs": 5}
STEP_S_BY_NAME = {"slow jobs": 10.0, "hosts that failed": 600.0}


def short_lives(what):
    """Bodies of things that come and go, each with its kind."""
    yield "config", {"changes": [{"key": "team/t", "base": -1, "value": TEAM}]}
    yield "host", {**HOST, "host": "h", "phase": "in_service", "facts": FACTS}
    for number in count():
        if "jobs" in what:
            yield "job", {"job": f"j{number}", "base": 0, "step": "submit", "spec": SPEC}
            yield "job", {"job": f"j{number}", "base": 1, "step": "cancel"}
        elif what == "waves":
            yield "wave", {"wave": f"w{number}", "base": 0, "step": "start", "hosts": ["h"]}
            yield "wave", {"wave": f"w{number}", "base": 1, "step": "finish"}
        else:
            yield "host", {**HOST, "host": f"h{number}", "phase": "failed", "facts": FACTS}


@when("folding {number:d} {what} with a restart from a checkpoint every {every:d}")
def fold_short_lives(context, number, what, every):
    whole, restarted = State(), State()
    context.most = Counter()
    for offset, (kind, body) in enumerate(islice(short_lives(what), number)):
        value = records.make(kind, body, writer="w", seen=offset)
        record = LogRecord(offset, offset * STEP_S_BY_NAME.get(what, 0.001), value)
        verdicts = folds.fold(whole, record), folds.fold(restarted, record)
        assert all(isinstance(verdict, Accepted) for verdict in verdicts), verdicts
        if offset % every == 0:
            restarted = snapshots.decode(snapshots.encode(restarted))
        sizes = {"jobs": whole.jobs_by_id, "waves": whole.waves_by_name}
        sizes |= {"hosts": whole.hosts_by_name, "ids": whole.decided_by_id}
        context.most |= Counter({name: len(size) for name, size in sizes.items()})
    context.states = whole, restarted


@then("the folded state keeps at most {most:d} {kept} and both agree")
def check_bounded(context, most, kept):
    whole, restarted = context.states
    assert context.most[kept] <= most, context.most
    assert whole.digest() == restarted.digest()
