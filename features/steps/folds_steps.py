"""Steps for the fold: the state machine, with all safeguards and with each one off."""

import os
from unittest import mock

from behave import given, then, when
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from features.support.fold_machine import FoldMachine
from mustardgap import config_rules, folds, host_rules, job_rules, snapshots, states, streams

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
            settings=settings(
                max_examples=examples,
                stateful_step_count=steps,
                derandomize=True,
                database=None,
                deadline=None,
                phases=[Phase.generate],
                suppress_health_check=list(HealthCheck),
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
