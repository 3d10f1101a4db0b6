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

ORIGINAL_REMEMBER_DECISION = states.State.remember_decision
IS_LONG_RUN = bool(os.environ.get("MUSTARDGAP_LONG"))


def accept_all(*args, **kwargs):
    """Rejects nothing."""


def restore_older(log, data):
    """Restores an older snapshot too."""
    log.state = snapshots.decode(data)
    return True


def receive_with_gaps(log, log_records):
    """Skips over a gap."""
    for record in log_records:
        if record.offset >= log.offset:
            log.state.offset = record.offset
            log._fold(record)


def remember_no_id(state, record_id, decision):
    """Moves the floor as usual, but recognizes no id."""
    ORIGINAL_REMEMBER_DECISION(state, f"{record_id} {decision.offset}", decision)


def skew_time(state):
    """Adds a time that differs between two daemons."""
    state.time += id(state) % 97 / 97


SAFEGUARDS = {
    "ids are remembered": (states.State, "remember_decision", remember_no_id),
    "a record made too long ago is rejected": (folds, "_too_old_error", accept_all),
    "a change names its base version": (config_rules, "_stale_error", accept_all),
    "declarations must be consistent": (config_rules, "_reference_error", accept_all),
    "a declaration must be satisfiable": (config_rules, "_budget_error", accept_all),
    "a pool with hosts keeps its service": (config_rules, "_host_error", accept_all),
    "a drain must not break a budget": (host_rules, "may_drain", accept_all),
    "a host leaves its pool before it joins another": (host_rules, "_pool_error", accept_all),
    "a host joins only where there is room": (host_rules, "_join_error", accept_all),
    "a host's step names its epoch": (host_rules, "_step_error", accept_all),
    "an attempt is placed only when no other may run": (job_rules, "_place_error", accept_all),
    "a job's step names its epoch": (job_rules, "_step_error", accept_all),
    "a team's quota holds": (job_rules, "_quota_error", accept_all),
    "an older snapshot changes nothing": (streams.Log, "restore", restore_older),
    "records of a peer are folded without a gap": (streams.Log, "receive", receive_with_gaps),
    "only the log's time counts": (states.State, "drop_expired", skew_time),
}


def run_fold_machine(examples, steps):
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
    run_fold_machine(examples * 20 if IS_LONG_RUN else examples, steps)


@then("the folding daemons took at least {steps:d} steps in all")
def check_steps(context, steps):
    print(f"{FoldMachine.steps} fuzzed steps")
    assert FoldMachine.steps >= steps, FoldMachine.steps


@given("folding without the safeguard that {safeguard}")
def remove_safeguard(context, safeguard):
    context.safeguard = SAFEGUARDS[safeguard]


@then("the folding daemons violate an invariant within {examples:d} runs")
def check_violation(context, examples):
    target, name, replacement = context.safeguard
    broken = None
    with mock.patch.object(target, name, replacement):
        try:
            run_fold_machine(examples, 50)
        except Exception as exc:
            broken = exc
    assert broken is not None, f"no check failed with {name} off"
    print(f"{name} off: {type(broken).__name__}: {str(broken)[:200]}")


FACTS = {"rack": "r", "data_center": "d", "cores": 1.0, "memory_gb": 1.0, "accelerators": 0}
SPEC = {"team": "t", "urgency": 1, "cores": 1.0, "memory_gb": 1.0, "accelerators": 0, "run_s": 1.0}
SPEC |= {"idempotent": True}
HOST = {"base": 0, "pool": "", "reason": ""}
TEAM = {"max_cores": 1.0, "max_memory_gb": 1.0, "max_jobs": 5}
STEP_S_BY_NAME = {"slow jobs": 10.0, "hosts that failed": 600.0}


def short_lived_records(what):
    """Kinds and bodies of records of what comes and goes."""
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
def fold_short_lived_records(context, number, what, every):
    uninterrupted, restarted = State(), State()
    context.most = Counter()
    for offset, (kind, body) in enumerate(islice(short_lived_records(what), number)):
        value = records.make(kind, body, writer="w", seen=offset)
        record = LogRecord(offset, offset * STEP_S_BY_NAME.get(what, 0.001), value)
        verdicts = folds.fold(uninterrupted, record), folds.fold(restarted, record)
        assert all(isinstance(verdict, Accepted) for verdict in verdicts), verdicts
        if offset % every == 0:
            restarted = snapshots.decode(snapshots.encode(restarted))
        sizes = {"jobs": uninterrupted.jobs_by_id, "waves": uninterrupted.waves_by_name}
        sizes |= {"hosts": uninterrupted.hosts_by_name, "ids": uninterrupted.decisions_by_id}
        context.most |= Counter({name: len(size) for name, size in sizes.items()})
    context.states = uninterrupted, restarted


@then("the folded state keeps at most {most:d} {kept} and both agree")
def check_bounded(context, most, kept):
    uninterrupted, restarted = context.states
    assert context.most[kept] <= most, context.most
    assert uninterrupted.digest() == restarted.digest()
