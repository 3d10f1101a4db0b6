"""Steps that compare what callers of the whole system were told with what really happened."""

from collections import Counter

from behave import then

from features.support.systems import MIN_HOSTS, items, running_daemons, workers_of
from mustardgap.status_codes import KEY_IN_USE
from tools.benches import SERVICE
from tools.oracle import check_budgets, check_cuts, check_pools, check_requests


@then("the system's daemon {name} has ended with status {status:d}")
def check_status(context, name, status):
    assert context.status == status, f"{name} ended with {context.status}"


@then("the system's callers are told only {outcomes}")
def check_outcomes(context, outcomes):
    context.allowed = set(outcomes.split(", "))
    told = context.report.told
    others = [t for t in told if t.outcome not in context.allowed and not is_in_use(t)]
    counts = Counter(f"{one.outcome} MG{one.code}" for one in told)
    assert not others, f"{counts}: {others[:5]}"
    assert told
    assert not context.report.unsent


def is_in_use(one):
    """Whether it is a copy that came while the first was running, and was told so."""
    return one.keyed and one.code == KEY_IN_USE.number


@then("the system keeps every promise")
def check_promises(context):
    truth = context.cluster.platform.truth()
    told = context.report.told if hasattr(context, "report") else []
    faults = [
        *check_requests(told, context.cluster.runs()).faults,
        *check_budgets(truth, {SERVICE: MIN_HOSTS}, since=context.in_force),
        *check_pools(truth, context.cluster.executors_state()),
        *check_cuts(truth),
    ]
    broken = [f for f in faults if f.promise not in getattr(context, "allowed", ())]
    assert not broken, f"{len(broken)} broken: {broken[:5]}"


@then("the system's keyed requests all end {outcomes}")
def check_ends(context, outcomes):
    last_by_copy = {}
    for one in sorted((t for t in context.report.told if t.keyed), key=lambda t: t.sent):
        last_by_copy[one.name] = one
    wrong = [t for t in last_by_copy.values() if t.outcome not in outcomes.split(" or ")]
    assert last_by_copy
    assert not wrong, f"{len(wrong)} of {len(last_by_copy)}: {wrong[:5]}"


@then("the system's unkeyed requests are all answered")
def check_unkeyed(context):
    wrong = [t for t in context.report.told if not t.keyed and t.outcome != "answered"]
    assert not wrong, f"{len(wrong)}: {wrong[:5]}"


@then("the system's requests told as unknown were writes")
def check_unknown(context):
    wrong = [t for t in context.report.told if t.outcome == "unknown" and t.idempotent]
    assert not wrong, wrong[:5]


@then("the system's executors never ran more than their slots")
def check_slots(context):
    state = context.cluster.executors_state().values()
    assert all(e["max_running"] <= e["slots"] for e in state), state
    assert all(e["max_connections"] <= e["connections"] for e in state), state


@then("the system's executor {worker} got no work {seconds:g} seconds after it began to leave")
def check_leaving(context, worker, seconds):
    found = [e for e in context.cluster.executors_state().values() if e["worker"] == worker]
    late = [s for e in found for s in e["after_leaving"] if s > seconds]
    assert not late, late


@then("the system's hosts of rack {rack} have each been rebooted once")
def check_reboots(context, rack):
    boots = {w["worker"]: w["boot"] for w in workers_of(context, rack)}
    assert set(boots.values()) == {2}, boots


@then("the system's configuration is the one applied, on every daemon")
def check_applied(context):
    for daemon in running_daemons(context):
        done = context.cluster.cli(
            "diff", str(context.declarations), "--exit-code", entry=daemon.name, check=False
        )
        assert done.returncode == 0, done.stdout + done.stderr


@then('one of the system\'s operators wins and the other is told {code} with "{key}"')
def check_race(context, code, key):
    won = [value for value, done in context.races if done.returncode == 0]
    lost = [done for _, done in context.races if done.returncode != 0]
    assert len(won) == 1, [(done.stdout, done.stderr) for _, done in context.races]
    assert code in lost[0].stderr and key in lost[0].stderr, lost[0].stderr
    context.winner = won[0]


@then("the system's configuration is the winner's, on every daemon")
def check_winner(context):
    check_field(context, "max_jobs", context.winner, 7)


@then('the system\'s "{field}" is {value:d} on every daemon within {seconds:g} seconds')
def check_field(context, field, value, seconds):
    def in_force():
        found = [items(d, "teams") for d in running_daemons(context)]
        return all(teams[SERVICE][field] == value for teams in found)

    context.cluster.wait(f"{field} {value} everywhere", in_force, timeout_s=seconds)
